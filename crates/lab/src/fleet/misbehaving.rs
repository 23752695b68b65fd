//! Clients that send too much, too little or too fast, or what another client has sent.

use crate::sockets::TestCluster;
use juniperdock_test_support::{Client, message};
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::history::History;

/// How a group of clients misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Misbehaviour {
    /// Each stops half way through a large request.
    HalfRequests,
    /// Each sends large statements that are no requests, and reads nothing.
    LargeStatements,
    /// Each sends a request and thousands of small commands behind it, and reads nothing.
    SmallCommands,
    /// Each sends comments of very many fields.
    ManyFields,
    /// A few send unsound requests at full speed, and read what they are sent.
    Flood,
    /// A few send what another client has just sent, with its id.
    CopiedIds,
    /// A few send requests with much behind them and end their sending at once.
    LeaveMuchUnread,
}

const KINDS: [Misbehaviour; 7] = [
    Misbehaviour::HalfRequests,
    Misbehaviour::LargeStatements,
    Misbehaviour::SmallCommands,
    Misbehaviour::ManyFields,
    Misbehaviour::Flood,
    Misbehaviour::CopiedIds,
    Misbehaviour::LeaveMuchUnread,
];

/// The number of kinds.
pub(super) const MISBEHAVIOURS: usize = KINDS.len();

const STARTUP_PACKET: [u8; 9] = [0, 0, 0, 9, 0, 3, 0, 0, 0];
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Clients of a kind that works by its number, and of one that works alone.
const MANY: usize = 250;
const FEW: usize = 3;
/// How long a client that has left is remembered by the connection that its process still has.
const LEFT_OPEN: Duration = Duration::from_millis(600);

/// A running group; it stops when dropped.
pub(super) struct MisbehavingClients(Arc<AtomicBool>);

impl MisbehavingClients {
    /// Starts the group with this number at a front.
    pub(super) fn start(
        cluster: Arc<TestCluster>,
        history: History,
        address: SocketAddr,
        front: usize,
        kind: usize,
    ) -> MisbehavingClients {
        let stopped = Arc::new(AtomicBool::new(false));
        let kind = KINDS[kind % KINDS.len()];
        let group = Group { cluster, history, address, front, stopped: stopped.clone() };
        let threads = if matches!(kind, Misbehaviour::Flood) { FEW } else { 1 };
        for _ in 0..threads {
            let group = group.clone();
            std::thread::spawn(move || group.run(kind));
        }
        MisbehavingClients(stopped)
    }
}

impl Drop for MisbehavingClients {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

#[derive(Clone)]
struct Group {
    cluster: Arc<TestCluster>,
    history: History,
    address: SocketAddr,
    front: usize,
    stopped: Arc<AtomicBool>,
}

impl Group {
    fn run(&self, kind: Misbehaviour) {
        match kind {
            Misbehaviour::HalfRequests => {
                let mut bytes = query(&"x".repeat(120_000));
                bytes.truncate(100_000);
                self.send_from_many(&|| bytes.clone());
            }
            Misbehaviour::LargeStatements => {
                let bytes = query(&"x".repeat(120_000)).repeat(3);
                self.send_from_many(&|| bytes.clone());
            }
            Misbehaviour::SmallCommands => {
                let commands = [query(""), query("SET a = 1"), message(b'S', b"")].concat().repeat(3000);
                self.send_from_many(&|| {
                    [self.request().map_or_else(Vec::new, |(_, text)| query(&text)), commands.clone()]
                        .concat()
                });
            }
            Misbehaviour::ManyFields => {
                let bytes = query(&format!("/* {} */ SELECT 1", "a=,".repeat(40_000))).repeat(3);
                self.send_from_many(&|| bytes.clone());
            }
            Misbehaviour::Flood => self.flood(),
            Misbehaviour::CopiedIds => self.copy_ids(),
            Misbehaviour::LeaveMuchUnread => self.leave_much_unread(),
        }
    }

    fn goes_on(&self) -> bool {
        !self.stopped.load(Ordering::Relaxed)
    }

    /// A sound request that no emulated client sent: the members refuse it.
    fn request(&self) -> Option<(String, String)> {
        let sample = self.cluster.foreign().last_sent(self.front)?;
        let (_, rest) = sample.split_once(',')?;
        let id = self.cluster.foreign().new_id();
        Some((id.clone(), format!("/* id={id},{rest}")))
    }

    fn connect(&self) -> Option<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT).ok()?;
        stream.write_all(&STARTUP_PACKET).ok()?;
        Some(stream)
    }

    /// Keeps many clients connected that each send these bytes as the front takes them, and read nothing.
    fn send_from_many(&self, bytes: &dyn Fn() -> Vec<u8>) {
        let mut clients: Vec<(TcpStream, Vec<u8>, usize)> = Vec::new();
        while self.goes_on() {
            while clients.len() < MANY
                && let Some(stream) = self.connect()
                && stream.set_nonblocking(true).is_ok()
            {
                clients.push((stream, bytes(), 0));
            }
            clients.retain_mut(|(stream, bytes, sent)| push(stream, bytes, sent));
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends unsound requests without a pause, and reads all answers.
    fn flood(&self) {
        let bytes =
            [query("SELECT 1"), query("/* id=f,c=none,d=1,cluster=0 */ SELECT 1")].concat().repeat(2000);
        while self.goes_on() {
            let Some(mut stream) = self.connect() else { continue };
            let Ok(mut reader) = stream.try_clone() else { continue };
            let _ = stream.set_write_timeout(Some(Duration::from_millis(100)));
            let read = std::thread::spawn(move || {
                let mut piece = vec![0; 1 << 16];
                while reader.read(&mut piece).is_ok_and(|n| n > 0) {}
            });
            while self.goes_on() {
                match stream.write_all(&bytes) {
                    Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break,
                    _ => {}
                }
            }
            let _ = stream.shutdown(Shutdown::Both);
            let _ = read.join();
        }
    }

    /// Sends copies of what other clients have just sent. A copy that gets a row was taken for a request of its own.
    fn copy_ids(&self) {
        let mut client: Option<Client> = None;
        while self.goes_on() {
            std::thread::sleep(Duration::from_millis(3));
            let copied = self.cluster.foreign().to_copy(self.cluster.now(), self.front);
            let Some(text) = copied else { continue };
            if client.is_none() {
                client = Client::open_within(self.address, CONNECT_TIMEOUT);
            }
            let Some(open) = client.as_mut() else { continue };
            let reply = if open.try_send(&text) { open.reply() } else { Default::default() };
            if reply.value.is_some() {
                let more = json!({ "front": self.front, "text": text });
                self.history.note(self.cluster.now(), "copy served", more);
            }
            if reply.last != b'Z' {
                client = None;
            }
        }
    }

    /// Sends requests, many commands and more requests, and ends its sending at once.
    fn leave_much_unread(&self) {
        while self.goes_on() {
            let Some(mut stream) = self.connect() else { continue };
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            let (mut ids, mut bytes) = (Vec::new(), Vec::new());
            for batch in 0..2 {
                for (id, text) in (0..40).filter_map(|_| self.request()) {
                    ids.push(id);
                    bytes.extend(query(&text));
                }
                if batch == 0 {
                    bytes.extend(query("SELECT 1").repeat(8000));
                }
            }
            let (begun, mut sent) = (Instant::now(), 0);
            while push(&mut stream, &bytes, &mut sent)
                && sent < bytes.len()
                && begun.elapsed() < CONNECT_TIMEOUT
            {
                std::thread::sleep(Duration::from_millis(1));
            }
            let _ = stream.shutdown(Shutdown::Write);
            let left = self.cluster.now();
            self.cluster.foreign().left(left, ids);
            std::thread::sleep(LEFT_OPEN);
        }
    }
}

fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

/// Sends what the operating system takes; false once the connection has ended.
fn push(stream: &mut TcpStream, bytes: &[u8], sent: &mut usize) -> bool {
    while *sent < bytes.len() {
        match stream.write(&bytes[*sent..]) {
            Ok(n) => *sent += n,
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
        }
    }
    !matches!(stream.read(&mut []), Err(e) if e.kind() != ErrorKind::WouldBlock)
}
