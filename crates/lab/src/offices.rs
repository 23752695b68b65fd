//! Owners at size and by the hundred seeds, in simulated time: the program's own membership and leases, between them
//! a network that loses, doubles, delays and cuts, clocks that drift, processes that are killed, and stopped between
//! their look at the clock and the write. What is judged is what is true, not what any front says.

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
const EVERY: Duration = Duration::from_millis(250);
const LASTS: Duration = Duration::from_millis(1500);
/// Any time; lives count from it.
const UNIX: Duration = Duration::from_secs(1_790_000_000);
/// An owner acts so often on each of its duties.
const ACTS: Duration = Duration::from_millis(150);

/// What all seeds together showed.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub seeds: u64,
    pub changes: u64,
    pub effects: u64,
    pub stale_sent: u64,
    pub stale_applied: u64,
    pub two_at_once: u64,
    /// Of fronts that have a majority round them and are met by nothing, the longest time that a duty had no owner.
    pub longest_gap: Duration,
    pub mishaps: u64,
    /// The seeds on which anything went wrong that must not.
    pub broken: Vec<u64>,
}

impl Figures {
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
        self.mishaps += other.mishaps;
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
            self.mishaps,
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

/// How far clocks and networks go.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub fronts: usize,
    pub lasts: Duration,
    /// Clocks drift by so many times what is allowed; beyond 1 two owners at once are to be expected.
    pub drift: f64,
    /// Receivers carry out whatever comes: to see that it does harm.
    pub unfenced: bool,
}

#[derive(Default)]
struct Out {
    sends: Vec<(usize, Vec<u8>)>,
    bodies: Vec<(usize, Vec<u8>)>,
}

impl Host for Out {
    fn send(&mut self, to: usize, datagram: &[u8]) {
        self.sends.push((to, datagram.to_vec()));
    }
    fn event(&mut self, _event: Event) {}
    fn deliver(&mut self, from: usize, body: &[u8]) {
        self.bodies.push((from, body.to_vec()));
    }
}

/// The office's way out: through the membership, sealed.
struct Ways<'a> {
    core: &'a mut Membership,
    out: &'a mut Out,
    done: &'a mut Vec<(TaskId, u64)>,
    refused: &'a mut Vec<(TaskId, u64)>,
    took: &'a mut u64,
}

impl juniperdock_lease::Host for Ways<'_> {
    fn send(&mut self, to: usize, body: &[u8]) {
        self.core.send_payload(to, body, self.out);
    }
    fn event(&mut self, event: juniperdock_lease::Event) {
        match event {
            juniperdock_lease::Event::Acquired(..) => *self.took += 1,
            juniperdock_lease::Event::StaleEffect(duty, term, _) => self.refused.push((duty, term)),
            _ => {}
        }
    }
    fn effect(&mut self, _from: usize, duty: TaskId, term: u64, _payload: &[u8]) {
        self.done.push((duty, term));
    }
    fn report(&mut self, _from: usize, _duty: TaskId, _term: u64, _payload: &[u8]) {}
    fn announcement(&mut self, _from: usize, _duty: TaskId, _payload: &[u8]) {}
}

struct Front {
    core: Membership,
    office: LeaseManager,
    /// When it started, and how fast its clock goes.
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

/// On its way: when it comes, in which order it was sent, from whom, to whom.
type Way = Reverse<(Duration, u64, usize, usize, Vec<u8>)>;

struct World {
    now: Duration,
    shape: Shape,
    fronts: Vec<Option<Front>>,
    back_at: Vec<Duration>,
    ways: BinaryHeap<Way>,
    sent: u64,
    chance: Stream,
    /// Fronts of one side of a cut, and until when; one that is not heard; one whose words come late.
    cut: (Vec<usize>, Duration),
    unheard: (usize, Duration),
    late: (usize, Duration),
    duties: TaskSet,
    /// By place, whoever was there: the newest term that was carried out.
    newest: BTreeMap<(usize, TaskId), u64>,
    ownerless: BTreeMap<TaskId, Duration>,
    calm_since: Duration,
    seen: Figures,
}

/// Plays one seed.
pub fn play(seed: u64, shape: Shape) -> Figures {
    let mut world = World {
        now: Duration::ZERO,
        shape,
        fronts: (0..shape.fronts).map(|_| None).collect(),
        back_at: vec![Duration::ZERO; shape.fronts],
        ways: BinaryHeap::new(),
        sent: 0,
        chance: Stream::of(seed, "offices", 0),
        cut: Default::default(),
        unheard: Default::default(),
        late: Default::default(),
        duties: (0..6).collect(),
        newest: BTreeMap::new(),
        ownerless: BTreeMap::new(),
        calm_since: Duration::ZERO,
        seen: Figures { seeds: 1, ..Figures::default() },
    };
    let mut next = Duration::from_secs(4);
    while world.now < shape.lasts {
        world.now += STEP;
        if world.now >= next && world.now + Duration::from_secs(6) < shape.lasts {
            world.mishap();
            next = world.now + Duration::from_secs_f64(0.6 + 1.6 * world.chance.share());
        }
        world.step();
        world.judge();
    }
    if world.seen.stale_applied > 0 || world.seen.two_at_once > 0 && shape.drift <= 1.0 {
        world.seen.broken.push(seed);
    }
    world.seen
}

/// Plays many seeds on all cores.
pub fn all(first: u64, seeds: u64, shape: Shape) -> Figures {
    let each = (first..first + seeds).into_par_iter().map(|seed| play(seed, shape));
    let mut seen = each.reduce(Figures::default, Figures::add);
    seen.broken.sort_unstable();
    seen
}

impl World {
    fn start(&mut self, place: usize) {
        let keys = Keys::parse(&["5a".repeat(32)]).expect("a good key");
        let seed = self.chance.below(usize::MAX >> 1) as u64;
        let life = incarnation_at(UNIX + self.now);
        let core = Membership::new(
            place,
            self.shape.fronts,
            life,
            seed,
            NEWEST_VERSION,
            Timing::with_period(EVERY),
            keys,
        );
        let off = self.shape.drift / f64::from(CLOCK_DRIFT_DIVISOR);
        let rate = 1.0 + off * (2.0 * self.chance.share() - 1.0);
        let duties = self.duties.clone();
        let office = LeaseManager::new(Duration::ZERO, place, self.shape.fronts, life, seed, LASTS, duties);
        let (started, next_act) = (self.now, self.now);
        self.fronts[place] =
            Some(Front { core, office, started, rate, stopped_until: Duration::ZERO, next_act });
    }

    fn mishap(&mut self) {
        self.seen.mishaps += 1;
        let place = self.chance.below(self.shape.fronts);
        let span = Duration::from_secs_f64(0.8 + 3.2 * self.chance.share());
        let ends = self.now + span;
        self.calm_since = self.calm_since.max(ends);
        match self.chance.below(6) {
            0 => {
                self.fronts[place] = None;
                self.back_at[place] = ends;
            }
            1 | 2 => self.fronts[place].iter_mut().for_each(|front| front.stopped_until = ends),
            3 => {
                let size = 1 + self.chance.below(self.shape.fronts / 2);
                self.cut = ((place..place + size).map(|front| front % self.shape.fronts).collect(), ends);
            }
            4 => self.unheard = (place, ends),
            _ => self.late = (place, ends),
        }
    }

    fn send(&mut self, from: usize, sends: Vec<(usize, Vec<u8>)>, held: Duration) {
        for (to, datagram) in sends {
            self.sent += 1;
            let apart = self.now < self.cut.1 && self.cut.0.contains(&from) != self.cut.0.contains(&to);
            let unheard = self.now < self.unheard.1 && self.unheard.0 == from;
            if apart || unheard || self.chance.share() < 0.02 {
                continue;
            }
            let late = if self.now < self.late.1 && self.late.0 == from { 4.0 } else { 0.02 };
            for _ in 0..1 + usize::from(self.chance.share() < 0.02) {
                let way = Duration::from_secs_f64(0.001 + late * self.chance.share());
                self.ways.push(Reverse((self.now + held + way, self.sent, from, to, datagram.clone())));
            }
        }
    }

    /// Calls a front with all that it needs, and takes up what it has done.
    fn with(
        &mut self,
        place: usize,
        held: Duration,
        call: impl FnOnce(&mut Front, Duration, &mut Out, &mut Tally),
    ) {
        let Some(mut front) = self.fronts[place].take() else { return };
        let (clock, mut out, mut tally) = (front.clock(self.now), Out::default(), Tally::default());
        call(&mut front, clock, &mut out, &mut tally);
        self.fronts[place] = Some(front);
        self.seen.changes += tally.took;
        self.seen.stale_sent += tally.refused.len() as u64;
        self.seen.effects += tally.done.len() as u64;
        for (duty, term) in tally.done {
            let newest = self.newest.entry((place, duty)).or_default();
            self.seen.stale_applied += u64::from(term < *newest);
            *newest = term.max(*newest);
        }
        self.send(place, out.sends, held);
    }

    fn step(&mut self) {
        for place in 0..self.shape.fronts {
            if self.fronts[place].is_none() && self.now >= self.back_at[place] {
                self.start(place);
            }
        }
        while let Some(Reverse((_, _, from, to, datagram))) =
            self.ways.peek().is_some_and(|way| way.0.0 <= self.now).then(|| self.ways.pop()).flatten()
        {
            let runs = self.fronts[to].as_ref().map(|front| front.stopped_until);
            match runs {
                None => {}
                // It reads it once it goes on.
                Some(until) if until > self.now => {
                    self.sent += 1;
                    self.ways.push(Reverse((until, self.sent, from, to, datagram)));
                }
                Some(_) => {
                    let unfenced = self.shape.unfenced;
                    self.with(to, Duration::ZERO, |front, clock, out, tally| {
                        let _ = front.core.handle_datagram(clock, from, &datagram, out);
                        for (from, body) in std::mem::take(&mut out.bodies) {
                            tally.hear(front, clock, from, &body, out);
                        }
                        // As if the fence were not there: what was refused is carried out.
                        if unfenced {
                            tally.done.extend(tally.refused.iter().copied());
                        }
                    });
                }
            }
        }
        for place in 0..self.shape.fronts {
            if self.fronts[place].as_ref().is_none_or(|front| front.stopped_until > self.now) {
                continue;
            }
            let others: Vec<usize> = (0..self.shape.fronts).collect();
            self.with(place, Duration::ZERO, |front, clock, out, tally| {
                front.core.handle_timeout(clock, out);
                let present = front.core.present();
                let eligible = front.core.connectivity().0 == Connectivity::Majority && !front.core.slow();
                let sight = FleetView { present: &present, eligible };
                front.office.raise_term_floor(front.core.incarnation());
                tally.due(front, clock, sight, out);
            });
            let acts = self.fronts[place].as_ref().is_some_and(|front| front.next_act <= self.now);
            if acts {
                // Now and then it is stopped right behind its look at the clock, and what it writes leaves later.
                let stops = self.chance.share() < 0.01;
                let held = if stops {
                    Duration::from_secs_f64(0.5 + 4.0 * self.chance.share())
                } else {
                    Duration::ZERO
                };
                let now = self.now;
                self.with(place, held, |front, clock, out, tally| {
                    front.next_act = now + ACTS;
                    for (duty, term) in front.office.held_tasks(clock) {
                        tally.act(front, clock, duty, term, &others, out);
                    }
                });
                if stops && let Some(front) = &mut self.fronts[place] {
                    front.stopped_until = now + held;
                    self.calm_since = self.calm_since.max(now + held);
                }
            }
        }
    }

    /// What is true of owners now.
    fn judge(&mut self) {
        for duty in self.duties.clone() {
            let holds = |front: &&Front| front.office.held_term(front.clock(self.now), duty).is_some();
            let owners = self.fronts.iter().flatten().filter(holds).count();
            self.seen.two_at_once += u64::from(owners > 1);
            let calm = self.now > self.calm_since + Duration::from_secs(1);
            if owners > 0 || !calm {
                self.ownerless.remove(&duty);
            } else {
                let since = *self.ownerless.entry(duty).or_insert(self.now);
                self.seen.longest_gap = self.seen.longest_gap.max(self.now - since);
            }
        }
    }
}

/// What one call to a front did.
#[derive(Default)]
struct Tally {
    done: Vec<(TaskId, u64)>,
    refused: Vec<(TaskId, u64)>,
    took: u64,
}

impl Tally {
    fn ways<'a>(&'a mut self, core: &'a mut Membership, out: &'a mut Out) -> Ways<'a> {
        Ways { core, out, done: &mut self.done, refused: &mut self.refused, took: &mut self.took }
    }

    fn hear(&mut self, front: &mut Front, clock: Duration, from: usize, body: &[u8], out: &mut Out) {
        let _ = front.office.handle_message(clock, from, body, &mut self.ways(&mut front.core, out));
    }

    fn due(&mut self, front: &mut Front, clock: Duration, sight: FleetView, out: &mut Out) {
        front.office.handle_timeout(clock, sight, &mut self.ways(&mut front.core, out));
    }

    fn act(
        &mut self,
        front: &mut Front,
        clock: Duration,
        duty: TaskId,
        term: u64,
        to: &[usize],
        out: &mut Out,
    ) {
        front.office.send_effect(
            &mut || clock,
            duty,
            term,
            to,
            b"effect",
            &mut self.ways(&mut front.core, out),
        );
    }
}
