//! Experiments over many runs: comparisons on the same seeds, sweeps over a field, and a search for the scenario on
//! which a build loses the most value.

use crate::fronts::Policy;
use crate::measure::Outcome;
use crate::scenario::{Befallen, Befalls, Of, Scenario, find};
use crate::simulate::simulate;
use indicatif::{ProgressBar, ProgressStyle};
use juniperdock_emulator::Stream;
use rayon::prelude::*;
use serde::Serialize;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of bootstrap resamples.
const RESAMPLES: usize = 4000;

/// A side of a comparison: a policy of this build, or the laboratory program of another build.
#[derive(Clone, Debug, PartialEq)]
pub enum Side {
    Here(Policy),
    Build(PathBuf),
}

impl Side {
    /// Parses the name of a policy, or the path of a `juniperdock-lab` program.
    pub fn named(name: &str) -> Result<Side, String> {
        if name.contains('/') {
            let path = PathBuf::from(name);
            return if path.is_file() {
                Ok(Side::Build(path))
            } else {
                Err(format!("{name}: program not found"))
            };
        }
        Policy::named(name).map(Side::Here)
    }

    /// Name of the policy or path of the program.
    pub fn name(&self) -> String {
        match self {
            Side::Here(policy) => policy.name().to_owned(),
            Side::Build(path) => path.display().to_string(),
        }
    }

    /// Runs a scenario on this side.
    pub fn play(&self, scenario: &Scenario, seed: u64) -> Result<Outcome, String> {
        let path = match self {
            Side::Here(policy) => return Ok(simulate(scenario, seed, *policy, None, false)),
            Side::Build(path) => path,
        };
        // Runs are concurrent, so each one needs its own file.
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let name =
            format!("juniperdock-lab-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let file = std::env::temp_dir().join(name);
        let text = serde_json::to_string(scenario).map_err(|e| e.to_string())?;
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        let out =
            Command::new(path).arg("run").arg(&file).args(["--json", "--seed", &seed.to_string()]).output();
        let _ = std::fs::remove_file(&file);
        let out = out.map_err(|e| format!("{}: {e}", path.display()))?;
        let whole = String::from_utf8_lossy(&out.stdout);
        serde_json::from_str(whole.trim())
            .map_err(|e| format!("{}: {e}: {}", path.display(), String::from_utf8_lossy(&out.stderr).trim()))
    }
}

/// Runs all jobs on all cores, with a progress bar on standard error unless `quiet`; results are in the order of the
/// jobs.
pub fn run_all<J: Sync, R: Send>(jobs: &[J], quiet: bool, work: impl Fn(&J) -> R + Sync) -> Vec<R> {
    let bar = if quiet { ProgressBar::hidden() } else { ProgressBar::new(jobs.len() as u64) };
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} runs, {eta} left") {
        bar.set_style(style);
    }
    let done = jobs.par_iter().map(|job| {
        let result = work(job);
        bar.inc(1);
        result
    });
    let done = done.collect();
    bar.finish_and_clear();
    done
}

/// A mean with its 95% confidence interval by bootstrap.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Interval {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

impl Interval {
    /// Interval of identically distributed values; `seed` determines the resampling.
    pub fn of(values: &[f64], seed: u64) -> Interval {
        let n = values.len().max(1);
        let mean = values.iter().sum::<f64>() / n as f64;
        let mut rng = Stream::of(seed, "bootstrap", n);
        let mut means: Vec<f64> = (0..RESAMPLES)
            .map(|_| {
                (0..n).map(|_| values.get(rng.below(n)).copied().unwrap_or_default()).sum::<f64>() / n as f64
            })
            .collect();
        means.sort_unstable_by(f64::total_cmp);
        let at = |share: f64| means[(share * (RESAMPLES - 1) as f64) as usize];
        Interval { mean, low: at(0.025), high: at(0.975) }
    }

    /// Whether the interval excludes zero.
    pub fn excludes_zero(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// Results of two sides on one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Pair {
    pub scenario: String,
    pub a: Interval,
    pub b: Interval,
    /// B minus A, paired by seed.
    pub difference: Interval,
    pub p99_ms: (f64, f64),
    pub rules_broken: (usize, usize),
    pub verdict: String,
}

/// Runs both sides on the same scenarios and seeds.
pub fn compare(
    a: &Side,
    b: &Side,
    scenarios: &[Scenario],
    seeds: &[u64],
    quiet: bool,
) -> Result<Vec<Pair>, String> {
    let jobs: Vec<_> = scenarios
        .iter()
        .flat_map(|scenario| seeds.iter().flat_map(move |&seed| [(scenario, seed, a), (scenario, seed, b)]))
        .collect();
    let played = run_all(&jobs, quiet, |(scenario, seed, side)| side.play(scenario, *seed));
    let played: Vec<Outcome> = played.into_iter().collect::<Result<_, _>>()?;
    let pairs = scenarios.iter().zip(played.chunks(2 * seeds.len())).map(|(scenario, runs)| {
        let side = |at: usize| runs.iter().skip(at).step_by(2).collect::<Vec<_>>();
        let (runs_a, runs_b) = (side(0), side(1));
        let served = |runs: &[&Outcome]| runs.iter().map(|run| run.served).collect::<Vec<_>>();
        let (of_a, of_b) = (served(&runs_a), served(&runs_b));
        let differences: Vec<f64> = of_a.iter().zip(&of_b).map(|(a, b)| b - a).collect();
        let difference = Interval::of(&differences, 3);
        let p99 =
            |runs: &[&Outcome]| runs.iter().map(|run| run.p99_ms).sum::<f64>() / runs.len().max(1) as f64;
        let broken = |runs: &[&Outcome]| runs.iter().filter(|run| !run.rules_kept()).count();
        let verdict = match () {
            () if seeds.len() < 2 => "one seed tells nothing",
            () if !difference.excludes_zero() => "no difference seen",
            () if difference.mean > 0.0 => "B is better",
            () => "A is better",
        };
        Pair {
            scenario: scenario.title.clone(),
            a: Interval::of(&of_a, 1),
            b: Interval::of(&of_b, 2),
            difference,
            p99_ms: (p99(&runs_a), p99(&runs_b)),
            rules_broken: (broken(&runs_a), broken(&runs_b)),
            verdict: verdict.to_owned(),
        }
    });
    Ok(pairs.collect())
}

/// Returns the scenario with one field replaced; field and value are given as text: `load.per_second`, `500`.
pub fn with_field(scenario: &Scenario, field: &str, value: &str) -> Result<Scenario, String> {
    let mut whole = serde_json::to_value(scenario).map_err(|e| e.to_string())?;
    let pointer = format!("/{}", field.replace(['.', '['], "/").replace(']', ""));
    let at = whole.pointer_mut(&pointer).ok_or_else(|| format!("{field}: no such field"))?;
    *at = serde_json::from_str(value).unwrap_or_else(|_| value.into());
    let text = serde_json::to_string_pretty(&whole).map_err(|e| e.to_string())?;
    crate::scenario::read(&text).map_err(|faults| {
        faults.iter().map(|f| format!("{}: {}", f.field, f.why)).collect::<Vec<_>>().join("; ")
    })
}

/// One step of a sweep.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    pub value: String,
    pub served: Interval,
    pub p99_ms: f64,
    pub rules_broken: usize,
}

/// Runs a scenario with a field set to each of the values in turn.
pub fn sweep(
    side: &Side,
    scenario: &Scenario,
    field: &str,
    values: &[String],
    seeds: &[u64],
    quiet: bool,
) -> Result<Vec<Step>, String> {
    let scenarios: Vec<Scenario> =
        values.iter().map(|value| with_field(scenario, field, value)).collect::<Result<_, _>>()?;
    let jobs: Vec<_> = scenarios.iter().flat_map(|s| seeds.iter().map(move |&seed| (s, seed))).collect();
    let played: Vec<Outcome> =
        run_all(&jobs, quiet, |(s, seed)| side.play(s, *seed)).into_iter().collect::<Result<_, _>>()?;
    let steps = values.iter().zip(played.chunks(seeds.len())).map(|(value, runs)| Step {
        value: value.clone(),
        served: Interval::of(&runs.iter().map(|run| run.served).collect::<Vec<_>>(), 5),
        p99_ms: runs.iter().map(|run| run.p99_ms).sum::<f64>() / runs.len().max(1) as f64,
        rules_broken: runs.iter().filter(|run| !run.rules_kept()).count(),
    });
    Ok(steps.collect())
}

/// A scenario found by a search.
#[derive(Clone, Debug, Serialize)]
pub struct Found {
    pub seed: u64,
    pub served: f64,
    /// The better of the share served by the `sees-all` policy and by the router.
    pub within_reach: f64,
    pub rules_broken: [usize; 5],
    pub scenario: Scenario,
}

impl Found {
    /// Share lost against `within_reach`; a violated rule counts as worse than any loss.
    fn loss(&self) -> f64 {
        let broken = self.rules_broken.iter().any(|&n| n > 0);
        if broken { 10.0 } else { self.within_reach - self.served }
    }

    fn of(scenario: Scenario, seed: u64) -> Found {
        let ours = simulate(&scenario, seed, Policy::Router, None, false);
        let best = simulate(&scenario, seed, Policy::SeesAll, None, false);
        let within_reach = best.served.max(ours.served);
        Found { seed, served: ours.served, within_reach, rules_broken: ours.rules_broken, scenario }
    }
}

/// Draws a random scenario: the fleet of `base`, up to four faults, and a load near that of `base`.
fn random_scenario(base: &Scenario, seed: u64) -> Scenario {
    let mut rng = Stream::of(seed, "search", 0);
    let mut scenario = base.clone();
    scenario.title = format!("found by seed {seed}");
    scenario.load.per_second *= 0.5 + 1.5 * rng.share();
    scenario.troubles.clear();
    let kinds = [
        Befalls::Killed,
        Befalls::Hung,
        Befalls::Slow,
        Befalls::Errors,
        Befalls::Drained,
        Befalls::Replaced,
        Befalls::CutFromFronts,
        Befalls::CutFromPeers,
        Befalls::Lags,
        Befalls::LosesAnswers,
        Befalls::LiesIdle,
        Befalls::Moved,
        Befalls::ZoneCut,
        Befalls::ListSilent,
        Befalls::ListLate,
        Befalls::ListWrong,
        Befalls::FrontStands,
        Befalls::FrontKilled,
        Befalls::Surge,
    ];
    let tenth = |s: f64| (s * 10.0).round() / 10.0;
    for _ in 0..1 + rng.below(4) {
        let what = kinds[rng.below(kinds.len())];
        let at_s = tenth(base.lasts_s * (0.15 + 0.45 * rng.share()));
        let lasts_s = tenth(base.lasts_s * (0.03 + 0.3 * rng.share()));
        let fleet = &base.fleet;
        let (of, most) = match rng.below(4) {
            0 => (Of::Primary, fleet.groups),
            1 => (Of::Replicas, fleet.groups),
            2 => (Of::Member, fleet.groups * fleet.members),
            _ => (Of::Some, 1),
        };
        let most = match what {
            Befalls::ZoneCut => fleet.zones,
            Befalls::FrontStands | Befalls::FrontKilled => fleet.fronts,
            _ => most,
        };
        let by = match what {
            Befalls::Errors | Befalls::LosesAnswers => 0.05 + 0.6 * rng.share(),
            Befalls::Lags => 5.0 + 60.0 * rng.share(),
            Befalls::ListLate => 1.0 + 9.0 * rng.share(),
            Befalls::Surge => 1.5 + 2.5 * rng.share(),
            _ => 2.0 + 8.0 * rng.share(),
        };
        let share = Some(0.1 + 0.5 * rng.share()).filter(|_| of == Of::Some);
        let number = rng.below(most);
        scenario.troubles.push(Befallen {
            at_s,
            lasts_s,
            what,
            of: Some(of),
            number,
            share,
            by: Some(tenth(by).max(0.1)),
        });
    }
    scenario
}

/// Searches for the scenario on which the router loses most against the `sees-all` policy, or violates a rule; then
/// minimizes that scenario as long as most of the loss remains.
pub fn search(base: &Scenario, seed: u64, tries: usize, quiet: bool) -> Option<Found> {
    let seeds: Vec<u64> = (0..tries as u64).map(|i| seed.wrapping_mul(100_003).wrapping_add(i)).collect();
    let found = run_all(&seeds, quiet, |&seed| Found::of(random_scenario(base, seed), seed));
    let worst = found.into_iter().max_by(|a, b| a.loss().total_cmp(&b.loss()))?;
    Some(shrink(worst))
}

/// Removes faults, then halves durations and sizes, as long as four fifths of the loss remain.
fn shrink(mut found: Found) -> Found {
    let min_loss = 0.8 * found.loss();
    loop {
        let scenario = &found.scenario;
        let without = (0..scenario.troubles.len()).map(|i| {
            let mut reduced = scenario.clone();
            reduced.troubles.remove(i);
            reduced
        });
        let shorter = (0..scenario.troubles.len()).filter(|&i| scenario.troubles[i].lasts_s > 0.5).map(|i| {
            let mut reduced = scenario.clone();
            reduced.troubles[i].lasts_s = (reduced.troubles[i].lasts_s * 5.0).round() / 10.0;
            reduced
        });
        let smaller = [&scenario.fleet.fronts, &scenario.fleet.groups].into_iter().enumerate().filter_map(
            |(which, &n)| {
                let mut reduced = scenario.clone();
                let field = if which == 0 { &mut reduced.fleet.fronts } else { &mut reduced.fleet.groups };
                *field = n / 2;
                reduced.load.per_second /= if which == 1 { 2.0 } else { 1.0 };
                let text = serde_json::to_string(&reduced).ok()?;
                (n > 1).then(|| crate::scenario::read(&text).ok())?
            },
        );
        let candidates: Vec<Scenario> = without.chain(shorter).chain(smaller).collect();
        let seed = found.seed;
        let next = candidates
            .into_par_iter()
            .map(|reduced| Found::of(reduced, seed))
            .find_first(|reduced| reduced.loss() >= min_loss);
        match next {
            Some(reduced) => found = reduced,
            None => return found,
        }
    }
}

/// Finds scenarios by name or file; all built-in ones if no name is given.
pub fn find_all(names: &[String]) -> Result<Vec<Scenario>, String> {
    if names.is_empty() {
        return crate::scenario::BUILT_IN_SCENARIOS.iter().map(|(name, _)| find(name)).collect();
    }
    names.iter().map(|name| find(name)).collect()
}
