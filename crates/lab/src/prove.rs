//! Self-check of the laboratory: the same seed gives the same run, every auditor detects the violation that it exists
//! for, and simulated figures are close to those measured on sockets.

use crate::experiment::run_all;
use crate::fronts::{Defect, Policy};
use crate::measure::Outcome;
use crate::scenario::{Befallen, Befalls, Of, Runs, Scenario, find};
use crate::simulate::simulate;
use crate::sockets;
use std::fmt;

/// Maximum difference between the served shares on sockets and in simulated time.
pub const MAX_DIFFERENCE: f64 = 0.10;

/// Results of the self-check.
#[derive(Debug, Default)]
pub struct Figures {
    pub scenarios: usize,
    pub equal: usize,
    pub wanted: usize,
    /// Number of auditors that detected the violation of their rule.
    pub auditors: usize,
    pub difference: Option<f64>,
    pub events_per_s: f64,
    pub notes: Vec<String>,
}

impl Figures {
    /// Whether all checks passed.
    pub fn holds(&self) -> bool {
        self.equal == self.wanted
            && self.auditors == Defect::ALL.len()
            && self.difference.is_none_or(|d| d <= MAX_DIFFERENCE)
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.notes.iter().try_for_each(|note| writeln!(f, "{note}"))?;
        let difference = self.difference.map_or("-".to_owned(), |d| format!("{d:.3}"));
        write!(
            f,
            "lab: scenarios={} traces_equal={}/{} auditors={}/5 sim_vs_sockets_max_diff={difference} events_per_s={:.0}",
            self.scenarios, self.equal, self.wanted, self.auditors, self.events_per_s
        )
    }
}

/// A scenario in which a router with this defect violates the corresponding rule.
pub fn scenario_exposing(defect: Defect) -> Scenario {
    let mut scenario = Scenario { title: format!("{defect:?}"), lasts_s: 14.0, ..Scenario::default() };
    let trouble = |what, of, at_s, lasts_s, by| Befallen {
        at_s,
        lasts_s,
        what,
        of: Some(of),
        number: 0,
        share: None,
        by,
    };
    match defect {
        // The surge makes the router decline txns.
        Defect::Answers => scenario.troubles.push(trouble(Befalls::Surge, Of::All, 3.0, 6.0, Some(6.0))),
        Defect::Twice => scenario.load.kinds[2].runs = Runs::OnceOnly,
        Defect::Drains => scenario.troubles.push(trouble(Befalls::Drained, Of::Member, 2.0, 9.0, None)),
        Defect::Cold => {
            // The member crashes under a small overload, and its long queue allows that overload.
            (scenario.load.per_second, scenario.fleet.falls_at, scenario.fleet.waiting) = (900.0, 0.7, 400);
            scenario.troubles.push(trouble(Befalls::Killed, Of::Replicas, 3.0, 3.0, None));
        }
        Defect::Stale => scenario.troubles.push(trouble(Befalls::Lags, Of::Replicas, 2.0, 9.0, Some(200.0))),
    }
    scenario
}

/// Checks that the auditor of a rule detects the defective router and reports nothing for the sound one.
pub fn auditor(rule: usize, seed: u64) -> Result<(), String> {
    let defect = Defect::ALL[rule];
    let scenario = scenario_exposing(defect);
    let without_defect = simulate(&scenario, seed, Policy::Router, None, false);
    if !without_defect.rules_kept() {
        return Err(format!(
            "the sound router violates rules {:?}: {:?}",
            without_defect.rules_broken,
            without_defect.broken.first()
        ));
    }
    let with_defect = simulate(&scenario, seed, Policy::Router, Some(defect), false);
    if with_defect.rules_broken[rule] == 0 {
        return Err(format!("the violation of rule {} was not detected", rule + 1));
    }
    Ok(())
}

/// Runs three scenarios twice, and once more on a single thread; checks each auditor with a defective router; runs
/// one scenario both in simulated time and on sockets if `program` is given.
pub fn prove(seed: u64, program: Option<&str>) -> Result<Figures, String> {
    let mut figures = Figures::default();
    let names = ["primary-killed", "zone-cut", "everything"];
    let scenarios: Vec<Scenario> = names.iter().map(|name| find(name)).collect::<Result<_, _>>()?;
    let twice: Vec<&Scenario> = scenarios.iter().chain(&scenarios).collect();
    let run = |scenario: &&Scenario| simulate(scenario, seed, Policy::Router, None, false);
    let many: Vec<Outcome> = run_all(&twice, true, run);
    let one = rayon::ThreadPoolBuilder::new().num_threads(1).build().map_err(|e| e.to_string())?;
    let alone: Vec<Outcome> = one.install(|| run_all(&twice[..scenarios.len()], true, run));
    (figures.scenarios, figures.wanted) = (scenarios.len(), scenarios.len());
    for (i, name) in names.iter().enumerate() {
        let traces = [&many[i], &many[i + scenarios.len()], &alone[i]].map(|run| &run.trace);
        if traces.iter().all(|trace| *trace == traces[0]) {
            figures.equal += 1;
        } else {
            figures.notes.push(format!("{name}: traces {traces:?}"));
        }
        if !many[i].rules_kept() {
            figures.notes.push(format!(
                "{name}: rules broken {:?}: {:?}",
                many[i].rules_broken,
                many[i].broken.first()
            ));
        }
    }
    let (events, wall) = alone.iter().fold((0, 0.0), |(e, w), run| (e + run.events, w + run.wall_s));
    figures.events_per_s = events as f64 / f64::max(wall, 1e-9);
    for rule in 0..Defect::ALL.len() {
        match auditor(rule, seed) {
            Ok(()) => figures.auditors += 1,
            Err(why) => figures.notes.push(format!("auditor {}: {why}", rule + 1)),
        }
    }
    if let Some(program) = program {
        let mut scenario = scenarios[0].clone();
        (scenario.lasts_s, scenario.load.per_second) = (20.0, 150.0);
        let real = sockets::play(&scenario, seed, program, None, None)?;
        let simulated = simulate(&scenario, seed, Policy::Router, None, false);
        figures.difference = Some((real.served - simulated.served).abs());
        figures.notes.push(format!(
            "{}: served {:.3} simulated, {:.3} on sockets; p99 {:.0} and {:.0} ms; rules {:?} and {:?}",
            scenario.title,
            simulated.served,
            real.served,
            simulated.p99_ms,
            real.p99_ms,
            simulated.rules_broken,
            real.rules_broken
        ));
        figures.notes.extend(real.broken.iter().take(3).cloned());
    }
    Ok(figures)
}
