//! The time since the start, and one thread that rings when a time has come. Coroutines never wait for a
//! time themselves: `may` would run them on its timer thread, beside the one worker.

use juniperdock_door::Origin;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant, SystemTime};

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
}

impl Clock {
    /// A clock that starts now, and what its thread is to run.
    pub fn start() -> (Clock, impl FnOnce() + Send) {
        let (alarms, asked) = channel();
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let origin = Origin { start: unix.as_micros() as i64, zero: 0 };
        let clock = Clock { begun: Instant::now(), origin, alarms };
        let begun = clock.begun;
        (clock, move || ring(begun, &asked))
    }

    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Calls `ring` from the clock's thread once that time has come; `ring` must not wait.
    pub fn at(&self, at: Duration, ring: impl FnOnce() + Send + 'static) {
        // The clock's thread lasts as long as the program.
        let _ = self.alarms.send(Alarm { at, ring: Box::new(ring) });
    }
}

fn ring(begun: Instant, asked: &Receiver<Alarm>) {
    let mut alarms = BinaryHeap::new();
    loop {
        while alarms.peek().is_some_and(|Reverse(alarm): &Reverse<Alarm>| alarm.at <= begun.elapsed()) {
            if let Some(Reverse(alarm)) = alarms.pop() {
                (alarm.ring)();
            }
        }
        let next = alarms.peek().map(|Reverse(alarm)| alarm.at.saturating_sub(begun.elapsed()));
        match asked.recv_timeout(next.unwrap_or(Duration::from_secs(3600))) {
            Ok(alarm) => alarms.push(Reverse(alarm)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
