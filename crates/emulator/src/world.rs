//! The discrete-event simulation of everything except the fronts.
//!
//! A *call* is one operation that a client wants done. A client carries it out by one or more *txns*, each sent to one
//! front; a front carries out a txn by *submissions* to members.

use crate::audit::{Audit, Earlier};
use crate::calendar::Calendar;
use crate::group::Group;
use crate::member::{Load, LoadReport, Member, Pending};
use crate::random::{Stream, Zipf};
use crate::shape::{MemberFault, ScheduledFault, Shape, Targets, What};
use juniperdock_router::host::{AttemptOutcome, Consistency, Effect, ListedState, Report, Role};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Length of a day of the calendar, and the number of days in its near range.
const CALENDAR_DAY: Duration = Duration::from_micros(250);
const CALENDAR_DAYS: usize = 8192;
/// Delay before an election that found no candidate is repeated.
const ELECTION_RETRY: Duration = Duration::from_millis(100);
/// The start time that the list gives for a member that has been running for long.
const LONG_AGO: Option<Duration> = None;

/// The final answer to a txn, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    Committed,
    Declined,
    Unknown,
    /// No answer came in time, or the connection ended.
    Nothing,
}

/// The outcome of a call, over all its txns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    InTime,
    Late,
    Declined,
    Unknown,
    Unanswered,
}

/// An entry of the server list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub member: usize,
    pub group: usize,
    pub zone: usize,
    pub state: ListedState,
    /// Whether the member was primary at the start of the simulation.
    pub primary: bool,
    /// Time of its last start; `None` if it was running from the beginning.
    pub started: Option<Duration>,
}

/// An event for a front, or a result for whoever runs the simulation.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// A front starts, with an outdated list as its only knowledge.
    Born {
        front: usize,
        known: Vec<Entry>,
    },
    Listed {
        front: usize,
        entry: Entry,
    },
    Arrived {
        front: usize,
        txn: u32,
        kind: usize,
        group: usize,
        left: Duration,
        retried: bool,
    },
    /// The client has disconnected without an answer.
    Left {
        front: usize,
        txn: u32,
    },
    Ended {
        front: usize,
        txn: u32,
        member: usize,
        ending: AttemptOutcome,
        role: Option<Role>,
        position: Option<Duration>,
        took: Duration,
        /// Whether the client already has its final answer.
        over: bool,
    },
    Probed {
        front: usize,
        member: usize,
        ending: AttemptOutcome,
        report: Report,
    },
    Due {
        front: usize,
        handle: u64,
    },
    /// A message from another front.
    Shared {
        front: usize,
        from: usize,
        bytes: Box<[u8]>,
    },
    /// A call has finished.
    Done {
        kind: usize,
        group: usize,
        begun: Duration,
        took: Duration,
        how: CallOutcome,
        tries: u32,
    },
    /// A front has answered a txn.
    Answered {
        front: usize,
        kind: usize,
        told: FinalAnswer,
        took: Duration,
    },
}

/// Facts for checkers outside this crate, recorded as they happen if [`World::record_notes`] was called.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// A front has sent a submission to a member. Gives the age of the member's data, whether it claims to be primary
    /// (`leads`), and its epoch if it was primary at any time.
    Submitted {
        front: usize,
        txn: u32,
        member: usize,
        group: usize,
        age: Option<Duration>,
        leads: bool,
        epoch: Option<u32>,
    },
    /// A submission has ended for its front.
    Over {
        front: usize,
        txn: u32,
        member: usize,
        ending: AttemptOutcome,
    },
    /// Work has arrived at a cold member. Gives the work, and the member's present capacity over one window, in
    /// seconds.
    Pressed {
        member: usize,
        work: f64,
        can: f64,
    },
    /// A write has taken effect.
    Ran {
        txn: u32,
        member: usize,
    },
    /// The effect of a write is lost, since an election dropped that part of the log.
    Undone {
        txn: u32,
    },
    /// A front has received a member's report that it is a replica.
    Replica {
        front: usize,
        member: usize,
        epoch: u32,
    },
    /// A member was elected primary.
    Primary {
        group: usize,
        member: usize,
    },
    /// A cold member has failed under overload.
    Fell {
        member: usize,
    },
    Started {
        member: usize,
    },
    Killed {
        member: usize,
    },
}

/// An event in the calendar. Those with a generation or an incarnation are void if it has changed since.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    Retry(u32),
    Expire(u32),
    AnswerOverdue(u32),
    SubmissionArrives(u32),
    SubmissionEnds(u32, AttemptOutcome),
    SubmissionTimeout(u32),
    ProbeArrives(usize, u32, usize, Duration),
    ProbeEnds(usize, u32, usize, Option<LoadReport>),
    Step(usize, u32),
    Replicated(u32),
    PrimaryLost(usize, u32),
    Elect(usize, u32),
    LearnDemotion(usize, u32),
    ListChange(usize, u32, u32),
    FaultBegins(u32),
    FaultEnds(u32),
    TimerDue(usize, u32, u64),
    MessageArrives(usize, usize, u32),
}

/// One operation that a client wants done, over all its txns.
struct Call {
    kind: usize,
    group: usize,
    zone: usize,
    begun: Duration,
    mark: u64,
    tries: u32,
    done: bool,
}

/// One txn: a call as sent to one front.
struct Txn {
    call: u32,
    front: usize,
    incarnation: u32,
    begun: Duration,
    expiry: Duration,
    submissions: Vec<u32>,
    /// How many times its write took effect in the log that the group kept.
    effects: u32,
    told: Option<FinalAnswer>,
}

/// One submission of a txn to a member.
struct Submission {
    txn: u32,
    member: usize,
    sent: Duration,
    /// The outcome, once the front knows it.
    ended: Option<AttemptOutcome>,
    /// Whether a new connection was opened for it, even if that failed.
    opened: bool,
    /// The answer is under way, or will never be sent.
    outcome_decided: bool,
    role: Option<Role>,
    position: Option<Duration>,
}

/// What the world keeps about a front.
struct Front {
    zone: usize,
    up: bool,
    incarnation: u32,
    pauses: u32,
    /// Events that came while the front was paused.
    delayed: VecDeque<Out>,
    open: BTreeSet<u32>,
}

/// The simulated world: clients, members, groups, list and network, but no fronts.
pub struct World {
    shape: Shape,
    now: Duration,
    calendar: Calendar<Event>,
    members: Vec<Member>,
    groups: Vec<Group>,
    fronts: Vec<Front>,
    calls: Vec<Call>,
    txns: Vec<Txn>,
    submissions: Vec<Submission>,
    list_changes: Vec<Entry>,
    entries: Vec<Entry>,
    ready: VecDeque<Out>,
    /// By trouble, the members that it affects.
    affected: Vec<Vec<usize>>,
    zone_cuts: Vec<u32>,
    list_silences: u32,
    unannounced: BTreeSet<usize>,
    list_delay: Duration,
    surge: f64,
    zipf: Zipf,
    cumulative_parts: Vec<f64>,
    arrivals: Stream,
    /// Scheduled time of the arrival that is being handled. The time may be later if it follows another clock.
    next_arrival_at: Duration,
    clients: Stream,
    works: Stream,
    elections: Stream,
    lists: Stream,
    faults: Stream,
    hash: Xxh3,
    pub audit: Audit,
    /// Number of events handled.
    pub events: u64,
    /// Number of txns whose answer came after the client had left but within the grace that rule 1 allows.
    pub answered_in_grace: u64,
    /// Whether the fronts run in other processes. If so, a row counts as an answer only once the client reports it, and
    /// concurrent submissions of one txn cannot be detected.
    pub remote: bool,
    /// Notes since the last `take_notes`; `None` if none are recorded.
    notes: Option<Vec<(Duration, Note)>>,
    /// Pairs of front and member that cannot reach each other, besides those cut off by troubles.
    unreached: BTreeSet<(usize, usize)>,
    /// Messages between fronts that are under way, and the free indexes in `payloads`.
    payloads: Vec<Option<Box<[u8]>>>,
    free_payloads: Vec<u32>,
}

impl World {
    /// Sets up the world of a shape, at time zero.
    pub fn new(shape: Shape) -> World {
        let stream = |name| Stream::of(shape.seed, name, 0);
        let groups = shape.members.iter().map(|node| node.group + 1).max().unwrap_or(0);
        let mut cumulative_parts = Vec::new();
        shape.kinds.iter().fold(0.0, |sum, kind| {
            cumulative_parts.push(sum + kind.part);
            sum + kind.part
        });
        let mut world = World {
            now: Duration::ZERO,
            calendar: Calendar::new(CALENDAR_DAY, CALENDAR_DAYS),
            members: Vec::new(),
            groups: (0..groups).map(|_| Group::default()).collect(),
            fronts: Vec::new(),
            calls: Vec::new(),
            txns: Vec::new(),
            submissions: Vec::new(),
            list_changes: Vec::new(),
            entries: Vec::new(),
            ready: VecDeque::new(),
            affected: vec![Vec::new(); shape.troubles.len()],
            zone_cuts: vec![
                0;
                shape
                    .fronts
                    .iter()
                    .chain(shape.members.iter().map(|m| &m.zone))
                    .max()
                    .map_or(1, |z| z + 1)
            ],
            list_silences: 0,
            unannounced: BTreeSet::new(),
            list_delay: Duration::ZERO,
            surge: 1.0,
            zipf: Zipf::new(groups, shape.crowd.skew),
            cumulative_parts,
            arrivals: stream("arrivals"),
            next_arrival_at: Duration::ZERO,
            clients: stream("clients"),
            works: stream("works"),
            elections: stream("elections"),
            lists: stream("lists"),
            faults: stream("faults"),
            hash: Xxh3::new(),
            audit: Audit::default(),
            events: 0,
            answered_in_grace: 0,
            remote: false,
            notes: None,
            unreached: BTreeSet::new(),
            payloads: Vec::new(),
            free_payloads: Vec::new(),
            shape,
        };
        for node in world.shape.members.clone() {
            let member = world.members.len();
            world.members.push(Member::new(node.group, node.zone));
            let group = &mut world.groups[node.group];
            group.members.push(member);
            let primary = group.primary.is_none();
            if primary {
                (group.primary, group.term) = (Some(member), 1);
                let member = &mut world.members[member];
                (member.claims_primary, member.was_primary, member.epoch) = (true, true, 1);
            }
            let crate::shape::Node { group, zone } = node;
            world.entries.push(Entry {
                member,
                group,
                zone,
                state: ListedState::Up,
                primary,
                started: LONG_AGO,
            });
        }
        for (front, zone) in world.shape.fronts.clone().into_iter().enumerate() {
            let delayed = VecDeque::new();
            world.fronts.push(Front {
                zone,
                up: true,
                incarnation: 0,
                pauses: 0,
                delayed,
                open: BTreeSet::new(),
            });
            let known = world.entries.clone();
            world.ready.push_back(Out::Born { front, known });
        }
        for (i, trouble) in world.shape.troubles.clone().into_iter().enumerate() {
            world.calendar.set(trouble.from, Event::FaultBegins(i as u32));
            world.calendar.set(trouble.from + trouble.lasts, Event::FaultEnds(i as u32));
        }
        world.calendar.set(Duration::ZERO, Event::Arrival);
        world
    }

    /// The simulated time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// The shape that the world was made from.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// Starts to record notes.
    pub fn record_notes(&mut self) {
        self.notes = Some(Vec::new());
    }

    /// Returns the notes since the last call, in order.
    pub fn take_notes(&mut self) -> Vec<(Duration, Note)> {
        self.notes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    fn record_note(&mut self, note: Note) {
        let now = self.now;
        self.notes.iter_mut().for_each(|notes| notes.push((now, note)));
    }

    /// Makes a group's primary hand over without any announcement.
    pub fn hand_over(&mut self, group: usize) {
        if let Some(primary) = self.groups[group].primary {
            self.inject_fault(primary, MemberFault::Moved);
        }
    }

    /// Cuts or restores the network between a front and a member.
    pub fn set_cut(&mut self, front: usize, member: usize, parted: bool) {
        if parted {
            self.unreached.insert((front, member));
        } else {
            self.unreached.remove(&(front, member));
        }
    }

    /// Returns a hash of all events so far. Runs with equal seeds have equal hashes.
    pub fn trace(&self) -> u64 {
        self.hash.digest()
    }

    /// The primary of a group, if it is running.
    pub fn primary(&self, group: usize) -> Option<usize> {
        self.groups[group].primary.filter(|&p| self.members[p].is_running())
    }

    /// Number of groups.
    pub fn groups(&self) -> usize {
        self.groups.len()
    }

    /// Number of members, including those that were removed.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// The members of a group, including those that were removed.
    pub fn members_of(&self, group: usize) -> &[usize] {
        &self.groups[group].members
    }

    /// Number of txns at a member, running or waiting.
    pub fn held(&self, member: usize) -> usize {
        self.members[member].at_work() + self.members[member].waiting.len()
    }

    /// Age of a member's data; `None` if it is not running.
    pub fn age(&self, member: usize) -> Option<Duration> {
        self.members[member].is_running().then(|| self.now.saturating_sub(self.applied_until(member)))
    }

    /// Whether a member is running and reachable from a front.
    pub fn reachable(&self, front: usize, member: usize) -> bool {
        self.members[member].is_running() && !self.is_cut_off(front, member)
    }

    /// The group of a member.
    pub fn group_of(&self, member: usize) -> usize {
        self.members[member].group
    }

    /// Number of txns of a front that are unanswered.
    pub fn open(&self, front: usize) -> usize {
        self.fronts[front].open.len()
    }

    /// Time of the next event; `None` if there is none.
    pub fn next_at(&mut self) -> Option<Duration> {
        if self.ready.is_empty() { self.calendar.next_at() } else { Some(self.now) }
    }

    /// Runs the simulation to the next output. Returns `None` if there is none up to the time `until`.
    pub fn next(&mut self, until: Duration) -> Option<Out> {
        loop {
            while let Some(out) = self.ready.pop_front() {
                if let Some(out) = self.deliver(out) {
                    return Some(out);
                }
            }
            if self.calendar.next_at()? > until {
                return None;
            }
            let (at, event) = self.calendar.take()?;
            self.now = self.now.max(at);
            self.events += 1;
            self.hash_event(&event);
            self.handle(event);
        }
    }

    /// Passes an output on, unless its front is paused (it is queued) or has ended (it is dropped).
    fn deliver(&mut self, out: Out) -> Option<Out> {
        let front = match out {
            Out::Listed { front, .. }
            | Out::Arrived { front, .. }
            | Out::Left { front, .. }
            | Out::Ended { front, .. }
            | Out::Probed { front, .. }
            | Out::Shared { front, .. }
            | Out::Due { front, .. } => &mut self.fronts[front],
            Out::Born { .. } | Out::Done { .. } | Out::Answered { .. } => return Some(out),
        };
        if front.pauses > 0 {
            front.delayed.push_back(out);
            return None;
        }
        if !front.up {
            return None;
        }
        match out {
            Out::Listed { front, entry } => {
                let stopped = entry.state != ListedState::Up;
                self.audit.observe_listed(self.now, front, entry.member, stopped);
            }
            Out::Ended { front, member, role: Some(Role::Replica), .. } => {
                let epoch = self.members[member].epoch;
                self.audit.observe_replica(front, member, epoch);
                self.record_note(Note::Replica { front, member, epoch });
            }
            _ => {}
        }
        Some(out)
    }

    /// Adds an event to the hash of the run.
    fn hash_event(&mut self, event: &Event) {
        let (tag, a, b) = match *event {
            Event::Arrival => (0, 0, 0),
            Event::Retry(call) => (1, call.into(), 0),
            Event::Expire(txn) => (2, txn.into(), 0),
            Event::AnswerOverdue(txn) => (3, txn.into(), 0),
            Event::SubmissionArrives(sub) => (4, sub.into(), 0),
            Event::SubmissionEnds(sub, ending) => (5, sub.into(), ending as u64),
            Event::SubmissionTimeout(sub) => (6, sub.into(), 0),
            Event::ProbeArrives(front, _, member, _) => (7, front as u64, member as u64),
            Event::ProbeEnds(front, _, member, load_report) => {
                (8, front as u64, member as u64 * 2 + u64::from(load_report.is_some()))
            }
            Event::Step(member, generation) => (9, member as u64, generation.into()),
            Event::Replicated(sub) => (10, sub.into(), 0),
            Event::PrimaryLost(group, generation) => (11, group as u64, generation.into()),
            Event::Elect(group, generation) => (12, group as u64, generation.into()),
            Event::LearnDemotion(member, epoch) => (13, member as u64, epoch.into()),
            Event::ListChange(front, _, change) => (14, front as u64, change.into()),
            Event::FaultBegins(trouble) => (15, trouble.into(), 0),
            Event::FaultEnds(trouble) => (16, trouble.into(), 0),
            Event::TimerDue(front, _, handle) => (17, front as u64, handle),
            Event::MessageArrives(from, to, _) => (18, from as u64, to as u64),
        };
        let mut bytes = [0; 32];
        for (word, chunk) in [self.now.as_nanos() as u64, tag, a, b].iter().zip(bytes.chunks_mut(8)) {
            chunk.copy_from_slice(&word.to_le_bytes());
        }
        self.hash.update(&bytes);
    }

    // Actions of fronts.

    /// Submits a txn to a member.
    pub fn submit(&mut self, front: usize, txn: u32, member: usize) {
        let now = self.now;
        let Txn { call, expiry, told, front: its, incarnation, .. } = self.txns[txn as usize];
        let Call { kind, group, .. } = self.calls[call as usize];
        let terms = self.shape.kinds[kind].terms;
        let mut earlier = self.earlier(txn);
        if self.remote {
            // A member may learn that a front has abandoned one submission only after the next one has arrived.
            earlier.iter_mut().for_each(|e| e.ended = e.ended.or(Some(AttemptOutcome::Cancelled)));
        }
        let open =
            told.is_none() && now < expiry && its == front && incarnation == self.fronts[front].incarnation;
        let to = (member, self.members[member].group, self.members[member].zone);
        let grace = self.shape.drain_grace;
        self.audit.check_send(now, front, txn, to, open, terms.effect, &earlier, grace);
        if to.1 != group {
            self.audit.record_violation(2, now, || format!("front {front} sends txn {txn} to another group"));
        }
        if let Consistency::Bounded(bound) = terms.consistency {
            let m = &self.members[member];
            let excused = m.claims_primary || self.audit.excused(front, member, m.was_primary, m.epoch);
            let age = now.saturating_sub(self.applied_until(member));
            // A member's reported position is at most the true one, so the front cannot have known a fresher state.
            if !excused && age > bound {
                let ms = age.as_millis();
                self.audit.record_violation(5, now, || {
                    format!("front {front} reads data {ms} ms old at member {member}")
                });
            }
        }
        let m = &self.members[member];
        let (leads, epoch) = (m.claims_primary, m.was_primary.then_some(m.epoch));
        let age = m.is_running().then(|| now.saturating_sub(self.applied_until(member)));
        self.record_note(Note::Submitted { front, txn, member, group: to.1, age, leads, epoch });
        let sub = self.submissions.len() as u32;
        let hop = self.one_way_delay(front, member);
        let (ended, outcome_decided, role, position) = (None, false, None, None);
        self.submissions.push(Submission {
            txn,
            member,
            sent: now,
            ended,
            opened: false,
            outcome_decided,
            role,
            position,
        });
        self.txns[txn as usize].submissions.push(sub);
        self.calendar.set(expiry.max(now), Event::SubmissionTimeout(sub));
        let is_cut_off = self.is_cut_off(front, member);
        if !self.members[member].up {
            self.end_submission_at(sub, AttemptOutcome::Unreachable, now + 2 * hop);
            return;
        }
        match self.members[member].connect(now, front, &self.shape) {
            None => self.end_submission_at(sub, AttemptOutcome::Full, now + 4 * hop),
            Some(true) => {
                self.submissions[sub as usize].opened = true;
                if is_cut_off || self.members[member].hung > 0 {
                    self.members[member].release_connection(now, front, true);
                    self.end_submission_at(sub, AttemptOutcome::Unreachable, now + self.shape.connect);
                } else {
                    self.calendar.set(now + 3 * hop, Event::SubmissionArrives(sub));
                }
            }
            // An idle connection whose network is cut transfers nothing in either direction.
            Some(false) if is_cut_off => self.submissions[sub as usize].outcome_decided = true,
            Some(false) => self.calendar.set(now + hop, Event::SubmissionArrives(sub)),
        }
    }

    /// Cancels a submission by closing its connection.
    pub fn cancel(&mut self, front: usize, txn: u32, submission: u32) {
        let Some(&sub) = self.txns[txn as usize].submissions.get(submission as usize) else { return };
        if self.submissions[sub as usize].ended.is_some() || self.txns[txn as usize].front != front {
            return;
        }
        let member = self.submissions[sub as usize].member;
        self.members[member].release_connection(self.now, front, true);
        self.end_submission(sub, AttemptOutcome::Cancelled);
    }

    /// Records a front's final answer to a txn that is not a member's row.
    pub fn answer(&mut self, front: usize, txn: u32, told: FinalAnswer, retry_after: Option<Duration>) {
        let Txn { call, told: before, front: its, .. } = self.txns[txn as usize];
        if before.is_some() || its != front {
            return;
        }
        if told == FinalAnswer::Declined {
            let effect = self.shape.kinds[self.calls[call as usize].kind].terms.effect;
            let (earlier, now) = (self.earlier(txn), self.now);
            self.audit.check_decline(now, front, txn, effect, &earlier);
            if effect != Effect::Repeatable && self.txns[txn as usize].effects > 0 {
                self.audit
                    .record_violation(2, now, || format!("front {front} declines txn {txn}, which has run"));
            }
        }
        self.record_answer(txn, told, retry_after);
    }

    /// Probes a member for its load report.
    pub fn probe(&mut self, front: usize, member: usize) {
        let (now, incarnation, hop) =
            (self.now, self.fronts[front].incarnation, self.one_way_delay(front, member));
        if !self.members[member].up {
            self.calendar.set(now + 2 * hop, Event::ProbeEnds(front, incarnation, member, None));
        } else if self.is_cut_off(front, member) {
            self.calendar.set(now + self.shape.connect, Event::ProbeEnds(front, incarnation, member, None));
        } else {
            self.calendar.set(now + hop, Event::ProbeArrives(front, incarnation, member, now));
        }
    }

    /// Sets a timer for a front.
    pub fn set_timer(&mut self, front: usize, at: Duration, handle: u64) {
        let incarnation = self.fronts[front].incarnation;
        self.calendar.set(at.max(self.now), Event::TimerDue(front, incarnation, handle));
    }

    /// Sends a message from one front to another. It arrives after the network delay between their zones, or is lost if
    /// the zones are cut off.
    pub fn share(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let (a, b) = (self.fronts[from].zone, self.fronts[to].zone);
        if self.zones_cut_off(a, b) {
            return;
        }
        let way = if a == b { self.shape.near } else { self.shape.far };
        let payload = self.free_payloads.pop().unwrap_or_else(|| {
            self.payloads.push(None);
            self.payloads.len() as u32 - 1
        });
        self.payloads[payload as usize] = Some(bytes.into());
        self.calendar.set(self.now + way, Event::MessageArrives(from, to, payload));
    }

    /// The mark of the call that a txn belongs to: the reference by which members recognize a repeated write.
    pub fn mark(&self, txn: u32) -> u64 {
        self.calls[self.txns[txn as usize].call as usize].mark
    }

    /// Whether a txn is a write.
    pub fn writes(&self, txn: u32) -> bool {
        let kind = self.calls[self.txns[txn as usize].call as usize].kind;
        self.shape.kinds[kind].terms.consistency == Consistency::Write
    }

    /// Number of submissions of a txn so far.
    pub fn submissions(&self, txn: u32) -> u32 {
        self.txns[txn as usize].submissions.len() as u32
    }

    /// Advances the time to that of an external clock. All events before it must have been handled.
    pub fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    // State queries.

    fn earlier(&self, txn: u32) -> Vec<Earlier> {
        let earlier = |&sub: &u32| {
            let Submission { member, sent, ended, .. } = self.submissions[sub as usize];
            let Member { group, zone, .. } = self.members[member];
            Earlier { sent, group, zone, ended }
        };
        self.txns[txn as usize].submissions.iter().map(earlier).collect()
    }

    fn one_way_delay(&self, front: usize, member: usize) -> Duration {
        let near = self.fronts[front].zone == self.members[member].zone;
        if near { self.shape.near } else { self.shape.far }
    }

    fn zones_cut_off(&self, a: usize, b: usize) -> bool {
        a != b && (self.zone_cuts[a] > 0 || self.zone_cuts[b] > 0)
    }

    /// Whether the network between a front and a member is cut.
    fn is_cut_off(&self, front: usize, member: usize) -> bool {
        let m = &self.members[member];
        m.cut_from_fronts > 0
            || self.unreached.contains(&(front, member))
            || self.zones_cut_off(self.fronts[front].zone, m.zone)
    }

    /// Whether a member receives the log of its group's primary.
    fn receives_log(&self, member: usize) -> bool {
        let m = &self.members[member];
        let Some(p) = self.groups[m.group].primary.filter(|&p| p != member) else { return false };
        let p = &self.members[p];
        m.reaches_peers() && p.reaches_peers() && !self.zones_cut_off(m.zone, p.zone)
    }

    fn shipping_delay(&self, from: usize, to: usize) -> Duration {
        let near = self.members[from].zone == self.members[to].zone;
        self.shape.log.ship + if near { self.shape.near } else { self.shape.far }
    }

    /// The time up to which a member has applied all writes.
    fn applied_until(&self, member: usize) -> Duration {
        let m = &self.members[member];
        let group = &self.groups[m.group];
        if group.primary == Some(member) && m.is_running() {
            return self.now;
        }
        if let Some(next) = m.pending.front() {
            return m.position.max(next.at.saturating_sub(Duration::from_micros(1)));
        }
        match group.primary.filter(|_| self.receives_log(member)) {
            Some(p) => m.position.max(self.now.saturating_sub(self.shipping_delay(p, member))),
            None => m.position,
        }
    }

    /// The role and position that a member reports. One that claims to be primary reports the present as its position.
    fn reported_state(&self, member: usize) -> (Role, Duration) {
        if self.members[member].claims_primary {
            (Role::Primary, self.now)
        } else {
            (Role::Replica, self.applied_until(member))
        }
    }

    /// Stores the positions of all members of a group, before a change to what the positions are computed from.
    fn fix_positions(&mut self, group: usize) {
        for at in 0..self.groups[group].members.len() {
            let member = self.groups[group].members[at];
            self.members[member].position = self.applied_until(member);
        }
    }

    /// Resumes shipping of pending writes to members that receive the log again.
    fn resume_shipping(&mut self, group: usize) {
        let Some(p) = self.groups[group].primary else { return };
        for at in 0..self.groups[group].members.len() {
            let member = self.groups[group].members[at];
            if self.receives_log(member) {
                let arrives_at = self.now + self.shipping_delay(p, member);
                self.members[member]
                    .pending
                    .iter_mut()
                    .filter(|w| w.arrives_at == Duration::MAX)
                    .for_each(|w| w.arrives_at = arrives_at);
            }
            self.schedule_step(member);
        }
        // Answers for which no replica was reachable.
        let unanswered = std::mem::take(&mut self.groups[group].unanswered);
        for (sub, index) in unanswered {
            self.await_replica(sub, group, index);
        }
    }

    /// Schedules the answer of a write for when the first replica has received it. If none will, the answer waits.
    fn await_replica(&mut self, sub: u32, group: usize, index: u64) {
        let arrives_at = self.groups[group].members.iter().filter_map(|&m| {
            self.members[m]
                .pending
                .iter()
                .find(|w| w.index == index)
                .map(|w| w.arrives_at)
                .filter(|&at| at < Duration::MAX)
        });
        match arrives_at.min() {
            Some(arrives_at) => self.calendar.set(arrives_at + self.shape.log.ship, Event::Replicated(sub)),
            None => self.groups[group].unanswered.push((sub, index)),
        }
    }

    /// Schedules the next step of a member; the one scheduled before becomes void.
    fn schedule_step(&mut self, member: usize) {
        let now = self.now;
        let m = &mut self.members[member];
        m.advance(now, &self.shape);
        m.apply(now, &self.shape);
        m.generation += 1;
        if let Some(at) = m.next_step_at(now, &self.shape) {
            let generation = m.generation;
            self.calendar.set(at.max(now), Event::Step(member, generation));
        }
    }

    // Event handlers.

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.next_arrival(),
            Event::Retry(call) => self.send_txn(call),
            Event::Expire(txn) => {
                if self.txns[txn as usize].told.is_none() {
                    self.client_times_out(txn);
                }
            }
            Event::AnswerOverdue(txn) => {
                let Txn { front, incarnation, .. } = self.txns[txn as usize];
                if self.fronts[front].open.remove(&txn) && self.fronts[front].incarnation == incarnation {
                    let now = self.now;
                    if self.fronts[front].pauses == 0 {
                        self.audit.record_violation(1, now, || {
                            format!("front {front} leaves txn {txn} without an answer")
                        });
                    }
                    self.ready.push_back(Out::Left { front, txn });
                }
            }
            Event::SubmissionArrives(sub) => self.submission_arrives(sub),
            Event::SubmissionEnds(sub, ending) => self.submission_returns(sub, ending),
            Event::SubmissionTimeout(sub) => {
                let Submission { txn, member, ended, .. } = self.submissions[sub as usize];
                if ended.is_none() {
                    let front = self.txns[txn as usize].front;
                    self.members[member].release_connection(self.now, front, true);
                    self.end_submission(sub, AttemptOutcome::TimedOut);
                }
            }
            Event::ProbeArrives(front, incarnation, member, sent) => {
                self.probe_arrives(front, incarnation, member, sent)
            }
            Event::ProbeEnds(front, incarnation, member, load_report) => {
                if self.fronts[front].incarnation == incarnation {
                    let ending = if load_report.is_some() {
                        AttemptOutcome::Committed
                    } else {
                        AttemptOutcome::Unreachable
                    };
                    let report = load_report.map(|load_report| Report {
                        position: Some(load_report.position),
                        role: Some(if load_report.primary { Role::Primary } else { Role::Replica }),
                        queue: Some(load_report.waiting),
                        busy: Some(load_report.busy),
                    });
                    let report = report.unwrap_or_default();
                    self.ready.push_back(Out::Probed { front, member, ending, report });
                }
            }
            Event::Step(member, generation) => {
                if self.members[member].generation == generation {
                    self.step(member);
                }
            }
            Event::Replicated(sub) => self.write_replicated(sub),
            Event::PrimaryLost(group, generation) => self.confirm_loss(group, generation),
            Event::Elect(group, generation) => self.elect(group, generation),
            Event::LearnDemotion(member, epoch) => self.learn_demotion(member, epoch),
            Event::ListChange(front, incarnation, change) => {
                if self.fronts[front].incarnation == incarnation {
                    let entry = self.list_changes[change as usize];
                    self.ready.push_back(Out::Listed { front, entry });
                }
            }
            Event::FaultBegins(trouble) => self.begin_fault(trouble as usize),
            Event::FaultEnds(trouble) => self.end_fault(trouble as usize),
            Event::TimerDue(front, incarnation, handle) => {
                if self.fronts[front].incarnation == incarnation {
                    self.ready.push_back(Out::Due { front, handle });
                }
            }
            Event::MessageArrives(from, front, payload) => {
                if let Some(bytes) = self.payloads[payload as usize].take() {
                    self.free_payloads.push(payload);
                    // A message under way when the network is cut is lost.
                    if !self.zones_cut_off(self.fronts[from].zone, self.fronts[front].zone) {
                        self.ready.push_back(Out::Shared { front, from, bytes });
                    }
                }
            }
        }
    }

    fn next_arrival(&mut self) {
        let crowd = &self.shape.crowd;
        let second = self.now.as_secs() as usize;
        let series_factor = crowd.series.get(second).or(crowd.series.last()).copied().unwrap_or(1.0);
        let per_second = crowd.per_second * series_factor * self.surge;
        if self.now >= self.shape.lasts {
            return;
        }
        let gap = self.arrivals.gap(per_second);
        // There is no arrival at time zero, nor while the rate is zero; then this event only looks at the rate again.
        let wait =
            if per_second > 0.0 { gap.min(Duration::from_secs(1)) } else { Duration::from_millis(100) };
        self.next_arrival_at += wait;
        self.calendar.set(self.next_arrival_at, Event::Arrival);
        if per_second <= 0.0 || gap > wait || self.now.is_zero() {
            return;
        }
        let draw = self.arrivals.share() * self.cumulative_parts.last().copied().unwrap_or(0.0);
        let kind =
            self.cumulative_parts.partition_point(|&sum| sum <= draw).min(self.cumulative_parts.len() - 1);
        let group = self.zipf.draw(&mut self.arrivals);
        let zone = self.shape.fronts[self.arrivals.below(self.shape.fronts.len())];
        let mark = self.arrivals.number() | 1;
        let call = self.calls.len() as u32;
        self.calls.push(Call { kind, group, zone, begun: self.now, mark, tries: 0, done: false });
        self.send_txn(call);
    }

    /// The client sends a txn for its call to a running front of its zone, or of any zone if there is none.
    fn send_txn(&mut self, call: u32) {
        let Call { kind, group, zone, tries, .. } = self.calls[call as usize];
        let is_there = |&f: &usize| self.fronts[f].up;
        let near = |f: &usize| self.fronts[*f].zone == zone;
        let all: Vec<usize> = (0..self.fronts.len()).filter(is_there).collect();
        let same: Vec<usize> = all.iter().copied().filter(near).collect();
        let among = if same.is_empty() { all } else { same };
        self.calls[call as usize].tries += 1;
        if among.is_empty() {
            self.finish_call(call, CallOutcome::Unanswered);
            return;
        }
        let front = among[self.clients.below(among.len())];
        let (least, most) = self.shape.crowd.patience;
        let share = least + (most - least) * self.clients.share();
        let left = self.shape.kinds[kind].expiry.mul_f64(share);
        let (txn, expiry) = (self.txns.len() as u32, self.now + left);
        let (incarnation, begun) = (self.fronts[front].incarnation, self.now);
        self.txns.push(Txn {
            call,
            front,
            incarnation,
            begun,
            expiry,
            submissions: Vec::new(),
            effects: 0,
            told: None,
        });
        self.fronts[front].open.insert(txn);
        self.calendar.set(expiry, Event::Expire(txn));
        self.calendar.set(expiry + self.shape.answer_grace, Event::AnswerOverdue(txn));
        self.ready.push_back(Out::Arrived { front, txn, kind, group, left, retried: tries > 0 });
    }

    /// The client's expiry has passed. The front may still answer within the grace.
    fn client_times_out(&mut self, txn: u32) {
        let Txn { call, .. } = self.txns[txn as usize];
        let effect = self.shape.kinds[self.calls[call as usize].kind].terms.effect;
        self.retry_or_finish(call, effect == Effect::Repeatable, None, CallOutcome::Unanswered);
    }

    /// Records the final answer of a txn and lets its client retry or finish.
    fn record_answer(&mut self, txn: u32, told: FinalAnswer, retry_after: Option<Duration>) {
        let now = self.now;
        let Txn { call, front, begun, expiry, .. } = self.txns[txn as usize];
        self.txns[txn as usize].told = Some(told);
        self.fronts[front].open.remove(&txn);
        let Call { kind, group, begun: first, tries, done, .. } = self.calls[call as usize];
        self.ready.push_back(Out::Answered { front, kind, told, took: now - begun });
        if done || now >= expiry {
            // The client no longer waits for this answer and may have retried.
            self.answered_in_grace += u64::from(!done);
            return;
        }
        let effect = self.shape.kinds[kind].terms.effect;
        match told {
            FinalAnswer::Committed => {
                self.calls[call as usize].done = true;
                let how = if now - first <= self.shape.kinds[kind].terms.sla {
                    CallOutcome::InTime
                } else {
                    CallOutcome::Late
                };
                self.ready.push_back(Out::Done { kind, group, begun: first, took: now - first, how, tries });
            }
            FinalAnswer::Declined => self.retry_or_finish(call, true, retry_after, CallOutcome::Declined),
            FinalAnswer::Unknown => {
                self.retry_or_finish(call, effect == Effect::Repeatable, None, CallOutcome::Unknown)
            }
            FinalAnswer::Nothing => self.retry_or_finish(call, true, None, CallOutcome::Unanswered),
        }
    }

    /// Retries the call if that is harmless and retries are left; otherwise finishes it with this outcome.
    fn retry_or_finish(
        &mut self,
        call: u32,
        harmless: bool,
        retry_after: Option<Duration>,
        how: CallOutcome,
    ) {
        if harmless && self.calls[call as usize].tries <= self.shape.crowd.retries {
            let wait = self.clients.span(self.shape.crowd.back_off).max(retry_after.unwrap_or_default());
            self.calendar.set(self.now + wait, Event::Retry(call));
        } else {
            self.finish_call(call, how);
        }
    }

    fn finish_call(&mut self, call: u32, how: CallOutcome) {
        let Call { kind, group, begun, tries, done, .. } = self.calls[call as usize];
        if !std::mem::replace(&mut self.calls[call as usize].done, true) && !done {
            self.ready.push_back(Out::Done { kind, group, begun, took: self.now - begun, how, tries });
        }
    }

    /// Schedules the end of a submission for the time at which its front learns of it.
    fn end_submission_at(&mut self, sub: u32, ending: AttemptOutcome, at: Duration) {
        self.submissions[sub as usize].outcome_decided = true;
        self.calendar.set(at, Event::SubmissionEnds(sub, ending));
    }

    /// Sends a member's answer, with its role and position unless the connection breaks.
    fn reply(&mut self, sub: u32, ending: AttemptOutcome) {
        let Submission { txn, member, outcome_decided, .. } = self.submissions[sub as usize];
        if outcome_decided {
            return;
        }
        let front = self.txns[txn as usize].front;
        let lost =
            self.members[member].answer_loss > 0.0 && self.faults.share() < self.members[member].answer_loss;
        if self.is_cut_off(front, member) || lost {
            self.submissions[sub as usize].outcome_decided = true;
            return;
        }
        if matches!(
            ending,
            AttemptOutcome::Committed
                | AttemptOutcome::Errored
                | AttemptOutcome::Full
                | AttemptOutcome::Misplaced
        ) {
            let (role, position) = self.reported_state(member);
            let s = &mut self.submissions[sub as usize];
            (s.role, s.position) = (Some(role), Some(position));
        }
        let hop = self.one_way_delay(front, member);
        self.end_submission_at(sub, ending, self.now + hop);
    }

    fn submission_returns(&mut self, sub: u32, ending: AttemptOutcome) {
        let Submission { txn, member, ended, .. } = self.submissions[sub as usize];
        if ended.is_some() {
            return;
        }
        let Txn { front, incarnation, .. } = self.txns[txn as usize];
        if self.fronts[front].incarnation == incarnation && !matches!(ending, AttemptOutcome::Unreachable) {
            self.members[member].release_connection(self.now, front, ending == AttemptOutcome::Dropped);
        }
        self.end_submission(sub, ending);
    }

    /// Ends a submission for its front. A row is passed to the client at once.
    fn end_submission(&mut self, sub: u32, ending: AttemptOutcome) {
        let Submission { txn, member, sent, role, position, .. } = self.submissions[sub as usize];
        self.submissions[sub as usize].ended = Some(ending);
        self.record_note(Note::Over { front: self.txns[txn as usize].front, txn, member, ending });
        let Txn { front, incarnation, told, expiry, .. } = self.txns[txn as usize];
        if self.fronts[front].incarnation != incarnation {
            return;
        }
        let answers_client = !self.remote && self.fronts[front].pauses == 0;
        if ending == AttemptOutcome::Committed && told.is_none() && answers_client && self.now <= expiry {
            self.record_answer(txn, FinalAnswer::Committed, None);
        }
        let over = self.txns[txn as usize].told.is_some();
        let took = self.now - sent;
        self.ready.push_back(Out::Ended { front, txn, member, ending, role, position, took, over });
    }

    /// A submission arrives at its member.
    fn submission_arrives(&mut self, sub: u32) {
        let Submission { txn, member, opened, outcome_decided, .. } = self.submissions[sub as usize];
        if outcome_decided {
            return;
        }
        let Txn { call, front, .. } = self.txns[txn as usize];
        let kind = self.calls[call as usize].kind;
        if !self.members[member].up {
            let ending = if opened { AttemptOutcome::Unreachable } else { AttemptOutcome::Dropped };
            return self.end_submission_at(sub, ending, self.now + self.one_way_delay(front, member));
        }
        if self.is_cut_off(front, member) {
            self.submissions[sub as usize].outcome_decided = true;
            return;
        }
        if self.members[member].hung > 0 {
            self.members[member].unread.push(sub);
            return;
        }
        let handshake = if opened { self.shape.handshake.as_secs_f64() } else { 0.0 };
        let work = self.works.span(self.shape.kinds[kind].work).as_secs_f64();
        self.add_cold_load(member, work, Load::Txn);
        if opened && self.members[member].up {
            self.add_cold_load(member, handshake, Load::Handshake);
        }
        let work = work + handshake;
        if !self.members[member].up {
            return;
        }
        let error_rate = self.members[member].error_rate;
        if error_rate > 0.0 && self.faults.share() < error_rate {
            return self.reply(sub, AttemptOutcome::Errored);
        }
        let write = self.shape.kinds[kind].terms.consistency == Consistency::Write;
        let m = &self.members[member];
        if write && !m.claims_primary {
            return self.reply(sub, AttemptOutcome::Misplaced);
        }
        if write && m.drains || m.at_work() >= self.shape.slots && m.waiting.len() >= self.shape.waiting {
            return self.reply(sub, AttemptOutcome::Full);
        }
        if m.at_work() < self.shape.slots {
            self.start_work(sub, work);
        } else {
            // The work of a waiting txn is drawn again when it starts. No client can observe the difference.
            self.members[member].advance(self.now, &self.shape);
            self.members[member].waiting.push_back(sub);
        }
        self.schedule_step(member);
    }

    /// Adds to the load of a cold member, which fails for good if the load exceeds its budget.
    fn add_cold_load(&mut self, member: usize, work: f64, load: Load) {
        let now = self.now;
        let m = &self.members[member];
        if m.started.is_some_and(|at| now < at + self.shape.cold.warm_up) {
            let window = self.shape.cold.window.as_secs_f64();
            let can = self.shape.cores * m.warmth(now, &self.shape) * window;
            self.record_note(Note::Pressed { member, work, can });
        }
        if let Some([txns, handshakes, probes, most]) =
            self.members[member].add_cold_load(now, work, load, &self.shape)
        {
            self.audit.record_violation(4, now, || {
                format!(
                    "member {member} fell over while it was cold: {txns:.3} s of txns, {handshakes:.3} of \
                     handshakes, {probes:.3} of probes, it bears {most:.3}"
                )
            });
            self.members[member].gone = true;
            self.kill(member);
            self.record_note(Note::Fell { member });
        }
    }

    fn start_work(&mut self, sub: u32, work: f64) {
        let long = work > self.shape.log.blocks.as_secs_f64() && self.is_read(sub);
        let m = &mut self.members[self.submissions[sub as usize].member];
        m.advance(self.now, &self.shape);
        m.start_work(sub, work);
        if long {
            m.blocking_reads += 1;
            self.submissions[sub as usize].position = Some(Duration::MAX);
        }
    }

    fn is_read(&self, sub: u32) -> bool {
        let call = self.txns[self.submissions[sub as usize].txn as usize].call;
        self.shape.kinds[self.calls[call as usize].kind].terms.consistency != Consistency::Write
    }

    /// Finishes the completed txns of a member and starts waiting ones.
    fn step(&mut self, member: usize) {
        self.members[member].advance(self.now, &self.shape);
        while let Some(sub) = self.members[member].pop_done() {
            // The position `Duration::MAX` marks a read that blocks the applying of the log.
            if self.submissions[sub as usize].position == Some(Duration::MAX) {
                self.submissions[sub as usize].position = None;
                self.members[member].blocking_reads -= 1;
            }
            if self.is_read(sub) {
                self.reply(sub, AttemptOutcome::Committed)
            } else {
                self.finish_write(sub)
            }
            if let Some(next) = self.members[member].waiting.pop_front() {
                let Txn { call, .. } = self.txns[self.submissions[next as usize].txn as usize];
                let range = self.shape.kinds[self.calls[call as usize].kind].work;
                let work = self.works.span(range).as_secs_f64();
                self.start_work(next, work);
            }
        }
        self.schedule_step(member);
    }

    /// A write has finished its work at a member that claims to be primary.
    fn finish_write(&mut self, sub: u32) {
        let Submission { txn, member, sent, .. } = self.submissions[sub as usize];
        let Txn { call, told, .. } = self.txns[txn as usize];
        let Call { mark, kind, .. } = self.calls[call as usize];
        let (now, group) = (self.now, self.members[member].group);
        if self.groups[group].primary != Some(member) || !self.members[member].claims_primary {
            // A deposed primary cannot replicate the write. The write ends in an error once the member learns that it
            // was deposed.
            if self.members[member].claims_primary {
                self.members[member].orphaned.push(sub);
            } else {
                self.reply(sub, AttemptOutcome::Errored);
            }
            return;
        }
        let effect = self.shape.kinds[kind].terms.effect;
        let marked = matches!(effect, Effect::Referenced { .. });
        if marked && self.groups[group].has_run(mark, sent, self.shape.log.marks) {
            return match self.groups[group].index_of(mark).filter(|_| self.shape.log.synchronous) {
                Some(index) => self.reply_once_replicated(sub, member, index),
                None => self.reply(sub, AttemptOutcome::Committed),
            };
        }
        let index = self.groups[group].commit(now, if marked { mark } else { 0 }, txn);
        self.txns[txn as usize].effects += 1;
        self.record_note(Note::Ran { txn, member });
        if self.txns[txn as usize].effects > 1 && effect != Effect::Repeatable {
            self.audit.record_violation(2, now, || format!("txn {txn} took effect twice"));
        }
        if told == Some(FinalAnswer::Declined) && effect != Effect::Repeatable {
            self.audit.record_violation(2, now, || format!("txn {txn} ran after it was declined"));
        }
        for at in 0..self.groups[group].members.len() {
            let other = self.groups[group].members[at];
            if other == member || self.members[other].gone {
                continue;
            }
            let arrives_at = if self.receives_log(other) {
                now + self.shipping_delay(member, other)
            } else {
                Duration::MAX
            };
            let idle = self.members[other].pending.is_empty();
            if idle {
                self.members[other].position = self.applied_until(other);
            }
            self.members[other].pending.push_back(Pending { index, at: now, arrives_at });
            if idle {
                self.schedule_step(other);
            }
        }
        if self.shape.log.synchronous {
            self.reply_once_replicated(sub, member, index);
        } else {
            self.reply(sub, AttemptOutcome::Committed);
        }
    }

    /// Answers a write once a replica has it, or at once if the group has no replica.
    fn reply_once_replicated(&mut self, sub: u32, member: usize, index: u64) {
        let (now, group) = (self.now, self.members[member].group);
        let others: Vec<usize> = self.groups[group]
            .members
            .iter()
            .copied()
            .filter(|&m| m != member && !self.members[m].gone)
            .collect();
        // A write that is no longer pending has been applied.
        let has = |m: &usize| {
            self.members[*m]
                .pending
                .iter()
                .find(|write| write.index == index)
                .is_none_or(|write| write.arrives_at <= now)
        };
        if others.is_empty() || others.iter().any(has) {
            self.reply(sub, AttemptOutcome::Committed);
        } else {
            self.await_replica(sub, group, index);
        }
    }

    /// A replica has received a write; the primary answers it if it is still primary.
    fn write_replicated(&mut self, sub: u32) {
        let member = self.submissions[sub as usize].member;
        let m = &self.members[member];
        if !m.up {
            return;
        }
        if m.hung > 0 {
            self.members[member].unread.push(sub);
        } else if m.claims_primary && self.groups[m.group].primary == Some(member) {
            self.reply(sub, AttemptOutcome::Committed);
        } else if m.claims_primary {
            self.members[member].orphaned.push(sub);
        } else {
            self.reply(sub, AttemptOutcome::Errored);
        }
    }

    fn probe_arrives(&mut self, front: usize, incarnation: u32, member: usize, sent: Duration) {
        let (now, hop) = (self.now, self.one_way_delay(front, member));
        let work = self.shape.probe.as_secs_f64();
        if self.members[member].up {
            self.add_cold_load(member, work, Load::Probe);
        }
        let m = &self.members[member];
        let lost = m.answer_loss > 0.0 && self.faults.share() < m.answer_loss;
        if !m.is_running() || self.is_cut_off(front, member) || lost {
            let at = (sent + self.shape.connect).max(now);
            self.calendar.set(at, Event::ProbeEnds(front, incarnation, member, None));
            return;
        }
        let old = m.load_report.made.is_none_or(|made| made + self.shape.report_every <= now);
        if old {
            let (role, position) = self.reported_state(member);
            let m = &self.members[member];
            let busy = (m.at_work() as f64 / self.shape.cores).min(1.0);
            let (waiting, busy) = if m.hides_load { (0.0, 0.0) } else { (m.waiting.len() as f64, busy) };
            let load_report =
                LoadReport { made: Some(now), primary: role == Role::Primary, position, waiting, busy };
            self.members[member].load_report = load_report;
        }
        let load_report = Some(self.members[member].load_report);
        self.calendar.set(now + hop, Event::ProbeEnds(front, incarnation, member, load_report));
    }

    // Elections and roles.

    /// Schedules the detection of a lost primary, unless the primary is sound or an election is under way.
    fn check_primary(&mut self, group: usize) {
        let g = &self.groups[group];
        let sound = g.primary.is_some_and(|p| self.members[p].reaches_peers() && !self.is_isolated(p));
        if sound || g.electing {
            return;
        }
        let noticed = self.elections.span(self.shape.election.noticed);
        let g = &mut self.groups[group];
        (g.electing, g.generation) = (true, g.generation + 1);
        let generation = g.generation;
        self.calendar.set(self.now + noticed, Event::PrimaryLost(group, generation));
    }

    /// Whether a primary with other members in its group reaches none of them, although all of them are up.
    fn is_isolated(&self, primary: usize) -> bool {
        let group = self.members[primary].group;
        let mut others =
            self.groups[group].members.iter().filter(|&&m| m != primary && !self.members[m].gone).peekable();
        others.peek().is_some() && others.all(|&m| self.members[m].up && !self.receives_log(m))
    }

    /// The other members have noticed the loss: schedules the election unless the primary is back.
    fn confirm_loss(&mut self, group: usize, generation: u32) {
        if self.groups[group].generation != generation {
            return;
        }
        if self.groups[group].primary.is_some_and(|p| self.members[p].reaches_peers() && !self.is_isolated(p))
        {
            self.groups[group].electing = false;
            return;
        }
        let elected = self.elections.span(self.shape.election.elected);
        self.calendar.set(self.now + elected, Event::Elect(group, generation));
    }

    /// Makes the running member with the most of the log the primary, and drops the writes that it does not have. The
    /// old primary is never elected.
    fn elect(&mut self, group: usize, generation: u32) {
        if self.groups[group].generation != generation {
            return;
        }
        let handing_over = std::mem::take(&mut self.groups[group].handing_over);
        let old = self.groups[group].primary;
        let sound = old.is_some_and(|p| self.members[p].reaches_peers() && !self.is_isolated(p));
        self.groups[group].electing = false;
        if sound && !handing_over {
            return;
        }
        let now = self.now;
        let end = self.groups[group].next_index();
        let has =
            |m: usize| self.members[m].pending.iter().find(|w| w.arrives_at > now).map_or(end, |w| w.index);
        let fit = |&m: &usize| Some(m) != old && self.members[m].reaches_peers() && !self.members[m].drains;
        let fits = self.groups[group].members.iter().copied().filter(fit);
        let Some(next) = fits.max_by_key(|&m| (has(m), std::cmp::Reverse(m))) else {
            if !sound {
                self.groups[group].electing = true;
                self.calendar.set(now + ELECTION_RETRY, Event::Elect(group, generation));
            }
            return;
        };
        let has = has(next);
        self.fix_positions(group);
        let dropped = self.groups[group].truncate_from(has);
        for write in dropped {
            let effects = &mut self.txns[write.txn as usize].effects;
            *effects = effects.saturating_sub(1);
            self.record_note(Note::Undone { txn: write.txn });
        }
        for at in 0..self.groups[group].members.len() {
            let m = self.groups[group].members[at];
            self.members[m].advance(now, &self.shape);
            while self.members[m].pending.back().is_some_and(|w| w.index >= has) {
                self.members[m].pending.pop_back();
            }
            if self.members[m].pending.is_empty() {
                self.members[m].stop_applying();
            }
        }
        let unanswered = std::mem::take(&mut self.groups[group].unanswered);
        let m = &mut self.members[next];
        m.pending.clear();
        m.stop_applying();
        (m.claims_primary, m.was_primary, m.position) = (true, true, now);
        m.epoch += 1;
        (self.groups[group].primary, self.groups[group].term) = (Some(next), self.groups[group].term + 1);
        self.record_note(Note::Primary { group, member: next });
        if let Some(old) = old {
            let m = &mut self.members[old];
            m.position = m.position.min(now);
            if m.reaches_peers() {
                if handing_over {
                    self.step_down(old);
                } else {
                    self.schedule_learning(old);
                }
            }
        }
        for (sub, _) in unanswered {
            let member = self.submissions[sub as usize].member;
            if self.members[member].claims_primary {
                self.members[member].orphaned.push(sub)
            } else {
                self.reply(sub, AttemptOutcome::Errored)
            }
        }
        self.resume_shipping(group);
    }

    fn schedule_learning(&mut self, member: usize) {
        let wait = self.elections.span(self.shape.election.learns);
        let epoch = self.members[member].epoch;
        self.calendar.set(self.now + wait, Event::LearnDemotion(member, epoch));
    }

    /// A former primary learns that it was deposed, if it still is and is reachable.
    fn learn_demotion(&mut self, member: usize, epoch: u32) {
        let m = &self.members[member];
        let deposed = m.claims_primary && self.groups[m.group].primary != Some(member);
        if m.epoch == epoch && deposed && m.reaches_peers() {
            self.step_down(member);
        }
    }

    /// Turns a former primary into a replica. Writes that it could not commit end in errors.
    fn step_down(&mut self, member: usize) {
        let group = self.members[member].group;
        self.members[member].claims_primary = false;
        self.resume_following(member);
        let orphaned = std::mem::take(&mut self.members[member].orphaned);
        orphaned.into_iter().for_each(|sub| self.reply(sub, AttemptOutcome::Errored));
        self.resume_shipping(group);
    }

    /// Queues all writes after a member's position for it; `resume_shipping` sends them.
    fn resume_following(&mut self, member: usize) {
        let m = &self.members[member];
        let (position, group) = (m.position, m.group);
        let arrives_at = Duration::MAX;
        let since = self.groups[group].writes_after(position);
        self.members[member].pending = since.map(|(index, at)| Pending { index, at, arrives_at }).collect();
        self.members[member].stop_applying();
    }

    /// Stops a member at once. Everything it was working on is lost.
    fn kill(&mut self, member: usize) {
        let group = self.members[member].group;
        self.fix_positions(group);
        let all = self.members[member].drop_all_work();
        self.members[member].up = false;
        self.members[member].claims_primary = false;
        self.members[member].generation += 1;
        self.record_note(Note::Killed { member });
        for sub in all {
            let Submission { txn, outcome_decided, .. } = self.submissions[sub as usize];
            if !outcome_decided {
                let front = self.txns[txn as usize].front;
                if self.is_cut_off(front, member) {
                    self.submissions[sub as usize].outcome_decided = true;
                } else {
                    let hop = self.one_way_delay(front, member);
                    self.end_submission_at(sub, AttemptOutcome::Dropped, self.now + hop);
                }
            }
        }
        let its = |&(sub, _): &(u32, u64)| self.submissions[sub as usize].member == member;
        let unanswered =
            self.groups[group].unanswered.iter().filter(|w| its(w)).map(|w| w.0).collect::<Vec<_>>();
        self.groups[group].unanswered.retain(|w| self.submissions[w.0 as usize].member != member);
        for sub in unanswered {
            let hop =
                self.one_way_delay(self.txns[self.submissions[sub as usize].txn as usize].front, member);
            self.end_submission_at(sub, AttemptOutcome::Dropped, self.now + hop);
        }
        self.check_primary(group);
    }

    /// Restarts a member cold, at the log position at which it stopped.
    fn start(&mut self, member: usize) {
        if self.members[member].gone {
            return;
        }
        let (now, group) = (self.now, self.members[member].group);
        self.record_note(Note::Started { member });
        self.fix_positions(group);
        let m = &mut self.members[member];
        (m.up, m.drains, m.started) = (true, false, Some(now));
        m.advance(now, &self.shape);
        m.load_report = LoadReport::default();
        if self.groups[group].primary == Some(member) {
            // No other member was elected, so it continues as primary.
            self.members[member].claims_primary = true;
        } else {
            self.resume_following(member);
        }
        self.resume_shipping(group);
        self.entries[member].started = Some(now);
        self.entries[member].state = ListedState::Up;
        self.announce(member);
    }

    // The server list.

    /// Sends a member's list entry to all fronts, or keeps it back while the list is silent.
    fn announce(&mut self, member: usize) {
        if self.list_silences > 0 {
            self.unannounced.insert(member);
            return;
        }
        let change = self.list_changes.len() as u32;
        self.list_changes.push(self.entries[member]);
        for front in 0..self.fronts.len() {
            let list_delay = self.lists.span(self.shape.list_late) + self.list_delay;
            let incarnation = self.fronts[front].incarnation;
            self.calendar.set(self.now + list_delay, Event::ListChange(front, incarnation, change));
        }
    }

    // Troubles.

    /// The members that a trouble affects, among those that still exist.
    fn resolve_targets(&mut self, whom: Targets) -> Vec<usize> {
        let is_there = |&m: &usize| !self.members[m].gone;
        match whom {
            Targets::Member(member) => vec![member].into_iter().filter(is_there).collect(),
            Targets::Primary(group) => self.groups[group].primary.into_iter().filter(is_there).collect(),
            Targets::Replicas(group) => {
                let g = &self.groups[group];
                g.members.iter().copied().filter(|&m| Some(m) != g.primary && is_there(&m)).collect()
            }
            Targets::Zone(zone) => {
                (0..self.members.len()).filter(|m| self.members[*m].zone == zone && is_there(m)).collect()
            }
            Targets::All => (0..self.members.len()).filter(is_there).collect(),
            Targets::Some(share) => {
                let mut all: Vec<usize> = (0..self.members.len()).filter(is_there).collect();
                let n = ((all.len() as f64 * share).round() as usize).clamp(1, all.len());
                for i in 0..n {
                    let with = i + self.faults.below(all.len() - i);
                    all.swap(i, with);
                }
                all.truncate(n);
                all
            }
        }
    }

    /// Starts a trouble of the script.
    fn begin_fault(&mut self, trouble: usize) {
        let ScheduledFault { what, .. } = self.shape.troubles[trouble];
        match what {
            What::Member(whom, ill) => {
                let affected = self.resolve_targets(whom);
                self.affected[trouble] = affected.clone();
                affected.into_iter().for_each(|member| self.inject_fault(member, ill));
            }
            What::ZoneCut(zone) => {
                (0..self.groups.len()).for_each(|group| self.fix_positions(group));
                self.zone_cuts[zone] += 1;
                (0..self.groups.len()).for_each(|group| self.check_primary(group));
            }
            What::ListSilent => self.list_silences += 1,
            What::ListLate(by) => self.list_delay += by,
            What::ListWrong(whom) => {
                let affected = self.resolve_targets(whom);
                for &member in &affected {
                    self.entries[member].state = ListedState::Removed;
                    self.announce(member);
                }
                self.affected[trouble] = affected;
            }
            What::FrontStands(front) => self.fronts[front].pauses += 1,
            What::FrontKilled(front) => {
                let f = &mut self.fronts[front];
                (f.up, f.incarnation) = (false, f.incarnation + 1);
                f.delayed.clear();
                let open = std::mem::take(&mut f.open);
                self.audit.forget_front(front);
                for txn in open {
                    if self.txns[txn as usize].told.is_none() {
                        self.record_answer(txn, FinalAnswer::Nothing, None);
                    }
                }
                for member in &mut self.members {
                    let idle = member.pools.remove(&front).map_or(0, |pool| pool.len());
                    member.open = member.open.saturating_sub(idle);
                }
            }
            What::Surge(times) => self.surge *= times,
        }
    }

    /// Applies a fault to a member.
    fn inject_fault(&mut self, member: usize, ill: MemberFault) {
        let group = self.members[member].group;
        self.fix_positions(group);
        self.members[member].advance(self.now, &self.shape);
        match ill {
            MemberFault::Killed => self.kill(member),
            MemberFault::Replaced => {
                self.kill(member);
                self.members[member].gone = true;
                self.entries[member].state = ListedState::Removed;
                self.announce(member);
            }
            MemberFault::Hung => self.members[member].hung += 1,
            MemberFault::CutFromFronts => self.members[member].cut_from_fronts += 1,
            MemberFault::CutFromPeers => self.members[member].cut_from_peers += 1,
            MemberFault::Slow(times) => self.members[member].speed /= times,
            MemberFault::Errors(share) => self.members[member].error_rate += share,
            MemberFault::Loses(share) => self.members[member].answer_loss += share,
            MemberFault::Lags(times) => self.members[member].lag_factor *= times,
            MemberFault::LiesIdle => self.members[member].hides_load = true,
            MemberFault::Drained | MemberFault::Moved => {
                if ill == MemberFault::Drained {
                    self.members[member].drains = true;
                    self.entries[member].state = ListedState::Draining;
                    self.announce(member);
                }
                if self.groups[group].primary == Some(member) {
                    let handed = self.elections.span(self.shape.election.handed);
                    let g = &mut self.groups[group];
                    (g.handing_over, g.electing, g.generation) = (true, true, g.generation + 1);
                    let generation = g.generation;
                    self.calendar.set(self.now + handed, Event::Elect(group, generation));
                }
            }
        }
        self.check_primary(group);
        self.schedule_step(member);
    }

    /// Ends a trouble of the script.
    fn end_fault(&mut self, trouble: usize) {
        let ScheduledFault { what, .. } = self.shape.troubles[trouble];
        let affected = std::mem::take(&mut self.affected[trouble]);
        match what {
            What::Member(_, ill) => affected.into_iter().for_each(|member| self.clear_fault(member, ill)),
            What::ZoneCut(zone) => {
                (0..self.groups.len()).for_each(|group| self.fix_positions(group));
                self.zone_cuts[zone] -= 1;
                for group in 0..self.groups.len() {
                    self.reconnect_group(group);
                }
            }
            What::ListSilent => {
                self.list_silences -= 1;
                if self.list_silences == 0 {
                    std::mem::take(&mut self.unannounced)
                        .into_iter()
                        .for_each(|member| self.announce(member));
                }
            }
            What::ListLate(by) => self.list_delay = self.list_delay.saturating_sub(by),
            What::ListWrong(_) => {
                for member in affected {
                    self.entries[member].state = ListedState::Up;
                    self.announce(member);
                }
            }
            What::FrontStands(front) => {
                let f = &mut self.fronts[front];
                f.pauses -= 1;
                if f.pauses == 0 {
                    let delayed = std::mem::take(&mut f.delayed);
                    // The queued events come first, before any that came since.
                    let later = std::mem::take(&mut self.ready);
                    delayed.into_iter().for_each(|out| self.deliver_delayed(out));
                    self.ready.extend(later);
                }
            }
            What::FrontKilled(front) => {
                self.fronts[front].up = true;
                let known = self.entries.iter().map(|e| Entry { state: ListedState::Up, ..*e }).collect();
                self.ready.push_back(Out::Born { front, known });
                // The front starts from an outdated list; the current state follows as changes.
                for member in 0..self.entries.len() {
                    if self.entries[member].state != ListedState::Up {
                        let change = self.list_changes.len() as u32;
                        self.list_changes.push(self.entries[member]);
                        let list_delay = self.lists.span(self.shape.list_late);
                        let incarnation = self.fronts[front].incarnation;
                        self.calendar
                            .set(self.now + list_delay, Event::ListChange(front, incarnation, change));
                    }
                }
            }
            What::Surge(times) => self.surge /= times,
        }
    }

    /// Delivers an event that was queued while its front was paused. Txns of clients that have left are dropped,
    /// remaining times are computed anew, and rows reach their clients only now.
    fn deliver_delayed(&mut self, out: Out) {
        let out = match out {
            Out::Arrived { front, txn, kind, group, retried, .. } => {
                let left = self.txns[txn as usize].expiry.saturating_sub(self.now);
                if left.is_zero() {
                    self.fronts[front].open.remove(&txn);
                    return;
                }
                Out::Arrived { front, txn, kind, group, left, retried }
            }
            Out::Ended { front, txn, member, ending, role, position, took, .. } => {
                let Txn { told, expiry, .. } = self.txns[txn as usize];
                if ending == AttemptOutcome::Committed && told.is_none() && self.now <= expiry && !self.remote
                {
                    self.record_answer(txn, FinalAnswer::Committed, None);
                }
                let over = self.txns[txn as usize].told.is_some();
                Out::Ended { front, txn, member, ending, role, position, took, over }
            }
            other => other,
        };
        self.ready.push_back(out);
    }

    /// Ends a fault of a member.
    fn clear_fault(&mut self, member: usize, ill: MemberFault) {
        let group = self.members[member].group;
        self.fix_positions(group);
        self.members[member].advance(self.now, &self.shape);
        match ill {
            MemberFault::Killed | MemberFault::Drained => {
                if ill == MemberFault::Drained && self.members[member].up {
                    self.kill(member);
                }
                self.start(member);
            }
            MemberFault::Replaced => self.replace(member),
            MemberFault::Hung => {
                self.members[member].hung -= 1;
                if self.members[member].hung == 0 {
                    let unread = std::mem::take(&mut self.members[member].unread);
                    for sub in unread {
                        // Writes that have run wait for a replica again; everything else starts now.
                        let txn = self.submissions[sub as usize].txn as usize;
                        if self.txns[txn].effects > 0 && !self.is_read(sub) {
                            self.write_replicated(sub)
                        } else {
                            self.submission_arrives(sub)
                        }
                    }
                }
            }
            MemberFault::CutFromFronts => self.members[member].cut_from_fronts -= 1,
            MemberFault::CutFromPeers => self.members[member].cut_from_peers -= 1,
            MemberFault::Slow(times) => self.members[member].speed *= times,
            MemberFault::Errors(share) => self.members[member].error_rate -= share,
            MemberFault::Loses(share) => self.members[member].answer_loss -= share,
            MemberFault::Lags(times) => self.members[member].lag_factor /= times,
            MemberFault::LiesIdle => self.members[member].hides_load = false,
            MemberFault::Moved => {}
        }
        self.reconnect_group(group);
        self.schedule_step(member);
    }

    /// Resumes log shipping after members of a group can reach each other again, and schedules that a former primary
    /// learns of the change.
    fn reconnect_group(&mut self, group: usize) {
        for at in 0..self.groups[group].members.len() {
            let member = self.groups[group].members[at];
            let m = &self.members[member];
            if m.claims_primary && self.groups[group].primary != Some(member) && m.reaches_peers() {
                self.schedule_learning(member);
            }
        }
        self.resume_shipping(group);
        self.check_primary(group);
    }

    /// Adds a new member in place of one that was removed.
    fn replace(&mut self, old: usize) {
        let (now, member) = (self.now, self.members.len());
        let Member { group, zone, .. } = self.members[old];
        let mut new = Member::new(group, zone);
        new.advance(now, &self.shape);
        (new.started, new.position) = (Some(now), now.saturating_sub(self.shape.log.copy));
        self.members.push(new);
        self.groups[group].members.push(member);
        let (state, primary, started) = (ListedState::Up, false, Some(now));
        self.entries.push(Entry { member, group, zone, state, primary, started });
        self.resume_following(member);
        self.resume_shipping(group);
        self.announce(member);
    }
}
