//! Runs many processes of the program under faults from a schedule, records one history, and audits it. The checks
//! are described in `docs/fleet.md`.

pub mod audit;
mod control;
mod crowd;
pub mod history;
mod ledger;
mod machine;
mod misbehaving;
pub mod owners;
pub mod page;
mod pauses;
pub mod play;
pub mod primaries;
mod process;
pub mod relay;
pub mod schedule;
pub mod soak;
pub mod stolen_time;

pub use audit::{Figures, figures};
pub use control::ask;
pub use play::play;
pub use schedule::{FaultKind, InjectedFault, Schedule};

use std::path::Path;

/// Plays a schedule and evaluates its history.
pub fn play_and_evaluate(
    schedule: &Schedule,
    seed: u64,
    program: &str,
    into: &Path,
) -> Result<Figures, String> {
    play(schedule, seed, program, into, None)?;
    Ok(figures(&history::read(into)?))
}

/// Shrinks a failing schedule: removes faults one by one while it still fails, with at most `plays` runs.
pub fn shrink(
    schedule: &Schedule,
    mut plays: usize,
    fails: &mut dyn FnMut(&Schedule) -> Result<bool, String>,
) -> Result<Schedule, String> {
    let mut minimal = schedule.clone();
    let mut at = 0;
    while at < minimal.mishaps.len() && plays > 0 {
        let mut candidate = minimal.clone();
        candidate.mishaps.remove(at);
        plays -= 1;
        if fails(&candidate)? { minimal = candidate } else { at += 1 }
    }
    Ok(minimal)
}
