//! State that the actors of all clients share: settings, the slots that clients take, and the transfer of clients to
//! another process.

use crate::acceptor_state::AcceptorState;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::membership;
use crate::memory::Memory;
use crate::messages::{DispatcherMessage, MembershipMessage};
use crate::request_log::{CloseReason, RequestLog};
use juniperdock_connection::Waker;
use juniperdock_deployment::Indices;
use juniperdock_request_guard::{DuplicateId, RequestIdHash, RequestIds};
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long the acceptor pauses when it can't accept a client.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// A client that has been idle, or connected, for less than this is not asked to leave.
pub(crate) const MIN_IDLE: Duration = Duration::from_millis(250);
/// A connection that has been idle for this long may be closed.
const LONG_IDLE: Duration = Duration::from_secs(2);

/// State that all clients' actors share.
pub struct SharedClients {
    pub clock: Clock,
    pub dispatcher: Sender<DispatcherMessage>,
    pub counters: Arc<Counters>,
    pub log: slog::Logger,
    pub request_log: RequestLog,
    /// The txn types by name.
    pub txn_types: Indices<String>,
    /// Whether each txn type writes.
    pub writes: Vec<bool>,
    /// Whether each request of a txn type has an idempotency key.
    pub keyed: Vec<bool>,
    /// Whether clients report what their session has written.
    pub client_session_marks: bool,
    /// An answer must be out this long after the expiry.
    pub grace: Duration,
    /// The number of the next request.
    pub next_request_id: AtomicU64,
    /// The ids that clients have given their requests.
    pub request_ids: Mutex<RequestIds>,
    /// Connections end once they are idle: this process ends.
    pub closing: AtomicBool,
    /// The process is about to exit: all open requests are answered now.
    pub answer_all_now: AtomicBool,
    /// What may still be kept with the memory that there is.
    pub memory: Memory,
    /// How many clients there may be, and how many more may connect only to be refused.
    pub max_clients: usize,
    pub refusal_slots: usize,
    /// Above the first number of clients, connections that have been idle for long are closed; above the second,
    /// those that have been idle for a short time, too.
    pub close_long_idle_above: usize,
    pub close_idle_above: usize,
    pub slots: Mutex<ClientSlots>,
    /// Where idle clients are sent while this front hands over to another process, and which of them.
    pub transfer_to: Mutex<Option<std::sync::mpsc::Sender<ClientTransfer>>>,
    pub transfer_mode: AtomicU8,
    /// Clients may still come from the previous process.
    pub receiving_transfers: AtomicBool,
    /// Whether clients are accepted here, or by another process.
    pub acceptor: AcceptorState,
    /// The membership actor, if it is on.
    pub membership: Option<membership::Handle>,
}

/// A client on its way to another process.
pub struct ClientTransfer {
    /// The id of its slot.
    pub number: u64,
    pub descriptor: OwnedFd,
    /// Bytes that it has sent and that are not used yet.
    pub unread: Vec<u8>,
    /// Whether its startup is done.
    pub open: bool,
    /// Whether messages are skipped up to Sync.
    pub skipping: bool,
    pub result: TransferResult,
}

/// Reports the result of a client's transfer to its actor.
pub struct TransferResult {
    pub(crate) state: Arc<AtomicU8>,
    pub(crate) waker: Waker,
}

/// Which idle clients move to another process: none, those that have been idle for a while, or all.
const TRANSFER_NONE: u8 = 0;
const TRANSFER_IDLE: u8 = 1;
const TRANSFER_ALL: u8 = 2;

pub(crate) const TRANSFER_PENDING: u8 = 0;
const TRANSFER_REFUSED: u8 = 1;
pub(crate) const TRANSFER_ACCEPTED: u8 = 2;

impl TransferResult {
    /// Sets the result: the other process has taken the client, or it is served here again.
    pub fn complete(&self, taken: bool) {
        self.state.store(if taken { TRANSFER_ACCEPTED } else { TRANSFER_REFUSED }, Ordering::Release);
        self.waker.wake();
    }
}

/// The slots of all connected clients.
#[derive(Default)]
pub struct ClientSlots {
    next: u64,
    pub(crate) taken: HashMap<u64, ClientSlot>,
}

pub(crate) struct ClientSlot {
    waker: Waker,
    /// Since when it is idle, if it is.
    pub(crate) idle_since: Option<Duration>,
    /// Its startup is done.
    pub(crate) open: bool,
    asked_to_leave: bool,
    /// Its sending side is closed.
    sending_closed: bool,
}

impl ClientSlot {
    fn idle_for_min(&self, now: Duration) -> bool {
        self.idle_since.is_some_and(|since| since + MIN_IDLE <= now)
    }
}

impl ClientSlots {
    /// Asks one client to leave if it has been idle for at least `least`, long enough that hardly any request crosses
    /// the end of its connection: first one without a startup, else the one that has been idle longest. Returns
    /// whether there was one.
    pub(crate) fn ask_to_leave(&mut self, now: Duration, least: Duration) -> bool {
        let idle = |slot: &&mut ClientSlot| {
            let rested = |since| since + least <= now;
            !slot.asked_to_leave && slot.idle_since.is_some_and(rested)
        };
        let closes = self.taken.values_mut().filter(idle).min_by_key(|slot| (slot.open, slot.idle_since));
        if let Some(slot) = closes {
            slot.asked_to_leave = true;
            slot.waker.wake();
            return true;
        }
        false
    }
}

/// What a client with nothing to do does next.
pub(crate) enum IdleAction {
    /// Check again at this time, unless something comes before.
    CheckAt(Duration),
    /// End its connection, for this reason.
    Leave(CloseReason),
}

impl SharedClients {
    /// Locks the slots. The lock is held for a few steps only, never across a wait.
    pub(crate) fn slots(&self) -> MutexGuard<'_, ClientSlots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an id for a new request.
    ///
    /// # Errors
    /// If an earlier request has had it.
    pub(crate) fn open_request_id(&self, id: &str) -> Result<RequestIdHash, DuplicateId> {
        let now = self.clock.now();
        self.request_ids.lock().unwrap_or_else(PoisonError::into_inner).open(now, id)
    }

    /// Records that the request with this id has ended.
    pub(crate) fn end_request_id(&self, id: RequestIdHash) {
        let now = self.clock.now();
        self.request_ids.lock().unwrap_or_else(PoisonError::into_inner).end(now, id);
    }

    /// The number of connected clients.
    pub fn present(&self) -> usize {
        self.slots().taken.len()
    }

    /// From now on, clients that have been idle for a while are transferred through `transfers`.
    pub fn start_transfer(&self, transfers: std::sync::mpsc::Sender<ClientTransfer>) {
        *self.transfer_to.lock().unwrap_or_else(PoisonError::into_inner) = Some(transfers);
        self.transfer_mode.store(TRANSFER_IDLE, Ordering::Release);
        let now = self.clock.now();
        self.slots().taken.values().filter(|slot| slot.idle_for_min(now)).for_each(|slot| slot.waker.wake());
    }

    /// From now on, all idle clients are transferred.
    pub fn transfer_all(&self) {
        self.transfer_mode.store(TRANSFER_ALL, Ordering::Release);
        self.slots().taken.values().for_each(|slot| slot.waker.wake());
    }

    /// Whether this client is to be transferred now.
    pub(crate) fn should_transfer(&self, id: u64) -> bool {
        match self.transfer_mode.load(Ordering::Acquire) {
            TRANSFER_IDLE => {
                let now = self.clock.now();
                self.slots().taken.get(&id).is_some_and(|slot| slot.idle_for_min(now))
            }
            moving => moving == TRANSFER_ALL,
        }
    }

    /// Sends to the membership actor, if it is on; works on any thread.
    pub fn send_to_membership(&self, message: MembershipMessage) {
        if let Some(membership) = self.membership.clone() {
            self.clock.run_at(Duration::ZERO, move || membership.send(message));
        }
    }

    /// Stops the transfer: clients stay here.
    pub fn stop_transfer(&self) {
        self.transfer_mode.store(TRANSFER_NONE, Ordering::Release);
        *self.transfer_to.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Whether a client's connection is to end because this process does. A client without a request yet has a while
    /// for its first one.
    pub(crate) fn should_drain(&self, id: u64, fresh: bool) -> bool {
        if !self.closing.load(Ordering::Relaxed) {
            return false;
        }
        let now = self.clock.now();
        let since = self.slots().taken.get(&id).and_then(|slot| slot.idle_since);
        !(fresh && since.is_some_and(|since| now < since + MIN_IDLE))
    }

    /// Has all open requests answered, as the process is about to exit.
    pub fn answer_all_now(self: &Arc<Self>) {
        self.answer_all_now.store(true, Ordering::Relaxed);
        self.wake_all();
    }

    /// From now on, connections end once they are idle.
    pub fn close(self: &Arc<Self>) {
        self.closing.store(true, Ordering::Relaxed);
        self.wake_all();
    }

    /// Wakes all clients' actors; works on any thread.
    fn wake_all(self: &Arc<Self>) {
        let clients = self.clone();
        self.clock.run_at(Duration::ZERO, move || {
            clients.slots().taken.values().for_each(|slot| slot.waker.wake());
        });
    }

    /// Gives a new client its slot. If all slots are taken, the client that has been idle longest is asked to leave;
    /// if none is idle, the new client is in excess, and `false` is returned.
    pub(crate) fn allocate_slot(&self, waker: Waker) -> (u64, bool) {
        let now = self.clock.now();
        let mut slots = self.slots();
        let found = slots.taken.len() < self.max_clients || slots.ask_to_leave(now, MIN_IDLE);
        slots.next += 1;
        let id = slots.next;
        slots.taken.insert(
            id,
            ClientSlot {
                waker,
                idle_since: Some(now),
                open: false,
                asked_to_leave: false,
                sending_closed: false,
            },
        );
        (id, found)
    }

    /// Records whether a client is idle, from when bytes were last moved at the earliest, and returns what it does
    /// next.
    pub(crate) fn update_idle(&self, id: u64, idle: bool, progress: Duration) -> IdleAction {
        let now = self.clock.now();
        let mut slots = self.slots();
        let present = slots.taken.len();
        let Some(slot) = slots.taken.get_mut(&id) else { return IdleAction::CheckAt(Duration::MAX) };
        let since = slot.idle_since.unwrap_or(now).max(progress);
        // A closing client stays the first to go.
        slot.idle_since = if slot.sending_closed { slot.idle_since } else { idle.then_some(since) };
        if slot.asked_to_leave {
            return IdleAction::Leave(CloseReason::MadeRoom);
        }
        let closes = present > self.close_idle_above && since + MIN_IDLE <= now
            || present > self.close_long_idle_above && since + LONG_IDLE <= now;
        if idle && closes {
            return IdleAction::Leave(CloseReason::Idle);
        }
        let next = [since + MIN_IDLE, since + LONG_IDLE].into_iter().find(|&at| at > now);
        IdleAction::CheckAt(if idle { next.unwrap_or(now + LONG_IDLE) } else { Duration::MAX })
    }

    /// Records that a client has a request in hand: it is not asked to leave from here on.
    pub(crate) fn mark_busy(&self, id: u64) {
        if let Some(slot) = self.slots().taken.get_mut(&id) {
            slot.idle_since = None;
        }
    }

    /// Records that a client's connection is closing: it is the first to go when slots are needed.
    pub(crate) fn mark_closing(&self, id: u64) {
        if let Some(slot) = self.slots().taken.get_mut(&id) {
            (slot.idle_since, slot.sending_closed) = (Some(Duration::ZERO), true);
        }
    }

    /// Waits a little before the next attempt to accept.
    pub(crate) fn pause_accepting(&self) {
        self.clock.pause(ACCEPT_RETRY_PAUSE);
    }
}
