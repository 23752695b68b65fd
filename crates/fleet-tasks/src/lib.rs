//! Work that one front does for the whole fleet, without I/O: probing members and telling the others
//! ([`HealthObserver`]), a planned change of a primary that every front holds for ([`PrimaryMove`]), and rolling
//! upgrades ([`UpgradeCoordinator`]). `juniperdock_lease` decides which front owns a task and fences stale owners.
//! `docs/ownership.md` says what each effect may do when it comes late or twice.
//!
//! The correctness of txns does not depend on it: observations are proofs dated by the member itself, and a hold is a
//! front's own plan, which ends at its own deadline.

mod health;
mod primary_move;
mod rolling_upgrade;

pub use health::{HealthObserver, Observation, ProbeRole, SHARDS};
pub use primary_move::{
    HoldStep, MoveAction, Outcome, PrimaryMove, decode_order, decode_step, encode_hold, encode_release,
    encode_step,
};
pub use rolling_upgrade::{
    FrontReport, FrontView, UpgradeCoordinator, UpgradeOutcome, UpgradeState, UpgradeStep,
};

use juniperdock_lease::TaskId;

/// The first task number of planned primary changes, one for each group.
const FIRST_MOVE_TASK: TaskId = 1024;

/// The task of a rolling upgrade.
pub const ROLLING_UPGRADE: TaskId = 0;

/// The task of observing the members of a shard.
pub fn health_task(shard: u64) -> TaskId {
    1 + shard
}

/// The task of a planned change of a group's primary; it has an owner only while a change is wanted.
pub fn move_task(group: u64) -> TaskId {
    FIRST_MOVE_TASK.saturating_add(group)
}

/// A task's printed name, with its group or shard.
///
/// ```
/// use juniperdock_fleet_tasks::{health_task, move_task, task_name};
/// assert_eq!((task_name(health_task(2)), task_name(move_task(7))), ("care 2".to_owned(), "move 7".to_owned()));
/// ```
pub fn task_name(task: TaskId) -> String {
    match task {
        0 => "roll".to_owned(),
        task if task >= FIRST_MOVE_TASK => format!("move {}", task - FIRST_MOVE_TASK),
        task => format!("care {}", task - 1),
    }
}

/// The shard that a task observes.
pub fn health_shard(task: TaskId) -> Option<usize> {
    (1..=SHARDS).contains(&task).then(|| task as usize - 1)
}

/// The group whose primary a task changes.
pub fn moved_group(task: TaskId) -> Option<u64> {
    task.checked_sub(FIRST_MOVE_TASK)
}
