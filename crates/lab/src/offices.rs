//! Simulates lease holders over many seeds: the program's own membership and lease protocols, over a network that
//! loses, duplicates, delays and partitions, with drifting clocks, and with processes that are killed, or paused
//! between reading the clock and writing. Checks use the simulation's global state, not what any front reports.

use juniperdock_emulator::Stream;
use juniperdock_lease::{CLOCK_DRIFT_DIVISOR, FleetView, LeaseManager, TaskId, TaskSet};
use juniperdock_membership::{
    Connectivity, Event, Host, Keys, Membership, NEWEST_VERSION, Timing, incarnation_at,
};
use rayon::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
const MEMBERSHIP_PERIOD: Duration = Duration::from_millis(250);
const LEASE_DURATION: Duration = Duration::from_millis(1500);
/// Wall-clock time at which the simulation starts; incarnations are derived from it. The value is arbitrary.
const SIMULATION_EPOCH: Duration = Duration::from_secs(1_790_000_000);
/// Interval at which a lease holder sends an effect for each of its tasks.
const EFFECT_INTERVAL: Duration = Duration::from_millis(150);

/// Figures, summed up over all seeds.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub seeds: u64,
    pub changes: u64,
    pub effects: u64,
    pub stale_sent: u64,
    pub stale_applied: u64,
    pub two_at_once: u64,
    /// Longest time for which a task had no owner while no fault was active.
    pub longest_gap: Duration,
    pub faults: u64,
    /// Seeds on which a rule was violated.
    pub broken: Vec<u64>,
}

impl Figures {
    /// Whether no seed violated a rule and the run exercised stale effects and changes of owners.
    pub fn holds(&self) -> bool {
        self.broken.is_empty() && self.stale_sent > 0 && self.changes > self.seeds
    }

    fn add(mut self, other: Figures) -> Figures {
        self.seeds += other.seeds;
        self.changes += other.changes;
        self.effects += other.effects;
        self.stale_sent += other.stale_sent;
        self.stale_applied += other.stale_applied;
        self.two_at_once += other.two_at_once;
        self.faults += other.faults;
        self.longest_gap = self.longest_gap.max(other.longest_gap);
        self.broken.extend(other.broken);
        self
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "offices (simulated): seeds={} mishaps={} changes={} effects={} stale_effects_sent={} stale_effects_applied={} \
             two_at_once={} longest_gap_ms={} broken={:?}",
            self.seeds,
            self.faults,
            self.changes,
            self.effects,
            self.stale_sent,
            self.stale_applied,
            self.two_at_once,
            self.longest_gap.as_millis(),
            self.broken
        )
    }
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub fronts: usize,
    pub lasts: Duration,
    /// Clock drift as a multiple of the allowed drift; above 1, two simultaneous owners are expected.
    pub drift: f64,
    /// Receivers also apply stale effects, to show that the simulation produces them and detects the harm.
    pub unfenced: bool,
}

/// Collects what the membership core sends and delivers.
#[derive(Default)]
struct MembershipIo {
    sends: Vec<(usize, Vec<u8>)>,
    bodies: Vec<(usize, Vec<u8>)>,
}

impl Host for MembershipIo {
    fn send(&mut self, to: usize, datagram: &[u8]) {
        self.sends.push((to, datagram.to_vec()));
    }
    fn event(&mut self, _event: Event) {}
    fn deliver(&mut self, from: usize, body: &[u8]) {
        self.bodies.push((from, body.to_vec()));
    }
}

/// Sends lease messages through the membership protocol, which authenticates them, and records lease events.
struct LeaseIo<'a> {
    core: &'a mut Membership,
    io: &'a mut MembershipIo,
    done: &'a mut Vec<(TaskId, u64)>,
    refused: &'a mut Vec<(TaskId, u64)>,
    acquired: &'a mut u64,
}

impl juniperdock_lease::Host for LeaseIo<'_> {
    fn send(&mut self, to: usize, body: &[u8]) {
        self.core.send_payload(to, body, self.io);
    }
    fn event(&mut self, event: juniperdock_lease::Event) {
        match event {
            juniperdock_lease::Event::Acquired(..) => *self.acquired += 1,
            juniperdock_lease::Event::StaleEffect(task, term, _) => self.refused.push((task, term)),
            _ => {}
        }
    }
    fn effect(&mut self, _from: usize, task: TaskId, term: u64, _payload: &[u8]) {
        self.done.push((task, term));
    }
    fn report(&mut self, _from: usize, _duty: TaskId, _term: u64, _payload: &[u8]) {}
    fn announcement(&mut self, _from: usize, _duty: TaskId, _payload: &[u8]) {}
}

struct Front {
    core: Membership,
    lease_manager: LeaseManager,
    /// Start time, and rate of the front's clock.
    started: Duration,
    rate: f64,
    stopped_until: Duration,
    next_act: Duration,
}

impl Front {
    fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started).mul_f64(self.rate)
    }
}

/// A datagram in transit: time of arrival, sequence number, sender, receiver, content.
type InTransit = Reverse<(Duration, u64, usize, usize, Vec<u8>)>;

struct World {
    now: Duration,
    shape: Shape,
    fronts: Vec<Option<Front>>,
    restart_at: Vec<Duration>,
    in_transit: BinaryHeap<InTransit>,
    sent: u64,
    rng: Stream,
    /// Fronts on one side of a partition and its end; a front whose datagrams are all lost; a front whose datagrams are
    /// delayed.
    cut: (Vec<usize>, Duration),
    muted: (usize, Duration),
    delayed: (usize, Duration),
    tasks: TaskSet,
    /// By front index (across restarts) and task: the highest term of an applied effect.
    newest: BTreeMap<(usize, TaskId), u64>,
    ownerless: BTreeMap<TaskId, Duration>,
    calm_since: Duration,
    figures: Figures,
}

/// Simulates one seed.
pub fn play(seed: u64, shape: Shape) -> Figures {
    let mut world = World {
        now: Duration::ZERO,
        shape,
        fronts: (0..shape.fronts).map(|_| None).collect(),
        restart_at: vec![Duration::ZERO; shape.fronts],
        in_transit: BinaryHeap::new(),
        sent: 0,
        rng: Stream::of(seed, "offices", 0),
        cut: Default::default(),
        muted: Default::default(),
        delayed: Default::default(),
        tasks: (0..6).collect(),
        newest: BTreeMap::new(),
        ownerless: BTreeMap::new(),
        calm_since: Duration::ZERO,
        figures: Figures { seeds: 1, ..Figures::default() },
    };
    let mut next = Duration::from_secs(4);
    while world.now < shape.lasts {
        world.now += STEP;
        if world.now >= next && world.now + Duration::from_secs(6) < shape.lasts {
            world.inject_fault();
            next = world.now + Duration::from_secs_f64(0.6 + 1.6 * world.rng.share());
        }
        world.step();
        world.check_owners();
    }
    if world.figures.stale_applied > 0 || world.figures.two_at_once > 0 && shape.drift <= 1.0 {
        world.figures.broken.push(seed);
    }
    world.figures
}

/// Simulates many seeds on all cores.
pub fn all(first: u64, seeds: u64, shape: Shape) -> Figures {
    let each = (first..first + seeds).into_par_iter().map(|seed| play(seed, shape));
    let mut figures = each.reduce(Figures::default, Figures::add);
    figures.broken.sort_unstable();
    figures
}

impl World {
    fn start(&mut self, index: usize) {
        let keys = Keys::parse(&["5a".repeat(32)]).expect("a valid key");
        let seed = self.rng.below(usize::MAX >> 1) as u64;
        let incarnation = incarnation_at(SIMULATION_EPOCH + self.now);
        let core = Membership::new(
            index,
            self.shape.fronts,
            incarnation,
            seed,
            NEWEST_VERSION,
            Timing::with_period(MEMBERSHIP_PERIOD),
            keys,
        );
        let off = self.shape.drift / f64::from(CLOCK_DRIFT_DIVISOR);
        let rate = 1.0 + off * (2.0 * self.rng.share() - 1.0);
        let tasks = self.tasks.clone();
        let lease_manager = LeaseManager::new(
            Duration::ZERO,
            index,
            self.shape.fronts,
            incarnation,
            seed,
            LEASE_DURATION,
            tasks,
        );
        let (started, next_act) = (self.now, self.now);
        self.fronts[index] =
            Some(Front { core, lease_manager, started, rate, stopped_until: Duration::ZERO, next_act });
    }

    fn inject_fault(&mut self) {
        self.figures.faults += 1;
        let index = self.rng.below(self.shape.fronts);
        let span = Duration::from_secs_f64(0.8 + 3.2 * self.rng.share());
        let ends = self.now + span;
        self.calm_since = self.calm_since.max(ends);
        match self.rng.below(6) {
            0 => {
                self.fronts[index] = None;
                self.restart_at[index] = ends;
            }
            1 | 2 => self.fronts[index].iter_mut().for_each(|front| front.stopped_until = ends),
            3 => {
                let size = 1 + self.rng.below(self.shape.fronts / 2);
                self.cut = ((index..index + size).map(|front| front % self.shape.fronts).collect(), ends);
            }
            4 => self.muted = (index, ends),
            _ => self.delayed = (index, ends),
        }
    }

    fn send(&mut self, from: usize, sends: Vec<(usize, Vec<u8>)>, departure_delay: Duration) {
        for (to, datagram) in sends {
            self.sent += 1;
            let partitioned = self.now < self.cut.1 && self.cut.0.contains(&from) != self.cut.0.contains(&to);
            let muted = self.now < self.muted.1 && self.muted.0 == from;
            if partitioned || muted || self.rng.share() < 0.02 {
                continue;
            }
            let delayed = if self.now < self.delayed.1 && self.delayed.0 == from { 4.0 } else { 0.02 };
            for _ in 0..1 + usize::from(self.rng.share() < 0.02) {
                let way = Duration::from_secs_f64(0.001 + delayed * self.rng.share());
                self.in_transit.push(Reverse((
                    self.now + departure_delay + way,
                    self.sent,
                    from,
                    to,
                    datagram.clone(),
                )));
            }
        }
    }

    /// Calls a front that is running, then records what it did and sends its datagrams after `departure_delay`.
    fn call_front(
        &mut self,
        index: usize,
        departure_delay: Duration,
        call: impl FnOnce(&mut Front, Duration, &mut MembershipIo, &mut Tally),
    ) {
        let Some(mut front) = self.fronts[index].take() else { return };
        let (clock, mut io, mut tally) = (front.clock(self.now), MembershipIo::default(), Tally::default());
        call(&mut front, clock, &mut io, &mut tally);
        self.fronts[index] = Some(front);
        self.figures.changes += tally.acquired;
        self.figures.stale_sent += tally.refused.len() as u64;
        self.figures.effects += tally.done.len() as u64;
        for (task, term) in tally.done {
            let newest = self.newest.entry((index, task)).or_default();
            self.figures.stale_applied += u64::from(term < *newest);
            *newest = term.max(*newest);
        }
        self.send(index, io.sends, departure_delay);
    }

    fn step(&mut self) {
        for index in 0..self.shape.fronts {
            if self.fronts[index].is_none() && self.now >= self.restart_at[index] {
                self.start(index);
            }
        }
        while let Some(Reverse((_, _, from, to, datagram))) = self
            .in_transit
            .peek()
            .is_some_and(|way| way.0.0 <= self.now)
            .then(|| self.in_transit.pop())
            .flatten()
        {
            let runs = self.fronts[to].as_ref().map(|front| front.stopped_until);
            match runs {
                None => {}
                // The front reads the datagram when it resumes.
                Some(until) if until > self.now => {
                    self.sent += 1;
                    self.in_transit.push(Reverse((until, self.sent, from, to, datagram)));
                }
                Some(_) => {
                    let unfenced = self.shape.unfenced;
                    self.call_front(to, Duration::ZERO, |front, clock, io, tally| {
                        let _ = front.core.handle_datagram(clock, from, &datagram, io);
                        for (from, body) in std::mem::take(&mut io.bodies) {
                            tally.handle_message(front, clock, from, &body, io);
                        }
                        // Without fencing, refused effects are applied as well.
                        if unfenced {
                            tally.done.extend(tally.refused.iter().copied());
                        }
                    });
                }
            }
        }
        for index in 0..self.shape.fronts {
            if self.fronts[index].as_ref().is_none_or(|front| front.stopped_until > self.now) {
                continue;
            }
            let others: Vec<usize> = (0..self.shape.fronts).collect();
            self.call_front(index, Duration::ZERO, |front, clock, io, tally| {
                front.core.handle_timeout(clock, io);
                let present = front.core.present();
                let eligible = front.core.connectivity().0 == Connectivity::Majority && !front.core.slow();
                let view = FleetView { present: &present, eligible };
                front.lease_manager.raise_term_floor(front.core.incarnation());
                tally.handle_timeout(front, clock, view, io);
            });
            let acts = self.fronts[index].as_ref().is_some_and(|front| front.next_act <= self.now);
            if acts {
                // Occasionally the front is paused right after it has read the clock, so that its datagrams leave late.
                let stops = self.rng.share() < 0.01;
                let departure_delay = if stops {
                    Duration::from_secs_f64(0.5 + 4.0 * self.rng.share())
                } else {
                    Duration::ZERO
                };
                let now = self.now;
                self.call_front(index, departure_delay, |front, clock, io, tally| {
                    front.next_act = now + EFFECT_INTERVAL;
                    for (task, term) in front.lease_manager.held_tasks(clock) {
                        tally.send_effect(front, clock, task, term, &others, io);
                    }
                });
                if stops && let Some(front) = &mut self.fronts[index] {
                    front.stopped_until = now + departure_delay;
                    self.calm_since = self.calm_since.max(now + departure_delay);
                }
            }
        }
    }

    /// Checks the actual owners of each task.
    fn check_owners(&mut self) {
        for task in self.tasks.clone() {
            let holds = |front: &&Front| front.lease_manager.held_term(front.clock(self.now), task).is_some();
            let owners = self.fronts.iter().flatten().filter(holds).count();
            self.figures.two_at_once += u64::from(owners > 1);
            let calm = self.now > self.calm_since + Duration::from_secs(1);
            if owners > 0 || !calm {
                self.ownerless.remove(&task);
            } else {
                let since = *self.ownerless.entry(task).or_insert(self.now);
                self.figures.longest_gap = self.figures.longest_gap.max(self.now - since);
            }
        }
    }
}

/// What a front did during one call.
#[derive(Default)]
struct Tally {
    done: Vec<(TaskId, u64)>,
    refused: Vec<(TaskId, u64)>,
    acquired: u64,
}

impl Tally {
    fn lease_io<'a>(&'a mut self, core: &'a mut Membership, io: &'a mut MembershipIo) -> LeaseIo<'a> {
        LeaseIo { core, io, done: &mut self.done, refused: &mut self.refused, acquired: &mut self.acquired }
    }

    fn handle_message(
        &mut self,
        front: &mut Front,
        clock: Duration,
        from: usize,
        body: &[u8],
        io: &mut MembershipIo,
    ) {
        let _ =
            front.lease_manager.handle_message(clock, from, body, &mut self.lease_io(&mut front.core, io));
    }

    fn handle_timeout(&mut self, front: &mut Front, clock: Duration, view: FleetView, io: &mut MembershipIo) {
        front.lease_manager.handle_timeout(clock, view, &mut self.lease_io(&mut front.core, io));
    }

    fn send_effect(
        &mut self,
        front: &mut Front,
        clock: Duration,
        task: TaskId,
        term: u64,
        to: &[usize],
        io: &mut MembershipIo,
    ) {
        front.lease_manager.send_effect(
            &mut || clock,
            task,
            term,
            to,
            b"effect",
            &mut self.lease_io(&mut front.core, io),
        );
    }
}
