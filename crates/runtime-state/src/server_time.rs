//! The servers' time as a process knows it: its wall clock at the start, corrected by what servers have proven.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The servers' time at an instant of the machine's clock, which no step of the wall clock moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerTime {
    /// The instant, as time since boot in microseconds.
    pub boot_us: i64,
    /// The servers' time then, in microseconds since 1970.
    pub unix_us: i64,
    /// A primary has shown just before that this time is not behind the servers'.
    pub confirmed: bool,
    /// The least that this time is ahead of the servers'.
    pub ahead: Duration,
}

impl ServerTime {
    /// The servers' time at another instant.
    fn at(&self, boot_us: i64) -> i64 {
        self.unix_us.saturating_add(boot_us.saturating_sub(self.boot_us))
    }

    /// The servers' time that a process starts from: `boot_us` is the instant of its start, `unix_us` its own reading of
    /// the wall clock. The clock may have been stepped since the other process has read it, so a time that servers have
    /// confirmed goes before the reading. Otherwise the later of both counts: data then seems older, never younger.
    pub fn origin(&self, boot_us: i64, unix_us: i64) -> i64 {
        let told = self.at(boot_us);
        if self.confirmed { told } else { told.max(unix_us) }
    }
}
