//! Reads a request from a statement: the fields of its comment, and the guard of what may be done for it.

use super::Client;
use super::unread::UnreadInput;
use crate::clock::Clock;
use crate::messages::{Arrival, ToldWrite};
use crate::request_log::RequestEvent;
use juniperdock_connection::PeerWatch;
use juniperdock_pg as pg;
use juniperdock_request_guard::{ClientPresence, RequestGuard, RequestIdHash};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// No client waits for longer than an hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Whether a client is still there: by the operating system, as far as all that it sent has been read.
struct Presence {
    watch: PeerWatch,
    unread: Arc<UnreadInput>,
    clock: Clock,
}

impl ClientPresence for Presence {
    fn has_left(&self) -> bool {
        self.watch.has_left()
    }

    fn may_have_left(&self) -> bool {
        self.unread.may_hide_end(self.clock.now())
    }
}

impl Client {
    /// Reads the request whose last byte came in at this time, and takes its id.
    ///
    /// # Errors
    /// If it is not sound, with what was expected.
    pub(super) fn read_request(
        &self,
        statement: Arc<str>,
        at: Duration,
    ) -> Result<(Arrival, RequestIdHash), String> {
        let comment = pg::Comment::parse(&statement)?;
        let id = comment.required("id")?;
        let txn_type = self.txn_type(&comment)?;
        let expiry = at + Duration::from_millis(comment.number("d")?.min(MAX_DEADLINE_MS));
        let group = comment.number("cluster")?;
        let told_write = self.told_write(&comment)?;
        let session = pg::first_quoted(comment.rest()).map(session_hash);
        let retried = comment.field("r") == Some("1");
        let left = pg::value_range(&statement, comment.required("d")?);
        // The last of the checks: what is not sound in another way takes no id.
        let id_hash = self.shared.open_request_id(id).map_err(|why| {
            self.shared.counters.duplicate_ids.add();
            why.to_string()
        })?;
        let request_id = self.shared.next_request_id.fetch_add(1, Ordering::Relaxed);
        let time_left = expiry.saturating_sub(self.shared.clock.now());
        let received = RequestEvent::Received { id, class: txn_type, left: time_left };
        self.shared.request_log.request(request_id, received);
        let presence = Presence {
            watch: self.link.peer_watch(),
            unread: self.unread.clone(),
            clock: self.shared.clock.clone(),
        };
        let invariants = self.shared.counters.invariants.clone();
        let guard = RequestGuard::new(expiry, Box::new(presence), invariants);
        let client = self.mailbox.clone();
        let arrival = Arrival {
            request_id,
            at,
            txn_type,
            group,
            expiry,
            retried,
            session,
            told_write,
            write_answered: None,
            statement,
            left,
            client,
            guard,
        };
        Ok((arrival, id_hash))
    }

    /// The index of the request's txn type, whose requests have a key where the settings say so.
    fn txn_type(&self, comment: &pg::Comment) -> Result<usize, String> {
        let class = comment.required("c")?;
        let known = self.shared.txn_types.known(class);
        let txn_type =
            known.ok_or_else(|| format!("expected a known class in c, found {}", pg::shown(class)))?;
        if self.shared.keyed.get(txn_type).copied().unwrap_or(false) {
            comment.required("k")?;
        }
        Ok(txn_type)
    }

    /// The last write of the request's session, as its client tells it. Where clients tell, one that tells none has not
    /// written.
    fn told_write(&self, comment: &pg::Comment) -> Result<ToldWrite, String> {
        match comment.field("after") {
            Some(_) => Ok(ToldWrite::At(comment.number("after")?)),
            None if self.shared.client_session_marks => Ok(ToldWrite::Never),
            None => Ok(ToldWrite::Untold),
        }
    }
}

/// Marks of sessions are shared with other builds of this program, so the hash must not depend on the toolchain.
fn session_hash(key: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(key.as_bytes());
    hasher.finish()
}
