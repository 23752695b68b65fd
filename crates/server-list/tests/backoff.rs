//! Fronts that have all lost their watches call a discovery service that needs some seconds to serve one call of each.

use juniperdock_server_list::Backoff;
use oorandom::Rand64;
use std::time::Duration;

const FRONTS: usize = 32;
/// How long discovery needs for one call of every front.
const ALL_CALLS: Duration = Duration::from_secs(8);
/// It refuses a call that it could not answer within this time; a refusal costs a fraction of an answer.
const MAX_QUEUE: Duration = Duration::from_secs(2);
const REFUSAL_PART: u32 = 5;

/// How many fronts are served by then, if each retries after the time that `wait` returns.
fn served(seed: u64, until: Duration, mut wait: impl FnMut(usize) -> Duration) -> usize {
    let cost = ALL_CALLS / FRONTS as u32;
    let mut random = Rand64::new(u128::from(seed));
    let first = |_| Duration::from_millis(100).mul_f64(random.rand_float());
    let mut calls: Vec<(Duration, usize)> = (0..FRONTS).map(first).zip(0..FRONTS).collect();
    let (mut free_at, mut served) = (Duration::ZERO, 0);
    while let Some(next) = (0..calls.len()).min_by_key(|&at| calls[at]).filter(|&at| calls[at].0 < until) {
        let (now, front) = calls[next];
        let queued = free_at.saturating_sub(now);
        let refused = queued + cost > MAX_QUEUE;
        free_at = free_at.max(now) + if refused { cost / REFUSAL_PART } else { cost };
        if !refused {
            served += 1;
            calls.swap_remove(next);
        } else {
            calls[next].0 = now + wait(front);
        }
    }
    served
}

#[test]
fn growing_waits_let_an_overloaded_discovery_serve_all_fronts() {
    for seed in 0..20 {
        let mut backoffs: Vec<Backoff> =
            (0..FRONTS as u64).map(|front| Backoff::new(seed * 100 + front)).collect();
        let with = served(seed, Duration::from_secs(40), |front| backoffs[front].next_wait());
        assert_eq!(with, FRONTS, "seed {seed}");
        // Several retries a second, as after any other failure, keep it busy with refusals for good.
        let mut random = Rand64::new(u128::from(seed));
        let without = served(seed, Duration::from_secs(40), |_| {
            Duration::from_millis(250).mul_f64(random.rand_float())
        });
        assert!(without < FRONTS / 2, "seed {seed}: {without}");
    }
}

#[test]
fn waits_are_bounded_and_reset_after_an_answer() {
    let mut backoff = Backoff::new(7);
    let waits: Vec<Duration> = (0..20).map(|_| backoff.next_wait()).collect();
    assert!(waits[0] <= Duration::from_millis(500) && waits[0] >= Duration::from_millis(250));
    assert!(waits[10..].iter().all(|wait| (2..=4).contains(&wait.as_secs())), "{waits:?}");
    backoff.reset();
    assert!(backoff.next_wait() <= Duration::from_millis(500));
}
