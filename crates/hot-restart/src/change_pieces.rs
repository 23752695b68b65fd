//! Joins changes of the runtime state, which may be longer than one message.

/// Changes that arrive in pieces.
#[derive(Debug)]
pub struct ChangePieces {
    max_len: usize,
    incomplete: Vec<u8>,
    complete: Vec<Vec<u8>>,
}

impl ChangePieces {
    /// Accepts changes of at most `max_len` bytes.
    pub fn new(max_len: usize) -> ChangePieces {
        ChangePieces { max_len, incomplete: Vec::new(), complete: Vec::new() }
    }

    /// Appends a piece of the current change; `last` completes it. Returns false if the change is too long.
    pub fn append(&mut self, piece: &[u8], last: bool) -> bool {
        self.incomplete.extend_from_slice(piece);
        if self.incomplete.len() > self.max_len {
            self.incomplete = Vec::new();
            return false;
        }
        if last {
            self.complete.push(std::mem::take(&mut self.incomplete));
        }
        true
    }

    /// Takes the changes that are complete, in the order in which they arrived.
    pub fn take_complete(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.complete)
    }
}
