//! A client's actor: reads its statements one at a time, hands each to the desk, and writes the one answer.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::desk::{Answer, Arrival, Mail};
use crate::mailbox::Mailbox;
use juniperdock_door::Indices;
use juniperdock_link::Link;
use juniperdock_pg as pg;
use may::net::TcpStream;
use may::sync::mpsc::{Receiver, Sender, channel};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// What all clients' actors share.
pub struct Hall {
    pub clock: Clock,
    pub desk: Sender<Mail>,
    pub counters: Arc<Counters>,
    pub log: slog::Logger,
    /// The txn types by name.
    pub kinds: Indices<String>,
    /// Clients tell what their session has written.
    pub marks: bool,
    /// An answer must be out this long after the expiry.
    pub grace: Duration,
    pub tickets: AtomicU64,
    pub present: AtomicUsize,
    /// Connections end once they are between txns.
    pub closing: AtomicBool,
}

struct InHand {
    ticket: u64,
    expiry: Duration,
}

struct Client {
    hall: Arc<Hall>,
    link: Link,
    mail: Receiver<(u64, Answer)>,
    mailbox: Mailbox<(u64, Answer)>,
    open: bool,
    in_hand: Option<InHand>,
    /// After a failed extended query, all is passed by up to Sync.
    skipping: bool,
    /// Nothing more is read: the connection ends once all is written.
    last: bool,
}

pub fn run(stream: TcpStream, hall: Arc<Hall>) {
    hall.counters.clients.add();
    hall.present.fetch_add(1, Ordering::Relaxed);
    match Link::new(stream, 2 * pg::LONGEST) {
        Ok(link) => {
            let (mail, read) = channel();
            let mailbox = Mailbox { mail, bell: link.bell() };
            let (open, in_hand, skipping, last) = (false, None, false, false);
            let hall = hall.clone();
            let mut client = Client { hall, link, mail: read, mailbox, open, in_hand, skipping, last };
            if catch_unwind(AssertUnwindSafe(|| client.live())).is_err() {
                client.hall.counters.panics.add();
                let mut out = Vec::new();
                pg::error(&mut out, true, pg::INTERNAL, "the connection's actor failed", None);
                let _ = client.link.queue(&out).and_then(|()| client.link.pump());
            }
            if let Some(in_hand) = client.in_hand.take() {
                client.hall.counters.left.add();
                let _ = client.hall.desk.send(Mail::Left(in_hand.ticket));
            }
        }
        Err(why) => slog::debug!(hall.log, "a client is gone at once"; "why" => %why),
    }
    hall.present.fetch_sub(1, Ordering::Relaxed);
}

impl Client {
    fn live(&mut self) {
        loop {
            let moved = match self.link.pump() {
                Ok(moved) => moved,
                Err(why) => {
                    slog::debug!(self.hall.log, "a client is gone"; "why" => %why);
                    return;
                }
            };
            while let Ok((ticket, answer)) = self.mail.try_recv() {
                if self.in_hand.as_ref().is_some_and(|in_hand| in_hand.ticket == ticket) {
                    self.in_hand = None;
                    self.answer(answer);
                }
            }
            self.guard();
            if self.link.ended && (self.in_hand.is_some() || self.link.flushed()) {
                return;
            }
            let mut read = false;
            while self.in_hand.is_none() && !self.last && self.next() {
                read = true;
            }
            let done = self.in_hand.is_none() && self.link.flushed();
            if self.last && done {
                self.link.close();
                return;
            }
            if !moved && !read {
                if done && self.link.inbound.is_empty() && self.hall.closing.load(Ordering::Relaxed) {
                    return;
                }
                if !self.link.flushed() {
                    // Queued since the last move; what can't go at once is waited for.
                    match self.link.pump() {
                        Ok(false) => {}
                        Ok(true) => continue,
                        Err(_) => return,
                    }
                }
                self.link.wait();
            }
        }
    }

    /// The last guard of an answer in time, should the desk or a member's actor be late.
    fn guard(&mut self) {
        let due = |in_hand: &mut InHand| in_hand.expiry + self.hall.grace <= self.hall.clock.now();
        if let Some(in_hand) = self.in_hand.take_if(due) {
            self.hall.counters.guard_acts.add();
            let _ = self.hall.desk.send(Mail::Left(in_hand.ticket));
            self.answer(Answer::RolledBack("out of time"));
        }
    }

    fn answer(&mut self, answer: Answer) {
        let mut out = Vec::new();
        match answer {
            Answer::Committed(row) => {
                self.hall.counters.committed.add();
                out = row;
            }
            Answer::Declined(come_back) => {
                self.hall.counters.declined.add();
                let detail = come_back.map(|wait| wait.as_millis().to_string());
                pg::error(
                    &mut out,
                    false,
                    pg::TOO_MANY,
                    "declined, trying again is harmless",
                    detail.as_deref(),
                );
            }
            Answer::RolledBack(why) => {
                self.hall.counters.rolled_back.add();
                pg::error(&mut out, false, pg::ROLLED_BACK, why, None);
            }
        }
        pg::ready(&mut out);
        self.say(&out);
    }

    fn say(&mut self, bytes: &[u8]) {
        if self.link.queue(bytes).is_err() {
            // It does not read its answers.
            self.last = true;
        }
    }

    /// Takes one message, if a whole one is there.
    fn next(&mut self) -> bool {
        let mut out = Vec::new();
        let taken = if self.open { self.message(&mut out) } else { self.opening(&mut out) };
        let went_on = match taken {
            Ok(length) => {
                self.link.inbound.drain(..length);
                length > 0
            }
            Err(why) => {
                self.hall.counters.bad_messages.add();
                pg::error(&mut out, true, pg::PROTOCOL_VIOLATION, &why, None);
                self.last = true;
                true
            }
        };
        self.say(&out);
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
                self.last = true;
                length
            }
            Some((pg::Opening::Startup, length)) => {
                pg::welcome(out);
                self.open = true;
                length
            }
        })
    }

    fn message(&mut self, out: &mut Vec<u8>) -> Result<usize, String> {
        let Some((kind, body, length)) = pg::message(self.link.inbound.make_contiguous())? else {
            return Ok(0);
        };
        match kind {
            b'Q' => {
                let text: Arc<str> = pg::statement(body)?.into();
                self.skipping = false;
                self.statement(text, out);
            }
            b'X' => self.last = true,
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

    fn statement(&mut self, text: Arc<str>, out: &mut Vec<u8>) {
        match pg::verb(&text) {
            pg::Verb::Empty => pg::empty_query(out),
            pg::Verb::Session(tag) => pg::command_complete(out, tag),
            pg::Verb::Txn => match self.arrival(text) {
                Ok(arrival) => {
                    self.hall.counters.txns.add();
                    let (ticket, expiry) = (arrival.ticket, arrival.expiry);
                    self.in_hand = Some(InHand { ticket, expiry });
                    let bell = self.mailbox.bell.clone();
                    self.hall.clock.at(expiry + self.hall.grace, move || bell.ring());
                    let _ = self.hall.desk.send(Mail::Arrived(Box::new(arrival)));
                    return;
                }
                Err(why) => {
                    self.hall.counters.bad_messages.add();
                    pg::error(out, false, pg::PROTOCOL_VIOLATION, &why, None);
                }
            },
        }
        pg::ready(out);
    }

    fn arrival(&self, statement: Arc<str>) -> Result<Arrival, String> {
        let (fields, rest) = pg::comment(&statement)?;
        let field = |name: &str| fields.iter().find(|field| field.0 == name).map(|field| field.1);
        let need = |name: &str| field(name).ok_or_else(|| format!("expected {name} in the comment"));
        let number = |name: &str, text: &str| {
            text.parse::<u64>().map_err(|_| format!("expected a number in {name}, found {text:?}"))
        };
        need("id")?;
        let class = need("c")?;
        let kind = self
            .hall
            .kinds
            .known(class)
            .ok_or_else(|| format!("expected a known class in c, found {class:?}"))?;
        let left = need("d")?;
        // No client waits for longer than an hour.
        let ms = number("d", left)?.min(3_600_000);
        let cell = number("cluster", need("cluster")?)?;
        let clock = &self.hall.clock;
        let at = clock.now();
        let unix = clock.origin.start / 1000 + at.as_millis() as i64;
        let wrote_ago = match field("after") {
            Some(after) => {
                let ago = unix.saturating_sub_unsigned(number("after", after)?);
                Some(Duration::from_millis(ago.max(1) as u64))
            }
            None => self.hall.marks.then_some(Duration::ZERO),
        };
        let session = pg::quoted(rest).map(|key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            hasher.finish()
        });
        let ticket = self.hall.tickets.fetch_add(1, Ordering::Relaxed);
        let (retried, expiry) = (field("r") == Some("1"), at + Duration::from_millis(ms));
        let (left, client) = (pg::place(&statement, left), self.mailbox.clone());
        Ok(Arrival { ticket, at, kind, cell, expiry, retried, session, wrote_ago, statement, left, client })
    }
}
