//! What must never happen, counted while the process runs. All counts stay 0 in a correct program, whatever fails
//! around it.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Something that must not happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt's last byte went out after its request had ended.
    SentAfterEnd,
    /// An attempt's last byte went out after its deadline.
    SentAfterDeadline,
    /// A request got a second final answer.
    AnsweredTwice,
    /// This process ended a connection that held a request without its answer.
    EndedUnanswered,
    /// This process ended a connection before all of an answer was handed over.
    EndedUnsent,
    /// This process ended a connection without a word when it had read half a request.
    EndedHalfRead,
}

impl Violation {
    pub const ALL: [Violation; 6] = [
        Violation::SentAfterEnd,
        Violation::SentAfterDeadline,
        Violation::AnsweredTwice,
        Violation::EndedUnanswered,
        Violation::EndedUnsent,
        Violation::EndedHalfRead,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Violation::SentAfterEnd => "sent_after_end",
            Violation::SentAfterDeadline => "sent_after_deadline",
            Violation::AnsweredTwice => "answered_twice",
            Violation::EndedUnanswered => "ended_unanswered",
            Violation::EndedUnsent => "ended_unsent",
            Violation::EndedHalfRead => "ended_half_read",
        }
    }
}

/// How often each violation has happened in this process.
#[derive(Debug, Default)]
pub struct Invariants([AtomicU64; Violation::ALL.len()]);

impl Invariants {
    pub fn count(&self, violation: Violation) {
        self.0[violation as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub fn read(&self, violation: Violation) -> u64 {
        self.0[violation as usize].load(Ordering::Relaxed)
    }

    pub fn total(&self) -> u64 {
        Violation::ALL.into_iter().map(|violation| self.read(violation)).sum()
    }
}

/// `violations=0`, or the sum and each that is not 0.
impl fmt::Display for Invariants {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "violations={}", self.total())?;
        for violation in Violation::ALL.into_iter().filter(|violation| self.read(*violation) > 0) {
            write!(f, " {}={}", violation.name(), self.read(violation))?;
        }
        Ok(())
    }
}
