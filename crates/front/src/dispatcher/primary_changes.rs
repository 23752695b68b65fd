//! Planned changes of primaries in more than one process of this front: each holds the group's writes, whichever of them
//! was told of the change.

use super::Dispatcher;
use juniperdock_fleet_tasks::HoldStep;
use juniperdock_primary_tracker::{Plan, PlanReason, Step, UndoReason};
use juniperdock_runtime_state::{Change, ChangeStep, Follow, PrimaryChange};
use std::time::Duration;

/// What other processes of this front know of planned changes here, and the other way round.
#[derive(Default)]
pub(super) struct SharedChanges {
    /// As last published.
    published: Vec<PrimaryChange>,
    /// Changes that were begun in another process, and when they were taken up here.
    taken_up: Vec<(PrimaryChange, Duration)>,
}

impl Dispatcher {
    /// Tells the other processes of planned changes that have begun, gone on or were called off since the last call.
    pub(super) fn publish_primary_changes(&mut self) {
        if !self.host.runtime_state.is_shared() {
            self.shared_changes.published.clear();
            return;
        }
        let changes = self.primary_changes();
        if changes != self.shared_changes.published {
            self.shared_changes.published.clone_from(&changes);
            self.host.runtime_state.publish(Change::PrimaryChanges(changes), None);
        }
    }

    /// The planned changes that operators have ordered and that are in progress or were called off.
    pub(super) fn primary_changes(&self) -> Vec<PrimaryChange> {
        let plans = self.router.primary_tracker().plans().filter(|plan| plan.reason == PlanReason::Order);
        plans.filter_map(|plan| self.primary_change(plan, shared_step(plan)?)).collect()
    }

    /// A plan as other processes get it.
    fn primary_change(&self, plan: &Plan, step: ChangeStep) -> Option<PrimaryChange> {
        let (host, clock) = (&self.host, &self.host.clock);
        let (group, leaving) = (*host.groups.id(plan.group), host.ids.id(plan.leaving).clone());
        let taken_up = self.shared_changes.taken_up.iter().find(|(change, begun)| {
            change.group == group && change.leaving == leaving && *begun == plan.begun
        });
        let begun_us = taken_up.map_or_else(|| clock.boot_time_us(plan.begun), |(change, _)| change.begun_us);
        let order = self.fleet_changes.iter().find(|(its, _, _)| *its == group).map(|(_, order, _)| *order);
        Some(PrimaryChange {
            group,
            leaving,
            successor: plan.successor.map(|successor| host.ids.id(successor).clone()),
            step,
            begun_us,
            step_ends_us: plan.step_deadline().map_or(0, |ends| clock.boot_time_us(ends)),
            order,
        })
    }

    /// Does what planned changes in another process of this front call for here.
    pub(super) fn follow_primary_changes(&mut self, now: Duration, changes: Vec<PrimaryChange>) {
        for change in changes {
            let Some(group) = self.host.groups.known(&change.group) else { continue };
            let plan = self.router.primary_tracker().plan(group).copied();
            let own = plan.and_then(|plan| self.primary_change(&plan, change.step));
            match change.follow(own.as_ref(), plan.is_some_and(|plan| !plan.ended())) {
                Follow::Nothing => {}
                Follow::CallOff => {
                    self.router.cancel_primary_change(now, group, &mut self.host);
                }
                Follow::TakeUp => self.take_up_primary_change(now, group, change),
            }
        }
    }

    /// Holds writes for a change that was begun in another process, as long as that does.
    fn take_up_primary_change(&mut self, now: Duration, group: usize, change: PrimaryChange) {
        let Some(leaving) = self.host.ids.known(&change.leaving) else { return };
        let successor = change.successor.as_ref().and_then(|successor| self.host.ids.known(successor));
        let step = match change.step {
            ChangeStep::Awaiting => Step::Awaiting,
            ChangeStep::Emptying | ChangeStep::CalledOff => Step::Emptying,
        };
        let step_ends = self.host.clock.since_start(change.step_ends_us);
        let plan = Plan::restored(now, group, leaving, successor, step, step_ends);
        slog::info!(self.log, "a planned change of primary goes on here"; "group" => change.group);
        if let Some(order) = change.order {
            self.fleet_changes.push((change.group, order, HoldStep::Asked));
        }
        self.shared_changes.taken_up.retain(|(other, _)| other.group != change.group);
        self.shared_changes.taken_up.push((change, now));
        self.router.restore_primary_changes(now, &[plan], &mut self.host);
    }

    /// Planned changes that operators have ordered and that are in progress.
    pub(super) fn plans_in_progress(&self) -> Vec<Plan> {
        let plans = self.router.primary_tracker().plans();
        plans.filter(|plan| plan.reason == PlanReason::Order && !plan.ended()).copied().collect()
    }
}

/// How far a plan has come for other processes; `None` if they need not know of it.
fn shared_step(plan: &Plan) -> Option<ChangeStep> {
    match plan.step {
        Step::Emptying => Some(ChangeStep::Emptying),
        Step::Awaiting => Some(ChangeStep::Awaiting),
        Step::Undone(UndoReason::CalledOff) => Some(ChangeStep::CalledOff),
        Step::Done | Step::Undone(_) => None,
    }
}
