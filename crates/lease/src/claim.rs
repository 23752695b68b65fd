//! The claimant's side: one front's attempt to hold the lease on one task.

use crate::{majority, usable_duration};
use std::time::Duration;

/// The low bits of a term hold the front's number, so that no two fronts ever request the same term.
const FRONT_BITS: u32 = 16;

/// No term requested before an incarnation began is above this: terms start from the incarnation and grow more slowly.
pub(crate) fn term_floor(incarnation: u32) -> u64 {
    u64::from(incarnation) << FRONT_BITS
}

/// One front's claim on one task: one round of requests at a time, and the result of the rounds so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    front: u16,
    /// The highest term that was observed, refused to this front or released by it; the next request goes above it.
    highest_seen: u64,
    /// The term and number of the current round, when it began, and which fronts have granted it.
    requested_term: u64,
    round: u32,
    round_started: Duration,
    granted_by: Vec<u16>,
    /// The term that a majority has granted, and until when it is valid.
    held: Option<(u64, Duration)>,
}

impl Claim {
    /// Terms start above the front's own incarnation, so that they rise even if no front remembers any.
    pub fn new(front: u16, incarnation: u32) -> Claim {
        let highest_seen = term_floor(incarnation);
        let (granted_by, held) = (Vec::new(), None);
        Claim {
            front,
            highest_seen,
            requested_term: 0,
            round: 0,
            round_started: Duration::ZERO,
            granted_by,
            held,
        }
    }

    /// Begins a round and returns the term to send with the requests. The lease counts from `now`, before any request
    /// is written. `round` must be a number that this process has used for no request of any claim: an answer to an
    /// earlier claim under the same term would otherwise count from too late a time.
    pub fn start_round(&mut self, now: Duration, round: u32) -> u64 {
        self.expire(now);
        if self.requested_term <= self.highest_seen {
            self.requested_term =
                ((self.highest_seen >> FRONT_BITS) + 1) << FRONT_BITS | u64::from(self.front);
        }
        (self.round, self.round_started) = (round, now);
        self.granted_by.clear();
        self.requested_term
    }

    /// Records one front's grant of a round; true if this front now holds a term that it did not hold before.
    pub fn record_grant(
        &mut self,
        now: Duration,
        from: u16,
        term: u64,
        round: u32,
        cluster_size: usize,
        lease_duration: Duration,
    ) -> bool {
        // A grant of an earlier round would count from too late a time.
        if (term, round) != (self.requested_term, self.round) || round == 0 || self.granted_by.contains(&from)
        {
            return false;
        }
        self.granted_by.push(from);
        self.granted_by.sort_unstable();
        let until = self.round_started + usable_duration(lease_duration);
        if self.granted_by.len() < majority(cluster_size) || until <= now {
            return false;
        }
        let before = self.held(now).map(|(term, _)| term);
        self.held = Some((term, until));
        before != Some(term)
    }

    /// Another front knows a term that is not below this front's: the next request goes above it.
    pub fn observe_term(&mut self, newest: u64) {
        self.highest_seen = self.highest_seen.max(newest.min(u64::MAX >> 1));
    }

    /// The term held now, and until when.
    pub fn held(&self, now: Duration) -> Option<(u64, Duration)> {
        self.held.filter(|&(_, until)| now < until)
    }

    /// If the lease has expired, returns the term that was held. That term is never requested again.
    pub fn expire(&mut self, now: Duration) -> Option<u64> {
        let (term, _) = self.held.take_if(|(_, until)| *until <= now)?;
        self.highest_seen = self.highest_seen.max(term);
        Some(term)
    }

    /// Gives up the lease and the current round; returns the term to release at the other fronts.
    pub fn release(&mut self) -> u64 {
        self.held = None;
        self.granted_by.clear();
        // Grants of the current round no longer count.
        self.round = 0;
        self.highest_seen = self.highest_seen.max(self.requested_term);
        self.requested_term
    }

    /// When the current round began.
    pub fn round_started(&self) -> Duration {
        self.round_started
    }

    /// Whether any front has granted the current round.
    pub fn has_grants(&self) -> bool {
        !self.granted_by.is_empty()
    }
}
