//! Arbitrary datagrams, with a valid tag or without: nothing panics, no place outside the cluster gets in, and what is
//! sent stays within its bounds. Every `cargo test` runs the corpus beside it; `cargo bolero test
//! arbitrary_datagrams_never_panic` continues from there.

use hmac::{Hmac, KeyInit, Mac};
use juniperdock_membership::{Event, Host, Keys, MAX_DATAGRAM_BYTES, Membership, Refused, Timing};
use std::time::Duration;

#[derive(Default)]
struct Out(Vec<(usize, usize)>);

impl Host for Out {
    fn send(&mut self, to: usize, datagram: &[u8]) {
        self.0.push((to, datagram.len()));
    }
    fn event(&mut self, _: Event) {}
}

const CLUSTER_SIZE: usize = 5;

fn signed(datagram: &[u8]) -> Vec<u8> {
    let tag = Hmac::<sha2::Sha256>::new_from_slice(&[0xaa; 32]).expect("a key").chain_update(datagram);
    [datagram, &tag.finalize().into_bytes()[..16]].concat()
}

/// A datagram of a kind from front 0 to front 1, with a sequence number and a valid tag.
fn from_0(kind: u8, number: u64, body: &[u8]) -> Vec<u8> {
    let head = postcard::to_allocvec(&(kind, (0u16, 1000u32), (1u16, 1000u32), number, CLUSTER_SIZE as u16));
    let head = head.expect("written");
    signed(&[&[2, head.len() as u8][..], &head, body].concat())
}

#[test]
fn repeated_false_suspicions_do_not_grow_memory() {
    let keys = Keys::parse(&["aa".repeat(32)]).expect("a good key");
    let times = Timing { period: Duration::from_millis(100), suspicion_periods: 3 };
    let mut one = Membership::new(1, CLUSTER_SIZE, 1000, 3, 2, times, keys);
    let (mut out, mut number, mut most) = (Out::default(), 0, [0; 3]);
    for round in 0..3000u16 {
        let now = Duration::from_millis(20) * u32::from(round);
        // Gossip of front 0: front 2 is suspect, then alive again, under one library incarnation after the other.
        let said = postcard::to_allocvec(&((0u16, 1000u32), 0u16, (1u16, 1000u32), 8u8)).expect("written");
        let member = ((2u16, 1000u32), round / 2 * 2 + round % 2, 1 - (round % 2) as u8);
        let member = postcard::to_allocvec(&member).expect("written");
        number += 1;
        let datagram = from_0(3, number, &[&said[..], &[0, 1], &member].concat());
        assert_eq!(one.handle_datagram(now, 0, &datagram, &mut out), Ok(()), "round {round}");
        one.handle_timeout(now, &mut out);
        let third = &mut most[usize::from(round / 1000)];
        *third = one.timer_count().max(*third);
    }
    // One timer for each pending suspicion, and no more however long it goes on.
    assert!(most[0] > 10 && most[2] <= most[0] + most[0] / 10, "{most:?} timers");
}

/// The kind of a reply to a hello.
const HELLO_REPLY: u8 = 2;

/// Whether a datagram tells its recipient that it is remembered in a later incarnation than its own.
fn tells_later_incarnation(kind: u8, body: &[u8], own: u32) -> bool {
    let reply = postcard::take_from_bytes::<(u64, u32)>(body);
    kind == HELLO_REPLY && reply.is_ok_and(|((_hello, remembered), _)| remembered > own)
}

/// The input holds some datagrams, each prefixed by its length. The first is taken as it is, the others as bodies
/// under a valid head of a kind, from front 0 to front 1, signed with the right key.
fn play(input: &[u8]) {
    let keys = Keys::parse(&["aa".repeat(32)]).expect("a good key");
    let times = Timing { period: Duration::from_millis(100), suspicion_periods: 3 };
    let mut one = Membership::new(1, CLUSTER_SIZE, 1000, 3, 2, times, keys);
    let (mut out, mut rest, mut now) = (Out::default(), input, Duration::ZERO);
    let mut has_later_incarnation = false;
    for number in 1..=32u64 {
        let Some((&length, left)) = rest.split_first() else { break };
        let (bytes, left) = left.split_at(usize::from(length).min(left.len()));
        rest = left;
        now += Duration::from_millis(7);
        if number == 1 {
            let taken = one.handle_datagram(now, 0, bytes, &mut out);
            assert!(taken.is_err(), "accepted without a valid tag: {taken:?}");
        }
        let (kind, body) = bytes.split_first().map_or((0, &[][..]), |(kind, body)| (kind % 8, body));
        let body = &body[..body.len().min(200)];
        let incarnation = one.incarnation();
        let taken = one.handle_datagram(now, 0, &from_0(kind, number, body), &mut out);
        assert!(!matches!(taken, Err(Refused::Forged | Refused::Version)), "{taken:?}");
        // The datagrams are for the first incarnation: none is refused as that of another before the front has been
        // told of a later one, and all are afterwards.
        assert_eq!(taken == Err(Refused::WrongRecipient), has_later_incarnation, "{taken:?}");
        has_later_incarnation |= taken.is_ok() && tells_later_incarnation(kind, body, incarnation);
        one.handle_timeout(now, &mut out);
        assert!(one.present().iter().all(|&place| place < CLUSTER_SIZE));
        assert!(one.peers().len() == CLUSTER_SIZE);
    }
    now += Duration::from_secs(3);
    one.handle_timeout(now, &mut out);
    assert!(out.0.iter().all(|&(to, length)| to < CLUSTER_SIZE && to != 1 && length <= MAX_DATAGRAM_BYTES));
}

#[test]
fn arbitrary_datagrams_never_panic() {
    bolero::check!().with_iterations(20_000).with_max_len(1024).for_each(play);
}
