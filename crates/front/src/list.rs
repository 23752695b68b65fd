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

/// Without a sign of life for this long the watch is opened anew: two empty lines have not come. Whatever the
/// list has to tell counts as told after 6 s.
const SILENCE: Duration = Duration::from_secs(5);

/// The agent is on this machine: what is not connected by now is lost, and asked for again before what the list has
/// to tell counts as told.
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
        let (watches, opened, logged) = (Vec::new(), 0, false);
        List { address, version, clock, desk, counters, log, stack, mail, read, watches, opened, logged }
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

    fn told(&mut self, number: u64, list: Value) {
        // Nothing is believed of a watch that a later one has taken over from.
        let Some(at) = self.watches.iter().position(|watch| watch.number == number) else { return };
        for old in self.watches.drain(..at) {
            old.stop.store(true, Ordering::Relaxed);
            old.bell.iter().for_each(Bell::ring);
        }
        let version = list["version"].as_u64();
        if list["full"].as_bool() == Some(false) && version <= self.version {
            return; // Heard already, from the watch before.
        }
        (self.version, self.logged) = (version, false);
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
        let request = watch_request(&self.address.to_string(), after);
        let mut link = match Link::connect(self.address, CONNECT, LONGEST, LONGEST) {
            Ok(link) => link,
            Err(why) => return why.to_string(),
        };
        let _ = self.list.send(ToList::Up(self.number, link.bell()));
        if let Err(why) = link.queue(request.as_bytes()) {
            return why.to_string();
        }
        let (mut answer, mut signs, mut heard) = (Answer::default(), 0, self.clock.now());
        let bell = link.bell();
        self.clock.at(heard + SILENCE, move || bell.ring());
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
                (signs, heard) = (answer.signs, now);
                let bell = link.bell();
                self.clock.at(heard + SILENCE, move || bell.ring());
            }
            match moved {
                Err(why) => return why.to_string(),
                Ok(_) if link.ended || answer.over() => return "the watch ended".to_owned(),
                Ok(_) if now >= heard + SILENCE => return "the watch fell silent".to_owned(),
                Ok(true) => {}
                Ok(false) => link.wait(),
            }
        }
        "another has taken over".to_owned()
    }
}
