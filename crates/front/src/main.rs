//! `juniperdock`: the front, and the commands that operators give one that runs.

use clap::{CommandFactory, Parser, Subcommand};
use juniperdock_front::{control, migrate, serve};
use juniperdock_operator_config::{Charter, Fault};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// How long a command waits for the front's answer; an upgrade takes longer.
const PATIENCE: Duration = Duration::from_secs(5);

/// A query router for sharded, replicated databases.
#[derive(Parser)]
#[command(name = "juniperdock", version, about)]
struct Words {
    /// The operators' own file, in JSON5; without one, what it would turn on is off.
    #[arg(long, global = true, env = "JUNIPERDOCK_CHARTER", value_name = "FILE")]
    charter: Option<PathBuf>,
    /// Answers as one line of JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: Option<What>,
}

#[derive(Subcommand)]
enum What {
    /// Serves; what the program does without any command. GW_CONFIG names the platform's configuration.
    Run,
    /// Reads the operators' file and the configuration, and names every fault.
    Check {
        /// Prints the schema of the operators' file instead.
        #[arg(long)]
        schema: bool,
    },
    /// Tells how groups and counters of the running front stand.
    Status {
        /// One group only, by its number in the list.
        group: Option<u64>,
    },
    /// Planned changes of a group's primary.
    Primary {
        #[command(subcommand)]
        what: Change,
    },
    /// The fronts together.
    Fleet {
        #[command(subcommand)]
        what: Fleet,
    },
    /// Hands the running front's clients over to a new process.
    Upgrade {
        /// The program to be started; the one that runs unless it is named here or in the operators' file.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// What a front keeps for the process after it.
    Snapshot {
        #[command(subcommand)]
        what: Show,
    },
    /// Brings a front's configuration from the old shape into the new, and tells what became of each field.
    Migrate {
        /// The file of the old shape; it stays as it is.
        old: PathBuf,
        /// Where the file of the new shape is to be written.
        #[arg(long, value_name = "NEW", required_unless_present = "dry_run")]
        output: Option<PathBuf>,
        /// Replaces the output if it is there.
        #[arg(long)]
        force: bool,
        /// Tells everything and writes nothing.
        #[arg(long)]
        dry_run: bool,
    },
    /// Prints completions for a shell.
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand)]
enum Fleet {
    /// Who of the fronts is there, as the running front sees it, and how it stands itself.
    Status,
    /// Which work on behalf of all there is, and which front owns it.
    Duties,
    /// Upgrades all fronts, a few at a time; stops at the first that does not come back or serves badly.
    Roll {
        /// The program to be started; the one that runs, as it lies on the disk by then, unless it is named.
        #[arg(long)]
        program: Option<String>,
        #[arg(long, value_name = "K", default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=4))]
        at_once: u64,
        /// Calls it off: fronts under way end as they end.
        #[arg(long)]
        off: bool,
    },
}

#[derive(Subcommand)]
enum Show {
    /// Prints a snapshot as JSON, and why a start would refuse it.
    Show {
        /// The file; the one of the operators' file unless it is named.
        file: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
enum Change {
    /// Holds the group's writes until another member claims; undone if none does in time.
    Move {
        group: u64,
        /// The member that is to follow, by its id in the list.
        #[arg(long)]
        to: Option<String>,
    },
    /// Calls a change off.
    Cancel { group: u64 },
}

fn main() -> ExitCode {
    let words = Words::parse();
    match act(&words) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            if words.json {
                println!("{}", json!({ "ok": false, "why": why }));
            } else {
                eprintln!("juniperdock: {why}");
            }
            ExitCode::FAILURE
        }
    }
}

/// Reads the operators' file, if one is named.
fn charter(path: Option<&Path>) -> Result<Charter, Vec<Fault>> {
    let Some(path) = path else { return Ok(Charter::default()) };
    let whole = |why: String| vec![Fault { line: None, field: String::new(), why }];
    let text = std::fs::read_to_string(path).map_err(|e| whole(e.to_string()))?;
    juniperdock_operator_config::read(&text)
}

fn act(words: &Words) -> Result<(), String> {
    let path = words.charter.as_deref();
    let named = |faults: &[Fault]| {
        let name = path.map_or_else(String::new, |path| format!("{}: ", path.display()));
        faults.iter().map(|fault| format!("{name}{fault}")).collect::<Vec<_>>()
    };
    let read = charter(path);
    let say = |answer: &Value, plain: &dyn Fn(&Value) -> String| {
        println!("{}", if words.json { answer.to_string() } else { plain(answer) });
    };
    if let Some(What::Check { schema }) = &words.what {
        if *schema {
            println!("{:#}", juniperdock_operator_config::schema());
            return Ok(());
        }
        let mut faults = read.as_ref().map_or_else(|faults| named(faults), |_| Vec::new());
        if std::env::var_os("GW_CONFIG").is_some() {
            faults.extend(serve::check(read.as_ref().ok()).err());
        }
        if !faults.is_empty() {
            return Err(faults.join(if words.json { "; " } else { "\njuniperdock: " }));
        }
        say(&json!({ "ok": true }), &|_| "no fault found".to_owned());
        return Ok(());
    }
    if let Some(What::Completions { shell }) = &words.what {
        clap_complete::generate(*shell, &mut Words::command(), "juniperdock", &mut std::io::stdout());
        return Ok(());
    }
    if let Some(What::Migrate { old, output, force, dry_run }) = &words.what {
        let output = output.as_deref().filter(|_| !dry_run);
        let report = migrate::migrate(old, output, *force)?;
        if words.json {
            println!("{report}");
        } else {
            eprint!("{}", migrate::plain(&report));
        }
        return Ok(());
    }
    let charter = read.map_err(|faults| named(&faults).join("; "))?;
    let ask = |asked: Value, wait| {
        let socket =
            charter.control.as_ref().ok_or("expected --charter with a file that names control.path")?;
        control::ask(&socket.path, &asked, wait)
    };
    match &words.what {
        None | Some(What::Run) => return serve::serve(&charter, path),
        Some(What::Status { group }) => {
            say(&ask(json!({ "do": "status", "group": group }), PATIENCE)?, &plain_status);
        }
        Some(What::Primary { what }) => {
            let asked = match what {
                Change::Move { group, to } => json!({ "do": "move", "group": group, "to": to }),
                Change::Cancel { group } => json!({ "do": "cancel", "group": group }),
            };
            say(&ask(asked, PATIENCE)?, &|answer| answer.as_str().unwrap_or_default().to_owned());
        }
        Some(What::Fleet { what: Fleet::Status }) => {
            say(&ask(json!({ "do": "fleet" }), PATIENCE)?, &plain_fleet);
        }
        Some(What::Fleet { what: Fleet::Roll { program, at_once, off } }) => {
            let asked = json!({ "do": "roll", "program": program, "at_once": at_once, "off": off });
            say(&ask(asked, PATIENCE)?, &|answer| answer.as_str().unwrap_or_default().to_owned());
        }
        Some(What::Fleet { what: Fleet::Duties }) => {
            say(&ask(json!({ "do": "duties" }), PATIENCE)?, &plain_duties);
        }
        Some(What::Upgrade { program }) => {
            let wait = Duration::from_millis(charter.upgrade.ready_ms + charter.upgrade.taken_ms) + PATIENCE;
            let asked = json!({ "do": "upgrade", "program": program });
            say(&ask(asked, wait)?, &|answer| format!("process {} serves now", answer["pid"]));
        }
        Some(What::Snapshot { what: Show::Show { file } }) => {
            let kept = charter.snapshot.as_ref().map(|kept| &kept.path);
            let file =
                file.as_ref().or(kept).ok_or("expected a file, or snapshot.path in the operators' file")?;
            let bytes = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let memory = juniperdock_snapshot::decode(&bytes)?;
            println!("{:#}", serde_json::to_value(&memory).map_err(|e| e.to_string())?);
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            memory.age(now.as_micros() as i64, juniperdock_front::snapshot_file::machine_time().as_ref())?;
        }
        Some(What::Check { .. } | What::Completions { .. } | What::Migrate { .. }) => {}
    }
    Ok(())
}

fn plain_fleet(fleet: &Value) -> String {
    if fleet["left"].as_bool() == Some(true) {
        return "this front has left its fellows".to_owned();
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
        let heard = front["heard_ms_ago"].as_u64().map_or_else(|| "-".to_owned(), |ms| ms.to_string());
        let (index, state) = (&front["index"], text(&front["state"]));
        let (life, says) = (&front["incarnation"], text(&front["says"]));
        lines.push(format!("{index:>6}  {state:<8} {life:>11}  {heard:>12}  {says}"));
    }
    let (came, went, refused) = (&fleet["datagrams_in"], &fleet["datagrams_out"], &fleet["refused"]);
    lines.push(format!("{came} datagrams came, {went} went, refused: {refused}"));
    lines.join("\n")
}

fn plain_duties(duties: &Value) -> String {
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

fn plain_status(status: &Value) -> String {
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
