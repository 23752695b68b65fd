//! Waits for signals. The handler of a signal wakes the waiting thread through a pair of sockets; where that fails for
//! lack of memory, the worker's regular tick repeats it.

use signal_hook::flag;
use signal_hook::iterator::backend::SignalDelivery;
use signal_hook::iterator::exfiltrator::SignalOnly;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Delay between a failed wait and the next.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// The signals that this process waits for.
pub struct SignalWaiter {
    delivery: SignalDelivery<UnixStream, SignalOnly>,
    /// A signal may have arrived since this thread last looked.
    raised: Arc<AtomicBool>,
    /// Signals that have arrived and have not been returned.
    arrived: VecDeque<i32>,
}

/// Wakes the thread that waits for signals once more.
pub struct SignalWakeUp {
    raised: Arc<AtomicBool>,
    write: UnixStream,
}

impl SignalWaiter {
    /// Registers handlers.
    ///
    /// # Errors
    /// If there are no descriptors for the sockets, or a signal can't be handled.
    pub fn register(signals: &[i32]) -> Result<(SignalWaiter, SignalWakeUp), String> {
        let failed = |e: std::io::Error| format!("signals: {e}");
        let (read, write) = UnixStream::pair().map_err(failed)?;
        // The worker must not wait while nobody reads.
        write.set_nonblocking(true).map_err(failed)?;
        let raised = Arc::new(AtomicBool::new(false));
        let wake_up = SignalWakeUp { raised: raised.clone(), write: write.try_clone().map_err(failed)? };
        for &signal in signals {
            flag::register(signal, raised.clone()).map_err(failed)?;
        }
        let delivery = SignalDelivery::with_pipe(read, write, SignalOnly, signals).map_err(failed)?;
        Ok((SignalWaiter { delivery, raised, arrived: VecDeque::new() }, wake_up))
    }

    /// Waits for the next signal.
    pub fn wait(&mut self) -> i32 {
        loop {
            // Cleared before the look, so that none goes unnoticed in between.
            self.raised.store(false, Ordering::SeqCst);
            self.arrived.extend(self.delivery.pending());
            if let Some(signal) = self.arrived.pop_front() {
                return signal;
            }
            if self.delivery.get_read().read(&mut [0]).is_err() {
                std::thread::sleep(RETRY_DELAY);
            }
        }
    }
}

impl SignalWakeUp {
    /// Wakes the waiting thread if a signal has arrived that it has not seen.
    pub fn repeat(&self) {
        if self.raised.load(Ordering::SeqCst) {
            // The next tick tries again.
            let _ = (&self.write).write(&[0]);
        }
    }
}
