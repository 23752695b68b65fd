//! Whatever comes, with the right code or without it: nothing panics, no place outside the tier gets in, and what
//! goes out stays within its bounds. The corpus beside it is played by every `cargo test`; `cargo bolero test
//! any_bytes_are_borne` goes on from there.

use hmac::{Hmac, KeyInit, Mac};
use juniperdock_membership::{Event, Host, Keys, LONGEST, Membership, Refused, Timing};
use std::time::Duration;

#[derive(Default)]
struct Out(Vec<(usize, usize)>);

impl Host for Out {
    fn send(&mut self, to: usize, datagram: &[u8]) {
        self.0.push((to, datagram.len()));
    }
    fn event(&mut self, _: Event) {}
}

const TIER: usize = 5;

fn sealed(told: &[u8]) -> Vec<u8> {
    let code = Hmac::<sha2::Sha256>::new_from_slice(&[0xaa; 32]).expect("a key").chain_update(told);
    [told, &code.finalize().into_bytes()[..16]].concat()
}

/// What front 0 sends to front 1 of the tier: of a kind, the number-th of its life.
fn from_0(kind: u8, number: u64, body: &[u8]) -> Vec<u8> {
    let head = postcard::to_allocvec(&(kind, (0u16, 1000u32), (1u16, 1000u32), number, TIER as u16));
    let head = head.expect("written");
    sealed(&[&[2, head.len() as u8][..], &head, body].concat())
}

#[test]
fn whoever_cries_wolf_makes_no_memory_grow() {
    let keys = Keys::parse(&["aa".repeat(32)]).expect("a good key");
    let times = Timing { every: Duration::from_millis(100), suspicion: 3 };
    let mut one = Membership::new(1, TIER, 1000, 3, 2, times, keys);
    let (mut out, mut number, mut most) = (Out::default(), 0, [0; 3]);
    for round in 0..3000u16 {
        let now = Duration::from_millis(20) * u32::from(round);
        // Gossip of front 0: 2 is suspect, then it is alive again, in an incarnation after the other.
        let said = postcard::to_allocvec(&((0u16, 1000u32), 0u16, (1u16, 1000u32), 8u8)).expect("written");
        let member = ((2u16, 1000u32), round / 2 * 2 + round % 2, 1 - (round % 2) as u8);
        let member = postcard::to_allocvec(&member).expect("written");
        number += 1;
        let told = from_0(3, number, &[&said[..], &[0, 1], &member].concat());
        assert_eq!(one.handle_datagram(now, 0, &told, &mut out), Ok(()), "round {round}");
        one.handle_timeout(now, &mut out);
        let third = &mut most[usize::from(round / 1000)];
        *third = one.timers().max(*third);
    }
    // As many as suspicions last, and no more however long it goes on.
    assert!(most[0] > 10 && most[2] <= most[0] + most[0] / 10, "{most:?} timers");
}

/// The input holds some datagrams, each behind its length: the first as it came, the others under a good head of
/// a kind, from front 0 to front 1, and sealed with the right key.
fn play(input: &[u8]) {
    let keys = Keys::parse(&["aa".repeat(32)]).expect("a good key");
    let times = Timing { every: Duration::from_millis(100), suspicion: 3 };
    let mut one = Membership::new(1, TIER, 1000, 3, 2, times, keys);
    let (mut out, mut rest, mut now) = (Out::default(), input, Duration::ZERO);
    for number in 1..=32u64 {
        let Some((&length, left)) = rest.split_first() else { break };
        let (bytes, left) = left.split_at(usize::from(length).min(left.len()));
        rest = left;
        now += Duration::from_millis(7);
        if number == 1 {
            let taken = one.handle_datagram(now, 0, bytes, &mut out);
            assert!(taken.is_err(), "without a code nothing is taken: {taken:?}");
        }
        let (kind, body) = bytes.split_first().map_or((0, &[][..]), |(kind, body)| (kind % 8, body));
        let told = from_0(kind, number, &body[..body.len().min(200)]);
        let taken = one.handle_datagram(now, 0, &told, &mut out);
        assert!(!matches!(taken, Err(Refused::Forged | Refused::Version | Refused::Elsewhere)), "{taken:?}");
        one.handle_timeout(now, &mut out);
        assert!(one.present().iter().all(|&place| place < TIER));
        assert!(one.peers().len() == TIER);
    }
    now += Duration::from_secs(3);
    one.handle_timeout(now, &mut out);
    assert!(out.0.iter().all(|&(to, length)| to < TIER && to != 1 && length <= LONGEST));
}

#[test]
fn any_bytes_are_borne() {
    bolero::check!().with_iterations(20_000).with_max_len(1024).for_each(play);
}
