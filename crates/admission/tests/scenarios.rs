//! Scenarios of admission control, and the sketch checked against exact counts.

use juniperdock_admission::{AdaptiveLimit, AdmissionControl, FairShare, HeavyHitters, Verdict};
use proptest::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Simulates callers with given rates for some seconds; returns the admitted txns per second of each in the second
/// half.
fn play(fair: &mut FairShare, callers: &[(u64, f64)], limit: f64, seconds: f64) -> HashMap<u64, f64> {
    let mut due: Vec<(f64, u64, f64)> = callers
        .iter()
        .map(|&(caller, rate)| ((caller * 37 % 100) as f64 / 100.0 / rate, caller, rate))
        .collect();
    let mut admitted: HashMap<u64, f64> = HashMap::new();
    loop {
        let next = due.iter_mut().min_by(|a, b| a.0.total_cmp(&b.0)).expect("some callers");
        let (at, caller) = (next.0, next.1);
        if at > seconds {
            return admitted;
        }
        next.0 += 1.0 / next.2;
        let comes = fair.request(Duration::from_secs_f64(at), caller, false, Some(limit)).is_ok();
        if comes && at > seconds / 2.0 {
            *admitted.entry(caller).or_default() += 2.0 / seconds;
        }
    }
}

#[test]
fn a_flooding_caller_takes_nothing_from_moderate_ones() {
    let mut fair = FairShare::new(64);
    let mut callers: Vec<(u64, f64)> = (0..40).map(|caller| (caller, 5.0)).collect();
    callers.push((99, 3000.0));
    let admitted = play(&mut fair, &callers, 300.0, 8.0);
    let calm = (0..40).map(|caller| admitted[&caller]).fold(f64::MAX, f64::min);
    assert!(calm > 4.9, "a calm caller got {calm} of 5 a second");
    assert!((60.0..140.0).contains(&admitted[&99]), "the flood has what is left: {}", admitted[&99]);
}

#[test]
fn a_small_sketch_separates_one_heavy_caller_from_a_thousand() {
    let mut fair = FairShare::new(32);
    let mut callers: Vec<(u64, f64)> = (0..1000).map(|caller| (caller, 0.5)).collect();
    callers.push((5000, 1000.0));
    let admitted = play(&mut fair, &callers, 700.0, 6.0);
    let calm: f64 = (0..1000).map(|caller| admitted.get(&caller).copied().unwrap_or_default()).sum();
    assert!(calm > 490.0, "{calm} of 500");
    assert!(admitted[&5000] < 320.0, "{}", admitted[&5000]);
}

#[test]
fn flooding_callers_share_evenly_and_a_smaller_one_gets_all_it_requests() {
    let mut fair = FairShare::new(16);
    let admitted = play(&mut fair, &[(1, 1000.0), (2, 2000.0), (3, 4000.0), (4, 50.0)], 650.0, 8.0);
    assert!(admitted[&4] > 49.0);
    for flood in [1, 2, 3] {
        assert!((150.0..250.0).contains(&admitted[&flood]), "{admitted:?}");
    }
}

#[test]
fn a_caller_that_retries_early_gets_less_than_one_that_waits() {
    let mut fair = FairShare::new(16);
    let (mut patient, mut impatient) = (0, 0);
    let mut back = Duration::ZERO;
    for now in (0..8000).map(ms) {
        // Another caller loads it.
        let _ = fair.request(now, 3, false, Some(200.0));
        if fair.request(now, 2, true, Some(200.0)).is_ok() {
            impatient += 1;
        }
        if now >= back {
            match fair.request(now, 1, true, Some(200.0)) {
                Ok(()) => patient += 1,
                Err(wait) => back = now + wait,
            }
        }
    }
    assert!(2 * patient > 3 * impatient, "{patient} and {impatient}");
}

#[test]
fn nothing_is_declined_without_overload() {
    let mut entry = AdmissionControl::new(1, ms(20), 16, &[(1.0, ms(300))]);
    for i in 0..20_000u64 {
        let now = Duration::from_micros(100 * i);
        entry.message_handled(now, ms(3));
        assert_eq!(entry.request(now, i % 3, 0, false), Verdict::Admitted);
    }
}

/// Simulates a front with a given capacity in txns per second and a given load. Returns for each second the age of its
/// oldest message in ms, and the admitted shares of two types, the second of which has the higher value.
fn front(does: f64, offered: f64, seconds: u64) -> Vec<(f64, f64, f64)> {
    let late = ms(20);
    let mut entry = AdmissionControl::new(3, late, 64, &[(1.0, ms(300)), (4.0, ms(300))]);
    let (mut free, mut seen) = (0.0f64, Vec::new());
    let step = 1.0 / offered;
    for second in 0..seconds {
        let (mut worst, mut came, mut comes) = (0.0f64, [0.0; 2], [0.0; 2]);
        for i in 0..offered as u64 {
            let at = second as f64 + i as f64 * step;
            let (now, kind) = (Duration::from_secs_f64(at), usize::from(i % 2 == 0));
            came[kind] += 1.0;
            // Declining a txn takes a fiftieth of the work of running it.
            free = free.max(at) + 0.02 / does;
            if entry.request(now, i % 50, kind, false) == Verdict::Admitted {
                comes[kind] += 1.0;
                let begins = free;
                free += 1.0 / does;
                worst = worst.max(begins - at);
                entry.message_handled(Duration::from_secs_f64(at), Duration::from_secs_f64(begins - at));
                entry.txn_answered(now);
            }
        }
        seen.push((worst * 1000.0, comes[0] / came[0], comes[1] / came[1]));
    }
    seen
}

#[test]
fn an_overloaded_front_keeps_latency_low_and_declines_low_value_first() {
    let seen = front(400.0, 1000.0, 14);
    let last = &seen[8..];
    let worst = last.iter().map(|s| s.0).fold(0.0, f64::max);
    assert!(worst < 80.0, "messages stay young: {seen:?}");
    let (low, high) =
        last.iter().fold((0.0, 0.0), |(l, h), s| (l + s.1 / last.len() as f64, h + s.2 / last.len() as f64));
    assert!(
        low + high > 0.55,
        "about a third is taken, of two fifths that could be, {low} and {high}: {seen:?}"
    );
    // Without admission control it would fall behind by another 600 txns in every second.
    let open = front(400.0, 300.0, 6);
    assert!(open.iter().all(|s| s.1 == 1.0 && s.2 == 1.0), "{open:?}");
}

#[test]
fn a_decreased_limit_is_lifted_again() {
    let mut pace = AdaptiveLimit::new(ms(20));
    for i in 0..1000 {
        pace.message_handled(ms(i), ms(60));
        pace.txn_admitted(ms(i));
        pace.txn_answered(ms(i));
    }
    let limit = pace.limit(ms(1000)).expect("it is behind");
    assert!((20.0..1000.0).contains(&limit), "{limit}");
    for i in 1000..5000 {
        pace.message_handled(ms(i), ms(1));
        pace.txn_admitted(ms(i));
        pace.txn_answered(ms(i));
        pace.limit(ms(i));
    }
    assert_eq!(pace.limit(ms(5000)), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// The lower bound never exceeds the true count, the upper bound never falls short of it, and a caller above 1 part
    /// in the capacity is kept.

    #[test]
    fn the_sketch_bounds_the_truth_on_both_sides(callers in proptest::collection::vec((0..60u64, 1..40u64), 1..400), most in 2..20usize) {
        let half = Duration::from_secs(2);
        let mut sketch = HeavyHitters::new(most, half);
        let (mut exact, mut now) = (HashMap::<u64, f64>::new(), Duration::ZERO);
        for (caller, gap) in callers {
            now += ms(gap);
            let fades = 0.5f64.powf(ms(gap).as_secs_f64() / half.as_secs_f64());
            exact.values_mut().for_each(|count| *count *= fades);
            // Some come much more often.
            let caller = if caller < 30 { caller % 3 } else { caller };
            *exact.entry(caller).or_default() += 1.0;
            sketch.add(now, caller, 1.0);
        }
        let total: f64 = exact.values().sum();
        prop_assert!((sketch.total(now) - total).abs() < 1e-6 * total);
        for (&caller, &truth) in &exact {
            prop_assert!(sketch.lower_bound(now, caller) <= truth + 1e-6, "{} of {}", sketch.lower_bound(now, caller), truth);
            prop_assert!(sketch.upper_bound(now, caller) >= truth - 1e-6);
            let kept = sketch.all(now).any(|(kept, _)| kept == caller);
            prop_assert!(kept || truth <= total / most as f64 + 1e-6);
        }
    }
}
