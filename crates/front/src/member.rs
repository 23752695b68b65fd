//! The actor of a member. It keeps the pool of connections to the member and gives each job to one of them.

mod connection;
mod opening;
mod reply;
mod transit;

use crate::clock::Clock;
use crate::counters::Counters;
use crate::memory::Memory;
use crate::messages::{DispatcherMessage, Job, MemberMessage};
use crate::request_log::RequestLog;
use connection::{ConnectionMessage, InitialWork, MIN_IDLE_BEFORE_REUSE, ServerConnection};
use juniperdock_connection::{BufferLimits, Waker, spawn};
use juniperdock_memory_limit::Purpose;
use juniperdock_pg as pg;
use juniperdock_router::host::AttemptOutcome;
use may::sync::mpsc::{Receiver, Sender, channel};
use reply::{Reply, report_outcome};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// What the pools of all members share.
#[derive(Clone)]
pub struct PoolContext {
    pub clock: Clock,
    pub dispatcher: Sender<DispatcherMessage>,
    pub counters: Arc<Counters>,
    pub log: slog::Logger,
    pub request_log: RequestLog,
    /// The time limit of opening a connection, and of a probe.
    pub connect_timeout: Duration,
    /// Members close connections that have been idle for this long.
    pub idle_timeout: Duration,
    pub stack_bytes: usize,
    /// Open connections to all members, and the most that there may be.
    pub open_connections: Arc<AtomicUsize>,
    pub max_connections: usize,
    /// What may still be kept with the memory that there is.
    pub memory: Memory,
    /// The longest message that is accepted from a member.
    pub max_message_bytes: usize,
}

/// The heap that a connection takes, with a small statement and its answer.
const CONNECTION_HEAP_BYTES: usize = 16 << 10;

/// The most idle connections that are transferred to another process.
const MAX_TRANSFERRED_IDLE: usize = 2;

/// A pool's view of one of its connections.
struct Connection {
    sender: Sender<ConnectionMessage>,
    waker: Option<Waker>,
    request_id: Option<u64>,
    idle_since: Option<Duration>,
    to: SocketAddr,
}

/// The actor of one member.
pub struct MemberPool {
    pub index: usize,
    pub address: SocketAddr,
    pub sender: Sender<MemberMessage>,
    pub context: PoolContext,
    connections: HashMap<u64, Connection>,
    /// Idle connections, the last used at the end.
    idle: Vec<u64>,
    next_id: u64,
    removed: bool,
}

impl PoolContext {
    fn buffers(&self) -> BufferLimits {
        BufferLimits { inbound: 2 * self.max_message_bytes, outbound: 2 * pg::MAX_MESSAGE_LEN }
    }
}

impl MemberPool {
    /// A pool without connections. `sender` is the sending end of the queue that [`MemberPool::run`] reads.
    pub fn new(
        index: usize,
        address: SocketAddr,
        sender: Sender<MemberMessage>,
        context: PoolContext,
    ) -> MemberPool {
        let (connections, idle) = (HashMap::new(), Vec::new());
        MemberPool { index, address, sender, context, connections, idle, next_id: 0, removed: false }
    }

    /// Handles messages until the last connection ends: a server that is not in use has no actor. Messages that are
    /// already queued then are handled first, because their senders do not learn that nobody read them; no other
    /// coroutine runs in between.
    pub fn run(mut self, messages: &Receiver<MemberMessage>) {
        let is_empty = |member: &MemberPool| member.connections.is_empty();
        let mut started = false;
        loop {
            let next =
                if started && is_empty(&self) { messages.try_recv().ok() } else { messages.recv().ok() };
            let Some(message) = next else { break };
            started = true;
            if catch_unwind(AssertUnwindSafe(|| self.handle(message))).is_err() {
                // The pool can't be trusted any more; its connections end with their jobs.
                self.context.counters.panics.add();
                self.idle.clear();
                let all = std::mem::take(&mut self.connections);
                all.values().for_each(|c| send(c, ConnectionMessage::Close));
            }
        }
        self.context.counters.members_ended.add();
    }

    fn handle(&mut self, message: MemberMessage) {
        match message {
            MemberMessage::Job(job) => self.assign(job),
            MemberMessage::Cancel(request_id) => {
                let has_request = |c: &&Connection| c.request_id == Some(request_id);
                if let Some(c) = self.connections.values().find(has_request) {
                    send(c, ConnectionMessage::Cancel(request_id));
                }
            }
            MemberMessage::Address(address) => {
                self.address = address;
                for id in std::mem::take(&mut self.idle) {
                    self.close(id);
                }
            }
            MemberMessage::Relisted => self.removed = false,
            MemberMessage::Removed | MemberMessage::CloseIdle => {
                self.removed |= matches!(message, MemberMessage::Removed);
                std::mem::take(&mut self.idle).into_iter().for_each(|id| self.close(id));
            }
            MemberMessage::TransferIdle(transfer) => {
                // Only the last used: if all were transferred, each upgrade would add those that its start has
                // opened.
                let idle = std::mem::take(&mut self.idle);
                let (old, transferred) = idle.split_at(idle.len().saturating_sub(MAX_TRANSFERRED_IDLE));
                old.iter().for_each(|&id| self.close(id));
                for id in transferred {
                    if let Some(c) = self.connections.get(id) {
                        send(c, ConnectionMessage::Transfer(transfer.clone()));
                    }
                }
            }
            MemberMessage::Adopt(stream) => self.open(InitialWork::Adopted(stream), None),
            MemberMessage::WakerReady(id, waker) => {
                if let Some(c) = self.connections.get_mut(&id) {
                    c.waker = Some(waker);
                }
            }
            MemberMessage::Idle(id) => {
                if let Some(c) = self.connections.get_mut(&id) {
                    (c.request_id, c.idle_since) = (None, Some(self.context.clock.now()));
                    self.idle.push(id);
                }
                // A connection that was busy when the address changed leads to the old address.
                if self.removed || self.connections.get(&id).is_some_and(|c| c.to != self.address) {
                    self.close(id);
                }
                self.close_stale();
            }
            MemberMessage::Ended(id) => self.close(id),
        }
    }

    fn close(&mut self, id: u64) {
        self.idle.retain(|&idle| idle != id);
        if let Some(c) = self.connections.remove(&id) {
            send(&c, ConnectionMessage::Close);
        }
    }

    /// Closes connections that have been idle for so long that the member may close them any moment.
    fn close_stale(&mut self) {
        let now = self.context.clock.now();
        while let Some(&id) = self.idle.first() {
            let since = self.connections.get(&id).and_then(|c| c.idle_since);
            if since.is_some_and(|since| since + self.context.idle_timeout * 3 / 4 > now) {
                break;
            }
            self.context.counters.connections_idle_closed.add();
            self.close(id);
        }
    }

    /// Takes the last used connection that has been idle for [`MIN_IDLE_BEFORE_REUSE`]. If there is none, the one that
    /// has been idle longest: it lets the rest of that time pass before it writes ([`ServerConnection::await_reuse`]).
    /// Opening another would cost the member a handshake and one of its connections.
    fn next_idle(&mut self) -> Option<u64> {
        let now = self.context.clock.now();
        let since = |id: &u64| self.connections.get(id).and_then(|c| c.idle_since);
        let idle_long_enough = |id: &u64| since(id).is_some_and(|since| since + MIN_IDLE_BEFORE_REUSE <= now);
        let at = self.idle.iter().rposition(idle_long_enough).unwrap_or(0);
        (at < self.idle.len()).then(|| self.idle.remove(at))
    }

    /// Gives a job to an idle connection or a new one.
    fn assign(&mut self, job: Job) {
        self.close_stale();
        if let Job::Submit(submit) = &job
            && submit.permit.check(self.context.clock.now()).is_err()
        {
            // It was returned by a connection that has ended, and its client may have left: open no connection in
            // vain.
            report_outcome(&self.context, self.index, &job, AttemptOutcome::Moot, Reply::default());
            return;
        }
        let request_id = if let Job::Submit(submit) = &job { Some(submit.request_id) } else { None };
        if let Some(id) = self.next_idle() {
            if let Some(c) = self.connections.get_mut(&id) {
                (c.request_id, c.idle_since) = (request_id, None);
                self.context.counters.connections_reused.add();
                send(c, ConnectionMessage::Job(job));
            }
            return;
        }
        if !self.has_room_for_connection() {
            // As if the member had no connection left; closing idle ones to other members makes room for the next
            // job.
            let _ = self.context.dispatcher.send(DispatcherMessage::ConnectionsShort);
            report_outcome(&self.context, self.index, &job, AttemptOutcome::Full, Reply::default());
            return;
        }
        self.open(InitialWork::Job(job), request_id);
    }

    /// Whether another connection may be opened, by the number of those to all members and by the memory for it.
    fn has_room_for_connection(&self) -> bool {
        let within_limit =
            self.context.open_connections.load(Ordering::Relaxed) < self.context.max_connections;
        within_limit && self.context.memory.admits(Purpose::Request, CONNECTION_HEAP_BYTES)
    }

    /// Starts a connection, for a job or for a socket of the previous process.
    fn open(&mut self, work: InitialWork, request_id: Option<u64>) {
        if !self.has_room_for_connection() {
            return;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.context.open_connections.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = channel();
        self.connections
            .insert(id, Connection { sender, waker: None, request_id, idle_since: None, to: self.address });
        let (member, address, pool, context) =
            (self.index, self.address, self.sender.clone(), self.context.clone());
        self.context.counters.connections_opened.add();
        let stack = context.stack_bytes;
        let wanted = if let InitialWork::Job(job) = &work { Some(job.clone()) } else { None };
        let started = spawn("connection", stack, move || {
            ServerConnection::new(id, member, address, pool, context, receiver).run(work);
        });
        if let Err(why) = started {
            slog::error!(self.context.log, "the coroutine of a connection can't be started"; "why" => why);
            self.context.open_connections.fetch_sub(1, Ordering::Relaxed);
            self.connections.remove(&id);
            if let Some(wanted) = &wanted {
                report_outcome(&self.context, self.index, wanted, AttemptOutcome::Full, Reply::default());
            }
        }
    }
}

fn send(c: &Connection, message: ConnectionMessage) {
    let _ = c.sender.send(message);
    if let Some(waker) = &c.waker {
        waker.wake();
    }
}

#[cfg(test)]
#[path = "../tests/unit/member.rs"]
mod tests;
