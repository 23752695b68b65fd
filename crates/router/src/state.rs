//! What the router remembers and is told at its start; nothing is decided here.
use crate::host::{ColdStart, Consistency, FrontInfo, Host, Plan, TxnType};
use crate::sessions::Sessions;
use crate::sliding_sum::SlidingSum;
use juniperdock_attempt_outcome::{SubmissionHistory, Target};
use juniperdock_primary_tracker::PrimaryTracker;
use juniperdock_wait_queue::{QueueKey, WaitLimits, WaitQueue};
use oorandom::Rand64;
use std::collections::BTreeSet;
use std::time::Duration;

/// No limit but memory.
const UNLIMITED: WaitLimits = WaitLimits {
    per_group: usize::MAX,
    total: usize::MAX,
    bytes_per_group: usize::MAX,
    total_bytes: usize::MAX,
};

#[derive(Debug)]
pub(crate) struct Member {
    pub group: usize,
    pub zone: usize,
    pub listed: bool,
    /// The list told to send nothing new.
    pub excluded: bool,
    /// Seen listed as draining.
    pub draining: bool,
    pub warm_at: Duration,
    /// Refuses at once: it has no process. And until when it is cold, as far as this front saw that itself.
    pub process_down: bool,
    pub cold_until: Duration,
    /// Where between none and one this window's budget is rounded up, while it is cold.
    pub budget_rounding: f64,
    pub budget_rounding_until: Duration,
    /// Has every commit up to here: proven, and true for ever.
    pub position: Option<Duration>,
    /// When it told its position last, and how far it was behind then.
    pub lag_observed_at: Duration,
    pub lag: Duration,
    /// Said last that it is primary.
    pub reports_primary: bool,
    /// Since when the list has it as gone.
    pub removed_at: Option<Duration>,
    /// The list calls it primary.
    pub listed_as_primary: bool,
    pub probe_in_flight: bool,
    pub next_probe_at: Duration,
    pub probe_failures: u32,
    /// When the newest probe went out.
    pub last_probe_at: Option<Duration>,
    /// Reports in a row that proved nothing when they came.
    pub stale_reports: u32,
    /// Txns with a submission out to it.
    pub in_flight: Vec<usize>,
    pub last_answer_at: Duration,
    /// When the newest of those that it has answered was sent.
    pub newest_answered_sent_at: Duration,
    pub silence_noted_at: Duration,
    pub concurrency_limit: f64,
    pub limit_cut_at: Duration,
    /// Recent answer time, as a multiple of what is typical of the txn type.
    pub slowness: f64,
    pub consecutive_failures: u32,
    /// Times in a row that it was full.
    pub consecutive_fulls: u32,
    pub avoid_until: Duration,
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
    /// It has answered; if it had no process before that, it has just started.
    pub fn mark_alive(&mut self, now: Duration, warm_up: Duration) {
        if std::mem::take(&mut self.process_down) {
            self.cold_until = now + warm_up;
        }
    }

    /// For how long it is cold yet, by the list or by what this front saw; all of it while it has no process.
    pub fn remaining_cold_time(&self, now: Duration, warm_up: Duration) -> Duration {
        let seen = if self.process_down { warm_up } else { self.cold_until.saturating_sub(now) };
        self.warm_at.saturating_sub(now).max(seen)
    }
}

/// Submissions ended of late, those answered in time, and txns declined instead.
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

#[derive(Debug)]
pub(crate) struct Group {
    pub members: Vec<usize>,
    /// By txn type.
    pub outcome_counts: Vec<OutcomeCounts>,
    pub dirty: bool,
}

#[derive(Debug)]
pub(crate) struct Txn {
    pub kind: usize,
    pub group: usize,
    pub arrived: Duration,
    /// The client has tried before, or its tenant is beyond its share.
    pub retried: bool,
    /// Beyond the share of its tenant.
    pub over_quota: bool,
    pub expiry: Duration,
    /// Commits up to here must be seen (fresh and session reads).
    pub must_see: Option<Duration>,
    pub session: Option<u64>,
    /// What became of its submissions.
    pub attempts: SubmissionHistory,
    /// What it takes to keep it.
    pub bytes: usize,
    pub finished: bool,
    /// The submission that is out was called off.
    pub cancel_requested: bool,
}

impl Txn {
    /// A txn that has just arrived and is held.
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

#[derive(Debug)]
pub struct Router {
    pub(crate) rng: Rand64,
    pub(crate) front_info: FrontInfo,
    pub(crate) types: Vec<TxnType>,
    pub(crate) cold: ColdStart,
    pub(crate) max_submissions: u32,
    pub(crate) may_cancel: bool,
    /// Members turn away reads that they are too far behind for.
    pub(crate) members_check_reads: bool,
    /// Clients say how old their session's last write is; else what they say of it counts for nothing.
    pub(crate) client_marks_trusted: bool,
    /// A member that is gone but was never seen draining may still be used.
    pub(crate) removal_is_advisory: bool,
    pub(crate) max_retry_after: Option<Duration>,
    /// Txns a second that all fronts together take of each tenant within its share, and first tries seen here.
    pub(crate) tenant_quotas: Vec<(f64, SlidingSum)>,
    /// Worth of a txn beyond its tenant's share, as a share of its value: from 0 to 1.
    pub(crate) over_quota_value: f64,
    pub(crate) probe_interval: Option<Duration>,
    /// What no member has had is given up after this share of its time.
    pub(crate) unexecuted_wait_share: f64,
    /// Mean time between txns for one member.
    pub(crate) member_txn_interval: Duration,
    pub(crate) members: Vec<Member>,
    pub(crate) groups: Vec<Group>,
    pub(crate) txns: Vec<Option<Txn>>,
    pub(crate) dirty: Vec<usize>,
    /// Who is primary of each group.
    pub(crate) primary_tracker: PrimaryTracker,
    /// Txns that wait for a member.
    pub(crate) wait_queue: WaitQueue,
    /// Txns that the throttle has not met yet.
    pub(crate) rate_unchecked: Vec<usize>,
    /// Members that are or were of late.
    pub(crate) known_members: usize,
    /// Members that the list had as gone when it last named them, and perhaps some that are back.
    pub(crate) removed_members: BTreeSet<usize>,
    /// Newest commit told to each session.
    pub(crate) session_marks: Sessions,
    /// Typical answer time by txn type, in seconds.
    pub(crate) base_latency: Vec<f64>,
    /// Mean answer time by txn type of late, over all members, in seconds.
    pub(crate) mean_latency: Vec<f64>,
    /// Work done per warm member in the cold window.
    pub(crate) warm_member_work: f64,
    /// The next reminder, when this front last found that it had stood still, and since when it had.
    pub(crate) next_timer_at: Duration,
    pub(crate) resumed_at: Duration,
    pub(crate) stalled_from: Duration,
    /// By txn type.
    pub(crate) outcome_counts: Vec<OutcomeCounts>,
    /// What a new group counts in.
    pub(crate) empty_counts: OutcomeCounts,
    pub(crate) arrivals: SlidingSum,
    pub(crate) resubmissions: SlidingSum,
}

impl Router {
    /// A router that remembers nothing and was allowed nothing yet.
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

    /// How many submissions a txn may have in all.
    pub fn set_max_submissions(&mut self, limit: u32) {
        self.max_submissions = limit;
    }

    pub fn allow_cancelling(&mut self) {
        self.may_cancel = true;
    }

    pub fn allow_probes(&mut self, allowed: bool) {
        self.probe_interval = self.probe_interval.filter(|_| allowed);
    }

    /// How far in the future a declined client can be told to come back.
    pub fn set_max_retry_after(&mut self, longest: Duration) {
        self.max_retry_after = Some(longest);
    }

    /// What each tenant may ask of all fronts together, in txns a second, and what a txn beyond that is still
    /// worth, as a share of its value from 0 to 1.
    pub fn set_tenant_quotas(&mut self, quotas: &[f64], over_quota_value: f64) {
        self.tenant_quotas = quotas.iter().map(|&quota| (quota, self.arrivals.clone())).collect();
        self.over_quota_value = over_quota_value;
    }

    /// Members hold or turn away reads that they are too far behind for.
    pub fn assume_members_check_reads(&mut self) {
        self.members_check_reads = true;
    }

    /// Clients carry the age of their session's last write.
    pub fn trust_client_session_marks(&mut self) {
        self.client_marks_trusted = true;
    }

    /// How many txns may wait for a member, and how large they may be together.
    pub fn set_wait_queue_limits(&mut self, limits: WaitLimits) {
        self.wait_queue.set_limits(limits);
    }

    /// How long what no member has had is held, as a share of its time.
    pub fn set_unexecuted_wait_share(&mut self, share: f64) {
        self.unexecuted_wait_share = share;
    }

    /// Who is primary of each group, and how sure that is.
    pub fn primary_tracker(&self) -> &PrimaryTracker {
        &self.primary_tracker
    }

    /// How many txns wait for a member.
    pub fn waiting(&self) -> usize {
        self.wait_queue.total()
    }

    /// Asks every member for its role and position now, though no txn waits for it.
    pub fn probe_all_members(&mut self, now: Duration, host: &mut impl Host) {
        self.members.iter_mut().for_each(|member| member.next_probe_at = now);
        (0..self.groups.len()).for_each(|group| self.mark_dirty(group));
        self.run_rules(now, &[], host);
    }

    /// A member is asked as soon as the rules on probes let it be.
    pub fn probe_member(&mut self, now: Duration, member: usize, host: &mut impl Host) {
        let Some(m) = self.members.get_mut(member).filter(|m| m.listed) else { return };
        m.next_probe_at = m.next_probe_at.min(now);
        let group = m.group;
        self.run_rules(now, &[group], host);
    }

    /// Txns a second that have come here of late.
    pub fn arrival_rate(&mut self, now: Duration) -> f64 {
        self.arrivals.sum(now) / now.as_secs_f64().clamp(1e-3, self.arrivals.span().as_secs_f64())
    }

    /// The tightest bound on the age of reads, where there is one.
    pub fn tightest_bound(&self) -> Option<Duration> {
        let bound =
            |t: &TxnType| if let Consistency::Bounded(bound) = t.consistency { Some(bound) } else { None };
        self.types.iter().filter_map(bound).min()
    }

    /// How many txns of a group wait.
    pub fn waiting_in(&self, group: usize) -> usize {
        self.wait_queue.len(group)
    }

    /// Being gone from the list does not bind, only draining does.
    pub fn treat_removal_as_advisory(&mut self) {
        self.removal_is_advisory = true;
    }

    pub(crate) fn ensure_indices(&mut self, group: usize, txn: usize) {
        let (empty, kinds) = (&self.empty_counts, self.types.len());
        self.groups.resize_with(self.groups.len().max(group + 1), || Group {
            members: Vec::new(),
            outcome_counts: vec![empty.clone(); kinds],
            dirty: false,
        });
        self.txns.resize_with(self.txns.len().max(txn + 1), || None);
    }

    /// A member's index is free again; nothing of it is left behind.
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

    /// Listed members that a whole list does not name; they are noted as gone.
    pub(crate) fn note_unnamed_members(&mut self, named: Option<&[usize]>) -> Vec<usize> {
        let Some(named) = named else { return Vec::new() };
        let mut missing: Vec<bool> = self.members.iter().map(|m| m.listed).collect();
        named.iter().for_each(|&i| missing[i] = false);
        let unnamed: Vec<usize> = (0..missing.len()).filter(|&i| missing[i]).collect();
        self.removed_members.extend(&unnamed);
        unnamed
    }

    /// Members that have been gone for so long.
    pub(crate) fn removed_for(&mut self, now: Duration, min_age: Duration) -> Vec<usize> {
        let members = &self.members;
        self.removed_members.retain(|&i| members[i].removed_at.is_some());
        let old =
            |&i: &usize| members[i].listed && members[i].removed_at.is_some_and(|at| at + min_age <= now);
        self.removed_members.iter().copied().filter(old).collect()
    }

    /// How many members there are or were of late, one at least.
    pub(crate) fn known_member_count(&self) -> f64 {
        self.known_members.max(1) as f64
    }

    pub(crate) fn release_if_done(&mut self, txn: usize, host: &mut impl Host) {
        if self.txn(txn).attempts.in_flight().is_none() {
            self.txns[txn] = None;
            host.release_txn(txn);
        }
    }

    pub(crate) fn mark_dirty(&mut self, group: usize) {
        if !self.groups[group].dirty {
            self.groups[group].dirty = true;
            self.dirty.push(group);
        }
    }

    /// Whether a write of a session is out: it may have been committed, and its answer be lost on the way.
    pub(crate) fn has_write_in_flight(&self, group: usize, session: u64) -> bool {
        let is_session_write = |&txn: &usize| {
            let t = self.txn(txn);
            t.session == Some(session) && self.types[t.kind].consistency == Consistency::Write
        };
        self.groups[group].members.iter().any(|&m| self.members[m].in_flight.iter().any(is_session_write))
    }

    /// Has a txn that waits looked at when it is given up; where no probe brings news by then, at `next`.
    pub(crate) fn set_wait_timer(&self, txn: usize, next: Duration, host: &mut impl Host) {
        if self.wait_queue.get(txn).is_some() {
            let last = self.give_up_at(self.txn(txn));
            let at = if self.probe_interval.is_some() { last } else { last.min(next) };
            host.set_timer(at, txn as u64 * 2 + 1);
        }
    }

    /// What sessions have written before `now` is not known any more: their reads must see all of it.
    pub fn session_marks_lost(&mut self, now: Duration) {
        self.session_marks.lost(now);
    }

    pub(crate) fn txn(&self, txn: usize) -> &Txn {
        self.txns[txn].as_ref().expect("a txn that was not released")
    }

    pub(crate) fn txn_mut(&mut self, txn: usize) -> &mut Txn {
        self.txns[txn].as_mut().expect("a txn that was not released")
    }

    /// Orders a planned change of a group's primary: its writes wait from now on.
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

    /// Calls a planned change off; false where none is under way.
    pub fn cancel_primary_change(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let cancelled = self.primary_tracker.call_off(now, group);
        if cancelled {
            self.run_rules(now, &[group], host);
        }
        cancelled
    }

    /// Where a submission to a member would go, as the record of a txn's fate knows it.
    pub(crate) fn target(&self, member: usize) -> Target {
        let Member { group, zone, .. } = self.members[member];
        Target { member, group, zone, term: self.primary_tracker.term(group) }
    }
}

/// The queues of a type's first or later tries: those never sent, and those that were.
pub(crate) fn ranks_of(kind: usize, retried: bool) -> [QueueKey; 2] {
    [false, true].map(|submitted| QueueKey { kind, retried, submitted })
}
