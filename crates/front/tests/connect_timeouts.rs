//! Connections to servers that never come up: their time-outs must not starve anything else.

use cluster::{PROGRAM, wait_until};
use juniperdock_test_support::{Front, address, list, txn};
use socket2::{Domain, SockAddr, Socket, Type};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

mod cluster;

/// Delays that may have another cause: a machine that is itself stopped for a moment looks the same to the process.
const FOREIGN_DELAYS: u64 = 2;

/// A server with a full backlog: further connects stay pending, as if the server did not answer.
struct SilentServer {
    at: SocketAddr,
    /// The listener, and the connections that fill its backlog.
    _sockets: Vec<Socket>,
}

impl SilentServer {
    fn start() -> SilentServer {
        let at = address();
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&at.into()).expect("a free address");
        listener.listen(0).expect("a listener");
        let mut sockets = vec![listener];
        for _ in 0..4 {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            filler.set_nonblocking(true).expect("a socket");
            // Those beyond the backlog stay pending.
            let _ = filler.connect(&SockAddr::from(at));
            sockets.push(filler);
        }
        let server = SilentServer { at, _sockets: sockets };
        wait_until(|| server.is_silent());
        server
    }

    fn is_silent(&self) -> bool {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.connect_timeout(&self.at.into(), Duration::from_millis(50)).is_err()
    }
}

/// The value of a counter in what a process prints at its end.
fn counter(text: &str, name: &str) -> u64 {
    let value = text.split_ascii_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no {name} in {text}"))
}

#[test]
fn the_worker_does_not_sleep_on_ready_work_after_a_connect_that_times_out() {
    assert!(Path::new("/proc/thread-self/schedstat").exists(), "the kernel keeps no account of threads");
    let servers: Vec<SilentServer> = (0..3).map(|_| SilentServer::start()).collect();
    let names = ["m-0", "m-1", "m-2"];
    let entries: Vec<_> = names.iter().zip(&servers).map(|(name, server)| (*name, server.at, "up")).collect();
    // Connects to discovery time out, too, with another limit than those to servers.
    let discovery = SilentServer::start();
    let config = Front::config(&list(1, true, &entries), 1024);
    let front = Front::start_with_config(PROGRAM, address(), discovery.at, &config, None);
    // While a write waits for its primary, members are probed.
    let mut client = front.client();
    client.send(&txn("order", 30_000, "waits"));
    let begun = Instant::now();
    wait_until(|| begun.elapsed() > Duration::from_secs(8));
    drop(client);
    front.signal("-TERM");
    let (well, text) = front.end();
    assert!(well, "{text}");
    let (failed, slept) = (counter(&text, "probes_failed"), counter(&text, "worker_idle_delays"));
    assert!(failed >= 20, "only {failed} connects timed out: {text}");
    assert!(slept <= FOREIGN_DELAYS, "the worker slept {slept} times on ready work: {text}");
}
