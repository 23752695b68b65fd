//! Requests that no emulated client sent: copies of what one has sent, and requests of clients of the rig's own.

use std::collections::HashMap;
use std::time::Duration;

/// The first character of the ids of the rig's own requests; emulated clients' ids are hexadecimal.
pub(crate) const FOREIGN_PREFIX: char = 'x';
/// After a process has started, or during an upgrade, a process can't know what another was sent: nothing is copied.
const NO_COPIES_FOR: Duration = Duration::from_secs(5);

/// What emulated clients have sent of late, and the rig's own requests.
#[derive(Default)]
pub(crate) struct ForeignRequests {
    /// The last statement sent to each front, and the last one that it has sent on: only that has certainly been read.
    last_sent: HashMap<usize, String>,
    last_read: HashMap<usize, String>,
    /// Since when statements of each front are copied.
    copied_from: HashMap<usize, Duration>,
    next_id: u64,
    /// When the clients of these requests have left.
    left: HashMap<String, Duration>,
}

impl ForeignRequests {
    /// An emulated client has sent this to a front.
    pub(crate) fn sent(&mut self, front: usize, text: &str) {
        self.last_sent.insert(front, text.to_owned());
    }

    /// A server has received this from a front.
    pub(crate) fn sent_on(&mut self, front: usize, text: &str) {
        self.last_read.insert(front, text.to_owned());
    }

    /// The last statement that was sent to this front.
    pub(crate) fn last_sent(&self, front: usize) -> Option<String> {
        self.last_sent.get(&front).cloned()
    }

    /// The last statement that this front's present process has read, as far as that is known.
    pub(crate) fn to_copy(&self, now: Duration, front: usize) -> Option<String> {
        let is_known = self.copied_from.get(&front).is_none_or(|from| now >= *from);
        self.last_read.get(&front).filter(|_| is_known).cloned()
    }

    /// The process of this front changes.
    pub(crate) fn process_changes(&mut self, now: Duration, front: usize) {
        self.last_read.remove(&front);
        self.copied_from.insert(front, now + NO_COPIES_FOR);
    }

    /// A new id.
    pub(crate) fn new_id(&mut self) -> String {
        self.next_id += 1;
        format!("{FOREIGN_PREFIX}{}", self.next_id)
    }

    /// The client of these requests has left.
    pub(crate) fn left(&mut self, now: Duration, ids: Vec<String>) {
        self.left.extend(ids.into_iter().map(|id| (id, now)));
    }

    /// When the client of this request left, if it has.
    pub(crate) fn left_at(&self, id: &str) -> Option<Duration> {
        self.left.get(id).copied()
    }
}
