//! Cost of an event depending on the number of groups, and memory that the records take.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use juniperdock_primary_tracker::{Claim, PrimaryTracker, Role};
use std::hint::black_box;
use std::time::Duration;

const MEMBERS: usize = 3;

fn tracker(groups: usize) -> PrimaryTracker {
    let mut tracker = PrimaryTracker::default();
    for group in 0..groups {
        for member in 0..MEMBERS {
            let now = Duration::from_micros((group * MEMBERS + member) as u64);
            tracker.add_member(group * MEMBERS + member, group);
            let role = if member == 0 { Role::Primary } else { Role::Replica };
            tracker.observe(now, group * MEMBERS + member, Some(Claim::at(role, now)), false);
        }
        tracker.apply_rules(Duration::from_secs(1), group, 0);
    }
    tracker.take_changes();
    tracker
}

fn events(c: &mut Criterion) {
    let mut all = c.benchmark_group("event");
    for groups in [100, 10_000, 100_000] {
        let mut tracker = tracker(groups);
        eprintln!("{groups} groups of {MEMBERS}: {} bytes of records", tracker.bytes());
        let mut step = 0u64;
        all.bench_function(BenchmarkId::new("report of the primary", groups), |b| {
            b.iter(|| {
                step += 1;
                let group = (step as usize).wrapping_mul(7919) % groups;
                let now = Duration::from_secs(2) + Duration::from_micros(step);
                tracker.observe(now, group * MEMBERS, Some(Claim::at(Role::Primary, now)), false);
                tracker.apply_rules(now, group, 0);
                black_box(tracker.writer(group))
            });
        });
        all.bench_function(BenchmarkId::new("change of primaries", groups), |b| {
            b.iter_batched(
                || {
                    step += 10;
                    (
                        (step as usize).wrapping_mul(7919) % groups,
                        Duration::from_secs(4000) + Duration::from_micros(step),
                    )
                },
                |(group, now)| {
                    let us = Duration::from_micros;
                    let first = group * MEMBERS;
                    tracker.invalidate_claims(now, first);
                    tracker.apply_rules(now, group, 0);
                    tracker.observe(
                        now + us(2),
                        first + 1,
                        Some(Claim::at(Role::Primary, now + us(2))),
                        false,
                    );
                    tracker.apply_rules(now + us(2), group, 0);
                    tracker.observe(
                        now + us(3),
                        first + 1,
                        Some(Claim::at(Role::Replica, now + us(3))),
                        false,
                    );
                    tracker.observe(now + us(4), first, Some(Claim::at(Role::Replica, now + us(4))), false);
                    tracker.observe(now + us(5), first, Some(Claim::at(Role::Primary, now + us(5))), false);
                    tracker.apply_rules(now + us(5), group, 0);
                    black_box(tracker.take_changes().len())
                },
                BatchSize::SmallInput,
            );
        });
    }
    all.finish();
}

criterion_group!(benches, events);
criterion_main!(benches);
