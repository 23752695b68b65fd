//! Cost of a change of the view for clusters of several sizes: one datagram that reports a front in a later
//! incarnation is verified and applied, and the view is recomputed. Beside it, a datagram that is refused.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use hmac::{Hmac, KeyInit, Mac};
use juniperdock_membership::{Event, Host, Keys, Membership, Timing};
use std::hint::black_box;
use std::time::{Duration, Instant};

struct Out;

impl Host for Out {
    fn send(&mut self, to: usize, datagram: &[u8]) {
        black_box((to, datagram));
    }
    fn event(&mut self, event: Event) {
        black_box(event);
    }
}

/// A member list from front 1 to front 0 with other fronts as alive, each by place and incarnation.
fn member_list(number: u64, cluster_size: u16, others: &[(u16, u32)]) -> Vec<u8> {
    let (from, to) = ((1u16, 1000u32), (0u16, 1000u32));
    let head = postcard::to_allocvec(&(5u8, from, to, number, cluster_size)).expect("written");
    let mut bytes = vec![2, head.len() as u8];
    bytes.extend(head);
    for &(index, incarnation) in others {
        bytes.extend(postcard::to_allocvec(&((index, incarnation), 0u16, 0u8)).expect("written"));
    }
    let tag = Hmac::<sha2::Sha256>::new_from_slice(&[0xab; 32]).expect("a key").chain_update(&bytes);
    bytes.extend(&tag.finalize().into_bytes()[..16]);
    bytes
}

fn view(c: &mut Criterion) {
    let mut group = c.benchmark_group("view");
    for cluster_size in [10u16, 300, 10_000] {
        let keys = Keys::parse(&["ab".repeat(32)]).expect("a good key");
        let times = Timing { period: Duration::from_millis(500), suspicion_periods: 3 };
        let mut one = Membership::new(0, cluster_size.into(), 1000, 1, 2, times, keys);
        // Time advances, or the rate limit would refuse that many datagrams.
        let (mut now, mut number, mut incarnation) = (Duration::ZERO, 0, 1000);
        let all: Vec<(u16, u32)> = (1..cluster_size).map(|place| (place, 1000)).collect();
        for some in all.chunks(20) {
            (now, number) = (now + Duration::from_millis(20), number + 1);
            one.handle_datagram(now, 1, &member_list(number, cluster_size, some), &mut Out)
                .expect("the datagram is accepted");
        }
        assert_eq!(one.present().len(), usize::from(cluster_size));
        group.bench_with_input(
            BenchmarkId::new("one front in a later incarnation", cluster_size),
            &cluster_size,
            |b, &cluster_size| {
                b.iter_custom(|times| {
                    let mut took = Duration::ZERO;
                    for _ in 0..times {
                        // Time advances with incarnations, and timers run in time.
                        (now, number, incarnation) =
                            (now + Duration::from_millis(200), number + 1, incarnation + 1);
                        one.handle_timeout(now, &mut Out);
                        let datagram =
                            member_list(number, cluster_size, &[(2 + (incarnation % 7) as u16, incarnation)]);
                        let begun = Instant::now();
                        one.handle_datagram(now, 1, black_box(&datagram), &mut Out)
                            .expect("the datagram is accepted");
                        took += begun.elapsed();
                    }
                    took
                });
            },
        );
        let mut altered = member_list(1, cluster_size, &[]);
        altered[5] ^= 1;
        group.bench_with_input(
            BenchmarkId::new("a forged datagram", cluster_size),
            &altered,
            |b, altered| {
                b.iter(|| one.handle_datagram(now, 1, black_box(altered), &mut Out));
            },
        );
    }
    group.finish();
}

criterion_group!(benches, view);
criterion_main!(benches);
