//! `juniperdock`: the front, and the commands with which operators control a running one.

use clap::{CommandFactory, Parser, Subcommand};
use juniperdock_front::{control, memory, migrate, serve, standard_error};
use juniperdock_operator_config::{Fault, OperatorConfig};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// How long a command waits for the front's answer; an upgrade may take longer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A query router for sharded, replicated databases.
#[derive(Parser)]
#[command(name = "juniperdock", version, about)]
struct Cli {
    /// Path of the operators' file, in JSON5. Without it, all features that it enables are off.
    #[arg(long, global = true, env = "JUNIPERDOCK_CHARTER", value_name = "FILE")]
    charter: Option<PathBuf>,
    /// Print answers as one line of JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: Option<CliCommand>,
}

#[derive(Subcommand)]
enum CliCommand {
    /// Run the front; this is the default command. GW_CONFIG names the platform's configuration.
    Run,
    /// Validate the operators' file and the configuration, and report every error.
    Check {
        /// Print the JSON schema of the operators' file instead.
        #[arg(long)]
        schema: bool,
    },
    /// Show the groups and counters of the running front.
    Status {
        /// Show only this group, by its number in the server list.
        group: Option<u64>,
    },
    /// Plan or cancel a change of a group's primary.
    Primary {
        #[command(subcommand)]
        what: PrimaryCommand,
    },
    /// Inspect and control all fronts together.
    Fleet {
        #[command(subcommand)]
        what: FleetCommand,
    },
    /// Replace the running front by a new process that takes over its clients.
    Upgrade {
        /// Program to start; defaults to the one in the operators' file, else to the running one.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Inspect the snapshots that a front saves for its next process.
    Snapshot {
        #[command(subcommand)]
        what: SnapshotCommand,
    },
    /// Convert a front's configuration to the new format, and report what became of each field.
    Migrate {
        /// Configuration file in the old format; it is not modified.
        old: PathBuf,
        /// Path of the file to write in the new format.
        #[arg(long, value_name = "NEW", required_unless_present = "dry_run")]
        output: Option<PathBuf>,
        /// Replace an existing output file.
        #[arg(long)]
        force: bool,
        /// Print the report without writing a file.
        #[arg(long)]
        dry_run: bool,
    },
    /// Print completions for a shell.
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Show the running front's view of all fronts, and its own connectivity.
    Status,
    /// Show the fleet tasks, and which front owns each.
    Duties,
    /// Upgrade all fronts, a few at a time; stop at the first that does not come back or serves badly.
    Roll {
        /// Program to start; defaults to the running one, as found on disk at that time.
        #[arg(long)]
        program: Option<String>,
        /// Number of fronts to upgrade at a time.
        #[arg(long, value_name = "K", default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=4))]
        at_once: u64,
        /// Cancel the rolling upgrade; upgrades already started are completed.
        #[arg(long)]
        off: bool,
    },
}

#[derive(Subcommand)]
enum SnapshotCommand {
    /// Print a snapshot as JSON, and why a start would reject it.
    Show {
        /// Snapshot file; defaults to snapshot.path of the operators' file.
        file: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
enum PrimaryCommand {
    /// Hold the group's writes until another member becomes primary; undone if none does in time.
    Move {
        group: u64,
        /// Id of the next primary in the server list.
        #[arg(long)]
        to: Option<String>,
    },
    /// Cancel a planned change.
    Cancel { group: u64 },
}

fn main() -> ExitCode {
    memory::configure_allocator();
    let cli = Cli::parse();
    match run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            if cli.json {
                println!("{}", json!({ "ok": false, "why": why }));
            } else {
                standard_error::write_line(&format_args!("juniperdock: {why}"));
            }
            ExitCode::FAILURE
        }
    }
}

/// Reads the operators' file, or returns the defaults if no path is given.
fn read_operator_config(path: Option<&Path>) -> Result<OperatorConfig, Vec<Fault>> {
    let Some(path) = path else { return Ok(OperatorConfig::default()) };
    let file_error = |why: String| vec![Fault { line: None, field: String::new(), why }];
    let text = std::fs::read_to_string(path).map_err(|e| file_error(e.to_string()))?;
    juniperdock_operator_config::read(&text)
}

fn run(cli: &Cli) -> Result<(), String> {
    let path = cli.charter.as_deref();
    let with_path = |faults: &[Fault]| {
        let name = path.map_or_else(String::new, |path| format!("{}: ", path.display()));
        faults.iter().map(|fault| format!("{name}{fault}")).collect::<Vec<_>>()
    };
    let config = read_operator_config(path);
    let print = |answer: &Value, format: &dyn Fn(&Value) -> String| {
        println!("{}", if cli.json { answer.to_string() } else { format(answer) });
    };
    if let Some(CliCommand::Check { schema }) = &cli.what {
        if *schema {
            println!("{:#}", juniperdock_operator_config::schema());
            return Ok(());
        }
        let mut faults = config.as_ref().map_or_else(|faults| with_path(faults), |_| Vec::new());
        if std::env::var_os("GW_CONFIG").is_some() {
            faults.extend(serve::check(config.as_ref().ok()).err());
        }
        if !faults.is_empty() {
            return Err(faults.join(if cli.json { "; " } else { "\njuniperdock: " }));
        }
        print(&json!({ "ok": true }), &|_| "no fault found".to_owned());
        return Ok(());
    }
    if let Some(CliCommand::Completions { shell }) = &cli.what {
        clap_complete::generate(*shell, &mut Cli::command(), "juniperdock", &mut std::io::stdout());
        return Ok(());
    }
    if let Some(CliCommand::Migrate { old, output, force, dry_run }) = &cli.what {
        let output = output.as_deref().filter(|_| !dry_run);
        let report = migrate::migrate(old, output, *force)?;
        if cli.json {
            println!("{report}");
        } else {
            eprint!("{}", migrate::format_report(&report));
        }
        return Ok(());
    }
    let config = config.map_err(|faults| with_path(&faults).join("; "))?;
    let send = |request: Value, wait| {
        let socket =
            config.control.as_ref().ok_or("expected --charter with a file that names control.path")?;
        control::send_request(&socket.path, &request, wait)
    };
    match &cli.what {
        None | Some(CliCommand::Run) => return serve::serve(&config, path),
        Some(CliCommand::Status { group }) => {
            print(&send(json!({ "do": "status", "group": group }), ANSWER_TIMEOUT)?, &format_status);
        }
        Some(CliCommand::Primary { what }) => {
            let request = match what {
                PrimaryCommand::Move { group, to } => json!({ "do": "move", "group": group, "to": to }),
                PrimaryCommand::Cancel { group } => json!({ "do": "cancel", "group": group }),
            };
            print(&send(request, ANSWER_TIMEOUT)?, &|answer| answer.as_str().unwrap_or_default().to_owned());
        }
        Some(CliCommand::Fleet { what: FleetCommand::Status }) => {
            print(&send(json!({ "do": "fleet" }), ANSWER_TIMEOUT)?, &format_fleet);
        }
        Some(CliCommand::Fleet { what: FleetCommand::Roll { program, at_once, off } }) => {
            let request = json!({ "do": "roll", "program": program, "at_once": at_once, "off": off });
            print(&send(request, ANSWER_TIMEOUT)?, &|answer| answer.as_str().unwrap_or_default().to_owned());
        }
        Some(CliCommand::Fleet { what: FleetCommand::Duties }) => {
            print(&send(json!({ "do": "duties" }), ANSWER_TIMEOUT)?, &format_duties);
        }
        Some(CliCommand::Upgrade { program }) => {
            let wait =
                Duration::from_millis(config.upgrade.ready_ms + config.upgrade.taken_ms) + ANSWER_TIMEOUT;
            let request = json!({ "do": "upgrade", "program": program });
            print(&send(request, wait)?, &|answer| format!("process {} serves now", answer["pid"]));
        }
        Some(CliCommand::Snapshot { what: SnapshotCommand::Show { file } }) => {
            let configured = config.snapshot.as_ref().map(|configured| &configured.path);
            let file = file
                .as_ref()
                .or(configured)
                .ok_or("expected a file, or snapshot.path in the operators' file")?;
            let bytes = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let snapshot = juniperdock_snapshot::decode(&bytes)?;
            println!("{:#}", serde_json::to_value(&snapshot).map_err(|e| e.to_string())?);
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            snapshot
                .age(now.as_micros() as i64, juniperdock_front::snapshot_file::machine_time().as_ref())?;
        }
        Some(CliCommand::Check { .. } | CliCommand::Completions { .. } | CliCommand::Migrate { .. }) => {}
    }
    Ok(())
}

fn format_fleet(fleet: &Value) -> String {
    if fleet["left"].as_bool() == Some(true) {
        return "this front has left the fleet".to_owned();
    }
    let text = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let mut lines = vec![
        format!(
            "{} (front {}): {} for {} ms, view {}",
            text(&fleet["name"]),
            fleet["me"],
            text(&fleet["standing"]),
            fleet["since_ms"],
            fleet["view"]
        ),
        format!("{:>6}  {:<8} {:>11}  {:>12}  says", "front", "state", "incarnation", "heard ms ago"),
    ];
    for front in fleet["fronts"].as_array().into_iter().flatten() {
        let seen = front["heard_ms_ago"].as_u64().map_or_else(|| "-".to_owned(), |ms| ms.to_string());
        let (index, state) = (&front["index"], text(&front["state"]));
        let (incarnation, reported) = (&front["incarnation"], text(&front["says"]));
        lines.push(format!("{index:>6}  {state:<8} {incarnation:>11}  {seen:>12}  {reported}"));
    }
    let (received, sent, refused) = (&fleet["datagrams_in"], &fleet["datagrams_out"], &fleet["refused"]);
    lines.push(format!("{received} datagrams came, {sent} went, refused: {refused}"));
    lines.join("\n")
}

fn format_duties(duties: &Value) -> String {
    let mut lines = vec![format!(
        "{:<12} {:>16} {:>6} {:>9} {:>8} {:>8}",
        "duty", "term", "owner", "until ms", "effects", "refused"
    )];
    for duty in duties.as_array().into_iter().flatten() {
        let number = |value: &Value| value.as_u64().map_or_else(|| "-".to_owned(), |n| n.to_string());
        let owner = if duty["mine"] == true { "me".to_owned() } else { number(&duty["owner"]) };
        let (name, term, until) =
            (duty["duty"].as_str().unwrap_or("-"), number(&duty["term"]), number(&duty["until_ms"]));
        let (effects, refused) = (number(&duty["effects"]), number(&duty["refused_stale"]));
        lines.push(format!("{name:<12} {term:>16} {owner:>6} {until:>9} {effects:>8} {refused:>8}"));
        if let Some(r) = duty["roll"].as_object() {
            lines.push(format!("  roll: through {}, under way {}, end {}", r["back"], r["under"], r["end"]));
        }
        if let Some(m) = duty["move"].as_object() {
            lines.push(format!(
                "  outcome {}, front by front: {}, gone: {}",
                m["outcome"], m["fronts"], m["gone"]
            ));
        }
    }
    lines.join("\n")
}

fn format_status(status: &Value) -> String {
    let mut lines = vec![format!("{:>8}  {:<13} {:>5}  {:>7}  primary", "group", "phase", "term", "waiting")];
    for group in status["groups"].as_array().into_iter().flatten() {
        let text = |name: &str| group[name].as_str().unwrap_or("-").to_owned();
        let plan = group["plan"].as_str().map(|plan| format!("  ({plan})")).unwrap_or_default();
        let (number, term, waiting) = (&group["group"], &group["term"], &group["waiting"]);
        let phase = text("phase");
        let primary = text("primary");
        lines.push(format!("{number:>8}  {phase:<13} {term:>5}  {waiting:>7}  {primary}{plan}"));
    }
    lines.push(format!(
        "{} groups, {} txns wait, process {}",
        status["known"], status["waiting"], status["pid"]
    ));
    lines.join("\n")
}
