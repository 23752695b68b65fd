//! Discovery fails in several ways and comes back, while descriptors are short and while fronts start.

use cluster::{PROGRAM, TestCluster, wait_until};
use juniperdock_test_support::{Client, Front, TEST_TIMEOUT, address, txn};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

mod cluster;

/// The time after which a change has to be in force once discovery has it and is reachable.
const UPDATE_LIMIT: Duration = Duration::from_secs(6);

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Accepts the next watch, and answers it with these bytes.
fn answer_watch(listener: &TcpListener, answer: &str) -> TcpStream {
    let (mut stream, _) = listener.accept().expect("a watch");
    let mut request = [0; 4096];
    let _ = stream.read(&mut request);
    stream.write_all(answer.as_bytes()).expect("it is read");
    stream
}

fn list(cluster: &TestCluster, version: u64, states: [&str; 3]) -> String {
    let list = TestCluster::list(&cluster.members, version, states);
    format!("{HEAD}{:x}\r\n{list}\n\r\n", list.len() + 1)
}

/// Asserts that only the primary serves reads within the limit, and that it stays so.
fn assert_drains_in_force(cluster: &TestCluster, front: &Front, since: Instant) {
    let mut client = front.client();
    wait_until(|| {
        cluster.members.iter().for_each(|member| member.seen.try_iter().for_each(drop));
        let _ = client.query(&txn("lookup", 20_000, "r"));
        cluster.members[0].seen.try_iter().count() > 0
    });
    assert!(since.elapsed() < UPDATE_LIMIT, "{:?}", since.elapsed());
    for _ in 0..20 {
        assert!(client.query(&txn("lookup", 20_000, "r")).value.is_some());
    }
    assert!(cluster.received_nothing(1) && cluster.received_nothing(2));
}

/// Binds an address whose listener has been closed. A process that another test is starting may still hold the
/// inherited descriptor of that listener, so this tries until the kernel gives the address.
fn bind_again(at: SocketAddr) -> TcpListener {
    let begun = Instant::now();
    loop {
        match TcpListener::bind(at) {
            Err(e) if e.kind() == ErrorKind::AddrInUse && begun.elapsed() < TEST_TIMEOUT => {
                std::thread::sleep(Duration::from_millis(1));
            }
            bound => return bound.expect("its address"),
        }
    }
}

/// How calls fail while discovery is down.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Refused,
    Reset,
    Error,
    Silent,
    EndlessHead,
}

/// How long discovery is down: long enough for back-off between calls to grow, if there were any.
const DOWN: Duration = Duration::from_secs(4);

/// Lets calls fail for a while; no connection is left open afterwards.
fn fail_calls(at: SocketAddr, how: Failure) {
    let begun = Instant::now();
    if matches!(how, Failure::Refused) {
        std::thread::sleep(DOWN);
        return;
    }
    let listener = bind_again(at);
    listener.set_nonblocking(true).expect("a listener");
    let mut open = Vec::new();
    while begun.elapsed() < DOWN {
        let Ok((mut stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(1));
            continue;
        };
        match how {
            // Closed with an unread request, which resets the connection.
            Failure::Reset => std::thread::sleep(Duration::from_millis(1)),
            Failure::Error => drop(stream.write_all(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")),
            Failure::EndlessHead => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nX: ");
                open.push(stream);
            }
            Failure::Silent | Failure::Refused => open.push(stream),
        }
    }
}

#[test]
fn list_change_is_in_force_in_time_after_any_failure_of_discovery() {
    for how in [Failure::Refused, Failure::Reset, Failure::Error, Failure::Silent, Failure::EndlessHead] {
        let cluster = TestCluster::new();
        let at = address();
        let listener = TcpListener::bind(at).expect("a free address");
        let front = Front::start(PROGRAM, at, &cluster.server_list, 1024);
        let watch = answer_watch(&listener, &list(&cluster, 1, ["up"; 3]));
        wait_until(|| front.client().query(&txn("order", 20_000, "first")).value.is_some());
        drop((watch, listener));
        fail_calls(at, how);
        let listener = bind_again(at);
        let back = Instant::now();
        let _watch = answer_watch(&listener, &list(&cluster, 2, ["up", "draining", "draining"]));
        assert_drains_in_force(&cluster, &front, back);
    }
}

/// Opens silent connections, twice as many as the front has descriptors.
fn fill_descriptors(front: &Front, sockets: usize) -> Vec<TcpStream> {
    let connect = || TcpStream::connect_timeout(&front.at, Duration::from_millis(200)).ok();
    (0..2 * sockets).filter_map(|_| connect()).collect()
}

#[test]
fn watch_and_servers_are_reached_while_idle_clients_fill_the_descriptors() {
    const SOCKETS: usize = 64;
    let cluster = TestCluster::new();
    let at = address();
    let listener = TcpListener::bind(at).expect("a free address");
    let front = Front::start(PROGRAM, at, &cluster.server_list, SOCKETS as u32);
    let watch = answer_watch(&listener, &list(&cluster, 1, ["up"; 3]));
    wait_until(|| front.client().query(&txn("order", 20_000, "first")).value.is_some());
    drop((watch, listener));
    // All of the front's connections to its servers end, too.
    cluster.members.iter().for_each(juniperdock_test_support::Member::close_connections);
    let mut idle = fill_descriptors(&front, SOCKETS);
    let listener = bind_again(at);
    let back = Instant::now();
    let _watch = answer_watch(&listener, &list(&cluster, 2, ["up", "draining", "draining"]));
    assert!(back.elapsed() < UPDATE_LIMIT, "{:?}", back.elapsed());
    // Some of them stayed to the end: their slots are still taken.
    idle.retain_mut(|stream| {
        stream.set_nonblocking(true).expect("a stream");
        matches!(stream.read(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    });
    assert!(idle.len() >= SOCKETS / 8, "{}", idle.len());
    // A client that sends a request finds a slot, and its server is reached.
    let max_wait = Duration::from_millis(500);
    wait_until(|| {
        Client::open_within(front.at, max_wait)
            .is_some_and(|mut c| c.query(&txn("order", 2_000, "now")).value.is_some())
    });
    assert!(front.descriptors() <= SOCKETS);
}

#[test]
fn nine_of_ten_fronts_that_are_killed_at_once_are_ready_in_time_without_discovery() {
    let cluster = TestCluster::new();
    // It accepts connections and never answers.
    let silent = TcpListener::bind(address()).expect("a free address");
    let agent = silent.local_addr().expect("an address");
    // Most of the servers are down, too.
    cluster.members[1].set_answers_new(false);
    cluster.members[2].set_answers_new(false);
    let start = |at| Front::start_at(PROGRAM, at, agent, &cluster.server_list, 1024, None);
    let fronts: Vec<Front> = (0..10).map(|_| start(address())).collect();
    fronts.iter().for_each(|front| drop(front.client()));
    let places: Vec<SocketAddr> = fronts.iter().map(|front| front.at).collect();
    fronts.iter().for_each(|front| front.signal("-KILL"));
    drop(fronts);
    let begun = Instant::now();
    let fronts: Vec<Front> = places.into_iter().map(start).collect();
    let mut in_time = 0;
    for front in &fronts {
        wait_until(|| Client::open_within(front.at, TEST_TIMEOUT).is_some());
        in_time += usize::from(begun.elapsed() < Duration::from_secs(10));
    }
    assert!(in_time >= 9, "{in_time} of 10");
    // Ready means more than accepting: writes are served.
    assert!(fronts.iter().all(|front| front.client().query(&txn("order", 20_000, "w")).value.is_some()));
}

#[test]
fn overloaded_discovery_is_called_less_often_and_in_time_once_it_recovers() {
    let cluster = TestCluster::new();
    let listener = TcpListener::bind(address()).expect("a free address");
    let at = listener.local_addr().expect("an address");
    let front = Front::start(PROGRAM, at, &cluster.server_list, 1024);
    let begun = Instant::now();
    let mut calls = 0;
    while begun.elapsed() < Duration::from_secs(10) {
        drop(answer_watch(&listener, "HTTP/1.1 503 overloaded\r\nContent-Length: 0\r\n\r\n"));
        calls += 1;
    }
    // Several calls a second, as after other failures, would be eighty.
    assert!((3..=10).contains(&calls), "{calls}");
    let back = Instant::now();
    let _watch = answer_watch(&listener, &list(&cluster, 2, ["up", "draining", "draining"]));
    assert_drains_in_force(&cluster, &front, back);
}
