//! Routing decisions of a front in simulated time: the router of this build, or a baseline policy. Baselines read
//! the true roles, positions and states of members from the emulator, which a real front cannot do; they differ
//! only in how they choose a member.

use crate::scenario::Scenario;
use juniperdock_emulator::{Entry, FinalAnswer, Out, Stream, World};
use juniperdock_membership::{Keys, Membership, NEWEST_VERSION, Timing, incarnation_at};
use juniperdock_router::host::{
    Consistency, Effect, FrontInfo, Host, ListedStart, ListedState, SessionWrite, TxnType,
};
use juniperdock_router::routing::Router;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Wall-clock time at which the simulation starts; incarnations of fronts are derived from it. The value is arbitrary.
const SIMULATION_EPOCH: Duration = Duration::from_secs(1_790_000_000);
/// Default period of the membership protocol in the operators' file.
const MEMBERSHIP_PERIOD: Duration = Duration::from_millis(500);
/// Handle of the membership timer; the router does not use this value.
const MEMBERSHIP_TIMER: u64 = u64::MAX;

/// Routing policy of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The router of this build.
    Router,
    /// Sends everything to the primary.
    Primary,
    Random,
    RoundRobin,
    /// Fewest submissions in flight from the same front.
    Least,
    /// Of two members chosen at random, the one with fewer submissions in flight.
    TwoChoices,
    /// The member with the lowest actual load.
    SeesAll,
}

impl Policy {
    /// All policies by name.
    pub const ALL: [(&'static str, Policy); 7] = [
        ("router", Policy::Router),
        ("primary", Policy::Primary),
        ("random", Policy::Random),
        ("round-robin", Policy::RoundRobin),
        ("least", Policy::Least),
        ("two-choices", Policy::TwoChoices),
        ("sees-all", Policy::SeesAll),
    ];

    /// Parses the name of a policy.
    pub fn named(name: &str) -> Result<Policy, String> {
        let known = Policy::ALL.iter().find(|(known, _)| *known == name);
        known.map(|known| known.1).ok_or_else(|| {
            let all: Vec<&str> = Policy::ALL.iter().map(|known| known.0).collect();
            format!("expected one of {}, found {name:?}", all.join(", "))
        })
    }

    pub fn name(self) -> &'static str {
        Policy::ALL.iter().find(|known| known.1 == self).map_or("", |known| known.0)
    }
}

/// Defect that is injected into the router on purpose, to prove that the auditors detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Every third final answer is dropped.
    Answers,
    /// Once-only txns are submitted twice.
    Twice,
    /// Txns are sent to drained members.
    Drains,
    /// All txns of a group go to the member that started last.
    Cold,
    /// Reads go to the member with the highest lag.
    Stale,
}

impl Defect {
    /// In the order of the rules that they violate, starting with rule 1.
    pub const ALL: [Defect; 5] =
        [Defect::Answers, Defect::Twice, Defect::Drains, Defect::Cold, Defect::Stale];
}

/// A simulated front.
pub enum Front {
    Router(Box<RouterFront>),
    Baseline(Box<Baseline>),
}

impl Front {
    /// Creates the front with index `front` at the current time of `world`.
    pub fn new(
        policy: Policy,
        defect: Option<Defect>,
        scenario: &Scenario,
        seed: u64,
        front: usize,
        world: &World,
    ) -> Front {
        let types: Vec<TxnType> = world.shape().kinds.iter().map(|kind| kind.terms).collect();
        if policy == Policy::Router {
            let fronts = scenario.fleet.fronts;
            let zone = world.shape().fronts[front];
            let info = FrontInfo { index: front, fronts, zone };
            let own = Stream::of(seed, "router", front).number();
            let mut router = Router::new(own, info, types, scenario.cold());
            router.set_max_submissions(10);
            router.allow_cancelling();
            router.allow_probes(true);
            router.set_max_retry_after(Duration::from_millis(500));
            let ids = Ids {
                front,
                started_at: world.now(),
                next_membership_timeout: Duration::MAX,
                txns: Vec::new(),
                of: HashMap::new(),
                free: Vec::new(),
                intended: HashMap::new(),
                extra: HashMap::new(),
            };
            let (stopped, cold) = (BTreeSet::new(), None);
            let membership = scenario.fleet.fellows.then(|| {
                let keys = Keys::parse(&["5a".repeat(32)]).expect("a good key");
                let incarnation = incarnation_at(SIMULATION_EPOCH + world.now());
                let seed = Stream::of(seed, "fellows", front).number() ^ u64::from(incarnation);
                Box::new(Membership::new(
                    front,
                    fronts,
                    incarnation,
                    seed,
                    NEWEST_VERSION,
                    Timing::with_period(MEMBERSHIP_PERIOD),
                    keys,
                ))
            });
            return Front::Router(Box::new(RouterFront {
                router,
                ids,
                defect,
                stopped,
                cold,
                counter: 0,
                membership,
            }));
        }
        let rng = Stream::of(seed, "baseline", front);
        let (in_flight, cold, stopped) = (HashMap::new(), HashMap::new(), BTreeSet::new());
        Front::Baseline(Box::new(Baseline {
            policy,
            front,
            types,
            rng,
            in_flight,
            cold,
            stopped,
            pending: HashMap::new(),
            counter: 0,
        }))
    }

    /// Handles an event of the emulator.
    pub fn handle(&mut self, out: &Out, world: &mut World) {
        match self {
            Front::Router(front) => front.handle(out, world),
            Front::Baseline(front) => front.handle(out, world),
        }
    }

    /// The front's membership state; `None` where the membership protocol is off.
    pub fn membership(&self) -> Option<&Membership> {
        match self {
            Front::Router(front) => front.membership.as_deref(),
            Front::Baseline(_) => None,
        }
    }

    /// The member that the front considers primary of the group; the outer `None` if the policy tracks no primary.
    pub fn known_primary(&self, group: usize) -> Option<Option<usize>> {
        match self {
            Front::Router(front) => Some(front.router.primary_tracker().primary(group)),
            Front::Baseline(_) => None,
        }
    }
}

/// Maps txn ids of the emulator to indices of the router, and keeps state per front.
struct Ids {
    front: usize,
    started_at: Duration,
    /// Time at which the membership timer fires next.
    next_membership_timeout: Duration,
    txns: Vec<u32>,
    of: HashMap<u32, usize>,
    free: Vec<usize>,
    /// For submissions that a defect sent elsewhere: the member that the router had chosen.
    intended: HashMap<u32, usize>,
    /// Per txn, the number of completions to hide from the router: they belong to duplicate submissions that a
    /// defect made behind its back.
    extra: HashMap<u32, u32>,
}

/// A front that is driven by the router of this build.
pub struct RouterFront {
    router: Router,
    ids: Ids,
    defect: Option<Defect>,
    stopped: BTreeSet<usize>,
    cold: Option<usize>,
    counter: u32,
    membership: Option<Box<Membership>>,
}

/// Sends datagrams between fronts through the emulator. Membership events are ignored: the state is read
/// where it is needed.
struct DatagramSender<'a>(usize, &'a mut World);

impl juniperdock_membership::Host for DatagramSender<'_> {
    fn send(&mut self, to: usize, datagram: &[u8]) {
        self.1.share(self.0, to, datagram);
    }

    fn event(&mut self, _: juniperdock_membership::Event) {}
}

struct RouterHost<'a> {
    ids: &'a mut Ids,
    world: &'a mut World,
    defect: Option<Defect>,
    stopped: &'a BTreeSet<usize>,
    cold: Option<usize>,
    counter: &'a mut u32,
}

impl RouterHost<'_> {
    /// The member to which the injected defect redirects the txn; `member` if it does not apply.
    fn redirected(&self, txn: u32, member: usize) -> usize {
        let group = self.world.group_of(member);
        let mut all = self.world.members_of(group).iter().copied();
        let instead = match self.defect {
            Some(Defect::Drains) => all.find(|m| self.stopped.contains(m)),
            Some(Defect::Cold) => self.cold.filter(|&m| self.world.group_of(m) == group),
            Some(Defect::Stale) if !self.world.writes(txn) => all.max_by_key(|&m| self.world.age(m)),
            _ => None,
        };
        instead.unwrap_or(member)
    }
}

impl Host for RouterHost<'_> {
    fn send(&mut self, txn: usize, member: usize, _until: Duration) {
        let (front, id) = (self.ids.front, self.ids.txns[txn]);
        let to = self.redirected(id, member);
        if to != member {
            self.ids.intended.insert(id, member);
        }
        self.world.submit(front, id, to);
        if self.defect == Some(Defect::Twice) {
            *self.ids.extra.entry(id).or_default() += 1;
            self.world.submit(front, id, to);
        }
    }

    fn cancel(&mut self, txn: usize, submission: u32) {
        self.world.cancel(self.ids.front, self.ids.txns[txn], submission);
    }

    fn decline(&mut self, txn: usize, come_back: Option<Duration>) {
        *self.counter += 1;
        if self.defect != Some(Defect::Answers) || !self.counter.is_multiple_of(3) {
            self.world.answer(self.ids.front, self.ids.txns[txn], FinalAnswer::Declined, come_back);
        }
    }

    fn answer_unknown(&mut self, txn: usize) {
        *self.counter += 1;
        if self.defect != Some(Defect::Answers) || !self.counter.is_multiple_of(3) {
            self.world.answer(self.ids.front, self.ids.txns[txn], FinalAnswer::Unknown, None);
        }
    }

    fn release_txn(&mut self, txn: usize) {
        self.ids.of.remove(&self.ids.txns[txn]);
        self.ids.free.push(txn);
    }

    fn release_member(&mut self, _member: usize) {}

    fn probe(&mut self, member: usize) {
        self.world.probe(self.ids.front, member);
    }

    fn set_timer(&mut self, at: Duration, handle: u64) {
        self.world.set_timer(self.ids.front, self.ids.started_at + at, handle);
    }

    fn subscribe_to_member_list(&mut self) {}
}

impl RouterFront {
    /// Handles the part of an event that concerns membership; returns true if the event is then fully handled.
    fn handle_membership_event(&mut self, out: &Out, world: &mut World) -> bool {
        let (front, started_at) = (self.ids.front, self.ids.started_at);
        let Some(core) = self.membership.as_mut() else { return false };
        let now = world.now().saturating_sub(started_at);
        let mut sender = DatagramSender(front, world);
        match out {
            Out::Born { .. } | Out::Due { handle: MEMBERSHIP_TIMER, .. } => {
                core.handle_timeout(now, &mut sender)
            }
            Out::Shared { from, bytes, .. } => drop(core.handle_datagram(now, *from, bytes, &mut sender)),
            _ => return false,
        }
        let next = core.next_timeout();
        if next != self.ids.next_membership_timeout || now >= self.ids.next_membership_timeout {
            self.ids.next_membership_timeout = next;
            world.set_timer(front, started_at.saturating_add(next), MEMBERSHIP_TIMER);
        }
        !matches!(out, Out::Born { .. })
    }

    fn handle(&mut self, out: &Out, world: &mut World) {
        if self.handle_membership_event(out, world) {
            return;
        }
        let now = world.now().saturating_sub(self.ids.started_at);
        let started_at = self.ids.started_at;
        let at = |at: Option<Duration>| at.and_then(|at| at.checked_sub(started_at));
        match out {
            Out::Listed { entry, .. } if entry.state != ListedState::Up => {
                self.stopped.insert(entry.member);
            }
            Out::Listed { entry, .. } => {
                self.stopped.remove(&entry.member);
                self.cold = entry.started.map(|_| entry.member).or(self.cold);
            }
            _ => {}
        }
        if let Out::Ended { txn, .. } = out
            && let Some(extra) = self.ids.extra.get_mut(txn).filter(|extra| **extra > 0)
        {
            *extra -= 1;
            return;
        }
        let known = match out {
            Out::Arrived { txn, .. } => {
                let index = self.ids.free.pop().unwrap_or_else(|| {
                    self.ids.txns.push(0);
                    self.ids.txns.len() - 1
                });
                self.ids.txns[index] = *txn;
                self.ids.of.insert(*txn, index);
                Some(index)
            }
            Out::Left { txn, .. } | Out::Ended { txn, .. } => self.ids.of.get(txn).copied(),
            _ => None,
        };
        let RouterFront { router, ids, defect, stopped, cold, counter, .. } = self;
        let mut host = RouterHost { ids, world, defect: *defect, stopped, cold: *cold, counter };
        let start_of = |entry: &Entry, now: Duration| {
            entry.started.map(|started| ListedStart {
                told: started.as_micros() as i64,
                up_for: (started_at + now).saturating_sub(started),
            })
        };
        match (out, known) {
            (Out::Born { known, .. }, _) => {
                let mut listed = Vec::with_capacity(known.len());
                for e in known {
                    router.member_listed(
                        now,
                        e.member,
                        e.group,
                        e.zone,
                        e.state,
                        e.primary,
                        start_of(e, now),
                    );
                    listed.push(e.member);
                }
                router.list_completed(now, Some(&listed), &mut host);
            }
            (Out::Listed { entry: e, .. }, _) => {
                router.member_listed(now, e.member, e.group, e.zone, e.state, e.primary, start_of(e, now));
                router.list_completed(now, None, &mut host);
            }
            (&Out::Arrived { kind, group, left, retried, .. }, Some(index)) => {
                router.txn_arrived(
                    now,
                    index,
                    kind,
                    group,
                    left,
                    retried,
                    None,
                    None,
                    SessionWrite::Untold,
                    0,
                    &mut host,
                );
            }
            (Out::Left { .. }, Some(index)) => router.client_left(now, index, &mut host),
            (&Out::Ended { txn, member, ending, role, position, took, over, .. }, Some(index)) => {
                let member = host.ids.intended.remove(&txn).unwrap_or(member);
                router.submission_ended(
                    now,
                    index,
                    over,
                    member,
                    ending,
                    role,
                    at(position),
                    took,
                    &mut host,
                );
            }
            (&Out::Probed { member, ending, report, .. }, _) => {
                let report = juniperdock_router::host::Report { position: at(report.position), ..report };
                router.probe_ended(now, member, ending, report, &mut host);
            }
            (&Out::Due { handle, .. }, _) => router.timer_fired(now, handle, &mut host),
            _ => {}
        }
    }
}

/// A front that is driven by a baseline policy.
pub struct Baseline {
    policy: Policy,
    front: usize,
    types: Vec<TxnType>,
    rng: Stream,
    in_flight: HashMap<usize, usize>,
    /// Start time of each member that was listed with one.
    cold: HashMap<usize, Duration>,
    /// Members that are draining or gone.
    stopped: BTreeSet<usize>,
    pending: HashMap<u32, PendingTxn>,
    counter: usize,
}

/// A txn that a baseline is processing.
#[derive(Clone, Copy)]
struct PendingTxn {
    kind: usize,
    group: usize,
    expiry: Duration,
    sent: u32,
    may_have_run: bool,
}

/// Maximum number of submissions per txn.
const MAX_SUBMISSIONS: u32 = 3;
/// Allowance for transit time when a member is chosen by the true age of its data.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(20);

impl Baseline {
    fn handle(&mut self, out: &Out, world: &mut World) {
        match *out {
            Out::Listed { ref entry, .. } => {
                if entry.state == ListedState::Up {
                    self.stopped.remove(&entry.member);
                } else {
                    self.stopped.insert(entry.member);
                }
                if let Some(started) = entry.started {
                    self.cold.insert(entry.member, started);
                }
            }
            Out::Arrived { txn, kind, group, left, .. } => {
                let expiry = world.now() + left;
                self.pending.insert(txn, PendingTxn { kind, group, expiry, sent: 0, may_have_run: false });
                self.send(txn, world);
            }
            Out::Left { txn, .. } => drop(self.pending.remove(&txn)),
            Out::Ended { txn, member, ending, over, .. } => {
                self.in_flight.entry(member).and_modify(|n| *n -= 1);
                if over {
                    self.pending.remove(&txn);
                } else if let Some(at) = self.pending.get_mut(&txn) {
                    at.may_have_run |= !ending.never_ran();
                    self.send(txn, world);
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, txn: u32, world: &mut World) {
        let Some(&PendingTxn { kind, group, expiry, sent, may_have_run }) = self.pending.get(&txn) else {
            return;
        };
        let safe_to_resubmit = !may_have_run || self.types[kind].effect == Effect::Repeatable;
        let resubmit = safe_to_resubmit && sent < MAX_SUBMISSIONS && world.now() < expiry;
        if let Some(to) = resubmit.then(|| self.choose(kind, group, world)).flatten() {
            self.pending.insert(txn, PendingTxn { kind, group, expiry, sent: sent + 1, may_have_run });
            *self.in_flight.entry(to).or_default() += 1;
            world.submit(self.front, txn, to);
        } else {
            self.pending.remove(&txn);
            let answer = if safe_to_resubmit { FinalAnswer::Declined } else { FinalAnswer::Unknown };
            world.answer(self.front, txn, answer, Some(Duration::from_millis(100)));
        }
    }

    fn choose(&mut self, kind: usize, group: usize, world: &World) -> Option<usize> {
        let primary =
            world.primary(group).filter(|p| !self.stopped.contains(p) && world.reachable(self.front, *p));
        if self.types[kind].consistency == Consistency::Write || self.policy == Policy::Primary {
            return primary;
        }
        let warm_up = world.shape().cold.warm_up;
        let is_eligible = |&m: &usize| {
            let fresh = match self.types[kind].consistency {
                Consistency::Bounded(bound) => {
                    world.age(m).is_some_and(|age| age + TRANSIT_ALLOWANCE < bound)
                }
                _ => true,
            };
            let warm = self.cold.get(&m).is_none_or(|&since| since + warm_up < world.now());
            fresh && warm && !self.stopped.contains(&m) && world.reachable(self.front, m)
        };
        let eligible: Vec<usize> = world.members_of(group).iter().copied().filter(is_eligible).collect();
        if eligible.is_empty() {
            return primary;
        }
        let in_flight_at = |m: usize| self.in_flight.get(&m).copied().unwrap_or_default();
        self.counter += 1;
        Some(match self.policy {
            Policy::Random => eligible[self.rng.below(eligible.len())],
            Policy::RoundRobin => eligible[self.counter % eligible.len()],
            Policy::TwoChoices => {
                let (a, b) =
                    (eligible[self.rng.below(eligible.len())], eligible[self.rng.below(eligible.len())]);
                if in_flight_at(b) < in_flight_at(a) { b } else { a }
            }
            Policy::SeesAll => eligible.iter().copied().min_by_key(|&m| (world.held(m), m))?,
            _ => eligible.iter().copied().min_by_key(|&m| (in_flight_at(m), m))?,
        })
    }
}
