//! A short soak test: ten front processes under overlapping faults of all kinds, checked against the invariants.
//! `juniperdock-lab soak` runs longer ones, for many seeds.

use juniperdock_lab::fleet::history::{Line, read};
use juniperdock_lab::fleet::play::play;
use juniperdock_lab::fleet::{FaultKind, InjectedFault, Schedule, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_juniperdock");

const SEEDS: [u64; 5] = [3, 8, 14, 28, 66];

/// Seconds of faults for each seed; recovery takes additional time.
const SECONDS: f64 = 8.0;

fn assert_invariants_hold(seed: u64) {
    let schedule = Schedule::soak(seed, 10, SECONDS);
    let path = std::env::temp_dir().join(format!("jd-soak-{seed}-{}.jsonl", std::process::id()));
    play(&schedule, seed, PROGRAM, &path, None).unwrap_or_else(|why| panic!("{why}"));
    let findings = soak::findings(&read(&path).unwrap_or_else(|why| panic!("{why}")));
    let _ = std::fs::remove_file(&path);
    assert!(findings.hold(), "seed {seed}: {findings}");
    assert!(findings.figures.committed > 100 && findings.left > 0, "seed {seed}: {findings}");
}

#[test]
fn invariants_hold_for_ten_processes_under_overlapping_faults() {
    for seed in SEEDS {
        assert_invariants_hold(seed);
    }
}

/// Guards against an oracle that misses violations: a statement that was sent to a server and whose connection then
/// closed without an answer, and one sent after its client had left.
#[test]
fn oracle_detects_planted_violations() {
    let schedule = Schedule { mishaps: Vec::new(), lasts_s: 2.0, ..Schedule::soak(4, 2, 1.0) };
    let path = std::env::temp_dir().join(format!("jd-oracle-{}.jsonl", std::process::id()));
    play(&schedule, 4, PROGRAM, &path, None).unwrap_or_else(|why| panic!("{why}"));
    let lines = read(&path).unwrap_or_else(|why| panic!("{why}"));
    let _ = std::fs::remove_file(&path);
    assert!(soak::findings(&lines).hold());
    let sent = lines.iter().rposition(|line| line.what == "submitted").expect("a statement was sent on");
    for (what, auditor) in [("cut off", "sent on and cut off"), ("left", "sent after its client left")] {
        let mut modified = lines.clone();
        let mut line = lines[sent].clone();
        line.what = what.to_owned();
        let at = if what == "left" { 0 } else { sent + 1 };
        line.at = if what == "left" { lines[0].at } else { line.at };
        modified.insert(at, line);
        let found = soak::findings(&modified).broken;
        assert!(found.iter().any(|found| found.auditor == auditor), "{what}: {found:?}");
    }
    // What misbehaving clients may bring about, as the rig notes it.
    for (what, auditor) in [
        ("over memory", "over its memory limit"),
        ("copy served", "copy of another's request served"),
        ("sent for nobody", "sent behind the end of its client"),
        ("crashed", "crashed"),
    ] {
        let mut modified = lines.clone();
        let more = serde_json::json!({ "front": 0, "left": 0 });
        modified.push(Line { at: lines[sent].at, what: what.to_owned(), more });
        let found = soak::findings(&modified).broken;
        assert!(found.iter().any(|found| found.auditor == auditor), "{what}: {found:?}");
    }
}

/// The kinds of misbehaving clients that a seed's schedule has, at the least memory.
fn kinds_at_the_least_memory(seed: u64) -> usize {
    let schedule = Schedule::soak(seed, 10, SECONDS);
    let is_misbehaving = |fault: &&InjectedFault| fault.what == FaultKind::MisbehavingClients;
    let kinds = schedule.mishaps.iter().filter(is_misbehaving).map(|fault| fault.number);
    if schedule.memory_mb > 32 { 0 } else { kinds.collect::<std::collections::BTreeSet<_>>().len() }
}

#[test]
fn seeds_have_misbehaving_clients_at_the_least_memory() {
    assert!(SEEDS.into_iter().any(|seed| kinds_at_the_least_memory(seed) > 1));
}
