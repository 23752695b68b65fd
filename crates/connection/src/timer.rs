//! A timer that the worker's own epoll watches (timerfd_create(2), monotonic clock): it wakes its coroutine without another
//! thread. Other threads do not wake coroutines by the wakers of `may`: those push to a lock-free queue, and while a thread
//! that has taken a place there does not run, the worker spins on that place.

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

/// The machine's monotonic clock (clock_gettime(2), CLOCK_MONOTONIC), the same in all its processes.
pub fn monotonic() -> Duration {
    let now = clock_gettime(ClockId::Monotonic);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// How long the machine has been up, time suspended with it (CLOCK_BOOTTIME).
pub fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// Between two tries to open one.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// A timer that is set to nothing would never fire.
const MIN_DELAY: Duration = Duration::from_nanos(1);
/// The farthest that a timer is set.
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

/// Sets the timer; from any thread.
#[derive(Clone)]
pub struct TimerSetter(Descriptor);

/// Waits for the timer; for one coroutine.
pub struct Timer {
    // Dropped in this order: the descriptor is closed last.
    io: CoIo<Descriptor>,
    descriptor: Descriptor,
}

impl Timer {
    /// Where the machine is short of descriptors or memory just now it is tried again, for so long. Blocks its thread.
    ///
    /// # Errors
    /// What the machine says last.
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

    pub fn setter(&self) -> TimerSetter {
        TimerSetter(self.descriptor.clone())
    }

    /// Waits until it fires, or returns at once if it has since this was called last. May return too early.
    pub fn wait(&self) {
        self.io.wait_io();
        // How often it has fired is of no use; read, so that it can be told anew.
        let mut fired = [0; size_of::<u64>()];
        while let Err(Errno::INTR) = read(&self.descriptor, &mut fired) {}
    }
}

impl TimerSetter {
    /// It fires after so long, once, in place of whenever it was set to fire; after an hour at the latest.
    pub fn set(&self, after: Duration) {
        let after = after.clamp(MIN_DELAY, MAX_DELAY);
        let it_value = Timespec { tv_sec: after.as_secs() as i64, tv_nsec: i64::from(after.subsec_nanos()) };
        let it_interval = Timespec { tv_sec: 0, tv_nsec: 0 };
        let spec = Itimerspec { it_interval, it_value };
        // It fails for descriptors and times that are none only (timerfd_settime(2)).
        let _ = timerfd_settime(&self.0, TimerfdTimerFlags::empty(), &spec);
    }
}
