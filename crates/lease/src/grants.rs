//! The acceptor's part: to whom this front has granted which duty, and until when. Nothing of it is on a disk.

use crate::TaskId;
use crate::claim::floor;
use std::collections::BTreeMap;
use std::time::Duration;

/// Duties that are remembered at most; others are not granted here.
const MOST: usize = 4096;

/// Who holds: a front, in one life of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    pub front: u16,
    pub life: u32,
}

/// What becomes of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Granted,
    /// The newest term that is known here, and how long another's grant still runs.
    Refused {
        newest: u64,
        wait: Duration,
    },
    /// It has started too lately to know what it granted before.
    Quiet,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    term: u64,
    to: Option<Holder>,
    until: Duration,
}

/// What one front has granted, by its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grants {
    lasts: Duration,
    quiet_until: Duration,
    /// Nothing below this is granted.
    floor: u64,
    of: BTreeMap<TaskId, Grant>,
}

impl Grants {
    /// One that starts in a life: whatever the process before it granted has run out once it speaks, and terms that
    /// may have been forgotten with that process are below those that this one grants.
    pub fn new(now: Duration, lasts: Duration, life: u32) -> Grants {
        let quiet_until = now + lasts + lasts * 2 / crate::CLOCK_DRIFT_DIVISOR;
        Grants { lasts, quiet_until, floor: floor(life), of: BTreeMap::new() }
    }

    /// A later life of this place was heard of: its terms may be higher.
    pub fn raise_term_floor(&mut self, life: u32) {
        self.floor = self.floor.max(floor(life));
    }

    /// Somebody asks for a duty under a term, or for more time.
    pub fn ask(&mut self, now: Duration, from: Holder, duty: TaskId, term: u64) -> Answer {
        if now < self.quiet_until || !self.of.contains_key(&duty) && self.of.len() >= MOST {
            return Answer::Quiet;
        }
        let lasts = self.lasts;
        // Guards against terms that fall where all who knew the newest have started anew.
        if term < self.floor {
            return Answer::Refused { newest: self.floor, wait: Duration::ZERO };
        }
        let grant = self.of.entry(duty).or_insert(Grant { term: 0, to: None, until: Duration::ZERO });
        let mine = grant.to == Some(from);
        // Guards against two at once: what was granted to another runs on.
        if !mine && grant.to.is_some() && now < grant.until {
            return Answer::Refused { newest: grant.term, wait: grant.until - now };
        }
        // Guards against terms that fall: nobody gets one that is not above all that were granted.
        if term < grant.term || term == grant.term && !mine {
            return Answer::Refused { newest: grant.term, wait: Duration::ZERO };
        }
        *grant = Grant { term, to: Some(from), until: now + lasts };
        Answer::Granted
    }

    /// The holder needs it no more. Its term stays the newest.
    pub fn give(&mut self, from: Holder, duty: TaskId, term: u64) {
        if let Some(grant) = self.of.get_mut(&duty).filter(|g| g.to == Some(from) && g.term <= term) {
            grant.to = None;
        }
    }

    /// The newest term that was granted here, or what is above all that was forgotten.
    pub fn newest(&self, duty: TaskId) -> u64 {
        self.of.get(&duty).map_or(0, |grant| grant.term).max(self.floor)
    }

    /// Who has it by what was granted here, and until when.
    pub fn holder(&self, now: Duration, duty: TaskId) -> Option<(Holder, u64, Duration)> {
        let grant = self.of.get(&duty)?;
        Some((grant.to.filter(|_| now < grant.until)?, grant.term, grant.until))
    }

    /// Duties that were ever granted here.
    pub fn duties(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.of.keys().copied()
    }

    pub fn quiet(&self, now: Duration) -> bool {
        now < self.quiet_until
    }
}
