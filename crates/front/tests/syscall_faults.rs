//! System calls fail for a while, through a preloaded library: no passing fault may end a connection or the process.

use cluster::{PROGRAM, TestCluster, wait_until};
use juniperdock_fault_controls::{Controls, preload};
use juniperdock_test_support::{Client, Front, TEST_TIMEOUT, address, has_ended, message, txn};
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

mod cluster;

/// Every call that these faults can affect fails.
const EVERY_CALL: u32 = 65_536;
/// One call in eight.
const ONE_IN_EIGHT: u32 = EVERY_CALL / 8;

/// A supervisor may kill a process this long after SIGTERM.
const KILLED_AFTER: Duration = Duration::from_millis(3700);

struct Faults(PathBuf);

impl Faults {
    fn new(name: &str, controls: Controls) -> Faults {
        let faults = Faults(std::env::temp_dir().join(format!("jd-calls-{name}-{}", std::process::id())));
        faults.set(controls);
        faults
    }

    fn set(&self, controls: Controls) {
        controls.write(&self.0).expect("a file");
    }

    fn front(&self, cluster: &TestCluster) -> Front {
        self.front_with(cluster, None)
    }

    /// Starts a front with the text of an operators' file.
    fn front_with(&self, cluster: &TestCluster, charter: Option<&str>) -> Front {
        let environment = preload(&self.0).expect("the library");
        let config = Front::config(&cluster.server_list, 1024);
        Front::start_with_environment(PROGRAM, address(), cluster.agent.at, &config, charter, &environment)
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn front_that_starts_without_sockets_serves_once_there_are() {
    let cluster = TestCluster::new();
    let faults = Faults::new("start", Controls { fails: EVERY_CALL, ..Controls::default() });
    let front = faults.front(&cluster);
    let started = Instant::now();
    wait_until(|| started.elapsed() > Duration::from_millis(600));
    faults.set(Controls::default());
    wait_until(|| front.client().query(&txn("order", 3000, "w")).value.is_some());
}

#[test]
fn failed_wait_for_a_signal_does_not_end_the_process() {
    for seed in 1..9 {
        let cluster = TestCluster::new();
        let faults = Faults::new("signal", Controls { seed, fails: EVERY_CALL / 2, ..Controls::default() });
        let front = faults.front(&cluster);
        // The front waits for signals once it serves; every other read fails by then.
        wait_until(|| TcpStream::connect(front.at).is_ok());
        let serves = Instant::now();
        wait_until(|| serves.elapsed() > Duration::from_millis(100));
        faults.set(Controls::default());
        wait_until(|| front.client().query(&txn("order", 3000, "w")).value.is_some());
        front.signal("-TERM");
        assert!(front.end().0);
    }
}

/// Guards against a process that does not know of SIGTERM until the next signal, as the handler's wake-up failed: it would
/// be killed with requests in hand.
#[test]
fn signal_is_followed_although_its_wake_up_fails() {
    for seed in 1..5 {
        let cluster = TestCluster::new();
        let faults = Faults::new("wake-up", Controls { seed, ..Controls::default() });
        let front = faults.front(&cluster);
        wait_until(|| front.client().query(&txn("order", 3000, "w")).value.is_some());
        faults.set(Controls { seed, fails: EVERY_CALL - ONE_IN_EIGHT, ..Controls::default() });
        front.signal("-TERM");
        let terminated_at = Instant::now();
        while !has_ended(&front.id().to_string()) {
            assert!(terminated_at.elapsed() < KILLED_AFTER, "seed {seed}: it is killed");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn failing_disk_leaves_the_last_complete_snapshot() {
    let cluster = TestCluster::new();
    let faults = Faults::new("disk", Controls::default());
    let snapshot = std::env::temp_dir().join(format!("jd-calls-snapshot-{}", std::process::id()));
    let charter = format!("{{ snapshot: {{ path: {:?}, every_s: 1 }} }}", snapshot.display().to_string());
    let front = faults.front_with(&cluster, Some(&charter));
    wait_until(|| snapshot.exists());
    faults.set(Controls { disk: EVERY_CALL / 2, ..Controls::default() });
    // Five more snapshots are due; whichever of them is completed, the file is never partial.
    let fails = Instant::now();
    wait_until(|| {
        let shown = Command::new(PROGRAM).args(["snapshot", "show"]).arg(&snapshot).output();
        assert!(shown.expect("it runs").status.success(), "a snapshot that is not whole");
        fails.elapsed() > Duration::from_secs(5)
    });
    faults.set(Controls::default());
    front.signal("-TERM");
    let (well, text) = front.end();
    assert!(well && text.contains("no snapshot is written"), "the disk failed, and it was said: {text}");
    let _ = std::fs::remove_file(&snapshot);
}

#[test]
fn shortages_do_not_end_client_connections() {
    let cluster = TestCluster::new();
    let faults = Faults::new("short", Controls::default());
    let front = faults.front(&cluster);
    wait_until(|| front.client().query(&txn("order", 3000, "w")).value.is_some());
    let mut client = front.client();
    faults.set(Controls {
        fails: ONE_IN_EIGHT,
        short: ONE_IN_EIGHT,
        interrupted: ONE_IN_EIGHT,
        ..Controls::default()
    });
    for i in 0..60 {
        let reply = client.query(&txn("lookup", 4000, &format!("r{i}")));
        assert_eq!(reply.last, b'Z', "a whole answer on the same connection: {reply:?}");
    }
    faults.set(Controls::default());
    front.signal("-TERM");
    let (well, text) = front.end();
    assert!(well && text.contains("violations=0"), "{text}");
}

/// Statements of 64 KiB that are read and written in parts of a few bytes to some thousand arrive as they were sent,
/// each once and without bytes of another; so do their answers.
#[test]
fn long_statements_with_short_reads_and_writes_arrive_whole() {
    let cluster = TestCluster::new();
    let faults = Faults::new("parts", Controls::default());
    let front = faults.front(&cluster);
    wait_until(|| front.client().query(&txn("order", 3000, "w")).value.is_some());
    cluster.members.iter().for_each(|member| member.seen.try_iter().for_each(drop));
    faults.set(Controls { short: EVERY_CALL, interrupted: ONE_IN_EIGHT, ..Controls::default() });
    let mut client = front.client();
    let long = format!("\\x{}", "9f03".repeat(16 << 10));
    for i in 0..6 {
        let statement = txn("order", 10_000, &format!("part{i}")).replace("\\x9f03", &long);
        let reply = client.query(&statement);
        assert!(reply.value.is_some() && reply.last == b'Z', "{:?} {:?}", reply.code, reply.detail);
    }
    faults.set(Controls::default());
    let seen: Vec<String> = cluster.members.iter().flat_map(|member| member.seen.try_iter()).collect();
    for i in 0..6 {
        let matching: Vec<&String> =
            seen.iter().filter(|seen| seen.contains(&format!("id=part{i},"))).collect();
        assert_eq!(matching.len(), 1, "statement {i} arrives once");
        assert!(matching[0].contains(&format!("'{long}') RETURNING blob")), "statement {i} is whole");
    }
    front.signal("-TERM");
    let (well, text) = front.end();
    assert!(well && text.contains("violations=0"), "{text}");
}

/// Well within the 0.45 s for which a process that ends still accepts clients.
const ACCEPT_TIME: Duration = Duration::from_millis(200);

#[test]
fn clients_that_come_while_the_process_ends_are_answered_despite_interrupted_calls() {
    let cluster = TestCluster::new();
    let faults = Faults::new("ends", Controls::default());
    let front = faults.front(&cluster);
    wait_until(|| front.client().query(&txn("lookup", 3000, "r")).value.is_some());
    faults.set(Controls { interrupted: EVERY_CALL / 2, ..Controls::default() });
    front.signal("-TERM");
    let sigterm_sent = Instant::now();
    let mut clients = Vec::new();
    while sigterm_sent.elapsed() < ACCEPT_TIME && clients.len() < 12 {
        let mut stream = TcpStream::connect(front.at).expect("it still takes clients in");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time");
        let statement = format!("{}\0", txn("lookup", 3000, &format!("c{}", clients.len())));
        let opening = [0, 0, 0, 9, 0, 3, 0, 0, 0];
        let sent = [&opening[..], &message(b'Q', statement.as_bytes())].concat();
        stream.write_all(&sent).expect("it reads");
        clients.push(Client { stream });
    }
    for client in &mut clients {
        assert_eq!(client.reply().last, b'Z', "welcomed");
        let reply = client.reply();
        assert!(reply.value.is_some() || reply.code.is_some(), "{reply:?}");
    }
    let (well, text) = front.end();
    assert!(well && text.contains("violations=0"), "{text}");
}
