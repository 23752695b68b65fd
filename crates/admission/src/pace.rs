//! How much a front can take: learnt from how old its mail is when it comes to it.

use juniperdock_router::sliding_sum::SlidingSum;
use std::time::Duration;

/// Mail is looked at over this time.
const SPAN: Duration = Duration::from_millis(200);
/// The pace is set anew so often.
const EVERY: Duration = Duration::from_millis(100);
/// When mail is late the pace is this share of what was done; while it is not, it grows by this much.
const LOWER: f64 = 0.9;
const HIGHER: f64 = 1.08;
/// At a lower pace, what has come in before is worked off in so many times its age.
const EASES: u32 = 3;
/// No limit any more, once mail was in time for so long.
const CALM: Duration = Duration::from_secs(2);
/// Txns a second that are always taken: from a front that does less nothing can be learnt.
const LEAST: f64 = 20.0;

#[derive(Clone, Debug)]
pub struct Pace {
    /// Mail older than this is late.
    late: Duration,
    /// The oldest mail of late, by when: newest last.
    oldest: [(Duration, Duration); 2],
    done: SlidingSum,
    taken: SlidingSum,
    limit: Option<f64>,
    set: Duration,
    /// When mail was late last.
    short: Option<Duration>,
    /// Until when a lower pace can't be judged.
    eases: Duration,
}

impl Pace {
    pub fn new(late: Duration) -> Pace {
        let ring = SlidingSum::new(SPAN * 5, 10);
        let oldest = [(Duration::ZERO, Duration::ZERO); 2];
        Pace {
            late,
            oldest,
            done: ring.clone(),
            taken: ring,
            limit: None,
            set: Duration::ZERO,
            short: None,
            eases: Duration::ZERO,
        }
    }

    /// A piece of mail was handled, so old.
    pub fn handled(&mut self, now: Duration, age: Duration) {
        if now < self.eases {
            // What had come before the pace was lowered is still being worked off: it tells nothing of it.
            return;
        }
        if self.oldest[1].0 + SPAN <= now {
            self.oldest = [self.oldest[1], (now, Duration::ZERO)];
        }
        self.oldest[1].1 = self.oldest[1].1.max(age);
        if age > self.late {
            self.short = Some(now);
        }
    }

    /// A txn was answered; one was taken in.
    pub fn answered(&mut self, now: Duration) {
        self.done.add(now, 1.0);
    }

    pub fn took(&mut self, now: Duration) {
        self.taken.add(now, 1.0);
    }

    /// The age of the oldest mail of late.
    pub fn behind(&self, now: Duration) -> Duration {
        let fresh = |&(at, _): &(Duration, Duration)| at + 2 * SPAN > now;
        self.oldest.iter().filter(|seen| fresh(seen)).map(|seen| seen.1).max().unwrap_or_default()
    }

    /// Txns a second that may come in; none while nothing is short.
    pub fn limit(&mut self, now: Duration) -> Option<f64> {
        while self.set + EVERY <= now && (self.lower(now) || self.open(now) || self.higher(now)) {}
        self.limit
    }

    /// Mail is late: less is taken than was done. What was in hand when it began is still to be worked off.
    fn lower(&mut self, now: Duration) -> bool {
        let behind = self.behind(now);
        if behind <= self.late {
            return false;
        }
        let span = (SPAN * 5).as_secs_f64();
        let done = self.done.sum(now).min(self.taken.sum(now)) / span;
        let by = (self.late.as_secs_f64() / behind.as_secs_f64()).max(0.5).sqrt();
        self.limit = Some((self.limit.unwrap_or(done) * LOWER * by).max(LEAST));
        (self.set, self.oldest) = (now, [(now, Duration::ZERO); 2]);
        self.eases = now + behind * EASES;
        true
    }

    fn open(&mut self, now: Duration) -> bool {
        if self.limit.is_none() || self.short.is_some_and(|at| at + CALM > now) {
            return false;
        }
        (self.limit, self.set) = (None, now);
        true
    }

    fn higher(&mut self, now: Duration) -> bool {
        let Some(limit) = self.limit else { return false };
        self.set = now;
        // Not beyond what is asked for: a limit that nobody meets tells nothing.
        let met = self.taken.sum(now) / (SPAN * 5).as_secs_f64() > 0.7 * limit;
        self.limit = Some(if met { limit * HIGHER } else { limit });
        true
    }
}
