//! Tracks which member is the primary of each group, in what term, and how certain that is. No I/O: observations are
//! passed in with the time at which they were made.
//!
//! [`PrimaryTracker`] keeps a record for each group. A member *claims* the role when it reports or answers as primary.
//! Each claim has two times: `made_at`, by which the newest claim wins, and `not_before`, the earliest time at which it
//! can have been made. A *term* is the time during which one member is the primary, from its first claim until another
//! member's. A member that held an earlier term is *fenced*: it becomes the primary again only by a claim that cannot
//! belong to its old term.
//!
//! [`Plan`] is an announced change of the primary, caused by a drain or an order. [`LeaderlessDurations`] is a
//! histogram of how long changes took.
//!
//! ```
//! use juniperdock_primary_tracker::{Claim, Phase, Role, PrimaryTracker};
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let mut tracker = PrimaryTracker::default();
//! (0..2).for_each(|member| tracker.add_member(member, 0));
//! tracker.observe(ms(100), 0, Some(Claim::at(Role::Primary, ms(90))), false);
//! tracker.apply_rules(ms(100), 0, 0);
//! assert_eq!((tracker.primary(0), tracker.term(0), tracker.phase(0)), (Some(0), 1, Phase::Settling));
//! // A successor claims; later claims of the first member belong to its old term.
//! tracker.observe(ms(500), 1, Some(Claim::at(Role::Primary, ms(480))), false);
//! tracker.apply_rules(ms(500), 0, 0);
//! tracker.observe(ms(510), 0, Some(Claim::at(Role::Primary, ms(505))), false);
//! tracker.apply_rules(ms(510), 0, 0);
//! assert_eq!((tracker.primary(0), tracker.term(0)), (Some(1), 2));
//! ```

mod leaderless;
mod plan;
mod record;
mod snapshot;
mod stamp;

pub use leaderless::LeaderlessDurations;
pub use plan::{Plan, PlanReason, Step, UndoReason};
pub use record::{Change, ChangeReason, Claim, Phase, PrimaryTracker, Role};
pub use snapshot::{ClaimsSnapshot, GroupSnapshot};

/// A member that was silent for this long may have missed a change of the primary, or this process may have missed its
/// part in one. The fastest known election takes longer than this.
pub const MAX_SAFE_SILENCE: std::time::Duration = std::time::Duration::from_secs(1);
/// How long a group must have had no primary before a claim counts that may belong to a former primary's old term. A
/// member that resumes after a hang learns of its successor sooner than this.
pub const FENCE: std::time::Duration = std::time::Duration::from_secs(1);
