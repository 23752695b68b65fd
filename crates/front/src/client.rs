//! A client's actor: reads its statements as they come, hands each to the dispatcher, and writes the answers in the
//! order of the statements.

mod answers;
mod discard;
mod drain;
mod messages;
mod request;
mod unread;

use crate::clients::{
    ClientTransfer, IdleAction, SharedClients, TRANSFER_ACCEPTED, TRANSFER_PENDING, TransferResult,
};
use crate::clock::SHORTAGE_PAUSE;
use crate::mailbox::Mailbox;
use crate::messages::{Answer, Arrival, DispatcherMessage};
use crate::request_log::{CloseReason, RequestEvent};
use discard::Discarded;
use juniperdock_connection::{Failure, Link};
use juniperdock_pg as pg;
use juniperdock_pipeline::{ArrivalTimes, Limits, Overdue, Pipeline, Start};
use juniperdock_request_guard::{RequestGuard, RequestIdHash};
use may::sync::mpsc::{Receiver, channel};
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use unread::UnreadInput;

/// The stack of a connection's coroutine.
pub const CONNECTION_STACK_BYTES: usize = 64 << 10;
/// How long messages are handled before other coroutines get a turn, and how many of them between two looks at the clock
/// and at whether the client is still there.
const MAX_TURN: Duration = Duration::from_micros(250);
const MESSAGES_PER_CHECK: usize = 8;
/// Requests that are started before other coroutines get a turn: each is work for the dispatcher and a server's
/// connection.
const MAX_STARTS_PER_TURN: usize = 8;

/// The bytes that are read ahead of the message in hand. All that a client sends is read as soon as possible: its end
/// can't be seen while its bytes are unread.
pub const READ_AHEAD: usize = 16 << 10;

/// What a client may have sent and not been answered. What exceeds it is refused when its turn comes, but read all
/// the same.
const PIPELINE_LIMITS: Limits =
    Limits { started: 64, request_bytes: 2 * pg::MAX_MESSAGE_LEN, answer_bytes: pg::MAX_MESSAGE_LEN };

/// Bytes that a request takes beside its text, rounded up.
const REQUEST_OVERHEAD: usize = 512;

/// How long a client may take to complete its startup or a message.
const MAX_MESSAGE_TIME: Duration = Duration::from_secs(2);

const TOO_MANY_AT_ONCE: &str = "too much at once, trying again is harmless";

/// A request that is not answered.
struct OpenRequest {
    guard: RequestGuard,
    id: RequestIdHash,
}

/// The actor's state.
struct Client {
    shared: Arc<SharedClients>,
    slot: u64,
    /// Whether it has a slot; otherwise its first txn is declined and the connection ends.
    has_slot: bool,
    link: Link,
    answers: Receiver<Box<(u64, Answer)>>,
    mailbox: Mailbox<(u64, Answer)>,
    /// Whether its startup is done.
    open: bool,
    /// Whether no txn has come from it.
    no_txn_yet: bool,
    pipeline: Pipeline<Box<Arrival>>,
    /// The requests that are not answered.
    open_requests: HashMap<u64, OpenRequest>,
    /// When the bytes in the inbound buffer came in.
    arrival_times: ArrivalTimes,
    /// The message that is being read and discarded, if there is one.
    discarded: Option<Discarded>,
    /// What has come in and was not read.
    unread: Arc<UnreadInput>,
    /// After a failed extended query, messages are skipped up to Sync.
    skipping: bool,
    /// Set when nothing more is read, with the reason: the connection ends once everything is written.
    closing: Option<CloseReason>,
    /// Set when the connection is to end, with the reason, as soon as nothing is outstanding. New requests behind one
    /// in hand are refused meanwhile.
    draining: Option<CloseReason>,
    /// Until when bytes are read and discarded after this side has ended its sending.
    linger_until: Option<Duration>,
    /// When bytes were last moved, in either direction.
    last_progress: Duration,
    /// When an answer was last queued.
    last_answer: Duration,
    /// The time limit of an incomplete startup or message.
    message_due: Option<Duration>,
    /// When to check the client again if nothing happens before.
    next_check: Duration,
    /// The time of the timer that was set last.
    timer_set_for: Duration,
    /// When it was last resumed after others had a turn.
    turn_started: Duration,
    /// The state of a transfer to another process, if one has begun: nothing is read here until its result is known.
    transfer: Option<Arc<AtomicU8>>,
}

/// Serves a client until its connection ends. For `open` and `skipping` see [`ClientTransfer`].
pub fn run(link: Link, slot: u64, has_slot: bool, open: bool, skipping: bool, shared: Arc<SharedClients>) {
    let (sender, receiver) = channel();
    let mailbox = Mailbox { sender, waker: link.waker() };
    let mut client = Client {
        shared,
        slot,
        has_slot,
        link,
        answers: receiver,
        mailbox,
        open,
        no_txn_yet: true,
        pipeline: Pipeline::new(PIPELINE_LIMITS),
        open_requests: HashMap::new(),
        arrival_times: ArrivalTimes::default(),
        discarded: None,
        unread: Arc::default(),
        skipping,
        closing: None,
        draining: None,
        linger_until: None,
        last_progress: Duration::ZERO,
        last_answer: Duration::ZERO,
        message_due: None,
        next_check: Duration::ZERO,
        timer_set_for: Duration::ZERO,
        turn_started: Duration::ZERO,
        transfer: None,
    };
    client.arrival_times.received(client.link.inbound.len(), client.shared.clock.arrival_time());
    let reason = catch_unwind(AssertUnwindSafe(|| client.serve())).unwrap_or(CloseReason::Panicked);
    if reason == CloseReason::Panicked {
        client.shared.counters.panics.add();
        let mut out = Vec::new();
        pg::error(&mut out, true, pg::INTERNAL, "the connection's actor failed", None);
        let _ = client.link.queue(&out).and_then(|()| client.link.pump());
    }
    client.close(reason);
    client.shared.slots().taken.remove(&slot);
}

impl Client {
    /// Serves until the connection ends; returns why it did.
    fn serve(&mut self) -> CloseReason {
        loop {
            self.shared.clock.note_running();
            match self.transfer_state() {
                Some(TRANSFER_PENDING) => {
                    self.link.wait();
                    continue;
                }
                Some(TRANSFER_ACCEPTED) => return CloseReason::Transferred,
                _ => self.transfer = None,
            }
            self.drain();
            let Ok(moved) = self.exchange() else { return CloseReason::Broken };
            if self.client_gone() && (!self.pipeline.is_empty() || self.link.is_flushed()) {
                return self.closing.unwrap_or(CloseReason::ClientLeft);
            }
            if self.shared.should_transfer(self.slot) && self.try_transfer() {
                continue;
            }
            let is_active = self.process() || moved;
            match self.close_if_settled(is_active) {
                Ok(Some(reason)) => return reason,
                Ok(None) => {}
                Err(_) => return CloseReason::Broken,
            }
            if is_active {
                self.yield_turn();
                continue;
            }
            match self.prepare_to_wait() {
                Ok(true) => {
                    self.wait_for_event();
                    self.turn_started = self.shared.clock.now();
                }
                Ok(false) => {}
                Err(_) => return CloseReason::Broken,
            }
        }
    }

    fn transfer_state(&self) -> Option<u8> {
        self.transfer.as_ref().map(|state| state.load(Ordering::Acquire))
    }

    /// Moves bytes both ways, takes the answers that have come, and answers requests whose time is over. Returns
    /// whether bytes were moved.
    fn exchange(&mut self) -> Result<bool, Failure> {
        let moved = self.pump();
        if let Err(why) = &moved {
            slog::debug!(self.shared.log, "the connection to a client failed"; "why" => %why);
        }
        let moved = moved?;
        while let Ok(message) = self.answers.try_recv() {
            let (request_id, answer) = *message;
            self.answer(request_id, answer);
        }
        self.answer_overdue();
        Ok(moved)
    }

    /// Reads complete messages, starts requests that may start, and queues the answers whose turn it is; each for a short
    /// while only. Returns whether there was anything to do.
    fn process(&mut self) -> bool {
        if self.closing.is_some() {
            // Read and discarded until its requests are answered: its end would not be seen behind it.
            self.link.inbound.clear();
        }
        let mut read = 0;
        while self.may_read(read) && self.next_message() {
            read += 1;
        }
        let mut has_more = read > 0;
        if self.pipeline.has_waiting() {
            // The client may have left right after sending a request, long ago if this front did not run: then it is
            // not started.
            match self.pump() {
                Ok(moved) => has_more |= moved,
                Err(_) => self.link.ended = true,
            }
            if self.may_start() {
                has_more |= self.start_requests() == MAX_STARTS_PER_TURN;
            }
        }
        self.send_replies();
        self.enforce_message_time();
        has_more
    }

    /// Whether another message is read after this many in this turn.
    fn may_read(&self, read: usize) -> bool {
        let is_due = read.is_multiple_of(MESSAGES_PER_CHECK);
        let has_time = || read == 0 || self.shared.clock.now() < self.turn_started + MAX_TURN;
        self.closing.is_none() && (!is_due || has_time() && !self.client_gone())
    }

    /// Whether requests are started.
    fn may_start(&self) -> bool {
        !self.client_gone() && !self.unread.may_hide_end(self.shared.clock.now())
    }

    /// Called when nothing was read and nothing was to be done. Returns whether to wait: false if there is something
    /// to do after all.
    fn prepare_to_wait(&mut self) -> Result<bool, Failure> {
        match self.shared.update_idle(self.slot, self.is_idle(), self.last_progress) {
            IdleAction::CheckAt(next_check) => self.next_check = next_check.min(self.stalls_at()),
            IdleAction::Leave(reason) if self.draining.is_none() && self.closing.is_none() => {
                // Whatever has come in by now is still read.
                self.draining = Some(reason);
                self.pump()?;
                return Ok(false);
            }
            IdleAction::Leave(_) => self.next_check = self.stalls_at(),
        }
        // Writes what was queued since the last exchange; waits only if not all of it could be written.
        Ok(self.link.is_flushed() || !self.pump()?)
    }

    /// Lets other coroutines run: a client that sends at full speed must not starve them.
    fn yield_turn(&mut self) {
        let clock = &self.shared.clock;
        if self.link.lacks_memory() {
            clock.pause(SHORTAGE_PAUSE);
        } else if clock.now() >= self.turn_started + MAX_TURN {
            clock.yield_to_others();
        } else {
            may::coroutine::yield_now();
            return;
        }
        self.turn_started = self.shared.clock.now();
    }

    /// Moves bytes both ways, and records when the inbound ones arrived.
    fn pump(&mut self) -> Result<bool, Failure> {
        let before = self.link.inbound.len();
        let moved = self.link.pump();
        let (received, arrived) = (self.link.inbound.len() - before, self.shared.clock.arrival_time());
        self.arrival_times.received(received, arrived);
        self.unread.record_read(received, self.link.is_drained(), arrived, self.shared.clock.now());
        if matches!(moved, Ok(true)) {
            self.last_progress = self.shared.clock.now();
        }
        moved
    }

    /// Whether it has ended its sending. If there may be more to read before its end, the operating system is asked.
    fn client_gone(&self) -> bool {
        self.link.ended || !self.link.is_drained() && self.link.has_left()
    }

    /// Begins the transfer to another process if the client is idle. Returns whether it began.
    fn try_transfer(&mut self) -> bool {
        let is_settled = self.pipeline.is_empty() && self.link.is_flushed() && self.discarded.is_none();
        let is_between_txns = is_settled && self.closing.is_none() && !self.link.ended;
        let Some(descriptor) = Some(is_between_txns).filter(|b| *b).and_then(|_| self.link.descriptor().ok())
        else {
            return false;
        };
        let transfer_to = self.shared.transfer_to.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(transfers) = transfer_to.as_ref() else { return false };
        let state = Arc::new(AtomicU8::new(TRANSFER_PENDING));
        let result = TransferResult { state: state.clone(), waker: self.link.waker() };
        let unread = self.link.inbound.iter().copied().collect();
        let (number, open, skipping) = (self.slot, self.open, self.skipping);
        if transfers.send(ClientTransfer { number, descriptor, unread, open, skipping, result }).is_err() {
            return false;
        }
        self.transfer = Some(state);
        true
    }

    /// Waits for an event, until the earliest of the time limits at most. Only one timer is pending at a time, as
    /// most txns end long before theirs.
    fn wait_for_event(&mut self) {
        let answer_due = self.pipeline.next_due(self.shared.grace);
        let may_start_at = self.unread.settles_at().filter(|_| self.pipeline.has_waiting());
        let next = [answer_due, self.message_due, self.linger_until, may_start_at]
            .into_iter()
            .flatten()
            .fold(self.next_check, Duration::min);
        let timer_is_set = self.timer_set_for > self.shared.clock.now() && self.timer_set_for <= next;
        if next < Duration::MAX && !timer_is_set {
            self.timer_set_for = next;
            let waker = self.link.waker();
            self.shared.clock.run_at(next, move || waker.wake());
        }
        self.link.wait();
    }

    /// Ends the connection of a client that does not complete its startup or a message in time: it must not occupy a
    /// slot by sending nothing or a message without an end.
    fn enforce_message_time(&mut self) {
        let is_half_read = !self.link.inbound.is_empty() || self.discarded.is_some();
        let is_waiting = self.closing.is_none() && (!self.open || is_half_read);
        if !is_waiting {
            self.message_due = None;
            return;
        }
        let now = self.shared.clock.now();
        if now >= *self.message_due.get_or_insert(now + MAX_MESSAGE_TIME) {
            self.shared.counters.clients_unfinished.add();
            let mut out = Vec::new();
            pg::error(&mut out, true, pg::PROTOCOL_VIOLATION, "expected a whole message by now", None);
            self.pipeline.push_answer(out);
            self.send_replies();
            self.closing = Some(CloseReason::ProtocolViolation);
        }
    }

    /// Answers requests whose time is over, in case the dispatcher or a member's actor is late. A request that still
    /// waits for the write before it never ran.
    fn answer_overdue(&mut self) {
        let now = self.shared.clock.now();
        while let Some(overdue) = self.pipeline.overdue(now, self.shared.grace) {
            match overdue {
                Overdue::Started(request_id) => {
                    self.shared.request_log.request(request_id, RequestEvent::Overdue);
                    self.shared.counters.guard_acts.add();
                    let _ = self.shared.dispatcher.send(DispatcherMessage::ClientLeft(request_id));
                    self.answer(request_id, Answer::Unknown("out of time; it may have run"));
                }
                Overdue::Waiting(request_id) => self.answer(request_id, Answer::Declined(None)),
            }
        }
    }

    /// Hands the requests that may start to the dispatcher, a few at a time; returns how many.
    fn start_requests(&mut self) -> usize {
        let mut started = 0;
        while started < MAX_STARTS_PER_TURN
            && let Some(Start { payload: mut arrival, write_answered }) = self.pipeline.start(self.unsent())
        {
            started += 1;
            arrival.write_answered = write_answered;
            self.shared.request_log.request(arrival.request_id, RequestEvent::Started);
            let _ = self.shared.dispatcher.send(DispatcherMessage::RequestArrived(arrival));
        }
        started
    }

    /// Whether the client has a slot by now.
    fn find_slot(&mut self) -> bool {
        self.has_slot |= self.shared.present() <= self.shared.max_clients;
        self.has_slot
    }
}
