//! Calls between the two processes of an upgrade fail as Linux documents it, through a preloaded library: no client and
//! nothing that was put in force is lost by it.

use juniperdock_fault_controls::{Controls, preload};
use juniperdock_test_support::{Client, signal, txn, wait_until};
use runtime_cluster::{Cluster, TELLING_TIME};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

mod runtime_cluster;

const EVERY_CALL: u32 = 65_536;
const SEEDS: std::ops::Range<u64> = 1..7;
const COMMANDS: usize = 40;
const IDLE_CLIENTS: usize = 24;

/// A front and the file that makes its calls fail.
struct Play {
    cluster: Cluster,
    faults: PathBuf,
}

impl Play {
    fn start() -> Play {
        static PLAYS: AtomicU32 = AtomicU32::new(0);
        let (process, play) = (std::process::id(), PLAYS.fetch_add(1, Ordering::Relaxed));
        let faults = std::env::temp_dir().join(format!("jd-upgrade-calls-{process}-{play}"));
        Controls::default().write(&faults).expect("a file");
        let environment = preload(&faults).expect("the library");
        Play { cluster: Cluster::start_with_environment("", &environment), faults }
    }

    /// One call in four fails, or is interrupted.
    fn fail_calls(&self, seed: u64) {
        let (fails, interrupted) = (EVERY_CALL / 8, EVERY_CALL / 8);
        Controls { seed, fails, interrupted, ..Controls::default() }.write(&self.faults).expect("a file");
    }

    fn end_faults(&self) {
        Controls::default().write(&self.faults).expect("a file");
    }

    fn idle_clients(&self) -> Vec<Client> {
        let mut clients: Vec<Client> = (0..IDLE_CLIENTS).map(|_| self.cluster.front.client()).collect();
        clients.iter_mut().for_each(|client| assert_served(client, 0));
        clients
    }
}

impl Drop for Play {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.faults);
    }
}

fn assert_served(client: &mut Client, seed: u64) {
    let reply = client.query(&txn("lookup", 3000, "idle"));
    assert!(reply.value.is_some(), "seed {seed}: {reply:?}");
}

/// Guards against a command that fails, or is carried out without an answer, as one read is interrupted.
#[test]
fn commands_are_answered_while_calls_fail() {
    let play = Play::start();
    play.fail_calls(1);
    (0..COMMANDS).for_each(|_| assert!(play.cluster.front.status_number("pid").is_some()));
}

/// Guards against an upgrade that a passing fault ends, and clients whose connections end by it.
#[test]
fn failing_calls_neither_end_an_upgrade_nor_lose_its_clients() {
    for seed in SEEDS {
        let play = Play::start();
        let mut clients = play.idle_clients();
        play.fail_calls(seed);
        play.cluster.front.upgrade();
        std::thread::sleep(TELLING_TIME);
        play.end_faults();
        clients.iter_mut().for_each(|client| assert_served(client, seed));
    }
}

/// Guards against a client in transit that is lost as the new process fails to read once, and against a reload that is.
#[test]
fn failing_calls_behind_the_commit_lose_no_client_and_no_reload() {
    for seed in SEEDS {
        let play = Play::start();
        let (cluster, front) = (&play.cluster, &play.cluster.front);
        let old = front.serving_pid();
        let mut busy: Vec<Client> = (0..4).map(|_| cluster.long_write()).collect();
        let new = front.upgrade();
        play.fail_calls(seed);
        cluster.configure(1);
        signal(&old, "-HUP");
        wait_until(|| front.status_number("reloads") >= Some(1));
        cluster.members[0].close_hanging();
        std::thread::sleep(TELLING_TIME);
        play.end_faults();
        for client in &mut busy {
            assert!(client.reply().code.is_some(), "seed {seed}: a final answer");
            assert_served(client, seed);
        }
        assert_eq!(front.serving_pid(), new, "seed {seed}");
        cluster.assert_discovery_is(1);
    }
}
