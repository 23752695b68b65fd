//! Runs a scenario in simulated time, with the fronts in this process.

use crate::fronts::{Defect, Front, Policy};
use crate::measure::{Measure, MembershipSummary, Outcome, StateSample};
use crate::scenario::Scenario;
use juniperdock_emulator::{Out, World};
use std::time::{Duration, Instant};

/// Interval between samples of the fleet's state.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// The run continues for at most this long after the last arrival, or until no txn is open.
const MAX_TAIL: Duration = Duration::from_secs(10);

/// Runs a scenario. The same seed gives the same run on any machine. `moments` turns on samples of the fleet's state.
pub fn simulate(
    scenario: &Scenario,
    seed: u64,
    policy: Policy,
    defect: Option<Defect>,
    moments: bool,
) -> Outcome {
    let begun = Instant::now();
    let mut world = World::new(scenario.shape(seed));
    let lasts = world.shape().lasts;
    let mut measure = Measure::new(world.shape().kinds.clone(), lasts);
    let mut fronts: Vec<Option<Front>> = (0..world.shape().fronts.len()).map(|_| None).collect();
    let mut next = Duration::ZERO;
    loop {
        let until = if moments { next.min(lasts + MAX_TAIL) } else { lasts + MAX_TAIL };
        let Some(out) = world.next(until) else {
            if until >= lasts + MAX_TAIL || world.next_at().is_none() {
                break;
            }
            if next <= lasts {
                world.advance_to(next);
                measure.moments.push(sample_state(&world, &fronts));
            }
            next += SAMPLE_INTERVAL;
            continue;
        };
        match &out {
            Out::Done { .. } | Out::Answered { .. } => measure.record(world.now(), &out),
            Out::Born { front, .. } => {
                let mut new = Front::new(policy, defect, scenario, seed, *front, &world);
                new.handle(&out, &mut world);
                fronts[*front] = Some(new);
            }
            Out::Listed { front, .. }
            | Out::Arrived { front, .. }
            | Out::Left { front, .. }
            | Out::Ended { front, .. }
            | Out::Probed { front, .. }
            | Out::Shared { front, .. }
            | Out::Due { front, .. } => {
                if let Some(front) = fronts[*front].as_mut() {
                    front.handle(&out, &mut world);
                }
            }
        }
        // Timers are rearmed for ever; the run ends once no txn is open.
        if world.now() > lasts && (0..fronts.len()).all(|front| world.open(front) == 0) {
            break;
        }
    }
    let mut outcome =
        measure.outcome(scenario, seed, policy.name(), true, world.audit.counts, &world.audit.broken);
    if scenario.fleet.fellows {
        outcome.fellows = Some(MembershipSummary::of(fronts.iter().flatten().filter_map(Front::membership)));
    }
    outcome.in_grace = world.answered_in_grace;
    (outcome.trace, outcome.events) = (format!("{:016x}", world.trace()), world.events);
    outcome.wall_s = begun.elapsed().as_secs_f64();
    outcome
}

/// Samples the state of the fleet, with the first front's view of each primary compared with the actual one.
pub fn sample_state(world: &World, fronts: &[Option<Front>]) -> StateSample {
    let front = fronts.iter().flatten().next();
    let primaries = (0..world.groups()).map(|group| {
        let (actual, view) = (world.primary(group), front.and_then(|front| front.known_primary(group)));
        match (actual, view) {
            (None, _) => 1,
            (Some(_), Some(None)) => 2,
            (Some(actual), Some(Some(view))) if actual != view => 3,
            _ => 0,
        }
    });
    StateSample {
        at_s: world.now().as_secs_f64(),
        held: (0..world.members())
            .map(|member| world.held(member).min(usize::from(u16::MAX)) as u16)
            .collect(),
        primaries: primaries.collect(),
        open: (0..fronts.len()).map(|front| world.open(front)).sum(),
    }
}
