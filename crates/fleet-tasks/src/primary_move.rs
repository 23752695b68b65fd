//! A planned change of a group's primary for the whole fleet. Every present front holds that group's writes, waits for
//! those in flight, reports its progress, and resumes once a successor has claimed. Each front's hold is its own plan
//! and ends at its own deadline, whichever front fails.

use std::collections::BTreeMap;
use std::time::Duration;

/// A front that has not answered the hold for this long stops the change.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often a front that has not answered is asked again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// No front's hold lasts longer than this; a change that is not over by then is lost.
const MAX_DURATION: Duration = Duration::from_secs(9);

/// A front's progress with its hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldStep {
    /// It has been asked and has not answered.
    Asked,
    /// It holds new writes; earlier ones are still in flight.
    Emptying,
    /// No write is in flight.
    Awaiting,
    /// A successor has begun its term there.
    Done,
    /// It goes on with the old primary.
    Undone,
    /// It can't hold: it knows no primary, or another change is under way there.
    Refused,
}

impl HoldStep {
    const ALL: [HoldStep; 6] = [
        HoldStep::Asked,
        HoldStep::Emptying,
        HoldStep::Awaiting,
        HoldStep::Done,
        HoldStep::Undone,
        HoldStep::Refused,
    ];

    /// The printed name.
    pub fn name(self) -> &'static str {
        match self {
            HoldStep::Asked => "asked",
            HoldStep::Emptying => "emptying",
            HoldStep::Awaiting => "awaiting",
            HoldStep::Done => "done",
            HoldStep::Undone => "undone",
            HoldStep::Refused => "refused",
        }
    }

    fn ended(self) -> bool {
        matches!(self, HoldStep::Done | HoldStep::Undone | HoldStep::Refused)
    }
}

/// The result of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// At some front no successor claimed in time, or the change was cancelled there.
    Undone,
    /// That front could not hold.
    Refused(usize),
    /// That front did not answer, though it is present.
    Silent(usize),
    CalledOff,
    /// Another front owns the task, or the fleet has no majority: holds end at their own deadline.
    Lost,
}

/// What the owner is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveAction {
    /// Ask a front to hold.
    Hold(usize),
    /// Tell a front to release its hold.
    Release(usize),
    /// All fronts hold and none of their writes is in flight: the primary may be changed now.
    Ready,
    Ended(Outcome),
}

const HOLD: u8 = 1;
const RELEASE: u8 = 2;

/// Encodes the order to hold a group's writes. `order` identifies the change.
pub fn encode_hold(order: u64, successor: Option<&str>) -> Vec<u8> {
    postcard::to_allocvec(&(HOLD, order, successor)).unwrap_or_default()
}

/// Encodes the order to release the hold.
pub fn encode_release(order: u64) -> Vec<u8> {
    postcard::to_allocvec(&(RELEASE, order, None::<&str>)).unwrap_or_default()
}

/// Decodes either: the order, whether to hold, and the successor.
pub fn decode_order(payload: &[u8]) -> Option<(u64, bool, Option<&str>)> {
    let ((kind, order, successor), _) = postcard::take_from_bytes::<(u8, u64, Option<&str>)>(payload).ok()?;
    match kind {
        HOLD => Some((order, true, successor)),
        RELEASE => Some((order, false, None)),
        _ => None,
    }
}

/// Encodes a front's progress with an order.
pub fn encode_step(order: u64, step: HoldStep) -> Vec<u8> {
    postcard::to_allocvec(&(step as u8, order)).unwrap_or_default()
}

/// Decodes a front's progress with an order.
pub fn decode_step(payload: &[u8]) -> Option<(u64, HoldStep)> {
    let ((step, order), _) = postcard::take_from_bytes::<(u8, u64)>(payload).ok()?;
    Some((order, *HoldStep::ALL.get(usize::from(step))?))
}

/// A change, at the front that owns it.
#[derive(Clone, Debug)]
pub struct PrimaryMove {
    pub group: u64,
    pub successor: Option<String>,
    /// The term under which it began, which identifies it throughout.
    pub order: u64,
    /// The term under which this front owns the task now. It may rise, as a restarted front grants no lower one.
    pub term: u64,
    started: Duration,
    last_sent: Duration,
    /// Fronts that were present when it began and still are.
    pub fronts: BTreeMap<usize, HoldStep>,
    /// Fronts that left meanwhile: their holds ended with them, or end by themselves.
    pub departed: Vec<usize>,
    pub ready: bool,
    called_off: bool,
    pub outcome: Option<Outcome>,
}

impl PrimaryMove {
    /// Begins under a term of its task, with all present fronts.
    pub fn new(
        now: Duration,
        group: u64,
        successor: Option<String>,
        term: u64,
        present: &[usize],
    ) -> PrimaryMove {
        PrimaryMove {
            group,
            successor,
            order: term,
            term,
            started: now,
            last_sent: Duration::ZERO,
            fronts: present.iter().map(|&front| (front, HoldStep::Asked)).collect(),
            departed: Vec::new(),
            ready: false,
            called_off: false,
            outcome: None,
        }
    }

    /// Records a front's progress with an order. Reports may come late: no step is taken back.
    pub fn record_step(&mut self, front: usize, order: u64, step: HoldStep) {
        if let Some(its) = self.fronts.get_mut(&front).filter(|_| order == self.order) {
            *its = (*its).max(step);
        }
    }

    /// Cancels the change, unless a front has completed it.
    pub fn call_off(&mut self) {
        self.called_off = true;
    }

    /// When to check again if nothing arrives.
    pub fn next(&self) -> Option<Duration> {
        self.outcome.is_none().then_some(self.last_sent + RESEND_INTERVAL)
    }

    /// The actions of the first rule that applies; empty if there is nothing to do now. `term`: the one under which
    /// this front owns the task.
    pub fn next_actions(&mut self, now: Duration, term: Option<u64>, present: &[usize]) -> Vec<MoveAction> {
        if self.outcome.is_some() {
            return Vec::new();
        }
        // A front that loses the task sees that before it can own it again, as that takes answers of other fronts.
        match term {
            Some(term) if term >= self.term && now <= self.started + MAX_DURATION => self.term = term,
            _ => return self.finish(Outcome::Lost, false),
        }
        let departed: Vec<usize> =
            self.fronts.keys().copied().filter(|f| present.binary_search(f).is_err()).collect();
        for front in departed {
            if !self.fronts[&front].ended() {
                self.fronts.remove(&front);
                self.departed.push(front);
            }
        }
        let find =
            |step: HoldStep| self.fronts.iter().find(|(_, its)| **its == step).map(|(&front, _)| front);
        let done = find(HoldStep::Done).is_some();
        if self.called_off && !done {
            return self.finish(Outcome::CalledOff, true);
        }
        if let Some(front) = find(HoldStep::Refused) {
            return self.finish(Outcome::Refused(front), true);
        }
        if let Some(front) = find(HoldStep::Asked).filter(|_| now > self.started + ANSWER_TIMEOUT) {
            return self.finish(Outcome::Silent(front), true);
        }
        // A front that is back with the old primary must not have others wait for a new one.
        if find(HoldStep::Undone).is_some() && !done {
            return self.finish(Outcome::Undone, true);
        }
        if self.fronts.values().all(|step| step.ended()) {
            let undone = find(HoldStep::Undone).is_some();
            return self.finish(if undone { Outcome::Undone } else { Outcome::Done }, false);
        }
        if !self.ready && self.fronts.values().all(|&step| step >= HoldStep::Awaiting) {
            self.ready = true;
            return vec![MoveAction::Ready];
        }
        if now >= self.last_sent + RESEND_INTERVAL {
            self.last_sent = now;
            let asked = self.fronts.iter().filter(|(_, step)| **step == HoldStep::Asked);
            return asked.map(|(&front, _)| MoveAction::Hold(front)).collect();
        }
        Vec::new()
    }

    fn finish(&mut self, outcome: Outcome, release: bool) -> Vec<MoveAction> {
        self.outcome = Some(outcome);
        let holding = self.fronts.iter().filter(|(_, step)| release && !step.ended());
        let releases = holding.map(|(&front, _)| MoveAction::Release(front));
        releases.chain([MoveAction::Ended(outcome)]).collect()
    }
}
