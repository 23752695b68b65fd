//! Pauses of the recording process: while it does not run, the emulated servers and clients read nothing, and what
//! they read right afterwards was sent earlier than its time in the history says.

use super::history::{History, Line};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The name of a pause in a history; its line stands at the end of the pause.
const PAUSE: &str = "paused";
const TICK: Duration = Duration::from_millis(5);
/// Shorter delays are covered by the time that a message may take.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Notes each pause of this process in the history until `over` is set.
pub(super) fn record_pauses(
    history: History,
    now: impl Fn() -> Duration + Send + 'static,
    over: Arc<AtomicBool>,
) {
    std::thread::spawn(move || {
        let mut last_tick = now();
        while !over.load(Ordering::Relaxed) {
            std::thread::sleep(TICK);
            let tick = now();
            if tick > last_tick + TICK + MIN_PAUSE {
                history.note(tick, PAUSE, json!({ "from": (last_tick + TICK).as_micros() as u64 }));
            }
            last_tick = tick;
        }
    });
}

/// The pauses in a history, in their order.
pub(super) struct Pauses(Vec<(Duration, Duration)>);

impl Pauses {
    pub(super) fn read(lines: &[Line]) -> Pauses {
        let pauses = lines.iter().filter(|line| line.what == PAUSE);
        Pauses(pauses.map(|line| (super::audit::micros(&line.more["from"]), line.at)).collect())
    }

    /// The earliest time at which a message may have been sent that was read at `read_at`, if it takes `delay` at
    /// most where the reader runs.
    pub(super) fn earliest_sent(&self, read_at: Duration, delay: Duration) -> Duration {
        let mut earliest = read_at.saturating_sub(delay);
        for &(from, to) in self.0.iter().rev().filter(|(from, _)| *from < read_at) {
            if to <= earliest {
                break;
            }
            earliest = earliest.saturating_sub(to.min(read_at) - from);
        }
        earliest
    }
}
