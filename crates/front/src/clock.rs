//! Two times that are kept apart. Spans (deadlines, waits, windows, graces) are of the monotonic clock alone:
//! [`Clock::now`], and one thread that rings when such a time has come. What time it is at the servers is an origin on top
//! of that, [`Clock::origin`], which says where positions lie; what servers prove corrects the origin and moves no span.
//! Coroutines never wait for a time themselves: `may` would run them on its timer thread, beside the one worker.

use juniperdock_door::Origin;
use juniperdock_server_clock::{ServerClock, Told, Verdict};
use juniperdock_wheel::{Key, Wheel};
use may::sync::mpsc::channel;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Alarms ring at most this much late for being sorted.
const TICK: Duration = Duration::from_micros(250);
/// Both clocks are read within this span at the start, or so often.
const MAX_BETWEEN_READS: Duration = Duration::from_millis(1);
const MAX_READS: u32 = 5;
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
    /// Unix time at the start, in microseconds, as far as is known.
    start_unix: Arc<AtomicI64>,
    bells: Arc<Bells>,
    runs: Arc<Runs>,
    /// What servers say of the time.
    servers: Arc<Mutex<ServerClock>>,
}

impl Clock {
    /// A clock that starts now, and what its thread is to run; that calls `beat` once a pulse.
    pub fn start() -> (Clock, impl FnOnce(&dyn Fn()) + Send) {
        let (begun, unix) = read_both();
        let start_unix = Arc::new(AtomicI64::new(unix.as_micros() as i64));
        let alarms = Alarms { wheel: Wheel::new(TICK), looks: Duration::ZERO };
        let bells = Arc::new(Bells { alarms: Mutex::new(alarms), earlier: Condvar::new() });
        let (runs, servers) = (Arc::default(), Arc::default());
        let clock = Clock { begun, start_unix, bells, runs, servers };
        let its = clock.clone();
        (clock, move |beat| ring(&its, beat))
    }

    /// Since the start, by the monotonic clock.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// What time it was at the start, as far as is known: where positions lie on the monotonic clock. Positions are Unix
    /// times, so they count from 0.
    pub fn origin(&self) -> Origin {
        Origin { start: self.start_unix.load(Ordering::Relaxed), zero: 0 }
    }

    /// Judges a position that a server told. Where it proves that this process is behind, the origin is moved: positions
    /// that were dated by the one before lie too late by so much, and whoever keeps some has to drop them.
    pub fn judge(&self, told: Told) -> Verdict {
        let verdict = self.servers().judge(told);
        if let Verdict::Behind(by) = verdict {
            self.start_unix.fetch_add(by.as_micros() as i64, Ordering::Relaxed);
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

/// The monotonic clock and, after it, the Unix time. Where the process is held up in between, the origin is too late and
/// data seems older than it is, never younger; so that this is not by much, both are read again.
fn read_both() -> (Instant, Duration) {
    let mut tries = 0;
    loop {
        let begun = Instant::now();
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        tries += 1;
        if begun.elapsed() <= MAX_BETWEEN_READS || tries == MAX_READS {
            return (begun, unix);
        }
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
