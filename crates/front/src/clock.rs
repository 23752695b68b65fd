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
const TIMER_TICK: Duration = Duration::from_micros(250);
/// Both clocks are read within this span at the start, or so often.
const MAX_READ_SPAN: Duration = Duration::from_millis(1);
const MAX_READS: u32 = 5;
/// The worker is known to run at least this often.
pub const WATCHDOG_PERIOD: Duration = Duration::from_millis(20);

/// When the worker last ran, and its latest standstill: its start, and how many beats its end lasts. Times in
/// microseconds.
#[derive(Default)]
struct WorkerActivity {
    last_run: AtomicU64,
    stalled_from: AtomicU64,
    recovery_ticks: AtomicU64,
    last_tick: AtomicU64,
    /// How long the latest standstill was, until it is asked for.
    unreported_stall: AtomicU64,
}

/// After so many turns in which an actor has not waited it gives way to all others.
const YIELD_AFTER_TURNS: u32 = 8;

/// How long an actor waits before it tries again what the machine was short for.
pub const SHORTAGE_PAUSE: Duration = Duration::from_millis(2);

/// What an alarm does, on the worker; it must not wait.
type Callback = Box<dyn FnOnce() + Send>;

/// An alarm that was set; it may be cancelled.
pub struct TimerHandle(TimerKey);

/// Alarms still to ring, and when the one that rings them looks next; only an earlier one sets the timer anew.
struct Timers {
    wheel: TimerWheel<Callback>,
    next_check: Duration,
}

struct TimerQueue {
    timers: Mutex<Timers>,
    timer: TimerSetter,
}

impl TimerQueue {
    fn timers(&self) -> MutexGuard<'_, Timers> {
        self.timers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone)]
pub struct Clock {
    begun: Instant,
    /// Unix time at the start, in microseconds, as far as is known.
    start_unix: Arc<AtomicI64>,
    queue: Arc<TimerQueue>,
    activity: Arc<WorkerActivity>,
    /// What servers say of the time.
    servers: Arc<Mutex<ServerClock>>,
}

impl Clock {
    /// A clock that starts now, and what a coroutine of its own is to run: no alarm rings before that. Waits for so long
    /// while the machine is short of descriptors.
    ///
    /// # Errors
    /// Where there is no timer to be had.
    pub fn start(max_wait: Duration) -> Result<(Clock, impl FnOnce() + Send), String> {
        let timer = Timer::open(max_wait).map_err(|e| format!("a timer: {e}"))?;
        let (begun, unix) = read_both_clocks();
        let start_unix = Arc::new(AtomicI64::new(unix.as_micros() as i64));
        let timers = Timers { wheel: TimerWheel::new(TIMER_TICK), next_check: Duration::ZERO };
        let queue = Arc::new(TimerQueue { timers: Mutex::new(timers), timer: timer.setter() });
        let (activity, servers) = (Arc::default(), Arc::default());
        let clock = Clock { begun, start_unix, queue, activity, servers };
        let its_clock = clock.clone();
        Ok((clock, move || run_timers(&its_clock, &timer)))
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
    pub fn judge(&self, sample: PositionSample) -> Verdict {
        let verdict = self.servers().judge(sample);
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
    pub fn note_running(&self) {
        let now = self.now().as_micros() as u64;
        let last = self.activity.last_run.swap(now, Ordering::Relaxed);
        if last > 0 && now.saturating_sub(last) > 2 * WATCHDOG_PERIOD.as_micros() as u64 {
            self.activity.stalled_from.store(last, Ordering::Relaxed);
            self.activity.recovery_ticks.store(2, Ordering::Relaxed);
            self.activity.unreported_stall.store(now - last, Ordering::Relaxed);
        }
    }

    /// A standstill that nobody has asked for yet.
    pub fn take_stall(&self) -> Option<Duration> {
        let unreported_stall = self.activity.unreported_stall.swap(0, Ordering::Relaxed);
        (unreported_stall > 0).then(|| Duration::from_micros(unreported_stall))
    }

    /// Notes a beat. After two of them, a while apart, all that had come in before has been read.
    pub fn note_tick(&self) {
        self.note_running();
        let now = self.now().as_micros() as u64;
        if now >= self.activity.last_tick.load(Ordering::Relaxed) + WATCHDOG_PERIOD.as_micros() as u64 / 2 {
            self.activity.last_tick.store(now, Ordering::Relaxed);
            let recovery_ticks = self.activity.recovery_ticks.load(Ordering::Relaxed);
            self.activity.recovery_ticks.store(recovery_ticks.saturating_sub(1), Ordering::Relaxed);
        }
    }

    /// The earliest time at which bytes that are read now may have come in: right after a standstill of this
    /// front they may have waited since it began.
    pub fn arrival_time(&self) -> Duration {
        if !self.recently_stalled() {
            return self.now();
        }
        Duration::from_micros(self.activity.stalled_from.load(Ordering::Relaxed))
    }

    /// Whether the worker stood still just now: what came in meanwhile may not have been read yet.
    pub fn recently_stalled(&self) -> bool {
        self.activity.recovery_ticks.load(Ordering::Relaxed) > 0
    }

    /// Calls `ring` on the worker once that time has come; `ring` must not wait. The way for all other threads to wake an
    /// actor, too: at a time that is over it is called at once.
    pub fn run_at(&self, at: Duration, callback: impl FnOnce() + Send + 'static) -> TimerHandle {
        let mut timers = self.queue.timers();
        let key = timers.wheel.schedule(at, Box::new(callback));
        if at < timers.next_check {
            timers.next_check = at;
            self.queue.timer.set(at.saturating_sub(self.now()));
        }
        TimerHandle(key)
    }

    /// Posts from a thread that is not the worker's.
    pub fn post<T: Send + 'static>(&self, to: &Sender<T>, message: T) {
        let to = to.clone();
        self.run_at(Duration::ZERO, move || {
            // Whoever has ended needs no mail.
            let _ = to.send(message);
        });
    }

    /// Has the dispatcher told once a pulse that the worker runs.
    pub fn start_watchdog(&self, dispatcher: Sender<DispatcherMessage>) {
        let (clock, due) = (self.clone(), self.now() + WATCHDOG_PERIOD);
        self.run_at(due, move || {
            let _ = dispatcher.send(DispatcherMessage::WatchdogTick { posted: due });
            clock.start_watchdog(dispatcher);
        });
    }

    /// Waits until all others have had their turn, those too that wait for their sockets. `may` looks at sockets and
    /// takes up what other threads have woken only once nothing else is ready to run: who just yields in a loop is
    /// always ready, and keeps them all waiting.
    pub fn yield_to_others(&self) {
        self.pause(Duration::ZERO);
    }

    /// Waits for so long. The calling coroutine hears of nothing meanwhile.
    pub fn pause(&self, span: Duration) {
        let (wake, woken) = channel();
        self.run_at(self.now() + span, move || {
            let _ = wake.send(());
        });
        let _ = woken.recv();
    }

    /// What an actor does that has moved bytes for so many turns in a row: it lets others have theirs, and waits for a
    /// moment where the machine is short.
    pub fn yield_if_busy(&self, busy: u32, is_short: bool) {
        if is_short {
            self.pause(SHORTAGE_PAUSE);
        } else if busy.is_multiple_of(YIELD_AFTER_TURNS) {
            self.yield_to_others();
        }
    }

    /// An alarm that has not rung does not.
    pub fn cancel(&self, handle: &TimerHandle) {
        let callback = self.queue.timers().wheel.cancel(handle.0);
        // Dropped without the lock.
        drop(callback);
    }
}

/// The monotonic clock and, after it, the Unix time. Where the process is held up in between, the origin is too late and
/// data seems older than it is, never younger; so that this is not by much, both are read again.
fn read_both_clocks() -> (Instant, Duration) {
    let mut tries = 0;
    loop {
        let begun = Instant::now();
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        tries += 1;
        if begun.elapsed() <= MAX_READ_SPAN || tries == MAX_READS {
            return (begun, unix);
        }
    }
}

/// Rings what is due, then waits for the next.
fn run_timers(clock: &Clock, timer: &Timer) -> ! {
    loop {
        while let Some(callback) = next_due_callback(clock) {
            // Without the lock: who is woken may set the next one.
            callback();
        }
        timer.wait();
    }
}

/// The next alarm that is due; where there is none, the timer is set to when one may be.
fn next_due_callback(clock: &Clock) -> Option<Callback> {
    let mut timers = clock.queue.timers();
    let now = clock.now();
    let due = timers.wheel.pop_due(now);
    // While it rings, nobody else has to set the timer.
    timers.next_check =
        if due.is_some() { Duration::ZERO } else { timers.wheel.next_due().unwrap_or(Duration::MAX) };
    if due.is_none() {
        clock.queue.timer.set(timers.next_check.saturating_sub(now));
    }
    due
}
