//! Tells a worker that sleeps although work is ready from one that works or waits for a processor. An alarm
//! posts a beat to the dispatcher every [`WATCHDOG_PERIOD`](crate::clock::PULSE); a beat that lay for long was not looked at, and the
//! kernel's account of the worker's thread says what the thread did meanwhile (`/proc/thread-self/schedstat`, proc(5)).

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::time::Duration;

/// A beat that lay for longer was held up: two periods of it.
const MAX_DELAY: Duration = Duration::from_millis(40);

/// A worker that ran, or waited for a processor, for this part of the delay or more was not asleep. Where a process has a
/// part of a core only, its processor time is that much less than the time that passes.
const MIN_ACTIVE_PART: u32 = 10;

/// Longer than either file is.
const FILE_LENGTH: usize = 1024;

/// What the kernel has counted for the worker's thread since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ThreadAccount {
    /// On a processor.
    pub ran: Duration,
    /// Ready to run, without a processor.
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

/// What the worker's thread did, in more detail (`/proc/thread-self/stat`, proc(5)): tells work of its own from work that
/// the kernel did for it. Processor times are exact to 10 ms only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ThreadDetails {
    pub user: Duration,
    pub system: Duration,
    pub minor_faults: u64,
    pub major_faults: u64,
}

impl ThreadDetails {
    /// The name before the fields may hold anything, spaces and brackets too.
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

/// A beat that lay for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    /// From its post to its turn.
    pub queued_for: Duration,
    /// What the worker did since the beat before it; nothing where the kernel keeps no account.
    pub account: Option<ThreadAccount>,
    /// Where they are asked for.
    pub details: Option<ThreadDetails>,
}

impl Delay {
    /// The worker neither ran nor waited for a processor: it slept while work was ready, or the whole process was
    /// stopped.
    pub fn is_idle(&self) -> bool {
        self.account.is_some_and(|account| (account.ran + account.waited) * MIN_ACTIVE_PART < self.queued_for)
    }
}

/// Made and asked on the worker's thread only.
pub struct WorkerWatchdog {
    /// Kept open: one call a beat. None where the kernel has no such file.
    file: Option<File>,
    last: ThreadAccount,
    details_file: Option<File>,
    last_details: ThreadDetails,
    last_handled: Duration,
}

impl WorkerWatchdog {
    /// With `detailed` two files are read a beat in place of one.
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

    /// Notes a beat that has its turn now. Gives the delay if it was held up; beats that were posted during one delay
    /// count once.
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
