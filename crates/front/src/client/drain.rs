//! How a client's connection ends, whether this process ends or goes on: no request that was read is left without its
//! answer, and no answer is cut off.

use super::{Client, OpenRequest};
use crate::clients::MIN_IDLE;
use crate::messages::{Answer, DispatcherMessage};
use crate::request_log::{CloseReason, RequestEvent};
use juniperdock_connection::Failure;
use juniperdock_memory_limit::Purpose;
use juniperdock_pg as pg;
use juniperdock_request_guard::{EndedBy, Outstanding};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long bytes are read and discarded after the last answer; shorter if the slot is needed.
const LINGER: Duration = Duration::from_secs(1);
const SHORT_LINGER: Duration = MIN_IDLE;

/// A client that has read no byte of its answer for this long is taken not to read at all.
const MAX_STALL: Duration = Duration::from_secs(3);

/// Why a statement is refused before anything is done for it.
pub(super) struct Refusal {
    pub code: &'static str,
    pub text: &'static str,
}

const NO_SLOT: Refusal =
    Refusal { code: pg::TOO_MANY_CONNECTIONS, text: "too many clients, trying again is harmless" };
const CONNECTION_ENDS: Refusal = Refusal {
    code: pg::CANNOT_CONNECT_NOW,
    text: "this connection ends, trying again on another is harmless",
};

impl Client {
    /// Begins to drain when the process ends, and limits what is read while draining.
    pub(super) fn drain(&mut self) {
        let answer_all_now = self.shared.answer_all_now.load(Ordering::Relaxed);
        if self.draining.is_none()
            && self.closing.is_none()
            && self.shared.should_drain(self.slot, self.no_txn_yet)
        {
            self.draining = Some(CloseReason::ShuttingDown);
            if !answer_all_now {
                // Whatever has come in by now is still read.
                return;
            }
        }
        if self.draining.is_some() && answer_all_now {
            self.answer_all();
        }
        let limit = if self.draining.is_some() { self.drain_limit() } else { self.read_limit() };
        self.link.set_read_limit(limit);
    }

    /// How much is read while the connection drains: behind a request in hand everything, to refuse it; otherwise the
    /// rest of a message that has begun. Everything else is unread when the connection ends, and its client sends it
    /// elsewhere.
    fn drain_limit(&mut self) -> usize {
        if self.closing.is_some() || self.discarded.is_some() || self.pipeline.requests() > 0 {
            return self.read_limit();
        }
        let inbound = &mut self.link.inbound;
        if inbound.is_empty() {
            0
        } else if self.open {
            pg::message_length(inbound.make_contiguous())
        } else {
            pg::opening_length(inbound.make_contiguous())
        }
    }

    /// Why the next statement is refused, if it is: the client has no slot, or its connection is ending and has a
    /// request in hand already.
    pub(super) fn refusal(&mut self) -> Option<Refusal> {
        if self.draining.is_none() && !self.find_slot() {
            self.shared.counters.clients_refused.add();
            self.draining = Some(CloseReason::NoSlot);
        }
        match self.draining {
            Some(CloseReason::NoSlot) => Some(NO_SLOT),
            Some(_) if self.pipeline.requests() > 0 => Some(CONNECTION_ENDS),
            _ => None,
        }
    }

    /// Ends the connection once nothing is outstanding on it; returns the reason when it is over. `active`: bytes
    /// were moved or messages read just now.
    pub(super) fn close_if_settled(&mut self, active: bool) -> Result<Option<CloseReason>, Failure> {
        if self.draining.is_some() {
            // What is queued is written before anything else is read.
            self.link.flush()?;
        }
        let outstanding = self.outstanding();
        if outstanding.is_none() {
            self.closing = self.closing.or(self.draining);
        } else if !active && outstanding.unanswered == 0 && outstanding.unsent == 0 && self.frees_slot() {
            self.refuse_half_read();
        }
        let done = self.pipeline.is_empty() && self.link.is_flushed();
        let ended = self.closing.filter(|_| done && (self.can_close_at_once() || self.linger()));
        let frees_resources = self.draining.is_some() || !self.shared.memory.admits(Purpose::Surplus, 0);
        if ended.is_none() && frees_resources && self.does_not_read() {
            return Ok(Some(CloseReason::NotReading));
        }
        Ok(ended)
    }

    /// Whether it ends because other clients need its slot.
    fn frees_slot(&self) -> bool {
        matches!(self.draining, Some(CloseReason::MadeRoom | CloseReason::Idle)) && self.closing.is_none()
    }

    /// Whether it can close without lingering: it was idle for so long that its last answer has been read. What comes
    /// in just now is left unread, and its client sends it again.
    fn can_close_at_once(&self) -> bool {
        let rested = self.last_answer + MIN_IDLE <= self.shared.clock.now();
        matches!(self.closing, Some(CloseReason::MadeRoom | CloseReason::Idle))
            && rested
            && self.linger_until.is_none()
    }

    /// Whether no request is in hand, and the client has read its answers or does not read at all.
    pub(super) fn is_idle(&self) -> bool {
        self.pipeline.is_empty() && (self.link.is_flushed() || self.does_not_read())
    }

    fn does_not_read(&self) -> bool {
        !self.link.is_flushed() && self.last_progress + MAX_STALL <= self.shared.clock.now()
    }

    /// When it will have read none of its answer for too long.
    pub(super) fn stalls_at(&self) -> Duration {
        let at = self.last_progress + MAX_STALL;
        if self.link.is_flushed() || at <= self.shared.clock.now() { Duration::MAX } else { at }
    }

    /// The process is about to exit: everything unanswered gets its final answer now.
    fn answer_all(&mut self) {
        for request_id in self.pipeline.started().collect::<Vec<_>>() {
            let _ = self.shared.dispatcher.send(DispatcherMessage::ClientLeft(request_id));
            self.answer(request_id, Answer::Unknown("this process ends; it may have run"));
        }
        for request_id in self.pipeline.waiting().collect::<Vec<_>>() {
            self.answer(request_id, Answer::Declined(None));
        }
        if self.outstanding().half_read > 0 {
            self.refuse_half_read();
        }
    }

    /// Ends a connection on which an incomplete request was read, with an error.
    fn refuse_half_read(&mut self) {
        let mut out = Vec::new();
        pg::error(&mut out, true, CONNECTION_ENDS.code, CONNECTION_ENDS.text, None);
        self.pipeline.push_answer(out);
        self.send_replies();
        self.link.inbound.clear();
        self.discarded = None;
        self.closing = self.draining;
    }

    /// Ends the sending, then reads and discards for a while: closing a socket with unread bytes would reset the
    /// connection, and the client could lose the last answer. Returns whether the connection may be closed.
    fn linger(&mut self) -> bool {
        let now = self.shared.clock.now();
        if self.linger_until.is_none() {
            self.link.close();
            self.shared.mark_closing(self.slot);
        }
        let frees_slot = matches!(self.closing, Some(CloseReason::MadeRoom | CloseReason::Idle));
        let span = if frees_slot { SHORT_LINGER } else { LINGER };
        let until = *self.linger_until.get_or_insert(now + span);
        self.link.inbound.clear();
        now >= until || self.link.ended
    }

    /// What the client is still due.
    fn outstanding(&self) -> Outstanding {
        let begun = self.link.inbound.len() + usize::from(self.discarded.is_some());
        let half_read = if self.closing.is_some() { 0 } else { begun };
        Outstanding {
            unanswered: self.pipeline.requests(),
            unsent: self.link.unsent() + self.pipeline.answer_bytes(),
            half_read,
        }
    }

    /// Ends the connection, whoever caused it: nothing more is done for its open requests.
    pub(super) fn close(&mut self, reason: CloseReason) {
        let outstanding = self.outstanding();
        self.shared.request_log.client_closed(self.slot, reason, outstanding);
        outstanding.record_violations(ended_by(reason), &self.shared.counters.invariants);
        (0..outstanding.unanswered).for_each(|_| self.shared.counters.left.add());
        for OpenRequest { guard, id } in self.open_requests.values() {
            self.shared.end_request_id(*id);
            guard.abandon();
        }
        for request_id in self.pipeline.started() {
            self.shared.request_log.request(request_id, RequestEvent::Abandoned);
            let _ = self.shared.dispatcher.send(DispatcherMessage::ClientLeft(request_id));
        }
    }
}

fn ended_by(reason: CloseReason) -> EndedBy {
    match reason {
        CloseReason::ClientLeft
        | CloseReason::Broken
        | CloseReason::Terminated
        | CloseReason::NotReading
        | CloseReason::Transferred => EndedBy::Client,
        CloseReason::ProtocolViolation | CloseReason::Panicked => EndedBy::ProcessWithError,
        CloseReason::Idle | CloseReason::MadeRoom | CloseReason::NoSlot | CloseReason::ShuttingDown => {
            EndedBy::Process
        }
    }
}
