//! The time since the start, and one thread that rings when a time has come. Coroutines never wait for a
//! time themselves: `may` would run them on its timer thread, beside the one worker.

use juniperdock_door::Origin;
use juniperdock_server_clock::{ServerClock, Told, Verdict};
use juniperdock_wheel::{Key, Wheel};
use may::sync::mpsc::channel;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Alarms ring at most this much late for being sorted.
const TICK: Duration = Duration::from_micros(250);
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
    /// By how much the servers have advanced the time.
    advanced: AtomicU64,
    /// How long the latest standstill was, until it is asked for.
    untold: AtomicU64,
}

/// After so many turns in which an actor has not waited it gives way to all others.
const BUSY: u32 = 8;

/// How long an actor waits before it tries again what the machine was short for.
pub const SHORTAGE_PAUSE: Duration = Duration::from_millis(2);

/// What an alarm does; it must not wait.
type Ring = Box<dyn FnOnce() + Send>;

/// An alarm that was set; it may be cancelled.
pub struct Alarm(Key);

/// Alarms still to ring, and when the clock's thread looks next; only an earlier one wakes it before.
struct Alarms {
    wheel: Wheel<Ring>,
    looks: Duration,
}

struct Bells {
    alarms: Mutex<Alarms>,
    earlier: Condvar,
}

impl Bells {
    fn alarms(&self) -> MutexGuard<'_, Alarms> {
        self.alarms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone)]
pub struct Clock {
    begun: Instant,
    /// Unix time at the start; positions are Unix times, so they count from 0.
    pub origin: Origin,
    bells: Arc<Bells>,
    runs: Arc<Runs>,
    /// What servers say of the time.
    servers: Arc<Mutex<ServerClock>>,
}

impl Clock {
    /// A clock that starts now, and what its thread is to run; that calls `beat` once a pulse.
    pub fn start() -> (Clock, impl FnOnce(&dyn Fn()) + Send) {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let origin = Origin { start: unix.as_micros() as i64, zero: 0 };
        let alarms = Alarms { wheel: Wheel::new(TICK), looks: Duration::ZERO };
        let bells = Arc::new(Bells { alarms: Mutex::new(alarms), earlier: Condvar::new() });
        let clock =
            Clock { begun: Instant::now(), origin, bells, runs: Arc::default(), servers: Arc::default() };
        let its = clock.clone();
        (clock, move |beat| ring(&its, beat))
    }

    /// Since the start, by the monotonic clock; more, once servers have proven that the wall clock was behind then.
    pub fn now(&self) -> Duration {
        self.begun.elapsed() + self.advanced()
    }

    /// By how much `now` is more than the monotonic clock.
    pub fn advanced(&self) -> Duration {
        Duration::from_micros(self.runs.advanced.load(Ordering::Relaxed))
    }

    /// The monotonic clock alone: for leases and heartbeats, whose spans other processes count too.
    pub fn monotonic(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Judges a position that a server told. Where it proves that this process is behind, the time is advanced: all that
    /// was planned comes due so much sooner. Whoever decides has to start anew then.
    pub fn judge(&self, told: Told) -> Verdict {
        let verdict = self.servers().judge(told);
        if let Verdict::Behind(by) = verdict {
            self.runs.advanced.fetch_add(by.as_micros() as u64, Ordering::Relaxed);
            // No standstill of the worker.
            self.runs.last.store(0, Ordering::Relaxed);
        }
        verdict
    }

    /// How far this process's time is ahead of the servers' at least.
    pub fn ahead(&self) -> Duration {
        self.servers().ahead()
    }

    fn servers(&self) -> MutexGuard<'_, ServerClock> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the worker runs now.
    pub fn pulse(&self) {
        let now = self.now().as_micros() as u64;
        let last = self.runs.last.swap(now, Ordering::Relaxed);
        if last > 0 && now.saturating_sub(last) > 2 * PULSE.as_micros() as u64 {
            self.runs.stood_from.store(last, Ordering::Relaxed);
            self.runs.ending.store(2, Ordering::Relaxed);
            self.runs.untold.store(now - last, Ordering::Relaxed);
        }
    }

    /// A standstill that nobody has asked for yet.
    pub fn take_standstill(&self) -> Option<Duration> {
        let untold = self.runs.untold.swap(0, Ordering::Relaxed);
        (untold > 0).then(|| Duration::from_micros(untold))
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
        if !self.stood_still() {
            return self.now();
        }
        Duration::from_micros(self.runs.stood_from.load(Ordering::Relaxed))
    }

    /// Whether the worker stood still just now: what came in meanwhile may not have been read yet.
    pub fn stood_still(&self) -> bool {
        self.runs.ending.load(Ordering::Relaxed) > 0
    }

    /// Calls `ring` from the clock's thread once that time has come; `ring` must not wait.
    pub fn at(&self, at: Duration, ring: impl FnOnce() + Send + 'static) -> Alarm {
        let mut alarms = self.bells.alarms();
        let key = alarms.wheel.set(at, Box::new(ring));
        if at < alarms.looks {
            self.bells.earlier.notify_one();
        }
        Alarm(key)
    }

    /// Waits until all others have had their turn, those too that wait for their sockets. `may` looks at sockets and
    /// takes up what other threads have woken only once nothing else is ready to run: who just yields in a loop is
    /// always ready, and keeps them all waiting.
    pub fn give_way(&self) {
        self.pause(Duration::ZERO);
    }

    /// Waits for so long. The calling coroutine hears of nothing meanwhile.
    pub fn pause(&self, span: Duration) {
        let (again, waited) = channel();
        self.at(self.now() + span, move || {
            let _ = again.send(());
        });
        let _ = waited.recv();
    }

    /// What an actor does that has moved bytes for so many turns in a row: it lets others have theirs, and waits for a
    /// moment where the machine is short.
    pub fn take_turns(&self, busy: u32, is_short: bool) {
        if is_short {
            self.pause(SHORTAGE_PAUSE);
        } else if busy.is_multiple_of(BUSY) {
            self.give_way();
        }
    }

    /// An alarm that has not rung does not.
    pub fn cancel(&self, alarm: &Alarm) {
        let ring = self.bells.alarms().wheel.cancel(alarm.0);
        // Dropped without the lock.
        drop(ring);
    }
}

fn ring(clock: &Clock, beat: &dyn Fn()) -> ! {
    let bells = &clock.bells;
    let mut beaten = Duration::ZERO;
    loop {
        if clock.now() >= beaten + PULSE {
            beaten = clock.now();
            beat();
        }
        let mut alarms = bells.alarms();
        let now = clock.now();
        if let Some(ring) = alarms.wheel.due(now) {
            // Rung without the lock: who is woken may set the next one.
            drop(alarms);
            ring();
            continue;
        }
        let next = alarms.wheel.next().map_or(now + PULSE, |next| next.max(now));
        alarms.looks = next.min(now + PULSE);
        let wait = alarms.looks - now;
        let _ = bells.earlier.wait_timeout(alarms, wait);
    }
}
