//! A short soak test: ten front processes under overlapping faults of all kinds, checked against the invariants.
//! `juniperdock-lab soak` runs longer ones, for many seeds.

use juniperdock_lab::fleet::history::read;
use juniperdock_lab::fleet::play::play;
use juniperdock_lab::fleet::{Schedule, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_juniperdock");

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
    for seed in [3, 8, 14] {
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
}
