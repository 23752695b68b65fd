//! A scenario in simulated time, with the fronts in this process.

use crate::fronts::{Broken, Front, Policy};
use crate::measure::{Fellowship, Measure, Moment, Outcome};
use crate::scenario::Scenario;
use juniperdock_emulator::{Out, World};
use std::time::{Duration, Instant};

/// How often it is noted how things stand.
const MOMENT: Duration = Duration::from_millis(250);
/// After the last arrival all goes on for so long, or until nothing waits any more.
const AFTER: Duration = Duration::from_secs(10);

/// Plays a scenario. The same seed plays the same, on any machine.
pub fn simulate(
    scenario: &Scenario,
    seed: u64,
    policy: Policy,
    broken: Option<Broken>,
    moments: bool,
) -> Outcome {
    let begun = Instant::now();
    let mut world = World::new(scenario.shape(seed));
    let lasts = world.shape().lasts;
    let mut measure = Measure::new(world.shape().kinds.clone(), lasts);
    let mut fronts: Vec<Option<Front>> = (0..world.shape().fronts.len()).map(|_| None).collect();
    let mut next = Duration::ZERO;
    loop {
        let until = if moments { next.min(lasts + AFTER) } else { lasts + AFTER };
        let Some(out) = world.next(until) else {
            if until >= lasts + AFTER || world.next_at().is_none() {
                break;
            }
            if next <= lasts {
                world.pass(next);
                measure.moments.push(moment(&world, &fronts));
            }
            next += MOMENT;
            continue;
        };
        match &out {
            Out::Done { .. } | Out::Answered { .. } => measure.note(world.now(), &out),
            Out::Born { front, .. } => {
                let mut new = Front::new(policy, broken, scenario, seed, *front, &world);
                new.take(&out, &mut world);
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
                    front.take(&out, &mut world);
                }
            }
        }
        // Reminders go on for ever; the day does not.
        if world.now() > lasts && (0..fronts.len()).all(|front| world.open(front) == 0) {
            break;
        }
    }
    let mut outcome =
        measure.outcome(scenario, seed, policy.name(), true, world.audit.counts, &world.audit.broken);
    if scenario.fleet.fellows {
        outcome.fellows = Some(Fellowship::of(fronts.iter().flatten().filter_map(Front::fellows)));
    }
    outcome.in_grace = world.answered_in_grace;
    (outcome.trace, outcome.events) = (format!("{:016x}", world.trace()), world.events);
    outcome.wall_s = begun.elapsed().as_secs_f64();
    outcome
}

/// How things stand: the first front's belief beside the truth.
pub fn moment(world: &World, fronts: &[Option<Front>]) -> Moment {
    let front = fronts.iter().flatten().next();
    let primaries = (0..world.groups()).map(|group| {
        let (truth, belief) = (world.primary(group), front.and_then(|front| front.believes(group)));
        match (truth, belief) {
            (None, _) => 1,
            (Some(_), Some(None)) => 2,
            (Some(truth), Some(Some(belief))) if truth != belief => 3,
            _ => 0,
        }
    });
    Moment {
        at_s: world.now().as_secs_f64(),
        held: (0..world.members())
            .map(|member| world.held(member).min(usize::from(u16::MAX)) as u16)
            .collect(),
        primaries: primaries.collect(),
        open: (0..fronts.len()).map(|front| world.open(front)).sum(),
    }
}
