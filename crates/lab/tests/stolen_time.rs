//! The share of processor time that the hypervisor took during a run, from its history.

use juniperdock_lab::fleet::history::Line;
use juniperdock_lab::fleet::stolen_time::StolenTime;
use serde_json::json;
use std::time::Duration;

/// Guards against a failure on a starved machine that does not say so.
#[test]
fn mean_and_worst_window_are_read_from_a_history() {
    let window = |at_ms: u64, share: f64| Line {
        at: Duration::from_millis(at_ms),
        what: "stolen time".to_owned(),
        more: json!({ "share": share }),
    };
    let stolen = StolenTime::read(&[window(500, 0.0), window(1000, 0.3), window(1500, 0.0)]);
    assert_eq!((stolen.max_share, stolen.max_at), (0.3, Duration::from_millis(1000)));
    assert!((stolen.mean_share - 0.1).abs() < 1e-9);
    assert_eq!(stolen.to_string(), "the hypervisor took 10 % of all processor time, 30 % up to 1.0 s");
    assert_eq!(StolenTime::read(&[]), StolenTime::default());
}
