//! Starts a front: reads the configuration, creates and connects the actors, and serves until SIGTERM.

use crate::acceptor_state::AcceptorState;
use crate::client::CONNECTION_STACK_BYTES;
use crate::clients::SharedClients;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::memory::Memory;
use crate::messages::{self, DiscoveryMessage, DispatcherMessage, MembershipMessage};
use crate::reload::{self, Reloader};
use crate::request_log::RequestLog;
use crate::runtime_state::RuntimeState;
use crate::settings::{DISCOVERY_ENV, Settings, TxnTypes};
use crate::signal_waiter::SignalWaiter;
use crate::upgrade::{self, ChangeTarget, TransferTarget};
use crate::{
    control, discovery_client, dispatcher, logging, member, membership, signals, snapshot_file, threads,
};
use juniperdock_connection::{Listener, spawn};
use juniperdock_hot_restart::Timeouts;
use juniperdock_operator_config as operator_config;
use juniperdock_operator_config::{OperatorConfig, Upgrade};
use juniperdock_request_guard::RequestIds;
use juniperdock_server_list::{ProbeLimits, ProbeQueue};
use may::sync::mpsc::{Sender, channel};
use sd_notify::NotifyState;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::sync_channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a start may wait for a socket. Restarted processes have to be ready within 10 s.
const START_TIMEOUT: Duration = Duration::from_secs(8);
/// How long a new process waits for the roles of members before it reports that it is ready.
const ROLE_WAIT: Duration = Duration::from_millis(600);
/// Free coroutine stacks kept for reuse. `may` allocates them at the start and reuses the one that has been free for
/// longest, so its default of 1000 would gradually touch all of them and waste 20 MB of memory.
const POOLED_STACKS: usize = 32;
/// How long the id of a request is remembered at least after its end, beside the longest time limit: a client has 6 s
/// for what it sends.
const MIN_ID_RETENTION: Duration = Duration::from_secs(7);
/// The most ids of ended requests that are remembered twice over, and the memory that has to be there for each.
const MAX_ENDED_IDS: usize = 100_000;
const BYTES_PER_ENDED_ID: usize = 1024;
/// Stack size, in bytes, of the coroutines that make routing decisions or parse JSON.
const LARGE_STACK_BYTES: usize = 1 << 20;

/// Validates the platform's configuration, as far as a start would.
pub fn check(config: Option<&OperatorConfig>) -> Result<(), String> {
    let settings = Settings::read()?;
    settings.address("GW_LISTEN", "listen")?;
    settings.address(DISCOVERY_ENV, "discovery")?;
    settings.check()?;
    let Some(fellows_config) = config.and_then(|config| config.fellows.as_ref()) else { return Ok(()) };
    membership::read_keys(&fellows_config.keys)?;
    let (listen, peers) = settings
        .peer_addresses()?
        .ok_or("fellows: communication between fronts is disabled by Bounds.Peers")?;
    peers.into_iter().collect::<Result<Vec<_>, _>>()?;
    // A running front occupies its own address; any other process that occupies it is a fault.
    let free = std::net::UdpSocket::bind(listen);
    let runs = config.and_then(|config| config.control.as_ref()).is_some_and(|control| control.path.exists());
    match free {
        Err(e) if !runs => Err(format!("peer_listen: {listen}: {e}")),
        _ => Ok(()),
    }
}

/// Starts the membership actor, which communicates with the other fronts. An error here must not keep the front from
/// serving: it is logged and the front runs without peers. `check` reports the same errors in advance.
fn start_membership(
    fellows_config: &operator_config::MembershipConfig,
    settings: &Settings,
    clock: &Clock,
    counters: &Arc<Counters>,
    dispatcher_tx: &Sender<DispatcherMessage>,
    log: &slog::Logger,
) -> Result<membership::Handle, String> {
    let keys = membership::read_keys(&fellows_config.keys)?;
    let (listen, peers) =
        settings.peer_addresses()?.ok_or("communication between fronts is disabled by Bounds.Peers")?;
    // A name that can't be resolved only excludes that peer.
    let with_address = |peer: Result<_, String>| {
        peer.map_err(|why| slog::error!(log, "peer without address"; "why" => why)).ok()
    };
    let peers = peers.into_iter().map(with_address).collect();
    let (me, _) = settings.front_index()?;
    let (name, config, seed) = (settings.name(me), fellows_config.clone(), settings.seed()?);
    let (runs_fleet_tasks, dispatcher) = (config.duties, dispatcher_tx.clone());
    let setup = membership::Setup { me, name, listen, peers, config, keys, seed, dispatcher };
    let handle = membership::start(setup, clock.clone(), counters.clone(), log.clone(), LARGE_STACK_BYTES)?;
    if runs_fleet_tasks {
        let membership = handle.clone();
        let _ = dispatcher_tx
            .send(DispatcherMessage::EnableFleetTasks(Box::new(move |message| membership.send(message))));
    }
    Ok(handle)
}

/// Reads the configuration, creates and connects the actors, and serves until SIGTERM.
pub fn serve(config: &OperatorConfig, file: Option<&Path>) -> Result<(), String> {
    let (signals, signal_wake_up) = SignalWaiter::register(&signals::HANDLED)?;
    let mut target = TransferTarget::connect().transpose()?;
    let mut initial_state = target.as_mut().map(TransferTarget::take_initial_state).unwrap_or_default();
    // This must precede any other use of `may`.
    may::config()
        .set_workers(1)
        .set_stack_size(CONNECTION_STACK_BYTES / size_of::<usize>())
        .set_pool_capacity(POOLED_STACKS)
        .set_worker_pin(false);
    let (clock, run_clock) = Clock::start(START_TIMEOUT)?;
    if let Some(time) = &initial_state.server_time {
        clock.adopt_server_time(time);
    }
    let mut settings = Settings::read()?;
    let listen = settings.address("GW_LISTEN", "listen")?;
    let discovery = settings.discovery(initial_state.discovery)?;
    let runtime_state = Arc::new(RuntimeState::new(&initial_state));
    let (routers, held) = (settings.routers()?, config.held.clone());
    let make_router: dispatcher::MakeRouter = Box::new(move || {
        let mut router = routers()?;
        router.set_unexecuted_wait_share(held.untaken_share);
        router.set_wait_queue_limits(reload::wait_limits(&held));
        Ok(router)
    });
    let limits = settings.connection_limits()?;
    let memory = Memory::new(settings.memory());
    let (connect_timeout, idle_timeout) =
        (settings.millis("Bounds.ConnectTimeout")?, settings.millis("Bounds.ConnIdle")?);
    let grace = settings.millis("Guarantees.GraceToAnswer")?;
    let TxnTypes { names: txn_types, writes, keyed, max_time_limit } = settings.txn_types()?;

    let level = logging::level(&config.log);
    let log = logging::logger(&config.log, level, std::io::stderr());
    let request_log = RequestLog::new(log.clone(), level >= slog::Level::Debug);
    std::panic::set_hook(Box::new({
        let log = log.clone();
        move |panic| slog::error!(log, "panic"; "at" => panic.location().map(ToString::to_string))
    }));
    let counters = Arc::new(Counters::default());
    let (dispatcher_tx, dispatcher_rx) = channel();
    let known_list = initial_state.take_starting_list(settings.take_known_list());
    let discovery_client = discovery_client::DiscoveryClient::new(
        discovery,
        known_list.as_ref().ok().map(|list| list.version),
        settings.seed()?,
        clock.clone(),
        dispatcher_tx.clone(),
        counters.clone(),
        log.clone(),
        LARGE_STACK_BYTES,
    );
    let discovery_tx = discovery_client.sender();
    let pool_context = member::PoolContext {
        clock: clock.clone(),
        dispatcher: dispatcher_tx.clone(),
        counters: counters.clone(),
        log: log.clone(),
        request_log: request_log.clone(),
        connect_timeout,
        idle_timeout,
        stack_bytes: CONNECTION_STACK_BYTES,
        open_connections: Arc::new(AtomicUsize::new(0)),
        max_connections: limits.max_server_connections,
        memory,
        max_message_bytes: settings.largest_answer(),
    };
    let spawn_member: dispatcher::SpawnMember = Box::new(move |index, address, read, messages| {
        let member = member::MemberPool::new(index, address, messages, pool_context.clone());
        spawn("member", CONNECTION_STACK_BYTES, move || member.run(&read))
    });
    let dispatcher_actor = dispatcher::Dispatcher::new(
        make_router,
        (0..txn_types.len()).map(|kind| txn_types.id(kind).clone()).collect(),
        settings.zones(),
        clock.clone(),
        dispatcher_tx.clone(),
        discovery_tx.clone(),
        spawn_member,
        ProbeQueue::new(settings.seed()?, ProbeLimits::for_connections(limits.max_server_connections)),
        counters.clone(),
        log.clone(),
        request_log.clone(),
        runtime_state.clone(),
    )?;
    if target.is_some() {
        let _ = dispatcher_tx.send(DispatcherMessage::PredecessorServes(None));
    }
    match known_list {
        Ok(known) => {
            known.lists.into_iter().for_each(|list| drop(dispatcher_tx.send(DispatcherMessage::List(list))));
        }
        Err(why) => slog::warn!(log, "no server list known yet"; "why" => why),
    }
    let _ =
        dispatcher_tx.send(DispatcherMessage::KeepInferredRestarts(initial_state.inferred_restarts.clone()));
    // A snapshot received from the old process is newer than any file.
    let snapshot_config = config.snapshot.as_ref().filter(|_| target.is_none());
    if let Some(bytes) =
        snapshot_config.and_then(|snapshot_config| snapshot_file::read(&snapshot_config.path, &log))
    {
        let _ = dispatcher_tx.send(DispatcherMessage::RestoreSnapshot(bytes));
    }
    spawn("desk", LARGE_STACK_BYTES, move || dispatcher_actor.run(&dispatcher_rx))?;
    spawn("discovery", CONNECTION_STACK_BYTES, move || discovery_client.run())?;
    for change in initial_state.server_changes {
        let _ = discovery_tx.send(DiscoveryMessage::PeerList(change));
    }
    let _ = discovery_tx.send(DiscoveryMessage::OpenWatch);

    spawn("clock", CONNECTION_STACK_BYTES, run_clock)?;
    clock.start_watchdog(dispatcher_tx.clone(), signal_wake_up);
    let listener = match &mut target {
        None => Listener::open(listen, START_TIMEOUT)?,
        Some(target) => {
            target.follow_changes(ChangeTarget {
                clock: clock.clone(),
                discovery: discovery_tx.clone(),
                runtime_state: runtime_state.clone(),
            });
            let _ = dispatcher_tx.send(DispatcherMessage::ProbeAll);
            await_roles(&counters);
            Listener::of(target.receive_listener()?)?
        }
    };
    let listener = Arc::new(listener);
    let clients = Arc::new(SharedClients {
        clock: clock.clone(),
        dispatcher: dispatcher_tx.clone(),
        counters: counters.clone(),
        log: log.clone(),
        request_log: request_log.clone(),
        txn_types,
        writes,
        keyed,
        client_session_marks: settings.get("Specifics.SessionMarks").as_deref() == Some("client"),
        grace: grace / 2,
        next_request_id: AtomicU64::new(0),
        request_ids: Mutex::new(RequestIds::new(
            max_time_limit + MIN_ID_RETENTION,
            settings.memory().map_or(MAX_ENDED_IDS, |bytes| (bytes / BYTES_PER_ENDED_ID).min(MAX_ENDED_IDS)),
        )),
        closing: AtomicBool::new(false),
        answer_all_now: AtomicBool::new(false),
        memory,
        max_clients: limits.max_clients,
        refusal_slots: limits.refusal_slots,
        close_long_idle_above: limits.close_long_idle_above,
        close_idle_above: limits.close_idle_above,
        slots: Mutex::default(),
        transfer_to: Mutex::default(),
        transfer_mode: AtomicU8::default(),
        receiving_transfers: AtomicBool::new(false),
        acceptor: AcceptorState::default(),
        membership: config.fellows.as_ref().and_then(|fellows_config| {
            let started =
                start_membership(fellows_config, &settings, &clock, &counters, &dispatcher_tx, &log);
            started.map_err(|why| slog::error!(log, "fellows are off"; "why" => why)).ok()
        }),
    });
    let reloader = Arc::new(Reloader {
        settings,
        operators_file: file.map(Path::to_path_buf),
        operator_config: Mutex::new(config.clone()),
        clients: clients.clone(),
        discovery: discovery_tx,
        runtime_state,
    });
    if let Some(target) = target {
        target.serve(&reloader)?;
    }
    let (acceptor, its_listener) = (clients.clone(), listener.clone());
    spawn("acceptor", CONNECTION_STACK_BYTES, move || acceptor.accept_until_stopped(&its_listener))?;
    if let Some(snapshot_config) = &config.snapshot {
        snapshot_file::write_periodically(
            snapshot_config.clone(),
            clock.clone(),
            dispatcher_tx.clone(),
            log.clone(),
        )?;
    }
    let upgrade = make_upgrade_fn(&reloader, &listener, &config.upgrade, &log);
    let upgrade_for_roll = upgrade_for_roll(&upgrade, &config.upgrade);
    clients.send_to_membership(MembershipMessage::SetUpgrade(upgrade_for_roll));
    serve_control(config, &clients, upgrade)?;
    // Has an effect only if a supervisor has set NOTIFY_SOCKET.
    let states = [NotifyState::MainPid(std::process::id()), NotifyState::Ready];
    if let Err(why) = sd_notify::notify(&states) {
        slog::warn!(log, "could not notify the supervisor"; "why" => %why);
    }
    slog::info!(log, "serving"; "listen" => %listen, "discovery" => %discovery);
    signals::follow(signals, &reloader, &listener, max_time_limit + grace);
    Ok(())
}

/// Opens and serves the control socket, if the operators want one.
fn serve_control(
    config: &OperatorConfig,
    clients: &SharedClients,
    upgrade: messages::UpgradeFn,
) -> Result<(), String> {
    let Some(socket) = &config.control else { return Ok(()) };
    let control = control::Control {
        clock: clients.clock.clone(),
        dispatcher: clients.dispatcher.clone(),
        counters: clients.counters.clone(),
        upgrade,
        membership: clients.membership.clone(),
        fleet_tasks: config.fellows.as_ref().is_some_and(|fellows_config| fellows_config.duties),
    };
    control::serve(control::open(&socket.path)?, control, clients.log.clone())
}

/// Waits until the primary of each group is known, but not so long that clients would suffer more from the wait.
fn await_roles(counters: &Counters) {
    let started_at = Instant::now();
    while !knows_all_primaries(counters) && started_at.elapsed() < ROLE_WAIT {
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Whether there are groups and each has a primary. The dispatcher sets these gauges some time after it has counted a
/// list, that of groups without a primary first.
fn knows_all_primaries(counters: &Counters) -> bool {
    let with_primary = [
        &counters.groups_settling,
        &counters.groups_steady,
        &counters.groups_doubted,
        &counters.groups_handing_over,
    ];
    with_primary.iter().any(|gauge| gauge.read() > 0) && counters.groups_vacant.read() == 0
}

/// Returns the function that upgrades this front on request; only one upgrade runs at a time.
fn make_upgrade_fn(
    reloader: &Arc<Reloader>,
    listener: &Arc<Listener>,
    config: &Upgrade,
    log: &slog::Logger,
) -> messages::UpgradeFn {
    let (reloader, listener, config, log) = (reloader.clone(), listener.clone(), config.clone(), log.clone());
    let running = Arc::new(AtomicBool::new(false));
    let span = Duration::from_millis;
    let timeouts = Timeouts {
        ready: span(config.ready_ms),
        gather: span(config.gather_ms),
        acknowledge: span(config.taken_ms),
    };
    Arc::new(move |program| {
        let current_program = || std::env::args_os().next().map(PathBuf::from);
        let program = program.map(PathBuf::from).or_else(|| config.program.clone()).or_else(current_program);
        let program = program.ok_or("path of the running program unknown: name a program")?;
        if running.swap(true, Ordering::AcqRel) {
            return Err("an upgrade is under way".to_owned());
        }
        let (result_tx, result) = sync_channel(1);
        let (reloader, listener, log, its_running) =
            (reloader.clone(), listener.clone(), log.clone(), running.clone());
        let started = threads::start("upgrade", move || {
            upgrade::run_upgrade(reloader, listener, &program, timeouts, &result_tx, log);
            its_running.store(false, Ordering::Release);
        });
        if let Err(why) = started {
            running.store(false, Ordering::Release);
            return Err(why);
        }
        result.recv().unwrap_or_else(|_| Err("undone".to_owned()))
    })
}

/// Restricts an upgrade function for requests from other fronts: a holder of a peer key must not be able to start an
/// arbitrary program on this host.
pub fn upgrade_for_roll(upgrade: &messages::UpgradeFn, config: &Upgrade) -> messages::UpgradeFn {
    let (upgrade, named) = (upgrade.clone(), config.program.clone());
    Arc::new(move |program| {
        let known = [std::env::current_exe().ok(), named.clone()];
        if program.is_none_or(|program| in_known_folder(Path::new(program), &known)) {
            upgrade(program)
        } else {
            Err("a rolling upgrade may only name a program in the folder of the running one or of upgrade.program"
                .to_owned())
        }
    })
}

/// Whether a program lies in the same folder as one of the known ones. Symbolic links and `..` are resolved.
pub fn in_known_folder(program: &Path, known: &[Option<PathBuf>]) -> bool {
    let folder = |path: &Path| path.canonicalize().ok()?.parent().map(Path::to_path_buf);
    let program_folder = folder(program);
    program_folder.is_some() && known.iter().flatten().any(|known| folder(known) == program_folder)
}
