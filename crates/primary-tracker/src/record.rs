//! The state of each group, and the ordered rules that update it.

use crate::leaderless::LeaderlessDurations;
use crate::plan::{Plan, PlanInputs, PlanReason, Step};
use crate::stamp::Stamp;
use crate::{FENCE, MAX_SAFE_SILENCE};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::Duration;

pub(crate) const NO_MEMBER: u32 = u32::MAX;

/// The role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Primary,
    Replica,
}

/// A member's statement about its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    pub role: Role,
    /// When it was made, as far as is known. Among valid claims the newest counts.
    pub made_at: Duration,
    /// The earliest time at which it can have been made: a position that the member had reached, or the time of the
    /// request that it answers.
    pub not_before: Duration,
}

impl Claim {
    /// A claim whose time is known exactly.
    pub fn at(role: Role, time: Duration) -> Claim {
        Claim { role, made_at: time, not_before: time }
    }
}

/// How certain it is which member is the primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The group has no primary.
    #[default]
    NoPrimary,
    /// The primary has claimed the role and has not yet answered as primary in this term.
    Settling,
    /// The primary has answered as primary in this term.
    Steady,
    /// There was a sign against the primary. It keeps the role, but its role proves nothing until it claims again.
    Doubted,
    /// A planned change is in progress.
    HandingOver,
}

impl Phase {
    pub const ALL: [Phase; 5] =
        [Phase::NoPrimary, Phase::Settling, Phase::Steady, Phase::Doubted, Phase::HandingOver];

    /// The name shown to operators.
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

/// What changed the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangeReason {
    /// It reported that it is a replica.
    SaidReplica,
    /// Submissions to it failed.
    Failed,
    /// The server list took it out of use.
    Listed,
    /// A member claimed the role that did not hold the newest term.
    Claimed,
    /// The holder of the newest term claimed the role again.
    Resumed,
    /// The primary stays the same: a planned change began or ended.
    Planned,
}

/// One change of a group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    pub group: usize,
    pub term: u32,
    pub from: Option<usize>,
    pub to: Option<usize>,
    pub why: ChangeReason,
    /// How long the group had no primary before.
    pub leaderless_for: Option<Duration>,
    /// The planned change that began or ended with it.
    pub plan: Option<Plan>,
}

/// What is known of one member's claims.
#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
pub(crate) struct MemberClaims {
    /// The index of its group, counted from 1; 0 for a member that has not been added.
    pub group: u32,
    /// The last term that it held; 0 for none.
    pub term: u32,
    /// The newest `made_at`, and the newest `not_before`, of its claims to be the primary.
    pub claimed_at: Stamp,
    pub claimed_not_before: Stamp,
    /// The newest `made_at`, and the newest `not_before`, of its reports that it is a replica.
    pub replica_at: Stamp,
    pub stepped_down_at: Stamp,
    /// Claims made up to this time do not count.
    pub invalid_until: Stamp,
    /// When there was last a sign against it; for reads, claims made up to this time prove nothing.
    pub doubted_at: Stamp,
    /// When it was last observed, and when its last silence of at least `MAX_SAFE_SILENCE` ended.
    pub last_observed: Stamp,
    pub silence_end: Stamp,
    /// `made_at` of its newest claim while it was the primary.
    pub last_served: Stamp,
    pub excluded: bool,
    pub draining: bool,
    /// In its last term it reported that it is a replica before it had answered as primary.
    pub disproved: bool,
}

impl MemberClaims {
    /// Whether its newest claim counts.
    fn is_valid(&self) -> bool {
        self.claimed_at > self.replica_at && self.claimed_at > self.invalid_until && !self.excluded
    }

    /// Whether it has reported that it is a replica since it was last the primary. If so, a new claim does not belong
    /// to that term.
    fn stepped_down(&self) -> bool {
        self.stepped_down_at > self.last_served
    }
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
pub(crate) struct GroupState {
    pub members: SmallVec<[u32; 4]>,
    pub primary: u32,
    /// The holder of the newest term, and the number of that term; 0 before the first.
    pub last_primary: u32,
    pub term: u32,
    pub phase: Phase,
    /// The primary has answered as primary in this term.
    pub confirmed: bool,
    /// The last primary lost the role because it reported itself as a replica.
    pub denied: bool,
    /// `made_at` of the newest claim in the newest term.
    pub newest_claim: Stamp,
    /// `not_before` of the first claim in the newest term.
    pub began: Stamp,
    /// Since when the group has no primary, if it had one before.
    pub leaderless_since: Stamp,
    /// `leaderless_since` was set by restoring a snapshot.
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

/// The primary of each group. Members and groups are small indices; no call gets more expensive with the number of
/// groups.
#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
pub struct PrimaryTracker {
    pub(crate) claims: Vec<MemberClaims>,
    pub(crate) groups: Vec<GroupState>,
    plans: BTreeMap<usize, Plan>,
    /// Leaderless durations of all groups.
    leaderless_durations: LeaderlessDurations,
    /// Changes not yet taken by the caller.
    changes: Vec<Change>,
    /// The number of groups in each phase.
    phases: [usize; Phase::ALL.len()],
}

impl PrimaryTracker {
    /// Adds a member to a group; has no effect if it belongs to one already.
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

    /// Removes a member. Another member may get its index later.
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

    /// Sets whether new work may go to a member at all, and whether it drains.
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

    /// Records that a plan has begun or ended.
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

    /// Records that something was received from a member. `answered`: it was an answer to a submission.
    pub fn observe(&mut self, now: Duration, member: usize, claim: Option<Claim>, answered: bool) {
        let Some(group) = self.group(member) else { return };
        let claims = &mut self.claims[member];
        if Stamp::at(now) >= claims.last_observed.plus(MAX_SAFE_SILENCE) {
            claims.silence_end = Stamp::at(now);
        }
        claims.last_observed = claims.last_observed.max(Stamp::at(now));
        // Clocks differ a little, so a claim may carry a time in the future; it counts as made now.
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

    /// Records that the member committed a write, which proves that it is the primary even if it does not report so.
    pub fn committed(&mut self, member: usize) {
        let Some(group) = self.group(member) else { return };
        if self.groups[group].primary as usize == member {
            (self.groups[group].confirmed, self.claims[member].disproved) = (true, false);
        }
    }

    /// Records that a submission to the primary failed, or that it fell silent: only a claim made later makes it the
    /// primary again.
    pub fn invalidate_claims(&mut self, now: Duration, member: usize) {
        self.claims[member].invalid_until = self.claims[member].invalid_until.max(Stamp::at(now));
    }

    /// Records a sign against a member that may mean nothing: it keeps its role, but reads do not rely on it until it
    /// has claimed the role again.
    pub fn mark_doubted(&mut self, now: Duration, member: usize) {
        self.claims[member].doubted_at = self.claims[member].doubted_at.max(Stamp::at(now));
    }

    /// Begins a planned change of a group's primary; the error gives the reason why there is nothing to change.
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

    /// Takes a planned change up that was begun elsewhere, unless one is in progress here. Returns whether it was.
    pub fn restore_plan(&mut self, plan: Plan) -> bool {
        let in_progress = self.plans.get(&plan.group).is_some_and(|plan| !plan.ended());
        if in_progress || plan.ended() || self.group(plan.leaving) != Some(plan.group) {
            return false;
        }
        self.begin_plan(Plan { leaving_seen: false, ..plan });
        true
    }

    /// Calls a planned change off: the old primary is used again unless it is excluded. Returns false if no change is
    /// in progress.
    pub fn call_off(&mut self, now: Duration, group: usize) -> bool {
        let off = self.plans.get_mut(&group).filter(|plan| !plan.ended()).map(|plan| {
            plan.call_off(now);
            *plan
        });
        off.inspect(|&plan| self.record_plan(plan)).is_some()
    }

    /// The newest plan of a group, in progress or ended.
    pub fn plan(&self, group: usize) -> Option<&Plan> {
        self.plans.get(&group)
    }

    /// All plans that are kept, by group.
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values()
    }

    /// Applies the rules of one group until none changes anything. `writes_in_flight`: writes in flight at the primary
    /// that its plan replaces.
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

    /// Removes the primary once its newest claim is not valid.
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

    /// Leaves the group without a primary.
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

    /// Gives the role to the member with the newest eligible claim; among equally new ones to the highest index.
    fn accept_claim(&mut self, now: Duration, group: usize) -> bool {
        let state = &self.groups[group];
        let eligible =
            state.members.iter().copied().filter(|&member| self.may_become_primary(now, state, member));
        let Some(next) = eligible.max_by_key(|&member| (self.claims[member as usize].claimed_at, member))
        else {
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
        let is_sample = !std::mem::take(&mut state.restored);
        if let Some(span) = leaderless_for.filter(|_| is_sample) {
            state.leaderless_durations.add(span);
            self.leaderless_durations.add(span);
        }
        let why = if resumed { ChangeReason::Resumed } else { ChangeReason::Claimed };
        let (term, from, to) =
            (state.term, (from != NO_MEMBER).then_some(from as usize), Some(next as usize));
        self.changes.push(Change { group, term, from, to, why, leaderless_for, plan: None });
        true
    }

    /// Whether a member's newest claim may make it the primary now.
    fn may_become_primary(&self, now: Duration, state: &GroupState, member: u32) -> bool {
        let claims = &self.claims[member as usize];
        if !claims.is_valid() || state.primary == member {
            return false;
        }
        // Provably made after the last claim of the newest term.
        let later = claims.claimed_not_before > state.newest_claim;
        if state.primary != NO_MEMBER {
            // Only a later claim replaces a primary, and not one of a member whose last term was disproved.
            return later && !claims.disproved && !self.fenced(now, state, member);
        }
        if state.last_primary == member && !claims.stepped_down() {
            return self.others_observed(state, member);
        }
        state.term == 0 || later && !self.fenced(now, state, member)
    }

    /// A former primary is fenced because its claim may belong to its old term. The fence is lifted when it has
    /// reported since that it is a replica; when the primary after it stepped down by its own report and the former one
    /// was never silent for long enough to have missed a change; or when the group had no primary, and the member was
    /// responsive, for `FENCE`.
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

    /// The holder of the newest term becomes the primary again at once if it was never silent for long. After a long
    /// silence all other members must be observed first, since one of them may have taken over meanwhile.
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

    /// Moves the plan of a group on; returns false if nothing changed.
    fn advance_plan(&mut self, now: Duration, group: usize, writes_in_flight: usize) -> bool {
        let state = &self.groups[group];
        let Some(plan) = self.plans.get_mut(&group) else { return false };
        let primary = (state.primary != NO_MEMBER).then_some(state.primary as usize);
        plan.leaving_seen |= primary == Some(plan.leaving);
        let inputs = PlanInputs {
            writes_in_flight,
            succeeded: primary.is_some_and(|primary| primary != plan.leaving),
            successor_left: plan.successor.is_some_and(|successor| self.claims[successor].excluded),
            // A primary that reports itself as a replica after its writes have ended hands over as planned.
            primary_lost: primary.is_none()
                && plan.leaving_seen
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

    /// The phase that follows from the state of a group.
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

    /// The changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The primary of a group.
    pub fn primary(&self, group: usize) -> Option<usize> {
        let primary = self.groups.get(group)?.primary;
        (primary != NO_MEMBER).then_some(primary as usize)
    }

    /// The member that gets new writes: the primary, unless a planned change holds them.
    pub fn writer(&self, group: usize) -> Option<usize> {
        let writes_held = self.plans.get(&group).is_some_and(Plan::holds_writes);
        self.primary(group).filter(|_| !writes_held)
    }

    /// Whether a member is the primary by a claim made after the last sign against it, so that reads may rely on it.
    pub fn trusted(&self, member: usize) -> bool {
        let Some(group) = self.group(member) else { return false };
        let claims = &self.claims[member];
        self.groups[group].primary as usize == member && claims.claimed_at > claims.doubted_at
    }

    /// The position from which on a member's positions prove anything. A former primary's position counts only from the
    /// beginning of the newest term on: earlier commits may be on a discarded branch.
    pub fn valid_positions_from(&self, member: usize) -> Duration {
        let Some(group) = self.group(member) else { return Duration::ZERO };
        let (claims, state) = (&self.claims[member], &self.groups[group]);
        let former = claims.term > 0 && claims.term < state.term;
        state.began.time().filter(|_| former).unwrap_or_default()
    }

    /// When a member last reported that it is a replica.
    pub fn replica_reported_at(&self, member: usize) -> Option<Duration> {
        self.claims.get(member)?.replica_at.time()
    }

    /// Whether a member has ever claimed to be the primary.
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

    /// The phase of a group.
    pub fn phase(&self, group: usize) -> Phase {
        self.groups.get(group).map_or(Phase::NoPrimary, |state| state.phase)
    }

    /// The number of groups in a phase.
    pub fn in_phase(&self, phase: Phase) -> usize {
        self.phases[phase as usize]
    }

    /// How long the group is expected to remain without a primary, judged by past changes of this group, or of all
    /// groups if this one had too few. `None` if it has a primary or too little is known.
    pub fn expected_wait(&self, now: Duration, group: usize) -> Option<Duration> {
        let state = self.groups.get(group)?;
        let lasted = now.saturating_sub(state.leaderless_since.time()?);
        state
            .leaderless_durations
            .expected_remaining(lasted)
            .or_else(|| self.leaderless_durations.expected_remaining(lasted))
    }

    /// When the rules of the group must be applied again although nothing was observed: the time limit of the plan's
    /// step.
    pub fn plan_deadline(&self, group: usize) -> Option<Duration> {
        self.plans.get(&group)?.step_deadline()
    }

    /// Memory used by the records in bytes, without allocator overhead.
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
