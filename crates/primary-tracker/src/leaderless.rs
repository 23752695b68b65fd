//! How long changes of primaries took of late, as a sketch of fixed size: one for each group, one over all.

use std::time::Duration;

/// Half octaves from the shortest span on; the last one has no end.
const BUCKETS: usize = 24;
/// The first cell ends here.
const FIRST_BUCKET_SPAN: Duration = Duration::from_millis(16);
/// One vacancy adds so much; all cells are halved before one overflows, so that old ones fade.
const SAMPLE_WEIGHT: u8 = 16;
/// Quantiles of fewer vacancies than this say too little.
const MIN_SAMPLES: u32 = 3;

/// Counts of vacancies by their length, the newer ones weighing more. 24 bytes; a length is known within 42%.
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
    // Two cells an octave; what is no longer than the shortest goes into the first.
    ((times.max(1.0).log2() * 2.0).floor() as usize).min(BUCKETS - 1)
}

/// Where a cell ends.
fn bucket_end(bucket: usize) -> Duration {
    FIRST_BUCKET_SPAN.mul_f64(2f64.powf((bucket + 1) as f64 / 2.0))
}

impl LeaderlessDurations {
    pub fn add(&mut self, span: Duration) {
        let at = bucket(span);
        if self.buckets[at] > u8::MAX - SAMPLE_WEIGHT {
            self.buckets.iter_mut().for_each(|bucket| *bucket /= 2);
        }
        self.buckets[at] += SAMPLE_WEIGHT;
    }

    /// The sketch as bytes, and back; too few or too many are none.
    pub fn as_bytes(&self) -> &[u8] {
        &self.buckets
    }

    pub fn from_bytes(bytes: &[u8]) -> LeaderlessDurations {
        bytes
            .try_into()
            .map_or_else(|_| LeaderlessDurations::default(), |buckets| LeaderlessDurations { buckets })
    }

    /// Vacancies counted, the faded ones in part.
    pub fn count(&self) -> u32 {
        self.buckets.iter().map(|&bucket| u32::from(bucket)).sum::<u32>() / u32::from(SAMPLE_WEIGHT)
    }

    /// How long a vacancy that has lasted so long still lasts, in three cases of four as far as those before
    /// tell; one longer than any of them lasts as long again. `None` where too few are known.
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
