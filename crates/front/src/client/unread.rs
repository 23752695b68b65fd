//! Whether a client's end may be behind bytes that are unread: then nothing may begin for it once that has lasted.
//!
//! A receive buffer that is empty does not prove that nothing is behind. While it was full, the client's machine kept
//! back what follows, the end included; it sends that only once it has learnt of the room. So bytes that may have
//! filled the buffer count as unread until no more has followed for a while.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Nothing more is started for a client of which bytes have been unread for this long: it may have left. Half of the time
/// within which attempts have to stop after a client has left.
const MAX_UNREAD_TIME: Duration = Duration::from_millis(50);

/// How long a receive buffer that was full has to stay empty. The client's machine answers room with bytes after one
/// round trip, and after what it and this one need to handle packets.
const SETTLING_TIME: Duration = Duration::from_millis(10);

/// Fewer bytes than this can't have filled a receive buffer: no window begins smaller (`tcp_select_initial_window` of
/// Linux with `tcp_workaround_signed_windows`).
const SMALLEST_WINDOW_BYTES: usize = 32_767;

/// Bytes that came in faster than they were read.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    since: Duration,
    /// How many of them have been read.
    read_bytes: usize,
    /// When the receive buffer was first found empty, if nothing has come in since.
    drained_at: Option<Duration>,
}

impl Backlog {
    /// When it ends unless more comes in.
    fn ends_at(&self) -> Option<Duration> {
        self.drained_at.map(|at| at + SETTLING_TIME)
    }

    fn is_over(&self, now: Duration) -> bool {
        self.ends_at().is_some_and(|end| now >= end)
    }
}

/// Shared by the client's actor and the guards of its requests.
#[derive(Debug, Default)]
pub(super) struct UnreadInput(Mutex<Option<Backlog>>);

impl UnreadInput {
    fn backlog(&self) -> MutexGuard<'_, Option<Backlog>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that this many bytes were read by now, and whether that was all that had come in; if not, the rest came in
    /// at `arrived` at the earliest.
    pub(super) fn record_read(&self, bytes: usize, all_read: bool, arrived: Duration, now: Duration) {
        let mut current = self.backlog();
        let mut backlog = match current.filter(|backlog| !backlog.is_over(now)) {
            Some(backlog) => backlog,
            None if all_read => return *current = None,
            None => Backlog { since: arrived, read_bytes: 0, drained_at: None },
        };
        backlog.read_bytes += bytes;
        if !all_read {
            backlog.drained_at = None;
        } else if bytes > 0 {
            backlog.drained_at = Some(now);
        } else {
            backlog.drained_at.get_or_insert(now);
        }
        let is_proven = all_read && backlog.read_bytes < SMALLEST_WINDOW_BYTES;
        *current = Some(backlog).filter(|_| !is_proven);
    }

    /// Whether the client may have left so long ago that nothing may begin for it.
    pub(super) fn may_hide_end(&self, now: Duration) -> bool {
        self.backlog().is_some_and(|backlog| !backlog.is_over(now) && now > backlog.since + MAX_UNREAD_TIME)
    }

    /// When that ends unless more comes in.
    pub(super) fn settles_at(&self) -> Option<Duration> {
        self.backlog().and_then(|backlog| backlog.ends_at())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/unread.rs"]
mod tests;
