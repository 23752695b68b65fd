//! Compares the wheel with a plain list, on random sequences of operations that reach all its levels.

use juniperdock_timer_wheel::{TimerKey, TimerWheel};
use proptest::prelude::*;
use std::time::Duration;

fn us(n: u64) -> Duration {
    Duration::from_micros(n)
}

const TICK: u64 = 250;

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn timers_fire_once_neither_early_nor_more_than_a_tick_late(
        steps in proptest::collection::vec((0..4u8, 0..34u32, 0..1000u64, any::<prop::sample::Index>()), 1..200),
    ) {
        let mut wheel = TimerWheel::new(us(TICK));
        let mut reference: Vec<(u64, usize, TimerKey)> = Vec::new();
        let mut now = 0u64;
        for (number, (what, power, part, which)) in steps.into_iter().enumerate() {
            let span = (1u64 << power) * part / 1000;
            match what {
                0 | 1 => reference.push((now + span, number, wheel.schedule(us(now + span), number))),
                2 if !reference.is_empty() => {
                    let (_, number, key) = reference.swap_remove(which.index(reference.len()));
                    prop_assert_eq!(wheel.cancel(key), Some(number));
                    prop_assert_eq!(wheel.cancel(key), None);
                }
                _ => {
                    // Advances to the next time that the wheel gives, or by the drawn span.
                    let next = wheel.next_due().map(|at| at.as_micros() as u64);
                    now = if power % 2 == 0 { next.unwrap_or(now).max(now) } else { now + span };
                    let mut fired = Vec::new();
                    while let Some(number) = wheel.pop_due(us(now)) {
                        fired.push(number);
                    }
                    fired.sort_unstable();
                    let (over, left): (Vec<_>, Vec<_>) =
                        reference.into_iter().partition(|(_, number, _)| fired.contains(number));
                    prop_assert_eq!(over.len(), fired.len(), "each once");
                    prop_assert!(over.iter().all(|&(at, ..)| at <= now), "none early");
                    prop_assert!(left.iter().all(|&(at, ..)| at + TICK > now), "none late");
                    reference = left;
                }
            }
            prop_assert_eq!(wheel.len(), reference.len());
            if let Some(first) = reference.iter().map(|&(at, ..)| at).min() {
                let next = wheel.next_due().expect("timers are scheduled").as_micros() as u64;
                prop_assert!(next <= (first.max(now) + 2 * TICK), "{next} is after {first}");
            }
        }
    }
}
