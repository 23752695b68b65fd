//! Model check of all interleavings of a small cluster: three or five acceptors, two of which also claim one task.
//! They run the real grants, claims and fences; the model moves clocks, messages and faults. Each guard is also
//! removed in turn, and the checker must find the failure that it prevents.

use juniperdock_lease::{Answer, Claim, Fence, Grants, Holder};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::time::Duration;

const TASK: u64 = 1;
/// A little less than four steps of a clock that is fast by the permitted drift.
const LEASE_DURATION: Duration = Duration::from_millis(400);

/// The guard that a model runs without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Removed {
    Nothing,
    /// A restarted front grants at once.
    QuietPeriod,
    /// A grant to another front does not run to its end.
    RunningGrant,
    /// One grant fewer than a majority is enough.
    Majority,
    /// An owner relies on the whole duration that was granted.
    ClockMargin,
    /// An owner counts from when the last grant came.
    RoundStart,
    /// Grants of an earlier round count for the current one.
    Rounds,
    /// Receivers carry out every effect.
    Fence,
    /// A restarted front grants and admits terms that may be below those it has forgotten.
    TermFloor,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask { from: Holder, term: u64, round: u32 },
    Grant { from: u16, term: u64, round: u32 },
    Refuse { newest: u64 },
    Effect { term: u64 },
}

/// The receiving front, its incarnation, and the message.
type Envelope = (usize, u8, Message);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    step: u8,
    incarnations: Vec<u8>,
    grants: Vec<Grants>,
    fences: Vec<Fence>,
    claims: Vec<Claim>,
    rounds: [u8; 2],
    /// Checked against the clock but not yet written: the term, and the receiver's incarnation at that time.
    checked: [Option<(u64, u8)>; 2],
    /// Each claimant sends one effect.
    acted: [bool; 2],
    in_flight: Vec<Envelope>,
    crashes: u8,
    duplicates: u8,
    /// The newest term of which an effect was carried out at the receiver, in any of its incarnations.
    newest: u64,
    went_back: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Transition {
    Step,
    Ask(usize),
    Deliver(usize, bool),
    Crash(usize),
    Check(usize),
    Write(usize),
}

struct Fleet {
    removed: Removed,
    cluster_size: usize,
    /// Milliseconds that each front's clock advances in one step.
    rates: Vec<u64>,
    steps: u8,
    rounds: [u8; 2],
    crashes: u8,
    /// Fronts from this one on may crash.
    crash_from: usize,
    duplicates: u8,
    effects: bool,
}

impl Fleet {
    fn now(&self, world: &World, front: usize) -> Duration {
        Duration::from_millis(10_000 + self.rates[front] * u64::from(world.step))
    }

    /// Effects go to the last front, which claims nothing.
    fn receiver(&self) -> usize {
        self.cluster_size - 1
    }

    fn lease_duration(&self) -> Duration {
        // The granted duration is extended by as much as the clock margin takes off.
        if self.removed == Removed::ClockMargin {
            LEASE_DURATION.mul_f64(25.0 / 24.0)
        } else {
            LEASE_DURATION
        }
    }

    fn new_grants(&self, now: Duration, incarnation: u8) -> Grants {
        let quiet =
            if self.removed == Removed::QuietPeriod { now.saturating_sub(LEASE_DURATION * 2) } else { now };
        Grants::new(
            quiet,
            LEASE_DURATION,
            if self.removed == Removed::TermFloor { 0 } else { incarnation.into() },
        )
    }

    fn owners(&self, world: &World) -> usize {
        let holds = |&front: &usize| world.claims[front].held(self.now(world, front)).is_some();
        (0..2).filter(holds).count()
    }

    fn holder(&self, world: &World, front: usize) -> Holder {
        Holder { front: front as u16, incarnation: world.incarnations[front].into() }
    }

    fn grant(&self, world: &mut World, at: usize, from: Holder, term: u64) -> Answer {
        let now = self.now(world, at);
        if self.removed == Removed::RunningGrant
            && let Some((other, its, _)) = world.grants[at].holder(now, TASK)
        {
            world.grants[at].release(other, TASK, its);
        }
        world.grants[at].request(now, from, TASK, term)
    }

    fn granted(&self, world: &mut World, at: usize, from: u16, term: u64, round: u32) {
        let now = self.now(world, at);
        let cluster_size =
            if self.removed == Removed::Majority { self.cluster_size - 2 } else { self.cluster_size };
        let round = if self.removed == Removed::Rounds { u32::from(world.rounds[at]) } else { round };
        if self.removed == Removed::RoundStart {
            // As if the request had been sent only now.
            let mut later = Claim::new(at as u16, 0);
            later.observe_term(term - 1);
            later.start_round(now, 1);
            let first = 1;
            let mut all = world.claims[at].clone();
            if all.record_grant(now, from, term, round, cluster_size, self.lease_duration()) {
                for one in 0..cluster_size as u16 {
                    later.record_grant(now, one, term, first, cluster_size, LEASE_DURATION);
                }
                if later.held(now).is_some_and(|(held, _)| held == term) {
                    world.claims[at] = later;
                    return;
                }
            }
        }
        world.claims[at].record_grant(now, from, term, round, cluster_size, self.lease_duration());
    }

    fn deliver(&self, world: &mut World, (to, incarnation, message): Envelope) {
        if incarnation != world.incarnations[to] {
            return;
        }
        match message {
            Message::Ask { from, term, round } => {
                let back = usize::from(from.front);
                let answer = match self.grant(world, to, from, term) {
                    Answer::Granted => Message::Grant { from: to as u16, term, round },
                    Answer::Refused { newest, .. } => Message::Refuse { newest },
                    Answer::Quiet => return,
                };
                world.in_flight.push((back, world.incarnations[back], answer));
            }
            Message::Grant { from, term, round } => self.granted(world, to, from, term, round),
            Message::Refuse { newest } => world.claims[to].observe_term(newest),
            Message::Effect { term } => {
                let granted = world.grants[to].newest_term(TASK);
                if self.removed == Removed::Fence || world.fences[to].admit(TASK, term, granted).is_ok() {
                    world.went_back |= term < world.newest;
                    world.newest = world.newest.max(term);
                }
            }
        }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Transition;

    fn init_states(&self) -> Vec<World> {
        let begun = Duration::from_secs(5);
        vec![World {
            step: 0,
            incarnations: vec![1; self.cluster_size],
            grants: (0..self.cluster_size).map(|_| Grants::new(begun, LEASE_DURATION, 1)).collect(),
            fences: vec![Fence::default(); self.cluster_size],
            claims: (0..2).map(|front| Claim::new(front, 1)).collect(),
            rounds: [0; 2],
            checked: [None; 2],
            acted: [false; 2],
            in_flight: Vec::new(),
            crashes: 0,
            duplicates: 0,
            newest: 0,
            went_back: false,
        }]
    }

    fn actions(&self, world: &World, transitions: &mut Vec<Transition>) {
        if world.step < self.steps {
            transitions.push(Transition::Step);
        }
        for front in 0..2 {
            if world.rounds[front] < self.rounds[front] {
                transitions.push(Transition::Ask(front));
            }
            let held = world.claims[front].held(self.now(world, front)).is_some();
            if self.effects && held && !world.acted[front] {
                transitions.push(Transition::Check(front));
            }
            if world.checked[front].is_some() {
                transitions.push(Transition::Write(front));
            }
        }
        for index in 0..world.in_flight.len() {
            transitions.push(Transition::Deliver(index, false));
            if world.duplicates < self.duplicates {
                transitions.push(Transition::Deliver(index, true));
            }
        }
        if world.crashes < self.crashes {
            transitions.extend((self.crash_from..self.cluster_size).map(Transition::Crash));
        }
    }

    fn next_state(&self, before: &World, transition: Transition) -> Option<World> {
        let mut world = before.clone();
        match transition {
            Transition::Step => world.step += 1,
            Transition::Ask(front) => {
                world.rounds[front] += 1;
                let round = u32::from(world.rounds[front]);
                let term = world.claims[front].start_round(self.now(before, front), round);
                let from = self.holder(before, front);
                if self.grant(&mut world, front, from, term) == Answer::Granted {
                    self.granted(&mut world, front, front as u16, term, round);
                }
                // Of five fronts each claimant asks two others, one of which is asked by both.
                let asked = |&other: &usize| {
                    other != front && (self.cluster_size == 3 || other == front + 2 || other == front + 3)
                };
                let others = (0..self.cluster_size).filter(asked);
                let ask = |to| (to, before.incarnations[to], Message::Ask { from, term, round });
                world.in_flight.extend(others.map(ask));
            }
            Transition::Deliver(index, keeps) => {
                let index = if keeps {
                    world.duplicates += 1;
                    world.in_flight[index]
                } else {
                    world.in_flight.remove(index)
                };
                self.deliver(&mut world, index);
            }
            Transition::Crash(front) => {
                world.crashes += 1;
                // Incarnations rise faster than terms.
                world.incarnations[front] += 10;
                world.grants[front] = self.new_grants(self.now(before, front), world.incarnations[front]);
                world.fences[front] = Fence::default();
                if front < 2 {
                    world.claims[front] = Claim::new(front as u16, world.incarnations[front].into());
                    world.checked[front] = None;
                }
            }
            Transition::Check(front) => {
                let held = world.claims[front].held(self.now(before, front))?;
                world.checked[front] = Some((held.0, world.incarnations[self.receiver()]));
                world.acted[front] = true;
            }
            Transition::Write(front) => {
                let (term, incarnation) = world.checked[front].take()?;
                world.in_flight.push((self.receiver(), incarnation, Message::Effect { term }));
            }
        }
        // Drops messages that can no longer have an effect, as if they were lost.
        world.in_flight.retain(|&(to, incarnation, message)| {
            let late = match message {
                Message::Grant { round, .. } => round < u32::from(world.rounds[to]),
                _ => false,
            };
            incarnation == world.incarnations[to] && (!late || self.removed == Removed::Rounds)
        });
        world.in_flight.sort_unstable();
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one owner", |fleet: &Fleet, world| fleet.owners(world) < 2),
            Property::always("no older effect after a newer", |_, world: &World| !world.went_back),
            Property::sometimes("the lease is held", |fleet: &Fleet, world| fleet.owners(world) > 0),
        ]
    }
}

/// Clocks as far apart as permitted: the first claimant's is slow, the acceptors' are fast.
fn fleet(cluster_size: usize) -> Fleet {
    let mut rates = vec![102; cluster_size];
    rates[0] = 98;
    Fleet {
        removed: Removed::Nothing,
        cluster_size,
        rates,
        steps: 5,
        rounds: [2, 1],
        crashes: 0,
        crash_from: 0,
        duplicates: 0,
        effects: false,
    }
}

fn check_model(fleet: Fleet, broken: &[&'static str]) -> usize {
    let name = format!("{:?} of {}", fleet.removed, fleet.cluster_size);
    let all = HasDiscoveries::AnyFailures;
    let checker = fleet.checker().threads(4).finish_when(all).spawn_bfs().join();
    let found: Vec<&str> =
        checker.discoveries().into_keys().filter(|name| *name != "the lease is held").collect();
    if broken.is_empty() {
        assert!(found.is_empty(), "{name}: {found:?}");
        checker.assert_any_discovery("the lease is held");
    } else {
        assert!(found.iter().any(|found| broken.contains(found)), "{name} is not found, but {found:?}");
    }
    println!("{name}: {} states", checker.unique_state_count());
    checker.unique_state_count()
}

const TWO_OWNERS: &[&str] = &["at most one owner"];
const EFFECT_REGRESSION: &[&str] = &["no older effect after a newer"];

#[test]
fn at_most_one_owner_with_late_lost_duplicated_messages_and_restarts() {
    let many = |states: usize| assert!(states > 20_000, "{states} states are too few to mean anything");
    many(check_model(Fleet { steps: 4, ..fleet(3) }, &[]));
    many(check_model(Fleet { rounds: [1, 1], crashes: 1, ..fleet(3) }, &[]));
    many(check_model(Fleet { rounds: [1, 1], duplicates: 1, ..fleet(3) }, &[]));
    many(check_model(Fleet { rounds: [1, 1], crashes: 1, crash_from: 3, ..fleet(5) }, &[]));
}

#[test]
fn each_guard_of_the_lease_is_needed() {
    let removed = |removed| Fleet { removed, ..fleet(3) };
    check_model(Fleet { crashes: 1, ..removed(Removed::QuietPeriod) }, TWO_OWNERS);
    let of_five = Fleet { removed: Removed::Majority, rounds: [1, 1], ..fleet(5) };
    check_model(of_five, TWO_OWNERS);
    for guard in
        [Removed::RunningGrant, Removed::Majority, Removed::ClockMargin, Removed::RoundStart, Removed::Rounds]
    {
        check_model(removed(guard), TWO_OWNERS);
    }
}

/// Beyond the permitted drift two may hold at once, but an older effect is never carried out after a newer one.
#[test]
fn effects_never_go_back_even_with_clocks_beyond_the_drift_bound() {
    let far = || {
        let mut fleet = Fleet { effects: true, rounds: [1, 1], ..fleet(3) };
        fleet.rates[0] = 50;
        fleet
    };
    let owners = check_model(Fleet { effects: false, ..far() }, TWO_OWNERS);
    assert!(owners > 0);
    let only = |removed, crashes| {
        let fleet = Fleet { removed, crashes, crash_from: 2, ..far() };
        // Two owners are expected here: only effects are checked.
        let checker = fleet
            .checker()
            .threads(4)
            .finish_when(HasDiscoveries::AllOf(["no older effect after a newer"].into_iter().collect()));
        let checker = checker.spawn_bfs().join();
        println!("{removed:?} beyond the bound: {} states", checker.unique_state_count());
        checker.discovery(EFFECT_REGRESSION[0]).is_some()
    };
    assert!(!only(Removed::Nothing, 1), "an older effect is carried out after a newer");
    assert!(only(Removed::Fence, 0), "removing the fence breaks nothing");
    assert!(only(Removed::TermFloor, 1), "removing the term floor breaks nothing");
}
