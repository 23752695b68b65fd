//! What the router remembers; nothing is decided here.

use crate::ring::Ring;
use std::time::Duration;

#[derive(Debug)]
pub(crate) struct Member {
    pub group: usize,
    pub zone: usize,
    /// The same at every front.
    pub mark: u32,
    pub listed: bool,
    /// The list told to send nothing new.
    pub stopped: bool,
    /// Seen listed as draining.
    pub drains: bool,
    pub warm_at: Duration,
    /// Has every commit up to here: proven, and true for ever.
    pub position: Option<Duration>,
    /// Dates of the newest claims to each role.
    pub primary_at: Option<Duration>,
    pub replica_at: Option<Duration>,
    /// Claims to be primary up to this date count no more.
    pub doubted: Option<Duration>,
    /// Answered as a replica since it last claimed to be primary.
    pub told_replica: bool,
    pub probe_out: bool,
    pub probe_due: Duration,
    pub probe_failures: u32,
    /// Txns with a submission out to it.
    pub in_hand: Vec<usize>,
    pub last_answer: Duration,
    pub hushed: Duration,
    pub room: f64,
    pub last_cut: Duration,
    /// Recent answer time, as a multiple of what is typical of the txn type.
    pub slow: f64,
    pub failures: u32,
    pub shunned: Duration,
    pub sent: Ring,
    pub done: Ring,
}

impl Member {
    /// A member of which nothing is known yet.
    pub fn new(now: Duration, room: f64, window: Duration) -> Self {
        Member {
            group: 0,
            zone: 0,
            mark: 0,
            listed: false,
            stopped: true,
            drains: false,
            warm_at: Duration::ZERO,
            position: None,
            primary_at: None,
            replica_at: None,
            doubted: None,
            told_replica: false,
            probe_out: false,
            probe_due: now,
            probe_failures: 0,
            in_hand: Vec::new(),
            last_answer: Duration::ZERO,
            hushed: Duration::ZERO,
            room,
            last_cut: now,
            slow: 1.0,
            failures: 0,
            shunned: Duration::ZERO,
            sent: Ring::new(window, 10),
            done: Ring::new(window, 10),
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Group {
    pub members: Vec<usize>,
    pub held: Vec<usize>,
    pub writer: Option<usize>,
    pub touched: bool,
}

#[derive(Debug)]
pub(crate) struct Submission {
    pub member: usize,
    pub at: Duration,
}

#[derive(Debug)]
pub(crate) struct Txn {
    pub kind: usize,
    pub group: usize,
    pub arrived: Duration,
    pub expiry: Duration,
    /// Commits up to here must be seen (fresh and session reads).
    pub must_see: Option<Duration>,
    pub session: Option<u64>,
    pub out: Option<Submission>,
    pub submissions: u32,
    /// When and in which zone the first submission that may have run went out.
    pub may_have_run: Option<(Duration, usize)>,
    pub over: bool,
    pub held: bool,
}
