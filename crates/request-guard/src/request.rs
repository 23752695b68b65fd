//! The life of one request: open until it is answered or its client has left, whichever comes first. Everybody who works
//! for it holds the same guard; the permit of an attempt is asked right before its bytes are written.

use crate::invariants::{Invariants, Violation};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

/// Whether a client is still there, asked of the machine at that moment.
pub trait ClientPresence: Send + Sync {
    fn has_left(&self) -> bool;
}

/// Why an attempt is not to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The request was answered, or given up.
    Ended,
    /// Its deadline has passed, or the reasons for which this server was chosen hold no more.
    OutOfTime,
    /// Its client has closed the connection.
    ClientLeft,
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

/// Shared by all that work for one request; clones are the same. Times count from the process's start.
#[derive(Clone)]
pub struct RequestGuard(Arc<Inner>);

impl fmt::Debug for RequestGuard {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "RequestGuard(open: {})", self.is_open())
    }
}

impl RequestGuard {
    pub fn new(
        deadline: Duration,
        client: Box<dyn ClientPresence>,
        invariants: Arc<Invariants>,
    ) -> RequestGuard {
        RequestGuard(Arc::new(Inner { deadline, state: AtomicU8::new(OPEN), client, invariants }))
    }

    /// It has no final answer yet, and its client is there as far as is known.
    pub fn is_open(&self) -> bool {
        self.0.state.load(Ordering::Relaxed) == OPEN
    }

    /// Notes its final answer. Only the first counts: one after an end of any kind must not go out.
    pub fn answer(&self) -> bool {
        self.end(ANSWERED)
    }

    /// Its client has left: nothing more is done for it.
    pub fn abandon(&self) -> bool {
        self.end(ABANDONED)
    }

    fn end(&self, state: u8) -> bool {
        self.0.state.compare_exchange(OPEN, state, Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }

    /// Asked before it is started. One that has ended, or is out of time, is not.
    pub fn may_start(&self, now: Duration) -> Result<(), Withheld> {
        if !self.is_open() {
            Err(Withheld::Ended)
        } else if now >= self.0.deadline {
            Err(Withheld::OutOfTime)
        } else {
            Ok(())
        }
    }

    /// A permit for one attempt, which holds until that time unless it is changed.
    pub fn permit(&self, valid_until: Duration) -> AttemptPermit {
        AttemptPermit { request: self.clone(), valid_until: Arc::new(AtomicU64::new(micros(valid_until))) }
    }
}

/// Written, or never to be written.
const CONSUMED: u64 = u64::MAX;

/// Whether one attempt may still be written; clones are the same.
#[derive(Clone)]
pub struct AttemptPermit {
    request: RequestGuard,
    /// In microseconds.
    valid_until: Arc<AtomicU64>,
}

impl AttemptPermit {
    /// The reasons for this attempt hold until then from now on. No use once it is settled.
    pub fn set_valid_until(&self, at: Duration) {
        self.valid_until.store(micros(at), Ordering::Relaxed);
    }

    /// It is written, or never to be written.
    pub fn is_consumed(&self) -> bool {
        self.valid_until.load(Ordering::Relaxed) == CONSUMED
    }

    /// Whether it could be written now, as far as this process knows; nothing is settled by asking, and the machine is
    /// not asked for the client.
    pub fn check(&self, now: Duration) -> Result<(), Withheld> {
        self.check_validity(now, self.valid_until.load(Ordering::Relaxed))
    }

    /// Asked right before the first byte is written, and never again: it is settled then, one way or the other.
    pub fn consume(&self, now: Duration) -> Result<(), Withheld> {
        let valid_until = self.valid_until.swap(CONSUMED, Ordering::Relaxed);
        self.check_validity(now, valid_until)?;
        self.client_is_there()
    }

    /// Asked before each further piece of an attempt that the machine did not take at once: it begins at the server
    /// with its last byte only.
    pub fn may_continue(&self, now: Duration) -> Result<(), Withheld> {
        self.request.may_start(now)?;
        self.client_is_there()
    }

    /// The run-time check: called once the last byte is handed over, with a fresh look at the clock.
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
        if self.request.0.client.has_left() { Err(Withheld::ClientLeft) } else { Ok(()) }
    }
}

/// A process may be held up for so long between looking at its clock and writing (`STANDING.md`).
const MAX_CLOCK_TO_WRITE: Duration = Duration::from_millis(150);

fn micros(at: Duration) -> u64 {
    u64::try_from(at.as_micros()).unwrap_or(CONSUMED - 1).min(CONSUMED - 1)
}
