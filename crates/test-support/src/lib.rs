//! Stand-ins for what lies round a front, on loopback: members that say what a story tells them to say, byte by
//! byte, the list's agent, the front itself, and clients. Each is a few threads. None is a model: members with
//! work, a log and elections are the emulator's, put on sockets by the laboratory.

pub mod agent;
pub mod client;
pub mod front;
pub mod member;
pub mod wire;

pub use agent::{Agent, Entry, WATCH, list};
pub use client::{Client, Reply, txn};
pub use front::Front;
pub use member::{Does, Member};
pub use wire::{error, message, row};

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime};

/// Long enough for any machine; no story waits this long unless it fails.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Milliseconds since 1970.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("after 1970").as_millis()
}

/// An address on loopback that no other test of this run uses: another port once a run has used up its part.
pub fn address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let ip = [127, 16 + (pid / 250 % 200) as u8, (1 + pid % 250) as u8, (1 + n % 250) as u8];
    SocketAddr::from((ip, 6543 + (n / 250) as u16))
}
