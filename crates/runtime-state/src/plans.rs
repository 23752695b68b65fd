//! Planned changes of primaries that operators have ordered. Every process of the front holds the group's writes for as
//! long as the change is in progress.

use serde::{Deserialize, Serialize};

/// Two processes convert times to the machine's clock with an error below this, in microseconds.
const MAX_CONVERSION_ERROR_US: u64 = 1000;

/// How far a planned change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeStep {
    /// New writes are held; those in flight at the old primary end.
    Emptying,
    /// All writes are held until a successor claims.
    Awaiting,
    /// The operator has called it off.
    CalledOff,
}

/// What follows from a change that another process has told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Follow {
    /// It is known, or older than what is known.
    Nothing,
    /// It is in progress there and is to be so here.
    TakeUp,
    /// It is in progress here and was called off there.
    CallOff,
}

/// A planned change of one group's primary, which holds the group's writes. Times are since boot, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryChange {
    /// The number of the group in the server list.
    pub group: u64,
    /// The id of the primary that is to be replaced.
    pub leaving: String,
    /// The id of the requested successor.
    pub successor: Option<String>,
    pub step: ChangeStep,
    /// When the change began.
    pub begun_us: i64,
    /// When its present step ends at the latest.
    pub step_ends_us: i64,
    /// The id of the order, if another front has ordered it of all fronts.
    pub order: Option<u64>,
}

impl PrimaryChange {
    /// Whether both are the same change of the same group, however far it has come.
    pub fn is_same(&self, other: &PrimaryChange) -> bool {
        self.group == other.group
            && self.leaving == other.leaving
            && self.begun_us.abs_diff(other.begun_us) <= MAX_CONVERSION_ERROR_US
    }

    /// What another process has to do about this change, given the newest one of the group that it knows itself, if
    /// any.
    pub fn follow(&self, own: Option<&PrimaryChange>, own_in_progress: bool) -> Follow {
        let same = own.is_some_and(|own| own.is_same(self));
        let newer = own.is_none_or(|own| self.begun_us > own.begun_us);
        match self.step {
            ChangeStep::CalledOff if same && own_in_progress => Follow::CallOff,
            ChangeStep::Emptying | ChangeStep::Awaiting if !same && newer && !own_in_progress => {
                Follow::TakeUp
            }
            _ => Follow::Nothing,
        }
    }
}
