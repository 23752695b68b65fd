//! Lines for standard error that are not part of the log. Whoever reads standard error may be slow, stuck or gone, and
//! the disk behind it full: a write may block for good or fail, and neither may stop the process.

use crate::threads;
use std::fmt::Display;
use std::io::{Write, stderr};
use std::sync::mpsc::{Receiver, TryRecvError, channel};
use std::time::Duration;

/// Writes a line; one that can't be written is lost. May block.
pub fn write_line(line: &dyn Display) {
    let _ = writeln!(stderr(), "{line}");
}

/// Writes lines on a thread of its own, one at a time.
#[derive(Default)]
pub struct LinePrinter {
    /// Disconnected once the line that was last begun is written.
    in_progress: Option<Receiver<()>>,
}

impl LinePrinter {
    /// Begins to write a line. While an earlier one blocks, it is lost; so it is if no thread can be started.
    pub fn print(&mut self, line: String) {
        if self.is_writing() {
            return;
        }
        let (done, in_progress) = channel();
        let write = move || {
            write_line(&line);
            drop(done);
        };
        if threads::start("counters", write).is_ok() {
            self.in_progress = Some(in_progress);
        }
    }

    fn is_writing(&self) -> bool {
        let state = self.in_progress.as_ref().map(Receiver::try_recv);
        matches!(state, Some(Err(TryRecvError::Empty)))
    }

    /// Waits until the line that was last begun is written, for this long at most.
    pub fn await_written(&self, timeout: Duration) {
        if let Some(in_progress) = &self.in_progress {
            // Nothing is ever sent: it ends by a disconnection or by the timeout.
            let _ = in_progress.recv_timeout(timeout);
        }
    }
}
