//! The receiver's side: an effect of an older term is refused after one of a newer term.

use crate::TaskId;
use std::collections::BTreeMap;

/// Upper bound on the number of tasks remembered.
const MAX_TASKS: usize = 4096;

/// For each task, the highest term of which this front has carried out an effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    newest: BTreeMap<TaskId, u64>,
    refused: BTreeMap<TaskId, u64>,
}

impl Fence {
    /// Whether an effect may be carried out; `granted` is the newest term that this front itself has granted. The
    /// error is the newest known term, to be sent back.
    ///
    /// ```
    /// let mut fence = juniperdock_lease::Fence::default();
    /// assert_eq!(fence.admit(3, 20, 0), Ok(()));
    /// assert_eq!(fence.admit(3, 10, 0), Err(20));
    /// assert_eq!(fence.admit(3, 20, 30), Err(30), "term 30 is granted, though no effect of it came yet");
    /// assert_eq!(fence.refused_count(3), 2);
    /// ```
    pub fn admit(&mut self, task: TaskId, term: u64, granted: u64) -> Result<(), u64> {
        let newest = self.newest_term(task).max(granted);
        if term < newest {
            if self.refused.len() < MAX_TASKS || self.refused.contains_key(&task) {
                *self.refused.entry(task).or_default() += 1;
            }
            return Err(newest);
        }
        if self.newest.len() < MAX_TASKS || self.newest.contains_key(&task) {
            self.newest.insert(task, term);
            return Ok(());
        }
        // The table is full: an effect that cannot be fenced is not carried out.
        Err(newest)
    }

    /// The highest term of which an effect was admitted; 0 if none was.
    pub fn newest_term(&self, task: TaskId) -> u64 {
        self.newest.get(&task).copied().unwrap_or(0)
    }

    /// How many effects were refused.
    pub fn refused_count(&self, task: TaskId) -> u64 {
        self.refused.get(&task).copied().unwrap_or(0)
    }
}
