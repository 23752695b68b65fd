//! A connection or a process ends while something is owed on it: an answer that is not out yet, a statement that is
//! half read, statements behind one that is refused. Whatever was taken gets its final answer first.

use juniperdock_standins::{Client, Does, Front, message, txn};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};
use town::{Town, until};

mod town;

/// As `txn`, of a session of its own.
fn of_session(session: &str, kind: &str, ms: u32, id: &str) -> String {
    txn(kind, ms, id).replace("'7f3a'", &format!("'{session}'"))
}

fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

/// A statement in two parts.
fn halves(text: &str) -> (Vec<u8>, Vec<u8>) {
    let mut first = query(text);
    let second = first.split_off(first.len() / 2);
    (first, second)
}

/// The front knows its primary and its replicas.
fn begin(town: &Town, front: &Front) {
    until(|| front.client().ask(&of_session("0", "order", 20_000, "first")).value.is_some());
    until(|| front.client().ask(&of_session("0", "lookup", 20_000, "first")).value.is_some());
    town.members.iter().for_each(|member| member.seen.try_iter().for_each(drop));
}

/// The process has been told to end, and takes nobody in any more.
fn shutting_down(front: &Front) {
    front.signal("-TERM");
    until(|| TcpStream::connect(front.at).is_err());
}

/// A client whose order hangs at the primary.
fn with_a_hanging_order(town: &Town, front: &Front, ms: u32) -> Client {
    town.members[0].set(Does::Hangs);
    let mut client = front.client();
    client.say(&of_session("a", "order", ms, "hangs"));
    assert!(town.sent(0).contains("id=hangs,"));
    client
}

#[test]
fn half_a_statement_is_answered_when_the_process_ends() {
    let town = Town::new();
    let front = town.front();
    begin(&town, &front);
    let mut client = front.client();
    let (first, second) = halves(&txn("order", 20_000, "half"));
    client.stream.write_all(&first).expect("the front reads");
    shutting_down(&front);
    client.stream.write_all(&second).expect("the front reads");
    let reply = client.reply();
    assert!(reply.value.is_some() || reply.code.is_some(), "{reply:?}");
    assert!(front.end().0);
}

#[test]
fn what_comes_behind_a_statement_in_hand_while_the_process_ends_is_answered() {
    let town = Town::new();
    let front = town.front();
    begin(&town, &front);
    let mut client = with_a_hanging_order(&town, &front, 4900);
    shutting_down(&front);
    let shut = Instant::now();
    until(|| shut.elapsed() > Duration::from_millis(1500));
    // Its time is over only after the process has to be gone.
    client.say(&of_session("b", "order", 4900, "behind"));
    assert_eq!(client.reply().last, b'Z', "the one in hand");
    let behind = client.reply();
    assert!(behind.code.is_some(), "{behind:?}");
    assert!(front.end().0);
}

#[test]
fn a_statement_with_more_time_than_the_process_has_left_is_answered_before_it_ends() {
    let town = Town::new();
    let front = town.front();
    begin(&town, &front);
    let mut client = with_a_hanging_order(&town, &front, 60_000);
    shutting_down(&front);
    let reply = client.reply();
    assert_eq!(reply.code.as_deref(), Some("40003"), "{reply:?}");
    let _ = client.stream.shutdown(Shutdown::Both);
    assert!(front.end().0);
}
