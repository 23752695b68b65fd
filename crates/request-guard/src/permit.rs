//! Whether one attempt may still be written, and whether its last byte may still arrive. The permit is checked right
//! before the first byte is written and binds until the attempt has arrived: until then the operating system may hold
//! bytes of it for any time.

use crate::invariants::Violation;
use crate::request::{RequestGuard, Withheld};
use juniperdock_attempt_outcome::WriteProgress;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

/// How long a process may stall between reading its clock and writing (`STANDING.md`).
const MAX_CLOCK_TO_WRITE: Duration = Duration::from_millis(150);

const NOT_BEGUN: u8 = 0;
const PARTIAL: u8 = 1;
const HANDED_OVER: u8 = 2;
const SETTLED: u8 = 3;

struct State {
    /// In microseconds.
    valid_until: AtomicU64,
    progress: AtomicU8,
}

/// Whether one attempt may still be written or arrive; clones share their state.
#[derive(Clone)]
pub struct AttemptPermit {
    request: RequestGuard,
    state: Arc<State>,
}

impl AttemptPermit {
    pub(crate) fn new(request: RequestGuard, valid_until: Duration) -> AttemptPermit {
        let valid_until = AtomicU64::new(micros(valid_until));
        AttemptPermit { request, state: Arc::new(State { valid_until, progress: AtomicU8::new(NOT_BEGUN) }) }
    }

    /// Changes until when the permit is valid; this binds until the attempt is settled.
    pub fn set_valid_until(&self, at: Duration) {
        self.state.valid_until.store(micros(at), Ordering::Relaxed);
    }

    /// Until when the permit is valid, as far as is known now.
    pub fn valid_until(&self) -> Duration {
        Duration::from_micros(self.state.valid_until.load(Ordering::Relaxed))
    }

    /// How far the attempt has got.
    pub fn progress(&self) -> WriteProgress {
        match self.state.progress.load(Ordering::Relaxed) {
            NOT_BEGUN => WriteProgress::NotBegun,
            PARTIAL => WriteProgress::Partial,
            HANDED_OVER => WriteProgress::HandedOver,
            _ => WriteProgress::Settled,
        }
    }

    /// Whether the attempt could be written now, as far as this process knows. Does not consume the permit, and does
    /// not check with the operating system whether the client is still connected.
    pub fn check(&self, now: Duration) -> Result<(), Withheld> {
        if !self.request.is_open() {
            Err(Withheld::Ended)
        } else if now >= self.valid_until() {
            Err(Withheld::OutOfTime)
        } else {
            Ok(())
        }
    }

    /// Called once, right before the first byte is written: consumes the permit, whether or not it is granted.
    pub fn consume(&self, now: Duration) -> Result<(), Withheld> {
        let granted = self.check(now).and_then(|()| self.request.client_is_there());
        self.set_progress(if granted.is_ok() { PARTIAL } else { SETTLED });
        granted
    }

    /// Checked before each further piece of an attempt that the operating system did not take at once, and again while
    /// it holds bytes that have not arrived: the server begins to execute it with its last byte only.
    pub fn may_continue(&self, now: Duration) -> Result<(), Withheld> {
        self.request.may_start(now)?;
        self.check(now)?;
        self.request.client_is_there()
    }

    /// Called with a fresh reading of the clock once the last byte was handed to the operating system; counts
    /// violations.
    pub fn record_written(&self, now: Duration) {
        self.set_progress(HANDED_OVER);
        if !self.request.is_open() {
            self.request.count(Violation::SentAfterEnd);
        }
        if now >= self.request.deadline() + MAX_CLOCK_TO_WRITE {
            self.request.count(Violation::SentAfterDeadline);
        } else if now >= self.valid_until() + MAX_CLOCK_TO_WRITE {
            self.request.count(Violation::SentAfterPermit);
        }
    }

    /// Called once the attempt is known to have arrived, or is given up so that it never will.
    pub fn settle(&self) {
        self.set_progress(SETTLED);
    }

    fn set_progress(&self, progress: u8) {
        self.state.progress.store(progress, Ordering::Relaxed);
    }
}

fn micros(at: Duration) -> u64 {
    u64::try_from(at.as_micros()).unwrap_or(u64::MAX)
}
