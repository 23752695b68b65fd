//! Lease managers of one cluster that exchange messages in memory; one scenario for each failure.

use juniperdock_lease::{
    Event, FleetView, Host, LeaseManager, TaskId, TaskSet, preferred_owner, usable_duration,
};
use std::collections::BTreeMap;
use std::time::Duration;

const LEASE_DURATION: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);
/// How long a front that has just started grants nothing.
const QUIET_PERIOD: Duration = Duration::from_millis(1100);

#[derive(Default)]
struct RecordingHost {
    out: Vec<(usize, Vec<u8>)>,
    events: Vec<Event>,
    effects: Vec<(usize, TaskId, u64, Vec<u8>)>,
    reports: Vec<(usize, Vec<u8>)>,
}

impl Host for RecordingHost {
    fn send(&mut self, to: usize, body: &[u8]) {
        assert!(body.len() <= juniperdock_lease::MAX_BODY_BYTES);
        self.out.push((to, body.to_vec()));
    }
    fn event(&mut self, event: Event) {
        self.events.push(event);
    }
    fn effect(&mut self, from: usize, task: TaskId, term: u64, payload: &[u8]) {
        self.effects.push((from, task, term, payload.to_vec()));
    }
    fn report(&mut self, from: usize, _task: TaskId, _term: u64, payload: &[u8]) {
        self.reports.push((from, payload.to_vec()));
    }
    fn announcement(&mut self, from: usize, _task: TaskId, payload: &[u8]) {
        self.reports.push((from, payload.to_vec()));
    }
}

struct Fleet {
    now: Duration,
    managers: Vec<Option<LeaseManager>>,
    hosts: Vec<RecordingHost>,
    /// Links on which messages are lost.
    cut_links: Vec<(usize, usize)>,
    present: Vec<Vec<usize>>,
    eligible: Vec<bool>,
    tasks: TaskSet,
    incarnations: u32,
    /// Fronts that do not run.
    stopped: Vec<usize>,
}

impl Fleet {
    fn new(cluster_size: usize, tasks: &[TaskId]) -> Fleet {
        let all: Vec<usize> = (0..cluster_size).collect();
        let mut fleet = Fleet {
            now: Duration::from_secs(5),
            managers: (0..cluster_size).map(|_| None).collect(),
            hosts: (0..cluster_size).map(|_| RecordingHost::default()).collect(),
            cut_links: Vec::new(),
            present: vec![all; cluster_size],
            eligible: vec![true; cluster_size],
            tasks: tasks.iter().copied().collect(),
            incarnations: 100,
            stopped: Vec::new(),
        };
        (0..cluster_size).for_each(|front| fleet.start(front));
        fleet
    }

    fn start(&mut self, front: usize) {
        self.incarnations += 100;
        let cluster_size = self.managers.len();
        let tasks = self.tasks.clone();
        self.managers[front] = Some(LeaseManager::new(
            self.now,
            front,
            cluster_size,
            self.incarnations,
            front as u64,
            LEASE_DURATION,
            tasks,
        ));
    }

    fn kill(&mut self, front: usize) {
        self.managers[front] = None;
        self.present.iter_mut().for_each(|present| present.retain(|&f| f != front));
    }

    fn run(&mut self, span: Duration) {
        let ends = self.now + span;
        while self.now < ends {
            self.now += STEP;
            for front in 0..self.managers.len() {
                let view = FleetView { present: &self.present[front], eligible: self.eligible[front] };
                if let Some(manager) =
                    self.managers[front].as_mut().filter(|_| !self.stopped.contains(&front))
                {
                    manager.handle_timeout(self.now, view, &mut self.hosts[front]);
                }
            }
            self.deliver_all();
            for task in self.tasks.clone() {
                assert!(self.owners(task).len() < 2, "two own task {task} at {:?}", self.now);
            }
        }
    }

    /// Delivers messages until none are left.
    fn deliver_all(&mut self) {
        loop {
            let mut any = false;
            for from in 0..self.hosts.len() {
                for (to, body) in std::mem::take(&mut self.hosts[from].out) {
                    any = true;
                    if self.cut_links.contains(&(from, to)) || self.stopped.contains(&to) {
                        continue;
                    }
                    if let Some(manager) = &mut self.managers[to] {
                        manager
                            .handle_message(self.now, from, &body, &mut self.hosts[to])
                            .expect("well-formed messages");
                    }
                }
            }
            if !any {
                return;
            }
        }
    }

    /// The owners of a task, stopped fronts included: they own it until they read the clock again.
    fn owners(&self, task: TaskId) -> Vec<usize> {
        let holds =
            |&f: &usize| self.managers[f].as_ref().is_some_and(|o| o.held_term(self.now, task).is_some());
        (0..self.managers.len()).filter(holds).collect()
    }

    fn send_effect(&mut self, front: usize, task: TaskId, term: u64, to: &[usize], payload: &[u8]) -> bool {
        let now = self.now;
        let manager = self.managers[front].as_mut().expect("the front runs");
        let done = manager.send_effect(&mut || now, task, term, to, payload, &mut self.hosts[front]);
        self.deliver_all();
        done
    }

    fn term(&self, front: usize, task: TaskId) -> u64 {
        self.managers[front]
            .as_ref()
            .and_then(|o| o.held_term(self.now, task))
            .expect("the front owns the task")
    }
}

#[test]
fn every_task_has_one_owner_and_tasks_are_spread() {
    let tasks: Vec<TaskId> = (0..40).collect();
    let mut fleet = Fleet::new(5, &tasks);
    fleet.run(Duration::from_millis(1000));
    assert!(tasks.iter().all(|&task| fleet.owners(task).is_empty()), "no grants in the quiet period");
    fleet.run(Duration::from_secs(2));
    let mut of: BTreeMap<usize, usize> = BTreeMap::new();
    for &task in &tasks {
        let owner = fleet.owners(task);
        assert_eq!(owner.first().copied(), preferred_owner(task, &[0, 1, 2, 3, 4]), "task {task}");
        *of.entry(owner[0]).or_default() += 1;
    }
    assert!(of.len() == 5 && of.values().all(|&n| (2..20).contains(&n)), "{of:?}");
    fleet.run(Duration::from_secs(5));
    let expired =
        |hosts: &RecordingHost| hosts.events.iter().any(|event| matches!(event, Event::Expired(..)));
    assert!(!fleet.hosts.iter().any(expired), "renewed in time");
}

#[test]
fn a_stopped_owner_is_replaced_and_its_late_effects_are_refused() {
    let mut fleet = Fleet::new(3, &[7]);
    fleet.run(QUIET_PERIOD + LEASE_DURATION);
    let old = fleet.owners(7)[0];
    let term = fleet.term(old, 7);
    assert!(fleet.send_effect(old, 7, term, &[0, 1, 2], b"one"));
    assert!(fleet.hosts.iter().all(|hosts| hosts.effects.len() == 1), "itself too");
    let receiver = (old + 1) % 3;
    let mut hosts = std::mem::take(&mut fleet.hosts[receiver]);
    fleet.managers[receiver].as_mut().expect("the front runs").report(old, 7, term, b"done", &mut hosts);
    fleet.managers[receiver].as_mut().expect("the front runs").report(
        old,
        7,
        term - 1,
        b"of old",
        &mut hosts,
    );
    fleet.hosts[receiver] = hosts;
    fleet.deliver_all();
    assert_eq!(
        fleet.hosts[old].reports,
        [(receiver, b"done".to_vec())],
        "a report to an earlier term is dropped"
    );
    fleet.stopped.push(old);
    let others: Vec<usize> = (0..3).filter(|&f| f != old).collect();
    fleet.present = vec![others.clone(); 3];
    fleet.run(LEASE_DURATION * 2);
    let new = fleet.owners(7)[0];
    let next = fleet.term(new, 7);
    assert!(new != old && next > term);
    assert!(fleet.send_effect(new, 7, next, &others, b"two"));
    // The old owner was stopped right after it read the clock: its messages leave all the same.
    let then = fleet.now - LEASE_DURATION * 2;
    let manager = fleet.managers[old].as_mut().expect("the front runs");
    assert!(
        manager.send_effect(&mut || then, 7, term, &others, b"late", &mut fleet.hosts[old]),
        "by the old clock reading"
    );
    let now = fleet.now;
    assert!(
        !manager.send_effect(&mut || now, 7, term, &others, b"later", &mut fleet.hosts[old]),
        "not by the current clock"
    );
    fleet.stopped.clear();
    fleet.deliver_all();
    for &other in &others {
        let hosts = &fleet.hosts[other];
        assert!(hosts.effects.iter().all(|effect| effect.3 != b"late" && effect.3 != b"later"));
        assert!(hosts.events.contains(&Event::StaleEffect(7, term, old)));
    }
}

#[test]
fn a_report_to_an_owner_whose_term_has_risen_since_is_delivered() {
    let mut fleet = Fleet::new(3, &[7]);
    fleet.run(QUIET_PERIOD + LEASE_DURATION);
    let owner = fleet.owners(7)[0];
    let term = fleet.term(owner, 7);
    // A restarted front grants nothing below its own incarnation.
    let other = (owner + 1) % 3;
    fleet.start(other);
    fleet.run(LEASE_DURATION * 2);
    assert!(fleet.owners(7) == [owner] && fleet.term(owner, 7) > term);
    assert!(
        !fleet.hosts[owner].events.iter().any(|event| matches!(event, Event::Expired(..))),
        "ownership has no gap"
    );
    let third = (owner + 2) % 3;
    let mut hosts = std::mem::take(&mut fleet.hosts[third]);
    fleet.managers[third].as_mut().expect("the front runs").report(owner, 7, term, b"held", &mut hosts);
    fleet.hosts[third] = hosts;
    fleet.deliver_all();
    assert_eq!(fleet.hosts[owner].reports, [(third, b"held".to_vec())]);
}

#[test]
fn a_minority_owns_nothing_and_a_partition_has_one_owner_at_a_time() {
    let mut fleet = Fleet::new(5, &[1, 2, 3, 4]);
    fleet.run(QUIET_PERIOD + LEASE_DURATION);
    let (few, many) = ([0, 1], [2, 3, 4]);
    for (&a, &b) in few.iter().flat_map(|a| many.iter().map(move |b| (a, b))) {
        fleet.cut_links.extend([(a, b), (b, a)]);
    }
    // Each side sees only itself as present; the minority wrongly counts itself eligible.
    for front in 0..5 {
        fleet.present[front] = if front < 2 { few.to_vec() } else { many.to_vec() };
    }
    fleet.run(LEASE_DURATION * 3);
    for task in 1..=4 {
        let owners = fleet.owners(task);
        assert!(owners.len() == 1 && owners[0] >= 2, "task {task}: {owners:?}");
    }
    fleet.cut_links.clear();
    fleet.present = vec![(0..5).collect(); 5];
    fleet.run(LEASE_DURATION * 4);
    (1..=4).for_each(|task| {
        assert_eq!(fleet.owners(task).first().copied(), preferred_owner(task, &[0, 1, 2, 3, 4]))
    });
}

#[test]
fn a_slow_or_leaving_front_releases_its_tasks_at_once() {
    let mut fleet = Fleet::new(3, &[9]);
    fleet.run(QUIET_PERIOD + LEASE_DURATION);
    let old = fleet.owners(9)[0];
    fleet.eligible[old] = false;
    fleet.present.iter_mut().for_each(|present| present.retain(|&front| front != old));
    fleet.run(LEASE_DURATION / 4);
    let new = fleet.owners(9);
    assert!(new.len() == 1 && new[0] != old, "the lease need not expire first: {new:?}");
    assert!(fleet.hosts[old].events.iter().any(|event| matches!(event, Event::Released(9, _))));
    let view = FleetView { present: &fleet.present[new[0]].clone(), eligible: true };
    let leaving = fleet.managers[new[0]].as_mut().expect("the front runs");
    leaving.leave(fleet.now, view, &mut fleet.hosts[new[0]]);
    assert_eq!(fleet.owners(9), []);
}

#[test]
fn terms_rise_after_all_fronts_restart_at_once() {
    let mut fleet = Fleet::new(3, &[5]);
    fleet.run(QUIET_PERIOD + LEASE_DURATION);
    let before = fleet.term(fleet.owners(5)[0], 5);
    (0..3).for_each(|front| fleet.start(front));
    fleet.run(LEASE_DURATION);
    assert_eq!(fleet.owners(5), [], "nothing is granted while an old grant may still run");
    fleet.run(LEASE_DURATION);
    let after = fleet.term(fleet.owners(5)[0], 5);
    assert!(after > before, "{after} {before}");
    // A message of the old owner arrives only now.
    let mut hosts = RecordingHost::default();
    let mut old = LeaseManager::new(Duration::ZERO, 0, 1, 50, 1, LEASE_DURATION, [5].into());
    let alone = [0];
    let view = FleetView { present: &alone, eligible: true };
    old.handle_timeout(LEASE_DURATION * 2, view, &mut hosts);
    let term = old.held_term(LEASE_DURATION * 2, 5).expect("a cluster of one");
    assert!(term < after && old.send_effect(&mut || LEASE_DURATION * 2, 5, term, &[1], b"old", &mut hosts));
    let body = hosts.out.pop().expect("it was sent").1;
    let manager = fleet.managers[1].as_mut().expect("the front runs");
    manager.handle_message(fleet.now, 0, &body, &mut fleet.hosts[1]).expect("well-formed messages");
    assert!(fleet.hosts[1].effects.is_empty());
}

#[test]
fn two_fronts_that_want_one_task_own_it_one_after_the_other() {
    let mut fleet = Fleet::new(4, &[]);
    fleet.tasks = [40].into();
    fleet.run(QUIET_PERIOD);
    for front in [0, 3] {
        fleet.managers[front].as_mut().expect("the front runs").set_wanted(fleet.now, 40, true);
    }
    fleet.run(LEASE_DURATION * 2);
    let first = fleet.owners(40);
    assert_eq!(first.len(), 1, "a split vote would leave no owner");
    fleet.managers[first[0]].as_mut().expect("the front runs").set_wanted(fleet.now, 40, false);
    fleet.run(LEASE_DURATION * 2);
    let second = fleet.owners(40);
    assert!(second.len() == 1 && second != first);
}

#[test]
fn clusters_of_one_and_two_fronts() {
    let mut one = Fleet::new(1, &[1]);
    one.run(QUIET_PERIOD + LEASE_DURATION / 4);
    assert_eq!(one.owners(1), [0]);
    let mut two = Fleet::new(2, &[1]);
    two.run(QUIET_PERIOD + LEASE_DURATION);
    assert_eq!(two.owners(1).len(), 1);
    two.kill(1 - two.owners(1)[0]);
    two.run(usable_duration(LEASE_DURATION) + STEP);
    assert_eq!(two.owners(1), [], "half is no majority");
}

#[test]
fn unknown_message_kinds_end_a_body_and_malformed_bodies_are_errors() {
    let mut fleet = Fleet::new(3, &[1]);
    fleet.run(QUIET_PERIOD + LEASE_DURATION);
    let now = fleet.now;
    let manager = fleet.managers[2].as_mut().expect("the front runs");
    let later = [5, 99, 1, 1, 1, 200];
    assert!(
        manager.handle_message(now, 0, &later, &mut RecordingHost::default()).is_ok(),
        "an unknown kind ends the body"
    );
    for body in [&[][..], &[255; 4], &[5, 1], &[5, 6, 1, 1, 200]] {
        assert!(manager.handle_message(now, 0, body, &mut RecordingHost::default()).is_err(), "{body:?}");
    }
}

proptest::proptest! {
    #[test]
    fn arbitrary_bodies_never_panic_and_never_grant_ownership(body in proptest::collection::vec(0u8.., 0..200)) {
        let mut manager = LeaseManager::new(Duration::ZERO, 0, 3, 9, 1, LEASE_DURATION, [1, 2].into());
        let mut hosts = RecordingHost::default();
        let _ = manager.handle_message(LEASE_DURATION * 3, 1, &body, &mut hosts);
        proptest::prop_assert!(hosts.out.iter().all(|(to, body)| *to == 1 && body.len() <= 200));
        proptest::prop_assert!(manager.held_tasks(LEASE_DURATION * 3).is_empty());
    }
}
