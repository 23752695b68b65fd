//! The lifetime of one request: open until it is answered or its client has left, whichever comes first. All that work
//! for a request share its guard.

use crate::invariants::{Invariants, Violation};
use crate::permit::AttemptPermit;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
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
        AttemptPermit::new(self.clone(), valid_until)
    }

    /// Checks with the operating system that the client is still connected.
    pub(crate) fn client_is_there(&self) -> Result<(), Withheld> {
        if self.0.client.has_left() {
            Err(Withheld::ClientLeft)
        } else if self.0.client.may_have_left() {
            Err(Withheld::ClientUnread)
        } else {
            Ok(())
        }
    }

    pub(crate) fn deadline(&self) -> Duration {
        self.0.deadline
    }

    pub(crate) fn count(&self, violation: Violation) {
        self.0.invariants.count(violation);
    }
}
