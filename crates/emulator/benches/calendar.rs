//! Compares the calendar with the standard library's heap: each takes the next event and sets another, with a given
//! number pending.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use juniperdock_emulator::Calendar;
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;
use std::time::Duration;

fn gap(rng: &mut Rand64) -> Duration {
    // Resembles a simulated world: most events come within milliseconds, some after a second.
    let far = rng.rand_range(0..10) == 0;
    Duration::from_nanos(rng.rand_range(0..if far { 2_000_000_000 } else { 40_000_000 }))
}

fn events(c: &mut Criterion) {
    let mut group = c.benchmark_group("next event");
    for pending in [10_000, 100_000, 1_000_000] {
        group.bench_function(BenchmarkId::new("calendar", pending), |b| {
            let (mut rng, mut calendar) = (Rand64::new(7), Calendar::new(Duration::from_micros(250), 8192));
            (0..pending).for_each(|i| calendar.set(gap(&mut rng), i));
            b.iter(|| {
                let (now, event) = calendar.take().expect("one is pending");
                calendar.set(now + gap(&mut rng), black_box(event));
            });
        });
        group.bench_function(BenchmarkId::new("heap", pending), |b| {
            let (mut rng, mut heap, mut sequence) = (Rand64::new(7), BinaryHeap::new(), 0u64);
            for i in 0..pending {
                sequence += 1;
                heap.push(Reverse((gap(&mut rng), sequence, i)));
            }
            b.iter(|| {
                let Reverse((now, _, event)) = heap.pop().expect("one is pending");
                sequence += 1;
                heap.push(Reverse((now + gap(&mut rng), sequence, black_box(event))));
            });
        });
    }
}

criterion_group!(benches, events);
criterion_main!(benches);
