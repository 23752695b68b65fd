//! The desk owns the router and its reminders. All inputs come through its mailbox, in order; what the router
//! has done goes out to the actors' mailboxes. Nothing is chosen here.

use crate::clock::{Alarm, Clock, PULSE};
use crate::counters::Counters;
use crate::keep::machine_time;
use crate::mail::{Answer, Arrival, End, Job, Submit, ToDesk, ToDiscovery, ToFellows, ToMember};
use crate::request_log::{RequestEvent, RequestLog};
use crate::worker_watch::WorkerWatch;
use juniperdock_door::{Indices, Origin, span};
use juniperdock_duties as duties;
use juniperdock_duties::{Care, Fact};
use juniperdock_held::Most;
use juniperdock_request_guard::{AttemptPermit, Withheld};
use juniperdock_router::host::{Change, Ending, Host, Listed, Phase, Report, Role};
use juniperdock_router::kept::KeptMember;
use juniperdock_router::routing::Router;
use juniperdock_server_list::{KnownServer, ProbeQueue, ServerEntry, ServerList, ServerState, ServerTable};
use juniperdock_snapshot::{Memory, OfGroup, OfMember, OfType, Worth};
use juniperdock_tenure::{GAP, KeptGroup, KeptSeat, Step, Vacancies, Why};
use may::sync::mpsc::{Receiver, Sender, channel};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Duration;

struct Held {
    arrival: Box<Arrival>,
    answered: bool,
    /// The attempt that is out: its server, and whether it may still be written.
    out: Option<(usize, AttemptPermit)>,
    /// Whether any attempt was ever made.
    submitted: bool,
    /// Reminders of it that have not been due.
    alarms: Vec<Alarm>,
}

/// Servers are told again when the time is found to be off by so much more, or less.
const MIN_CLOCK_CHANGE: Duration = Duration::from_millis(500);

/// The least that one time is later than another.
const LATER: Duration = Duration::from_micros(1);

/// Carries out what the router wants done.
struct Hands {
    txns: Vec<Option<Held>>,
    /// Those whose submission may not have been written yet.
    unwritten: Vec<usize>,
    tickets: HashMap<u64, usize>,
    free: Vec<usize>,
    ids: Indices<String>,
    /// What lists last said of each member, and its actor, while it has connections.
    servers: ServerTable,
    members: Vec<Option<Sender<ToMember>>>,
    /// Groups by the numbers that the list gives them.
    cells: Indices<u64>,
    hire: Hire,
    log: slog::Logger,
    request_log: RequestLog,
    clock: Clock,
    /// Where positions lie, as of the mail that is being taken: the clock's own may be ahead of what lies in the mailbox.
    origin: Origin,
    desk: Sender<ToDesk>,
    discovery: Sender<ToDiscovery>,
    /// Probes that the router wants, until they may start.
    wanted_probes: Vec<usize>,
    probes: ProbeQueue,
    /// When the next probe may start, if that is waited for.
    probes_due: Option<Duration>,
    counters: Arc<Counters>,
    /// Members are asked by a few fronts for all.
    care: Option<Care>,
}

impl Hands {
    /// Now, since 1970.
    fn unix(&self, now: Duration) -> Duration {
        span(self.origin.start) + now
    }

    /// What was told of a member, in place of a report that it makes now. A position from before this process's
    /// start can't be said here.
    fn instead(&self, now: Duration, member: usize) -> Option<Report> {
        let fact = self.care.as_ref()?.instead(now, self.unix(now), member)?;
        let position = Some(fact.position.checked_sub(span(self.origin.start))?);
        let role = fact.primary.map(|primary| if primary { Role::Primary } else { Role::Replica });
        let (queue, busy) = (fact.queue.map(f64::from), fact.busy.map(|busy| f64::from(busy) / 100.0));
        Some(Report { position, role, queue, busy })
    }

    /// What a member has said, as other fronts are told it.
    fn fact(&self, report: Report) -> Option<Fact> {
        Some(Fact {
            position: span(self.origin.start) + report.position?,
            primary: report.role.map(|role| role == Role::Primary),
            queue: report.queue.map(|queue| queue.clamp(0.0, f64::from(u16::MAX)) as u16),
            busy: report.busy.map(|busy| (busy * 100.0).clamp(0.0, 255.0) as u8),
        })
    }

    fn answer(&mut self, txn: usize, answer: Answer) {
        let Some(held) = self.txns[txn].as_mut().filter(|held| !held.answered) else { return };
        held.answered = true;
        held.arrival.client.post((held.arrival.ticket, answer));
    }

    /// A member's actor ends with its last connection; a job starts another.
    fn tell(&mut self, member: usize, mail: ToMember) {
        let unsent = match &self.members[member] {
            Some(actor) => actor.send(mail).err().map(|unsent| unsent.0),
            None => Some(mail),
        };
        if unsent.is_some() {
            // With its mailbox goes the last of it.
            self.members[member] = None;
        }
        let Some(first @ (ToMember::Job(_) | ToMember::Took(_))) = unsent else { return };
        let (mail, read) = channel();
        self.members[member] = Some(mail.clone());
        let nowhere = SocketAddr::from(([0; 4], 0));
        let address = self.servers.get(member).map_or(nowhere, |server| server.address);
        if let Err(why) = (self.hire)(member, address, read, mail.clone()) {
            slog::error!(self.log, "a member has no actor"; "why" => why);
        }
        let _ = mail.send(first);
    }
}

impl Hands {
    /// Takes a txn out of what is in hand; nothing comes due or is written for it any more.
    fn take(&mut self, txn: usize) -> Option<Held> {
        let held = self.txns[txn].take()?;
        // The router may have been lost in a panic: nothing is written for what has its answer.
        held.out.iter().for_each(|(_, permit)| permit.hold_until(Duration::ZERO));
        held.alarms.iter().for_each(|alarm| self.clock.cancel(alarm));
        self.tickets.remove(&held.arrival.ticket);
        self.free.push(txn);
        Some(held)
    }

    /// Takes out all that have neither an answer nor ever had an attempt: they certainly have not run.
    fn take_waiting(&mut self) -> Vec<Held> {
        let waits = |held: &Option<Held>| held.as_ref().is_some_and(|held| !held.answered && !held.submitted);
        let waiting: Vec<usize> = (0..self.txns.len()).filter(|&txn| waits(&self.txns[txn])).collect();
        waiting.into_iter().filter_map(|txn| self.take(txn)).collect()
    }
}

impl Host for Hands {
    fn send(&mut self, txn: usize, member: usize, until: Duration) {
        let at = self.clock.now();
        let Some(held) = self.txns[txn].as_mut() else { return };
        let event = RequestEvent::Assigned { server: member, valid_until: until };
        self.request_log.request(held.arrival.ticket, event);
        let permit = held.arrival.guard.permit(until);
        self.unwritten.push(txn);
        held.out = Some((member, permit.clone()));
        held.submitted = true;
        let Arrival { ticket, expiry, .. } = *held.arrival;
        let (statement, left) = (held.arrival.statement.clone(), held.arrival.left.clone());
        let submit = Submit { ticket, statement, left, give_up: expiry, permit, at };
        self.counters.submitted.add();
        self.tell(member, ToMember::Job(Job::Submit(submit)));
    }

    fn cancel(&mut self, txn: usize, _submission: u32) {
        // One submission of a txn is out at a time: the one last sent.
        if let Some(Held { arrival, out: Some((member, _)), .. }) = &self.txns[txn] {
            let (member, ticket) = (*member, arrival.ticket);
            self.tell(member, ToMember::Cancel(ticket));
        }
    }

    fn decline(&mut self, txn: usize, come_back: Option<Duration>) {
        self.answer(txn, Answer::Declined(come_back));
    }

    fn unknown(&mut self, txn: usize) {
        self.answer(txn, Answer::Unknown("given up; it may have run"));
    }

    fn release(&mut self, txn: usize) {
        self.take(txn);
    }

    fn forget(&mut self, member: usize) {
        self.counters.members_forgotten.add();
        self.care.iter_mut().for_each(|care| care.left(member));
        self.tell(member, ToMember::Leave);
        self.members[member] = None;
        self.servers.forget(member);
        self.ids.forget(member);
    }

    fn probe(&mut self, member: usize) {
        if let Some(report) = self.instead(self.clock.now(), member) {
            self.counters.probes_spared.add();
            let _ = self.desk.send(ToDesk::Instead { member, report });
            return;
        }
        self.wanted_probes.push(member);
    }

    fn remind(&mut self, at: Duration, handle: u64) {
        let desk = self.desk.clone();
        self.counters.reminders.add();
        let alarm = self.clock.at(at, move || {
            let _ = desk.send(ToDesk::Due { handle, at });
        });
        // Those of a txn end with it: its index is used again.
        let txn = Some((handle / 2) as usize).filter(|_| !handle.is_multiple_of(2));
        if let Some(Some(held)) = txn.and_then(|txn| self.txns.get_mut(txn)) {
            held.alarms.push(alarm);
        }
    }

    fn listen(&mut self) {
        let _ = self.discovery.send(ToDiscovery::Open);
    }

    fn primary_changed(&mut self, change: &Change) {
        let counters = &self.counters;
        let name = |member: Option<usize>| member.map_or("-", |member| self.ids.id(member).as_str());
        let vacant_ms = change.vacant_for.map(|span| span.as_millis() as u64);
        match change.why {
            Why::Planned => {
                counters.plans.add_if(change.plan.is_some_and(|plan| !plan.ended()));
                counters
                    .plans_undone
                    .add_if(change.plan.is_some_and(|plan| matches!(plan.step, Step::Undone(_))));
            }
            _ if change.to.is_none() => counters.vacancies.add(),
            _ => {
                counters.primary_changes.add();
                counters.vacant_most_ms.at_least(vacant_ms.unwrap_or(0));
            }
        }
        slog::info!(self.log, "primary";
            "group" => self.cells.id(change.group), "term" => change.term, "from" => name(change.from),
            "to" => name(change.to), "why" => ?change.why, "vacant_ms" => vacant_ms,
            "plan" => change.plan.map(|plan| format!("{:?} {:?}", plan.reason, plan.step)));
    }
}

/// What the desk needs to start the actor of a member.
pub type Hire =
    Box<dyn Fn(usize, SocketAddr, Receiver<ToMember>, Sender<ToMember>) -> Result<(), String> + Send>;

/// Makes a router that knows nothing yet.
pub type Make = Box<dyn Fn() -> Result<Router, String> + Send>;

pub struct Desk {
    router: Router,
    make: Make,
    hands: Hands,
    zones: Indices<String>,
    /// The txn types by name.
    kinds: Vec<String>,
    held: Option<(Most, f64)>,
    /// Posts to the actor that speaks with the other fronts.
    circle: Option<Box<dyn Fn(ToFellows) + Send>>,
    /// How far ahead this process's time was when the servers were listed.
    listed_ahead: Duration,
    /// Groups whose change was ordered of all fronts, by which order, and what was last told of it.
    watched: Vec<(u64, u64, duties::Step)>,
    log: slog::Logger,
}

impl Desk {
    pub fn new(
        make: Make,
        kinds: Vec<String>,
        zones: Vec<String>,
        clock: Clock,
        desk: Sender<ToDesk>,
        discovery: Sender<ToDiscovery>,
        hire: Hire,
        probes: ProbeQueue,
        counters: Arc<Counters>,
        log: slog::Logger,
        request_log: RequestLog,
    ) -> Result<Desk, String> {
        let mut known = Indices::default();
        zones.into_iter().for_each(|zone| {
            known.index(zone);
        });
        let (txns, tickets, free, members) = (Vec::new(), HashMap::new(), Vec::new(), Vec::new());
        let (ids, its_log) = (Indices::default(), log.clone());
        let hands = Hands {
            txns,
            unwritten: Vec::new(),
            tickets,
            free,
            ids,
            servers: ServerTable::default(),
            members,
            cells: Indices::default(),
            hire,
            log: its_log,
            request_log,
            origin: clock.origin(),
            clock,
            desk,
            discovery,
            wanted_probes: Vec::new(),
            probes,
            probes_due: None,
            counters,
            care: None,
        };
        let (circle, watched) = (None, Vec::new());
        Ok(Desk {
            router: make()?,
            make,
            hands,
            zones: known,
            kinds,
            held: None,
            circle,
            listed_ahead: Duration::ZERO,
            watched,
            log,
        })
    }

    pub fn run(mut self, mail: &Receiver<ToDesk>) {
        // Of the thread that this coroutine runs on.
        let mut worker = WorkerWatch::new(self.hands.request_log.is_enabled());
        while let Ok(mail) = mail.recv() {
            if let ToDesk::Beat { posted } = mail {
                self.beat(posted, &mut worker);
                continue;
            }
            self.hands.clock.pulse();
            if catch_unwind(AssertUnwindSafe(|| self.take(mail))).is_err() {
                self.hands.counters.panics.add();
                if let Err(why) = self.start_anew() {
                    slog::crit!(self.log, "the desk can't go on"; "why" => why);
                    std::process::exit(1);
                }
            }
            self.start_probes();
            self.refresh();
            self.watch();
        }
    }

    /// The worker runs; where it did not for a while, that is counted, and whether it slept.
    fn beat(&mut self, posted: Duration, worker: &mut WorkerWatch) {
        let Hands { clock, counters, request_log, .. } = &self.hands;
        clock.note_beat();
        if let Some(spell) = clock.take_standstill() {
            counters.worker_standstills.add();
            request_log.held_up(spell);
        }
        if let Some(delay) = worker.beat(posted, clock.now()) {
            counters.worker_idle_delays.add_if(delay.is_idle());
            request_log.beat_delayed(delay);
        }
    }

    /// The front that has ordered a change of all hears how far it is here.
    fn watch(&mut self) {
        let Some(circle) = self.circle.as_ref().filter(|_| !self.watched.is_empty()) else { return };
        let (tenure, cells) = (self.router.tenure(), &self.hands.cells);
        self.watched.retain_mut(|(group, order, told)| {
            let plan = cells.known(group).and_then(|at| tenure.plan(at));
            let step = match plan.map(|plan| plan.step) {
                Some(Step::Emptying) => duties::Step::Emptying,
                Some(Step::Awaiting) => duties::Step::Awaiting,
                Some(Step::Done) => duties::Step::Done,
                Some(Step::Undone(_)) | None => duties::Step::Undone,
            };
            if std::mem::replace(told, step) != step {
                circle(ToFellows::Step { group: *group, order: *order, step });
            }
            plan.is_some_and(|plan| !plan.ended())
        });
    }

    /// A change that was ordered of all fronts begins here, or is called off. A new order takes the place of an
    /// earlier one whose owner was lost.
    fn plan(&mut self, now: Duration, group: u64, order: u64, successor: Option<&str>, off: bool) {
        let earlier = self.watched.iter().position(|(its, by, _)| *its == group && (*by != order) != off);
        if let Some(earlier) = earlier.filter(|_| !off) {
            self.watched.remove(earlier);
            let _ = self.change(now, group, None, true);
        }
        if off && earlier.is_none() {
            return;
        }
        match self.change(now, group, successor, off) {
            Ok(_) if !off => self.watched.push((group, order, duties::Step::Asked)),
            Ok(_) => {}
            Err(why) => {
                slog::info!(self.log, "a change for all fronts can't be had here"; "group" => group, "why" => why);
                let tells = self.circle.iter().filter(|_| !off);
                tells
                    .for_each(|circle| circle(ToFellows::Step { group, order, step: duties::Step::Refused }));
            }
        }
    }

    /// Members that this front asks for all are asked, and what they said is told.
    fn care(
        &mut self,
        now: Duration,
        whole: bool,
        present: usize,
        asks: [duties::Asks; duties::SHARDS as usize],
    ) {
        let rate = self.router.rate(now) * present as f64;
        let Some(care) = &mut self.hands.care else { return };
        care.sees(whole, asks, rate);
        let (every, due) = (care.every(), care.due(now));
        let parts: Vec<usize> = care.parts().map(|(shard, _)| shard).collect();
        let mut pieces = Vec::new();
        for shard in parts {
            pieces.extend(care.tell(shard).into_iter().map(|piece| (shard, piece)));
        }
        due.into_iter().for_each(|member| self.router.ask_one(now, member, &mut self.hands));
        if let Some(circle) = &self.circle {
            circle(ToFellows::Facts { every, pieces });
        }
    }

    /// What the router knew was dated by an origin that was behind: it would be taken for younger than it is. What waits
    /// without any attempt made is taken up by the new router, in its own time; the rest may have run.
    fn clock_advanced(&mut self, now: Duration, by: Duration) {
        self.hands.counters.clock_advanced.add();
        self.hands.origin.start += by.as_micros() as i64;
        slog::warn!(self.log, "the wall clock was behind the servers'"; "by_ms" => by.as_millis() as u64);
        let waiting = self.hands.take_waiting();
        if let Err(why) = self.start_anew() {
            slog::crit!(self.log, "the desk can't go on"; "why" => why);
            std::process::exit(1);
        }
        waiting.into_iter().for_each(|held| self.take_up(now, held.arrival));
    }

    /// After a panic nothing the router knew can be trusted: all in hand is rolled back, and a new router
    /// starts from the list as it stands.
    fn start_anew(&mut self) -> Result<(), String> {
        for txn in 0..self.hands.txns.len() {
            self.hands.answer(txn, Answer::Unknown("what was known is given up; it may have run"));
            self.hands.release(txn);
        }
        self.router = (self.make)()?;
        self.router.sessions_lost(self.hands.clock.now());
        self.hold();
        let now = self.hands.clock.now();
        let named = self.list_again(now);
        self.router.list_ended(now, Some(&named), &mut self.hands);
        Ok(())
    }

    /// Tells the router of all servers as the list has them; gives which.
    fn list_again(&mut self, now: Duration) -> Vec<usize> {
        let known: Vec<(usize, KnownServer)> =
            self.hands.servers.known().map(|(member, known)| (member, *known)).collect();
        known.iter().for_each(|(member, known)| self.listed(now, *member, known));
        known.iter().map(|(member, _)| *member).collect()
    }

    /// How long servers have been up follows from this process's time: where that turns out to be ahead, they are colder
    /// than they seemed.
    fn follow_servers_time(&mut self, now: Duration) {
        let ahead = self.hands.clock.ahead();
        if ahead.abs_diff(self.listed_ahead) >= MIN_CLOCK_CHANGE {
            self.listed_ahead = ahead;
            slog::warn!(self.log, "the wall clock is ahead of the servers'"; "by_ms" => ahead.as_millis() as u64);
            self.list_again(now);
        }
    }

    /// Limits that were laid down since the start count for every router.
    fn hold(&mut self) {
        if let Some((most, share)) = self.held {
            self.router.hold_at_most(most);
            self.router.hold_untaken(share);
        }
    }

    /// What is still to be written sees what has come in since it was decided.
    fn refresh(&mut self) {
        let (txns, router) = (&self.hands.txns, &self.router);
        self.hands.unwritten.retain(|&txn| match &txns[txn] {
            Some(Held { out: Some((_, permit)), .. }) if !permit.is_settled() => {
                permit.hold_until(router.holds_until(txn));
                true
            }
            _ => false,
        });
        let (tenure, counters) = (router.tenure(), &self.hands.counters);
        for (phase, count) in Phase::ALL.into_iter().zip([
            &counters.groups_vacant,
            &counters.groups_settling,
            &counters.groups_steady,
            &counters.groups_doubted,
            &counters.groups_handing_over,
        ]) {
            count.set(tenure.in_phase(phase));
        }
        counters.waiting.set(router.waiting());
    }

    fn take(&mut self, mail: ToDesk) {
        let now = self.hands.clock.now();
        match mail {
            ToDesk::Beat { .. } => {}
            ToDesk::Turn(tell) => drop(tell.send(())),
            ToDesk::Short => {
                (0..self.hands.members.len()).for_each(|member| self.hands.tell(member, ToMember::Spare));
            }
            ToDesk::Arrived(arrival) => self.arrived(now, arrival),
            ToDesk::Left(ticket) => {
                if let Some(&txn) = self.hands.tickets.get(&ticket) {
                    if let Some(held) = self.hands.txns[txn].as_mut() {
                        held.answered = true;
                    }
                    self.router.client_left(now, txn, &mut self.hands);
                }
            }
            ToDesk::Ended(end) => self.ended(now, *end),
            ToDesk::Probed { member, ending, report } => {
                if ending != Ending::Committed {
                    self.hands.counters.probes_failed.add();
                }
                self.hands.probes.ended(member);
                let fact = self.hands.fact(report).filter(|_| ending == Ending::Committed);
                if let Some(care) =
                    self.hands.care.as_mut().filter(|_| fact.is_some() || ending != Ending::Committed)
                {
                    care.asked(member, fact);
                }
                self.router.probed(now, member, ending, report, &mut self.hands);
                self.follow_servers_time(now);
            }
            ToDesk::Instead { member, report } => {
                self.router.probed(now, member, Ending::Committed, report, &mut self.hands);
            }
            ToDesk::Circle(circle) => {
                self.circle = Some(circle);
                self.hands.care = self.router.tightest().map(Care::new);
                let known: Vec<usize> = self.hands.servers.known().map(|(member, _)| member).collect();
                known.into_iter().for_each(|member| self.named(member));
            }
            ToDesk::Care { whole, present, asks } => self.care(now, whole, present, asks),
            ToDesk::Facts(piece) => {
                let unix = self.hands.unix(now);
                if let Some(care) = &mut self.hands.care {
                    self.hands.counters.facts_in.add();
                    if let Err(why) = care.told(now, unix, &piece) {
                        slog::debug!(self.log, "facts of another front are passed over"; "why" => why);
                    }
                }
            }
            ToDesk::Plan { group, order, successor, off } => {
                self.plan(now, group, order, successor.as_deref(), off);
            }
            ToDesk::List(list) => self.list(now, &list),
            ToDesk::ClockAdvanced(by) => self.clock_advanced(now, by),
            ToDesk::ProbesDue => self.hands.probes_due = None,
            ToDesk::ListLost => {
                self.hands.counters.lists_failed.add();
                self.router.list_lost(now, &mut self.hands);
            }
            ToDesk::Remember(tell) => drop(tell.try_send(juniperdock_snapshot::encode(&self.memory(now)))),
            ToDesk::Recall(bytes) => match self.recall(now, &bytes) {
                Ok(age) => {
                    slog::info!(self.log, "a snapshot is taken up"; "age_ms" => age.as_millis() as u64)
                }
                Err(why) => slog::warn!(self.log, "a snapshot is refused"; "why" => why),
            },
            ToDesk::Hold(most, share) => {
                self.held = Some((most, share));
                self.hold();
            }
            ToDesk::Give(to) => {
                for member in 0..self.hands.members.len() {
                    let id = self.hands.ids.id(member).clone();
                    self.hands.tell(member, ToMember::Give(id, to.clone()));
                }
            }
            ToDesk::Take(id, stream) => {
                if let Some(member) = self.hands.ids.known(&id) {
                    self.hands.tell(member, ToMember::Took(stream));
                }
            }
            ToDesk::Roles => self.router.ask_all(now, &mut self.hands),
            ToDesk::Status { group, most, tell } => drop(tell.try_send(self.status(group, most))),
            ToDesk::Change { group, successor, off, tell } => {
                drop(tell.try_send(self.change(now, group, successor.as_deref(), off)));
            }
            ToDesk::Due { handle, at } => {
                let late = now.saturating_sub(at);
                self.hands.counters.held_up_most_us.at_least(late.as_micros() as u64);
                if late > PULSE {
                    self.hands.counters.reminders_late.add();
                }
                self.router.reminder_due(now, handle, &mut self.hands);
            }
        }
    }

    fn arrived(&mut self, now: Duration, a: Box<Arrival>) {
        self.hands.counters.held_up_most_us.at_least(now.saturating_sub(a.at).as_micros() as u64);
        self.take_up(now, a);
    }

    /// Hands a request to the router, if it may still be started.
    fn take_up(&mut self, now: Duration, a: Box<Arrival>) {
        match a.guard.may_start(now) {
            Ok(()) => {}
            Err(Withheld::OutOfTime) => return a.client.post((a.ticket, Answer::Declined(None))),
            // Its client has gone, or has its answer.
            Err(Withheld::Ended | Withheld::ClientLeft) => return,
        }
        if self.hands.cells.known(&a.cell).is_none() && !self.hands.cells.is_empty() {
            a.client.post((a.ticket, Answer::RolledBack("expected a cluster that the list names")));
            return;
        }
        let group = self.hands.cells.index(a.cell);
        let txn = self.hands.free.pop().unwrap_or_else(|| {
            self.hands.txns.push(None);
            self.hands.txns.len() - 1
        });
        let (kind, left) = (a.kind, a.expiry.saturating_sub(now));
        let (retried, session, wrote_ago) = (a.retried, a.session, a.wrote_ago);
        let bytes = a.statement.len() + size_of::<Arrival>();
        self.hands.tickets.insert(a.ticket, txn);
        self.hands.txns[txn] =
            Some(Held { arrival: a, answered: false, out: None, submitted: false, alarms: Vec::new() });
        let hands = &mut self.hands;
        self.router.txn_arrived(now, txn, kind, group, left, retried, None, session, wrote_ago, bytes, hands);
        self.hands.probes.used(now, group, self.router.waiting_in(group) > 0);
    }

    fn ended(&mut self, now: Duration, end: End) {
        let count = &self.hands.counters;
        match end.ending {
            Ending::Committed => count.ended_committed.add(),
            Ending::Errored => count.ended_errored.add(),
            Ending::Invalid => count.ended_invalid.add(),
            Ending::Spoilt => count.ended_spoilt.add(),
            Ending::Full => count.ended_full.add(),
            Ending::TimedOut => count.ended_timed_out.add(),
            Ending::Unreachable => count.ended_unreachable.add(),
            Ending::Dropped => count.ended_dropped.add(),
            Ending::Cancelled => count.ended_cancelled.add(),
            Ending::Moot => count.ended_moot.add(),
            Ending::Misplaced => count.ended_misplaced.add(),
        }
        let event = RequestEvent::AttemptEnded { server: end.member, ending: end.ending };
        self.hands.request_log.request(end.ticket, event);
        let Some(&txn) = self.hands.tickets.get(&end.ticket) else { return };
        if let Some(held) = self.hands.txns[txn].as_mut() {
            held.out = None;
        }
        if matches!(end.ending, Ending::Unreachable | Ending::Dropped | Ending::TimedOut) {
            self.hands.care.iter_mut().for_each(|care| care.failed(end.member));
        }
        let over = matches!(end.ending, Ending::Committed | Ending::Invalid);
        match end.ending {
            Ending::Committed => self.hands.answer(txn, Answer::Committed(end.row)),
            Ending::Invalid => self.hands.answer(txn, Answer::Invalid(end.row)),
            _ => {}
        }
        let (member, ending, took) = (end.member, end.ending, end.at.saturating_sub(end.sent));
        let (role, position, hands) = (end.role, end.position, &mut self.hands);
        self.router.submission_ended(now, txn, over, member, ending, role, position, took, hands);
        // A report is worth the same whether it was asked for or came with an answer.
        if let Some(load) = end.load {
            self.router.probed(now, member, Ending::Committed, load, &mut self.hands);
        }
    }

    /// How groups stand: those in the order in which the list first named them, up to so many.
    fn status(&self, group: Option<u64>, most: usize) -> Value {
        let (hands, tenure) = (&self.hands, self.router.tenure());
        let known =
            (0..hands.cells.len()).filter(|&at| group.is_none_or(|group| *hands.cells.id(at) == group));
        let groups: Vec<Value> = known
            .take(most)
            .map(|at| {
                let plan = tenure.plan(at).filter(|plan| !plan.ended());
                serde_json::json!({
                    "group": hands.cells.id(at),
                    "phase": tenure.phase(at).name(),
                    "term": tenure.term(at),
                    "primary": tenure.holder(at).map(|member| hands.ids.id(member)),
                    "waiting": self.router.waiting_in(at),
                    "plan": plan.map(|plan| format!("{:?}: {:?}", plan.reason, plan.step)),
                })
            })
            .collect();
        serde_json::json!({ "groups": groups, "known": hands.cells.len(), "waiting": self.router.waiting() })
    }

    /// All that is worth keeping, in ids and times that outlast this process.
    fn memory(&mut self, now: Duration) -> Memory {
        let (hands, router, start) = (&self.hands, &mut self.router, self.hands.origin.start);
        let unix = |at: Duration| start + at.as_micros() as i64;
        let members = hands.servers.known().filter_map(|(at, _)| {
            let kept = router.keep_member(now, at)?;
            Some(OfMember {
                id: hands.ids.id(at).clone(),
                drains: kept.drains,
                warm_at: (!kept.warm_at.is_zero()).then(|| unix(kept.warm_at)),
                position: kept.position.map(unix),
                sent: kept.sent,
                room: kept.room,
                slow: kept.slow,
                shunned: (kept.shunned > now).then(|| unix(kept.shunned)),
                term: kept.seat.term,
                served: kept.seat.served.map(unix),
                stepped: kept.seat.stepped.map(unix),
                heard: kept.seat.heard.map(unix),
            })
        });
        let members = members.collect();
        let groups = (0..hands.cells.len()).map(|at| {
            let kept = router.keep_group(at);
            OfGroup {
                group: *hands.cells.id(at),
                term: kept.term,
                last: kept.last.map(|last| hands.ids.id(last).clone()),
                began: kept.began.map(unix),
                newest: kept.newest.map(unix),
                vacancies: kept.vacancies.bytes().to_vec(),
            }
        });
        let groups = groups.collect();
        let kinds = self.kinds.iter().enumerate().map(|(kind, name)| {
            let (typical, usual) = router.keep_type(kind);
            OfType { name: name.clone(), typical, usual }
        });
        let (taken, machine_time) = (unix(now), machine_time());
        Memory { taken, members, groups, types: kinds.collect(), machine_time }
    }

    /// Takes up what the process before this one knew of members, groups and types that are here too.
    fn recall(&mut self, now: Duration, bytes: &[u8]) -> Result<Duration, String> {
        let mut memory = juniperdock_snapshot::decode(bytes)?;
        let start = self.hands.origin.start;
        let unix = start + now.as_micros() as i64;
        let age = memory.age(unix, machine_time().as_ref())?;
        memory.date_anew(unix, age);
        let worth = Worth::of(age);
        // What was before this process's start is at its start: all that comes now is later.
        let since = |unix: i64| span(unix - start);
        let proven = |unix: i64| u64::try_from(unix - start).ok().map(Duration::from_micros);
        let (hands, router) = (&mut self.hands, &mut self.router);
        for group in &memory.groups {
            let Some(at) = hands.cells.known(&group.group) else { continue };
            let kept = KeptGroup {
                term: group.term,
                last: group.last.as_ref().and_then(|last| hands.ids.known(last)),
                began: group.began.map(since),
                newest: group.newest.map(since),
                vacancies: Vacancies::of(&group.vacancies),
            };
            router.restore_group(now, at, &kept);
        }
        for member in &memory.members {
            let Some(at) = hands.ids.known(&member.id) else { continue };
            let served = member.served.map(since);
            // Before this process's start all times are one: what came later stays later.
            let later = (member.stepped > member.served).then(|| served.unwrap_or_default() + LATER);
            let stepped = member.stepped.map(since).max(later);
            let heard = member.heard.filter(|&heard| span(unix - heard) < GAP).map(since);
            let seat = KeptSeat { term: member.term, served, stepped, heard };
            let kept = KeptMember {
                drains: member.drains,
                warm_at: member.warm_at.map(since).unwrap_or_default(),
                position: member.position.and_then(proven),
                sent: member.sent,
                room: member.room,
                slow: member.slow,
                shunned: member.shunned.map(since).unwrap_or_default(),
                seat,
            };
            router.restore_member(now, at, &kept, worth);
        }
        for known in &memory.types {
            if let Some(kind) = self.kinds.iter().position(|name| *name == known.name) {
                router.restore_type(kind, known.typical, known.usual, worth);
            }
        }
        router.ask_all(now, hands);
        Ok(age)
    }

    /// Orders a change of a group's primary, or calls it off.
    fn change(
        &mut self,
        now: Duration,
        group: u64,
        successor: Option<&str>,
        off: bool,
    ) -> Result<String, String> {
        let at = self.hands.cells.known(&group).ok_or_else(|| format!("no list has named group {group}"))?;
        if off {
            let off = self.router.call_off_change(now, at, &mut self.hands);
            return off.then(|| "called off".to_owned()).ok_or_else(|| "no change is under way".to_owned());
        }
        let member = |name: &str| {
            self.hands.ids.known(name).ok_or_else(|| format!("no list has named member {name:?}"))
        };
        let successor = successor.map(member).transpose()?;
        let plan = self.router.order_change(now, at, successor, &mut self.hands)?;
        Ok(format!("{:?}: {:?}", plan.reason, plan.step))
    }

    /// Takes in a list: what it costs is what it names.
    pub fn list(&mut self, now: Duration, list: &ServerList) {
        self.hands.counters.lists.add();
        let mut named = Vec::with_capacity(list.servers.len());
        for entry in &list.servers {
            named.push(self.take_entry(now, entry, list.full));
        }
        let gone = if list.full { self.hands.servers.remove_unnamed(&named) } else { Vec::new() };
        gone.into_iter().for_each(|member| self.hands.tell(member, ToMember::Leave));
        self.router.list_ended(now, list.full.then_some(&named), &mut self.hands);
    }

    /// Takes in one entry; its actor, if it has one, hears of it. Of a whole list, what is as it was is passed over.
    fn take_entry(&mut self, now: Duration, entry: &ServerEntry, full: bool) -> usize {
        let member =
            self.hands.ids.known(&entry.id).unwrap_or_else(|| self.hands.ids.index(entry.id.clone()));
        let group = self.hands.cells.index(entry.group);
        let zone = self.zones.known(&entry.zone).unwrap_or_else(|| self.zones.index(entry.zone.clone()));
        let server = KnownServer::of(entry, group, zone);
        let update = self.hands.servers.update(member, server);
        if member == self.hands.members.len() {
            self.hands.members.push(None);
        }
        if update.changed {
            self.named(member);
        }
        if update.moved {
            self.hands.tell(member, ToMember::Address(server.address));
        }
        if server.state == ServerState::Removed {
            self.hands.tell(member, ToMember::Leave);
        } else if update.state_changed {
            self.hands.tell(member, ToMember::Stay);
        }
        if update.changed || !full {
            self.listed(now, member, &server);
        }
        member
    }

    /// Tells the router of a server.
    fn listed(&mut self, now: Duration, member: usize, server: &KnownServer) {
        // A server that has just started must not seem older than it is.
        let ahead = self.hands.clock.ahead().as_micros() as i64;
        let unix = self.hands.origin.start + now.as_micros() as i64 - ahead;
        let state = match server.state {
            ServerState::Up => Listed::Up,
            ServerState::Draining => Listed::Draining,
            ServerState::Removed => Listed::Removed,
        };
        let up_for = server.started_ms.map(|at| span(unix - at.saturating_mul(1000)));
        self.router.listed(now, member, server.group, server.zone, state, server.leader, up_for);
    }

    /// Starts the probes that may start now, those first that transactions wait for.
    fn start_probes(&mut self) {
        let now = self.hands.clock.now();
        for member in std::mem::take(&mut self.hands.wanted_probes) {
            // One that is not known any more is answered for, as the router counts it as out.
            let Some(group) = self.hands.servers.get(member).map(|server| server.group) else {
                let (ending, report) = (Ending::Moot, Report::default());
                let _ = self.hands.desk.send(ToDesk::Probed { member, ending, report });
                continue;
            };
            self.hands.probes.request(now, member, group, self.router.waiting_in(group) > 0);
        }
        while let Some(member) = self.hands.probes.next(now) {
            self.hands.counters.probes.add();
            self.hands.tell(member, ToMember::Job(Job::Probe { at: now }));
        }
        let Some(due) = self.hands.probes.next_at() else { return };
        if self.hands.probes_due.is_none_or(|at| due < at) {
            self.hands.probes_due = Some(due);
            let desk = self.hands.desk.clone();
            self.hands.clock.at(due, move || {
                let _ = desk.send(ToDesk::ProbesDue);
            });
        }
    }

    /// What the list calls a member is what other fronts call it.
    fn named(&mut self, member: usize) {
        let id = self.hands.ids.id(member);
        self.hands.care.iter_mut().for_each(|care| care.named(member, id));
    }
}
