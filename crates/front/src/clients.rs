//! What the actors of all clients share: settings, the slots that clients hold, and who moves to another process.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::membership;
use crate::messages::{DispatcherMessage, MembershipMessage};
use crate::request_log::{CloseReason, RequestLog};
use juniperdock_connection::Bell;
use juniperdock_deployment::Indices;
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long the door stays shut when a client can't be taken in.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// A client between txns for less than this is not asked to leave, nor one that came less long ago.
pub(crate) const MIN_IDLE: Duration = Duration::from_millis(250);
/// A connection without a txn may be closed after this.
const LONG_IDLE: Duration = Duration::from_secs(2);

/// What all clients' actors share.
pub struct SharedClients {
    pub clock: Clock,
    pub dispatcher: Sender<DispatcherMessage>,
    pub counters: Arc<Counters>,
    pub log: slog::Logger,
    pub request_log: RequestLog,
    /// The txn types by name.
    pub txn_types: Indices<String>,
    /// Which of them write.
    pub writes: Vec<bool>,
    /// Clients tell what their session has written.
    pub client_session_marks: bool,
    /// An answer must be out this long after the expiry.
    pub grace: Duration,
    pub next_request_id: AtomicU64,
    /// Connections end once they are between txns.
    pub closing: AtomicBool,
    /// The process is about to exit: all is answered now.
    pub answer_all_now: AtomicBool,
    /// How many clients there may be, and how many more to be told that there is no room.
    pub max_clients: usize,
    pub refusal_slots: usize,
    /// Clients hold only so many connections in all, idle ones too: beyond the first number those that are
    /// idle for long are closed to them, beyond the second those idle for less.
    pub close_long_idle_above: usize,
    pub close_idle_above: usize,
    pub slots: Mutex<ClientSlots>,
    /// Where clients between txns are sent while this front hands over, and whether it does.
    pub transfer_to: Mutex<Option<std::sync::mpsc::Sender<ClientTransfer>>>,
    pub transfer_mode: AtomicU8,
    /// Clients may still come from the process that this one has succeeded.
    pub receiving_transfers: AtomicBool,
    /// Nobody is taken in any more: another process does.
    pub stop_accepting: AtomicBool,
    /// The acceptor is at work.
    pub acceptor_running: AtomicBool,
    /// The actor that speaks with the other fronts, where it is turned on.
    pub membership: Option<membership::Handle>,
}

/// A client on its way to another process.
pub struct ClientTransfer {
    pub number: u64,
    pub descriptor: OwnedFd,
    /// What it has sent and is not used yet.
    pub unread: Vec<u8>,
    pub open: bool,
    pub skipping: bool,
    pub result: TransferResult,
}

/// What became of a client that was to move; tells its actor.
pub struct TransferResult {
    pub(crate) state: Arc<AtomicU8>,
    pub(crate) waker: Bell,
}

/// Which clients between txns move to another process: none, those that have rested, all.
const TRANSFER_NONE: u8 = 0;
const TRANSFER_IDLE: u8 = 1;
const TRANSFER_ALL: u8 = 2;

pub(crate) const TRANSFER_PENDING: u8 = 0;
const TRANSFER_REFUSED: u8 = 1;
pub(crate) const TRANSFER_ACCEPTED: u8 = 2;

impl TransferResult {
    /// It is the other process's, or it is served here again.
    pub fn complete(&self, taken: bool) {
        self.state.store(if taken { TRANSFER_ACCEPTED } else { TRANSFER_REFUSED }, Ordering::Release);
        self.waker.ring();
    }
}

/// The clients that are here.
#[derive(Default)]
pub struct ClientSlots {
    next: u64,
    pub(crate) taken: HashMap<u64, ClientSlot>,
}

pub(crate) struct ClientSlot {
    waker: Bell,
    /// Since when it is between txns; it may be asked to leave then.
    pub(crate) idle_since: Option<Duration>,
    /// It has sent its opening.
    pub(crate) open: bool,
    asked_to_leave: bool,
    /// Its sending has ended.
    closing: bool,
}

impl ClientSlot {
    fn idle_for_min(&self, now: Duration) -> bool {
        self.idle_since.is_some_and(|since| since + MIN_IDLE <= now)
    }
}

impl ClientSlots {
    /// Asks a client to leave: one that has said nothing, or else the one longest between txns, if it is for
    /// so long that hardly a txn of its crosses the end of its connection.
    pub(crate) fn ask_to_leave(&mut self, now: Duration, least: Duration) -> bool {
        let idle = |slot: &&mut ClientSlot| {
            let rested = |since| since + least <= now;
            !slot.asked_to_leave && slot.idle_since.is_some_and(rested)
        };
        let closes = self.taken.values_mut().filter(idle).min_by_key(|slot| (slot.open, slot.idle_since));
        if let Some(slot) = closes {
            slot.asked_to_leave = true;
            slot.waker.ring();
            return true;
        }
        false
    }
}

/// What a client that has nothing to do is told.
pub(crate) enum IdleAction {
    /// To look again then, if nothing comes before.
    CheckAt(Duration),
    /// To end its connection, for this reason.
    Leave(CloseReason),
}

impl SharedClients {
    /// Held for a few steps only, never over a wait.
    pub(crate) fn slots(&self) -> MutexGuard<'_, ClientSlots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn present(&self) -> usize {
        self.slots().taken.len()
    }

    /// From now on clients that have rested between txns are sent there.
    pub fn start_transfer(&self, transfers: std::sync::mpsc::Sender<ClientTransfer>) {
        *self.transfer_to.lock().unwrap_or_else(PoisonError::into_inner) = Some(transfers);
        self.transfer_mode.store(TRANSFER_IDLE, Ordering::Release);
        let now = self.clock.now();
        self.slots().taken.values().filter(|slot| slot.idle_for_min(now)).for_each(|slot| slot.waker.ring());
    }

    /// From now on all clients between txns are.
    pub fn transfer_all(&self) {
        self.transfer_mode.store(TRANSFER_ALL, Ordering::Release);
        self.slots().taken.values().for_each(|slot| slot.waker.ring());
    }

    /// Whether this client is to set out.
    pub(crate) fn should_transfer(&self, id: u64) -> bool {
        match self.transfer_mode.load(Ordering::Acquire) {
            TRANSFER_IDLE => {
                let now = self.clock.now();
                self.slots().taken.get(&id).is_some_and(|slot| slot.idle_for_min(now))
            }
            moving => moving == TRANSFER_ALL,
        }
    }

    /// Tells the actor that speaks with the other fronts, where there is one; from any thread.
    pub fn send_to_membership(&self, message: MembershipMessage) {
        if let Some(membership) = self.membership.clone() {
            self.clock.run_at(Duration::ZERO, move || membership.send(message));
        }
    }

    /// Clients stay.
    pub fn stop_transfer(&self) {
        self.transfer_mode.store(TRANSFER_NONE, Ordering::Release);
        *self.transfer_to.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Whether a client's connection is to end. A fresh one has a while for its first request.
    pub(crate) fn should_drain(&self, id: u64, fresh: bool) -> bool {
        if !self.closing.load(Ordering::Relaxed) {
            return false;
        }
        let now = self.clock.now();
        let since = self.slots().taken.get(&id).and_then(|slot| slot.idle_since);
        !(fresh && since.is_some_and(|since| now < since + MIN_IDLE))
    }

    /// Has all that is unanswered answered, as the process is about to exit.
    pub fn answer_all_now(self: &Arc<Self>) {
        self.answer_all_now.store(true, Ordering::Relaxed);
        self.wake_all();
    }

    /// From now on connections end between txns.
    pub fn close(self: &Arc<Self>) {
        self.closing.store(true, Ordering::Relaxed);
        self.wake_all();
    }

    /// Wakes all clients' actors, from any thread.
    fn wake_all(self: &Arc<Self>) {
        let clients = self.clone();
        self.clock.run_at(Duration::ZERO, move || {
            clients.slots().taken.values().for_each(|slot| slot.waker.ring());
        });
    }

    /// ClientSlots a client. Where all slots are taken, the client longest between txns is asked to leave; where
    /// none is between txns, the new one gets none of its own: `false`.
    pub(crate) fn allocate_slot(&self, waker: Bell) -> (u64, bool) {
        let now = self.clock.now();
        let mut slots = self.slots();
        let found = slots.taken.len() < self.max_clients || slots.ask_to_leave(now, MIN_IDLE);
        slots.next += 1;
        let id = slots.next;
        slots.taken.insert(
            id,
            ClientSlot { waker, idle_since: Some(now), open: false, asked_to_leave: false, closing: false },
        );
        (id, found)
    }

    /// Notes whether a client is idle: nothing is in hand for it. It rests from when bytes moved last, at the earliest.
    pub(crate) fn update_idle(&self, id: u64, idle: bool, progress: Duration) -> IdleAction {
        let now = self.clock.now();
        let mut slots = self.slots();
        let present = slots.taken.len();
        let Some(slot) = slots.taken.get_mut(&id) else { return IdleAction::CheckAt(Duration::MAX) };
        let since = slot.idle_since.unwrap_or(now).max(progress);
        // One that ends already stays as it is.
        slot.idle_since = if slot.closing { slot.idle_since } else { idle.then_some(since) };
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

    /// Notes that a client has something in hand again: nobody asks it to leave from here on.
    pub(crate) fn mark_busy(&self, id: u64) {
        if let Some(slot) = self.slots().taken.get_mut(&id) {
            slot.idle_since = None;
        }
    }

    /// Notes that a client's connection ends: it is the first to go where there is no room.
    pub(crate) fn mark_closing(&self, id: u64) {
        if let Some(slot) = self.slots().taken.get_mut(&id) {
            (slot.idle_since, slot.closing) = (Some(Duration::ZERO), true);
        }
    }

    /// Comes back a little later.
    pub(crate) fn pause_accepting(&self) {
        self.clock.pause(ACCEPT_RETRY_PAUSE);
    }
}
