//! The time since the start, and one thread that rings when a time has come. Coroutines never wait for a
//! time themselves: `may` would run them on its timer thread, beside the one worker.

use juniperdock_door::Origin;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant, SystemTime};

/// The worker is known to run at least this often.
pub const PULSE: Duration = Duration::from_millis(20);

/// When the worker last ran, and its latest standstill: its start, and how many beats its end lasts. Times in
/// microseconds.
#[derive(Default)]
struct Runs {
    last: AtomicU64,
    stood_from: AtomicU64,
    ending: AtomicU64,
    beaten: AtomicU64,
}

struct Alarm {
    at: Duration,
    ring: Box<dyn FnOnce() + Send>,
}

impl PartialEq for Alarm {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Alarm {}

impl PartialOrd for Alarm {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Alarm {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

#[derive(Clone)]
pub struct Clock {
    begun: Instant,
    /// Unix time at the start; positions are Unix times, so they count from 0.
    pub origin: Origin,
    alarms: Sender<Alarm>,
    runs: Arc<Runs>,
}

impl Clock {
    /// A clock that starts now, and what its thread is to run; that calls `beat` once a pulse.
    pub fn start() -> (Clock, impl FnOnce(&dyn Fn()) + Send) {
        let (alarms, asked) = channel();
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let origin = Origin { start: unix.as_micros() as i64, zero: 0 };
        let clock = Clock { begun: Instant::now(), origin, alarms, runs: Arc::default() };
        let begun = clock.begun;
        (clock, move |beat| ring(begun, &asked, beat))
    }

    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Notes that the worker runs now.
    pub fn pulse(&self) {
        let now = self.now().as_micros() as u64;
        let last = self.runs.last.swap(now, Ordering::Relaxed);
        if last > 0 && now.saturating_sub(last) > 2 * PULSE.as_micros() as u64 {
            self.runs.stood_from.store(last, Ordering::Relaxed);
            self.runs.ending.store(2, Ordering::Relaxed);
        }
    }

    /// Notes a beat. After two of them, a while apart, all that had come in before has been read.
    pub fn beat(&self) {
        self.pulse();
        let now = self.now().as_micros() as u64;
        if now >= self.runs.beaten.load(Ordering::Relaxed) + PULSE.as_micros() as u64 / 2 {
            self.runs.beaten.store(now, Ordering::Relaxed);
            let ending = self.runs.ending.load(Ordering::Relaxed);
            self.runs.ending.store(ending.saturating_sub(1), Ordering::Relaxed);
        }
    }

    /// The earliest time at which bytes that are read now may have come in: right after a standstill of this
    /// front they may have waited since it began.
    pub fn came_in(&self) -> Duration {
        if self.runs.ending.load(Ordering::Relaxed) == 0 {
            return self.now();
        }
        Duration::from_micros(self.runs.stood_from.load(Ordering::Relaxed))
    }

    /// Calls `ring` from the clock's thread once that time has come; `ring` must not wait.
    pub fn at(&self, at: Duration, ring: impl FnOnce() + Send + 'static) {
        // The clock's thread lasts as long as the program.
        let _ = self.alarms.send(Alarm { at, ring: Box::new(ring) });
    }
}

fn ring(begun: Instant, asked: &Receiver<Alarm>, beat: &dyn Fn()) {
    let (mut alarms, mut beaten) = (BinaryHeap::new(), Duration::ZERO);
    loop {
        if begun.elapsed() >= beaten + PULSE {
            beaten = begun.elapsed();
            beat();
        }
        while alarms.peek().is_some_and(|Reverse(alarm): &Reverse<Alarm>| alarm.at <= begun.elapsed()) {
            if let Some(Reverse(alarm)) = alarms.pop() {
                (alarm.ring)();
            }
        }
        let next = alarms.peek().map(|Reverse(alarm)| alarm.at.saturating_sub(begun.elapsed()));
        match asked.recv_timeout(next.map_or(PULSE, |next| next.min(PULSE))) {
            Ok(alarm) => alarms.push(Reverse(alarm)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
