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
const PATIENCE: Duration = Duration::from_millis(300);

/// What a client opens with, and the beginning of a statement.
const OPENING: &[u8] = &[0, 0, 0, 9, 0, 3, 0, 0, 0];
const BEGUN: &[u8] = b"Q\0\0\0\x40/* id=";

/// Goes on until it is dropped.
pub struct Crowd(Arc<AtomicBool>);

impl Crowd {
    /// So many a second, in bursts, and in turn: one that only connects, one that is welcomed, one that begins a
    /// statement.
    pub fn start(at: SocketAddr, per_second: f64) -> Crowd {
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        std::thread::spawn(move || come(at, per_second.max(1.0), &ends));
        Crowd(over)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn come(at: SocketAddr, per_second: f64, over: &AtomicBool) {
    let (begun, mut open, mut came) = (Instant::now(), Vec::new(), 0u32);
    while !over.load(Ordering::Relaxed) {
        let due = Duration::from_secs_f64(f64::from(came - came % BURST) / per_second);
        std::thread::sleep(due.saturating_sub(begun.elapsed()).min(Duration::from_millis(50)));
        if begun.elapsed() < due {
            continue;
        }
        open.extend(one(at, came));
        came += 1;
        if open.len() > MAX_OPEN {
            open.remove(0);
        }
    }
}

fn one(at: SocketAddr, number: u32) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE).ok()?;
    // Nobody waits for a word: all of a burst come at once, also to a process that stands still.
    match number % 3 {
        0 => {}
        1 => stream.write_all(OPENING).ok()?,
        _ => stream.write_all(&[OPENING, BEGUN].concat()).ok()?,
    }
    Some(stream)
}
