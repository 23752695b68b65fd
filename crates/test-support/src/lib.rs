//! Test doubles for the processes around a front, on loopback: members with scripted responses, the discovery
//! service, a handle on the front's own process, and clients. Each runs on a few threads. None of them models a
//! database: members with work, a log and elections belong to the emulator, which the laboratory puts on sockets.

pub mod agent;
pub mod client;
pub mod front;
pub mod member;
pub mod operated;
pub mod replicated;
pub mod wire;

pub use agent::{Agent, Entry, WATCH, list};
pub use client::{Client, Reply, txn};
pub use front::Front;
pub use member::{Behaviour, Member};
pub use operated::{OperatedFront, WrappedProgram, has_ended, signal, wait_until};
pub use replicated::{FROZEN, ReplicatedGroup, session_read, session_write};
pub use wire::{error, message, row};

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime};

/// Time limit for anything that a test waits for. It is long enough for a slow machine, so only a failing test
/// waits this long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Milliseconds since 1970.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("after 1970").as_millis()
}

/// Returns a loopback address that no other test of this run uses. The IP address is derived from the process id and
/// a counter; the port moves on by one after each 250 addresses of a process.
pub fn address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let ip = [127, 16 + (pid / 250 % 200) as u8, (1 + pid % 250) as u8, (1 + n % 250) as u8];
    SocketAddr::from((ip, 6543 + (n / 250) as u16))
}
