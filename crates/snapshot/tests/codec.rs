//! The snapshot format against valid, corrupted and arbitrary input.

use juniperdock_snapshot::{
    GroupRecord, MAX_AGE, MachineTime, MemberRecord, Snapshot, StartRecord, TxnTypeRecord, decode, encode,
    schema,
};
use proptest::prelude::*;
use std::time::Duration;

fn at(up_us: i64) -> MachineTime {
    MachineTime { boot: "one".to_owned(), up_us }
}

fn any_snapshot() -> impl Strategy<Value = Snapshot> {
    let time = proptest::option::of(any::<i64>());
    let member = ("[a-z0-9-]{1,12}", any::<bool>(), time.clone(), time.clone(), 0.0..9.0, any::<u32>())
        .prop_map(|(id, drains, position, served, sent, term)| MemberRecord {
            id,
            drains,
            position,
            served,
            sent,
            term,
            room: 4.0,
            slow: 1.0,
            ..MemberRecord::default()
        });
    let group = (any::<u64>(), any::<u32>(), time, proptest::collection::vec(any::<u8>(), 24)).prop_map(
        |(group, term, began, vacancies)| GroupRecord {
            group,
            term,
            began,
            vacancies,
            ..GroupRecord::default()
        },
    );
    let txn_type =
        ("[a-z]{1,9}", 0.0..2.0).prop_map(|(name, typical)| TxnTypeRecord { name, typical, usual: typical });
    (
        any::<i64>(),
        proptest::collection::vec(member, 0..20),
        proptest::collection::vec(group, 0..9),
        proptest::collection::vec(txn_type, 0..4),
    )
        .prop_map(|(taken, members, groups, types)| {
            let machine_time = (taken % 2 == 0).then(|| at(taken / 2));
            Snapshot { taken, members, groups, types, machine_time }
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn encoded_snapshots_round_trip_and_corrupted_ones_are_rejected(
        snapshot in any_snapshot(),
        at in any::<prop::sample::Index>(),
        flip in 1..=255u8,
    ) {
        let bytes = encode(&snapshot).expect("below the size limit");
        prop_assert_eq!(decode(&bytes), Ok(snapshot));
        let at = at.index(bytes.len());
        let mut flipped = bytes.clone();
        flipped[at] ^= flip;
        prop_assert!(decode(&flipped).is_err(), "byte {} flipped", at);
        prop_assert!(decode(&bytes[..at]).is_err(), "cut at {}", at);
        let more = [&bytes[..], &[0]].concat();
        prop_assert!(decode(&more).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_rejected_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode(&bytes).is_err());
        // The same bytes behind a valid header.
        for version in [1, 2, 3] {
        let body = [&b"JDSN\0"[..], &[version], &(bytes.len() as u32).to_be_bytes()].concat();
        let all = [&body[..], &crc32fast::hash(&bytes).to_be_bytes(), &bytes].concat();
        if let Ok(snapshot) = decode(&all) {
            let encoded_again = encode(&snapshot).expect("below the size limit");
            prop_assert_eq!(decode(&encoded_again), Ok(snapshot));
        }
        }
    }
}

#[test]
fn wrong_age_version_or_format_is_rejected_with_its_reason() {
    let bytes =
        encode(&Snapshot { taken: 1_000_000_000, ..Snapshot::default() }).expect("below the size limit");
    let snapshot = decode(&bytes).expect("a valid snapshot");
    let seconds = |s: i64| 1_000_000_000 + s * 1_000_000;
    assert!(snapshot.age(seconds(5), None).is_ok_and(|age| age.as_secs() == 5));
    assert!(snapshot.age(seconds(-60), None).is_err_and(|why| why.contains("set back")));
    assert!(snapshot.age(seconds(MAX_AGE.as_secs() as i64 + 1), None).is_err_and(|why| why.contains("old")));
    let mut other = bytes.clone();
    other[5] = 9;
    assert!(decode(&other).is_err_and(|why| why.contains("version")));
    assert!(decode(b"GIF89a and so on").is_err_and(|why| why.contains("not a snapshot")));
    let bad = Snapshot {
        types: vec![TxnTypeRecord { name: "a".into(), typical: f64::NAN, usual: 0.0 }],
        ..snapshot
    };
    assert!(decode(&encode(&bad).expect("below the size limit")).is_err_and(|why| why.contains("number")));
    assert!(schema()["properties"]["members"].is_object());
}

#[test]
fn age_follows_machine_time_within_one_boot_and_wall_clock_otherwise() {
    const SECOND: i64 = 1_000_000;
    let taken = 1_000_000_000 * SECOND;
    let snapshot = Snapshot { taken, machine_time: Some(at(50 * SECOND)), ..Snapshot::default() };
    let age = |step_s: i64, here: &MachineTime| snapshot.age(taken + (7 + step_s) * SECOND, Some(here));
    for step_s in [-3600, -5, 0, 3, 3600] {
        assert_eq!(age(step_s, &at(57 * SECOND)), Ok(Duration::from_secs(7)), "a step of {step_s} s");
    }
    // After a reboot only the wall clock is left.
    let after_reboot = MachineTime { boot: "another".to_owned(), up_us: 90 * SECOND };
    assert_eq!(age(2, &after_reboot), Ok(Duration::from_secs(9)));
    assert!(age(-3600, &after_reboot).is_err() && age(3600, &after_reboot).is_err());
    assert!(age(0, &at(700 * SECOND)).is_err(), "too old, whatever the wall clock says");
}

/// Guards against a restored position that is later than the one its server told, as the wall clock was stepped forward
/// between two processes: a session's read could miss its own write.
#[test]
fn rebase_shifts_all_times_by_the_same_offset_and_positions_back_only() {
    let start = StartRecord::Told(30);
    let member = MemberRecord {
        id: "a".into(),
        start,
        position: Some(90),
        served: Some(90),
        heard: None,
        ..MemberRecord::default()
    };
    let group = GroupRecord { began: Some(40), ..GroupRecord::default() };
    let mut snapshot =
        Snapshot { taken: 100, members: vec![member], groups: vec![group], ..Snapshot::default() };
    snapshot.rebase(5_000, Duration::from_micros(1_000));
    assert_eq!(
        (snapshot.taken, snapshot.members[0].served, snapshot.members[0].heard),
        (4_000, Some(3_990), None)
    );
    assert_eq!(snapshot.members[0].position, Some(90), "as its server told it");
    assert_eq!(snapshot.groups[0].began, Some(3_940));
    assert_eq!(snapshot.members[0].start, start, "what a list told is no time of this clock");
    // The clock was stepped back: the position is no younger than it was.
    snapshot.rebase(2_000, Duration::from_micros(1_000));
    assert_eq!((snapshot.members[0].position, snapshot.members[0].served), (Some(-2_910), Some(990)));
}

/// Guards against losing a drain in an upgrade from a version that saved no starts.
#[test]
fn version_2_without_starts_is_still_read() {
    let time = |at: i64| Some(at);
    let member =
        ("a", true, time(70), time(60), 0.5, 4.0, 1.5, time(80), 3u32, time(50), None::<i64>, time(40));
    let group = GroupRecord { group: 7, term: 3, ..GroupRecord::default() };
    let older = (77i64, vec![member], vec![&group], Vec::<TxnTypeRecord>::new(), Some(at(9)));
    let body = postcard::to_stdvec(&older).expect("a body");
    let head = [&b"JDSN"[..], &2u16.to_be_bytes(), &(body.len() as u32).to_be_bytes()].concat();
    let all = [&head[..], &crc32fast::hash(&body).to_be_bytes(), &body].concat();
    let expected = MemberRecord {
        id: "a".to_owned(),
        drains: true,
        start: StartRecord::Unknown,
        warm_at: Some(70),
        position: Some(60),
        sent: 0.5,
        room: 4.0,
        slow: 1.5,
        shunned: Some(80),
        term: 3,
        served: Some(50),
        stepped: None,
        heard: Some(40),
    };
    let machine_time = Some(at(9));
    let types = Vec::new();
    let snapshot = Snapshot { taken: 77, members: vec![expected], groups: vec![group], types, machine_time };
    assert_eq!(decode(&all), Ok(snapshot));
}

#[test]
fn version_1_without_machine_time_is_still_read() {
    let snapshot = Snapshot { taken: 77, ..Snapshot::default() };
    let now = encode(&snapshot).expect("below the size limit");
    let (body, mut before) = (&now[14..now.len() - 1], now[..14].to_vec());
    before[4..6].copy_from_slice(&1u16.to_be_bytes());
    before[6..10].copy_from_slice(&(body.len() as u32).to_be_bytes());
    before[10..14].copy_from_slice(&crc32fast::hash(body).to_be_bytes());
    assert_eq!(decode(&[&before[..], body].concat()), Ok(snapshot));
}
