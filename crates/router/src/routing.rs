//! All decisions of the router. The host (interface: [`crate::host`]) calls one method per input; each notes
//! the facts, then the ordered rules in `settle` run over the groups touched until none fires. Sends leave
//! through `submit` alone, and only if `gate` lets them pass.

use crate::host::Ending::{Invalid, Misplaced, Moot, Spoilt, Unreachable};
use crate::host::{ColdStart, Effect, Ending, Host, Level, Listed, Report, Role, Scope, Standing, TxnType};
use crate::ring::Ring;
pub use crate::state::Router;
use crate::state::{Member, Submission, Tally, Txn};
use oorandom::Rand64;
use std::time::Duration;

/// Probes of a member within the tightest bound: measured from the design's start value of 4 downwards.
const PROBES_PER_BOUND: u32 = 2;
/// Polls stay under this share of a front's first submissions; what it needs to know beyond that it asks for.
const POLLS_PER_TXN: f64 = 0.5;
/// The writer is polled so many times less often: its answers tell as much.
const WRITER_SELDOM: u32 = 4;
/// A read waits so long for a report that may prove a reader.
const REPORT_AWAITED: Duration = Duration::from_millis(40);
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
/// Declined txns count in full in the throttle when one in so many answers is late, else less.
const SHUT: f64 = 8.0;
/// The throttle counts so many answers beforehand: of a type as in time, of a group as its type.
const PRIOR: f64 = 2.0;
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
/// A txn type is long if its typical answer time is this multiple of the shortest.
const LONG: f64 = 4.0;
/// What no member has had is given up after this share of its time: its client can still try elsewhere.
const UNTAKEN: f64 = 0.45;
/// Part of a cold member's budget that is used; the rest is for chance, probes and handshakes.
const COLD_PART: f64 = 0.4;

impl Router {
    pub fn new(seed: u64, standing: Standing, types: Vec<TxnType>, cold: ColdStart) -> Self {
        let tightest = types.iter().filter_map(|t| match t.level {
            Level::Bounded(bound) => Some(bound / PROBES_PER_BOUND),
            _ => None,
        });
        let every = tightest.min().unwrap_or(SHUN_FIRST);
        let mut router = Router::blank(Rand64::new(seed as u128), standing, types, cold);
        router.probe_every = Some(every);
        // Guesses until answers tell: the fastest come first, a start from those would be far too low.
        router.typical = router.types.iter().map(|t| t.sla.as_secs_f64() / 4.0).collect();
        router.usual = router.types.iter().map(|t| t.sla.as_secs_f64() / 2.0).collect();
        (router.first, router.again) = (Ring::new(RESEND_SPAN, 10), Ring::new(RESEND_SPAN, 10));
        router.tallies = vec![Tally::new(RESEND_SPAN / 2); router.types.len()];
        router.blank = Tally::new(RESEND_SPAN);
        router
    }

    /// The list has to be asked for, at the start or again; not at once, lest all ask together.
    pub fn list_lost(&mut self, now: Duration, host: &mut impl Host) {
        host.remind(now + SHUN_FIRST.mul_f64(self.rng.rand_float()), ASK_FOR_LIST);
    }

    pub fn listed(
        &mut self,
        now: Duration,
        member: usize,
        group: usize,
        zone: usize,
        state: Listed,
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
        }
        let warm_at = up_for.map_or(m.warm_at, |up| (now + self.cold.warm_up).saturating_sub(up));
        // Only a later start ends a drain: a list may be wrong, or an old one may come again.
        m.drains = state == Listed::Draining || m.drains && warm_at <= m.warm_at;
        m.gone_at = m.gone_at.or(Some(now)).filter(|_| state == Listed::Removed);
        m.stopped = m.drains || state == Listed::Removed && !self.gone_is_advice;
        m.warm_at = warm_at;
        m.hinted = primary && !m.stopped;
        if m.hinted {
            // A hint only: whoever it names is asked at once, and believed only where members tell no roles.
            m.probe_due = now;
            if self.probe_every.is_none() && m.primary_at.is_none() {
                m.primary_at = Some(now);
            }
        }
        self.touch(group);
    }

    /// All entries are in; of a full list, members that it does not name are gone. A gone one is forgotten
    /// once no old list will name it again, nothing is out to it, and it is of no use.
    pub fn list_ended(&mut self, now: Duration, named: Option<&[usize]>, host: &mut impl Host) {
        for i in 0..self.members.len() {
            let m = &mut self.members[i];
            if named.is_some_and(|named| !named.contains(&i)) {
                m.stopped |= !self.gone_is_advice || m.drains;
                m.gone_at = m.gone_at.or(Some(now));
            }
            let useless = m.in_hand.is_empty() && !m.probe_out && (m.stopped || m.probe_failures > 0);
            let old = m.listed && m.gone_at.is_some_and(|at| at + FORGOTTEN <= now);
            self.touch(self.members[i].group);
            if old && useless {
                self.drop_member(i, Member::new(now, self.part(ROOM_FIRST), self.cold.window), host);
            }
        }
        self.settle(now, [], host);
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
        session: Option<u64>,
        wrote_ago: Option<Duration>,
        host: &mut impl Host,
    ) {
        self.make_place(group, txn);
        let must_see = match self.types[kind].level {
            Level::Fresh => Some(now),
            Level::Session => match (wrote_ago, session) {
                (Some(ago), _) => Some(now.saturating_sub(ago)).filter(|_| !ago.is_zero()),
                (None, Some(key)) => self.sessions.get(&key).copied(),
                (None, None) => Some(now),
            },
            _ => None,
        };
        self.txns[txn] = Some(Txn::new(kind, group, now, retried, now + left, must_see, session));
        self.groups[group].held.push(txn);
        self.first.add(now, 1.0);
        self.settle(now, [group], host);
        self.remind_held(txn, host);
    }

    /// A submission has ended. `over`: the client has its final answer.
    pub fn submission_ended(
        &mut self,
        now: Duration,
        txn: usize,
        over: bool,
        member: usize,
        ending: Ending,
        role: Option<Role>,
        position: Option<Duration>,
        took: Duration,
        host: &mut impl Host,
    ) {
        self.wake(now);
        let Some(Some(t)) = self.txns.get_mut(txn) else { return };
        let out = t.out.take();
        let slept = out.as_ref().is_some_and(|out| out.at < self.awake);
        let answered_since = out.as_ref().is_some_and(|out| out.at < self.members[member].last_answer);
        let left = t.over;
        t.over |= over;
        let (kind, group, session, called_off) =
            (t.kind, t.group, t.session, std::mem::take(&mut t.called_off));
        if let Some(out) = out.filter(|_| !ending.never_ran() && t.may_have_run.is_none()) {
            t.may_have_run = Some((out.at, self.members[out.member].zone));
        }
        self.members[member].in_hand.retain(|&held| held != txn);
        if !matches!(ending, Ending::TimedOut | Ending::Cancelled | Moot | Unreachable) {
            self.members[member].last_answer = now;
        }
        self.heard(now, member, role, position, true);
        self.told_positions |= role == Some(Role::Replica) && position.is_some();
        if ending == Ending::Committed
            && self.types[kind].level == Level::Write
            && let (Some(key), Some(at)) = (session, position)
            && self.types.iter().any(|t| t.level == Level::Session)
        {
            self.sessions.entry(key).and_modify(|newest| *newest = at.max(*newest)).or_insert(at);
        }
        let lost = ending != Ending::Committed && (called_off || self.lost(took, kind)) && answered_since;
        if !slept && !lost {
            self.judge(now, member, kind, ending, took);
        }
        if !slept && !matches!(ending, Unreachable | Moot | Misplaced | Invalid | Spoilt) {
            let TxnType { sla, level, .. } = self.types[kind];
            let in_time = ending == Ending::Committed && !left && took <= sla.mul_f64(IN_TIME);
            let write = usize::from(level == Level::Write);
            for tally in [&mut self.tallies[kind], &mut self.groups[group].tallies[write]] {
                tally.ended.add(now, 1.0);
                tally.in_time.add(now, f64::from(in_time));
            }
        }
        if self.txn(txn).over {
            self.forget(txn, host);
        } else {
            self.go_on(now, txn, ending, host);
        }
        self.settle(now, [group], host);
    }

    pub fn client_left(&mut self, now: Duration, txn: usize, host: &mut impl Host) {
        let Some(Some(t)) = self.txns.get_mut(txn) else { return };
        t.over = true;
        let group = t.group;
        self.settle(now, [group], host);
    }

    pub fn probed(&mut self, now: Duration, member: usize, end: Ending, told: Report, host: &mut impl Host) {
        let m = &mut self.members[member];
        m.probe_out = false;
        if end == Ending::Committed {
            m.probe_failures = 0;
            let slack = self.probe_every.unwrap_or_default() * PROBES_PER_BOUND;
            m.barren = if told.position.is_some_and(|p| p + slack > now) { 0 } else { m.barren + 1 };
            let hint = Some(Role::Primary).filter(|_| m.hinted && m.primary_at.is_none());
            self.heard(now, member, told.role.or(hint), told.position, false);
        } else if !matches!(end, Ending::Full | Spoilt) {
            m.probe_failures += 1;
        }
        self.plan_probe(now, member, host);
        self.settle(now, [self.members[member].group], host);
    }

    pub fn reminder_due(&mut self, now: Duration, handle: u64, host: &mut impl Host) {
        let at = (handle / 2) as usize;
        if handle == ASK_FOR_LIST {
            host.listen();
        } else if handle.is_multiple_of(2) {
            self.settle(now, [self.members[at - 1].group], host);
        } else if let Some(Some(t)) = self.txns.get(at) {
            self.settle(now, [t.group], host);
            self.remind_held(at, host);
        }
    }

    /// A reminder long overdue shows that this front itself stood still: the silence was its own.
    fn wake(&mut self, now: Duration) {
        if self.due <= now {
            self.awake = if now - self.due > SHUN_FIRST { now } else { self.awake };
            self.due = Duration::MAX;
        }
    }

    fn remind_held(&self, txn: usize, host: &mut impl Host) {
        if let Some(Some(t)) = self.txns.get(txn).filter(|t| t.as_ref().is_some_and(|t| t.held)) {
            host.remind(self.hope(t), txn as u64 * 2 + 1);
        }
    }

    /// Records a claim of role: an answer's is as new as now, a report's at least as its position.
    fn heard(&mut self, now: Duration, m: usize, role: Option<Role>, at: Option<Duration>, answer: bool) {
        let m = &mut self.members[m];
        m.position = m.position.max(at);
        let date = at.filter(|_| !answer).or(Some(now));
        match role {
            Some(Role::Primary) => m.primary_at = m.primary_at.max(date),
            Some(Role::Replica) => m.replica_at = m.replica_at.max(date),
            None => {}
        }
    }

    fn judge(&mut self, now: Duration, member: usize, kind: usize, ending: Ending, took: Duration) {
        let (sla, work, secs) = (self.types[kind].sla.as_secs_f64(), self.typical[kind], took.as_secs_f64());
        let usual = &mut self.usual[kind];
        if ending == Ending::Committed || !ending.never_ran() && secs > *usual {
            *usual += 0.02 * (secs - *usual);
        }
        let usual = Duration::from_secs_f64(*usual);
        let (least, m) = (self.part(ROOM_LEAST), &mut self.members[member]);
        // A quick error must not look like low load: it counts as an answer at the SLA time.
        let errored = matches!(ending, Ending::Errored | Ending::Dropped);
        let counted = if errored { secs.max(sla) } else { secs };
        if errored || matches!(ending, Ending::Committed | Ending::TimedOut | Ending::Cancelled) {
            m.slow += 0.2 * (counted / work - m.slow);
            if m.slow * work > STRAIN * sla {
                if now > m.last_cut + usual {
                    (m.room, m.last_cut) = ((m.room * 0.9).max(least), now);
                }
            } else if ending == Ending::Committed {
                m.room += 1.0 / m.room;
            }
        }
        match ending {
            Ending::Committed => {
                (m.failures, m.fulls, m.probe_failures) = (0, 0, 0);
                m.shunned = Duration::ZERO;
                m.done.add(now, work);
                m.passed_by = m.passed_by.max(now.saturating_sub(took));
                let typical = &mut self.typical[kind];
                // Falls fast and rises slowly: what an answer takes where nothing waits.
                *typical += if secs < *typical { 0.05 } else { 0.01 } * (secs - *typical);
            }
            // Turned away at once, it looks idle: left alone for longer each time, also as the writer.
            Ending::Full => {
                m.room = (m.room * 0.7).max(least);
                m.fulls = (m.fulls + 1).min(8);
                m.shunned = m.shunned.max(now + SHUN_FIRST / 8 * 2u32.pow(m.fulls.min(4)));
            }
            // Connections end now and then: its member is asked, and shunned if it was not the only one.
            Ending::Dropped if m.failures == 0 => {
                (m.failures, m.unsure, m.probe_failures, m.probe_due) = (1, Some(now), 1, now);
                return;
            }
            Unreachable | Ending::Dropped => {
                let shunned = now + shun_for(m.failures);
                (m.shunned, m.probe_failures, m.probe_due) = (shunned, m.probe_failures.max(1), now);
                m.failures += 1;
            }
            // A time-out is the client's end of patience, an error weighs as a late answer: neither shuns.
            _ => {}
        }
        // A failed submission to the writer empties the slot; only a claim made after this fills it again.
        let astray = ending == Misplaced && self.types[kind].level == Level::Write;
        if astray || matches!(ending, Unreachable | Ending::Dropped) {
            self.doubt(now, member);
        }
    }

    fn part(&self, room: f64) -> f64 {
        (room * (ROOM_FRONTS / self.standing.fronts.max(1) as f64).min(1.0)).max(1.0)
    }

    /// Empties the writer slot if this member holds it, and starts a probe round.
    fn doubt(&mut self, now: Duration, member: usize) {
        let group = self.members[member].group;
        if self.groups[group].writer == Some(member) {
            self.members[member].doubted = Some(now);
            for &m in &self.groups[group].members {
                self.members[m].probe_due = self.members[m].probe_due.min(now);
            }
        }
    }

    fn go_on(&mut self, now: Duration, txn: usize, ending: Ending, host: &mut impl Host) {
        let barred = !self.may_run_again(now, self.txn(txn));
        let spent = self.again.sum(now) >= 1.0 + RESEND_SHARE * self.first.sum(now);
        if barred || spent && !ending.never_ran() || now >= self.hope(self.txn(txn)) {
            self.answer(txn, host);
        } else {
            if !ending.never_ran() {
                self.again.add(now, 1.0);
            }
            let group = self.txn(txn).group;
            self.txn_mut(txn).held = true;
            self.groups[group].held.push(txn);
            self.remind_held(txn, host);
        }
    }

    fn hope(&self, t: &Txn) -> Duration {
        let (kind, work) = (self.types[t.kind], Duration::from_secs_f64(self.usual[t.kind]));
        let worthless = if kind.late_value > 0.0 { t.expiry } else { t.expiry.min(t.arrived + kind.sla) };
        let share = if t.may_have_run.is_none() { UNTAKEN } else { 1.0 };
        let last = t.arrived + (t.expiry - t.arrived).mul_f64(share);
        worthless.saturating_sub(work).min(last).max(t.arrived)
    }

    /// Declines a txn where that is allowed, else rolls it back. At once: nothing is gained by waiting.
    fn answer(&mut self, txn: usize, host: &mut impl Host) {
        let t = self.txn(txn);
        let kind = self.types[t.kind];
        let harmless = match kind.effect {
            Effect::Repeatable => true,
            Effect::Referenced { scope, .. } => t.may_have_run.is_none() || scope == Scope::Everywhere,
            Effect::OnceOnly => t.may_have_run.is_none(),
        };
        if harmless {
            host.decline(txn, self.come_back_most.map(|most| most.min(kind.sla / 2)));
        } else {
            host.roll_back(txn);
        }
        self.txn_mut(txn).over = true;
        self.forget(txn, host);
    }

    fn plan_probe(&mut self, now: Duration, member: usize, host: &mut impl Host) {
        let Some(every) = self.probe_every else { return };
        let rate = self.first.sum(now) / now.min(RESEND_SPAN).as_secs_f64().max(1e-3);
        self.apart = Duration::from_secs_f64(self.known() / rate.max(1.0));
        let poll = self.apart.div_f64(POLLS_PER_TXN);
        let g = &self.groups[self.members[member].group];
        let pause = match self.members[member].probe_failures {
            0 if g.writer.is_none() && !g.held.is_empty() => every / 2,
            0 if g.writer == Some(member) => poll.max(every) * WRITER_SELDOM,
            0 => poll.max(every),
            n => every * 2u32.pow(n.min(5)),
        };
        self.members[member].probe_due = now + pause;
        self.due = self.due.min(now + pause);
        host.remind(now + pause, member as u64 * 2 + 2);
    }

    fn settle(&mut self, now: Duration, of: impl IntoIterator<Item = usize>, host: &mut impl Host) {
        of.into_iter().for_each(|group| self.touch(group));
        self.wake(now);
        while let Some(group) = self.touched.pop() {
            self.groups[group].touched = false;
            while self.hush(now, group, host)
                || self.fill_slot(group)
                || self.throttle(now, group, host)
                || self.ask(now, group)
                || self.probe_due(now, group, host)
                || self.give_up(now, group, host)
                || self.place(now, group, host)
            {}
        }
    }

    /// A member that answers nothing for some answer times is shunned. What is out there, or for as long and
    /// passed by later answers, is called off. Meets hangs, lost answers; harms when one answers in bursts.
    fn hush(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let (mut fired, mut off) = (false, Vec::new());
        let spare = HALF * RESEND_SHARE * self.first.sum(now) > self.again.sum(now);
        for i in 0..self.groups[group].members.len() {
            let member = self.groups[group].members[i];
            let m = &self.members[member];
            let sent = m.in_hand.iter().filter_map(|&t| self.txn(t).out.as_ref()).map(|o| o.at).min();
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
                let out = t.out.as_ref().map_or(now, |out| out.at.max(self.awake));
                let passed = spare && out < self.members[member].passed_by && now < self.hope(t);
                let out_for = (now - out).as_secs_f64() / self.usual[t.kind];
                let again = match self.types[t.kind].effect {
                    Effect::Repeatable => silent || passed && out_for > SILENCE,
                    Effect::Referenced { window, .. } => passed && out_for > LOST && now < t.arrived + window,
                    Effect::OnceOnly => false,
                };
                self.may_cancel && again && !t.over && !t.called_off
            }));
        }
        for &txn in &off {
            self.txn_mut(txn).called_off = true;
            host.cancel(txn, self.txn(txn).submissions - 1);
        }
        fired || !off.is_empty()
    }

    /// The newest dated claim takes the writer slot; ties go to the highest index. No claim empties it.
    fn fill_slot(&mut self, group: usize) -> bool {
        let claims = self.groups[group].members.iter().filter_map(|&i| {
            let m = &self.members[i];
            let date = m.primary_at?;
            let stands = Some(date) > m.replica_at && Some(date) > m.doubted && !m.stopped;
            stands.then_some((date, i))
        });
        let writer = claims.max().map(|(_, i)| i);
        let changed = std::mem::replace(&mut self.groups[group].writer, writer) != writer;
        if let Some(w) = writer.filter(|_| changed) {
            let (first, m) = (self.part(ROOM_FIRST), &mut self.members[w]);
            (m.room, m.shunned) = (m.room.min(first), Duration::ZERO);
        }
        changed
    }

    /// Exception: members are asked out of turn for what a held txn waits for, a role or a proof of readers;
    /// ever less often where reports prove nothing. Meets fronts of few txns; harms tight bounds by a delay.
    fn ask(&mut self, now: Duration, group: usize) -> bool {
        let (Some(every), g) = (self.probe_every, &self.groups[group]) else { return false };
        let empty = g.writer.is_none();
        let unproven = |&t: &usize| {
            let bounded = matches!(self.types[self.txn(t).kind].level, Level::Bounded(_));
            bounded && !g.members.iter().any(|&m| self.reads(now, m) && self.proven(now, t, m))
        };
        let needs = empty && !g.held.is_empty() || g.held.iter().any(unproven) && !self.awaits(now, group);
        let asks = |&i: &usize| {
            let m = &self.members[i];
            let rest = every / 2 * 2u32.pow(m.barren.min(5));
            let due = !m.stopped && !m.probe_out && m.probe_due > now;
            needs && due && m.asked.is_none_or(|at| at + rest <= now) && (empty || self.reads(now, i))
        };
        let asked: Vec<usize> = g.members.iter().copied().filter(asks).collect();
        asked.iter().for_each(|&m| self.members[m].probe_due = now);
        !asked.is_empty()
    }

    fn reads(&self, now: Duration, member: usize) -> bool {
        let m = &self.members[member];
        self.groups[m.group].writer != Some(member) && m.shunned <= now && !m.stopped
    }

    fn awaits(&self, now: Duration, group: usize) -> bool {
        let just = |at| now < at + REPORT_AWAITED;
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
            self.due = self.due.min(now + REPORT_AWAITED);
            host.remind(now + REPORT_AWAITED, i as u64 * 2 + 2);
        }
        due.is_some()
    }

    /// A txn is declined at random before it is ever sent while too few are answered in time, of its type and
    /// its group. Meets overload, storms of later tries; harms where members are gone for good.
    fn throttle(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let unweighed = |&&t: &&usize| !self.txn(t).weighed;
        let Some(&txn) = self.groups[group].held.iter().find(unweighed) else { return false };
        self.txn_mut(txn).weighed = true;
        let kind = self.txn(txn).kind;
        let dense: Vec<f64> = self.types.iter().zip(&self.typical).map(|(t, work)| t.value / work).collect();
        let heard = self.tallies.iter_mut().map(|t| t.in_time.sum(now)).sum::<f64>() / self.known();
        let dearer = dense[kind] / dense.iter().copied().fold(f64::MIN, f64::max);
        let leeway = (LEEWAY + HALF * dearer).max(1.0) * (1.0 + (heard / HEARD).powi(2));
        let (mut sound, mut share) = (1.0, 1.0);
        let write = usize::from(self.types[kind].level == Level::Write);
        for tally in [&mut self.tallies[kind], &mut self.groups[group].tallies[write]] {
            let (ended, in_time) = (tally.ended.sum(now) + PRIOR, tally.in_time.sum(now));
            sound = (in_time + PRIOR * sound) / ended;
            // What was declined counts while answers are late; once they are in time the throttle opens.
            let shut = (SHUT * (1.0 - sound)).min(1.0);
            share = (in_time + PRIOR * share) / (ended + shut * tally.declined.sum(now));
        }
        if self.rng.rand_float() >= leeway * share {
            self.tallies[kind].declined.add(now, 1.0);
            self.groups[group].tallies[write].declined.add(now, 1.0);
            self.groups[group].held.retain(|&held| held != txn);
            self.answer(txn, host);
        }
        true
    }

    fn give_up(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        let mut held = std::mem::take(&mut self.groups[group].held);
        let before = held.len();
        held.retain(|&txn| {
            let t = self.txn(txn);
            // At arrival all may be placed: answer times of a bad time are unlearnt only by sending.
            let hopeful = now < self.hope(t) || now == t.arrived;
            let keep = self.open(now, t) && self.may_run_again(now, t) && hopeful;
            if t.over {
                self.forget(txn, host);
            } else if !keep {
                self.answer(txn, host);
            }
            keep
        });
        self.groups[group].held = held;
        self.groups[group].held.len() < before
    }

    /// Places what can be placed: most value per work, then first tries, then newest; the rest is late.
    fn place(&mut self, now: Duration, group: usize, host: &mut impl Host) -> bool {
        if !self.groups[group].members.iter().any(|&m| self.has_room(now, m, 1.0)) {
            return false;
        }
        let mut held = std::mem::take(&mut self.groups[group].held);
        held.sort_by(|&a, &b| {
            let (a, b) = (self.txn(a), self.txn(b));
            let worth = |t: &Txn| self.types[t.kind].value / self.typical[t.kind];
            worth(b).total_cmp(&worth(a)).then(a.retried.cmp(&b.retried)).then(b.arrived.cmp(&a.arrived))
        });
        let before = held.len();
        held.retain(|&txn| match self.choose(now, txn) {
            Some(member) => !self.submit(now, txn, member, host),
            None => true,
        });
        self.groups[group].held = held;
        self.groups[group].held.len() < before
    }

    /// The member for a txn: the writer for writes and fresh reads, else a random reader inside the bound.
    fn choose(&mut self, now: Duration, txn: usize) -> Option<usize> {
        let Txn { group, kind, .. } = *self.txn(txn);
        let fit = |w: &usize| self.has_room(now, *w, 1.0) && self.members[*w].shunned <= now;
        let writer = self.groups[group].writer.filter(fit);
        if matches!(self.types[kind].level, Level::Write | Level::Fresh) {
            // Exception: where reports come late a write calls first at a reader unheard of, for a proof.
            let bound = self.probe_every.unwrap_or_default() * PROBES_PER_BOUND;
            let late = writer.is_some_and(|w| self.members[w].barren > 0) && self.told_positions;
            let calls = late && self.types[kind].level == Level::Write && self.txn(txn).submissions == 0;
            let unheard = self.groups[group].members.iter().copied().filter(|_| calls).find(|&i| {
                let m = &self.members[i];
                let unheard = m.in_hand.is_empty() && m.last_answer + bound < now;
                unheard && m.probe_failures == 0 && self.reads(now, i)
            });
            return unheard.or(writer);
        }
        // A later try that is worth nothing late leaves half of the room to first tries still to come.
        let share = if self.txn(txn).retried && self.types[kind].late_value == 0.0 { HALF } else { 1.0 };
        let (mut inside, mut known, mut least_behind) = (Vec::new(), false, None);
        for i in 0..self.groups[group].members.len() {
            let m = self.groups[group].members[i];
            // Where members check reads the gate lets all pass; the design still wants them inside the bound.
            let fits = self.reads(now, m) && self.gate(now, txn, m);
            let room = self.has_room(now, m, share);
            if fits && (!self.members_check || self.proven(now, txn, m)) {
                known = true;
                inside.extend(room.then_some(m));
            } else if fits && room {
                least_behind = least_behind.max(Some((self.members[m].position, m)));
            }
        }
        // Exception: reads spill into half of the writer's room while the reader drawn costs twice as much.
        let spare = writer.filter(|&w| self.has_room(now, w, HALF));
        let shortest = self.typical.iter().copied().fold(f64::MAX, f64::min);
        let bounded = matches!(self.types[kind].level, Level::Bounded(_));
        let reader = match inside.len() {
            0 if known => None,
            0 if bounded && self.awaits(now, group) => return None,
            // Once: a member that turned the read away is as far behind a moment later.
            0 if self.txn(txn).submissions == 0 => least_behind.map(|(_, m)| m),
            0 => None,
            // A long loose read goes where a bounded read is least at home: it may stall log apply there.
            _ if self.types[kind].level == Level::Loose && self.typical[kind] > LONG * shortest => {
                inside.iter().copied().min_by_key(|&m| (self.members[m].position, m))
            }
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

    /// Submissions at work there; lost ones take no room. Meets links that swallow a share of all.
    fn at_work(&self, now: Duration, member: usize) -> usize {
        let at_work =
            |&&t: &&usize| self.txn(t).out.as_ref().is_none_or(|o| !self.lost(now - o.at, self.txn(t).kind));
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

    fn proven(&self, now: Duration, txn: usize, member: usize) -> bool {
        let t = self.txn(txn);
        let position = self.members[member].position;
        match self.types[t.kind].level {
            Level::Write => false,
            Level::Loose => true,
            Level::Bounded(bound) => position.is_some_and(|p| p + bound >= now + Duration::from_millis(1)),
            Level::Fresh | Level::Session => t.must_see.is_none_or(|need| position >= Some(need)),
        }
    }

    /// In the writer slot, by a claim made after any break of a connection to it.
    fn is_writer(&self, member: usize) -> bool {
        let m = &self.members[member];
        self.groups[m.group].writer == Some(member) && m.primary_at > m.unsure
    }

    /// Rule 1: nothing for a txn that has its answer, whose client has left, or whose time is up.
    fn open(&self, now: Duration, t: &Txn) -> bool {
        !t.over && now < t.expiry
    }

    /// Rule 2: one submission at a time, no more than allowed, and no second effect.
    fn may_run_again(&self, now: Duration, t: &Txn) -> bool {
        let in_turn = t.out.is_none() && t.submissions < self.max_submissions;
        match (self.types[t.kind].effect, t.may_have_run) {
            _ if !in_turn => false,
            (Effect::Repeatable, _) | (_, None) => true,
            (Effect::OnceOnly, Some(_)) => false,
            (Effect::Referenced { window, .. }, Some((at, _))) => now < at + window,
        }
    }

    /// Every rule on sends, each in its place; no send passes by.
    fn gate(&mut self, now: Duration, txn: usize, member: usize) -> bool {
        let t = self.txn(txn);
        let kind = self.types[t.kind];
        let zoned = match (kind.effect, t.may_have_run) {
            (Effect::Referenced { scope: Scope::Zone, .. }, Some((_, z))) => self.members[member].zone == z,
            _ => true,
        };
        let once = zoned && self.may_run_again(now, t);
        // Rule 3: nothing new once the list says draining or gone; the grace is not used.
        let stays = self.members[member].group == t.group && !self.members[member].stopped;
        // Rule 5: proof, or the writer; an answer or a report as a replica empties that slot.
        let current = kind.level == Level::Write
            || self.is_writer(member)
            || self.members_check
            || self.proven(now, txn, member);
        self.open(now, t) && once && stays && current && self.within_cold_budget(now, member, t.kind)
    }

    /// Rule 4. Each front sends a cold member a part of what the same front gets done on a warm one, by lot.
    fn within_cold_budget(&mut self, now: Duration, member: usize, kind: usize) -> bool {
        let left = self.members[member].warm_at.saturating_sub(now);
        if left.is_zero() {
            return true;
        }
        let warm = self.members.iter_mut().filter(|m| m.warm_at <= now && !m.stopped);
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
        let work = self.typical[self.txn(txn).kind];
        let t = self.txn_mut(txn);
        (t.out, t.held) = (Some(Submission { member, at: now }), false);
        t.submissions += 1;
        let m = &mut self.members[member];
        m.in_hand.push(txn);
        m.sent.add(now, work);
        host.send(txn, member, self.holds_until(txn));
        true
    }

    /// Rules 1, 3 and 5 again: until when a submission that waits for a connection may be written.
    pub fn holds_until(&self, txn: usize) -> Duration {
        let Some(Some(t)) = self.txns.get(txn) else { return Duration::ZERO };
        let Some(out) = t.out.as_ref().filter(|_| !t.over) else { return Duration::ZERO };
        let m = &self.members[out.member];
        let excused = self.members_check || self.is_writer(out.member);
        match self.types[t.kind].level {
            _ if m.stopped => Duration::ZERO,
            Level::Bounded(most) if !excused => m.position.map_or(Duration::ZERO, |p| t.expiry.min(p + most)),
            _ => t.expiry,
        }
    }
}

fn shun_for(times: u32) -> Duration {
    (SHUN_FIRST * 2u32.pow(times.min(8))).min(SHUN_LONGEST)
}
