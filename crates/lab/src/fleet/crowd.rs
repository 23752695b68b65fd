//! Idle clients: they connect, send little or nothing, and stay until the front closes the connection.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The maximum number of connections kept open.
const MAX_OPEN: usize = 400;
/// Clients that connect in one burst.
const BURST: u32 = 120;
/// The timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A client's startup packet, and the start of a statement.
const STARTUP_PACKET: &[u8] = &[0, 0, 0, 9, 0, 3, 0, 0, 0];
const PARTIAL_STATEMENT: &[u8] = b"Q\0\0\0\x40/* id=";

/// A running crowd of idle clients; stops when dropped.
pub struct Crowd(Arc<AtomicBool>);

impl Crowd {
    /// Connects this many clients per second, in bursts. They alternate between clients that only connect, that also
    /// send the startup packet, and that also send the start of a statement.
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
    // No client waits for a reply, so a whole burst arrives at once even while the process is stopped.
    match number % 3 {
        0 => {}
        1 => stream.write_all(STARTUP_PACKET).ok()?,
        _ => stream.write_all(&[STARTUP_PACKET, PARTIAL_STATEMENT].concat()).ok()?,
    }
    Some(stream)
}
