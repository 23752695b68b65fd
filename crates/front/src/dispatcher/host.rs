//! Carries out the router's effects: jobs and cancellations for members' actors, answers for clients, timers and
//! probes. It also keeps the requests that are open.

use crate::clock::{Clock, TimerHandle};
use crate::counters::Counters;
use crate::messages::{
    Answer, Arrival, AttemptEnd, DiscoveryMessage, DispatcherMessage, Job, MemberMessage, Submit,
};
use crate::request_log::{RequestEvent, RequestLog};
use crate::runtime_state::RuntimeState;
use juniperdock_deployment::{Indices, Origin, span};
use juniperdock_fleet_tasks::{HealthObserver, Observation};
use juniperdock_primary_tracker::{ChangeReason, Step};
use juniperdock_request_guard::{AttemptPermit, WriteProgress};
use juniperdock_router::host::{AttemptOutcome, Change, Host, Report, Role};
use juniperdock_server_list::{ProbeQueue, ServerTable};
use may::sync::mpsc::{Sender, channel};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::SpawnMember;

/// An attempt in flight.
pub(super) struct Attempt {
    pub(super) member: usize,
    /// Says whether it may still be written, or arrive.
    pub(super) permit: AttemptPermit,
    /// Its connection has reported that not all of it has arrived some time after it was begun.
    pub(super) in_transit: bool,
}

impl Attempt {
    /// Whether what arrives here may still change until when its permit is valid.
    pub(super) fn is_revocable(&self) -> bool {
        match self.permit.progress() {
            WriteProgress::NotBegun => true,
            WriteProgress::Partial | WriteProgress::HandedOver => self.in_transit,
            WriteProgress::Settled => false,
        }
    }
}

/// A request that the router has and that is not released yet.
pub(super) struct OpenRequest {
    pub(super) arrival: Box<Arrival>,
    pub(super) answered: bool,
    pub(super) in_flight: Option<Attempt>,
    /// Whether any attempt was ever made.
    pub(super) attempted: bool,
    /// Timers of this request that have not fired.
    pub(super) timers: Vec<TimerHandle>,
}

/// The router's view of the rest of the process.
pub(super) struct RouterHost {
    pub(super) txns: Vec<Option<OpenRequest>>,
    /// Txns whose attempt may not have been written yet, or is in transit.
    pub(super) revocable: Vec<usize>,
    /// Indices into `txns`.
    pub(super) by_request_id: HashMap<u64, usize>,
    /// Free indices in `txns`.
    pub(super) free: Vec<usize>,
    /// Members by their ids in the server list.
    pub(super) ids: Indices<String>,
    /// The latest list entry of each member, and the queue of its actor while it has one.
    pub(super) servers: ServerTable,
    pub(super) members: Vec<Option<Sender<MemberMessage>>>,
    /// Groups by their numbers in the server list.
    pub(super) groups: Indices<u64>,
    pub(super) spawn_member: SpawnMember,
    pub(super) log: slog::Logger,
    pub(super) request_log: RequestLog,
    pub(super) clock: Clock,
    /// The clock's origin as of the message that is being handled: the clock's own may be ahead of messages that
    /// still lie in the queue.
    pub(super) origin: Origin,
    pub(super) dispatcher: Sender<DispatcherMessage>,
    pub(super) discovery: Sender<DiscoveryMessage>,
    /// Probes that the router asked for and that have not started.
    pub(super) wanted_probes: Vec<usize>,
    pub(super) probes: ProbeQueue,
    /// When the timer for the next probe fires, if one is set.
    pub(super) probes_due: Option<Duration>,
    pub(super) counters: Arc<Counters>,
    /// Health observation that is shared among the fronts, if it is on: a few fronts probe each member on behalf of
    /// all.
    pub(super) observer: Option<HealthObserver>,
    /// Tells the other processes of this front what is put in force here.
    pub(super) runtime_state: Arc<RuntimeState>,
}

impl RouterHost {
    /// The current time since 1970.
    pub(super) fn unix(&self, now: Duration) -> Duration {
        span(self.origin.start) + now
    }

    /// A recent observation of a member by another front, in place of a probe. A position from before this process's
    /// start can't be expressed here.
    pub(super) fn peer_report(&self, now: Duration, member: usize) -> Option<Report> {
        let observation = self.observer.as_ref()?.fresh_observation(now, self.unix(now), member)?;
        let position = Some(observation.position.checked_sub(span(self.origin.start))?);
        let role = observation.primary.map(|primary| if primary { Role::Primary } else { Role::Replica });
        let (queue, busy) =
            (observation.queue.map(f64::from), observation.busy.map(|busy| f64::from(busy) / 100.0));
        Some(Report { position, role, queue, busy })
    }

    /// A member's report in the form in which other fronts get it.
    pub(super) fn observation(&self, report: Report) -> Option<Observation> {
        Some(Observation {
            position: span(self.origin.start) + report.position?,
            primary: report.role.map(|role| role == Role::Primary),
            queue: report.queue.map(|queue| queue.clamp(0.0, f64::from(u16::MAX)) as u16),
            busy: report.busy.map(|busy| (busy * 100.0).clamp(0.0, 255.0) as u8),
        })
    }

    /// Answers a request, unless it has its answer already.
    pub(super) fn answer(&mut self, txn: usize, answer: Answer) {
        let Some(request) = self.txns[txn].as_mut().filter(|request| !request.answered) else { return };
        request.answered = true;
        request.arrival.client.post((request.arrival.request_id, answer));
    }

    /// Sends to a member's actor. An actor ends with its last connection; a job starts a new one.
    pub(super) fn send_to_member(&mut self, member: usize, message: MemberMessage) {
        let unsent = match &self.members[member] {
            Some(actor) => actor.send(message).err().map(|unsent| unsent.0),
            None => Some(message),
        };
        if unsent.is_some() {
            // Dropping the last sender lets the actor's queue go.
            self.members[member] = None;
        }
        let Some(first @ (MemberMessage::Job(_) | MemberMessage::Adopt(_))) = unsent else { return };
        let (sender, receiver) = channel();
        self.members[member] = Some(sender.clone());
        let unknown_address = SocketAddr::from(([0; 4], 0));
        let address = self.servers.get(member).map_or(unknown_address, |server| server.address);
        if let Err(why) = (self.spawn_member)(member, address, receiver, sender.clone()) {
            slog::error!(self.log, "the actor of a member can't be started"; "why" => why);
            self.members[member] = None;
            if let MemberMessage::Job(job) = first {
                self.report_unsent(member, &job);
            }
            return;
        }
        let _ = sender.send(first);
    }

    /// Reports a job that no actor could take, as if the member had no connection left.
    fn report_unsent(&self, member: usize, job: &Job) {
        let (outcome, report) = (AttemptOutcome::Full, Report::default());
        let message = match job {
            Job::Submit(submit) => DispatcherMessage::AttemptEnded(Box::new(AttemptEnd::unsent(
                submit,
                member,
                outcome,
                self.clock.now(),
            ))),
            Job::Probe { .. } => DispatcherMessage::Probed { member, outcome, report },
        };
        let _ = self.dispatcher.send(message);
    }

    /// Removes a request: its timers are cancelled, and nothing is written for it any more.
    pub(super) fn remove_request(&mut self, txn: usize) -> Option<OpenRequest> {
        let request = self.txns[txn].take()?;
        // After a panic of the router, nothing may be written for a request that has its answer.
        request.in_flight.iter().for_each(|attempt| attempt.permit.set_valid_until(Duration::ZERO));
        request.timers.iter().for_each(|timer| self.clock.cancel(timer));
        self.by_request_id.remove(&request.arrival.request_id);
        self.free.push(txn);
        Some(request)
    }

    /// Removes all requests that have neither an answer nor ever had an attempt: they certainly have not run.
    pub(super) fn remove_unattempted(&mut self) -> Vec<OpenRequest> {
        let is_waiting = |request: &Option<OpenRequest>| {
            request.as_ref().is_some_and(|request| !request.answered && !request.attempted)
        };
        let waiting: Vec<usize> = (0..self.txns.len()).filter(|&txn| is_waiting(&self.txns[txn])).collect();
        waiting.into_iter().filter_map(|txn| self.remove_request(txn)).collect()
    }
}

impl RouterHost {
    /// The attempt of a request has not arrived some time after it was begun: its permit follows what arrives here.
    pub(super) fn attempt_in_transit(&mut self, request_id: u64) {
        let Some(&txn) = self.by_request_id.get(&request_id) else { return };
        let Some(OpenRequest { in_flight: Some(attempt), .. }) = &mut self.txns[txn] else { return };
        if !std::mem::replace(&mut attempt.in_transit, true) {
            self.revocable.push(txn);
        }
    }
}

impl Host for RouterHost {
    fn send(&mut self, txn: usize, member: usize, until: Duration) {
        let at = self.clock.now();
        let Some(request) = self.txns[txn].as_mut() else { return };
        let event = RequestEvent::Assigned { server: member, valid_until: until };
        self.request_log.request(request.arrival.request_id, event);
        let permit = request.arrival.guard.permit(until);
        self.revocable.push(txn);
        request.in_flight = Some(Attempt { member, permit: permit.clone(), in_transit: false });
        request.attempted = true;
        let Arrival { request_id, expiry, .. } = *request.arrival;
        let (statement, left) = (request.arrival.statement.clone(), request.arrival.left.clone());
        let submit = Submit { request_id, statement, left, deadline: expiry, permit, at };
        self.counters.submitted.add();
        self.send_to_member(member, MemberMessage::Job(Job::Submit(Box::new(submit))));
    }

    fn cancel(&mut self, txn: usize, _submission: u32) {
        // A txn has one attempt in flight at a time, the last one sent.
        if let Some(OpenRequest { arrival, in_flight: Some(attempt), .. }) = &self.txns[txn] {
            let (member, request_id) = (attempt.member, arrival.request_id);
            self.send_to_member(member, MemberMessage::Cancel(request_id));
        }
    }

    fn decline(&mut self, txn: usize, retry_after: Option<Duration>) {
        self.answer(txn, Answer::Declined(retry_after));
    }

    fn answer_unknown(&mut self, txn: usize) {
        self.answer(txn, Answer::Unknown("given up; it may have run"));
    }

    fn release_txn(&mut self, txn: usize) {
        self.remove_request(txn);
    }

    fn release_member(&mut self, member: usize) {
        self.counters.members_forgotten.add();
        self.observer.iter_mut().for_each(|observer| observer.remove_member(member));
        self.send_to_member(member, MemberMessage::Removed);
        self.members[member] = None;
        self.servers.forget(member);
        self.ids.forget(member);
    }

    fn probe(&mut self, member: usize) {
        if let Some(report) = self.peer_report(self.clock.now(), member) {
            self.counters.probes_spared.add();
            let _ = self.dispatcher.send(DispatcherMessage::PeerReport { member, report });
            return;
        }
        self.wanted_probes.push(member);
    }

    fn set_timer(&mut self, at: Duration, handle: u64) {
        let dispatcher = self.dispatcher.clone();
        self.counters.reminders.add();
        let timer = self.clock.run_at(at, move || {
            let _ = dispatcher.send(DispatcherMessage::TimerDue { handle, at });
        });
        // Timers of a txn have odd handles, and are cancelled with it because its index is used again.
        let txn = Some((handle / 2) as usize).filter(|_| !handle.is_multiple_of(2));
        if let Some(Some(request)) = txn.and_then(|txn| self.txns.get_mut(txn)) {
            request.timers.push(timer);
        }
    }

    fn subscribe_to_member_list(&mut self) {
        let _ = self.discovery.send(DiscoveryMessage::OpenWatch);
    }

    fn primary_changed(&mut self, change: &Change) {
        let counters = &self.counters;
        let name = |member: Option<usize>| member.map_or("-", |member| self.ids.id(member).as_str());
        let vacant_ms = change.leaderless_for.map(|span| span.as_millis() as u64);
        match change.why {
            ChangeReason::Planned => {
                counters.plans.add_if(change.plan.is_some_and(|plan| !plan.ended()));
                counters
                    .plans_undone
                    .add_if(change.plan.is_some_and(|plan| matches!(plan.step, Step::Undone(_))));
            }
            _ if change.to.is_none() => counters.vacancies.add(),
            _ => {
                counters.primary_changes.add();
                counters.vacant_most_ms.record_max(vacant_ms.unwrap_or(0));
            }
        }
        slog::info!(self.log, "primary";
            "group" => self.groups.id(change.group), "term" => change.term, "from" => name(change.from),
            "to" => name(change.to), "why" => ?change.why, "vacant_ms" => vacant_ms,
            "plan" => change.plan.map(|plan| format!("{:?} {:?}", plan.reason, plan.step)));
    }
}
