//! Races on real sockets: an input arrives between two steps of the front. Each race is held open by the other side,
//! or prepared while the front is stopped; tests wait for what they need to see, in the operating system's table of
//! sockets where nothing else shows it.

use cluster::{PROGRAM, TestCluster, wait_until};
use juniperdock_test_support::wire::{StatementHandler, StatementReply, parameter, ready, serve};
use juniperdock_test_support::{Behaviour, Client, Front, TEST_TIMEOUT, address, message, row, txn, unix_ms};
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

mod cluster;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Closes,
    Resets,
    EndsItsSending,
}

const DEPARTURES: [Departure; 3] = [Departure::Closes, Departure::Resets, Departure::EndsItsSending];

/// One socket of the operating system's table, as one end sees it.
struct Row {
    local: SocketAddr,
    remote: SocketAddr,
    state: u8,
    unread: u32,
}

const ESTABLISHED: u8 = 1;
const SYN_SENT: u8 = 2;
const TIME_WAIT: u8 = 6;
const CLOSE_WAIT: u8 = 8;
const LISTEN: u8 = 10;

fn socket_table() -> Vec<Row> {
    let text = std::fs::read_to_string("/proc/net/tcp").expect("the machine's sockets");
    let at = |text: &str| {
        let (ip, port) = text.split_once(':')?;
        let ip = u32::from_str_radix(ip, 16).ok()?.to_le_bytes();
        Some(SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?)))
    };
    let row = |line: &str| {
        let parts: Vec<&str> = line.split_whitespace().collect();
        let state = u8::from_str_radix(parts.get(3)?, 16).ok()?;
        let unread = u32::from_str_radix(parts.get(4)?.split_once(':')?.1, 16).ok()?;
        Some(Row { local: at(parts[1])?, remote: at(parts[2])?, state, unread })
    };
    text.lines().filter_map(row).collect()
}

/// The front's end of a client's connection.
fn front_socket_of(front: &Front, client: SocketAddr) -> Option<Row> {
    socket_table().into_iter().find(|row| row.local == front.at && row.remote == client)
}

/// Like `TestCluster::start_front`, with a connect time-out that is long enough for each test.
fn start_patient_front(cluster: &TestCluster) -> Front {
    let config = Front::config(&cluster.server_list, 1024)
        .replace("\"ConnectTimeout\":250.0", "\"ConnectTimeout\":20000.0");
    Front::start_with_config(PROGRAM, address(), cluster.agent.at, &config, None)
}

/// The client leaves; the returned stream is still open if only the sending side was shut down.
fn leave(client: Client, departure: Departure) -> Option<TcpStream> {
    match departure {
        Departure::Closes => None,
        Departure::Resets => {
            SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).expect("a reset");
            None
        }
        Departure::EndsItsSending => {
            client.stream.shutdown(Shutdown::Write).expect("an end");
            Some(client.stream)
        }
    }
}

/// The client leaves, and the front has run since.
fn leave_noticed(front: &Front, client: Client, departure: Departure) -> Option<TcpStream> {
    let at = client.stream.local_addr().expect("an address");
    let kept = leave(client, departure);
    wait_until(|| {
        front_socket_of(front, at).is_none_or(|row| !matches!(row.state, ESTABLISHED | CLOSE_WAIT))
    });
    for _ in 0..3 {
        assert_eq!(front.client().query("SET a = 1").last, b'Z');
    }
    kept
}

/// Waits until an order is served: the front knows its members then, and no statement is left in their logs. On a
/// busy machine, connections may come up too late for the first one.
fn warm_up(cluster: &TestCluster, front: &Front) {
    wait_until(|| front.client().query(&txn("order", 20_000, "first")).value.is_some());
    cluster.members.iter().for_each(|member| member.seen.try_iter().for_each(drop));
}

/// Asserts that an order of another client is served.
fn assert_next_order_is_served(front: &Front) {
    let mut other = front.client();
    wait_until(|| other.query(&txn("order", 20_000, "next")).value.is_some());
}

/// Whether any member has received this statement by now.
fn was_sent(cluster: &TestCluster, id: &str) -> bool {
    (0..cluster.members.len()).filter(|&member| was_sent_to(cluster, member, id)).count() > 0
}

fn was_sent_to(cluster: &TestCluster, member: usize, id: &str) -> bool {
    let id = format!("id={id},");
    cluster.members[member].seen.try_iter().filter(|text| text.contains(&id)).count() > 0
}

fn order(front: &Front, id: &str) -> Client {
    let mut client = front.client();
    client.send(&txn("order", 60_000, id));
    client
}

/// Returns once the front has handled everything that was sent before.
fn sync_with_front(front: &Front) {
    assert_eq!(front.client().query("SET a = 1").last, b'Z');
}

#[test]
fn request_of_a_client_that_leaves_while_there_is_no_primary_is_not_sent() {
    for departure in DEPARTURES {
        let cluster = TestCluster::new();
        cluster.members[0].set_primary(false);
        let front = start_patient_front(&cluster);
        // On a busy machine a report may be too old when it is read, and is asked for again.
        wait_until(|| front.client().query(&txn("lookup", 20_000, "r")).value.is_some());
        let client = order(&front, "gone");
        sync_with_front(&front);
        let _kept = leave_noticed(&front, client, departure);
        cluster.members[2].set_primary(true);
        assert_next_order_is_served(&front);
        assert!(!was_sent(&cluster, "gone"), "{departure:?}");
    }
}

#[test]
fn request_of_a_client_that_leaves_while_servers_are_full_is_not_sent() {
    for departure in DEPARTURES {
        let cluster = TestCluster::new();
        let front = start_patient_front(&cluster);
        warm_up(&cluster, &front);
        cluster.members[0].set_behaviour(Behaviour::Hang);
        let hang: Vec<Client> = (0..4).map(|i| order(&front, &format!("hangs{i}"))).collect();
        (0..4).for_each(|_| drop(cluster.next_txn(0)));
        let client = order(&front, "gone");
        sync_with_front(&front);
        assert!(cluster.received_nothing(0), "it waits for room");
        let _kept = leave_noticed(&front, client, departure);
        cluster.members[0].set_behaviour(Behaviour::Serve);
        cluster.members[0].close_connections();
        assert_next_order_is_served(&front);
        assert!(!was_sent(&cluster, "gone"), "{departure:?}");
        drop(hang);
    }
}

/// A client with an order for which a connection to the primary is being made: the primary has accepted it and sends
/// nothing.
fn order_during_handshake(cluster: &TestCluster, front: &Front, id: &str) -> Client {
    warm_up(cluster, front);
    cluster.members[0].set_answers_new(false);
    cluster.members[0].close_connections();
    // No idle connection is left.
    wait_until(|| {
        !socket_table().iter().any(|row| row.remote == cluster.members[0].at && row.state == ESTABLISHED)
    });
    let client = order(front, id);
    wait_until(|| cluster.members[0].connections() > 0);
    client
}

#[test]
fn request_of_a_client_that_leaves_during_the_handshake_is_not_sent() {
    for departure in DEPARTURES {
        let cluster = TestCluster::new();
        let front = start_patient_front(&cluster);
        let client = order_during_handshake(&cluster, &front, "gone");
        let _kept = leave_noticed(&front, client, departure);
        cluster.members[0].set_answers_new(true);
        assert_next_order_is_served(&front);
        assert!(!was_sent(&cluster, "gone"), "{departure:?}");
    }
}

#[test]
fn request_of_a_client_that_leaves_after_an_unwritten_failure_is_not_sent() {
    for departure in DEPARTURES {
        let cluster = TestCluster::new();
        let front = start_patient_front(&cluster);
        let client = order_during_handshake(&cluster, &front, "gone");
        // The connection ends before the member is ready: the txn is queued again, and no primary is known.
        cluster.members.iter().for_each(|member| member.set_answers_new(false));
        cluster.members[0].close_connections();
        wait_until(|| cluster.members[0].connections() > 0);
        let _kept = leave_noticed(&front, client, departure);
        cluster.members.iter().for_each(|member| member.set_answers_new(true));
        assert_next_order_is_served(&front);
        assert!(!was_sent(&cluster, "gone"), "{departure:?}");
    }
}

#[test]
fn request_of_a_client_that_leaves_after_its_connection_ended_is_not_sent() {
    for departure in DEPARTURES {
        let cluster = TestCluster::new();
        let front = start_patient_front(&cluster);
        let mut client = front.client();
        assert!(client.query(&txn("order", 20_000, "first")).value.is_some());
        cluster.next_txn(0);
        // The front finds the end of the idle connection and the next txn at the same time.
        front.signal("-STOP");
        wait_until(|| front.stopped());
        cluster.members[0].set_answers_new(false);
        cluster.members[0].close_connections();
        client.send(&txn("order", 60_000, "gone"));
        wait_until(|| {
            front_socket_of(&front, client.stream.local_addr().unwrap()).is_some_and(|row| row.unread > 0)
        });
        front.signal("-CONT");
        wait_until(|| cluster.members[0].connections() > 0);
        let _kept = leave_noticed(&front, client, departure);
        cluster.members[0].set_answers_new(true);
        assert_next_order_is_served(&front);
        assert!(!was_sent(&cluster, "gone"), "{departure:?}");
    }
}

/// A primary that completes no connect until `opens` is called.
struct SlowAcceptor {
    at: SocketAddr,
    listener: TcpListener,
    fill: Vec<TcpStream>,
}

impl SlowAcceptor {
    fn new() -> SlowAcceptor {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let at = address();
        socket.bind(&at.into()).and_then(|()| socket.listen(0)).expect("an address");
        let listener = TcpListener::from(socket);
        let mut fill = vec![TcpStream::connect(at).expect("the one that has room")];
        // The operating system may accept one more than the backlog.
        while let Ok(more) = TcpStream::connect_timeout(&at, Duration::from_millis(300)) {
            fill.push(more);
        }
        SlowAcceptor { at, listener, fill }
    }

    /// From now on connects succeed when they are next retried.
    fn opens(self) -> Receiver<String> {
        let (sender, seen) = channel();
        std::thread::spawn(move || {
            drop(self.fill);
            let store = std::sync::Arc::new(Primary(Mutex::new(sender)));
            for stream in self.listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || serve(stream, store.as_ref()));
            }
        });
        seen
    }
}

struct Primary(Mutex<Sender<String>>);

impl StatementHandler for Primary {
    fn welcome(&self, _: &TcpStream) -> bool {
        true
    }

    fn statement(&self, text: &str) -> StatementReply {
        if text == "SHOW server_load" {
            let report = format!("x0={:.3},x1=1,q=0,busy=0.1", unix_ms() as f64 / 1000.0);
            return StatementReply::Answer([row(report.as_bytes()), ready()].concat());
        }
        let _ = self.0.lock().expect("no panic there").send(text.to_owned());
        StatementReply::Answer([row(text.as_bytes()), parameter("node_role", "leader"), ready()].concat())
    }
}

#[test]
fn request_of_a_client_that_leaves_during_a_slow_connect_is_not_sent() {
    for departure in DEPARTURES {
        let cluster = TestCluster::new();
        let front = start_patient_front(&cluster);
        warm_up(&cluster, &front);
        // The primary is at another address from now on.
        let slow = SlowAcceptor::new();
        let moved = cluster.server_list.replace(&cluster.members[0].at.to_string(), &slow.at.to_string());
        cluster.agent.publish(moved.replace("\"version\":1", "\"version\":2"));
        let at = slow.at;
        let coming = || socket_table().into_iter().any(|row| row.remote == at && row.state == SYN_SENT);
        let mut client = front.client();
        // Once the list is in force, orders go there and wait.
        let mut tries = 0;
        wait_until(|| {
            tries += 1;
            client = order(&front, &format!("gone{tries}"));
            let begun = std::time::Instant::now();
            while !coming() && begun.elapsed() < Duration::from_millis(50) {}
            coming()
        });
        let _kept = leave_noticed(&front, client, departure);
        let seen = slow.opens();
        assert_next_order_is_served(&front);
        let next = seen.recv_timeout(TEST_TIMEOUT).expect("an order");
        assert!(next.contains("id=next,"), "{departure:?}: {next}");
    }
}

#[test]
fn pipelined_request_of_a_client_that_leaves_is_not_sent() {
    for departure in DEPARTURES {
        let cluster = TestCluster::new();
        let front = start_patient_front(&cluster);
        warm_up(&cluster, &front);
        cluster.members[0].behave_once(Behaviour::Hang);
        let mut client = order(&front, "ahead");
        client.send(&txn("order", 60_000, "gone"));
        assert!(cluster.next_txn(0).contains("id=ahead,"));
        let _kept = leave_noticed(&front, client, departure);
        cluster.members[0].close_connections();
        assert_next_order_is_served(&front);
        assert!(!was_sent(&cluster, "gone"), "{departure:?}");
    }
}

#[test]
fn client_that_leaves_after_sending_more_than_is_buffered_is_noticed() {
    for departure in DEPARTURES {
        let cluster = TestCluster::new();
        let front = start_patient_front(&cluster);
        warm_up(&cluster, &front);
        cluster.members[0].behave_once(Behaviour::Hang);
        let mut client = order(&front, "ahead");
        assert!(cluster.next_txn(0).contains("id=ahead,"));
        // Far more than the front and the operating system buffer.
        let long = txn("order", 60_000, "gone").replace("\\x9f03", &format!("\\x{}", "9f".repeat(32 << 10)));
        client.stream.set_write_timeout(Some(TEST_TIMEOUT)).expect("a limit");
        for _ in 0..300 {
            client.send(&long);
        }
        let _kept = leave_noticed(&front, client, departure);
        front.signal("-TERM");
        let (well, text) = front.end();
        assert!(
            well && !text.contains(" left=0 ") && text.contains(" guard_acts=0 "),
            "{departure:?}: {text}"
        );
        cluster.members[0].close_connections();
        assert!(!was_sent(&cluster, "gone"), "{departure:?}");
    }
}

#[test]
fn request_of_a_client_that_leaves_while_the_front_is_stopped_is_not_sent() {
    for departure in DEPARTURES {
        let cluster = TestCluster::new();
        let front = start_patient_front(&cluster);
        let mut client = front.client();
        assert!(client.query(&txn("order", 20_000, "first")).value.is_some());
        let at = client.stream.local_addr().expect("an address");
        front.signal("-STOP");
        wait_until(|| front.stopped());
        client.send(&txn("order", 60_000, "gone"));
        wait_until(|| front_socket_of(&front, at).is_some_and(|row| row.unread > 0));
        let _kept = leave(client, departure);
        wait_until(|| front_socket_of(&front, at).is_none_or(|row| row.state != ESTABLISHED));
        front.signal("-CONT");
        assert_next_order_is_served(&front);
        assert!(!was_sent(&cluster, "gone"), "{departure:?}");
    }
}

#[test]
fn end_of_a_client_is_seen_before_a_welcome_that_came_while_the_front_was_stopped() {
    for (departure, welcome_first) in
        DEPARTURES.into_iter().flat_map(|departure| [(departure, false), (departure, true)])
    {
        let cluster = TestCluster::new();
        let front = start_patient_front(&cluster);
        let client = order_during_handshake(&cluster, &front, "gone");
        let at = client.stream.local_addr().expect("an address");
        front.signal("-STOP");
        wait_until(|| front.stopped());
        // Longer than one turn of the front takes.
        let stopped = std::time::Instant::now();
        let lies = || socket_table().iter().any(|row| row.remote == cluster.members[0].at && row.unread > 0);
        let welcome = || {
            cluster.members[0].set_answers_new(true);
            wait_until(lies);
        };
        let mut kept = None;
        let mut client = Some(client);
        for step in 0..2 {
            if (step == 0) == welcome_first {
                welcome();
            } else if let Some(client) = client.take() {
                kept = leave(client, departure);
                wait_until(|| front_socket_of(&front, at).is_none_or(|row| row.state != ESTABLISHED));
            }
        }
        wait_until(|| stopped.elapsed() > Duration::from_millis(100));
        front.signal("-CONT");
        assert_next_order_is_served(&front);
        assert!(!was_sent(&cluster, "gone"), "{departure:?}, welcome first: {welcome_first}");
        drop(kept);
    }
}

#[test]
fn removed_member_is_still_probed_where_removal_is_advice() {
    let cluster = TestCluster::new();
    cluster.members[0].set_primary(false);
    let config =
        Front::config(&cluster.server_list, 1024).replace("\"WarmUp\"", "\"GoneIsAdvice\":true,\"WarmUp\"");
    let front = Front::start_with_config(PROGRAM, address(), cluster.agent.at, &config, None);
    let mut client = front.client();
    assert!(client.query(&txn("lookup", 20_000, "r")).value.is_some());
    // Its actor is told to end and, right after that, to probe: its idle connection is closed by then.
    wait_until(|| cluster.members[0].connections() > 0);
    for version in 2..12 {
        let gone = cluster.server_list.replace("\"version\":1", &format!("\"version\":{version}"));
        let at = format!("\"addr\":\"{}\",", cluster.members[0].at);
        let gone = gone.replace(&at, &format!("{at}\"role\":\"leader\","));
        cluster.agent.publish(gone.replacen(
            "\"up\"",
            if version % 2 == 0 { "\"removed\"" } else { "\"up\"" },
            1,
        ));
        assert!(client.query(&txn("lookup", 20_000, "r")).value.is_some());
    }
    cluster.members[0].set_primary(true);
    assert_next_order_is_served(&front);
}

#[test]
fn client_that_connected_before_the_end_is_answered_and_later_ones_are_not_accepted() {
    for _ in 0..5 {
        let cluster = TestCluster::new();
        let front = cluster.start_front();
        warm_up(&cluster, &front);
        front.signal("-TERM");
        front.signal("-STOP");
        wait_until(|| front.stopped());
        // The client connects and sends its request; the time for which the ending front accepts clients is over when
        // the front continues.
        let stopped = std::time::Instant::now();
        let at = front.at;
        let request = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(at).expect("the machine takes it in");
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time");
            let query = message(b'Q', format!("{}\0", txn("order", 20_000, "last")).as_bytes());
            stream.write_all(&[&[0, 0, 0, 9, 0, 3, 0, 0, 0][..], &query].concat()).expect("a query");
            let mut text = Vec::new();
            let _ = stream.read_to_end(&mut text);
            String::from_utf8_lossy(&text).into_owned()
        });
        wait_until(|| stopped.elapsed() > Duration::from_millis(700));
        front.signal("-CONT");
        let text = request.join().expect("an end");
        assert!(text.contains("id=last,"), "{text:?}");
        assert!(front.end().0);
    }
}

#[test]
fn last_client_has_a_while_for_its_first_txn_when_the_front_ends() {
    let served = || {
        let cluster = TestCluster::new();
        let front = cluster.start_front();
        warm_up(&cluster, &front);
        front.signal("-TERM");
        front.signal("-STOP");
        let stopped = std::time::Instant::now();
        while !front.stopped() {
            if stopped.elapsed() > Duration::from_secs(3) {
                return false; // It had ended before the machine came to stop it.
            }
        }
        let stopped = std::time::Instant::now();
        let at = front.at;
        let request = std::thread::spawn(move || {
            // Its startup is answered by a front that already closes its connections.
            let mut client = Client::open(at)?;
            client.try_send(&txn("order", 20_000, "last")).then(|| client.reply().value.is_some())
        });
        wait_until(|| stopped.elapsed() > Duration::from_millis(700));
        front.signal("-CONT");
        request.join().expect("an end") == Some(true)
    };
    // A busy machine may exceed that time now and then.
    assert!((0..10).any(|_| served()));
}

#[test]
fn last_answer_is_not_lost_to_a_statement_that_crosses_the_close() {
    let cluster = TestCluster::new();
    let front = start_patient_front(&cluster);
    warm_up(&cluster, &front);
    let mut client = front.client();
    client.send(&txn("order", 20_000, "last"));
    let at = client.stream.local_addr().expect("an address");
    let end = || socket_table().into_iter().find(|row| row.local == at && row.remote == front.at);
    wait_until(|| end().is_some_and(|row| row.unread > 0));
    let idle = |row: Row| row.unread > 0 && row.state == CLOSE_WAIT;
    front.signal("-TERM");
    wait_until(|| end().is_some_and(idle));
    // The client has read neither its answer nor the end behind it, and sends the next statement.
    client.send(&txn("order", 20_000, "crosses"));
    client.send(&txn("order", 20_000, "crosses"));
    assert!(client.reply().value.is_some());
    assert_eq!(client.stream.read(&mut [0]).map_err(|e| e.kind()), Ok(0), "an end, no reset");
    drop(client);
    assert!(front.end().0);
    assert!(!was_sent(&cluster, "crosses"));
}

#[test]
fn unresponsive_discovery_address_is_retried_within_the_update_limit() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    cluster.agent.requests.recv_timeout(TEST_TIMEOUT).expect("a watch");
    let watched =
        || socket_table().iter().any(|row| row.remote == cluster.agent.at && row.state == ESTABLISHED);
    wait_until(watched);
    let slow = SlowAcceptor::new();
    let (mut tried, at) = (BTreeSet::new(), slow.at);
    front.reconfigure(&format!("{{\"discovery\":\"{at}\"}}"));
    // The old watch is silent from now on: the front ends it before the 6 s are over.
    while watched() {
        tried.extend(
            socket_table()
                .iter()
                .filter(|row| row.remote == at && row.state == SYN_SENT)
                .map(|row| row.local),
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(tried.len() > 1, "{tried:?}");
}

#[test]
fn closed_connections_leave_no_stacks_behind() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    for i in 0..300 {
        let mut client = front.client();
        assert!(client.query(&txn("lookup", 20_000, "r")).value.is_some());
        if i % 3 == 0 {
            cluster.members.iter().for_each(|member| member.close_connections());
        }
    }
    // Those of its own actors, and a few that are free.
    assert!((1..100).contains(&front.stacks(64 << 10)), "{}", front.stacks(64 << 10));
}

#[test]
fn client_that_sends_without_pause_does_not_starve_others() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    assert!(front.client().query(&txn("lookup", 20_000, "r")).value.is_some());
    let flood = front.client();
    let (mut writer, mut reader) = (flood.stream.try_clone().expect("a copy"), flood.stream);
    let said = message(b'Q', b"SET a = 1\0").repeat(4096);
    let writer = std::thread::spawn(move || while writer.write_all(&said).is_ok() {});
    let stream = reader.try_clone().expect("a copy");
    let reader = std::thread::spawn(move || {
        let mut piece = vec![0; 1 << 16];
        while reader.read(&mut piece).is_ok_and(|n| n > 0) {}
    });
    let mut other = front.client();
    for i in 0..20 {
        assert!(other.query(&txn("order", 20_000, &format!("w{i}"))).value.is_some());
    }
    stream.shutdown(Shutdown::Both).expect("an end");
    writer.join().and(reader.join()).expect("no panic");
}

#[test]
fn endless_answer_does_not_starve_others() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    warm_up(&cluster, &front);
    // In place of a replica, a server that sends notices without an end.
    let listener = TcpListener::bind(address()).expect("a free address");
    let talks = cluster
        .server_list
        .replace(&cluster.members[1].at.to_string(), &listener.local_addr().unwrap().to_string());
    let (sender, said) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let sender = sender.clone();
            std::thread::spawn(move || {
                let welcome = [message(b'R', &[0; 4]), ready()].concat();
                let _ = stream.read(&mut [0; 512]).and_then(|_| stream.write_all(&welcome));
                let asked = stream.read(&mut [0; 4096]);
                let notice = message(b'N', b"SNOTICE\0C00000\0Mstill at it\0\0").repeat(4096);
                if asked.is_ok_and(|n| n > 0) {
                    let _ = sender.send(());
                    while stream.write_all(&notice).is_ok() {}
                }
            });
        }
    });
    cluster.agent.publish(talks.replace("\"version\":1", "\"version\":2"));
    let mut other = front.client();
    wait_until(|| {
        assert!(other.query(&txn("order", 20_000, "meanwhile")).value.is_some());
        said.try_recv().is_ok()
    });
    for i in 0..20 {
        assert!(other.query(&txn("order", 20_000, &format!("w{i}"))).value.is_some());
    }
}

const POSITION_RESOLUTION: Duration = Duration::from_millis(1);

#[test]
fn reports_that_come_with_answers_prove_data_where_nothing_may_be_asked() {
    let cluster = TestCluster::new();
    let config = Front::config(&cluster.server_list, 1024)
        .replace("\"MayProbe\":true", "\"MayProbe\":false")
        .replace("[300.0,", "[60000.0,")
        .replace("[\"recent\",\"update\",", "[\"recent\",\"loose\",");
    let front = Front::start_with_config(PROGRAM, address(), cluster.agent.at, &config, None);
    let mut client = front.client();
    // A position from before the start of the process proves nothing, and positions are whole milliseconds.
    let started = txn("lookup", 20_000, "started").replace("c=lookup", "c=mark");
    assert!(client.query(&started).value.is_some());
    std::thread::sleep(2 * POSITION_RESOLUTION);
    cluster.members.iter().for_each(|member| member.seen.try_iter().for_each(drop));
    // Loose reads go to replicas, whose answers report their positions.
    wait_until(|| {
        let report = format!("busy=0.1,x1=0,x0={:.3}", unix_ms() as f64 / 1000.0);
        for member in &cluster.members[1..] {
            member.set_behaviour(Behaviour::Send([row(b"a"), parameter("server_load", &report)].concat()));
        }
        let loose = txn("lookup", 20_000, "loose").replace("c=lookup", "c=mark");
        assert!(client.query(&loose).value.is_some());
        cluster.members[1].seen.try_iter().count() > 0
    });
    // A read with a bound on its age goes there too, because of that proof.
    wait_until(|| {
        let _ = client.query(&txn("lookup", 200, "proven"));
        was_sent_to(&cluster, 1, "proven")
    });
}

/// Like `TestCluster::start_front`, without permission to probe members.
fn start_front_without_probes(cluster: &TestCluster, more: impl Fn(String) -> String) -> Front {
    let config = Front::config(&cluster.server_list, 1024).replace("\"MayProbe\":true", "\"MayProbe\":false");
    Front::start_with_config(PROGRAM, address(), cluster.agent.at, &more(config), None)
}

/// The number of orders that a member has received by now.
fn orders(cluster: &TestCluster, member: usize) -> usize {
    cluster.members[member].seen.try_iter().filter(|text| text.contains("c=order,")).count()
}

#[test]
fn without_probes_a_write_finds_the_primary_and_a_new_one() {
    let cluster = TestCluster::new();
    cluster.members[0].set_primary(false);
    cluster.members[2].set_primary(true);
    let front = start_front_without_probes(&cluster, |config| config);
    let mut client = front.client();
    assert!(client.query(&txn("order", 20_000, "first")).value.is_some());
    let sent: Vec<usize> = (0..3).map(|member| orders(&cluster, member)).collect();
    assert!(sent[0] <= 1 && sent[1] <= 1 && sent[2] == 1, "each was asked once at most: {sent:?}");
    for _ in 0..5 {
        assert!(client.query(&txn("order", 20_000, "known")).value.is_some());
    }
    assert_eq!(
        (orders(&cluster, 0), orders(&cluster, 1), orders(&cluster, 2)),
        (0, 0, 5),
        "it is known by now"
    );
    // Another member takes over: the old primary refuses the next order untouched.
    cluster.members[2].set_primary(false);
    cluster.members[1].set_primary(true);
    assert!(client.query(&txn("order", 20_000, "after")).value.is_some());
    assert_eq!(orders(&cluster, 1), 1);
}

#[test]
fn without_probes_and_primary_a_write_is_declined_after_few_tries() {
    let cluster = TestCluster::new();
    cluster.members[0].set_primary(false);
    let front = start_front_without_probes(&cluster, |config| config);
    let mut client = front.client();
    let reply = client.query(&txn("order", 2_000, "none"));
    assert_eq!(reply.code.as_deref(), Some("53300"), "it never ran: {reply:?}");
    // Each member was asked at most every 250 ms, for the part of the request's time for which it may wait.
    let sent: usize = (0..3).map(|member| orders(&cluster, member)).sum();
    assert!((3..=12).contains(&sent), "{sent}");
    cluster.members[1].set_primary(true);
    assert_next_order_is_served(&front);
}

#[test]
fn write_of_a_client_that_leaves_while_it_searches_the_primary_is_not_sent() {
    for departure in DEPARTURES {
        let cluster = TestCluster::new();
        cluster.members[0].set_primary(false);
        let front = start_front_without_probes(&cluster, |config| config);
        let client = order(&front, "gone");
        // All members have refused it.
        wait_until(|| was_sent_to(&cluster, 0, "gone"));
        sync_with_front(&front);
        let _kept = leave_noticed(&front, client, departure);
        cluster.members.iter().for_each(|member| member.seen.try_iter().for_each(drop));
        cluster.members[2].set_primary(true);
        assert_next_order_is_served(&front);
        assert!(!was_sent(&cluster, "gone"), "{departure:?}");
    }
}

#[test]
fn retried_write_committed_before_the_front_started_binds_its_sessions_reads() {
    let cluster = TestCluster::new();
    let front = start_front_without_probes(&cluster, |config| {
        config
            .replace("\"SessionMarks\":\"client\"", "\"SessionMarks\":\"router\"")
            .replace("[\"recent\",\"update\",", "[\"own_writes\",\"update\",")
    });
    // The session's mark comes from a write through a front that has died since: the answer contains when that was
    // committed.
    let old = format!("{}", unix_ms() - 60_000);
    cluster.members[0].behave_once(Behaviour::Send([row(b"a"), parameter("replay_position", &old)].concat()));
    let mut client = front.client();
    assert!(client.query(&txn("mark", 20_000, "again")).value.is_some());
    // Nothing proves that the replicas have it.
    for i in 0..20 {
        assert!(client.query(&txn("lookup", 20_000, &format!("own{i}"))).value.is_some());
    }
    let read = |member: usize| cluster.members[member].seen.try_iter().any(|text| text.contains("c=lookup,"));
    assert!(read(0) && !read(1) && !read(2));
}

#[test]
fn unreadable_load_report_does_not_spoil_its_answer() {
    let loads: [&[u8]; 6] =
        [b"x0=soon,x1=1", b"util=,x0", b"=,=,=", b"x0=99999999999.0,x1=0", b"util=1e999", b"\xff\xfe"];
    for load in loads {
        let cluster = TestCluster::new();
        let front = start_front_without_probes(&cluster, |config| config);
        let parameter_body = [&b"server_load\0"[..], load, &[0]].concat();
        cluster.members[0]
            .set_behaviour(Behaviour::Send([row(b"whole"), message(b'S', &parameter_body)].concat()));
        let mut client = front.client();
        for i in 0..3 {
            let reply = client.query(&txn("order", 20_000, &format!("o{i}")));
            assert_eq!(reply.value.as_deref(), Some(&b"whole"[..]), "{load:?}: {reply:?}");
        }
        front.signal("-TERM");
        let (well, text) = front.end();
        assert!(well && text.contains(" ended_spoilt=0 "), "{load:?}: {text}");
    }
}

/// An agent that answers each watch with the next of the given texts; the last one goes for all that follow. A watch
/// stays open, and nothing more is sent.
struct ScriptedAgent {
    at: SocketAddr,
    asked: Receiver<String>,
}

impl ScriptedAgent {
    fn start(answers: Vec<String>) -> ScriptedAgent {
        let listener = TcpListener::bind(address()).expect("a free address");
        let (at, (sender, asked)) = (listener.local_addr().expect("an address"), channel());
        std::thread::spawn(move || {
            let mut open = Vec::new();
            for (i, mut stream) in listener.incoming().flatten().enumerate() {
                let mut request = [0; 4096];
                let n = stream.read(&mut request).unwrap_or(0);
                let _ = sender
                    .send(String::from_utf8_lossy(&request[..n]).lines().next().unwrap_or("").to_owned());
                let _ = stream.write_all(answers[i.min(answers.len() - 1)].as_bytes());
                open.push(stream);
            }
        });
        ScriptedAgent { at, asked }
    }
}

/// The head of a response, and one list in one chunk.
fn watch_response(list: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n", list.len() + 1)
}

#[test]
fn reopened_watch_without_a_list_is_replaced_sooner_than_one_that_sent_a_list() {
    let cluster = TestCluster::new();
    let drains = TestCluster::list(&cluster.members, 9, ["up", "draining", "draining"]);
    let cut = watch_response(&drains);
    // The first watch falls silent. The next one sends nothing, or only the beginning of a list.
    for next in [String::new(), cut[..cut.len() / 2].to_owned()] {
        let agent = ScriptedAgent::start(vec![watch_response(&cluster.server_list), next, cut.clone()]);
        let front = Front::start(PROGRAM, agent.at, &cluster.server_list, 1024);
        warm_up(&cluster, &front);
        let mut client = front.client();
        agent.asked.recv_timeout(TEST_TIMEOUT).expect("a watch");
        let silent = std::time::Instant::now();
        (0..2).for_each(|_| drop(agent.asked.recv_timeout(TEST_TIMEOUT).expect("a watch")));
        // Takes 5.5 s (10.5 s with one time-out for all watches); a change has to be in force after 6 s.
        assert!(silent.elapsed() < Duration::from_secs(9), "{:?}", silent.elapsed());
        // The replicas drain: all requests go to the primary from now on.
        wait_until(|| {
            cluster.members.iter().for_each(|member| member.seen.try_iter().for_each(drop));
            let _ = client.query(&txn("lookup", 20_000, "r"));
            cluster.members[0].seen.try_iter().count() > 0
        });
        for _ in 0..20 {
            wait_until(|| client.query(&txn("lookup", 20_000, "r")).value.is_some());
        }
        assert!(cluster.received_nothing(1) && cluster.received_nothing(2));
    }
}

#[test]
fn last_of_two_new_discovery_addresses_counts_and_the_old_watch_until_then() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut client = front.client();
    assert!(client.query(&txn("lookup", 20_000, "r")).value.is_some());
    cluster.agent.requests.recv_timeout(TEST_TIMEOUT).expect("a watch");
    // The first new address accepts the watch and sends nothing; the second one is set while the front waits for it.
    let (mute, last) = (ScriptedAgent::start(vec![String::new()]), ScriptedAgent::start(vec![String::new()]));
    front.reconfigure(&format!("{{\"discovery\":\"{}\"}}", mute.at));
    mute.asked.recv_timeout(TEST_TIMEOUT).expect("a watch");
    front.reconfigure(&format!("{{\"discovery\":\"{}\"}}", last.at));
    last.asked.recv_timeout(TEST_TIMEOUT).expect("a watch");
    // No new watch has sent a list: the old one still counts.
    cluster.publish_list(2, ["draining", "up", "up"]);
    cluster.members[1].set_primary(true);
    let mut other = front.client();
    wait_until(|| {
        other.query(&txn("order", 2_000, "moved")).value.is_some() && was_sent_to(&cluster, 1, "moved")
    });
    // The next watch goes to the last address.
    last.asked.recv_timeout(TEST_TIMEOUT).expect("another watch");
    assert!(mute.asked.try_iter().count() <= 1, "at most one was on its way");
}

/// The resident memory of a process, in KB.
fn resident_kb(front: &Front) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", front.id())).expect("its memory");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a line");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Runs ten of each kind of misbehaving client, with a good one among them. All have left at the end.
fn run_misbehaving_clients(front: &Front, round: usize) {
    let raw = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(front.at).expect("a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time");
        let _ = stream.write_all(bytes);
        stream
    };
    let open = [0, 0, 0, 9, 0, 3, 0, 0, 0];
    let said = |text: &str| message(b'Q', format!("{text}\0").as_bytes());
    let mut kept = Vec::new();
    let mut good = front.client();
    for i in 0..10 {
        // Input that can't be parsed gets an error.
        for bytes in [&[0xff; 64][..], &[&open[..], b"Q\xff\xff\xff\xff"].concat()] {
            let mut text = Vec::new();
            let _ = raw(bytes).read_to_end(&mut text);
            assert!(text.windows(5).any(|at| at == b"08P01"), "{text:?}");
        }
        // A client that leaves within a message; one that sends hundreds of requests and leaves; one that never
        // reads.
        drop(raw(&[&open[..], b"Q\0\0\x10\0/* id="].concat()));
        drop(raw(&[&open[..], &said(&txn("order", 300, "much")).repeat(300)].concat()));
        kept.push(raw(&[&open[..], &said(&txn("lookup", 300, "unread")).repeat(300)].concat()));
        let half = raw(&[&open[..], &said(&txn("lookup", 300, "half"))].concat());
        half.shutdown(Shutdown::Write).expect("an end");
        kept.push(half);
        // An unknown txn type is an error; the session goes on.
        let unknown = good.query(&txn("order", 20_000, "x").replace("c=order", "c=none"));
        assert_eq!(unknown.code.as_deref(), Some("08P01"));
        let id = format!("good{round}x{i}");
        let reply = good.query(&txn("lookup", 20_000, &id));
        let value = String::from_utf8_lossy(&reply.value.clone().unwrap_or_default()).into_owned();
        assert!(value.contains(&format!("id={id},")), "its own answer: {reply:?}");
    }
}

#[test]
fn misbehaving_clients_leave_no_descriptor_slot_or_memory_behind() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    // What the operating system keeps of closed connections is not the front's.
    let ended = |row: &Row| matches!(row.state, TIME_WAIT | LISTEN);
    let clients = || socket_table().iter().filter(|row| row.local == front.at && !ended(row)).count();
    run_misbehaving_clients(&front, 0);
    wait_until(|| clients() == 0);
    let (descriptors_before, memory) = (front.descriptors(), resident_kb(&front));
    for round in 1..6 {
        run_misbehaving_clients(&front, round);
    }
    wait_until(|| clients() == 0);
    // There may be a connection to a member more or less.
    wait_until(|| front.descriptors() <= descriptors_before + 3);
    let grown = resident_kb(&front).saturating_sub(memory);
    assert!(grown < 4 << 10, "{grown} KB more than {memory}");
    assert!(front.client().query(&txn("order", 20_000, "after")).value.is_some());
    front.signal("-TERM");
    let (well, text) = front.end();
    assert!(well && text.contains(" panics=0 "), "{text}");
}

#[test]
fn read_during_its_sessions_write_sees_what_that_may_have_committed() {
    let cluster = TestCluster::new();
    let marks = |config: String| {
        config
            .replace("\"SessionMarks\":\"client\"", "\"SessionMarks\":\"router\"")
            .replace("[\"recent\",\"update\",", "[\"own_writes\",\"update\",")
    };
    let front = start_front_without_probes(&cluster, marks);
    let other = |id: &str| txn("order", 2_000, id).replace("'7f3a'", "'8a41'");
    wait_until(|| front.client().query(&other("first")).value.is_some() && was_sent_to(&cluster, 0, "first"));
    // The primary has the write, may have committed it, and does not answer.
    cluster.members[0].behave_once(Behaviour::Hang);
    let write = order(&front, "out");
    assert!(cluster.next_txn(0).contains("id=out,"));
    cluster.members[1..].iter().for_each(|member| member.seen.try_iter().for_each(drop));
    // While the primary does not answer, the session's reads are declined; none is answered from older data.
    let at_replicas = |id: &str| {
        let served = (0..20)
            .filter(|i| front.client().query(&txn("lookup", 500, &format!("{id}{i}"))).value.is_some());
        (served.count(), cluster.received_nothing(1) && cluster.received_nothing(2))
    };
    assert!(at_replicas("beside").1);
    // The answer never comes: the connection is reset. Another session's order finds the primary again.
    cluster.members[0].close_connections();
    let reply = Client { stream: write.stream }.reply();
    assert!(reply.value.is_none() && reply.code.as_deref() != Some("53300"), "it may have run: {reply:?}");
    wait_until(|| front.client().query(&other("next")).value.is_some());
    cluster.members[1..].iter().for_each(|member| member.seen.try_iter().for_each(drop));
    assert_eq!(at_replicas("after"), (20, true));
}
