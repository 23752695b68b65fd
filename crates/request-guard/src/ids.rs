//! The ids of requests. An id belongs to one request: a second request with it is not sound, whether the first is still
//! open, was answered, or lost its client. Running it would repeat the first one's effect, and its answer would be
//! another's.

use std::collections::HashSet;
use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

/// An id in the form in which it is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestIdHash(u64);

/// A request's id that an earlier request has had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateId;

impl fmt::Display for DuplicateId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("expected an id that no earlier request has had")
    }
}

impl std::error::Error for DuplicateId {}

/// The ids of all open requests, and of those that have ended of late. Memory is bounded by the number of open requests
/// and a limit for the others, of which the oldest are forgotten first.
#[derive(Debug)]
pub struct RequestIds {
    hasher: RandomState,
    open: HashSet<RequestIdHash>,
    /// Ids of ended requests; all of the older set is forgotten at once.
    recent: HashSet<RequestIdHash>,
    older: HashSet<RequestIdHash>,
    /// When `recent` was begun.
    recent_since: Duration,
    /// How long the id of an ended request is remembered at least, as long as the limit allows it.
    retention: Duration,
    /// The most ids in each of the two sets of ended requests.
    max_ended: usize,
}

impl RequestIds {
    /// Remembers nothing yet.
    pub fn new(retention: Duration, max_ended: usize) -> RequestIds {
        RequestIds {
            hasher: RandomState::new(),
            open: HashSet::new(),
            recent: HashSet::new(),
            older: HashSet::new(),
            recent_since: Duration::ZERO,
            retention,
            max_ended,
        }
    }

    /// Records the id of a new request.
    ///
    /// # Errors
    /// If an earlier request has had it.
    pub fn open(&mut self, now: Duration, id: &str) -> Result<RequestIdHash, DuplicateId> {
        self.forget_old(now);
        let id = RequestIdHash(self.hasher.hash_one(id));
        if self.recent.contains(&id) || self.older.contains(&id) || !self.open.insert(id) {
            return Err(DuplicateId);
        }
        Ok(id)
    }

    /// Records that the request with this id has ended, in whatever way.
    pub fn end(&mut self, now: Duration, id: RequestIdHash) {
        self.open.remove(&id);
        if self.recent.len() >= self.max_ended {
            self.start_recent(now);
        }
        self.recent.insert(id);
    }

    fn forget_old(&mut self, now: Duration) {
        if now >= self.recent_since + self.retention {
            self.start_recent(now);
        }
    }

    fn start_recent(&mut self, now: Duration) {
        self.older = std::mem::take(&mut self.recent);
        self.recent_since = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RETENTION: Duration = Duration::from_secs(10);

    fn at(seconds: u64) -> Duration {
        Duration::from_secs(seconds)
    }

    #[test]
    fn id_is_refused_while_its_request_is_open_and_for_the_retention_after_its_end() {
        let mut ids = RequestIds::new(RETENTION, 100);
        let first = ids.open(at(0), "a").expect("a new id");
        for seconds in 1..60 {
            assert_eq!(ids.open(at(seconds), "a"), Err(DuplicateId), "open at {seconds} s");
        }
        ids.end(at(60), first);
        for seconds in 60..70 {
            assert_eq!(ids.open(at(seconds), "a"), Err(DuplicateId), "at {seconds} s");
        }
        assert!(ids.open(at(60), "b").is_ok());
        assert!(ids.open(at(90), "a").is_ok(), "forgotten");
    }

    #[test]
    fn flood_of_ids_uses_bounded_memory_and_leaves_open_ones_known() {
        let mut ids = RequestIds::new(RETENTION, 100);
        ids.open(at(0), "open").expect("a new id");
        for i in 0..10_000 {
            let id = ids.open(at(1), &format!("n{i}")).expect("a new id");
            ids.end(at(1), id);
            assert!(ids.recent.len() + ids.older.len() <= 200);
        }
        assert_eq!(ids.open(at(1), "open"), Err(DuplicateId));
        assert_eq!(ids.open(at(1), "n9999"), Err(DuplicateId));
    }
}
