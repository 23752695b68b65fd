//! The agent of discovery: the list and watches over HTTP/1.1, as PROTOCOL describes them.

use crate::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub cell: u64,
    pub state: &'static str,
    /// When it last started, as a Unix time in ms; 0 if that was long ago.
    pub started_ms: u64,
}

#[derive(Default)]
struct State {
    /// All changes with their versions; the first ones are the list at the start.
    changes: Vec<(u64, Entry)>,
    open: Vec<TcpStream>,
    refusing: bool,
    /// Discovery is down: nothing is said.
    silent: bool,
}

#[derive(Clone)]
pub struct Agent {
    pub at: SocketAddr,
    name: &'static str,
    state: Arc<Mutex<State>>,
    record: Record,
}

fn json(version: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries
        .iter()
        .map(|Entry { id, addr, cell, state, started_ms }| {
            format!(
                r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"k","cell":{cell},"state":"{state}","weight":1.0,"started_ms":{started_ms}}}"#
            )
        })
        .collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

impl Agent {
    pub fn start(record: &Record, name: &'static str, entries: &[Entry]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("an address");
        let changes = entries.iter().map(|entry| (1, entry.clone())).collect();
        let state = Arc::new(Mutex::new(State { changes, ..State::default() }));
        let agent = Agent { at, name, state, record: record.clone() };
        let its = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if its.state.lock().expect("the agent").refusing {
                    its.record.note(&format!("discovery {}: takes no new connection", its.name));
                    // The listener goes with this thread; who connects from now on is refused.
                    return;
                }
                let its = its.clone();
                std::thread::spawn(move || drop(its.serve(stream)));
            }
        });
        agent
    }

    /// The whole list in the form of `known`.
    pub fn known(&self) -> String {
        let state = self.state.lock().expect("the agent");
        let entries: Vec<Entry> = state.changes.iter().map(|(_, entry)| entry.clone()).collect();
        json(1, true, &entries)
    }

    fn version(&self) -> u64 {
        self.state.lock().expect("the agent").changes.iter().map(|(version, _)| *version).max().unwrap_or(1)
    }

    /// A change of one entry; told to all watches at once.
    pub fn change(&self, entry: Entry) {
        let version = self.version() + 1;
        self.record
            .note(&format!("discovery {}: version {version}: {} is {}", self.name, entry.id, entry.state));
        self.state.lock().expect("the agent").changes.push((version, entry));
    }

    /// Takes no new connection from now on; open ones go on.
    pub fn refuse_new(&self) {
        self.state.lock().expect("the agent").refusing = true;
        // Wakes the thread that accepts, which then ends.
        drop(TcpStream::connect(self.at));
    }

    /// Closes what is open.
    pub fn close_open(&self) {
        self.record.note(&format!("discovery {}: closes the open watches", self.name));
        for stream in self.state.lock().expect("the agent").open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Says nothing from now on, on open and new connections.
    pub fn fall_silent(&self) {
        self.record.note(&format!("discovery {}: is down, the agent falls silent", self.name));
        self.state.lock().expect("the agent").silent = true;
    }

    fn await_speech(&self) {
        while self.state.lock().expect("the agent").silent {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn since(&self, version: u64) -> Vec<(u64, Entry)> {
        let state = self.state.lock().expect("the agent");
        state.changes.iter().filter(|(its, _)| *its > version).cloned().collect()
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        self.state.lock().expect("the agent").open.push(stream.try_clone()?);
        stream.set_nodelay(true)?;
        let mut head = BufReader::new(stream.try_clone()?);
        let (mut request, mut line) = (String::new(), String::new());
        head.read_line(&mut request)?;
        while head.read_line(&mut line)? > 2 {
            line.clear();
        }
        self.record.note(&format!("discovery {}: {}", self.name, request.trim()));
        self.await_speech();
        let known = request.split("after=").nth(1).and_then(|rest| {
            rest.split(|c: char| !c.is_ascii_digit()).next().and_then(|number| number.parse::<u64>().ok())
        });
        if !request.contains("watch=1") {
            let body = self.known();
            return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = known.unwrap_or(0);
        let mut chunk = |text: &str| write!(stream, "{:x}\r\n{text}\r\n", text.len());
        // The first object: what changed after that version, or the whole list.
        let entries: Vec<Entry> = self.since(told).into_iter().map(|(_, entry)| entry).collect();
        let first = json(self.version(), known.is_none(), &entries);
        told = self.version();
        chunk(&format!("{first}\n"))?;
        let mut last_line = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(5));
            self.await_speech();
            for (version, entry) in self.since(told) {
                chunk(&format!("{}\n", json(version, false, &[entry])))?;
                (told, last_line) = (version, Instant::now());
            }
            if last_line.elapsed() >= Duration::from_secs(2) {
                chunk("\n")?;
                last_line = Instant::now();
            }
        }
    }
}
