//! The sketch beside an exact map, with skewed callers, and the memory of each.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use juniperdock_admission::{FairShare, HeavyHitters};
use oorandom::Rand64;
use std::collections::HashMap;
use std::hint::black_box;
use std::time::Duration;

fn callers(of: u64) -> Vec<u64> {
    let mut rng = Rand64::new(of.into());
    (0..200_000)
        .map(|_| if rng.rand_range(0..2) == 0 { rng.rand_range(0..10) } else { rng.rand_range(0..of) })
        .collect()
}

fn add(c: &mut Criterion) {
    let mut of = c.benchmark_group("one caller comes");
    for many in [1_000, 30_000, 1_000_000] {
        let callers = callers(many);
        let mut at = 0;
        of.bench_function(BenchmarkId::new("sketch of 1024", many), |b| {
            let mut sketch = HeavyHitters::new(1024, Duration::from_millis(500));
            b.iter(|| {
                at += 1;
                sketch.add(Duration::from_micros(at as u64 * 10), callers[at % callers.len()], 1.0)
            });
            println!("{} bytes", sketch.bytes());
        });
        of.bench_function(BenchmarkId::new("exact map", many), |b| {
            let mut exact: HashMap<u64, f64> = HashMap::new();
            b.iter(|| {
                at += 1;
                *exact.entry(callers[at % callers.len()]).or_default() += 1.0;
            });
            println!("{} bytes", exact.capacity() * 17);
        });
        of.bench_function(BenchmarkId::new("fair share, short", many), |b| {
            let mut fair = FairShare::new(1024);
            b.iter(|| {
                at += 1;
                black_box(
                    fair.request(
                        Duration::from_micros(at as u64 * 10),
                        callers[at % callers.len()],
                        false,
                        Some(30_000.0),
                    )
                    .is_ok(),
                )
            });
        });
    }
}

criterion_group!(benches, add);
criterion_main!(benches);
