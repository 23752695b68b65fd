//! Shares the marks of sessions with the process that this one replaces and with the one that replaces it. While there
//! is a previous process without shared marks, what it commits is unknown here.

use super::Dispatcher;
use juniperdock_deployment::span;
use juniperdock_router::sessions::SharedSessionMarks;
use juniperdock_session_marks::{SharedMarks, TableError};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;

/// What the processes of this front know of each other's marks.
#[derive(Default)]
pub(super) struct MarkSharing {
    /// The table that they share, from the first upgrade on. It stays: which other processes use it can't be known here.
    table: Option<Arc<SharedMarks>>,
    /// A previous process may still report commits that are not in the table.
    is_incomplete: bool,
}

/// A shared table with times of this process.
#[derive(Debug)]
struct TableOfProcess {
    table: Arc<SharedMarks>,
    /// The start of this process, in microseconds since 1970.
    start: i64,
}

impl TableOfProcess {
    /// Microseconds since 1970, rounded up: a mark must not bind less than it did.
    fn unix(&self, at: Duration) -> u64 {
        let micros = u64::try_from(at.as_nanos().div_ceil(1000)).unwrap_or(u64::MAX);
        micros.saturating_add_signed(self.start)
    }

    /// A time before the start of this process becomes its start.
    fn since_start(&self, unix: u64) -> Duration {
        span(i64::try_from(unix).unwrap_or(i64::MAX).saturating_sub(self.start))
    }
}

impl SharedSessionMarks for TableOfProcess {
    fn record(&self, session: u64, commit: Duration) {
        self.table.record(session, self.unix(commit));
    }

    fn write_sent(&self, session: u64) {
        self.table.write_sent(session);
    }

    fn write_ended(&self, session: u64) {
        self.table.write_ended(session);
    }

    fn has_write_in_flight(&self, session: u64) -> bool {
        self.table.has_write_in_flight(session)
    }

    fn must_see(&self, session: u64) -> Option<Duration> {
        self.table.must_see(session).map(|commit| self.since_start(commit))
    }

    fn raise_floor(&self, commit: Duration) {
        self.table.raise_floor(self.unix(commit));
    }
}

impl Dispatcher {
    /// Applies what is shared to a router, which may be a new one.
    pub(super) fn apply_mark_sharing(&mut self) {
        let MarkSharing { table, is_incomplete } = &self.mark_sharing;
        if let Some(table) = table.clone() {
            let start = self.host.origin.start;
            self.router.share_session_marks(Box::new(TableOfProcess { table, start }));
        }
        self.router.set_session_marks_incomplete(*is_incomplete);
    }

    /// Shares all marks from now on, and returns a descriptor of their table for the next process; `None` if no marks
    /// are kept.
    ///
    /// # Errors
    /// If there is no memory or descriptor for the table, or if marks of the previous process are missing in it.
    pub(super) fn share_marks(&mut self) -> Result<Option<OwnedFd>, TableError> {
        if !self.router.keeps_session_marks() {
            return Ok(None);
        }
        if self.mark_sharing.is_incomplete {
            return Err(TableError::Incomplete);
        }
        let table = match &self.mark_sharing.table {
            Some(table) => table.clone(),
            None => Arc::new(SharedMarks::create()?),
        };
        let descriptor = table.descriptor()?;
        if self.mark_sharing.table.replace(table).is_none() {
            self.apply_mark_sharing();
        }
        Ok(Some(descriptor))
    }

    /// Another process serves as this front, and shares its marks in a table or not at all.
    pub(super) fn predecessor_serves(&mut self, table: Option<SharedMarks>) {
        self.mark_sharing = MarkSharing { is_incomplete: table.is_none(), table: table.map(Arc::new) };
        self.apply_mark_sharing();
    }

    /// The previous process has ended: what it has not shared is older than now.
    pub(super) fn predecessor_ended(&mut self, now: Duration) {
        if std::mem::take(&mut self.mark_sharing.is_incomplete) {
            self.router.session_marks_lost(now);
            self.apply_mark_sharing();
        }
    }

    /// The next process has ended, and this one goes on. If the other has served, all that it may have committed binds.
    /// The table stays: a process before or behind the other one may still use it.
    pub(super) fn upgrade_undone(&mut self, now: Duration, committed: bool) {
        if committed {
            let up_to = self.newest_possible_commit(now);
            self.router.session_marks_lost(up_to);
        }
    }

    /// The latest position at which another process may have committed. Servers may be ahead of this process's clock.
    fn newest_possible_commit(&self, now: Duration) -> Duration {
        let start = self.host.origin.start;
        let told = self.mark_sharing.table.clone().and_then(|table| {
            let newest = table.newest()?;
            Some(TableOfProcess { table, start }.since_start(newest))
        });
        now.max(told.unwrap_or_default())
    }
}
