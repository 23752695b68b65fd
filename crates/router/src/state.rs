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
const ALL: WaitLimits = WaitLimits {
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
    pub stopped: bool,
    /// Seen listed as draining.
    pub drains: bool,
    pub warm_at: Duration,
    /// Refuses at once: it has no process. And until when it is cold, as far as this front saw that itself.
    pub refused: bool,
    pub risen_till: Duration,
    /// Where between none and one this window's budget is rounded up, while it is cold.
    pub lot: f64,
    pub lot_until: Duration,
    /// Has every commit up to here: proven, and true for ever.
    pub position: Option<Duration>,
    /// When it told its position last, and how far it was behind then.
    pub told_at: Duration,
    pub lag: Duration,
    /// Said last that it is primary.
    pub leads: bool,
    /// Since when the list has it as gone.
    pub gone_at: Option<Duration>,
    /// The list calls it primary.
    pub hinted: bool,
    pub probe_out: bool,
    pub probe_due: Duration,
    pub probe_failures: u32,
    /// When the newest probe went out.
    pub asked: Option<Duration>,
    /// Reports in a row that proved nothing when they came.
    pub barren: u32,
    /// Txns with a submission out to it.
    pub in_hand: Vec<usize>,
    pub last_answer: Duration,
    /// When the newest of those that it has answered was sent.
    pub passed_by: Duration,
    pub hushed: Duration,
    pub room: f64,
    pub last_cut: Duration,
    /// Recent answer time, as a multiple of what is typical of the txn type.
    pub slow: f64,
    pub failures: u32,
    /// Times in a row that it was full.
    pub fulls: u32,
    pub shunned: Duration,
    pub sent: SlidingSum,
    pub done: SlidingSum,
}

impl Member {
    /// A member of which nothing is known yet.
    pub fn new(now: Duration, room: f64, window: Duration) -> Self {
        Member {
            group: 0,
            zone: 0,
            listed: false,
            stopped: true,
            drains: false,
            warm_at: Duration::ZERO,
            refused: false,
            risen_till: Duration::ZERO,
            lot: 1.0,
            lot_until: Duration::ZERO,
            position: None,
            told_at: Duration::ZERO,
            lag: Duration::ZERO,
            leads: false,
            gone_at: None,
            hinted: false,
            probe_out: false,
            probe_due: now,
            probe_failures: 0,
            asked: None,
            barren: 0,
            in_hand: Vec::new(),
            last_answer: Duration::ZERO,
            passed_by: Duration::ZERO,
            hushed: Duration::ZERO,
            room,
            last_cut: now,
            slow: 1.0,
            failures: 0,
            fulls: 0,
            shunned: Duration::ZERO,
            sent: SlidingSum::new(window, 10),
            done: SlidingSum::new(window, 10),
        }
    }
}

impl Member {
    /// It has answered; if it had no process before that, it has just started.
    pub fn rises(&mut self, now: Duration, warm_up: Duration) {
        if std::mem::take(&mut self.refused) {
            self.risen_till = now + warm_up;
        }
    }

    /// For how long it is cold yet, by the list or by what this front saw; all of it while it has no process.
    pub fn cold_for(&self, now: Duration, warm_up: Duration) -> Duration {
        let seen = if self.refused { warm_up } else { self.risen_till.saturating_sub(now) };
        self.warm_at.saturating_sub(now).max(seen)
    }
}

/// Submissions ended of late, those answered in time, and txns declined instead.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    pub ended: SlidingSum,
    pub in_time: SlidingSum,
    pub declined: SlidingSum,
}

impl Tally {
    pub fn new(span: Duration) -> Self {
        let ring = SlidingSum::new(span, 10);
        Tally { ended: ring.clone(), in_time: ring.clone(), declined: ring }
    }
}

#[derive(Debug)]
pub(crate) struct Group {
    pub members: Vec<usize>,
    /// By txn type.
    pub tallies: Vec<Tally>,
    pub touched: bool,
}

#[derive(Debug)]
pub(crate) struct Txn {
    pub kind: usize,
    pub group: usize,
    pub arrived: Duration,
    /// The client has tried before, or its tenant is beyond its share.
    pub retried: bool,
    /// Beyond the share of its tenant.
    pub beyond: bool,
    pub expiry: Duration,
    /// Commits up to here must be seen (fresh and session reads).
    pub must_see: Option<Duration>,
    pub session: Option<u64>,
    /// What became of its submissions.
    pub fate: SubmissionHistory,
    /// What it takes to keep it.
    pub bytes: usize,
    pub over: bool,
    /// The submission that is out was called off.
    pub called_off: bool,
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
        fate: SubmissionHistory,
        bytes: usize,
    ) -> Self {
        Txn {
            kind,
            group,
            arrived,
            retried,
            beyond: false,
            expiry,
            must_see,
            session,
            fate,
            bytes,
            over: false,
            called_off: false,
        }
    }
}

#[derive(Debug)]
pub struct Router {
    pub(crate) rng: Rand64,
    pub(crate) standing: FrontInfo,
    pub(crate) types: Vec<TxnType>,
    pub(crate) cold: ColdStart,
    pub(crate) max_submissions: u32,
    pub(crate) may_cancel: bool,
    /// Members turn away reads that they are too far behind for.
    pub(crate) members_check: bool,
    /// Clients say how old their session's last write is; else what they say of it counts for nothing.
    pub(crate) marks_carried: bool,
    /// A member that is gone but was never seen draining may still be used.
    pub(crate) gone_is_advice: bool,
    pub(crate) come_back_most: Option<Duration>,
    /// Txns a second that all fronts together take of each tenant within its share, and first tries seen here.
    pub(crate) tenants: Vec<(f64, SlidingSum)>,
    /// Worth of a txn beyond its tenant's share, as a share of its value: from 0 to 1.
    pub(crate) beyond_value: f64,
    pub(crate) probe_every: Option<Duration>,
    /// What no member has had is given up after this share of its time.
    pub(crate) untaken: f64,
    /// Mean time between txns for one member.
    pub(crate) apart: Duration,
    pub(crate) members: Vec<Member>,
    pub(crate) groups: Vec<Group>,
    pub(crate) txns: Vec<Option<Txn>>,
    pub(crate) touched: Vec<usize>,
    /// Who is primary of each group.
    pub(crate) tenure: PrimaryTracker,
    /// Txns that wait for a member.
    pub(crate) held: WaitQueue,
    /// Txns that the throttle has not met yet.
    pub(crate) unweighed: Vec<usize>,
    /// Members that are or were of late.
    pub(crate) known: usize,
    /// Members that the list had as gone when it last named them, and perhaps some that are back.
    pub(crate) gone: BTreeSet<usize>,
    /// Newest commit told to each session.
    pub(crate) sessions: Sessions,
    /// Typical answer time by txn type, in seconds.
    pub(crate) typical: Vec<f64>,
    /// Mean answer time by txn type of late, over all members, in seconds.
    pub(crate) usual: Vec<f64>,
    /// Work done per warm member in the cold window.
    pub(crate) warm_work: f64,
    /// The next reminder, when this front last found that it had stood still, and since when it had.
    pub(crate) due: Duration,
    pub(crate) awake: Duration,
    pub(crate) stood: Duration,
    /// By txn type.
    pub(crate) tallies: Vec<Tally>,
    /// What a new group counts in.
    pub(crate) blank: Tally,
    pub(crate) first: SlidingSum,
    pub(crate) again: SlidingSum,
}

impl Router {
    /// A router that remembers nothing and was allowed nothing yet.
    pub(crate) fn blank(rng: Rand64, standing: FrontInfo, types: Vec<TxnType>, cold: ColdStart) -> Self {
        let (none, kinds) = (SlidingSum::new(Duration::ZERO, 1), types.len());
        let sessions = Sessions::new(types.iter().any(|t| t.consistency == Consistency::Session));
        Router {
            rng,
            standing,
            types,
            cold,
            max_submissions: 1,
            may_cancel: false,
            members_check: false,
            marks_carried: false,
            gone_is_advice: false,
            come_back_most: None,
            tenants: Vec::new(),
            beyond_value: 1.0,
            probe_every: None,
            untaken: 1.0,
            apart: Duration::ZERO,
            members: Vec::new(),
            groups: Vec::new(),
            txns: Vec::new(),
            touched: Vec::new(),
            tenure: PrimaryTracker::default(),
            held: WaitQueue::new(kinds, ALL),
            unweighed: Vec::new(),
            known: 0,
            gone: BTreeSet::new(),
            sessions,
            typical: Vec::new(),
            usual: Vec::new(),
            warm_work: 0.0,
            due: Duration::MAX,
            awake: Duration::ZERO,
            stood: Duration::ZERO,
            tallies: Vec::new(),
            blank: Tally::new(Duration::ZERO),
            first: none.clone(),
            again: none,
        }
    }

    /// How many submissions a txn may have in all.
    pub fn set_max_submissions(&mut self, most: u32) {
        self.max_submissions = most;
    }

    pub fn allow_cancelling(&mut self) {
        self.may_cancel = true;
    }

    pub fn allow_probes(&mut self, allowed: bool) {
        self.probe_every = self.probe_every.filter(|_| allowed);
    }

    /// How far in the future a declined client can be told to come back.
    pub fn set_max_retry_after(&mut self, longest: Duration) {
        self.come_back_most = Some(longest);
    }

    /// What each tenant may ask of all fronts together, in txns a second, and what a txn beyond that is still
    /// worth, as a share of its value from 0 to 1.
    pub fn set_tenant_quotas(&mut self, quotas: &[f64], beyond_value: f64) {
        self.tenants = quotas.iter().map(|&quota| (quota, self.first.clone())).collect();
        self.beyond_value = beyond_value;
    }

    /// Members hold or turn away reads that they are too far behind for.
    pub fn assume_members_check_reads(&mut self) {
        self.members_check = true;
    }

    /// Clients carry the age of their session's last write.
    pub fn trust_client_session_marks(&mut self) {
        self.marks_carried = true;
    }

    /// How many txns may wait for a member, and how large they may be together.
    pub fn set_wait_queue_limits(&mut self, most: WaitLimits) {
        self.held.set_limits(most);
    }

    /// How long what no member has had is held, as a share of its time.
    pub fn set_unexecuted_wait_share(&mut self, share: f64) {
        self.untaken = share;
    }

    /// Who is primary of each group, and how sure that is.
    pub fn primary_tracker(&self) -> &PrimaryTracker {
        &self.tenure
    }

    /// How many txns wait for a member.
    pub fn waiting(&self) -> usize {
        self.held.total()
    }

    /// Asks every member for its role and position now, though no txn waits for it.
    pub fn probe_all_members(&mut self, now: Duration, host: &mut impl Host) {
        self.members.iter_mut().for_each(|member| member.probe_due = now);
        (0..self.groups.len()).for_each(|group| self.touch(group));
        self.settle(now, &[], host);
    }

    /// A member is asked as soon as the rules on probes let it be.
    pub fn probe_member(&mut self, now: Duration, member: usize, host: &mut impl Host) {
        let Some(m) = self.members.get_mut(member).filter(|m| m.listed) else { return };
        m.probe_due = m.probe_due.min(now);
        let group = m.group;
        self.settle(now, &[group], host);
    }

    /// Txns a second that have come here of late.
    pub fn arrival_rate(&mut self, now: Duration) -> f64 {
        self.first.sum(now) / now.as_secs_f64().clamp(1e-3, self.first.span().as_secs_f64())
    }

    /// The tightest bound on the age of reads, where there is one.
    pub fn tightest_bound(&self) -> Option<Duration> {
        let bound =
            |t: &TxnType| if let Consistency::Bounded(bound) = t.consistency { Some(bound) } else { None };
        self.types.iter().filter_map(bound).min()
    }

    /// How many txns of a group wait.
    pub fn waiting_in(&self, group: usize) -> usize {
        self.held.len(group)
    }

    /// Being gone from the list does not bind, only draining does.
    pub fn treat_removal_as_advisory(&mut self) {
        self.gone_is_advice = true;
    }

    pub(crate) fn make_place(&mut self, group: usize, txn: usize) {
        let (none, kinds) = (&self.blank, self.types.len());
        self.groups.resize_with(self.groups.len().max(group + 1), || Group {
            members: Vec::new(),
            tallies: vec![none.clone(); kinds],
            touched: false,
        });
        self.txns.resize_with(self.txns.len().max(txn + 1), || None);
    }

    /// A member's index is free again; nothing of it is left behind.
    pub(crate) fn drop_member(&mut self, now: Duration, member: usize, blank: Member, host: &mut impl Host) {
        let group = self.members[member].group;
        self.tenure.remove_member(now, member);
        self.known -= usize::from(self.members[member].listed);
        self.groups[group].members.retain(|&m| m != member);
        self.gone.remove(&member);
        self.members[member] = blank;
        host.release_member(member);
    }

    /// Listed members that a whole list does not name; they are noted as gone.
    pub(crate) fn unnamed(&mut self, named: Option<&[usize]>) -> Vec<usize> {
        let Some(named) = named else { return Vec::new() };
        let mut missing: Vec<bool> = self.members.iter().map(|m| m.listed).collect();
        named.iter().for_each(|&i| missing[i] = false);
        let unnamed: Vec<usize> = (0..missing.len()).filter(|&i| missing[i]).collect();
        self.gone.extend(&unnamed);
        unnamed
    }

    /// Members that have been gone for so long.
    pub(crate) fn gone_for(&mut self, now: Duration, long: Duration) -> Vec<usize> {
        let members = &self.members;
        self.gone.retain(|&i| members[i].gone_at.is_some());
        let old = |&i: &usize| members[i].listed && members[i].gone_at.is_some_and(|at| at + long <= now);
        self.gone.iter().copied().filter(old).collect()
    }

    /// How many members there are or were of late, one at least.
    pub(crate) fn known(&self) -> f64 {
        self.known.max(1) as f64
    }

    pub(crate) fn forget(&mut self, txn: usize, host: &mut impl Host) {
        if self.txn(txn).fate.in_flight().is_none() {
            self.txns[txn] = None;
            host.release_txn(txn);
        }
    }

    pub(crate) fn touch(&mut self, group: usize) {
        if !self.groups[group].touched {
            self.groups[group].touched = true;
            self.touched.push(group);
        }
    }

    /// Whether a write of a session is out: it may have been committed, and its answer be lost on the way.
    pub(crate) fn writes_out(&self, group: usize, session: u64) -> bool {
        let its = |&txn: &usize| {
            let t = self.txn(txn);
            t.session == Some(session) && self.types[t.kind].consistency == Consistency::Write
        };
        self.groups[group].members.iter().any(|&m| self.members[m].in_hand.iter().any(its))
    }

    /// Has a txn that waits looked at when it is given up; where no probe brings news by then, at `next`.
    pub(crate) fn remind_held(&self, txn: usize, next: Duration, host: &mut impl Host) {
        if self.held.get(txn).is_some() {
            let last = self.hope(self.txn(txn));
            let at = if self.probe_every.is_some() { last } else { last.min(next) };
            host.set_timer(at, txn as u64 * 2 + 1);
        }
    }

    /// What sessions have written before `now` is not known any more: their reads must see all of it.
    pub fn session_marks_lost(&mut self, now: Duration) {
        self.sessions.lost(now);
    }

    pub(crate) fn txn(&self, txn: usize) -> &Txn {
        self.txns[txn].as_ref().expect("a txn in hand")
    }

    pub(crate) fn txn_mut(&mut self, txn: usize) -> &mut Txn {
        self.txns[txn].as_mut().expect("a txn in hand")
    }

    /// Orders a planned change of a group's primary: its writes wait from now on.
    pub fn order_primary_change(
        &mut self,
        now: Duration,
        group: usize,
        successor: Option<usize>,
        host: &mut impl Host,
    ) -> Result<Plan, String> {
        let plan = self.tenure.order_change(now, group, successor)?;
        self.settle(now, &[group], host);
        Ok(plan)
    }

    /// Calls a planned change off; false where none is under way.
    pub fn cancel_primary_change(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let off = self.tenure.call_off(now, group);
        if off {
            self.settle(now, &[group], host);
        }
        off
    }

    /// Where a submission to a member would go, as the record of a txn's fate knows it.
    pub(crate) fn place_at(&self, member: usize) -> Target {
        let Member { group, zone, .. } = self.members[member];
        Target { member, group, zone, term: self.tenure.term(group) }
    }
}

/// The queues of a type's first or later tries: those never sent, and those that were.
pub(crate) fn both(kind: usize, retried: bool) -> [QueueKey; 2] {
    [false, true].map(|submitted| QueueKey { kind, retried, submitted })
}
