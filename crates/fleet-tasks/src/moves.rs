//! A planned change of a group's primary for the whole fleet: every front that is there holds that group's writes
//! and ends what is out, tells so, and goes on once a successor has claimed. Each front's hold is its own plan and
//! ends by itself at its own time, whoever dies.

use std::collections::BTreeMap;
use std::time::Duration;

/// A front that has not said a word to the hold for so long stops the change.
const WORD: Duration = Duration::from_millis(1500);
/// It is told again so often.
const AGAIN: Duration = Duration::from_millis(100);
/// No front's hold lasts longer than this; what is not over by then was lost.
const LAST: Duration = Duration::from_secs(9);

/// How far one front is with its hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldStep {
    /// It has been told and has not said a word.
    Asked,
    /// It holds new writes; others are still out.
    Emptying,
    /// None is out.
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

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// At some front no successor claimed in time, or it was called off there.
    Undone,
    /// That front could not hold.
    Refused(usize),
    /// That front said nothing, though it is there.
    Silent(usize),
    CalledOff,
    /// The duty went to another, or the fleet has no majority: holds end at their own time.
    Lost,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Tell a front to hold.
    Hold(usize),
    /// Tell it to let go.
    Release(usize),
    /// All hold and none of their writes is out: the primary may be changed now.
    Ready,
    Ended(Outcome),
}

const HOLD: u8 = 1;
const RELEASE: u8 = 2;

/// The payload that has a front hold a group's writes. `order`: the same as long as it is the same change.
pub fn hold(order: u64, successor: Option<&str>) -> Vec<u8> {
    postcard::to_allocvec(&(HOLD, order, successor)).unwrap_or_default()
}

/// The one that has it let go.
pub fn release(order: u64) -> Vec<u8> {
    postcard::to_allocvec(&(RELEASE, order, None::<&str>)).unwrap_or_default()
}

/// Reads either: of which order, whether to hold, and who is to follow.
pub fn words(payload: &[u8]) -> Option<(u64, bool, Option<&str>)> {
    let ((what, order, successor), _) = postcard::take_from_bytes::<(u8, u64, Option<&str>)>(payload).ok()?;
    match what {
        HOLD => Some((order, true, successor)),
        RELEASE => Some((order, false, None)),
        _ => None,
    }
}

/// A front's word on its step in an order.
pub fn say(order: u64, step: HoldStep) -> Vec<u8> {
    postcard::to_allocvec(&(step as u8, order)).unwrap_or_default()
}

/// Reads it.
pub fn step(word: &[u8]) -> Option<(u64, HoldStep)> {
    let ((step, order), _) = postcard::take_from_bytes::<(u8, u64)>(word).ok()?;
    Some((order, *HoldStep::ALL.get(usize::from(step))?))
}

/// A change, at the front that owns it.
#[derive(Clone, Debug)]
pub struct Move {
    pub group: u64,
    pub successor: Option<String>,
    /// The term under which it began: its number for as long as it lasts.
    pub order: u64,
    /// The term under which its owner owns the duty now. It may rise: a front that has started anew knows no lower.
    pub term: u64,
    begun: Duration,
    said: Duration,
    /// Those that were there when it began, and are.
    pub fronts: BTreeMap<usize, HoldStep>,
    /// Fronts that went meanwhile: their holds went with them, or end by themselves.
    pub gone: Vec<usize>,
    pub ready: bool,
    called_off: bool,
    pub outcome: Option<Outcome>,
}

impl Move {
    /// Begins under a term of its duty, with all fronts that are there.
    pub fn new(now: Duration, group: u64, successor: Option<String>, term: u64, present: &[usize]) -> Move {
        Move {
            group,
            successor,
            order: term,
            term,
            begun: now,
            said: Duration::ZERO,
            fronts: present.iter().map(|&front| (front, HoldStep::Asked)).collect(),
            gone: Vec::new(),
            ready: false,
            called_off: false,
            outcome: None,
        }
    }

    /// A front has said how far it is in an order. Words may come late: no step is gone back.
    pub fn told(&mut self, front: usize, order: u64, step: HoldStep) {
        if let Some(its) = self.fronts.get_mut(&front).filter(|_| order == self.order) {
            *its = (*its).max(step);
        }
    }

    pub fn call_off(&mut self) {
        self.called_off = true;
    }

    /// When to look again though nothing has come in.
    pub fn next(&self) -> Option<Duration> {
        self.outcome.is_none().then_some(self.said + AGAIN)
    }

    /// The first rule that holds; none, if there is nothing to be done now. `term`: the one under which this front
    /// owns the duty.
    pub fn rule(&mut self, now: Duration, term: Option<u64>, present: &[usize]) -> Vec<Act> {
        if self.outcome.is_some() {
            return Vec::new();
        }
        // Who loses the duty sees that before it can have got it again: that takes an answer of others.
        match term {
            Some(term) if term >= self.term && now <= self.begun + LAST => self.term = term,
            _ => return self.end(Outcome::Lost, false),
        }
        let gone: Vec<usize> =
            self.fronts.keys().copied().filter(|f| present.binary_search(f).is_err()).collect();
        for front in gone {
            if !self.fronts[&front].ended() {
                self.fronts.remove(&front);
                self.gone.push(front);
            }
        }
        let find =
            |step: HoldStep| self.fronts.iter().find(|(_, its)| **its == step).map(|(&front, _)| front);
        let done = find(HoldStep::Done).is_some();
        if self.called_off && !done {
            return self.end(Outcome::CalledOff, true);
        }
        if let Some(front) = find(HoldStep::Refused) {
            return self.end(Outcome::Refused(front), true);
        }
        if let Some(front) = find(HoldStep::Asked).filter(|_| now > self.begun + WORD) {
            return self.end(Outcome::Silent(front), true);
        }
        // One that is back with the old primary must not have others wait for a new one.
        if find(HoldStep::Undone).is_some() && !done {
            return self.end(Outcome::Undone, true);
        }
        if self.fronts.values().all(|step| step.ended()) {
            let undone = find(HoldStep::Undone).is_some();
            return self.end(if undone { Outcome::Undone } else { Outcome::Done }, false);
        }
        if !self.ready && self.fronts.values().all(|&step| step >= HoldStep::Awaiting) {
            self.ready = true;
            return vec![Act::Ready];
        }
        if now >= self.said + AGAIN {
            self.said = now;
            let asked = self.fronts.iter().filter(|(_, step)| **step == HoldStep::Asked);
            return asked.map(|(&front, _)| Act::Hold(front)).collect();
        }
        Vec::new()
    }

    fn end(&mut self, outcome: Outcome, release: bool) -> Vec<Act> {
        self.outcome = Some(outcome);
        let holding = self.fronts.iter().filter(|(_, step)| release && !step.ended());
        let releases = holding.map(|(&front, _)| Act::Release(front));
        releases.chain([Act::Ended(outcome)]).collect()
    }
}
