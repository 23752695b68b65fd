//! What a client's connection still owes, and whether it may end.

use crate::invariants::{Invariants, Violation};

/// Who ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedBy {
    /// The client has left, or the network took it: nothing is owed any more.
    Client,
    /// This process, which owes what it has taken.
    Process,
    /// This process, after it told the client that what it sent is no request: half of one is not owed.
    ProcessWithError,
}

/// What is owed on a connection at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Requests that were taken and have no answer.
    pub unanswered: usize,
    /// Bytes of answers that are not handed to the machine.
    pub unsent: usize,
    /// Bytes of a request that is not whole yet.
    pub half_read: usize,
}

impl Outstanding {
    pub fn is_none(&self) -> bool {
        *self == Outstanding::default()
    }

    /// Every end of a connection passes here; what the end breaks is counted.
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
