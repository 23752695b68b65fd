//! Scenarios of the work that one front does for the fleet; one for each failure.

use juniperdock_fleet_tasks::{
    FrontReport, FrontView, UpgradeCoordinator, UpgradeOutcome, UpgradeState, UpgradeStep,
};
use juniperdock_fleet_tasks::{
    HealthObserver, HoldStep, MoveAction, Observation, Outcome, PrimaryMove, ProbeRole, SHARDS, decode_order,
    decode_step, encode_hold, encode_release, encode_step,
};
use std::collections::BTreeMap;
use std::time::Duration;

const BOUND: Duration = Duration::from_millis(300);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The time since 1970 that a front's clock shows.
fn unix(now: Duration) -> Duration {
    Duration::from_secs(1_790_000_000) + now
}

fn observer(role: ProbeRole) -> HealthObserver {
    let mut observer = HealthObserver::new(BOUND);
    (0..3).for_each(|member| observer.set_member(member, &format!("m-{member}")));
    observer.update_view(true, [role; SHARDS as usize], 1000.0);
    observer
}

fn observation(at: Duration) -> Observation {
    Observation { position: unix(at), primary: Some(false), queue: Some(3), busy: Some(40) }
}

fn share_updates(from: &mut HealthObserver, to: &mut HealthObserver, now: Duration) -> usize {
    let pieces: Vec<Vec<u8>> = (0..SHARDS as usize).flat_map(|shard| from.take_updates(shard)).collect();
    pieces
        .iter()
        .map(|piece| to.apply_updates(now, unix(now), piece).expect("well-formed observations"))
        .sum()
}

#[test]
fn the_owner_probes_and_others_use_its_observations_while_fresh() {
    let (mut owner, mut other) = (observer(ProbeRole::Owner), observer(ProbeRole::Receiver));
    assert_eq!(owner.due_probes(ms(1000)), [0, 1, 2]);
    assert!(owner.due_probes(ms(1050)).is_empty() && other.due_probes(ms(1000)).is_empty());
    assert_eq!(owner.due_probes(ms(1150)), [0, 1, 2], "twice within the bound");
    let mut backup = observer(ProbeRole::Backup);
    assert_eq!(
        (
            backup.due_probes(ms(1000)).len(),
            backup.due_probes(ms(1800)).len(),
            backup.due_probes(ms(1900)).len()
        ),
        (3, 0, 3)
    );
    // With few txns it takes fewer probes when each front probes on demand.
    backup.update_view(true, [ProbeRole::Owner; SHARDS as usize], 90.0);
    assert!(backup.due_probes(ms(9000)).is_empty());
    (0..3).for_each(|member| owner.record_probe(member, Some(observation(ms(1080)))));
    assert_eq!(share_updates(&mut owner, &mut other, ms(1110)), 3);
    let fresh = other.fresh_observation(ms(1200), unix(ms(1200)), 1);
    assert_eq!(
        fresh.map(|observation| observation.position),
        Some(unix(ms(1080))),
        "dated by the member, never later"
    );
    assert!(owner.fresh_observation(ms(1200), unix(ms(1200)), 1).is_none(), "the owner probes by itself");
    // Without updates it soon probes by itself.
    assert!(other.fresh_observation(ms(1360), unix(ms(1360)), 1).is_none(), "too old to read by");
    owner.record_probe(0, Some(observation(ms(1290))));
    share_updates(&mut owner, &mut other, ms(1300));
    assert!(other.fresh_observation(ms(1310), unix(ms(1310)), 0).is_some());
    other.update_view(false, [ProbeRole::Receiver; SHARDS as usize], 1000.0);
    assert!(other.fresh_observation(ms(1310), unix(ms(1310)), 0).is_none(), "no majority");
}

#[test]
fn a_member_that_only_other_fronts_reach_is_probed_directly() {
    let (mut owner, mut other) = (observer(ProbeRole::Owner), observer(ProbeRole::Receiver));
    owner.record_probe(2, Some(observation(ms(500))));
    share_updates(&mut owner, &mut other, ms(510));
    other.record_failure(2);
    assert!(other.fresh_observation(ms(520), unix(ms(520)), 2).is_none());
    other.record_probe(2, None);
    assert!(other.fresh_observation(ms(520), unix(ms(520)), 2).is_none());
    other.record_probe(2, Some(observation(ms(515))));
    assert!(other.fresh_observation(ms(520), unix(ms(520)), 2).is_some(), "it answers here, too");
}

#[test]
fn future_late_and_unlisted_observations_are_ignored() {
    let (mut owner, mut other) = (observer(ProbeRole::Owner), observer(ProbeRole::Receiver));
    owner.record_probe(1, Some(observation(ms(5000))));
    assert_eq!(share_updates(&mut owner, &mut other, ms(1000)), 0);
    assert_eq!(other.refused, 1);
    owner.record_probe(1, Some(observation(ms(1000))));
    assert_eq!(share_updates(&mut owner, &mut other, ms(1000)), 1);
    owner.record_probe(1, Some(observation(ms(900))));
    assert_eq!(share_updates(&mut owner, &mut other, ms(1010)), 0, "an older one is late");
    owner.set_member(7, "unheard of");
    owner.record_probe(7, Some(observation(ms(1000))));
    assert_eq!(share_updates(&mut owner, &mut other, ms(1010)), 0, "not in this front's list");
    assert!(other.apply_updates(ms(1010), unix(ms(1010)), &[1, 2, 3]).is_err());
    // Another member under the same index starts without an observation.
    other.set_member(1, "m-9");
    assert!(other.fresh_observation(ms(1020), unix(ms(1020)), 1).is_none());
}

#[test]
fn many_observations_are_split_into_pieces_that_fit() {
    let mut owner = HealthObserver::new(BOUND);
    owner.update_view(true, [ProbeRole::Owner; SHARDS as usize], 1e6);
    (0..400).for_each(|member| owner.set_member(member, &format!("m-{member}")));
    (0..400).for_each(|member| owner.record_probe(member, Some(observation(ms(5)))));
    let mut other = owner.clone();
    other.update_view(true, [ProbeRole::Receiver; SHARDS as usize], 1e6);
    let pieces: Vec<Vec<u8>> = (0..SHARDS as usize).flat_map(|shard| owner.take_updates(shard)).collect();
    assert!(pieces.iter().all(|piece| piece.len() <= 150) && pieces.len() < 70, "{}", pieces.len());
    let updated: usize = pieces
        .iter()
        .map(|p| other.apply_updates(ms(9), unix(ms(9)), p).expect("well-formed observations"))
        .sum();
    assert_eq!(updated, 400);
}

#[test]
fn all_fronts_hold_then_the_change_completes() {
    let mut m = PrimaryMove::new(ms(0), 4, None, 9, &[0, 1, 2]);
    let all = [0, 1, 2];
    assert_eq!(
        m.next_actions(ms(100), Some(9), &all),
        [MoveAction::Hold(0), MoveAction::Hold(1), MoveAction::Hold(2)]
    );
    assert!(m.next_actions(ms(150), Some(9), &all).is_empty());
    m.record_step(0, 9, HoldStep::Awaiting);
    m.record_step(1, 9, HoldStep::Emptying);
    assert_eq!(
        m.next_actions(ms(200), Some(9), &all),
        [MoveAction::Hold(2)],
        "a front that has not answered is asked again"
    );
    m.record_step(2, 9, HoldStep::Awaiting);
    assert!(m.next_actions(ms(300), Some(9), &all).is_empty() && !m.ready);
    m.record_step(1, 9, HoldStep::Awaiting);
    m.record_step(1, 9, HoldStep::Emptying);
    assert_eq!(
        m.next_actions(ms(310), Some(9), &all),
        [MoveAction::Ready],
        "a late report takes no step back"
    );
    all.iter().for_each(|&front| m.record_step(front, 9, HoldStep::Done));
    assert_eq!(m.next_actions(ms(900), Some(9), &all), [MoveAction::Ended(Outcome::Done)]);
    assert!(m.next_actions(ms(950), Some(9), &all).is_empty());
}

#[test]
fn a_front_that_refuses_or_is_silent_stops_the_change() {
    let all = [0, 1, 2];
    let start = || PrimaryMove::new(ms(0), 4, None, 9, &all);
    let mut m = start();
    m.record_step(1, 9, HoldStep::Refused);
    let ends = m.next_actions(ms(200), Some(9), &all);
    assert_eq!(
        ends,
        [MoveAction::Release(0), MoveAction::Release(2), MoveAction::Ended(Outcome::Refused(1))]
    );
    let mut m = start();
    [0, 1].iter().for_each(|&front| m.record_step(front, 9, HoldStep::Awaiting));
    let ends = m.next_actions(ms(1600), Some(9), &all);
    assert_eq!(
        ends,
        [
            MoveAction::Release(0),
            MoveAction::Release(1),
            MoveAction::Release(2),
            MoveAction::Ended(Outcome::Silent(2))
        ]
    );
    // A front that has left is not waited for.
    let mut m = start();
    [0, 1].iter().for_each(|&front| m.record_step(front, 9, HoldStep::Awaiting));
    assert_eq!(m.next_actions(ms(1600), Some(9), &[0, 1]), [MoveAction::Ready]);
    assert_eq!(m.departed, [2]);
    // A front that went back to the old primary releases the others.
    m.record_step(0, 9, HoldStep::Undone);
    assert_eq!(
        m.next_actions(ms(1700), Some(9), &[0, 1]),
        [MoveAction::Release(1), MoveAction::Ended(Outcome::Undone)]
    );
}

#[test]
fn an_owner_that_lost_the_task_stops() {
    let mut m = PrimaryMove::new(ms(0), 4, None, 9, &[0, 1]);
    m.record_step(0, 9, HoldStep::Awaiting);
    assert_eq!(m.next_actions(ms(200), None, &[0, 1]), [MoveAction::Ended(Outcome::Lost)]);
    let mut m = PrimaryMove::new(ms(0), 4, None, 9, &[0, 1]);
    assert!(
        m.next_actions(ms(150), Some(11), &[0, 1]).len() == 2 && (m.order, m.term) == (9, 11),
        "it continues in a later term"
    );
    assert_eq!(
        m.next_actions(ms(200), Some(9), &[0, 1]),
        [MoveAction::Ended(Outcome::Lost)],
        "terms do not go back"
    );
    let mut m = PrimaryMove::new(ms(0), 4, None, 9, &[0, 1]);
    m.call_off();
    assert_eq!(
        m.next_actions(ms(200), Some(9), &[0, 1]).last(),
        Some(&MoveAction::Ended(Outcome::CalledOff))
    );
}

#[test]
fn payloads_decode_as_encoded() {
    assert_eq!(decode_order(&encode_hold(7, Some("m-1"))), Some((7, true, Some("m-1"))));
    assert_eq!(decode_order(&encode_hold(7, None)), Some((7, true, None)));
    assert_eq!(decode_order(&encode_release(7)), Some((7, false, None)));
    assert_eq!((decode_order(&[9, 0]), decode_order(&[])), (None, None));
    assert_eq!(decode_step(&encode_step(300, HoldStep::Awaiting)), Some((300, HoldStep::Awaiting)));
    assert_eq!((decode_step(&[77, 1]), decode_step(&[])), (None, None));
}

fn fronts(incarnations: &[(u16, u32)]) -> BTreeMap<u16, FrontView> {
    incarnations
        .iter()
        .map(|&(front, incarnation)| (front, FrontView { incarnation, has_majority: true }))
        .collect()
}

const GOOD: FrontReport = FrontReport { committed: 30, failed: 1, failed_upgrade: 0 };

#[test]
fn fronts_are_upgraded_one_by_one_and_the_next_owner_continues() {
    let mut state = UpgradeState::new(5, None, 1).expect("valid parameters");
    let (mut first, before) = (UpgradeCoordinator::default(), [(0, 10), (1, 10), (2, 10)]);
    assert_eq!(
        first.next_steps(ms(0), 0, &mut state, &fronts(&before)),
        [UpgradeStep::Tell, UpgradeStep::Upgrade(1, 10)]
    );
    assert!(first.next_steps(ms(100), 0, &mut state, &fronts(&before)).is_empty(), "one at a time");
    let again = first.next_steps(ms(400), 0, &mut state, &fronts(&before));
    assert_eq!(again, [UpgradeStep::Tell, UpgradeStep::Upgrade(1, 10)], "the message may have been lost");
    let back = [(0, 10), (1, 20), (2, 10)];
    first.next_steps(ms(900), 0, &mut state, &fronts(&back));
    first.record_report(1, GOOD);
    assert_eq!(first.next_steps(ms(950), 0, &mut state, &fronts(&back)), [UpgradeStep::Tell]);
    assert_eq!(first.next_steps(ms(960), 0, &mut state, &fronts(&back))[1], UpgradeStep::Upgrade(2, 10));
    let back = [(0, 10), (1, 20), (2, 20)];
    first.next_steps(ms(2000), 0, &mut state, &fronts(&back));
    first.record_report(2, FrontReport::default());
    assert!(
        !first.next_steps(ms(2500), 0, &mut state, &fronts(&back)).contains(&UpgradeStep::Upgrade(0, 10)),
        "too few txns to judge"
    );
    assert_eq!(
        first.next_steps(ms(4000), 0, &mut state, &fronts(&back)),
        [UpgradeStep::Tell],
        "after the observation time it counts as good"
    );
    // The owner goes last; another front continues from the shared state.
    assert_eq!(first.next_steps(ms(4010), 0, &mut state, &fronts(&back))[1], UpgradeStep::Upgrade(0, 10));
    let mut next_state = UpgradeState::from_bytes(&state.to_bytes()).expect("decodes as encoded");
    assert_eq!(next_state, state);
    let mut second = UpgradeCoordinator::default();
    let back = [(0, 30), (1, 20), (2, 20)];
    second.next_steps(ms(50), 1, &mut next_state, &fronts(&back));
    second.record_report(0, GOOD);
    assert_eq!(second.next_steps(ms(60), 1, &mut next_state, &fronts(&back)), [UpgradeStep::Tell]);
    assert_eq!(
        second.next_steps(ms(70), 1, &mut next_state, &fronts(&back)),
        [UpgradeStep::Tell, UpgradeStep::Ended(UpgradeOutcome::Done)]
    );
    assert!(next_state.supersedes(&state) && !next_state.is_running());
}

#[test]
fn an_upgrade_is_numbered_above_the_newest_known() {
    let newest = UpgradeState::new(900, None, 1).expect("valid parameters");
    let ordered =
        |number| UpgradeState::new(number, None, 1).expect("valid parameters").numbered_after(&newest);
    assert_eq!([ordered(5).number, ordered(900).number, ordered(7000).number], [901, 901, 7000]);
    assert!(ordered(5).supersedes(&newest));
}

#[test]
fn an_upgrade_stops_at_the_first_front_that_is_missing_fails_or_degrades() {
    let start = || {
        let (mut state, mut coordinator) = (
            UpgradeState::new(5, Some("/opt/new"), 2).expect("valid parameters"),
            UpgradeCoordinator::default(),
        );
        let all = fronts(&[(0, 10), (1, 10), (2, 10), (3, 10)]);
        coordinator.next_steps(ms(0), 0, &mut state, &all);
        coordinator.next_steps(ms(1), 0, &mut state, &all);
        assert_eq!(state.upgrading.len(), 2);
        (state, coordinator)
    };
    let back = fronts(&[(0, 10), (1, 20), (3, 10)]);
    for (report, end) in [
        (FrontReport { committed: 5, failed: 40, failed_upgrade: 0 }, UpgradeOutcome::Falls(1)),
        (FrontReport { committed: 50, failed: 0, failed_upgrade: 5 }, UpgradeOutcome::Failed(1)),
    ] {
        let (mut state, mut coordinator) = start();
        coordinator.next_steps(ms(10), 0, &mut state, &back);
        coordinator.record_report(1, report);
        assert_eq!(
            coordinator.next_steps(ms(20), 0, &mut state, &back),
            [UpgradeStep::Tell, UpgradeStep::Ended(end)]
        );
        assert!(coordinator.next_steps(ms(30), 0, &mut state, &back).is_empty());
    }
    let (mut state, mut coordinator) = start();
    let ends = coordinator.next_steps(ms(21_000), 0, &mut state, &fronts(&[(0, 10), (3, 10)]));
    assert_eq!(ends, [UpgradeStep::Tell, UpgradeStep::Ended(UpgradeOutcome::Missing(1))]);
    // A front whose new process did not start reports it from its old incarnation.
    let (mut state, mut coordinator) = start();
    coordinator.record_report(2, FrontReport { committed: 50, failed: 0, failed_upgrade: 5 });
    let all = fronts(&[(0, 10), (1, 10), (2, 10), (3, 10)]);
    assert_eq!(
        coordinator.next_steps(ms(30), 0, &mut state, &all),
        [UpgradeStep::Tell, UpgradeStep::Ended(UpgradeOutcome::Failed(2))]
    );
    let (mut state, _) = start();
    assert_eq!(
        UpgradeCoordinator::call_off(&mut state),
        [UpgradeStep::Tell, UpgradeStep::Ended(UpgradeOutcome::CalledOff)]
    );
    assert!(UpgradeCoordinator::call_off(&mut state).is_empty());
}

#[test]
fn the_state_of_300_fronts_fits_into_a_datagram_and_malformed_states_are_refused() {
    let mut state = UpgradeState::new(u64::MAX >> 8, Some(&"x".repeat(48)), 4).expect("valid parameters");
    state.completed.extend(0..300);
    state.upgrading.extend((300..304).map(|front| (front, u32::MAX)));
    state.outcome = Some(UpgradeOutcome::Falls(300));
    assert!(state.to_bytes().len() <= 155, "{}", state.to_bytes().len());
    assert_eq!(UpgradeState::from_bytes(&state.to_bytes()), Some(state));
    assert!(
        UpgradeState::new(1, Some(&"x".repeat(49)), 1).is_err() && UpgradeState::new(1, None, 0).is_err()
    );
    assert!(UpgradeState::from_bytes(&[]).is_none() && UpgradeState::from_bytes(&[255; 20]).is_none());
}

proptest::proptest! {
    /// In whatever order and however often observations arrive, the newest position counts.
    #[test]
    fn observations_converge(order in proptest::collection::vec(0usize..5, 1..40)) {
        let mut other = observer(ProbeRole::Receiver);
        let now = ms(2000);
        for &at in &order {
            let mut owner = observer(ProbeRole::Owner);
            owner.record_probe(0, Some(observation(ms(1900 + at as u64 * 20))));
            share_updates(&mut owner, &mut other, now);
        }
        let newest = ms(1900 + order.iter().max().copied().unwrap_or(0) as u64 * 20);
        proptest::prop_assert_eq!(other.fresh_observation(now, unix(now), 0).map(|f| f.position), Some(unix(newest)));
    }
}
