//! What one front does for all, one story for each failure met.

use juniperdock_fleet_tasks::{
    Act, HealthObserver, HoldStep, Move, Observation, Outcome, ProbeRole, SHARDS, hold, release, say, step,
    words,
};
use juniperdock_fleet_tasks::{End, Roll, RollStep, Rolling, Sees, Serves};
use std::collections::BTreeMap;
use std::time::Duration;

const BOUND: Duration = Duration::from_millis(300);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A front's clock, and the time since 1970 that it shows.
fn unix(now: Duration) -> Duration {
    Duration::from_secs(1_790_000_000) + now
}

fn care(asks: ProbeRole) -> HealthObserver {
    let mut care = HealthObserver::new(BOUND);
    (0..3).for_each(|member| care.set_member(member, &format!("m-{member}")));
    care.update_view(true, [asks; SHARDS as usize], 1000.0);
    care
}

fn fact(at: Duration) -> Observation {
    Observation { position: unix(at), primary: Some(false), queue: Some(3), busy: Some(40) }
}

fn told(from: &mut HealthObserver, to: &mut HealthObserver, now: Duration) -> usize {
    let pieces: Vec<Vec<u8>> = (0..SHARDS as usize).flat_map(|shard| from.take_updates(shard)).collect();
    pieces.iter().map(|piece| to.apply_updates(now, unix(now), piece).expect("good facts")).sum()
}

#[test]
fn one_asks_and_the_others_take_its_word_for_as_long_as_it_is_good() {
    let (mut owner, mut other) = (care(ProbeRole::Owner), care(ProbeRole::No));
    assert_eq!(owner.due_probes(ms(1000)), [0, 1, 2]);
    assert!(owner.due_probes(ms(1050)).is_empty() && other.due_probes(ms(1000)).is_empty());
    assert_eq!(owner.due_probes(ms(1150)), [0, 1, 2], "twice within the bound");
    let mut beside = care(ProbeRole::Beside);
    assert_eq!(
        (
            beside.due_probes(ms(1000)).len(),
            beside.due_probes(ms(1800)).len(),
            beside.due_probes(ms(1900)).len()
        ),
        (3, 0, 3)
    );
    // Where there are few txns it takes fewer probes when each asks for what it needs.
    beside.update_view(true, [ProbeRole::Owner; SHARDS as usize], 90.0);
    assert!(beside.due_probes(ms(9000)).is_empty());
    (0..3).for_each(|member| owner.record_probe(member, Some(fact(ms(1080)))));
    assert_eq!(told(&mut owner, &mut other, ms(1110)), 3);
    let young = other.fresh_observation(ms(1200), unix(ms(1200)), 1);
    assert_eq!(young.map(|fact| fact.position), Some(unix(ms(1080))), "with its own date, never a later one");
    assert!(owner.fresh_observation(ms(1200), unix(ms(1200)), 1).is_none(), "who cares asks by itself");
    // The moment it is told nothing any more, it asks by itself.
    assert!(other.fresh_observation(ms(1360), unix(ms(1360)), 1).is_none(), "too old to read by");
    owner.record_probe(0, Some(fact(ms(1290))));
    told(&mut owner, &mut other, ms(1300));
    assert!(other.fresh_observation(ms(1310), unix(ms(1310)), 0).is_some());
    other.update_view(false, [ProbeRole::No; SHARDS as usize], 1000.0);
    assert!(other.fresh_observation(ms(1310), unix(ms(1310)), 0).is_none(), "not whole");
}

#[test]
fn a_member_that_only_others_reach_is_asked_by_oneself() {
    let (mut owner, mut other) = (care(ProbeRole::Owner), care(ProbeRole::No));
    owner.record_probe(2, Some(fact(ms(500))));
    told(&mut owner, &mut other, ms(510));
    other.record_failure(2);
    assert!(other.fresh_observation(ms(520), unix(ms(520)), 2).is_none());
    other.record_probe(2, None);
    assert!(other.fresh_observation(ms(520), unix(ms(520)), 2).is_none());
    other.record_probe(2, Some(fact(ms(515))));
    assert!(other.fresh_observation(ms(520), unix(ms(520)), 2).is_some(), "it answers here, too");
}

#[test]
fn what_is_of_the_future_late_or_of_nobody_counts_for_nothing() {
    let (mut owner, mut other) = (care(ProbeRole::Owner), care(ProbeRole::No));
    owner.record_probe(1, Some(fact(ms(5000))));
    assert_eq!(told(&mut owner, &mut other, ms(1000)), 0);
    assert_eq!(other.refused, 1);
    owner.record_probe(1, Some(fact(ms(1000))));
    assert_eq!(told(&mut owner, &mut other, ms(1000)), 1);
    owner.record_probe(1, Some(fact(ms(900))));
    assert_eq!(told(&mut owner, &mut other, ms(1010)), 0, "an older one came late");
    owner.set_member(7, "unheard of");
    owner.record_probe(7, Some(fact(ms(1000))));
    assert_eq!(told(&mut owner, &mut other, ms(1010)), 0, "the own list does not name it");
    assert!(other.apply_updates(ms(1010), unix(ms(1010)), &[1, 2, 3]).is_err());
    // Another member under the same index begins anew.
    other.set_member(1, "m-9");
    assert!(other.fresh_observation(ms(1020), unix(ms(1020)), 1).is_none());
}

#[test]
fn many_facts_go_into_pieces_that_fit() {
    let mut owner = HealthObserver::new(BOUND);
    owner.update_view(true, [ProbeRole::Owner; SHARDS as usize], 1e6);
    (0..400).for_each(|member| owner.set_member(member, &format!("m-{member}")));
    (0..400).for_each(|member| owner.record_probe(member, Some(fact(ms(5)))));
    let mut other = owner.clone();
    other.update_view(true, [ProbeRole::No; SHARDS as usize], 1e6);
    let pieces: Vec<Vec<u8>> = (0..SHARDS as usize).flat_map(|shard| owner.take_updates(shard)).collect();
    assert!(pieces.iter().all(|piece| piece.len() <= 150) && pieces.len() < 70, "{}", pieces.len());
    let news: usize =
        pieces.iter().map(|p| other.apply_updates(ms(9), unix(ms(9)), p).expect("good facts")).sum();
    assert_eq!(news, 400);
}

#[test]
fn all_hold_then_the_change_goes_on_and_all_let_go() {
    let mut m = Move::new(ms(0), 4, None, 9, &[0, 1, 2]);
    let all = [0, 1, 2];
    assert_eq!(m.rule(ms(100), Some(9), &all), [Act::Hold(0), Act::Hold(1), Act::Hold(2)]);
    assert!(m.rule(ms(150), Some(9), &all).is_empty());
    m.told(0, 9, HoldStep::Awaiting);
    m.told(1, 9, HoldStep::Emptying);
    assert_eq!(m.rule(ms(200), Some(9), &all), [Act::Hold(2)], "who has not said a word is told again");
    m.told(2, 9, HoldStep::Awaiting);
    assert!(m.rule(ms(300), Some(9), &all).is_empty() && !m.ready);
    m.told(1, 9, HoldStep::Awaiting);
    m.told(1, 9, HoldStep::Emptying);
    assert_eq!(m.rule(ms(310), Some(9), &all), [Act::Ready], "a word that comes late takes no step back");
    all.iter().for_each(|&front| m.told(front, 9, HoldStep::Done));
    assert_eq!(m.rule(ms(900), Some(9), &all), [Act::Ended(Outcome::Done)]);
    assert!(m.rule(ms(950), Some(9), &all).is_empty());
}

#[test]
fn whoever_cannot_hold_or_says_nothing_stops_it_at_all() {
    let all = [0, 1, 2];
    let begun = || Move::new(ms(0), 4, None, 9, &all);
    let mut m = begun();
    m.told(1, 9, HoldStep::Refused);
    let ends = m.rule(ms(200), Some(9), &all);
    assert_eq!(ends, [Act::Release(0), Act::Release(2), Act::Ended(Outcome::Refused(1))]);
    let mut m = begun();
    [0, 1].iter().for_each(|&front| m.told(front, 9, HoldStep::Awaiting));
    let ends = m.rule(ms(1600), Some(9), &all);
    assert_eq!(ends, [Act::Release(0), Act::Release(1), Act::Release(2), Act::Ended(Outcome::Silent(2))]);
    // One that is gone is not waited for.
    let mut m = begun();
    [0, 1].iter().for_each(|&front| m.told(front, 9, HoldStep::Awaiting));
    assert_eq!(m.rule(ms(1600), Some(9), &[0, 1]), [Act::Ready]);
    assert_eq!(m.gone, [2]);
    // One that went back to the old primary has the others let go.
    m.told(0, 9, HoldStep::Undone);
    assert_eq!(m.rule(ms(1700), Some(9), &[0, 1]), [Act::Release(1), Act::Ended(Outcome::Undone)]);
}

#[test]
fn an_owner_that_is_none_any_more_does_nothing_more() {
    let mut m = Move::new(ms(0), 4, None, 9, &[0, 1]);
    m.told(0, 9, HoldStep::Awaiting);
    assert_eq!(m.rule(ms(200), None, &[0, 1]), [Act::Ended(Outcome::Lost)]);
    let mut m = Move::new(ms(0), 4, None, 9, &[0, 1]);
    assert!(
        m.rule(ms(150), Some(11), &[0, 1]).len() == 2 && (m.order, m.term) == (9, 11),
        "it goes on in a later term"
    );
    assert_eq!(m.rule(ms(200), Some(9), &[0, 1]), [Act::Ended(Outcome::Lost)], "terms do not fall");
    let mut m = Move::new(ms(0), 4, None, 9, &[0, 1]);
    m.call_off();
    assert_eq!(m.rule(ms(200), Some(9), &[0, 1]).last(), Some(&Act::Ended(Outcome::CalledOff)));
}

#[test]
fn words_are_read_as_they_were_written() {
    assert_eq!(words(&hold(7, Some("m-1"))), Some((7, true, Some("m-1"))));
    assert_eq!(words(&hold(7, None)), Some((7, true, None)));
    assert_eq!(words(&release(7)), Some((7, false, None)));
    assert_eq!((words(&[9, 0]), words(&[])), (None, None));
    assert_eq!(step(&say(300, HoldStep::Awaiting)), Some((300, HoldStep::Awaiting)));
    assert_eq!((step(&[77, 1]), step(&[])), (None, None));
}

fn sees(lives: &[(u16, u32)]) -> BTreeMap<u16, Sees> {
    lives.iter().map(|&(front, life)| (front, Sees { life, whole: true })).collect()
}

const GOOD: Serves = Serves { committed: 30, failed: 1, undone: 0 };

#[test]
fn fronts_are_rolled_one_by_one_and_the_next_owner_goes_on() {
    let mut roll = Roll::new(5, None, 1).expect("good words");
    let (mut first, before) = (Rolling::default(), [(0, 10), (1, 10), (2, 10)]);
    assert_eq!(first.rule(ms(0), 0, &mut roll, &sees(&before)), [RollStep::Tell, RollStep::Upgrade(1, 10)]);
    assert!(first.rule(ms(100), 0, &mut roll, &sees(&before)).is_empty(), "one at a time");
    let again = first.rule(ms(400), 0, &mut roll, &sees(&before));
    assert_eq!(again, [RollStep::Tell, RollStep::Upgrade(1, 10)], "the word may have been lost");
    let back = [(0, 10), (1, 20), (2, 10)];
    first.rule(ms(900), 0, &mut roll, &sees(&back));
    first.told(1, GOOD);
    assert_eq!(first.rule(ms(950), 0, &mut roll, &sees(&back)), [RollStep::Tell]);
    assert_eq!(first.rule(ms(960), 0, &mut roll, &sees(&back))[1], RollStep::Upgrade(2, 10));
    let back = [(0, 10), (1, 20), (2, 20)];
    first.rule(ms(2000), 0, &mut roll, &sees(&back));
    first.told(2, Serves::default());
    assert!(
        !first.rule(ms(2500), 0, &mut roll, &sees(&back)).contains(&RollStep::Upgrade(0, 10)),
        "too few txns to tell"
    );
    assert_eq!(
        first.rule(ms(4000), 0, &mut roll, &sees(&back)),
        [RollStep::Tell],
        "after a while it is taken for good"
    );
    // Its own turn comes last; another goes on from what was told.
    assert_eq!(first.rule(ms(4010), 0, &mut roll, &sees(&back))[1], RollStep::Upgrade(0, 10));
    let mut told = Roll::read(&roll.bytes()).expect("as it was written");
    assert_eq!(told, roll);
    let mut second = Rolling::default();
    let back = [(0, 30), (1, 20), (2, 20)];
    second.rule(ms(50), 1, &mut told, &sees(&back));
    second.told(0, GOOD);
    assert_eq!(second.rule(ms(60), 1, &mut told, &sees(&back)), [RollStep::Tell]);
    assert_eq!(second.rule(ms(70), 1, &mut told, &sees(&back)), [RollStep::Tell, RollStep::Ended(End::Done)]);
    assert!(told.later(&roll) && !told.going());
}

#[test]
fn a_roll_is_numbered_above_the_newest_that_is_known() {
    let newest = Roll::new(900, None, 1).expect("good words");
    let ordered = |number| Roll::new(number, None, 1).expect("good words").numbered_after(&newest);
    assert_eq!([ordered(5).number, ordered(900).number, ordered(7000).number], [901, 901, 7000]);
    assert!(ordered(5).later(&newest));
}

#[test]
fn a_roll_stops_at_the_first_front_that_is_missing_fails_or_serves_badly() {
    let begun = || {
        let (mut roll, mut rolling) =
            (Roll::new(5, Some("/opt/new"), 2).expect("good words"), Rolling::default());
        let all = sees(&[(0, 10), (1, 10), (2, 10), (3, 10)]);
        rolling.rule(ms(0), 0, &mut roll, &all);
        rolling.rule(ms(1), 0, &mut roll, &all);
        assert_eq!(roll.under.len(), 2);
        (roll, rolling)
    };
    let back = sees(&[(0, 10), (1, 20), (3, 10)]);
    for (word, end) in [
        (Serves { committed: 5, failed: 40, undone: 0 }, End::Falls(1)),
        (Serves { committed: 50, failed: 0, undone: 5 }, End::Failed(1)),
    ] {
        let (mut roll, mut rolling) = begun();
        rolling.rule(ms(10), 0, &mut roll, &back);
        rolling.told(1, word);
        assert_eq!(rolling.rule(ms(20), 0, &mut roll, &back), [RollStep::Tell, RollStep::Ended(end)]);
        assert!(rolling.rule(ms(30), 0, &mut roll, &back).is_empty());
    }
    let (mut roll, mut rolling) = begun();
    let ends = rolling.rule(ms(21_000), 0, &mut roll, &sees(&[(0, 10), (3, 10)]));
    assert_eq!(ends, [RollStep::Tell, RollStep::Ended(End::Missing(1))]);
    // One whose new process did not come up says so in its old life.
    let (mut roll, mut rolling) = begun();
    rolling.told(2, Serves { committed: 50, failed: 0, undone: 5 });
    let all = sees(&[(0, 10), (1, 10), (2, 10), (3, 10)]);
    assert_eq!(rolling.rule(ms(30), 0, &mut roll, &all), [RollStep::Tell, RollStep::Ended(End::Failed(2))]);
    let (mut roll, _) = begun();
    assert_eq!(Rolling::call_off(&mut roll), [RollStep::Tell, RollStep::Ended(End::CalledOff)]);
    assert!(Rolling::call_off(&mut roll).is_empty());
}

#[test]
fn a_roll_of_three_hundred_fits_into_a_datagram_and_nonsense_is_passed_over() {
    let mut roll = Roll::new(u64::MAX >> 8, Some(&"x".repeat(48)), 4).expect("good words");
    roll.back.extend(0..300);
    roll.under.extend((300..304).map(|front| (front, u32::MAX)));
    roll.end = Some(End::Falls(300));
    assert!(roll.bytes().len() <= 155, "{}", roll.bytes().len());
    assert_eq!(Roll::read(&roll.bytes()), Some(roll));
    assert!(Roll::new(1, Some(&"x".repeat(49)), 1).is_err() && Roll::new(1, None, 0).is_err());
    assert!(Roll::read(&[]).is_none() && Roll::read(&[255; 20]).is_none());
}

proptest::proptest! {
    /// In whatever order and however often facts come, the newest position is what counts.
    #[test]
    fn facts_converge(order in proptest::collection::vec(0usize..5, 1..40)) {
        let mut other = care(ProbeRole::No);
        let now = ms(2000);
        for &at in &order {
            let mut owner = care(ProbeRole::Owner);
            owner.record_probe(0, Some(fact(ms(1900 + at as u64 * 20))));
            told(&mut owner, &mut other, now);
        }
        let newest = ms(1900 + order.iter().max().copied().unwrap_or(0) as u64 * 20);
        proptest::prop_assert_eq!(other.fresh_observation(now, unix(now), 0).map(|f| f.position), Some(unix(newest)));
    }
}
