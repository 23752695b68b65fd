//! `juniperdock-lab`: plays scenarios, compares, searches, reports, loads.

use clap::{Parser, Subcommand};
use juniperdock_emulator::RULES;
use juniperdock_lab::experiment::{self, Side};
use juniperdock_lab::fronts::Policy;
use juniperdock_lab::measure::Outcome;
use juniperdock_lab::scenario::{self, SHELF, Scenario, find};
use juniperdock_lab::simulate::simulate;
use juniperdock_lab::{circle, fleet, load, offices, prove, report, request_logs, scale, sockets, upgrade};
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The laboratory: scenarios in simulated time and on sockets.
#[derive(Parser)]
#[command(name = "juniperdock-lab", version, about)]
struct Words {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Lists the scenarios that come with the laboratory.
    Scenarios,
    /// Checks a scenario's file; every fault is told with line and field.
    Check { file: String },
    /// Prints the schema of scenarios.
    Schema,
    /// Plays a scenario in simulated time.
    Run {
        scenario: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Who decides: router, primary, random, round-robin, least, two-choices, sees-all.
        #[arg(long, default_value = "router", value_parser = Policy::named)]
        policy: Policy,
        /// A field and its value, such as load.per_second=500.
        #[arg(long, value_name = "FIELD=VALUE")]
        set: Vec<String>,
        #[arg(long)]
        json: bool,
        /// Writes a page of HTML, too.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// Plays a scenario on loopback sockets, with the program itself.
    Sockets {
        scenario: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// The operators' file of the fronts.
        #[arg(long, value_name = "FILE")]
        charter: Option<PathBuf>,
        #[arg(long, value_name = "FIELD=VALUE")]
        set: Vec<String>,
        #[arg(long)]
        json: bool,
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// Plays A and B on the same seeds: policies, or paths of other builds' laboratories.
    Compare {
        a: String,
        b: String,
        /// All scenarios unless some are named.
        scenarios: Vec<String>,
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        seeds: u64,
        #[arg(long)]
        json: bool,
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// Plays a scenario with a field at one value after the other.
    Sweep {
        scenario: String,
        /// FIELD=VALUE,VALUE,...
        field: String,
        #[arg(long, default_value = "router")]
        side: String,
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        seeds: u64,
        #[arg(long)]
        json: bool,
    },
    /// Looks for the scenario on which the router loses most against the one that sees all.
    Search {
        /// The fleet and load to start from.
        #[arg(default_value = "calm")]
        scenario: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=100_000))]
        tries: u64,
        /// Where the scenario found is written.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Loads any front in an open loop; latency counts from when a txn was due.
    Load {
        at: SocketAddr,
        #[arg(long, default_value_t = 200.0)]
        per_second: f64,
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=86_400))]
        seconds: u64,
        #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u64).range(1..=4096))]
        connections: u64,
        /// The groups' numbers in the front's list.
        #[arg(long, value_delimiter = ',', default_value = "0")]
        groups: Vec<u64>,
        /// A scenario whose load is taken.
        #[arg(long, default_value = "calm")]
        scenario: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        json: bool,
    },
    /// What the size of the server list costs one real front, before hollow servers.
    Scale {
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        #[arg(long, value_delimiter = ',', default_value = "100,1000,5000,20000", value_parser = clap::value_parser!(u64).range(3..=50_000))]
        servers: Vec<u64>,
        #[arg(long, value_enum, default_value = "refuse")]
        behaviour: scale::hollow::Behaviour,
        #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(1..=500))]
        changes_per_second: u64,
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=20))]
        changes_seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        json: bool,
    },
    /// The fronts' membership at size, in simulated time, for a file in JSON5 or some sizes.
    Circle {
        /// What befalls the fronts, by a file; nothing without one.
        file: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Sizes to play it at, in place of the file's.
        #[arg(long, value_delimiter = ',')]
        fronts: Vec<usize>,
        /// Writes a page with plots over the sizes.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
        /// Prints the schema of such files instead.
        #[arg(long)]
        schema: bool,
    },
    /// Many processes of the program, with faults between them.
    Fleet {
        /// A schedule in JSON5; one drawn from the seed without it.
        schedule: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Processes and mishaps of a schedule that is drawn.
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u64).range(2..=30))]
        fronts: u64,
        #[arg(long, default_value_t = 14)]
        mishaps: usize,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// Where everything that happened is written.
        #[arg(long, default_value = "target/fleet.jsonl")]
        history: PathBuf,
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
        #[arg(long)]
        json: bool,
        /// A schedule that fails is cut down to what still does, in so many plays at most.
        #[arg(long, value_name = "PLAYS")]
        shrink: Option<usize>,
        /// Prints the schema of schedules instead.
        #[arg(long)]
        schema: bool,
        /// Prints the schedule instead.
        #[arg(long)]
        dry_run: bool,
        /// Looks at a history that lies there, and plays nothing.
        #[arg(long)]
        look: bool,
        /// The wall clocks of all fronts are stepped meanwhile.
        #[arg(long)]
        clock_steps: bool,
    },
    /// Many processes under faults of all kinds that overlap: kills, ends, hold-ups, failing calls, crowds, lost primaries.
    Soak {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds, one after the other.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(2..=40))]
        fronts: u64,
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=3600))]
        seconds: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// Where everything that happened is written; one file a seed and process.
        #[arg(long, default_value = "target")]
        histories: PathBuf,
    },
    /// Reads the logs of processes that ran with JUNIPERDOCK_LOG=debug: requests without an end, hold-ups of workers.
    Logs {
        #[arg(required = true)]
        folders: Vec<PathBuf>,
    },
    /// Owners of duties by the hundred seeds, simulated: kills, stops, cuts, loss, drift of clocks.
    Offices {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u64).range(1..=300))]
        fronts: u64,
        #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(10..=3600))]
        seconds: u64,
        /// Clocks drift by so many times what is allowed; beyond 1 two at once are no fault.
        #[arg(long, default_value_t = 1.0)]
        drift: f64,
        /// Receivers refuse nothing: a run that has to fail.
        #[arg(long)]
        unfenced: bool,
    },
    /// Seven processes that share work, their owners stopped, killed and cut off while changes are ordered.
    Owners {
        /// Any number; the same one plays the same mishaps in the same order.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u64).range(3..=30))]
        fronts: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// How long mishaps go on.
        #[arg(long, default_value_t = 36, value_parser = clap::value_parser!(u64).range(10..=3600))]
        seconds: u64,
        /// Fewer changes of owners prove too little.
        #[arg(long, default_value_t = 30)]
        changes: usize,
        /// The wall clocks of all fronts are stepped meanwhile.
        #[arg(long)]
        clock_steps: bool,
        /// Where everything that happened is written.
        #[arg(long, default_value = "target/owners.jsonl")]
        history: PathBuf,
    },
    /// One front among members whose primaries are killed, hung, cut off, drained and moved under load.
    Primaries {
        /// Any number; the same one plays the same changes in the same order.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// How long changes go on.
        #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=3600))]
        seconds: u64,
        /// The wall clocks of all fronts are stepped meanwhile.
        #[arg(long)]
        clock_steps: bool,
        /// Where everything that happened is written.
        #[arg(long, default_value = "target/primaries.jsonl")]
        history: PathBuf,
    },
    /// The front is upgraded again and again under steady load, with failed starts among the good ones.
    Upgrades {
        /// Any number; the same one plays the same starts in the same order.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// How many upgrades are to succeed.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=100))]
        upgrades: u64,
        /// Clients that are connected and say nothing all the while.
        #[arg(long, default_value_t = 0)]
        idle: usize,
        /// Groups of three members.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=100))]
        groups: u64,
    },
    /// A successor that fails; started by the front that is upgraded.
    #[command(hide = true)]
    Successor { how: String },
    /// Same seed, same day; auditors find what is broken; simulated and real are near.
    Prove {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
    },
    /// Three groups, one front on sockets, a primary killed half-way; prints what clients saw.
    Demo {
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        #[arg(long, default_value = "target/demo.html")]
        report: PathBuf,
        /// Stays up, and says how to reach it, until Enter.
        #[arg(long)]
        keep: bool,
    },
}

fn main() -> ExitCode {
    match act(Words::parse().what) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("juniperdock-lab: {why}");
            ExitCode::from(2)
        }
    }
}

fn changed(name: &str, set: &[String]) -> Result<Scenario, String> {
    set.iter().try_fold(find(name)?, |scenario, set| {
        let (field, value) =
            set.split_once('=').ok_or_else(|| format!("expected FIELD=VALUE, found {set:?}"))?;
        experiment::with(&scenario, field, value)
    })
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    eprintln!("the page lies in {}", path.display());
    Ok(())
}

fn show(outcome: &Outcome, scenario: &Scenario) {
    let kind = if outcome.simulated { "simulated" } else { "on sockets" };
    println!("{} ({kind}, seed {}, by {})", outcome.title, outcome.seed, outcome.by);
    println!(
        "  served {:.3}, worst 5 s {:.3}, p50 {:.1} ms, p99 {:.1} ms",
        outcome.served, outcome.worst_window, outcome.p50_ms, outcome.p99_ms
    );
    println!(
        "  {} wishes, {} tries: {} late, {} declined, {} unknown, {} unanswered; {} tries answered in the grace",
        outcome.wishes,
        outcome.tries,
        outcome.late,
        outcome.declined,
        outcome.unknown,
        outcome.unanswered,
        outcome.in_grace
    );
    if let Some(f) = &outcome.fellows {
        println!(
            "  fronts at the end: {} whole, {} part, {} alone; {} datagrams of {} bytes in all between them",
            f.whole, f.part, f.alone, f.datagrams, f.bytes
        );
    }
    if let Some(recovered) = outcome.recovered_s {
        println!("  as before {recovered:.0} s after the last trouble");
    }
    for (rule, &count) in outcome.rules_broken.iter().enumerate().filter(|(_, count)| **count > 0) {
        println!("  rule {} broken {count} times: {}", rule + 1, RULES[rule]);
    }
    outcome.broken.iter().take(5).for_each(|word| println!("    {word}"));
    outcome.misses(scenario).iter().for_each(|miss| println!("  missed: {miss}"));
    let trace = if outcome.simulated { format!("trace {}, ", outcome.trace) } else { String::new() };
    println!("  {trace}{} events in {:.2} s", outcome.events, outcome.wall_s);
}

/// Prints, reports, and says whether what was expected came about.
fn close(outcome: &Outcome, scenario: &Scenario, json: bool, page: Option<&Path>) -> Result<bool, String> {
    if json {
        println!("{}", serde_json::to_string(outcome).map_err(|e| e.to_string())?);
    } else {
        show(outcome, scenario);
    }
    if let Some(page) = page {
        write(page, &report::of_runs(scenario, &[outcome])?)?;
    }
    Ok(json || outcome.misses(scenario).is_empty())
}

fn act(what: What) -> Result<bool, String> {
    let quiet = !std::io::stderr().is_terminal();
    match what {
        What::Scenarios => {
            for (name, _) in SHELF {
                let scenario = find(name)?;
                println!("{name:<18} {}. {}", scenario.title, scenario.about);
            }
            Ok(true)
        }
        What::Check { file } => {
            find(&file).map(|scenario| println!("{}: no fault found", scenario.title)).map(|()| true)
        }
        What::Schema => {
            println!("{:#}", juniperdock_operator_config::schema_of::<scenario::Scenario>());
            Ok(true)
        }
        What::Fleet {
            schedule,
            seed,
            fronts,
            mishaps,
            front,
            history,
            report,
            json,
            shrink,
            schema,
            dry_run,
            look,
            clock_steps,
        } => {
            if schema {
                println!("{:#}", juniperdock_operator_config::schema_of::<fleet::Schedule>());
                return Ok(true);
            }
            let schedule = match schedule {
                None => fleet::Schedule::drawn(seed, fronts as usize, mishaps, 6.0),
                Some(path) => {
                    let text =
                        std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
                    fleet::schedule::read(&text).map_err(|faults| {
                        let told = faults.iter().map(|fault| format!("{}: {fault}", path.display()));
                        told.collect::<Vec<_>>().join("\n")
                    })?
                }
            };
            let schedule = if clock_steps { schedule.with_clock_steps() } else { schedule };
            if dry_run {
                println!("{}", serde_json::to_string_pretty(&schedule).map_err(|e| e.to_string())?);
                return Ok(true);
            }
            if !look {
                fleet::play(&schedule, seed, &front, &history, None)?;
            }
            let lines = fleet::history::read(&history)?;
            let seen = fleet::figures(&lines);
            if let Some(page) = report {
                write(&page, &fleet::page::of(&lines, &seen)?)?;
            }
            if let Some(plays) = shrink.filter(|_| !seen.holds()) {
                let mut fails = |less: &fleet::Schedule| {
                    Ok(!fleet::judged(less, seed, &front, &history)?.found.is_empty())
                };
                let least = fleet::shrunk(&schedule, plays, &mut fails)?;
                println!("{}", serde_json::to_string_pretty(&least).map_err(|e| e.to_string())?);
            }
            if json {
                println!("{}", serde_json::to_string(&seen).map_err(|e| e.to_string())?);
            } else {
                println!("{seen}");
            }
            Ok(seen.holds())
        }
        What::Soak { seed, seeds, fronts, seconds, front, histories } => {
            let mut all_hold = true;
            for seed in seed..seed + seeds {
                let schedule = fleet::Schedule::soak(seed, fronts as usize, seconds as f64);
                let history = histories.join(format!("soak-{seed}-{}.jsonl", std::process::id()));
                fleet::play(&schedule, seed, &front, &history, None)?;
                let seen = fleet::soak::findings(&fleet::history::read(&history)?);
                println!("seed {seed}, {fronts} processes\n{seen}");
                if seen.hold() {
                    let _ = std::fs::remove_file(&history);
                } else {
                    println!("the history lies in {}", history.display());
                }
                all_hold &= seen.hold();
            }
            Ok(all_hold)
        }
        What::Logs { folders } => {
            let mut seen = request_logs::Findings::default();
            for folder in &folders {
                seen.read_folder(folder)?;
            }
            println!("{seen}");
            Ok(seen.hold())
        }
        What::Offices { seed, seeds, fronts, seconds, drift, unfenced } => {
            let lasts = Duration::from_secs(seconds);
            let shape = offices::Shape { fronts: fronts as usize, lasts, drift, unfenced };
            let seen = offices::all(seed, seeds, shape);
            println!("{seen}");
            Ok(seen.holds())
        }
        What::Owners { seed, fronts, front, seconds, changes, clock_steps, history } => {
            let schedule = fleet::Schedule::owners(seed, fronts as usize, seconds as f64);
            let schedule = if clock_steps { schedule.with_clock_steps() } else { schedule };
            fleet::play(&schedule, seed, &front, &history, None)?;
            let seen = fleet::owners::changes(&fleet::history::read(&history)?);
            println!("seed {seed}\n{seen}");
            Ok(seen.holds(changes))
        }
        What::Primaries { seed, front, seconds, clock_steps, history } => {
            // Held for as long as its client waits: what a change costs shows in full.
            let held = |_: usize, _: &mut serde_json::Value, charter: &mut serde_json::Value| {
                charter["held"] = serde_json::json!({ "untaken_share": 1.0 });
            };
            let schedule = fleet::Schedule::primaries(seed, seconds as f64);
            let schedule = if clock_steps { schedule.with_clock_steps() } else { schedule };
            fleet::play(&schedule, seed, &front, &history, Some(&held))?;
            let seen = fleet::primaries::changes(&fleet::history::read(&history)?);
            println!("seed {seed}\n{seen}");
            Ok(seen.holds())
        }
        What::Upgrades { seed, front, upgrades, idle, groups } => {
            std::fs::metadata(&front).map_err(|e| format!("{front}: {e}"))?;
            let own = std::env::current_exe().map_err(|e| e.to_string())?;
            let figures = upgrade::upgrade(&front, &own, seed, upgrades as usize, idle, groups as usize)?;
            println!("seed {seed}\n{figures}");
            Ok(figures.holds())
        }
        What::Successor { how } => Ok(upgrade::successor(&how)),
        What::Scale { front, servers, behaviour, changes_per_second, changes_seconds, seed, json } => {
            let sizes = servers.into_iter().map(|servers| servers as usize).collect();
            let changes_for = Duration::from_secs(changes_seconds);
            let plan = scale::Plan {
                program: front,
                sizes,
                behaviour,
                changes_per_second,
                changes_for,
                idle: true,
                seed,
            };
            let outcomes = scale::play(&plan)?;
            let fits = scale::fit(&outcomes);
            if json {
                let page = serde_json::json!({ "behaviour": behaviour, "sizes": outcomes, "fits": fits });
                println!("{page:#}");
            } else {
                print!("{}", scale::table(&outcomes, &fits));
            }
            Ok(true)
        }
        What::Circle { file, seed, fronts, report, schema } => {
            if schema {
                println!("{:#}", juniperdock_operator_config::schema_of::<circle::Circle>());
                return Ok(true);
            }
            let text = file.as_ref().map_or(Ok("{}".to_owned()), std::fs::read_to_string);
            let text = text.map_err(|e| e.to_string())?;
            let read: circle::Circle = juniperdock_operator_config::read_as(&text)
                .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
            let sizes = if fronts.is_empty() { vec![read.fronts] } else { fronts };
            let mut rows = Vec::new();
            for fronts in sizes {
                let seen = circle::play(&circle::Circle { fronts, ..read.clone() }, seed);
                println!("{}", serde_json::to_string(&seen).map_err(|e| e.to_string())?);
                rows.push(seen);
            }
            if let Some(page) = report {
                write(&page, &report::of_sizes("Fronts that know each other, by size", &rows)?)?;
            }
            Ok(true)
        }
        What::Run { scenario, seed, policy, set, json, report } => {
            let scenario = changed(&scenario, &set)?;
            let outcome = simulate(&scenario, seed, policy, None, report.is_some());
            close(&outcome, &scenario, json, report.as_deref())
        }
        What::Sockets { scenario, seed, front, charter, set, json, report } => {
            let scenario = changed(&scenario, &set)?;
            let charter = charter
                .map(|path| std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display())));
            let outcome = sockets::play(&scenario, seed, &front, charter.transpose()?.as_deref(), None)?;
            close(&outcome, &scenario, json, report.as_deref())
        }
        What::Compare { a, b, scenarios, seeds, json, report } => {
            let (a, b, scenarios) = (Side::named(&a)?, Side::named(&b)?, experiment::find_all(&scenarios)?);
            let seeds: Vec<u64> = (1..=seeds).collect();
            let pairs = experiment::compare(&a, &b, &scenarios, &seeds, quiet)?;
            if json {
                println!("{}", serde_json::to_string(&pairs).map_err(|e| e.to_string())?);
            } else {
                println!("simulated, {} seeds; A: {}, B: {}", seeds.len(), a.name(), b.name());
                println!(
                    "{:<34} {:>6} {:>6} {:>7}  {:<18} {:>5} {:>5}  verdict",
                    "scenario", "A", "B", "B-A", "95% interval", "p99 A", "p99 B"
                );
                for p in &pairs {
                    let interval = format!("{:+.3} to {:+.3}", p.difference.low, p.difference.high);
                    println!(
                        "{:<34} {:>6.3} {:>6.3} {:>+7.3}  {interval:<18} {:>5.0} {:>5.0}  {}{}",
                        p.scenario,
                        p.a.mean,
                        p.b.mean,
                        p.difference.mean,
                        p.p99_ms.0,
                        p.p99_ms.1,
                        p.verdict,
                        if p.rules_broken == (0, 0) {
                            String::new()
                        } else {
                            format!("; rules broken on {:?} seeds", p.rules_broken)
                        }
                    );
                }
            }
            if let Some(page) = report {
                let most = scenarios
                    .iter()
                    .zip(&pairs)
                    .max_by(|x, y| x.1.difference.mean.abs().total_cmp(&y.1.difference.mean.abs()));
                let shown = most.map(|(scenario, _)| scenario);
                let runs: Vec<Outcome> = match (shown, &a, &b) {
                    (Some(scenario), Side::Here(a), Side::Here(b)) => {
                        vec![
                            simulate(scenario, seeds[0], *a, None, true),
                            simulate(scenario, seeds[0], *b, None, false),
                        ]
                    }
                    (Some(scenario), _, _) => vec![a.play(scenario, seeds[0])?, b.play(scenario, seeds[0])?],
                    _ => Vec::new(),
                };
                let runs: Vec<&Outcome> = runs.iter().collect();
                let shown = shown.map(|scenario| (scenario, &runs[..]));
                write(&page, &report::of_pairs(&pairs, &a.name(), &b.name(), seeds.len(), shown)?)?;
            }
            Ok(pairs.iter().all(|pair| pair.rules_broken == (0, 0)))
        }
        What::Sweep { scenario, field, side, seeds, json } => {
            let (field, values) = field.split_once('=').ok_or("expected FIELD=VALUE,VALUE,...")?;
            let values: Vec<String> = values.split(',').map(str::to_owned).collect();
            let seeds: Vec<u64> = (1..=seeds).collect();
            let steps =
                experiment::sweep(&Side::named(&side)?, &find(&scenario)?, field, &values, &seeds, quiet)?;
            if json {
                println!("{}", serde_json::to_string(&steps).map_err(|e| e.to_string())?);
            } else {
                println!("simulated, {} seeds; {field}", seeds.len());
                for s in &steps {
                    println!(
                        "{:>12}  served {:.3} ({:.3} to {:.3})  p99 {:>6.0} ms  rules broken on {} seeds",
                        s.value, s.served.mean, s.served.low, s.served.high, s.p99_ms, s.rules_broken
                    );
                }
            }
            Ok(true)
        }
        What::Search { scenario, seed, tries, out } => {
            let found = experiment::search(&find(&scenario)?, seed, tries as usize, quiet)
                .ok_or("nothing was played")?;
            println!(
                "simulated: served {:.3}, within reach {:.3}, rules broken {:?}, seed {}",
                found.served, found.within_reach, found.rules_broken, found.seed
            );
            let text = serde_json::to_string_pretty(&found.scenario).map_err(|e| e.to_string())?;
            match out {
                Some(path) => std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?,
                None => println!("{text}"),
            }
            Ok(found.rules_broken.iter().all(|&n| n == 0))
        }
        What::Load { at, per_second, seconds, connections, groups, scenario, seed, json } => {
            let load = scenario::Load { per_second, ..find(&scenario)?.load };
            let lasts = Duration::from_secs(seconds);
            let progress = |seen: &load::Seen| {
                if !quiet {
                    eprint!(
                        "\r{} of {} sent, {} committed, {} declined ",
                        seen.sent, seen.due, seen.committed, seen.declined
                    );
                }
            };
            let seen = load::load(at, &load, &groups, lasts, connections as usize, seed, &progress);
            if json {
                println!("{}", serde_json::to_string(&seen).map_err(|e| e.to_string())?);
            } else {
                println!(
                    "{} due, {} sent, {} committed, {} declined, {} unknown, {} failed, {} unanswered, {} unsent, {} retries",
                    seen.due,
                    seen.sent,
                    seen.committed,
                    seen.declined,
                    seen.unknown,
                    seen.failed,
                    seen.unanswered,
                    seen.unsent,
                    seen.retries
                );
                println!(
                    "p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms, most {:.2} ms from when it was due; the tool was {:.2} ms late at most",
                    seen.p50_ms, seen.p99_ms, seen.p999_ms, seen.most_ms, seen.late_ms
                );
            }
            seen.stopped.clone().map_or(Ok(true), Err)
        }
        What::Prove { seed, front } => {
            let figures = prove::prove(seed, Some(&front))?;
            println!("seed {seed}\n{figures}");
            Ok(figures.holds())
        }
        What::Demo { front, report, keep } => demo(&front, &report, keep),
    }
}

fn demo(front: &str, page: &Path, keep: bool) -> Result<bool, String> {
    let mut scenario = find("primary-killed")?;
    (scenario.lasts_s, scenario.load.per_second, scenario.fleet.fronts) = (20.0, 120.0, 1);
    println!(
        "three groups of three members, one front, {} txns a second; a primary is killed at 8 s",
        scenario.load.per_second
    );
    let hold = |at: &[SocketAddr]| {
        for at in at {
            println!(
                "it stays up: psql -h {} -p {} -U api ledger, then a statement such as",
                at.ip(),
                at.port()
            );
            println!("  {}", load::statement("commit", true, "1f", 2000, 7, 0, false));
        }
        println!("Enter ends it");
        let _ = std::io::stdin().read_line(&mut String::new());
    };
    let hold: Option<sockets::Keep> = if keep { Some(&hold) } else { None };
    let outcome = sockets::play(&scenario, 1, front, None, hold)?;
    show(&outcome, &scenario);
    write(page, &report::of_runs(&scenario, &[&outcome])?)?;
    Ok(outcome.rules_kept())
}
