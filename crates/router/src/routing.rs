//! All decisions of the router. The host ([`crate::host`]) calls one method per input; each notes the facts, then
//! the rules in `settle` run until none fires. Sends leave through `submit` alone, and only if `gate` lets them pass.

use crate::host::AttemptOutcome::*;
use crate::host::{
    AttemptOutcome, ColdStart, Consistency, Effect, FrontInfo, Host, ListedState, Phase, Plan, Report, Role,
    TxnType,
};
use crate::sliding_sum::SlidingSum;
pub use crate::state::Router;
use crate::state::{Member, Tally, Txn, both};
use juniperdock_attempt_outcome::{FinalAnswer, SubmissionHistory};
use juniperdock_primary_tracker::Claim;
use juniperdock_wait_queue::{QueueFull, QueueKey, WaitingTxn};
use oorandom::Rand64;
use std::{cmp::Reverse, mem::take, time::Duration};

/// Probes of a member within the tightest bound: measured from the design's start value of 4 downwards.
const PROBES_PER_BOUND: u32 = 2;
/// Polls stay under this share of a front's first submissions; what it needs to know beyond that it asks for.
const POLLS_PER_TXN: f64 = 0.5;
/// Asked out of turn is so many times as often as txns come; more often where fronts are fewer than this.
const ASKS_PER_TXN: f64 = 4.0;
const ASK_FRONTS: f64 = 32.0;
/// The writer, or whoever checks reads, is polled so many times less often: answers tell as much.
const WRITER_SELDOM: u32 = 4;
/// A read waits so long for a report that may prove a reader.
const REPORT_DUE: Duration = Duration::from_millis(40);
/// A member that fails is left alone this long at first, then twice as long each time, up to the longest.
const SHUN_FIRST: Duration = Duration::from_millis(250);
const SHUN_LONGEST: Duration = Duration::from_secs(4);
/// Further submissions stay under this share of the first ones, counted over `RESEND_SPAN`.
const RESEND_SHARE: f64 = 0.1;
const RESEND_SPAN: Duration = Duration::from_secs(5);
/// Submissions a member may hold from this front at first, and at least; parted beyond so many fronts.
const ROOM_FIRST: f64 = 4.0;
const ROOM_LEAST: f64 = 2.0;
const ROOM_FRONTS: f64 = 5.0;
/// A member whose answers take more than this share of the SLA time gets less room.
const STRAIN: f64 = 0.25;
/// Share of a member's room for what must leave the rest free: reads at the writer, tries late already.
const HALF: f64 = 0.5;
/// A member is silent that has held work for so many mean answer times, or half as long with two in hand.
const SILENCE: f64 = 5.0;
/// A submission out for this many mean answer times, while its member answers others, is lost.
const LOST: f64 = 8.0;
/// So many answers a member within `RESEND_SPAN` double what the throttle lets through.
const HEARD: f64 = 2.5;
/// What the throttle takes as in time, as a share of the SLA time: queues are to end before it.
const IN_TIME: f64 = 0.7;
/// How many times what was in time is let through of the least valuable type; the most valuable has one more.
const LEEWAY: f64 = 0.8;
/// Declined txns count in full in the throttle when one in so many answers is late, else less: it opens then.
const SHUT: f64 = 8.0;
/// Declined txns count for no more than so many times those that ended: too few may come back to judge by.
const DECLINED: f64 = 2.0;
/// The throttle counts so many answers beforehand: of a type as in time, of a group as its type.
const PRIOR: f64 = 2.0;
/// Reads spill to the writer while this share of what only it takes is in time.
const IDLE: f64 = 0.8;
/// Reads spill to the writer where it is cheaper by this factor than the reader drawn.
const WRITER_DEARER: f64 = 2.0;
/// A member that failed costs so many times more until it has answered a probe or a txn.
const DOWN_DEARER: f64 = 8.0;
/// Half of a member's slowness is forgotten in this time without answers.
const SLOW_FORGOTTEN: Duration = Duration::from_secs(1);
/// No list is so old that it names a member that has been gone for this long.
const FORGOTTEN: Duration = Duration::from_secs(60);
/// Reminder handles: this one, even ones for members, odd ones for txns.
const ASK_FOR_LIST: u64 = 0;
/// What no member has had is given up after this share of its time: its client can still try elsewhere.
const UNTAKEN: f64 = 0.45;
/// Part of a cold member's budget that is used; the rest is for chance, probes and handshakes.
const COLD_PART: f64 = 0.5;

type Told = Option<Duration>;

impl Router {
    pub fn new(seed: u64, standing: FrontInfo, types: Vec<TxnType>, cold: ColdStart) -> Self {
        let tightest = types.iter().filter_map(|t| match t.consistency {
            Consistency::Bounded(bound) => Some(bound / PROBES_PER_BOUND),
            _ => None,
        });
        let every = tightest.min().unwrap_or(SHUN_FIRST);
        let mut router = Router::blank(Rand64::new(seed as u128), standing, types, cold);
        (router.probe_every, router.untaken) = (Some(every), UNTAKEN);
        // Guesses until answers tell: the fastest come first, a start from those would be far too low.
        router.typical = router.types.iter().map(|t| t.sla.as_secs_f64() / 4.0).collect();
        router.usual = router.types.iter().map(|t| t.sla.as_secs_f64() / 2.0).collect();
        (router.first, router.again) = (SlidingSum::new(RESEND_SPAN, 10), SlidingSum::new(RESEND_SPAN, 10));
        router.tallies = vec![Tally::new(RESEND_SPAN / 2); router.types.len()];
        router.blank = Tally::new(RESEND_SPAN);
        router
    }

    /// The list has to be asked for, at the start or again; not at once, lest all ask together.
    pub fn discovery_lost(&mut self, now: Duration, host: &mut impl Host) {
        host.set_timer(now + SHUN_FIRST.mul_f64(self.rng.rand_float()), ASK_FOR_LIST);
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
        self.make_place(group, 0);
        while self.members.len() <= member {
            self.members.push(Member::new(now, self.part(ROOM_FIRST), self.cold.window));
        }
        let m = &mut self.members[member];
        (m.group, m.zone) = (group, zone);
        if !std::mem::replace(&mut m.listed, true) {
            // Not asked by all fronts at once, where many start together.
            m.probe_due = now + SHUN_FIRST.mul_f64(self.rng.rand_float());
            self.groups[group].members.push(member);
            self.tenure.add_member(member, group);
            self.known += 1;
        }
        let m = &mut self.members[member];
        let warm_at = up_for.map_or(m.warm_at, |up| (now + self.cold.warm_up).saturating_sub(up));
        // Only a later start ends a drain: a list may be wrong, or an old one may come again.
        m.drains = state == ListedState::Draining || m.drains && warm_at <= m.warm_at;
        m.gone_at = m.gone_at.or(Some(now)).filter(|_| state == ListedState::Removed);
        m.stopped = m.drains || state == ListedState::Removed && !self.gone_is_advice;
        m.warm_at = warm_at;
        m.hinted = primary && !m.stopped;
        self.gone.extend(m.gone_at.map(|_| member));
        self.tenure.set_availability(now, member, m.stopped, m.drains);
        // A hint only: whoever is named is asked at once, and believed only if its report tells no role.
        m.probe_due = if m.hinted { now } else { m.probe_due };
        self.touch(group);
    }

    /// All entries are in; of a full list, members that it does not name are gone. A gone one is forgotten
    /// once no old list will name it again, nothing is out to it, and it is of no use.
    pub fn list_completed(&mut self, now: Duration, named: Option<&[usize]>, host: &mut impl Host) {
        for i in self.unnamed(named) {
            let m = &mut self.members[i];
            m.stopped |= !self.gone_is_advice || m.drains;
            m.gone_at = m.gone_at.or(Some(now));
            self.tenure.set_availability(now, i, m.stopped, m.drains);
            self.touch(self.members[i].group);
        }
        for i in self.gone_for(now, FORGOTTEN) {
            let m = &self.members[i];
            if m.in_hand.is_empty() && !m.probe_out && (m.stopped || m.probe_failures > 0) {
                self.drop_member(now, i, Member::new(now, self.part(ROOM_FIRST), self.cold.window), host);
            }
        }
        self.settle(now, &[], host);
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
        self.make_place(group, txn);
        let must_see = match self.types[kind].consistency {
            Consistency::Fresh => Some(now),
            Consistency::Session => match (wrote_ago.filter(|_| self.marks_carried), session) {
                (Some(ago), _) => Some(now.saturating_sub(ago)).filter(|_| !ago.is_zero()),
                (None, Some(key)) if self.writes_out(group, key) => Some(now),
                (None, Some(key)) => self.sessions.must_see(key),
                (None, None) => Some(now),
            },
            _ => None,
        };
        let (fate, expiry) = (SubmissionHistory::new(self.types[kind].effect), now + left);
        let beyond = tenant.is_some_and(|tenant| self.beyond_share(now, tenant, retried));
        let t = Txn::new(kind, group, now, retried || beyond, expiry, must_see, session, fate, bytes);
        self.txns[txn] = Some(Txn { beyond, ..t });
        self.first.add(now, 1.0);
        self.hold(txn, host);
        // At arrival all may be placed: answer times of a bad time are unlearnt only by sending.
        self.held.set_deadlines(txn, Duration::MAX, Duration::MAX);
        self.unweighed.push(txn);
        self.settle(now, &[group], host);
        if self.held.get(txn).is_some() {
            let (soft_deadline, hard_deadline) = self.ends(self.txn(txn));
            self.held.set_deadlines(txn, soft_deadline, hard_deadline);
            while self.give_up(now, host) {}
            self.remind_held(txn, now + SHUN_FIRST, host);
        }
    }

    /// By lot, whether a txn is beyond its tenant's share: first tries here against an equal part of it.
    fn beyond_share(&mut self, now: Duration, tenant: usize, retried: bool) -> bool {
        let (span, lot) = (now.min(RESEND_SPAN).as_secs_f64(), self.rng.rand_float());
        let Some((quota, seen)) = self.tenants.get_mut(tenant) else { return false };
        seen.add(now, f64::from(!retried));
        lot * seen.sum(now) > *quota * span / self.standing.fronts.max(1) as f64 + PRIOR
    }

    /// A submission has ended. `over`: the client has its final answer.
    pub fn submission_ended(
        &mut self,
        now: Duration,
        txn: usize,
        over: bool,
        member: usize,
        ending: AttemptOutcome,
        role: Option<Role>,
        position: Option<Duration>,
        took: Duration,
        host: &mut impl Host,
    ) {
        self.wake(now);
        let Some(Some(t)) = self.txns.get_mut(txn) else { return };
        let out = t.fate.ended(ending);
        let slept = out.as_ref().is_some_and(|out| out.sent_at < self.awake);
        let answered_since = out.as_ref().is_some_and(|out| out.sent_at < self.members[member].last_answer);
        let left = t.over;
        t.over |= over;
        let (kind, group, session, called_off) = (t.kind, t.group, t.session, take(&mut t.called_off));
        self.members[member].in_hand.retain(|&held| held != txn);
        if !matches!(ending, TimedOut | Cancelled | Moot | Unreachable) {
            self.members[member].last_answer = now;
        }
        let heard = matches!(ending, Committed | Errored | Invalid | Full | Misplaced);
        if heard || role.is_some() {
            self.heard(now, member, role, position, Some(out.map_or(now, |out| out.sent_at)));
        }
        let writes = self.types[kind].consistency == Consistency::Write;
        if ending == Misplaced && position.is_none() && !writes {
            // It lags by more than was known, where it doesn't say by how much.
            let m = &mut self.members[member];
            (m.told_at, m.lag) = (now, (m.lag.max(SHUN_FIRST) * 2).min(SHUN_LONGEST));
        }
        if writes && ending == Committed {
            self.tenure.committed(member);
        }
        if writes && !ending.never_ran() {
            // What may have run binds as of now; so does a repeat that is told its first commit, before this start.
            let at = position.filter(|_| ending == Committed).unwrap_or(now);
            self.sessions.learn(now, session, at, FORGOTTEN);
        }
        let lost = ending != Committed && (called_off || self.lost(took, kind)) && answered_since;
        if !slept && !lost {
            self.judge(now, member, kind, ending, took);
        }
        if !slept && !matches!(ending, Unreachable | Moot | Misplaced | Invalid | Spoilt) {
            let sla = self.types[kind].sla;
            let in_time = ending == Committed && !left && took <= sla.mul_f64(IN_TIME);
            for tally in [&mut self.tallies[kind], &mut self.groups[group].tallies[kind]] {
                tally.ended.add(now, 1.0);
                tally.in_time.add(now, f64::from(in_time));
            }
        }
        if self.txn(txn).over {
            self.forget(txn, host);
        } else {
            self.go_on(now, txn, ending, host);
        }
        self.settle(now, &[group], host);
    }

    pub fn client_left(&mut self, now: Duration, txn: usize, host: &mut impl Host) {
        let Some(Some(t)) = self.txns.get_mut(txn) else { return };
        t.over = true;
        let group = t.group;
        if self.held.remove(txn).is_some() {
            self.forget(txn, host);
        }
        self.settle(now, &[group], host);
    }

    pub fn probe_ended(
        &mut self,
        now: Duration,
        member: usize,
        end: AttemptOutcome,
        told: Report,
        host: &mut impl Host,
    ) {
        let m = &mut self.members[member];
        m.probe_out = false;
        if end == Committed {
            m.probe_failures = 0;
            let slack = self.probe_every.unwrap_or_default() * PROBES_PER_BOUND;
            m.barren = if told.position.is_some_and(|p| p + slack > now) { 0 } else { m.barren + 1 };
            let hint = Some(Role::Primary).filter(|_| m.hinted && !self.tenure.has_claimed(member));
            self.heard(now, member, told.role.or(hint), told.position, None);
        } else if !matches!(end, Full | Spoilt) {
            let many = self.standing.fronts as f64 > ASK_FRONTS && m.probe_failures > 0;
            m.refused |= many && end == Unreachable && m.asked.is_some_and(|at| now < at + REPORT_DUE);
            m.probe_failures += 1;
        }
        self.plan_probe(now, member, host);
        self.settle(now, &[self.members[member].group], host);
    }

    pub fn timer_fired(&mut self, now: Duration, handle: u64, host: &mut impl Host) {
        let at = (handle / 2) as usize;
        if handle == ASK_FOR_LIST {
            host.subscribe_to_member_list();
        } else if handle.is_multiple_of(2) {
            self.settle(now, &[self.members[at - 1].group], host);
        } else if let Some(Some(t)) = self.txns.get(at) {
            self.settle(now, &[t.group], host);
            self.remind_held(at, now + SHUN_FIRST, host);
        }
    }

    /// A reminder long overdue shows that this front itself stood still: the silence was its own.
    fn wake(&mut self, now: Duration) {
        if self.due <= now {
            if now - self.due > SHUN_FIRST {
                (self.stood, self.awake) = (self.due, now);
            }
            self.due = Duration::MAX;
        }
    }

    /// Records a claim of role: an answer's is as new as now, but proves no more than that it was made since
    /// its txn was sent; a report's is at least as new as its position. What a front reads right after it
    /// stood still may have waited since. Only of the slot's holder is the word as a primary a proof of data.
    fn heard(&mut self, now: Duration, m: usize, role: Option<Role>, at: Told, sent: Told) {
        let group = self.members[m].group;
        let read = if now < self.awake + REPORT_DUE { self.stood.max(sent.unwrap_or_default()) } else { now };
        let made_at = at.filter(|_| sent.is_none()).unwrap_or(read);
        let claim = role.map(|role| Claim { role, made_at, not_before: sent.unwrap_or(made_at) });
        self.tenure.observe(now, m, claim, sent.is_some());
        // What one told as the primary proves nothing any more once it says that it is none: it may not have
        // known that another had followed. Meets primaries that are cut off with their clients.
        let (leads, holds) = (role == Some(Role::Primary), self.tenure.primary(group) == Some(m));
        let told = &mut self.members[m];
        told.rises(now, self.cold.warm_up);
        // A report is some time old by itself: it can only show that a lag is shorter.
        if let Some(lag) = at.map(|at| read.saturating_sub(at)).filter(|&l| sent.is_some() || l < told.lag) {
            (told.told_at, told.lag) = (read, lag);
        }
        if role.is_some() && std::mem::replace(&mut told.leads, leads) && !leads {
            told.position = at;
        } else if !leads || holds {
            told.position = told.position.max(at);
        }
        // An answer proves too little to take a held slot: its member is asked.
        if role == Some(Role::Primary) && sent.is_some() && self.tenure.primary(group) != Some(m) {
            let rest = self.members[m].asked.unwrap_or_default() + self.probe_every.unwrap_or_default() / 2;
            self.members[m].probe_due = self.members[m].probe_due.min(now.max(rest));
        }
    }

    fn judge(&mut self, now: Duration, member: usize, kind: usize, ending: AttemptOutcome, took: Duration) {
        let (sla, work, secs) = (self.types[kind].sla.as_secs_f64(), self.typical[kind], took.as_secs_f64());
        let usual = &mut self.usual[kind];
        if ending == Committed || !ending.never_ran() && secs > *usual {
            *usual += 0.02 * (secs - *usual);
        }
        let usual = Duration::from_secs_f64(*usual);
        let (least, m) = (self.part(ROOM_LEAST), &mut self.members[member]);
        // A quick error must not look like low load: it counts as an answer at the SLA time.
        let errored = matches!(ending, Errored | Dropped);
        let counted = if errored { secs.max(sla) } else { secs };
        if errored || matches!(ending, Committed | TimedOut | Cancelled) {
            m.slow += 0.2 * (counted / work - m.slow);
            if m.slow * work > STRAIN * sla {
                if now > m.last_cut + usual {
                    (m.room, m.last_cut) = ((m.room * 0.9).max(least), now);
                }
            } else if ending == Committed {
                m.room += 1.0 / m.room;
            }
        }
        match ending {
            Committed => {
                (m.failures, m.fulls, m.probe_failures) = (0, 0, 0);
                m.shunned = Duration::ZERO;
                m.done.add(now, work);
                m.passed_by = m.passed_by.max(now.saturating_sub(took));
                let typical = &mut self.typical[kind];
                // Falls fast and rises slowly: what an answer takes where nothing waits.
                *typical += if secs < *typical { 0.05 } else { 0.01 } * (secs - *typical);
            }
            // Turned away at once, it looks idle: left alone for longer each time, also as the writer.
            Full => {
                m.room = (m.room * 0.7).max(least);
                m.fulls = (m.fulls + 1).min(8);
                m.shunned = m.shunned.max(now + SHUN_FIRST / 8 * 2u32.pow(m.fulls.min(4)));
            }
            // Connections end now and then: its member is asked, and shunned if it was not the only one.
            Dropped if m.failures == 0 => {
                (m.failures, m.probe_failures, m.probe_due) = (1, 1, now);
                self.tenure.mark_doubted(now, member);
                return;
            }
            Unreachable | Dropped => {
                let shunned = now + shun_for(m.failures);
                (m.shunned, m.probe_failures, m.probe_due) = (shunned, m.probe_failures.max(1), now);
                m.failures += 1;
            }
            // A time-out is the client's end of patience, an error weighs as a late answer: neither shuns.
            _ => {}
        }
        // A failed submission to the writer empties the slot; only a claim made after this fills it again.
        let astray = ending == Misplaced && self.types[kind].consistency == Consistency::Write;
        if astray || matches!(ending, Unreachable | Dropped) {
            self.doubt(now, member);
        }
    }

    fn part(&self, room: f64) -> f64 {
        (room * (ROOM_FRONTS / self.standing.fronts.max(1) as f64).min(1.0)).max(1.0)
    }

    /// Empties the writer slot if this member holds it, and starts a probe round.
    fn doubt(&mut self, now: Duration, member: usize) {
        let group = self.members[member].group;
        if self.tenure.primary(group) == Some(member) {
            self.tenure.invalidate_claims(now, member);
            for &m in &self.groups[group].members {
                self.members[m].probe_due = self.members[m].probe_due.min(now);
            }
        }
    }

    fn go_on(&mut self, now: Duration, txn: usize, ending: AttemptOutcome, host: &mut impl Host) {
        let barred = self.txn(txn).fate.blocked_everywhere(now, self.max_submissions).is_some();
        let spent = self.again.sum(now) >= 1.0 + RESEND_SHARE * self.first.sum(now);
        if barred || spent && !ending.never_ran() || now >= self.hope(self.txn(txn)) {
            self.answer(now, txn, host);
        } else {
            if !ending.never_ran() {
                self.again.add(now, 1.0);
            }
            self.hold(txn, host);
            self.remind_held(txn, now + SHUN_FIRST, host);
        }
    }

    /// When an answer has to be there to be worth anything, and when the txn is given up however quick
    /// members are: what no member has had early, what may have run once its stores forget its mark.
    fn ends(&self, t: &Txn) -> (Duration, Duration) {
        let kind = self.types[t.kind];
        let soft_deadline = if kind.late_value > 0.0 { t.expiry } else { t.expiry.min(t.arrived + kind.sla) };
        let share = if t.fate.none_may_have_run() { self.untaken } else { 1.0 };
        let hard_deadline = t.arrived + (t.expiry - t.arrived).mul_f64(share);
        (soft_deadline, hard_deadline.min(t.fate.window_end().unwrap_or(hard_deadline)))
    }

    pub(crate) fn hope(&self, t: &Txn) -> Duration {
        let ((soft_deadline, hard_deadline), work) =
            (self.ends(t), Duration::from_secs_f64(self.usual[t.kind]));
        soft_deadline.saturating_sub(work).min(hard_deadline).max(t.arrived)
    }

    /// A txn waits; without room what is worth least gives way, of its group or of the fullest one.
    fn hold(&mut self, txn: usize, host: &mut impl Host) {
        let t = self.txn(txn);
        let ((soft_deadline, hard_deadline), submitted) = (self.ends(t), t.fate.submissions() > 0);
        let Txn { kind, group, retried, arrived, bytes, .. } = *t;
        let wait =
            WaitingTxn { txn, group, kind, retried, submitted, arrived, soft_deadline, hard_deadline, bytes };
        while let Err(full) = self.held.insert(wait) {
            let fullest = self.held.fullest().filter(|_| full == QueueFull::Total).unwrap_or(group);
            let ranks = self.ranks(fullest);
            let oldest = |rank: QueueKey| self.held.oldest(rank, fullest);
            let least = ranks.last().and_then(|&(k, retried)| both(k, retried).into_iter().find_map(oldest));
            let least =
                least.filter(|&l| fullest != group || self.dense(self.txn(l).kind) <= self.dense(kind));
            self.held.remove(least.unwrap_or(txn));
            self.answer(arrived, least.unwrap_or(txn), host);
            if least.is_none() {
                return;
            }
        }
    }

    /// Value per work of a txn type.
    fn dense(&self, kind: usize) -> f64 {
        self.types[kind].value / self.typical[kind]
    }

    /// What waits in a group, as types with first and later tries apart: most value per work first.
    fn ranks(&self, group: usize) -> Vec<(usize, bool)> {
        if self.held.is_empty(group) {
            return Vec::new();
        }
        let all = (0..self.types.len()).flat_map(|kind| [(kind, false), (kind, true)]);
        let waits = |rank: QueueKey| self.held.newest(rank, group).is_some();
        let mut ranks: Vec<_> = all.filter(|&(k, retried)| both(k, retried).into_iter().any(waits)).collect();
        ranks.sort_by(|a, b| self.dense(b.0).total_cmp(&self.dense(a.0)).then(a.1.cmp(&b.1)));
        ranks
    }

    /// The one final answer that is true, at once: declined where that is harmless, else that its effect is not
    /// known. Who wants a primary is to come back when changes of late were over.
    fn answer(&mut self, now: Duration, txn: usize, host: &mut impl Host) {
        let Txn { kind, group, fate, .. } = *self.txn(txn);
        match fate.final_answer() {
            FinalAnswer::Decline => {
                let waits = matches!(self.types[kind].consistency, Consistency::Write | Consistency::Fresh);
                let left = self.tenure.expected_wait(now, group).filter(|_| waits);
                let left = left.map(|left| left.mul_f64(1.0 + HALF * self.rng.rand_float()));
                let wait = left.unwrap_or(self.types[kind].sla / 2);
                host.decline(txn, self.come_back_most.map(|most| most.min(wait)));
            }
            FinalAnswer::Unknown | FinalAnswer::Committed => host.answer_unknown(txn),
        }
        self.txn_mut(txn).over = true;
        self.forget(txn, host);
    }

    fn plan_probe(&mut self, now: Duration, member: usize, host: &mut impl Host) {
        let Some(every) = self.probe_every else { return };
        let rate = self.first.sum(now) / now.min(RESEND_SPAN).as_secs_f64().max(1e-3);
        self.apart = Duration::from_secs_f64(self.known() / rate.max(1.0));
        let poll = self.apart.div_f64(POLLS_PER_TXN);
        let group = self.members[member].group;
        let told = self.members_check || self.tenure.primary(group) == Some(member);
        let pause = match self.members[member].probe_failures {
            0 if self.tenure.writer(group).is_none() && !self.held.is_empty(group) => every / 2,
            0 if told => poll.max(every) * WRITER_SELDOM,
            0 => poll.max(every),
            n => every * 2u32.pow(n.min(5)),
        };
        self.members[member].probe_due = now + pause;
        self.due = self.due.min(now + pause);
        host.set_timer(now + pause, member as u64 * 2 + 2);
    }

    pub(crate) fn settle(&mut self, now: Duration, of: &[usize], host: &mut impl Host) {
        of.iter().for_each(|&group| self.touch(group));
        self.wake(now);
        while let Some(group) = self.touched.pop() {
            self.groups[group].touched = false;
            while self.hush(now, group, host)
                || self.fill_slot(now, group, host)
                || self.throttle(now, host)
                || self.ask(now, group, host)
                || self.probe_due(now, group, host)
                || self.give_up(now, host)
                || self.place(now, group, host)
            {}
        }
    }

    /// A member that answers nothing for some answer times is shunned. What is out there, or for as long and
    /// passed by later answers, is called off, and a referenced write out at a former primary: its mark is
    /// known to the next one. Meets hangs, lost answers; harms when one answers in bursts.
    fn hush(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let (mut fired, mut off) = (false, Vec::new());
        let (term, vacant) = (self.tenure.term(group), self.tenure.writer(group).is_none());
        let spare = HALF * RESEND_SHARE * self.first.sum(now) > self.again.sum(now);
        for i in 0..self.groups[group].members.len() {
            let member = self.groups[group].members[i];
            let m = &self.members[member];
            let sent =
                m.in_hand.iter().filter_map(|&t| self.txn(t).fate.in_flight()).map(|o| o.sent_at).min();
            let Some(sent) = sent else { continue };
            let usual = |&t: &usize| self.usual[self.txn(t).kind];
            let slowest = m.in_hand.iter().map(usual).fold(0.0, f64::max) / m.in_hand.len().min(2) as f64;
            let heard = sent.max(m.last_answer).max(m.hushed).max(self.awake);
            let silent = now.saturating_sub(heard).as_secs_f64() > SILENCE * slowest;
            if silent {
                fired = true;
                let (least, m) = (self.part(ROOM_LEAST), &mut self.members[member]);
                (m.hushed, m.failures, m.room) = (now, m.failures + 1, least);
                let shunned = now + shun_for(m.failures);
                (m.shunned, m.probe_failures, m.probe_due) = (shunned, m.probe_failures.max(1), now);
                self.doubt(now, member);
            }
            off.extend(self.members[member].in_hand.iter().copied().filter(|&txn| {
                let t = self.txn(txn);
                let out = t.fate.in_flight().map_or(now, |out| out.sent_at.max(self.awake));
                let overtaken = !vacant && t.fate.in_flight().is_some_and(|out| out.target.term < term);
                let passed = spare && out < self.members[member].passed_by && now < self.hope(t);
                let out_for = (now - out).as_secs_f64() / self.usual[t.kind];
                let again = match self.types[t.kind].effect {
                    Effect::Repeatable => silent || passed && out_for > SILENCE,
                    Effect::Referenced { .. } => {
                        let known = t.fate.resendable_until().is_some_and(|last| now < last.min(t.expiry));
                        (passed && out_for > LOST || overtaken) && known
                    }
                    Effect::OnceOnly => false,
                };
                self.may_cancel && again && !t.over && !t.called_off
            }));
        }
        for &txn in &off {
            self.txn_mut(txn).called_off = true;
            host.cancel(txn, self.txn(txn).fate.submissions() - 1);
        }
        fired || !off.is_empty()
    }

    /// Keeps the record of who is primary; who takes the slot starts with little room. The host hears of it.
    fn fill_slot(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let (before, looked) = (self.tenure.primary(group), self.tenure.plan_deadline(group));
        let write = |&&t: &&usize| self.types[self.txn(t).kind].consistency == Consistency::Write;
        let out = |plan: &Plan| self.members[plan.leaving].in_hand.iter().filter(write).count();
        let out = self.tenure.plan(group).map_or(0, out);
        self.tenure.apply_rules(now, group, out);
        let (changes, looks) = (self.tenure.take_changes(), self.tenure.plan_deadline(group));
        changes.iter().for_each(|change| host.primary_changed(change));
        if let Some(at) = looks.filter(|_| looks != looked || !changes.is_empty()) {
            host.set_timer(at, self.groups[group].members[0] as u64 * 2 + 2);
        }
        let writer = self.tenure.primary(group);
        if let Some(w) = writer.filter(|_| writer != before) {
            let (first, m) = (self.part(ROOM_FIRST), &mut self.members[w]);
            (m.room, m.shunned) = (m.room.min(first), Duration::ZERO);
        }
        writer != before
    }

    /// Exception: members are asked out of turn for what a held txn waits for, a role or a proof of readers;
    /// ever less often where reports prove nothing. Meets fronts of few txns; harms tight bounds by a delay.
    fn ask(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let (Some(every), g) = (self.probe_every, &self.groups[group]) else { return false };
        let empty = self.tenure.writer(group).is_none();
        let unproven = |&(kind, _): &(usize, bool)| {
            let bounded =
                matches!(self.types[kind].consistency, Consistency::Bounded(_)) && !self.members_check;
            bounded && !g.members.iter().any(|&m| self.reads(now, m) && self.proven(now, kind, None, m))
        };
        let held = self.ranks(group);
        let among = every.mul_f64(self.standing.fronts as f64 / ASK_FRONTS);
        let rest = (every / 2).max(among.min(self.apart.div_f64(ASKS_PER_TXN)));
        let needs = empty && !held.is_empty() || held.iter().any(unproven) && !self.awaits(now, group);
        let asks = |&i: &usize| {
            let m = &self.members[i];
            let rested = m.asked.map_or(now, |at| now.max(at + rest * 2u32.pow(m.barren.min(5))));
            let due = !m.stopped && !m.probe_out && m.probe_due > rested;
            // What waits for a primary has nothing else to wake it.
            let asks = needs && due && (empty || rested == now && self.reads(now, i));
            asks.then_some((i, rested))
        };
        let asked: Vec<_> = g.members.iter().filter_map(asks).collect();
        for &(m, at) in &asked {
            self.members[m].probe_due = at;
            if at > now {
                host.set_timer(at, m as u64 * 2 + 2);
            }
        }
        asked.iter().any(|&(_, at)| at == now)
    }

    fn reads(&self, now: Duration, member: usize) -> bool {
        let m = &self.members[member];
        self.tenure.primary(m.group) != Some(member) && m.shunned <= now && !m.stopped
    }

    fn awaits(&self, now: Duration, group: usize) -> bool {
        let just = |at| now < at + REPORT_DUE;
        let out = |&i: &usize| self.members[i].probe_out && self.members[i].asked.is_some_and(just);
        self.groups[group].members.iter().any(out)
    }

    fn probe_due(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let due = self.groups[group].members.iter().copied().find(|&i| {
            let m = &self.members[i];
            self.probe_every.is_some() && m.probe_due <= now && !m.probe_out && !m.stopped
        });
        if let Some(i) = due {
            (self.members[i].probe_out, self.members[i].asked) = (true, Some(now));
            host.probe(i);
            self.due = self.due.min(now + REPORT_DUE);
            host.set_timer(now + REPORT_DUE, i as u64 * 2 + 2);
        }
        due.is_some()
    }

    /// A txn is declined at random before it is ever sent while too few are answered in time, of its type and
    /// its group. Meets overload, storms of later tries; harms where members are gone for good.
    fn throttle(&mut self, now: Duration, host: &mut impl Host) -> bool {
        let Some(txn) = self.unweighed.pop() else { return false };
        let Some(WaitingTxn { kind, group, .. }) = self.held.get(txn).copied() else { return true };
        let dearest = (0..self.types.len()).map(|kind| self.dense(kind)).fold(f64::MIN, f64::max);
        let heard = self.tallies.iter_mut().map(|t| t.in_time.sum(now)).sum::<f64>() / self.known();
        let leeway = (LEEWAY + HALF * self.dense(kind) / dearest).max(1.0) * (1.0 + (heard / HEARD).powi(2));
        let beyond = self.txn(txn).beyond;
        let (mut sound, mut share) = (1.0, 1.0);
        for tally in [&mut self.tallies[kind], &mut self.groups[group].tallies[kind]] {
            let (ended, in_time) = (tally.ended.sum(now) + PRIOR, tally.in_time.sum(now));
            sound = (in_time + PRIOR * sound) / ended;
            let shut = (SHUT * (1.0 - sound)).min(1.0);
            let declined = tally.declined.sum(now).min(DECLINED * ended);
            share = (in_time + PRIOR * share) / (ended + shut * declined);
        }
        let lot = self.rng.rand_float();
        // What its tenant has no share for goes first, by as much as it is worth less.
        let goes = if beyond { (1.0 - lot) * self.beyond_value < 1.0 - share } else { lot >= leeway * share };
        if goes {
            self.tallies[kind].declined.add(now, f64::from(!beyond));
            self.groups[group].tallies[kind].declined.add(now, f64::from(!beyond));
            self.held.remove(txn);
            self.answer(now, txn, host);
        }
        true
    }

    /// Whatever waits past hope is answered, of whichever group.
    fn give_up(&mut self, now: Duration, host: &mut impl Host) -> bool {
        let takes = |kind: usize| Duration::from_secs_f64(self.usual[kind]);
        let Some(txn) = self.held.next_expired(now, takes) else { return false };
        self.held.remove(txn);
        self.answer(now, txn, host);
        true
    }

    /// Places what can be placed: most value per work, then first tries, then newest; the rest is late. What
    /// finds no member leaves those of its kind none either.
    fn place(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let room = |&m: &usize| self.has_room(now, m, 1.0);
        if self.held.is_empty(group) || !self.groups[group].members.iter().any(room) {
            return false;
        }
        let mut placed = false;
        for (kind, retried) in self.ranks(group) {
            let alike = self.types[kind].consistency != Consistency::Session;
            let mut next = both(kind, retried).map(|rank| self.held.newest(rank, group));
            while let Some(txn) = next.iter().flatten().copied().max_by_key(|&t| (self.txn(t).arrived, t)) {
                let of = usize::from(next[0] != Some(txn));
                next[of] = self.held.older(txn);
                let sent = self.choose(now, txn).map(|member| self.submit(now, txn, member, host));
                placed |= sent == Some(true);
                if alike && (sent.is_none() || sent == Some(false) && of == 0) {
                    next[of] = None;
                }
            }
        }
        placed
    }

    /// The member for a txn: the writer for writes and fresh reads, else a random reader inside the bound.
    fn choose(&mut self, now: Duration, txn: usize) -> Option<usize> {
        let Txn { group, kind, .. } = *self.txn(txn);
        let fit = |w: &usize| self.has_room(now, *w, 1.0) && self.members[*w].shunned <= now;
        let writer = self.tenure.primary(group).filter(fit);
        match self.types[kind].consistency {
            Consistency::Write | Consistency::Fresh if self.calls(group, kind) => {
                return self.callee(now, txn);
            }
            Consistency::Write | Consistency::Fresh => {
                return writer.filter(|_| self.tenure.writer(group) == writer);
            }
            _ => {}
        }
        // A later try that is worth nothing late leaves half of the room to first tries still to come.
        let share = if self.txn(txn).retried && self.types[kind].late_value == 0.0 { HALF } else { 1.0 };
        let (mut inside, mut known, mut least_behind) = (Vec::new(), false, None);
        for i in 0..self.groups[group].members.len() {
            let m = self.groups[group].members[i];
            let fits = self.reads(now, m) && self.gate(now, txn, m);
            let room = self.has_room(now, m, share);
            if fits && (!self.members_check || self.inside(now, kind, self.txn(txn).must_see, m)) {
                known = true;
                inside.extend(room.then_some(m));
            } else if fits && room {
                least_behind = least_behind.max(Some((self.members[m].position, m)));
            }
        }
        // Exception: reads spill into half of the writer's room; one just promoted has its writes first.
        let writes = |&(kind, _): &(usize, bool)| self.types[kind].consistency == Consistency::Write;
        let busy = self.tenure.phase(group) == Phase::Settling && self.ranks(group).iter().any(writes);
        let spare = |&w: &usize| !busy && (!known || self.idles(now, group)) && self.has_room(now, w, HALF);
        let spare = writer.filter(spare);
        let bounded = matches!(self.types[kind].consistency, Consistency::Bounded(_));
        let reader = match inside.len() {
            0 if known => None,
            0 if bounded && !self.members_check && self.awaits(now, group) => return None,
            // Once: a member that turned the read away is as far behind a moment later.
            0 if self.txn(txn).fate.submissions() == 0 => least_behind.map(|(_, m)| m),
            0 => None,
            n => {
                let a = self.rng.rand_range(0..n as u64) as usize;
                let b = (a + 1 + self.rng.rand_range(0..n.max(2) as u64 - 1) as usize) % n;
                let (a, b) = (inside[a], inside[b]);
                Some(if self.cost(now, b) < self.cost(now, a) { b } else { a })
            }
        };
        match (reader, spare) {
            (Some(r), Some(w)) if WRITER_DEARER * self.cost(now, w) < self.cost(now, r) => Some(w),
            (r, w) => r.or(w),
        }
    }

    /// Exception: where no probe is allowed a write without a primary is its own, and a fresh read where members
    /// check: who is none turns it away untouched. Meets fronts that know nobody; harms by what is turned away.
    fn calls(&self, group: usize, kind: usize) -> bool {
        let own = self.types[kind].consistency == Consistency::Write || self.members_check;
        own && self.probe_every.is_none() && self.tenure.primary(group).is_none()
    }

    /// One that has not failed: whom the list names, then who said longest ago, or never, that it is a replica.
    fn callee(&mut self, now: Duration, txn: usize) -> Option<usize> {
        let mut best = None;
        for m in self.groups[self.txn(txn).group].members.clone() {
            let denied = self.tenure.replica_reported_at(m);
            let rested = denied.is_none_or(|at| at + SHUN_FIRST <= now) && self.members[m].shunned <= now;
            if rested && self.has_room(now, m, 1.0) && self.gate(now, txn, m) {
                let (sound, named) = (self.members[m].failures == 0, self.members[m].hinted);
                best = best.max(Some((sound, named, Reverse(denied), self.rng.rand_u64(), m)));
            }
        }
        best.map(|(.., m)| m)
    }

    /// What only the primary takes comes in time there.
    fn idles(&mut self, now: Duration, group: usize) -> bool {
        let (mut in_time, mut ended) = (PRIOR, PRIOR);
        for (kind, tally) in self.groups[group].tallies.iter_mut().enumerate() {
            if matches!(self.types[kind].consistency, Consistency::Write | Consistency::Fresh) {
                (in_time, ended) = (in_time + tally.in_time.sum(now), ended + tally.ended.sum(now));
            }
        }
        in_time >= IDLE * ended
    }

    /// Submissions at work there; lost ones take no room. Meets links that swallow a share of all.
    fn at_work(&self, now: Duration, member: usize) -> usize {
        let at_work = |&&t: &&usize| {
            self.txn(t).fate.in_flight().is_none_or(|o| !self.lost(now - o.sent_at, self.txn(t).kind))
        };
        self.members[member].in_hand.iter().filter(at_work).count()
    }

    fn lost(&self, out_for: Duration, kind: usize) -> bool {
        out_for.as_secs_f64() > LOST * self.usual[kind]
    }

    fn has_room(&self, now: Duration, member: usize, share: f64) -> bool {
        (self.at_work(now, member) as f64) < self.members[member].room.floor() * share
    }

    /// What a further submission would wait for; slowness is forgotten by and by: all get their trial.
    fn cost(&self, now: Duration, member: usize) -> f64 {
        let m = &self.members[member];
        let age = now.saturating_sub(m.last_answer).as_secs_f64();
        let slow = 1.0 + (m.slow - 1.0) / (1.0 + age / SLOW_FORGOTTEN.max(2 * self.apart).as_secs_f64());
        let afar = if m.zone == self.standing.zone { 1.0 } else { 1.1 };
        // After a failure a probe is its trial, not a txn, while another member will do.
        let down = if m.probe_failures > 0 { DOWN_DEARER } else { 1.0 };
        (self.at_work(now, member) + 1) as f64 * slow * afar * down
    }

    /// A former primary's proofs count from the beginning of the newest term.
    fn proof(&self, member: usize) -> Option<Duration> {
        self.members[member].position.filter(|&position| position >= self.tenure.valid_positions_from(member))
    }

    /// Whether a member's data is proven to be as new as a txn type, or a txn, needs it.
    fn proven(&self, now: Duration, kind: usize, must_see: Option<Duration>, member: usize) -> bool {
        let position = self.proof(member);
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
    fn inside(&self, now: Duration, kind: usize, must_see: Option<Duration>, member: usize) -> bool {
        let (m, still) = (&self.members[member], self.tenure.writer(self.members[member].group).is_none());
        let lag = if now > m.told_at + 2 * m.lag { Duration::ZERO } else { m.lag };
        let at = if still { m.position.unwrap_or(now) } else { now.saturating_sub(lag) };
        match self.types[kind].consistency {
            Consistency::Bounded(bound) => at + bound > now,
            Consistency::Session => must_see.is_none_or(|need| at >= need),
            _ => self.proven(now, kind, must_see, member),
        }
    }

    /// Every rule on sends, each in its place; no send passes by.
    fn gate(&mut self, now: Duration, txn: usize, member: usize) -> bool {
        let t = self.txn(txn);
        let kind = self.types[t.kind];
        // Rule 2: one submission at a time, no more than allowed, and no second effect.
        let once = t.fate.blocked_at(now, self.max_submissions, self.place_at(member)).is_none();
        // Rule 3: nothing new once the list says draining or gone; the grace is not used.
        let stays = self.members[member].group == t.group && !self.members[member].stopped;
        // Rule 5: proof, or the writer; an answer or a report as a replica empties that slot.
        let current = kind.consistency == Consistency::Write
            || self.tenure.trusted(member)
            || self.members_check
            || self.proven(now, t.kind, t.must_see, member);
        // Rule 1: nothing for a txn that has its answer, whose client has left, or whose time is up.
        let open = !t.over && now < t.expiry;
        open && once && stays && current && self.within_cold_budget(now, member, t.kind)
    }

    /// Rule 4. Each front sends a cold member a part of what the same front gets done on a warm one, by lot. One
    /// that refused probes had no process: it is back cold, before late lists say so. Harms what comes back warm.
    fn within_cold_budget(&mut self, now: Duration, member: usize, kind: usize) -> bool {
        let (warm_up, cold) = (self.cold.warm_up, |m: &Member, up| m.cold_for(now, up));
        let left = cold(&self.members[member], warm_up);
        if left.is_zero() {
            return true;
        }
        let warm = self.members.iter_mut().filter(|m| cold(m, warm_up).is_zero() && !m.stopped);
        let done: Vec<f64> = warm.map(|m| m.done.sum(now)).collect();
        if !done.is_empty() {
            self.warm_work = done.iter().sum::<f64>() / done.len() as f64;
        }
        let missing = left.as_secs_f64() / self.cold.warm_up.as_secs_f64().max(1e-9);
        let share = 1.0 - (1.0 - self.cold.share) * missing.min(1.0);
        let budget = self.cold.multiple * COLD_PART * share * self.warm_work;
        let m = &mut self.members[member];
        if m.lot_until <= now {
            (m.lot, m.lot_until) = (self.rng.rand_float(), now + self.cold.window);
        }
        m.sent.sum(now) + self.typical[kind] * m.lot <= budget
    }

    fn submit(&mut self, now: Duration, txn: usize, member: usize, host: &mut impl Host) -> bool {
        if !self.gate(now, txn, member) {
            return false;
        }
        let (work, place) = (self.typical[self.txn(txn).kind], self.place_at(member));
        self.txn_mut(txn).fate.sent(now, place);
        self.held.remove(txn);
        let m = &mut self.members[member];
        m.in_hand.push(txn);
        m.sent.add(now, work);
        host.send(txn, member, self.valid_until(txn));
        true
    }

    /// Rules 1, 2, 3 and 5 again: until when a submission that waits for a connection may be written. A write
    /// whose primary has lost the slot meanwhile, or hands over, waits for the next one.
    pub fn valid_until(&self, txn: usize) -> Duration {
        let Some(Some(t)) = self.txns.get(txn) else { return Duration::ZERO };
        let Some(out) = t.fate.in_flight().filter(|_| !t.over) else { return Duration::ZERO };
        let (member, m) = (out.target.member, &self.members[out.target.member]);
        let last = t.fate.window_end().map_or(t.expiry, |ends| ends.min(t.expiry));
        let excused = self.members_check || self.tenure.trusted(member);
        let led = self.tenure.held_term(member) > 0 && !self.calls(m.group, t.kind);
        match self.types[t.kind].consistency {
            _ if m.stopped => Duration::ZERO,
            _ if !excused && t.must_see.is_some_and(|need| self.proof(member) < Some(need)) => Duration::ZERO,
            Consistency::Write if led && self.tenure.writer(m.group) != Some(member) => Duration::ZERO,
            Consistency::Bounded(b) if !excused => {
                self.proof(member).map_or(Duration::ZERO, |p| last.min(p + b))
            }
            _ => last,
        }
    }
}

fn shun_for(times: u32) -> Duration {
    (SHUN_FIRST * 2u32.pow(times.min(8))).min(SHUN_LONGEST)
}
