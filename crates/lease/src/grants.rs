//! The acceptor's side: which lease this front has granted to whom, and until when. Kept in memory only.

use crate::TaskId;
use crate::claim::term_floor;
use std::collections::BTreeMap;
use std::time::Duration;

/// Upper bound on the number of tasks remembered; further tasks are not granted here.
const MAX_TASKS: usize = 4096;

/// A lease holder: a front, in one incarnation of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    pub front: u16,
    pub incarnation: u32,
}

/// The answer to a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Granted,
    /// The newest term known here, and how long the grant of another holder still runs.
    Refused {
        newest: u64,
        wait: Duration,
    },
    /// This front started too recently to know what it had granted before; no answer is sent.
    Quiet,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    term: u64,
    holder: Option<Holder>,
    until: Duration,
}

/// What one front has granted, by its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grants {
    lease_duration: Duration,
    quiet_until: Duration,
    /// No term below this is granted.
    term_floor: u64,
    by_task: BTreeMap<TaskId, Grant>,
}

impl Grants {
    /// State of a front that starts in `incarnation`. By the time it answers, every grant of its previous process has
    /// expired, and terms that were forgotten with that process are below those granted now.
    pub fn new(now: Duration, lease_duration: Duration, incarnation: u32) -> Grants {
        let quiet_until = now + lease_duration + lease_duration * 2 / crate::CLOCK_DRIFT_DIVISOR;
        Grants { lease_duration, quiet_until, term_floor: term_floor(incarnation), by_task: BTreeMap::new() }
    }

    /// A later incarnation of this front was seen: its terms may be higher.
    pub fn raise_term_floor(&mut self, incarnation: u32) {
        self.term_floor = self.term_floor.max(term_floor(incarnation));
    }

    /// Handles a request for a lease or for its renewal.
    pub fn request(&mut self, now: Duration, from: Holder, task: TaskId, term: u64) -> Answer {
        if now < self.quiet_until || !self.by_task.contains_key(&task) && self.by_task.len() >= MAX_TASKS {
            return Answer::Quiet;
        }
        let lease_duration = self.lease_duration;
        // Keeps terms from going back where every front that knew the newest one has restarted.
        if term < self.term_floor {
            return Answer::Refused { newest: self.term_floor, wait: Duration::ZERO };
        }
        let grant =
            self.by_task.entry(task).or_insert(Grant { term: 0, holder: None, until: Duration::ZERO });
        let is_holder = grant.holder == Some(from);
        // Keeps two holders from overlapping: a grant to another front runs to its end.
        if !is_holder && grant.holder.is_some() && now < grant.until {
            return Answer::Refused { newest: grant.term, wait: grant.until - now };
        }
        // Keeps terms from going back: a new term must be above all that were granted.
        if term < grant.term || term == grant.term && !is_holder {
            return Answer::Refused { newest: grant.term, wait: Duration::ZERO };
        }
        *grant = Grant { term, holder: Some(from), until: now + lease_duration };
        Answer::Granted
    }

    /// The holder releases the lease. Its term stays the newest.
    pub fn release(&mut self, from: Holder, task: TaskId, term: u64) {
        if let Some(grant) = self.by_task.get_mut(&task).filter(|g| g.holder == Some(from) && g.term <= term)
        {
            grant.holder = None;
        }
    }

    /// The newest term granted here, or the bound above all forgotten terms.
    pub fn newest_term(&self, task: TaskId) -> u64 {
        self.by_task.get(&task).map_or(0, |grant| grant.term).max(self.term_floor)
    }

    /// The current holder by this front's grants, with term and expiry.
    pub fn holder(&self, now: Duration, task: TaskId) -> Option<(Holder, u64, Duration)> {
        let grant = self.by_task.get(&task)?;
        Some((grant.holder.filter(|_| now < grant.until)?, grant.term, grant.until))
    }

    /// Tasks of which this front has ever granted the lease.
    pub fn tasks(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.by_task.keys().copied()
    }

    /// Whether this front started too recently to grant anything.
    pub fn is_quiet(&self, now: Duration) -> bool {
        now < self.quiet_until
    }
}
