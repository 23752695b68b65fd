//! What is still outstanding on a client's connection when it ends.

use crate::invariants::{Invariants, Violation};

/// The party that ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedBy {
    /// The client closed it, or the network failed: nothing is outstanding any more.
    Client,
    /// This process, which must first finish what it has accepted.
    Process,
    /// This process, after it told the client that its input is not a valid request: a partly read request does not
    /// count.
    ProcessWithError,
}

/// What is outstanding on a connection at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Requests that were accepted and have no answer.
    pub unanswered: usize,
    /// Bytes of answers that were not handed to the kernel.
    pub unsent: usize,
    /// Bytes of a partly read request.
    pub half_read: usize,
}

impl Outstanding {
    /// Whether nothing is outstanding.
    pub fn is_none(&self) -> bool {
        *self == Outstanding::default()
    }

    /// Called at every end of a connection; counts what the end violates.
    pub fn record_violations(&self, by: EndedBy, invariants: &Invariants) {
        if by == EndedBy::Client {
            return;
        }
        if self.unanswered > 0 {
            invariants.count(Violation::EndedUnanswered);
        }
        if self.unsent > 0 {
            invariants.count(Violation::EndedUnsent);
        }
        if self.half_read > 0 && by == EndedBy::Process {
            invariants.count(Violation::EndedHalfRead);
        }
    }
}
