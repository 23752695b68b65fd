//! Since when bytes of a client are unread. Its end is behind them, so nothing may begin for it once that is long ago.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// All that came in has been read.
const NOTHING_UNREAD: u64 = u64::MAX;

/// Shared by the client's actor and the guards of its requests.
#[derive(Debug)]
pub(super) struct UnreadSince(AtomicU64);

impl Default for UnreadSince {
    fn default() -> Self {
        UnreadSince(AtomicU64::new(NOTHING_UNREAD))
    }
}

impl UnreadSince {
    /// Records whether the last read took all that had come in; if not, the rest came in at `arrived` at the earliest.
    pub(super) fn update(&self, all_read: bool, arrived: Duration) {
        if all_read {
            self.0.store(NOTHING_UNREAD, Ordering::Relaxed);
        } else if self.0.load(Ordering::Relaxed) == NOTHING_UNREAD {
            self.0.store(arrived.as_micros() as u64, Ordering::Relaxed);
        }
    }

    /// Whether bytes have been unread since before this time.
    pub(super) fn is_before(&self, time: Duration) -> bool {
        u128::from(self.0.load(Ordering::Relaxed)) < time.as_micros()
    }
}
