//! The environment of a front under test: a discovery agent, and servers that share a few listeners. They use the
//! real wire formats and store no data.

use juniperdock_test_support::wire::{StatementHandler, StatementReply, parameter, ready, row, serve};
use juniperdock_test_support::{address, unix_ms};
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Servers in one group: a primary and two replicas.
pub const GROUP: usize = 3;
/// The interval of the agent's heartbeats.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// The interval at which the agent checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How all servers treat a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Behaviour {
    /// They accept, report and serve.
    Answer,
    /// They refuse connections.
    Refuse,
    /// They accept connections and send nothing.
    Silent,
}

struct AnsweringServer {
    primary: bool,
}

impl StatementHandler for AnsweringServer {
    fn welcome(&self, _: &TcpStream) -> bool {
        true
    }

    fn statement(&self, text: &str) -> StatementReply {
        let (position, role) = (unix_ms() as f64 / 1000.0, u8::from(self.primary));
        if text == "SHOW server_load" {
            let report = format!("x0={position:.3},x1={role},q=0,busy=0.1");
            return StatementReply::Answer([row(report.as_bytes()), ready()].concat());
        }
        let role = parameter("node_role", if self.primary { "leader" } else { "follower" });
        StatementReply::Answer([row(b"hollow"), role, ready()].concat())
    }
}

/// The addresses of the servers; all primaries share one, and all replicas another.
pub struct Servers {
    primary: SocketAddr,
    replica: SocketAddr,
}

impl Servers {
    pub fn start(behaviour: Behaviour) -> std::io::Result<Servers> {
        Ok(Servers { primary: listen(behaviour, true)?, replica: listen(behaviour, false)? })
    }

    /// The address of the server with this number.
    pub fn at(&self, number: usize) -> SocketAddr {
        if number.is_multiple_of(GROUP) { self.primary } else { self.replica }
    }
}

fn listen(behaviour: Behaviour, primary: bool) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address())?;
    let at = listener.local_addr()?;
    if behaviour == Behaviour::Refuse {
        return Ok(at);
    }
    std::thread::spawn(move || {
        let mut silent = Vec::new();
        for stream in listener.incoming().flatten() {
            if behaviour == Behaviour::Silent {
                silent.push(stream);
                // The front has given up the oldest connections by now.
                silent.drain(..silent.len().saturating_sub(4096));
            } else {
                std::thread::spawn(move || serve(stream, &AnsweringServer { primary }));
            }
        }
    });
    Ok(at)
}

/// One entry of the server list in the agent's format.
pub fn entry(number: usize, at: SocketAddr, state: &str) -> String {
    let group = number / GROUP;
    format!(
        r#"{{"id":"s-{number:08x}","addr":"{at}","zone":"a","kind":"m2","cell":{group},"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

/// A server list, either full or only the changes.
pub fn list(version: u64, full: bool, entries: impl Iterator<Item = String>) -> String {
    let mut text = format!(r#"{{"version":{version},"full":{full},"servers":["#);
    for (i, entry) in entries.enumerate() {
        let comma = if i > 0 { "," } else { "" };
        let _ = write!(text, "{comma}{entry}");
    }
    text + "]}"
}

/// A discovery agent that sends each watch the changes since the version that it names.
pub struct Agent {
    pub at: SocketAddr,
    changes: Arc<Mutex<Vec<(u64, String)>>>,
    /// Bytes sent to all watches.
    pub bytes: Arc<AtomicU64>,
}

impl Agent {
    pub fn start() -> std::io::Result<Agent> {
        let listener = TcpListener::bind(address())?;
        let agent = Agent { at: listener.local_addr()?, changes: Arc::default(), bytes: Arc::default() };
        let (changes, bytes) = (agent.changes.clone(), agent.bytes.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (changes, bytes) = (changes.clone(), bytes.clone());
                std::thread::spawn(move || serve_watch(stream, &changes, &bytes));
            }
        });
        Ok(agent)
    }

    pub fn change(&self, version: u64, list: String) {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner).push((version, list));
    }
}

/// Serves one watch until its connection ends.
fn serve_watch(mut stream: TcpStream, changes: &Mutex<Vec<(u64, String)>>, bytes: &AtomicU64) -> Option<()> {
    let mut request = String::new();
    BufReader::new(&stream).read_line(&mut request).ok()?;
    let after = request.split_once("after=")?.1.split([' ', '&']).next()?;
    let mut after: u64 = after.parse().ok()?;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    let mut last_write = Instant::now();
    loop {
        let updates: Vec<(u64, String)> = {
            let changes = changes.lock().unwrap_or_else(PoisonError::into_inner);
            let from = changes.partition_point(|(version, _)| *version <= after);
            changes[from..].to_vec()
        };
        let lines = updates.iter().map(|(_, list)| list.as_str());
        let heartbeat = last_write.elapsed() >= HEARTBEAT;
        for line in lines.chain(heartbeat.then_some("")) {
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            stream.write_all(chunk.as_bytes()).ok()?;
            bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
            last_write = Instant::now();
        }
        after = updates.last().map_or(after, |(version, _)| *version);
        std::thread::sleep(POLL_INTERVAL);
    }
}
