//! One connection to a member. It carries one job at a time and reports each outcome to the dispatcher.

use super::PoolContext;
use super::opening::MAX_WELCOME_MESSAGE;
use super::reply::{Reply, check_position, load_report, report_outcome};
use super::transit::TransitChecks;
use crate::clock::SHORTAGE_PAUSE;
use crate::messages::{DispatcherMessage, Job, MemberMessage, Submit, TransferIdle};
use crate::request_log::{RequestEvent, ServerCloseReason};
use juniperdock_connection::{Failure, Link, Reached};
use juniperdock_memory_limit::Purpose;
use juniperdock_pg as pg;
use juniperdock_request_guard::Withheld;
use juniperdock_router::host::AttemptOutcome;
use may::sync::mpsc::{Receiver, Sender, channel};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::Ordering;
use std::sync::mpsc::TryRecvError;
use std::time::Duration;

/// Bytes that a member sends right behind an answer arrive within this time. No connection carries another job before
/// it has been idle for as long: an answer names no request, so such bytes would be taken for the next one's answer.
/// Behind the answer to a probe this is not needed ([`ServerConnection::probe_answer`]).
pub const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(3);

/// What is read ahead of the message in hand, whatever memory there is.
pub(super) const READ_AHEAD: usize = 16 << 10;
/// The longest load report of which a second copy is recognised.
const MAX_REMEMBERED_REPORT: usize = 1 << 10;
/// How long a large answer waits for memory before it asks again.
const MEMORY_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// How many times a connection waits for the dispatcher to handle its queue before it writes anything right after a
/// stall. Once is not enough for clients whose actors are woken by a timer: those run only after the first wait.
const BARRIERS_AFTER_STALL: u32 = 2;

/// Messages to a connection.
pub enum ConnectionMessage {
    Job(Job),
    Cancel(u64),
    /// Sends its descriptor to another process.
    Transfer(Box<TransferIdle>),
    Close,
}

/// What a connection starts with.
pub enum InitialWork {
    Job(Job),
    Adopted(TcpStream),
}

/// The outcome of a job, and whether its connection can carry another one.
struct JobResult {
    outcome: AttemptOutcome,
    reply: Reply,
    usable: bool,
}

/// One connection to a member.
pub struct ServerConnection {
    pub(super) id: u64,
    pub(super) member: usize,
    pub(super) address: SocketAddr,
    pub(super) pool: Sender<MemberMessage>,
    pub(super) context: PoolContext,
    messages: Receiver<ConnectionMessage>,
    /// Messages that came while a job was in hand and do not concern it.
    deferred: RefCell<VecDeque<ConnectionMessage>>,
    /// The time of the timer that was set last.
    timer_set_for: Cell<Duration>,
    /// Since when the connection has carried no job, or had carried none when it got its present one; `None` before
    /// its first idle time.
    idle_since: Cell<Option<Duration>>,
    /// The messages of the load report that the last job got, if that was a probe: [`pg::CopyCheck`] tells a second copy
    /// of it from the answer to a statement, so the connection may be used again at once.
    probe_answer: RefCell<Option<Vec<u8>>>,
}

impl ServerConnection {
    /// A connection that is opened or adopted by [`ServerConnection::run`].
    pub fn new(
        id: u64,
        member: usize,
        address: SocketAddr,
        pool: Sender<MemberMessage>,
        context: PoolContext,
        messages: Receiver<ConnectionMessage>,
    ) -> ServerConnection {
        ServerConnection {
            id,
            member,
            address,
            pool,
            context,
            messages,
            deferred: RefCell::default(),
            timer_set_for: Cell::default(),
            idle_since: Cell::default(),
            probe_answer: RefCell::default(),
        }
    }

    /// Carries jobs until the connection ends; its coroutine's body.
    pub fn run(self, work: InitialWork) {
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
                ConnectionMessage::Cancel(_) | ConnectionMessage::Transfer(_) => {}
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
    pub(super) fn serve_jobs(
        &self,
        current: &mut Option<Job>,
        adopted: Option<TcpStream>,
    ) -> ServerCloseReason {
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
                    link.set_reset_on_close(true);
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
            let is_load_report =
                matches!((job, result.outcome), (Job::Probe { .. }, AttemptOutcome::Committed));
            let is_remembered = is_load_report && result.reply.raw.len() <= MAX_REMEMBERED_REPORT;
            self.probe_answer.replace(is_remembered.then(|| result.reply.raw.clone()));
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
                Ok(ConnectionMessage::Transfer(transfer)) => {
                    check_idle(&mut link)?;
                    if let Ok(descriptor) = link.descriptor() {
                        let _ = transfer.to.send((transfer.member, descriptor));
                    }
                    return Err(ServerCloseReason::Transferred);
                }
                Ok(ConnectionMessage::Close) => {
                    // It is idle: nothing of a request can be held back.
                    link.set_reset_on_close(false);
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
        let min_idle = if self.recognises_copies(job) { Duration::ZERO } else { MIN_IDLE_BEFORE_REUSE };
        let reusable_at = self.idle_since.get().unwrap_or(clock.now()) + min_idle;
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

    /// Whether a second copy of what the server answered last can be told from the answer to this job: if that was a load
    /// report and this is a request's statement that does not ask for one. Two reports in a row may well be the same.
    fn recognises_copies(&self, job: &Job) -> bool {
        let Job::Submit(submit) = job else { return false };
        self.probe_answer.borrow().is_some() && !pg::names_load_report(&submit.statement)
    }

    /// The check of the answers to this job, if it comes right behind a probe.
    fn copy_check(&self, job: &Job) -> Option<pg::CopyCheck> {
        if !self.recognises_copies(job) {
            return None;
        }
        self.probe_answer.borrow().as_deref().map(pg::CopyCheck::new)
    }

    /// Records that the server sent its load report twice.
    fn record_copy(&self) {
        self.context.counters.load_reports_repeated.add();
        slog::info!(self.context.log, "a server sent its load report twice"; "member" => self.member);
    }

    /// After a stall a client's end may still be unread: its actor gets a turn first, then the dispatcher.
    pub(super) fn catch_up_after_stall(&self) {
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

    pub(super) fn next_message(&self) -> Result<ConnectionMessage, TryRecvError> {
        self.deferred.borrow_mut().pop_front().map_or_else(|| self.messages.try_recv(), Ok)
    }

    /// When the job is given up.
    pub(super) fn deadline(&self, job: &Job) -> Duration {
        match job {
            Job::Submit(submit) => submit.deadline,
            Job::Probe { at } => *at + self.context.connect_timeout,
        }
    }

    /// Whether the job has been cancelled; all other messages are kept for later.
    pub(super) fn cancelled(&self, job: &Job) -> bool {
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
        let (clock, deadline) = (&self.context.clock, self.deadline(job));
        let mut reply = Reply::to(job);
        let now = clock.now();
        let text = statement_text(job, now);
        if now >= deadline || self.cancelled(job) || !self.permitted(job, now) {
            return JobResult { outcome: AttemptOutcome::Moot, reply, usable: true };
        }
        if let Err(failure) = link.queue(&pg::query(&text)) {
            return result_of_failure(&failure, reply);
        }
        let mut written = false;
        let (mut copy_check, mut ambiguous) = (self.copy_check(job), None);
        let mut transit_checks = TransitChecks::begin(now);
        for busy in 1u32.. {
            // The statement takes effect only with its last byte: if it was not written at once, check again before
            // each further write.
            if busy > 1 && !written && !link.is_flushed() && !self.may_continue(job) {
                return JobResult { outcome: AttemptOutcome::Moot, reply, usable: false };
            }
            let awaits_memory = self.limit_reading(link);
            let pumped = link.pump();
            if let Err(why) = self.read(link, &mut reply, now) {
                slog::warn!(self.context.log, "a member sent an invalid answer"; "member" => self.member, "why" => why);
                // Nothing in such an answer is used.
                return JobResult { outcome: AttemptOutcome::Spoilt, reply: Reply::default(), usable: false };
            }
            // A marker that is written later is no part of the statement.
            let unsent = !written && !link.is_flushed();
            if !unsent && !std::mem::replace(&mut written, true) {
                let handed_over_at = clock.now();
                self.record_written(job, now, handed_over_at);
                transit_checks.handed_over(handed_over_at);
            }
            if reply.ready
                && let Some(check) = &mut copy_check
            {
                match check.read(&reply.raw, reply.is_empty_query, written, clock.now(), deadline) {
                    pg::Reading::Repeated => {
                        self.record_copy();
                        reply = Reply::to(job);
                        continue;
                    }
                    pg::Reading::Ambiguous => {
                        ambiguous = Some(std::mem::replace(&mut reply, Reply::to(job)));
                        continue;
                    }
                    pg::Reading::Marker => reply = ambiguous.take().unwrap_or_default(),
                    pg::Reading::Answer if ambiguous.is_some() => self.record_copy(),
                    pg::Reading::Answer => {}
                }
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
                let is_clean = copy_check.is_none_or(|check| !check.is_suspect());
                return JobResult { outcome, reply, usable: is_clean };
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
            if copy_check.as_mut().is_some_and(|check| check.takes_marker(clock.now())) {
                if let Err(failure) = link.queue(&pg::query("")) {
                    return result_of_failure(&failure, reply);
                }
                continue;
            }
            let stop = if self.cancelled(job) {
                Some(AttemptOutcome::Cancelled)
            } else if clock.now() >= deadline {
                Some(AttemptOutcome::TimedOut)
            } else {
                self.check_transit(link, job, &mut transit_checks)
            };
            if let Some(outcome) = stop {
                let outcome = if unsent { AttemptOutcome::Moot } else { outcome };
                return JobResult { outcome, reply, usable: false };
            }
            if matches!(pumped, Ok(false)) {
                let retry_at = if awaits_memory { clock.now() + MEMORY_RETRY_PAUSE } else { deadline };
                let marker_due = copy_check.as_ref().and_then(pg::CopyCheck::marker_due).unwrap_or(deadline);
                self.wait_until(link, retry_at.min(deadline).min(transit_checks.due(job)).min(marker_due));
            } else {
                // An answer without an end must not starve the others.
                clock.yield_if_busy(busy, link.lacks_memory());
            }
        }
        JobResult { outcome: AttemptOutcome::Spoilt, reply: Reply::default(), usable: false }
    }

    /// Limits what is read ahead: small messages always, more of a large one only if there is memory for it. Returns
    /// whether it waits for memory: nothing more is read then.
    fn limit_reading(&self, link: &mut Link) -> bool {
        let buffered = link.inbound.len();
        let message = pg::message_length(link.inbound.make_contiguous());
        let wanted = message.min(buffered + READ_AHEAD);
        // A whole message is kept twice over: as it came in, and as the answer.
        let is_admitted = wanted <= READ_AHEAD || self.context.memory.admits(Purpose::Answer, 2 * READ_AHEAD);
        if !is_admitted {
            self.context.counters.answers_await_memory.add();
        }
        link.set_read_limit(if is_admitted { wanted.max(READ_AHEAD) } else { buffered });
        !is_admitted
    }

    /// Records that all of a request's statement has been handed to the kernel; `began` is when its first byte was.
    fn record_written(&self, job: &Job, began: Duration, handed_over_at: Duration) {
        let Job::Submit(submit) = job else { return };
        submit.permit.record_written(handed_over_at);
        let idle_for = self.idle_since.get().map(|since| began.saturating_sub(since));
        let event = RequestEvent::Written { server: self.member, connection: self.id, idle_for };
        self.context.request_log.request(submit.request_id, event);
    }

    /// The last check before the first byte is written. Probes belong to no request.
    fn permitted(&self, job: &Job, now: Duration) -> bool {
        let Job::Submit(submit) = job else { return true };
        self.is_granted(submit, submit.permit.consume(now))
    }

    fn may_continue(&self, job: &Job) -> bool {
        let Job::Submit(submit) = job else { return true };
        self.is_granted(submit, submit.permit.may_continue(self.context.clock.now()))
    }

    /// Whether an attempt may be written; logs why not.
    fn is_granted(&self, submit: &Submit, permitted: Result<(), Withheld>) -> bool {
        let Err(why) = permitted else { return true };
        let event = RequestEvent::Withheld { server: self.member, why };
        self.context.request_log.request(submit.request_id, event);
        self.report_unread_client(submit, why);
        false
    }

    /// The router would send the request of such a client again at once, and could not know any more by then.
    pub(super) fn report_unread_client(&self, submit: &Submit, why: Withheld) {
        if why == Withheld::ClientUnread {
            self.context.counters.withheld_unread.add();
            let _ = self.context.dispatcher.send(DispatcherMessage::ClientUnread(submit.request_id));
        }
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
            reply.add(kind, body)?;
            if reply.ready {
                self.judge(reply, asked)?;
            }
            if matches!(kind, b'T' | b'D' | b'C' | b'E') {
                if reply.raw.len() + length > self.context.max_message_bytes + MAX_WELCOME_MESSAGE {
                    return Err("expected a shorter answer".to_owned());
                }
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

/// What is sent for a job at this time.
fn statement_text(job: &Job, now: Duration) -> String {
    match job {
        Job::Submit(submit) => {
            let left = submit.deadline.saturating_sub(now).as_millis();
            pg::with_time_left(&submit.statement, &submit.left, left)
        }
        Job::Probe { .. } => "SHOW server_load".to_owned(),
    }
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
