//! Answers behind a load report, one at a time.

use juniperdock_pg::{CopyCheck, Reading, names_load_report};
use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(2);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An answer with this value in its row.
fn answer(value: &str) -> Vec<u8> {
    let mut row = vec![0, 1];
    row.extend((value.len() as u32).to_be_bytes());
    row.extend(value.as_bytes());
    let framed = |kind: u8, body: &[u8]| [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat();
    [framed(b'T', b"\0\x01load\0"), framed(b'D', &row), framed(b'C', b"SHOW\0")].concat()
}

fn report() -> Vec<u8> {
    answer("x0=1.5,q=3,busy=0.1")
}

fn check_behind_report() -> CopyCheck {
    CopyCheck::new(&report())
}

#[test]
fn second_report_with_other_figures_is_as_ambiguous_as_a_copy() {
    let mut check = check_behind_report();
    let other = answer("x0=12.25,q=0,busy=-1");
    assert_eq!(check.read(&other, false, true, ms(1), DEADLINE), Reading::Ambiguous);
    assert_eq!(check.read(&answer("row"), false, true, ms(9), DEADLINE), Reading::Answer);
}

#[test]
fn other_bytes_are_the_statements_own_answer() {
    let mut check = check_behind_report();
    assert_eq!(check.read(&answer("row"), false, true, ms(1), DEADLINE), Reading::Answer);
    assert!(!check.is_suspect() && check.marker_due().is_none());
}

#[test]
fn answer_behind_an_equal_one_is_the_statements_own_even_if_equal() {
    for next in [answer("row"), report()] {
        let mut check = check_behind_report();
        assert_eq!(check.read(&report(), false, true, ms(1), DEADLINE), Reading::Ambiguous);
        assert_eq!(check.read(&next, false, true, ms(9), DEADLINE), Reading::Answer);
    }
}

#[test]
fn marker_is_sent_once_and_its_answer_confirms_the_one_before() {
    let mut check = check_behind_report();
    assert_eq!(check.read(&report(), false, true, ms(1), DEADLINE), Reading::Ambiguous);
    assert!(check.marker_due() == Some(ms(101)) && !check.takes_marker(ms(100)));
    assert!(check.takes_marker(ms(101)) && !check.takes_marker(ms(102)));
    assert_eq!(check.read(b"", true, true, ms(103), DEADLINE), Reading::Marker);
}

#[test]
fn answer_that_comes_before_the_markers_is_the_statements_own() {
    let mut check = check_behind_report();
    check.read(&report(), false, true, ms(1), DEADLINE);
    assert!(check.takes_marker(ms(101)));
    assert_eq!(check.read(&answer("row"), false, true, ms(150), DEADLINE), Reading::Answer);
}

#[test]
fn marker_is_sent_in_time_for_a_short_deadline() {
    let mut check = check_behind_report();
    check.read(&report(), false, true, ms(10), ms(50));
    assert_eq!(check.marker_due(), Some(ms(30)));
}

#[test]
fn statements_that_may_ask_for_the_report_are_known() {
    assert!(names_load_report("/* c=lookup */ show SERVER_LOAD") && !names_load_report("SELECT 1"));
}

#[test]
fn report_before_the_statement_is_whole_needs_no_marker() {
    let mut check = check_behind_report();
    assert_eq!(check.read(&report(), false, false, ms(1), DEADLINE), Reading::Repeated);
    assert!(check.is_suspect() && check.marker_due().is_none() && !check.takes_marker(ms(500)));
    // What comes behind the whole statement is judged anew.
    assert_eq!(check.read(&report(), false, true, ms(600), DEADLINE), Reading::Ambiguous);
}
