//! The words that fronts say about duties: as many as have room go into one body of a fellows' datagram. A body
//! begins with its sender's life; a word is a byte and its fields.

/// The most bytes of a body.
pub const LONGEST: usize = 200;
/// The most bytes of a word's own payload.
pub const PAYLOAD: usize = 160;

/// What a word is.
pub(crate) mod word {
    /// duty, term, round: asks for it, or for more time.
    pub const ASK: u8 = 1;
    /// duty, term, round.
    pub const GRANT: u8 = 2;
    /// duty, newest term, milliseconds: another has it for so long, or the term is too low.
    pub const REFUSE: u8 = 3;
    /// duty, term: needed no more.
    pub const GIVE: u8 = 4;
    /// duty, newest term: an effect of an older one was refused.
    pub const NEWEST: u8 = 5;
    /// duty, term, payload: an effect of the owner.
    pub const EFFECT: u8 = 6;
    /// duty, term, payload: a word to the owner of that term.
    pub const REPORT: u8 = 7;
    /// duty, 0, payload: something told that needs no owner.
    pub const TELL: u8 = 8;
}

/// Gathers words to one front into bodies.
#[derive(Debug)]
pub struct Words {
    life: u32,
    full: Vec<Vec<u8>>,
    body: Vec<u8>,
}

impl Words {
    pub fn of(life: u32) -> Words {
        Words { life, full: Vec::new(), body: Vec::new() }
    }

    fn put(&mut self, word: Vec<u8>) {
        if self.body.len() + word.len() > LONGEST {
            self.full.push(std::mem::take(&mut self.body));
        }
        if self.body.is_empty() {
            self.body = postcard::to_allocvec(&self.life).unwrap_or_default();
        }
        self.body.extend(word);
    }

    pub(crate) fn say(&mut self, word: u8, duty: u64, term: u64, number: u32) {
        self.put(postcard::to_allocvec(&(word, duty, term, number)).unwrap_or_default());
    }

    /// A payload that is too long is left out: it could not be sent.
    pub(crate) fn tell(&mut self, word: u8, duty: u64, term: u64, payload: &[u8]) {
        if payload.len() <= PAYLOAD {
            self.put(postcard::to_allocvec(&(word, duty, term, payload)).unwrap_or_default());
        }
    }

    /// The bodies so far.
    pub fn bodies(mut self) -> Vec<Vec<u8>> {
        if !self.body.is_empty() {
            self.full.push(self.body);
        }
        self.full
    }
}
