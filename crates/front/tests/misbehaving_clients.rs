//! Clients that send too much, too little or too fast: the process stays within its memory limit, and other clients are
//! answered in time.

use cluster::{PROGRAM, TestCluster, wait_until};
use juniperdock_test_support::{Behaviour, Client, Front, TEST_TIMEOUT, address, message, row, txn};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

mod cluster;

/// The least memory and the usual one, in MB, and the descriptors, that `LATER.md` names for a front.
const LEAST_MEMORY_MB: u64 = 32;
const USUAL_MEMORY_MB: u64 = 192;
const DESCRIPTORS: u32 = 1024;

/// More clients than 1,024 descriptors leave room for.
const CLIENTS: usize = 530;
/// How long the clients go on.
const ATTACK_TIME: Duration = Duration::from_millis(2500);

const STARTUP: [u8; 9] = [0, 0, 0, 9, 0, 3, 0, 0, 0];

fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

/// An order with a value of this many bytes.
fn large_order(id: &str, bytes: usize) -> Vec<u8> {
    query(&txn("order", 3000, id).replace("\\x9f03", &format!("\\x{}", "9f".repeat(bytes))))
}

/// A statement whose comment has this many fields of two characters.
fn many_fields(count: usize) -> Vec<u8> {
    query(&txn("lookup", 3000, "fields").replace(",cluster", &format!("{},cluster", ",a=".repeat(count))))
}

fn start_front(cluster: &TestCluster, memory_mb: u64) -> Front {
    let config = Front::config(&cluster.server_list, DESCRIPTORS)
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"))
        .replace("\"HardLimit\":5000.0", "\"HardLimit\":3000.0");
    let front = Front::start_with_config(PROGRAM, address(), cluster.agent.at, &config, None);
    wait_until(|| front.client().query(&txn("order", 3000, "ready")).value.is_some());
    front
}

/// The peak of the resident memory, in KB; `None` once the process has ended.
fn peak_kb(front: &Front) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", front.id())).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}

/// A client that sends its bytes as the front takes them, and reads nothing.
struct Sender {
    stream: TcpStream,
    bytes: Vec<u8>,
    sent: usize,
}

impl Sender {
    fn connect(front: &Front, bytes: Vec<u8>) -> Option<Sender> {
        let stream = TcpStream::connect_timeout(&front.at, Duration::from_secs(2)).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(Sender { stream, bytes, sent: 0 })
    }

    /// Sends what the operating system takes; false once the connection has ended.
    fn push(&mut self) -> bool {
        while self.sent < self.bytes.len() {
            match self.stream.write(&self.bytes[self.sent..]) {
                Ok(sent) => self.sent += sent,
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }
}

/// Has hundreds of clients send these bytes at once, and go on for a while; asserts that the process stays within its
/// memory limit and that another client's small request is answered meanwhile.
fn assert_memory_holds(name: &str, memory_mb: u64, bytes: &dyn Fn(usize) -> Vec<u8>) {
    assert_memory_holds_with(name, memory_mb, None, bytes);
}

/// Like [`assert_memory_holds`]; members answer in the given way meanwhile.
fn assert_memory_holds_with(
    name: &str,
    memory_mb: u64,
    behaviour: Option<Behaviour>,
    bytes: &dyn Fn(usize) -> Vec<u8>,
) {
    let cluster = TestCluster::new();
    let front = start_front(&cluster, memory_mb);
    if let Some(behaviour) = behaviour {
        cluster.members.iter().for_each(|member| member.set_behaviour(behaviour.clone()));
    }
    let mut other = front.client();
    let mut senders: Vec<Sender> = (0..CLIENTS)
        .filter_map(|number| Sender::connect(&front, [&STARTUP[..], &bytes(number)].concat()))
        .collect();
    assert!(senders.len() > CLIENTS / 2, "{name}: {} connected", senders.len());
    let started = Instant::now();
    let mut answered = 0;
    while started.elapsed() < ATTACK_TIME {
        senders.retain_mut(Sender::push);
        let reply = other.query(&txn("order", 3000, "other"));
        answered += usize::from(reply.value.is_some() || reply.code.is_some());
        if reply.last != b'Z' {
            other = front.client();
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let peak = peak_kb(&front);
    assert!(
        peak.is_some_and(|peak| peak <= memory_mb << 10),
        "{name}: {peak:?} KB of {memory_mb} MB at the peak"
    );
    assert!(answered > 0, "{name}: nobody else was answered");
    drop(senders);
    cluster.members.iter().for_each(|member| member.set_behaviour(Behaviour::Serve));
    wait_until(|| front.client().query(&txn("order", 3000, "after")).value.is_some());
    front.signal("-TERM");
    let (well, text) = front.end();
    assert!(well && text.contains(" panics=0 ") && text.contains("violations=0"), "{name}: {text}");
}

fn assert_memory_holds_at_both_limits(name: &str, bytes: impl Fn(usize) -> Vec<u8>) {
    for memory_mb in [LEAST_MEMORY_MB, USUAL_MEMORY_MB] {
        assert_memory_holds(name, memory_mb, &bytes);
    }
}

#[test]
fn half_of_a_large_request_from_hundreds_of_clients_stays_within_the_memory_limit() {
    assert_memory_holds_at_both_limits("half a request", |_| {
        let mut bytes = large_order("half", 60_000);
        bytes.truncate(100_000);
        bytes
    });
}

#[test]
fn large_requests_from_hundreds_of_clients_stay_within_the_memory_limit() {
    assert_memory_holds_at_both_limits("large requests", |_| {
        (0..6).flat_map(|_| large_order("large", 60_000)).collect()
    });
}

#[test]
fn small_commands_behind_a_request_from_hundreds_of_clients_stay_within_the_memory_limit() {
    let first = |_| query(&txn("order", 3000, "first"));
    assert_memory_holds_at_both_limits("empty queries", |number| {
        [first(number), query("").repeat(12_000)].concat()
    });
    assert_memory_holds_at_both_limits("Sync", |number| {
        [first(number), message(b'S', b"").repeat(20_000)].concat()
    });
    assert_memory_holds_at_both_limits("requests", |_| {
        (0..1500).flat_map(|_| query(&txn("order", 3000, "small"))).collect()
    });
}

#[test]
fn comments_of_many_fields_from_hundreds_of_clients_stay_within_the_memory_limit() {
    assert_memory_holds_at_both_limits("fields", |_| many_fields(40_000).repeat(4));
}

#[test]
fn errors_about_long_values_from_hundreds_of_clients_stay_within_the_memory_limit() {
    let unknown = txn("order", 3000, "class").replace("c=order", &format!("c={}", "\x01".repeat(130_000)));
    assert_memory_holds_at_both_limits("unknown classes", |_| {
        [query(&txn("order", 3000, "first")), query(&unknown).repeat(4)].concat()
    });
}

#[test]
fn large_answers_to_clients_that_do_not_read_stay_within_the_memory_limit() {
    let requests = |_| (0..64).flat_map(|_| query(&txn("lookup", 3000, "much"))).collect::<Vec<u8>>();
    // A value of 64 KiB in hex digits is the longest that the protocol has; one that a server spoils may say that it is
    // longer, and never end.
    let whole = Behaviour::Send(row(&[b'9'; 128 << 10]));
    let mut begun = row(&[b'9'; 400 << 10]);
    begun.truncate(300 << 10);
    for memory_mb in [LEAST_MEMORY_MB, USUAL_MEMORY_MB] {
        assert_memory_holds_with("whole answers", memory_mb, Some(whole.clone()), &requests);
        assert_memory_holds_with(
            "endless answers",
            memory_mb,
            Some(Behaviour::Send(begun.clone())),
            &requests,
        );
    }
}

#[test]
fn large_request_for_which_there_is_no_memory_is_refused_and_its_session_goes_on() {
    let cluster = TestCluster::new();
    let front = start_front(&cluster, LEAST_MEMORY_MB);
    let mut client = front.client();
    // Clients that stay half way through large requests, each for 2 s at most, hold what there is for such.
    let half = |number: usize| {
        let mut bytes = large_order(&format!("half{number}"), 60_000);
        bytes.truncate(100_000);
        [&STARTUP[..], &bytes].concat()
    };
    let mut senders: Vec<Sender> =
        (0..150).filter_map(|number| Sender::connect(&front, half(number))).collect();
    let mut refused = 0;
    wait_until(|| {
        senders.retain_mut(Sender::push);
        client.stream.write_all(&large_order("large", 60_000)).expect("it is read to its end");
        let reply = client.reply();
        assert!(reply.value.is_some() || reply.code.as_deref() == Some("53300"), "{:?}", reply.code);
        refused += usize::from(reply.code.is_some());
        assert_eq!(client.query("SET a = 1").last, b'Z', "the session goes on");
        refused > 0
    });
    drop(senders);
    wait_until(|| {
        client.stream.write_all(&large_order("later", 60_000)).expect("it is read to its end");
        client.reply().value.is_some()
    });
}

/// Sends these bytes again and again over one connection, and reads all answers, until told to stop.
fn flood(front: &Front, bytes: &[u8], stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let Some(Client { mut stream }) = Client::open(front.at) else { continue };
        let Ok(mut reader) = stream.try_clone() else { continue };
        std::thread::scope(|scope| {
            scope.spawn(move || {
                let mut piece = vec![0; 1 << 16];
                while reader.read(&mut piece).is_ok_and(|n| n > 0) {}
            });
            let _ = stream.set_write_timeout(Some(Duration::from_millis(100)));
            while !stop.load(Ordering::Relaxed) {
                match stream.write_all(bytes) {
                    Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break,
                    _ => {}
                }
            }
            let _ = stream.shutdown(Shutdown::Both);
        });
    }
}

/// The time that another client's requests have, while one floods the front.
const OTHERS_DEADLINE_MS: u32 = 500;

fn assert_others_are_served_in_time(name: &str, bytes: &[u8]) {
    assert_others_are_served_beside(1, name, bytes);
}

/// Has this many clients send these bytes again and again; asserts that all requests of another are served in time.
fn assert_others_are_served_beside(clients: usize, name: &str, bytes: &[u8]) {
    let cluster = TestCluster::new();
    let front = start_front(&cluster, USUAL_MEMORY_MB);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        (0..clients).for_each(|_| drop(scope.spawn(|| flood(&front, bytes, &stop))));
        let mut other = front.client();
        other.stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time");
        let started = Instant::now();
        let mut late = Vec::new();
        while started.elapsed() < ATTACK_TIME {
            let asked = Instant::now();
            let reply = other.query(&txn("order", OTHERS_DEADLINE_MS, "other"));
            if reply.value.is_none() {
                late.push((reply, asked.elapsed()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        stop.store(true, Ordering::Relaxed);
        assert!(late.is_empty(), "{name}: {} not served in time, the first: {:?}", late.len(), late[0]);
    });
    assert!(peak_kb(&front).is_some_and(|peak| peak < USUAL_MEMORY_MB << 9), "{:?}", peak_kb(&front));
}

#[test]
fn client_that_sends_unsound_requests_at_full_speed_does_not_delay_others() {
    assert_others_are_served_in_time("many fields", &many_fields(40_000).repeat(8));
    assert_others_are_served_in_time("no comment", &query("SELECT 1").repeat(5000));
    assert_others_are_served_in_time("long and unsound", &query(&"x".repeat(130_000)).repeat(8));
}

#[test]
fn client_that_sends_requests_under_ever_new_names_at_full_speed_does_not_delay_others() {
    let requests =
        |text: &dyn Fn(usize) -> String| (0..5000).flat_map(|i| query(&text(i))).collect::<Vec<_>>();
    let id = |i: usize| format!("n{i}");
    assert_others_are_served_in_time(
        "sessions",
        &requests(&|i| txn("lookup", 2000, &id(i)).replace("'7f3a'", &format!("'{i:08x}'"))),
    );
    assert_others_are_served_in_time(
        "groups",
        &requests(&|i| txn("lookup", 2000, &id(i)).replace("cluster=2", &format!("cluster={}", 1000 + i))),
    );
    assert_others_are_served_in_time(
        "classes",
        &requests(&|i| txn("lookup", 2000, &id(i)).replace("c=lookup", &format!("c=class{i}"))),
    );
    assert_others_are_served_in_time("no time", &requests(&|i| txn("order", 1, &id(i))));
}

#[test]
fn many_clients_that_send_at_full_speed_do_not_delay_another() {
    let unknown_group = txn("lookup", 2000, "group").replace("cluster=2", "cluster=99");
    let requests = |text: &str| {
        let with_id = |i: usize| query(&text.replacen("id=", &format!("id=u{i}x"), 1));
        (0..3000).flat_map(with_id).collect::<Vec<_>>()
    };
    assert_others_are_served_beside(16, "unknown groups", &requests(&unknown_group));
    assert_others_are_served_beside(16, "no comment", &query("SELECT 1").repeat(5000));
    assert_others_are_served_beside(16, "no time", &requests(&txn("order", 0, "late")));
}
