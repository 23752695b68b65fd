//! Stand-ins for the review's cases: stores, a discovery agent, clients, and the processes of the front. Standard
//! library only. They follow the protocol page; whatever a case does beyond a sound stand-in is set by that case.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: u8 = 0;
pub const BROKEN: u8 = 1;
pub const COULD_NOT_RUN: u8 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_us() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970").as_micros() as i64
}

/// A linear congruential generator, so that a run can be repeated with the same seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.share()
    }
}

/// The record of what was sent, answered and run: a line an event, with milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file = Mutex::new(File::create(path).expect("record.txt can be written"));
        Arc::new(Record { file, started: Instant::now() })
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().expect("no panic with the lock"), "{:10.3} {text}", self.now());
    }

    /// To the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// An unused loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

// ---------------------------------------------------------------------------------------------- messages

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

/// Reads one message; one without a type byte gets type 0.
pub fn read_message(from: &mut impl Read, typed: bool) -> Option<(u8, Vec<u8>)> {
    let (mut kind, mut head) = ([0], [0; 4]);
    if typed {
        from.read_exact(&mut kind).ok()?;
    }
    from.read_exact(&mut head).ok()?;
    let mut body = vec![0; (u32::from_be_bytes(head) as usize).checked_sub(4)?];
    from.read_exact(&mut body).ok()?;
    Some((kind[0], body))
}

pub fn row(value: &str) -> Vec<u8> {
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value.as_bytes());
    let description = b"\0\x01blob\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
    [message(b'T', description), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mno\0\0").as_bytes())
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split("*/").next()?.trim_start_matches("/*");
    comment.split(',').find_map(|part| part.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
}

fn quoted(statement: &str, nth: usize) -> &str {
    statement.split('\'').nth(2 * nth + 1).unwrap_or("")
}

// ---------------------------------------------------------------------------------------------- stores

/// The log of one group: commits in order.
#[derive(Default)]
pub struct Log(Mutex<Vec<(i64, String, String)>>);

impl Log {
    /// Commits a write at the present.
    pub fn commit(&self, handle: &str, value: &str) -> i64 {
        let mut log = self.0.lock().expect("no panic with the lock");
        let at = unix_us();
        log.push((at, handle.to_owned(), value.to_owned()));
        at
    }

    /// The value of a handle as of a position.
    pub fn value(&self, handle: &str, position: i64) -> Option<String> {
        let log = self.0.lock().expect("no panic with the lock");
        log.iter().rev().find(|(at, of, _)| *at <= position && of == handle).map(|(_, _, value)| value.clone())
    }
}

/// Writes the answer to a statement; the second argument is that answer, whole.
pub type Send = dyn Fn(&mut TcpStream, &[u8]) -> std::io::Result<()> + std::marker::Send + Sync;

/// A sound store: it answers each statement after some work, from what it has.
pub struct Store {
    pub id: String,
    pub at: SocketAddr,
    pub group: u64,
    pub primary: AtomicBool,
    /// How far its data is behind, in microseconds.
    pub lag_us: AtomicI64,
    /// Work of a statement, in milliseconds.
    pub work_ms: (f64, f64),
    /// Whether answers tell the position (`Specifics.TellsPosition`).
    pub tells_position: bool,
    pub started_ms: i64,
    pub log: Arc<Log>,
    pub record: Arc<Record>,
    pub statements: AtomicU64,
    pub deliver: Box<Send>,
    seed: AtomicU64,
}

impl Store {
    pub fn position(&self) -> i64 {
        let primary = self.primary.load(Ordering::SeqCst);
        unix_us() - if primary { 0 } else { self.lag_us.load(Ordering::SeqCst) }
    }

    fn role(&self) -> &'static str {
        if self.primary.load(Ordering::SeqCst) { "leader" } else { "follower" }
    }

    fn answer(&self, text: &str) -> Vec<u8> {
        if text == "SHOW server_load" {
            // Exact: a position that was rounded up would claim commits that are not there yet.
            let (at, x1) = (self.position(), u8::from(self.primary.load(Ordering::SeqCst)));
            let (secs, micros) = (at / 1_000_000, at % 1_000_000);
            return [row(&format!("x0={secs}.{micros:06},x1={x1},q=0,busy=0.1")), ready()].concat();
        }
        if text == "SELECT 1" {
            return [row("1"), ready()].concat();
        }
        if text.trim().is_empty() {
            return [message(b'I', b""), ready()].concat();
        }
        let n = self.statements.fetch_add(1, Ordering::SeqCst);
        let id = field(text, "id").unwrap_or("-").to_owned();
        let (class, left) = (field(text, "c").unwrap_or("-"), field(text, "d").unwrap_or("-"));
        self.record.line(&format!("store {} got id={id} c={class} d={left}", self.id));
        let mut random = Random::new(self.seed.fetch_add(1, Ordering::SeqCst) + n);
        // A read sees the data as of its beginning.
        let position = self.position();
        let work = random.between(self.work_ms.0, self.work_ms.1);
        std::thread::sleep(Duration::from_secs_f64(work / 1000.0));
        let role = parameter("node_role", self.role());
        let handle = quoted(text, 0);
        if text.contains("INSERT") {
            if !self.primary.load(Ordering::SeqCst) {
                return [error("25006"), role, ready()].concat();
            }
            let value = quoted(text, 1);
            let at = self.log.commit(handle, value);
            self.record.line(&format!("store {} ran id={id} write {handle}={value} commit={at}", self.id));
            // The commit of a write, rounded up.
            let position = parameter("replay_position", &format!("{}", (at + 999) / 1000));
            return [row(value), role, position, ready()].concat();
        }
        let value = self.log.value(handle, position).unwrap_or_else(|| format!("row of {handle}"));
        self.record.line(&format!("store {} ran id={id} read {handle}={value} as of {position}", self.id));
        let told = if self.tells_position {
            parameter("replay_position", &format!("{}", position / 1000))
        } else {
            Vec::new()
        };
        [row(&value), role, told, ready()].concat()
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        read_message(&mut stream, false)?;
        stream.write_all(&[message(b'R', &[0; 4]), ready()].concat()).ok()?;
        while let Some((b'Q', body)) = read_message(&mut stream, true) {
            let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
            let answer = self.answer(&text);
            (self.deliver)(&mut stream, &answer).ok()?;
        }
        Some(())
    }
}

/// What a store starts with.
pub struct StoreSetup {
    pub id: String,
    pub group: u64,
    pub primary: bool,
    pub lag_ms: i64,
    pub work_ms: (f64, f64),
    pub tells_position: bool,
    pub started_ms: i64,
}

/// Starts a store that delivers its answers whole.
pub fn start_store(setup: StoreSetup, log: &Arc<Log>, record: &Arc<Record>) -> Arc<Store> {
    start_store_with(setup, log, record, Box::new(|stream, answer| stream.write_all(answer)))
}

pub fn start_store_with(
    setup: StoreSetup,
    log: &Arc<Log>,
    record: &Arc<Record>,
    deliver: Box<Send>,
) -> Arc<Store> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let seed = setup.id.bytes().fold(7u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte)) * 1_000_003;
    let store = Arc::new(Store {
        id: setup.id,
        at: listener.local_addr().expect("an address"),
        group: setup.group,
        primary: AtomicBool::new(setup.primary),
        lag_us: AtomicI64::new(setup.lag_ms * 1000),
        work_ms: setup.work_ms,
        tells_position: setup.tells_position,
        started_ms: setup.started_ms,
        log: log.clone(),
        record: record.clone(),
        statements: AtomicU64::new(0),
        deliver,
        seed: AtomicU64::new(seed),
    });
    let its = store.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let its = its.clone();
            std::thread::spawn(move || its.serve(stream));
        }
    });
    store
}

// ---------------------------------------------------------------------------------------------- discovery

#[derive(Default)]
struct Told {
    /// Each line with its version.
    lines: Vec<(u64, String)>,
    /// The whole list as of now, by id.
    whole: Vec<(String, String)>,
    version: u64,
}

/// The agent of the list: a watch gets the whole list or the changes after its version, and an empty line every 2 s.
pub struct Agent {
    pub at: SocketAddr,
    told: Arc<(Mutex<Told>, Condvar)>,
}

pub fn entry(store: &Store, state: &str) -> String {
    let Store { id, at, group, started_ms, .. } = store;
    let role = if store.primary.load(Ordering::SeqCst) { "leader" } else { "follower" };
    format!(
        r#"{{"id":"{id}","addr":"{at}","zone":"a","kind":"k","cell":{group},"state":"{state}","weight":1.0,"started_ms":{started_ms},"role":"{role}"}}"#
    )
}

fn list(version: u64, full: bool, entries: &[String]) -> String {
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

impl Agent {
    pub fn start(version: u64, stores: &[&Store], record: &Arc<Record>) -> Agent {
        let told = Arc::new((Mutex::new(Told::default()), Condvar::new()));
        {
            let mut told = told.0.lock().expect("no panic with the lock");
            told.version = version;
            told.whole = stores.iter().map(|store| (store.id.clone(), entry(store, "up"))).collect();
        }
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("an address");
        let (shared, record) = (told.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, record) = (shared.clone(), record.clone());
                std::thread::spawn(move || watch(stream, &shared, &record));
            }
        });
        Agent { at, told }
    }

    /// The whole list as it stands, in the form of `known`.
    pub fn whole(&self) -> String {
        let told = self.told.0.lock().expect("no panic with the lock");
        let entries: Vec<String> = told.whole.iter().map(|(_, entry)| entry.clone()).collect();
        list(told.version, true, &entries)
    }
}

fn watch(mut stream: TcpStream, shared: &(Mutex<Told>, Condvar), record: &Record) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut request = String::new();
    reader.read_line(&mut request).ok()?;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 || header.trim().is_empty() {
            break;
        }
    }
    record.line(&format!("agent got {}", request.trim()));
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    let after = request.split("after=").nth(1).and_then(|text| text.split([' ', '&']).next()?.parse::<u64>().ok());
    let mut chunk = |line: &str| -> Option<()> {
        stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).ok()
    };
    let mut told = shared.0.lock().expect("no panic with the lock");
    // The first object holds what changed after that version, or else the whole list.
    let first = told.lines.first().map_or(told.version, |(version, _)| version - 1);
    let mut sent = match after {
        Some(after) if after >= first && after < told.version => told.lines.iter().take_while(|(version, _)| *version <= after).count(),
        _ => {
            let entries: Vec<String> = told.whole.iter().map(|(_, entry)| entry.clone()).collect();
            chunk(&list(told.version, true, &entries))?;
            told.lines.len()
        }
    };
    loop {
        while sent < told.lines.len() {
            let line = told.lines[sent].1.clone();
            sent += 1;
            record.line(&format!("agent tells {line}"));
            chunk(&line)?;
        }
        let (next, waited) = shared.1.wait_timeout(told, Duration::from_secs(2)).expect("no panic with the lock");
        told = next;
        if waited.timed_out() {
            chunk("")?;
        }
    }
}

// ---------------------------------------------------------------------------------------------- clients

#[derive(Debug, Default, Clone, PartialEq)]
pub struct Answer {
    pub value: Option<String>,
    pub code: Option<String>,
    /// The connection ended before ReadyForQuery.
    pub ended: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        match (&self.value, &self.code) {
            (Some(value), _) => format!("value {value}"),
            (_, Some(code)) => format!("error {code}"),
            _ => "nothing, the connection ended".to_owned(),
        }
    }
}

pub struct Client(pub TcpStream);

impl Client {
    /// Opens a session and waits for the answer to an empty query.
    pub fn open(at: SocketAddr, limit: Duration) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&at, limit).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        let mut client = Client(stream);
        let names = b"user\0api\0database\0ledger\0\0";
        let mut startup = ((names.len() + 8) as u32).to_be_bytes().to_vec();
        startup.extend([0, 3, 0, 0]);
        startup.extend(names);
        startup.extend(message(b'Q', b"\0"));
        client.0.write_all(&startup).ok()?;
        (!client.answer().ended && !client.answer().ended).then_some(client)
    }

    pub fn send(&mut self, text: &str) -> bool {
        self.0.write_all(&message(b'Q', format!("{text}\0").as_bytes())).is_ok()
    }

    pub fn answer(&mut self) -> Answer {
        let mut answer = Answer::default();
        while let Some((kind, body)) = read_message(&mut self.0, true) {
            match kind {
                b'Z' => return answer,
                b'D' => answer.value = body.get(6..).map(|value| String::from_utf8_lossy(value).into_owned()),
                b'E' => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    answer.code = text.split('\0').find_map(|part| part.strip_prefix('C')).map(str::to_owned);
                }
                _ => {}
            }
        }
        answer.ended = true;
        answer
    }
}

/// A statement that reads a handle.
pub fn read_of(class: &str, id: &str, d: u64, group: u64, handle: &str) -> String {
    format!("/* id={id},c={class},d={d},cluster={group} */ SELECT blob FROM rows WHERE handle = '{handle}'")
}

/// A statement that writes a handle.
pub fn write_of(class: &str, id: &str, d: u64, group: u64, handle: &str, value: &str) -> String {
    format!(
        "/* id={id},c={class},d={d},k={id},cluster={group} */ INSERT INTO rows (handle, blob) VALUES ('{handle}', '{value}') RETURNING blob"
    )
}

// ---------------------------------------------------------------------------------------------- processes

/// One front, started by the deploy file's `run`, and whatever it starts.
pub struct Front {
    pub at: SocketAddr,
    pub child: Child,
    pub log: PathBuf,
    pub environment: HashMap<String, String>,
}

fn deploy(name: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with(&format!("{name} ="))).expect("its line");
    line.split('"').nth(1).expect("a command in quotes").to_owned()
}

impl Front {
    pub fn start(at: SocketAddr, environment: &[(&str, String)], log: PathBuf) -> Front {
        let environment: HashMap<String, String> =
            environment.iter().map(|(name, value)| ((*name).to_owned(), value.clone())).collect();
        let out = std::fs::OpenOptions::new().create(true).append(true).open(&log).expect("a log file");
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy("run")])
            .envs(&environment)
            .env("GW_LISTEN", at.to_string())
            .env_remove("JUNIPERDOCK_LOG")
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("a descriptor"))
            .stderr(out)
            .process_group(0)
            .spawn()
            .expect("the front starts");
        GROUPS.lock().expect("no panic with the lock").push(child.id());
        Front { at, child, log, environment }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it answers an empty query.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if Client::open(self.at, ms(1000)).is_some() {
                return true;
            }
            std::thread::sleep(ms(10));
        }
        false
    }

    /// Runs one of the operators' commands for it.
    pub fn command(&self, charter: &str, words: &[&str]) -> (bool, String) {
        let out = Command::new("target/release/juniperdock")
            .args(["--charter", charter])
            .args(words)
            .envs(&self.environment)
            .output()
            .expect("the command runs");
        let text = [out.stdout, out.stderr].concat();
        (out.status.success(), String::from_utf8_lossy(&text).trim().to_owned())
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until a line of its log contains this.
    pub fn await_log(&self, text: &str, limit: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if self.log_text().contains(text) {
                return true;
            }
            std::thread::sleep(ms(1));
        }
        false
    }

    /// Ends it and all that it started: they share its process group.
    pub fn end_all(&mut self) {
        signal("KILL", &format!("-{}", self.child.id()));
        let _ = self.child.wait();
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.end_all();
    }
}

/// Sends a signal to a process, or to a group if `to` begins with a minus.
pub fn signal(name: &str, to: &str) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -s {name} -- {to}")])
        .stderr(Stdio::null())
        .status();
}

/// The processes of a group that are there and are no zombies.
pub fn alive_in_group(group: u32) -> Vec<u32> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir("/proc").into_iter().flatten().flatten() {
        let Some(pid) = entry.file_name().to_str().and_then(|name| name.parse::<u32>().ok()) else { continue };
        let stat = std::fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        let Some((_, rest)) = stat.rsplit_once(')') else { continue };
        let fields: Vec<&str> = rest.split_whitespace().collect();
        if fields.get(2).and_then(|text| text.parse::<u32>().ok()) == Some(group) && fields.first() != Some(&"Z") {
            found.push(pid);
        }
    }
    found.sort_unstable();
    found
}

fn folder_path() -> PathBuf {
    std::env::temp_dir().join(format!("juniperdock-review-{}", std::process::id()))
}

/// A private folder for a run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = folder_path();
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        std::fs::write(&path, text).expect("a file in the temporary folder");
        path.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// One txn type of the settings.
pub fn service(name: &str, effect: &str, scope: &str, objective: f64, limit: f64, late: f64, value: f64, window: f64) -> String {
    format!(
        r#"{{"DedupScope":"{scope}","Effect":"{effect}","HardLimit":{limit},"LateWorth":{late},"Name":"{name}","Objective":{objective},"Stream":false,"Value":{value},"Window":{window}}}"#
    )
}

/// Whether the disruption is on.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Descriptors that this process got from the one that started it, beside the three usual ones: its children get them, too.
static INHERITED: AtomicU64 = AtomicU64::new(0);

/// To be called before anything is opened.
pub fn note_inherited() {
    // One is that of the folder which is read here.
    let open = std::fs::read_dir("/proc/self/fd").map_or(0, |all| all.count());
    INHERITED.store(open.saturating_sub(4) as u64, Ordering::SeqCst);
}

pub fn inherited() -> usize {
    INHERITED.load(Ordering::SeqCst) as usize
}

/// Process groups that were started and not ended.
static GROUPS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this run has started.
pub fn end_everything() {
    let groups = std::mem::take(&mut *GROUPS.lock().expect("no panic with the lock"));
    groups.iter().for_each(|group| signal("KILL", &format!("-{group}")));
    let _ = std::fs::remove_dir_all(folder_path());
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Stops a process at once, without starting another one for it.
pub fn stop(pid: u32) {
    // SAFETY: `kill(2)` takes two numbers and touches no memory of this process.
    let _ = unsafe { kill(pid as i32, 19) };
}
