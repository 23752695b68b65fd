//! Compares the wheel with a heap in which cancelled timers stay until their time, as the front's clock used before.
//! One txn schedules two timers, of which one fires and one is cancelled.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use juniperdock_timer_wheel::TimerWheel;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;
use std::time::Duration;

fn us(n: u64) -> Duration {
    Duration::from_micros(n)
}

fn txns(c: &mut Criterion) {
    let mut all = c.benchmark_group("timers of a txn");
    all.sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(1500));
    for pending in [1_000u64, 100_000] {
        let mut rng = oorandom::Rand64::new(7);
        // Each timer lasts a second; this many are scheduled in that time.
        let step = 1_000_000 / pending;
        let (mut wheel, mut now) = (TimerWheel::new(us(250)), 0);
        for i in 0..pending {
            wheel.schedule(us(i * step), i);
        }
        all.bench_function(BenchmarkId::new("wheel", pending), |b| {
            b.iter(|| {
                now += step;
                let unwanted = wheel.schedule(us(now + 2_000_000), now);
                wheel.schedule(us(now + rng.rand_range(900_000..1_100_000)), now);
                while let Some(what) = wheel.pop_due(us(now)) {
                    black_box(what);
                }
                black_box(wheel.cancel(unwanted))
            });
        });
        let (mut heap, mut now) = (BinaryHeap::new(), 0);
        (0..pending).for_each(|i| heap.push(Reverse((us(i * step), i))));
        all.bench_function(BenchmarkId::new("heap", pending), |b| {
            b.iter(|| {
                now += step;
                heap.push(Reverse((us(now + 2_000_000), now)));
                heap.push(Reverse((us(now + rng.rand_range(900_000..1_100_000)), now)));
                while heap.peek().is_some_and(|Reverse((at, _))| *at <= us(now)) {
                    black_box(heap.pop());
                }
            });
        });
    }
    all.finish();
}

criterion_group!(benches, txns);
criterion_main!(benches);
