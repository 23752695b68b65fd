//! The rate that a front can handle, learned from the age of its messages when it handles them.

use juniperdock_router::sliding_sum::SlidingSum;
use std::time::Duration;

/// Window over which the age of messages is observed.
const AGE_WINDOW: Duration = Duration::from_millis(200);
/// How often the limit is adjusted.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Factors of the limit: while messages are late, and while they are in time.
const DECREASE_FACTOR: f64 = 0.9;
const INCREASE_FACTOR: f64 = 1.08;
/// After a decrease, earlier messages are worked off within this many times their age.
const SETTLE_FACTOR: u32 = 3;
/// The limit is lifted once messages have been in time for this long.
const CALM_PERIOD: Duration = Duration::from_secs(2);
/// Txns per second that are always admitted: with fewer, too little can be learned.
const MIN_TXNS_PER_SECOND: f64 = 20.0;

/// A limit on admitted txns that adapts to the age of messages.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    /// A message older than this is late.
    late_after: Duration,
    /// The ages of the oldest recent messages with their time windows, newest last.
    oldest: [(Duration, Duration); 2],
    done: SlidingSum,
    admitted: SlidingSum,
    limit: Option<f64>,
    updated_at: Duration,
    /// When a message was last late.
    last_late: Option<Duration>,
    /// Until when the effect of a decrease can't be judged.
    settles_at: Duration,
}

impl AdaptiveLimit {
    /// Without a limit at first; messages older than `late_after` are late.
    pub fn new(late_after: Duration) -> AdaptiveLimit {
        let ring = SlidingSum::new(AGE_WINDOW * 5, 10);
        let oldest = [(Duration::ZERO, Duration::ZERO); 2];
        AdaptiveLimit {
            late_after,
            oldest,
            done: ring.clone(),
            admitted: ring,
            limit: None,
            updated_at: Duration::ZERO,
            last_late: None,
            settles_at: Duration::ZERO,
        }
    }

    /// Records the age of a message when it was handled.
    pub fn message_handled(&mut self, now: Duration, age: Duration) {
        if now < self.settles_at {
            // Messages from before the decrease are still being worked off and say nothing about it.
            return;
        }
        if self.oldest[1].0 + AGE_WINDOW <= now {
            self.oldest = [self.oldest[1], (now, Duration::ZERO)];
        }
        self.oldest[1].1 = self.oldest[1].1.max(age);
        if age > self.late_after {
            self.last_late = Some(now);
        }
    }

    /// A txn was answered.
    pub fn txn_answered(&mut self, now: Duration) {
        self.done.add(now, 1.0);
    }

    /// A txn was admitted.
    pub fn txn_admitted(&mut self, now: Duration) {
        self.admitted.add(now, 1.0);
    }

    /// The age of the oldest recent message.
    pub fn behind(&self, now: Duration) -> Duration {
        let fresh = |&(at, _): &(Duration, Duration)| at + 2 * AGE_WINDOW > now;
        self.oldest.iter().filter(|seen| fresh(seen)).map(|seen| seen.1).max().unwrap_or_default()
    }

    /// Txns per second that may be admitted; none while there is no overload.
    pub fn limit(&mut self, now: Duration) -> Option<f64> {
        while self.updated_at + UPDATE_INTERVAL <= now
            && (self.decrease(now) || self.lift(now) || self.increase(now))
        {}
        self.limit
    }

    /// Messages are late: admit less than was completed, as the backlog still has to be worked off.
    fn decrease(&mut self, now: Duration) -> bool {
        let behind = self.behind(now);
        if behind <= self.late_after {
            return false;
        }
        let span = (AGE_WINDOW * 5).as_secs_f64();
        let done = self.done.sum(now).min(self.admitted.sum(now)) / span;
        let by = (self.late_after.as_secs_f64() / behind.as_secs_f64()).max(0.5).sqrt();
        self.limit = Some((self.limit.unwrap_or(done) * DECREASE_FACTOR * by).max(MIN_TXNS_PER_SECOND));
        (self.updated_at, self.oldest) = (now, [(now, Duration::ZERO); 2]);
        self.settles_at = now + behind * SETTLE_FACTOR;
        true
    }

    fn lift(&mut self, now: Duration) -> bool {
        if self.limit.is_none() || self.last_late.is_some_and(|at| at + CALM_PERIOD > now) {
            return false;
        }
        (self.limit, self.updated_at) = (None, now);
        true
    }

    fn increase(&mut self, now: Duration) -> bool {
        let Some(limit) = self.limit else { return false };
        self.updated_at = now;
        // Not above the demand: a limit that is not reached tells nothing.
        let met = self.admitted.sum(now) / (AGE_WINDOW * 5).as_secs_f64() > 0.7 * limit;
        self.limit = Some(if met { limit * INCREASE_FACTOR } else { limit });
        true
    }
}
