//! How a client's connection ends while this process goes on or ends: nothing that was taken is left without its answer,
//! and no answer is cut off.

use super::{Client, MAX_INBOUND};
use crate::clients::MIN_REST;
use crate::messages::{Answer, DispatcherMessage};
use crate::request_log::{CloseReason, RequestEvent};
use juniperdock_connection::Failure;
use juniperdock_pg as pg;
use juniperdock_request_guard::{EndedBy, Outstanding};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a connection is read on after its last answer; shorter where its descriptor is needed.
const LINGER: Duration = Duration::from_secs(1);
const SHORT_LINGER: Duration = MIN_REST;

/// A client that has taken no byte of its answer for so long does not read.
const MAX_STALL: Duration = Duration::from_secs(3);

/// Why a statement is refused before anything is done for it.
pub(super) struct Refusal {
    pub code: &'static str,
    pub text: &'static str,
}

const NO_SLOT: Refusal = Refusal { code: pg::TOO_MANY, text: "too many clients, trying again is harmless" };
const CONNECTION_ENDS: Refusal = Refusal {
    code: pg::CANNOT_CONNECT_NOW,
    text: "this connection ends, trying again on another is harmless",
};

impl Client {
    /// Begins to drain as the process ends, and limits what is read while it drains.
    pub(super) fn drain(&mut self) {
        let last_call = self.shared.answer_all_now.load(Ordering::Relaxed);
        if self.draining.is_none() && self.last.is_none() && self.shared.shuts_down(self.slot, self.fresh) {
            self.draining = Some(CloseReason::ShuttingDown);
            if !last_call {
                // Whatever has come in by now is still read.
                return;
            }
        }
        if self.draining.is_some() && last_call {
            self.answer_all();
        }
        let limit = if self.draining.is_some() { self.drain_limit() } else { MAX_INBOUND };
        self.link.set_read_limit(limit);
    }

    /// How much is read while the connection drains: behind a request in hand all, to refuse it; else what a message
    /// that has begun still lacks. The rest is unread when the connection ends, and its client sends it elsewhere.
    fn drain_limit(&mut self) -> usize {
        let inbound = &mut self.link.inbound;
        if self.last.is_some() || self.pipeline.requests() > 0 {
            MAX_INBOUND
        } else if inbound.is_empty() {
            0
        } else if self.open {
            pg::message_length(inbound.make_contiguous())
        } else {
            pg::opening_length(inbound.make_contiguous())
        }
    }

    /// Why the next statement is refused, if it is: there is no slot for this client, or its connection ends and has
    /// something in hand already.
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

    /// Ends the connection once nothing is owed on it any more; gives why, when it is over. `active`: bytes moved or
    /// messages were taken just now.
    pub(super) fn settle(&mut self, active: bool) -> Result<Option<CloseReason>, Failure> {
        if self.draining.is_some() {
            // What is queued goes out before anything else is read.
            self.link.flush()?;
        }
        let debt = self.debt();
        if debt.is_none() {
            self.last = self.last.or(self.draining);
        } else if !active && debt.unanswered == 0 && debt.unsent == 0 && self.makes_room() {
            self.refuse_half_read();
        }
        let done = self.pipeline.is_empty() && self.link.flushed();
        let ended = self.last.filter(|_| done && (self.is_quiet() || self.linger()));
        if ended.is_none() && self.draining.is_some() && self.does_not_read() {
            return Ok(Some(CloseReason::NotReading));
        }
        Ok(ended)
    }

    /// It ends because other clients need its place.
    fn makes_room(&self) -> bool {
        matches!(self.draining, Some(CloseReason::MadeRoom | CloseReason::Idle)) && self.last.is_none()
    }

    /// It was idle for so long that its last answer was read: its place is free at once. What comes in just now is
    /// unread, and its client sends it again.
    fn is_quiet(&self) -> bool {
        let rested = self.answered + MIN_REST <= self.shared.clock.now();
        matches!(self.last, Some(CloseReason::MadeRoom | CloseReason::Idle))
            && rested
            && self.lingers.is_none()
    }

    /// Nothing is in hand for it, and it has what it was owed, or takes none of it.
    pub(super) fn is_idle(&self) -> bool {
        self.pipeline.is_empty() && (self.link.flushed() || self.does_not_read())
    }

    fn does_not_read(&self) -> bool {
        !self.link.flushed() && self.progress + MAX_STALL <= self.shared.clock.now()
    }

    /// When it has taken none of its answer for too long, unless it does by then.
    pub(super) fn stalls_at(&self) -> Duration {
        let at = self.progress + MAX_STALL;
        if self.link.flushed() || at <= self.shared.clock.now() { Duration::MAX } else { at }
    }

    /// The process is about to exit: what is unanswered gets its final answer now.
    fn answer_all(&mut self) {
        for ticket in self.pipeline.started().collect::<Vec<_>>() {
            let _ = self.shared.dispatcher.send(DispatcherMessage::Left(ticket));
            self.answer(ticket, Answer::Unknown("this process ends; it may have run"));
        }
        for ticket in self.pipeline.waiting().collect::<Vec<_>>() {
            self.answer(ticket, Answer::Declined(None));
        }
        if self.last.is_none() && !self.link.inbound.is_empty() {
            self.refuse_half_read();
        }
    }

    /// Ends a connection on which half a request was read, with a word.
    fn refuse_half_read(&mut self) {
        let mut out = Vec::new();
        pg::error(&mut out, true, CONNECTION_ENDS.code, CONNECTION_ENDS.text, None);
        self.pipeline.push_answer(out);
        self.reply();
        self.link.inbound.clear();
        self.last = self.draining;
    }

    /// Ends the sending, then reads on for a while: to close over bytes that came in unread would reset the connection and
    /// could take the last answer from the client. True once it may close.
    fn linger(&mut self) -> bool {
        let now = self.shared.clock.now();
        if self.lingers.is_none() {
            self.link.close();
            self.shared.ends(self.slot);
        }
        let makes_room = matches!(self.last, Some(CloseReason::MadeRoom | CloseReason::Idle));
        let span = if makes_room { SHORT_LINGER } else { LINGER };
        let until = *self.lingers.get_or_insert(now + span);
        self.link.inbound.clear();
        now >= until || self.link.ended
    }

    /// What is owed to the client now.
    fn debt(&self) -> Outstanding {
        let half_read = if self.last.is_some() { 0 } else { self.link.inbound.len() };
        Outstanding {
            unanswered: self.pipeline.requests(),
            unsent: self.link.unsent() + self.pipeline.answer_bytes(),
            half_read,
        }
    }

    /// The end of the connection, whoever ends it: nothing more is done for what it still holds.
    pub(super) fn end(&mut self, reason: CloseReason) {
        let debt = self.debt();
        self.shared.request_log.client_closed(self.slot, reason, debt);
        debt.record_violations(ended_by(reason), &self.shared.counters.invariants);
        (0..debt.unanswered).for_each(|_| self.shared.counters.left.add());
        for guard in self.guards.values() {
            guard.abandon();
        }
        for ticket in self.pipeline.started() {
            self.shared.request_log.request(ticket, RequestEvent::Abandoned);
            let _ = self.shared.dispatcher.send(DispatcherMessage::Left(ticket));
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
