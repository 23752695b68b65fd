//! What the router needs of its surroundings, and the plain types that cross the border.
//!
//! A host maps its own ids to small indices: members, groups, zones and txn types count from 0, and a txn
//! keeps its index until the router releases it. All times are spans since the instance started.
pub use juniperdock_attempt_outcome::{AttemptOutcome, Effect, Scope};
pub use juniperdock_primary_tracker::{Change, Phase, Plan, Role};
use std::time::Duration;

/// What the router can have done. A host carries out each call in the order of the calls.
pub trait Host {
    /// Submits the txn to a member, and waits until the txn expires. Nothing is written after `until`, nor
    /// after a later `Router::holds_until`: it is then reported as never sent.
    fn send(&mut self, txn: usize, member: usize, until: Duration);
    /// Stops waiting for one submission of a txn; its end is still reported.
    fn cancel(&mut self, txn: usize, submission: u32);
    /// Final answer: not done, and trying again is harmless.
    fn decline(&mut self, txn: usize, retry_after: Option<Duration>);
    /// Final answer: given up, and whether it took effect is not known.
    fn answer_unknown(&mut self, txn: usize);
    /// The router keeps nothing on this txn any more; its index may be used again.
    fn release_txn(&mut self, txn: usize);
    /// The router keeps nothing on this member any more; its index may be used again.
    fn release_member(&mut self, member: usize);
    fn probe(&mut self, member: usize);
    /// Asks for a call of `reminder_due` at that time.
    fn set_timer(&mut self, at: Duration, handle: u64);
    /// Subscribes to changes of the member list.
    fn subscribe_to_member_list(&mut self);
    /// Another member holds a group's slot, or a planned change has begun or ended. Nothing is to be done.
    fn primary_changed(&mut self, _change: &Change) {}
}

/// What a txn type needs of the data it meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Taken by the primary alone.
    Write,
    /// Sees all that was committed before it arrived.
    Fresh,
    /// Sees the writes of its own session.
    Session,
    /// Data no older than this when it is submitted.
    Bounded(Duration),
    Loose,
}

#[derive(Clone, Copy, Debug)]
pub struct TxnType {
    pub sla: Duration,
    pub value: f64,
    /// What is left of the value after the SLA time, as a share of it.
    pub late_value: f64,
    pub effect: Effect,
    pub consistency: Consistency,
}

/// The rule on members that have just started.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    pub share: f64,
    pub warm_up: Duration,
    pub multiple: f64,
    pub window: Duration,
}

/// Where this instance stands.
#[derive(Clone, Copy, Debug)]
pub struct FrontInfo {
    pub index: usize,
    pub fronts: usize,
    pub zone: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    Up,
    Draining,
    Removed,
}

/// What a member says of itself; whatever it left out is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub position: Option<Duration>,
    pub role: Option<Role>,
    /// Txns waiting there.
    pub queue: Option<f64>,
    /// Busy share of its cores.
    pub busy: Option<f64>,
}
