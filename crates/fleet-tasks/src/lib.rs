//! What one front does on behalf of all, without I/O: it asks members and tells the others ([`HealthObserver`]), and has a
//! planned change of a primary held by every front ([`Move`]). Who owns a duty, and that an owner of old does no
//! harm, is `juniperdock_lease`'s. `docs/ownership.md` says what each effect may do when it comes late or twice.
//!
//! No rule on txns rests on what is told here: facts are proofs with the date that the member itself told, and a
//! hold is a front's own plan, which ends at its own time.

mod care;
mod moves;
mod roll;

pub use care::{HealthObserver, Observation, ProbeRole, SHARDS};
pub use moves::{Act, HoldStep, Move, Outcome, hold, release, say, step, words};
pub use roll::{End, Roll, Rolling, Sees, Serves, Step as RollStep};

use juniperdock_lease::TaskId;

/// Groups' changes have duties from this number on.
const MOVES: TaskId = 1024;

/// The duty of a rolling upgrade.
pub const ROLL: TaskId = 0;

/// The duty of the members of a part of the fleet.
pub fn care(shard: u64) -> TaskId {
    1 + shard
}

/// The duty of a planned change of a group's primary; only ordered ones have owners.
pub fn moving(group: u64) -> TaskId {
    MOVES.saturating_add(group)
}

/// What a duty is called, and the group or part that it is about.
///
/// ```
/// use juniperdock_fleet_tasks::{care, moving, name};
/// assert_eq!((name(care(2)), name(moving(7))), ("care 2".to_owned(), "move 7".to_owned()));
/// ```
pub fn name(duty: TaskId) -> String {
    match duty {
        0 => "roll".to_owned(),
        duty if duty >= MOVES => format!("move {}", duty - MOVES),
        duty => format!("care {}", duty - 1),
    }
}

/// The part of the fleet that a duty cares for.
pub fn cared(duty: TaskId) -> Option<usize> {
    (1..=SHARDS).contains(&duty).then(|| duty as usize - 1)
}

/// The group whose change a duty is.
pub fn moved(duty: TaskId) -> Option<u64> {
    duty.checked_sub(MOVES)
}
