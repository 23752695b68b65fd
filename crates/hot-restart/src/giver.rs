//! The side that serves until it has committed.

use crate::{SUPPORTED_VERSIONS, agreed};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long each step may take before the hand-over is undone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// From the start of the taker to its readiness.
    pub ready: Duration,
    /// For clients between txns to be sent, once the taker is ready: first for those that have rested, until
    /// none has been sent for so long, then for all.
    pub gather: Duration,
    /// From the last client sent to the last one taken.
    pub taken: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The taker was started and has said nothing yet.
    Started,
    /// A version was agreed; the taker prepares.
    Agreed,
    /// The taker has the listener, and clients between txns are sent to it.
    Moving,
    /// The taker serves. Clients that were busy follow.
    Committed,
    /// Nothing is left to be sent.
    Done,
    Undone(Why),
}

/// Why the giver goes on as if nothing had been.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The taker ended.
    Ended,
    /// It speaks no version that is spoken here.
    Version,
    /// It said something that makes no sense then.
    Nonsense,
    /// It was not ready, or did not take what was sent, in time.
    Late,
    /// It was called off here.
    CalledOff,
}

/// Clients that have rested are sent for so many times `Times::gather` at most, however many come.
const RESTED: u32 = 50;

/// What the caller is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Do {
    /// Tell the taker the version that both speak.
    Agree(u16),
    /// Send the listener, and from now on each client that has rested for a while.
    Offer,
    /// Send each client that is between txns, from now on.
    Gather,
    /// Tell the taker to serve. The giver takes nobody in any more.
    Commit,
    /// A client is the taker's: its descriptor here is closed.
    Release(u64),
    /// A client is served here again.
    Keep(u64),
    /// Take clients in and serve as before; the taker is to be ended.
    Resume,
    /// All has been handed over.
    Leave,
}

/// The giver's side of one hand-over. Inputs note facts; [`Giver::step`] goes through the rules.
#[derive(Debug)]
pub struct Giver {
    times: Times,
    phase: Phase,
    since: Duration,
    versions: Option<(u16, u16)>,
    ready: bool,
    nonsense: bool,
    gone: bool,
    called_off: bool,
    /// No client is left here.
    empty: bool,
    /// Sent, and not taken yet; taken, and not released yet.
    under_way: BTreeSet<u64>,
    taken: BTreeSet<u64>,
    last_sent: Duration,
    /// All between txns are sent, not only those that have rested.
    all: bool,
}

impl Giver {
    pub fn new(now: Duration, times: Times) -> Giver {
        Giver {
            times,
            phase: Phase::Started,
            since: now,
            versions: None,
            ready: false,
            nonsense: false,
            gone: false,
            called_off: false,
            empty: false,
            under_way: BTreeSet::new(),
            taken: BTreeSet::new(),
            last_sent: now,
            all: false,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The taker has said which versions it speaks.
    pub fn hello(&mut self, lowest: u16, highest: u16) {
        self.nonsense |= self.versions.is_some() || lowest > highest;
        self.versions = Some((lowest, highest));
    }

    /// The taker could serve.
    pub fn ready(&mut self) {
        self.nonsense |= self.phase != Phase::Agreed || self.ready;
        self.ready = true;
    }

    /// A client was sent; its number is new. Only while clients move.
    pub fn sent(&mut self, now: Duration, client: u64) {
        self.under_way.insert(client);
        self.last_sent = now;
    }

    /// The taker has a client.
    pub fn took(&mut self, client: u64) {
        if self.under_way.remove(&client) {
            self.taken.insert(client);
        } else {
            self.nonsense = true;
        }
    }

    /// What the taker said can't be read.
    pub fn nonsense(&mut self) {
        self.nonsense = true;
    }

    /// The taker has ended, or its end of the line has.
    pub fn gone(&mut self) {
        self.gone = true;
    }

    /// The hand-over is called off, if it has not been committed.
    pub fn call_off(&mut self) {
        self.called_off = true;
    }

    /// Whether any client is left here, be it under way.
    pub fn left(&mut self, clients: usize) {
        self.empty = clients == 0;
    }

    /// Clients may be sent now.
    pub fn moves(&self) -> bool {
        matches!(self.phase, Phase::Moving | Phase::Committed)
    }

    fn go(&mut self, now: Duration, phase: Phase) {
        (self.phase, self.since) = (phase, now);
    }

    fn undone(&self, now: Duration) -> Option<Why> {
        let late = match self.phase {
            Phase::Started | Phase::Agreed => now >= self.since + self.times.ready,
            Phase::Moving => !self.under_way.is_empty() && now >= self.last_sent + self.times.taken,
            // The other serves: to take a client back that it may be reading would be worse than to wait.
            Phase::Committed => false,
            Phase::Done | Phase::Undone(_) => return None,
        };
        let committed = self.phase == Phase::Committed;
        let unspoken = |&versions: &(u16, u16)| agreed(SUPPORTED_VERSIONS, versions).is_none();
        match () {
            () if self.gone => Some(Why::Ended),
            () if self.nonsense => Some(Why::Nonsense),
            () if self.versions.as_ref().is_some_and(unspoken) => Some(Why::Version),
            () if self.called_off && !committed => Some(Why::CalledOff),
            () if late => Some(Why::Late),
            () => None,
        }
    }

    /// The first rule that holds, and what it wants done; `None` once nothing is to be done for now.
    pub fn step(&mut self, now: Duration) -> Option<Do> {
        // A commit is never taken back for what was taken: the taker serves it, or its clients come again.
        if let Some(&client) = self.taken.iter().next().filter(|_| self.phase == Phase::Committed) {
            self.taken.remove(&client);
            return Some(Do::Release(client));
        }
        if let Some(why) = self.undone(now) {
            self.go(now, Phase::Undone(why));
            return Some(Do::Resume);
        }
        match self.phase {
            Phase::Undone(_) => {
                let client = self.under_way.pop_first().or_else(|| self.taken.pop_first())?;
                Some(Do::Keep(client))
            }
            Phase::Started => {
                let version = agreed(SUPPORTED_VERSIONS, self.versions?)?;
                self.go(now, Phase::Agreed);
                // The time for its readiness counts from its start.
                Some(Do::Agree(version))
            }
            Phase::Agreed if self.ready => {
                self.go(now, Phase::Moving);
                self.last_sent = now;
                Some(Do::Offer)
            }
            // Those that ask again and again wait for the commit from when they are sent: they come last.
            Phase::Moving if !self.all => {
                let Times { gather, .. } = self.times;
                let quiet = self.under_way.is_empty() && now >= self.last_sent + gather;
                if !quiet && now < self.since + gather * RESTED {
                    return None;
                }
                (self.all, self.since) = (true, now);
                Some(Do::Gather)
            }
            Phase::Moving if self.under_way.is_empty() && now >= self.since + self.times.gather => {
                self.go(now, Phase::Committed);
                Some(Do::Commit)
            }
            Phase::Committed if self.empty && self.under_way.is_empty() => {
                self.go(now, Phase::Done);
                Some(Do::Leave)
            }
            _ => None,
        }
    }
}
