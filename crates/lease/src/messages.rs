//! Messages about leases. As many as fit are packed into one payload of a membership datagram. A body begins with
//! its sender's incarnation; a message is a kind byte and its fields.

/// Longest body, in bytes.
pub const MAX_BODY_BYTES: usize = 200;
/// Longest payload of one message, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 160;

/// Message kinds, with their fields.
pub(crate) mod kind {
    /// task, term, round: requests the lease, or its renewal.
    pub const REQUEST: u8 = 1;
    /// task, term, round: grants that round.
    pub const GRANT: u8 = 2;
    /// task, newest term, milliseconds: another front holds the lease for that long, or the term is too low.
    pub const REFUSE: u8 = 3;
    /// task, term: the lease is released.
    pub const RELEASE: u8 = 4;
    /// task, newest term: an effect of an older term was refused.
    pub const NEWER_TERM: u8 = 5;
    /// task, term, payload: an effect of the owner.
    pub const EFFECT: u8 = 6;
    /// task, term, payload: a message to the owner of that term.
    pub const REPORT: u8 = 7;
    /// task, 0, payload: an announcement that needs no owner.
    pub const ANNOUNCE: u8 = 8;
}

/// Packs messages to one front into bodies.
#[derive(Debug)]
pub struct MessageBatch {
    incarnation: u32,
    full_bodies: Vec<Vec<u8>>,
    body: Vec<u8>,
}

impl MessageBatch {
    /// An empty batch of a sender's incarnation.
    pub fn new(incarnation: u32) -> MessageBatch {
        MessageBatch { incarnation, full_bodies: Vec::new(), body: Vec::new() }
    }

    fn push(&mut self, message: Vec<u8>) {
        if self.body.len() + message.len() > MAX_BODY_BYTES {
            self.full_bodies.push(std::mem::take(&mut self.body));
        }
        if self.body.is_empty() {
            self.body = postcard::to_allocvec(&self.incarnation).unwrap_or_default();
        }
        self.body.extend(message);
    }

    pub(crate) fn push_control(&mut self, kind: u8, task: u64, term: u64, number: u32) {
        self.push(postcard::to_allocvec(&(kind, task, term, number)).unwrap_or_default());
    }

    /// A payload that is too long to be sent is left out.
    pub(crate) fn push_payload(&mut self, kind: u8, task: u64, term: u64, payload: &[u8]) {
        if payload.len() <= MAX_PAYLOAD_BYTES {
            self.push(postcard::to_allocvec(&(kind, task, term, payload)).unwrap_or_default());
        }
    }

    /// The bodies packed so far.
    pub fn bodies(mut self) -> Vec<Vec<u8>> {
        if !self.body.is_empty() {
            self.full_bodies.push(self.body);
        }
        self.full_bodies
    }
}
