//! The list's actor: keeps a watch on the member list and passes on what it is told.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::desk::Mail;
use juniperdock_discovery::{Answer, LONGEST, watch_request};
use juniperdock_link::Link;
use may::sync::mpsc::{Receiver, Sender};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Duration;

/// Without a sign of life for this long the watch is opened anew: two empty lines have not come. Whatever the
/// list has to tell counts as told after 6 s.
const SILENCE: Duration = Duration::from_secs(5);

pub struct List {
    pub address: SocketAddr,
    pub clock: Clock,
    pub desk: Sender<Mail>,
    pub counters: Arc<Counters>,
    pub log: slog::Logger,
    pub version: Option<u64>,
}

impl List {
    /// Opens a watch each time it is asked to; tells the desk when one was lost.
    pub fn run(mut self, asked: &Receiver<()>) {
        let mut told = false;
        while asked.recv().is_ok() {
            let before = self.version;
            let why = catch_unwind(AssertUnwindSafe(|| self.watch())).unwrap_or_else(|_| {
                self.counters.panics.add();
                "its actor failed".to_owned()
            });
            told &= self.version == before;
            if !told {
                slog::warn!(self.log, "the watch on the member list is lost"; "why" => why);
                told = true;
            }
            let _ = self.desk.send(Mail::ListLost);
        }
    }

    /// Watches until it fails, and says why it did.
    fn watch(&mut self) -> String {
        let request = watch_request(&self.address.to_string(), self.version);
        let mut link = match Link::connect(self.address, SILENCE, LONGEST) {
            Ok(link) => link,
            Err(why) => return why.to_string(),
        };
        if let Err(why) = link.queue(request.as_bytes()) {
            return why.to_string();
        }
        let (mut answer, mut signs, mut heard) = (Answer::default(), 0, self.clock.now());
        let bell = link.bell();
        self.clock.at(heard + SILENCE, move || bell.ring());
        loop {
            let moved = link.pump();
            match answer.take(&mut link.inbound) {
                Ok(lists) => {
                    for list in lists {
                        self.version = list["version"].as_u64();
                        let _ = self.desk.send(Mail::List(list));
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
    }
}
