//! The router's state and its settings. No routing decision is made here.

use crate::host::{ColdStart, Consistency, FrontInfo, Host, ListedStart, Plan, TxnType};
use crate::sessions::{Sessions, SharedSessionMarks};
use crate::sliding_sum::SlidingSum;
use juniperdock_attempt_outcome::{SubmissionHistory, Target};
use juniperdock_primary_tracker::PrimaryTracker;
use juniperdock_wait_queue::{QueueKey, WaitLimits, WaitQueue};
use oorandom::Rand64;
use std::collections::BTreeSet;
use std::time::Duration;

/// Queue limits before the host sets any.
const UNLIMITED: WaitLimits = WaitLimits {
    per_group: usize::MAX,
    total: usize::MAX,
    bytes_per_group: usize::MAX,
    total_bytes: usize::MAX,
};

/// What the router knows of one member.
#[derive(Debug)]
pub(crate) struct Member {
    pub group: usize,
    pub zone: usize,
    /// Has been in a server list; false for an index that is not in use.
    pub listed: bool,
    /// The server list rules out new submissions.
    pub excluded: bool,
    /// The server list has marked it as draining.
    pub draining: bool,
    /// Its latest start that a server list has told, as told; `None` if that was long ago.
    pub started: Option<i64>,
    /// End of its warm-up according to the server list.
    pub warm_at: Duration,
    /// It refuses connections at once, so it has no running process.
    pub process_down: bool,
    /// End of its warm-up after a restart that this front has observed itself.
    pub cold_until: Duration,
    /// Random threshold between 0 and 1 at which the budget of a cold member is rounded up in this window.
    pub budget_rounding: f64,
    pub budget_rounding_until: Duration,
    /// Proven log position: the member has every commit up to here.
    pub position: Option<Duration>,
    /// When it last reported a position, and how far it was behind then.
    pub lag_observed_at: Duration,
    pub lag: Duration,
    /// Its last reported role was primary.
    pub reports_primary: bool,
    /// Since when the server list has it as removed.
    pub removed_at: Option<Duration>,
    /// The server list names it as primary.
    pub listed_as_primary: bool,
    pub probe_in_flight: bool,
    pub next_probe_at: Duration,
    pub probe_failures: u32,
    /// When the last probe was sent.
    pub last_probe_at: Option<Duration>,
    /// Consecutive reports that were too old on arrival to prove anything.
    pub stale_reports: u32,
    /// Txns with a submission in flight to it.
    pub in_flight: Vec<usize>,
    pub last_answer_at: Duration,
    /// When the most recently sent of the txns that it has answered was sent.
    pub newest_answered_sent_at: Duration,
    /// When it was last found to be silent.
    pub silence_noted_at: Duration,
    /// Submissions that this front may have in flight to it.
    pub concurrency_limit: f64,
    pub limit_cut_at: Duration,
    /// Recent latency, as a multiple of the txn type's base latency.
    pub slowness: f64,
    pub consecutive_failures: u32,
    /// Consecutive submissions that it refused as full.
    pub consecutive_fulls: u32,
    /// End of its back-off.
    pub avoid_until: Duration,
    /// Work sent to it and work completed by it, as base latencies in seconds.
    pub work_sent: SlidingSum,
    pub work_done: SlidingSum,
}

impl Member {
    /// A member of which nothing is known yet.
    pub fn new(now: Duration, concurrency_limit: f64, window: Duration) -> Self {
        Member {
            group: 0,
            zone: 0,
            listed: false,
            excluded: true,
            draining: false,
            started: None,
            warm_at: Duration::ZERO,
            process_down: false,
            cold_until: Duration::ZERO,
            budget_rounding: 1.0,
            budget_rounding_until: Duration::ZERO,
            position: None,
            lag_observed_at: Duration::ZERO,
            lag: Duration::ZERO,
            reports_primary: false,
            removed_at: None,
            listed_as_primary: false,
            probe_in_flight: false,
            next_probe_at: now,
            probe_failures: 0,
            last_probe_at: None,
            stale_reports: 0,
            in_flight: Vec::new(),
            last_answer_at: Duration::ZERO,
            newest_answered_sent_at: Duration::ZERO,
            silence_noted_at: Duration::ZERO,
            concurrency_limit,
            limit_cut_at: now,
            slowness: 1.0,
            consecutive_failures: 0,
            consecutive_fulls: 0,
            avoid_until: Duration::ZERO,
            work_sent: SlidingSum::new(window, 10),
            work_done: SlidingSum::new(window, 10),
        }
    }
}

impl Member {
    /// Records the start that an entry of a server list tells; true if it is later than all that were told before. An
    /// earlier one comes from an old list and changes nothing.
    pub fn record_start(&mut self, now: Duration, start: Option<ListedStart>, warm_up: Duration) -> bool {
        let told = start.map(|start| start.told);
        let is_later = told > self.started;
        if let Some(start) = start.filter(|_| told >= self.started) {
            self.warm_at = (now + warm_up).saturating_sub(start.up_for);
        }
        self.started = self.started.max(told);
        is_later
    }

    /// Keeps a drain that was recorded elsewhere, unless the member has started again since. `started` is its latest
    /// start as of then.
    pub fn keep_drain(&mut self, started: Option<i64>) {
        if self.started <= started {
            (self.started, self.draining, self.excluded) = (started, true, true);
        }
    }

    /// The member has answered. If its process was down before, it has just restarted and is cold.
    pub fn mark_alive(&mut self, now: Duration, warm_up: Duration) {
        if std::mem::take(&mut self.process_down) {
            self.cold_until = now + warm_up;
        }
    }

    /// The remaining warm-up time, by the server list or by what this front has observed; the whole warm-up time while
    /// the process is down.
    pub fn remaining_cold_time(&self, now: Duration, warm_up: Duration) -> Duration {
        let seen = if self.process_down { warm_up } else { self.cold_until.saturating_sub(now) };
        self.warm_at.saturating_sub(now).max(seen)
    }
}

/// Recent counts of ended submissions, of those answered in time, and of txns declined before any submission.
#[derive(Clone, Debug)]
pub(crate) struct OutcomeCounts {
    pub ended: SlidingSum,
    pub in_time: SlidingSum,
    pub declined: SlidingSum,
}

impl OutcomeCounts {
    pub fn new(span: Duration) -> Self {
        let zero = SlidingSum::new(span, 10);
        OutcomeCounts { ended: zero.clone(), in_time: zero.clone(), declined: zero }
    }
}

/// A drain, and the latest start of its member that had been told by then: only a later one ends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    pub member: usize,
    pub started: Option<i64>,
}

/// What the router knows of one group.
#[derive(Debug)]
pub(crate) struct Group {
    pub members: Vec<usize>,
    /// By txn type.
    pub outcome_counts: Vec<OutcomeCounts>,
    /// Waits for the rules to run.
    pub dirty: bool,
}

/// One txn, from its arrival until it is released.
#[derive(Debug)]
pub(crate) struct Txn {
    /// Index of its txn type.
    pub kind: usize,
    pub group: usize,
    pub arrived: Duration,
    /// The client has tried it before, or its tenant is over its quota.
    pub retried: bool,
    /// Its tenant is over its quota.
    pub over_quota: bool,
    pub expiry: Duration,
    /// It must see all commits up to here (fresh and session reads).
    pub must_see: Option<Duration>,
    pub session: Option<u64>,
    /// The record of its submissions.
    pub attempts: SubmissionHistory,
    /// Memory that it takes while it waits.
    pub bytes: usize,
    /// It has its final answer, or its client has left.
    pub finished: bool,
    /// Cancellation of the submission in flight was requested.
    pub cancel_requested: bool,
}

impl Txn {
    /// A txn that has just arrived and waits for a member.
    pub fn new(
        kind: usize,
        group: usize,
        arrived: Duration,
        retried: bool,
        expiry: Duration,
        must_see: Option<Duration>,
        session: Option<u64>,
        attempts: SubmissionHistory,
        bytes: usize,
    ) -> Self {
        Txn {
            kind,
            group,
            arrived,
            retried,
            over_quota: false,
            expiry,
            must_see,
            session,
            attempts,
            bytes,
            finished: false,
            cancel_requested: false,
        }
    }
}

/// The router of one front: takes input events and decides where and when txns are submitted.
#[derive(Debug)]
pub struct Router {
    pub(crate) rng: Rand64,
    pub(crate) front_info: FrontInfo,
    pub(crate) types: Vec<TxnType>,
    pub(crate) cold: ColdStart,
    pub(crate) max_submissions: u32,
    pub(crate) may_cancel: bool,
    /// Members refuse reads that they are too far behind for.
    pub(crate) members_check_reads: bool,
    /// Clients send the age of their session's last write; if false, such an age is ignored.
    pub(crate) client_marks_trusted: bool,
    /// A member that was removed from the list without being seen draining may still be used.
    pub(crate) removal_is_advisory: bool,
    pub(crate) max_retry_after: Option<Duration>,
    /// Each tenant's quota in txns per second over all fronts, and its first tries at this front.
    pub(crate) tenant_quotas: Vec<(f64, SlidingSum)>,
    /// What a txn over its tenant's quota is worth, as a share of its value from 0 to 1.
    pub(crate) over_quota_value: f64,
    pub(crate) probe_interval: Option<Duration>,
    /// Share of its time after which a txn that no member can have executed is given up.
    pub(crate) unexecuted_wait_share: f64,
    /// Mean time between two txns for one member.
    pub(crate) member_txn_interval: Duration,
    pub(crate) members: Vec<Member>,
    pub(crate) groups: Vec<Group>,
    pub(crate) txns: Vec<Option<Txn>>,
    /// Groups for which the rules are still to run.
    pub(crate) dirty: Vec<usize>,
    /// The primary of each group.
    pub(crate) primary_tracker: PrimaryTracker,
    /// Txns that wait for a member.
    pub(crate) wait_queue: WaitQueue,
    /// Txns that the rate limiter has not checked yet.
    pub(crate) rate_unchecked: Vec<usize>,
    /// Number of members in use, including recently removed ones.
    pub(crate) known_members: usize,
    /// Members that the server list has removed; may contain some that have returned since.
    pub(crate) removed_members: BTreeSet<usize>,
    /// The newest commit reported to each session.
    pub(crate) session_marks: Sessions,
    /// Latency without queueing by txn type, in seconds.
    pub(crate) base_latency: Vec<f64>,
    /// Recent mean latency by txn type over all members, in seconds.
    pub(crate) mean_latency: Vec<f64>,
    /// Work completed per warm member within the window of the rule on cold members.
    pub(crate) warm_member_work: f64,
    /// The next timer, when the last stall of this process was found, and when that stall had begun.
    pub(crate) next_timer_at: Duration,
    pub(crate) resumed_at: Duration,
    pub(crate) stalled_from: Duration,
    /// By txn type, over all groups.
    pub(crate) outcome_counts: Vec<OutcomeCounts>,
    /// Initial counts of a new group.
    pub(crate) empty_counts: OutcomeCounts,
    /// Txns that have arrived, and resubmissions.
    pub(crate) arrivals: SlidingSum,
    pub(crate) resubmissions: SlidingSum,
}

impl Router {
    /// A router without any history, and with everything optional switched off.
    pub(crate) fn with_defaults(
        rng: Rand64,
        front_info: FrontInfo,
        types: Vec<TxnType>,
        cold: ColdStart,
    ) -> Self {
        let (zero, kinds) = (SlidingSum::new(Duration::ZERO, 1), types.len());
        let session_marks = Sessions::new(types.iter().any(|t| t.consistency == Consistency::Session));
        Router {
            rng,
            front_info,
            types,
            cold,
            max_submissions: 1,
            may_cancel: false,
            members_check_reads: false,
            client_marks_trusted: false,
            removal_is_advisory: false,
            max_retry_after: None,
            tenant_quotas: Vec::new(),
            over_quota_value: 1.0,
            probe_interval: None,
            unexecuted_wait_share: 1.0,
            member_txn_interval: Duration::ZERO,
            members: Vec::new(),
            groups: Vec::new(),
            txns: Vec::new(),
            dirty: Vec::new(),
            primary_tracker: PrimaryTracker::default(),
            wait_queue: WaitQueue::new(kinds, UNLIMITED),
            rate_unchecked: Vec::new(),
            known_members: 0,
            removed_members: BTreeSet::new(),
            session_marks,
            base_latency: Vec::new(),
            mean_latency: Vec::new(),
            warm_member_work: 0.0,
            next_timer_at: Duration::MAX,
            resumed_at: Duration::ZERO,
            stalled_from: Duration::ZERO,
            outcome_counts: Vec::new(),
            empty_counts: OutcomeCounts::new(Duration::ZERO),
            arrivals: zero.clone(),
            resubmissions: zero,
        }
    }

    /// Sets how many submissions a txn may have in all.
    pub fn set_max_submissions(&mut self, limit: u32) {
        self.max_submissions = limit;
    }

    /// Allows cancelling submissions that are in flight.
    pub fn allow_cancelling(&mut self) {
        self.may_cancel = true;
    }

    /// Allows or forbids probes; without them, roles and positions are learnt from answers alone.
    pub fn allow_probes(&mut self, allowed: bool) {
        self.probe_interval = self.probe_interval.filter(|_| allowed);
    }

    /// Sets the longest delay after which a declined client may be told to retry. Without it none is sent.
    pub fn set_max_retry_after(&mut self, longest: Duration) {
        self.max_retry_after = Some(longest);
    }

    /// Sets each tenant's quota in txns per second over all fronts, and what a txn over the quota is still worth, as a
    /// share of its value from 0 to 1.
    pub fn set_tenant_quotas(&mut self, quotas: &[f64], over_quota_value: f64) {
        self.tenant_quotas = quotas.iter().map(|&quota| (quota, self.arrivals.clone())).collect();
        self.over_quota_value = over_quota_value;
    }

    /// Assumes that members delay or refuse reads that they are too far behind for.
    pub fn assume_members_check_reads(&mut self) {
        self.members_check_reads = true;
    }

    /// Trusts the age of a session's last write that clients send.
    pub fn trust_client_session_marks(&mut self) {
        self.client_marks_trusted = true;
    }

    /// Limits how many txns may wait for a member, and how large they may be together.
    pub fn set_wait_queue_limits(&mut self, limits: WaitLimits) {
        self.wait_queue.set_limits(limits);
    }

    /// Sets how long a txn that no member can have executed may wait, as a share of its time.
    pub fn set_unexecuted_wait_share(&mut self, share: f64) {
        self.unexecuted_wait_share = share;
    }

    /// The primary of each group, and how certain it is.
    pub fn primary_tracker(&self) -> &PrimaryTracker {
        &self.primary_tracker
    }

    /// Number of txns that wait for a member.
    pub fn waiting(&self) -> usize {
        self.wait_queue.total()
    }

    /// Probes every member for its role and position now, even if no txn waits for it.
    pub fn probe_all_members(&mut self, now: Duration, host: &mut impl Host) {
        self.members.iter_mut().for_each(|member| member.next_probe_at = now);
        (0..self.groups.len()).for_each(|group| self.mark_dirty(group));
        self.run_rules(now, &[], host);
    }

    /// Probes a member as soon as the rules on probes allow it.
    pub fn probe_member(&mut self, now: Duration, member: usize, host: &mut impl Host) {
        let Some(m) = self.members.get_mut(member).filter(|m| m.listed) else { return };
        m.next_probe_at = m.next_probe_at.min(now);
        let group = m.group;
        self.run_rules(now, &[group], host);
    }

    /// Txns per second that have recently arrived at this front.
    pub fn arrival_rate(&mut self, now: Duration) -> f64 {
        self.arrivals.sum(now) / now.as_secs_f64().clamp(1e-3, self.arrivals.span().as_secs_f64())
    }

    /// The tightest staleness bound of all txn types, if there is one.
    pub fn tightest_bound(&self) -> Option<Duration> {
        let bound =
            |t: &TxnType| if let Consistency::Bounded(bound) = t.consistency { Some(bound) } else { None };
        self.types.iter().filter_map(bound).min()
    }

    /// Number of txns of a group that wait for a member.
    pub fn waiting_in(&self, group: usize) -> usize {
        self.wait_queue.len(group)
    }

    /// Treats removal from the server list as advice: only draining excludes a member.
    pub fn treat_removal_as_advisory(&mut self) {
        self.removal_is_advisory = true;
    }

    /// The drains in force, for a router that takes the place of this one.
    pub fn drains(&self) -> Vec<Drain> {
        let drain = |(member, m): (usize, &Member)| {
            (m.listed && m.draining).then_some(Drain { member, started: m.started })
        };
        self.members.iter().enumerate().filter_map(drain).collect()
    }

    /// Keeps a drain of a router that this one replaces; to be called once the member is listed.
    pub fn keep_drain(&mut self, now: Duration, drain: Drain) {
        let Some(m) = self.members.get_mut(drain.member).filter(|m| m.listed) else { return };
        m.keep_drain(drain.started);
        let (excluded, draining) = (m.excluded, m.draining);
        self.primary_tracker.set_availability(now, drain.member, excluded, draining);
    }

    /// Creates the entries for the given group and txn.
    pub(crate) fn ensure_indices(&mut self, group: usize, txn: usize) {
        let (empty, kinds) = (&self.empty_counts, self.types.len());
        self.groups.resize_with(self.groups.len().max(group + 1), || Group {
            members: Vec::new(),
            outcome_counts: vec![empty.clone(); kinds],
            dirty: false,
        });
        self.txns.resize_with(self.txns.len().max(txn + 1), || None);
    }

    /// Removes all state of a member, so that its index can be used again.
    pub(crate) fn remove_member(
        &mut self,
        now: Duration,
        member: usize,
        blank: Member,
        host: &mut impl Host,
    ) {
        let group = self.members[member].group;
        self.primary_tracker.remove_member(now, member);
        self.known_members -= usize::from(self.members[member].listed);
        self.groups[group].members.retain(|&m| m != member);
        self.removed_members.remove(&member);
        self.members[member] = blank;
        host.release_member(member);
    }

    /// Returns the listed members that a complete list does not name, and notes them as removed.
    pub(crate) fn note_unnamed_members(&mut self, named: Option<&[usize]>) -> Vec<usize> {
        let Some(named) = named else { return Vec::new() };
        let mut missing: Vec<bool> = self.members.iter().map(|m| m.listed).collect();
        named.iter().for_each(|&i| missing[i] = false);
        let unnamed: Vec<usize> = (0..missing.len()).filter(|&i| missing[i]).collect();
        self.removed_members.extend(&unnamed);
        unnamed
    }

    /// Members that have been removed for at least this long.
    pub(crate) fn removed_for(&mut self, now: Duration, min_age: Duration) -> Vec<usize> {
        let members = &self.members;
        self.removed_members.retain(|&i| members[i].removed_at.is_some());
        let old =
            |&i: &usize| members[i].listed && members[i].removed_at.is_some_and(|at| at + min_age <= now);
        self.removed_members.iter().copied().filter(old).collect()
    }

    /// Number of members in use, including recently removed ones; at least one.
    pub(crate) fn known_member_count(&self) -> f64 {
        self.known_members.max(1) as f64
    }

    /// Releases a finished txn unless a submission of it is still in flight.
    pub(crate) fn release_if_done(&mut self, txn: usize, host: &mut impl Host) {
        if self.txn(txn).attempts.in_flight().is_none() {
            self.txns[txn] = None;
            host.release_txn(txn);
        }
    }

    /// Marks a group for the next run of the rules.
    pub(crate) fn mark_dirty(&mut self, group: usize) {
        if !self.groups[group].dirty {
            self.groups[group].dirty = true;
            self.dirty.push(group);
        }
    }

    /// Whether a write of a session is in flight: it may have been committed already and its answer be delayed or lost.
    pub(crate) fn has_write_in_flight(&self, group: usize, session: u64) -> bool {
        let is_session_write = |&txn: &usize| self.is_write(txn) && self.txn(txn).session == Some(session);
        self.groups[group].members.iter().any(|&m| self.members[m].in_flight.iter().any(is_session_write))
    }

    /// Sets a timer for a waiting txn: for when it is given up or, if no probe can bring news before that, for `next`.
    pub(crate) fn set_wait_timer(&self, txn: usize, next: Duration, host: &mut impl Host) {
        if self.wait_queue.get(txn).is_some() {
            let last = self.give_up_at(self.txn(txn));
            let at = if self.probe_interval.is_some() { last } else { last.min(next) };
            host.set_timer(at, txn as u64 * 2 + 1);
        }
    }

    /// The record of what sessions have committed up to here is lost: their reads must see all of it.
    pub fn session_marks_lost(&mut self, commit: Duration) {
        self.session_marks.lost(commit);
    }

    /// Whether marks of sessions are kept here: there are txn types with session consistency.
    pub fn keeps_session_marks(&self) -> bool {
        self.session_marks.is_enabled()
    }

    /// Shares the marks of sessions with other processes of this front from now on.
    pub fn share_session_marks(&mut self, shared: Box<dyn SharedSessionMarks>) {
        let in_flight = self.sessions_with_writes_in_flight();
        self.session_marks.share(shared, &in_flight);
    }

    /// Shares the marks of sessions no more.
    pub fn stop_sharing_session_marks(&mut self) {
        let in_flight = self.sessions_with_writes_in_flight();
        self.session_marks.stop_sharing(&in_flight);
    }

    /// The sessions of the writes in flight, one for each write.
    fn sessions_with_writes_in_flight(&self) -> Vec<u64> {
        let in_flight = self.members.iter().flat_map(|m| &m.in_flight);
        let txns = in_flight.filter_map(|&txn| self.txns.get(txn)?.as_ref());
        let writes = txns.filter(|t| self.types[t.kind].consistency == Consistency::Write);
        writes.filter_map(|t| t.session).collect()
    }

    /// Sets whether another process of this front may report commits that are recorded nowhere here: reads of sessions
    /// must then see all commits up to their arrival.
    pub fn set_session_marks_incomplete(&mut self, incomplete: bool) {
        self.session_marks.set_incomplete(incomplete);
    }

    pub(crate) fn is_write(&self, txn: usize) -> bool {
        self.types[self.txn(txn).kind].consistency == Consistency::Write
    }

    pub(crate) fn txn(&self, txn: usize) -> &Txn {
        self.txns[txn].as_ref().expect("a txn that was not released")
    }

    pub(crate) fn txn_mut(&mut self, txn: usize) -> &mut Txn {
        self.txns[txn].as_mut().expect("a txn that was not released")
    }

    /// Starts a planned change of a group's primary: its writes wait from now on.
    pub fn order_primary_change(
        &mut self,
        now: Duration,
        group: usize,
        successor: Option<usize>,
        host: &mut impl Host,
    ) -> Result<Plan, String> {
        let plan = self.primary_tracker.order_change(now, group, successor)?;
        self.run_rules(now, &[group], host);
        Ok(plan)
    }

    /// Takes up planned changes of primaries that were begun elsewhere: writes of their groups wait from now on.
    pub fn restore_primary_changes(&mut self, now: Duration, plans: &[Plan], host: &mut impl Host) {
        let taken_up = plans.iter().filter(|plan| self.primary_tracker.restore_plan(**plan));
        let groups: Vec<usize> = taken_up.map(|plan| plan.group).collect();
        if !groups.is_empty() {
            self.run_rules(now, &groups, host);
        }
    }

    /// Cancels a planned change of primary; false if there is none.
    pub fn cancel_primary_change(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let cancelled = self.primary_tracker.call_off(now, group);
        if cancelled {
            self.run_rules(now, &[group], host);
        }
        cancelled
    }

    /// The target of a submission to a member, for the record of a txn's submissions.
    pub(crate) fn target(&self, member: usize) -> Target {
        let Member { group, zone, .. } = self.members[member];
        Target { member, group, zone, term: self.primary_tracker.term(group) }
    }
}

/// The queues of a txn type's first tries or client retries: txns never submitted, and txns submitted before.
pub(crate) fn ranks_of(kind: usize, retried: bool) -> [QueueKey; 2] {
    [false, true].map(|submitted| QueueKey { kind, retried, submitted })
}
