//! What the router wants done, carried out: jobs and cancels for servers' actors, answers for clients, alarms, probes, and
//! the requests that are open.

use crate::clock::{Clock, TimerHandle};
use crate::counters::Counters;
use crate::messages::{Answer, Arrival, DiscoveryMessage, DispatcherMessage, Job, MemberMessage, Submit};
use crate::request_log::{RequestEvent, RequestLog};
use juniperdock_deployment::{Indices, Origin, span};
use juniperdock_fleet_tasks::{HealthObserver, Observation};
use juniperdock_primary_tracker::{ChangeReason, Step};
use juniperdock_request_guard::AttemptPermit;
use juniperdock_router::host::{Change, Host, Report, Role};
use juniperdock_server_list::{ProbeQueue, ServerTable};
use may::sync::mpsc::{Sender, channel};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::SpawnMember;

pub(super) struct OpenRequest {
    pub(super) arrival: Box<Arrival>,
    pub(super) answered: bool,
    /// The attempt that is out: its server, and whether it may still be written.
    pub(super) in_flight: Option<(usize, AttemptPermit)>,
    /// Whether any attempt was ever made.
    pub(super) attempted: bool,
    /// Reminders of it that have not been due.
    pub(super) timers: Vec<TimerHandle>,
}

/// Carries out what the router wants done.
pub(super) struct RouterHost {
    pub(super) txns: Vec<Option<OpenRequest>>,
    /// Those whose submission may not have been written yet.
    pub(super) unwritten: Vec<usize>,
    pub(super) by_request_id: HashMap<u64, usize>,
    pub(super) free: Vec<usize>,
    pub(super) ids: Indices<String>,
    /// What lists last said of each member, and its actor, while it has connections.
    pub(super) servers: ServerTable,
    pub(super) members: Vec<Option<Sender<MemberMessage>>>,
    /// Groups by the numbers that the list gives them.
    pub(super) groups: Indices<u64>,
    pub(super) spawn_member: SpawnMember,
    pub(super) log: slog::Logger,
    pub(super) request_log: RequestLog,
    pub(super) clock: Clock,
    /// Where positions lie, as of the mail that is being taken: the clock's own may be ahead of what lies in the mailbox.
    pub(super) origin: Origin,
    pub(super) dispatcher: Sender<DispatcherMessage>,
    pub(super) discovery: Sender<DiscoveryMessage>,
    /// Probes that the router wants, until they may start.
    pub(super) wanted_probes: Vec<usize>,
    pub(super) probes: ProbeQueue,
    /// When the next probe may start, if that is waited for.
    pub(super) probes_due: Option<Duration>,
    pub(super) counters: Arc<Counters>,
    /// Members are asked by a few fronts for all.
    pub(super) observer: Option<HealthObserver>,
}

impl RouterHost {
    /// Now, since 1970.
    pub(super) fn unix(&self, now: Duration) -> Duration {
        span(self.origin.start) + now
    }

    /// What was told of a member, in place of a report that it makes now. A position from before this process's
    /// start can't be said here.
    pub(super) fn peer_report(&self, now: Duration, member: usize) -> Option<Report> {
        let observation = self.observer.as_ref()?.fresh_observation(now, self.unix(now), member)?;
        let position = Some(observation.position.checked_sub(span(self.origin.start))?);
        let role = observation.primary.map(|primary| if primary { Role::Primary } else { Role::Replica });
        let (queue, busy) =
            (observation.queue.map(f64::from), observation.busy.map(|busy| f64::from(busy) / 100.0));
        Some(Report { position, role, queue, busy })
    }

    /// What a member has said, as other fronts are told it.
    pub(super) fn observation(&self, report: Report) -> Option<Observation> {
        Some(Observation {
            position: span(self.origin.start) + report.position?,
            primary: report.role.map(|role| role == Role::Primary),
            queue: report.queue.map(|queue| queue.clamp(0.0, f64::from(u16::MAX)) as u16),
            busy: report.busy.map(|busy| (busy * 100.0).clamp(0.0, 255.0) as u8),
        })
    }

    pub(super) fn answer(&mut self, txn: usize, answer: Answer) {
        let Some(request) = self.txns[txn].as_mut().filter(|request| !request.answered) else { return };
        request.answered = true;
        request.arrival.client.post((request.arrival.request_id, answer));
    }

    /// A member's actor ends with its last connection; a job starts another.
    pub(super) fn send_to_member(&mut self, member: usize, message: MemberMessage) {
        let unsent = match &self.members[member] {
            Some(actor) => actor.send(message).err().map(|unsent| unsent.0),
            None => Some(message),
        };
        if unsent.is_some() {
            // With its mailbox goes the last of it.
            self.members[member] = None;
        }
        let Some(first @ (MemberMessage::Job(_) | MemberMessage::Adopt(_))) = unsent else { return };
        let (sender, receiver) = channel();
        self.members[member] = Some(sender.clone());
        let unknown_address = SocketAddr::from(([0; 4], 0));
        let address = self.servers.get(member).map_or(unknown_address, |server| server.address);
        if let Err(why) = (self.spawn_member)(member, address, receiver, sender.clone()) {
            slog::error!(self.log, "a member has no actor"; "why" => why);
        }
        let _ = sender.send(first);
    }

    /// Takes a txn out of what is in hand; nothing comes due or is written for it any more.
    pub(super) fn remove_request(&mut self, txn: usize) -> Option<OpenRequest> {
        let request = self.txns[txn].take()?;
        // The router may have been lost in a panic: nothing is written for what has its answer.
        request.in_flight.iter().for_each(|(_, permit)| permit.set_valid_until(Duration::ZERO));
        request.timers.iter().for_each(|timer| self.clock.cancel(timer));
        self.by_request_id.remove(&request.arrival.request_id);
        self.free.push(txn);
        Some(request)
    }

    /// Takes out all that have neither an answer nor ever had an attempt: they certainly have not run.
    pub(super) fn remove_unattempted(&mut self) -> Vec<OpenRequest> {
        let is_waiting = |request: &Option<OpenRequest>| {
            request.as_ref().is_some_and(|request| !request.answered && !request.attempted)
        };
        let waiting: Vec<usize> = (0..self.txns.len()).filter(|&txn| is_waiting(&self.txns[txn])).collect();
        waiting.into_iter().filter_map(|txn| self.remove_request(txn)).collect()
    }
}

impl Host for RouterHost {
    fn send(&mut self, txn: usize, member: usize, until: Duration) {
        let at = self.clock.now();
        let Some(request) = self.txns[txn].as_mut() else { return };
        let event = RequestEvent::Assigned { server: member, valid_until: until };
        self.request_log.request(request.arrival.request_id, event);
        let permit = request.arrival.guard.permit(until);
        self.unwritten.push(txn);
        request.in_flight = Some((member, permit.clone()));
        request.attempted = true;
        let Arrival { request_id, expiry, .. } = *request.arrival;
        let (statement, left) = (request.arrival.statement.clone(), request.arrival.left.clone());
        let submit = Submit { request_id, statement, left, deadline: expiry, permit, at };
        self.counters.submitted.add();
        self.send_to_member(member, MemberMessage::Job(Job::Submit(submit)));
    }

    fn cancel(&mut self, txn: usize, _submission: u32) {
        // One submission of a txn is out at a time: the one last sent.
        if let Some(OpenRequest { arrival, in_flight: Some((member, _)), .. }) = &self.txns[txn] {
            let (member, request_id) = (*member, arrival.request_id);
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
        // Those of a txn end with it: its index is used again.
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
