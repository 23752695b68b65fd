//! A member whose responses a test sets, down to the bytes on the connection. It models no database.

use crate::wire::{StatementHandler, StatementReply, error, parameter, ready, row, serve};
use crate::{address, unix_ms};
use std::collections::VecDeque;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a member responds to a txn.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Answers with the statement's text as the row.
    Serve,
    /// Answers with an error of this SQLSTATE.
    Fail(&'static str),
    /// Reads it and never answers.
    Hang,
    /// Reads it, sends these bytes and closes the connection.
    Close(Vec<u8>),
    /// Answers with these bytes in place of a row.
    Send(Vec<u8>),
}

struct Script {
    primary: bool,
    /// Position of its log, in seconds since 1970; `None` if it is up to date.
    position: Option<f64>,
    /// Whether it answers new connections. If not, it accepts them and sends nothing.
    answers_new: bool,
    behaviour: Behaviour,
    /// Responses to the next txns, before `behaviour` applies again.
    next: VecDeque<Behaviour>,
    open: Vec<TcpStream>,
    /// How many times `close_hanging` was called.
    hangs_ended: u32,
}

/// A scripted member, listening on loopback.
pub struct Member {
    pub at: SocketAddr,
    /// Statements received, except probes.
    pub seen: Receiver<String>,
    script: Arc<Mutex<Script>>,
}

struct ScriptedHandler {
    script: Arc<Mutex<Script>>,
    seen: Mutex<Sender<String>>,
}

impl StatementHandler for ScriptedHandler {
    fn welcome(&self, stream: &TcpStream) -> bool {
        let script = || self.script.lock().expect("no thread panicked with the lock");
        if let Ok(stream) = stream.try_clone() {
            script().open.push(stream);
        }
        while !script().answers_new {
            std::thread::sleep(Duration::from_millis(5));
        }
        true
    }

    fn statement(&self, text: &str) -> StatementReply {
        let (primary, position) = {
            let script = self.script.lock().expect("no thread panicked with the lock");
            (script.primary, script.position.unwrap_or(now()))
        };
        if text == "SHOW server_load" {
            let report = format!("x0={position:.3},x1={},q=0,busy=0.1", u8::from(primary));
            return StatementReply::Answer([row(report.as_bytes()), ready()].concat());
        }
        let _ = self.seen.lock().expect("no thread panicked with the lock").send(text.to_owned());
        let behaviour = {
            let mut script = self.script.lock().expect("no thread panicked with the lock");
            let next = script.next.pop_front();
            next.unwrap_or_else(|| script.behaviour.clone())
        };
        let role = parameter("node_role", if primary { "leader" } else { "follower" });
        let answer = match behaviour {
            _ if !primary && text.contains("INSERT") => error("25006"),
            Behaviour::Serve => row(text.as_bytes()),
            Behaviour::Fail(code) => error(code),
            Behaviour::Hang => {
                let hangs_ended =
                    || self.script.lock().expect("no thread panicked with the lock").hangs_ended;
                let before = hangs_ended();
                while hangs_ended() == before {
                    std::thread::sleep(Duration::from_millis(5));
                }
                return StatementReply::End(Vec::new());
            }
            Behaviour::Close(bytes) => return StatementReply::End(bytes),
            Behaviour::Send(bytes) => bytes,
        };
        StatementReply::Answer([answer, role, ready()].concat())
    }
}

/// Seconds since 1970.
fn now() -> f64 {
    unix_ms() as f64 / 1000.0
}

impl Member {
    /// Starts a member that serves all txns, as a primary or as a replica.
    pub fn start(primary: bool) -> Member {
        let listener = TcpListener::bind(address()).expect("a free address");
        let at = listener.local_addr().expect("an address");
        let (behaviour, next, open) = (Behaviour::Serve, VecDeque::new(), Vec::new());
        let script = Arc::new(Mutex::new(Script {
            primary,
            position: None,
            answers_new: true,
            behaviour,
            next,
            open,
            hangs_ended: 0,
        }));
        let (seen_sender, seen) = channel();
        let store = Arc::new(ScriptedHandler { script: script.clone(), seen: Mutex::new(seen_sender) });
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || serve(stream, store.as_ref()));
            }
        });
        Member { at, seen, script }
    }

    /// Sets the response to all later txns.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.script.lock().expect("no thread panicked with the lock").behaviour = behaviour;
    }

    /// Queues a response for one txn.
    pub fn behave_once(&self, behaviour: Behaviour) {
        self.script.lock().expect("no thread panicked with the lock").next.push_back(behaviour);
    }

    /// Sets the role that it reports; a replica refuses inserts with 25006.
    pub fn set_primary(&self, primary: bool) {
        self.script.lock().expect("no thread panicked with the lock").primary = primary;
    }

    /// Freezes the reported log position at the present.
    pub fn freeze_position(&self) {
        self.script.lock().expect("no thread panicked with the lock").position = Some(now());
    }

    /// Freezes the reported log position `ahead` of the present, as a member whose clock runs ahead reports it.
    pub fn freeze_position_ahead(&self, ahead: Duration) {
        self.script.lock().expect("no thread panicked with the lock").position =
            Some(now() + ahead.as_secs_f64());
    }

    /// Sets whether new connections are answered; if not, they are accepted and stay silent.
    pub fn set_answers_new(&self, answers_new: bool) {
        self.script.lock().expect("no thread panicked with the lock").answers_new = answers_new;
    }

    /// The number of connections accepted since the last [`Member::close_connections`].
    pub fn connections(&self) -> usize {
        self.script.lock().expect("no thread panicked with the lock").open.len()
    }

    /// Closes the connections of all statements that hang, and no others.
    pub fn close_hanging(&self) {
        self.script.lock().expect("no thread panicked with the lock").hangs_ended += 1;
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        for stream in self.script.lock().expect("no thread panicked with the lock").open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
