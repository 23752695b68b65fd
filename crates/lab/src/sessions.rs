//! Sessions across upgrades: one front before a replicated group is upgraded again and again, while processes on either
//! side are stopped and killed at times drawn from a seed. Sessions write and read on several connections. Audited by
//! what clients saw alone: a read must see each write of its session that was answered before the read was sent.

use juniperdock_test_support::{
    Agent, Client, Front, ReplicatedGroup, WATCH, address, list, session_read, session_write,
};
use oorandom::Rand32;
use std::fmt;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Sessions that write and read, and those that only read.
const SESSIONS: u64 = 12;
const READING_SESSIONS: u64 = 3;
const REPLICAS: usize = 3;
/// Connections of a session that only read, beside the one that writes and reads in turns.
const READERS: u64 = 2;
/// Every so many sessions, one has slow writes, which the old process of an upgrade still has in hand.
const SLOW_EVERY: u64 = 4;
const SLOW_WORK_MS: u32 = 400;
/// Pause of a session before each write, for each number of it: sessions differ in how far they are ahead of replicas.
const PAUSE_PER_NUMBER: Duration = Duration::from_millis(20);
/// Longest lag of replicas, and how often it is drawn anew.
const MAX_LAG_MS: u32 = 120;
/// Expiry of writes and of reads.
const WRITE_MS: u32 = 3000;
const READ_MS: u32 = 1500;
/// How long a client waits to connect, and for each answer: longer than any expiry.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a process is stopped.
const STOP: Duration = Duration::from_millis(150);
/// The most findings that are kept in full.
const MAX_NOTES: usize = 60;

/// What happens to one upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    None,
    /// The new process can't be started.
    StartFails,
    OldStopped,
    NewStopped,
    OldKilled,
    /// The new process is killed while the old one still has clients, and so takes the upgrade back.
    NewKilled,
}

const DISTURBANCES: [Disturbance; 6] = [
    Disturbance::None,
    Disturbance::StartFails,
    Disturbance::OldStopped,
    Disturbance::NewStopped,
    Disturbance::OldKilled,
    Disturbance::NewKilled,
];

/// Results of a run.
#[derive(Debug, Default)]
pub struct Figures {
    pub upgrades: u64,
    /// Upgrades after which the old process served again.
    pub undone: u64,
    pub old_killed: u64,
    pub restarts: u64,
    pub reads: u64,
    pub writes: u64,
    /// Answers other than a value, and connections that ended.
    pub failed: u64,
    /// Reads that did not see a write of their session that was answered before.
    pub stale: u64,
    pub reads_at_replicas: u64,
    pub reads_at_primary: u64,
    /// How long each upgrade took, as its operator saw it.
    pub upgrades_took: Vec<Duration>,
    pub notes: Vec<String>,
}

impl Figures {
    /// Whether each read saw its session's writes, and the run shows it: there were upgrades, and replicas served reads.
    pub fn holds(&self) -> bool {
        self.stale == 0 && self.upgrades > 2 && self.reads > 100 && self.reads_at_replicas > 0
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.notes.iter().try_for_each(|note| writeln!(f, "{note}"))?;
        let mut took = self.upgrades_took.clone();
        took.sort_unstable();
        let median = took.get(took.len() / 2).copied().unwrap_or_default();
        write!(
            f,
            "sessions: upgrades={} undone={} old_killed={} restarts={} writes={} reads={} reads_at_replicas={} reads_at_primary={} failed={} stale={} upgrade_p50_ms={:.1}",
            self.upgrades,
            self.undone,
            self.old_killed,
            self.restarts,
            self.writes,
            self.reads,
            self.reads_at_replicas,
            self.reads_at_primary,
            self.failed,
            self.stale,
            median.as_secs_f64() * 1000.0
        )
    }
}

/// One session: the newest value whose write was answered, and counts of what its clients saw.
#[derive(Default)]
struct Session {
    committed: AtomicU64,
}

/// What all clients share.
struct Play {
    at: std::net::SocketAddr,
    sessions: Vec<Session>,
    over: AtomicBool,
    /// Counts front instances: a front that was started anew knows nothing of what its predecessor answered.
    instance: AtomicU64,
    figures: Mutex<Figures>,
    started_at: Instant,
}

impl Play {
    fn update(&self, change: impl FnOnce(&mut Figures)) {
        change(&mut self.figures.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn note(&self, text: &str) {
        let at = self.started_at.elapsed().as_millis();
        self.update(|figures| {
            if figures.notes.len() < MAX_NOTES {
                figures.notes.push(format!("{at} ms: {text}"));
            }
        });
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Connects until a front answers; `None` once the run is over.
    fn connect(&self) -> Option<Client> {
        while !self.is_over() {
            if let Some(client) = Client::open_within(self.at, CLIENT_TIMEOUT) {
                return Some(client);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Sends a statement; returns the value of its answer. The client is replaced if its connection has ended.
    fn ask(&self, client: &mut Client, statement: &str) -> Option<u64> {
        let reply = if client.try_send(statement) { client.reply() } else { Default::default() };
        let value = reply.value.as_ref().and_then(|value| String::from_utf8_lossy(value).parse().ok());
        if value.is_none() {
            self.update(|figures| figures.failed += 1);
            let (code, last) = (reply.code.as_deref().unwrap_or("-"), char::from(reply.last));
            self.note(&format!("{statement} failed: {code}, {last}"));
        }
        if reply.last == 0
            && let Some(new) = self.connect()
        {
            *client = new;
        }
        value
    }

    /// Reads once and checks what is seen.
    fn read(&self, client: &mut Client, number: u64) {
        let session = &self.sessions[number as usize];
        let instance = self.instance.load(Ordering::SeqCst);
        let committed = session.committed.load(Ordering::SeqCst);
        let Some(seen) = self.ask(client, &session_read(&format!("session-{number}"), READ_MS)) else {
            return;
        };
        self.update(|figures| figures.reads += 1);
        if seen < committed && self.instance.load(Ordering::SeqCst) == instance {
            self.update(|figures| figures.stale += 1);
            self.note(&format!("session {number} was told that {committed} is committed, and sees {seen}"));
        }
    }

    fn write(&self, client: &mut Client, number: u64, value: u64) {
        let work = if number.is_multiple_of(SLOW_EVERY) { SLOW_WORK_MS } else { 2 };
        let statement = session_write(&format!("session-{number}"), value, WRITE_MS, u64::from(work));
        let instance = self.instance.load(Ordering::SeqCst);
        if self.ask(client, &statement).is_some() && self.instance.load(Ordering::SeqCst) == instance {
            self.sessions[number as usize].committed.fetch_max(value, Ordering::SeqCst);
            self.update(|figures| figures.writes += 1);
        }
    }

    fn writer(&self, number: u64) {
        let Some(mut client) = self.connect() else { return };
        for value in 1.. {
            if self.is_over() {
                return;
            }
            std::thread::sleep(PAUSE_PER_NUMBER * number as u32);
            self.write(&mut client, number, value);
            self.read(&mut client, number);
        }
    }

    fn reader(&self, number: u64, pause: Duration) {
        let Some(mut client) = self.connect() else { return };
        while !self.is_over() {
            self.read(&mut client, number);
            std::thread::sleep(pause);
        }
    }
}

fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").args([name, &pid.to_string()]).stderr(Stdio::null()).status();
}

/// Whether a process is there and has not ended.
fn is_alive(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(')').next().is_some_and(|rest| !rest.is_empty() && !rest.trim_start().starts_with('Z'))
}

/// The front of a run, with the processes that it consists of over time.
struct PlayedFront<'a> {
    program: &'a str,
    at: std::net::SocketAddr,
    agent: &'a Agent,
    config: &'a str,
    first: Option<Front>,
    /// The process that serves, as far as is known.
    serving: u32,
    /// All processes since its start.
    processes: Vec<u32>,
}

impl PlayedFront<'_> {
    fn start(&mut self) {
        self.first = None;
        let control = Front::folder(self.at).join("control").display().to_string();
        let charter = format!("{{ control: {{ path: {control:?} }} }}");
        let front =
            Front::start_with_config(self.program, self.at, self.agent.at, self.config, Some(&charter));
        drop(front.client());
        self.serving = front.id();
        self.processes = vec![front.id()];
        self.first = Some(front);
    }

    /// Upgrades to this program; returns the id of the new process if it serves.
    fn upgrade(&self, program: &str) -> Option<u32> {
        let charter = Front::folder(self.at).join("charter.json5");
        let mut command = Command::new(self.program);
        command.arg("--charter").arg(charter).args(["--json", "upgrade", "--program", program]);
        let out = command.output().ok()?;
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        let digits = text.split(|c: char| !c.is_ascii_digit()).find_map(|word| word.parse().ok());
        digits.filter(|_| out.status.success())
    }

    /// Kills all processes that are left.
    fn end(&mut self) {
        for pid in std::mem::take(&mut self.processes) {
            if is_alive(pid) {
                signal(pid, "-KILL");
            }
        }
        self.first = None;
    }
}

/// One upgrade with a disturbance some time after it was committed.
fn disturb(play: &Play, front: &mut PlayedFront, what: Disturbance, wait: Duration) {
    let old = front.serving;
    let program = if what == Disturbance::StartFails { "/bin/false" } else { front.program };
    let started_at = Instant::now();
    let Some(new) = front.upgrade(program) else {
        if what != Disturbance::StartFails {
            play.note("an upgrade failed");
        }
        return;
    };
    front.serving = new;
    front.processes.push(new);
    play.update(|figures| {
        figures.upgrades += 1;
        figures.upgrades_took.push(started_at.elapsed());
    });
    std::thread::sleep(wait);
    match what {
        Disturbance::None | Disturbance::StartFails => {}
        Disturbance::OldStopped | Disturbance::NewStopped => {
            let pid = if what == Disturbance::OldStopped { old } else { new };
            signal(pid, "-STOP");
            std::thread::sleep(STOP);
            signal(pid, "-CONT");
        }
        Disturbance::OldKilled => {
            play.update(|figures| figures.old_killed += u64::from(is_alive(old)));
            signal(old, "-KILL");
        }
        Disturbance::NewKilled if is_alive(old) => {
            signal(new, "-KILL");
            front.serving = old;
            std::thread::sleep(STOP);
            play.update(|figures| figures.undone += u64::from(is_alive(old)));
        }
        Disturbance::NewKilled => {}
    }
}

/// Plays for that long. `calm`: upgrades are not disturbed.
///
/// # Errors
/// If the program is not there.
pub fn play(program: &str, seed: u64, lasts: Duration, calm: bool) -> Result<Figures, String> {
    std::fs::metadata(program).map_err(|e| format!("{program}: {e}"))?;
    let mut random = Rand32::new(seed);
    let group = ReplicatedGroup::start(REPLICAS, Duration::from_millis(20));
    let names: Vec<String> = (0..=REPLICAS).map(|i| format!("m-{i}")).collect();
    let entries: Vec<_> =
        group.members.iter().zip(&names).map(|(member, name)| (name.as_str(), member.at, "up")).collect();
    let server_list = list(1, true, &entries);
    let (agent, at) = (Agent::start(WATCH), address());
    let config = Front::config(&server_list, 1024).replace("\"recent\"", "\"own_writes\"");
    let config = config.replace(r#""SessionMarks":"client""#, r#""SessionMarks":"router""#);
    let play = Play {
        at,
        sessions: (0..SESSIONS + READING_SESSIONS).map(|_| Session::default()).collect(),
        over: AtomicBool::new(false),
        instance: AtomicU64::new(0),
        figures: Mutex::default(),
        started_at: Instant::now(),
    };
    let mut front = PlayedFront {
        program,
        at,
        agent: &agent,
        config: &config,
        first: None,
        serving: 0,
        processes: Vec::new(),
    };
    front.start();
    std::thread::scope(|scope| {
        for number in 0..SESSIONS + READING_SESSIONS {
            let play = &play;
            if number < SESSIONS {
                scope.spawn(move || play.writer(number));
            }
            for reader in 0..READERS {
                scope.spawn(move || play.reader(number, Duration::from_millis(3 + 8 * reader)));
            }
        }
        let mut left = Vec::new();
        while play.started_at.elapsed() < lasts {
            std::thread::sleep(Duration::from_millis(u64::from(random.rand_range(50..500))));
            group.set_lag(Duration::from_millis(u64::from(random.rand_range(0..MAX_LAG_MS))));
            if left.is_empty() {
                left = if calm { vec![Disturbance::None] } else { DISTURBANCES.to_vec() };
            }
            let what = left.swap_remove(random.rand_range(0..left.len() as u32) as usize);
            let wait = Duration::from_millis(u64::from(random.rand_range(0..250)));
            play.note(&format!("upgrade, {what:?} after {} ms", wait.as_millis()));
            disturb(&play, &mut front, what, wait);
            if !is_alive(front.serving) || what == Disturbance::NewKilled {
                // The control socket of a front ends with the process that opened it last.
                play.instance.fetch_add(1, Ordering::SeqCst);
                front.end();
                play.sessions.iter().for_each(|session| session.committed.store(0, Ordering::SeqCst));
                play.update(|figures| figures.restarts += 1);
                front.start();
                play.instance.fetch_add(1, Ordering::SeqCst);
            }
        }
        play.over.store(true, Ordering::SeqCst);
    });
    front.end();
    let mut figures = play.figures.into_inner().unwrap_or_else(PoisonError::into_inner);
    figures.reads_at_replicas = group.reads_at_replicas();
    figures.reads_at_primary = group.reads_at_primary();
    Ok(figures)
}
