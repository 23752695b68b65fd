//! Starts a front: reads what is told, wires the actors, serves.

use crate::client::CONNECTION_STACK_BYTES;
use crate::clients::SharedClients;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::messages::{self, DiscoveryMessage, DispatcherMessage, MembershipMessage};
use crate::request_log::RequestLog;
use crate::settings::{Settings, TxnTypes};
use crate::upgrade::{self, Taking};
use crate::{control, discovery_client, dispatcher, member, membership, signals, snapshot_file};
use juniperdock_connection::{Door, spawn};
use juniperdock_hot_restart::Times;
use juniperdock_operator_config as operator_config;
use juniperdock_operator_config::{Charter, Fault, Form, Held, Log, Upgrade};
use juniperdock_server_list::{ProbeLimits, ProbeQueue};
use juniperdock_wait_queue::WaitLimits;
use may::sync::mpsc::{Sender, channel};
use sd_notify::NotifyState;
use slog::Drain;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::sync_channel;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long a start may wait for a socket: restarted processes have to be ready in 10 s.
const START_PATIENCE: Duration = Duration::from_secs(8);
/// How long a new process waits for roles before it says that it is ready.
const ROLES: Duration = Duration::from_millis(600);
/// Free stacks that are kept for the next connections. `may` makes as many at the start and uses the one that has
/// been free for longest: unless told otherwise a thousand, each touched by and by, 20 MB of memory that nobody needs.
const STACKS: usize = 32;
/// The stack, in bytes, of the coroutines that decide or read JSON.
const DEEP_STACK: usize = 1 << 20;

/// Whether the platform's configuration is all there, as far as a start would tell.
pub fn check(charter: Option<&Charter>) -> Result<(), String> {
    let told = Settings::read()?;
    told.address("GW_LISTEN", "listen")?;
    told.address("GW_DISCOVERY", "discovery")?;
    told.check()?;
    let Some(laid_down) = charter.and_then(|charter| charter.fellows.as_ref()) else { return Ok(()) };
    membership::read_keys(&laid_down.keys)?;
    let (listen, peers) = told.fellows()?.ok_or("fellows: the settings do not allow fronts to speak")?;
    peers.into_iter().collect::<Result<Vec<_>, _>>()?;
    // A front that runs has its own address; any other that has it is in the way.
    let free = std::net::UdpSocket::bind(listen);
    let runs =
        charter.and_then(|charter| charter.control.as_ref()).is_some_and(|control| control.path.exists());
    match free {
        Err(e) if !runs => Err(format!("peer_listen: {listen}: {e}")),
        _ => Ok(()),
    }
}

/// Starts to speak with the other fronts, where the operators' file and the settings have it. Whatever is wrong
/// there keeps no front from serving: the log says why it goes without its fellows, and `check` says it before.
fn fellows_of(
    laid_down: &operator_config::Fellows,
    told: &Settings,
    clock: &Clock,
    counters: &Arc<Counters>,
    to_desk: &Sender<DispatcherMessage>,
    log: &slog::Logger,
) -> Result<membership::Handle, String> {
    let keys = membership::read_keys(&laid_down.keys)?;
    let (listen, peers) = told.fellows()?.ok_or("the settings do not allow fronts to speak")?;
    // One name that can't be found is one fellow less.
    let known = |peer: Result<_, String>| {
        peer.map_err(|why| slog::error!(log, "a fellow has no address"; "why" => why)).ok()
    };
    let peers = peers.into_iter().map(known).collect();
    let (me, _) = told.place()?;
    let (name, config, seed) = (told.name(me), laid_down.clone(), told.seed()?);
    let (shares, dispatcher) = (config.duties, to_desk.clone());
    let circle = membership::Setup { me, name, listen, peers, config, keys, seed, dispatcher };
    let mail = membership::start(circle, clock.clone(), counters.clone(), log.clone(), DEEP_STACK)?;
    if shares {
        let circle = mail.clone();
        let _ = to_desk.send(DispatcherMessage::EnableFleetTasks(Box::new(move |mail| circle.send(mail))));
    }
    Ok(mail)
}

/// Reads what is told, wires the actors, and serves until SIGTERM.
pub fn serve(charter: &Charter, file: Option<&Path>) -> Result<(), String> {
    let signals = signals::listen()?;
    let mut taking = Taking::begin().transpose()?;
    // Before anything of `may` is used.
    may::config()
        .set_workers(1)
        .set_stack_size(CONNECTION_STACK_BYTES / size_of::<usize>())
        .set_pool_capacity(STACKS)
        .set_worker_pin(false);
    let (clock, ring) = Clock::start(START_PATIENCE)?;
    let mut told = Settings::read()?;
    let (listen, discovery) =
        (told.address("GW_LISTEN", "listen")?, told.address("GW_DISCOVERY", "discovery")?);
    let (routers, held) = (told.routers()?, charter.held.clone());
    let make: dispatcher::MakeRouter = Box::new(move || {
        let mut router = routers()?;
        router.set_unexecuted_wait_share(held.untaken_share);
        router.set_wait_queue_limits(most(&held));
        Ok(router)
    });
    let room = told.descriptors()?;
    let (connect_timeout, idle_timeout) =
        (told.millis("Bounds.ConnectTimeout")?, told.millis("Bounds.ConnIdle")?);
    let grace = told.millis("Guarantees.GraceToAnswer")?;
    let TxnTypes { names: txn_types, writes, longest } = told.txn_types()?;

    let level = log_level(&charter.log);
    let log = logger(&charter.log, level);
    let request_log = RequestLog::new(log.clone(), level >= slog::Level::Debug);
    std::panic::set_hook(Box::new({
        let log = log.clone();
        move |panic| slog::error!(log, "panic"; "at" => panic.location().map(ToString::to_string))
    }));
    let counters = Arc::new(Counters::default());
    let (to_desk, desk_mail) = channel();
    let known = told.take_known();
    let discovery_client = discovery_client::DiscoveryClient::new(
        discovery,
        known.as_ref().ok().map(|list| list.version),
        told.seed()?,
        clock.clone(),
        to_desk.clone(),
        counters.clone(),
        log.clone(),
        DEEP_STACK,
    );
    let to_discovery = discovery_client.sender();
    let reach = member::PoolContext {
        clock: clock.clone(),
        dispatcher: to_desk.clone(),
        counters: counters.clone(),
        log: log.clone(),
        request_log: request_log.clone(),
        connect_timeout,
        idle_timeout,
        stack_bytes: CONNECTION_STACK_BYTES,
        open_connections: Arc::new(AtomicUsize::new(0)),
        max_connections: room.most,
        max_message_bytes: told.largest_answer(),
    };
    let hire: dispatcher::SpawnMember = Box::new(move |index, address, read, mail| {
        let member = member::MemberPool::new(index, address, mail, reach.clone());
        spawn("member", CONNECTION_STACK_BYTES, move || member.run(&read))
    });
    let desk = dispatcher::Dispatcher::new(
        make,
        (0..txn_types.len()).map(|kind| txn_types.id(kind).clone()).collect(),
        told.zones(),
        clock.clone(),
        to_desk.clone(),
        to_discovery.clone(),
        hire,
        ProbeQueue::new(told.seed()?, ProbeLimits::for_connections(room.most)),
        counters.clone(),
        log.clone(),
        request_log.clone(),
    )?;
    match known {
        Ok(known) => drop(to_desk.send(DispatcherMessage::List(known))),
        Err(why) => slog::warn!(log, "no list is known yet"; "why" => why),
    }
    // What another process hands over is newer than any file.
    let kept = charter.snapshot.as_ref().filter(|_| taking.is_none());
    if let Some(bytes) = kept.and_then(|kept| snapshot_file::read(&kept.path, &log)) {
        let _ = to_desk.send(DispatcherMessage::RestoreSnapshot(bytes));
    }
    spawn("desk", DEEP_STACK, move || desk.run(&desk_mail))?;
    spawn("discovery", CONNECTION_STACK_BYTES, move || discovery_client.run())?;
    let _ = to_discovery.send(DiscoveryMessage::OpenWatch);

    spawn("clock", CONNECTION_STACK_BYTES, ring)?;
    clock.start_watchdog(to_desk.clone());
    let door = match &mut taking {
        None => Door::open(listen, START_PATIENCE)?,
        Some(taking) => {
            let _ = to_desk.send(DispatcherMessage::ProbeAll);
            await_roles(&counters);
            Door::of(taking.listener()?)?
        }
    };
    let door = Arc::new(door);
    let clients = Arc::new(SharedClients {
        clock: clock.clone(),
        dispatcher: to_desk.clone(),
        counters: counters.clone(),
        log: log.clone(),
        request_log: request_log.clone(),
        txn_types,
        writes,
        client_session_marks: told.term("Specifics.SessionMarks").as_deref() == Some("client"),
        grace: grace / 2,
        next_request_id: AtomicU64::new(0),
        closing: AtomicBool::new(false),
        answer_all_now: AtomicBool::new(false),
        max_clients: room.most,
        refusal_slots: room.standing,
        close_long_idle_above: room.keep,
        close_idle_above: room.crowd,
        slots: Mutex::default(),
        transfer_to: Mutex::default(),
        transfer_mode: AtomicU8::default(),
        receiving_transfers: AtomicBool::new(false),
        stop_accepting: AtomicBool::new(false),
        acceptor_running: AtomicBool::new(true),
        membership: charter.fellows.as_ref().and_then(|laid_down| {
            let started = fellows_of(laid_down, &told, &clock, &counters, &to_desk, &log);
            started.map_err(|why| slog::error!(log, "fellows are off"; "why" => why)).ok()
        }),
    });
    if let Some(taking) = taking {
        taking.serve(&clients)?;
    }
    let (acceptor, its_door) = (clients.clone(), door.clone());
    spawn("acceptor", CONNECTION_STACK_BYTES, move || acceptor.accept_until_stopped(&its_door))?;
    if let Some(kept) = &charter.snapshot {
        snapshot_file::now_and_then(kept.clone(), clock.clone(), to_desk.clone(), log.clone());
    }
    let upgrade = upgrades(&clients, &door, &charter.upgrade, &log);
    let upgrade_for_roll = upgrade_for_roll(&upgrade, &charter.upgrade);
    clients.send_to_membership(MembershipMessage::SetUpgrade(upgrade_for_roll));
    if let Some(socket) = &charter.control {
        let fellows = clients.membership.clone();
        let duties = charter.fellows.as_ref().is_some_and(|laid_down| laid_down.duties);
        let control = control::Control {
            clock: clock.clone(),
            desk: to_desk,
            counters: counters.clone(),
            upgrade,
            fellows,
            duties,
        };
        control::serve(control::open(&socket.path)?, control, log.clone());
    }
    // Where a supervisor has named a socket for it.
    let states = [NotifyState::MainPid(std::process::id()), NotifyState::Ready];
    if let Err(why) = sd_notify::notify(&states) {
        slog::warn!(log, "the supervisor was not told"; "why" => %why);
    }
    slog::info!(log, "serving"; "listen" => %listen, "discovery" => %discovery);
    let now = Mutex::new(charter.clone());
    let laid_down = || again(file, &now, &clients);
    signals::follow(
        signals,
        &told,
        &to_discovery,
        &laid_down,
        &clients,
        &door,
        &counters,
        longest + grace,
        &log,
    );
    Ok(())
}

fn most(held: &Held) -> WaitLimits {
    WaitLimits {
        per_group: held.of_group,
        total: held.of_all,
        bytes_per_group: held.kib_of_group.saturating_mul(1024),
        total_bytes: held.kib_of_all.saturating_mul(1024),
    }
}

/// Reads the operators' file again. What may wait counts at once; gives the names of what else has changed.
fn again(
    file: Option<&Path>,
    now: &Mutex<Charter>,
    clients: &SharedClients,
) -> Result<Vec<&'static str>, String> {
    let Some(file) = file else { return Ok(Vec::new()) };
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let join = |faults: Vec<Fault>| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ");
    let new = juniperdock_operator_config::read(&text).map_err(join)?;
    let mut now = now.lock().unwrap_or_else(PoisonError::into_inner);
    if new.held != now.held {
        clients.clock.post(
            &clients.dispatcher,
            DispatcherMessage::SetWaitLimits(most(&new.held), new.held.untaken_share),
        );
        now.held = new.held.clone();
    }
    if let (Some(new), Some(old), Some(_)) = (&new.fellows, &mut now.fellows, &clients.membership) {
        // The files may have changed under the same names.
        clients.send_to_membership(MembershipMessage::SetKeys(membership::read_keys(&new.keys)?));
        old.keys.clone_from(&new.keys);
    }
    let other = [
        ("log", new.log != now.log),
        ("control", new.control != now.control),
        ("upgrade", new.upgrade != now.upgrade),
        ("snapshot", new.snapshot != now.snapshot),
        ("fellows", new.fellows != now.fellows),
    ];
    Ok(other.into_iter().filter(|(_, changed)| *changed).map(|(name, _)| name).collect())
}

/// Waits until it is known who is primary of each group, or for as long as clients would be worth it.
fn await_roles(counters: &Counters) {
    let begun = Instant::now();
    while (counters.lists.read() == 0 || counters.groups_vacant.read() > 0) && begun.elapsed() < ROLES {
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Upgrades through the control socket, one at a time.
fn upgrades(
    clients: &Arc<SharedClients>,
    door: &Arc<Door>,
    how: &Upgrade,
    log: &slog::Logger,
) -> messages::UpgradeFn {
    let (clients, door, how, log) = (clients.clone(), door.clone(), how.clone(), log.clone());
    let busy = Arc::new(AtomicBool::new(false));
    let span = Duration::from_millis;
    let times = Times { ready: span(how.ready_ms), gather: span(how.gather_ms), taken: span(how.taken_ms) };
    Arc::new(move |program| {
        let own = || std::env::args_os().next().map(PathBuf::from);
        let program = program.map(PathBuf::from).or_else(|| how.program.clone()).or_else(own);
        let program = program.ok_or("the own program is not known: name it")?;
        if busy.swap(true, Ordering::AcqRel) {
            return Err("an upgrade is under way".to_owned());
        }
        let (tell, told) = sync_channel(1);
        let (clients, door, log, busy) = (clients.clone(), door.clone(), log.clone(), busy.clone());
        std::thread::spawn(move || {
            upgrade::give(clients, door, &program, times, &tell, log);
            busy.store(false, Ordering::Release);
        });
        told.recv().unwrap_or_else(|_| Err("undone".to_owned()))
    })
}

/// The same where another front asks for it: whoever has a key of the fellows is not to start whatever program lies here.
pub fn upgrade_for_roll(upgrade: &messages::UpgradeFn, how: &Upgrade) -> messages::UpgradeFn {
    let (upgrade, named) = (upgrade.clone(), how.program.clone());
    Arc::new(move |program| {
        let known = [std::env::current_exe().ok(), named.clone()];
        if program.is_none_or(|program| in_known_folder(Path::new(program), &known)) {
            upgrade(program)
        } else {
            Err("a roll may name a program only beside the one that runs, or the one of upgrade.program"
                .to_owned())
        }
    })
}

/// Whether a program lies in the same folder as one of those that are known; links and detours are followed.
pub fn in_known_folder(program: &Path, known: &[Option<PathBuf>]) -> bool {
    let folder = |path: &Path| path.canonicalize().ok()?.parent().map(Path::to_path_buf);
    let its = folder(program);
    its.is_some() && known.iter().flatten().any(|known| folder(known) == its)
}

/// What is logged: by the environment, else by the operators' file.
fn log_level(how: &Log) -> slog::Level {
    let level = std::env::var("JUNIPERDOCK_LOG").ok().and_then(|level| level.parse().ok());
    level.or_else(|| how.level.name().parse().ok()).unwrap_or(slog::Level::Info)
}

/// Lines of text or of JSON, written by a thread of their own.
fn logger(how: &Log, level: slog::Level) -> slog::Logger {
    // A line at a time: while one process succeeds another both write there, and pieces of lines would mix.
    let lines = std::io::LineWriter::new(std::io::stderr());
    let drain = match how.form {
        Form::Text => {
            let decorator = slog_term::PlainDecorator::new(lines);
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(drain).chan_size(1024).build()
        }
        Form::Json => {
            let monotonic_us = slog::FnValue(|_| juniperdock_connection::monotonic().as_micros() as u64);
            let drain = slog_json::Json::new(lines)
                .add_default_keys()
                .add_key_value(slog::o!("monotonic_us" => monotonic_us))
                .build();
            slog_async::Async::new(Mutex::new(drain).fuse()).chan_size(1024).build()
        }
    };
    let drain = slog::LevelFilter::new(drain.fuse(), level).fuse();
    slog::Logger::root(drain, slog::o!())
}
