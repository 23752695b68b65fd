//! The commands of one client connection that have been read and not yet answered. Decides which of them may start,
//! which are refused because the connection holds too much, by when each must be answered, and in which order answers
//! are sent. No I/O: times are passed in; requests and answers are not interpreted.

mod arrivals;

pub use arrivals::ArrivalTimes;

use std::collections::VecDeque;
use std::time::Duration;

/// Limits on what one connection may hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Started requests; others wait until one of them ends.
    pub started: usize,
    /// Bytes of unanswered requests, including what is kept for each beside its statement. Requests beyond this are
    /// refused.
    pub request_bytes: usize,
    /// While this many bytes of answers wait for earlier ones, only the oldest request may start, and commands are
    /// refused instead of answered.
    pub answer_bytes: usize,
}

/// Answers up to this length are kept together, in blocks of up to [`MAX_BLOCK`]: kept one by one, short ones would take
/// many times their length.
const MAX_SHORT_ANSWER: usize = 1 << 10;
const MAX_BLOCK: usize = 16 << 10;

/// What the pipeline needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Unique on this connection.
    pub id: u64,
    /// When its client stops waiting.
    pub deadline: Duration,
    /// A hash of the key of the session whose writes it must see.
    pub session: Option<u64>,
    /// Whether it is a write, for which later requests of its session wait.
    pub writes: bool,
    /// Size of its statement and of what is kept beside it.
    pub bytes: usize,
}

/// A request that may start now.
#[derive(Debug, PartialEq, Eq)]
pub struct Start<T> {
    pub payload: T,
    /// When the last earlier write of its session on this connection was answered. Whatever that write committed is not
    /// newer.
    pub write_answered: Option<Duration>,
}

/// A request that was not answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// It was started: it may have run.
    Started(u64),
    /// It was never started.
    Waiting(u64),
}

/// The next thing to send to the client.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    Answer(Vec<u8>),
    /// A request over the limits, which was never started.
    Refused,
}

#[derive(Debug)]
enum Entry<T> {
    Waiting {
        request: Request,
        payload: T,
        write_answered: Option<Duration>,
    },
    Started(Request),
    /// The answers of one command or of several in a row.
    Answered(Vec<u8>),
    /// This many requests in a row were over the limits. A client can send them faster than they can be answered in
    /// order, so they are counted rather than kept.
    Refused(u64),
}

impl<T> Entry<T> {
    /// The request, while it is unanswered.
    fn request(&self) -> Option<&Request> {
        match self {
            Entry::Waiting { request, .. } | Entry::Started(request) => Some(request),
            Entry::Answered(_) | Entry::Refused(_) => None,
        }
    }
}

/// All commands of one connection, oldest first.
#[derive(Debug)]
pub struct Pipeline<T> {
    limits: Limits,
    entries: VecDeque<Entry<T>>,
    /// Unanswered requests, and those of them that were started.
    requests: usize,
    started: usize,
    request_bytes: usize,
    /// Bytes of answers that wait for earlier ones.
    answer_bytes: usize,
}

impl<T> Pipeline<T> {
    pub fn new(limits: Limits) -> Pipeline<T> {
        Pipeline {
            limits,
            entries: VecDeque::new(),
            requests: 0,
            started: 0,
            request_bytes: 0,
            answer_bytes: 0,
        }
    }

    /// Whether nothing is left to send to the client.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of unanswered requests.
    pub fn requests(&self) -> usize {
        self.requests
    }

    /// Whether there are requests that were not started.
    pub fn has_waiting(&self) -> bool {
        self.requests > self.started
    }

    /// Bytes of answers that wait for earlier ones.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Ids of all started, unanswered requests.
    pub fn started(&self) -> impl Iterator<Item = u64> {
        self.entries.iter().filter_map(|entry| match entry {
            Entry::Started(request) => Some(request.id),
            _ => None,
        })
    }

    /// Ids of all requests that were not started.
    pub fn waiting(&self) -> impl Iterator<Item = u64> {
        self.entries.iter().filter_map(|entry| match entry {
            Entry::Waiting { request, .. } => Some(request.id),
            _ => None,
        })
    }

    /// Whether a request of this size is within the limits. A single one always is, however long it is.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.requests == 0 || self.request_bytes + bytes <= self.limits.request_bytes
    }

    /// Appends a request. One over the limits is refused, in its place in the order, and its payload is returned.
    pub fn push(&mut self, request: Request, payload: T) -> Result<(), T> {
        if !self.has_room(request.bytes) {
            self.refuse();
            return Err(payload);
        }
        self.requests += 1;
        self.request_bytes += request.bytes;
        self.entries.push_back(Entry::Waiting { request, payload, write_answered: None });
        Ok(())
    }

    /// Appends a request that is refused when its turn comes.
    pub fn refuse(&mut self) {
        match self.entries.back_mut() {
            Some(Entry::Refused(count)) => *count += 1,
            _ => self.entries.push_back(Entry::Refused(1)),
        }
    }

    /// Appends a command that is already answered.
    pub fn push_answer(&mut self, answer: Vec<u8>) {
        self.answer_bytes += answer.len();
        if let Some(Entry::Answered(block)) = self.entries.back_mut()
            && is_short(block, &answer)
        {
            block.extend_from_slice(&answer);
            return;
        }
        self.entries.push_back(Entry::Answered(answer));
    }

    /// Whether so many bytes of answers wait that further commands are to be refused ([`Pipeline::refuse`]).
    pub fn is_full(&self) -> bool {
        self.answer_bytes >= self.limits.answer_bytes
    }

    /// Starts the oldest request that may start: the limits allow it, and no earlier write of its session is
    /// unanswered. `unsent`: bytes of answers that were taken from here and that the client has not read.
    pub fn start(&mut self, unsent: usize) -> Option<Start<T>> {
        let at = self.next_start(unsent)?;
        let Entry::Waiting { request, .. } = &self.entries[at] else { return None };
        let started = Entry::Started(*request);
        let Entry::Waiting { payload, write_answered, .. } =
            std::mem::replace(&mut self.entries[at], started)
        else {
            return None;
        };
        self.started += 1;
        Some(Start { payload, write_answered })
    }

    /// The position of the oldest request that may start.
    fn next_start(&self, unsent: usize) -> Option<usize> {
        let within_limits =
            self.started < self.limits.started && self.answer_bytes + unsent < self.limits.answer_bytes;
        let candidates = if within_limits { self.entries.len() } else { 1 };
        // Started writes only: one that waits is blocked itself, or is the one to start.
        let mut unanswered_writes: Vec<&Request> = Vec::new();
        for (at, entry) in self.entries.iter().take(candidates).enumerate() {
            match entry {
                Entry::Waiting { request, .. } => {
                    if !unanswered_writes.iter().any(|earlier| blocks(earlier, request)) {
                        return Some(at);
                    }
                }
                Entry::Started(request) if request.writes => unanswered_writes.push(request),
                Entry::Started(_) | Entry::Answered(_) | Entry::Refused(_) => {}
            }
        }
        None
    }

    /// Records the answer of a request; returns false if it is not unanswered.
    pub fn answer(&mut self, now: Duration, id: u64, answer: Vec<u8>) -> bool {
        let is_it = |entry: &Entry<T>| entry.request().is_some_and(|request| request.id == id);
        let Some(at) = self.entries.iter().position(is_it) else { return false };
        self.answer_bytes += answer.len();
        let entry = std::mem::replace(&mut self.entries[at], Entry::Answered(answer));
        let Some(answered) = entry.request().copied() else { return false };
        self.requests -= 1;
        self.started -= usize::from(matches!(entry, Entry::Started(_)));
        self.request_bytes -= answered.bytes;
        for later in self.entries.range_mut(at + 1..) {
            if let Entry::Waiting { request, write_answered, .. } = later
                && blocks(&answered, request)
            {
                *write_answered = Some(now);
            }
        }
        self.join_answers(at + 1);
        self.join_answers(at);
        true
    }

    /// Adds a short answer to the answers right before it.
    fn join_answers(&mut self, at: usize) {
        let Some(before) = at.checked_sub(1) else { return };
        let (Some(Entry::Answered(block)), Some(Entry::Answered(answer))) =
            (self.entries.get(before), self.entries.get(at))
        else {
            return;
        };
        if !is_short(block, answer) {
            return;
        }
        if let Some(Entry::Answered(answer)) = self.entries.remove(at)
            && let Some(Entry::Answered(block)) = self.entries.get_mut(before)
        {
            block.extend_from_slice(&answer);
        }
    }

    /// The next reply in the order of the commands, if it is known.
    pub fn next_reply(&mut self) -> Option<Reply> {
        match self.entries.front_mut()? {
            Entry::Waiting { .. } | Entry::Started(_) => None,
            Entry::Refused(count) => {
                *count -= 1;
                if *count == 0 {
                    self.entries.pop_front();
                }
                Some(Reply::Refused)
            }
            Entry::Answered(answer) => {
                let answer = std::mem::take(answer);
                self.answer_bytes -= answer.len();
                self.entries.pop_front();
                Some(Reply::Answer(answer))
            }
        }
    }

    /// A request that is out of time: at its deadline if it was never started, `grace` later if it was, since its own
    /// answer may arrive until then.
    pub fn overdue(&self, now: Duration, grace: Duration) -> Option<Overdue> {
        self.entries.iter().find_map(|entry| match entry {
            Entry::Started(request) if request.deadline + grace <= now => Some(Overdue::Started(request.id)),
            Entry::Waiting { request, .. } if request.deadline <= now => Some(Overdue::Waiting(request.id)),
            _ => None,
        })
    }

    /// When `overdue` may next return one.
    pub fn next_due(&self, grace: Duration) -> Option<Duration> {
        let due = |entry: &Entry<T>| match entry {
            Entry::Started(request) => Some(request.deadline + grace),
            Entry::Waiting { request, .. } => Some(request.deadline),
            _ => None,
        };
        self.entries.iter().filter_map(due).min()
    }
}

/// Whether an answer is so short that it is kept in one block with those before it.
fn is_short(block: &[u8], answer: &[u8]) -> bool {
    answer.len() <= MAX_SHORT_ANSWER && block.len() + answer.len() <= MAX_BLOCK
}

/// Whether a later request has to wait for an earlier one: reads of a session see its writes, and its writes keep their
/// order.
fn blocks(earlier: &Request, later: &Request) -> bool {
    earlier.writes && earlier.session.is_some() && earlier.session == later.session
}
