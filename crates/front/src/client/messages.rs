//! Reads a client's messages: its startup, its statements, and what is no part of the simple protocol.

use super::discard::SMALL_MESSAGE;
use super::{Client, OpenRequest, REQUEST_OVERHEAD, TOO_MANY_AT_ONCE};
use crate::messages::Arrival;
use crate::request_log::CloseReason;
use juniperdock_memory_limit::Purpose;
use juniperdock_pg as pg;
use juniperdock_pipeline::Request;
use juniperdock_request_guard::RequestIdHash;
use std::sync::Arc;
use std::time::Duration;

impl Client {
    /// Handles one message if a complete one has come in; returns whether it did.
    pub(super) fn next_message(&mut self) -> bool {
        let mut out = Vec::new();
        let taken = match self.discarded {
            Some(discarded) => Ok(self.continue_discarding(discarded, &mut out)),
            None if self.open => self.read_message(&mut out),
            None => self.read_startup(&mut out),
        };
        let progressed = match taken {
            Ok(length) => {
                self.link.inbound.drain(..length);
                self.arrival_times.consume(length);
                self.message_due = self.message_due.filter(|_| length == 0 || self.discarded.is_some());
                length > 0
            }
            Err(why) => {
                self.shared.counters.bad_messages.add();
                pg::error(&mut out, true, pg::PROTOCOL_VIOLATION, &why, None);
                self.closing = Some(CloseReason::ProtocolViolation);
                true
            }
        };
        if !out.is_empty() {
            self.push_answer(out);
        }
        progressed
    }

    /// Adds the answer to a command that needs no server. While too much waits for earlier answers, the command is refused
    /// instead, which takes no memory; the last answer of a connection is kept in any case.
    fn push_answer(&mut self, answer: Vec<u8>) {
        let is_short_of_memory =
            !self.pipeline.is_empty() && !self.shared.memory.admits(Purpose::Surplus, answer.len());
        if (self.pipeline.is_full() || is_short_of_memory) && self.closing.is_none() {
            self.shared.counters.over_limits.add();
            self.pipeline.refuse();
        } else {
            self.pipeline.push_answer(answer);
        }
    }

    /// Handles a startup, encryption or cancel request; returns its length, or 0 if it is incomplete.
    fn read_startup(&mut self, out: &mut Vec<u8>) -> Result<usize, String> {
        Ok(match pg::opening(self.link.inbound.make_contiguous())? {
            None => 0,
            Some((pg::Opening::Encryption, length)) => {
                out.push(b'N');
                length
            }
            Some((pg::Opening::Cancel, length)) => {
                self.closing = Some(CloseReason::Terminated);
                length
            }
            Some((pg::Opening::Startup, length)) => {
                pg::startup_response(out);
                self.open = true;
                if let Some(slot) = self.shared.slots().taken.get_mut(&self.slot) {
                    slot.open = true;
                }
                length
            }
        })
    }

    /// Handles a message; returns its length, or 0 if it is incomplete.
    fn read_message(&mut self, out: &mut Vec<u8>) -> Result<usize, String> {
        let Some((kind, body, length)) =
            pg::message(self.link.inbound.make_contiguous(), pg::MAX_MESSAGE_LEN)?
        else {
            self.discard_unless_admitted();
            return Ok(0);
        };
        match kind {
            b'Q' => {
                let text = pg::statement(body).map(Arc::<str>::from);
                let at = self
                    .arrival_times
                    .arrival_of_next(length)
                    .unwrap_or_else(|| self.shared.clock.arrival_time());
                self.skipping = false;
                let alone = self.link.inbound.len() == length;
                match text {
                    Ok(text) => self.statement(text, at, alone, out),
                    Err(why) => self.reject_unsound(&why, out),
                }
            }
            b'X' => self.closing = Some(CloseReason::Terminated),
            b'S' => {
                self.skipping = false;
                pg::ready(out);
            }
            b'H' => {}
            b'P' | b'B' | b'D' | b'E' | b'C' | b'F' => self.reject_unsupported(kind, out),
            other => return Err(format!("expected a query, found a message of type {:?}", other as char)),
        }
        Ok(length)
    }

    /// Answers a message of the extended protocol, or a function call: what follows is skipped up to Sync.
    pub(super) fn reject_unsupported(&mut self, kind: u8, out: &mut Vec<u8>) {
        let is_extended_query = kind != b'F';
        // While too much waits, its Sync alone is answered.
        let is_silent = self.skipping || is_extended_query && self.pipeline.is_full();
        if !is_silent {
            pg::error(out, false, pg::NOT_SUPPORTED, "only simple queries are taken", None);
            if !is_extended_query {
                pg::ready(out);
            }
        }
        self.skipping |= is_extended_query;
    }

    /// Handles a statement whose last byte came in at that time. `alone`: nothing has been read behind it.
    fn statement(&mut self, text: Arc<str>, at: Duration, alone: bool, out: &mut Vec<u8>) {
        match pg::verb(&text) {
            pg::Verb::Empty => pg::empty_query(out),
            pg::Verb::Session(tag) => pg::command_complete(out, tag),
            pg::Verb::Txn if let Some(refusal) = self.refusal() => {
                self.shared.counters.declined.add();
                let fatal = alone && self.pipeline.is_empty();
                pg::error(out, fatal, refusal.code, refusal.text, None);
                if fatal {
                    self.closing = self.closing.or(self.draining);
                    return;
                }
            }
            pg::Verb::Txn if !self.pipeline.has_room(text.len() + REQUEST_OVERHEAD) => {
                self.shared.counters.over_limits.add();
                return self.refuse_request();
            }
            pg::Verb::Txn if !self.memory_admits(text.len()) => {
                self.shared.counters.refused_for_memory.add();
                return self.refuse_request();
            }
            pg::Verb::Txn => match self.read_request(text, at) {
                Ok((arrival, id)) => return self.accept_request(arrival, id),
                Err(why) => return self.reject_unsound(&why, out),
            },
        }
        pg::ready(out);
    }

    /// Whether there is memory for a request of this length: for its statement, and for a copy on its way to a server.
    fn memory_admits(&self, length: usize) -> bool {
        let is_first = self.pipeline.requests() == 0 && length <= SMALL_MESSAGE;
        let purpose = if is_first { Purpose::Request } else { Purpose::Surplus };
        self.shared.memory.admits(purpose, 2 * length + REQUEST_OVERHEAD)
    }

    /// Refuses a request that is over a limit when its turn comes; it is not looked at.
    pub(super) fn refuse_request(&mut self) {
        self.no_txn_yet = false;
        self.shared.counters.txns.add();
        self.shared.request_log.rejected(self.slot, TOO_MANY_AT_ONCE);
        self.pipeline.refuse();
    }

    /// Answers a statement that is no sound request; the session goes on.
    fn reject_unsound(&self, why: &str, out: &mut Vec<u8>) {
        self.shared.counters.bad_messages.add();
        self.shared.request_log.rejected(self.slot, why);
        pg::error(out, false, pg::PROTOCOL_VIOLATION, why, None);
        pg::ready(out);
    }

    /// Adds a request to the pipeline, to start as soon as it may.
    fn accept_request(&mut self, arrival: Arrival, id: RequestIdHash) {
        self.no_txn_yet = false;
        self.shared.mark_busy(self.slot);
        self.shared.counters.txns.add();
        let request = Request {
            id: arrival.request_id,
            deadline: arrival.expiry,
            session: arrival.session,
            writes: self.shared.writes.get(arrival.txn_type).copied().unwrap_or(true),
            bytes: arrival.statement.len() + REQUEST_OVERHEAD,
        };
        self.shared.request_log.client_request(self.slot, request.id);
        let open_request = OpenRequest { guard: arrival.guard.clone(), id };
        if self.pipeline.push(request, Box::new(arrival)).is_ok() {
            self.open_requests.insert(request.id, open_request);
        } else {
            self.shared.end_request_id(id);
        }
    }
}
