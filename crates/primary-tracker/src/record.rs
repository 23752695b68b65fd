//! The record of each group, and the ordered rules that keep it.

use crate::leaderless::LeaderlessDurations;
use crate::plan::{Plan, Reason, Sight, Step};
use crate::stamp::Stamp;
use crate::{FENCE, MAX_SAFE_SILENCE};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::Duration;

pub(crate) const NOBODY: u32 = u32::MAX;

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
    Vacant,
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
        [Phase::Vacant, Phase::Settling, Phase::Steady, Phase::Doubted, Phase::HandingOver];

    pub fn name(self) -> &'static str {
        match self {
            Phase::Vacant => "vacant",
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
pub(crate) struct Seat {
    /// Its group, counted from 1; 0 where it has no seat.
    pub group: u32,
    /// The last term that it held; 0 for none.
    pub term: u32,
    /// Newest date and newest proof of a claim to be primary.
    pub claim: Stamp,
    pub proof: Stamp,
    /// Newest date, and newest proof, of its word that it is a replica.
    pub replica: Stamp,
    pub stepped: Stamp,
    /// Claims up to here count no more.
    pub doubted: Stamp,
    /// Something spoke against it then; claims up to here prove nothing to readers.
    pub shaken: Stamp,
    /// When it was heard from last, and when its last silence of `MAX_SAFE_SILENCE` or more ended.
    pub heard: Stamp,
    pub gap: Stamp,
    /// Date of its newest claim while it held the slot.
    pub served: Stamp,
    pub barred: bool,
    pub drains: bool,
    /// Its last term was one that it denied itself before it had answered as primary.
    pub disproved: bool,
}

impl Seat {
    /// Its newest claim counts.
    fn stands(&self) -> bool {
        self.claim > self.replica && self.claim > self.doubted && !self.barred
    }

    /// It has said that it is a replica since it last served: what it claims now is no claim of that term.
    fn stepped_down(&self) -> bool {
        self.stepped > self.served
    }
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
pub(crate) struct Record {
    pub members: SmallVec<[u32; 4]>,
    pub holder: u32,
    /// Who held the newest term, and that term's number; 0 before the first.
    pub last: u32,
    pub term: u32,
    pub phase: Phase,
    /// The holder has answered as primary in this term.
    pub confirmed: bool,
    /// The last holder denied its role itself.
    pub denied: bool,
    /// Date of the newest claim of the newest term.
    pub newest: Stamp,
    /// Proof of the first claim of the newest term.
    pub began: Stamp,
    /// Since when the slot is empty, where it has been held before.
    pub emptied: Stamp,
    /// That it is empty was taken up from another process.
    pub restored: bool,
    pub vacancies: LeaderlessDurations,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            members: SmallVec::new(),
            holder: NOBODY,
            last: NOBODY,
            term: 0,
            phase: Phase::Vacant,
            confirmed: false,
            denied: false,
            newest: Stamp::NEVER,
            began: Stamp::NEVER,
            emptied: Stamp::NEVER,
            restored: false,
            vacancies: LeaderlessDurations::default(),
        }
    }
}

/// Who holds each group's slot. Members and groups are small indices; no call costs more where there are more
/// groups.
#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
pub struct PrimaryTracker {
    pub(crate) seats: Vec<Seat>,
    pub(crate) records: Vec<Record>,
    plans: BTreeMap<usize, Plan>,
    /// Vacancies of all groups.
    vacancies: LeaderlessDurations,
    /// Changes that nobody has asked for yet.
    changes: Vec<Change>,
    /// Groups in each phase.
    phases: [usize; Phase::ALL.len()],
}

impl PrimaryTracker {
    /// Gives a member its seat in a group; one that has a seat keeps it.
    pub fn add_member(&mut self, member: usize, group: usize) {
        if self.seats.len() <= member {
            self.seats.resize_with(member + 1, Seat::default);
        }
        while self.records.len() <= group {
            self.records.push(Record::default());
            self.phases[Phase::Vacant as usize] += 1;
        }
        if self.seats[member].group == 0 {
            self.seats[member].group = group as u32 + 1;
            self.records[group].members.push(member as u32);
        }
    }

    /// Takes the member's seat away; who gets its index later is another.
    pub fn remove_member(&mut self, now: Duration, member: usize) {
        let Some(group) = self.group(member) else { return };
        let record = &mut self.records[group];
        record.members.retain(|m| *m as usize != member);
        if record.holder as usize == member {
            self.vacate(now, group, ChangeReason::Listed);
        }
        let record = &mut self.records[group];
        if record.last as usize == member {
            record.last = NOBODY;
        }
        if self.plans.get(&group).is_some_and(|plan| plan.leaving == member) {
            self.plans.remove(&group);
        }
        if let Some(plan) = self.plans.get_mut(&group) {
            plan.successor = plan.successor.filter(|&successor| successor != member);
        }
        self.seats[member] = Seat::default();
    }

    /// Whether new work may go to a member at all, and whether it drains.
    pub fn set_availability(&mut self, now: Duration, member: usize, barred: bool, drains: bool) {
        let Some(group) = self.group(member) else { return };
        let seat = &mut self.seats[member];
        let begins = drains && !std::mem::replace(&mut seat.drains, drains);
        seat.barred = barred;
        if begins && self.records[group].holder as usize == member {
            self.begin(Plan::new(now, group, member, None, Reason::Drain));
        }
    }

    fn begin(&mut self, plan: Plan) {
        self.plans.insert(plan.group, plan);
        self.tell(plan);
    }

    /// Notes that a plan has begun or ended.
    fn tell(&mut self, plan: Plan) {
        let (group, holder) = (plan.group, self.primary(plan.group));
        let (term, why, plan) = (self.records[group].term, ChangeReason::Planned, Some(plan));
        self.changes.push(Change { group, term, from: holder, to: holder, why, leaderless_for: None, plan });
    }

    /// Something was heard from a member; `answered`: it was an answer to a submission.
    pub fn observe(&mut self, now: Duration, member: usize, claim: Option<Claim>, answered: bool) {
        let Some(group) = self.group(member) else { return };
        let seat = &mut self.seats[member];
        if Stamp::at(now) >= seat.heard.plus(MAX_SAFE_SILENCE) {
            seat.gap = Stamp::at(now);
        }
        seat.heard = seat.heard.max(Stamp::at(now));
        // No claim can be made in the future: clocks are a little apart.
        let Some(Claim { role, made_at, not_before }) = claim else { return };
        let (made_at, not_before) =
            (Stamp::at(made_at.min(now)), Stamp::at(not_before.min(made_at).min(now)));
        match role {
            Role::Replica => {
                seat.replica = seat.replica.max(made_at);
                seat.stepped = seat.stepped.max(not_before);
            }
            Role::Primary => {
                seat.claim = seat.claim.max(made_at);
                seat.proof = seat.proof.max(not_before);
                let stands = seat.stands();
                let record = &mut self.records[group];
                if record.holder as usize == member && stands {
                    record.newest = record.newest.max(made_at);
                    seat.served = seat.served.max(made_at);
                    if answered && not_before >= record.began {
                        (record.confirmed, seat.disproved) = (true, false);
                    }
                }
            }
        }
    }

    /// A write was committed by the member: it is primary, whether it says so or not.
    pub fn committed(&mut self, member: usize) {
        let Some(group) = self.group(member) else { return };
        if self.records[group].holder as usize == member {
            (self.records[group].confirmed, self.seats[member].disproved) = (true, false);
        }
    }

    /// A submission to the holder failed, or it fell silent: only a claim dated later fills the slot again.
    pub fn invalidate_claims(&mut self, now: Duration, member: usize) {
        self.seats[member].doubted = self.seats[member].doubted.max(Stamp::at(now));
    }

    /// One thing speaks against a member that may mean nothing: it keeps the slot, but no reader counts on
    /// its role until it has claimed again.
    pub fn mark_doubted(&mut self, now: Duration, member: usize) {
        self.seats[member].shaken = self.seats[member].shaken.max(Stamp::at(now));
    }

    /// Orders a change of a group's primary; the error says why there is nothing to change.
    pub fn order_change(
        &mut self,
        now: Duration,
        group: usize,
        successor: Option<usize>,
    ) -> Result<Plan, String> {
        let record = self.records.get(group).ok_or("expected a group with members")?;
        if let Some(plan) = self.plans.get(&group).filter(|plan| !plan.ended()) {
            return Err(format!("a change is under way since {:?}", plan.begun));
        }
        if record.holder == NOBODY {
            return Err("the group has no primary now".to_owned());
        }
        let leaving = record.holder as usize;
        if let Some(successor) = successor {
            if successor == leaving {
                return Err("the successor is the primary already".to_owned());
            }
            if self.group(successor) != Some(group) || self.seats[successor].barred {
                return Err("the successor is no member that may be used".to_owned());
            }
        }
        let plan = Plan::new(now, group, leaving, successor, Reason::Order);
        self.begin(plan);
        Ok(plan)
    }

    /// Calls a planned change off: the old primary is used again, if it may be. False if there is none under
    /// way.
    pub fn call_off(&mut self, now: Duration, group: usize) -> bool {
        let off = self.plans.get_mut(&group).filter(|plan| !plan.ended()).map(|plan| {
            plan.call_off(now);
            *plan
        });
        off.inspect(|&plan| self.tell(plan)).is_some()
    }

    /// The newest plan of a group, under way or ended.
    pub fn plan(&self, group: usize) -> Option<&Plan> {
        self.plans.get(&group)
    }

    /// All plans that are kept, by group.
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values()
    }

    /// Goes through the rules of one group until none fires. `out`: writes out at the holder of its newest
    /// term.
    pub fn apply_rules(&mut self, now: Duration, group: usize, out: usize) {
        if group >= self.records.len() {
            return;
        }
        while self.empty(now, group) || self.fill(now, group) || self.plan_on(now, group, out) {}
        let phase = self.find_phase(group);
        let old = std::mem::replace(&mut self.records[group].phase, phase);
        self.phases[old as usize] -= 1;
        self.phases[phase as usize] += 1;
    }

    /// The holder loses the slot once its newest claim does not stand.
    fn empty(&mut self, now: Duration, group: usize) -> bool {
        let record = &self.records[group];
        let Some(seat) = self.seats.get(record.holder as usize) else { return false };
        let why = match seat {
            seat if seat.stands() => return false,
            seat if seat.barred => ChangeReason::Listed,
            seat if seat.replica >= seat.claim => ChangeReason::SaidReplica,
            _ => ChangeReason::Failed,
        };
        self.vacate(now, group, why);
        true
    }

    fn vacate(&mut self, now: Duration, group: usize, why: ChangeReason) {
        let record = &mut self.records[group];
        let from = std::mem::replace(&mut record.holder, NOBODY) as usize;
        record.denied = why == ChangeReason::SaidReplica;
        record.emptied = Stamp::at(now);
        if let Some(seat) = self.seats.get_mut(from) {
            seat.disproved |= record.denied && !record.confirmed;
        }
        let term = record.term;
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
    fn fill(&mut self, now: Duration, group: usize) -> bool {
        let record = &self.records[group];
        let may = record.members.iter().copied().filter(|&member| self.may_take(now, record, member));
        let Some(next) = may.max_by_key(|&member| (self.seats[member as usize].claim, member)) else {
            return false;
        };
        let (record, seat) = (&mut self.records[group], &mut self.seats[next as usize]);
        let from = std::mem::replace(&mut record.holder, next);
        let resumed = record.last == next && !seat.stepped_down();
        if !resumed {
            record.term += 1;
            (record.last, record.began, record.confirmed) = (next, seat.proof, false);
            seat.term = record.term;
        }
        record.denied = false;
        (record.newest, seat.served) = (record.newest.max(seat.claim), seat.claim);
        let emptied = std::mem::take(&mut record.emptied);
        let leaderless_for = emptied.time().map(|emptied| now.saturating_sub(emptied));
        let learns = !std::mem::take(&mut record.restored);
        if let Some(span) = leaderless_for.filter(|_| learns) {
            record.vacancies.add(span);
            self.vacancies.add(span);
        }
        let why = if resumed { ChangeReason::Resumed } else { ChangeReason::Claimed };
        let (term, from, to) = (record.term, (from != NOBODY).then_some(from as usize), Some(next as usize));
        self.changes.push(Change { group, term, from, to, why, leaderless_for, plan: None });
        true
    }

    /// Whether a member's newest claim may take the slot now.
    fn may_take(&self, now: Duration, record: &Record, member: u32) -> bool {
        let seat = &self.seats[member as usize];
        if !seat.stands() || record.holder == member {
            return false;
        }
        // Provably later than the last claim of the newest term.
        let later = seat.proof > record.newest;
        if record.holder != NOBODY {
            // A held slot is taken by a later claim only; not by one that has claimed in vain before.
            return later && !seat.disproved && !self.fenced(now, record, member);
        }
        if record.last == member && !seat.stepped_down() {
            return self.others_heard(record, member);
        }
        record.term == 0 || later && !self.fenced(now, record, member)
    }

    /// A former primary is fenced: its claim may be of its old term. It is not any more when it has said
    /// since that it is a replica; when the holder after it denied its term itself, and no silence of the
    /// former one was so long that it can have slept through a change; or when the slot has been empty, and
    /// it awake, for long.
    fn fenced(&self, now: Duration, record: &Record, member: u32) -> bool {
        let seat = &self.seats[member as usize];
        let former = seat.term > 0 && (record.last != member || seat.stepped_down());
        let unbroken =
            record.denied && seat.gap <= record.began && seat.heard.plus(MAX_SAFE_SILENCE) > Stamp::at(now);
        let waited = record.holder == NOBODY && seat.proof > record.emptied.max(seat.gap).plus(FENCE);
        former && !seat.stepped_down() && !unbroken && !waited
    }

    /// The holder of the newest term comes back to an empty slot at once if it was never silent for long.
    /// After such a silence the others are heard first: one of them may have taken over meanwhile.
    fn others_heard(&self, record: &Record, member: u32) -> bool {
        let gap = self.seats[member as usize].gap;
        let silent = gap > record.began && gap >= record.emptied;
        let heard = |&m: &u32| {
            let other = &self.seats[m as usize];
            m == member || other.barred || other.heard >= gap
        };
        !silent || self.seats[member as usize].proof > gap.plus(FENCE) || record.members.iter().all(heard)
    }

    fn plan_on(&mut self, now: Duration, group: usize, out: usize) -> bool {
        let record = &self.records[group];
        let Some(plan) = self.plans.get_mut(&group) else { return false };
        let holder = (record.holder != NOBODY).then_some(record.holder as usize);
        let sight = Sight {
            out,
            succeeded: holder.is_some_and(|holder| holder != plan.leaving),
            successor_left: plan.successor.is_some_and(|successor| self.seats[successor].barred),
            // One that says itself that it is a replica, once its writes are out, hands over as it was told to.
            lost: holder.is_none()
                && !self.seats[plan.leaving].drains
                && !(plan.step == Step::Awaiting && record.denied),
        };
        if !plan.advance(now, sight) {
            return false;
        }
        let plan = *plan;
        if plan.ended() {
            self.tell(plan);
        }
        true
    }

    fn find_phase(&self, group: usize) -> Phase {
        let record = &self.records[group];
        let seat = self.seats.get(record.holder as usize);
        match seat {
            _ if self.plans.get(&group).is_some_and(Plan::holds_writes) => Phase::HandingOver,
            None => Phase::Vacant,
            Some(seat) if seat.claim <= seat.shaken => Phase::Doubted,
            Some(_) if !record.confirmed => Phase::Settling,
            Some(_) => Phase::Steady,
        }
    }

    /// The changes since this was last asked.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Who holds the slot.
    pub fn primary(&self, group: usize) -> Option<usize> {
        let holder = self.records.get(group)?.holder;
        (holder != NOBODY).then_some(holder as usize)
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
        let seat = &self.seats[member];
        self.records[group].holder as usize == member && seat.claim > seat.shaken
    }

    /// From where on a position of a member proves anything: a former primary's counts only once it has the
    /// beginning of the newest term, for what it had before may be of a branch that was dropped.
    pub fn valid_positions_from(&self, member: usize) -> Duration {
        let Some(group) = self.group(member) else { return Duration::ZERO };
        let (seat, record) = (&self.seats[member], &self.records[group]);
        let former = seat.term > 0 && seat.term < record.term;
        record.began.time().filter(|_| former).unwrap_or_default()
    }

    /// When a member said last that it is a replica.
    pub fn replica_reported_at(&self, member: usize) -> Option<Duration> {
        self.seats.get(member)?.replica.time()
    }

    /// Whether a member has ever claimed to be primary.
    pub fn has_claimed(&self, member: usize) -> bool {
        self.seats.get(member).is_some_and(|seat| seat.claim > Stamp::NEVER)
    }

    /// The number of the newest term; 0 before the first.
    pub fn term(&self, group: usize) -> u32 {
        self.records.get(group).map_or(0, |record| record.term)
    }

    /// The last term that a member held; 0 for none.
    pub fn held_term(&self, member: usize) -> u32 {
        self.seats.get(member).map_or(0, |seat| seat.term)
    }

    pub fn phase(&self, group: usize) -> Phase {
        self.records.get(group).map_or(Phase::Vacant, |record| record.phase)
    }

    /// How many groups are in a phase.
    pub fn in_phase(&self, phase: Phase) -> usize {
        self.phases[phase as usize]
    }

    /// How long the slot still stays empty, as far as changes of late tell: those of the group, or of all
    /// where it had too few. `None` where it is held or where too little is known.
    pub fn expected_wait(&self, now: Duration, group: usize) -> Option<Duration> {
        let record = self.records.get(group)?;
        let lasted = now.saturating_sub(record.emptied.time()?);
        record.vacancies.left(lasted).or_else(|| self.vacancies.left(lasted))
    }

    /// When the group has to be looked at again though nothing comes in: a planned change runs out of time.
    pub fn plan_deadline(&self, group: usize) -> Option<Duration> {
        self.plans.get(&group)?.step_ends()
    }

    /// Bytes that the records take, without what the allocator adds.
    pub fn bytes(&self) -> usize {
        self.seats.capacity() * size_of::<Seat>()
            + self.records.capacity() * size_of::<Record>()
            + self
                .records
                .iter()
                .map(|r| if r.members.spilled() { r.members.capacity() * 4 } else { 0 })
                .sum::<usize>()
    }

    pub(crate) fn group(&self, member: usize) -> Option<usize> {
        Some(self.seats.get(member)?.group.checked_sub(1)? as usize)
    }
}
