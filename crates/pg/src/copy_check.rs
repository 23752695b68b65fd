//! Tells the answer to a statement from a second copy of the load report that was read right before it on the same
//! connection.
//!
//! An answer names no statement. One that has not the form of the report is no copy of it; one that differs in its numbers
//! at most may be the copy, a second report, or the statement's own answer. A marker decides: an empty query behind the
//! statement. A server answers the queries of a connection in their order (PostgreSQL documentation, Message Flow, Simple
//! Query), so if the answer to the marker comes next, the one before was the statement's own, and otherwise what comes
//! next is.

use crate::{message, single_column};
use std::time::Duration;

/// A longer row has not the form of a load report.
const MAX_REPORT_ROW: usize = 2 << 10;

/// How long the next answer is awaited before the marker is sent: a statement that is still in work has its answer by
/// then in most cases, and needs no marker.
const MARKER_DELAY: Duration = Duration::from_millis(100);

/// The text of a query for the load report.
const LOAD_REPORT_VARIABLE: &str = "server_load";

/// What a complete answer is to the statement in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Its own answer.
    Answer,
    /// A second report: it was read before the statement was written whole.
    Repeated,
    /// A second report or its own answer: to be kept until the next one is read.
    Ambiguous,
    /// The answer to the marker: the one that was kept is the statement's own.
    Marker,
}

/// The check of the answers to one statement behind a load report.
#[derive(Clone, Debug)]
pub struct CopyCheck {
    /// The report without its numbers.
    form: Option<Vec<u8>>,
    /// A second report has come, or may have.
    is_suspect: bool,
    marker: Marker,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Marker {
    NotNeeded,
    DueAt(Duration),
    Sent,
}

impl CopyCheck {
    /// `report` holds the messages of the load report, from the description of its row to its completion.
    pub fn new(report: &[u8]) -> CopyCheck {
        CopyCheck { form: form(report), is_suspect: false, marker: Marker::NotNeeded }
    }

    /// Judges a complete answer of these messages that is read now, for a statement that is given up at `deadline`, and
    /// that has been written whole or not.
    pub fn read(
        &mut self,
        answer: &[u8],
        is_empty_query: bool,
        is_written: bool,
        now: Duration,
        deadline: Duration,
    ) -> Reading {
        if self.marker == Marker::Sent && is_empty_query {
            return Reading::Marker;
        }
        let may_be_report =
            self.marker == Marker::NotNeeded && self.form.is_some() && form(answer) == self.form;
        if !may_be_report {
            return Reading::Answer;
        }
        self.is_suspect = true;
        if !is_written {
            return Reading::Repeated;
        }
        self.marker = Marker::DueAt(now + MARKER_DELAY.min(deadline.saturating_sub(now) / 2));
        Reading::Ambiguous
    }

    /// Whether the connection may bring more than belongs to its answers.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect
    }

    /// When the marker is to be sent; none if it is not needed, or has been sent.
    pub fn marker_due(&self) -> Option<Duration> {
        match self.marker {
            Marker::DueAt(at) => Some(at),
            Marker::NotNeeded | Marker::Sent => None,
        }
    }

    /// Whether the marker has to be sent now; it counts as sent from then on.
    pub fn takes_marker(&mut self, now: Duration) -> bool {
        let is_due = self.marker_due().is_some_and(|at| at <= now);
        if is_due {
            self.marker = Marker::Sent;
        }
        is_due
    }
}

/// Whether a statement may ask for the load report itself: its own answer is then likely to equal the report before it.
pub fn names_load_report(statement: &str) -> bool {
    let name = LOAD_REPORT_VARIABLE.as_bytes();
    statement.as_bytes().windows(name.len()).any(|part| part.eq_ignore_ascii_case(name))
}

/// The value of an answer's row without its numbers; none if it has no row, or a long one.
fn form(answer: &[u8]) -> Option<Vec<u8>> {
    let mut rest = answer;
    while let Ok(Some((kind, body, length))) = message(rest, MAX_REPORT_ROW) {
        if kind == b'D' {
            let value = single_column(body)?;
            return Some(
                value.iter().copied().filter(|byte| !matches!(byte, b'0'..=b'9' | b'.' | b'-')).collect(),
            );
        }
        rest = &rest[length..];
    }
    None
}
