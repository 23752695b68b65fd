//! Fair shares of callers: a caller below the fair share gets all it requests; the excess is taken from the callers
//! that request most.

use crate::heavy_hitters::HeavyHitters;
use std::time::Duration;

/// How often the fair share is recomputed.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Half-life of the counts.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// A caller's bucket holds what its share refills in this time, and at least one txn.
const CALLER_BURST: Duration = Duration::from_millis(200);
/// Callers above their share are spread out: together they get at most what refills in this time at once.
const SHARED_BURST: Duration = Duration::from_millis(10);
/// The part of a caller's refill that a retry before its time costs.
const EARLY_RETRY_PENALTY: f64 = 0.5;
/// Bounds of the time after which a declined txn may be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    caller: u64,
    /// Txns that it may have now.
    tokens: f64,
    at: Duration,
    /// When its declined txn may be retried.
    retry_at: Duration,
}

/// Fair shares of callers.
#[derive(Clone, Debug)]
pub struct FairShare {
    sketch: HeavyHitters,
    /// Indexed by the slots of the sketch.
    buckets: Vec<Bucket>,
    /// Txns per second that one caller may have, none while there is enough; and that all callers above it may have
    /// together.
    share: Option<f64>,
    over_share_rate: f64,
    shared_bucket: Bucket,
    updated_at: Duration,
}

impl FairShare {
    /// Tracks up to `max_callers` callers.
    pub fn new(max_callers: usize) -> FairShare {
        let buckets = vec![Bucket::default(); max_callers.max(1)];
        FairShare {
            sketch: HeavyHitters::new(max_callers, HALF_LIFE),
            buckets,
            share: None,
            over_share_rate: 0.0,
            shared_bucket: Bucket::default(),
            updated_at: Duration::ZERO,
        }
    }

    /// Txns per second that one caller may have; none while there is enough for all.
    pub fn share(&self) -> Option<f64> {
        self.share
    }

    /// Txns per second that arrive in all.
    pub fn rate(&self, now: Duration) -> f64 {
        self.sketch.per_second(self.sketch.total(now))
    }

    /// Decides on one txn of a caller, where all may have `limit` per second. `retried`: it was declined before. The
    /// error is the time after which it may be retried.
    pub fn request(
        &mut self,
        now: Duration,
        caller: u64,
        retried: bool,
        limit: Option<f64>,
    ) -> Result<(), Duration> {
        let slot = self.sketch.add(now, caller, 1.0);
        if self.updated_at + UPDATE_INTERVAL <= now || limit.is_none() {
            self.updated_at = now;
            self.share = limit.and_then(|limit| self.fair_level(now, limit));
        }
        let Some(share) = self.share else { return Ok(()) };
        // A caller that is certainly below its share never waits for those above it.
        if self.sketch.per_second(self.sketch.lower_bound(now, caller)) <= share {
            return Ok(());
        }
        let burst = (share * CALLER_BURST.as_secs_f64()).max(1.0);
        let bucket = &mut self.buckets[slot];
        if bucket.caller != caller {
            *bucket = Bucket { caller, tokens: burst, at: now, retry_at: Duration::ZERO };
        }
        let since = now.saturating_sub(bucket.at).as_secs_f64();
        let refill_factor = if retried && now < bucket.retry_at { 1.0 - EARLY_RETRY_PENALTY } else { 1.0 };
        bucket.tokens = (bucket.tokens + share * since * refill_factor).min(burst);
        bucket.at = now;
        let (over_share_rate, shared_bucket) = (self.over_share_rate, &mut self.shared_bucket);
        let refill = over_share_rate * now.saturating_sub(shared_bucket.at).as_secs_f64();
        shared_bucket.tokens =
            (shared_bucket.tokens + refill).min((over_share_rate * SHARED_BURST.as_secs_f64()).max(1.0));
        shared_bucket.at = now;
        if bucket.tokens >= 1.0 && shared_bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            shared_bucket.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - bucket.tokens).max(0.0) / share.max(0.01);
        let wait = Duration::from_secs_f64(missing.min(MAX_RETRY_AFTER.as_secs_f64()));
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        bucket.retry_at = now + wait;
        Err(wait)
    }

    /// The share at which all callers together stay within the limit; none if they do anyway.
    fn fair_level(&mut self, now: Duration, limit: f64) -> Option<f64> {
        let rate = |count: f64| self.sketch.per_second(count);
        let total = rate(self.sketch.total(now));
        if total <= limit {
            return None;
        }
        let mut known: Vec<f64> = self.sketch.all(now).map(|(_, sure)| rate(sure)).collect();
        known.sort_unstable_by(f64::total_cmp);
        // Callers that are not tracked request little each, and get it.
        let unknown = (total - known.iter().sum::<f64>()).max(0.0);
        let mut left = (limit - unknown).max(1.0);
        let mut remaining = known.len();
        for &request in &known {
            let even = left / remaining as f64;
            if request > even {
                self.over_share_rate = left;
                return Some(even);
            }
            left -= request;
            remaining -= 1;
        }
        None
    }
}
