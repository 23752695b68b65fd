//! A reservation and its return, for various numbers of callers under one purpose; beside a plain counter in a mutex.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use juniperdock_budget::Tree;
use std::hint::black_box;
use std::sync::Mutex;

fn reserve(c: &mut Criterion) {
    let mut of = c.benchmark_group("reserve and return");
    for callers in [10, 1_000, 100_000] {
        let tree = Tree::new("process", 1 << 40);
        let purpose = tree.add_budget(tree.root(), "clients", 1 << 40, 1 << 20).expect("it fits");
        let budgets: Vec<_> =
            (0..callers).map(|i| tree.add_budget(purpose, &format!("caller {i}"), 1 << 30, 0)).collect();
        let budgets: Vec<_> = budgets.into_iter().map(|budget| budget.expect("it fits")).collect();
        let mut at = 0;
        of.bench_function(BenchmarkId::new("tree of three", callers), |b| {
            b.iter(|| {
                at = (at + 7919) % budgets.len();
                black_box(tree.reserve(budgets[at], 4096).is_ok())
            });
        });
    }
    let plain = Mutex::new(0u64);
    of.bench_function("plain counter", |b| {
        b.iter(|| {
            *plain.lock().expect("no panic") += 4096;
            *plain.lock().expect("no panic") -= black_box(4096);
        });
    });
}

criterion_group!(benches, reserve);
criterion_main!(benches);
