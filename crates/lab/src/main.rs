//! `juniperdock-lab`: runs, compares and searches scenarios, writes reports, and generates load.

use clap::{Parser, Subcommand};
use juniperdock_emulator::RULES;
use juniperdock_lab::experiment::{self, Side};
use juniperdock_lab::fronts::Policy;
use juniperdock_lab::measure::Outcome;
use juniperdock_lab::scenario::{self, BUILT_IN_SCENARIOS, Scenario, find};
use juniperdock_lab::simulate::simulate;
use juniperdock_lab::{
    circle, fleet, load, offices, prove, report, request_logs, scale, sessions, sockets, upgrade,
};
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Laboratory: runs scenarios in simulated time and on sockets.
#[derive(Parser)]
#[command(name = "juniperdock-lab", version, about)]
struct Cli {
    #[command(subcommand)]
    what: Command,
}

#[derive(Subcommand)]
enum Command {
    /// List the built-in scenarios.
    Scenarios,
    /// Check a scenario file; errors are reported with line and field.
    Check { file: String },
    /// Print the JSON schema of scenario files.
    Schema,
    /// Run a scenario in simulated time.
    Run {
        scenario: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Routing policy: router, primary, random, round-robin, least, two-choices, sees-all.
        #[arg(long, default_value = "router", value_parser = Policy::named)]
        policy: Policy,
        /// Override a field, for example load.per_second=500.
        #[arg(long, value_name = "FIELD=VALUE")]
        set: Vec<String>,
        #[arg(long)]
        json: bool,
        /// Also write an HTML report.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// Run a scenario on loopback sockets with the real program.
    Sockets {
        scenario: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// Operators' configuration file of the fronts.
        #[arg(long, value_name = "FILE")]
        charter: Option<PathBuf>,
        #[arg(long, value_name = "FIELD=VALUE")]
        set: Vec<String>,
        #[arg(long)]
        json: bool,
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// Compare A and B on the same seeds; each is a policy or the path of another build's juniperdock-lab.
    Compare {
        a: String,
        b: String,
        /// Scenarios to run; all built-in ones by default.
        scenarios: Vec<String>,
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        seeds: u64,
        #[arg(long)]
        json: bool,
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// Run a scenario with a field set to each of several values.
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
    /// Search for the scenario on which the router loses most against the sees-all policy.
    Search {
        /// Scenario that provides the fleet and the base load.
        #[arg(default_value = "calm")]
        scenario: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=100_000))]
        tries: u64,
        /// Write the scenario found to this file instead of standard output.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Generate open-loop load for a front; latency counts from the time at which a txn was due.
    Load {
        at: SocketAddr,
        #[arg(long, default_value_t = 200.0)]
        per_second: f64,
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=86_400))]
        seconds: u64,
        #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u64).range(1..=4096))]
        connections: u64,
        /// Numbers of the groups in the front's server list.
        #[arg(long, value_delimiter = ',', default_value = "0")]
        groups: Vec<u64>,
        /// Scenario that provides the load.
        #[arg(long, default_value = "calm")]
        scenario: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        json: bool,
    },
    /// Measure what the size of the server list costs one real front, with minimal stub servers.
    Scale {
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        #[arg(long, value_delimiter = ',', default_value = "100,1000,5000,20000", value_parser = clap::value_parser!(u64).range(3..=50_000))]
        servers: Vec<u64>,
        #[arg(long, value_enum, default_value = "refuse")]
        behaviour: scale::simulated::Behaviour,
        #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(1..=500))]
        changes_per_second: u64,
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=20))]
        changes_seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        json: bool,
    },
    /// Simulate the membership protocol of many fronts, from a JSON5 file or for several sizes.
    Circle {
        /// JSON5 file with the parameters and faults; defaults and no faults without it.
        file: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Numbers of fronts to simulate, instead of the one in the file.
        #[arg(long, value_delimiter = ',')]
        fronts: Vec<usize>,
        /// Write an HTML report with plots over the number of fronts.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
        /// Print the JSON schema of such files and exit.
        #[arg(long)]
        schema: bool,
    },
    /// Run many processes of the program with faults between them.
    Fleet {
        /// Schedule in JSON5; generated from the seed by default.
        schedule: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of processes in a generated schedule.
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u64).range(2..=30))]
        fronts: u64,
        /// Number of faults in a generated schedule.
        #[arg(long, default_value_t = 14)]
        mishaps: usize,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// File for the history of all events.
        #[arg(long, default_value = "target/fleet.jsonl")]
        history: PathBuf,
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
        #[arg(long)]
        json: bool,
        /// If the schedule fails, reduce it to a smaller one that still fails, in at most this many runs.
        #[arg(long, value_name = "PLAYS")]
        shrink: Option<usize>,
        /// Print the JSON schema of schedules and exit.
        #[arg(long)]
        schema: bool,
        /// Print the schedule and exit.
        #[arg(long)]
        dry_run: bool,
        /// Analyse an existing history without running anything.
        #[arg(long)]
        look: bool,
        /// Step the wall clocks of all fronts during the run.
        #[arg(long)]
        clock_steps: bool,
    },
    /// Run many processes under overlapping faults: kills, shutdowns, stalls, failing system calls, load surges, lost
    /// primaries.
    Soak {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds to run.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(2..=40))]
        fronts: u64,
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=3600))]
        seconds: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// Folder for the histories, one file per seed and process.
        #[arg(long, default_value = "target")]
        histories: PathBuf,
    },
    /// Analyse logs of processes that ran with JUNIPERDOCK_LOG=debug: requests without an end, stalled workers.
    Logs {
        #[arg(required = true)]
        folders: Vec<PathBuf>,
    },
    /// Simulate lease holders of fleet tasks over many seeds, with kills, pauses, partitions, loss and clock drift.
    Offices {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u64).range(1..=300))]
        fronts: u64,
        #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(10..=3600))]
        seconds: u64,
        /// Clock drift as a multiple of the allowed drift; above 1, two simultaneous owners are not a failure.
        #[arg(long, default_value_t = 1.0)]
        drift: f64,
        /// Receivers accept stale effects; the run is then expected to fail.
        #[arg(long)]
        unfenced: bool,
    },
    /// Run processes that share fleet tasks; the owners are paused, killed and partitioned while changes are ordered.
    Owners {
        /// The same seed gives the same faults in the same order.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u64).range(3..=30))]
        fronts: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// Time in seconds during which faults are injected.
        #[arg(long, default_value_t = 36, value_parser = clap::value_parser!(u64).range(10..=3600))]
        seconds: u64,
        /// Minimum number of owner changes for the run to pass.
        #[arg(long, default_value_t = 30)]
        changes: usize,
        /// Step the wall clocks of all fronts during the run.
        #[arg(long)]
        clock_steps: bool,
        /// File for the history of all events.
        #[arg(long, default_value = "target/owners.jsonl")]
        history: PathBuf,
    },
    /// Run one front under load while primaries are killed, hung, partitioned, drained and moved.
    Primaries {
        /// The same seed gives the same changes in the same order.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// Time in seconds during which primaries change.
        #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=3600))]
        seconds: u64,
        /// Step the wall clocks of all fronts during the run.
        #[arg(long)]
        clock_steps: bool,
        /// File for the history of all events.
        #[arg(long, default_value = "target/primaries.jsonl")]
        history: PathBuf,
    },
    /// Upgrade a front repeatedly under steady load, with failing starts mixed in.
    Upgrades {
        /// The same seed gives the same starts in the same order.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// Number of upgrades that have to succeed.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=100))]
        upgrades: u64,
        /// Number of clients that stay connected and idle.
        #[arg(long, default_value_t = 0)]
        idle: usize,
        /// Number of groups, with three members each.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=100))]
        groups: u64,
    },
    /// Upgrade a front repeatedly while sessions write and read, and processes on either side are stopped and killed.
    Sessions {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds to run.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=3600))]
        seconds: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        /// No process is stopped or killed, and no start fails.
        #[arg(long)]
        calm: bool,
    },
    /// Act as a failing new process; started by the front that is being upgraded.
    #[command(hide = true)]
    Successor { how: String },
    /// Check the laboratory itself: runs are reproducible, auditors detect violations, simulated and real figures are
    /// close.
    Prove {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
    },
    /// Run three groups and one front on sockets, kill a primary, and print what the clients observed.
    Demo {
        #[arg(long, default_value = "target/release/juniperdock")]
        front: String,
        #[arg(long, default_value = "target/demo.html")]
        report: PathBuf,
        /// Stay up until Enter is pressed, and print how to connect.
        #[arg(long)]
        keep: bool,
    },
}

fn main() -> ExitCode {
    match run(Cli::parse().what) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("juniperdock-lab: {why}");
            ExitCode::from(2)
        }
    }
}

fn find_with_overrides(name: &str, set: &[String]) -> Result<Scenario, String> {
    set.iter().try_fold(find(name)?, |scenario, set| {
        let (field, value) =
            set.split_once('=').ok_or_else(|| format!("expected FIELD=VALUE, found {set:?}"))?;
        experiment::with_field(&scenario, field, value)
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
    outcome.unmet_expectations(scenario).iter().for_each(|miss| println!("  missed: {miss}"));
    let trace = if outcome.simulated { format!("trace {}, ", outcome.trace) } else { String::new() };
    println!("  {trace}{} events in {:.2} s", outcome.events, outcome.wall_s);
}

/// Prints the outcome and writes the report; returns whether the expectations were met (always true with `json`).
fn print_and_report(
    outcome: &Outcome,
    scenario: &Scenario,
    json: bool,
    page: Option<&Path>,
) -> Result<bool, String> {
    if json {
        println!("{}", serde_json::to_string(outcome).map_err(|e| e.to_string())?);
    } else {
        show(outcome, scenario);
    }
    if let Some(page) = page {
        write(page, &report::of_runs(scenario, &[outcome])?)?;
    }
    Ok(json || outcome.unmet_expectations(scenario).is_empty())
}

fn run(what: Command) -> Result<bool, String> {
    let quiet = !std::io::stderr().is_terminal();
    match what {
        Command::Scenarios => {
            for (name, _) in BUILT_IN_SCENARIOS {
                let scenario = find(name)?;
                println!("{name:<18} {}. {}", scenario.title, scenario.about);
            }
            Ok(true)
        }
        Command::Check { file } => {
            find(&file).map(|scenario| println!("{}: no fault found", scenario.title)).map(|()| true)
        }
        Command::Schema => {
            println!("{:#}", juniperdock_operator_config::schema_of::<scenario::Scenario>());
            Ok(true)
        }
        Command::Fleet {
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
                None => fleet::Schedule::random(seed, fronts as usize, mishaps, 6.0),
                Some(path) => {
                    let text =
                        std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
                    fleet::schedule::read(&text).map_err(|faults| {
                        let messages = faults.iter().map(|fault| format!("{}: {fault}", path.display()));
                        messages.collect::<Vec<_>>().join("\n")
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
                write(&page, &fleet::page::render(&lines, &seen)?)?;
            }
            if let Some(plays) = shrink.filter(|_| !seen.holds()) {
                let mut fails = |less: &fleet::Schedule| {
                    Ok(!fleet::play_and_evaluate(less, seed, &front, &history)?.found.is_empty())
                };
                let least = fleet::shrink(&schedule, plays, &mut fails)?;
                println!("{}", serde_json::to_string_pretty(&least).map_err(|e| e.to_string())?);
            }
            if json {
                println!("{}", serde_json::to_string(&seen).map_err(|e| e.to_string())?);
            } else {
                println!("{seen}");
            }
            Ok(seen.holds())
        }
        Command::Soak { seed, seeds, fronts, seconds, front, histories } => {
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
        Command::Logs { folders } => {
            let mut seen = request_logs::Findings::default();
            for folder in &folders {
                seen.read_folder(folder)?;
            }
            println!("{seen}");
            Ok(seen.hold())
        }
        Command::Offices { seed, seeds, fronts, seconds, drift, unfenced } => {
            let lasts = Duration::from_secs(seconds);
            let shape = offices::Shape { fronts: fronts as usize, lasts, drift, unfenced };
            let seen = offices::all(seed, seeds, shape);
            println!("{seen}");
            Ok(seen.holds())
        }
        Command::Owners { seed, fronts, front, seconds, changes, clock_steps, history } => {
            let schedule = fleet::Schedule::owners(seed, fronts as usize, seconds as f64);
            let schedule = if clock_steps { schedule.with_clock_steps() } else { schedule };
            fleet::play(&schedule, seed, &front, &history, None)?;
            let seen = fleet::owners::changes(&fleet::history::read(&history)?);
            println!("seed {seed}\n{seen}");
            Ok(seen.holds(changes))
        }
        Command::Primaries { seed, front, seconds, clock_steps, history } => {
            // Txns wait for as long as their client does, so that the full cost of a change of primary shows.
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
        Command::Upgrades { seed, front, upgrades, idle, groups } => {
            std::fs::metadata(&front).map_err(|e| format!("{front}: {e}"))?;
            let own = std::env::current_exe().map_err(|e| e.to_string())?;
            let figures = upgrade::upgrade(&front, &own, seed, upgrades as usize, idle, groups as usize)?;
            println!("seed {seed}\n{figures}");
            Ok(figures.holds())
        }
        Command::Sessions { seed, seeds, seconds, front, calm } => {
            let mut all_hold = true;
            for seed in seed..seed + seeds {
                let figures = sessions::play(&front, seed, Duration::from_secs(seconds), calm)?;
                println!("seed {seed}\n{figures}");
                all_hold &= figures.holds();
            }
            Ok(all_hold)
        }
        Command::Successor { how } => Ok(upgrade::successor(&how)),
        Command::Scale { front, servers, behaviour, changes_per_second, changes_seconds, seed, json } => {
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
        Command::Circle { file, seed, fronts, report, schema } => {
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
        Command::Run { scenario, seed, policy, set, json, report } => {
            let scenario = find_with_overrides(&scenario, &set)?;
            let outcome = simulate(&scenario, seed, policy, None, report.is_some());
            print_and_report(&outcome, &scenario, json, report.as_deref())
        }
        Command::Sockets { scenario, seed, front, charter, set, json, report } => {
            let scenario = find_with_overrides(&scenario, &set)?;
            let charter = charter
                .map(|path| std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display())));
            let outcome = sockets::play(&scenario, seed, &front, charter.transpose()?.as_deref(), None)?;
            print_and_report(&outcome, &scenario, json, report.as_deref())
        }
        Command::Compare { a, b, scenarios, seeds, json, report } => {
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
                let largest_difference = scenarios
                    .iter()
                    .zip(&pairs)
                    .max_by(|x, y| x.1.difference.mean.abs().total_cmp(&y.1.difference.mean.abs()));
                let shown = largest_difference.map(|(scenario, _)| scenario);
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
        Command::Sweep { scenario, field, side, seeds, json } => {
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
        Command::Search { scenario, seed, tries, out } => {
            let found = experiment::search(&find(&scenario)?, seed, tries as usize, quiet)
                .ok_or("no scenario was run")?;
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
        Command::Load { at, per_second, seconds, connections, groups, scenario, seed, json } => {
            let load = scenario::Load { per_second, ..find(&scenario)?.load };
            let lasts = Duration::from_secs(seconds);
            let progress = |seen: &load::Results| {
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
        Command::Prove { seed, front } => {
            let figures = prove::prove(seed, Some(&front))?;
            println!("seed {seed}\n{figures}");
            Ok(figures.holds())
        }
        Command::Demo { front, report, keep } => demo(&front, &report, keep),
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
