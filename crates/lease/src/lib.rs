//! Leases for fleet tasks: at most one front owns a task at a time, and a late owner does no harm.
//!
//! A task is leased by a majority of the configured cluster of fronts, without a disk ([`Grants`], [`Claim`]).
//! Rendezvous hashing over the fronts that are present decides which front requests the lease ([`preferred_owner`]);
//! the majority decides who gets it. Every effect of an owner carries its task and term, and leaves through one
//! function that reads the clock last ([`LeaseManager::send_effect`]). Every receiver keeps the highest term and
//! refuses lower ones ([`Fence`]).
//!
//! No I/O: datagrams, times and random seeds are passed in. `docs/ownership.md` has the alternatives, the proof and
//! the assumptions about clocks. After Gray and Cheriton, Leases, SOSP 1989, and Lamport, The Part-Time
//! Parliament, 1998; terms that receivers keep after Burrows, Chubby, OSDI 2006, section 2.4.

mod claim;
mod fence;
mod grants;
mod manager;
mod messages;
mod placement;

pub use claim::Claim;
pub use fence::Fence;
pub use grants::{Answer, Grants, Holder};
pub use manager::{Event, FleetView, Host, LeaseManager, TaskSet, TaskStatus};
pub use messages::{MAX_BODY_BYTES, MessageBatch};
pub use placement::{preferred_owner, preferred_owners, shard};

use std::time::Duration;

/// Number of a fleet task.
pub type TaskId = u64;

/// The clocks of two fronts drift apart by at most 1 part in this many. Quartz is 1,000 times better, and a clock
/// that is being slewed moves by 1 in 2,000 at most.
pub const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// How long an owner may rely on a grant: both clocks may be off by 1 part in [`CLOCK_DRIFT_DIVISOR`].
///
/// ```
/// use std::time::Duration;
/// assert_eq!(juniperdock_lease::usable_duration(Duration::from_secs(5)), Duration::from_millis(4800));
/// ```
pub fn usable_duration(lease_duration: Duration) -> Duration {
    lease_duration - lease_duration * 2 / CLOCK_DRIFT_DIVISOR
}

/// The number of fronts that form a majority.
pub fn majority(cluster_size: usize) -> usize {
    cluster_size / 2 + 1
}
