//! A change of primaries that was announced. A plan is a value: it can be looked at at any time, and called
//! off until it has ended.

use std::time::Duration;

/// How long the writes that are out may take to end, before the change goes on without them.
const MAX_EMPTYING_TIME: Duration = Duration::from_secs(2);
/// How long a successor may take to claim, before the change is undone.
const MAX_SUCCESSOR_WAIT: Duration = Duration::from_secs(5);

/// Why the primary is to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlanReason {
    /// The list says that it drains: it gets nothing new, whatever becomes of the plan.
    Drain,
    /// An operator's order: until a successor claims, it may be used again.
    Order,
}

/// Why a plan ended without a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UndoReason {
    /// None claimed in time.
    NoSuccessor,
    /// The one that was named drains or is gone.
    SuccessorLeft,
    /// The primary failed before it handed over: what follows is no planned change.
    Overtaken,
    /// It was called off.
    CalledOff,
}

/// How far a planned change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// New writes are held; those that are out at the old primary end.
    Emptying,
    /// All writes are held until a successor claims.
    Awaiting,
    /// A successor has begun its term.
    Done,
    /// The change is over without one.
    Undone(UndoReason),
}

/// A planned change of one group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Plan {
    pub group: usize,
    /// The primary that is to go.
    pub leaving: usize,
    /// Who is to follow, where that was said. Another one that claims is taken all the same.
    pub successor: Option<usize>,
    pub reason: PlanReason,
    pub step: Step,
    /// When the plan, and when its present step, began.
    pub begun: Duration,
    pub since: Duration,
}

/// What a plan goes by, as it stands now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlanInputs {
    /// Writes out at the primary that leaves.
    pub writes_in_flight: usize,
    /// Another member has begun a term since the plan began.
    pub succeeded: bool,
    /// The named successor may not be used.
    pub successor_left: bool,
    /// The leaving primary has lost the slot, and not by the plan.
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
        Plan { group, leaving, successor, reason, step: Step::Emptying, begun: now, since: now }
    }

    pub fn ended(&self) -> bool {
        matches!(self.step, Step::Done | Step::Undone(_))
    }

    /// Whether new writes of the group wait.
    pub fn holds_writes(&self) -> bool {
        !self.ended()
    }

    /// When the present step runs out of time.
    pub fn step_deadline(&self) -> Option<Duration> {
        match self.step {
            Step::Emptying => Some(self.since + MAX_EMPTYING_TIME),
            Step::Awaiting => Some(self.since + MAX_SUCCESSOR_WAIT),
            Step::Done | Step::Undone(_) => None,
        }
    }

    pub(crate) fn call_off(&mut self, now: Duration) {
        (self.step, self.since) = (Step::Undone(UndoReason::CalledOff), now);
    }

    /// The first rule that holds takes the plan one step on; false if none does.
    pub(crate) fn advance(&mut self, now: Duration, inputs: PlanInputs) -> bool {
        let late = self.step_deadline().is_some_and(|ends| ends <= now);
        let next = match self.step {
            Step::Done | Step::Undone(_) => return false,
            _ if inputs.succeeded => Step::Done,
            _ if inputs.primary_lost && self.reason == PlanReason::Order => {
                Step::Undone(UndoReason::Overtaken)
            }
            // With a drain the old one is of no use: whoever else may follow is waited for.
            _ if inputs.successor_left && self.reason == PlanReason::Order => {
                Step::Undone(UndoReason::SuccessorLeft)
            }
            Step::Emptying if inputs.writes_in_flight == 0 || late => Step::Awaiting,
            Step::Awaiting if late => Step::Undone(UndoReason::NoSuccessor),
            Step::Emptying | Step::Awaiting => return false,
        };
        (self.step, self.since) = (next, now);
        true
    }
}
