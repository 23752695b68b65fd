//! One life of a front: which place of the tier it has, and when that life began.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Lives count in this unit since 2026 began: 2^32 of them are 8.7 years.
const UNIT_MS: u128 = 64;
const FROM_MS: u128 = 1_767_225_600_000;
/// A life that a wall clock gives is no later than this, so that it always has later ones: each start under a clock that is
/// behind, and each return of a front that was taken for dead, takes one.
const LATEST_BY_CLOCK: u32 = u32::MAX - (1 << 24);
/// No front gets into a later life than this.
pub const LATEST: u32 = u32::MAX - 1;

/// A front in one of its lives. A later life of the same place takes over from an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Who {
    pub index: u16,
    pub life: u32,
}

/// The life that begins at this time since 1970. It is a hint: a wall clock may be off or stepped. What decides is what the
/// other fronts remember; one that they know in a later life goes above that.
///
/// ```
/// use juniperdock_membership::incarnation_at;
/// use std::time::Duration;
/// let early = incarnation_at(Duration::from_secs(1_767_225_700));
/// assert!(early > 0 && incarnation_at(Duration::from_secs(1_767_225_701)) > early);
/// assert_eq!(incarnation_at(Duration::ZERO), 1);
/// ```
pub fn incarnation_at(unix: Duration) -> u32 {
    let units = unix.as_millis().saturating_sub(FROM_MS) / UNIT_MS;
    u32::try_from(units).unwrap_or(LATEST_BY_CLOCK).clamp(1, LATEST_BY_CLOCK)
}

impl Identity for Who {
    type Addr = u16;

    /// Declared dead, it goes on under a later life.
    fn renew(&self) -> Option<Self> {
        Some(Who { life: self.life.checked_add(1).filter(|life| *life <= LATEST)?, ..*self })
    }

    fn addr(&self) -> u16 {
        self.index
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.life > other.life
    }
}
