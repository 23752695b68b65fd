//! Runs a scenario on real sockets: the real program, with members, server list and clients driven by the same
//! emulator on the machine's clock. Compared with simulated time, the run adds the program's own processing time,
//! the machine's sockets, and real connections in addition to those that the emulator models.

use crate::foreign::{FOREIGN_PREFIX, ForeignRequests};
use crate::load::statement;
use crate::measure::{Measure, Outcome, StateSample};
use crate::scenario::{OfKind, Reads, Runs, Scenario};
use juniperdock_connection::monotonic;
use juniperdock_emulator::{Entry, FinalAnswer, Out, Stream, World};
use juniperdock_router::host::{AttemptOutcome, ListedState, Report, Role};
use juniperdock_test_support::wire::{error, field, message, parameter, read_message, ready, row};
use juniperdock_test_support::{Agent, Client, Front, Reply, WATCH, address, unix_ms};
use std::collections::{HashMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Interval at which the emulator is advanced.
const STEP: Duration = Duration::from_millis(1);
/// Interval at which a member checks whether the front has closed the connection.
const DISCONNECT_POLL: Duration = Duration::from_millis(4);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time of the first sample; before it, the fronts learn who is primary.
const FIRST_SAMPLE_AT: Duration = Duration::from_millis(400);
/// Maximum number of client connections per front: the front has few descriptors and would close more of them
/// between txns.
const MOST_CLIENTS: usize = 160;
/// Extra delay that sockets and threads may add to the answer grace.
const GRACE_SLACK: Duration = Duration::from_millis(100);

/// Called with the fronts' addresses after the run; everything stays up until it returns.
pub type Keep<'a> = &'a dyn Fn(&[SocketAddr]);

/// Result of a submission at a member.
pub(crate) struct Ended {
    pub ending: AttemptOutcome,
    pub role: Option<Role>,
    pub position: Option<Duration>,
}

/// A statement that a client has to send.
pub(crate) struct ClientStatement {
    pub txn: u32,
    pub text: String,
    pub left: Duration,
}

/// Observes what clients send and receive.
pub(crate) trait ClientObserver: Send {
    /// A statement has been completely written to a front.
    fn asked(&mut self, at: Duration, front: usize, ask: &ClientStatement);
    /// The statement's answer or its absence, the error code, and whether the connection had ended.
    fn answered(
        &mut self,
        at: Duration,
        front: usize,
        txn: u32,
        outcome: FinalAnswer,
        code: Option<&str>,
        ended: bool,
    );
    /// The connection ended without an answer before the statement's time was over.
    fn cut_off(&mut self, _at: Duration, _front: usize, _txn: u32) {}
    /// A client closed its connection before it received an answer.
    fn left(&mut self, _at: Duration, _front: usize, _txn: u32) {}
    /// A client could not connect.
    fn refused(&mut self, _front: usize) {}
    /// A request of the rig's own was sent on at this time, after its client had left.
    fn sent_after_leaving(&mut self, _at: Duration, _front: usize, _left: Duration) {}
}

/// State shared by the threads of a run.
pub(crate) struct State {
    pub world: World,
    /// Receivers of submission results, by front, txn and member, and of probe reports, by front and member.
    pub waits: HashMap<(usize, u32, usize), SyncSender<Ended>>,
    pub probes: HashMap<(usize, usize), VecDeque<SyncSender<Option<Report>>>>,
    pub pending_statements: Vec<VecDeque<ClientStatement>>,
    pub ledger: Option<Box<dyn ClientObserver>>,
    pub over: bool,
}

impl State {
    pub fn new(mut world: World, fronts: usize, ledger: Option<Box<dyn ClientObserver>>) -> State {
        world.remote = true;
        let pending_statements = (0..fronts).map(|_| VecDeque::new()).collect();
        State {
            world,
            waits: HashMap::new(),
            probes: HashMap::new(),
            pending_statements,
            ledger,
            over: false,
        }
    }

    /// Passes an event for members or clients to the thread that waits for it; returns any other event.
    pub fn pass_on(&mut self, out: Out, scenario: &Scenario) -> Option<Out> {
        match out {
            Out::Arrived { front, txn, kind, group, left, retried } => {
                let kind = &scenario.load.kinds[kind];
                let (mark, id) = (self.world.mark(txn), format!("{txn:x}"));
                let write = kind.reads == Reads::Write;
                let text = statement(&kind.name, write, &id, left.as_millis(), mark, group as u64, retried);
                self.pending_statements[front].push_back(ClientStatement { txn, text, left });
                None
            }
            Out::Ended { front, txn, member, ending, role, position, .. } => {
                if let Some(waits) = self.waits.remove(&(front, txn, member)) {
                    let _ = waits.try_send(Ended { ending, role, position });
                }
                None
            }
            Out::Probed { front, member, ending, report } => {
                let waits = self.probes.get_mut(&(front, member)).and_then(VecDeque::pop_front);
                if let Some(waits) = waits {
                    let _ = waits.try_send(Some(report).filter(|_| ending == AttemptOutcome::Committed));
                }
                None
            }
            other => Some(other),
        }
    }
}

/// The members, clients and emulator around the fronts under test.
pub(crate) struct TestCluster {
    pub state: Mutex<State>,
    /// Wakes the clients of each front that wait for a statement.
    statements_arrived: Vec<Condvar>,
    pub begun: Instant,
    /// Wall-clock time of the start, in milliseconds since 1970.
    pub origin: u128,
    /// The machine's monotonic clock at the start; processes use this clock for the timestamps in their logs.
    pub monotonic_origin: Duration,
    /// How long clients wait for an answer beyond the statement's time.
    pub slack: Duration,
    /// Decides which clients disconnect early.
    pub leaving: Mutex<Leaving>,
    /// Requests that no emulated client sent.
    pub foreign: Mutex<ForeignRequests>,
    /// Addresses on which members accept connections.
    listening: Mutex<Vec<SocketAddr>>,
}

/// Makes a share of the clients disconnect shortly after they have sent a statement.
pub(crate) struct Leaving {
    pub share: f64,
    chance: Stream,
}

/// Maximum delay before such a client disconnects.
const MAX_LEAVE_DELAY: Duration = Duration::from_millis(120);

impl Leaving {
    fn draw(&mut self) -> Option<Duration> {
        let leaves = self.share > 0.0 && self.chance.share() < self.share;
        leaves.then(|| MAX_LEAVE_DELAY.mul_f64(self.chance.share()))
    }
}

impl TestCluster {
    pub fn new(state: State, slack: Duration) -> Arc<TestCluster> {
        let statements_arrived = state.pending_statements.iter().map(|_| Condvar::new()).collect();
        let state = Mutex::new(state);
        let leaving = Mutex::new(Leaving { share: 0.0, chance: Stream::of(1, "leaving", 0) });
        let (begun, monotonic_origin, origin) = (Instant::now(), monotonic(), unix_ms());
        let listening = Mutex::default();
        let foreign = Mutex::default();
        Arc::new(TestCluster {
            state,
            statements_arrived,
            begun,
            origin,
            monotonic_origin,
            slack,
            leaving,
            foreign,
            listening,
        })
    }

    /// Ends the run: client and member threads terminate.
    pub fn end(&self) {
        self.lock().over = true;
        self.statements_arrived.iter().for_each(Condvar::notify_all);
        // Each listener wakes up on a connection and then checks whether the run is over.
        let listening = std::mem::take(&mut *self.listening.lock().unwrap_or_else(PoisonError::into_inner));
        listening.iter().for_each(|at| drop(TcpStream::connect(at)));
    }

    /// Wakes one waiting client for each pending statement.
    pub fn wake_clients(&self, state: &State) {
        for (arrived, pending) in self.statements_arrived.iter().zip(&state.pending_statements) {
            pending.iter().for_each(|_| arrived.notify_one());
        }
    }

    /// Starts listeners for `most` members of one front, on one IP address, and returns their addresses.
    pub fn members(self: &Arc<TestCluster>, front: usize, most: usize) -> Result<Vec<SocketAddr>, String> {
        let ip = address().ip();
        let open = |number| {
            let listener = TcpListener::bind(SocketAddr::new(ip, 0))
                .map_err(|e| format!("cannot listen for a member: {e}"))?;
            let at = listener.local_addr().map_err(|e| e.to_string())?;
            self.listening.lock().unwrap_or_else(PoisonError::into_inner).push(at);
            let cluster = self.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    if cluster.lock().over {
                        break;
                    }
                    let cluster = cluster.clone();
                    std::thread::spawn(move || member(&cluster, stream, front, number));
                }
            });
            Ok(at)
        };
        (0..most).map(open).collect()
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Locks the record of requests that no emulated client sent.
    pub fn foreign(&self) -> MutexGuard<'_, ForeignRequests> {
        self.foreign.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A server has received a request of the rig's own.
    fn foreign_request_arrived(&self, front: usize, id: &str) {
        let Some(left) = self.foreign().left_at(id) else { return };
        let mut state = self.lock();
        let now = self.now();
        state.ledger.iter_mut().for_each(|ledger| ledger.sent_after_leaving(now, front, left));
    }

    /// Locks the state and advances the emulator to the current time.
    pub fn present(&self) -> MutexGuard<'_, State> {
        let mut state = self.lock();
        state.world.advance_to(self.now());
        state
    }
}

/// The configuration of a front for this scenario; `known` is the server list that it starts with.
pub(crate) fn settings(scenario: &Scenario, seed: u64, front: usize, known: &str) -> serde_json::Value {
    let (fleet, kinds) = (&scenario.fleet, &scenario.load.kinds);
    let kind = |kind: &OfKind| {
        let effect = match kind.runs {
            Runs::Repeatable => "pure",
            Runs::Referenced => "token",
            Runs::OnceOnly => "side_effect",
        };
        serde_json::json!({ "Name": kind.name, "Effect": effect, "DedupScope": "cell", "Window": fleet.marks_ms,
            "HardLimit": kind.expiry_ms, "Objective": kind.sla_ms, "Value": kind.value, "LateWorth": kind.late_value })
    };
    let levels: Vec<&str> = kinds
        .iter()
        .map(|kind| match kind.reads {
            Reads::Write => "update",
            Reads::Bounded => "recent",
            Reads::Loose => "loose",
        })
        .collect();
    let zones: Vec<String> = (0..fleet.zones).map(|zone| format!("z{zone}")).collect();
    let known: serde_json::Value = serde_json::from_str(known).unwrap_or_default();
    serde_json::json!({
        "seed": format!("{:016x}", seed ^ (front as u64) << 32),
        "limits": { "cores": 1.0, "memory_mb": 192, "sockets": 1024 },
        "known": known,
        "settings": {
            "Balancers": fleet.fronts, "Me": front, "Zone": front % fleet.zones, "Zones": zones,
            "Services": kinds.iter().map(kind).collect::<Vec<_>>(),
            "Bounds": { "Cancel": true, "ConnIdle": 15000.0, "ConnectTimeout": 250.0, "MaxRetryAfter": 500.0,
                "MayProbe": true, "RetryAfter": true, "TryLimit": 10 },
            "Guarantees": { "ColdFrom": fleet.cold_share, "GraceToAnswer": 50.0,
                "OverloadFor": fleet.falls_after_ms, "TipMultiple": fleet.falls_at, "WarmUp": fleet.warm_up_ms },
            "Specifics": { "MaxAge": kinds.iter().map(|kind| kind.bound_ms).collect::<Vec<_>>(),
                "ReadLevel": levels, "ServerChecks": "off", "SessionMarks": "client", "TellsPosition": true },
        },
    })
}

/// A server list in the form of discovery's answers; members' addresses are looked up in `at`.
pub(crate) fn list(
    cluster: &TestCluster,
    version: u64,
    full: bool,
    entries: &[Entry],
    at: &[SocketAddr],
) -> String {
    let entries: Vec<serde_json::Value> = entries
        .iter()
        .map(|e| {
            let state = match e.state {
                ListedState::Up => "up",
                ListedState::Draining => "draining",
                ListedState::Removed => "removed",
            };
            let started = e.started.map_or(0, |started| cluster.origin + started.as_millis());
            let role = if e.primary { "leader" } else { "follower" };
            serde_json::json!({ "id": format!("m-{}", e.member), "addr": at[e.member].to_string(), "zone": format!("z{}", e.zone),
                "kind": "k", "cell": e.group, "state": state, "weight": 1.0, "started_ms": started as u64, "role": role })
        })
        .collect();
    serde_json::json!({ "version": version, "full": full, "servers": entries }).to_string()
}

/// Serves one connection of a front to a member.
fn member(cluster: &TestCluster, mut stream: TcpStream, front: usize, member: usize) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    read_message(&mut stream, false)?;
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat()).ok()?;
    let written = |at: Option<Duration>| at.map(|at| (cluster.origin + at.as_millis()).to_string());
    while let Some((b'Q', body)) = read_message(&mut stream, true) {
        let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
        if text == "SHOW server_load" {
            let (sender, receiver) = sync_channel(1);
            {
                let mut state = cluster.present();
                state.probes.entry((front, member)).or_default().push_back(sender);
                state.world.probe(front, member);
            }
            let report = receiver.recv_timeout(Duration::from_secs(2)).ok()??;
            let position = cluster.origin as f64 / 1000.0 + report.position?.as_secs_f64();
            let primary = u8::from(report.role == Some(Role::Primary));
            let (queue, busy) = (report.queue.unwrap_or_default(), report.busy.unwrap_or_default());
            // Rounded down to whole milliseconds, like all positions.
            let position = (position * 1000.0).floor() / 1000.0;
            let text = format!("x0={position:.3},x1={primary},q={queue},busy={busy:.2}");
            stream.write_all(&[row(text.as_bytes()), ready()].concat()).ok()?;
            continue;
        }
        let id = field(&text, "id").unwrap_or_default().to_owned();
        if id.starts_with(FOREIGN_PREFIX) {
            cluster.foreign_request_arrived(front, &id);
            stream.write_all(&[error("08P01"), ready()].concat()).ok()?;
            continue;
        }
        let txn = u32::from_str_radix(&id, 16).ok()?;
        cluster.foreign().sent_on(front, &text);
        let (sender, receiver) = sync_channel(1);
        let submission = {
            let mut state = cluster.present();
            state.waits.insert((front, txn, member), sender);
            state.world.submit(front, txn, member);
            state.world.submissions(txn) - 1
        };
        let ended = wait(cluster, &stream, &receiver, front, txn, submission)?;
        let body = match ended.ending {
            AttemptOutcome::Committed => row(id.as_bytes()),
            AttemptOutcome::Errored => error("XX000"),
            AttemptOutcome::Full => error("53300"),
            AttemptOutcome::Misplaced => error("25006"),
            _ => return None,
        };
        let role = ended
            .role
            .map(|role| parameter("node_role", if role == Role::Primary { "leader" } else { "follower" }));
        let position = written(ended.position).map(|position| parameter("replay_position", &position));
        let whole = [body, role.unwrap_or_default(), position.unwrap_or_default(), ready()].concat();
        stream.write_all(&whole).ok()?;
    }
    Some(())
}

/// Waits for the result of a submission. A closed connection means that the front has cancelled it.
fn wait(
    cluster: &TestCluster,
    stream: &TcpStream,
    receiver: &Receiver<Ended>,
    front: usize,
    txn: u32,
    submission: u32,
) -> Option<Ended> {
    loop {
        match receiver.recv_timeout(DISCONNECT_POLL) {
            Ok(ended) => return Some(ended),
            Err(RecvTimeoutError::Disconnected) => return None,
            Err(RecvTimeoutError::Timeout) => {}
        }
        let _ = stream.set_nonblocking(true);
        let closed = matches!(stream.peek(&mut [0]), Ok(0))
            || stream.peek(&mut [0]).is_err_and(|e| e.kind() != std::io::ErrorKind::WouldBlock);
        let _ = stream.set_nonblocking(false);
        if closed {
            cluster.present().world.cancel(front, txn, submission);
            return None;
        }
    }
}

/// Runs one client of a front: sends the queued statements, one txn at a time.
pub(crate) fn client(cluster: &TestCluster, at: SocketAddr, front: usize) {
    let mut client: Option<Client> = None;
    while let Some(ask) = cluster.next_statement(front) {
        cluster.send_statement(at, front, &ask, &mut client);
    }
}

impl TestCluster {
    /// Waits for the next statement for a front; `None` once the run is over.
    pub fn next_statement(&self, front: usize) -> Option<ClientStatement> {
        let mut state = self.lock();
        loop {
            if state.over {
                return None;
            }
            if let Some(ask) = state.pending_statements[front].pop_front() {
                return Some(ask);
            }
            state = self.statements_arrived[front].wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Sends a statement on the given connection, or on a new one if there is none, and records the answer. If the
    /// front had closed the connection between txns, the statement is sent once more on a new one.
    pub fn send_statement(
        &self,
        at: SocketAddr,
        front: usize,
        ask: &ClientStatement,
        client: &mut Option<Client>,
    ) {
        let (mut reply, mut reached) = (Reply::default(), false);
        for _ in 0..2 {
            if client.is_none() {
                *client = Client::open(at);
            }
            let Some(open) = client.as_mut() else {
                self.lock().ledger.iter_mut().for_each(|ledger| ledger.refused(front));
                continue;
            };
            let begun = Instant::now();
            let _ = open.stream.set_read_timeout(Some(ask.left + self.slack));
            reply = if open.try_send(&ask.text) {
                reached = true;
                self.foreign().sent(front, &ask.text);
                let mut state = self.lock();
                let now = self.now();
                state.ledger.iter_mut().for_each(|ledger| ledger.asked(now, front, ask));
                drop(state);
                let leaves = self.leaving.lock().unwrap_or_else(PoisonError::into_inner).draw();
                if let Some(after) = leaves {
                    std::thread::sleep(after);
                    *client = None;
                    let mut state = self.lock();
                    let now = self.now();
                    state.ledger.iter_mut().for_each(|ledger| ledger.left(now, front, ask.txn));
                    return;
                }
                open.reply()
            } else {
                Reply::default()
            };
            let closed = reply.last == 0 && reply.code.is_none() && reply.value.is_none();
            if !closed || begun.elapsed() >= ask.left {
                break;
            }
            {
                let mut state = self.lock();
                let now = self.now();
                state.ledger.iter_mut().for_each(|ledger| ledger.cut_off(now, front, ask.txn));
            }
            *client = None;
        }
        let code = reply.code.as_deref();
        let outcome = match code {
            _ if reply.value.is_some() => FinalAnswer::Committed,
            Some("53300" | "57P03") => FinalAnswer::Declined,
            Some(_) => FinalAnswer::Unknown,
            None => FinalAnswer::Nothing,
        };
        if reply.last != b'Z' {
            *client = None;
        }
        {
            let mut state = self.lock();
            let (now, ended) = (self.now(), reply.last == 0);
            state
                .ledger
                .iter_mut()
                .for_each(|ledger| ledger.answered(now, front, ask.txn, outcome, code, ended));
        }
        let come_back = reply.detail.and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        // A statement that did not reach any front leaves nothing open: the client retries elsewhere.
        if outcome != FinalAnswer::Nothing || !reached {
            self.present().world.answer(front, ask.txn, outcome, come_back);
        }
    }
}

/// Runs a scenario against the program. `keep` is called with the fronts' addresses after the run, while everything
/// is still up; the processes end when it returns.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    program: &str,
    charter: Option<&str>,
    keep: Option<Keep>,
) -> Result<Outcome, String> {
    std::fs::metadata(program).map_err(|e| format!("{program}: {e}"))?;
    let mut shape = scenario.shape(seed);
    shape.answer_grace += GRACE_SLACK;
    let (lasts, fronts, members) = (shape.lasts, shape.fronts.len(), shape.members.len());
    let extra = shape.troubles.len() * shape.members.len();
    if shape.troubles.iter().any(|t| {
        matches!(
            t.what,
            juniperdock_emulator::What::FrontKilled(_) | juniperdock_emulator::What::FrontStands(_)
        )
    }) {
        return Err("scenarios in which fronts stall or are killed run in simulated time only".to_owned());
    }
    let kinds = shape.kinds.clone();
    let cluster = TestCluster::new(State::new(World::new(shape), fronts, None), GRACE_SLACK);
    // Every front has its own address for each member; addresses for replacement members are reserved in advance.
    let most = members + extra.min(256);
    let at = (0..fronts).map(|front| cluster.members(front, most)).collect::<Result<Vec<_>, _>>()?;
    let mut running = Vec::new();
    let initial_lists: Vec<Vec<Entry>> = {
        let mut state = cluster.lock();
        std::iter::from_fn(|| match state.world.next(Duration::ZERO) {
            Some(Out::Born { known, .. }) => Some(known),
            _ => None,
        })
        .take(fronts)
        .collect()
    };
    for (front, known) in initial_lists.iter().enumerate() {
        let agent = Agent::start(WATCH);
        let known = list(&cluster, 1, true, known, &at[front]);
        let config = settings(scenario, seed, front, &known).to_string();
        let program = Front::start_with_config(program, address(), agent.at, &config, charter);
        drop(program.client());
        running.push((program, agent));
    }
    let addresses: Vec<SocketAddr> = running.iter().map(|(front, _)| front.at).collect();
    let per_front = (scenario.load.per_second * 2.0 / fronts as f64).clamp(16.0, 400.0) as usize;
    for (front, &at) in addresses.iter().enumerate() {
        for _ in 0..per_front.min(MOST_CLIENTS) {
            let cluster = cluster.clone();
            std::thread::spawn(move || client(&cluster, at, front));
        }
    }
    let mut measure = Measure::new(kinds.clone(), lasts);
    let mut next = FIRST_SAMPLE_AT;
    let mut version = 1;
    loop {
        let mut state = cluster.lock();
        let now = cluster.now();
        while let Some(out) = state.world.next(now) {
            match out {
                Out::Done { .. } | Out::Answered { .. } => measure.record(state.world.now(), &out),
                Out::Listed { front, entry } => {
                    version += 1;
                    if entry.member < most {
                        running[front].1.publish(list(&cluster, version, false, &[entry], &at[front]));
                    }
                }
                out => drop(state.pass_on(out, scenario)),
            }
        }
        cluster.wake_clients(&state);
        if now >= next && now < lasts {
            next += SAMPLE_INTERVAL;
            let held = (0..state.world.members())
                .map(|m| state.world.held(m).min(usize::from(u16::MAX)) as u16)
                .collect();
            let primaries =
                (0..state.world.groups()).map(|g| u8::from(state.world.primary(g).is_none())).collect();
            let open = (0..fronts).map(|front| state.world.open(front)).sum();
            measure.moments.push(StateSample { at_s: now.as_secs_f64(), held, primaries, open });
        }
        let waiting = (0..fronts).any(|front| state.world.open(front) > 0);
        if now > lasts && !waiting || now > lasts + Duration::from_secs(10) {
            break;
        }
        drop(state);
        std::thread::sleep(STEP);
    }
    if let Some(keep) = keep {
        keep(&addresses);
    }
    cluster.end();
    let state = cluster.lock();
    let audit = &state.world.audit;
    let mut outcome = measure.outcome(scenario, seed, "the program", false, audit.counts, &audit.broken);
    (outcome.events, outcome.wall_s) = (state.world.events, cluster.now().as_secs_f64());
    drop(state);
    Ok(outcome)
}
