//! The identity of one incarnation of a front: its place in the cluster, and when the incarnation began.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Incarnations count in this unit from the start of 2026: 2^32 of them are 8.7 years.
const INCARNATION_UNIT_MS: u128 = 64;
const INCARNATION_EPOCH_MS: u128 = 1_767_225_600_000;
/// The highest incarnation that a wall clock gives. It leaves room above: each start under a clock that is behind, and
/// each return of a front that was declared dead, takes a later one.
const MAX_CLOCK_INCARNATION: u32 = u32::MAX - (1 << 24);
/// No front gets a later incarnation than this.
pub const MAX_INCARNATION: u32 = u32::MAX - 1;

/// A front in one incarnation. A later incarnation of the same place replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerId {
    pub index: u16,
    #[serde(rename = "life")]
    pub incarnation: u32,
}

/// The incarnation that begins at this time since 1970. It is a hint, as a wall clock may be off or stepped. What the
/// other fronts remember decides: a front that they know in a later incarnation goes above that.
///
/// ```
/// use juniperdock_membership::incarnation_at;
/// use std::time::Duration;
/// let early = incarnation_at(Duration::from_secs(1_767_225_700));
/// assert!(early > 0 && incarnation_at(Duration::from_secs(1_767_225_701)) > early);
/// assert_eq!(incarnation_at(Duration::ZERO), 1);
/// ```
pub fn incarnation_at(unix: Duration) -> u32 {
    let units = unix.as_millis().saturating_sub(INCARNATION_EPOCH_MS) / INCARNATION_UNIT_MS;
    u32::try_from(units).unwrap_or(MAX_CLOCK_INCARNATION).clamp(1, MAX_CLOCK_INCARNATION)
}

impl Identity for PeerId {
    type Addr = u16;

    /// A front that was declared dead goes on under a later incarnation.
    fn renew(&self) -> Option<Self> {
        Some(PeerId {
            incarnation: self
                .incarnation
                .checked_add(1)
                .filter(|incarnation| *incarnation <= MAX_INCARNATION)?,
            ..*self
        })
    }

    fn addr(&self) -> u16 {
        self.index
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.incarnation > other.incarnation
    }
}
