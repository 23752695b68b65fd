//! One owner at a time for work that one front does for all, and no harm by an owner that wakes up late.
//!
//! A duty is leased by a majority of the configured tier, without a disk ([`Grants`], [`Claim`]). Who asks is
//! decided by rendezvous hashing over the fronts that are there ([`first`]); who gets is decided by the majority.
//! Every effect of an owner carries its duty and term, and leaves through one place that reads the clock last
//! ([`LeaseManager::act`]); every receiver keeps the highest term and refuses lower ones ([`Fence`]).
//!
//! No I/O: datagrams, times and chance are handed in. `docs/ownership.md` has the ways weighed, the proof and what
//! is taken for granted of clocks. After Gray and Cheriton, Leases, SOSP 1989, and Lamport, The Part-Time
//! Parliament, 1998; terms that receivers keep after Burrows, Chubby, OSDI 2006, section 2.4.

mod claim;
mod fence;
mod grants;
mod office;
mod place;
mod words;

pub use claim::Claim;
pub use fence::Fence;
pub use grants::{Answer, Grants, Holder};
pub use office::{Event, FleetView, Host, LeaseManager, Stands, TaskSet};
pub use place::{first, order, shard};
pub use words::{LONGEST, Words};

use std::time::Duration;

/// A duty by its number.
pub type TaskId = u64;

/// Clocks of two fronts drift apart by no more than one part in so many: quartz is 1,000 times better, and a
/// clock that is slewed moves by 1 in 2,000 at most.
pub const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// How long an owner counts on what was granted for a time: each clock may be off by [`CLOCK_DRIFT_DIVISOR`].
///
/// ```
/// use std::time::Duration;
/// assert_eq!(juniperdock_lease::counted(Duration::from_secs(5)), Duration::from_millis(4800));
/// ```
pub fn counted(lasts: Duration) -> Duration {
    lasts - lasts * 2 / CLOCK_DRIFT_DIVISOR
}

/// A majority of a tier.
pub fn majority(tier: usize) -> usize {
    tier / 2 + 1
}
