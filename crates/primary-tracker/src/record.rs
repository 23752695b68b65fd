//! The record of each group, and the ordered rules that keep it.

use crate::leaderless::LeaderlessDurations;
use crate::plan::{Plan, PlanInputs, PlanReason, Step};
use crate::stamp::Stamp;
use crate::{FENCE, MAX_SAFE_SILENCE};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::Duration;

pub(crate) const NO_MEMBER: u32 = u32::MAX;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Primary,
    Replica,
}

/// What a member said of its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    pub role: Role,
    /// When it was made, as far as can be told. Among claims that stand the newest counts.
    pub made_at: Duration,
    /// The earliest time at which it can have been made: a position that was reached, or when it was asked
    /// for.
    pub not_before: Duration,
}

impl Claim {
    /// A claim whose time is known.
    pub fn at(role: Role, time: Duration) -> Claim {
        Claim { role, made_at: time, not_before: time }
    }
}

/// How sure it is who is primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Nobody holds the slot.
    #[default]
    NoPrimary,
    /// The holder has claimed, and has not yet answered as primary in this term.
    Settling,
    Steady,
    /// Something spoke against the holder; it keeps the slot, but its role proves nothing until it claims
    /// again.
    Doubted,
    /// A planned change is under way.
    HandingOver,
}

impl Phase {
    pub const ALL: [Phase; 5] =
        [Phase::NoPrimary, Phase::Settling, Phase::Steady, Phase::Doubted, Phase::HandingOver];

    pub fn name(self) -> &'static str {
        match self {
            Phase::NoPrimary => "vacant",
            Phase::Settling => "settling",
            Phase::Steady => "steady",
            Phase::Doubted => "doubted",
            Phase::HandingOver => "handing over",
        }
    }
}

/// What made the holder change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangeReason {
    /// It said itself that it is a replica.
    SaidReplica,
    /// Submissions to it failed.
    Failed,
    /// The list took it out of use.
    Listed,
    /// A member claimed that had not held the newest term.
    Claimed,
    /// The holder of the newest term claimed again.
    Resumed,
    /// No other holder: a planned change has begun or ended.
    Planned,
}

/// One change of a group's slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    pub group: usize,
    pub term: u32,
    pub from: Option<usize>,
    pub to: Option<usize>,
    pub why: ChangeReason,
    /// How long the slot was empty before.
    pub leaderless_for: Option<Duration>,
    /// The planned change that began or ended then.
    pub plan: Option<Plan>,
}

/// What is known of one member's claims.
#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
pub(crate) struct MemberClaims {
    /// Its group, counted from 1; 0 where it has no seat.
    pub group: u32,
    /// The last term that it held; 0 for none.
    pub term: u32,
    /// Newest date and newest proof of a claim to be primary.
    pub claimed_at: Stamp,
    pub claimed_not_before: Stamp,
    /// Newest date, and newest proof, of its word that it is a replica.
    pub replica_at: Stamp,
    pub stepped_down_at: Stamp,
    /// Claims up to here count no more.
    pub invalid_until: Stamp,
    /// Something spoke against it then; claims up to here prove nothing to readers.
    pub doubted_at: Stamp,
    /// When it was heard from last, and when its last silence of `MAX_SAFE_SILENCE` or more ended.
    pub last_observed: Stamp,
    pub silence_end: Stamp,
    /// Date of its newest claim while it held the slot.
    pub last_served: Stamp,
    pub excluded: bool,
    pub draining: bool,
    /// Its last term was one that it denied itself before it had answered as primary.
    pub disproved: bool,
}

impl MemberClaims {
    /// Its newest claim counts.
    fn is_valid(&self) -> bool {
        self.claimed_at > self.replica_at && self.claimed_at > self.invalid_until && !self.excluded
    }

    /// It has said that it is a replica since it last served: what it claims now is no claim of that term.
    fn stepped_down(&self) -> bool {
        self.stepped_down_at > self.last_served
    }
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
pub(crate) struct GroupState {
    pub members: SmallVec<[u32; 4]>,
    pub primary: u32,
    /// Who held the newest term, and that term's number; 0 before the first.
    pub last_primary: u32,
    pub term: u32,
    pub phase: Phase,
    /// The holder has answered as primary in this term.
    pub confirmed: bool,
    /// The last holder denied its role itself.
    pub denied: bool,
    /// Date of the newest claim of the newest term.
    pub newest_claim: Stamp,
    /// Proof of the first claim of the newest term.
    pub began: Stamp,
    /// Since when the slot is empty, where it has been held before.
    pub leaderless_since: Stamp,
    /// That it is empty was taken up from another process.
    pub restored: bool,
    pub leaderless_durations: LeaderlessDurations,
}

impl Default for GroupState {
    fn default() -> Self {
        GroupState {
            members: SmallVec::new(),
            primary: NO_MEMBER,
            last_primary: NO_MEMBER,
            term: 0,
            phase: Phase::NoPrimary,
            confirmed: false,
            denied: false,
            newest_claim: Stamp::NEVER,
            began: Stamp::NEVER,
            leaderless_since: Stamp::NEVER,
            restored: false,
            leaderless_durations: LeaderlessDurations::default(),
        }
    }
}

/// Who holds each group's slot. Members and groups are small indices; no call costs more where there are more
/// groups.
#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
pub struct PrimaryTracker {
    pub(crate) claims: Vec<MemberClaims>,
    pub(crate) groups: Vec<GroupState>,
    plans: BTreeMap<usize, Plan>,
    /// Vacancies of all groups.
    leaderless_durations: LeaderlessDurations,
    /// Changes that nobody has asked for yet.
    changes: Vec<Change>,
    /// Groups in each phase.
    phases: [usize; Phase::ALL.len()],
}

impl PrimaryTracker {
    /// Gives a member its seat in a group; one that has a seat keeps it.
    pub fn add_member(&mut self, member: usize, group: usize) {
        if self.claims.len() <= member {
            self.claims.resize_with(member + 1, MemberClaims::default);
        }
        while self.groups.len() <= group {
            self.groups.push(GroupState::default());
            self.phases[Phase::NoPrimary as usize] += 1;
        }
        if self.claims[member].group == 0 {
            self.claims[member].group = group as u32 + 1;
            self.groups[group].members.push(member as u32);
        }
    }

    /// Takes the member's seat away; who gets its index later is another.
    pub fn remove_member(&mut self, now: Duration, member: usize) {
        let Some(group) = self.group(member) else { return };
        let state = &mut self.groups[group];
        state.members.retain(|m| *m as usize != member);
        if state.primary as usize == member {
            self.clear_primary(now, group, ChangeReason::Listed);
        }
        let state = &mut self.groups[group];
        if state.last_primary as usize == member {
            state.last_primary = NO_MEMBER;
        }
        if self.plans.get(&group).is_some_and(|plan| plan.leaving == member) {
            self.plans.remove(&group);
        }
        if let Some(plan) = self.plans.get_mut(&group) {
            plan.successor = plan.successor.filter(|&successor| successor != member);
        }
        self.claims[member] = MemberClaims::default();
    }

    /// Whether new work may go to a member at all, and whether it drains.
    pub fn set_availability(&mut self, now: Duration, member: usize, excluded: bool, draining: bool) {
        let Some(group) = self.group(member) else { return };
        let claims = &mut self.claims[member];
        let begins = draining && !std::mem::replace(&mut claims.draining, draining);
        claims.excluded = excluded;
        if begins && self.groups[group].primary as usize == member {
            self.begin_plan(Plan::new(now, group, member, None, PlanReason::Drain));
        }
    }

    fn begin_plan(&mut self, plan: Plan) {
        self.plans.insert(plan.group, plan);
        self.record_plan(plan);
    }

    /// Notes that a plan has begun or ended.
    fn record_plan(&mut self, plan: Plan) {
        let (group, primary) = (plan.group, self.primary(plan.group));
        let (term, why, plan) = (self.groups[group].term, ChangeReason::Planned, Some(plan));
        self.changes.push(Change {
            group,
            term,
            from: primary,
            to: primary,
            why,
            leaderless_for: None,
            plan,
        });
    }

    /// Something was heard from a member; `answered`: it was an answer to a submission.
    pub fn observe(&mut self, now: Duration, member: usize, claim: Option<Claim>, answered: bool) {
        let Some(group) = self.group(member) else { return };
        let claims = &mut self.claims[member];
        if Stamp::at(now) >= claims.last_observed.plus(MAX_SAFE_SILENCE) {
            claims.silence_end = Stamp::at(now);
        }
        claims.last_observed = claims.last_observed.max(Stamp::at(now));
        // No claim can be made in the future: clocks are a little apart.
        let Some(Claim { role, made_at, not_before }) = claim else { return };
        let (made_at, not_before) =
            (Stamp::at(made_at.min(now)), Stamp::at(not_before.min(made_at).min(now)));
        match role {
            Role::Replica => {
                claims.replica_at = claims.replica_at.max(made_at);
                claims.stepped_down_at = claims.stepped_down_at.max(not_before);
            }
            Role::Primary => {
                claims.claimed_at = claims.claimed_at.max(made_at);
                claims.claimed_not_before = claims.claimed_not_before.max(not_before);
                let is_valid = claims.is_valid();
                let state = &mut self.groups[group];
                if state.primary as usize == member && is_valid {
                    state.newest_claim = state.newest_claim.max(made_at);
                    claims.last_served = claims.last_served.max(made_at);
                    if answered && not_before >= state.began {
                        (state.confirmed, claims.disproved) = (true, false);
                    }
                }
            }
        }
    }

    /// A write was committed by the member: it is primary, whether it says so or not.
    pub fn committed(&mut self, member: usize) {
        let Some(group) = self.group(member) else { return };
        if self.groups[group].primary as usize == member {
            (self.groups[group].confirmed, self.claims[member].disproved) = (true, false);
        }
    }

    /// A submission to the holder failed, or it fell silent: only a claim dated later fills the slot again.
    pub fn invalidate_claims(&mut self, now: Duration, member: usize) {
        self.claims[member].invalid_until = self.claims[member].invalid_until.max(Stamp::at(now));
    }

    /// One thing speaks against a member that may mean nothing: it keeps the slot, but no reader counts on
    /// its role until it has claimed again.
    pub fn mark_doubted(&mut self, now: Duration, member: usize) {
        self.claims[member].doubted_at = self.claims[member].doubted_at.max(Stamp::at(now));
    }

    /// Orders a change of a group's primary; the error says why there is nothing to change.
    pub fn order_change(
        &mut self,
        now: Duration,
        group: usize,
        successor: Option<usize>,
    ) -> Result<Plan, String> {
        let state = self.groups.get(group).ok_or("expected a group with members")?;
        if let Some(plan) = self.plans.get(&group).filter(|plan| !plan.ended()) {
            return Err(format!("a change is under way since {:?}", plan.begun));
        }
        if state.primary == NO_MEMBER {
            return Err("the group has no primary now".to_owned());
        }
        let leaving = state.primary as usize;
        if let Some(successor) = successor {
            if successor == leaving {
                return Err("the successor is the primary already".to_owned());
            }
            if self.group(successor) != Some(group) || self.claims[successor].excluded {
                return Err("the successor is no member that may be used".to_owned());
            }
        }
        let plan = Plan::new(now, group, leaving, successor, PlanReason::Order);
        self.begin_plan(plan);
        Ok(plan)
    }

    /// Calls a planned change off: the old primary is used again, if it may be. False if there is none under
    /// way.
    pub fn call_off(&mut self, now: Duration, group: usize) -> bool {
        let off = self.plans.get_mut(&group).filter(|plan| !plan.ended()).map(|plan| {
            plan.call_off(now);
            *plan
        });
        off.inspect(|&plan| self.record_plan(plan)).is_some()
    }

    /// The newest plan of a group, under way or ended.
    pub fn plan(&self, group: usize) -> Option<&Plan> {
        self.plans.get(&group)
    }

    /// All plans that are kept, by group.
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values()
    }

    /// Goes through the rules of one group until none fires. `writes_in_flight`: writes out at the holder of its newest
    /// term.
    pub fn apply_rules(&mut self, now: Duration, group: usize, writes_in_flight: usize) {
        if group >= self.groups.len() {
            return;
        }
        while self.drop_invalid_primary(now, group)
            || self.accept_claim(now, group)
            || self.advance_plan(now, group, writes_in_flight)
        {}
        let phase = self.derive_phase(group);
        let old = std::mem::replace(&mut self.groups[group].phase, phase);
        self.phases[old as usize] -= 1;
        self.phases[phase as usize] += 1;
    }

    /// The holder loses the slot once its newest claim does not stand.
    fn drop_invalid_primary(&mut self, now: Duration, group: usize) -> bool {
        let state = &self.groups[group];
        let Some(claims) = self.claims.get(state.primary as usize) else { return false };
        let why = match claims {
            claims if claims.is_valid() => return false,
            claims if claims.excluded => ChangeReason::Listed,
            claims if claims.replica_at >= claims.claimed_at => ChangeReason::SaidReplica,
            _ => ChangeReason::Failed,
        };
        self.clear_primary(now, group, why);
        true
    }

    fn clear_primary(&mut self, now: Duration, group: usize, why: ChangeReason) {
        let state = &mut self.groups[group];
        let from = std::mem::replace(&mut state.primary, NO_MEMBER) as usize;
        state.denied = why == ChangeReason::SaidReplica;
        state.leaderless_since = Stamp::at(now);
        if let Some(claims) = self.claims.get_mut(from) {
            claims.disproved |= state.denied && !state.confirmed;
        }
        let term = state.term;
        self.changes.push(Change {
            group,
            term,
            from: Some(from),
            to: None,
            why,
            leaderless_for: None,
            plan: None,
        });
    }

    /// The newest dated claim that may takes the slot; ties go to the highest index.
    fn accept_claim(&mut self, now: Duration, group: usize) -> bool {
        let state = &self.groups[group];
        let may = state.members.iter().copied().filter(|&member| self.may_become_primary(now, state, member));
        let Some(next) = may.max_by_key(|&member| (self.claims[member as usize].claimed_at, member)) else {
            return false;
        };
        let (state, claims) = (&mut self.groups[group], &mut self.claims[next as usize]);
        let from = std::mem::replace(&mut state.primary, next);
        let resumed = state.last_primary == next && !claims.stepped_down();
        if !resumed {
            state.term += 1;
            (state.last_primary, state.began, state.confirmed) = (next, claims.claimed_not_before, false);
            claims.term = state.term;
        }
        state.denied = false;
        (state.newest_claim, claims.last_served) =
            (state.newest_claim.max(claims.claimed_at), claims.claimed_at);
        let leaderless_since = std::mem::take(&mut state.leaderless_since);
        let leaderless_for =
            leaderless_since.time().map(|leaderless_since| now.saturating_sub(leaderless_since));
        let learns = !std::mem::take(&mut state.restored);
        if let Some(span) = leaderless_for.filter(|_| learns) {
            state.leaderless_durations.add(span);
            self.leaderless_durations.add(span);
        }
        let why = if resumed { ChangeReason::Resumed } else { ChangeReason::Claimed };
        let (term, from, to) =
            (state.term, (from != NO_MEMBER).then_some(from as usize), Some(next as usize));
        self.changes.push(Change { group, term, from, to, why, leaderless_for, plan: None });
        true
    }

    /// Whether a member's newest claim may take the slot now.
    fn may_become_primary(&self, now: Duration, state: &GroupState, member: u32) -> bool {
        let claims = &self.claims[member as usize];
        if !claims.is_valid() || state.primary == member {
            return false;
        }
        // Provably later than the last claim of the newest term.
        let later = claims.claimed_not_before > state.newest_claim;
        if state.primary != NO_MEMBER {
            // A held slot is taken by a later claim only; not by one that has claimed in vain before.
            return later && !claims.disproved && !self.fenced(now, state, member);
        }
        if state.last_primary == member && !claims.stepped_down() {
            return self.others_observed(state, member);
        }
        state.term == 0 || later && !self.fenced(now, state, member)
    }

    /// A former primary is fenced: its claim may be of its old term. It is not any more when it has said
    /// since that it is a replica; when the holder after it denied its term itself, and no silence of the
    /// former one was so long that it can have slept through a change; or when the slot has been empty, and
    /// it awake, for long.
    fn fenced(&self, now: Duration, state: &GroupState, member: u32) -> bool {
        let claims = &self.claims[member as usize];
        let former = claims.term > 0 && (state.last_primary != member || claims.stepped_down());
        let unbroken = state.denied
            && claims.silence_end <= state.began
            && claims.last_observed.plus(MAX_SAFE_SILENCE) > Stamp::at(now);
        let waited = state.primary == NO_MEMBER
            && claims.claimed_not_before > state.leaderless_since.max(claims.silence_end).plus(FENCE);
        former && !claims.stepped_down() && !unbroken && !waited
    }

    /// The holder of the newest term comes back to an empty slot at once if it was never silent for long.
    /// After such a silence the others are heard first: one of them may have taken over meanwhile.
    fn others_observed(&self, state: &GroupState, member: u32) -> bool {
        let silence_end = self.claims[member as usize].silence_end;
        let silent = silence_end > state.began && silence_end >= state.leaderless_since;
        let observed = |&m: &u32| {
            let other = &self.claims[m as usize];
            m == member || other.excluded || other.last_observed >= silence_end
        };
        !silent
            || self.claims[member as usize].claimed_not_before > silence_end.plus(FENCE)
            || state.members.iter().all(observed)
    }

    fn advance_plan(&mut self, now: Duration, group: usize, writes_in_flight: usize) -> bool {
        let state = &self.groups[group];
        let Some(plan) = self.plans.get_mut(&group) else { return false };
        let primary = (state.primary != NO_MEMBER).then_some(state.primary as usize);
        let inputs = PlanInputs {
            writes_in_flight,
            succeeded: primary.is_some_and(|primary| primary != plan.leaving),
            successor_left: plan.successor.is_some_and(|successor| self.claims[successor].excluded),
            // One that says itself that it is a replica, once its writes are out, hands over as it was told to.
            primary_lost: primary.is_none()
                && !self.claims[plan.leaving].draining
                && !(plan.step == Step::Awaiting && state.denied),
        };
        if !plan.advance(now, inputs) {
            return false;
        }
        let plan = *plan;
        if plan.ended() {
            self.record_plan(plan);
        }
        true
    }

    fn derive_phase(&self, group: usize) -> Phase {
        let state = &self.groups[group];
        let claims = self.claims.get(state.primary as usize);
        match claims {
            _ if self.plans.get(&group).is_some_and(Plan::holds_writes) => Phase::HandingOver,
            None => Phase::NoPrimary,
            Some(claims) if claims.claimed_at <= claims.doubted_at => Phase::Doubted,
            Some(_) if !state.confirmed => Phase::Settling,
            Some(_) => Phase::Steady,
        }
    }

    /// The changes since this was last asked.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Who holds the slot.
    pub fn primary(&self, group: usize) -> Option<usize> {
        let primary = self.groups.get(group)?.primary;
        (primary != NO_MEMBER).then_some(primary as usize)
    }

    /// Who takes new writes: the holder, unless a planned change holds them.
    pub fn writer(&self, group: usize) -> Option<usize> {
        let held = self.plans.get(&group).is_some_and(Plan::holds_writes);
        self.primary(group).filter(|_| !held)
    }

    /// Whether a member holds the slot by a claim made since anything spoke against it: readers may count on
    /// it.
    pub fn trusted(&self, member: usize) -> bool {
        let Some(group) = self.group(member) else { return false };
        let claims = &self.claims[member];
        self.groups[group].primary as usize == member && claims.claimed_at > claims.doubted_at
    }

    /// From where on a position of a member proves anything: a former primary's counts only once it has the
    /// beginning of the newest term, for what it had before may be of a branch that was dropped.
    pub fn valid_positions_from(&self, member: usize) -> Duration {
        let Some(group) = self.group(member) else { return Duration::ZERO };
        let (claims, state) = (&self.claims[member], &self.groups[group]);
        let former = claims.term > 0 && claims.term < state.term;
        state.began.time().filter(|_| former).unwrap_or_default()
    }

    /// When a member said last that it is a replica.
    pub fn replica_reported_at(&self, member: usize) -> Option<Duration> {
        self.claims.get(member)?.replica_at.time()
    }

    /// Whether a member has ever claimed to be primary.
    pub fn has_claimed(&self, member: usize) -> bool {
        self.claims.get(member).is_some_and(|claims| claims.claimed_at > Stamp::NEVER)
    }

    /// The number of the newest term; 0 before the first.
    pub fn term(&self, group: usize) -> u32 {
        self.groups.get(group).map_or(0, |state| state.term)
    }

    /// The last term that a member held; 0 for none.
    pub fn held_term(&self, member: usize) -> u32 {
        self.claims.get(member).map_or(0, |claims| claims.term)
    }

    pub fn phase(&self, group: usize) -> Phase {
        self.groups.get(group).map_or(Phase::NoPrimary, |state| state.phase)
    }

    /// How many groups are in a phase.
    pub fn in_phase(&self, phase: Phase) -> usize {
        self.phases[phase as usize]
    }

    /// How long the slot still stays empty, as far as changes of late tell: those of the group, or of all
    /// where it had too few. `None` where it is held or where too little is known.
    pub fn expected_wait(&self, now: Duration, group: usize) -> Option<Duration> {
        let state = self.groups.get(group)?;
        let lasted = now.saturating_sub(state.leaderless_since.time()?);
        state
            .leaderless_durations
            .expected_remaining(lasted)
            .or_else(|| self.leaderless_durations.expected_remaining(lasted))
    }

    /// When the group has to be looked at again though nothing comes in: a planned change runs out of time.
    pub fn plan_deadline(&self, group: usize) -> Option<Duration> {
        self.plans.get(&group)?.step_deadline()
    }

    /// Bytes that the records take, without what the allocator adds.
    pub fn bytes(&self) -> usize {
        self.claims.capacity() * size_of::<MemberClaims>()
            + self.groups.capacity() * size_of::<GroupState>()
            + self
                .groups
                .iter()
                .map(|r| if r.members.spilled() { r.members.capacity() * 4 } else { 0 })
                .sum::<usize>()
    }

    pub(crate) fn group(&self, member: usize) -> Option<usize> {
        Some(self.claims.get(member)?.group.checked_sub(1)? as usize)
    }
}
