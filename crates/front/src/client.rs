//! A client's actor: reads its statements as they come, hands each to the desk, and writes the answers in the order of
//! the statements.

mod drain;

use crate::clients::{ClientTransfer, Rest, SharedClients, TAKEN, TransferResult, UNDER_WAY};
use crate::counters::{Count, Counters};
use crate::mailbox::Mailbox;
use crate::messages::{Answer, Arrival, DispatcherMessage};
use crate::request_log::{CloseReason, RequestEvent};
use juniperdock_connection::{Failure, Link, PeerWatch};
use juniperdock_pg as pg;
use juniperdock_pipeline::{ArrivalTimes, Limits, Overdue, Pipeline, Reply, Request, Start};
use juniperdock_request_guard::{ClientPresence, RequestGuard, Violation};
use may::sync::mpsc::{Receiver, channel};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// The stack of a connection's coroutine, in bytes.
pub const CONNECTION_STACK_BYTES: usize = 64 << 10;
/// Messages that are taken in one turn.
const MAX_MESSAGES_PER_TURN: usize = 64;

/// What is kept of what a client sends, in bytes.
pub const MAX_INBOUND: usize = 2 * pg::LONGEST;

/// What a client may have sent and not been answered. What it sends beyond that is refused in its turn, and read all
/// the same: a client whose bytes lie unread could not be seen to leave.
const PIPELINE: Limits = Limits { started: 64, request_bytes: MAX_INBOUND, answer_bytes: pg::LONGEST };

/// What is kept of a statement beside its text, in bytes, rounded up.
const REQUEST_OVERHEAD: usize = 512;

/// How long a client may take over an opening or a message that it has begun.
const MAX_MESSAGE_TIME: Duration = Duration::from_secs(2);

/// The least age of a write whose commit is known: an age of nothing says that there was none.
const MIN_WRITE_AGE: Duration = Duration::from_micros(1);

const TOO_MANY_AT_ONCE: &str = "too much sent ahead on this connection, trying again is harmless";

/// Asks the machine whether a client has left.
struct Presence(PeerWatch);

impl ClientPresence for Presence {
    fn has_left(&self) -> bool {
        self.0.has_left()
    }
}

struct Client {
    shared: Arc<SharedClients>,
    slot: u64,
    /// There was room for it; else its first txn is declined, and it is to come again.
    has_slot: bool,
    link: Link,
    mail: Receiver<(u64, Answer)>,
    mailbox: Mailbox<(u64, Answer)>,
    open: bool,
    /// It has had no txn here.
    fresh: bool,
    pipeline: Pipeline<Box<Arrival>>,
    /// Of the requests that are not answered.
    guards: HashMap<u64, RequestGuard>,
    /// When what lies in the inbound buffer came in.
    arrival_times: ArrivalTimes,
    /// After a failed extended query, all is passed by up to Sync.
    skipping: bool,
    /// Nothing more is taken, for this reason: the connection ends once all is written.
    last: Option<CloseReason>,
    /// It ends for this reason once nothing is owed. What comes behind a request in hand is refused meanwhile.
    draining: Option<CloseReason>,
    /// Until when it is read on after the end of its sending.
    lingers: Option<Duration>,
    /// When bytes moved last, either way, and when an answer was queued last.
    progress: Duration,
    answered: Duration,
    /// Until when the opening or the message that has begun must be whole.
    due: Option<Duration>,
    /// When it is to be looked at again, though nothing comes.
    looks: Duration,
    /// When it is rung next, at the latest.
    rings: Duration,
    /// It is on its way to another process: nothing is read here until that is decided.
    under_way: Option<Arc<AtomicU8>>,
}

/// Serves a client until its connection ends.
pub fn run(link: Link, slot: u64, has_slot: bool, open: bool, skipping: bool, shared: Arc<SharedClients>) {
    let (mail, read) = channel();
    let mailbox = Mailbox { mail, bell: link.bell() };
    let mut client = Client {
        shared,
        slot,
        has_slot,
        link,
        mail: read,
        mailbox,
        open,
        fresh: true,
        pipeline: Pipeline::new(PIPELINE),
        guards: HashMap::new(),
        arrival_times: ArrivalTimes::default(),
        skipping,
        last: None,
        draining: None,
        lingers: None,
        progress: Duration::ZERO,
        answered: Duration::ZERO,
        due: None,
        looks: Duration::ZERO,
        rings: Duration::ZERO,
        under_way: None,
    };
    client.arrival_times.received(client.link.inbound.len(), client.shared.clock.came_in());
    let reason = catch_unwind(AssertUnwindSafe(|| client.live())).unwrap_or(CloseReason::Panicked);
    if reason == CloseReason::Panicked {
        client.shared.counters.panics.add();
        let mut out = Vec::new();
        pg::error(&mut out, true, pg::INTERNAL, "the connection's actor failed", None);
        let _ = client.link.queue(&out).and_then(|()| client.link.pump());
    }
    client.end(reason);
    client.shared.slots().taken.remove(&slot);
}

impl Client {
    /// Serves until the connection ends, and says why it did.
    fn live(&mut self) -> CloseReason {
        let mut busy = 0;
        loop {
            self.shared.clock.pulse();
            match self.transfer_state() {
                Some(UNDER_WAY) => {
                    self.link.wait();
                    continue;
                }
                Some(TAKEN) => return CloseReason::Transferred,
                _ => self.under_way = None,
            }
            self.drain();
            let Ok(moved) = self.exchange() else { return CloseReason::Broken };
            if self.gone() && (!self.pipeline.is_empty() || self.link.flushed()) {
                return self.last.unwrap_or(CloseReason::ClientLeft);
            }
            if self.shared.moves(self.slot) && self.leave() {
                continue;
            }
            let read = self.work();
            match self.settle(moved || read > 0) {
                Ok(Some(reason)) => return reason,
                Ok(None) => {}
                Err(_) => return CloseReason::Broken,
            }
            if moved || read > 0 {
                busy += 1;
                self.give_turn(busy);
                continue;
            }
            busy = 0;
            match self.rest() {
                Ok(true) => self.wait(),
                Ok(false) => {}
                Err(_) => return CloseReason::Broken,
            }
        }
    }

    fn transfer_state(&self) -> Option<u8> {
        self.under_way.as_ref().map(|state| state.load(Ordering::Acquire))
    }

    /// Moves bytes both ways, takes in the answers that have come, and gives those whose time is over. True if bytes moved.
    fn exchange(&mut self) -> Result<bool, Failure> {
        let moved = self.pump();
        if let Err(why) = &moved {
            slog::debug!(self.shared.log, "a client is gone"; "why" => %why);
        }
        let moved = moved?;
        while let Ok((ticket, answer)) = self.mail.try_recv() {
            self.answer(ticket, answer);
        }
        self.guard();
        Ok(moved)
    }

    /// Takes the messages that are there, begins what may begin, and queues the answers whose turn it is. Gives how many
    /// messages it took.
    fn work(&mut self) -> usize {
        let mut read = 0;
        // Nothing is begun for a client that has left behind what it sent.
        while self.reads() && !self.gone() && read < MAX_MESSAGES_PER_TURN && self.next() {
            read += 1;
        }
        if !self.gone() {
            self.begin();
        }
        self.reply();
        self.finish();
        read
    }

    /// Nothing came and nothing was to be done. False if there is something to do after all, now.
    fn rest(&mut self) -> Result<bool, Failure> {
        match self.shared.rest(self.slot, self.is_idle(), self.progress) {
            Rest::Until(looks) => self.looks = looks.min(self.stalls_at()),
            Rest::Leave(reason) if self.draining.is_none() && self.last.is_none() => {
                // Whatever has come in by now is still read.
                self.draining = Some(reason);
                self.pump()?;
                return Ok(false);
            }
            Rest::Leave(_) => self.looks = self.stalls_at(),
        }
        // Queued since the last move; what can't go at once is waited for.
        Ok(self.link.flushed() || !self.pump()?)
    }

    /// One that sends at full speed takes turns with the others.
    fn give_turn(&self, busy: u32) {
        self.shared.clock.take_turns(busy, self.link.is_short());
        may::coroutine::yield_now();
    }

    /// Moves bytes both ways, and notes when those that came in did.
    fn pump(&mut self) -> Result<bool, Failure> {
        let before = self.link.inbound.len();
        let moved = self.link.pump();
        self.arrival_times.received(self.link.inbound.len() - before, self.shared.clock.came_in());
        if matches!(moved, Ok(true)) {
            self.progress = self.shared.clock.now();
        }
        moved
    }

    /// More of what it sends is taken: not while it leaves much unread.
    fn reads(&self) -> bool {
        self.last.is_none() && self.link.unsent() + self.pipeline.answer_bytes() < pg::LONGEST
    }

    /// It has ended its sending. Where there is no room to read its end, the machine is asked for it.
    fn gone(&self) -> bool {
        let unread = self.draining.is_some() || self.link.inbound.len() >= MAX_INBOUND;
        self.link.ended || unread && self.link.has_left()
    }

    /// Sets out for another process, if it is between txns.
    fn leave(&mut self) -> bool {
        let between =
            self.pipeline.is_empty() && self.link.flushed() && self.last.is_none() && !self.link.ended;
        let Some(descriptor) = Some(between).filter(|b| *b).and_then(|_| self.link.descriptor().ok()) else {
            return false;
        };
        let moves = self.shared.transfer_to.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(mover) = moves.as_ref() else { return false };
        let state = Arc::new(AtomicU8::new(UNDER_WAY));
        let result = TransferResult { state: state.clone(), bell: self.link.bell() };
        let unread = self.link.inbound.iter().copied().collect();
        let (number, open, skipping) = (self.slot, self.open, self.skipping);
        if mover.send(ClientTransfer { number, descriptor, unread, open, skipping, result }).is_err() {
            return false;
        }
        self.under_way = Some(state);
        true
    }

    /// Waits, until the next of its times at the longest. One alarm is out at a time: most txns end long
    /// before theirs.
    fn wait(&mut self) {
        let answer_due = self.pipeline.next_due(self.shared.grace);
        let next = [answer_due, self.due, self.lingers].into_iter().flatten().fold(self.looks, Duration::min);
        let rung = self.rings > self.shared.clock.now() && self.rings <= next;
        if next < Duration::MAX && !rung {
            self.rings = next;
            let bell = self.link.bell();
            self.shared.clock.run_at(next, move || bell.ring());
        }
        self.link.wait();
    }

    /// Sees to it that what a client has begun gets to its end: a place is not kept by saying nothing, nor by
    /// a message without an end.
    fn finish(&mut self) {
        let waits = self.reads() && (!self.open || !self.link.inbound.is_empty());
        if !waits {
            self.due = None;
            return;
        }
        let now = self.shared.clock.now();
        if now >= *self.due.get_or_insert(now + MAX_MESSAGE_TIME) {
            self.shared.counters.clients_unfinished.add();
            let mut out = Vec::new();
            pg::error(&mut out, true, pg::PROTOCOL_VIOLATION, "expected a whole message by now", None);
            self.pipeline.push_answer(out);
            self.reply();
            self.last = Some(CloseReason::ProtocolViolation);
        }
    }

    /// The last guard of an answer in time, should the desk or a member's actor be late. What waits for a write
    /// before it never ran.
    fn guard(&mut self) {
        let now = self.shared.clock.now();
        while let Some(overdue) = self.pipeline.overdue(now, self.shared.grace) {
            match overdue {
                Overdue::Started(ticket) => {
                    self.shared.request_log.request(ticket, RequestEvent::Overdue);
                    self.shared.counters.guard_acts.add();
                    let _ = self.shared.dispatcher.send(DispatcherMessage::Left(ticket));
                    self.answer(ticket, Answer::Unknown("out of time; it may have run"));
                }
                Overdue::Waiting(ticket) => self.answer(ticket, Answer::Declined(None)),
            }
        }
    }

    /// Hands to the desk what may begin by now.
    fn begin(&mut self) {
        while let Some(Start { payload: mut arrival, write_answered }) = self.pipeline.start() {
            if let Some(answered) = write_answered {
                let ago = self.shared.clock.now().saturating_sub(answered).max(MIN_WRITE_AGE);
                let told = arrival.wrote_ago.filter(|told| !told.is_zero());
                arrival.wrote_ago = Some(told.map_or(ago, |told| told.min(ago)));
            }
            self.shared.request_log.request(arrival.ticket, RequestEvent::Started);
            let _ = self.shared.dispatcher.send(DispatcherMessage::Arrived(arrival));
        }
    }

    /// Sends the answers whose turn it is.
    fn reply(&mut self) {
        while self.link.unsent() < pg::LONGEST
            && let Some(reply) = self.pipeline.next_reply()
        {
            match reply {
                Reply::Answer(answer) => self.say(&answer),
                Reply::Refused => {
                    self.shared.counters.declined.add();
                    let mut out = Vec::new();
                    pg::error(&mut out, false, pg::TOO_MANY, TOO_MANY_AT_ONCE, None);
                    pg::ready(&mut out);
                    self.say(&out);
                }
            }
        }
    }

    /// Notes the answer of a txn, unless it has one already.
    fn answer(&mut self, ticket: u64, answer: Answer) {
        let name = answer.name();
        let (count, out) = encode(&self.shared.counters, answer);
        if self.pipeline.answer(self.shared.clock.now(), ticket, out) {
            if !self.guards.remove(&ticket).is_none_or(|guard| guard.answer()) {
                self.shared.counters.invariants.count(Violation::AnsweredTwice);
            }
            self.shared.request_log.request(ticket, RequestEvent::Answered { answer: name });
            count.add();
        }
    }

    fn say(&mut self, bytes: &[u8]) {
        self.answered = self.shared.clock.now();
        // Bounded by what is taken: nothing more is while much is unsent.
        let _ = self.link.queue(bytes);
    }

    /// Takes one message, if a whole one is there.
    fn next(&mut self) -> bool {
        let mut out = Vec::new();
        let taken = if self.open { self.message(&mut out) } else { self.opening(&mut out) };
        let went_on = match taken {
            Ok(length) => {
                self.link.inbound.drain(..length);
                self.arrival_times.consume(length);
                self.due = self.due.filter(|_| length == 0);
                length > 0
            }
            Err(why) => {
                self.shared.counters.bad_messages.add();
                pg::error(&mut out, true, pg::PROTOCOL_VIOLATION, &why, None);
                self.last = Some(CloseReason::ProtocolViolation);
                true
            }
        };
        if !out.is_empty() {
            self.pipeline.push_answer(out);
        }
        went_on
    }

    fn opening(&mut self, out: &mut Vec<u8>) -> Result<usize, String> {
        Ok(match pg::opening(self.link.inbound.make_contiguous())? {
            None => 0,
            Some((pg::Opening::Encryption, length)) => {
                out.push(b'N');
                length
            }
            Some((pg::Opening::Cancel, length)) => {
                self.last = Some(CloseReason::Terminated);
                length
            }
            Some((pg::Opening::Startup, length)) => {
                pg::welcome(out);
                self.open = true;
                if let Some(slot) = self.shared.slots().taken.get_mut(&self.slot) {
                    slot.open = true;
                }
                length
            }
        })
    }

    fn message(&mut self, out: &mut Vec<u8>) -> Result<usize, String> {
        let Some((kind, body, length)) = pg::message(self.link.inbound.make_contiguous(), pg::LONGEST)?
        else {
            return Ok(0);
        };
        match kind {
            b'Q' => {
                let text: Arc<str> = pg::statement(body)?.into();
                let at =
                    self.arrival_times.arrival_of_next(length).unwrap_or_else(|| self.shared.clock.came_in());
                self.skipping = false;
                let alone = self.link.inbound.len() == length;
                self.statement(text, at, alone, out);
            }
            b'X' => self.last = Some(CloseReason::Terminated),
            b'S' => {
                self.skipping = false;
                pg::ready(out);
            }
            b'H' => {}
            b'P' | b'B' | b'D' | b'E' | b'C' | b'F' if self.skipping => {}
            b'P' | b'B' | b'D' | b'E' | b'C' | b'F' => {
                self.skipping = kind != b'F';
                pg::error(out, false, pg::NOT_SUPPORTED, "only simple queries are taken", None);
                if kind == b'F' {
                    pg::ready(out);
                }
            }
            other => return Err(format!("expected a query, found a message of type {:?}", other as char)),
        }
        Ok(length)
    }

    /// Takes a statement whose last byte came in then; `alone`: nothing that was read stands behind it.
    fn statement(&mut self, text: Arc<str>, at: Duration, alone: bool, out: &mut Vec<u8>) {
        match pg::verb(&text) {
            pg::Verb::Empty => pg::empty_query(out),
            pg::Verb::Session(tag) => pg::command_complete(out, tag),
            pg::Verb::Txn if let Some(refusal) = self.refusal() => {
                self.shared.counters.declined.add();
                let fatal = alone && self.pipeline.is_empty();
                pg::error(out, fatal, refusal.code, refusal.text, None);
                if fatal {
                    self.last = self.last.or(self.draining);
                    return;
                }
            }
            pg::Verb::Txn => match self.arrival(text, at) {
                Ok(arrival) => {
                    // It may have left right behind it, long ago if this front had no turn: then none begins.
                    self.link.ended |= self.pump().is_err() || self.gone();
                    self.push(arrival);
                    return;
                }
                Err(why) => {
                    self.shared.counters.bad_messages.add();
                    pg::error(out, false, pg::PROTOCOL_VIOLATION, &why, None);
                }
            },
        }
        pg::ready(out);
    }

    /// Takes a txn in hand, to begin as soon as it may.
    fn push(&mut self, arrival: Arrival) {
        self.fresh = false;
        self.shared.busy(self.slot);
        self.shared.counters.txns.add();
        let request = Request {
            id: arrival.ticket,
            deadline: arrival.expiry,
            session: arrival.session,
            writes: self.shared.writes.get(arrival.kind).copied().unwrap_or(true),
            bytes: arrival.statement.len() + REQUEST_OVERHEAD,
        };
        self.shared.request_log.of_client(self.slot, request.id);
        // One that is over the limits is refused in its turn.
        let (ticket, guard) = (request.id, arrival.guard.clone());
        if self.pipeline.push(request, Box::new(arrival)).is_ok() {
            self.guards.insert(ticket, guard);
        } else {
            self.shared.request_log.request(request.id, RequestEvent::OverLimits);
        }
    }

    /// Whether there is room for it by now.
    fn find_slot(&mut self) -> bool {
        self.has_slot |= self.shared.present() <= self.shared.max_clients;
        self.has_slot
    }

    fn arrival(&self, statement: Arc<str>, at: Duration) -> Result<Arrival, String> {
        let (fields, rest) = pg::comment(&statement)?;
        let field = |name: &str| fields.iter().find(|field| field.0 == name).map(|field| field.1);
        let need = |name: &str| field(name).ok_or_else(|| format!("expected {name} in the comment"));
        let number = |name: &str, text: &str| {
            text.parse::<u64>().map_err(|_| format!("expected a number in {name}, found {text:?}"))
        };
        need("id")?;
        let class = need("c")?;
        let kind = self
            .shared
            .txn_types
            .known(class)
            .ok_or_else(|| format!("expected a known class in c, found {class:?}"))?;
        let left = need("d")?;
        // No client waits for longer than an hour.
        let ms = number("d", left)?.min(3_600_000);
        let cell = number("cluster", need("cluster")?)?;
        let clock = &self.shared.clock;
        let unix = clock.origin().start / 1000 + clock.now().as_millis() as i64;
        let wrote_ago = match field("after") {
            Some(after) => {
                let ago = unix.saturating_sub_unsigned(number("after", after)?);
                Some(Duration::from_millis(ago.max(1) as u64))
            }
            None => self.shared.client_session_marks.then_some(Duration::ZERO),
        };
        let session = pg::quoted(rest).map(|key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            hasher.finish()
        });
        let ticket = self.shared.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (retried, expiry) = (field("r") == Some("1"), at + Duration::from_millis(ms));
        let waits = expiry.saturating_sub(self.shared.clock.now());
        let received =
            RequestEvent::Received { id: field("id").unwrap_or_default(), class: kind, left: waits };
        self.shared.request_log.request(ticket, received);
        let (left, client) = (pg::place(&statement, left), self.mailbox.clone());
        let watch = self.link.peer_watch();
        let invariants = self.shared.counters.invariants.clone();
        let guard = RequestGuard::new(expiry, Box::new(Presence(watch)), invariants);
        Ok(Arrival {
            ticket,
            at,
            kind,
            cell,
            expiry,
            retried,
            session,
            wrote_ago,
            statement,
            left,
            client,
            guard,
        })
    }
}

/// An answer as it goes to a client, and the counter that it belongs to.
fn encode(counters: &Counters, answer: Answer) -> (&Count, Vec<u8>) {
    let mut out = Vec::new();
    let count = match answer {
        Answer::Committed(row) => {
            out = row;
            &counters.committed
        }
        Answer::Invalid(error) => {
            out = error;
            &counters.invalid
        }
        Answer::Declined(come_back) => {
            let detail = come_back.map(|wait| wait.as_millis().to_string());
            let text = "declined, trying again is harmless";
            pg::error(&mut out, false, pg::TOO_MANY, text, detail.as_deref());
            &counters.declined
        }
        Answer::RolledBack(why) => {
            pg::error(&mut out, false, pg::ROLLED_BACK, why, None);
            &counters.rolled_back
        }
        Answer::Unknown(why) => {
            pg::error(&mut out, false, pg::UNKNOWN, why, None);
            &counters.unknown
        }
    };
    pg::ready(&mut out);
    (count, out)
}
