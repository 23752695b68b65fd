//! A fixed-size histogram of how long groups had no primary during recent changes: one for each group, one for all.

use std::time::Duration;

/// Two buckets an octave, starting at `FIRST_BUCKET_SPAN`; the last one has no upper bound.
const BUCKETS: usize = 24;
/// Durations up to this one, and up to half an octave more, go into the first bucket.
const FIRST_BUCKET_SPAN: Duration = Duration::from_millis(16);
/// Weight of one sample. All buckets are halved before one would overflow, so that old samples fade.
const SAMPLE_WEIGHT: u8 = 16;
/// Quantiles of fewer samples than this are not meaningful.
const MIN_SAMPLES: u32 = 3;

/// Histogram of leaderless durations in which newer samples weigh more. It takes 24 bytes; a duration is known within
/// 42%.
///
/// ```
/// use juniperdock_primary_tracker::LeaderlessDurations;
/// use std::time::Duration;
///
/// let mut durations = LeaderlessDurations::default();
/// assert_eq!(durations.expected_remaining(Duration::ZERO), None);
/// (0..5).for_each(|_| durations.add(Duration::from_millis(900)));
/// let left = durations.expected_remaining(Duration::from_millis(500)).unwrap();
/// assert!(left >= Duration::from_millis(300) && left <= Duration::from_millis(600), "{left:?}");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaderlessDurations {
    buckets: [u8; BUCKETS],
}

fn bucket(span: Duration) -> usize {
    let times = span.as_secs_f64() / FIRST_BUCKET_SPAN.as_secs_f64();
    // Two buckets an octave; shorter durations go into the first bucket.
    ((times.max(1.0).log2() * 2.0).floor() as usize).min(BUCKETS - 1)
}

/// The upper bound of a bucket.
fn bucket_end(bucket: usize) -> Duration {
    FIRST_BUCKET_SPAN.mul_f64(2f64.powf((bucket + 1) as f64 / 2.0))
}

impl LeaderlessDurations {
    /// Adds a sample.
    pub fn add(&mut self, span: Duration) {
        let at = bucket(span);
        if self.buckets[at] > u8::MAX - SAMPLE_WEIGHT {
            self.buckets.iter_mut().for_each(|bucket| *bucket /= 2);
        }
        self.buckets[at] += SAMPLE_WEIGHT;
    }

    /// The histogram in the form that `from_bytes` reads.
    pub fn as_bytes(&self) -> &[u8] {
        &self.buckets
    }

    /// Reads the form that `as_bytes` gives; an input of another length gives an empty histogram.
    pub fn from_bytes(bytes: &[u8]) -> LeaderlessDurations {
        bytes
            .try_into()
            .map_or_else(|_| LeaderlessDurations::default(), |buckets| LeaderlessDurations { buckets })
    }

    /// The number of samples; faded ones count in part.
    pub fn count(&self) -> u32 {
        self.buckets.iter().map(|&bucket| u32::from(bucket)).sum::<u32>() / u32::from(SAMPLE_WEIGHT)
    }

    /// The 75th percentile of how much longer a group stays leaderless that has been so for `lasted`, judged by past
    /// durations. If it has lasted longer than any of them, the estimate is as long again. `None` if there are too few
    /// samples.
    pub fn expected_remaining(&self, lasted: Duration) -> Option<Duration> {
        if self.count() < MIN_SAMPLES {
            return None;
        }
        let first = bucket(lasted);
        let longer: u32 = self.buckets[first..].iter().map(|&bucket| u32::from(bucket)).sum();
        let mut seen = 0;
        let quantile = (first..BUCKETS).find(|&at| {
            seen += u32::from(self.buckets[at]);
            longer > 0 && seen * 4 >= longer * 3
        });
        Some(quantile.map_or(lasted, bucket_end).saturating_sub(if longer > 0 {
            lasted
        } else {
            Duration::ZERO
        }))
    }
}
