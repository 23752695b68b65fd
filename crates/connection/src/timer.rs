//! A timer based on `timerfd_create(2)` and the monotonic clock. The worker's own epoll watches it, so it wakes its
//! coroutine without another thread. Other threads must not wake coroutines by the wakers of `may`: those push to a
//! lock-free queue, and while a thread that has reserved an entry there is not scheduled, the worker spins on that
//! entry.

use crate::is_shortage;
use may::io::{CoIo, WaitIo};
use rustix::io::{Errno, read};
use rustix::time::{
    ClockId, Itimerspec, TimerfdClockId, TimerfdFlags, TimerfdTimerFlags, Timespec, clock_gettime,
    timerfd_create, timerfd_settime,
};
use std::io;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd, RawFd};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Reads CLOCK_MONOTONIC, which is the same in all processes of this machine.
pub fn monotonic() -> Duration {
    let now = clock_gettime(ClockId::Monotonic);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// The time since boot, including time in suspend (CLOCK_BOOTTIME).
pub fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// Pause between two attempts to create a timer.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Smallest delay: a value of zero would disarm the timer.
const MIN_DELAY: Duration = Duration::from_nanos(1);
/// Largest delay; a longer one is cut to this.
const MAX_DELAY: Duration = Duration::from_secs(3600);

#[derive(Clone)]
struct Descriptor(Arc<OwnedFd>);

impl AsRawFd for Descriptor {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_raw_fd()
    }
}

impl AsFd for Descriptor {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// Arms a [`Timer`]. May be used from any thread.
#[derive(Clone)]
pub struct TimerSetter(Descriptor);

/// A timer that one coroutine waits on.
pub struct Timer {
    // Field order is drop order: the descriptor is closed last.
    io: CoIo<Descriptor>,
    descriptor: Descriptor,
}

impl Timer {
    /// Creates a timer. If descriptors or memory are short, retries for up to `retry_for`; this blocks the thread.
    ///
    /// # Errors
    /// The error of the last attempt.
    pub fn open(retry_for: Duration) -> io::Result<Timer> {
        let started = Instant::now();
        loop {
            match Timer::create() {
                Err(e) if is_shortage(&e) && started.elapsed() < retry_for => {
                    std::thread::sleep(RETRY_INTERVAL)
                }
                opened => return opened,
            }
        }
    }

    fn create() -> io::Result<Timer> {
        let flags = TimerfdFlags::NONBLOCK | TimerfdFlags::CLOEXEC;
        let descriptor = Descriptor(Arc::new(timerfd_create(TimerfdClockId::Monotonic, flags)?));
        let io = CoIo::new(descriptor.clone()).map_err(io::Error::from)?;
        Ok(Timer { io, descriptor })
    }

    /// Returns a handle that arms this timer.
    pub fn setter(&self) -> TimerSetter {
        TimerSetter(self.descriptor.clone())
    }

    /// Waits until the timer fires; returns at once if it has fired since the last call. May wake spuriously.
    pub fn wait(&self) {
        self.io.wait_io();
        // The expiration count is not used; reading it re-arms the notification.
        let mut fired = [0; size_of::<u64>()];
        while let Err(Errno::INTR) = read(&self.descriptor, &mut fired) {}
    }
}

impl TimerSetter {
    /// Makes the timer fire once after the given delay, at most one hour, and replaces any earlier setting.
    pub fn set(&self, after: Duration) {
        let after = after.clamp(MIN_DELAY, MAX_DELAY);
        let it_value = Timespec { tv_sec: after.as_secs() as i64, tv_nsec: i64::from(after.subsec_nanos()) };
        let it_interval = Timespec { tv_sec: 0, tv_nsec: 0 };
        let spec = Itimerspec { it_interval, it_value };
        // `timerfd_settime(2)` fails only for an invalid descriptor or time, neither of which can occur here.
        let _ = timerfd_settime(&self.0, TimerfdTimerFlags::empty(), &spec);
    }
}
