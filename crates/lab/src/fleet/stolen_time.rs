//! Processor time that the hypervisor gives to other virtual machines while a run is recorded. A run that lacks it
//! breaks bounds on time that hold otherwise; the history shows when that was.

use super::history::{History, Line};
use serde_json::json;
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The name of a measurement in a history; its line stands at the end of the window.
const MEASUREMENT: &str = "stolen time";
const WINDOW: Duration = Duration::from_millis(500);

/// The ticks of all processors since the machine started, from the kernel.
#[derive(Clone, Copy, Default)]
struct Ticks {
    stolen: u64,
    total: u64,
}

impl Ticks {
    fn read() -> Ticks {
        let stat = std::fs::read_to_string("/proc/stat").unwrap_or_default();
        Ticks::parse(&stat).unwrap_or_default()
    }

    /// The first line of `/proc/stat`: user, nice, system, idle, iowait, irq, softirq, steal.
    fn parse(stat: &str) -> Option<Ticks> {
        const COLUMNS: usize = 8;
        let columns = stat.lines().next()?.strip_prefix("cpu ")?;
        let columns = columns.split_whitespace().take(COLUMNS).map(str::parse);
        let ticks: Vec<u64> = columns.collect::<Result<_, _>>().ok()?;
        Some(Ticks { stolen: *ticks.get(COLUMNS - 1)?, total: ticks.iter().sum() })
    }

    fn stolen_share_since(self, earlier: Ticks) -> f64 {
        let total = self.total.saturating_sub(earlier.total).max(1);
        self.stolen.saturating_sub(earlier.stolen) as f64 / total as f64
    }
}

/// Notes in the history which share of each window was stolen, until `over` is set.
pub(super) fn record_stolen_time(
    history: History,
    now: impl Fn() -> Duration + Send + 'static,
    over: Arc<AtomicBool>,
) {
    std::thread::spawn(move || {
        let mut before = Ticks::read();
        loop {
            std::thread::sleep(WINDOW);
            if over.load(Ordering::Relaxed) {
                return;
            }
            let after = Ticks::read();
            history.note(now(), MEASUREMENT, json!({ "share": after.stolen_share_since(before) }));
            before = after;
        }
    });
}

/// The shares of a run's processor time that were stolen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StolenTime {
    pub mean_share: f64,
    /// The largest share of one window, and the end of that window.
    pub max_share: f64,
    pub max_at: Duration,
}

impl StolenTime {
    pub fn read(lines: &[Line]) -> StolenTime {
        let mut stolen = StolenTime::default();
        let windows = lines.iter().filter(|line| line.what == MEASUREMENT);
        let shares: Vec<(Duration, f64)> =
            windows.map(|line| (line.at, line.more["share"].as_f64().unwrap_or_default())).collect();
        for &(at, share) in &shares {
            stolen.mean_share += share / shares.len() as f64;
            if share > stolen.max_share {
                (stolen.max_share, stolen.max_at) = (share, at);
            }
        }
        stolen
    }
}

impl Display for StolenTime {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let (mean, max) = (self.mean_share * 100.0, self.max_share * 100.0);
        let at = self.max_at.as_secs_f64();
        write!(out, "the hypervisor took {mean:.0} % of all processor time, {max:.0} % up to {at:.1} s")
    }
}
