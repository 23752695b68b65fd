//! All decisions of the router. The host ([`crate::host`]) calls one method per input; each notes the facts, then
//! the rules in `settle` run until none fires. Sends leave through `submit` alone, and only if `gate` lets them pass.
use crate::host::AttemptOutcome::*;
use crate::host::{
    AttemptOutcome, ColdStart, Consistency, Effect, FrontInfo, Host, ListedState, Phase, Plan, Report, Role,
    TxnType,
};
use crate::sliding_sum::SlidingSum;
pub use crate::state::Router;
use crate::state::{Member, OutcomeCounts, Txn, ranks_of};
use juniperdock_attempt_outcome::{FinalAnswer, SubmissionHistory};
use juniperdock_primary_tracker::Claim;
use juniperdock_wait_queue::{QueueFull, QueueKey, WaitingTxn};
use oorandom::Rand64;
use std::{cmp::Reverse, mem::take, time::Duration};

/// Probes of a member within the tightest bound: measured from the design's start value of 4 downwards.
const PROBES_PER_BOUND: u32 = 2;
/// Polls stay under this share of a front's first submissions; what it needs to know beyond that it asks for.
const PERIODIC_PROBES_PER_TXN: f64 = 0.5;
/// Asked out of turn is so many times as often as txns come; more often where fronts are fewer than this.
const ON_DEMAND_PROBES_PER_TXN: f64 = 4.0;
const ON_DEMAND_PROBE_FRONTS: f64 = 32.0;
/// The writer, or whoever checks reads, is polled so many times less often: answers tell as much.
const PRIMARY_PROBE_INTERVAL_FACTOR: u32 = 4;
/// A read waits so long for a report that may prove a reader.
const REPORT_WAIT: Duration = Duration::from_millis(40);
/// A member that fails is left alone this long at first, then twice as long each time, up to the longest.
const BACKOFF_MIN: Duration = Duration::from_millis(250);
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Further submissions stay under this share of the first ones, counted over `RESEND_SPAN`.
const RESUBMISSION_SHARE: f64 = 0.1;
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Submissions a member may hold from this front at first, and at least; parted beyond so many fronts.
const INITIAL_CONCURRENCY: f64 = 4.0;
const MIN_CONCURRENCY: f64 = 2.0;
const FULL_LIMIT_FRONTS: f64 = 5.0;
/// A member whose answers take more than this share of the SLA time gets less room.
const LIMIT_CUT_SLA_SHARE: f64 = 0.25;
/// Share of a member's room for what must leave the rest free: reads at the writer, tries late already.
const HALF: f64 = 0.5;
/// A member is silent that has held work for so many mean answer times, or half as long with two in hand.
const SILENCE_LATENCIES: f64 = 5.0;
/// A submission out for this many mean answer times, while its member answers others, is lost.
const LOST_LATENCIES: f64 = 8.0;
/// So many answers a member within `RESEND_SPAN` double what the throttle lets through.
const ANSWERS_PER_MEMBER_TO_DOUBLE: f64 = 2.5;
/// What the throttle takes as in time, as a share of the SLA time: queues are to end before it.
const IN_TIME_SLA_SHARE: f64 = 0.7;
/// How many times what was in time is let through of the least valuable type; the most valuable has one more.
const BASE_ADMISSION_FACTOR: f64 = 0.8;
/// Declined txns count in full in the throttle when one in so many answers is late, else less: it opens then.
const DECLINED_WEIGHT_PER_LATE_SHARE: f64 = 8.0;
/// Declined txns count for no more than so many times those that ended: too few may come back to judge by.
const MAX_DECLINED_PER_ENDED: f64 = 2.0;
/// The throttle counts so many answers beforehand: of a type as in time, of a group as its type.
const PRIOR_ANSWERS: f64 = 2.0;
/// Reads spill to the writer while this share of what only it takes is in time.
const SPILL_IN_TIME_SHARE: f64 = 0.8;
/// Reads spill to the writer where it is cheaper by this factor than the reader drawn.
const SPILL_COST_FACTOR: f64 = 2.0;
/// A member that failed costs so many times more until it has answered a probe or a txn.
const FAILED_COST_FACTOR: f64 = 8.0;
/// Half of a member's slowness is forgotten in this time without answers.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(1);
/// No list is so old that it names a member that has been gone for this long.
const RETENTION: Duration = Duration::from_secs(60);
/// Reminder handles: this one, even ones for members, odd ones for txns.
const LIST_REQUEST_TIMER: u64 = 0;
/// What no member has had is given up after this share of its time: its client can still try elsewhere.
const UNEXECUTED_WAIT_SHARE: f64 = 0.45;
/// Part of a cold member's budget that is used; the rest is for chance, probes and handshakes.
const COLD_BUDGET_SHARE: f64 = 0.5;

type MaybeTime = Option<Duration>;

impl Router {
    pub fn new(seed: u64, front_info: FrontInfo, types: Vec<TxnType>, cold: ColdStart) -> Self {
        let tightest = types.iter().filter_map(|t| match t.consistency {
            Consistency::Bounded(bound) => Some(bound / PROBES_PER_BOUND),
            _ => None,
        });
        let interval = tightest.min().unwrap_or(BACKOFF_MIN);
        let mut router = Router::with_defaults(Rand64::new(seed as u128), front_info, types, cold);
        (router.probe_interval, router.unexecuted_wait_share) = (Some(interval), UNEXECUTED_WAIT_SHARE);
        // Guesses until answers tell: the fastest come first, a start from those would be far too low.
        router.base_latency = router.types.iter().map(|t| t.sla.as_secs_f64() / 4.0).collect();
        router.mean_latency = router.types.iter().map(|t| t.sla.as_secs_f64() / 2.0).collect();
        (router.arrivals, router.resubmissions) =
            (SlidingSum::new(RATE_WINDOW, 10), SlidingSum::new(RATE_WINDOW, 10));
        router.outcome_counts = vec![OutcomeCounts::new(RATE_WINDOW / 2); router.types.len()];
        router.empty_counts = OutcomeCounts::new(RATE_WINDOW);
        router
    }

    /// The list has to be asked for, at the start or again; not at once, lest all ask together.
    pub fn discovery_lost(&mut self, now: Duration, host: &mut impl Host) {
        host.set_timer(now + BACKOFF_MIN.mul_f64(self.rng.rand_float()), LIST_REQUEST_TIMER);
    }

    pub fn member_listed(
        &mut self,
        now: Duration,
        member: usize,
        group: usize,
        zone: usize,
        state: ListedState,
        primary: bool,
        up_for: Option<Duration>,
    ) {
        self.ensure_indices(group, 0);
        while self.members.len() <= member {
            self.members.push(Member::new(now, self.per_front_limit(INITIAL_CONCURRENCY), self.cold.window));
        }
        let m = &mut self.members[member];
        (m.group, m.zone) = (group, zone);
        if !std::mem::replace(&mut m.listed, true) {
            // Not asked by all fronts at once, where many start together.
            m.next_probe_at = now + BACKOFF_MIN.mul_f64(self.rng.rand_float());
            self.groups[group].members.push(member);
            self.primary_tracker.add_member(member, group);
            self.known_members += 1;
        }
        let m = &mut self.members[member];
        let warm_at = up_for.map_or(m.warm_at, |up| (now + self.cold.warm_up).saturating_sub(up));
        // Only a later start ends a drain: a list may be wrong, or an old one may come again.
        m.draining = state == ListedState::Draining || m.draining && warm_at <= m.warm_at;
        m.removed_at = m.removed_at.or(Some(now)).filter(|_| state == ListedState::Removed);
        m.excluded = m.draining || state == ListedState::Removed && !self.removal_is_advisory;
        m.warm_at = warm_at;
        m.listed_as_primary = primary && !m.excluded;
        self.removed_members.extend(m.removed_at.map(|_| member));
        self.primary_tracker.set_availability(now, member, m.excluded, m.draining);
        // A hint only: whoever is named is asked at once, and believed only if its report tells no role.
        m.next_probe_at = if m.listed_as_primary { now } else { m.next_probe_at };
        self.mark_dirty(group);
    }

    /// All entries are in; of a full list, members that it does not name are gone. A gone one is forgotten
    /// once no old list will name it again, nothing is out to it, and it is of no use.
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

    /// A client's txn; `wrote_ago` is the age of its session's last write where the client tells it.
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
        wrote_ago: Option<Duration>,
        bytes: usize,
        host: &mut impl Host,
    ) {
        self.ensure_indices(group, txn);
        let must_see = match self.types[kind].consistency {
            Consistency::Fresh => Some(now),
            Consistency::Session => match (wrote_ago.filter(|_| self.client_marks_trusted), session) {
                (Some(ago), _) => Some(now.saturating_sub(ago)).filter(|_| !ago.is_zero()),
                (None, Some(key)) if self.has_write_in_flight(group, key) => Some(now),
                (None, Some(key)) => self.session_marks.must_see(key),
                (None, None) => Some(now),
            },
            _ => None,
        };
        let (attempts, expiry) = (SubmissionHistory::new(self.types[kind].effect), now + left);
        let over_quota = tenant.is_some_and(|tenant| self.exceeds_quota(now, tenant, retried));
        let t = Txn::new(kind, group, now, retried || over_quota, expiry, must_see, session, attempts, bytes);
        self.txns[txn] = Some(Txn { over_quota, ..t });
        self.arrivals.add(now, 1.0);
        self.enqueue(txn, host);
        // At arrival all may be placed: answer times of a bad time are unlearnt only by sending.
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

    /// By lot, whether a txn is beyond its tenant's share: first tries here against an equal part of it.
    fn exceeds_quota(&mut self, now: Duration, tenant: usize, retried: bool) -> bool {
        let (span, draw) = (now.min(RATE_WINDOW).as_secs_f64(), self.rng.rand_float());
        let Some((quota, first_tries)) = self.tenant_quotas.get_mut(tenant) else { return false };
        first_tries.add(now, f64::from(!retried));
        draw * first_tries.sum(now) > *quota * span / self.front_info.fronts.max(1) as f64 + PRIOR_ANSWERS
    }

    /// A submission has ended. `over`: the client has its final answer.
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
            // It lags by more than was known, where it doesn't say by how much.
            let m = &mut self.members[member];
            (m.lag_observed_at, m.lag) = (now, (m.lag.max(BACKOFF_MIN) * 2).min(BACKOFF_MAX));
        }
        if writes && outcome == Committed {
            self.primary_tracker.committed(member);
        }
        if writes && !outcome.never_ran() {
            // What may have run binds as of now; so does a repeat that is told its first commit, before this start.
            let at = position.filter(|_| outcome == Committed).unwrap_or(now);
            self.session_marks.learn(now, session, at, RETENTION);
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

    pub fn client_left(&mut self, now: Duration, txn: usize, host: &mut impl Host) {
        let Some(Some(t)) = self.txns.get_mut(txn) else { return };
        t.finished = true;
        let group = t.group;
        if self.wait_queue.remove(txn).is_some() {
            self.release_if_done(txn, host);
        }
        self.run_rules(now, &[group], host);
    }

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

    /// A reminder long overdue shows that this front itself stood still: the silence was its own.
    fn detect_stall(&mut self, now: Duration) {
        if self.next_timer_at <= now {
            if now - self.next_timer_at > BACKOFF_MIN {
                (self.stalled_from, self.resumed_at) = (self.next_timer_at, now);
            }
            self.next_timer_at = Duration::MAX;
        }
    }

    /// Records a claim of role: an answer's is as new as now, but proves no more than that it was made since
    /// its txn was sent; a report's is at least as new as its position. What a front reads right after it
    /// stood still may have waited since. Only of the slot's holder is the word as a primary a proof of data.
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
        // What one told as the primary proves nothing any more once it says that it is none: it may not have
        // known that another had followed. Meets primaries that are cut off with their clients.
        let (is_primary, is_recorded) =
            (role == Some(Role::Primary), self.primary_tracker.primary(group) == Some(m));
        let state = &mut self.members[m];
        state.mark_alive(now, self.cold.warm_up);
        // A report is some time old by itself: it can only show that a lag is shorter.
        if let Some(lag) = at.map(|at| read.saturating_sub(at)).filter(|&l| sent.is_some() || l < state.lag) {
            (state.lag_observed_at, state.lag) = (read, lag);
        }
        if role.is_some() && std::mem::replace(&mut state.reports_primary, is_primary) && !is_primary {
            state.position = at;
        } else if !is_primary || is_recorded {
            state.position = state.position.max(at);
        }
        // An answer proves too little to take a held slot: its member is asked.
        if role == Some(Role::Primary) && sent.is_some() && self.primary_tracker.primary(group) != Some(m) {
            let earliest = self.members[m].last_probe_at.unwrap_or_default()
                + self.probe_interval.unwrap_or_default() / 2;
            self.members[m].next_probe_at = self.members[m].next_probe_at.min(now.max(earliest));
        }
    }

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
        let (least, m) = (self.per_front_limit(MIN_CONCURRENCY), &mut self.members[member]);
        // A quick error must not look like low load: it counts as an answer at the SLA time.
        let errored = matches!(outcome, Errored | Dropped);
        let counted = if errored { secs.max(sla) } else { secs };
        if errored || matches!(outcome, Committed | TimedOut | Cancelled) {
            m.slowness += 0.2 * (counted / work - m.slowness);
            if m.slowness * work > LIMIT_CUT_SLA_SHARE * sla {
                if now > m.limit_cut_at + mean_latency {
                    (m.concurrency_limit, m.limit_cut_at) = ((m.concurrency_limit * 0.9).max(least), now);
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
                // Falls fast and rises slowly: what an answer takes where nothing waits.
                *base_latency += if secs < *base_latency { 0.05 } else { 0.01 } * (secs - *base_latency);
            }
            // Turned away at once, it looks idle: left alone for longer each time, also as the writer.
            Full => {
                m.concurrency_limit = (m.concurrency_limit * 0.7).max(least);
                m.consecutive_fulls = (m.consecutive_fulls + 1).min(8);
                m.avoid_until =
                    m.avoid_until.max(now + BACKOFF_MIN / 8 * 2u32.pow(m.consecutive_fulls.min(4)));
            }
            // Connections end now and then: its member is asked, and shunned if it was not the only one.
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
            // A time-out is the client's end of patience, an error weighs as a late answer: neither shuns.
            _ => {}
        }
        // A failed submission to the writer empties the slot; only a claim made after this fills it again.
        let not_primary = outcome == Misplaced && self.types[kind].consistency == Consistency::Write;
        if not_primary || matches!(outcome, Unreachable | Dropped) {
            self.suspect_primary(now, member);
        }
    }

    fn per_front_limit(&self, limit: f64) -> f64 {
        (limit * (FULL_LIMIT_FRONTS / self.front_info.fronts.max(1) as f64).min(1.0)).max(1.0)
    }

    /// Empties the writer slot if this member holds it, and starts a probe round.
    fn suspect_primary(&mut self, now: Duration, member: usize) {
        let group = self.members[member].group;
        if self.primary_tracker.primary(group) == Some(member) {
            self.primary_tracker.invalidate_claims(now, member);
            for &m in &self.groups[group].members {
                self.members[m].next_probe_at = self.members[m].next_probe_at.min(now);
            }
        }
    }

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

    /// When an answer has to be there to be worth anything, and when the txn is given up however quick
    /// members are: what no member has had early, what may have run once its stores forget its mark.
    fn deadlines(&self, t: &Txn) -> (Duration, Duration) {
        let kind = self.types[t.kind];
        let soft_deadline = if kind.late_value > 0.0 { t.expiry } else { t.expiry.min(t.arrived + kind.sla) };
        let share = if t.attempts.none_may_have_run() { self.unexecuted_wait_share } else { 1.0 };
        let hard_deadline = t.arrived + (t.expiry - t.arrived).mul_f64(share);
        (soft_deadline, hard_deadline.min(t.attempts.window_end().unwrap_or(hard_deadline)))
    }

    pub(crate) fn give_up_at(&self, t: &Txn) -> Duration {
        let ((soft_deadline, hard_deadline), work) =
            (self.deadlines(t), Duration::from_secs_f64(self.mean_latency[t.kind]));
        soft_deadline.saturating_sub(work).min(hard_deadline).max(t.arrived)
    }

    /// A txn waits; without room what is worth least gives way, of its group or of the fullest one.
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

    /// Value per work of a txn type.
    fn value_density(&self, kind: usize) -> f64 {
        self.types[kind].value / self.base_latency[kind]
    }

    /// What waits in a group, as types with first and later tries apart: most value per work first.
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

    /// The one final answer that is true, at once: declined where that is harmless, else that its effect is not
    /// known. Who wants a primary is to come back when changes of late were over.
    fn send_final_answer(&mut self, now: Duration, txn: usize, host: &mut impl Host) {
        let Txn { kind, group, attempts, .. } = *self.txn(txn);
        match attempts.final_answer() {
            FinalAnswer::Decline => {
                let needs_primary =
                    matches!(self.types[kind].consistency, Consistency::Write | Consistency::Fresh);
                let left = self.primary_tracker.expected_wait(now, group).filter(|_| needs_primary);
                let left = left.map(|left| left.mul_f64(1.0 + HALF * self.rng.rand_float()));
                let wait = left.unwrap_or(self.types[kind].sla / 2);
                host.decline(txn, self.max_retry_after.map(|most| most.min(wait)));
            }
            FinalAnswer::Unknown | FinalAnswer::Committed => host.answer_unknown(txn),
        }
        self.txn_mut(txn).finished = true;
        self.release_if_done(txn, host);
    }

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

    /// A member that answers nothing for some answer times is shunned. What is out there, or for as long and
    /// passed by later answers, is called off, and a referenced write out at a former primary: its mark is
    /// known to the next one. Meets hangs, lost answers; harms when one answers in bursts.
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
                let (least, m) = (self.per_front_limit(MIN_CONCURRENCY), &mut self.members[member]);
                (m.silence_noted_at, m.consecutive_failures, m.concurrency_limit) =
                    (now, m.consecutive_failures + 1, least);
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
                let out_for = (now - sent).as_secs_f64() / self.mean_latency[t.kind];
                let can_resubmit = match self.types[t.kind].effect {
                    Effect::Repeatable => silent || overtaken && out_for > SILENCE_LATENCIES,
                    Effect::Referenced { .. } => {
                        let mark_known =
                            t.attempts.resendable_until().is_some_and(|last| now < last.min(t.expiry));
                        (overtaken && out_for > LOST_LATENCIES || superseded) && mark_known
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

    /// Keeps the record of who is primary; who takes the slot starts with little room. The host hears of it.
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

    /// Exception: members are asked out of turn for what a held txn waits for, a role or a proof of readers;
    /// ever less often where reports prove nothing. Meets fronts of few txns; harms tight bounds by a delay.
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
        let fleet_share = interval.mul_f64(self.front_info.fronts as f64 / ON_DEMAND_PROBE_FRONTS);
        let min_gap =
            (interval / 2).max(fleet_share.min(self.member_txn_interval.div_f64(ON_DEMAND_PROBES_PER_TXN)));
        let needed = no_primary && !waiting.is_empty()
            || waiting.iter().any(unproven) && !self.awaits_report(now, group);
        let wanted = |&i: &usize| {
            let m = &self.members[i];
            let earliest =
                m.last_probe_at.map_or(now, |at| now.max(at + min_gap * 2u32.pow(m.stale_reports.min(5))));
            let early = !m.excluded && !m.probe_in_flight && m.next_probe_at > earliest;
            // What waits for a primary has nothing else to wake it.
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

    fn is_available_reader(&self, now: Duration, member: usize) -> bool {
        let m = &self.members[member];
        self.primary_tracker.primary(m.group) != Some(member) && m.avoid_until <= now && !m.excluded
    }

    fn awaits_report(&self, now: Duration, group: usize) -> bool {
        let recent = |at| now < at + REPORT_WAIT;
        let awaited =
            |&i: &usize| self.members[i].probe_in_flight && self.members[i].last_probe_at.is_some_and(recent);
        self.groups[group].members.iter().any(awaited)
    }

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

    /// A txn is declined at random before it is ever sent while too few are answered in time, of its type and
    /// its group. Meets overload, storms of later tries; harms where members are gone for good.
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
        // What its tenant has no share for goes first, by as much as it is worth less.
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

    /// Whatever waits past hope is answered, of whichever group.
    fn expire_waiting(&mut self, now: Duration, host: &mut impl Host) -> bool {
        let latency = |kind: usize| Duration::from_secs_f64(self.mean_latency[kind]);
        let Some(txn) = self.wait_queue.next_expired(now, latency) else { return false };
        self.wait_queue.remove(txn);
        self.send_final_answer(now, txn, host);
        true
    }

    /// Places what can be placed: most value per work, then first tries, then newest; the rest is late. What
    /// finds no member leaves those of its kind none either.
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

    /// The member for a txn: the writer for writes and fresh reads, else a random reader inside the bound.
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
        // A later try that is worth nothing late leaves half of the room to first tries still to come.
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
        // Exception: reads spill into half of the writer's room; one just promoted has its writes first.
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
            // Once: a member that turned the read away is as far behind a moment later.
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

    /// Exception: where no probe is allowed a write without a primary is its own, and a fresh read where members
    /// check: who is none turns it away untouched. Meets fronts that know nobody; harms by what is turned away.
    fn searches_by_trial(&self, group: usize, kind: usize) -> bool {
        let refused_elsewhere =
            self.types[kind].consistency == Consistency::Write || self.members_check_reads;
        refused_elsewhere && self.probe_interval.is_none() && self.primary_tracker.primary(group).is_none()
    }

    /// One that has not failed: whom the list names, then who said longest ago, or never, that it is a replica.
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

    /// What only the primary takes comes in time there.
    fn primary_keeps_up(&mut self, now: Duration, group: usize) -> bool {
        let (mut in_time, mut ended) = (PRIOR_ANSWERS, PRIOR_ANSWERS);
        for (kind, counts) in self.groups[group].outcome_counts.iter_mut().enumerate() {
            if matches!(self.types[kind].consistency, Consistency::Write | Consistency::Fresh) {
                (in_time, ended) = (in_time + counts.in_time.sum(now), ended + counts.ended.sum(now));
            }
        }
        in_time >= SPILL_IN_TIME_SHARE * ended
    }

    /// Submissions at work there; lost ones take no room. Meets links that swallow a share of all.
    fn active_submissions(&self, now: Duration, member: usize) -> usize {
        let active = |&&t: &&usize| {
            self.txn(t)
                .attempts
                .in_flight()
                .is_none_or(|o| !self.considered_lost(now - o.sent_at, self.txn(t).kind))
        };
        self.members[member].in_flight.iter().filter(active).count()
    }

    fn considered_lost(&self, out_for: Duration, kind: usize) -> bool {
        out_for.as_secs_f64() > LOST_LATENCIES * self.mean_latency[kind]
    }

    fn has_capacity(&self, now: Duration, member: usize, share: f64) -> bool {
        (self.active_submissions(now, member) as f64) < self.members[member].concurrency_limit.floor() * share
    }

    /// What a further submission would wait for; slowness is forgotten by and by: all get their trial.
    fn cost(&self, now: Duration, member: usize) -> f64 {
        let m = &self.members[member];
        let age = now.saturating_sub(m.last_answer_at).as_secs_f64();
        let slowness = 1.0
            + (m.slowness - 1.0)
                / (1.0 + age / SLOWNESS_HALF_LIFE.max(2 * self.member_txn_interval).as_secs_f64());
        let distance = if m.zone == self.front_info.zone { 1.0 } else { 1.1 };
        // After a failure a probe is its trial, not a txn, while another member will do.
        let failed = if m.probe_failures > 0 { FAILED_COST_FACTOR } else { 1.0 };
        (self.active_submissions(now, member) + 1) as f64 * slowness * distance * failed
    }

    /// A former primary's proofs count from the beginning of the newest term.
    fn proven_position(&self, member: usize) -> Option<Duration> {
        self.members[member]
            .position
            .filter(|&position| position >= self.primary_tracker.valid_positions_from(member))
    }

    /// Whether a member's data is proven to be as new as a txn type, or a txn, needs it.
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

    /// Exception: where members check reads, a read is its own probe: a told lag counts twice as long as it
    /// is. With no primary the log stands still. Meets proofs that are too old; harms by reads turned away.
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

    /// Every rule on sends, each in its place; no send passes by.
    fn may_submit(&mut self, now: Duration, txn: usize, member: usize) -> bool {
        let t = self.txn(txn);
        let kind = self.types[t.kind];
        // Rule 2: one submission at a time, no more than allowed, and no second effect.
        let repeat_allowed = t.attempts.blocked_at(now, self.max_submissions, self.target(member)).is_none();
        // Rule 3: nothing new once the list says draining or gone; the grace is not used.
        let in_use = self.members[member].group == t.group && !self.members[member].excluded;
        // Rule 5: proof, or the writer; an answer or a report as a replica empties that slot.
        let current = kind.consistency == Consistency::Write
            || self.primary_tracker.trusted(member)
            || self.members_check_reads
            || self.is_proven_current(now, t.kind, t.must_see, member);
        // Rule 1: nothing for a txn that has its answer, whose client has left, or whose time is up.
        let open = !t.finished && now < t.expiry;
        open && repeat_allowed && in_use && current && self.within_cold_budget(now, member, t.kind)
    }

    /// Rule 4. Each front sends a cold member a part of what the same front gets done on a warm one, by lot. One
    /// that refused probes had no process: it is back cold, before late lists say so. Harms what comes back warm.
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

    fn submit(&mut self, now: Duration, txn: usize, member: usize, host: &mut impl Host) -> bool {
        if !self.may_submit(now, txn, member) {
            return false;
        }
        let (work, target) = (self.base_latency[self.txn(txn).kind], self.target(member));
        self.txn_mut(txn).attempts.sent(now, target);
        self.wait_queue.remove(txn);
        let m = &mut self.members[member];
        m.in_flight.push(txn);
        m.work_sent.add(now, work);
        host.send(txn, member, self.valid_until(txn));
        true
    }

    /// Rules 1, 2, 3 and 5 again: until when a submission that waits for a connection may be written. A write
    /// whose primary has lost the slot meanwhile, or hands over, waits for the next one.
    pub fn valid_until(&self, txn: usize) -> Duration {
        let Some(Some(t)) = self.txns.get(txn) else { return Duration::ZERO };
        let Some(out) = t.attempts.in_flight().filter(|_| !t.finished) else { return Duration::ZERO };
        let (member, m) = (out.target.member, &self.members[out.target.member]);
        let last = t.attempts.window_end().map_or(t.expiry, |ends| ends.min(t.expiry));
        let proof_not_needed = self.members_check_reads || self.primary_tracker.trusted(member);
        let was_primary =
            self.primary_tracker.held_term(member) > 0 && !self.searches_by_trial(m.group, t.kind);
        match self.types[t.kind].consistency {
            _ if m.excluded => Duration::ZERO,
            _ if !proof_not_needed
                && t.must_see.is_some_and(|need| self.proven_position(member) < Some(need)) =>
            {
                Duration::ZERO
            }
            Consistency::Write if was_primary && self.primary_tracker.writer(m.group) != Some(member) => {
                Duration::ZERO
            }
            Consistency::Bounded(b) if !proof_not_needed => {
                self.proven_position(member).map_or(Duration::ZERO, |p| last.min(p + b))
            }
            _ => last,
        }
    }
}

fn backoff(failures: u32) -> Duration {
    (BACKOFF_MIN * 2u32.pow(failures.min(8))).min(BACKOFF_MAX)
}
