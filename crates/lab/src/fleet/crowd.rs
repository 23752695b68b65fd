//! Clients that come, say little or nothing, and stay until the front ends them.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// No more than so many are kept open at once.
const MAX_OPEN: usize = 400;
/// So many come at once.
const BURST: u32 = 120;
/// How long one waits to be let in.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// What a client opens with, and the beginning of a statement.
const STARTUP_PACKET: &[u8] = &[0, 0, 0, 9, 0, 3, 0, 0, 0];
const PARTIAL_STATEMENT: &[u8] = b"Q\0\0\0\x40/* id=";

/// Goes on until it is dropped.
pub struct Crowd(Arc<AtomicBool>);

impl Crowd {
    /// So many a second, in bursts, and in turn: one that only connects, one that is welcomed, one that begins a
    /// statement.
    pub fn start(address: SocketAddr, per_second: f64) -> Crowd {
        let stopped = Arc::new(AtomicBool::new(false));
        let stop_flag = stopped.clone();
        std::thread::spawn(move || run(address, per_second.max(1.0), &stop_flag));
        Crowd(stopped)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn run(address: SocketAddr, per_second: f64, stopped: &AtomicBool) {
    let (begun, mut open, mut started) = (Instant::now(), Vec::new(), 0u32);
    while !stopped.load(Ordering::Relaxed) {
        let due = Duration::from_secs_f64(f64::from(started - started % BURST) / per_second);
        std::thread::sleep(due.saturating_sub(begun.elapsed()).min(Duration::from_millis(50)));
        if begun.elapsed() < due {
            continue;
        }
        open.extend(connect(address, started));
        started += 1;
        if open.len() > MAX_OPEN {
            open.remove(0);
        }
    }
}

fn connect(address: SocketAddr, number: u32) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    // Nobody waits for a word: all of a burst come at once, also to a process that stands still.
    match number % 3 {
        0 => {}
        1 => stream.write_all(STARTUP_PACKET).ok()?,
        _ => stream.write_all(&[STARTUP_PACKET, PARTIAL_STATEMENT].concat()).ok()?,
    }
    Some(stream)
}
