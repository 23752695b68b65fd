//! The side that serves until it has committed.

use crate::{SUPPORTED_VERSIONS, negotiate_version};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long each step may take before the hand-over is undone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// From the start of the taker to its readiness.
    pub ready: Duration,
    /// For clients between txns to be sent, once the taker is ready: first for those that have rested, until
    /// none has been sent for so long, then for all.
    pub gather: Duration,
    /// From the last client sent to the last one taken.
    pub acknowledge: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The taker was started and has said nothing yet.
    Started,
    /// A version was agreed; the taker prepares.
    Preparing,
    /// The taker has the listener, and clients between txns are sent to it.
    Transferring,
    /// The taker serves. Clients that were busy follow.
    Committed,
    /// Nothing is left to be sent.
    Done,
    Aborted(AbortReason),
}

/// Why the giver goes on as if nothing had been.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
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

/// Clients that have rested are sent for so many times `Timeouts::gather` at most, however many come.
const MAX_GATHER_PERIODS: u32 = 50;

/// What the caller is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Tell the taker the version that both speak.
    SendVersion(u16),
    /// Send the listener, and from now on each client that has rested for a while.
    SendListener,
    /// Send each client that is between txns, from now on.
    TransferAll,
    /// Tell the taker to serve. The giver takes nobody in any more.
    Commit,
    /// A client is the taker's: its descriptor here is closed.
    Release(u64),
    /// A client is served here again.
    Keep(u64),
    /// Take clients in and serve as before; the taker is to be ended.
    Resume,
    /// All has been handed over.
    Exit,
}

/// The giver's side of one hand-over. Inputs note facts; [`OldProcess::step`] goes through the rules.
#[derive(Debug)]
pub struct OldProcess {
    timeouts: Timeouts,
    phase: Phase,
    phase_began: Duration,
    new_versions: Option<(u16, u16)>,
    new_is_ready: bool,
    protocol_error: bool,
    disconnected: bool,
    canceled: bool,
    /// No client is left here.
    no_clients_left: bool,
    /// Sent, and not taken yet; taken, and not released yet.
    in_flight: BTreeSet<u64>,
    received: BTreeSet<u64>,
    last_sent: Duration,
    /// All between txns are sent, not only those that have rested.
    transfer_all: bool,
}

impl OldProcess {
    pub fn new(now: Duration, timeouts: Timeouts) -> OldProcess {
        OldProcess {
            timeouts,
            phase: Phase::Started,
            phase_began: now,
            new_versions: None,
            new_is_ready: false,
            protocol_error: false,
            disconnected: false,
            canceled: false,
            no_clients_left: false,
            in_flight: BTreeSet::new(),
            received: BTreeSet::new(),
            last_sent: now,
            transfer_all: false,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The taker has said which versions it speaks.
    pub fn on_hello(&mut self, lowest: u16, highest: u16) {
        self.protocol_error |= self.new_versions.is_some() || lowest > highest;
        self.new_versions = Some((lowest, highest));
    }

    /// The taker could serve.
    pub fn on_ready(&mut self) {
        self.protocol_error |= self.phase != Phase::Preparing || self.new_is_ready;
        self.new_is_ready = true;
    }

    /// A client was sent; its number is new. Only while clients move.
    pub fn on_sent(&mut self, now: Duration, client: u64) {
        self.in_flight.insert(client);
        self.last_sent = now;
    }

    /// The taker has a client.
    pub fn on_received(&mut self, client: u64) {
        if self.in_flight.remove(&client) {
            self.received.insert(client);
        } else {
            self.protocol_error = true;
        }
    }

    /// What the taker said can't be read.
    pub fn on_protocol_error(&mut self) {
        self.protocol_error = true;
    }

    /// The taker has ended, or its end of the line has.
    pub fn on_disconnected(&mut self) {
        self.disconnected = true;
    }

    /// The hand-over is called off, if it has not been committed.
    pub fn cancel(&mut self) {
        self.canceled = true;
    }

    /// Whether any client is left here, be it under way.
    pub fn set_remaining(&mut self, clients: usize) {
        self.no_clients_left = clients == 0;
    }

    /// Clients may be sent now.
    pub fn is_transferring(&self) -> bool {
        matches!(self.phase, Phase::Transferring | Phase::Committed)
    }

    fn enter(&mut self, now: Duration, phase: Phase) {
        (self.phase, self.phase_began) = (phase, now);
    }

    fn abort_reason(&self, now: Duration) -> Option<AbortReason> {
        let late = match self.phase {
            Phase::Started | Phase::Preparing => now >= self.phase_began + self.timeouts.ready,
            Phase::Transferring => {
                !self.in_flight.is_empty() && now >= self.last_sent + self.timeouts.acknowledge
            }
            // The other serves: to take a client back that it may be reading would be worse than to wait.
            Phase::Committed => false,
            Phase::Done | Phase::Aborted(_) => return None,
        };
        let committed = self.phase == Phase::Committed;
        let unsupported =
            |&new_versions: &(u16, u16)| negotiate_version(SUPPORTED_VERSIONS, new_versions).is_none();
        match () {
            () if self.disconnected => Some(AbortReason::Ended),
            () if self.protocol_error => Some(AbortReason::Nonsense),
            () if self.new_versions.as_ref().is_some_and(unsupported) => Some(AbortReason::Version),
            () if self.canceled && !committed => Some(AbortReason::CalledOff),
            () if late => Some(AbortReason::Late),
            () => None,
        }
    }

    /// The first rule that holds, and what it wants done; `None` once nothing is to be done for now.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        // A commit is never taken back for what was taken: the taker serves it, or its clients come again.
        if let Some(&client) = self.received.iter().next().filter(|_| self.phase == Phase::Committed) {
            self.received.remove(&client);
            return Some(Action::Release(client));
        }
        if let Some(reason) = self.abort_reason(now) {
            self.enter(now, Phase::Aborted(reason));
            return Some(Action::Resume);
        }
        match self.phase {
            Phase::Aborted(_) => {
                let client = self.in_flight.pop_first().or_else(|| self.received.pop_first())?;
                Some(Action::Keep(client))
            }
            Phase::Started => {
                let version = negotiate_version(SUPPORTED_VERSIONS, self.new_versions?)?;
                self.enter(now, Phase::Preparing);
                // The time for its readiness counts from its start.
                Some(Action::SendVersion(version))
            }
            Phase::Preparing if self.new_is_ready => {
                self.enter(now, Phase::Transferring);
                self.last_sent = now;
                Some(Action::SendListener)
            }
            // Those that ask again and again wait for the commit from when they are sent: they come last.
            Phase::Transferring if !self.transfer_all => {
                let Timeouts { gather, .. } = self.timeouts;
                let quiet = self.in_flight.is_empty() && now >= self.last_sent + gather;
                if !quiet && now < self.phase_began + gather * MAX_GATHER_PERIODS {
                    return None;
                }
                (self.transfer_all, self.phase_began) = (true, now);
                Some(Action::TransferAll)
            }
            Phase::Transferring
                if self.in_flight.is_empty() && now >= self.phase_began + self.timeouts.gather =>
            {
                self.enter(now, Phase::Committed);
                Some(Action::Commit)
            }
            Phase::Committed if self.no_clients_left && self.in_flight.is_empty() => {
                self.enter(now, Phase::Done);
                Some(Action::Exit)
            }
            _ => None,
        }
    }
}
