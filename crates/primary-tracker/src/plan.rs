//! An announced change of a group's primary. A plan is a plain value that can be inspected at any time and called off
//! until it has ended.

use std::time::Duration;

/// How long writes in flight may take to end before the change proceeds without them.
const MAX_EMPTYING_TIME: Duration = Duration::from_secs(2);
/// How long a successor may take to claim the role before the change is undone.
const MAX_SUCCESSOR_WAIT: Duration = Duration::from_secs(5);

/// Why the primary is to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlanReason {
    /// The server list shows it as draining: it gets nothing new, whatever the result of the plan.
    Drain,
    /// An operator ordered it: the old primary remains usable until a successor claims.
    Order,
}

/// Why a plan ended without a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UndoReason {
    /// No successor claimed in time.
    NoSuccessor,
    /// The named successor drains or is gone.
    SuccessorLeft,
    /// The primary failed before it handed over, so what follows is an unplanned failover.
    Overtaken,
    /// The plan was called off.
    CalledOff,
}

/// Progress of a planned change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// New writes are held; those in flight at the old primary end.
    Emptying,
    /// All writes are held until a successor claims.
    Awaiting,
    /// A successor has begun its term.
    Done,
    /// The change ended without a successor.
    Undone(UndoReason),
}

/// A planned change of one group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Plan {
    pub group: usize,
    /// The primary that is to be replaced.
    pub leaving: usize,
    /// The requested successor, if any. If another member claims, it is accepted as well.
    pub successor: Option<usize>,
    pub reason: PlanReason,
    pub step: Step,
    /// When the plan began, and when its present step began.
    pub begun: Duration,
    pub since: Duration,
    /// When its present step ends at the latest, unless it has ended.
    pub(crate) step_ends: Duration,
    /// The leaving member was known as the primary here since the plan began. Before that its role can't be lost.
    pub(crate) leaving_seen: bool,
}

/// The state of the group on which a plan's next step depends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlanInputs {
    /// Writes in flight at the leaving primary.
    pub writes_in_flight: usize,
    /// Another member has begun a term since the plan began.
    pub succeeded: bool,
    /// The named successor may not be used.
    pub successor_left: bool,
    /// The leaving primary has lost its role, and not because of the plan.
    pub primary_lost: bool,
}

impl Plan {
    pub(crate) fn new(
        now: Duration,
        group: usize,
        leaving: usize,
        successor: Option<usize>,
        reason: PlanReason,
    ) -> Plan {
        let step = Step::Emptying;
        let step_ends = now + MAX_EMPTYING_TIME;
        Plan {
            group,
            leaving,
            successor,
            reason,
            step,
            begun: now,
            since: now,
            step_ends,
            leaving_seen: true,
        }
    }

    /// An ordered plan that was begun elsewhere, as far as it has come there; its step ends then at the latest.
    pub fn restored(
        now: Duration,
        group: usize,
        leaving: usize,
        successor: Option<usize>,
        step: Step,
        step_ends: Duration,
    ) -> Plan {
        let reason = PlanReason::Order;
        Plan {
            group,
            leaving,
            successor,
            reason,
            step,
            begun: now,
            since: now,
            step_ends,
            leaving_seen: false,
        }
    }

    /// Whether the change is done or undone.
    pub fn ended(&self) -> bool {
        matches!(self.step, Step::Done | Step::Undone(_))
    }

    /// Whether new writes of the group wait.
    pub fn holds_writes(&self) -> bool {
        !self.ended()
    }

    /// The time limit of the present step.
    pub fn step_deadline(&self) -> Option<Duration> {
        (!self.ended()).then_some(self.step_ends)
    }

    pub(crate) fn call_off(&mut self, now: Duration) {
        (self.step, self.since) = (Step::Undone(UndoReason::CalledOff), now);
    }

    /// Moves the plan on by the first rule that applies; returns false if none does.
    pub(crate) fn advance(&mut self, now: Duration, inputs: PlanInputs) -> bool {
        let late = self.step_deadline().is_some_and(|ends| ends <= now);
        let next = match self.step {
            Step::Done | Step::Undone(_) => return false,
            _ if inputs.succeeded => Step::Done,
            _ if inputs.primary_lost && self.reason == PlanReason::Order => {
                Step::Undone(UndoReason::Overtaken)
            }
            // A draining primary is of no further use, so any other successor is waited for.
            _ if inputs.successor_left && self.reason == PlanReason::Order => {
                Step::Undone(UndoReason::SuccessorLeft)
            }
            Step::Emptying if inputs.writes_in_flight == 0 || late => Step::Awaiting,
            Step::Awaiting if late => Step::Undone(UndoReason::NoSuccessor),
            Step::Emptying | Step::Awaiting => return false,
        };
        (self.step, self.since, self.step_ends) = (next, now, now + MAX_SUCCESSOR_WAIT);
        true
    }
}
