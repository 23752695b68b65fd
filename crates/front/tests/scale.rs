//! The cost of large server lists. The limits are well above the normal cost (`docs/CAPACITY.md`), and far below the
//! cost of probing all servers after one change.

use juniperdock_lab::scale::{Outcome, Plan, line, play, simulated::Behaviour};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_juniperdock");

fn sizes(behaviour: Behaviour) -> (Outcome, Outcome) {
    let plan = Plan {
        program: PROGRAM.to_owned(),
        sizes: vec![99, 6000],
        behaviour,
        changes_per_second: 20,
        changes_for: Duration::from_secs(2),
        idle: false,
        seed: 1,
    };
    let mut outcomes = play(&plan).expect("a scale run").into_iter();
    (outcomes.next().expect("a size"), outcomes.next().expect("a size"))
}

#[test]
fn list_change_costs_depend_on_the_change_not_on_the_list_size() {
    for behaviour in [Behaviour::Answer, Behaviour::Refuse, Behaviour::Silent] {
        let (small, large) = sizes(behaviour);
        let more = large.one_change_mib.max(large.changes_mib) - small.one_change_mib.min(small.rest_mib);
        assert!(more < 64.0, "{behaviour:?}: {more} MiB more: {large:?}");
        // Probing every server would take 6000 probes.
        assert!(large.probes < small.probes + 500, "{behaviour:?}: {small:?} {large:?}");
        assert!(large.in_force_measured > 0 && large.in_force_max_ms < 4000.0, "{behaviour:?}: {large:?}");
        assert!(large.end_ms.is_some(), "{behaviour:?}: it had to be killed: {large:?}");
    }
}

#[test]
fn line_is_fitted_by_least_squares() {
    assert_eq!(line(&[1.0, 2.0, 3.0], &[5.0, 7.0, 9.0]), (2.0, 3.0));
    assert_eq!(line(&[4.0, 4.0], &[1.0, 3.0]), (0.0, 2.0));
}
