//! Whether clients are accepted here: an upgrade stops the acceptor, and takes that back if the new process does not
//! serve. Either may come before the acceptor has noticed the other.

use std::sync::atomic::{AtomicU8, Ordering};

const RUNNING: u8 = 0;
/// It is to stop and has not noticed yet.
const STOP_REQUESTED: u8 = 1;
const STOPPED: u8 = 2;
/// It has ended and is not started again.
const FINISHED: u8 = 3;

/// The state of the acceptor; it runs at first.
#[derive(Debug, Default)]
pub struct AcceptorState(AtomicU8);

/// What the end of an upgrade finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// No stop was requested.
    NotStopped,
    /// The request is taken back: the acceptor goes on and will not have noticed it.
    StillRunning,
    /// The acceptor had stopped: it has to be started again.
    Restart,
}

impl AcceptorState {
    /// Asks the acceptor to stop.
    pub fn request_stop(&self) {
        self.change(RUNNING, STOP_REQUESTED);
    }

    /// Takes a stop back.
    pub fn resume(&self) -> Resumption {
        if self.change(STOP_REQUESTED, RUNNING) {
            Resumption::StillRunning
        } else if self.change(STOPPED, RUNNING) {
            Resumption::Restart
        } else {
            Resumption::NotStopped
        }
    }

    /// Called by the acceptor between two clients: whether it stops now.
    pub fn stops_now(&self) -> bool {
        self.change(STOP_REQUESTED, STOPPED)
    }

    /// Called by the acceptor when it ends because the process does.
    pub fn finish(&self) {
        self.0.store(FINISHED, Ordering::Release);
    }

    /// Whether the acceptor has neither stopped nor ended.
    pub fn is_running(&self) -> bool {
        matches!(self.0.load(Ordering::Acquire), RUNNING | STOP_REQUESTED)
    }

    fn change(&self, from: u8, to: u8) -> bool {
        self.0.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}

#[cfg(test)]
#[path = "../tests/unit/acceptor_state.rs"]
mod tests;
