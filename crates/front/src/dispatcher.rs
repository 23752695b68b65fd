//! The dispatcher owns the router and its timers. All inputs arrive through one queue and are handled in order; what
//! the router decides goes out as messages to the other actors. The dispatcher itself decides nothing.

mod host;
mod primary_changes;
mod runtime_state;
mod session_marks;
mod snapshot;

use crate::clock::{Clock, WATCHDOG_PERIOD};
use crate::counters::Counters;
use crate::memory;
use crate::messages::{
    Answer, Arrival, AttemptEnd, DiscoveryMessage, DispatcherMessage, Job, MemberMessage, MembershipMessage,
    TransferIdle,
};
use crate::request_log::{RequestEvent, RequestLog};
use crate::runtime_state::RuntimeState;
use crate::worker_watchdog::WorkerWatchdog;
use host::{OpenRequest, RouterHost};
use juniperdock_deployment::{Indices, span};
use juniperdock_fleet_tasks as fleet_tasks;
use juniperdock_fleet_tasks::HealthObserver;
use juniperdock_primary_tracker::Step;
use juniperdock_request_guard::Withheld;
use juniperdock_router::host::{AttemptOutcome, Host, ListedStart, ListedState, Phase, Report};
use juniperdock_router::routing::Router;
use juniperdock_server_list::{KnownServer, ProbeQueue, ServerEntry, ServerList, ServerState, ServerTable};
use juniperdock_wait_queue::WaitLimits;
use may::sync::mpsc::{Receiver, Sender};
use primary_changes::SharedChanges;
use serde_json::Value;
use session_marks::MarkSharing;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Duration;

/// When the estimate of how far this process's clock is ahead changes by at least this much, the router gets all
/// servers' uptimes again.
const MIN_CLOCK_CHANGE: Duration = Duration::from_millis(500);

/// While connections are short, idle ones are closed at this interval at most: it is a message to each member.
const MIN_CLOSE_IDLE_INTERVAL: Duration = Duration::from_millis(10);

/// Starts the actor of a member: its index, its address, and both ends of its queue.
pub type SpawnMember = Box<
    dyn Fn(usize, SocketAddr, Receiver<MemberMessage>, Sender<MemberMessage>) -> Result<(), String> + Send,
>;

/// Makes a router without any state.
pub type MakeRouter = Box<dyn Fn() -> Result<Router, String> + Send>;

/// The actor that owns the router: the only place that changes routing state.
pub struct Dispatcher {
    router: Router,
    make_router: MakeRouter,
    host: RouterHost,
    zones: Indices<String>,
    /// The names of the txn types, by index.
    txn_types: Vec<String>,
    /// Limits of the wait queue that were set since the start, and the share of its time for which a request that no
    /// member has had may wait.
    wait_limits: Option<(WaitLimits, f64)>,
    /// Sends to the membership actor, which speaks with the other fronts.
    membership: Option<Box<dyn Fn(MembershipMessage) + Send>>,
    /// How far this process's clock was ahead of the servers' when the servers' uptimes were last given to the
    /// router.
    clock_ahead_when_listed: Duration,
    /// Changes of primary that another front ordered of all fronts: the group, the id of the order, and the step last
    /// reported.
    fleet_changes: Vec<(u64, u64, fleet_tasks::HoldStep)>,
    /// When idle connections were last closed because connections were short.
    idle_closed_at: Option<Duration>,
    /// How marks of sessions are shared with other processes of this front.
    mark_sharing: MarkSharing,
    /// The version of the server list that is in force.
    list_version: Option<u64>,
    shared_changes: SharedChanges,
    log: slog::Logger,
}

impl Dispatcher {
    /// Makes a dispatcher with an empty member list. `dispatcher` is the sending end of the queue that
    /// [`Dispatcher::run`] reads.
    ///
    /// # Errors
    /// If the first router can't be made.
    pub fn new(
        make_router: MakeRouter,
        txn_types: Vec<String>,
        zones: Vec<String>,
        clock: Clock,
        dispatcher: Sender<DispatcherMessage>,
        discovery: Sender<DiscoveryMessage>,
        spawn_member: SpawnMember,
        probes: ProbeQueue,
        counters: Arc<Counters>,
        log: slog::Logger,
        request_log: RequestLog,
        runtime_state: Arc<RuntimeState>,
    ) -> Result<Dispatcher, String> {
        let mut known = Indices::default();
        zones.into_iter().for_each(|zone| {
            known.index(zone);
        });
        let (txns, by_request_id, free, members) = (Vec::new(), HashMap::new(), Vec::new(), Vec::new());
        let (ids, host_log) = (Indices::default(), log.clone());
        let host = RouterHost {
            txns,
            revocable: Vec::new(),
            by_request_id,
            free,
            ids,
            servers: ServerTable::default(),
            members,
            groups: Indices::default(),
            spawn_member,
            log: host_log,
            request_log,
            origin: clock.origin(),
            clock,
            dispatcher,
            discovery,
            wanted_probes: Vec::new(),
            probes,
            probes_due: None,
            counters,
            observer: None,
            runtime_state,
        };
        let (membership, fleet_changes) = (None, Vec::new());
        Ok(Dispatcher {
            router: make_router()?,
            make_router,
            host,
            zones: known,
            txn_types,
            wait_limits: None,
            membership,
            clock_ahead_when_listed: Duration::ZERO,
            fleet_changes,
            idle_closed_at: None,
            mark_sharing: MarkSharing::default(),
            list_version: None,
            shared_changes: SharedChanges::default(),
            log,
        })
    }

    /// Handles messages until all senders are gone. If handling one panics, all open requests are answered and the
    /// router is replaced; if no router can be made, the process exits.
    pub fn run(mut self, messages: &Receiver<DispatcherMessage>) {
        // It watches the thread that it is made on, which is the one that runs this coroutine.
        let mut watchdog = WorkerWatchdog::new(self.host.request_log.is_enabled());
        while let Ok(message) = messages.recv() {
            if let DispatcherMessage::WatchdogTick { posted } = message {
                self.watchdog_tick(posted, &mut watchdog);
                continue;
            }
            self.host.clock.note_running();
            if catch_unwind(AssertUnwindSafe(|| self.handle(message))).is_err() {
                self.host.counters.panics.add();
                if let Err(why) = self.restart_router() {
                    slog::crit!(self.log, "no new router can be made, exiting"; "why" => why);
                    std::process::exit(1);
                }
            }
            self.start_probes();
            self.refresh_permits();
            self.report_changes();
            self.publish_primary_changes();
        }
    }

    /// Handles a watchdog tick: counts a stall of the worker, and whether the worker slept meanwhile although work
    /// was ready.
    fn watchdog_tick(&mut self, posted: Duration, watchdog: &mut WorkerWatchdog) {
        let RouterHost { clock, counters, request_log, .. } = &self.host;
        clock.note_tick();
        memory::record_usage(counters);
        if let Some(stall) = clock.take_stall() {
            counters.worker_standstills.add();
            request_log.worker_stalled(stall);
        }
        if let Some(delay) = watchdog.tick(posted, clock.now()) {
            counters.worker_idle_delays.add_if(delay.is_idle());
            request_log.tick_delayed(delay);
        }
    }

    /// Reports progress of ordered changes to the front that ordered them, through the membership actor.
    fn report_changes(&mut self) {
        let Some(membership) = self.membership.as_ref().filter(|_| !self.fleet_changes.is_empty()) else {
            return;
        };
        let (tracker, groups) = (self.router.primary_tracker(), &self.host.groups);
        self.fleet_changes.retain_mut(|(group, order, reported)| {
            let plan = groups.known(group).and_then(|at| tracker.plan(at));
            let step = match plan.map(|plan| plan.step) {
                Some(Step::Emptying) => fleet_tasks::HoldStep::Emptying,
                Some(Step::Awaiting) => fleet_tasks::HoldStep::Awaiting,
                Some(Step::Done) => fleet_tasks::HoldStep::Done,
                Some(Step::Undone(_)) | None => fleet_tasks::HoldStep::Undone,
            };
            if std::mem::replace(reported, step) != step {
                membership(MembershipMessage::ChangeProgress { group: *group, order: *order, step });
            }
            plan.is_some_and(|plan| !plan.ended())
        });
    }

    /// Starts or cancels this front's part of a change that was ordered of all fronts. A new order replaces an
    /// earlier one, whose owner was lost.
    fn planned_change(
        &mut self,
        now: Duration,
        group: u64,
        order: u64,
        successor: Option<&str>,
        cancel: bool,
    ) {
        let earlier =
            self.fleet_changes.iter().position(|(its, by, _)| *its == group && (*by != order) != cancel);
        if let Some(earlier) = earlier.filter(|_| !cancel) {
            self.fleet_changes.remove(earlier);
            let _ = self.change_primary(now, group, None, true);
        }
        if cancel && earlier.is_none() {
            return;
        }
        match self.change_primary(now, group, successor, cancel) {
            Ok(_) if !cancel => self.fleet_changes.push((group, order, fleet_tasks::HoldStep::Asked)),
            Ok(_) => {}
            Err(why) => {
                slog::info!(self.log, "a change of primary that was ordered of all fronts can't start here"; "group" => group, "why" => why);
                let replies = self.membership.iter().filter(|_| !cancel);
                replies.for_each(|membership| {
                    membership(MembershipMessage::ChangeProgress {
                        group,
                        order,
                        step: fleet_tasks::HoldStep::Refused,
                    })
                });
            }
        }
    }

    /// Updates this front's share of health observation, probes the members that are due, and sends the new
    /// observations to the other fronts.
    fn observe_health(
        &mut self,
        now: Duration,
        has_majority: bool,
        present_fronts: usize,
        shard_roles: [fleet_tasks::ProbeRole; fleet_tasks::SHARDS as usize],
    ) {
        let rate = self.router.arrival_rate(now) * present_fronts as f64;
        let Some(observer) = &mut self.host.observer else { return };
        observer.update_view(has_majority, shard_roles, rate);
        let (every, due) = (observer.probe_interval(), observer.due_probes(now));
        let shards: Vec<usize> = observer.probed_shards().map(|(shard, _)| shard).collect();
        let mut pieces = Vec::new();
        for shard in shards {
            pieces.extend(observer.take_updates(shard).into_iter().map(|piece| (shard, piece)));
        }
        due.into_iter().for_each(|member| self.router.probe_member(now, member, &mut self.host));
        if let Some(membership) = &self.membership {
            membership(MembershipMessage::Observations { every, pieces });
        }
    }

    /// Replaces the router after the clock's origin moved forward: positions that it had dated by the old origin
    /// would be taken for younger than they are. Requests without any attempt start again in the new router, with
    /// their old deadlines; those with an attempt may have run and are answered as unknown.
    fn clock_advanced(&mut self, now: Duration, by: Duration) {
        self.host.counters.clock_advanced.add();
        self.host.origin.start += by.as_micros() as i64;
        slog::warn!(self.log, "the wall clock is behind the servers'"; "by_ms" => by.as_millis() as u64);
        let waiting = self.host.remove_unattempted();
        if let Err(why) = self.restart_router() {
            slog::crit!(self.log, "no new router can be made, exiting"; "why" => why);
            std::process::exit(1);
        }
        waiting.into_iter().for_each(|request| self.start_request(now, request.arrival));
    }

    /// Discards the router, whose state can't be trusted after a panic: all open requests are answered as unknown,
    /// and a new router starts from the current server list.
    fn restart_router(&mut self) -> Result<(), String> {
        for txn in 0..self.host.txns.len() {
            self.host.answer(txn, Answer::Unknown("what was known is given up; it may have run"));
            self.host.release_txn(txn);
        }
        let now = self.host.clock.now();
        let (drains, plans) = (self.router.drains(), self.plans_in_progress());
        let restarts = self.router.inferred_restarts(now);
        self.router.session_marks_lost(now);
        self.router.stop_sharing_session_marks();
        self.router = (self.make_router)()?;
        self.router.session_marks_lost(now);
        self.apply_mark_sharing();
        self.apply_wait_limits();
        let named = self.relist_servers(now);
        // The list may have named a drained server as removed or up since.
        drains.into_iter().for_each(|drain| self.router.keep_drain(now, drain));
        restarts.into_iter().for_each(|restart| self.router.keep_inferred_restart(restart));
        self.router.list_completed(now, Some(&named), &mut self.host);
        self.router.restore_primary_changes(now, &plans, &mut self.host);
        Ok(())
    }

    /// Gives the router all servers as currently listed; returns their indices.
    fn relist_servers(&mut self, now: Duration) -> Vec<usize> {
        let known: Vec<(usize, KnownServer)> =
            self.host.servers.known().map(|(member, known)| (member, *known)).collect();
        known.iter().for_each(|(member, known)| self.report_listed(now, *member, known));
        known.iter().map(|(member, _)| *member).collect()
    }

    /// Corrects the servers' uptimes. They are computed from this process's clock: if that turns out to be ahead, the
    /// servers are colder than they seemed.
    fn follow_servers_time(&mut self, now: Duration) {
        let ahead = self.host.clock.ahead();
        if ahead.abs_diff(self.clock_ahead_when_listed) >= MIN_CLOCK_CHANGE {
            self.clock_ahead_when_listed = ahead;
            slog::warn!(self.log, "the wall clock is ahead of the servers'"; "by_ms" => ahead.as_millis() as u64);
            self.relist_servers(now);
        }
    }

    /// Applies limits that were set since the start: each new router needs them again.
    fn apply_wait_limits(&mut self) {
        if let Some((limits, share)) = self.wait_limits {
            self.router.set_wait_queue_limits(limits);
            self.router.set_unexecuted_wait_share(share);
        }
    }

    /// Updates the permits of attempts that are not written yet, or in transit, by what has arrived since they were
    /// decided, and the gauges of groups and waiting requests.
    fn refresh_permits(&mut self) {
        let (txns, router) = (&self.host.txns, &self.router);
        self.host.revocable.retain(|&txn| match &txns[txn] {
            Some(OpenRequest { in_flight: Some(attempt), .. }) if attempt.is_revocable() => {
                let progress = attempt.permit.progress();
                attempt.permit.set_valid_until(router.valid_until(txn, progress));
                true
            }
            _ => false,
        });
        let (tracker, counters) = (router.primary_tracker(), &self.host.counters);
        for (phase, count) in Phase::ALL.into_iter().zip([
            &counters.groups_vacant,
            &counters.groups_settling,
            &counters.groups_steady,
            &counters.groups_doubted,
            &counters.groups_handing_over,
        ]) {
            count.set(tracker.in_phase(phase));
        }
        counters.waiting.set(router.waiting());
    }

    /// Handles one message.
    fn handle(&mut self, message: DispatcherMessage) {
        let now = self.host.clock.now();
        match message {
            DispatcherMessage::WatchdogTick { .. } => {}
            DispatcherMessage::Barrier(reply) => drop(reply.send(())),
            DispatcherMessage::ConnectionsShort => self.close_idle_connections(now),
            DispatcherMessage::RequestArrived(arrival) => self.request_arrived(now, arrival),
            DispatcherMessage::ClientLeft(request_id) => {
                if let Some(&txn) = self.host.by_request_id.get(&request_id) {
                    if let Some(request) = self.host.txns[txn].as_mut() {
                        request.answered = true;
                    }
                    self.router.client_left(now, txn, &mut self.host);
                }
            }
            DispatcherMessage::AttemptInTransit(request_id) => self.host.attempt_in_transit(request_id),
            DispatcherMessage::ClientUnread(request_id) => {
                if let Some(&txn) = self.host.by_request_id.get(&request_id) {
                    self.host
                        .answer(txn, Answer::Unknown("given up: its connection is sent more than is read"));
                    self.router.client_left(now, txn, &mut self.host);
                }
            }
            DispatcherMessage::AttemptEnded(end) => self.attempt_ended(now, *end),
            DispatcherMessage::Probed { member, outcome, report } => {
                if outcome != AttemptOutcome::Committed {
                    self.host.counters.probes_failed.add();
                }
                self.host.probes.ended(member);
                let observation =
                    self.host.observation(report).filter(|_| outcome == AttemptOutcome::Committed);
                if let Some(observer) = self
                    .host
                    .observer
                    .as_mut()
                    .filter(|_| observation.is_some() || outcome != AttemptOutcome::Committed)
                {
                    observer.record_probe(member, observation);
                }
                self.router.probe_ended(now, member, outcome, report, &mut self.host);
                self.follow_servers_time(now);
            }
            DispatcherMessage::PeerReport { member, report } => {
                self.router.probe_ended(now, member, AttemptOutcome::Committed, report, &mut self.host);
            }
            DispatcherMessage::EnableFleetTasks(membership) => {
                self.membership = Some(membership);
                self.host.observer = self.router.tightest_bound().map(HealthObserver::new);
                let known: Vec<usize> = self.host.servers.known().map(|(member, _)| member).collect();
                known.into_iter().for_each(|member| self.name_member(member));
            }
            DispatcherMessage::ObserveHealth { has_majority, present_fronts, shard_roles } => {
                self.observe_health(now, has_majority, present_fronts, shard_roles)
            }
            DispatcherMessage::PeerObservations(piece) => {
                let unix = self.host.unix(now);
                if let Some(observer) = &mut self.host.observer {
                    self.host.counters.facts_in.add();
                    if let Err(why) = observer.apply_updates(now, unix, &piece) {
                        slog::debug!(self.log, "observations of another front are ignored"; "why" => why);
                    }
                }
            }
            DispatcherMessage::PlannedChange { group, order, successor, cancel } => {
                self.planned_change(now, group, order, successor.as_deref(), cancel);
            }
            DispatcherMessage::List(list) => self.apply_list(now, &list),
            DispatcherMessage::ClockAdvanced(by) => self.clock_advanced(now, by),
            DispatcherMessage::ProbesDue => self.host.probes_due = None,
            DispatcherMessage::DiscoveryLost => {
                self.host.counters.lists_failed.add();
                self.router.discovery_lost(now, &mut self.host);
            }
            DispatcherMessage::SendInitialState => self.send_initial_state(now),
            DispatcherMessage::KeepInferredRestarts(restarts) => self.keep_inferred_restarts(restarts),
            DispatcherMessage::FollowPrimaryChanges(changes) => self.follow_primary_changes(now, changes),
            DispatcherMessage::TakeSnapshot(reply) => {
                drop(reply.try_send(juniperdock_snapshot::encode(&self.take_snapshot(now))))
            }
            DispatcherMessage::RestoreSnapshot(bytes) => match self.restore_snapshot(now, &bytes) {
                Ok(age) => {
                    slog::info!(self.log, "a snapshot is taken up"; "age_ms" => age.as_millis() as u64)
                }
                Err(why) => slog::warn!(self.log, "a snapshot is refused"; "why" => why),
            },
            DispatcherMessage::ShareSessionMarks(reply) => drop(reply.try_send(self.share_marks())),
            DispatcherMessage::PredecessorServes(table) => self.predecessor_serves(table),
            DispatcherMessage::PredecessorEnded => self.predecessor_ended(now),
            DispatcherMessage::UpgradeUndone { committed } => self.upgrade_undone(now, committed),
            DispatcherMessage::SetWaitLimits(limits, share) => {
                self.wait_limits = Some((limits, share));
                self.apply_wait_limits();
            }
            DispatcherMessage::TransferIdle(to) => {
                for member in 0..self.host.members.len() {
                    let transfer = TransferIdle { member: self.host.ids.id(member).clone(), to: to.clone() };
                    self.host.send_to_member(member, MemberMessage::TransferIdle(Box::new(transfer)));
                }
            }
            DispatcherMessage::AdoptConnection(id, stream) => {
                if let Some(member) = self.host.ids.known(&id) {
                    self.host.send_to_member(member, MemberMessage::Adopt(stream));
                }
            }
            DispatcherMessage::ProbeAll => self.router.probe_all_members(now, &mut self.host),
            DispatcherMessage::Status { group, max_groups, reply } => {
                drop(reply.try_send(self.status(group, max_groups)))
            }
            DispatcherMessage::ChangePrimary { group, successor, cancel, reply } => {
                drop(reply.try_send(self.change_primary(now, group, successor.as_deref(), cancel)));
            }
            DispatcherMessage::TimerDue { handle, at } => {
                let late = now.saturating_sub(at);
                self.host.counters.held_up_most_us.record_max(late.as_micros() as u64);
                if late > WATCHDOG_PERIOD {
                    self.host.counters.reminders_late.add();
                }
                self.router.timer_fired(now, handle, &mut self.host);
            }
        }
    }

    /// Closes idle connections to all members, unless that was done just now.
    fn close_idle_connections(&mut self, now: Duration) {
        if self.idle_closed_at.is_some_and(|at| now < at + MIN_CLOSE_IDLE_INTERVAL) {
            return;
        }
        self.idle_closed_at = Some(now);
        (0..self.host.members.len())
            .for_each(|member| self.host.send_to_member(member, MemberMessage::CloseIdle));
    }

    /// Records how long a new request lay in the queue, and starts it.
    fn request_arrived(&mut self, now: Duration, a: Box<Arrival>) {
        self.host.counters.held_up_most_us.record_max(now.saturating_sub(a.at).as_micros() as u64);
        self.start_request(now, a);
    }

    /// Hands a request to the router if it may still be started.
    fn start_request(&mut self, now: Duration, a: Box<Arrival>) {
        match a.guard.may_start(now) {
            Ok(()) => {}
            Err(Withheld::OutOfTime) => return a.client.post((a.request_id, Answer::Declined(None))),
            // The client has left or has its answer.
            Err(Withheld::Ended | Withheld::ClientLeft | Withheld::ClientUnread) => return,
        }
        if self.host.groups.known(&a.group).is_none() && !self.host.groups.is_empty() {
            a.client.post((a.request_id, Answer::RolledBack("expected a cluster that the list names")));
            return;
        }
        let group = self.host.groups.index(a.group);
        let txn = self.host.free.pop().unwrap_or_else(|| {
            self.host.txns.push(None);
            self.host.txns.len() - 1
        });
        let (txn_type, left) = (a.txn_type, a.expiry.saturating_sub(now));
        let (retried, session, session_write) = (a.retried, a.session, a.session_write(&self.host.origin));
        let bytes = a.statement.len() + size_of::<Arrival>();
        self.host.by_request_id.insert(a.request_id, txn);
        self.host.txns[txn] = Some(OpenRequest {
            arrival: a,
            answered: false,
            in_flight: None,
            attempted: false,
            timers: Vec::new(),
        });
        let host = &mut self.host;
        self.router.txn_arrived(
            now,
            txn,
            txn_type,
            group,
            left,
            retried,
            None,
            session,
            session_write,
            bytes,
            host,
        );
        self.host.probes.used(now, group, self.router.waiting_in(group) > 0);
    }

    /// Answers the request of an ended attempt where the outcome is final, and reports the outcome to the router.
    fn attempt_ended(&mut self, now: Duration, end: AttemptEnd) {
        let count = &self.host.counters;
        match end.outcome {
            AttemptOutcome::Committed => count.ended_committed.add(),
            AttemptOutcome::Errored => count.ended_errored.add(),
            AttemptOutcome::Invalid => count.ended_invalid.add(),
            AttemptOutcome::Spoilt => count.ended_spoilt.add(),
            AttemptOutcome::Full => count.ended_full.add(),
            AttemptOutcome::TimedOut => count.ended_timed_out.add(),
            AttemptOutcome::Unreachable => count.ended_unreachable.add(),
            AttemptOutcome::Dropped => count.ended_dropped.add(),
            AttemptOutcome::Cancelled => count.ended_cancelled.add(),
            AttemptOutcome::Moot => count.ended_moot.add(),
            AttemptOutcome::Misplaced => count.ended_misplaced.add(),
        }
        let event = RequestEvent::AttemptEnded { server: end.member, ending: end.outcome };
        self.host.request_log.request(end.request_id, event);
        let Some(&txn) = self.host.by_request_id.get(&end.request_id) else { return };
        if let Some(request) = self.host.txns[txn].as_mut() {
            request.in_flight = None;
        }
        if matches!(
            end.outcome,
            AttemptOutcome::Unreachable | AttemptOutcome::Dropped | AttemptOutcome::TimedOut
        ) {
            self.host.observer.iter_mut().for_each(|observer| observer.record_failure(end.member));
        }
        let is_final = matches!(end.outcome, AttemptOutcome::Committed | AttemptOutcome::Invalid);
        match end.outcome {
            AttemptOutcome::Committed => self.host.answer(txn, Answer::Committed(end.row)),
            AttemptOutcome::Invalid => self.host.answer(txn, Answer::Invalid(end.row)),
            _ => {}
        }
        let (member, outcome, took) = (end.member, end.outcome, end.at.saturating_sub(end.sent));
        let (role, position, host) = (end.role, end.position, &mut self.host);
        self.router.submission_ended(now, txn, is_final, member, outcome, role, position, took, host);
        // A load report that came with an answer counts the same as one from a probe.
        if let Some(load) = end.load {
            self.router.probe_ended(now, member, AttemptOutcome::Committed, load, &mut self.host);
        }
    }

    /// The state of one group or of the first `max_groups` groups, in the order in which the server list first named
    /// them.
    fn status(&self, group: Option<u64>, max_groups: usize) -> Value {
        let (host, tracker) = (&self.host, self.router.primary_tracker());
        let known =
            (0..host.groups.len()).filter(|&at| group.is_none_or(|group| *host.groups.id(at) == group));
        let groups: Vec<Value> = known
            .take(max_groups)
            .map(|at| {
                let plan = tracker.plan(at).filter(|plan| !plan.ended());
                serde_json::json!({
                    "group": host.groups.id(at),
                    "phase": tracker.phase(at).name(),
                    "term": tracker.term(at),
                    "primary": tracker.primary(at).map(|member| host.ids.id(member)),
                    "waiting": self.router.waiting_in(at),
                    "plan": plan.map(|plan| format!("{:?}: {:?}", plan.reason, plan.step)),
                })
            })
            .collect();
        serde_json::json!({ "groups": groups, "known": host.groups.len(), "waiting": self.router.waiting() })
    }

    /// Orders a planned change of a group's primary, or cancels it.
    fn change_primary(
        &mut self,
        now: Duration,
        group: u64,
        successor: Option<&str>,
        cancel: bool,
    ) -> Result<String, String> {
        let at = self.host.groups.known(&group).ok_or_else(|| format!("no list has named group {group}"))?;
        if cancel {
            let cancel = self.router.cancel_primary_change(now, at, &mut self.host);
            return cancel
                .then(|| "called off".to_owned())
                .ok_or_else(|| "no change is under way".to_owned());
        }
        let member = |name: &str| {
            self.host.ids.known(name).ok_or_else(|| format!("no list has named member {name:?}"))
        };
        let successor = successor.map(member).transpose()?;
        let plan = self.router.order_primary_change(now, at, successor, &mut self.host)?;
        Ok(format!("{:?}: {:?}", plan.reason, plan.step))
    }

    /// Applies a full or partial server list, at a cost proportional to its entries.
    pub fn apply_list(&mut self, now: Duration, list: &ServerList) {
        self.host.counters.lists.add();
        let (mut named, mut changed) = (Vec::with_capacity(list.servers.len()), Vec::new());
        for entry in &list.servers {
            let (member, has_changed) = self.apply_entry(now, entry, list.full);
            named.push(member);
            changed.extend(has_changed.then_some(member));
        }
        let gone = if list.full { self.host.servers.remove_unnamed(&named) } else { Vec::new() };
        gone.iter().for_each(|member| self.host.send_to_member(*member, MemberMessage::Removed));
        changed.extend(gone);
        self.list_in_force(list.version, &changed);
        self.router.list_completed(now, list.full.then_some(&named), &mut self.host);
    }

    /// Applies one entry, notifies the member's actor if it has one, and returns the member's index and whether the entry
    /// has changed anything. In a full list, unchanged entries are not reported to the router.
    fn apply_entry(&mut self, now: Duration, entry: &ServerEntry, full: bool) -> (usize, bool) {
        let member = self.host.ids.known(&entry.id).unwrap_or_else(|| self.host.ids.index(entry.id.clone()));
        let group = self.host.groups.index(entry.group);
        let zone = self.zones.known(&entry.zone).unwrap_or_else(|| self.zones.index(entry.zone.clone()));
        let server = KnownServer::from_entry(entry, group, zone);
        let update = self.host.servers.update(member, server);
        if member == self.host.members.len() {
            self.host.members.push(None);
        }
        if update.changed {
            self.name_member(member);
        }
        if update.moved {
            self.host.send_to_member(member, MemberMessage::Address(server.address));
        }
        if server.state == ServerState::Removed {
            self.host.send_to_member(member, MemberMessage::Removed);
        } else if update.state_changed {
            self.host.send_to_member(member, MemberMessage::Relisted);
        }
        if update.changed || !full {
            self.report_listed(now, member, &server);
        }
        (member, update.changed)
    }

    /// Reports a server and its state to the router.
    fn report_listed(&mut self, now: Duration, member: usize, server: &KnownServer) {
        // A server that has just started must not seem older than it is.
        let ahead = self.host.clock.ahead().as_micros() as i64;
        let unix = self.host.origin.start + now.as_micros() as i64 - ahead;
        let state = match server.state {
            ServerState::Up => ListedState::Up,
            ServerState::Draining => ListedState::Draining,
            ServerState::Removed => ListedState::Removed,
        };
        let start = server
            .started_ms
            .map(|told| ListedStart { told, up_for: span(unix.saturating_sub(told.saturating_mul(1000))) });
        self.router.member_listed(now, member, server.group, server.zone, state, server.leader, start);
    }

    /// Starts the probes that the rate limit allows, first those that requests wait for.
    fn start_probes(&mut self) {
        let now = self.host.clock.now();
        for member in std::mem::take(&mut self.host.wanted_probes) {
            // The router counts the probe of a forgotten member as out, so it needs an answer.
            let Some(group) = self.host.servers.get(member).map(|server| server.group) else {
                let (outcome, report) = (AttemptOutcome::Moot, Report::default());
                let _ = self.host.dispatcher.send(DispatcherMessage::Probed { member, outcome, report });
                continue;
            };
            self.host.probes.request(now, member, group, self.router.waiting_in(group) > 0);
        }
        while let Some(member) = self.host.probes.next(now) {
            self.host.counters.probes.add();
            self.host.send_to_member(member, MemberMessage::Job(Job::Probe { at: now }));
        }
        let Some(due) = self.host.probes.next_at() else { return };
        if self.host.probes_due.is_none_or(|at| due < at) {
            self.host.probes_due = Some(due);
            let dispatcher = self.host.dispatcher.clone();
            self.host.clock.run_at(due, move || {
                let _ = dispatcher.send(DispatcherMessage::ProbesDue);
            });
        }
    }

    /// Health observations name members by their ids in the server list, which all fronts share.
    fn name_member(&mut self, member: usize) {
        let id = self.host.ids.id(member);
        self.host.observer.iter_mut().for_each(|observer| observer.set_member(member, id));
    }
}
