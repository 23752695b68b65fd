//! Compares the queue with two simpler stores while many txns wait in one group without a primary. Measured are an
//! arrival, a client that leaves, a search for an expired txn, and the release of the most valuable one. The simpler
//! stores are a list that is scanned and sorted, as the router used before, and ordered trees from the standard
//! library.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use juniperdock_wait_queue::{QueueKey, WaitLimits, WaitQueue, WaitingTxn};
use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Duration;

const KINDS: usize = 3;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn wait(txn: usize, at: usize, rng: &mut oorandom::Rand32) -> WaitingTxn {
    let (kind, retried) = (rng.rand_range(0..KINDS as u32) as usize, rng.rand_range(0..4) == 0);
    let arrived = Duration::from_micros(at as u64);
    let expiry = arrived + ms(1000 + u64::from(rng.rand_range(0..60_000)));
    WaitingTxn {
        txn,
        group: 0,
        kind,
        retried,
        submitted: false,
        arrived,
        soft_deadline: expiry - ms(100),
        hard_deadline: expiry,
        bytes: 200,
    }
}

/// The order in which txns are released.
fn release_order(w: &WaitingTxn) -> (usize, bool, std::cmp::Reverse<Duration>, usize) {
    (w.kind, w.retried, std::cmp::Reverse(w.arrived), w.txn)
}

trait Store {
    fn put(&mut self, wait: WaitingTxn);
    fn remove(&mut self, txn: usize);
    fn due(&mut self, now: Duration) -> Option<usize>;
    fn best(&mut self) -> Option<usize>;
}

impl Store for WaitQueue {
    fn put(&mut self, wait: WaitingTxn) {
        WaitQueue::insert(self, wait).expect("within the limits");
    }
    fn remove(&mut self, txn: usize) {
        WaitQueue::remove(self, txn);
    }
    fn due(&mut self, now: Duration) -> Option<usize> {
        WaitQueue::next_expired(self, now, |_| ms(5))
    }
    fn best(&mut self) -> Option<usize> {
        let ranks = (0..KINDS * 2).map(|n| QueueKey { kind: n / 2, retried: n % 2 > 0, submitted: false });
        ranks.into_iter().find_map(|key| self.newest(key, 0))
    }
}

/// What the router used before: scanned for expired txns, sorted for the most valuable one.
#[derive(Default)]
struct List(Vec<WaitingTxn>);

impl Store for List {
    fn put(&mut self, wait: WaitingTxn) {
        self.0.push(wait);
    }
    fn remove(&mut self, txn: usize) {
        self.0.retain(|w| w.txn != txn);
    }
    fn due(&mut self, now: Duration) -> Option<usize> {
        self.0.iter().find(|w| w.hard_deadline <= now || w.soft_deadline <= now + ms(5)).map(|w| w.txn)
    }
    fn best(&mut self) -> Option<usize> {
        self.0.sort_by_key(release_order);
        self.0.first().map(|w| w.txn)
    }
}

#[derive(Default)]
struct Trees {
    waits: Vec<Option<WaitingTxn>>,
    by_value: BTreeSet<(usize, bool, std::cmp::Reverse<Duration>, usize)>,
    by_time: BTreeSet<(Duration, usize)>,
}

impl Store for Trees {
    fn put(&mut self, wait: WaitingTxn) {
        if self.waits.len() <= wait.txn {
            self.waits.resize(wait.txn + 1, None);
        }
        self.waits[wait.txn] = Some(wait);
        self.by_value.insert(release_order(&wait));
        self.by_time.insert((wait.soft_deadline.min(wait.hard_deadline), wait.txn));
    }
    fn remove(&mut self, txn: usize) {
        if let Some(wait) = self.waits[txn].take() {
            self.by_value.remove(&release_order(&wait));
            self.by_time.remove(&(wait.soft_deadline.min(wait.hard_deadline), txn));
        }
    }
    fn due(&mut self, now: Duration) -> Option<usize> {
        self.by_time.first().filter(|(at, _)| *at <= now + ms(5)).map(|&(_, txn)| txn)
    }
    fn best(&mut self) -> Option<usize> {
        self.by_value.first().map(|&(.., txn)| txn)
    }
}

/// One event of each kind: an arrival, a search for an expired txn, a client that leaves, and a look at the most
/// valuable txn.
fn events(store: &mut impl Store, next: &mut usize, rng: &mut oorandom::Rand32, count: usize) {
    let new = wait(*next % (2 * count), *next, rng);
    store.put(new);
    *next += 1;
    black_box(store.due(Duration::ZERO));
    store.remove((*next + count) % (2 * count));
    let best = store.best();
    black_box(best);
}

fn stores(c: &mut Criterion) {
    let mut all = c.benchmark_group("four events");
    all.sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(1500));
    for count in [100, 10_000, 100_000] {
        fn fill(store: &mut impl Store, count: usize) -> (usize, oorandom::Rand32) {
            let mut rng = oorandom::Rand32::new(7);
            (0..count).for_each(|txn| store.put(wait(txn, txn, &mut rng)));
            (count, rng)
        }
        let most = usize::MAX / 2;
        let limits = WaitLimits { per_group: most, total: most, bytes_per_group: most, total_bytes: most };
        let mut queue = WaitQueue::new(KINDS, limits);
        let (mut next, mut rng) = fill(&mut queue, count);
        all.bench_function(BenchmarkId::new("wait queue", count), |b| {
            b.iter(|| events(&mut queue, &mut next, &mut rng, count))
        });
        let mut trees = Trees::default();
        let (mut next, mut rng) = fill(&mut trees, count);
        all.bench_function(BenchmarkId::new("trees", count), |b| {
            b.iter(|| events(&mut trees, &mut next, &mut rng, count))
        });
        let mut list = List::default();
        let (mut next, mut rng) = fill(&mut list, count);
        all.bench_function(BenchmarkId::new("list", count), |b| {
            b.iter(|| events(&mut list, &mut next, &mut rng, count))
        });
    }
    all.finish();
}

criterion_group!(benches, stores);
criterion_main!(benches);
