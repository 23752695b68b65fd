//! The codec against whatever may lie in a file.

use juniperdock_snapshot::{
    GroupRecord, MachineTime, MemberRecord, OLDEST, Snapshot, TxnTypeRecord, decode, encode, schema,
};
use proptest::prelude::*;
use std::time::Duration;

fn at(up_us: i64) -> MachineTime {
    MachineTime { boot: "one".to_owned(), up_us }
}

fn memory() -> impl Strategy<Value = Snapshot> {
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
    let kind =
        ("[a-z]{1,9}", 0.0..2.0).prop_map(|(name, typical)| TxnTypeRecord { name, typical, usual: typical });
    (
        any::<i64>(),
        proptest::collection::vec(member, 0..20),
        proptest::collection::vec(group, 0..9),
        proptest::collection::vec(kind, 0..4),
    )
        .prop_map(|(taken, members, groups, types)| {
            let machine_time = (taken % 2 == 0).then(|| at(taken / 2));
            Snapshot { taken, members, groups, types, machine_time }
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_written_is_read_and_what_is_harmed_is_refused(
        memory in memory(),
        at in any::<prop::sample::Index>(),
        flip in 1..=255u8,
    ) {
        let bytes = encode(&memory).expect("it is short");
        prop_assert_eq!(decode(&bytes), Ok(memory));
        let at = at.index(bytes.len());
        let mut flipped = bytes.clone();
        flipped[at] ^= flip;
        prop_assert!(decode(&flipped).is_err(), "byte {} flipped", at);
        prop_assert!(decode(&bytes[..at]).is_err(), "cut at {}", at);
        let more = [&bytes[..], &[0]].concat();
        prop_assert!(decode(&more).is_err());
    }

    #[test]
    fn no_bytes_upset_it(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode(&bytes).is_err());
        // Behind a good head, too.
        for version in [1, 2] {
        let body = [&b"JDSN\0"[..], &[version], &(bytes.len() as u32).to_be_bytes()].concat();
        let all = [&body[..], &crc32fast::hash(&bytes).to_be_bytes(), &bytes].concat();
        if let Ok(memory) = decode(&all) {
            let again = encode(&memory).expect("it is short");
            prop_assert_eq!(decode(&again), Ok(memory));
        }
        }
    }
}

#[test]
fn one_of_another_time_or_version_is_refused_with_its_reason() {
    let bytes = encode(&Snapshot { taken: 1_000_000_000, ..Snapshot::default() }).expect("it is short");
    let memory = decode(&bytes).expect("a snapshot");
    let seconds = |s: i64| 1_000_000_000 + s * 1_000_000;
    assert!(memory.age(seconds(5), None).is_ok_and(|age| age.as_secs() == 5));
    assert!(memory.age(seconds(-60), None).is_err_and(|why| why.contains("set back")));
    assert!(memory.age(seconds(OLDEST.as_secs() as i64 + 1), None).is_err_and(|why| why.contains("old")));
    let mut other = bytes.clone();
    other[5] = 9;
    assert!(decode(&other).is_err_and(|why| why.contains("version")));
    assert!(decode(b"GIF89a and so on").is_err_and(|why| why.contains("foreign")));
    let bad =
        Snapshot { types: vec![TxnTypeRecord { name: "a".into(), typical: f64::NAN, usual: 0.0 }], ..memory };
    assert!(decode(&encode(&bad).expect("it is short")).is_err_and(|why| why.contains("number")));
    assert!(schema()["properties"]["members"].is_object());
}

#[test]
fn its_age_is_the_machines_own_time_while_that_runs_on() {
    const SECOND: i64 = 1_000_000;
    let taken = 1_000_000_000 * SECOND;
    let memory = Snapshot { taken, machine_time: Some(at(50 * SECOND)), ..Snapshot::default() };
    let age = |step_s: i64, here: &MachineTime| memory.age(taken + (7 + step_s) * SECOND, Some(here));
    for step_s in [-3600, -5, 0, 3, 3600] {
        assert_eq!(age(step_s, &at(57 * SECOND)), Ok(Duration::from_secs(7)), "a step of {step_s} s");
    }
    // After the machine has started anew the wall clock is all there is.
    let anew = MachineTime { boot: "another".to_owned(), up_us: 90 * SECOND };
    assert_eq!(age(2, &anew), Ok(Duration::from_secs(9)));
    assert!(age(-3600, &anew).is_err() && age(3600, &anew).is_err());
    assert!(age(0, &at(700 * SECOND)).is_err(), "too old, whatever the wall clock says");
}

#[test]
fn all_its_times_are_dated_anew_together() {
    let member = MemberRecord { id: "a".into(), position: Some(90), heard: None, ..MemberRecord::default() };
    let group = GroupRecord { began: Some(40), ..GroupRecord::default() };
    let mut memory =
        Snapshot { taken: 100, members: vec![member], groups: vec![group], ..Snapshot::default() };
    memory.rebase(5_000, Duration::from_micros(1_000));
    assert_eq!(
        (memory.taken, memory.members[0].position, memory.members[0].heard),
        (4_000, Some(3_990), None)
    );
    assert_eq!(memory.groups[0].began, Some(3_940));
}

#[test]
fn one_without_the_machines_time_is_read() {
    let memory = Snapshot { taken: 77, ..Snapshot::default() };
    let now = encode(&memory).expect("it is short");
    let (body, mut before) = (&now[14..now.len() - 1], now[..14].to_vec());
    before[4..6].copy_from_slice(&1u16.to_be_bytes());
    before[6..10].copy_from_slice(&(body.len() as u32).to_be_bytes());
    before[10..14].copy_from_slice(&crc32fast::hash(body).to_be_bytes());
    assert_eq!(decode(&[&before[..], body].concat()), Ok(memory));
}
