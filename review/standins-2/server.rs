//! Servers of one group: a primary that commits, and replicas that apply its log late. They answer as PROTOCOL says.

use crate::wire::{error, field, message, parameter, read_message, ready, row};
use crate::{Record, unix_ms};
use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// One commit of the group's log.
#[derive(Clone)]
struct Commit {
    at: f64,
    handle: String,
    version: u64,
}

/// What the servers of a group share.
pub struct Group {
    log: Mutex<Vec<Commit>>,
    /// Marks of referenced txns: when each was first carried out.
    marks: Mutex<HashMap<String, Instant>>,
    window: Duration,
    /// By mark or id: how often an effect took place.
    pub effects: Mutex<HashMap<String, u32>>,
    pub primary: AtomicUsize,
    next_version: AtomicU64,
}

impl Group {
    pub fn new(window_ms: u64) -> Arc<Group> {
        Arc::new(Group {
            log: Mutex::default(),
            marks: Mutex::default(),
            window: Duration::from_millis(window_ms),
            effects: Mutex::default(),
            primary: AtomicUsize::new(0),
            next_version: AtomicU64::new(1),
        })
    }
}

/// What a server does beyond the ordinary.
#[derive(Default)]
pub struct Script {
    /// How far behind it applies the log.
    pub lag_ms: AtomicU64,
    /// Takes everything and answers nothing.
    pub hangs: AtomicBool,
    /// Carries out the next txn and resets its connection instead of answering.
    pub lose_next_answer: AtomicBool,
    /// What `stop_reading_ms` is once that has happened.
    pub then_stop_reading_ms: AtomicU64,
    /// Of the next statement over 64 KiB it reads 16 KiB, and the rest only after this many ms.
    pub stop_reading_ms: AtomicU64,
    /// How long it works on a txn of the type `long`.
    pub long_ms: AtomicU64,
    /// Txns that have come and are not answered.
    pub in_hand: AtomicUsize,
}

/// A txn that has come in whole.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
}

#[derive(Clone)]
pub struct Server {
    pub name: &'static str,
    pub at: SocketAddr,
    index: usize,
    group: Arc<Group>,
    pub script: Arc<Script>,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    record: Record,
}

/// Gives the connections of a listener a small receive buffer and the segments of an Ethernet link, so that a long
/// statement is not taken up at once by a server that does not read (Linux, the same on all its machines).
fn narrow(listener: &TcpListener) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    for (level, name, value) in [(SOL_SOCKET, SO_RCVBUF, 4096), (IPPROTO_TCP, TCP_MAXSEG, 1460)] {
        // SAFETY: an open socket, and a value that outlives the call.
        let status = unsafe { setsockopt(listener.as_raw_fd(), level, name, &value, 4) };
        assert_eq!(status, 0, "setsockopt");
    }
}

impl Server {
    /// Starts a server of the group; the first is the primary at the start.
    pub fn start(
        record: &Record,
        group: &Arc<Group>,
        index: usize,
        name: &'static str,
        is_narrow: bool,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        if is_narrow {
            narrow(&listener);
        }
        let at = listener.local_addr().expect("an address");
        let (script, seen) = (Arc::default(), Arc::default());
        let server = Server { name, at, index, group: group.clone(), script, seen, record: record.clone() };
        let its = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let its = its.clone();
                std::thread::spawn(move || its.serve(stream));
            }
        });
        server
    }

    fn is_primary(&self) -> bool {
        self.group.primary.load(Ordering::SeqCst) == self.index
    }

    /// Up to when it has applied the log, as a Unix time in ms.
    fn position(&self) -> f64 {
        let lag = if self.is_primary() { 0 } else { self.script.lag_ms.load(Ordering::SeqCst) };
        unix_ms() - lag as f64
    }

    fn await_hang(&self) {
        while self.script.hangs.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Reads one message; stops for a while within a long statement if it is to.
    fn read(&self, stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        stream.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.checked_sub(4)?];
        let mut read = 0;
        if body.len() > 64 << 10 {
            let stop = self.script.stop_reading_ms.swap(0, Ordering::SeqCst);
            if stop > 0 {
                stream.read_exact(&mut body[..16 << 10]).ok()?;
                read = 16 << 10;
                self.record.note(&format!("{}: hangs for {stop} ms in the middle of a statement", self.name));
                std::thread::sleep(Duration::from_millis(stop));
                self.record.note(&format!("{}: reads on", self.name));
            }
        }
        stream.read_exact(&mut body[read..]).ok()?;
        Some((head[0], body))
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        read_message(&mut stream, false)?;
        self.await_hang();
        stream.write_all(&[message(b'R', &[0; 4]), ready()].concat()).ok()?;
        while let Some((b'Q', body)) = self.read(&mut stream) {
            let arrived = Instant::now();
            let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
            let is_probe = text == "SHOW server_load" || text == "SELECT 1";
            if !is_probe {
                let shown: String = text.chars().take(150).collect();
                self.record.note(&format!("{}: came: {shown}", self.name));
                self.seen.lock().expect("seen").push(Seen { at: arrived });
                self.script.in_hand.fetch_add(1, Ordering::SeqCst);
            }
            self.await_hang();
            let Some(answer) = self.answer(&text) else {
                self.script.in_hand.fetch_sub(1, Ordering::SeqCst);
                self.record
                    .note(&format!("{}: has run it; the connection ends without an answer", self.name));
                let _ = stream.shutdown(Shutdown::Both);
                return None;
            };
            if !is_probe {
                self.script.in_hand.fetch_sub(1, Ordering::SeqCst);
            }
            stream.write_all(&answer).ok()?;
        }
        None
    }

    /// The answer to a statement; none if it is lost.
    fn answer(&self, text: &str) -> Option<Vec<u8>> {
        if text == "SHOW server_load" {
            let report =
                format!("x0={:.3},x1={},q=0,busy=0.1", self.position() / 1000.0, u8::from(self.is_primary()));
            return Some([row(report.as_bytes()), ready()].concat());
        }
        let role = parameter("node_role", if self.is_primary() { "leader" } else { "follower" });
        let handle = text.split('\'').nth(1).unwrap_or_default().to_owned();
        if text.contains("INSERT") {
            if !self.is_primary() {
                self.record.note(&format!("{}: 25006", self.name));
                return Some([error("25006"), role, ready()].concat());
            }
            let (mark, id) = (field(text, "k"), field(text, "id").unwrap_or_default());
            let version = self.write(&handle, mark.as_deref(), &id);
            if self.script.lose_next_answer.swap(false, Ordering::SeqCst) {
                let stop = self.script.then_stop_reading_ms.load(Ordering::SeqCst);
                self.script.stop_reading_ms.store(stop, Ordering::SeqCst);
                return None;
            }
            self.record.note(&format!("{}: answers {id}: v{version}", self.name));
            let commit = parameter("replay_position", &format!("{}", unix_ms().ceil() as u64));
            return Some([row(format!("v{version}").as_bytes()), role, commit, ready()].concat());
        }
        if field(text, "c").as_deref() == Some("long") {
            std::thread::sleep(Duration::from_millis(self.script.long_ms.load(Ordering::SeqCst)));
        }
        let applied = self.position();
        let log = self.group.log.lock().expect("the log");
        let version = log
            .iter()
            .filter(|commit| commit.handle == handle && commit.at <= applied)
            .map(|c| c.version)
            .max();
        drop(log);
        let (id, version) = (field(text, "id").unwrap_or_default(), version.unwrap_or(0));
        self.record.note(&format!("{}: answers {id}: v{version}", self.name));
        Some([row(format!("v{version}").as_bytes()), role, ready()].concat())
    }

    /// Carries out a write unless its mark is still known; returns the version that it made.
    fn write(&self, handle: &str, mark: Option<&str>, id: &str) -> u64 {
        let mut log = self.group.log.lock().expect("the log");
        if let Some(mark) = mark {
            let mut marks = self.group.marks.lock().expect("the marks");
            let known = marks.get(mark).is_some_and(|at| at.elapsed() < self.group.window);
            if known {
                self.record.note(&format!("{}: a repeat of mark {mark}, dropped", self.name));
                return log
                    .iter()
                    .rev()
                    .find(|commit| commit.handle == handle)
                    .map_or(0, |commit| commit.version);
            }
            let ago = marks.get(mark).map(|at| at.elapsed().as_millis());
            if let Some(ago) = ago {
                self.record.note(&format!(
                    "{}: mark {mark} was carried out {ago} ms ago and is forgotten",
                    self.name
                ));
            }
            marks.insert(mark.to_owned(), Instant::now());
        }
        let version = self.group.next_version.fetch_add(1, Ordering::SeqCst);
        log.push(Commit { at: unix_ms(), handle: handle.to_owned(), version });
        *self.group.effects.lock().expect("effects").entry(mark.unwrap_or(id).to_owned()).or_default() += 1;
        self.record.note(&format!("{}: runs {id}: commits v{version} of {handle}", self.name));
        version
    }
}
