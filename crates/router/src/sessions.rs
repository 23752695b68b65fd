//! The newest commit reported to each session, for sessions whose clients do not send it along. No routing decision is
//! made here.

use std::collections::HashMap;
use std::time::Duration;

/// The most sessions of one retention period; with more of them it ends early.
const MAX_SESSIONS: usize = 50_000;

/// The newest commit by session. An entry that is not renewed for a while is dropped, and from then on every session
/// must see the commits of all dropped entries. So memory stays bounded, and no read gets data older than its session
/// may have seen (rule 5), although most reads require slightly more than they need.
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
        if now >= self.rotated_at + retention || self.current.len() >= MAX_SESSIONS {
            let dropped = std::mem::replace(&mut self.previous, std::mem::take(&mut self.current));
            self.floor = self.floor.max(dropped.into_values().max());
            self.rotated_at = now;
        }
        let newest = self.current.entry(session).or_insert(commit);
        *newest = commit.max(*newest);
    }

    /// The commit up to which a read of the session must see the data; `None` if no commit was reported to it.
    pub fn must_see(&self, session: u64) -> Option<Duration> {
        self.current.get(&session).max(self.previous.get(&session)).max(self.floor.as_ref()).copied()
    }

    /// Entries from before `now` may be missing: every session must see all commits up to now.
    pub fn lost(&mut self, now: Duration) {
        self.floor = self.floor.max(Some(now));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn dropped_entries_still_count_and_memory_stays_bounded() {
        let (s, retention, mut sessions) =
            (Duration::from_secs, Duration::from_secs(60), Sessions::new(true));
        assert_eq!(sessions.must_see(7), None);
        sessions.learn(s(1), Some(7), s(1), retention);
        sessions.learn(s(2), Some(7), Duration::from_millis(500), retention);
        assert_eq!(sessions.must_see(7), Some(s(1)), "the newest commit counts, whatever was reported last");
        assert_eq!(sessions.must_see(8), None);
        for at in 3..600 {
            sessions.learn(s(at), Some(1000 + at), s(at), retention);
            assert!(sessions.must_see(7) >= Some(s(1)), "at {at}");
            assert_eq!(sessions.must_see(1000 + at), Some(s(at)));
            assert!(sessions.current.len() + sessions.previous.len() <= 120, "at {at}");
        }
        let floor = sessions.must_see(8);
        assert!(floor >= Some(s(400)) && floor < Some(s(540)), "{floor:?}");
        sessions.lost(s(700));
        assert_eq!(sessions.must_see(8), Some(s(700)));
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
        assert_eq!(sessions.must_see(7), Some(now));
    }
}
