//! All routing decisions. The host ([`crate::host`]) calls one method per input event. Each method records the facts
//! and then runs the rules in `run_rules` until none fires. Only `submit` sends a txn to a member, and only if
//! `may_submit` allows it.

use crate::host::AttemptOutcome::*;
use crate::host::{
    AttemptOutcome, ColdStart, Consistency, Effect, FrontInfo, Host, ListedStart, ListedState, Phase, Plan,
    Report, Role, SessionWrite, TxnType, WriteProgress,
};
use crate::sliding_sum::SlidingSum;
pub use crate::state::{Drain, Router};
use crate::state::{Member, OutcomeCounts, Txn, ranks_of};
use juniperdock_attempt_outcome::{FinalAnswer, SubmissionHistory};
use juniperdock_primary_tracker::Claim;
use juniperdock_wait_queue::{QueueFull, QueueKey, WaitingTxn};
use oorandom::Rand64;
use std::{cmp::Reverse, mem::take, time::Duration};

/// Periodic probes of a member within the tightest staleness bound.
const PROBES_PER_BOUND: u32 = 2;
/// Periodic probes stay below this share of the txns that arrive at this front; further reports are requested on
/// demand.
const PERIODIC_PROBES_PER_TXN: f64 = 0.5;
/// Limit of on-demand probes, as a multiple of the txn rate. It applies from `ON_DEMAND_PROBE_FRONTS` fronts on; a
/// smaller fleet may probe more often.
const ON_DEMAND_PROBES_PER_TXN: f64 = 4.0;
const ON_DEMAND_PROBE_FRONTS: f64 = 32.0;
/// The primary, and members that check reads themselves, are probed at this multiple of the usual interval, because
/// their answers carry the same information.
const PRIMARY_PROBE_INTERVAL_FACTOR: u32 = 4;
/// How long a read waits for a report that may prove a reader's position.
const REPORT_WAIT: Duration = Duration::from_millis(40);
/// Back-off after a member's first failure; it doubles with each further one, up to `BACKOFF_MAX`.
const BACKOFF_MIN: Duration = Duration::from_millis(250);
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Resubmissions stay below this share of the arriving txns, both counted over `RATE_WINDOW`.
const RESUBMISSION_SHARE: f64 = 0.1;
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Initial and lowest limit on the submissions that one front has in flight at a member. Both shrink in proportion
/// when there are more than `FULL_LIMIT_FRONTS` fronts.
const INITIAL_CONCURRENCY: f64 = 4.0;
const MIN_CONCURRENCY: f64 = 2.0;
const FULL_LIMIT_FRONTS: f64 = 5.0;
/// The concurrency limit of a member is cut while its answers take more than this share of the SLA time.
const LIMIT_CUT_SLA_SHARE: f64 = 0.25;
/// Share of a member's concurrency limit for work that must leave the rest free: reads at the primary, and client
/// retries that are worth nothing once late. It also halves other shares and random ranges.
const HALF: f64 = 0.5;
/// A member is silent when it has had work in flight for this many mean latencies without an answer, or for half of
/// that with two or more submissions in flight.
const SILENCE_LATENCIES: f64 = 5.0;
/// A submission is considered lost after this many mean latencies, provided that its member answers others.
const LOST_LATENCIES: f64 = 8.0;
/// Answers in time per known member within the counting window that double what the rate limiter admits.
const ANSWERS_PER_MEMBER_TO_DOUBLE: f64 = 2.5;
/// Share of the SLA time within which an answer is in time for the rate limiter, so that queues shrink before the SLA
/// time itself is exceeded.
const IN_TIME_SLA_SHARE: f64 = 0.7;
/// The rate limiter admits this multiple of the share answered in time, plus `HALF` for the most valuable txn type and
/// proportionally less for others, but at least 1.
const BASE_ADMISSION_FACTOR: f64 = 0.8;
/// Weight of declined txns in the rate limiter, as a multiple of the share of late answers, up to 1. While few answers
/// are late, declined txns count little, so that the limiter opens again.
const DECLINED_WEIGHT_PER_LATE_SHARE: f64 = 8.0;
/// Declined txns count up to this multiple of the ended submissions; otherwise too few txns might be admitted to judge
/// by.
const MAX_DECLINED_PER_ENDED: f64 = 2.0;
/// Answers that the rate limiter assumes in advance: for a txn type all in time, for a group as its txn type.
const PRIOR_ANSWERS: f64 = 2.0;
/// Reads spill to the primary while at least this share of the txns that only the primary accepts is in time.
const SPILL_IN_TIME_SHARE: f64 = 0.8;
/// Reads spill to the primary if it costs less than the chosen reader by this factor.
const SPILL_COST_FACTOR: f64 = 2.0;
/// Cost factor of a member that has failed, until it answers a probe or a txn.
const FAILED_COST_FACTOR: f64 = 8.0;
/// Without answers, the excess of a member's slowness is halved after this time.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(1);
/// How long removed members and session marks are kept. No server list is so old that it names a member that was
/// removed longer ago.
const RETENTION: Duration = Duration::from_secs(60);
/// Timer handle for requesting the server list. Even handles from 2 on belong to members, odd ones to txns.
const LIST_REQUEST_TIMER: u64 = 0;
/// A txn that no member can have executed is given up after this share of its time, so that its client can still try
/// elsewhere.
const UNEXECUTED_WAIT_SHARE: f64 = 0.45;
/// Part of a cold member's budget that is used; the rest covers random variation, probes and handshakes.
const COLD_BUDGET_SHARE: f64 = 0.5;

type MaybeTime = Option<Duration>;

impl Router {
    /// Creates the router of one front. `seed` makes its random choices reproducible.
    pub fn new(seed: u64, front_info: FrontInfo, types: Vec<TxnType>, cold: ColdStart) -> Self {
        let tightest = types.iter().filter_map(|t| match t.consistency {
            Consistency::Bounded(bound) => Some(bound / PROBES_PER_BOUND),
            _ => None,
        });
        let interval = tightest.min().unwrap_or(BACKOFF_MIN);
        let mut router = Router::with_defaults(Rand64::new(seed as u128), front_info, types, cold);
        (router.probe_interval, router.unexecuted_wait_share) = (Some(interval), UNEXECUTED_WAIT_SHARE);
        // Estimates until enough answers have arrived. The fastest answers arrive first, so starting from those would
        // be far too low.
        router.base_latency = router.types.iter().map(|t| t.sla.as_secs_f64() / 4.0).collect();
        router.mean_latency = router.types.iter().map(|t| t.sla.as_secs_f64() / 2.0).collect();
        (router.arrivals, router.resubmissions) =
            (SlidingSum::new(RATE_WINDOW, 10), SlidingSum::new(RATE_WINDOW, 10));
        router.outcome_counts = vec![OutcomeCounts::new(RATE_WINDOW / 2); router.types.len()];
        router.empty_counts = OutcomeCounts::new(RATE_WINDOW);
        router
    }

    /// The server list has to be requested, at the start or after its source was lost. The request is delayed by a
    /// random time, so that not all fronts request it at once.
    pub fn discovery_lost(&mut self, now: Duration, host: &mut impl Host) {
        host.set_timer(now + BACKOFF_MIN.mul_f64(self.rng.rand_float()), LIST_REQUEST_TIMER);
    }

    /// Records one entry of a server list. `start` is the member's last start, if the list contains it.
    pub fn member_listed(
        &mut self,
        now: Duration,
        member: usize,
        group: usize,
        zone: usize,
        state: ListedState,
        primary: bool,
        start: Option<ListedStart>,
    ) {
        self.ensure_indices(group, 0);
        while self.members.len() <= member {
            self.members.push(Member::new(now, self.per_front_limit(INITIAL_CONCURRENCY), self.cold.window));
        }
        let m = &mut self.members[member];
        (m.group, m.zone) = (group, zone);
        if !std::mem::replace(&mut m.listed, true) {
            // Spread randomly: many fronts may start together, and must not all probe it at once.
            m.next_probe_at = now + BACKOFF_MIN.mul_f64(self.rng.rand_float());
            self.groups[group].members.push(member);
            self.primary_tracker.add_member(member, group);
            self.known_members += 1;
        }
        let m = &mut self.members[member];
        let has_restarted = m.record_start(now, start, self.cold.warm_up);
        // Only a later start ends a drain: a list may be wrong, or an old list may arrive again.
        m.draining = state == ListedState::Draining || m.draining && !has_restarted;
        m.removed_at = m.removed_at.or(Some(now)).filter(|_| state == ListedState::Removed);
        m.excluded = m.draining || state == ListedState::Removed && !self.removal_is_advisory;
        m.listed_as_primary = primary && !m.excluded;
        self.removed_members.extend(m.removed_at.map(|_| member));
        self.primary_tracker.set_availability(now, member, m.excluded, m.draining);
        // The listed primary is only a hint. The member is probed at once, and the hint counts only if its report
        // contains no role.
        m.next_probe_at = if m.listed_as_primary { now } else { m.next_probe_at };
        self.mark_dirty(group);
    }

    /// All entries of a list have been recorded. `named` is given for a complete list: members that it does not contain
    /// are removed. A removed member is dropped once no old list can name it again, nothing is in flight to it and it
    /// is of no use.
    pub fn list_completed(&mut self, now: Duration, named: Option<&[usize]>, host: &mut impl Host) {
        for i in self.note_unnamed_members(named) {
            let m = &mut self.members[i];
            m.excluded |= !self.removal_is_advisory || m.draining;
            m.removed_at = m.removed_at.or(Some(now));
            self.primary_tracker.set_availability(now, i, m.excluded, m.draining);
            self.mark_dirty(self.members[i].group);
        }
        for i in self.removed_for(now, RETENTION) {
            let m = &self.members[i];
            if m.in_flight.is_empty() && !m.probe_in_flight && (m.excluded || m.probe_failures > 0) {
                self.remove_member(
                    now,
                    i,
                    Member::new(now, self.per_front_limit(INITIAL_CONCURRENCY), self.cold.window),
                    host,
                );
            }
        }
        self.run_rules(now, &[], host);
    }

    /// A txn has arrived from a client. `left` is the time until it expires; `session_write` is what the client tells of
    /// its session's last write.
    pub fn txn_arrived(
        &mut self,
        now: Duration,
        txn: usize,
        kind: usize,
        group: usize,
        left: Duration,
        retried: bool,
        tenant: Option<usize>,
        session: Option<u64>,
        session_write: SessionWrite,
        bytes: usize,
        host: &mut impl Host,
    ) {
        self.ensure_indices(group, txn);
        let must_see = match self.types[kind].consistency {
            Consistency::Fresh => Some(now),
            Consistency::Session => match (session_write, session) {
                (SessionWrite::At(position), _) if self.client_marks_trusted => Some(position),
                (SessionWrite::Never, _) if self.client_marks_trusted => None,
                (_, Some(key)) if self.has_write_in_flight(group, key) => Some(now),
                (_, Some(key)) => self.session_marks.must_see(now, key),
                (_, None) => Some(now),
            },
            _ => None,
        };
        let (attempts, expiry) = (SubmissionHistory::new(self.types[kind].effect), now + left);
        let over_quota = tenant.is_some_and(|tenant| self.exceeds_quota(now, tenant, retried));
        let t = Txn::new(kind, group, now, retried || over_quota, expiry, must_see, session, attempts, bytes);
        self.txns[txn] = Some(Txn { over_quota, ..t });
        self.arrivals.add(now, 1.0);
        self.enqueue(txn, host);
        // On arrival every txn may be submitted, whatever the measured latencies: latencies learnt in a bad period are
        // corrected only by further submissions.
        self.wait_queue.set_deadlines(txn, Duration::MAX, Duration::MAX);
        self.rate_unchecked.push(txn);
        self.run_rules(now, &[group], host);
        if self.wait_queue.get(txn).is_some() {
            let (soft_deadline, hard_deadline) = self.deadlines(self.txn(txn));
            self.wait_queue.set_deadlines(txn, soft_deadline, hard_deadline);
            while self.expire_waiting(now, host) {}
            self.set_wait_timer(txn, now + BACKOFF_MIN, host);
        }
    }

    /// Decides at random whether a txn exceeds its tenant's quota, by comparing the tenant's first tries at this front
    /// with an equal part of the quota.
    fn exceeds_quota(&mut self, now: Duration, tenant: usize, retried: bool) -> bool {
        let (span, draw) = (now.min(RATE_WINDOW).as_secs_f64(), self.rng.rand_float());
        let Some((quota, first_tries)) = self.tenant_quotas.get_mut(tenant) else { return false };
        first_tries.add(now, f64::from(!retried));
        draw * first_tries.sum(now) > *quota * span / self.front_info.fronts.max(1) as f64 + PRIOR_ANSWERS
    }

    /// A submission has ended. `over`: the client has its final answer. `role` and `position` are those that came with
    /// the answer.
    pub fn submission_ended(
        &mut self,
        now: Duration,
        txn: usize,
        over: bool,
        member: usize,
        outcome: AttemptOutcome,
        role: Option<Role>,
        position: Option<Duration>,
        took: Duration,
        host: &mut impl Host,
    ) {
        self.detect_stall(now);
        let Some(Some(t)) = self.txns.get_mut(txn) else { return };
        let out = t.attempts.ended(outcome);
        let sent_before_stall = out.as_ref().is_some_and(|out| out.sent_at < self.resumed_at);
        let answered_since =
            out.as_ref().is_some_and(|out| out.sent_at < self.members[member].last_answer_at);
        let was_finished = t.finished;
        t.finished |= over;
        let (kind, group, session, cancel_requested) =
            (t.kind, t.group, t.session, take(&mut t.cancel_requested));
        self.members[member].in_flight.retain(|&other| other != txn);
        if !matches!(outcome, TimedOut | Cancelled | Moot | Unreachable) {
            self.members[member].last_answer_at = now;
        }
        let answered = matches!(outcome, Committed | Errored | Invalid | Full | Misplaced);
        if answered || role.is_some() {
            self.record_report(now, member, role, position, Some(out.map_or(now, |out| out.sent_at)));
        }
        let writes = self.types[kind].consistency == Consistency::Write;
        if outcome == Misplaced && position.is_none() && !writes {
            // It lags by more than was known, but does not report by how much.
            let m = &mut self.members[member];
            (m.lag_observed_at, m.lag) = (now, (m.lag.max(BACKOFF_MIN) * 2).min(BACKOFF_MAX));
        }
        if writes && outcome == Committed {
            self.primary_tracker.committed(member);
        }
        if writes && !outcome.never_ran() {
            // A write that may have run counts as committed now. So does a repeat whose first commit is older than this
            // process, because such a position cannot be expressed here.
            let at = position.filter(|_| outcome == Committed).unwrap_or(now);
            self.session_marks.learn(now, session, at, RETENTION);
        }
        if writes {
            self.session_marks.write_ended(session);
        }
        let lost =
            outcome != Committed && (cancel_requested || self.considered_lost(took, kind)) && answered_since;
        if !sent_before_stall && !lost {
            self.update_health(now, member, kind, outcome, took);
        }
        if !sent_before_stall && !matches!(outcome, Unreachable | Moot | Misplaced | Invalid | Spoilt) {
            let sla = self.types[kind].sla;
            let in_time = outcome == Committed && !was_finished && took <= sla.mul_f64(IN_TIME_SLA_SHARE);
            for counts in [&mut self.outcome_counts[kind], &mut self.groups[group].outcome_counts[kind]] {
                counts.ended.add(now, 1.0);
                counts.in_time.add(now, f64::from(in_time));
            }
        }
        if self.txn(txn).finished {
            self.release_if_done(txn, host);
        } else {
            self.resubmit_or_answer(now, txn, outcome, host);
        }
        self.run_rules(now, &[group], host);
    }

    /// The client of a txn has disconnected or given up: nothing more is submitted for the txn.
    pub fn client_left(&mut self, now: Duration, txn: usize, host: &mut impl Host) {
        let Some(Some(t)) = self.txns.get_mut(txn) else { return };
        t.finished = true;
        let group = t.group;
        if self.wait_queue.remove(txn).is_some() {
            self.release_if_done(txn, host);
        }
        self.run_rules(now, &[group], host);
    }

    /// A probe has ended. `report` counts only if `end` is `Committed`.
    pub fn probe_ended(
        &mut self,
        now: Duration,
        member: usize,
        end: AttemptOutcome,
        report: Report,
        host: &mut impl Host,
    ) {
        let m = &mut self.members[member];
        m.probe_in_flight = false;
        if end == Committed {
            m.probe_failures = 0;
            let slack = self.probe_interval.unwrap_or_default() * PROBES_PER_BOUND;
            m.stale_reports =
                if report.position.is_some_and(|p| p + slack > now) { 0 } else { m.stale_reports + 1 };
            let hint = Some(Role::Primary)
                .filter(|_| m.listed_as_primary && !self.primary_tracker.has_claimed(member));
            self.record_report(now, member, report.role.or(hint), report.position, None);
        } else if !matches!(end, Full | Spoilt) {
            let many_fronts = self.front_info.fronts as f64 > ON_DEMAND_PROBE_FRONTS && m.probe_failures > 0;
            m.process_down |=
                many_fronts && end == Unreachable && m.last_probe_at.is_some_and(|at| now < at + REPORT_WAIT);
            m.probe_failures += 1;
        }
        self.schedule_probe(now, member, host);
        self.run_rules(now, &[self.members[member].group], host);
    }

    /// A timer set through `Host::set_timer` is due.
    pub fn timer_fired(&mut self, now: Duration, handle: u64, host: &mut impl Host) {
        let index = (handle / 2) as usize;
        if handle == LIST_REQUEST_TIMER {
            host.subscribe_to_member_list();
        } else if handle.is_multiple_of(2) {
            self.run_rules(now, &[self.members[index - 1].group], host);
        } else if let Some(Some(t)) = self.txns.get(index) {
            self.run_rules(now, &[t.group], host);
            self.set_wait_timer(index, now + BACKOFF_MIN, host);
        }
    }

    /// Detects from an overdue timer that this process was stalled. Members were then not silent: this process did not
    /// read their answers.
    fn detect_stall(&mut self, now: Duration) {
        if self.next_timer_at <= now {
            if now - self.next_timer_at > BACKOFF_MIN {
                (self.stalled_from, self.resumed_at) = (self.next_timer_at, now);
            }
            self.next_timer_at = Duration::MAX;
        }
    }

    /// Records the role and the log position that a member reported. `at` is the position, `sent` the time when the
    /// answered txn was sent, or `None` for a probe's report. A role in an answer is dated now, but proves only that it
    /// was stated after the txn was sent; a role in a report is at least as new as its position. What is read right
    /// after a stall may have been waiting since the stall began. A position stated as primary is a proof only from the
    /// recorded primary.
    fn record_report(&mut self, now: Duration, m: usize, role: Option<Role>, at: MaybeTime, sent: MaybeTime) {
        let group = self.members[m].group;
        let read = if now < self.resumed_at + REPORT_WAIT {
            self.stalled_from.max(sent.unwrap_or_default())
        } else {
            now
        };
        let made_at = at.filter(|_| sent.is_none()).unwrap_or(read);
        let claim = role.map(|role| Claim { role, made_at, not_before: sent.unwrap_or(made_at) });
        self.primary_tracker.observe(now, m, claim, sent.is_some());
        // Once a member reports that it is not primary, the positions that it stated as primary prove nothing: it may
        // not have known of its successor. This covers primaries that are partitioned off together with clients.
        let (is_primary, is_recorded) =
            (role == Some(Role::Primary), self.primary_tracker.primary(group) == Some(m));
        let state = &mut self.members[m];
        state.mark_alive(now, self.cold.warm_up);
        // A report has some age of its own, so it can only show that the lag is shorter.
        if let Some(lag) = at.map(|at| read.saturating_sub(at)).filter(|&l| sent.is_some() || l < state.lag) {
            (state.lag_observed_at, state.lag) = (read, lag);
        }
        if role.is_some() && std::mem::replace(&mut state.reports_primary, is_primary) && !is_primary {
            state.position = at;
        } else if !is_primary || is_recorded {
            state.position = state.position.max(at);
        }
        // An answer is too weak a proof to replace a recorded primary, so the member is probed.
        if role == Some(Role::Primary) && sent.is_some() && self.primary_tracker.primary(group) != Some(m) {
            let earliest = self.members[m].last_probe_at.unwrap_or_default()
                + self.probe_interval.unwrap_or_default() / 2;
            self.members[m].next_probe_at = self.members[m].next_probe_at.min(now.max(earliest));
        }
    }

    /// Updates what is measured of a member from the end of a submission: latencies, concurrency limit and back-off.
    fn update_health(
        &mut self,
        now: Duration,
        member: usize,
        kind: usize,
        outcome: AttemptOutcome,
        took: Duration,
    ) {
        let (sla, work, secs) =
            (self.types[kind].sla.as_secs_f64(), self.base_latency[kind], took.as_secs_f64());
        let mean_latency = &mut self.mean_latency[kind];
        if outcome == Committed || !outcome.never_ran() && secs > *mean_latency {
            *mean_latency += 0.02 * (secs - *mean_latency);
        }
        let mean_latency = Duration::from_secs_f64(*mean_latency);
        let (min_limit, m) = (self.per_front_limit(MIN_CONCURRENCY), &mut self.members[member]);
        // A fast error must not look like low load: it counts as an answer at the SLA time.
        let errored = matches!(outcome, Errored | Dropped);
        let counted = if errored { secs.max(sla) } else { secs };
        if errored || matches!(outcome, Committed | TimedOut | Cancelled) {
            m.slowness += 0.2 * (counted / work - m.slowness);
            if m.slowness * work > LIMIT_CUT_SLA_SHARE * sla {
                if now > m.limit_cut_at + mean_latency {
                    (m.concurrency_limit, m.limit_cut_at) = ((m.concurrency_limit * 0.9).max(min_limit), now);
                }
            } else if outcome == Committed {
                m.concurrency_limit += 1.0 / m.concurrency_limit;
            }
        }
        match outcome {
            Committed => {
                (m.consecutive_failures, m.consecutive_fulls, m.probe_failures) = (0, 0, 0);
                m.avoid_until = Duration::ZERO;
                m.work_done.add(now, work);
                m.newest_answered_sent_at = m.newest_answered_sent_at.max(now.saturating_sub(took));
                let base_latency = &mut self.base_latency[kind];
                // Falls fast and rises slowly, to follow the latency without queueing.
                *base_latency += if secs < *base_latency { 0.05 } else { 0.01 } * (secs - *base_latency);
            }
            // A member that refuses at once looks idle, so it is avoided for longer each time, even as primary.
            Full => {
                m.concurrency_limit = (m.concurrency_limit * 0.7).max(min_limit);
                m.consecutive_fulls = (m.consecutive_fulls + 1).min(8);
                m.avoid_until =
                    m.avoid_until.max(now + BACKOFF_MIN / 8 * 2u32.pow(m.consecutive_fulls.min(4)));
            }
            // Single connections break now and then: the member is probed, and avoided only after a second failure.
            Dropped if m.consecutive_failures == 0 => {
                (m.consecutive_failures, m.probe_failures, m.next_probe_at) = (1, 1, now);
                self.primary_tracker.mark_doubted(now, member);
                return;
            }
            Unreachable | Dropped => {
                let avoid_until = now + backoff(m.consecutive_failures);
                (m.avoid_until, m.probe_failures, m.next_probe_at) =
                    (avoid_until, m.probe_failures.max(1), now);
                m.consecutive_failures += 1;
            }
            // A timeout depends on the client's deadline, and an error already counts as a late answer: neither starts
            // a back-off.
            _ => {}
        }
        // After a failed submission to the recorded primary there is none until a member claims the role later than
        // now.
        let not_primary = outcome == Misplaced && self.types[kind].consistency == Consistency::Write;
        if not_primary || matches!(outcome, Unreachable | Dropped) {
            self.suspect_primary(now, member);
        }
    }

    /// This front's part of a concurrency limit.
    fn per_front_limit(&self, limit: f64) -> f64 {
        (limit * (FULL_LIMIT_FRONTS / self.front_info.fronts.max(1) as f64).min(1.0)).max(1.0)
    }

    /// Clears the recorded primary if it is this member, and probes the whole group.
    fn suspect_primary(&mut self, now: Duration, member: usize) {
        let group = self.members[member].group;
        if self.primary_tracker.primary(group) == Some(member) {
            self.primary_tracker.invalidate_claims(now, member);
            for &m in &self.groups[group].members {
                self.members[m].next_probe_at = self.members[m].next_probe_at.min(now);
            }
        }
    }

    /// Queues a txn again after a submission without a final answer, or answers it if no further attempt is allowed.
    fn resubmit_or_answer(
        &mut self,
        now: Duration,
        txn: usize,
        outcome: AttemptOutcome,
        host: &mut impl Host,
    ) {
        let barred = self.txn(txn).attempts.blocked_everywhere(now, self.max_submissions).is_some();
        let over_budget = self.resubmissions.sum(now) >= 1.0 + RESUBMISSION_SHARE * self.arrivals.sum(now);
        if barred || over_budget && !outcome.never_ran() || now >= self.give_up_at(self.txn(txn)) {
            self.send_final_answer(now, txn, host);
        } else {
            if !outcome.never_ran() {
                self.resubmissions.add(now, 1.0);
            }
            self.enqueue(txn, host);
            self.set_wait_timer(txn, now + BACKOFF_MIN, host);
        }
    }

    /// The soft deadline, by which an answer must be there to be worth anything, and the hard one, at which the txn is
    /// given up however fast members are. The hard one is early for a txn that cannot have run yet; for one that may
    /// have run it is the end of the window in which stores recognise its mark.
    fn deadlines(&self, t: &Txn) -> (Duration, Duration) {
        let kind = self.types[t.kind];
        let soft_deadline = if kind.late_value > 0.0 { t.expiry } else { t.expiry.min(t.arrived + kind.sla) };
        let share = if t.attempts.none_may_have_run() { self.unexecuted_wait_share } else { 1.0 };
        let hard_deadline = t.arrived + (t.expiry - t.arrived).mul_f64(share);
        (soft_deadline, hard_deadline.min(t.attempts.window_end().unwrap_or(hard_deadline)))
    }

    /// When a waiting txn is given up: at the hard deadline, or one mean latency before the soft one.
    pub(crate) fn give_up_at(&self, t: &Txn) -> Duration {
        let ((soft_deadline, hard_deadline), work) =
            (self.deadlines(t), Duration::from_secs_f64(self.mean_latency[t.kind]));
        soft_deadline.saturating_sub(work).min(hard_deadline).max(t.arrived)
    }

    /// Puts a txn into the wait queue. If a limit is reached, the txn worth least is answered instead, of its own group
    /// or, if the limit over all groups is reached, of the fullest group.
    fn enqueue(&mut self, txn: usize, host: &mut impl Host) {
        let t = self.txn(txn);
        let ((soft_deadline, hard_deadline), submitted) = (self.deadlines(t), t.attempts.submissions() > 0);
        let Txn { kind, group, retried, arrived, bytes, .. } = *t;
        let wait =
            WaitingTxn { txn, group, kind, retried, submitted, arrived, soft_deadline, hard_deadline, bytes };
        while let Err(full) = self.wait_queue.insert(wait) {
            let fullest = self.wait_queue.fullest().filter(|_| full == QueueFull::Total).unwrap_or(group);
            let ranks = self.waiting_ranks(fullest);
            let oldest = |rank: QueueKey| self.wait_queue.oldest(rank, fullest);
            let victim =
                ranks.last().and_then(|&(k, retried)| ranks_of(k, retried).into_iter().find_map(oldest));
            let victim = victim.filter(|&l| {
                fullest != group || self.value_density(self.txn(l).kind) <= self.value_density(kind)
            });
            self.wait_queue.remove(victim.unwrap_or(txn));
            self.send_final_answer(arrived, victim.unwrap_or(txn), host);
            if victim.is_none() {
                return;
            }
        }
    }

    /// Value of a txn type per unit of work.
    fn value_density(&self, kind: usize) -> f64 {
        self.types[kind].value / self.base_latency[kind]
    }

    /// Txn types with waiting txns in a group, with first tries and client retries separate, highest value density
    /// first.
    fn waiting_ranks(&self, group: usize) -> Vec<(usize, bool)> {
        if self.wait_queue.is_empty(group) {
            return Vec::new();
        }
        let all = (0..self.types.len()).flat_map(|kind| [(kind, false), (kind, true)]);
        let waits = |rank: QueueKey| self.wait_queue.newest(rank, group).is_some();
        let mut ranks: Vec<_> =
            all.filter(|&(k, retried)| ranks_of(k, retried).into_iter().any(waits)).collect();
        ranks.sort_by(|a, b| self.value_density(b.0).total_cmp(&self.value_density(a.0)).then(a.1.cmp(&b.1)));
        ranks
    }

    /// Sends the final answer that is true now: declined if a retry is harmless, otherwise that the outcome is unknown.
    /// A declined txn that needs a primary is told to retry when, judging by recent changes, there should be one again.
    fn send_final_answer(&mut self, now: Duration, txn: usize, host: &mut impl Host) {
        let Txn { kind, group, attempts, .. } = *self.txn(txn);
        match attempts.final_answer() {
            FinalAnswer::Decline => {
                let needs_primary =
                    matches!(self.types[kind].consistency, Consistency::Write | Consistency::Fresh);
                let expected_wait = self.primary_tracker.expected_wait(now, group).filter(|_| needs_primary);
                let expected_wait =
                    expected_wait.map(|wait| wait.mul_f64(1.0 + HALF * self.rng.rand_float()));
                let wait = expected_wait.unwrap_or(self.types[kind].sla / 2);
                host.decline(txn, self.max_retry_after.map(|max| max.min(wait)));
            }
            FinalAnswer::Unknown | FinalAnswer::Committed => host.answer_unknown(txn),
        }
        self.txn_mut(txn).finished = true;
        self.release_if_done(txn, host);
    }

    /// Schedules the next periodic probe of a member.
    fn schedule_probe(&mut self, now: Duration, member: usize, host: &mut impl Host) {
        let Some(interval) = self.probe_interval else { return };
        let rate = self.arrivals.sum(now) / now.min(RATE_WINDOW).as_secs_f64().max(1e-3);
        self.member_txn_interval = Duration::from_secs_f64(self.known_member_count() / rate.max(1.0));
        let min_interval = self.member_txn_interval.div_f64(PERIODIC_PROBES_PER_TXN);
        let group = self.members[member].group;
        let rarely = self.members_check_reads || self.primary_tracker.primary(group) == Some(member);
        let pause = match self.members[member].probe_failures {
            0 if self.primary_tracker.writer(group).is_none() && !self.wait_queue.is_empty(group) => {
                interval / 2
            }
            0 if rarely => min_interval.max(interval) * PRIMARY_PROBE_INTERVAL_FACTOR,
            0 => min_interval.max(interval),
            n => interval * 2u32.pow(n.min(5)),
        };
        self.members[member].next_probe_at = now + pause;
        self.next_timer_at = self.next_timer_at.min(now + pause);
        host.set_timer(now + pause, member as u64 * 2 + 2);
    }

    /// Runs the rules for the given groups, and for all others marked dirty, until no rule fires.
    pub(crate) fn run_rules(&mut self, now: Duration, groups: &[usize], host: &mut impl Host) {
        groups.iter().for_each(|&group| self.mark_dirty(group));
        self.detect_stall(now);
        while let Some(group) = self.dirty.pop() {
            self.groups[group].dirty = false;
            while self.handle_silent_members(now, group, host)
                || self.update_primary(now, group, host)
                || self.limit_rate(now, host)
                || self.probe_on_demand(now, group, host)
                || self.send_due_probe(now, group, host)
                || self.expire_waiting(now, host)
                || self.submit_waiting(now, group, host)
            {}
        }
    }

    /// Backs off from a member that has not answered for several latencies, and cancels what can be resubmitted: the
    /// repeatable txns in flight there, those that later answers have overtaken for as long, and referenced writes at a
    /// former primary, whose marks its successor recognises. This covers hung members and lost answers; a member that
    /// answers in bursts is backed off needlessly.
    fn handle_silent_members(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let (mut fired, mut to_cancel) = (false, Vec::new());
        let (term, no_primary) =
            (self.primary_tracker.term(group), self.primary_tracker.writer(group).is_none());
        let has_budget = HALF * RESUBMISSION_SHARE * self.arrivals.sum(now) > self.resubmissions.sum(now);
        for i in 0..self.groups[group].members.len() {
            let member = self.groups[group].members[i];
            let m = &self.members[member];
            let oldest_sent =
                m.in_flight.iter().filter_map(|&t| self.txn(t).attempts.in_flight()).map(|o| o.sent_at).min();
            let Some(oldest_sent) = oldest_sent else { continue };
            let mean_latency = |&t: &usize| self.mean_latency[self.txn(t).kind];
            let slowest =
                m.in_flight.iter().map(mean_latency).fold(0.0, f64::max) / m.in_flight.len().min(2) as f64;
            let last_sign = oldest_sent.max(m.last_answer_at).max(m.silence_noted_at).max(self.resumed_at);
            let silent = now.saturating_sub(last_sign).as_secs_f64() > SILENCE_LATENCIES * slowest;
            if silent {
                fired = true;
                let (min_limit, m) = (self.per_front_limit(MIN_CONCURRENCY), &mut self.members[member]);
                (m.silence_noted_at, m.consecutive_failures, m.concurrency_limit) =
                    (now, m.consecutive_failures + 1, min_limit);
                let avoid_until = now + backoff(m.consecutive_failures);
                (m.avoid_until, m.probe_failures, m.next_probe_at) =
                    (avoid_until, m.probe_failures.max(1), now);
                self.suspect_primary(now, member);
            }
            to_cancel.extend(self.members[member].in_flight.iter().copied().filter(|&txn| {
                let t = self.txn(txn);
                let sent = t.attempts.in_flight().map_or(now, |out| out.sent_at.max(self.resumed_at));
                let superseded =
                    !no_primary && t.attempts.in_flight().is_some_and(|out| out.target.term < term);
                let overtaken = has_budget
                    && sent < self.members[member].newest_answered_sent_at
                    && now < self.give_up_at(t);
                let age = (now - sent).as_secs_f64() / self.mean_latency[t.kind];
                let can_resubmit = match self.types[t.kind].effect {
                    Effect::Repeatable => silent || overtaken && age > SILENCE_LATENCIES,
                    Effect::Referenced { .. } => {
                        let mark_known =
                            t.attempts.resendable_until().is_some_and(|last| now < last.min(t.expiry));
                        (overtaken && age > LOST_LATENCIES || superseded) && mark_known
                    }
                    Effect::OnceOnly => false,
                };
                self.may_cancel && can_resubmit && !t.finished && !t.cancel_requested
            }));
        }
        for &txn in &to_cancel {
            self.txn_mut(txn).cancel_requested = true;
            host.cancel(txn, self.txn(txn).attempts.submissions() - 1);
        }
        fired || !to_cancel.is_empty()
    }

    /// Updates the record of the group's primary and notifies the host of changes. A new primary starts with a low
    /// concurrency limit.
    fn update_primary(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let (before, next_check_before) =
            (self.primary_tracker.primary(group), self.primary_tracker.plan_deadline(group));
        let is_write = |&&t: &&usize| self.types[self.txn(t).kind].consistency == Consistency::Write;
        let writes_in_flight =
            |plan: &Plan| self.members[plan.leaving].in_flight.iter().filter(is_write).count();
        let writes = self.primary_tracker.plan(group).map_or(0, writes_in_flight);
        self.primary_tracker.apply_rules(now, group, writes);
        let (changes, next_check) =
            (self.primary_tracker.take_changes(), self.primary_tracker.plan_deadline(group));
        changes.iter().for_each(|change| host.primary_changed(change));
        if let Some(at) = next_check.filter(|_| next_check != next_check_before || !changes.is_empty()) {
            host.set_timer(at, self.groups[group].members[0] as u64 * 2 + 2);
        }
        let writer = self.primary_tracker.primary(group);
        if let Some(w) = writer.filter(|_| writer != before) {
            let (initial, m) = (self.per_front_limit(INITIAL_CONCURRENCY), &mut self.members[w]);
            (m.concurrency_limit, m.avoid_until) = (m.concurrency_limit.min(initial), Duration::ZERO);
        }
        writer != before
    }

    /// Exception: probes members before their scheduled time for what a waiting txn needs, a role or a proof of a
    /// reader's position, and less and less often where reports prove nothing. This serves fronts with few txns; reads
    /// with tight bounds are delayed by the probe.
    fn probe_on_demand(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let (Some(interval), g) = (self.probe_interval, &self.groups[group]) else { return false };
        let no_primary = self.primary_tracker.writer(group).is_none();
        let unproven = |&(kind, _): &(usize, bool)| {
            let bounded =
                matches!(self.types[kind].consistency, Consistency::Bounded(_)) && !self.members_check_reads;
            bounded
                && !g
                    .members
                    .iter()
                    .any(|&m| self.is_available_reader(now, m) && self.is_proven_current(now, kind, None, m))
        };
        let waiting = self.waiting_ranks(group);
        let fleet_interval = interval.mul_f64(self.front_info.fronts as f64 / ON_DEMAND_PROBE_FRONTS);
        let min_gap = (interval / 2)
            .max(fleet_interval.min(self.member_txn_interval.div_f64(ON_DEMAND_PROBES_PER_TXN)));
        let needed = no_primary && !waiting.is_empty()
            || waiting.iter().any(unproven) && !self.awaits_report(now, group);
        let wanted = |&i: &usize| {
            let m = &self.members[i];
            let earliest =
                m.last_probe_at.map_or(now, |at| now.max(at + min_gap * 2u32.pow(m.stale_reports.min(5))));
            let early = !m.excluded && !m.probe_in_flight && m.next_probe_at > earliest;
            // Without a primary, nothing else triggers a look at the waiting txns, so the later probe is scheduled as
            // well.
            let probe =
                needed && early && (no_primary || earliest == now && self.is_available_reader(now, i));
            probe.then_some((i, earliest))
        };
        let to_probe: Vec<_> = g.members.iter().filter_map(wanted).collect();
        for &(m, at) in &to_probe {
            self.members[m].next_probe_at = at;
            if at > now {
                host.set_timer(at, m as u64 * 2 + 2);
            }
        }
        to_probe.iter().any(|&(_, at)| at == now)
    }

    /// Whether reads may go to a member as a replica now: it is in use, not backed off and not the recorded primary.
    fn is_available_reader(&self, now: Duration, member: usize) -> bool {
        let m = &self.members[member];
        self.primary_tracker.primary(m.group) != Some(member) && m.avoid_until <= now && !m.excluded
    }

    /// Whether a report of a member of the group is expected within `REPORT_WAIT`.
    fn awaits_report(&self, now: Duration, group: usize) -> bool {
        let recent = |at| now < at + REPORT_WAIT;
        let awaited =
            |&i: &usize| self.members[i].probe_in_flight && self.members[i].last_probe_at.is_some_and(recent);
        self.groups[group].members.iter().any(awaited)
    }

    /// Sends one probe that is due in the group.
    fn send_due_probe(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let due = self.groups[group].members.iter().copied().find(|&i| {
            let m = &self.members[i];
            self.probe_interval.is_some() && m.next_probe_at <= now && !m.probe_in_flight && !m.excluded
        });
        if let Some(i) = due {
            (self.members[i].probe_in_flight, self.members[i].last_probe_at) = (true, Some(now));
            host.probe(i);
            self.next_timer_at = self.next_timer_at.min(now + REPORT_WAIT);
            host.set_timer(now + REPORT_WAIT, i as u64 * 2 + 2);
        }
        due.is_some()
    }

    /// The rate limiter: declines a new txn at random before its first submission while too few txns of its type and
    /// its group are answered in time. This covers overload and retry storms; it declines too much where members have
    /// gone for good.
    fn limit_rate(&mut self, now: Duration, host: &mut impl Host) -> bool {
        let Some(txn) = self.rate_unchecked.pop() else { return false };
        let Some(WaitingTxn { kind, group, .. }) = self.wait_queue.get(txn).copied() else { return true };
        let highest_density =
            (0..self.types.len()).map(|kind| self.value_density(kind)).fold(f64::MIN, f64::max);
        let answers_per_member = self.outcome_counts.iter_mut().map(|t| t.in_time.sum(now)).sum::<f64>()
            / self.known_member_count();
        let factor = (BASE_ADMISSION_FACTOR + HALF * self.value_density(kind) / highest_density).max(1.0)
            * (1.0 + (answers_per_member / ANSWERS_PER_MEMBER_TO_DOUBLE).powi(2));
        let over_quota = self.txn(txn).over_quota;
        let (mut in_time_share, mut admitted_share) = (1.0, 1.0);
        for counts in [&mut self.outcome_counts[kind], &mut self.groups[group].outcome_counts[kind]] {
            let (ended, in_time) = (counts.ended.sum(now) + PRIOR_ANSWERS, counts.in_time.sum(now));
            in_time_share = (in_time + PRIOR_ANSWERS * in_time_share) / ended;
            let declined_weight = (DECLINED_WEIGHT_PER_LATE_SHARE * (1.0 - in_time_share)).min(1.0);
            let declined = counts.declined.sum(now).min(MAX_DECLINED_PER_ENDED * ended);
            admitted_share =
                (in_time + PRIOR_ANSWERS * admitted_share) / (ended + declined_weight * declined);
        }
        let draw = self.rng.rand_float();
        // Txns over their tenant's quota are declined first, in proportion to how much less they are worth.
        let decline = if over_quota {
            (1.0 - draw) * self.over_quota_value < 1.0 - admitted_share
        } else {
            draw >= factor * admitted_share
        };
        if decline {
            self.outcome_counts[kind].declined.add(now, f64::from(!over_quota));
            self.groups[group].outcome_counts[kind].declined.add(now, f64::from(!over_quota));
            self.wait_queue.remove(txn);
            self.send_final_answer(now, txn, host);
        }
        true
    }

    /// Answers one waiting txn, of any group, that can no longer be completed in time.
    fn expire_waiting(&mut self, now: Duration, host: &mut impl Host) -> bool {
        let latency = |kind: usize| Duration::from_secs_f64(self.mean_latency[kind]);
        let Some(txn) = self.wait_queue.next_expired(now, latency) else { return false };
        self.wait_queue.remove(txn);
        self.send_final_answer(now, txn, host);
        true
    }

    /// Submits the waiting txns of a group for which there is a member: by highest value density, then first tries
    /// before client retries, then the newest first, because older ones are more likely to be late. If no member fits a
    /// txn, the rest of its queue is skipped, unless its txns need different data (session reads).
    fn submit_waiting(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let has_capacity = |&m: &usize| self.has_capacity(now, m, 1.0);
        if self.wait_queue.is_empty(group) || !self.groups[group].members.iter().any(has_capacity) {
            return false;
        }
        let mut submitted = false;
        for (kind, retried) in self.waiting_ranks(group) {
            let interchangeable = self.types[kind].consistency != Consistency::Session;
            let mut next = ranks_of(kind, retried).map(|rank| self.wait_queue.newest(rank, group));
            while let Some(txn) = next.iter().flatten().copied().max_by_key(|&t| (self.txn(t).arrived, t)) {
                let queue = usize::from(next[0] != Some(txn));
                next[queue] = self.wait_queue.older(txn);
                let sent = self.choose_member(now, txn).map(|member| self.submit(now, txn, member, host));
                submitted |= sent == Some(true);
                if interchangeable && (sent.is_none() || sent == Some(false) && queue == 0) {
                    next[queue] = None;
                }
            }
        }
        submitted
    }

    /// Chooses the member for a txn: the primary for writes and fresh reads, otherwise the cheaper of two random
    /// readers whose data is recent enough.
    fn choose_member(&mut self, now: Duration, txn: usize) -> Option<usize> {
        let Txn { group, kind, .. } = *self.txn(txn);
        let usable = |w: &usize| self.has_capacity(now, *w, 1.0) && self.members[*w].avoid_until <= now;
        let writer = self.primary_tracker.primary(group).filter(usable);
        match self.types[kind].consistency {
            Consistency::Write | Consistency::Fresh if self.searches_by_trial(group, kind) => {
                return self.choose_trial_member(now, txn);
            }
            Consistency::Write | Consistency::Fresh => {
                return writer.filter(|_| self.primary_tracker.writer(group) == writer);
            }
            _ => {}
        }
        // A client retry that is worth nothing once late leaves half of the capacity to first tries that are still to
        // come.
        let share = if self.txn(txn).retried && self.types[kind].late_value == 0.0 { HALF } else { 1.0 };
        let (mut candidates, mut any_current, mut least_behind) = (Vec::new(), false, None);
        for i in 0..self.groups[group].members.len() {
            let m = self.groups[group].members[i];
            let allowed = self.is_available_reader(now, m) && self.may_submit(now, txn, m);
            let has_capacity = self.has_capacity(now, m, share);
            if allowed
                && (!self.members_check_reads
                    || self.is_estimated_current(now, kind, self.txn(txn).must_see, m))
            {
                any_current = true;
                candidates.extend(has_capacity.then_some(m));
            } else if allowed && has_capacity {
                least_behind = least_behind.max(Some((self.members[m].position, m)));
            }
        }
        // Exception: reads may spill into half of the primary's capacity, except on a primary that was just promoted
        // and still has writes waiting.
        let is_write = |&(kind, _): &(usize, bool)| self.types[kind].consistency == Consistency::Write;
        let writes_first = self.primary_tracker.phase(group) == Phase::Settling
            && self.waiting_ranks(group).iter().any(is_write);
        let may_spill = |&w: &usize| {
            !writes_first
                && (!any_current || self.primary_keeps_up(now, group))
                && self.has_capacity(now, w, HALF)
        };
        let spill = writer.filter(may_spill);
        let bounded = matches!(self.types[kind].consistency, Consistency::Bounded(_));
        let reader = match candidates.len() {
            0 if any_current => None,
            0 if bounded && !self.members_check_reads && self.awaits_report(now, group) => return None,
            // Only once: a member that refused the read is as far behind a moment later.
            0 if self.txn(txn).attempts.submissions() == 0 => least_behind.map(|(_, m)| m),
            0 => None,
            n => {
                let a = self.rng.rand_range(0..n as u64) as usize;
                let b = (a + 1 + self.rng.rand_range(0..n.max(2) as u64 - 1) as usize) % n;
                let (a, b) = (candidates[a], candidates[b]);
                Some(if self.cost(now, b) < self.cost(now, a) { b } else { a })
            }
        };
        match (reader, spill) {
            (Some(r), Some(w)) if SPILL_COST_FACTOR * self.cost(now, w) < self.cost(now, r) => Some(w),
            (r, w) => r.or(w),
        }
    }

    /// Exception: where probes are not allowed, a write searches for the primary itself while none is known, and so
    /// does a fresh read if members check reads: a member that is not primary refuses it without effect. This serves
    /// fronts that know no primary, at the cost of the refused submissions.
    fn searches_by_trial(&self, group: usize, kind: usize) -> bool {
        let refused_elsewhere =
            self.types[kind].consistency == Consistency::Write || self.members_check_reads;
        refused_elsewhere && self.probe_interval.is_none() && self.primary_tracker.primary(group).is_none()
    }

    /// The member to try in such a search: one that has not failed, preferably the listed primary, then the one that
    /// reported longest ago, or never, that it is a replica.
    fn choose_trial_member(&mut self, now: Duration, txn: usize) -> Option<usize> {
        let mut best = None;
        for m in self.groups[self.txn(txn).group].members.clone() {
            let denied = self.primary_tracker.replica_reported_at(m);
            let eligible =
                denied.is_none_or(|at| at + BACKOFF_MIN <= now) && self.members[m].avoid_until <= now;
            if eligible && self.has_capacity(now, m, 1.0) && self.may_submit(now, txn, m) {
                let (healthy, listed) =
                    (self.members[m].consecutive_failures == 0, self.members[m].listed_as_primary);
                best = best.max(Some((healthy, listed, Reverse(denied), self.rng.rand_u64(), m)));
            }
        }
        best.map(|(.., m)| m)
    }

    /// Whether the txns that only the primary accepts are answered in time.
    fn primary_keeps_up(&mut self, now: Duration, group: usize) -> bool {
        let (mut in_time, mut ended) = (PRIOR_ANSWERS, PRIOR_ANSWERS);
        for (kind, counts) in self.groups[group].outcome_counts.iter_mut().enumerate() {
            if matches!(self.types[kind].consistency, Consistency::Write | Consistency::Fresh) {
                (in_time, ended) = (in_time + counts.in_time.sum(now), ended + counts.ended.sum(now));
            }
        }
        in_time >= SPILL_IN_TIME_SHARE * ended
    }

    /// Submissions in flight at a member that count against its limit. Lost ones do not, since a link may drop some of
    /// them silently.
    fn active_submissions(&self, now: Duration, member: usize) -> usize {
        let active = |&&t: &&usize| {
            self.txn(t)
                .attempts
                .in_flight()
                .is_none_or(|o| !self.considered_lost(now - o.sent_at, self.txn(t).kind))
        };
        self.members[member].in_flight.iter().filter(active).count()
    }

    /// Whether a submission that has been in flight for this long is considered lost.
    fn considered_lost(&self, age: Duration, kind: usize) -> bool {
        age.as_secs_f64() > LOST_LATENCIES * self.mean_latency[kind]
    }

    /// Whether a member has a free place within the given share of its concurrency limit.
    fn has_capacity(&self, now: Duration, member: usize, share: f64) -> bool {
        (self.active_submissions(now, member) as f64) < self.members[member].concurrency_limit.floor() * share
    }

    /// Estimated cost of one more submission to a member. Slowness fades without answers, so that every member is tried
    /// again.
    fn cost(&self, now: Duration, member: usize) -> f64 {
        let m = &self.members[member];
        let age = now.saturating_sub(m.last_answer_at).as_secs_f64();
        let slowness = 1.0
            + (m.slowness - 1.0)
                / (1.0 + age / SLOWNESS_HALF_LIFE.max(2 * self.member_txn_interval).as_secs_f64());
        let distance = if m.zone == self.front_info.zone { 1.0 } else { 1.1 };
        // After a failure a member is to be tried by a probe and not by a txn, as long as there is another member.
        let failed = if m.probe_failures > 0 { FAILED_COST_FACTOR } else { 1.0 };
        (self.active_submissions(now, member) + 1) as f64 * slowness * distance * failed
    }

    /// A member's proven log position. For a former primary only positions since the start of the newest term count.
    fn proven_position(&self, member: usize) -> Option<Duration> {
        self.members[member]
            .position
            .filter(|&position| position >= self.primary_tracker.valid_positions_from(member))
    }

    /// Whether a member's data is proven to be as recent as the txn type, or this txn, needs.
    fn is_proven_current(
        &self,
        now: Duration,
        kind: usize,
        must_see: Option<Duration>,
        member: usize,
    ) -> bool {
        let position = self.proven_position(member);
        match self.types[kind].consistency {
            Consistency::Write => false,
            Consistency::Loose => true,
            Consistency::Bounded(bound) => {
                position.is_some_and(|p| p + bound >= now + Duration::from_millis(1))
            }
            Consistency::Fresh | Consistency::Session => must_see.is_none_or(|need| position >= Some(need)),
        }
    }

    /// Exception: where members check reads, no proof is needed: the last reported lag is assumed to last for twice its
    /// length and to be gone after that. Without a primary the log does not grow. This serves reads when all proofs are
    /// too old, at the cost of reads that are refused.
    fn is_estimated_current(
        &self,
        now: Duration,
        kind: usize,
        must_see: Option<Duration>,
        member: usize,
    ) -> bool {
        let (m, log_is_still) =
            (&self.members[member], self.primary_tracker.writer(self.members[member].group).is_none());
        let lag = if now > m.lag_observed_at + 2 * m.lag { Duration::ZERO } else { m.lag };
        let at = if log_is_still { m.position.unwrap_or(now) } else { now.saturating_sub(lag) };
        match self.types[kind].consistency {
            Consistency::Bounded(bound) => at + bound > now,
            Consistency::Session => must_see.is_none_or(|need| at >= need),
            _ => self.is_proven_current(now, kind, must_see, member),
        }
    }

    /// Whether a txn may be submitted to a member now. All rules on submissions are checked here, and every submission
    /// passes through here.
    fn may_submit(&mut self, now: Duration, txn: usize, member: usize) -> bool {
        let t = self.txn(txn);
        let kind = self.types[t.kind];
        // Rule 2: one submission at a time, no more than allowed, and no second effect.
        let repeat_allowed = t.attempts.blocked_at(now, self.max_submissions, self.target(member)).is_none();
        // Rule 3: nothing new once the list marks the member as draining or removed; the grace period is not used.
        let in_use = self.members[member].group == t.group && !self.members[member].excluded;
        // Rule 5: a proof, or the recorded primary, which is cleared by any answer or report as a replica.
        let current = kind.consistency == Consistency::Write
            || self.primary_tracker.trusted(member)
            || self.members_check_reads
            || self.is_proven_current(now, t.kind, t.must_see, member);
        // Rule 1: nothing for a txn that has its answer, whose client has left, or that has expired.
        let open = !t.finished && now < t.expiry;
        open && repeat_allowed && in_use && current && self.within_cold_budget(now, member, t.kind)
    }

    /// Rule 4: each front sends a cold member a part of the work that it gets done on a warm one; fractions are rounded
    /// at random. A member that refused probes had no process and is treated as cold when it is back, before the list
    /// shows its new start. A member that comes back warm is used too little.
    fn within_cold_budget(&mut self, now: Duration, member: usize, kind: usize) -> bool {
        let (warm_up, cold_time) =
            (self.cold.warm_up, |m: &Member, warm_up| m.remaining_cold_time(now, warm_up));
        let left = cold_time(&self.members[member], warm_up);
        if left.is_zero() {
            return true;
        }
        let warm_members = self.members.iter_mut().filter(|m| cold_time(m, warm_up).is_zero() && !m.excluded);
        let done: Vec<f64> = warm_members.map(|m| m.work_done.sum(now)).collect();
        if !done.is_empty() {
            self.warm_member_work = done.iter().sum::<f64>() / done.len() as f64;
        }
        let cold_share = left.as_secs_f64() / self.cold.warm_up.as_secs_f64().max(1e-9);
        let share = 1.0 - (1.0 - self.cold.share) * cold_share.min(1.0);
        let budget = self.cold.multiple * COLD_BUDGET_SHARE * share * self.warm_member_work;
        let m = &mut self.members[member];
        if m.budget_rounding_until <= now {
            (m.budget_rounding, m.budget_rounding_until) = (self.rng.rand_float(), now + self.cold.window);
        }
        m.work_sent.sum(now) + self.base_latency[kind] * m.budget_rounding <= budget
    }

    /// Submits a txn to a member if the rules allow it; false otherwise.
    fn submit(&mut self, now: Duration, txn: usize, member: usize, host: &mut impl Host) -> bool {
        if !self.may_submit(now, txn, member) {
            return false;
        }
        let (work, target) = (self.base_latency[self.txn(txn).kind], self.target(member));
        if self.is_write(txn) {
            self.session_marks.write_sent(self.txn(txn).session);
        }
        self.txn_mut(txn).attempts.sent(now, target);
        self.wait_queue.remove(txn);
        let m = &mut self.members[member];
        m.in_flight.push(txn);
        m.work_sent.add(now, work);
        host.send(txn, member, self.valid_until(txn, WriteProgress::NotBegun));
        true
    }

    /// Until when the submission in flight may be written, or may still arrive once it has been written, by rules 1, 2, 3
    /// and 5. A write whose primary is no longer the recorded one, or is handing over, is not completed: it waits for the
    /// next primary. Once all of it has been handed over, only the member can tell whether it is still primary. A drain
    /// binds only what has not begun, as the time of a send counts from its first byte for it (`PROTOCOL.md`).
    pub fn valid_until(&self, txn: usize, progress: WriteProgress) -> Duration {
        let Some(Some(t)) = self.txns.get(txn) else { return Duration::ZERO };
        let Some(out) = t.attempts.in_flight().filter(|_| !t.finished) else { return Duration::ZERO };
        let (member, m) = (out.target.member, &self.members[out.target.member]);
        let last = t.attempts.window_end().map_or(t.expiry, |ends| ends.min(t.expiry));
        let proof_not_needed = self.members_check_reads || self.primary_tracker.trusted(member);
        let was_primary =
            self.primary_tracker.held_term(member) > 0 && !self.searches_by_trial(m.group, t.kind);
        let has_begun = progress != WriteProgress::NotBegun;
        let is_handed_over = matches!(progress, WriteProgress::HandedOver | WriteProgress::Settled);
        match self.types[t.kind].consistency {
            _ if m.excluded && !has_begun => Duration::ZERO,
            _ if !proof_not_needed
                && t.must_see.is_some_and(|need| self.proven_position(member) < Some(need)) =>
            {
                Duration::ZERO
            }
            Consistency::Write
                if was_primary && !is_handed_over && self.primary_tracker.writer(m.group) != Some(member) =>
            {
                Duration::ZERO
            }
            Consistency::Bounded(b) if !proof_not_needed => {
                self.proven_position(member).map_or(Duration::ZERO, |p| last.min(p + b))
            }
            _ => last,
        }
    }
}

/// Back-off after this many consecutive failures.
fn backoff(failures: u32) -> Duration {
    (BACKOFF_MIN * 2u32.pow(failures.min(8))).min(BACKOFF_MAX)
}
