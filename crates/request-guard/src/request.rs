//! The lifetime of one request: open until it is answered or its client has left, whichever comes first. All that work
//! for a request share its guard; the permit of an attempt is checked right before its bytes are written.

use crate::invariants::{Invariants, Violation};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

/// Checks with the operating system, at the time of the call, whether a client is still connected.
pub trait ClientPresence: Send + Sync {
    /// Whether the client has closed its connection.
    fn has_left(&self) -> bool;

    /// Whether so much of what the client has sent is unread, and has been for so long, that it may have closed its
    /// connection without being seen to.
    fn may_have_left(&self) -> bool {
        false
    }
}

/// Why an attempt must not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The request was answered or abandoned.
    Ended,
    /// Its deadline has passed, or the reasons for which this server was chosen no longer hold.
    OutOfTime,
    /// Its client has closed the connection.
    ClientLeft,
    /// Its client sends faster than it is read, and may have closed the connection.
    ClientUnread,
}

const OPEN: u8 = 0;
const ANSWERED: u8 = 1;
const ABANDONED: u8 = 2;

struct Inner {
    deadline: Duration,
    state: AtomicU8,
    client: Box<dyn ClientPresence>,
    invariants: Arc<Invariants>,
}

/// Shared by all that work for one request; clones share their state. Times count from the start of the process.
#[derive(Clone)]
pub struct RequestGuard(Arc<Inner>);

impl fmt::Debug for RequestGuard {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "RequestGuard(open: {})", self.is_open())
    }
}

impl RequestGuard {
    /// The guard of a request that has just arrived.
    pub fn new(
        deadline: Duration,
        client: Box<dyn ClientPresence>,
        invariants: Arc<Invariants>,
    ) -> RequestGuard {
        RequestGuard(Arc::new(Inner { deadline, state: AtomicU8::new(OPEN), client, invariants }))
    }

    /// Whether the request has no final answer yet and its client is, as far as is known, still connected.
    pub fn is_open(&self) -> bool {
        self.0.state.load(Ordering::Relaxed) == OPEN
    }

    /// Records the final answer. Only the first call before any end returns true; an answer after that must not be
    /// sent.
    pub fn answer(&self) -> bool {
        self.end(ANSWERED)
    }

    /// Records that the client has left: nothing more is done for the request.
    pub fn abandon(&self) -> bool {
        self.end(ABANDONED)
    }

    fn end(&self, state: u8) -> bool {
        self.0.state.compare_exchange(OPEN, state, Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }

    /// Checked before the request is started: it must not have ended, nor be past its deadline.
    pub fn may_start(&self, now: Duration) -> Result<(), Withheld> {
        if !self.is_open() {
            Err(Withheld::Ended)
        } else if now >= self.0.deadline {
            Err(Withheld::OutOfTime)
        } else {
            Ok(())
        }
    }

    /// A permit for one attempt, valid until this time unless that is changed.
    pub fn permit(&self, valid_until: Duration) -> AttemptPermit {
        AttemptPermit { request: self.clone(), valid_until: Arc::new(AtomicU64::new(micros(valid_until))) }
    }
}

/// `valid_until` of a permit that was consumed: the attempt was written, or never will be.
const CONSUMED: u64 = u64::MAX;

/// Whether one attempt may still be written; clones share their state.
#[derive(Clone)]
pub struct AttemptPermit {
    request: RequestGuard,
    /// In microseconds.
    valid_until: Arc<AtomicU64>,
}

impl AttemptPermit {
    /// Changes until when the permit is valid. Must not be called once it is consumed.
    pub fn set_valid_until(&self, at: Duration) {
        self.valid_until.store(micros(at), Ordering::Relaxed);
    }

    /// Whether the attempt was written, or never will be.
    pub fn is_consumed(&self) -> bool {
        self.valid_until.load(Ordering::Relaxed) == CONSUMED
    }

    /// Whether the attempt could be written now, as far as this process knows. Does not consume the permit, and does
    /// not check with the operating system whether the client is still connected.
    pub fn check(&self, now: Duration) -> Result<(), Withheld> {
        self.check_validity(now, self.valid_until.load(Ordering::Relaxed))
    }

    /// Called once, right before the first byte is written: consumes the permit, whether or not it is granted.
    pub fn consume(&self, now: Duration) -> Result<(), Withheld> {
        let valid_until = self.valid_until.swap(CONSUMED, Ordering::Relaxed);
        self.check_validity(now, valid_until)?;
        self.client_is_there()
    }

    /// Checked before each further piece of an attempt that the kernel did not take at once: the server begins to
    /// execute it with its last byte only.
    pub fn may_continue(&self, now: Duration) -> Result<(), Withheld> {
        self.request.may_start(now)?;
        self.client_is_there()
    }

    /// Counts violations; called with a fresh reading of the clock once the last byte was handed over.
    pub fn record_written(&self, now: Duration) {
        let invariants = &self.request.0.invariants;
        if !self.request.is_open() {
            invariants.count(Violation::SentAfterEnd);
        }
        if now >= self.request.0.deadline + MAX_CLOCK_TO_WRITE {
            invariants.count(Violation::SentAfterDeadline);
        }
    }

    fn check_validity(&self, now: Duration, valid_until: u64) -> Result<(), Withheld> {
        if !self.request.is_open() {
            Err(Withheld::Ended)
        } else if micros(now) >= valid_until {
            Err(Withheld::OutOfTime)
        } else {
            Ok(())
        }
    }

    fn client_is_there(&self) -> Result<(), Withheld> {
        if self.request.0.client.has_left() {
            Err(Withheld::ClientLeft)
        } else if self.request.0.client.may_have_left() {
            Err(Withheld::ClientUnread)
        } else {
            Ok(())
        }
    }
}

/// How long a process may stall between reading its clock and writing (`STANDING.md`).
const MAX_CLOCK_TO_WRITE: Duration = Duration::from_millis(150);

fn micros(at: Duration) -> u64 {
    u64::try_from(at.as_micros()).unwrap_or(CONSUMED - 1).min(CONSUMED - 1)
}
