//! Checks the five rules against the true state of the world. It shares no logic with the router.

use juniperdock_router::host::{AttemptOutcome, Effect, Scope};
use std::collections::HashMap;
use std::time::Duration;

/// The text of each rule, in order.
pub const RULES: [&str; 5] = [
    "one final answer in time, and nothing sent after",
    "no effect twice, no decline of what may have run",
    "nothing new to what drains or is gone",
    "no cold member pushed over",
    "no stale read",
];

/// Maximum number of violations that are stored with a description; all are counted.
const MAX_STORED: usize = 50;

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Number of the rule, 1 to 5.
    pub rule: usize,
    pub at: Duration,
    pub what: String,
}

/// An earlier submission of the same txn, as its front knows it.
pub(crate) struct Earlier {
    pub sent: Duration,
    pub group: usize,
    pub zone: usize,
    pub ended: Option<AttemptOutcome>,
}

/// Counts violations of the rules, and keeps what the checks need.
#[derive(Debug, Default)]
pub struct Audit {
    pub counts: [usize; 5],
    pub broken: Vec<Violation>,
    /// By front and member: since when the front knows that it may send nothing new to the member.
    excluded_since: HashMap<(usize, usize), Duration>,
    /// By front and member: the epoch in which the member last reported to the front that it is a replica.
    replica_epochs: HashMap<(usize, usize), u32>,
}

/// Whether a submission may have taken effect; false for outcomes that exclude it.
fn may_have_run(earlier: &Earlier) -> bool {
    !matches!(
        earlier.ended,
        Some(
            AttemptOutcome::Full
                | AttemptOutcome::Unreachable
                | AttemptOutcome::Moot
                | AttemptOutcome::Misplaced
        )
    )
}

impl Audit {
    /// Whether no rule was violated.
    pub fn kept(&self) -> bool {
        self.counts.iter().all(|&count| count == 0)
    }

    /// Counts a violation; `what` describes it.
    pub(crate) fn record_violation(&mut self, rule: usize, at: Duration, what: impl FnOnce() -> String) {
        self.counts[rule - 1] += 1;
        if self.broken.len() < MAX_STORED {
            self.broken.push(Violation { rule, at, what: what() });
        }
    }

    /// Clears what a front knew, after it has ended.
    pub(crate) fn forget_front(&mut self, front: usize) {
        self.excluded_since.retain(|&(f, _), _| f != front);
        self.replica_epochs.retain(|&(f, _), _| f != front);
    }

    /// A list update has told a front whether it may send anything new to a member.
    pub(crate) fn observe_listed(&mut self, now: Duration, front: usize, member: usize, stopped: bool) {
        if stopped {
            self.excluded_since.entry((front, member)).or_insert(now);
        } else {
            self.excluded_since.remove(&(front, member));
        }
    }

    /// A front has received a member's report that it is a replica.
    pub(crate) fn observe_replica(&mut self, front: usize, member: usize, epoch: u32) {
        self.replica_epochs.insert((front, member), epoch);
    }

    /// Whether a front cannot know yet that a former primary is now a replica.
    pub(crate) fn excused(&self, front: usize, member: usize, was_primary: bool, epoch: u32) -> bool {
        was_primary && self.replica_epochs.get(&(front, member)) != Some(&epoch)
    }

    /// Checks rules 1 to 3 for a submission that is about to be sent.
    pub(crate) fn check_send(
        &mut self,
        now: Duration,
        front: usize,
        txn: u32,
        member: (usize, usize, usize),
        open: bool,
        effect: Effect,
        earlier: &[Earlier],
        drain_grace: Duration,
    ) {
        let (to, group, zone) = member;
        if !open {
            self.record_violation(1, now, || {
                format!("front {front} sends txn {txn} to member {to} after its end")
            });
        }
        if earlier.iter().any(|e| e.ended.is_none()) {
            self.record_violation(2, now, || format!("front {front} has two submissions of txn {txn} out"));
        }
        let maybe_run = earlier.iter().filter(|e| may_have_run(e));
        let forbidden = match effect {
            Effect::Repeatable => false,
            Effect::OnceOnly => maybe_run.count() > 0,
            Effect::Referenced { window, scope } => maybe_run.into_iter().any(|e| {
                let inside = match scope {
                    Scope::Everywhere => true,
                    Scope::Zone => e.zone == zone,
                    Scope::Group => e.group == group,
                };
                !inside || now > e.sent + window
            }),
        };
        if forbidden {
            self.record_violation(2, now, || {
                format!("front {front} sends txn {txn} again, which may have run")
            });
        }
        if self.excluded_since.get(&(front, to)).is_some_and(|&since| now > since + drain_grace) {
            self.record_violation(3, now, || {
                format!("front {front} sends txn {txn} to member {to}, which is to get none")
            });
        }
    }

    /// Checks rule 2 for a declined txn.
    pub(crate) fn check_decline(
        &mut self,
        now: Duration,
        front: usize,
        txn: u32,
        effect: Effect,
        earlier: &[Earlier],
    ) {
        let harmless = match effect {
            Effect::Repeatable | Effect::Referenced { scope: Scope::Everywhere, .. } => true,
            _ => !earlier.iter().any(may_have_run),
        };
        if !harmless {
            self.record_violation(2, now, || format!("front {front} declines txn {txn}, which may have run"));
        }
    }
}
