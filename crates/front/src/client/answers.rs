//! Answers to a client: recorded as they come, written in the order of its commands.

use super::discard::SMALL_MESSAGE;
use super::{Client, OpenRequest, PIPELINE_LIMITS, TOO_MANY_AT_ONCE};
use crate::counters::{Counter, Counters};
use crate::messages::Answer;
use crate::request_log::RequestEvent;
use juniperdock_memory_limit::Purpose;
use juniperdock_pg as pg;
use juniperdock_pipeline::Reply;
use juniperdock_request_guard::Violation;

impl Client {
    /// Bytes of answers that the client has not read. While memory is short they count as too many to start more than the
    /// oldest request.
    pub(super) fn unsent(&self) -> usize {
        let is_ample = self.shared.memory.admits(Purpose::Surplus, 0);
        if is_ample { self.link.unsent() } else { PIPELINE_LIMITS.answer_bytes }
    }

    /// Writes the answers whose turn it is.
    pub(super) fn send_replies(&mut self) {
        while self.may_queue()
            && let Some(reply) = self.pipeline.next_reply()
        {
            match reply {
                Reply::Answer(answer) => self.queue_bytes(&answer),
                Reply::Refused => {
                    self.shared.counters.declined.add();
                    let mut out = Vec::new();
                    pg::error(&mut out, false, pg::TOO_MANY_CONNECTIONS, TOO_MANY_AT_ONCE, None);
                    pg::ready(&mut out);
                    self.queue_bytes(&out);
                }
            }
        }
    }

    /// Whether another answer is queued: little at once while memory is short, as refusals take none until then.
    fn may_queue(&self) -> bool {
        let unsent = self.link.unsent();
        let is_ample = || self.shared.memory.admits(Purpose::Surplus, SMALL_MESSAGE);
        unsent < SMALL_MESSAGE || unsent < pg::MAX_MESSAGE_LEN && is_ample()
    }

    /// Records the answer to a request unless it has one already.
    pub(super) fn answer(&mut self, request_id: u64, answer: Answer) {
        let name = answer.name();
        let (count, out) = encode(&self.shared.counters, answer);
        if self.pipeline.answer(self.shared.clock.now(), request_id, out) {
            if let Some(OpenRequest { guard, id }) = self.open_requests.remove(&request_id) {
                self.shared.end_request_id(id);
                if !guard.answer() {
                    self.shared.counters.invariants.count(Violation::AnsweredTwice);
                }
            }
            self.shared.request_log.request(request_id, RequestEvent::Answered { answer: name });
            count.add();
        }
    }

    fn queue_bytes(&mut self, bytes: &[u8]) {
        self.last_answer = self.shared.clock.now();
        // Bounded because no requests are read while much is unsent.
        let _ = self.link.queue(bytes);
    }
}

/// An answer as it is sent to the client, and its counter.
fn encode(counters: &Counters, answer: Answer) -> (&Counter, Vec<u8>) {
    let mut out = Vec::new();
    let count = match answer {
        Answer::Committed(row) => {
            out = row;
            &counters.committed
        }
        Answer::Invalid(error) => {
            out = error;
            &counters.invalid
        }
        Answer::Declined(retry_after) => {
            let detail = retry_after.map(|wait| wait.as_millis().to_string());
            let text = "declined, trying again is harmless";
            pg::error(&mut out, false, pg::TOO_MANY_CONNECTIONS, text, detail.as_deref());
            &counters.declined
        }
        Answer::RolledBack(why) => {
            pg::error(&mut out, false, pg::ROLLED_BACK, why, None);
            &counters.rolled_back
        }
        Answer::Unknown(why) => {
            pg::error(&mut out, false, pg::COMPLETION_UNKNOWN, why, None);
            &counters.unknown
        }
    };
    pg::ready(&mut out);
    (count, out)
}
