//! Both sides, and each way in which one may fail the other.

use juniperdock_hot_restart::message::{self, MessageHandler};
use juniperdock_hot_restart::{Do, Giver, Phase, SUPPORTED_VERSIONS, Stage, Taker, Times, Why};
use proptest::prelude::*;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const TIMES: Times =
    Times { ready: Duration::from_secs(5), gather: Duration::from_millis(30), taken: Duration::from_secs(1) };

fn all(giver: &mut Giver, now: u64) -> Vec<Do> {
    std::iter::from_fn(|| giver.step(ms(now))).collect()
}

/// Ready, the offer made, clients 1 to 3 sent at 100 ms, none of which has rested.
fn moving() -> Giver {
    let mut giver = Giver::new(ms(0), TIMES);
    giver.hello(SUPPORTED_VERSIONS.0, SUPPORTED_VERSIONS.1);
    assert_eq!(all(&mut giver, 10), [Do::Agree(SUPPORTED_VERSIONS.1)]);
    giver.ready();
    assert_eq!(all(&mut giver, 70), [Do::Offer]);
    assert_eq!(all(&mut giver, 100), [Do::Gather]);
    (1..4).for_each(|client| giver.sent(ms(100), client));
    giver
}

#[test]
fn clients_are_released_only_once_the_taker_serves() {
    let mut giver = moving();
    giver.took(1);
    assert!(all(&mut giver, 140).is_empty(), "nothing is released before the commit");
    giver.took(2);
    giver.took(3);
    assert_eq!(all(&mut giver, 141), [Do::Commit, Do::Release(1), Do::Release(2), Do::Release(3)]);
    // One that was busy follows.
    giver.sent(ms(300), 4);
    giver.left(1);
    assert!(all(&mut giver, 300).is_empty());
    assert!(all(&mut giver, 60_000).is_empty(), "the other serves: a slow word takes nothing back");
    giver.took(4);
    giver.left(0);
    assert_eq!(all(&mut giver, 60_001), [Do::Release(4), Do::Leave]);
    assert_eq!(giver.phase(), Phase::Done);
}

#[test]
fn clients_that_have_rested_go_first_and_the_others_are_not_kept_waiting_for_them() {
    let mut giver = Giver::new(ms(0), TIMES);
    giver.hello(SUPPORTED_VERSIONS.0, SUPPORTED_VERSIONS.1);
    all(&mut giver, 10);
    giver.ready();
    assert_eq!(all(&mut giver, 100), [Do::Offer]);
    for client in 1..9 {
        giver.sent(ms(100 + 20 * client), client);
        giver.took(client);
        assert!(all(&mut giver, 100 + 20 * client).is_empty(), "as long as they come, the busy ones stay");
    }
    assert!(all(&mut giver, 289).is_empty());
    assert_eq!(all(&mut giver, 290), [Do::Gather]);
    assert!(all(&mut giver, 319).is_empty());
    assert_eq!(all(&mut giver, 320)[0], Do::Commit);
    // Where they come without end, the rest is sent all the same.
    let mut giver = Giver::new(ms(0), Times { taken: Duration::from_secs(99), ..TIMES });
    giver.hello(SUPPORTED_VERSIONS.0, SUPPORTED_VERSIONS.1);
    assert_eq!(all(&mut giver, 0), [Do::Agree(SUPPORTED_VERSIONS.1)]);
    giver.ready();
    assert_eq!(all(&mut giver, 0), [Do::Offer]);
    giver.sent(ms(1499), 1);
    assert!(all(&mut giver, 1499).is_empty());
    assert_eq!(all(&mut giver, 1500), [Do::Gather]);
}

#[test]
fn a_taker_that_ends_gives_everything_back() {
    for (at, why) in [("start", Why::Ended), ("offer", Why::Ended), ("half", Why::Ended)] {
        let mut giver = if at == "start" { Giver::new(ms(0), TIMES) } else { moving() };
        if at == "half" {
            giver.took(2);
        }
        giver.gone();
        let done = all(&mut giver, 150);
        let kept = if at == "start" { vec![] } else { vec![Do::Keep(1), Do::Keep(3)] };
        assert_eq!(done[0], Do::Resume, "{at}");
        assert!(kept.iter().all(|keep| done.contains(keep)), "{at}: {done:?}");
        assert_eq!(at == "half", done.contains(&Do::Keep(2)) && done.len() == 4 && at != "offer");
        assert_eq!(giver.phase(), Phase::Undone(why));
        assert!(all(&mut giver, 9999).is_empty());
    }
}

#[test]
fn a_taker_that_dies_after_the_commit_leaves_what_it_did_not_take() {
    let mut giver = moving();
    (1..4).for_each(|client| giver.took(client));
    assert_eq!(all(&mut giver, 200).len(), 4);
    giver.sent(ms(210), 4);
    giver.gone();
    assert_eq!(all(&mut giver, 220), [Do::Resume, Do::Keep(4)]);
}

#[test]
fn a_slow_taker_is_given_up_in_time() {
    let mut giver = Giver::new(ms(0), TIMES);
    assert!(all(&mut giver, 4999).is_empty());
    assert_eq!(all(&mut giver, 5000), [Do::Resume]);
    assert_eq!(giver.phase(), Phase::Undone(Why::Late));
    let mut giver = moving();
    giver.took(1);
    assert!(all(&mut giver, 1099).is_empty());
    assert_eq!(all(&mut giver, 1100)[0], Do::Resume);
}

#[test]
fn another_version_nonsense_and_a_call_off_undo_it() {
    let mut giver = Giver::new(ms(0), TIMES);
    giver.hello(SUPPORTED_VERSIONS.1 + 1, SUPPORTED_VERSIONS.1 + 4);
    assert_eq!((all(&mut giver, 1), giver.phase()), (vec![Do::Resume], Phase::Undone(Why::Version)));
    for word in [&b"x"[..], b"", b"h\0", b"t\0\0\0\0\0\0\0\x09", b"r", b"t"] {
        let mut giver = moving();
        message::deliver_to_old(word, &mut giver);
        assert_eq!(all(&mut giver, 110)[0], Do::Resume, "{word:?}");
        assert_eq!(giver.phase(), Phase::Undone(Why::Nonsense));
    }
    let mut giver = moving();
    giver.call_off();
    assert_eq!(all(&mut giver, 110)[0], Do::Resume);
    // Too late once it is committed.
    let mut giver = moving();
    (1..4).for_each(|client| giver.took(client));
    all(&mut giver, 200);
    giver.call_off();
    assert!(all(&mut giver, 300).is_empty());
}

#[test]
fn a_taker_serves_nobody_before_the_commit() {
    let mut taker = Taker::default();
    assert!(taker.agreed(SUPPORTED_VERSIONS.1) && taker.listener());
    assert_eq!(taker.client(), Some(false));
    assert!(taker.commit());
    assert_eq!((taker.client(), taker.clients(), taker.gone()), (Some(true), 2, true));
    let mut taker = Taker::default();
    assert!(taker.agreed(SUPPORTED_VERSIONS.1) && taker.listener() && !taker.gone());
    assert_eq!(taker.stage(), Stage::Refused);
    assert!(!Taker::default().commit() && !Taker::default().agreed(SUPPORTED_VERSIONS.1 + 1));
    assert_eq!(Taker::default().client(), None);
}

#[derive(Default)]
struct Heard(Vec<String>);

impl MessageHandler for Heard {
    fn agreed(&mut self, version: u16) {
        self.0.push(format!("agreed {version}"));
    }
    fn memory(&mut self, piece: &[u8]) {
        self.0.push(format!("memory {}", piece.len()));
    }
    fn listener(&mut self) {
        self.0.push("listener".to_owned());
    }
    fn unread(&mut self, bytes: &[u8]) {
        self.0.push(format!("unread {}", bytes.len()));
    }
    fn client(&mut self, number: u64, open: bool, skipping: bool) {
        self.0.push(format!("client {number} {open} {skipping}"));
    }
    fn idle(&mut self, member: &str) {
        self.0.push(format!("idle {member}"));
    }
    fn commit(&mut self) {
        self.0.push("commit".to_owned());
    }
    fn nonsense(&mut self) {
        self.0.push("nonsense".to_owned());
    }
}

#[test]
fn words_come_through_as_they_were_said() {
    let mut heard = Heard::default();
    let words = [
        message::agree(1),
        message::listener(),
        message::unread(b"abc"),
        message::client(7, true, false),
        message::commit(),
        message::idle("m"),
    ];
    words.iter().for_each(|word| message::deliver_to_new(word, &mut heard));
    for bad in [&b""[..], b"c", b"c\0\0\0\0\0\0\0\x01\x02\0", b"a\0", b"sx", b"l1", b"?"] {
        message::deliver_to_new(bad, &mut heard);
    }
    let good = ["agreed 1", "listener", "unread 3", "client 7 true false", "commit", "idle m"];
    assert_eq!(heard.0[..6], good);
    assert!(heard.0[6..].iter().all(|said| said == "nonsense") && heard.0.len() == 13);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes in whatever order: each client that was sent is released or kept, once, and released
    /// only after a commit and after it was taken.
    #[test]
    fn no_client_is_handed_to_a_void(steps in proptest::collection::vec((0..9u8, 0..5u64, 0..300u64), 1..80)) {
        let mut giver = Giver::new(ms(0), TIMES);
        let (mut now, mut next, mut committed) = (0, 0, false);
        let (mut open, mut taken) = (Vec::new(), Vec::new());
        for (what, client, wait) in steps {
            now += wait;
            match what {
                0 => giver.hello(1, 1),
                1 => giver.ready(),
                2 | 3 if giver.moves() => {
                    next += 1;
                    giver.sent(ms(now), next);
                    open.push(next);
                }
                4 | 5 => {
                    giver.took(client);
                    taken.push(client);
                }
                6 if client == 0 => giver.gone(),
                7 if client == 0 => giver.call_off(),
                8 => giver.left(open.len()),
                _ => {}
            }
            while let Some(step) = giver.step(ms(now)) {
                match step {
                    Do::Commit => committed = true,
                    Do::Release(client) => {
                        prop_assert!(committed && taken.contains(&client), "{client} released to nobody");
                        let at = open.iter().position(|&c| c == client);
                        prop_assert!(at.map(|at| open.remove(at)).is_some(), "twice");
                    }
                    Do::Keep(client) => {
                        let at = open.iter().position(|&c| c == client);
                        prop_assert!(at.map(|at| open.remove(at)).is_some(), "twice");
                    }
                    Do::Leave => prop_assert!(open.is_empty()),
                    Do::Agree(_) | Do::Offer | Do::Gather | Do::Resume => {}
                }
            }
        }
        now += 10_000;
        while let Some(step) = giver.step(ms(now)) {
            if let Do::Keep(client) | Do::Release(client) = step {
                open.retain(|&c| c != client);
            }
        }
        prop_assert!(open.is_empty() || matches!(giver.phase(), Phase::Moving | Phase::Committed), "{open:?} in {:?}", giver.phase());
    }

    #[test]
    fn no_bytes_upset_either_side(word in proptest::collection::vec(any::<u8>(), 0..40)) {
        message::deliver_to_old(&word, &mut moving());
        message::deliver_to_new(&word, &mut Heard::default());
    }
}
