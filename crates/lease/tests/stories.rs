//! Offices of one tier that speak with each other in memory, one story for each failure met.

use juniperdock_lease::{Event, FleetView, Host, LeaseManager, TaskId, TaskSet, counted, first};
use std::collections::BTreeMap;
use std::time::Duration;

const LASTS: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);
/// Until a front that has just started grants anything.
const QUIET: Duration = Duration::from_millis(1100);

#[derive(Default)]
struct Hands {
    out: Vec<(usize, Vec<u8>)>,
    events: Vec<Event>,
    effects: Vec<(usize, TaskId, u64, Vec<u8>)>,
    reports: Vec<(usize, Vec<u8>)>,
}

impl Host for Hands {
    fn send(&mut self, to: usize, body: &[u8]) {
        assert!(body.len() <= juniperdock_lease::LONGEST);
        self.out.push((to, body.to_vec()));
    }
    fn event(&mut self, event: Event) {
        self.events.push(event);
    }
    fn effect(&mut self, from: usize, duty: TaskId, term: u64, payload: &[u8]) {
        self.effects.push((from, duty, term, payload.to_vec()));
    }
    fn report(&mut self, from: usize, _duty: TaskId, _term: u64, payload: &[u8]) {
        self.reports.push((from, payload.to_vec()));
    }
    fn announcement(&mut self, from: usize, _duty: TaskId, payload: &[u8]) {
        self.reports.push((from, payload.to_vec()));
    }
}

struct Fleet {
    now: Duration,
    offices: Vec<Option<LeaseManager>>,
    hands: Vec<Hands>,
    /// Ways that nothing passes.
    cut: Vec<(usize, usize)>,
    present: Vec<Vec<usize>>,
    eligible: Vec<bool>,
    duties: TaskSet,
    lives: u32,
    /// Fronts that do not run.
    stopped: Vec<usize>,
}

impl Fleet {
    fn new(tier: usize, duties: &[TaskId]) -> Fleet {
        let all: Vec<usize> = (0..tier).collect();
        let mut fleet = Fleet {
            now: Duration::from_secs(5),
            offices: (0..tier).map(|_| None).collect(),
            hands: (0..tier).map(|_| Hands::default()).collect(),
            cut: Vec::new(),
            present: vec![all; tier],
            eligible: vec![true; tier],
            duties: duties.iter().copied().collect(),
            lives: 100,
            stopped: Vec::new(),
        };
        (0..tier).for_each(|front| fleet.start(front));
        fleet
    }

    fn start(&mut self, front: usize) {
        self.lives += 100;
        let tier = self.offices.len();
        let duties = self.duties.clone();
        self.offices[front] =
            Some(LeaseManager::new(self.now, front, tier, self.lives, front as u64, LASTS, duties));
    }

    fn kill(&mut self, front: usize) {
        self.offices[front] = None;
        self.present.iter_mut().for_each(|present| present.retain(|&f| f != front));
    }

    fn run(&mut self, span: Duration) {
        let ends = self.now + span;
        while self.now < ends {
            self.now += STEP;
            for front in 0..self.offices.len() {
                let sight = FleetView { present: &self.present[front], eligible: self.eligible[front] };
                if let Some(office) = self.offices[front].as_mut().filter(|_| !self.stopped.contains(&front))
                {
                    office.handle_timeout(self.now, sight, &mut self.hands[front]);
                }
            }
            self.pass();
            for duty in self.duties.clone() {
                assert!(self.owners(duty).len() < 2, "two own duty {duty} at {:?}", self.now);
            }
        }
    }

    /// Hands over what was said, until nobody says anything more.
    fn pass(&mut self) {
        loop {
            let mut any = false;
            for from in 0..self.hands.len() {
                for (to, body) in std::mem::take(&mut self.hands[from].out) {
                    any = true;
                    if self.cut.contains(&(from, to)) || self.stopped.contains(&to) {
                        continue;
                    }
                    if let Some(office) = &mut self.offices[to] {
                        office
                            .handle_message(self.now, from, &body, &mut self.hands[to])
                            .expect("good words");
                    }
                }
            }
            if !any {
                return;
            }
        }
    }

    /// Who owns a duty, those that do not run with them: they hold what they held until they look at the clock.
    fn owners(&self, duty: TaskId) -> Vec<usize> {
        let holds =
            |&f: &usize| self.offices[f].as_ref().is_some_and(|o| o.held_term(self.now, duty).is_some());
        (0..self.offices.len()).filter(holds).collect()
    }

    fn act(&mut self, front: usize, duty: TaskId, term: u64, to: &[usize], payload: &[u8]) -> bool {
        let now = self.now;
        let office = self.offices[front].as_mut().expect("it runs");
        let done = office.send_effect(&mut || now, duty, term, to, payload, &mut self.hands[front]);
        self.pass();
        done
    }

    fn term(&self, front: usize, duty: TaskId) -> u64 {
        self.offices[front].as_ref().and_then(|o| o.held_term(self.now, duty)).expect("it owns it")
    }
}

#[test]
fn every_duty_has_one_owner_and_they_are_spread() {
    let duties: Vec<TaskId> = (0..40).collect();
    let mut fleet = Fleet::new(5, &duties);
    fleet.run(Duration::from_millis(1000));
    assert!(duties.iter().all(|&duty| fleet.owners(duty).is_empty()), "all are quiet at first");
    fleet.run(Duration::from_secs(2));
    let mut of: BTreeMap<usize, usize> = BTreeMap::new();
    for &duty in &duties {
        let owner = fleet.owners(duty);
        assert_eq!(owner.first().copied(), first(duty, &[0, 1, 2, 3, 4]), "duty {duty}");
        *of.entry(owner[0]).or_default() += 1;
    }
    assert!(of.len() == 5 && of.values().all(|&n| (2..20).contains(&n)), "{of:?}");
    fleet.run(Duration::from_secs(5));
    let lapsed = |hands: &Hands| hands.events.iter().any(|event| matches!(event, Event::Lapsed(..)));
    assert!(!fleet.hands.iter().any(lapsed), "renewed in time");
}

#[test]
fn an_owner_that_dies_is_followed_and_one_that_wakes_late_does_no_harm() {
    let mut fleet = Fleet::new(3, &[7]);
    fleet.run(QUIET + LASTS);
    let old = fleet.owners(7)[0];
    let term = fleet.term(old, 7);
    assert!(fleet.act(old, 7, term, &[0, 1, 2], b"one"));
    assert!(fleet.hands.iter().all(|hands| hands.effects.len() == 1), "itself too");
    let told = (old + 1) % 3;
    let mut hands = std::mem::take(&mut fleet.hands[told]);
    fleet.offices[told].as_mut().expect("it runs").report(old, 7, term, b"done", &mut hands);
    fleet.offices[told].as_mut().expect("it runs").report(old, 7, term - 1, b"of old", &mut hands);
    fleet.hands[told] = hands;
    fleet.pass();
    assert_eq!(
        fleet.hands[old].reports,
        [(told, b"done".to_vec())],
        "a word to an earlier owner is for nobody"
    );
    fleet.stopped.push(old);
    let others: Vec<usize> = (0..3).filter(|&f| f != old).collect();
    fleet.present = vec![others.clone(); 3];
    fleet.run(LASTS * 2);
    let new = fleet.owners(7)[0];
    let next = fleet.term(new, 7);
    assert!(new != old && next > term);
    assert!(fleet.act(new, 7, next, &others, b"two"));
    // It was stopped right behind its look at the clock: the words are on their way all the same.
    let then = fleet.now - LASTS * 2;
    let office = fleet.offices[old].as_mut().expect("it runs");
    assert!(
        office.send_effect(&mut || then, 7, term, &others, b"late", &mut fleet.hands[old]),
        "by a clock that stood"
    );
    let now = fleet.now;
    assert!(
        !office.send_effect(&mut || now, 7, term, &others, b"later", &mut fleet.hands[old]),
        "not by the clock"
    );
    fleet.stopped.clear();
    fleet.pass();
    for &other in &others {
        let hands = &fleet.hands[other];
        assert!(hands.effects.iter().all(|effect| effect.3 != b"late" && effect.3 != b"later"));
        assert!(hands.events.contains(&Event::StaleEffect(7, term, old)));
    }
}

#[test]
fn a_word_to_an_owner_whose_term_has_risen_meanwhile_still_counts() {
    let mut fleet = Fleet::new(3, &[7]);
    fleet.run(QUIET + LASTS);
    let owner = fleet.owners(7)[0];
    let term = fleet.term(owner, 7);
    // One that starts anew lets nothing below its own life pass.
    let other = (owner + 1) % 3;
    fleet.start(other);
    fleet.run(LASTS * 2);
    assert!(fleet.owners(7) == [owner] && fleet.term(owner, 7) > term);
    assert!(
        !fleet.hands[owner].events.iter().any(|event| matches!(event, Event::Lapsed(..))),
        "without a gap"
    );
    let third = (owner + 2) % 3;
    let mut hands = std::mem::take(&mut fleet.hands[third]);
    fleet.offices[third].as_mut().expect("it runs").report(owner, 7, term, b"held", &mut hands);
    fleet.hands[third] = hands;
    fleet.pass();
    assert_eq!(fleet.hands[owner].reports, [(third, b"held".to_vec())]);
}

#[test]
fn a_minority_owns_nothing_and_a_cut_has_one_owner_at_a_time() {
    let mut fleet = Fleet::new(5, &[1, 2, 3, 4]);
    fleet.run(QUIET + LASTS);
    let (few, many) = ([0, 1], [2, 3, 4]);
    for (&a, &b) in few.iter().flat_map(|a| many.iter().map(move |b| (a, b))) {
        fleet.cut.extend([(a, b), (b, a)]);
    }
    // Each side takes itself for all that is there, the small one wrongly even for the whole.
    for front in 0..5 {
        fleet.present[front] = if front < 2 { few.to_vec() } else { many.to_vec() };
    }
    fleet.run(LASTS * 3);
    for duty in 1..=4 {
        let owners = fleet.owners(duty);
        assert!(owners.len() == 1 && owners[0] >= 2, "duty {duty}: {owners:?}");
    }
    fleet.cut.clear();
    fleet.present = vec![(0..5).collect(); 5];
    fleet.run(LASTS * 4);
    (1..=4).for_each(|duty| assert_eq!(fleet.owners(duty).first().copied(), first(duty, &[0, 1, 2, 3, 4])));
}

#[test]
fn one_that_is_slow_or_goes_gives_its_duties_away_at_once() {
    let mut fleet = Fleet::new(3, &[9]);
    fleet.run(QUIET + LASTS);
    let old = fleet.owners(9)[0];
    fleet.eligible[old] = false;
    fleet.present.iter_mut().for_each(|present| present.retain(|&front| front != old));
    fleet.run(LASTS / 4);
    let new = fleet.owners(9);
    assert!(new.len() == 1 && new[0] != old, "no need to wait for its time: {new:?}");
    assert!(fleet.hands[old].events.iter().any(|event| matches!(event, Event::Gave(9, _))));
    let sight = FleetView { present: &fleet.present[new[0]].clone(), eligible: true };
    let leaving = fleet.offices[new[0]].as_mut().expect("it runs");
    leaving.leave(fleet.now, sight, &mut fleet.hands[new[0]]);
    assert_eq!(fleet.owners(9), []);
}

#[test]
fn terms_rise_though_all_were_killed_at_once() {
    let mut fleet = Fleet::new(3, &[5]);
    fleet.run(QUIET + LASTS);
    let before = fleet.term(fleet.owners(5)[0], 5);
    (0..3).for_each(|front| fleet.start(front));
    fleet.run(LASTS);
    assert_eq!(fleet.owners(5), [], "they know nothing and say nothing for as long as a grant may last");
    fleet.run(LASTS);
    let after = fleet.term(fleet.owners(5)[0], 5);
    assert!(after > before, "{after} {before}");
    // What the old owner had sent comes only now.
    let mut hands = Hands::default();
    let mut old = LeaseManager::new(Duration::ZERO, 0, 1, 50, 1, LASTS, [5].into());
    let alone = [0];
    let sight = FleetView { present: &alone, eligible: true };
    old.handle_timeout(LASTS * 2, sight, &mut hands);
    let term = old.held_term(LASTS * 2, 5).expect("alone in its tier");
    assert!(term < after && old.send_effect(&mut || LASTS * 2, 5, term, &[1], b"old", &mut hands));
    let body = hands.out.pop().expect("it was sent").1;
    let office = fleet.offices[1].as_mut().expect("it runs");
    office.handle_message(fleet.now, 0, &body, &mut fleet.hands[1]).expect("good words");
    assert!(fleet.hands[1].effects.is_empty());
}

#[test]
fn two_that_want_the_same_get_it_one_after_the_other() {
    let mut fleet = Fleet::new(4, &[]);
    fleet.duties = [40].into();
    fleet.run(QUIET);
    for front in [0, 3] {
        fleet.offices[front].as_mut().expect("it runs").order(fleet.now, 40, true);
    }
    fleet.run(LASTS * 2);
    let first = fleet.owners(40);
    assert_eq!(first.len(), 1, "half of the tier for each would be none at all");
    fleet.offices[first[0]].as_mut().expect("it runs").order(fleet.now, 40, false);
    fleet.run(LASTS * 2);
    let second = fleet.owners(40);
    assert!(second.len() == 1 && second != first);
}

#[test]
fn tiers_of_one_and_of_two() {
    let mut one = Fleet::new(1, &[1]);
    one.run(QUIET + LASTS / 4);
    assert_eq!(one.owners(1), [0]);
    let mut two = Fleet::new(2, &[1]);
    two.run(QUIET + LASTS);
    assert_eq!(two.owners(1).len(), 1);
    two.kill(1 - two.owners(1)[0]);
    two.run(counted(LASTS) + STEP);
    assert_eq!(two.owners(1), [], "half is no majority");
}

#[test]
fn words_of_another_version_and_nonsense_are_passed_over() {
    let mut fleet = Fleet::new(3, &[1]);
    fleet.run(QUIET + LASTS);
    let now = fleet.now;
    let office = fleet.offices[2].as_mut().expect("it runs");
    let later = [5, 99, 1, 1, 1, 200];
    assert!(
        office.handle_message(now, 0, &later, &mut Hands::default()).is_ok(),
        "unknown words end the body"
    );
    for body in [&[][..], &[255; 4], &[5, 1], &[5, 6, 1, 1, 200]] {
        assert!(office.handle_message(now, 0, body, &mut Hands::default()).is_err(), "{body:?}");
    }
}

proptest::proptest! {
    #[test]
    fn nothing_that_is_heard_makes_an_office_fall(body in proptest::collection::vec(0u8.., 0..200)) {
        let mut office = LeaseManager::new(Duration::ZERO, 0, 3, 9, 1, LASTS, [1, 2].into());
        let mut hands = Hands::default();
        let _ = office.handle_message(LASTS * 3, 1, &body, &mut hands);
        proptest::prop_assert!(hands.out.iter().all(|(to, body)| *to == 1 && body.len() <= 200));
        proptest::prop_assert!(office.held_tasks(LASTS * 3).is_empty());
    }
}
