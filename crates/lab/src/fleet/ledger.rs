//! Records the clients' observations in the history.

use super::history::History;
use crate::sockets::{ClientObserver, ClientStatement};
use juniperdock_emulator::FinalAnswer;
use serde_json::json;
use std::time::Duration;

/// Writes the clients' observations.
pub(super) struct Clients(pub History);

impl ClientObserver for Clients {
    fn asked(&mut self, at: Duration, front: usize, ask: &ClientStatement) {
        let left = ask.left.as_micros() as u64;
        self.0.note(at, "asked", json!({ "front": front, "txn": ask.txn, "left": left }));
    }

    fn cut_off(&mut self, at: Duration, front: usize, txn: u32) {
        self.0.note(at, "cut off", json!({ "front": front, "txn": txn }));
    }

    fn left(&mut self, at: Duration, front: usize, txn: u32) {
        self.0.note(at, "left", json!({ "front": front, "txn": txn }));
    }

    fn sent_after_leaving(&mut self, at: Duration, front: usize, left: Duration) {
        self.0.note(at, "sent for nobody", json!({ "front": front, "left": left.as_micros() as u64 }));
    }

    fn answered(
        &mut self,
        at: Duration,
        front: usize,
        txn: u32,
        outcome: FinalAnswer,
        code: Option<&str>,
        ended: bool,
    ) {
        let outcome = match outcome {
            FinalAnswer::Committed => "committed",
            FinalAnswer::Declined => "declined",
            FinalAnswer::Unknown => "unknown",
            FinalAnswer::Nothing => "nothing",
        };
        self.0.note(
            at,
            "answered",
            json!({ "front": front, "txn": txn, "told": outcome, "code": code, "ended": ended }),
        );
    }
}
