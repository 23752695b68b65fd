//! Sums over a sliding time window, in a ring of fixed buckets.

use std::time::Duration;

/// A sum over the last `span`, in buckets of equal width.
///
/// ```
/// use juniperdock_router::sliding_sum::SlidingSum;
/// use std::time::Duration;
///
/// let mut sent = SlidingSum::new(Duration::from_secs(1), 4);
/// sent.add(Duration::from_millis(100), 2.0);
/// sent.add(Duration::from_millis(900), 1.0);
/// assert_eq!(sent.sum(Duration::from_millis(950)), 3.0);
/// assert_eq!(sent.sum(Duration::from_millis(1300)), 1.0);
/// assert_eq!(sent.sum(Duration::from_secs(9)), 0.0);
/// ```
#[derive(Clone, Debug)]
pub struct SlidingSum {
    width: Duration,
    newest: u64,
    buckets: Vec<f64>,
}

impl SlidingSum {
    /// Uses one bucket more than requested, so that a sum always covers at least `span`.
    pub fn new(span: Duration, buckets: usize) -> Self {
        let buckets = buckets.max(1);
        let width = (span / buckets as u32).max(Duration::from_micros(1));
        SlidingSum { width, newest: 0, buckets: vec![0.0; buckets + 1] }
    }

    /// Clears the buckets whose time has passed.
    fn advance_to(&mut self, now: Duration) {
        let at = (now.as_micros() / self.width.as_micros()) as u64;
        let len = self.buckets.len() as u64;
        for step in (self.newest + 1).max((at + 1).saturating_sub(len))..=at {
            self.buckets[(step % len) as usize] = 0.0;
        }
        self.newest = self.newest.max(at);
    }

    /// Adds an amount at the time `now`.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.advance_to(now);
        let len = self.buckets.len() as u64;
        self.buckets[(self.newest % len) as usize] += amount;
    }

    /// The time that a sum covers at least.
    pub fn span(&self) -> Duration {
        self.width * (self.buckets.len() as u32 - 1)
    }

    /// The sum of all amounts added within the last `span`.
    pub fn sum(&mut self, now: Duration) -> f64 {
        self.advance_to(now);
        self.buckets.iter().sum()
    }
}
