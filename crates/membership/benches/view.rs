//! What a change of the view costs a front, in tiers of several sizes: one datagram that tells of a front in a
//! later life, opened, taken in and looked at. Beside it, one that is refused.

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

/// As front 1 would tell front 0 of others that it has for alive, each by place and life.
fn called(number: u64, tier: u16, others: &[(u16, u32)]) -> Vec<u8> {
    let (from, to) = ((1u16, 1000u32), (0u16, 1000u32));
    let head = postcard::to_allocvec(&(5u8, from, to, number, tier)).expect("written");
    let mut bytes = vec![2, head.len() as u8];
    bytes.extend(head);
    for &(index, life) in others {
        bytes.extend(postcard::to_allocvec(&((index, life), 0u16, 0u8)).expect("written"));
    }
    let code = Hmac::<sha2::Sha256>::new_from_slice(&[0xab; 32]).expect("a key").chain_update(&bytes);
    bytes.extend(&code.finalize().into_bytes()[..16]);
    bytes
}

fn view(c: &mut Criterion) {
    let mut group = c.benchmark_group("view");
    for tier in [10u16, 300, 10_000] {
        let keys = Keys::parse(&["ab".repeat(32)]).expect("a good key");
        let times = Timing { every: Duration::from_millis(500), suspicion: 3 };
        let mut one = Membership::new(0, tier.into(), 1000, 1, 2, times, keys);
        // Time goes on, or one that tells so much would be taken for a flood.
        let (mut now, mut number, mut life) = (Duration::ZERO, 0, 1000);
        let all: Vec<(u16, u32)> = (1..tier).map(|place| (place, 1000)).collect();
        for some in all.chunks(20) {
            (now, number) = (now + Duration::from_millis(20), number + 1);
            one.handle_datagram(now, 1, &called(number, tier, some), &mut Out).expect("it is believed");
        }
        assert_eq!(one.present().len(), usize::from(tier));
        group.bench_with_input(BenchmarkId::new("one front in a later life", tier), &tier, |b, &tier| {
            b.iter_custom(|times| {
                let mut took = Duration::ZERO;
                for _ in 0..times {
                    // Lives go by the time, and what is due is done in time.
                    (now, number, life) = (now + Duration::from_millis(200), number + 1, life + 1);
                    one.handle_timeout(now, &mut Out);
                    let datagram = called(number, tier, &[(2 + (life % 7) as u16, life)]);
                    let begun = Instant::now();
                    one.handle_datagram(now, 1, black_box(&datagram), &mut Out).expect("it is believed");
                    took += begun.elapsed();
                }
                took
            });
        });
        let mut bent = called(1, tier, &[]);
        bent[5] ^= 1;
        group.bench_with_input(BenchmarkId::new("one that is forged", tier), &bent, |b, bent| {
            b.iter(|| one.handle_datagram(now, 1, black_box(bent), &mut Out));
        });
    }
    group.finish();
}

criterion_group!(benches, view);
criterion_main!(benches);
