//! Waits for signals. The handler of a signal wakes the waiting thread through a pair of sockets; where that fails for
//! lack of memory, the signal is noticed within `POLL_INTERVAL`.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use signal_hook::iterator::backend::SignalDelivery;
use signal_hook::iterator::exfiltrator::SignalOnly;
use std::collections::VecDeque;
use std::os::unix::net::UnixStream;
use std::time::Duration;

const POLL_INTERVAL: Timespec = Timespec { tv_sec: 0, tv_nsec: 20_000_000 };
/// Delay between a failed wait and the next.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// The signals that this process waits for.
pub struct SignalWaiter {
    delivery: SignalDelivery<UnixStream, SignalOnly>,
    /// Signals that have arrived and have not been returned.
    arrived: VecDeque<i32>,
}

impl SignalWaiter {
    /// Registers handlers.
    ///
    /// # Errors
    /// If there are no descriptors for the sockets, or a signal can't be handled.
    pub fn register(signals: &[i32]) -> Result<SignalWaiter, String> {
        let failed = |e: std::io::Error| format!("signals: {e}");
        let (read, write) = UnixStream::pair().map_err(failed)?;
        let delivery = SignalDelivery::with_pipe(read, write, SignalOnly, signals).map_err(failed)?;
        Ok(SignalWaiter { delivery, arrived: VecDeque::new() })
    }

    /// Waits for the next signal.
    pub fn wait(&mut self) -> i32 {
        loop {
            self.arrived.extend(self.delivery.pending());
            if let Some(signal) = self.arrived.pop_front() {
                return signal;
            }
            let mut wake_up = [PollFd::new(self.delivery.get_read(), PollFlags::IN)];
            if poll(&mut wake_up, Some(&POLL_INTERVAL)).is_err() {
                std::thread::sleep(RETRY_DELAY);
            }
        }
    }
}
