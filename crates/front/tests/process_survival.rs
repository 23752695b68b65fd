//! The process goes on where the operating system refuses it something: no room for a line of the log, no memory for the
//! stack of a new actor.

use cluster::{PROGRAM, TestCluster, wait_until};
use juniperdock_fault_controls::{Controls, preload};
use juniperdock_test_support::{Client, Front, TEST_TIMEOUT, address, txn};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

mod cluster;

/// Every call that a fault can affect fails.
const EVERY_CALL: u32 = 65_536;

/// A front whose standard error this test chooses. Dropping it kills the process.
struct Process {
    child: Child,
    front: std::net::SocketAddr,
    dir: PathBuf,
}

impl Process {
    fn start(cluster: &TestCluster, level: &str, stderr: Stdio) -> Process {
        let front = address();
        let dir = std::env::temp_dir().join(format!("jd-survival-{}-{}", front.ip(), front.port()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let config = dir.join("config.json");
        std::fs::write(&config, Front::config(&cluster.server_list, 1024)).expect("a file");
        let child = Command::new(PROGRAM)
            .env("GW_LISTEN", front.to_string())
            .env("GW_DISCOVERY", cluster.agent.at.to_string())
            .env("GW_CONFIG", config)
            .env("JUNIPERDOCK_LOG", level)
            .stderr(stderr)
            .spawn()
            .expect("it starts");
        Process { child, front, dir }
    }

    fn serves(&self, id: &str) -> bool {
        let client = Client::open_within(self.front, Duration::from_secs(2));
        client.is_some_and(|mut client| client.query(&txn("order", 3000, id)).value.is_some())
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    /// Waits for the end after SIGTERM; whether it was a success.
    fn ends_well(&mut self) -> bool {
        self.signal("-TERM");
        let started = Instant::now();
        while started.elapsed() < TEST_TIMEOUT {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

#[test]
fn log_that_nobody_reads_any_more_does_not_end_the_process() {
    let cluster = TestCluster::new();
    let mut process = Process::start(&cluster, "debug", Stdio::piped());
    wait_until(|| process.serves("before"));
    // From now on each write to standard error fails (EPIPE).
    drop(process.child.stderr.take());
    for i in 0..20 {
        wait_until(|| process.serves(&format!("after{i}")));
        process.signal("-USR1");
    }
    assert!(process.ends_well());
}

#[test]
fn log_on_a_full_disk_does_not_end_the_process() {
    let cluster = TestCluster::new();
    // Each write fails with ENOSPC.
    let full = std::fs::OpenOptions::new().write(true).open("/dev/full").expect("/dev/full");
    let mut process = Process::start(&cluster, "debug", full.into());
    for i in 0..20 {
        wait_until(|| process.serves(&format!("order{i}")));
        process.signal("-USR1");
    }
    assert!(process.ends_well());
}

#[test]
fn standard_error_that_blocks_does_not_keep_the_process_from_ending() {
    let cluster = TestCluster::new();
    let mut process = Process::start(&cluster, "debug", Stdio::piped());
    // Nobody reads it: once its pipe is full, each write blocks.
    wait_until(|| process.serves("first"));
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        wait_until(|| process.serves("more"));
        process.signal("-USR1");
    }
    assert!(process.ends_well());
}

#[test]
fn front_serves_on_after_no_stack_could_be_had_for_new_actors() {
    let cluster = TestCluster::new();
    let path = std::env::temp_dir().join(format!("jd-stacks-{}", std::process::id()));
    let set = |stacks: u32| {
        Controls { stacks, ..Controls::default() }.write(&path).expect("a file");
    };
    set(0);
    let environment = preload(&path).expect("the library");
    let config = Front::config(&cluster.server_list, 1024);
    let front =
        Front::start_with_environment(PROGRAM, address(), cluster.agent.at, &config, None, &environment);
    wait_until(|| front.client().query(&txn("order", 3000, "before")).value.is_some());
    let mut early = front.client();
    set(EVERY_CALL);
    // More than the stacks that are kept for reuse; who gets none is closed.
    let crowd: Vec<_> = (0..100).filter_map(|_| std::net::TcpStream::connect(front.at).ok()).collect();
    // A connection to each server is needed again.
    cluster.members.iter().for_each(|member| member.close_connections());
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(800) {
        let reply = early.query(&txn("order", 200, "during"));
        assert!(reply.value.is_some() || reply.code.is_some(), "answered: {reply:?}");
    }
    set(0);
    drop(crowd);
    wait_until(|| early.query(&txn("order", 3000, "after")).value.is_some());
    wait_until(|| {
        let client = Client::open_within(front.at, Duration::from_secs(1));
        client.is_some_and(|mut client| client.query(&txn("lookup", 3000, "new")).value.is_some())
    });
    front.signal("-TERM");
    let (well, text) = front.end();
    let _ = std::fs::remove_file(&path);
    assert!(well && text.contains("violations=0") && text.contains(" panics=0 "), "{text}");
}
