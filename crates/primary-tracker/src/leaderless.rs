//! How long changes of primaries took of late, as a sketch of fixed size: one for each group, one over all.

use std::time::Duration;

/// Half octaves from the shortest span on; the last one has no end.
const CELLS: usize = 24;
/// The first cell ends here.
const SHORTEST: Duration = Duration::from_millis(16);
/// One vacancy adds so much; all cells are halved before one overflows, so that old ones fade.
const WEIGHT: u8 = 16;
/// Quantiles of fewer vacancies than this say too little.
const ENOUGH: u32 = 3;

/// Counts of vacancies by their length, the newer ones weighing more. 24 bytes; a length is known within 42%.
///
/// ```
/// use juniperdock_primary_tracker::LeaderlessDurations;
/// use std::time::Duration;
///
/// let mut of_late = LeaderlessDurations::default();
/// assert_eq!(of_late.left(Duration::ZERO), None);
/// (0..5).for_each(|_| of_late.add(Duration::from_millis(900)));
/// let left = of_late.left(Duration::from_millis(500)).unwrap();
/// assert!(left >= Duration::from_millis(300) && left <= Duration::from_millis(600), "{left:?}");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaderlessDurations {
    cells: [u8; CELLS],
}

fn cell(span: Duration) -> usize {
    let times = span.as_secs_f64() / SHORTEST.as_secs_f64();
    // Two cells an octave; what is no longer than the shortest goes into the first.
    ((times.max(1.0).log2() * 2.0).floor() as usize).min(CELLS - 1)
}

/// Where a cell ends.
fn end(cell: usize) -> Duration {
    SHORTEST.mul_f64(2f64.powf((cell + 1) as f64 / 2.0))
}

impl LeaderlessDurations {
    pub fn add(&mut self, span: Duration) {
        let at = cell(span);
        if self.cells[at] > u8::MAX - WEIGHT {
            self.cells.iter_mut().for_each(|cell| *cell /= 2);
        }
        self.cells[at] += WEIGHT;
    }

    /// The sketch as bytes, and back; too few or too many are none.
    pub fn as_bytes(&self) -> &[u8] {
        &self.cells
    }

    pub fn from_bytes(bytes: &[u8]) -> LeaderlessDurations {
        bytes
            .try_into()
            .map_or_else(|_| LeaderlessDurations::default(), |cells| LeaderlessDurations { cells })
    }

    /// Vacancies counted, the faded ones in part.
    pub fn count(&self) -> u32 {
        self.cells.iter().map(|&cell| u32::from(cell)).sum::<u32>() / u32::from(WEIGHT)
    }

    /// How long a vacancy that has lasted so long still lasts, in three cases of four as far as those before
    /// tell; one longer than any of them lasts as long again. `None` where too few are known.
    pub fn left(&self, lasted: Duration) -> Option<Duration> {
        if self.count() < ENOUGH {
            return None;
        }
        let first = cell(lasted);
        let longer: u32 = self.cells[first..].iter().map(|&cell| u32::from(cell)).sum();
        let mut seen = 0;
        let quantile = (first..CELLS).find(|&at| {
            seen += u32::from(self.cells[at]);
            longer > 0 && seen * 4 >= longer * 3
        });
        Some(quantile.map_or(lasted, end).saturating_sub(if longer > 0 { lasted } else { Duration::ZERO }))
    }
}
