//! A member that says what a story tells it to say: bytes on a connection. It models nothing.

use crate::wire::{Said, Store, error, parameter, ready, row, serve};
use crate::{address, unix_ms};
use std::collections::VecDeque;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a member does with a txn.
#[derive(Clone, Debug)]
pub enum Does {
    Serves,
    Fails(&'static str),
    /// Takes it and says nothing.
    Hangs,
    /// Takes it and ends the connection, perhaps after these bytes.
    Breaks(Vec<u8>),
    /// Answers with these bytes.
    Says(Vec<u8>),
}

struct Script {
    primary: bool,
    /// Where its log stands, in seconds since 1970; else it is up to date.
    position: Option<f64>,
    /// Welcomes new connections; else it accepts and stays silent.
    welcomes: bool,
    does: Does,
    next: VecDeque<Does>,
    open: Vec<TcpStream>,
    /// How often all that hung was ended.
    hangs_ended: u32,
}

pub struct Member {
    pub at: SocketAddr,
    /// Statements that it was sent.
    pub seen: Receiver<String>,
    script: Arc<Mutex<Script>>,
}

struct ScriptedStore {
    script: Arc<Mutex<Script>>,
    seen: Mutex<Sender<String>>,
}

impl Store for ScriptedStore {
    fn welcome(&self, stream: &TcpStream) -> bool {
        let script = || self.script.lock().expect("no panic there");
        if let Ok(stream) = stream.try_clone() {
            script().open.push(stream);
        }
        while !script().welcomes {
            std::thread::sleep(Duration::from_millis(5));
        }
        true
    }

    fn statement(&self, text: &str) -> Said {
        let (primary, position) = {
            let script = self.script.lock().expect("no panic there");
            (script.primary, script.position.unwrap_or(now()))
        };
        if text == "SHOW server_load" {
            let report = format!("x0={position:.3},x1={},q=0,busy=0.1", u8::from(primary));
            return Said::Answer([row(report.as_bytes()), ready()].concat());
        }
        let _ = self.seen.lock().expect("no panic there").send(text.to_owned());
        let does = {
            let mut script = self.script.lock().expect("no panic there");
            let next = script.next.pop_front();
            next.unwrap_or_else(|| script.does.clone())
        };
        let role = parameter("node_role", if primary { "leader" } else { "follower" });
        let answer = match does {
            _ if !primary && text.contains("INSERT") => error("25006"),
            Does::Serves => row(text.as_bytes()),
            Does::Fails(code) => error(code),
            Does::Hangs => {
                let hangs_ended = || self.script.lock().expect("no panic there").hangs_ended;
                let before = hangs_ended();
                while hangs_ended() == before {
                    std::thread::sleep(Duration::from_millis(5));
                }
                return Said::End(Vec::new());
            }
            Does::Breaks(bytes) => return Said::End(bytes),
            Does::Says(bytes) => bytes,
        };
        Said::Answer([answer, role, ready()].concat())
    }
}

/// Seconds since 1970.
fn now() -> f64 {
    unix_ms() as f64 / 1000.0
}

impl Member {
    pub fn start(primary: bool) -> Member {
        let listener = TcpListener::bind(address()).expect("a free address");
        let at = listener.local_addr().expect("an address");
        let (does, next, open) = (Does::Serves, VecDeque::new(), Vec::new());
        let script = Arc::new(Mutex::new(Script {
            primary,
            position: None,
            welcomes: true,
            does,
            next,
            open,
            hangs_ended: 0,
        }));
        let (seen_sender, seen) = channel();
        let store = Arc::new(ScriptedStore { script: script.clone(), seen: Mutex::new(seen_sender) });
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || serve(stream, store.as_ref()));
            }
        });
        Member { at, seen, script }
    }

    pub fn set(&self, does: Does) {
        self.script.lock().expect("no panic there").does = does;
    }

    /// For the next txn only.
    pub fn once(&self, does: Does) {
        self.script.lock().expect("no panic there").next.push_back(does);
    }

    pub fn be_primary(&self, primary: bool) {
        self.script.lock().expect("no panic there").primary = primary;
    }

    /// From now on its log does not move.
    pub fn stand_still(&self) {
        self.script.lock().expect("no panic there").position = Some(now());
    }

    /// From now on its log does not move, and its clock was so far ahead.
    pub fn stand_at(&self, ahead: Duration) {
        self.script.lock().expect("no panic there").position = Some(now() + ahead.as_secs_f64());
    }

    pub fn welcome(&self, welcomes: bool) {
        self.script.lock().expect("no panic there").welcomes = welcomes;
    }

    /// How many there were since the last cut.
    pub fn connections(&self) -> usize {
        self.script.lock().expect("no panic there").open.len()
    }

    /// Ends the connections of all statements that hang, and no others.
    pub fn end_hanging(&self) {
        self.script.lock().expect("no panic there").hangs_ended += 1;
    }

    /// Ends all its connections.
    pub fn cut(&self) {
        for stream in self.script.lock().expect("no panic there").open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
