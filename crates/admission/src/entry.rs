//! The door: what is turned away there, by a short list of rules.

use crate::fair::Fair;
use crate::pace::Pace;
use juniperdock_router::sliding_sum::SlidingSum;
use oorandom::Rand64;
use std::time::Duration;

/// What comes of each type is counted over this time.
const SPAN: Duration = Duration::from_secs(1);
/// So late that what is worth least is turned away too, as a multiple of what counts as late.
const MUCH: u32 = 3;
/// When what was turned away for its worth may come back, as a share of its SLA time.
const BACK: f64 = 0.5;

/// What becomes of a txn at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Comes,
    /// Its caller asks beyond its share. It may come back after that time.
    Share(Duration),
    /// It is worth less per work than others that have to be taken.
    Worth(Duration),
}

/// How the door stands.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Txns a second that come in, and that may; none while nothing is short.
    pub asked: f64,
    pub limit: Option<f64>,
    pub share: Option<f64>,
    pub behind: Duration,
    pub turned_for_share: u64,
    pub turned_for_worth: u64,
}

#[derive(Clone, Debug)]
struct Kind {
    dense: f64,
    sla: Duration,
    came: SlidingSum,
}

#[derive(Clone, Debug)]
pub struct Entry {
    late: Duration,
    fair: Fair,
    pace: Pace,
    kinds: Vec<Kind>,
    rng: Rand64,
    turned: [u64; 2],
}

impl Entry {
    /// `late`: mail older than that shows that the front is behind. `callers`: so many are told apart.
    /// `kinds`: of each txn type its value per work, and its SLA time.
    pub fn new(seed: u64, late: Duration, callers: usize, kinds: &[(f64, Duration)]) -> Entry {
        let kind = |&(dense, sla): &(f64, Duration)| Kind { dense, sla, came: SlidingSum::new(SPAN, 10) };
        let kinds = kinds.iter().map(kind).collect();
        Entry {
            late,
            fair: Fair::new(callers),
            pace: Pace::new(late),
            kinds,
            rng: Rand64::new(seed.into()),
            turned: [0; 2],
        }
    }

    /// The front has come to a piece of mail that had waited so long.
    pub fn handled(&mut self, now: Duration, age: Duration) {
        self.pace.handled(now, age);
    }

    /// A txn that had come in has its answer.
    pub fn answered(&mut self, now: Duration) {
        self.pace.answered(now);
    }

    /// A txn of a type stands at the door; `again` if it says that it was turned away before.
    pub fn asks(&mut self, now: Duration, caller: u64, kind: usize, again: bool) -> Verdict {
        let limit = self.pace.limit(now);
        self.kinds[kind].came.add(now, 1.0);
        let verdict = match self.fair.asks(now, caller, again, limit) {
            Err(wait) => Verdict::Share(wait),
            Ok(()) => self.worth(now, kind, limit).map_or(Verdict::Comes, Verdict::Worth),
        };
        match verdict {
            Verdict::Comes => self.pace.took(now),
            Verdict::Share(_) => self.turned[0] += 1,
            Verdict::Worth(_) => self.turned[1] += 1,
        }
        verdict
    }

    /// Much too late: of all that comes only so much can be taken, what is worth most per work first.
    fn worth(&mut self, now: Duration, kind: usize, limit: Option<f64>) -> Option<Duration> {
        let limit = limit.filter(|_| self.pace.behind(now) > self.late * MUCH)?;
        let dense = self.kinds[kind].dense;
        let mut above = 0.0;
        for other in &mut self.kinds {
            if other.dense > dense {
                above += other.came.sum(now);
            }
        }
        let its = self.kinds[kind].came.sum(now).max(1.0);
        let part = ((limit * SPAN.as_secs_f64() - above) / its).clamp(0.0, 1.0);
        let turned = self.rng.rand_float() >= part;
        turned.then(|| self.kinds[kind].sla.mul_f64(BACK * (1.0 + self.rng.rand_float())))
    }

    pub fn standing(&mut self, now: Duration) -> Standing {
        Standing {
            asked: self.fair.rate(now),
            limit: self.pace.limit(now),
            share: self.fair.share(),
            behind: self.pace.behind(now),
            turned_for_share: self.turned[0],
            turned_for_worth: self.turned[1],
        }
    }
}
