//! Clients that are on their way from the old process of an upgrade to the new one, while the new one is stopped
//! (`docs/incidents/state-put-in-force.md`).

use juniperdock_hot_restart::message;
use juniperdock_test_support::{Client, TEST_TIMEOUT, has_ended, signal, txn, wait_until};
use old_process::{OldProcess, Played};
use runtime_cluster::{Cluster, TELLING_TIME};
use std::io::Read;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::time::Duration;

mod old_process;
mod runtime_cluster;

/// Fewer than a socket between the two processes has room for.
const CLIENTS: usize = 100;
/// Longer than a served client waits for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

/// An upgrade after its commit: the new process is stopped, and the old one has answered the last requests of clients that
/// now follow.
struct StoppedUpgrade {
    cluster: Cluster,
    old: String,
    new: String,
    clients: Vec<Client>,
}

impl StoppedUpgrade {
    /// Each client sends a write that the old process has in hand.
    fn start(clients: usize) -> StoppedUpgrade {
        let cluster = Cluster::start();
        let old = cluster.front.serving_pid();
        // Writes wait for a primary.
        cluster.members[0].set_primary(false);
        let mut clients: Vec<Client> = (0..clients).map(|_| cluster.front.client()).collect();
        clients.iter_mut().for_each(|client| client.send(&txn("order", 20_000, "transit")));
        wait_until(|| cluster.front.status_number("waiting") == Some(clients.len() as u64));
        let new = cluster.front.upgrade();
        let mut upgrade = StoppedUpgrade { cluster, old, new, clients };
        signal(&upgrade.new, "-STOP");
        upgrade.cluster.members[0].set_primary(true);
        for client in &mut upgrade.clients {
            assert_eq!(client.reply().last, b'Z', "the old process answers what it has in hand");
        }
        upgrade
    }
}

impl Drop for StoppedUpgrade {
    fn drop(&mut self) {
        signal(&self.new, "-KILL");
    }
}

/// Guards against a new process that can't tell the old one of a reload, as that has ended, and reads nothing more of what
/// the old one has sent.
#[test]
fn clients_in_transit_are_served_when_the_old_process_is_killed() {
    let mut upgrade = StoppedUpgrade::start(CLIENTS);
    std::thread::sleep(TELLING_TIME);
    // The new process reloads while it reads the clients.
    signal(&upgrade.new, "-HUP");
    signal(&upgrade.old, "-KILL");
    wait_until(|| has_ended(&upgrade.old));
    signal(&upgrade.new, "-CONT");
    let is_served = |client: &mut Client| {
        client.stream.set_read_timeout(Some(CLIENT_TIMEOUT)).expect("a timeout");
        client.query(&txn("lookup", 3000, "later")).last == b'Z'
    };
    assert!(upgrade.clients.iter_mut().all(is_served), "a client in transit is lost");
}

/// No test by itself: where the test below says so, this process is an old process that sends something that is no message
/// and a client behind it.
#[test]
fn play_old_process_that_sends_nonsense() {
    let Some(played) = Played::begin(env!("CARGO_BIN_EXE_juniperdock")) else { return };
    let (client, _) = played.listener.accept().expect("a client");
    let client: OwnedFd = client.into();
    played.upgrade();
    played.send(b"nonsense", None);
    played.send(&message::client(1, true, false), Some(&client));
    drop(client);
    std::thread::sleep(4 * TEST_TIMEOUT);
}

/// Guards against clients that are neither served nor closed, as the new process gives the socket up and keeps it open.
#[test]
fn clients_in_transit_are_closed_when_the_new_process_gives_the_socket_up() {
    let cluster = Cluster::start();
    let config = cluster.front.front.path("config.json");
    let old_process =
        OldProcess::start("play_old_process_that_sends_nonsense", cluster.agents[0].at, &config);
    let mut client = None;
    wait_until(|| {
        client = TcpStream::connect(old_process.at).ok();
        client.is_some()
    });
    let mut client = client.expect("a client");
    client.set_read_timeout(Some(CLIENT_TIMEOUT)).expect("a timeout");
    let read = client.read(&mut [0; 16]);
    assert!(matches!(read, Ok(0)), "it is closed: {read:?}");
}
