//! The newest commit that each session was told of, where its clients don't carry it. Nothing is decided here.
use std::collections::HashMap;
use std::time::Duration;

/// Commits by session. One that is not renewed for a while is forgotten: from then on every session must
/// see what any forgotten one wrote. So memory stays bounded, and no read gets an older answer than its session
/// may have seen (rule 5); most ask for a little more than they need.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    /// There are reads that need it.
    enabled: bool,
    current: HashMap<u64, Duration>,
    previous: HashMap<u64, Duration>,
    /// When the young ones began to be collected.
    rotated_at: Duration,
    /// Newest commit of those that are forgotten.
    floor: Option<Duration>,
}

impl Sessions {
    pub fn new(enabled: bool) -> Sessions {
        Sessions { enabled, ..Sessions::default() }
    }

    /// A session was told of a commit. Each is kept for `keep` at least and twice as long at most.
    pub fn learn(&mut self, now: Duration, session: Option<u64>, commit: Duration, retention: Duration) {
        let Some(session) = session.filter(|_| self.enabled) else { return };
        if now >= self.rotated_at + retention {
            let dropped = std::mem::replace(&mut self.previous, std::mem::take(&mut self.current));
            self.floor = self.floor.max(dropped.into_values().max());
            self.rotated_at = now;
        }
        let newest = self.current.entry(session).or_insert(commit);
        *newest = commit.max(*newest);
    }

    /// Up to which commit a read of the session must see; nothing where it has been told of none.
    pub fn must_see(&self, session: u64) -> Option<Duration> {
        self.current.get(&session).max(self.previous.get(&session)).max(self.floor.as_ref()).copied()
    }

    /// Whatever was told before `now` may be missing.
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
}
