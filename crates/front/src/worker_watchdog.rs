//! Distinguishes a worker that sleeps although work is ready from one that works or waits for a processor. A timer
//! sends the dispatcher a tick each [`WATCHDOG_PERIOD`](crate::clock::WATCHDOG_PERIOD); for a tick that was queued
//! for long, the kernel's account of the worker's thread shows what the thread did meanwhile
//! (`/proc/thread-self/schedstat`, proc(5)).

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::time::Duration;

/// A tick that was queued for longer was delayed: two periods.
const MAX_DELAY: Duration = Duration::from_millis(40);

/// A worker that ran or waited for a processor for at least one part in this many of the delay was not asleep. Where
/// the process has only a part of a core, its processor time is that much less than the time that passes.
const MIN_ACTIVE_PART: u32 = 10;

/// More bytes than either file has.
const FILE_LENGTH: usize = 1024;

/// What the kernel has counted for the worker's thread since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ThreadAccount {
    /// Time on a processor.
    pub ran: Duration,
    /// Time ready to run, waiting for a processor.
    pub waited: Duration,
}

impl ThreadAccount {
    /// Reads the first two numbers, both in nanoseconds.
    fn parse(text: &str) -> Option<ThreadAccount> {
        let mut numbers =
            text.split_ascii_whitespace().map(|word| word.parse().ok().map(Duration::from_nanos));
        Some(ThreadAccount { ran: numbers.next()??, waited: numbers.next()?? })
    }

    fn since(self, earlier: ThreadAccount) -> ThreadAccount {
        ThreadAccount {
            ran: self.ran.saturating_sub(earlier.ran),
            waited: self.waited.saturating_sub(earlier.waited),
        }
    }
}

/// More detail on what the worker's thread did (`/proc/thread-self/stat`, proc(5)): distinguishes its own work from
/// work that the kernel did for it. Processor times are exact to 10 ms only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ThreadDetails {
    pub user: Duration,
    pub system: Duration,
    pub minor_faults: u64,
    pub major_faults: u64,
}

impl ThreadDetails {
    /// The thread's name before the fields may contain anything, including spaces and brackets.
    fn parse(text: &str) -> Option<ThreadDetails> {
        let fields: Vec<&str> = text.rsplit_once(')')?.1.split_ascii_whitespace().collect();
        let number = |at: usize| fields.get(at)?.parse::<u64>().ok();
        let ticks = |at: usize| Some(Duration::from_millis(number(at)? * 10));
        Some(ThreadDetails {
            minor_faults: number(7)?,
            major_faults: number(9)?,
            user: ticks(11)?,
            system: ticks(12)?,
        })
    }

    fn since(self, earlier: ThreadDetails) -> ThreadDetails {
        ThreadDetails {
            user: self.user.saturating_sub(earlier.user),
            system: self.system.saturating_sub(earlier.system),
            minor_faults: self.minor_faults.saturating_sub(earlier.minor_faults),
            major_faults: self.major_faults.saturating_sub(earlier.major_faults),
        }
    }
}

/// A tick that was queued for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    /// From sending it to handling it.
    pub queued_for: Duration,
    /// What the worker did since the tick before it; `None` if the kernel keeps no account.
    pub account: Option<ThreadAccount>,
    /// Only if the watchdog is detailed.
    pub details: Option<ThreadDetails>,
}

impl Delay {
    /// The worker neither ran nor waited for a processor: it slept while work was ready, or the whole process was
    /// stopped.
    pub fn is_idle(&self) -> bool {
        self.account.is_some_and(|account| (account.ran + account.waited) * MIN_ACTIVE_PART < self.queued_for)
    }
}

/// Measures delayed ticks. It must be made and used on the worker's thread.
pub struct WorkerWatchdog {
    /// Kept open, so that a tick costs one system call. `None` if the kernel has no such file.
    file: Option<File>,
    last: ThreadAccount,
    details_file: Option<File>,
    last_details: ThreadDetails,
    last_handled: Duration,
}

impl WorkerWatchdog {
    /// A watchdog for the calling thread. If `detailed`, it reads two files at each tick instead of one.
    pub fn new(detailed: bool) -> WorkerWatchdog {
        let file = File::open("/proc/thread-self/schedstat").ok();
        let details_file = detailed.then(|| File::open("/proc/thread-self/stat").ok()).flatten();
        let (last, last_details) = (ThreadAccount::default(), ThreadDetails::default());
        let mut watchdog =
            WorkerWatchdog { file, last, details_file, last_details, last_handled: Duration::ZERO };
        watchdog.last = watchdog.read().unwrap_or_default();
        watchdog.last_details = watchdog.read_details().unwrap_or_default();
        watchdog
    }

    fn read(&self) -> Option<ThreadAccount> {
        read_text(self.file.as_ref()?, ThreadAccount::parse)
    }

    fn read_details(&self) -> Option<ThreadDetails> {
        read_text(self.details_file.as_ref()?, ThreadDetails::parse)
    }

    /// Handles a tick that was sent at `posted`. Returns the delay if the tick was delayed; ticks that were sent
    /// during one delay count once.
    pub fn tick(&mut self, posted: Duration, now: Duration) -> Option<Delay> {
        let account = self.read();
        let spent = account.map(|account| account.since(self.last));
        self.last = account.unwrap_or_default();
        let details = self.read_details();
        let details_spent = details.map(|details| details.since(self.last_details));
        self.last_details = details.unwrap_or_default();
        let queued_for = now.saturating_sub(posted);
        let is_new = posted >= self.last_handled;
        self.last_handled = now;
        (is_new && queued_for > MAX_DELAY).then_some(Delay {
            queued_for,
            account: spent,
            details: details_spent,
        })
    }
}

fn read_text<T>(file: &File, parse: impl Fn(&str) -> Option<T>) -> Option<T> {
    let mut text = [0; FILE_LENGTH];
    let length = file.read_at(&mut text, 0).ok()?;
    parse(std::str::from_utf8(&text[..length]).ok()?)
}

#[cfg(test)]
#[path = "../tests/unit/worker_watchdog.rs"]
mod tests;
