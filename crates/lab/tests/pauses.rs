//! What the recording process read right behind a pause of its own is judged by when it may have been sent.

use juniperdock_lab::fleet::audit::AUDITORS;
use juniperdock_lab::fleet::history::Line;
use serde_json::{Value, json};
use std::time::Duration;

/// The bound of the reads, in milliseconds.
const BOUND_MS: u64 = 400;
const PAUSE_BEGINS_MS: u64 = 5000;
const PAUSE_ENDS_MS: u64 = 5900;

fn line(at_ms: u64, what: &str, more: Value) -> Line {
    Line { at: Duration::from_millis(at_ms), what: what.to_owned(), more }
}

/// Findings of an auditor in a history of two fronts with a pause of the recording process.
fn findings(auditor: &str, mut lines: Vec<Line>) -> usize {
    let kinds = json!([{ "name": "lookup", "bound": BOUND_MS * 1000 }]);
    lines.push(line(0, "setting", json!({ "fronts": 2, "kinds": kinds, "drain_grace": 1_000_000 })));
    lines.push(line(1, "txn", json!({ "txn": 7, "kind": 0 })));
    lines.push(line(PAUSE_ENDS_MS, "paused", json!({ "from": PAUSE_BEGINS_MS * 1000 })));
    lines.sort_by_key(|line| line.at);
    let auditor = AUDITORS.iter().find(|known| known.name == auditor).expect("an auditor");
    auditor.findings(&lines).len()
}

fn read(at_ms: u64, age_ms: u64) -> Vec<Line> {
    let more =
        json!({ "front": 1, "txn": 7, "member": 3, "age": age_ms * 1000, "leads": false, "epoch": null });
    vec![line(at_ms, "submitted", more)]
}

/// Guards against stale reads that are none: the statement lay in the socket while its reader was stopped.
#[test]
fn age_of_a_read_excludes_the_pause_right_before_it() {
    let pause = PAUSE_ENDS_MS - PAUSE_BEGINS_MS;
    assert_eq!(findings("stale", read(PAUSE_ENDS_MS + 10, BOUND_MS + pause)), 0);
    // No more than the pause and the time on the way.
    assert_eq!(findings("stale", read(PAUSE_ENDS_MS + 10, BOUND_MS + pause + 101)), 1);
    // It can't have been sent before the pause, or was read before it.
    assert_eq!(findings("stale", read(PAUSE_ENDS_MS + 101, BOUND_MS + pause)), 1);
    assert_eq!(findings("stale", read(PAUSE_BEGINS_MS - 10, BOUND_MS + 101)), 1);
}

/// Guards against attempts that seem to be out at once as the end of the first was read after a pause.
#[test]
fn end_of_an_attempt_that_is_read_behind_a_pause_may_lie_before_it() {
    let attempts = |second_at: u64, first_ends_at: u64| {
        let sent = |member: u64| json!({ "front": 0, "txn": 7, "member": member });
        let lines = [(4000, "submitted", 1), (second_at, "submitted", 2), (first_ends_at, "ended", 1)];
        let lines = lines.map(|(at, what, member)| line(at, what, sent(member)));
        let ended = line(7000, "ended", sent(2));
        findings("one at a time", lines.into_iter().chain([ended]).collect())
    };
    assert_eq!(attempts(PAUSE_BEGINS_MS - 20, PAUSE_ENDS_MS + 20), 0);
    assert_eq!(attempts(PAUSE_BEGINS_MS - 60, PAUSE_ENDS_MS + 60), 1);
    assert_eq!(attempts(PAUSE_ENDS_MS + 200, PAUSE_ENDS_MS + 301), 1);
}

/// Guards against statements to a draining server that were sent in its grace.
#[test]
fn statement_to_a_draining_server_that_is_read_behind_a_pause_may_lie_before_it() {
    let statement = |at: u64| {
        let listed = line(3950, "listed", json!({ "front": 1, "member": 3, "state": "stopped" }));
        findings("drains", read(at, 0).into_iter().chain([listed]).collect())
    };
    assert_eq!(statement(PAUSE_ENDS_MS + 10), 0);
    assert_eq!(statement(PAUSE_ENDS_MS + 51), 1);
}
