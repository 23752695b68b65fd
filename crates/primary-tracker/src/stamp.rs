//! An optional time since the start in eight bytes: there is a record of several for every member.

use std::time::Duration;

/// Microseconds since the start plus 1; 0 means never and orders before any time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Stamp(u64);

impl Stamp {
    pub const NEVER: Stamp = Stamp(0);

    pub fn at(time: Duration) -> Stamp {
        Stamp(u64::try_from(time.as_micros()).unwrap_or(u64::MAX - 1).saturating_add(1))
    }

    pub fn time(self) -> Option<Duration> {
        self.0.checked_sub(1).map(Duration::from_micros)
    }

    pub fn plus(self, span: Duration) -> Stamp {
        self.time().map_or(self, |time| Stamp::at(time + span))
    }
}
