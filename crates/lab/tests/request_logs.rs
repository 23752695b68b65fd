//! Tests of the analysis of request logs.

use juniperdock_lab::request_logs::Findings;
use std::time::Duration;

fn found(text: &str) -> Findings {
    let mut findings = Findings::default();
    findings.read_process(text);
    findings
}

#[test]
fn only_requests_without_an_end_are_counted() {
    let text = "\
0.1 Dec 02 10:54:49.700 DEBG request, request: 7, event: Received { id: \"a, b: c\", class: 0, left: 3ms }
0.1 Dec 02 10:54:49.700 DEBG request of client, request: 7, client: 3
0.1 Dec 02 10:54:49.700 DEBG request, request: 7, event: Written { server: 4, connection: 0 }
0.1 Dec 02 10:54:49.700 DEBG request, request: 7, event: Answered { answer: \"served\" }
0.2 Dec 02 10:54:49.800 DEBG request, request: 8, event: Received { id: \"d\", class: 0, left: 3ms }";
    let found = found(text);
    assert_eq!((found.received, found.without_end, found.written_after_end), (2, 1, 0));
    assert!(found.hold());
}

#[test]
fn write_after_the_end_of_a_request_is_a_violation() {
    let text = "\
DEBG request, request: 7, event: Received { id: \"a\" }
DEBG request, request: 7, event: Abandoned
DEBG request, request: 7, event: Written { server: 4, connection: 0 }";
    assert_eq!(found(text).written_after_end, 1);
    assert!(!found(text).hold());
}

#[test]
fn outstanding_work_counts_only_if_the_process_closed_the_connection() {
    let closed = |reason: &str, unsent: u32| {
        format!(
            "DEBG client closed, client: 1, reason: {reason}, unanswered: 0, unsent: {unsent}, half_read: 0"
        )
    };
    assert!(found(&closed("ClientLeft", 9)).hold());
    assert!(found(&closed("MadeRoom", 0)).hold());
    assert!(!found(&closed("MadeRoom", 9)).hold());
}

#[test]
fn hold_ups_are_classified_by_length_and_cause() {
    let text = "\
DEBG held up, for_us: 45000, ran_waited_turns: 1 2 3
DEBG held up, for_us: 836885, ran_waited_turns: 1 2 3
DEBG beat delayed, lay_us: 817128, ran_us: 147295, waited_us: 75, idle: false
DEBG beat delayed, lay_us: 90000, ran_us: 5, waited_us: 5, idle: true, details: None";
    let found = found(text);
    assert_eq!((found.held_up, found.held_up_long, found.slept), (2, 1, 1));
    assert_eq!(found.longest, Duration::from_micros(836_885));
}

#[test]
fn folder_without_logs_is_an_error() {
    let folder = std::env::temp_dir().join(format!("jd-no-logs-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let result = Findings::default().read_folder(&folder);
    let _ = std::fs::remove_dir_all(&folder);
    assert!(result.is_err_and(|why| why.contains("*.log")));
}
