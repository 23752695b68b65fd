//! Reads that must see their session's last write, where clients tell its position: that is compared with servers'
//! positions as it was told, whatever this process's clock says.

use cluster::{PROGRAM, TestCluster, wait_until};
use juniperdock_test_support::{Front, address, txn, unix_ms};
use std::time::{Duration, Instant};

mod cluster;

fn session_read(ms: u32, label: &str, after: u128) -> String {
    txn("lookup", ms, label).replace(",k=", &format!(",after={after},k="))
}

/// Guards against a read that misses its own session's write as the position that its client tells lies in the future of
/// this process's clock: it was cut to the present.
#[test]
fn session_read_waits_for_a_position_that_is_ahead_of_this_process() {
    const AHEAD: Duration = Duration::from_millis(900);
    let cluster = TestCluster::new();
    let config = Front::config(&cluster.server_list, 1024).replace("\"recent\"", "\"own_writes\"");
    let front = Front::start_with_config(PROGRAM, address(), cluster.agent.at, &config, None);
    let mut client = front.client();
    wait_until(|| client.query(&session_read(4000, "warm-up", unix_ms() - 1000)).value.is_some());
    // No primary is known any more, which could serve it at once.
    cluster.members[0].set_primary(false);
    wait_until(|| client.query(&txn("order", 500, "no-primary")).value.is_none());
    let (asked_at, after) = (Instant::now(), unix_ms() + AHEAD.as_millis());
    let reply = client.query(&session_read(4000, "read", after));
    let took = asked_at.elapsed();
    assert!(took >= AHEAD, "a server whose data ends {:?} too early was asked: {reply:?}", AHEAD - took);
    assert!(reply.value.is_some(), "{reply:?}");
}
