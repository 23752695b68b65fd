//! The newest commit reported to each session, for sessions whose clients do not send it along. No routing decision is
//! made here.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// The most sessions of one retention period; with more of them it ends early.
const MAX_SESSIONS: usize = 50_000;

/// Session marks that several processes of one front share while one replaces the other. Times are those of this
/// process.
pub trait SharedSessionMarks: fmt::Debug + Send {
    /// A commit was reported to a session.
    fn record(&self, session: u64, commit: Duration);
    /// A write of a session was sent to a member.
    fn write_sent(&self, session: u64);
    /// A write for which [`SharedSessionMarks::write_sent`] was called has ended; what it may have committed is recorded.
    fn write_ended(&self, session: u64);
    /// Whether any process has a write of the session in flight.
    fn has_write_in_flight(&self, session: u64) -> bool;
    /// The commit up to which a read of the session must see the data.
    fn must_see(&self, session: u64) -> Option<Duration>;
    /// Every session must see all commits up to this one.
    fn raise_floor(&self, commit: Duration);
}

/// The newest commit by session. An entry that is not renewed for a while is dropped, and from then on every session
/// must see the commits of all dropped entries. So memory stays bounded, and no read gets data older than its session
/// may have seen (rule 5), although most reads require slightly more than they need.
///
/// While another process of this front may report commits, too, the marks are shared with it, or every read must see all
/// commits up to its arrival.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    /// There are txn types with session consistency; otherwise nothing is recorded.
    enabled: bool,
    /// Entries renewed in the current retention period, and those of the one before.
    current: HashMap<u64, Duration>,
    previous: HashMap<u64, Duration>,
    /// When the current retention period began.
    rotated_at: Duration,
    /// The newest commit of all dropped entries.
    floor: Option<Duration>,
    /// What the processes of this front share.
    shared: Option<Box<dyn SharedSessionMarks>>,
    /// Another process may report commits that are recorded nowhere here.
    incomplete: bool,
}

impl Sessions {
    /// Records nothing unless `enabled`.
    pub fn new(enabled: bool) -> Sessions {
        Sessions { enabled, ..Sessions::default() }
    }

    /// A commit was reported to a session. It is kept for at least `retention`, unless there are more than
    /// [`MAX_SESSIONS`], and at most twice as long.
    pub fn learn(&mut self, now: Duration, session: Option<u64>, commit: Duration, retention: Duration) {
        let Some(session) = session.filter(|_| self.enabled) else { return };
        if let Some(shared) = &self.shared {
            shared.record(session, commit);
        }
        if now >= self.rotated_at + retention || self.current.len() >= MAX_SESSIONS {
            let dropped = std::mem::replace(&mut self.previous, std::mem::take(&mut self.current));
            self.floor = self.floor.max(dropped.into_values().max());
            self.rotated_at = now;
        }
        let newest = self.current.entry(session).or_insert(commit);
        *newest = commit.max(*newest);
    }

    /// The commit up to which a read of the session that arrives now must see the data; `None` if no commit was reported
    /// to it. A write in flight at another process may be committed already.
    pub fn must_see(&self, now: Duration, session: u64) -> Option<Duration> {
        let shared = self.shared.as_deref();
        if self.incomplete || shared.is_some_and(|shared| shared.has_write_in_flight(session)) {
            return Some(now);
        }
        let here = self.current.get(&session).max(self.previous.get(&session)).max(self.floor.as_ref());
        here.copied().max(shared.and_then(|shared| shared.must_see(session)))
    }

    /// Entries of commits up to this one may be missing: every session must see all of them.
    pub fn lost(&mut self, commit: Duration) {
        self.floor = self.floor.max(Some(commit));
        if let Some(shared) = &self.shared {
            shared.raise_floor(commit);
        }
    }

    /// Whether marks are recorded at all.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Shares all marks from now on. `in_flight`: the sessions of the writes in flight, one for each write.
    pub fn share(&mut self, shared: Box<dyn SharedSessionMarks>, in_flight: &[u64]) {
        for (&session, &commit) in self.previous.iter().chain(&self.current) {
            shared.record(session, commit);
        }
        self.floor.into_iter().for_each(|floor| shared.raise_floor(floor));
        in_flight.iter().for_each(|&session| shared.write_sent(session));
        self.shared = Some(shared);
    }

    /// Shares no marks any more. The writes in flight count as ended: nobody would tell of their end.
    pub fn stop_sharing(&mut self, in_flight: &[u64]) {
        if let Some(shared) = self.shared.take() {
            in_flight.iter().for_each(|&session| shared.write_ended(session));
        }
    }

    /// Sets whether another process may report commits that are recorded nowhere here.
    pub fn set_incomplete(&mut self, incomplete: bool) {
        self.incomplete = incomplete;
    }

    /// A write of a session was sent to a member.
    pub fn write_sent(&self, session: Option<u64>) {
        if let Some((shared, session)) = self.shared.as_ref().zip(session) {
            shared.write_sent(session);
        }
    }

    /// A write of a session has ended, after [`Sessions::learn`] if it may have run.
    pub fn write_ended(&self, session: Option<u64>) {
        if let Some((shared, session)) = self.shared.as_ref().zip(session) {
            shared.write_ended(session);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::{Arc, Mutex, MutexGuard};

    #[test]
    fn dropped_entries_still_count_and_memory_stays_bounded() {
        let (s, retention, mut sessions) =
            (Duration::from_secs, Duration::from_secs(60), Sessions::new(true));
        assert_eq!(sessions.must_see(s(0), 7), None);
        sessions.learn(s(1), Some(7), s(1), retention);
        sessions.learn(s(2), Some(7), Duration::from_millis(500), retention);
        assert_eq!(
            sessions.must_see(s(0), 7),
            Some(s(1)),
            "the newest commit counts, whatever was reported last"
        );
        assert_eq!(sessions.must_see(s(0), 8), None);
        for at in 3..600 {
            sessions.learn(s(at), Some(1000 + at), s(at), retention);
            assert!(sessions.must_see(s(0), 7) >= Some(s(1)), "at {at}");
            assert_eq!(sessions.must_see(s(0), 1000 + at), Some(s(at)));
            assert!(sessions.current.len() + sessions.previous.len() <= 120, "at {at}");
        }
        let floor = sessions.must_see(s(0), 8);
        assert!(floor >= Some(s(400)) && floor < Some(s(540)), "{floor:?}");
        sessions.lost(s(700));
        assert_eq!(sessions.must_see(s(0), 8), Some(s(700)));
    }

    #[test]
    fn flood_of_new_sessions_uses_bounded_memory_and_keeps_what_sessions_must_see() {
        let (now, retention, mut sessions) =
            (Duration::from_secs(1), Duration::from_secs(60), Sessions::new(true));
        sessions.learn(now, Some(7), now, retention);
        for session in 1000..1000 + 3 * MAX_SESSIONS as u64 {
            sessions.learn(now, Some(session), now, retention);
            assert!(sessions.current.len() + sessions.previous.len() <= 2 * MAX_SESSIONS);
        }
        assert_eq!(sessions.must_see(now, 7), Some(now));
    }

    #[derive(Debug, Default)]
    struct Marks {
        commits: HashMap<u64, Duration>,
        in_flight: Vec<u64>,
        floor: Option<Duration>,
    }

    /// Marks of two processes, in memory of the test.
    #[derive(Clone, Debug, Default)]
    struct Table(Arc<Mutex<Marks>>);

    impl Table {
        fn marks(&self) -> MutexGuard<'_, Marks> {
            self.0.lock().expect("no panic")
        }
    }

    impl SharedSessionMarks for Table {
        fn record(&self, session: u64, commit: Duration) {
            let mut marks = self.marks();
            let newest = marks.commits.entry(session).or_insert(commit);
            *newest = commit.max(*newest);
        }

        fn write_sent(&self, session: u64) {
            self.marks().in_flight.push(session);
        }

        fn write_ended(&self, session: u64) {
            self.marks().in_flight.retain(|&other| other != session);
        }

        fn has_write_in_flight(&self, session: u64) -> bool {
            self.marks().in_flight.contains(&session)
        }

        fn must_see(&self, session: u64) -> Option<Duration> {
            let marks = self.marks();
            marks.commits.get(&session).copied().max(marks.floor)
        }

        fn raise_floor(&self, commit: Duration) {
            let mut marks = self.marks();
            marks.floor = marks.floor.max(Some(commit));
        }
    }

    #[test]
    fn marks_of_all_processes_bind_in_each_of_them() {
        let (s, retention, table) = (Duration::from_secs, Duration::from_secs(60), Table::default());
        let (mut old, mut new) = (Sessions::new(true), Sessions::new(true));
        old.learn(s(1), Some(7), s(1), retention);
        new.set_incomplete(true);
        assert_eq!(new.must_see(s(2), 8), Some(s(2)), "unknown until the marks are shared");
        old.share(Box::new(table.clone()), &[9]);
        new.share(Box::new(table), &[]);
        new.set_incomplete(false);
        assert_eq!((new.must_see(s(2), 7), new.must_see(s(2), 8)), (Some(s(1)), None));
        assert_eq!(new.must_see(s(2), 9), Some(s(2)), "in flight when the marks were shared");
        old.learn(s(3), Some(9), s(3), retention);
        old.write_ended(Some(9));
        assert_eq!(new.must_see(s(4), 9), Some(s(3)), "committed after the marks were shared");
        new.write_sent(Some(5));
        assert_eq!(old.must_see(s(4), 5), Some(s(4)));
        new.stop_sharing(&[5]);
        assert_eq!((old.must_see(s(4), 5), new.must_see(s(4), 9)), (None, None));
        old.lost(s(4));
        new.share(old.shared.take().expect("shared"), &[]);
        assert_eq!(new.must_see(s(5), 5), Some(s(4)), "lost by one is lost by all");
    }
}
