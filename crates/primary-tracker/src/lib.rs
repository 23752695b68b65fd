//! Who is primary of a group, in what term, and how sure that is. No input or output: evidence goes in with
//! the time it came, and what follows from it can be read.
//!
//! [`PrimaryTracker`] holds a record for each group. A member *claims* the role when it reports or answers as
//! primary; each claim has a date, which the newest claim wins by, and a proof, the earliest time at which it
//! can have been made. A *term* is the time in office of one member, from its first claim until another's;
//! who has held an earlier term is *fenced*: it regains the slot only by a claim that can't be of its old
//! term.
//!
//! [`Plan`] is a change of primaries that was announced, by a drain or an order; [`LeaderlessDurations`] remembers how
//! long changes took.
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
//! // A successor claims; what the first says from then on is of its old term.
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

/// A silence of a member that is as long as this can have hidden a change of primaries from it or from us:
/// the quickest election known here takes longer.
pub const MAX_SAFE_SILENCE: std::time::Duration = std::time::Duration::from_secs(1);
/// The slot has to be empty for so long before a claim counts that may be of a former primary's old term. Who
/// wakes learns of its successor sooner.
pub const FENCE: std::time::Duration = std::time::Duration::from_secs(1);
