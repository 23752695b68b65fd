//! A member's actor and its connections. The actor keeps the pool; each connection carries one job at a time and
//! reports its outcome to the dispatcher.

use crate::clock::{Clock, SHORTAGE_PAUSE};
use crate::connect::{ConnectFailure, ConnectRequest, connect};
use crate::counters::Counters;
use crate::messages::{AttemptEnd, DispatcherMessage, Job, MemberMessage};
use crate::request_log::{RequestEvent, RequestLog, ServerCloseReason};
use juniperdock_connection::{BufferLimits, Failure, Link, Reached, Waker, spawn};
use juniperdock_deployment::{self as deployment, Origin};
use juniperdock_pg as pg;
use juniperdock_router::host::{AttemptOutcome, Report, Role};
use juniperdock_server_clock::{PositionSample, Verdict};
use may::sync::mpsc::{Receiver, Sender, channel};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::TryRecvError;
use std::time::Duration;

/// Bytes that a member sends right behind an answer arrive within this time. No connection carries another job before
/// it has been idle for as long: an answer names no request, so such bytes would be taken for the next one's answer.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(3);

/// Messages to a connection.
enum ConnectionMessage {
    Job(Job),
    Cancel(u64),
    /// Sends its descriptor to another process, with the member's id.
    Transfer(String, std::sync::mpsc::Sender<(String, OwnedFd)>),
    Close,
}

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
    /// The longest message that is accepted from a member.
    pub max_message_bytes: usize,
}

/// How many times a connection waits for the dispatcher to handle its queue before it writes anything right after a
/// stall. Once is not enough for clients whose actors are woken by a timer: those run only after the first wait.
const BARRIERS_AFTER_STALL: u32 = 2;

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
            MemberMessage::TransferIdle(name, to) => {
                // Only the last used: if all were transferred, each upgrade would add those that its start has
                // opened.
                let idle = std::mem::take(&mut self.idle);
                let (old, transferred) = idle.split_at(idle.len().saturating_sub(MAX_TRANSFERRED_IDLE));
                old.iter().for_each(|&id| self.close(id));
                for id in transferred {
                    if let Some(c) = self.connections.get(id) {
                        send(c, ConnectionMessage::Transfer(name.clone(), to.clone()));
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
        if self.context.open_connections.load(Ordering::Relaxed) >= self.context.max_connections {
            // As if the member had no connection left; closing idle ones to other members makes room for the next
            // job.
            let _ = self.context.dispatcher.send(DispatcherMessage::ConnectionsShort);
            report_outcome(&self.context, self.index, &job, AttemptOutcome::Full, Reply::default());
            return;
        }
        self.open(InitialWork::Job(job), request_id);
    }

    /// Starts a connection, for a job or for a socket of the previous process.
    fn open(&mut self, work: InitialWork, request_id: Option<u64>) {
        if self.context.open_connections.load(Ordering::Relaxed) >= self.context.max_connections {
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

/// What a connection starts with.
enum InitialWork {
    Job(Job),
    Adopted(TcpStream),
}

fn send(c: &Connection, message: ConnectionMessage) {
    let _ = c.sender.send(message);
    if let Some(waker) = &c.waker {
        waker.wake();
    }
}

/// What a member has answered so far to one query.
#[derive(Default)]
struct Reply {
    raw: Vec<u8>,
    described: bool,
    complete: bool,
    value: Option<Vec<u8>>,
    error: Option<String>,
    role: Option<Role>,
    /// In microseconds since 1970.
    position_unix: Option<i64>,
    position: Option<Duration>,
    load_text: Option<String>,
    load: Option<Report>,
    ready: bool,
}

impl Reply {
    /// The outcome of a complete answer, once the member is ready again; anything else is no answer.
    fn outcome(&self) -> Option<AttemptOutcome> {
        match self.error.as_deref() {
            _ if !self.ready => None,
            Some(pg::NO_PRIMARY | pg::TOO_FAR_BEHIND) => Some(AttemptOutcome::Misplaced),
            Some(pg::TOO_MANY_CONNECTIONS) => Some(AttemptOutcome::Full),
            Some(code) if pg::is_statement_error(code) => Some(AttemptOutcome::Invalid),
            Some(_) => Some(AttemptOutcome::Errored),
            None if self.complete => Some(AttemptOutcome::Committed),
            None => None,
        }
    }
}

/// The outcome of a job, and whether its connection can carry another one.
struct JobResult {
    outcome: AttemptOutcome,
    reply: Reply,
    usable: bool,
}

/// One connection to a member.
struct ServerConnection {
    id: u64,
    member: usize,
    address: SocketAddr,
    pool: Sender<MemberMessage>,
    context: PoolContext,
    messages: Receiver<ConnectionMessage>,
    /// Messages that came while a job was in hand and do not concern it.
    deferred: RefCell<VecDeque<ConnectionMessage>>,
    /// The time of the timer that was set last.
    timer_set_for: Cell<Duration>,
    /// Since when the connection has carried no job, or had carried none when it got its present one; `None` before
    /// its first idle time.
    idle_since: Cell<Option<Duration>>,
}

impl ServerConnection {
    fn new(
        id: u64,
        member: usize,
        address: SocketAddr,
        pool: Sender<MemberMessage>,
        context: PoolContext,
        messages: Receiver<ConnectionMessage>,
    ) -> ServerConnection {
        let (deferred, timer_set_for, idle_since) = (RefCell::default(), Cell::default(), Cell::default());
        ServerConnection { id, member, address, pool, context, messages, deferred, timer_set_for, idle_since }
    }

    fn run(self, work: InitialWork) {
        let (mut current, adopted) = match work {
            InitialWork::Job(job) => (Some(job), None),
            InitialWork::Adopted(stream) => (None, Some(stream)),
        };
        let result = catch_unwind(AssertUnwindSafe(|| self.serve_jobs(&mut current, adopted)));
        match result {
            Ok(why) => self.record_close(why),
            Err(_) => self.context.counters.panics.add(),
        }
        if let Some(job) = current.take() {
            self.report_outcome(&job, AttemptOutcome::Dropped, Reply::default());
        }
        self.context.open_connections.fetch_sub(1, Ordering::Relaxed);
        let _ = self.pool.send(MemberMessage::Ended(self.id));
        // A job that was sent just now has not been written: it goes to another connection.
        while let Ok(message) = self.next_message().or_else(|_| self.messages.recv()) {
            match message {
                ConnectionMessage::Job(job) => self.return_to_pool(job),
                ConnectionMessage::Cancel(_) | ConnectionMessage::Transfer(..) => {}
                ConnectionMessage::Close => break,
            }
        }
    }

    fn record_close(&self, why: ServerCloseReason) {
        let unexpected_bytes = why == ServerCloseReason::UnexpectedBytes;
        self.context.counters.connections_unexpected_bytes.add_if(unexpected_bytes);
        self.context.request_log.server_closed(self.member, self.id, why);
    }

    /// Returns a job of which nothing has been written: it goes to another connection.
    fn return_to_pool(&self, job: Job) {
        // The actor of a removed member may have ended.
        if let Err(unsent) = self.pool.send(MemberMessage::Job(job))
            && let MemberMessage::Job(job) = unsent.0
        {
            self.report_outcome(&job, AttemptOutcome::Moot, Reply::default());
        }
    }

    /// Opens or adopts the connection, then carries jobs until it ends.
    fn serve_jobs(&self, current: &mut Option<Job>, adopted: Option<TcpStream>) -> ServerCloseReason {
        let started_at = self.context.clock.now();
        let first = match (current.as_ref(), adopted) {
            (Some(job), _) => self.open_for(job, started_at).map_err(|outcome| {
                if let Some(job) = current.take() {
                    self.report_outcome(&job, outcome, Reply::default());
                }
                ServerCloseReason::NotOpened
            }),
            (None, Some(stream)) => Link::new(stream, self.context.buffers())
                .map_err(|_| ServerCloseReason::NotOpened)
                .and_then(|link| {
                    let _ = self.pool.send(MemberMessage::WakerReady(self.id, link.waker()));
                    self.wait_for_job(link, current)
                }),
            (None, None) => Err(ServerCloseReason::NotOpened),
        };
        let mut link = match first {
            Ok(link) => link,
            Err(why) => return why,
        };
        loop {
            let Some(job) = current.as_ref() else { return ServerCloseReason::ClosedByPool };
            let result = self.run_job(&mut link, job);
            let peer_is_suspect =
                matches!((job, result.outcome), (Job::Probe { .. }, AttemptOutcome::TimedOut));
            // Drops an unusable connection before the outcome is reported: it must have ended before the dispatcher
            // can send the txn again.
            let reusable = result.usable.then_some(link);
            if let Some(job) = current.take() {
                self.report_outcome(&job, result.outcome, result.reply);
            }
            if peer_is_suspect {
                // A machine that stopped responding resets its old connections when it is back.
                let _ = self.pool.send(MemberMessage::CloseIdle);
            }
            let idle = reusable.ok_or(ServerCloseReason::Unusable);
            link = match idle.and_then(|link| self.wait_for_job(link, current)) {
                Ok(link) => link,
                Err(why) => return why,
            };
        }
    }

    /// Opens the connection for a job; the error is the job's outcome.
    fn open_for(&self, job: &Job, started_at: Duration) -> Result<Link, AttemptOutcome> {
        let link = self.open_session(job, started_at)?;
        let took = self.context.clock.now().saturating_sub(started_at);
        self.context.counters.connect_most_us.record_max(took.as_micros() as u64);
        self.catch_up_after_stall();
        Ok(link)
    }

    /// Waits for the next job. The error says why the connection is over.
    fn wait_for_job(&self, mut link: Link, current: &mut Option<Job>) -> Result<Link, ServerCloseReason> {
        self.idle_since.set(Some(self.context.clock.now()));
        let _ = self.pool.send(MemberMessage::Idle(self.id));
        loop {
            match self.next_message() {
                Ok(ConnectionMessage::Job(job)) => {
                    let reusable = self.await_reuse(&mut link, current.insert(job));
                    if let Err(why) = reusable {
                        current.take().into_iter().for_each(|job| self.return_to_pool(job));
                        return Err(why);
                    }
                    return Ok(link);
                }
                Ok(ConnectionMessage::Cancel(_)) => {}
                Ok(ConnectionMessage::Transfer(name, to)) => {
                    check_idle(&mut link)?;
                    if let Ok(descriptor) = link.descriptor() {
                        let _ = to.send((name, descriptor));
                    }
                    return Err(ServerCloseReason::Transferred);
                }
                Ok(ConnectionMessage::Close) => {
                    let _ = link.queue(&pg::terminate()).and_then(|()| link.pump());
                    return Err(ServerCloseReason::ClosedByPool);
                }
                // The pool has ended.
                Err(TryRecvError::Disconnected) => return Err(ServerCloseReason::ClosedByPool),
                Err(TryRecvError::Empty) => {
                    check_idle(&mut link)?;
                    link.wait();
                }
            }
        }
    }

    /// Waits until the idle connection may carry this job: until whatever the member sent right behind its last answer
    /// has come in. The error says why the connection can't carry it; nothing has been written then.
    fn await_reuse(&self, link: &mut Link, job: &Job) -> Result<(), ServerCloseReason> {
        let clock = &self.context.clock;
        let reusable_at = self.idle_since.get().unwrap_or(clock.now()) + MIN_IDLE_BEFORE_REUSE;
        if clock.now() < reusable_at {
            self.context.counters.connections_reuse_awaited.add();
        }
        while clock.now() < reusable_at {
            check_idle(link)?;
            self.wait_until(link, reusable_at);
        }
        loop {
            self.catch_up_after_stall();
            // Nothing else runs between this read and the write of the statement.
            check_idle(link)?;
            if !link.lacks_memory() {
                return Ok(());
            }
            // The read failed, so something may be unread.
            if clock.now() >= self.deadline(job) {
                return Err(ServerCloseReason::LacksMemory);
            }
            clock.pause(SHORTAGE_PAUSE);
        }
    }

    /// After a stall a client's end may still be unread: its actor gets a turn first, then the dispatcher.
    fn catch_up_after_stall(&self) {
        let clock = &self.context.clock;
        clock.note_running();
        for _ in 0..BARRIERS_AFTER_STALL {
            if clock.recently_stalled() {
                self.dispatcher_barrier();
            }
        }
    }

    /// Waits until the dispatcher has handled everything that was sent to it before. Yielding alone is not enough:
    /// `may` takes up what other threads have woken only when nothing else runs.
    fn dispatcher_barrier(&self) {
        let (reply, done) = channel();
        if self.context.dispatcher.send(DispatcherMessage::Barrier(reply)).is_ok() {
            let _ = done.recv();
        }
    }

    fn next_message(&self) -> Result<ConnectionMessage, TryRecvError> {
        self.deferred.borrow_mut().pop_front().map_or_else(|| self.messages.try_recv(), Ok)
    }

    /// Connects, and waits until the member is ready; the error is the outcome of the job that needed the connection.
    fn open_session(&self, job: &Job, started_at: Duration) -> Result<Link, AttemptOutcome> {
        let (clock, limit) = (&self.context.clock, started_at + self.context.connect_timeout);
        let deadline = self.deadline(job);
        let until = limit.min(deadline);
        // Running out of the txn's time proves nothing about the member.
        let late = |at: Duration| {
            if at >= deadline && at < limit { AttemptOutcome::Moot } else { AttemptOutcome::Unreachable }
        };
        let up = |waker| {
            let _ = self.pool.send(MemberMessage::WakerReady(self.id, waker));
        };
        let wanted = ConnectRequest { to: self.address, until, limits: self.context.buffers() };
        let connected = connect(clock, &wanted, &up, &|| self.cancelled(job));
        let mut link = connected.map_err(|why| {
            slog::debug!(self.context.log, "no connection to a server"; "why" => %why, "server" => self.member);
            match why {
                ConnectFailure::Cancelled | ConnectFailure::TooLate | ConnectFailure::LocalShortage(_) => {
                    AttemptOutcome::Moot
                }
                ConnectFailure::TimedOut | ConnectFailure::Failed(_) => late(clock.now()),
            }
        })?;
        link.queue(&pg::startup("api", "ledger")).map_err(|_| AttemptOutcome::Unreachable)?;
        for busy in 1u32.. {
            let pumped = link.pump();
            while let Some((kind, body, length)) =
                pg::message(link.inbound.make_contiguous(), self.context.max_message_bytes)
                    .map_err(|_| AttemptOutcome::Unreachable)?
            {
                match kind {
                    b'Z' => {
                        link.inbound.drain(..length);
                        return Ok(link);
                    }
                    b'E' if pg::error_field(body, b'C') == Some(pg::TOO_MANY_CONNECTIONS) => {
                        return Err(AttemptOutcome::Full);
                    }
                    b'E' => return Err(AttemptOutcome::Unreachable),
                    b'R' if !body.starts_with(&[0; 4]) => return Err(AttemptOutcome::Unreachable),
                    _ => {}
                }
                link.inbound.drain(..length);
            }
            let now = clock.now();
            if pumped.is_err() || link.ended || now >= until {
                return Err(if pumped.is_ok() && !link.ended {
                    late(now)
                } else {
                    AttemptOutcome::Unreachable
                });
            }
            if self.cancelled(job) {
                return Err(AttemptOutcome::Moot);
            }
            if matches!(pumped, Ok(false)) {
                link.wait();
            } else {
                // A member that sends without an end must not starve the others.
                clock.yield_if_busy(busy, link.lacks_memory());
            }
        }
        Err(AttemptOutcome::Unreachable)
    }

    /// When the job is given up.
    fn deadline(&self, job: &Job) -> Duration {
        match job {
            Job::Submit(submit) => submit.deadline,
            Job::Probe { at } => *at + self.context.connect_timeout,
        }
    }

    /// Whether the job has been cancelled; all other messages are kept for later.
    fn cancelled(&self, job: &Job) -> bool {
        let mut deferred = self.deferred.borrow_mut();
        deferred.extend(std::iter::from_fn(|| self.messages.try_recv().ok()));
        let before = deferred.len();
        deferred.retain(
            |message| !matches!((message, job), (ConnectionMessage::Cancel(t), Job::Submit(s)) if *t == s.request_id),
        );
        deferred.len() < before
    }

    /// Carries one job to its end, over a new connection or after [`ServerConnection::await_reuse`].
    fn run_job(&self, link: &mut Link, job: &Job) -> JobResult {
        let (clock, deadline, mut reply) = (&self.context.clock, self.deadline(job), Reply::default());
        let now = clock.now();
        let text = match job {
            Job::Submit(submit) => {
                let left = submit.deadline.saturating_sub(now).as_millis();
                pg::with_time_left(&submit.statement, &submit.left, left)
            }
            Job::Probe { .. } => "SHOW server_load".to_owned(),
        };
        if now >= deadline || self.cancelled(job) || !self.permitted(job, now) {
            return JobResult { outcome: AttemptOutcome::Moot, reply, usable: true };
        }
        if let Err(failure) = link.queue(&pg::query(&text)) {
            return result_of_failure(&failure, reply);
        }
        let mut written = false;
        for busy in 1u32.. {
            // The statement takes effect only with its last byte: if it was not written at once, check again before
            // each further write.
            if busy > 1 && !link.is_flushed() && !self.may_continue(job) {
                return JobResult { outcome: AttemptOutcome::Moot, reply, usable: false };
            }
            let pumped = link.pump();
            if let Err(why) = self.read(link, &mut reply, now) {
                slog::warn!(self.context.log, "a member sent an invalid answer"; "member" => self.member, "why" => why);
                // Nothing in such an answer is used.
                return JobResult { outcome: AttemptOutcome::Spoilt, reply: Reply::default(), usable: false };
            }
            let unsent = !link.is_flushed();
            if !unsent
                && !std::mem::replace(&mut written, true)
                && let Job::Submit(submit) = job
            {
                submit.permit.record_written(clock.now());
                let idle_for = self.idle_since.get().map(|since| now.saturating_sub(since));
                let event = RequestEvent::Written { server: self.member, connection: self.id, idle_for };
                self.context.request_log.request(submit.request_id, event);
            }
            if reply.ready || (unsent && reply.described) {
                // Ready without an answer proves nothing, and a row that came before its statement was written whole
                // belongs to another.
                let Some(outcome) = reply.outcome().filter(|_| !unsent) else {
                    return JobResult {
                        outcome: AttemptOutcome::Spoilt,
                        reply: Reply::default(),
                        usable: false,
                    };
                };
                return JobResult { outcome, reply, usable: true };
            }
            match pumped {
                Err(failure) => return result_of_failure(&failure, reply),
                Ok(_) if link.ended => {
                    let reached = if unsent { Reached::Connection } else { Reached::Written };
                    return result_of_failure(
                        &Failure { reached, why: "the member closed the connection".to_owned() },
                        reply,
                    );
                }
                Ok(_) => {}
            }
            let stop = if self.cancelled(job) {
                Some(AttemptOutcome::Cancelled)
            } else {
                (clock.now() >= deadline).then_some(AttemptOutcome::TimedOut)
            };
            if let Some(outcome) = stop {
                let outcome = if unsent { AttemptOutcome::Moot } else { outcome };
                return JobResult { outcome, reply, usable: false };
            }
            if matches!(pumped, Ok(false)) {
                self.wait_until(link, deadline);
            } else {
                // An answer without an end must not starve the others.
                clock.yield_if_busy(busy, link.lacks_memory());
            }
        }
        JobResult { outcome: AttemptOutcome::Spoilt, reply: Reply::default(), usable: false }
    }

    /// The last check before the first byte is written. Probes belong to no request.
    fn permitted(&self, job: &Job, now: Duration) -> bool {
        let Job::Submit(submit) = job else { return true };
        let withheld = submit.permit.consume(now).err();
        if let Some(why) = withheld {
            let event = RequestEvent::Withheld { server: self.member, why };
            self.context.request_log.request(submit.request_id, event);
        }
        withheld.is_none()
    }

    fn may_continue(&self, job: &Job) -> bool {
        let Job::Submit(submit) = job else { return true };
        submit.permit.may_continue(self.context.clock.now()).is_ok()
    }

    /// Waits for an event, until that time at most. Only one timer is pending at a time, as most txns end long before
    /// theirs.
    fn wait_until(&self, link: &mut Link, until: Duration) {
        if self.timer_set_for.get() <= self.context.clock.now() || self.timer_set_for.get() > until {
            self.timer_set_for.set(until);
            let waker = link.waker();
            self.context.clock.run_at(until, move || waker.wake());
        }
        link.wait();
    }

    /// Checks the positions of a complete answer, and dates them by the origin as it is then.
    fn judge(&self, reply: &mut Reply, asked: Duration) -> Result<(), String> {
        let (context, member) = (&self.context, self.member);
        let date = |reply: &Reply| reply.position_unix.and_then(|at| context.clock.origin().position(at));
        check_position(context, member, reply.role, date(reply), asked)?;
        if let Some(text) = &reply.load_text {
            // An unreadable load report does not spoil the answer that it came with.
            let reported = load_report(context, member, text, asked);
            if let Err(why) = &reported {
                slog::debug!(context.log, "the load report of an answer is invalid"; "member" => member, "why" => why);
            }
            reply.load = reported.ok();
        }
        // Dated last, as either check may have corrected the origin.
        reply.position = date(reply);
        Ok(())
    }

    /// Reads the messages that have come in.
    fn read(&self, link: &mut Link, reply: &mut Reply, asked: Duration) -> Result<(), String> {
        while let Some((kind, body, length)) =
            pg::message(link.inbound.make_contiguous(), self.context.max_message_bytes)?
        {
            // The messages must come in this order, each once: description, row, completion; or one error.
            let next =
                |whole: bool| if whole { Ok(()) } else { Err("expected one answer of one row".to_owned()) };
            match kind {
                b'S' => match pg::parameter(body) {
                    Some(("node_role", "leader")) => reply.role = Some(Role::Primary),
                    Some(("node_role", "follower")) => reply.role = Some(Role::Replica),
                    Some(("replay_position", ms)) => {
                        reply.position_unix = ms.parse::<f64>().ok().and_then(deployment::micros);
                    }
                    Some(("server_load", text)) => reply.load_text = Some(text.to_owned()),
                    _ => {}
                },
                b'T' => {
                    next(!reply.described && reply.error.is_none() && pg::has_one_column(body))?;
                    reply.described = true;
                }
                b'D' => {
                    next(reply.described && reply.value.is_none())?;
                    let value = pg::single_column(body).ok_or("expected a row of one column")?;
                    reply.value = Some(value.to_vec());
                }
                b'C' => {
                    next(reply.value.is_some() && !reply.complete)?;
                    reply.complete = true;
                }
                b'E' => {
                    next(!reply.described && reply.error.is_none())?;
                    let code = pg::error_field(body, b'C').ok_or("expected a code in an error")?;
                    reply.error = Some(code.to_owned());
                }
                b'Z' => {
                    reply.ready = true;
                    self.judge(reply, asked)?;
                }
                b'N' | b'I' | b'K' | b'R' => {}
                other => {
                    return Err(format!("expected an answer, found a message of type {:?}", other as char));
                }
            }
            if matches!(kind, b'T' | b'D' | b'C' | b'E') {
                // Contiguous since the message was read.
                reply.raw.extend_from_slice(&link.inbound.as_slices().0[..length]);
            }
            link.inbound.drain(..length);
            if reply.ready {
                break;
            }
        }
        Ok(())
    }

    fn report_outcome(&self, job: &Job, outcome: AttemptOutcome, reply: Reply) {
        if matches!(outcome, AttemptOutcome::Dropped) {
            self.context.counters.connections_lost.add();
        }
        report_outcome(&self.context, self.member, job, outcome, reply);
    }
}

/// Parses a member's load report. A member that has made no report yet sends 0 in all fields: that tells nothing, not
/// even its role.
fn report(text: &str, origin: &Origin) -> Result<Report, String> {
    let fields = || text.split(',').filter_map(|part| part.trim().split_once('='));
    if fields().any(|(name, at)| name == "x0" && at.parse() == Ok(0.0)) {
        return Ok(Report::default());
    }
    deployment::parse_report(fields(), origin)
}

/// Parses a server's load report and checks its position; the result is dated by the origin as it is after that.
fn load_report(context: &PoolContext, server: usize, text: &str, asked: Duration) -> Result<Report, String> {
    let reported = report(text, &context.clock.origin())?;
    check_position(context, server, reported.role, reported.position, asked)?;
    report(text, &context.clock.origin())
}

/// Checks a position against the time: no server can have a commit from the future, so either its clock is wrong or
/// this process's is behind. If the latter is proven, the dispatcher discards what it knew before.
fn check_position(
    context: &PoolContext,
    server: usize,
    role: Option<Role>,
    position: Option<Duration>,
    asked: Duration,
) -> Result<(), String> {
    let Some(position) = position else { return Ok(()) };
    let (primary, now) = (role == Some(Role::Primary), context.clock.now());
    match context.clock.judge(PositionSample { server, position, primary, asked, now }) {
        Verdict::Plausible => Ok(()),
        Verdict::Behind(by) => {
            let _ = context.dispatcher.send(DispatcherMessage::ClockAdvanced(by));
            Ok(())
        }
        Verdict::Implausible => Err("expected a position in the past".to_owned()),
    }
}

/// Reports the outcome of a job to the dispatcher.
fn report_outcome(context: &PoolContext, member: usize, job: &Job, outcome: AttemptOutcome, reply: Reply) {
    let message = match job {
        Job::Submit(submit) => {
            let (role, position, load) = (reply.role, reply.position, reply.load);
            let (request_id, sent, row, at) = (submit.request_id, submit.at, reply.raw, context.clock.now());
            DispatcherMessage::AttemptEnded(Box::new(AttemptEnd {
                request_id,
                member,
                outcome,
                role,
                position,
                load,
                sent,
                at,
                row,
            }))
        }
        Job::Probe { .. } => {
            let text = String::from_utf8(reply.value.unwrap_or_default());
            let reported = text.map_err(|e| e.to_string()).and_then(|text| {
                let asked = if let Job::Probe { at } = job { *at } else { Duration::ZERO };
                load_report(context, member, &text, asked)
            });
            match reported {
                Ok(report) => DispatcherMessage::Probed { member, outcome, report },
                Err(why) => {
                    slog::warn!(context.log, "the load report of a probe is invalid"; "why" => why);
                    DispatcherMessage::Probed {
                        member,
                        outcome: AttemptOutcome::Spoilt,
                        report: Report::default(),
                    }
                }
            }
        }
    };
    let _ = context.dispatcher.send(message);
}

/// The result of a job whose connection failed.
fn result_of_failure(failure: &Failure, reply: Reply) -> JobResult {
    // A complete answer counts although the connection failed; nothing in an incomplete one is used.
    let lost = if failure.reached < Reached::Written {
        AttemptOutcome::Unreachable
    } else {
        AttemptOutcome::Dropped
    };
    match reply.outcome() {
        Some(outcome) => JobResult { outcome, reply, usable: false },
        None => JobResult { outcome: lost, reply: Reply::default(), usable: false },
    }
}

/// Reads what an idle connection has received; an error if it has ended or if that was anything at all.
fn check_idle(link: &mut Link) -> Result<(), ServerCloseReason> {
    let pumped = link.pump();
    if !link.inbound.is_empty() {
        return Err(ServerCloseReason::UnexpectedBytes);
    }
    if pumped.is_err() || link.ended {
        return Err(ServerCloseReason::EndedWhileIdle);
    }
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/member.rs"]
mod tests;
