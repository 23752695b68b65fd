//! The interface between the router and its host, and the plain types that pass through it.
//!
//! A host maps its own ids to small indices: members, groups, zones and txn types are counted from 0, and a txn keeps
//! its index until the router releases it. All times are measured from the start of the instance.

pub use juniperdock_attempt_outcome::{AttemptOutcome, Effect, Scope, WriteProgress};
pub use juniperdock_primary_tracker::{Change, Phase, Plan, Role};
use std::time::Duration;

/// The actions that the router requests. A host carries them out in the order of the calls.
pub trait Host {
    /// Submits the txn to a member and waits for the answer until the txn expires. Nothing may be written after
    /// `until`, nor after a later `Router::valid_until`; the submission is then reported as never sent. What was written
    /// before may not arrive after that time either: the connection is reset unless all of it is known to have arrived.
    fn send(&mut self, txn: usize, member: usize, until: Duration);
    /// Cancels one submission of a txn; its end is still reported.
    fn cancel(&mut self, txn: usize, submission: u32);
    /// Final answer: declined; a retry is harmless.
    fn decline(&mut self, txn: usize, retry_after: Option<Duration>);
    /// Final answer: the txn was given up, and whether it took effect is unknown.
    fn answer_unknown(&mut self, txn: usize);
    /// The router has no state of this txn any more; its index may be used again.
    fn release_txn(&mut self, txn: usize);
    /// The router has no state of this member any more; its index may be used again.
    fn release_member(&mut self, member: usize);
    /// Asks a member for a [`Report`]; the result comes back through `Router::probe_ended`.
    fn probe(&mut self, member: usize);
    /// Requests a call of `Router::timer_fired` with this handle at that time.
    fn set_timer(&mut self, at: Duration, handle: u64);
    /// Subscribes to changes of the member list.
    fn subscribe_to_member_list(&mut self);
    /// A group has another primary or none, or a planned change has begun or ended. For information only.
    fn primary_changed(&mut self, _change: &Change) {}
}

/// How recent the data must be that a txn type works on, and which members may execute it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Executed by the primary only.
    Write,
    /// Sees everything that was committed before it arrived.
    Fresh,
    /// Sees the writes of its own session.
    Session,
    /// Sees data no older than this at the time of its submission.
    Bounded(Duration),
    /// Sees data of any age.
    Loose,
}

/// The settings of one txn type.
#[derive(Clone, Copy, Debug)]
pub struct TxnType {
    /// Time within which an answer has its full value.
    pub sla: Duration,
    pub value: f64,
    /// Value of an answer after the SLA time, as a share of `value`.
    pub late_value: f64,
    pub effect: Effect,
    pub consistency: Consistency,
}

/// Limits for members that have just started and are cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Share of its warm capacity that a member has right after its start.
    pub share: f64,
    /// Time after which it has its full capacity.
    pub warm_up: Duration,
    /// Multiple of its current capacity that it may be sent as work within `window` before it is overloaded.
    pub multiple: f64,
    pub window: Duration,
}

/// This instance's place in the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FrontInfo {
    /// Its index among the fronts.
    pub index: usize,
    /// Number of fronts.
    pub fronts: usize,
    pub zone: usize,
}

/// The state of a member in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    Up,
    Draining,
    Removed,
}

/// What is told of the last write of a txn's session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SessionWrite {
    /// Nothing: the router has to know.
    #[default]
    Untold,
    /// The session has not written.
    Never,
    /// It was committed at this log position, which may lie in the future of this process's clock.
    At(Duration),
}

/// When a member last started, as a server list tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedStart {
    /// As told, in the unit of the list. It is compared with other told starts of the same member only: converted by a
    /// clock, the same start gives another time at each list.
    pub told: i64,
    /// How long ago that was, by this process's clock and its corrections.
    pub up_for: Duration,
}

/// What a member reports about itself; fields that it did not send are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Time up to which it has every commit.
    pub position: Option<Duration>,
    pub role: Option<Role>,
    /// Number of txns that wait there.
    pub queue: Option<f64>,
    /// Share of its cores that is busy.
    pub busy: Option<f64>,
}
