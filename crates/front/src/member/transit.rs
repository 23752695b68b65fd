//! Follows a statement that has been begun until it is known to have arrived at the member's machine. A member executes
//! a statement once its last byte has arrived, and the kernel may hold bytes of it for any time: the member does not
//! read, or the way to it is cut. So its permit is checked again until then, and the connection is reset once it has
//! expired.

use super::connection::ServerConnection;
use crate::messages::{DispatcherMessage, Job, Submit};
use crate::request_log::RequestEvent;
use juniperdock_connection::Link;
use juniperdock_request_guard::{AttemptPermit, Withheld, WriteProgress};
use juniperdock_router::host::AttemptOutcome;
use std::time::Duration;

/// How often the permit of a statement that has not arrived is checked again. A client's leaving is to take effect
/// within 100 ms (`STANDING.md`).
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The acknowledgement of a statement that has arrived comes within this time: a machine may hold it back for 40 ms.
const MAX_ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(50);

/// When a statement in transit is checked.
pub(super) struct TransitChecks {
    next: Duration,
    /// Before this time a missing acknowledgement means nothing.
    acknowledged_by: Duration,
}

impl TransitChecks {
    /// Of a statement whose first byte is written now.
    pub fn begin(now: Duration) -> TransitChecks {
        TransitChecks { next: now + CHECK_INTERVAL, acknowledged_by: Duration::MAX }
    }

    /// All of the statement has been handed to the kernel.
    pub fn handed_over(&mut self, now: Duration) {
        self.next = now + CHECK_INTERVAL;
        self.acknowledged_by = now + MAX_ACKNOWLEDGEMENT_DELAY;
    }

    /// When the next check is due; never once the statement has arrived.
    pub fn due(&self, job: &Job) -> Duration {
        let Job::Submit(submit) = job else { return Duration::MAX };
        match submit.permit.progress() {
            WriteProgress::Settled => Duration::MAX,
            WriteProgress::HandedOver => self.next.min(self.withdrawable_from(&submit.permit)),
            WriteProgress::NotBegun | WriteProgress::Partial => self.next.min(submit.permit.valid_until()),
        }
    }

    fn withdrawable_from(&self, permit: &AttemptPermit) -> Duration {
        permit.valid_until().max(self.acknowledged_by)
    }
}

impl ServerConnection {
    /// Checks a job's statement if that is due. Returns the outcome if it has to be withdrawn: the connection is reset
    /// then, and the statement may have run all the same.
    pub(super) fn check_transit(
        &self,
        link: &Link,
        job: &Job,
        checks: &mut TransitChecks,
    ) -> Option<AttemptOutcome> {
        let Job::Submit(submit) = job else { return None };
        let now = self.context.clock.now();
        if now < checks.due(job) {
            return None;
        }
        if link.is_flushed() && link.is_acknowledged() {
            submit.permit.settle();
            return None;
        }
        if let Err(why) = submit.permit.may_continue(now) {
            self.record_withdrawn(submit, why);
            return Some(AttemptOutcome::Cancelled);
        }
        checks.next = now + CHECK_INTERVAL;
        self.report_in_transit(submit);
        None
    }

    /// From now on the permit follows what arrives at the dispatcher.
    fn report_in_transit(&self, submit: &Submit) {
        let (server, connection, valid_until) = (self.member, self.id, submit.permit.valid_until());
        let event = RequestEvent::InTransit { server, connection, valid_until };
        self.context.request_log.request(submit.request_id, event);
        let _ = self.context.dispatcher.send(DispatcherMessage::AttemptInTransit(submit.request_id));
    }

    fn record_withdrawn(&self, submit: &Submit, why: Withheld) {
        let event = RequestEvent::Withdrawn { server: self.member, connection: self.id, why };
        self.context.request_log.request(submit.request_id, event);
        self.context.counters.withdrawn_in_transit.add();
        self.report_unread_client(submit, why);
    }
}
