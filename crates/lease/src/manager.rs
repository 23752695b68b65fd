//! One front's whole part in leasing: the grants it gives, the leases it claims, the effects it admits.

use crate::claim::Claim;
use crate::fence::Fence;
use crate::grants::{Answer, Grants, Holder};
use crate::messages::{MessageBatch, kind};
use crate::placement::{preferred_owner, preferred_owners};
use crate::{TaskId, majority};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Renewal requests per lease duration.
const RENEWALS_PER_LEASE: u32 = 4;
/// How often per lease duration the manager checks its tasks.
const CHECKS_PER_LEASE: u32 = 16;
/// Beyond a majority, 1 in this many fronts of the cluster is also asked, so that some messages may be lost.
const SPARE_DIVISOR: usize = 10;

/// What a front sees of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// The fronts that are present, this one included, in ascending order.
    pub present: &'a [usize],
    /// This front hears a majority, is not slow and is not leaving; otherwise it holds no lease.
    pub eligible: bool,
}

/// A change of a lease, for the log and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// This front owns a task under a term from now on.
    Acquired(TaskId, u64),
    /// This front has released the lease.
    Released(TaskId, u64),
    /// The lease expired before it was renewed.
    Expired(TaskId, u64),
    /// An effect of an older term was refused; the last field is its sender.
    StaleEffect(TaskId, u64, usize),
}

/// What the manager needs from its driver.
pub trait Host {
    fn send(&mut self, to: usize, body: &[u8]);
    fn event(&mut self, event: Event);
    /// An effect of a task's owner, which has passed the fence.
    fn effect(&mut self, from: usize, task: TaskId, term: u64, payload: &[u8]);
    /// A message to this front as the owner of a task.
    fn report(&mut self, from: usize, task: TaskId, term: u64, payload: &[u8]);
    /// An announcement, which needs no owner and is not fenced.
    fn announcement(&mut self, from: usize, task: TaskId, payload: &[u8]);
}

/// The state of one task's lease, as this front knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskStatus {
    pub task: TaskId,
    pub term: u64,
    pub owner: Option<usize>,
    /// Expiry by the front's own clock; none where only effects of the owner were received.
    pub until: Option<Duration>,
    pub owned_here: bool,
    /// Effects that this front has sent, or carried out for others.
    pub effects: u64,
    pub refused: u64,
}

/// A set of fleet tasks.
pub type TaskSet = BTreeSet<TaskId>;

#[derive(Debug)]
struct ClaimState {
    claim: Claim,
    /// When the next request is due.
    next_request: Duration,
    /// Since when another front has been the preferred owner.
    better_owner_since: Option<Duration>,
    /// The next round goes to all present fronts: too few have granted the last one.
    ask_all: bool,
}

/// One front among those that share tasks. All times are relative to the driver's start.
#[derive(Debug)]
pub struct LeaseManager {
    me: Holder,
    cluster_size: usize,
    lease_duration: Duration,
    rng: Rand64,
    grants: Grants,
    fence: Fence,
    permanent: TaskSet,
    on_demand: TaskSet,
    claims: BTreeMap<TaskId, ClaimState>,
    /// Counts the rounds of all claims, from 1.
    round: u32,
    /// By task: the sender of the newest admitted effect, and how many were admitted.
    received: BTreeMap<TaskId, (usize, u64)>,
    sent: BTreeMap<TaskId, u64>,
    next: Duration,
    left: bool,
}

impl LeaseManager {
    /// `me` of `cluster_size` fronts in one incarnation of its process; `lease_duration` is the same at all fronts.
    pub fn new(
        now: Duration,
        me: usize,
        cluster_size: usize,
        incarnation: u32,
        seed: u64,
        lease_duration: Duration,
        permanent: TaskSet,
    ) -> LeaseManager {
        LeaseManager {
            me: Holder { front: me as u16, incarnation },
            cluster_size,
            lease_duration,
            rng: Rand64::new(u128::from(seed) << 2 | 3),
            grants: Grants::new(now, lease_duration, incarnation),
            fence: Fence::default(),
            permanent,
            on_demand: TaskSet::new(),
            claims: BTreeMap::new(),
            round: 0,
            received: BTreeMap::new(),
            sent: BTreeMap::new(),
            next: now,
            left: false,
        }
    }

    /// When [`LeaseManager::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Duration {
        self.next
    }

    /// Whether this front wants the lease of a task for work of its own, whichever front is preferred.
    pub fn set_wanted(&mut self, now: Duration, task: TaskId, wanted: bool) {
        if wanted {
            self.on_demand.insert(task)
        } else {
            self.on_demand.remove(&task)
        };
        self.next = now;
    }

    /// The term under which this front owns a task now.
    pub fn held_term(&self, now: Duration, task: TaskId) -> Option<u64> {
        self.claims.get(&task)?.claim.held(now).map(|(term, _)| term)
    }

    /// The tasks that this front owns now, with their terms.
    pub fn held_tasks(&self, now: Duration) -> Vec<(TaskId, u64)> {
        let held = |(&task, state): (&TaskId, &ClaimState)| Some((task, state.claim.held(now)?.0));
        self.claims.iter().filter_map(held).collect()
    }

    /// The owner of a task by this front's grants.
    pub fn owner(&self, now: Duration, task: TaskId) -> Option<usize> {
        if self.held_term(now, task).is_some() {
            return Some(self.me.front.into());
        }
        self.grants.holder(now, task).map(|(holder, ..)| holder.front.into())
    }

    /// Other fronts know this front in a later incarnation than the one this process began with.
    pub fn raise_term_floor(&mut self, incarnation: u32) {
        self.grants.raise_term_floor(incarnation);
    }

    /// Does what is due: expires leases, requests and renews them, or releases them.
    pub fn handle_timeout(&mut self, now: Duration, view: FleetView, host: &mut impl Host) {
        if now < self.next || self.left {
            return;
        }
        self.next = now + self.lease_duration / CHECKS_PER_LEASE;
        let mut messages = Outbox::new(self.me.incarnation);
        let tasks: TaskSet =
            self.permanent.iter().chain(&self.on_demand).chain(self.claims.keys()).copied().collect();
        for task in tasks {
            self.check_task(now, task, view, &mut messages, host);
        }
        messages.send(host);
    }

    fn check_task(
        &mut self,
        now: Duration,
        task: TaskId,
        view: FleetView,
        messages: &mut Outbox,
        host: &mut impl Host,
    ) {
        let me = usize::from(self.me.front);
        let expired = self.claims.get_mut(&task).and_then(|state| state.claim.expire(now));
        if let Some(term) = expired {
            host.event(Event::Expired(task, term));
        }
        let held = self.held_term(now, task);
        let on_demand = self.on_demand.contains(&task);
        let is_preferred = self.permanent.contains(&task) && preferred_owner(task, view.present) == Some(me);
        // A better placed front takes over, but only once it has stayed present for a whole lease.
        let better_placed = !on_demand && !is_preferred;
        if let Some(state) = self.claims.get_mut(&task) {
            state.better_owner_since = state.better_owner_since.or(Some(now)).filter(|_| better_placed);
        }
        let stays = self
            .claims
            .get(&task)
            .and_then(|state| state.better_owner_since)
            .is_some_and(|at| now < at + self.lease_duration);
        let wants = view.eligible
            && (on_demand || is_preferred || held.is_some() && stays && self.permanent.contains(&task));
        if !wants {
            if let Some(state) = self.claims.remove(&task)
                && (held.is_some() || state.claim.has_grants())
            {
                self.release(task, state, held, view, messages, host);
            }
            return;
        }
        let incarnation = self.me.incarnation;
        let newest = self.grants.newest_term(task).max(self.fence.newest_term(task));
        let state = self.claims.entry(task).or_insert_with(|| {
            let mut claim = Claim::new(self.me.front, incarnation);
            claim.observe_term(newest);
            ClaimState { claim, next_request: now, better_owner_since: None, ask_all: false }
        });
        if now < state.next_request {
            return;
        }
        let late =
            now.saturating_sub(state.claim.round_started()) >= self.lease_duration / RENEWALS_PER_LEASE;
        if held.is_none() && state.claim.has_grants() && late {
            // Some fronts have granted, but too few: two claimants may compete. Release, and retry after a
            // random delay.
            let term = state.claim.release();
            state.ask_all = true;
            state.next_request = now + self.lease_duration.mul_f64(self.rng.rand_float() / 4.0);
            self.grants.release(self.me, task, term);
            let others = view.present.iter().filter(|&&front| front != me);
            others.for_each(|&front| messages.to(front).push_control(kind::RELEASE, task, term, 0));
            return;
        }
        self.round += 1;
        let round = self.round;
        let term = state.claim.start_round(now, round);
        let ask_all = std::mem::take(&mut state.ask_all);
        state.next_request = now + self.lease_duration / RENEWALS_PER_LEASE;
        let most = if ask_all || held.is_none() {
            self.cluster_size
        } else {
            majority(self.cluster_size) + self.cluster_size / SPARE_DIVISOR + 1
        };
        // The same fronts each time, so that no stale grant is left at others.
        let asked = preferred_owners(task ^ u64::MAX >> 1, view.present, most);
        for front in asked.into_iter().filter(|&front| front != me) {
            messages.to(front).push_control(kind::REQUEST, task, term, round);
        }
        if self.grants.request(now, self.me, task, term) == Answer::Granted {
            self.record_grant(now, me, task, term, round, host);
        }
    }

    fn record_grant(
        &mut self,
        now: Duration,
        from: usize,
        task: TaskId,
        term: u64,
        round: u32,
        host: &mut impl Host,
    ) {
        let Some(state) = self.claims.get_mut(&task) else { return };
        if state.claim.record_grant(now, from as u16, term, round, self.cluster_size, self.lease_duration) {
            host.event(Event::Acquired(task, term));
        }
    }

    fn release(
        &mut self,
        task: TaskId,
        mut state: ClaimState,
        held: Option<u64>,
        view: FleetView,
        messages: &mut Outbox,
        host: &mut impl Host,
    ) {
        let term = state.claim.release();
        self.grants.release(self.me, task, term);
        let me = usize::from(self.me.front);
        let others = view.present.iter().filter(|&&front| front != me);
        others.for_each(|&front| messages.to(front).push_control(kind::RELEASE, task, term, 0));
        if let Some(term) = held {
            host.event(Event::Released(task, term));
        }
    }

    /// Releases all leases; nothing is requested, granted or carried out after it.
    pub fn leave(&mut self, now: Duration, view: FleetView, host: &mut impl Host) {
        let mut messages = Outbox::new(self.me.incarnation);
        for (task, state) in std::mem::take(&mut self.claims) {
            let held = state.claim.held(now).map(|(term, _)| term);
            self.release(task, state, held, view, &mut messages, host);
        }
        messages.send(host);
        self.left = true;
    }

    /// The only place through which effects leave: the clock is read last, right before each is handed to the host.
    /// False if this front does not own the task under that term, or no longer.
    pub fn send_effect(
        &mut self,
        clock: &mut dyn FnMut() -> Duration,
        task: TaskId,
        term: u64,
        to: &[usize],
        payload: &[u8],
        host: &mut impl Host,
    ) -> bool {
        let mut messages = MessageBatch::new(self.me.incarnation);
        messages.push_payload(kind::EFFECT, task, term, payload);
        let bodies = messages.bodies();
        for &to in to {
            if self.left || self.held_term(clock(), task) != Some(term) {
                return false;
            }
            *self.sent.entry(task).or_default() += 1;
            if to != usize::from(self.me.front) {
                bodies.iter().for_each(|body| host.send(to, body));
            } else if self.admit(to, task, term).is_ok() {
                host.effect(to, task, term, payload);
            }
        }
        true
    }

    /// Sends a message to the owner of a task under a term.
    pub fn report(&mut self, to: usize, task: TaskId, term: u64, payload: &[u8], host: &mut impl Host) {
        if to == usize::from(self.me.front) {
            return host.report(to, task, term, payload);
        }
        let mut messages = MessageBatch::new(self.me.incarnation);
        messages.push_payload(kind::REPORT, task, term, payload);
        messages.bodies().iter().for_each(|body| host.send(to, body));
    }

    /// Sends an announcement: content that does no harm whoever sends it, however late.
    pub fn announce(&mut self, task: TaskId, to: &[usize], payload: &[u8], host: &mut impl Host) {
        let mut messages = MessageBatch::new(self.me.incarnation);
        messages.push_payload(kind::ANNOUNCE, task, 0, payload);
        let bodies = messages.bodies();
        for &to in to.iter().filter(|&&to| to != usize::from(self.me.front) && !self.left) {
            bodies.iter().for_each(|body| host.send(to, body));
        }
    }

    fn admit(&mut self, from: usize, task: TaskId, term: u64) -> Result<(), u64> {
        self.fence.admit(task, term, self.grants.newest_term(task))?;
        let received = self.received.entry(task).or_insert((from, 0));
        *received = (from, received.1 + 1);
        Ok(())
    }

    /// Handles a body from a front. On error the messages before the malformed one have taken effect.
    pub fn handle_message(
        &mut self,
        now: Duration,
        from: usize,
        body: &[u8],
        host: &mut impl Host,
    ) -> Result<(), &'static str> {
        const MALFORMED: &str = "malformed lease message";
        if self.left {
            return Ok(());
        }
        let (incarnation, mut rest) = postcard::take_from_bytes::<u32>(body).map_err(|_| MALFORMED)?;
        let holder = Holder { front: from as u16, incarnation };
        let mut messages = Outbox::new(self.me.incarnation);
        while !rest.is_empty() {
            let ((kind, task, term), after) =
                postcard::take_from_bytes::<(u8, TaskId, u64)>(rest).map_err(|_| MALFORMED)?;
            if matches!(kind, kind::EFFECT | kind::REPORT | kind::ANNOUNCE) {
                let (payload, after) = postcard::take_from_bytes::<&[u8]>(after).map_err(|_| MALFORMED)?;
                rest = after;
                if kind == kind::ANNOUNCE {
                    host.announcement(from, task, payload);
                } else if kind == kind::REPORT {
                    // Also for an earlier term of this front: its term may have risen while the message was on its way.
                    let mine = term as u16 == self.me.front;
                    if self.held_term(now, task).is_some_and(|held| mine && term <= held) {
                        host.report(from, task, term, payload);
                    }
                } else if let Err(newest) = self.admit(from, task, term) {
                    host.event(Event::StaleEffect(task, term, from));
                    messages.to(from).push_control(kind::NEWER_TERM, task, newest, 0);
                } else {
                    host.effect(from, task, term, payload);
                }
                continue;
            }
            let (number, after) = postcard::take_from_bytes::<u32>(after).map_err(|_| MALFORMED)?;
            rest = after;
            match kind {
                kind::REQUEST => match self.grants.request(now, holder, task, term) {
                    Answer::Granted => messages.to(from).push_control(kind::GRANT, task, term, number),
                    Answer::Refused { newest, wait } => {
                        let ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
                        messages.to(from).push_control(kind::REFUSE, task, newest, ms);
                    }
                    Answer::Quiet => {}
                },
                kind::GRANT => self.record_grant(now, from, task, term, number, host),
                kind::REFUSE | kind::NEWER_TERM => {
                    let held = self.held_term(now, task).is_some();
                    let Some(state) = self.claims.get_mut(&task) else { continue };
                    state.claim.observe_term(term);
                    if kind == kind::REFUSE && !held {
                        let wait = Duration::from_millis(number.into()).min(self.lease_duration);
                        let jitter =
                            self.lease_duration.mul_f64(self.rng.rand_float() / f64::from(CHECKS_PER_LEASE));
                        state.next_request = state.next_request.max(now + wait + jitter);
                    }
                }
                kind::RELEASE => {
                    self.grants.release(holder, task, term);
                    // A waiting claimant asks again, after a random delay so that not all ask at once.
                    let jitter =
                        self.lease_duration.mul_f64(self.rng.rand_float() / f64::from(CHECKS_PER_LEASE));
                    let waits = self.claims.get_mut(&task).filter(|state| state.claim.held(now).is_none());
                    waits
                        .into_iter()
                        .for_each(|state| state.next_request = state.next_request.min(now + jitter));
                }
                // A kind of a later version: the rest of the body can't be parsed.
                _ => break,
            }
        }
        messages.send(host);
        Ok(())
    }

    /// The state of every task that this front knows.
    pub fn statuses(&self, now: Duration) -> Vec<TaskStatus> {
        let all: TaskSet = self
            .permanent
            .iter()
            .chain(&self.on_demand)
            .chain(self.claims.keys())
            .chain(self.received.keys())
            .copied()
            .chain(self.grants.tasks())
            .collect();
        let one = |task: TaskId| {
            let (refused, sent) =
                (self.fence.refused_count(task), self.sent.get(&task).copied().unwrap_or(0));
            let (last, passed) = self.received.get(&task).map_or((None, 0), |&(from, n)| (Some(from), n));
            let known = self.fence.newest_term(task);
            let mine = self.claims.get(&task).and_then(|state| state.claim.held(now));
            let other = self.grants.holder(now, task);
            let (term, owner, until) = match (mine, other) {
                (Some((term, until)), _) => (term, Some(self.me.front.into()), Some(until)),
                (_, Some((holder, term, until))) => (term, Some(holder.front.into()), Some(until)),
                _ => (known, last, None),
            };
            let effects = sent.max(passed);
            TaskStatus { task, term, owner, until, owned_here: mine.is_some(), effects, refused }
        };
        all.into_iter().map(one).collect()
    }

    /// Whether this front started too recently to grant anything.
    pub fn is_quiet(&self, now: Duration) -> bool {
        self.grants.is_quiet(now)
    }
}

/// Messages to several fronts.
struct Outbox {
    incarnation: u32,
    batches: BTreeMap<usize, MessageBatch>,
}

impl Outbox {
    fn new(incarnation: u32) -> Outbox {
        Outbox { incarnation, batches: BTreeMap::new() }
    }

    fn to(&mut self, front: usize) -> &mut MessageBatch {
        let incarnation = self.incarnation;
        self.batches.entry(front).or_insert_with(|| MessageBatch::new(incarnation))
    }

    fn send(self, host: &mut impl Host) {
        for (front, messages) in self.batches {
            messages.bodies().iter().for_each(|body| host.send(front, body));
        }
    }
}
