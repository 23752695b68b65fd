//! The list's actor: keeps a watch on the member list and passes on what it is told. Where the list moves to
//! another address, the watch there is opened before the old one is dropped.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::mail::{ToDesk, ToList};
use juniperdock_discovery::{Answer, LONGEST, watch_request};
use juniperdock_link::{Bell, Link, spawn};
use may::sync::mpsc::{Receiver, Sender, channel};
use serde_json::Value;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Without a sign of life for this long the watch is opened anew: an empty line, which comes every 2 s, is overdue.
/// Whatever the list has to tell counts as told 6 s after a silence began: two more watches can be opened by then.
const SILENCE: Duration = Duration::from_millis(3500);

/// The agent is on this machine and answers at once. A new watch that has told nothing for this long, be it that it
/// never came up, is given up for the next. After a change of address what it has counts as told after 4 s.
const FIRST: Duration = Duration::from_millis(1500);
const CONNECT: Duration = Duration::from_millis(500);

/// A watch that is open or being opened.
struct Open {
    number: u64,
    bell: Option<Bell>,
    stop: Arc<AtomicBool>,
}

pub struct List {
    address: SocketAddr,
    version: Option<u64>,
    /// The watch that told it.
    by: u64,
    clock: Clock,
    desk: Sender<ToDesk>,
    counters: Arc<Counters>,
    log: slog::Logger,
    stack: usize,
    mail: Sender<ToList>,
    read: Receiver<ToList>,
    /// In the order in which they were opened; only the last counts once it has told something.
    watches: Vec<Open>,
    opened: u64,
    /// That no watch could be kept has been logged since the last list.
    logged: bool,
}

impl List {
    pub fn new(
        address: SocketAddr,
        version: Option<u64>,
        clock: Clock,
        desk: Sender<ToDesk>,
        counters: Arc<Counters>,
        log: slog::Logger,
        stack: usize,
    ) -> List {
        let (mail, read) = channel();
        let (watches, by, opened, logged) = (Vec::new(), 0, 0, false);
        List { address, version, by, clock, desk, counters, log, stack, mail, read, watches, opened, logged }
    }

    pub fn mail(&self) -> Sender<ToList> {
        self.mail.clone()
    }

    pub fn run(mut self) {
        while let Ok(mail) = self.read.recv() {
            match mail {
                ToList::Open => self.open(),
                ToList::At(address) => {
                    if address != self.address {
                        slog::info!(self.log, "the member list has moved"; "to" => %address);
                        self.address = address;
                        self.open();
                    }
                }
                ToList::Up(number, bell) => {
                    if let Some(watch) = self.watches.iter_mut().find(|watch| watch.number == number) {
                        watch.bell = Some(bell);
                    }
                }
                ToList::Told(number, list) => self.told(number, list),
                ToList::Over(number, why) => self.over(number, &why),
            }
        }
    }

    fn open(&mut self) {
        self.opened += 1;
        let (number, stop) = (self.opened, Arc::new(AtomicBool::new(false)));
        self.watches.push(Open { number, bell: None, stop: stop.clone() });
        let watch =
            Watch { number, address: self.address, clock: self.clock.clone(), list: self.mail.clone(), stop };
        let (version, counters, list) = (self.version, self.counters.clone(), self.mail.clone());
        let started = spawn("watch", self.stack, move || {
            let why = catch_unwind(AssertUnwindSafe(|| watch.run(version))).unwrap_or_else(|_| {
                counters.panics.add();
                "its actor failed".to_owned()
            });
            let _ = list.send(ToList::Over(number, why));
        });
        if let Err(why) = started {
            let _ = self.mail.send(ToList::Over(number, why));
        }
    }

    /// Versions rise, but where discovery has gone back: what one watch tells after another thing is news, whatever
    /// its version. A later watch may be behind the one before it: of what is not newer than the known, only what
    /// takes a member out of use counts, for that binds as soon as it is told.
    fn told(&mut self, number: u64, mut list: Value) {
        // Nothing is believed of a watch that a later one has taken over from.
        let Some(at) = self.watches.iter().position(|watch| watch.number == number) else { return };
        for old in self.watches.drain(..at) {
            old.stop.store(true, Ordering::Relaxed);
            old.bell.iter().for_each(Bell::ring);
        }
        let version = list["version"].as_u64();
        if list["full"].as_bool() == Some(false) && version <= self.version && number != self.by {
            let stops = |entry: &Value| matches!(entry["state"].as_str(), Some("draining" | "removed"));
            list["servers"].as_array_mut().into_iter().for_each(|entries| entries.retain(stops));
            if list["servers"].as_array().is_some_and(|entries| !entries.is_empty()) {
                let _ = self.desk.send(ToDesk::List(list));
            }
            return;
        }
        (self.version, self.by, self.logged) = (version, number, false);
        let _ = self.desk.send(ToDesk::List(list));
    }

    /// One that was taken over from may end; the desk hears of the last one's end.
    fn over(&mut self, number: u64, why: &str) {
        let last = self.watches.last().is_some_and(|watch| watch.number == number);
        self.watches.retain(|watch| watch.number != number);
        if !last {
            return;
        }
        if !std::mem::replace(&mut self.logged, true) {
            slog::warn!(self.log, "the watch on the member list is lost"; "why" => why);
        }
        let _ = self.desk.send(ToDesk::ListLost);
    }
}

/// One watch, on a coroutine of its own.
struct Watch {
    number: u64,
    address: SocketAddr,
    clock: Clock,
    list: Sender<ToList>,
    stop: Arc<AtomicBool>,
}

impl Watch {
    /// Watches until it fails, and says why it did.
    fn run(&self, after: Option<u64>) -> String {
        let (request, begun) = (watch_request(&self.address.to_string(), after), self.clock.now());
        let mut link = match Link::connect(self.address, CONNECT, LONGEST, LONGEST) {
            Ok(link) => link,
            Err(why) => return why.to_string(),
        };
        let _ = self.list.send(ToList::Up(self.number, link.bell()));
        if let Err(why) = link.queue(request.as_bytes()) {
            return why.to_string();
        }
        let (mut answer, mut signs, mut silent) = (Answer::default(), 0, begun + FIRST);
        let bell = link.bell();
        self.clock.at(silent, move || bell.ring());
        while !self.stop.load(Ordering::Relaxed) {
            let moved = link.pump();
            match answer.take(&mut link.inbound) {
                Ok(lists) => {
                    for list in lists {
                        let _ = self.list.send(ToList::Told(self.number, list));
                    }
                }
                Err(why) => return why,
            }
            let now = self.clock.now();
            if answer.signs > signs {
                (signs, silent) = (answer.signs, now + SILENCE);
                let bell = link.bell();
                self.clock.at(silent, move || bell.ring());
            }
            match moved {
                Err(why) => return why.to_string(),
                Ok(_) if link.ended || answer.over() => return "the watch ended".to_owned(),
                Ok(_) if now >= silent => return "the watch fell silent".to_owned(),
                Ok(true) => {}
                Ok(false) => link.wait(),
            }
        }
        "another has taken over".to_owned()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What the desk is told, as version and members.
    fn heard(read: &Receiver<ToDesk>) -> Vec<(u64, Vec<String>)> {
        let list = |mail| if let ToDesk::List(list) = mail { Some(list) } else { None };
        let ids = |list: &Value| {
            let entries = list["servers"].as_array().cloned().unwrap_or_default();
            entries.iter().map(|entry| entry["id"].as_str().unwrap_or("-").to_owned()).collect()
        };
        read.try_iter()
            .filter_map(list)
            .map(|list| (list["version"].as_u64().unwrap_or(0), ids(&list)))
            .collect()
    }

    fn change(version: u64, members: &[(&str, &str)]) -> Value {
        let entry = |&(id, state): &(&str, &str)| serde_json::json!({ "id": id, "state": state });
        let entries: Vec<Value> = members.iter().map(entry).collect();
        serde_json::json!({ "version": version, "full": false, "servers": entries })
    }

    #[test]
    fn changes_of_a_version_that_goes_back_are_not_lost() {
        let ((clock, _ring), (desk, read)) = (Clock::start(), channel());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut list = List::new(nowhere, Some(7), clock, desk, Arc::default(), log, 1 << 20);
        let watch = |number| Open { number, bell: None, stop: Arc::default() };
        list.watches.push(watch(1));
        list.told(1, change(7, &[("known", "up")]));
        assert_eq!(heard(&read), [], "known before");
        list.told(1, change(8, &[("a", "up")]));
        assert_eq!(heard(&read), [(8, vec!["a".to_owned()])]);
        // Discovery has gone back: what the same watch goes on to tell is news.
        list.told(1, change(3, &[("b", "up"), ("c", "draining")]));
        assert_eq!(heard(&read), [(3, vec!["b".to_owned(), "c".to_owned()])]);
        list.told(1, change(9, &[]));
        assert_eq!(heard(&read).len(), 1);
        // A later watch that is behind takes members out of use, and brings none back.
        list.watches.push(watch(2));
        list.told(2, change(8, &[("a", "up"), ("d", "draining"), ("e", "removed")]));
        assert_eq!(heard(&read), [(8, vec!["d".to_owned(), "e".to_owned()])]);
        list.told(1, change(10, &[("f", "up")]));
        assert_eq!(heard(&read), [], "the one before counts no more");
        list.told(2, change(9, &[("g", "up")]));
        assert_eq!(heard(&read), [], "known from the one before");
        list.told(2, change(10, &[("f", "up")]));
        assert_eq!(heard(&read), [(10, vec!["f".to_owned()])]);
        let mut whole = change(2, &[("a", "up")]);
        whole["full"] = true.into();
        list.told(2, whole);
        assert_eq!(heard(&read), [(2, vec!["a".to_owned()])], "a whole list counts whatever its version");
    }
}
