//! Two kinds of time, kept apart. Spans (deadlines, waits, windows, graces) use the monotonic clock alone:
//! [`Clock::now`], and one coroutine that runs callbacks when their time has come. The servers' wall-clock time is an
//! origin on top of that, [`Clock::origin`], which dates positions; what servers prove corrects the origin and moves
//! no span.
//!
//! Coroutines never sleep by themselves: `may` would run them on its timer thread, beside the one worker. Threads
//! other than the worker's wake no coroutine by themselves either: they set a timer ([`Clock::post`],
//! [`Clock::run_at`]), of which the kernel notifies the worker, so that the worker never has to wait for a thread
//! that does not run.

use crate::messages::DispatcherMessage;
use crate::signal_waiter::SignalWakeUp;
use juniperdock_connection::{Timer, TimerSetter, since_boot};
use juniperdock_deployment::{Origin, span};
use juniperdock_runtime_state::ServerTime;
use juniperdock_server_clock::{PositionSample, ServerClock, Verdict};
use juniperdock_timer_wheel::{TimerKey, TimerWheel};
use may::sync::mpsc::{Sender, channel};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Resolution of the timer wheel: timers fire at most this much late because of it.
const TIMER_TICK: Duration = Duration::from_micros(250);
/// At the start, both clocks are read again until they were read within this span, at most `MAX_READS` times.
const MAX_READ_SPAN: Duration = Duration::from_millis(1);
const MAX_READS: u32 = 5;
/// The interval of watchdog ticks: a healthy worker runs at least this often.
pub const WATCHDOG_PERIOD: Duration = Duration::from_millis(20);

/// When the worker last ran, and its latest stall. Times are in microseconds since the start.
#[derive(Default)]
struct WorkerActivity {
    last_run: AtomicU64,
    /// The start of the latest stall.
    stalled_from: AtomicU64,
    /// How many more ticks count as the end of the latest stall.
    recovery_ticks: AtomicU64,
    last_tick: AtomicU64,
    /// The length of the latest stall, until it is reported.
    unreported_stall: AtomicU64,
}

/// An actor that has not waited for this many turns in a row yields to all others.
const YIELD_AFTER_TURNS: u32 = 8;

/// How long an actor waits before it retries what failed because the machine was short of a resource.
pub const SHORTAGE_PAUSE: Duration = Duration::from_millis(2);

/// The callback of a timer; it runs on the worker and must not block.
type Callback = Box<dyn FnOnce() + Send>;

/// A timer that was set; see [`Clock::cancel`].
pub struct TimerHandle(TimerKey);

/// Pending timers, and when the coroutine that fires them wakes next; only an earlier timer sets the kernel's timer
/// anew.
struct Timers {
    wheel: TimerWheel<Callback>,
    next_check: Duration,
}

/// The pending timers, and the kernel's timer that wakes the coroutine that fires them.
struct TimerQueue {
    timers: Mutex<Timers>,
    timer: TimerSetter,
}

impl TimerQueue {
    fn timers(&self) -> MutexGuard<'_, Timers> {
        self.timers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The clocks of this process and its timers.
#[derive(Clone)]
pub struct Clock {
    started_at: Instant,
    /// The start as time since boot, in microseconds: the same for all processes of the machine.
    started_at_boot_us: i64,
    /// Unix time at the start, in microseconds, as corrected so far.
    start_unix: Arc<AtomicI64>,
    queue: Arc<TimerQueue>,
    activity: Arc<WorkerActivity>,
    /// The servers' time as far as their positions prove it.
    servers: Arc<Mutex<ServerClock>>,
}

impl Clock {
    /// A clock that starts now, and the body of the coroutine that fires its timers: no timer fires before it runs.
    /// Waits for up to `max_wait` while the machine is short of descriptors.
    ///
    /// # Errors
    /// If the kernel's timer can't be opened.
    pub fn start(max_wait: Duration) -> Result<(Clock, impl FnOnce() + Send), String> {
        let timer = Timer::open(max_wait).map_err(|e| format!("opening a timer: {e}"))?;
        let (started_at, unix) = read_both_clocks();
        let start_unix = Arc::new(AtomicI64::new(unix.as_micros() as i64));
        let timers = Timers { wheel: TimerWheel::new(TIMER_TICK), next_check: Duration::ZERO };
        let queue = Arc::new(TimerQueue { timers: Mutex::new(timers), timer: timer.setter() });
        let (activity, servers) = (Arc::default(), Arc::default());
        // Read in this order: a delay in between makes the start seem later, and data of that time older.
        let elapsed = started_at.elapsed();
        let started_at_boot_us = since_boot().saturating_sub(elapsed).as_micros() as i64;
        let clock = Clock { started_at, started_at_boot_us, start_unix, queue, activity, servers };
        let its_clock = clock.clone();
        Ok((clock, move || run_timers(&its_clock, &timer)))
    }

    /// The time since the start, by the monotonic clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The wall-clock time at the start, as corrected so far, which places positions on the monotonic clock.
    /// Positions are Unix times, so they count from 0.
    pub fn origin(&self) -> Origin {
        Origin { start: self.start_unix.load(Ordering::Relaxed), zero: 0 }
    }

    /// A time since the start as time since boot, in microseconds.
    pub fn boot_time_us(&self, at: Duration) -> i64 {
        self.started_at_boot_us.saturating_add(at.as_micros() as i64)
    }

    /// A time since boot, in microseconds, as time since the start; zero for one before the start.
    pub fn since_start(&self, boot_time_us: i64) -> Duration {
        span(boot_time_us.saturating_sub(self.started_at_boot_us))
    }

    /// The servers' time as far as it is known here, for another process of this machine. `origin` is the one in force
    /// where this is called.
    pub fn server_time(&self, origin: Origin) -> ServerTime {
        let (now, servers) = (self.now(), self.servers());
        ServerTime {
            boot_us: self.boot_time_us(now),
            unix_us: origin.start.saturating_add(now.as_micros() as i64),
            confirmed: servers.is_confirmed(now),
            ahead: servers.ahead(),
        }
    }

    /// Goes by the servers' time as another process of this machine knew it. To be called before anything is dated.
    pub fn adopt_server_time(&self, time: &ServerTime) {
        let read = self.start_unix.load(Ordering::Relaxed);
        self.start_unix.store(time.origin(self.started_at_boot_us, read), Ordering::Relaxed);
        self.servers().adopt_ahead(self.now(), time.ahead);
    }

    /// Judges a position that a server reported. If it proves that this process's clock is behind, the origin moves
    /// forward: positions dated by the old origin are too late by as much, and whoever keeps some has to drop them.
    pub fn judge(&self, sample: PositionSample) -> Verdict {
        let verdict = self.servers().judge(sample);
        if let Verdict::Behind(by) = verdict {
            self.start_unix.fetch_add(by.as_micros() as i64, Ordering::Relaxed);
        }
        verdict
    }

    /// The least that this process's clock is ahead of the servers'.
    pub fn ahead(&self) -> Duration {
        self.servers().ahead()
    }

    fn servers(&self) -> MutexGuard<'_, ServerClock> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the worker runs now; a long gap since the last call is a stall.
    pub fn note_running(&self) {
        let now = self.now().as_micros() as u64;
        let last = self.activity.last_run.swap(now, Ordering::Relaxed);
        if last > 0 && now.saturating_sub(last) > 2 * WATCHDOG_PERIOD.as_micros() as u64 {
            self.activity.stalled_from.store(last, Ordering::Relaxed);
            self.activity.recovery_ticks.store(2, Ordering::Relaxed);
            self.activity.unreported_stall.store(now - last, Ordering::Relaxed);
        }
    }

    /// The length of the latest stall, once for each stall.
    pub fn take_stall(&self) -> Option<Duration> {
        let unreported_stall = self.activity.unreported_stall.swap(0, Ordering::Relaxed);
        (unreported_stall > 0).then(|| Duration::from_micros(unreported_stall))
    }

    /// Records a watchdog tick. After two ticks, half a period apart, everything that came in during a stall has been
    /// read.
    pub fn note_tick(&self) {
        self.note_running();
        let now = self.now().as_micros() as u64;
        if now >= self.activity.last_tick.load(Ordering::Relaxed) + WATCHDOG_PERIOD.as_micros() as u64 / 2 {
            self.activity.last_tick.store(now, Ordering::Relaxed);
            let recovery_ticks = self.activity.recovery_ticks.load(Ordering::Relaxed);
            self.activity.recovery_ticks.store(recovery_ticks.saturating_sub(1), Ordering::Relaxed);
        }
    }

    /// The earliest time at which bytes that are read now may have come in: right after a stall they may have waited
    /// since it began.
    pub fn arrival_time(&self) -> Duration {
        if !self.recently_stalled() {
            return self.now();
        }
        Duration::from_micros(self.activity.stalled_from.load(Ordering::Relaxed))
    }

    /// Whether the worker stalled just now: what came in meanwhile may not have been read yet.
    pub fn recently_stalled(&self) -> bool {
        self.activity.recovery_ticks.load(Ordering::Relaxed) > 0
    }

    /// Runs `callback` on the worker once that time has come, or at once if it is past; `callback` must not block.
    /// This is also how other threads wake an actor.
    pub fn run_at(&self, at: Duration, callback: impl FnOnce() + Send + 'static) -> TimerHandle {
        let mut timers = self.queue.timers();
        let key = timers.wheel.schedule(at, Box::new(callback));
        if at < timers.next_check {
            timers.next_check = at;
            self.queue.timer.set(at.saturating_sub(self.now()));
        }
        TimerHandle(key)
    }

    /// Sends a message from a thread other than the worker's.
    pub fn post<T: Send + 'static>(&self, to: &Sender<T>, message: T) {
        let to = to.clone();
        self.run_at(Duration::ZERO, move || {
            // A receiver that has ended needs no message.
            let _ = to.send(message);
        });
    }

    /// Sends the dispatcher a watchdog tick each [`WATCHDOG_PERIOD`], for good, and wakes the thread that waits for
    /// signals if it has missed one.
    pub fn start_watchdog(&self, dispatcher: Sender<DispatcherMessage>, signals: SignalWakeUp) {
        let (clock, due) = (self.clone(), self.now() + WATCHDOG_PERIOD);
        self.run_at(due, move || {
            let _ = dispatcher.send(DispatcherMessage::WatchdogTick { posted: due });
            signals.repeat();
            clock.start_watchdog(dispatcher, signals);
        });
    }

    /// Waits until all other coroutines have had a turn, including those that wait for their sockets. `may` polls
    /// sockets and takes up what other threads have woken only when nothing else is ready to run: a coroutine that
    /// just yields in a loop is always ready, and starves them all.
    pub fn yield_to_others(&self) {
        self.pause(Duration::ZERO);
    }

    /// Suspends the calling coroutine for this long; nothing wakes it earlier.
    pub fn pause(&self, span: Duration) {
        let (wake, woken) = channel();
        self.run_at(self.now() + span, move || {
            let _ = wake.send(());
        });
        let _ = woken.recv();
    }

    /// Called by an actor that has moved bytes for `busy` turns in a row: lets others run now and then, and waits a
    /// moment if the machine is short of a resource.
    pub fn yield_if_busy(&self, busy: u32, lacks_memory: bool) {
        if lacks_memory {
            self.pause(SHORTAGE_PAUSE);
        } else if busy.is_multiple_of(YIELD_AFTER_TURNS) {
            self.yield_to_others();
        }
    }

    /// Cancels a timer that has not fired.
    pub fn cancel(&self, handle: &TimerHandle) {
        let callback = self.queue.timers().wheel.cancel(handle.0);
        // Dropped after the lock is released.
        drop(callback);
    }
}

/// Reads the monotonic clock and, after it, the Unix time. If the process is held up in between, the origin is too
/// late and data seems older than it is, never younger; to limit this, both are read again.
fn read_both_clocks() -> (Instant, Duration) {
    let mut tries = 0;
    loop {
        let started_at = Instant::now();
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        tries += 1;
        if started_at.elapsed() <= MAX_READ_SPAN || tries == MAX_READS {
            return (started_at, unix);
        }
    }
}

/// Fires the timers that are due, then waits for the next.
fn run_timers(clock: &Clock, timer: &Timer) -> ! {
    loop {
        while let Some(callback) = next_due_callback(clock) {
            // Runs without the lock: the callback may set another timer.
            callback();
        }
        timer.wait();
    }
}

/// The next callback that is due; if there is none, sets the kernel's timer to the next time at which one may be.
fn next_due_callback(clock: &Clock) -> Option<Callback> {
    let mut timers = clock.queue.timers();
    let now = clock.now();
    let due = timers.wheel.pop_due(now);
    // While callbacks run, nobody else needs to set the kernel's timer.
    timers.next_check =
        if due.is_some() { Duration::ZERO } else { timers.wheel.next_due().unwrap_or(Duration::MAX) };
    if due.is_none() {
        clock.queue.timer.set(timers.next_check.saturating_sub(now));
    }
    due
}
