//! A replicated group with real data: a primary that commits to a log, and replicas that have the log up to some lag.
//! Statements write and read the value of a handle, which is also the key of their session.

use crate::address;
use crate::wire::{StatementHandler, StatementReply, error, field, parameter, ready, row, serve};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

/// A replica whose lag is set to this has nothing that was committed since its start.
pub const FROZEN: Duration = Duration::from_secs(3600);

/// The log of a group: positions in microseconds since 1970, each with a handle and its new value.
type Log = Mutex<Vec<(u64, String, u64)>>;

/// One member of a [`ReplicatedGroup`].
pub struct LogMember {
    pub at: SocketAddr,
    primary: bool,
    lag_us: AtomicU64,
    /// The furthest that it has had the log. What it has, it keeps, also when its lag grows.
    applied_us: AtomicU64,
    /// Whether writes wait between their commit and their answer.
    holds_answers: AtomicBool,
    held: AtomicU64,
    reads: AtomicU64,
    log: Arc<Log>,
}

/// A primary, which is the first member, and its replicas.
pub struct ReplicatedGroup {
    pub members: Vec<Arc<LogMember>>,
}

/// A write of a session. Its field `work` says for how many milliseconds the primary works on it.
pub fn session_write(session: &str, value: u64, ms: u32, work_ms: u64) -> String {
    statement(
        "order",
        ms,
        work_ms,
        &format!("INSERT INTO rows (handle, blob) VALUES ('{session}', '{value}') RETURNING blob"),
    )
}

/// A read that must see the writes of its session.
pub fn session_read(session: &str, ms: u32) -> String {
    statement("lookup", ms, 0, &format!("SELECT blob FROM rows WHERE handle = '{session}'"))
}

fn statement(kind: &str, ms: u32, work_ms: u64, query: &str) -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("/* id={id:016x},c={kind},d={ms},cluster=2,work={work_ms} */ {query}")
}

fn now_us() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("after 1970").as_micros() as u64
}

impl ReplicatedGroup {
    /// Starts a primary and that many replicas, each behind by this lag.
    pub fn start(replicas: usize, lag: Duration) -> ReplicatedGroup {
        let log = Arc::new(Log::default());
        let member = |i| LogMember::start(i == 0, lag, log.clone());
        ReplicatedGroup { members: (0..=replicas).map(member).collect() }
    }

    /// The reads that replicas have served.
    pub fn reads_at_replicas(&self) -> u64 {
        self.members[1..].iter().map(|member| member.reads.load(Ordering::SeqCst)).sum()
    }

    /// The reads that the primary has served.
    pub fn reads_at_primary(&self) -> u64 {
        self.members[0].reads.load(Ordering::SeqCst)
    }

    /// Sets how far the replicas are behind.
    pub fn set_lag(&self, lag: Duration) {
        self.members[1..].iter().for_each(|member| member.set_lag(lag));
    }
}

impl LogMember {
    fn start(primary: bool, lag: Duration, log: Arc<Log>) -> Arc<LogMember> {
        let listener = TcpListener::bind(address()).expect("a free address");
        let member = Arc::new(LogMember {
            at: listener.local_addr().expect("an address"),
            primary,
            lag_us: AtomicU64::new(lag.as_micros() as u64),
            applied_us: AtomicU64::new(0),
            holds_answers: AtomicBool::new(false),
            held: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            log,
        });
        let its = member.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let its = its.clone();
                std::thread::spawn(move || serve(stream, its.as_ref()));
            }
        });
        member
    }

    fn set_lag(&self, lag: Duration) {
        self.lag_us.store(lag.as_micros() as u64, Ordering::SeqCst);
    }

    /// Sets whether writes wait between their commit and their answer.
    pub fn hold_answers(&self, hold: bool) {
        self.holds_answers.store(hold, Ordering::SeqCst);
    }

    /// The number of writes that are committed and whose answer is held back.
    pub fn held_answers(&self) -> u64 {
        self.held.load(Ordering::SeqCst)
    }

    /// The position up to which this member has the log.
    fn position(&self) -> u64 {
        let lag = if self.primary { 0 } else { self.lag_us.load(Ordering::SeqCst) };
        let position = now_us() - lag;
        self.applied_us.fetch_max(position, Ordering::SeqCst).max(position)
    }

    fn write(&self, text: &str) -> Vec<u8> {
        let work = field(text, "work").and_then(|work| work.parse().ok()).unwrap_or(0);
        std::thread::sleep(Duration::from_millis(work));
        let value = quoted(text, 1);
        let entry =
            |log: &mut Vec<_>| log.push((now_us(), quoted(text, 0).to_owned(), value.parse().unwrap_or(0)));
        entry(&mut self.log.lock().unwrap_or_else(PoisonError::into_inner));
        self.held.fetch_add(1, Ordering::SeqCst);
        while self.holds_answers.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.held.fetch_sub(1, Ordering::SeqCst);
        row(value.as_bytes())
    }

    fn read(&self, text: &str) -> Vec<u8> {
        let (position, handle) = (self.position(), quoted(text, 0));
        self.reads.fetch_add(1, Ordering::SeqCst);
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = log.iter().rev().find(|(at, of, _)| *at <= position && of == handle);
        row(newest.map_or(0, |(_, _, value)| *value).to_string().as_bytes())
    }
}

/// The text between the quotes of that number.
fn quoted(text: &str, number: usize) -> &str {
    text.split('\'').nth(2 * number + 1).unwrap_or("")
}

impl StatementHandler for LogMember {
    fn welcome(&self, _stream: &TcpStream) -> bool {
        true
    }

    fn statement(&self, text: &str) -> StatementReply {
        if text == "SHOW server_load" {
            let (position, primary) = (self.position() as f64 / 1e6, u8::from(self.primary));
            // Rounded down to milliseconds: no commit may be claimed that is not there.
            let report = format!("x0={:.3},x1={primary},q=0,busy=0.1", (position * 1000.0).floor() / 1000.0);
            return StatementReply::Answer([row(report.as_bytes()), ready()].concat());
        }
        let role = parameter("node_role", if self.primary { "leader" } else { "follower" });
        let answer = match text.contains("INSERT") {
            true if self.primary => self.write(text),
            true => error("25006"),
            false => self.read(text),
        };
        StatementReply::Answer([answer, role, ready()].concat())
    }
}
