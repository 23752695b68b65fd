//! Tests of the model by itself, one scenario for each part, and of the calendar against a sorted list.

use juniperdock_emulator::*;
use juniperdock_router::host::{
    AttemptOutcome, ColdStart, Consistency, Effect, ListedState, Role, Scope, TxnType,
};
use proptest::prelude::*;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const READ: usize = 0;
const WRITE: usize = 1;

/// One group of three members and one front, with clients at the given rate.
fn shape(per_second: f64, troubles: Vec<ScheduledFault>) -> Shape {
    let kind = |name: &str, effect, consistency| Kind {
        name: name.to_owned(),
        part: 1.0,
        work: (ms(10), ms(10)),
        terms: TxnType { sla: ms(300), value: 1.0, late_value: 0.0, effect, consistency },
        expiry: ms(2000),
    };
    let referenced = Effect::Referenced { window: ms(2000), scope: Scope::Group };
    Shape {
        seed: 4,
        lasts: ms(10_000),
        kinds: vec![
            kind("read", Effect::Repeatable, Consistency::Bounded(ms(300))),
            kind("write", referenced, Consistency::Write),
        ],
        fronts: vec![0],
        members: (0..3).map(|_| Node { group: 0, zone: 0 }).collect(),
        near: ms(1),
        far: ms(5),
        cores: 2.0,
        slots: 8,
        waiting: 4,
        thrash: 100.0,
        connections: 100,
        handshake: Duration::ZERO,
        idle: ms(15_000),
        connect: ms(250),
        probe: Duration::ZERO,
        report_every: ms(1),
        list_late: (ms(10), ms(10)),
        log: Log {
            ship: ms(4),
            apply: ms(2),
            blocks: ms(100),
            synchronous: true,
            copy: ms(3000),
            marks: ms(2000),
        },
        election: Election {
            noticed: (ms(500), ms(500)),
            elected: (ms(500), ms(500)),
            handed: (ms(100), ms(100)),
            learns: (ms(50), ms(50)),
        },
        cold: ColdStart { share: 0.5, warm_up: ms(4000), multiple: 2.0, window: ms(1000) },
        drain_grace: ms(1000),
        answer_grace: ms(50),
        crowd: ClientLoad {
            per_second,
            series: Vec::new(),
            skew: 0.0,
            patience: (1.0, 1.0),
            retries: 0,
            back_off: (ms(10), ms(10)),
        },
        troubles,
    }
}

fn trouble(from: u64, lasts: u64, what: What) -> ScheduledFault {
    ScheduledFault { from: ms(from), lasts: ms(lasts), what }
}

/// Runs the world until a time. Submits each txn to the member that `to` returns, or declines it. Returns the txn, the
/// member, the outcome and the duration of each submission.
fn run(
    world: &mut World,
    until: u64,
    mut to: impl FnMut(usize) -> Option<usize>,
) -> Vec<(usize, usize, AttemptOutcome, Duration)> {
    let mut ended = Vec::new();
    while let Some(out) = world.next(ms(until)) {
        match out {
            Out::Arrived { txn, kind, .. } => match to(kind) {
                Some(member) => world.submit(0, txn, member),
                None => world.answer(0, txn, FinalAnswer::Declined, None),
            },
            Out::Ended { txn, member, ending, took, over, .. } => {
                ended.push((txn as usize, member, ending, took));
                if !over {
                    world.answer(0, txn, FinalAnswer::Unknown, None);
                }
            }
            _ => {}
        }
    }
    ended
}

#[test]
fn concurrent_txns_share_the_cores_and_excess_txns_are_refused() {
    let mut world = World::new(shape(3000.0, Vec::new()));
    let mut sent = 0;
    let ended = run(&mut world, 200, |_| {
        sent += 1;
        (sent <= 20).then_some(0)
    });
    let committed: Vec<_> = ended.iter().filter(|e| e.2 == AttemptOutcome::Committed).collect();
    let full = ended.iter().filter(|e| e.2 == AttemptOutcome::Full).count();
    assert_eq!(committed.len() + full, 20);
    assert!(full >= 6 && committed.len() >= 12, "eight at work, four wait: {full} full");
    // Eight txns at once on two cores take four times as long as one. No txn is faster than its own work.
    let first = committed[0].3;
    assert!(first > ms(12) && first < ms(55), "{first:?}");
    assert!(committed.iter().all(|e| e.3 >= ms(12)));
}

#[test]
fn a_killed_primary_is_replaced_by_an_up_to_date_replica_and_returns_as_a_replica() {
    let killed = trouble(1000, 3000, What::Member(Targets::Primary(0), MemberFault::Killed));
    let mut world = World::new(shape(50.0, vec![killed]));
    run(&mut world, 990, |kind| (kind == WRITE).then_some(0));
    assert_eq!(world.primary(0), Some(0));
    run(&mut world, 1990, |_| None);
    assert_eq!(world.primary(0), None, "the others have not noticed and elected yet");
    run(&mut world, 2100, |_| None);
    let next = world.primary(0).expect("one is elected");
    assert_ne!(next, 0);
    let ended = run(&mut world, 5000, |kind| (kind == WRITE).then_some(next));
    assert!(ended.iter().filter(|e| e.2 == AttemptOutcome::Committed).count() > 30);
    // After its return it refuses writes and soon catches up on those it missed.
    let ended = run(&mut world, 6000, |kind| (kind == WRITE).then_some(0));
    let at_old: Vec<_> = ended.iter().filter(|e| e.1 == 0).collect();
    assert!(at_old.len() > 10 && at_old.iter().all(|e| e.2 == AttemptOutcome::Misplaced));
    assert!(world.age(0).expect("it runs") < ms(100));
    assert!(world.audit.kept(), "{:?}", world.audit.broken);
}

/// Guards against a repeated write with a mark being answered while no replica has the first one: it would be lost with
/// its primary.
#[test]
fn a_repeated_write_is_not_answered_before_a_replica_has_the_first() {
    let apart = trouble(100, 3000, What::Member(Targets::Primary(0), MemberFault::CutFromPeers));
    let mut world = World::new(shape(200.0, vec![apart]));
    run(&mut world, 120, |_| None);
    let (mut sent, mut committed) = (0, 0);
    while let Some(out) = world.next(ms(600)) {
        match out {
            Out::Arrived { txn, kind, .. } if kind == WRITE => {
                world.submit(0, txn, 0);
                world.submit(0, txn, 0);
                sent += 1;
            }
            Out::Arrived { txn, .. } => world.answer(0, txn, FinalAnswer::Declined, None),
            Out::Ended { ending: AttemptOutcome::Committed, .. } => committed += 1,
            _ => {}
        }
    }
    assert!(sent >= 4 && committed == 0, "{committed} of {sent}");
}

#[test]
fn writes_at_a_hung_primary_end_in_errors_and_take_no_effect() {
    let hung = trouble(1000, 2500, What::Member(Targets::Primary(0), MemberFault::Hung));
    let mut world = World::new(shape(100.0, vec![hung]));
    let ended = run(&mut world, 6000, |kind| (kind == WRITE).then_some(0));
    // New connections are never established. Writes that the member had read, or reads later, cannot be committed.
    let during = ended.iter().filter(|e| e.3 > ms(260)).collect::<Vec<_>>();
    assert!(
        during.len() >= 5
            && during.iter().all(|e| matches!(e.2, AttemptOutcome::TimedOut | AttemptOutcome::Errored)),
        "{during:?}"
    );
    assert!(ended.iter().filter(|e| e.2 == AttemptOutcome::Unreachable).count() > 20);
    assert_ne!(world.primary(0), Some(0));
    assert!(world.audit.kept(), "{:?}", world.audit.broken);
}

#[test]
fn a_read_of_old_data_on_a_lagging_replica_breaks_rule_5() {
    let lags = trouble(500, 9000, What::Member(Targets::Replicas(0), MemberFault::Lags(60.0)));
    let mut world = World::new(shape(100.0, vec![lags]));
    run(&mut world, 4000, |kind| Some(0).filter(|_| kind < 2));
    assert!(world.age(1).expect("it runs") > ms(1000), "{:?}", world.age(1));
    assert!(world.audit.kept());
    run(&mut world, 4200, |kind| Some(if kind == READ { 1 } else { 0 }));
    assert!(world.audit.counts[4] > 0 && world.audit.counts[..4] == [0; 4], "{:?}", world.audit.counts);
}

#[test]
fn an_overloaded_cold_member_fails_for_good() {
    let killed = trouble(500, 500, What::Member(Targets::Member(1), MemberFault::Killed));
    let mut world = World::new(shape(600.0, vec![killed]));
    run(&mut world, 990, |kind| (kind == READ).then_some(2));
    run(&mut world, 3000, |kind| (kind == READ).then_some(1));
    assert_eq!(world.audit.counts[3], 1, "{:?}", world.audit.broken.first());
    assert!(!world.reachable(0, 1));
}

#[test]
fn sends_to_a_draining_member_after_the_grace_break_rule_3() {
    let drained = trouble(1000, 5000, What::Member(Targets::Member(2), MemberFault::Drained));
    let mut world = World::new(shape(50.0, vec![drained]));
    run(&mut world, 2000, |kind| (kind == READ).then_some(2));
    assert!(world.audit.kept(), "inside the grace: {:?}", world.audit.broken);
    run(&mut world, 2500, |kind| (kind == READ).then_some(2));
    assert!(world.audit.counts[2] > 0);
}

#[test]
fn a_replaced_member_returns_under_a_new_number_with_an_old_copy() {
    let replaced = trouble(4000, 500, What::Member(Targets::Member(1), MemberFault::Replaced));
    let mut world = World::new(shape(50.0, vec![replaced]));
    let mut listed = Vec::new();
    while let Some(out) = world.next(ms(4600)) {
        match out {
            Out::Listed { entry, .. } => listed.push((entry.member, entry.state)),
            Out::Arrived { txn, kind: WRITE, .. } => world.submit(0, txn, 0),
            Out::Arrived { txn, .. } => world.answer(0, txn, FinalAnswer::Declined, None),
            _ => {}
        }
    }
    assert_eq!(listed, [(1, ListedState::Removed), (3, ListedState::Up)]);
    let age = world.age(3).expect("it runs");
    assert!(age > ms(500), "{age:?}: its copy is 3 s old");
    run(&mut world, 6000, |kind| (kind == WRITE).then_some(0));
    assert!(world.age(3).expect("it runs") < ms(100), "it has caught up");
}

#[test]
fn a_probe_reports_role_and_position_and_none_from_a_member_cut_off() {
    let cut = trouble(1000, 1000, What::Member(Targets::Member(1), MemberFault::CutFromFronts));
    let mut world = World::new(shape(0.0, vec![cut]));
    let mut probe = |at: u64, member| {
        world.next(ms(at));
        world.advance_to(ms(at));
        world.probe(0, member);
        loop {
            if let Out::Probed { ending, report, .. } = world.next(ms(at + 500)).expect("an answer") {
                return (ending, report.role, report.position);
            }
        }
    };
    let (ending, role, position) = probe(100, 0);
    assert_eq!((ending, role), (AttemptOutcome::Committed, Some(Role::Primary)));
    assert!(position.is_some_and(|at| at >= ms(101)));
    let (_, role, position) = probe(300, 1);
    assert!(
        role == Some(Role::Replica) && position.is_some_and(|at| at < ms(301) && at > ms(280)),
        "{position:?}"
    );
    assert_eq!(probe(1200, 1), (AttemptOutcome::Unreachable, None, None));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_calendar_orders_events_as_a_sorted_list_does(steps in proptest::collection::vec((0..3u8, 0..5_000_000u64), 1..300)) {
        let mut calendar = Calendar::new(Duration::from_micros(50), 64);
        let (mut list, mut sequence, mut now) = (Vec::new(), 0u64, 0u64);
        for (choice, far) in steps {
            if choice > 0 {
                sequence += 1;
                // Near times, far times, and equal times.
                let at = now + if choice == 1 { far % 3000 * 1000 } else { far * 1000 };
                calendar.set(Duration::from_nanos(at), sequence);
                list.push((at, sequence));
            } else {
                list.sort_unstable();
                let expected = if list.is_empty() { None } else { Some(list.remove(0)) };
                prop_assert_eq!(calendar.next_at(), expected.map(|(at, _)| Duration::from_nanos(at)));
                prop_assert_eq!(calendar.take(), expected.map(|(at, sequence)| (Duration::from_nanos(at), sequence)));
                now = expected.map_or(now, |(at, _)| at);
            }
            prop_assert_eq!(calendar.len(), list.len());
        }
    }
}
