//! Violations of invariants, counted while the process runs. All counts stay 0 in a correct program, whatever fails
//! around it.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Something that must never happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The last byte of an attempt was written after its request had ended.
    SentAfterEnd,
    /// The last byte of an attempt was written after its deadline.
    SentAfterDeadline,
    /// The last byte of an attempt was written after its permit had expired: after the end of its window, or of the
    /// proof for which its server was chosen.
    SentAfterPermit,
    /// A request got a second final answer.
    AnsweredTwice,
    /// This process ended a connection with an unanswered request.
    EndedUnanswered,
    /// This process ended a connection before all of an answer was handed to the kernel.
    EndedUnsent,
    /// This process ended a connection without an error message after it had read part of a request.
    EndedHalfRead,
}

impl Violation {
    pub const ALL: [Violation; 7] = [
        Violation::SentAfterEnd,
        Violation::SentAfterDeadline,
        Violation::SentAfterPermit,
        Violation::AnsweredTwice,
        Violation::EndedUnanswered,
        Violation::EndedUnsent,
        Violation::EndedHalfRead,
    ];

    /// The name shown in counters.
    pub fn name(self) -> &'static str {
        match self {
            Violation::SentAfterEnd => "sent_after_end",
            Violation::SentAfterDeadline => "sent_after_deadline",
            Violation::SentAfterPermit => "sent_after_permit",
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
    /// Counts a violation.
    pub fn count(&self, violation: Violation) {
        self.0[violation as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// How often a violation has happened.
    pub fn read(&self, violation: Violation) -> u64 {
        self.0[violation as usize].load(Ordering::Relaxed)
    }

    /// The number of all violations.
    pub fn total(&self) -> u64 {
        Violation::ALL.into_iter().map(|violation| self.read(violation)).sum()
    }
}

/// `violations=0`, or the total and each count that is not 0.
impl fmt::Display for Invariants {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "violations={}", self.total())?;
        for violation in Violation::ALL.into_iter().filter(|violation| self.read(*violation) > 0) {
            write!(f, " {}={}", violation.name(), self.read(violation))?;
        }
        Ok(())
    }
}
