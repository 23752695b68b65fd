//! The commands of one client connection that have been read and not answered yet. Decides which of them may begin,
//! which are refused because the connection holds too much, by when each must be answered, and in which order answers
//! leave. No I/O: times are handed in, requests and answers pass through unread.

mod arrivals;

pub use arrivals::ArrivalTimes;

use std::collections::VecDeque;
use std::time::Duration;

/// How much one connection may have in hand.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests that have begun; others wait for their end.
    pub started: usize,
    /// Bytes of requests that are not answered, each counted with what is kept of it beside its statement. What comes
    /// beyond that is refused.
    pub request_bytes: usize,
    /// Nothing but the oldest begins while as many bytes of answers wait for those before them.
    pub answer_bytes: usize,
}

/// What the pipeline has to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Unique on this connection.
    pub id: u64,
    /// When its client stops waiting.
    pub deadline: Duration,
    /// The session whose writes it has to see, as a hash of its key.
    pub session: Option<u64>,
    pub writes: bool,
    /// Of its statement and what is kept beside it.
    pub bytes: usize,
}

/// A request that may begin now.
#[derive(Debug, PartialEq, Eq)]
pub struct Start<T> {
    pub payload: T,
    /// When the last write of its session that stood before it on this connection got its answer. Whatever that
    /// write committed is not newer.
    pub write_answered: Option<Duration>,
}

/// A request whose time is over without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// It has begun: it may have run.
    Started(u64),
    /// It never began.
    Waiting(u64),
}

/// The next thing to send to the client.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    Answer(Vec<u8>),
    /// A request that was over the limits: it never began.
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
    Answered(Vec<u8>),
    /// So many in a row were over the limits. A client can send them faster than they can be answered in order, so
    /// they are counted rather than kept.
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
    /// Unanswered requests, and those of them that have begun.
    requests: usize,
    started: usize,
    request_bytes: usize,
    /// Bytes of answers that wait for those before them.
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

    /// Nothing is owed to the client.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many requests are unanswered.
    pub fn requests(&self) -> usize {
        self.requests
    }

    /// Bytes of answers that wait for those before them.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Ids of all unanswered requests that have begun.
    pub fn started(&self) -> impl Iterator<Item = u64> {
        self.entries.iter().filter_map(|entry| match entry {
            Entry::Started(request) => Some(request.id),
            _ => None,
        })
    }

    /// Ids of all requests that have not begun.
    pub fn waiting(&self) -> impl Iterator<Item = u64> {
        self.entries.iter().filter_map(|entry| match entry {
            Entry::Waiting { request, .. } => Some(request.id),
            _ => None,
        })
    }

    /// Takes a request in behind all others. One that is over the limits is refused in its turn, and its payload given
    /// back. A single request is never over them, however long.
    pub fn push(&mut self, request: Request, payload: T) -> Result<(), T> {
        let fits = self.request_bytes + request.bytes <= self.limits.request_bytes;
        if self.requests > 0 && !fits {
            match self.entries.back_mut() {
                Some(Entry::Refused(count)) => *count += 1,
                _ => self.entries.push_back(Entry::Refused(1)),
            }
            return Err(payload);
        }
        self.requests += 1;
        self.request_bytes += request.bytes;
        self.entries.push_back(Entry::Waiting { request, payload, write_answered: None });
        Ok(())
    }

    /// Takes in a command that has its answer already.
    pub fn push_answer(&mut self, answer: Vec<u8>) {
        self.answer_bytes += answer.len();
        self.entries.push_back(Entry::Answered(answer));
    }

    /// The oldest request that may begin: there is room for it, and no unanswered write of its session before it.
    pub fn start(&mut self) -> Option<Start<T>> {
        let at = (0..self.entries.len()).find(|&at| self.may_start(at))?;
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

    fn may_start(&self, at: usize) -> bool {
        let Entry::Waiting { request, .. } = &self.entries[at] else { return false };
        let room = self.started < self.limits.started && self.answer_bytes < self.limits.answer_bytes;
        if at > 0 && !room {
            return false;
        }
        let earlier = self.entries.range(..at).filter_map(Entry::request);
        !earlier.into_iter().any(|earlier| blocks(earlier, request))
    }

    /// Notes the answer of a request; false if none is owed for it.
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
        true
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

    /// A request whose time is over: at its deadline if it never began, `grace` later if it has, for until then its
    /// own answer may come.
    pub fn overdue(&self, now: Duration, grace: Duration) -> Option<Overdue> {
        self.entries.iter().find_map(|entry| match entry {
            Entry::Started(request) if request.deadline + grace <= now => Some(Overdue::Started(request.id)),
            Entry::Waiting { request, .. } if request.deadline <= now => Some(Overdue::Waiting(request.id)),
            _ => None,
        })
    }

    /// When `overdue` may next find one.
    pub fn next_due(&self, grace: Duration) -> Option<Duration> {
        let due = |entry: &Entry<T>| match entry {
            Entry::Started(request) => Some(request.deadline + grace),
            Entry::Waiting { request, .. } => Some(request.deadline),
            _ => None,
        };
        self.entries.iter().filter_map(due).min()
    }
}

/// Whether a later request has to wait for an earlier one: a session's reads see its writes, and its writes keep their
/// order.
fn blocks(earlier: &Request, later: &Request) -> bool {
    earlier.writes && earlier.session.is_some() && earlier.session == later.session
}
