//! The front on sockets: takes clients' txns, lets the router decide, and carries them to the members.

mod client;
mod clock;
mod counters;
mod desk;
mod list;
mod mailbox;
mod member;

use client::STACK;
use clock::Clock;
use counters::Counters;
use juniperdock_door::{self as door, Indices};
use juniperdock_link::spawn;
use may::net::TcpListener;
use may::sync::mpsc::{Sender, channel};
use serde_json::Value;
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use slog::Drain;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The stack, in bytes, of the coroutines that decide or read JSON.
const DEEP_STACK: usize = 1 << 20;
/// After SIGTERM clients still come for 0.4 s; then those between txns are told to go elsewhere.
const LINGER: Duration = Duration::from_millis(450);
/// Buffers for an answer hold at most one in so many parts of the memory.
const MEMORY_PARTS: usize = 64;
/// Descriptors of the front's own: standard streams, listener, list, selector, signals.
const OWN: usize = 14;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("juniperdock: {why}");
            ExitCode::FAILURE
        }
    }
}

/// Looks a term up by path; a list of plain values is joined by commas.
fn term(terms: &Value, path: &str) -> Option<String> {
    let mut at = terms;
    for part in path.split('.') {
        at = match (at, part.parse::<usize>()) {
            (Value::Array(items), _) if part == "count" => return Some(items.len().to_string()),
            (Value::Array(items), Ok(i)) => items.get(i)?,
            _ => at.get(part)?,
        };
    }
    let plain = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    Some(match at {
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(","),
        Value::Null => return None,
        value => plain(value),
    })
}

fn configuration(path: &str) -> Result<Value, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("GW_CONFIG: reading {path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("GW_CONFIG: {path}: expected JSON: {e}"))
}

fn serve() -> Result<(), String> {
    let signals = Signals::new([SIGHUP, SIGTERM, SIGUSR1]).map_err(|e| format!("signals: {e}"))?;
    let (clock, ring) = Clock::start();
    let path = std::env::var("GW_CONFIG").map_err(|e| format!("GW_CONFIG: {e}"))?;
    let told = configuration(&path)?;
    let address = |variable: &str, field: &str| -> Result<SocketAddr, String> {
        let text = std::env::var(variable).ok().or_else(|| told[field].as_str().map(str::to_owned));
        let text = text.ok_or_else(|| format!("expected {variable}, or {field} in GW_CONFIG"))?;
        text.parse().map_err(|_| format!("{variable}: expected an address and port, found {text:?}"))
    };
    let (listen, discovery) = (address("GW_LISTEN", "listen")?, address("GW_DISCOVERY", "discovery")?);
    let seed = told["seed"].as_str().ok_or("expected a text in seed of GW_CONFIG")?;
    let seed =
        u64::from_str_radix(seed, 16).map_err(|_| format!("seed: expected hex digits, found {seed:?}"))?;
    let terms = |path: &str| term(&told["settings"], path);
    let (_, kinds) = door::open(seed, &terms).map_err(|why| format!("settings: {why}"))?;
    let settings = told["settings"].clone();
    let make: desk::Make = Box::new(move || Ok(door::open(seed, &|path| term(&settings, path))?.0));
    let sockets =
        told["limits"]["sockets"].as_u64().ok_or("expected a number in limits.sockets of GW_CONFIG")?;
    let sockets = usize::try_from(sockets).map_err(|e| format!("limits.sockets: {e}"))?;
    let shared = sockets.checked_sub(OWN).ok_or_else(|| format!("limits.sockets: expected over {OWN}"))?;
    let standing = shared / 16;
    let most = (shared - standing) / 2;
    // One answer never takes more than a part of the memory; without a limit, a value of the usual size.
    let memory = told["limits"]["memory_mb"].as_u64().and_then(|mb| usize::try_from(mb).ok());
    let largest = memory.map_or(0, |mb| (mb << 20) / MEMORY_PARTS).max(juniperdock_pg::LONGEST);
    let millis = |path: &str| -> Result<Duration, String> {
        let ms = terms(path).and_then(|ms| door::micros(ms.parse().ok()?));
        ms.map(door::span).ok_or_else(|| format!("settings: expected a time in {path}"))
    };
    let (connect, idle) = (millis("Bounds.ConnectTimeout")?, millis("Bounds.ConnIdle")?);
    let grace = millis("Guarantees.GraceToAnswer")?;
    let (mut names, mut longest) = (Indices::default(), Duration::ZERO);
    for i in 0..kinds {
        let name = terms(&format!("Services.{i}.Name"));
        names.index(name.ok_or_else(|| format!("settings: expected a name for txn type {i}"))?);
        longest = longest.max(millis(&format!("Services.{i}.HardLimit"))?);
    }
    let zones = terms("Zones").unwrap_or_default().split(',').map(str::to_owned).collect();

    let log = logger();
    std::panic::set_hook(Box::new({
        let log = log.clone();
        move |panic| slog::error!(log, "panic"; "at" => panic.location().map(ToString::to_string))
    }));
    may::config().set_workers(1).set_stack_size(STACK / size_of::<usize>()).set_worker_pin(false);

    let counters = Arc::new(Counters::default());
    let (to_desk, desk_mail) = channel();
    let beats = to_desk.clone();
    let version = told["known"]["version"].as_u64();
    let (clock_of, log_of) = (clock.clone(), log.clone());
    let list =
        list::List::new(discovery, version, clock_of, to_desk.clone(), counters.clone(), log_of, DEEP_STACK);
    let to_list = list.mail();
    let reach = member::Reach {
        clock: clock.clone(),
        desk: to_desk.clone(),
        counters: counters.clone(),
        log: log.clone(),
        connect,
        idle,
        stack: STACK,
        open: Arc::new(AtomicUsize::new(0)),
        most,
        longest: largest,
    };
    let hire: desk::Hire = Box::new(move |index, address, read, mail| {
        let member = member::Member::new(index, address, mail, reach.clone());
        spawn("member", STACK, move || member.run(&read))
    });
    let desk = desk::Desk::new(
        make,
        zones,
        clock.clone(),
        to_desk.clone(),
        to_list.clone(),
        hire,
        counters.clone(),
        log.clone(),
    )?;
    let known = told["known"].clone();
    let known = juniperdock_discovery::check(&known).map(|()| known);
    if let Err(why) = &known {
        slog::warn!(log, "no list is known yet"; "why" => why);
    }
    if let Ok(known) = known {
        let _ = to_desk.send(desk::Mail::List(known));
    }
    spawn("desk", DEEP_STACK, move || desk.run(&desk_mail))?;
    spawn("list", STACK, move || list.run())?;
    let _ = to_list.send(list::Mail::Open);

    let listener = TcpListener::bind(listen).map_err(|e| format!("listening at {listen}: {e}"))?;
    let hall = Arc::new(client::Hall {
        clock: clock.clone(),
        desk: to_desk,
        counters: counters.clone(),
        log: log.clone(),
        kinds: names,
        marks: terms("Specifics.SessionMarks").as_deref() == Some("client"),
        grace: grace / 2,
        tickets: AtomicU64::new(0),
        closing: AtomicBool::new(false),
        most,
        standing,
        keep: sockets / 6,
        crowd: sockets / 4,
        seats: Mutex::default(),
    });
    let doorman = hall.clone();
    spawn("doorman", STACK, move || doorman.let_in(&listener))?;
    slog::info!(log, "serving"; "listen" => %listen, "discovery" => %discovery);
    std::thread::spawn(move || {
        ring(&|| {
            let _ = beats.send(desk::Mail::Beat);
        });
    });
    let reload = || {
        if let Err(why) = reread(&path, &told, &to_list, &log) {
            counters.reloads_failed.add();
            slog::error!(log, "the configuration stays as it is"; "why" => why);
        }
        counters.reloads.add();
    };
    watch_signals(signals, &hall, &counters, longest + grace, &reload)
}

fn logger() -> slog::Logger {
    let level = std::env::var("JUNIPERDOCK_LOG").ok().and_then(|level| level.parse().ok());
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    let drain = slog_async::Async::new(drain).chan_size(1024).build().fuse();
    let drain = slog::LevelFilter::new(drain, level.unwrap_or(slog::Level::Info)).fuse();
    slog::Logger::root(drain, slog::o!())
}

/// Reads the configuration again. Where the list is to be had counts at once; all else at the next start.
fn reread(path: &str, told: &Value, list: &Sender<list::Mail>, log: &slog::Logger) -> Result<(), String> {
    let again = configuration(path)?;
    let discovery = again["discovery"].as_str().ok_or("expected a text in discovery of GW_CONFIG")?;
    let discovery: SocketAddr = discovery
        .parse()
        .map_err(|_| format!("discovery: expected an address and port, found {discovery:?}"))?;
    let _ = list.send(list::Mail::At(discovery));
    let other = ["name", "listen", "limits", "peer_listen", "peers", "peers_all", "settings"];
    let other: Vec<_> = other.into_iter().filter(|field| again[field] != told[field]).collect();
    if !other.is_empty() {
        slog::warn!(log, "a change that counts from the next start only"; "in" => other.join(", "));
    }
    Ok(())
}

/// Prints the counters on SIGUSR1 and reads the configuration again on SIGHUP; on SIGTERM answers all that was
/// taken and ends.
fn watch_signals(
    mut signals: Signals,
    hall: &client::Hall,
    counters: &Counters,
    longest: Duration,
    reload: &dyn Fn(),
) -> Result<(), String> {
    for signal in signals.forever() {
        match signal {
            SIGUSR1 => eprintln!("counters: {counters}"),
            SIGHUP => reload(),
            _ => break,
        }
    }
    std::thread::sleep(LINGER);
    hall.close();
    let last = hall.clock.now() + longest;
    while hall.present() > 0 && hall.clock.now() < last {
        std::thread::sleep(Duration::from_millis(5));
    }
    eprintln!("counters: {counters}");
    Ok(())
}
