//! Large messages for which there is no memory: their bytes are read and discarded, and they are refused once they are
//! whole. Left unread, they would hide the end of their client.

use super::Client;
use juniperdock_memory_limit::Purpose;
use juniperdock_pg as pg;

/// Messages up to this length are kept whatever memory there is.
pub(super) const SMALL_MESSAGE: usize = 4 << 10;

/// A message whose bytes are discarded.
#[derive(Clone, Copy, Debug)]
pub(super) struct Discarded {
    kind: u8,
    /// Bytes that have not come in yet.
    remaining: usize,
}

impl Client {
    /// How much is read before the messages that came in are handled: what is read ahead, or the next part of the message
    /// in hand.
    pub(super) fn read_limit(&mut self) -> usize {
        let is_ample = self.shared.memory.admits(Purpose::Surplus, super::READ_AHEAD);
        let ahead = if is_ample { super::READ_AHEAD } else { SMALL_MESSAGE };
        let next_part = self.link.inbound.len() + super::READ_AHEAD;
        self.message_length().min(next_part).clamp(ahead, pg::MAX_MESSAGE_LEN + 1)
    }

    /// The length of the message in hand, as far as its head tells.
    fn message_length(&mut self) -> usize {
        let inbound = self.link.inbound.make_contiguous();
        if self.open { pg::message_length(inbound) } else { pg::opening_length(inbound) }
    }

    /// Begins to discard the incomplete message in hand if there is no memory for more of it.
    pub(super) fn discard_unless_admitted(&mut self) {
        let length = self.message_length();
        let is_message = self.open && self.link.inbound.len() >= pg::HEADER_LEN;
        let is_admitted =
            length <= SMALL_MESSAGE || self.shared.memory.admits(Purpose::Surplus, super::READ_AHEAD);
        if !is_message || is_admitted {
            return;
        }
        let Some(&kind) = self.link.inbound.front() else { return };
        let remaining = length.saturating_sub(self.link.inbound.len());
        self.arrival_times.consume(self.link.inbound.len());
        self.link.inbound.clear();
        self.discarded = Some(Discarded { kind, remaining });
        self.shared.counters.refused_for_memory.add();
    }

    /// Takes bytes of the message that is discarded; returns how many. Once it is complete, `out` gets its answer.
    pub(super) fn continue_discarding(&mut self, discarded: Discarded, out: &mut Vec<u8>) -> usize {
        let taken = discarded.remaining.min(self.link.inbound.len());
        let remaining = discarded.remaining - taken;
        self.discarded = Some(Discarded { remaining, ..discarded }).filter(|_| remaining > 0);
        if remaining == 0 {
            self.refuse_discarded(discarded.kind, out);
        }
        taken
    }

    fn refuse_discarded(&mut self, kind: u8, out: &mut Vec<u8>) {
        if kind == b'Q' {
            self.skipping = false;
            self.refuse_request();
        } else {
            self.reject_unsupported(kind, out);
        }
    }
}
