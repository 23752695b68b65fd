//! Both sides of a hot restart, and the ways in which one of them may fail.

use juniperdock_hot_restart::message::{self, MessageHandler};
use juniperdock_hot_restart::{
    AbortReason, Action, ChangePieces, NewProcess, OldProcess, Phase, SUPPORTED_VERSIONS, Stage, Timeouts,
    VERSION_WITH_RUNTIME_STATE, VERSION_WITH_SESSION_MARKS,
};
use proptest::prelude::*;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const TIMEOUTS: Timeouts = Timeouts {
    ready: Duration::from_secs(5),
    gather: Duration::from_millis(30),
    acknowledge: Duration::from_secs(1),
};

fn actions_at(old_process: &mut OldProcess, now: u64) -> Vec<Action> {
    std::iter::from_fn(|| old_process.next_action(ms(now))).collect()
}

/// An old process whose successor is ready and has the listener, with clients 1 to 3, none of them idle before, sent
/// at 100 ms.
fn transferring() -> OldProcess {
    let mut old_process = OldProcess::new(ms(0), TIMEOUTS);
    old_process.on_hello(SUPPORTED_VERSIONS.0, SUPPORTED_VERSIONS.1);
    assert_eq!(actions_at(&mut old_process, 10), [Action::SendVersion(SUPPORTED_VERSIONS.1)]);
    old_process.on_ready();
    assert_eq!(actions_at(&mut old_process, 70), [Action::SendListener]);
    assert_eq!(actions_at(&mut old_process, 100), [Action::TransferAll]);
    (1..4).for_each(|client| old_process.on_sent(ms(100), client));
    old_process
}

#[test]
fn clients_are_released_only_after_commit() {
    let mut old_process = transferring();
    old_process.on_received(1);
    assert!(actions_at(&mut old_process, 140).is_empty(), "nothing is released before the commit");
    old_process.on_received(2);
    old_process.on_received(3);
    assert_eq!(
        actions_at(&mut old_process, 141),
        [Action::Commit, Action::Release(1), Action::Release(2), Action::Release(3)]
    );
    // A client that was busy follows.
    old_process.on_sent(ms(300), 4);
    old_process.set_remaining(1);
    assert!(actions_at(&mut old_process, 300).is_empty());
    assert!(
        actions_at(&mut old_process, 60_000).is_empty(),
        "after the commit a late confirmation takes nothing back"
    );
    old_process.on_received(4);
    old_process.set_remaining(0);
    assert_eq!(actions_at(&mut old_process, 60_001), [Action::Release(4), Action::Exit]);
    assert_eq!(old_process.phase(), Phase::Done);
}

#[test]
fn idle_clients_are_transferred_first_but_do_not_delay_the_others_forever() {
    let mut old_process = OldProcess::new(ms(0), TIMEOUTS);
    old_process.on_hello(SUPPORTED_VERSIONS.0, SUPPORTED_VERSIONS.1);
    actions_at(&mut old_process, 10);
    old_process.on_ready();
    assert_eq!(actions_at(&mut old_process, 100), [Action::SendListener]);
    for client in 1..9 {
        old_process.on_sent(ms(100 + 20 * client), client);
        old_process.on_received(client);
        assert!(
            actions_at(&mut old_process, 100 + 20 * client).is_empty(),
            "busy clients stay while idle ones are being sent"
        );
    }
    assert!(actions_at(&mut old_process, 289).is_empty());
    assert_eq!(actions_at(&mut old_process, 290), [Action::TransferAll]);
    assert!(actions_at(&mut old_process, 319).is_empty());
    assert_eq!(actions_at(&mut old_process, 320)[0], Action::Commit);
    // When idle clients keep coming, the others are sent after a bounded time all the same.
    let mut old_process =
        OldProcess::new(ms(0), Timeouts { acknowledge: Duration::from_secs(99), ..TIMEOUTS });
    old_process.on_hello(SUPPORTED_VERSIONS.0, SUPPORTED_VERSIONS.1);
    assert_eq!(actions_at(&mut old_process, 0), [Action::SendVersion(SUPPORTED_VERSIONS.1)]);
    old_process.on_ready();
    assert_eq!(actions_at(&mut old_process, 0), [Action::SendListener]);
    old_process.on_sent(ms(1499), 1);
    assert!(actions_at(&mut old_process, 1499).is_empty());
    assert_eq!(actions_at(&mut old_process, 1500), [Action::TransferAll]);
}

#[test]
fn old_process_keeps_all_clients_when_the_new_process_exits_before_commit() {
    for (at, why) in
        [("start", AbortReason::Ended), ("offer", AbortReason::Ended), ("half", AbortReason::Ended)]
    {
        let mut old_process = if at == "start" { OldProcess::new(ms(0), TIMEOUTS) } else { transferring() };
        if at == "half" {
            old_process.on_received(2);
        }
        old_process.on_disconnected();
        let done = actions_at(&mut old_process, 150);
        let kept = if at == "start" { vec![] } else { vec![Action::Keep(1), Action::Keep(3)] };
        assert_eq!(done[0], Action::Resume, "{at}");
        assert!(kept.iter().all(|keep| done.contains(keep)), "{at}: {done:?}");
        assert_eq!(at == "half", done.contains(&Action::Keep(2)) && done.len() == 4 && at != "offer");
        assert_eq!(old_process.phase(), Phase::Aborted(why));
        assert!(actions_at(&mut old_process, 9999).is_empty());
    }
}

#[test]
fn old_process_keeps_unreceived_clients_when_the_new_process_exits_after_commit() {
    let mut old_process = transferring();
    (1..4).for_each(|client| old_process.on_received(client));
    assert_eq!(actions_at(&mut old_process, 200).len(), 4);
    old_process.on_sent(ms(210), 4);
    old_process.on_disconnected();
    assert_eq!(actions_at(&mut old_process, 220), [Action::Resume, Action::Keep(4)]);
}

#[test]
fn restart_is_aborted_when_the_new_process_misses_a_deadline() {
    let mut old_process = OldProcess::new(ms(0), TIMEOUTS);
    assert!(actions_at(&mut old_process, 4999).is_empty());
    assert_eq!(actions_at(&mut old_process, 5000), [Action::Resume]);
    assert_eq!(old_process.phase(), Phase::Aborted(AbortReason::Late));
    let mut old_process = transferring();
    old_process.on_received(1);
    assert!(actions_at(&mut old_process, 1099).is_empty());
    assert_eq!(actions_at(&mut old_process, 1100)[0], Action::Resume);
}

#[test]
fn unsupported_version_invalid_message_and_cancellation_abort_the_restart() {
    let mut old_process = OldProcess::new(ms(0), TIMEOUTS);
    old_process.on_hello(SUPPORTED_VERSIONS.1 + 1, SUPPORTED_VERSIONS.1 + 4);
    assert_eq!(
        (actions_at(&mut old_process, 1), old_process.phase()),
        (vec![Action::Resume], Phase::Aborted(AbortReason::Version))
    );
    for message in [&b"x"[..], b"x\x020", b"x\x010123456789", b"", b"h\0", b"t\0\0\0\0\0\0\0\x09", b"r", b"t"]
    {
        let mut old_process = transferring();
        message::deliver_to_old(message, &mut old_process, &mut ChangePieces::new(9));
        assert_eq!(actions_at(&mut old_process, 110)[0], Action::Resume, "{message:?}");
        assert_eq!(old_process.phase(), Phase::Aborted(AbortReason::Nonsense));
    }
    let mut old_process = transferring();
    old_process.cancel();
    assert_eq!(actions_at(&mut old_process, 110)[0], Action::Resume);
    // Canceling has no effect after the commit.
    let mut old_process = transferring();
    (1..4).for_each(|client| old_process.on_received(client));
    actions_at(&mut old_process, 200);
    old_process.cancel();
    assert!(actions_at(&mut old_process, 300).is_empty());
}

#[test]
fn version_is_known_once_it_is_agreed() {
    let mut old_process = OldProcess::new(ms(0), TIMEOUTS);
    assert_eq!(old_process.version(), 0);
    old_process.on_hello(1, 1);
    assert_eq!(actions_at(&mut old_process, 1), [Action::SendVersion(1)], "a process of the first version");
    assert!(old_process.version() < VERSION_WITH_SESSION_MARKS);
}

/// Guards against a commit before the new process has all that is in force, and against one that is waited for for good.
#[test]
fn changes_of_the_runtime_state_go_over_before_the_commit_or_the_restart_is_aborted() {
    let acknowledged = || {
        let mut old_process = transferring();
        (1..4).for_each(|client| old_process.on_received(client));
        old_process.set_changes_waiting(ms(120), true);
        old_process
    };
    let mut old_process = acknowledged();
    old_process.set_changes_waiting(ms(900), true);
    assert!(actions_at(&mut old_process, 1119).is_empty(), "the commit waits");
    old_process.set_changes_waiting(ms(1119), false);
    assert_eq!(actions_at(&mut old_process, 1119)[0], Action::Commit);
    let mut old_process = acknowledged();
    old_process.set_changes_waiting(ms(900), true);
    assert_eq!(actions_at(&mut old_process, 1120)[0], Action::Resume);
    assert_eq!(old_process.phase(), Phase::Aborted(AbortReason::Late));
}

#[test]
fn changes_longer_than_a_message_are_joined_and_those_too_long_are_refused() {
    let long: Vec<u8> = (0..3 * message::MAX_MESSAGE_LEN).map(|i| i as u8).collect();
    let (mut pieces, mut old_process) = (ChangePieces::new(long.len()), transferring());
    let messages: Vec<_> = message::change(&long).chain(message::change(b"short")).collect();
    assert!(messages.len() > 4 && messages.iter().all(|message| message.len() <= message::MAX_MESSAGE_LEN));
    messages.iter().for_each(|message| message::deliver_to_old(message, &mut old_process, &mut pieces));
    assert_eq!(pieces.take_complete(), [long.clone(), b"short".to_vec()]);
    assert!(actions_at(&mut old_process, 110).is_empty());
    let mut pieces = ChangePieces::new(long.len() - 1);
    message::change(&long)
        .for_each(|message| message::deliver_to_old(&message, &mut old_process, &mut pieces));
    assert_eq!(actions_at(&mut old_process, 110)[0], Action::Resume);
}

#[test]
fn new_process_serves_no_client_before_commit() {
    let mut new_process = NewProcess::default();
    assert!(new_process.on_version(VERSION_WITH_RUNTIME_STATE) && !new_process.clone().on_listener());
    assert!(new_process.on_state_complete() && new_process.on_listener());
    assert_eq!(new_process.on_client(), Some(false));
    assert!(new_process.on_commit());
    assert_eq!(
        (new_process.on_client(), new_process.received_clients(), new_process.on_disconnected()),
        (Some(true), 2, true)
    );
    let mut new_process = NewProcess::default();
    assert!(
        new_process.on_version(VERSION_WITH_SESSION_MARKS)
            && new_process.on_listener()
            && !new_process.on_disconnected()
    );
    assert_eq!(new_process.stage(), Stage::Failed);
    assert!(
        !NewProcess::default().on_commit() && !NewProcess::default().on_version(SUPPORTED_VERSIONS.1 + 1)
    );
    assert_eq!(NewProcess::default().on_client(), None);
}

#[derive(Default)]
struct RecordingHandler(Vec<String>);

impl MessageHandler for RecordingHandler {
    fn agreed(&mut self, version: u16) {
        self.0.push(format!("agreed {version}"));
    }
    fn change(&mut self, piece: &[u8], last: bool) {
        self.0.push(format!("change {} {last}", piece.len()));
    }
    fn state_complete(&mut self) {
        self.0.push("state complete".to_owned());
    }
    fn session_marks(&mut self) {
        self.0.push("session marks".to_owned());
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
fn messages_round_trip_and_malformed_ones_are_reported() {
    let mut handler = RecordingHandler::default();
    let messages = [
        message::agree(1),
        message::listener(),
        message::unread(b"abc"),
        message::client(7, true, false),
        message::commit(),
        message::idle("m"),
        message::session_marks(),
        message::state_complete(),
    ];
    let messages: Vec<_> = messages.into_iter().chain(message::change(b"abcd")).collect();
    messages.iter().for_each(|message| message::deliver_to_new(message, &mut handler));
    for bad in [&b""[..], b"c", b"c\0\0\0\0\0\0\0\x01\x02\0", b"a\0", b"sx", b"l1", b"kx", b"x", b"yx", b"?"]
    {
        message::deliver_to_new(bad, &mut handler);
    }
    let good =
        ["agreed 1", "listener", "unread 3", "client 7 true false", "commit", "idle m", "session marks"];
    assert_eq!(handler.0[..7], good);
    assert_eq!(handler.0[7..9], ["state complete", "change 4 true"]);
    assert!(handler.0[9..].iter().all(|said| said == "nonsense") && handler.0.len() == 19);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any order of inputs, each client that was sent is released or kept exactly once, and released only after
    /// the commit and after the new process has received it.
    #[test]
    fn every_sent_client_is_released_or_kept_exactly_once(steps in proptest::collection::vec((0..9u8, 0..5u64, 0..300u64), 1..80)) {
        let mut old_process = OldProcess::new(ms(0), TIMEOUTS);
        let (mut now, mut next_client, mut committed) = (0, 0, false);
        let (mut in_flight, mut taken) = (Vec::new(), Vec::new());
        for (input, client, wait) in steps {
            now += wait;
            match input {
                0 => old_process.on_hello(1, 1),
                1 => old_process.on_ready(),
                2 | 3 if old_process.is_transferring() => {
                    next_client += 1;
                    old_process.on_sent(ms(now), next_client);
                    in_flight.push(next_client);
                }
                4 | 5 => {
                    old_process.on_received(client);
                    taken.push(client);
                }
                6 if client == 0 => old_process.on_disconnected(),
                7 if client == 0 => old_process.cancel(),
                8 => old_process.set_remaining(in_flight.len()),
                _ => {}
            }
            while let Some(step) = old_process.next_action(ms(now)) {
                match step {
                    Action::Commit => committed = true,
                    Action::Release(client) => {
                        prop_assert!(committed && taken.contains(&client), "client {client} released before the commit or before it was received");
                        let at = in_flight.iter().position(|&c| c == client);
                        prop_assert!(at.map(|at| in_flight.remove(at)).is_some(), "client {client} released or kept twice");
                    }
                    Action::Keep(client) => {
                        let at = in_flight.iter().position(|&c| c == client);
                        prop_assert!(at.map(|at| in_flight.remove(at)).is_some(), "client {client} released or kept twice");
                    }
                    Action::Exit => prop_assert!(in_flight.is_empty()),
                    Action::SendVersion(_) | Action::SendListener | Action::TransferAll | Action::Resume => {}
                }
            }
        }
        now += 10_000;
        while let Some(step) = old_process.next_action(ms(now)) {
            if let Action::Keep(client) | Action::Release(client) = step {
                in_flight.retain(|&c| c != client);
            }
        }
        prop_assert!(in_flight.is_empty() || matches!(old_process.phase(), Phase::Transferring | Phase::Committed), "{in_flight:?} in {:?}", old_process.phase());
    }

    #[test]
    fn arbitrary_bytes_never_panic(message in proptest::collection::vec(any::<u8>(), 0..40)) {
        message::deliver_to_old(&message, &mut transferring(), &mut ChangePieces::new(9));
        message::deliver_to_new(&message, &mut RecordingHandler::default());
    }
}
