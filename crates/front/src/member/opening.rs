//! Opens a connection to a member: connects and waits for the member's welcome. No statement is written before that, so
//! a job whose connection does not come up never ran.

use super::connection::{READ_AHEAD, ServerConnection};
use crate::connect::{ConnectFailure, ConnectRequest, connect};
use crate::messages::{Job, MemberMessage};
use juniperdock_connection::Link;
use juniperdock_pg as pg;
use juniperdock_router::host::AttemptOutcome;
use std::time::Duration;

/// The longest message of a member's welcome.
pub(super) const MAX_WELCOME_MESSAGE: usize = 8 << 10;

impl ServerConnection {
    /// Opens the connection for a job; the error is the job's outcome.
    pub(super) fn open_for(&self, job: &Job, started_at: Duration) -> Result<Link, AttemptOutcome> {
        let link = self.open_session(job, started_at)?;
        let took = self.context.clock.now().saturating_sub(started_at);
        self.context.counters.connect_most_us.record_max(took.as_micros() as u64);
        self.catch_up_after_stall();
        Ok(link)
    }

    /// Connects, and waits until the member is ready; the error is the outcome of the job that needed the connection.
    fn open_session(&self, job: &Job, started_at: Duration) -> Result<Link, AttemptOutcome> {
        let limit = started_at + self.context.connect_timeout;
        let deadline = self.deadline(job);
        let until = limit.min(deadline);
        // Running out of the txn's time proves nothing about the member.
        let late = |at: Duration| {
            if at >= deadline && at < limit { AttemptOutcome::Moot } else { AttemptOutcome::Unreachable }
        };
        let mut link = self.connect_to_member(job, until, &late)?;
        // Whatever ends this connection while it carries a statement, even the end of this process: what has not arrived
        // by then must not arrive later.
        link.set_reset_on_close(true);
        link.queue(&pg::startup("api", "ledger")).map_err(|_| AttemptOutcome::Unreachable)?;
        self.await_welcome(&mut link, job, until, &late)?;
        Ok(link)
    }

    fn connect_to_member(
        &self,
        job: &Job,
        until: Duration,
        late: &dyn Fn(Duration) -> AttemptOutcome,
    ) -> Result<Link, AttemptOutcome> {
        let clock = &self.context.clock;
        let up = |waker| {
            let _ = self.pool.send(MemberMessage::WakerReady(self.id, waker));
        };
        let wanted = ConnectRequest { to: self.address, until, limits: self.context.buffers() };
        connect(clock, &wanted, &up, &|| self.cancelled(job)).map_err(|why| {
            slog::debug!(self.context.log, "no connection to a server"; "why" => %why, "server" => self.member);
            match why {
                ConnectFailure::Cancelled | ConnectFailure::TooLate | ConnectFailure::LocalShortage(_) => {
                    AttemptOutcome::Moot
                }
                ConnectFailure::TimedOut | ConnectFailure::Failed(_) => late(clock.now()),
            }
        })
    }

    fn await_welcome(
        &self,
        link: &mut Link,
        job: &Job,
        until: Duration,
        late: &dyn Fn(Duration) -> AttemptOutcome,
    ) -> Result<(), AttemptOutcome> {
        let clock = &self.context.clock;
        link.set_read_limit(READ_AHEAD);
        for busy in 1u32.. {
            let pumped = link.pump();
            if read_welcome(link)? {
                return Ok(());
            }
            let now = clock.now();
            if pumped.is_err() || link.ended {
                return Err(AttemptOutcome::Unreachable);
            }
            if now >= until {
                return Err(late(now));
            }
            if self.cancelled(job) {
                return Err(AttemptOutcome::Moot);
            }
            if matches!(pumped, Ok(false)) {
                link.wait();
            } else {
                // A member that sends without an end must not starve the others.
                clock.yield_if_busy(busy, link.lacks_memory());
            }
        }
        Err(AttemptOutcome::Unreachable)
    }
}

/// Reads what has come of a welcome; true if it is complete.
fn read_welcome(link: &mut Link) -> Result<bool, AttemptOutcome> {
    while let Some((kind, body, length)) = pg::message(link.inbound.make_contiguous(), MAX_WELCOME_MESSAGE)
        .map_err(|_| AttemptOutcome::Unreachable)?
    {
        match kind {
            b'E' if pg::error_field(body, b'C') == Some(pg::TOO_MANY_CONNECTIONS) => {
                return Err(AttemptOutcome::Full);
            }
            b'E' => return Err(AttemptOutcome::Unreachable),
            b'R' if !body.starts_with(&[0; 4]) => return Err(AttemptOutcome::Unreachable),
            _ => {}
        }
        link.inbound.drain(..length);
        if kind == b'Z' {
            return Ok(true);
        }
    }
    Ok(false)
}
