//! A connection or a process ends while something is outstanding on it: an answer that is not sent yet, a statement
//! that is half read, statements behind one that is refused. Every request that was read gets its final answer first.

use cluster::{PROGRAM, TestCluster, wait_until};
use juniperdock_test_support::{Behaviour, Client, Front, TEST_TIMEOUT, address, message, row, txn};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

mod cluster;

/// Descriptors of a front that has slots for 18 clients, closes idle ones soon above 13, and asks one to leave for
/// each that comes above 18.
const FEW_DESCRIPTORS: u32 = 52;
const CLIENTS: usize = 18;

fn front_with_few_descriptors(cluster: &TestCluster) -> Front {
    Front::start(PROGRAM, cluster.agent.at, &cluster.server_list, FEW_DESCRIPTORS)
}

/// Like `txn`, of a session of its own.
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

/// Waits until the front knows its primary and its replicas.
fn warm_up(cluster: &TestCluster, front: &Front) {
    wait_until(|| front.client().query(&of_session("0", "order", 20_000, "first")).value.is_some());
    wait_until(|| front.client().query(&of_session("0", "lookup", 20_000, "first")).value.is_some());
    cluster.members.iter().for_each(|member| member.seen.try_iter().for_each(drop));
}

/// Sends SIGTERM, and waits until no new client is accepted.
fn begin_shutdown(front: &Front) {
    front.signal("-TERM");
    wait_until(|| TcpStream::connect(front.at).is_err());
}

/// A client whose order hangs at the primary.
fn client_with_a_hanging_order(cluster: &TestCluster, front: &Front, ms: u32) -> Client {
    cluster.members[0].set_behaviour(Behaviour::Hang);
    let mut client = front.client();
    client.send(&of_session("a", "order", ms, "hangs"));
    assert!(cluster.next_txn(0).contains("id=hangs,"));
    client
}

/// Whether the other side has closed the connection; anything that it sent is skipped.
fn has_ended(client: &mut Client) -> bool {
    client.stream.set_nonblocking(true).expect("a socket");
    let ended = matches!(client.stream.read(&mut [0; 64]), Ok(0));
    client.stream.set_nonblocking(false).expect("a socket");
    ended
}

#[test]
fn half_a_statement_is_answered_when_the_process_ends() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    warm_up(&cluster, &front);
    let mut client = front.client();
    let (first, second) = halves(&txn("order", 20_000, "half"));
    client.stream.write_all(&first).expect("the front reads");
    begin_shutdown(&front);
    client.stream.write_all(&second).expect("the front reads");
    let reply = client.reply();
    assert!(reply.value.is_some() || reply.code.is_some(), "{reply:?}");
    assert!(front.end().0);
}

#[test]
fn connection_with_half_a_statement_is_not_closed_as_idle() {
    let cluster = TestCluster::new();
    let front = front_with_few_descriptors(&cluster);
    warm_up(&cluster, &front);
    let mut idle = front.client();
    let mut client = front.client();
    let (first, second) = halves(&txn("order", 20_000, "half"));
    client.stream.write_all(&first).expect("the front reads");
    let _crowd: Vec<Client> = (0..CLIENTS - 3).map(|_| front.client()).collect();
    wait_until(|| has_ended(&mut idle));
    let _ = client.stream.write_all(&second);
    let reply = client.reply();
    assert!(reply.value.is_some() || reply.code.is_some(), "{reply:?}");
}

#[test]
fn half_sent_answer_is_not_cut_off_to_free_a_slot() {
    const LENGTH: usize = 16 << 20;
    let cluster = TestCluster::new();
    let config = Front::config(&cluster.server_list, FEW_DESCRIPTORS)
        .replace("\"memory_mb\":192", "\"memory_mb\":4096");
    let front = Front::start_with_config(PROGRAM, address(), cluster.agent.at, &config, None);
    warm_up(&cluster, &front);
    let long = [row(&vec![b'x'; LENGTH]), juniperdock_test_support::wire::ready()].concat();
    cluster.members.iter().for_each(|member| member.behave_once(Behaviour::Send(long.clone())));
    // Its receive buffer takes next to nothing that it does not read.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a size");
    socket.connect(&front.at.into()).expect("the front is there");
    let mut client = Client { stream: socket.into() };
    client.stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time");
    client.stream.write_all(&[0, 0, 0, 9, 0, 3, 0, 0, 0]).expect("an opening");
    assert_eq!(client.reply().last, b'Z');
    client.send(&txn("order", 20_000, "long"));
    assert!(cluster.next_txn(0).contains("id=long,"));
    // The first byte has arrived, so the front has written as much as it can.
    assert_eq!(client.stream.peek(&mut [0]).expect("an answer"), 1);
    // Others connect until clients have been asked to leave for them, more than once.
    let mut others: Vec<Client> = (0..CLIENTS).map(|_| front.client()).collect();
    let waited = Instant::now();
    wait_until(|| waited.elapsed() > Duration::from_millis(400));
    others.extend((0..CLIENTS).map(|_| front.client()));
    wait_until(|| others.iter_mut().any(has_ended));
    assert_eq!(client.reply().value.map(|value| value.len()), Some(LENGTH));
}

#[test]
fn all_statements_of_a_client_without_a_slot_are_refused() {
    let cluster = TestCluster::new();
    let front = front_with_few_descriptors(&cluster);
    warm_up(&cluster, &front);
    cluster.members[0].set_behaviour(Behaviour::Hang);
    let _busy: Vec<Client> = (0..CLIENTS)
        .map(|i| {
            let mut client = front.client();
            client.send(&of_session(&i.to_string(), "order", 60_000, "busy"));
            client
        })
        .collect();
    let mut extra = TcpStream::connect(front.at).expect("the machine takes it in");
    extra.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time");
    let statement = query(&txn("order", 20_000, "extra"));
    let all = [&[0, 0, 0, 9, 0, 3, 0, 0, 0][..], &statement.repeat(3)].concat();
    extra.write_all(&all).expect("the machine takes it");
    let mut text = Vec::new();
    extra.read_to_end(&mut text).expect("an end, no reset");
    let text = String::from_utf8_lossy(&text);
    assert_eq!(text.matches("53300").count(), 3, "{text:?}");
}

#[test]
fn what_comes_behind_a_statement_in_hand_while_the_process_ends_is_answered() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    warm_up(&cluster, &front);
    let mut client = client_with_a_hanging_order(&cluster, &front, 4900);
    begin_shutdown(&front);
    let ended = Instant::now();
    wait_until(|| ended.elapsed() > Duration::from_millis(1500));
    // Its deadline is later than the time by which the process must have ended.
    let sent_at = ended.elapsed();
    client.send(&of_session("b", "order", 4900, "behind"));
    assert_eq!(client.reply().last, b'Z', "the one in hand");
    let (behind, answered_at) = (client.reply(), ended.elapsed());
    let (well, text) = front.end();
    assert!(
        behind.code.is_some(),
        "sent after {sent_at:?}, answered after {answered_at:?}: {behind:?}\n{text}"
    );
    assert!(well);
}

#[test]
fn a_statement_with_more_time_than_the_process_has_left_is_answered_before_it_ends() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    warm_up(&cluster, &front);
    let mut client = client_with_a_hanging_order(&cluster, &front, 60_000);
    begin_shutdown(&front);
    let reply = client.reply();
    assert_eq!(reply.code.as_deref(), Some("40003"), "{reply:?}");
    let _ = client.stream.shutdown(Shutdown::Both);
    assert!(front.end().0);
}

#[test]
fn statement_that_crosses_an_idle_close_is_answered_or_not_sent() {
    for _ in 0..5 {
        let cluster = TestCluster::new();
        let front = front_with_few_descriptors(&cluster);
        warm_up(&cluster, &front);
        let mut clients: Vec<Client> = (0..CLIENTS - 5).map(|_| front.client()).collect();
        let rested = Instant::now();
        wait_until(|| rested.elapsed() > Duration::from_millis(300));
        // While the process is stopped, the client that has been idle longest sends a statement, and others connect
        // that need its slot.
        front.signal("-STOP");
        wait_until(|| front.stopped());
        clients[0].send(&txn("order", 20_000, "crosses"));
        let _others: Vec<TcpStream> =
            (0..CLIENTS).map(|_| TcpStream::connect(front.at).expect("the machine takes it in")).collect();
        front.signal("-CONT");
        let reply = clients[0].reply();
        let answered = reply.value.is_some() || reply.code.is_some();
        let sent = cluster.members[0].seen.try_iter().any(|text| text.contains("id=crosses,"));
        assert!(answered || !sent, "{reply:?}");
    }
}

/// How long after SIGTERM clients may still be accepted on a busy machine: 0.45 s in the process's own time.
const LISTENER_CLOSED_WITHIN: Duration = Duration::from_millis(1500);

/// How long after SIGTERM the front still accepts clients that come one at a time.
fn accepts_after_sigterm() -> Duration {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    warm_up(&cluster, &front);
    // It has to stay for a while after its listener is closed.
    let _hangs = client_with_a_hanging_order(&cluster, &front, 60_000);
    front.signal("-TERM");
    let told = Instant::now();
    wait_until(|| TcpStream::connect(front.at).is_err());
    let accepted_for = told.elapsed();
    assert!(front.end().0);
    accepted_for
}

/// Guards against an acceptor that closes its listener only when nobody has come for a moment.
#[test]
fn listener_is_closed_at_the_end_although_clients_keep_coming() {
    let accepted_for: Vec<Duration> = std::thread::scope(|scope| {
        let fronts: Vec<_> = (0..8).map(|_| scope.spawn(accepts_after_sigterm)).collect();
        fronts.into_iter().map(|front| front.join().expect("the front ends")).collect()
    });
    assert!(accepted_for.iter().all(|&time| time < LISTENER_CLOSED_WITHIN), "{accepted_for:?}");
}
