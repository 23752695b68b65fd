//! Two times that are kept apart. Spans (deadlines, waits, windows, graces) are of the monotonic clock alone:
//! [`Clock::now`], and one coroutine that rings when such a time has come. What time it is at the servers is an origin on top
//! of that, [`Clock::origin`], which says where positions lie; what servers prove corrects the origin and moves no span.
//! Coroutines never wait for a time themselves: `may` would run them on its timer thread, beside the one worker. Threads that
//! are not the worker's wake nobody themselves either: they set an alarm ([`Clock::post`], [`Clock::at`]), which the kernel
//! tells the worker of, so that the worker never has to wait for a thread that does not run.

use crate::messages::DispatcherMessage;
use juniperdock_connection::{Timer, TimerSetter};
use juniperdock_deployment::Origin;
use juniperdock_server_clock::{PositionSample, ServerClock, Verdict};
use juniperdock_timer_wheel::{TimerKey, TimerWheel};
use may::sync::mpsc::{Sender, channel};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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

/// What an alarm does, on the worker; it must not wait.
type Ring = Box<dyn FnOnce() + Send>;

/// An alarm that was set; it may be cancelled.
pub struct TimerHandle(TimerKey);

/// Alarms still to ring, and when the one that rings them looks next; only an earlier one sets the timer anew.
struct Alarms {
    wheel: TimerWheel<Ring>,
    looks: Duration,
}

struct Bells {
    alarms: Mutex<Alarms>,
    timer: TimerSetter,
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
    /// A clock that starts now, and what a coroutine of its own is to run: no alarm rings before that. Waits for so long
    /// while the machine is short of descriptors.
    ///
    /// # Errors
    /// Where there is no timer to be had.
    pub fn start(patience: Duration) -> Result<(Clock, impl FnOnce() + Send), String> {
        let timer = Timer::open(patience).map_err(|e| format!("a timer: {e}"))?;
        let (begun, unix) = read_both();
        let start_unix = Arc::new(AtomicI64::new(unix.as_micros() as i64));
        let alarms = Alarms { wheel: TimerWheel::new(TICK), looks: Duration::ZERO };
        let bells = Arc::new(Bells { alarms: Mutex::new(alarms), timer: timer.setter() });
        let (runs, servers) = (Arc::default(), Arc::default());
        let clock = Clock { begun, start_unix, bells, runs, servers };
        let its = clock.clone();
        Ok((clock, move || ring(&its, &timer)))
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
    pub fn judge(&self, told: PositionSample) -> Verdict {
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
    pub fn note_beat(&self) {
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

    /// Calls `ring` on the worker once that time has come; `ring` must not wait. The way for all other threads to wake an
    /// actor, too: at a time that is over it is called at once.
    pub fn run_at(&self, at: Duration, ring: impl FnOnce() + Send + 'static) -> TimerHandle {
        let mut alarms = self.bells.alarms();
        let key = alarms.wheel.schedule(at, Box::new(ring));
        if at < alarms.looks {
            alarms.looks = at;
            self.bells.timer.set(at.saturating_sub(self.now()));
        }
        TimerHandle(key)
    }

    /// Posts from a thread that is not the worker's.
    pub fn post<T: Send + 'static>(&self, to: &Sender<T>, mail: T) {
        let to = to.clone();
        self.run_at(Duration::ZERO, move || {
            // Whoever has ended needs no mail.
            let _ = to.send(mail);
        });
    }

    /// Has the dispatcher told once a pulse that the worker runs.
    pub fn start_watchdog(&self, desk: Sender<DispatcherMessage>) {
        let (clock, due) = (self.clone(), self.now() + PULSE);
        self.run_at(due, move || {
            let _ = desk.send(DispatcherMessage::Beat { posted: due });
            clock.start_watchdog(desk);
        });
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
        self.run_at(self.now() + span, move || {
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
    pub fn cancel(&self, alarm: &TimerHandle) {
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

/// Rings what is due, then waits for the next.
fn ring(clock: &Clock, timer: &Timer) -> ! {
    loop {
        while let Some(ring) = next_due(clock) {
            // Without the lock: who is woken may set the next one.
            ring();
        }
        timer.wait();
    }
}

/// The next alarm that is due; where there is none, the timer is set to when one may be.
fn next_due(clock: &Clock) -> Option<Ring> {
    let mut alarms = clock.bells.alarms();
    let now = clock.now();
    let due = alarms.wheel.pop_due(now);
    // While it rings, nobody else has to set the timer.
    alarms.looks =
        if due.is_some() { Duration::ZERO } else { alarms.wheel.next_due().unwrap_or(Duration::MAX) };
    if due.is_none() {
        clock.bells.timer.set(alarms.looks.saturating_sub(now));
    }
    due
}
