//! Tells the other processes of this front what is put in force here while it runs: during an upgrade both are the same
//! front. `juniperdock_runtime_state` says what goes over and what follows from it.

use juniperdock_runtime_state::{Change, InitialState};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Another process of this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// The process that this one replaces.
    Predecessor,
    /// The process that replaces this one.
    Successor,
}

impl Peer {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Peer::Predecessor => "predecessor",
            Peer::Successor => "successor",
        }
    }
}

/// What goes to another process.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    Change(Change),
    /// The state to start from is complete.
    InitialStateComplete,
}

#[derive(Default)]
struct Inner {
    /// The address of discovery, if a reload has put it in force.
    discovery: Option<SocketAddr>,
    subscribers: Vec<(Peer, Sender<Update>)>,
}

/// What is in force here, and the other processes that are told of changes.
#[derive(Default)]
pub struct RuntimeState {
    inner: Mutex<Inner>,
    subscriber_count: AtomicUsize,
    /// This process was told to end.
    terminates: AtomicBool,
    /// Another process serves in place of this one, which ends.
    is_replaced: AtomicBool,
    /// The highest version of a server list that was ever in force, also in earlier processes.
    highest_list_version: AtomicU64,
}

impl RuntimeState {
    /// The state of a process that starts with `initial`.
    pub fn new(initial: &InitialState) -> RuntimeState {
        let state = RuntimeState::default();
        state.lock().discovery = initial.discovery;
        state.list_in_force(initial.servers.as_ref().map_or(0, |known| known.highest_version));
        state
    }

    /// Records that a list of that version is in force; returns the highest that ever was.
    pub fn list_in_force(&self, version: u64) -> u64 {
        self.highest_list_version.fetch_max(version, Ordering::AcqRel).max(version)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells a process of all changes from now on, in place of an earlier one of its kind. A successor is told at once
    /// what reloads have put in force.
    pub fn subscribe(&self, peer: Peer) -> Receiver<Update> {
        let (sender, updates) = channel();
        let mut inner = self.lock();
        if let Some(address) = inner.discovery.filter(|_| peer == Peer::Successor) {
            let _ = sender.send(Update::Change(Change::DiscoveryAddress(address)));
        }
        inner.subscribers.retain(|(its, _)| *its != peer);
        inner.subscribers.push((peer, sender));
        self.subscriber_count.store(inner.subscribers.len(), Ordering::Release);
        updates
    }

    /// Whether another process may be told of changes.
    pub fn is_shared(&self) -> bool {
        self.subscriber_count.load(Ordering::Acquire) > 0
    }

    /// Tells a process, if there is one of that kind.
    pub fn tell(&self, peer: Peer, update: Update) {
        self.send_to(|its| its == peer, &update);
    }

    /// Tells all processes of a change but the one that it comes from.
    pub fn publish(&self, change: Change, source: Option<Peer>) {
        self.send_to(|its| Some(its) != source, &Update::Change(change));
    }

    fn send_to(&self, is_meant: impl Fn(Peer) -> bool, update: &Update) {
        let mut inner = self.lock();
        inner.subscribers.retain(|(peer, sender)| !is_meant(*peer) || sender.send(update.clone()).is_ok());
        self.subscriber_count.store(inner.subscribers.len(), Ordering::Release);
    }

    /// The address of discovery that a reload has put in force.
    pub fn discovery(&self) -> Option<SocketAddr> {
        self.lock().discovery
    }

    /// Records that a reload has put this address in force, and tells a successor.
    pub fn set_discovery(&self, address: SocketAddr) {
        self.lock().discovery = Some(address);
        self.tell(Peer::Successor, Update::Change(Change::DiscoveryAddress(address)));
    }

    /// Records that this process was told to end, and tells a successor, which ends too if it serves by now.
    pub fn terminate(&self) {
        self.terminates.store(true, Ordering::Release);
        self.tell(Peer::Successor, Update::Change(Change::Terminate));
    }

    /// Records that another process serves in place of this one, which ends by itself: that is no end of the front.
    pub fn record_replaced(&self) {
        self.is_replaced.store(true, Ordering::Release);
    }

    /// Whether another process serves in place of this one.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced.load(Ordering::Acquire)
    }

    /// Whether this process was told to end.
    pub fn terminates(&self) -> bool {
        self.terminates.load(Ordering::Acquire)
    }
}
