//! The receiver's part: an effect of an older term does nothing after one of a newer.

use crate::TaskId;
use std::collections::BTreeMap;

/// Duties that are remembered at most.
const MOST: usize = 4096;

/// The highest term of each duty that this front has carried out an effect of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    newest: BTreeMap<TaskId, u64>,
    refused: BTreeMap<TaskId, u64>,
}

impl Fence {
    /// Whether an effect may be carried out; `granted` is the newest term that this front itself has granted. The
    /// error is the newest term, for its sender.
    ///
    /// ```
    /// let mut fence = juniperdock_lease::Fence::default();
    /// assert_eq!(fence.passes(3, 20, 0), Ok(()));
    /// assert_eq!(fence.passes(3, 10, 0), Err(20));
    /// assert_eq!(fence.passes(3, 20, 30), Err(30), "granted already, though nothing was done in it yet");
    /// assert_eq!(fence.refused(3), 2);
    /// ```
    pub fn passes(&mut self, duty: TaskId, term: u64, granted: u64) -> Result<(), u64> {
        let newest = self.newest(duty).max(granted);
        if term < newest {
            if self.refused.len() < MOST || self.refused.contains_key(&duty) {
                *self.refused.entry(duty).or_default() += 1;
            }
            return Err(newest);
        }
        if self.newest.len() < MOST || self.newest.contains_key(&duty) {
            self.newest.insert(duty, term);
            return Ok(());
        }
        // No room to remember it: what can't be fenced is not done.
        Err(newest)
    }

    pub fn newest(&self, duty: TaskId) -> u64 {
        self.newest.get(&duty).copied().unwrap_or(0)
    }

    /// Effects that were refused.
    pub fn refused(&self, duty: TaskId) -> u64 {
        self.refused.get(&duty).copied().unwrap_or(0)
    }
}
