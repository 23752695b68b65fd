//! A group of members: its primary, its log and its election.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How long writes are kept in the log. A member that is further behind is of no use.
const LOG_RETENTION: Duration = Duration::from_secs(30);

/// A write in the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Write {
    pub at: Duration,
    pub mark: u64,
    pub txn: u32,
}

/// The state of one group.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub members: Vec<usize>,
    pub primary: Option<usize>,
    pub term: u32,
    log: VecDeque<Write>,
    /// Index of the first write that is kept.
    first_index: u64,
    /// When the write with a mark ran. A mark is the reference by which a repeated write is recognized.
    marks: HashMap<u64, Duration>,
    /// Submissions whose answer waits until a replica has their write, with its log index.
    pub unanswered: Vec<(u32, u64)>,
    /// Number of the pending election; older ones are void.
    pub generation: u32,
    pub electing: bool,
    /// Whether a planned handover of the primary is pending.
    pub handing_over: bool,
}

impl Group {
    /// The index that the next write gets.
    pub fn next_index(&self) -> u64 {
        self.first_index + self.log.len() as u64
    }

    /// Appends a write, after removing expired ones, and returns its index. Mark 0 stands for no mark.
    pub fn commit(&mut self, now: Duration, mark: u64, txn: u32) -> u64 {
        while self.log.front().is_some_and(|old| old.at + LOG_RETENTION < now) {
            if let Some(old) = self.log.pop_front() {
                self.first_index += 1;
                if self.marks.get(&old.mark) == Some(&old.at) {
                    self.marks.remove(&old.mark);
                }
            }
        }
        self.log.push_back(Write { at: now, mark, txn });
        if mark != 0 {
            self.marks.insert(mark, now);
        }
        self.next_index() - 1
    }

    /// Whether the write with a mark has run and is still remembered.
    pub fn has_run(&self, mark: u64, arrived: Duration, remembered: Duration) -> bool {
        self.marks.get(&mark).is_some_and(|&at| at + remembered >= arrived)
    }

    /// Index of the write with a mark, while it is in the log.
    pub fn index_of(&self, mark: u64) -> Option<u64> {
        let offset = self.log.iter().rposition(|write| write.mark == mark)?;
        Some(self.first_index + offset as u64)
    }

    /// Removes all writes from an index on, and returns them.
    pub fn truncate_from(&mut self, index: u64) -> Vec<Write> {
        let keep = index.saturating_sub(self.first_index) as usize;
        let dropped: Vec<Write> = self.log.drain(keep.min(self.log.len())..).collect();
        for write in &dropped {
            if self.marks.get(&write.mark) == Some(&write.at) {
                self.marks.remove(&write.mark);
            }
        }
        dropped
    }

    /// Indexes and times of the writes after a time.
    pub fn writes_after(&self, at: Duration) -> impl Iterator<Item = (u64, Duration)> + '_ {
        let from = self.log.partition_point(|write| write.at <= at);
        (from..self.log.len()).map(move |i| (self.first_index + i as u64, self.log[i].at))
    }
}
