//! Upgrade check: a front is upgraded repeatedly under steady load, with failing starts mixed in; then every answer
//! is matched with what the emulated members ran.

use crate::fleet::play::scenario;
use crate::fleet::schedule::Schedule;
use crate::scenario::Scenario;
use crate::sockets::{ClientObserver, ClientStatement, State, TestCluster, client, list, settings};
use juniperdock_emulator::{Entry, FinalAnswer, Note, Out, World};
use juniperdock_fd_passing::{PacketSocket, Received};
use juniperdock_hot_restart::message::{self, MAX_MESSAGE_LEN, MessageHandler};
use juniperdock_test_support::{Agent, Front, WATCH, address};
use std::collections::HashMap;
use std::fmt;
use std::os::fd::AsFd;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const CLIENTS: usize = 20;
/// Interval at which the emulator is advanced.
const STEP: Duration = Duration::from_millis(1);
/// How long clients wait for an answer beyond the txn's time.
const CLIENT_SLACK: Duration = Duration::from_millis(1500);
/// Ways in which the start of a new process fails.
const FAILURE_MODES: [&str; 6] = ["exits", "hangs", "version", "offer", "half", "nonsense"];
/// A txn counts as affected by an upgrade if it overlaps the interval from `NEAR_UPGRADE_BEFORE` before the upgrade's
/// end to `NEAR_UPGRADE_AFTER` after it.
const NEAR_UPGRADE_BEFORE: Duration = Duration::from_millis(400);
const NEAR_UPGRADE_AFTER: Duration = Duration::from_millis(200);

/// Results of an upgrade run.
#[derive(Debug, Default)]
pub struct Figures {
    pub upgrades: usize,
    pub failed_starts: usize,
    pub txns: usize,
    pub per_second: usize,
    pub lost: usize,
    pub doubled: usize,
    pub refused: usize,
    pub declined: usize,
    pub wanted: usize,
    late: Vec<Duration>,
    steady: Vec<Duration>,
    pub notes: Vec<String>,
}

fn p99(spans: &[Duration]) -> f64 {
    let mut spans = spans.to_vec();
    spans.sort_unstable();
    spans.get(spans.len() * 99 / 100).copied().unwrap_or_default().as_secs_f64() * 1000.0
}

impl Figures {
    /// Whether no txn or connection was lost and all planned upgrades and failing starts took place.
    pub fn holds(&self) -> bool {
        self.lost + self.doubled + self.refused == 0
            && self.upgrades == self.wanted
            && self.failed_starts >= 4
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.notes.iter().try_for_each(|note| writeln!(f, "{note}"))?;
        writeln!(f, "{} txns a second, {} declined", self.per_second, self.declined)?;
        write!(
            f,
            "upgrade: upgrades={} failed_starts={} txns={} lost={} doubled={} refused_connections={} late_p99_ms={:.1} steady_p99_ms={:.1}",
            self.upgrades,
            self.failed_starts,
            self.txns,
            self.lost,
            self.doubled,
            self.refused,
            p99(&self.late),
            p99(&self.steady)
        )
    }
}

/// When a txn was first sent, how often it was written to the front, and its answer.
type TxnRecord = (Duration, u32, Option<(Duration, FinalAnswer)>);

/// What clients observed, by txn.
#[derive(Default)]
struct Observed {
    asked: HashMap<u32, TxnRecord>,
    refused: usize,
}

struct ClientLog(Arc<Mutex<Observed>>);

impl ClientLog {
    fn update(&self, change: impl FnOnce(&mut Observed)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl ClientObserver for ClientLog {
    fn asked(&mut self, at: Duration, _front: usize, ask: &ClientStatement) {
        self.update(|observed| observed.asked.entry(ask.txn).or_insert((at, 0, None)).1 += 1);
    }

    fn answered(
        &mut self,
        at: Duration,
        _front: usize,
        txn: u32,
        outcome: FinalAnswer,
        _code: Option<&str>,
        _ended: bool,
    ) {
        self.update(|observed| observed.asked.entry(txn).or_insert((at, 0, None)).2 = Some((at, outcome)));
    }

    fn refused(&mut self, _front: usize) {
        self.update(|observed| observed.refused += 1);
    }
}

/// Advances the emulator until the run is over; returns how often each write has taken effect.
fn drive(cluster: &TestCluster, scenario: &Scenario) -> HashMap<u32, i64> {
    let mut ran = HashMap::new();
    loop {
        let mut state = cluster.lock();
        let now = cluster.now();
        while let Some(out) = state.world.next(now) {
            // The members have no faults, so the server list does not change.
            drop(state.pass_on(out, scenario));
        }
        for (_, note) in state.world.take_notes() {
            match note {
                Note::Ran { txn, .. } => *ran.entry(txn).or_default() += 1,
                Note::Undone { txn } => *ran.entry(txn).or_default() -= 1,
                _ => {}
            }
        }
        cluster.wake_clients(&state);
        if state.over {
            return ran;
        }
        drop(state);
        std::thread::sleep(STEP);
    }
}

/// Runs `upgrades` successful upgrades, mixed with failing starts in an order determined by the seed. `rig` is the
/// laboratory program, whose `successor` command fails in the requested way.
pub fn upgrade(
    program: &str,
    rig: &Path,
    seed: u64,
    upgrades: usize,
    idle: usize,
    groups: usize,
) -> Result<Figures, String> {
    let mut rng = oorandom::Rand32::new(seed);
    let (fronts, members, per_second) = (1, 3, 300.0);
    let world = Schedule {
        fronts,
        groups,
        members,
        per_second,
        retries: 0,
        lasts_s: 3600.0,
        fellows: false,
        ..Schedule::default()
    };
    let scenario = scenario(&world);
    let mut world = World::new(scenario.shape(seed));
    world.record_notes();
    let known: Vec<Entry> = match world.next(Duration::ZERO) {
        Some(Out::Born { known, .. }) => known,
        _ => return Err("the emulator has no front".to_owned()),
    };
    let observed = Arc::new(Mutex::new(Observed::default()));
    let cluster = TestCluster::new(
        State::new(world, fronts, Some(Box::new(ClientLog(observed.clone())))),
        CLIENT_SLACK,
    );
    let members = cluster.members(0, groups * members)?;
    let (known, agent, at) = (list(&cluster, 1, true, &known, &members), Agent::start(WATCH), address());
    agent.publish(known.clone());
    let mut config = settings(&scenario, seed, 0, &known);
    config["limits"]["sockets"] = (1024 + 8 * idle).into();
    let control = Front::folder(at).join("control");
    let charter = format!(
        "{{ control: {{ path: {:?} }}, upgrade: {{ ready_ms: 1500, taken_ms: 500 }} }}",
        control.display().to_string()
    );
    let front = Front::start_with_config(program, at, agent.at, &config.to_string(), Some(&charter));
    let mut idle: Vec<_> = (0..idle + 1).map(|_| Some(front.client())).collect();
    let command = |args: &[&str]| {
        let out = Command::new(program)
            .arg("--charter")
            .arg(front.path("charter.json5"))
            .arg("--json")
            .args(args)
            .output();
        let out = out.map_err(|e| format!("{program}: {e}"))?;
        Ok::<_, String>((out.status.success(), String::from_utf8_lossy(&out.stdout).trim().to_owned()))
    };
    // Scripts that act as failing new versions of the program.
    for how in FAILURE_MODES {
        let body = match how {
            "exits" => "exit 3".to_owned(),
            "hangs" => "exec sleep 30".to_owned(),
            other => format!("exec {:?} successor {other}", rig.display().to_string()),
        };
        let path = front.path(how);
        let open = std::fs::Permissions::from_mode(0o700);
        std::fs::write(&path, format!("#!/bin/sh\n{body}\n"))
            .and_then(|()| std::fs::set_permissions(&path, open))
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    let mut starts: Vec<Option<&str>> = vec![None; upgrades];
    let failure_modes = if upgrades < 5 { 4 } else { FAILURE_MODES.len() };
    FAILURE_MODES.iter().take(failure_modes).for_each(|how| starts.push(Some(how)));
    for i in (1..starts.len()).rev() {
        starts.swap(i, rng.rand_range(0..i as u32 + 1) as usize);
    }
    let mut figures = Figures { wanted: upgrades, ..Figures::default() };
    let (mut ends, mut lasted, mut ran) = (Vec::new(), Duration::ZERO, HashMap::new());
    std::thread::scope(|scope| {
        let (cluster, scenario) = (&*cluster, &scenario);
        let driver = scope.spawn(move || drive(cluster, scenario));
        for _ in 0..CLIENTS {
            scope.spawn(move || client(cluster, at, 0));
        }
        std::thread::sleep(Duration::from_millis(500));
        for start in starts {
            std::thread::sleep(Duration::from_millis(u64::from(rng.rand_range(200..500))));
            let program = start.map(|how| front.path(how).display().to_string());
            let args =
                program.as_ref().map_or(vec!["upgrade"], |program| vec!["upgrade", "--program", program]);
            let (succeeded, output) = command(&args).unwrap_or_else(|why| (false, why));
            match start {
                None if succeeded => figures.upgrades += 1,
                Some(_) if !succeeded => figures.failed_starts += 1,
                _ => {}
            }
            if succeeded == start.is_some() {
                figures.notes.push(format!("start {start:?}: {output}"));
            }
            figures.notes.push(format!("{start:?} ended at {} ms", cluster.now().as_millis()));
            ends.push(cluster.now());
        }
        std::thread::sleep(Duration::from_millis(700));
        lasted = cluster.now();
        // Clients that were idle throughout must still be connected: each sends one statement. One that is sent twice
        // or not answered shows in the figures.
        for client in &mut idle {
            let Some(ask) = cluster.next_statement(0) else { break };
            cluster.send_statement(at, 0, &ask, client);
        }
        // Txns in flight end.
        std::thread::sleep(CLIENT_SLACK);
        cluster.end();
        ran = driver.join().unwrap_or_default();
    });
    // The process that serves now is terminated with SIGTERM.
    let (_, status) = command(&["status"])?;
    let pid =
        status.split("\"pid\":").nth(1).and_then(|rest| rest.split([',', '}']).next()?.parse::<u32>().ok());
    if let Some(pid) = pid {
        let _ = Command::new("kill").args(["-TERM", &pid.to_string()]).status();
    }
    let observed = std::mem::take(&mut *observed.lock().unwrap_or_else(PoisonError::into_inner));
    let writes = {
        let state = cluster.lock();
        let writes = |txn: &u32| state.world.writes(*txn);
        observed.asked.keys().copied().filter(writes).collect::<std::collections::HashSet<u32>>()
    };
    (figures.txns, figures.refused) = (observed.asked.len(), observed.refused);
    let meanwhile = observed.asked.values().filter(|asked| asked.0 < lasted).count();
    figures.per_second = (meanwhile as f64 / lasted.as_secs_f64()) as usize;
    let mut asked: Vec<_> = observed.asked.into_iter().collect();
    asked.sort_unstable_by_key(|asked| asked.0);
    for (txn, (from, times, answer)) in asked {
        let ran = ran.get(&txn).copied().unwrap_or(0);
        let outcome = answer.map_or(FinalAnswer::Nothing, |(_, outcome)| outcome);
        let lost = outcome == FinalAnswer::Nothing
            || times != 1
            || writes.contains(&txn) && outcome == FinalAnswer::Committed && ran < 1;
        if lost {
            figures.lost += 1;
            let from = from.as_millis();
            figures.notes.push(format!("{txn:x} from {from} ms, written {times} times: {outcome:?}"));
        }
        figures.doubled += usize::from(ran > 1);
        figures.declined += usize::from(outcome == FinalAnswer::Declined);
        let to = answer.map_or(from, |(to, _)| to);
        let near_upgrade =
            ends.iter().any(|&end| from < end + NEAR_UPGRADE_AFTER && to + NEAR_UPGRADE_BEFORE > end);
        let took = to.saturating_sub(from);
        if near_upgrade { figures.late.push(took) } else { figures.steady.push(took) }
    }
    Ok(figures)
}

/// What a failing new process has received so far.
#[derive(Default)]
struct ReceivedMessages {
    agreed: bool,
    listener: bool,
    clients: Vec<u64>,
    commit: bool,
}

impl MessageHandler for ReceivedMessages {
    fn agreed(&mut self, _version: u16) {
        self.agreed = true;
    }
    fn change(&mut self, _piece: &[u8], _last: bool) {}
    fn state_complete(&mut self) {}
    fn session_marks(&mut self) {}
    fn memory(&mut self, _piece: &[u8]) {}
    fn listener(&mut self) {
        self.listener = true;
    }
    fn unread(&mut self, _bytes: &[u8]) {}
    fn client(&mut self, number: u64, _open: bool, _skipping: bool) {
        self.clients.push(number);
    }
    fn idle(&mut self, _member: &str) {}
    fn commit(&mut self) {
        self.commit = true;
    }
    fn nonsense(&mut self) {}
}

/// A new process that fails: by an unsupported version, by a malformed message, after the offer, or after it has
/// received half of the clients. Always returns false.
pub fn successor(how: &str) -> bool {
    let Ok(socket) = std::io::stdin().as_fd().try_clone_to_owned().map(PacketSocket::from_fd) else {
        return false;
    };
    let (lowest, highest) =
        if how == "version" { (900, 901) } else { juniperdock_hot_restart::SUPPORTED_VERSIONS };
    let (mut received, mut ready) = (ReceivedMessages::default(), false);
    let mut sent = socket.send(&message::hello(lowest, highest), None).is_ok();
    while sent
        && let Ok(Received::Packet(packet, _)) = socket.receive(MAX_MESSAGE_LEN, Duration::from_secs(5))
    {
        message::deliver_to_new(&packet, &mut received);
        if how == "waits" {
            continue;
        }
        if how == "nonsense" {
            sent = socket.send(b"?", None).is_ok();
        } else if received.agreed && !std::mem::replace(&mut ready, true) {
            sent = socket.send(&message::ready(), None).is_ok();
        } else if how == "offer" && received.listener || received.commit {
            return false;
        } else if let Some(client) = received.clients.pop() {
            sent = socket.send(&message::client_received(client), None).is_ok();
            if how == "half" && client % 2 == 0 {
                return false;
            }
        }
    }
    false
}
