//! The discovery client keeps a watch on the server list and passes lists on to the dispatcher. When discovery moves
//! to another address, the new watch is opened before the old one is dropped.

use crate::clock::Clock;
use crate::connect::{ConnectRequest, connect};
use crate::counters::Counters;
use crate::messages::{DiscoveryMessage, DispatcherMessage, WatchEnd};
use juniperdock_connection::{BufferLimits, Waker, spawn};
use juniperdock_discovery::{Answer, MAX_UNREAD, watch_request};
use juniperdock_runtime_state::ListChange;
use juniperdock_server_list::{Backoff, ServerList, Versions};
use may::sync::mpsc::{Receiver, Sender, channel};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A watch is replaced if nothing arrives for this long; discovery sends an empty line every 2 s. A change of the
/// list has to be in force 6 s after a silence began: two more watches can be opened by then.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);

/// The agent is on this machine and answers at once. A new watch that has sent no list within this time, for whatever
/// reason, is given up for the next one. After a change of address, the new agent's list has to be in force after 4
/// s.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(1500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const BUFFER_LIMITS: BufferLimits = BufferLimits { inbound: MAX_UNREAD, outbound: MAX_UNREAD };

/// The client's side of a watch that is open or being opened.
struct WatchHandle {
    number: u64,
    waker: Option<Waker>,
    stop: Arc<AtomicBool>,
}

/// The actor that owns the watches.
pub struct DiscoveryClient {
    address: SocketAddr,
    versions: Versions,
    backoff: Backoff,
    clock: Clock,
    dispatcher: Sender<DispatcherMessage>,
    counters: Arc<Counters>,
    log: slog::Logger,
    stack: usize,
    sender: Sender<DiscoveryMessage>,
    messages: Receiver<DiscoveryMessage>,
    /// In the order in which they were opened; once the last one has sent a list, only it counts.
    watches: Vec<WatchHandle>,
    opened: u64,
    /// Whether the loss of the watch has been logged since the last list.
    logged: bool,
}

impl DiscoveryClient {
    /// Makes a client for discovery at this address. `version` is that of the list that is already known, if any.
    pub fn new(
        address: SocketAddr,
        version: Option<u64>,
        seed: u64,
        clock: Clock,
        dispatcher: Sender<DispatcherMessage>,
        counters: Arc<Counters>,
        log: slog::Logger,
        stack: usize,
    ) -> DiscoveryClient {
        let (sender, messages) = channel();
        DiscoveryClient {
            address,
            versions: Versions::new(version),
            backoff: Backoff::new(seed),
            clock,
            dispatcher,
            counters,
            log,
            stack,
            sender,
            messages,
            watches: Vec::new(),
            opened: 0,
            logged: false,
        }
    }

    /// The sending end of the client's queue.
    pub fn sender(&self) -> Sender<DiscoveryMessage> {
        self.sender.clone()
    }

    /// Handles messages until all senders are gone.
    pub fn run(mut self) {
        while let Ok(message) = self.messages.recv() {
            match message {
                DiscoveryMessage::OpenWatch => self.open(),
                DiscoveryMessage::SetAddress(address) => {
                    if address != self.address {
                        slog::info!(self.log, "discovery has a new address"; "to" => %address);
                        self.address = address;
                        self.open();
                    }
                }
                DiscoveryMessage::WakerReady(number, waker) => {
                    if let Some(watch) = self.watches.iter_mut().find(|watch| watch.number == number) {
                        watch.waker = Some(waker);
                    }
                }
                DiscoveryMessage::ListReceived(number, list) => self.list_received(number, list),
                DiscoveryMessage::PeerList(ListChange { from, list }) => {
                    let list = self.versions.accept_from_peer(from, list);
                    list.into_iter()
                        .for_each(|list| drop(self.dispatcher.send(DispatcherMessage::List(list))));
                }
                DiscoveryMessage::WatchEnded(number, why) => self.watch_ended(number, &why),
            }
        }
    }

    /// Opens another watch.
    fn open(&mut self) {
        self.opened += 1;
        let (number, stop) = (self.opened, Arc::new(AtomicBool::new(false)));
        self.watches.push(WatchHandle { number, waker: None, stop: stop.clone() });
        let watch = Watch {
            number,
            address: self.address,
            clock: self.clock.clone(),
            list: self.sender.clone(),
            stop,
        };
        let (version, counters, list) = (self.versions.known(), self.counters.clone(), self.sender.clone());
        let started = spawn("watch", self.stack, move || {
            let why = catch_unwind(AssertUnwindSafe(|| watch.run(version))).unwrap_or_else(|_| {
                counters.panics.add();
                WatchEnd::Failed("the watch's actor panicked".to_owned())
            });
            let _ = list.send(DiscoveryMessage::WatchEnded(number, why));
        });
        if let Err(why) = started {
            let _ = self.sender.send(DiscoveryMessage::WatchEnded(number, WatchEnd::Failed(why)));
        }
    }

    /// Passes a list on. Older watches are stopped, and lists of a watch that a newer one replaced are ignored.
    fn list_received(&mut self, number: u64, list: ServerList) {
        let Some(at) = self.watches.iter().position(|watch| watch.number == number) else { return };
        for old in self.watches.drain(..at) {
            old.stop.store(true, Ordering::Relaxed);
            old.waker.iter().for_each(Waker::wake);
        }
        self.backoff.reset();
        if let Some(list) = self.versions.accept(number, list) {
            self.logged = false;
            let _ = self.dispatcher.send(DispatcherMessage::List(list));
        }
    }

    /// Handles the end of a watch. If it was the last one, the dispatcher is notified, which asks for the next; a
    /// watch that was replaced may just end.
    fn watch_ended(&mut self, number: u64, why: &WatchEnd) {
        let last = self.watches.last().is_some_and(|watch| watch.number == number);
        self.watches.retain(|watch| watch.number != number);
        if !last {
            return;
        }
        if !std::mem::replace(&mut self.logged, true) {
            slog::warn!(self.log, "lost the watch on the server list"; "why" => %why);
        }
        let wait = match why {
            WatchEnd::Overloaded => self.backoff.next_wait(),
            WatchEnd::Failed(_) => Duration::ZERO,
        };
        if wait.is_zero() {
            let _ = self.dispatcher.send(DispatcherMessage::DiscoveryLost);
            return;
        }
        let dispatcher = self.dispatcher.clone();
        self.clock.run_at(self.clock.now() + wait, move || {
            let _ = dispatcher.send(DispatcherMessage::DiscoveryLost);
        });
    }
}

/// One watch, on a coroutine of its own.
struct Watch {
    number: u64,
    address: SocketAddr,
    clock: Clock,
    list: Sender<DiscoveryMessage>,
    stop: Arc<AtomicBool>,
}

impl Watch {
    /// Watches until it fails or is stopped; returns why.
    fn run(&self, after: Option<u64>) -> WatchEnd {
        let failed = |why: String| WatchEnd::Failed(why);
        let (request, started_at) = (watch_request(&self.address.to_string(), after), self.clock.now());
        let up = |waker| {
            let _ = self.list.send(DiscoveryMessage::WakerReady(self.number, waker));
        };
        let wanted =
            ConnectRequest { to: self.address, until: started_at + CONNECT_TIMEOUT, limits: BUFFER_LIMITS };
        let stopped = || self.stop.load(Ordering::Relaxed);
        let mut link = match connect(&self.clock, &wanted, &up, &stopped) {
            Ok(link) => link,
            Err(why) => return failed(why.to_string()),
        };
        if let Err(why) = link.queue(request.as_bytes()) {
            return failed(why.to_string());
        }
        let (mut answer, mut signs, mut silent) = (Answer::default(), 0, started_at + FIRST_LIST_TIMEOUT);
        let waker = link.waker();
        self.clock.run_at(silent, move || waker.wake());
        for busy in 1u32.. {
            if stopped() {
                break;
            }
            let moved = link.pump();
            match answer.take(&mut link.inbound) {
                Ok(lists) => {
                    for list in lists {
                        let _ = self.list.send(DiscoveryMessage::ListReceived(self.number, list));
                    }
                }
                Err(why) if why.is_overload() => return WatchEnd::Overloaded,
                Err(why) => return failed(why.to_string()),
            }
            let now = self.clock.now();
            if answer.line_ends > signs {
                (signs, silent) = (answer.line_ends, now + SILENCE_TIMEOUT);
                let waker = link.waker();
                self.clock.run_at(silent, move || waker.wake());
            }
            match moved {
                Err(why) => return failed(why.to_string()),
                Ok(_) if link.ended || answer.is_complete() => {
                    return failed("the watch was closed".to_owned());
                }
                Ok(_) if now >= silent => return failed("the watch timed out".to_owned()),
                Ok(true) => self.clock.yield_if_busy(busy, link.lacks_memory()),
                Ok(false) => link.wait(),
            }
        }
        failed("replaced by a newer watch".to_owned())
    }
}
