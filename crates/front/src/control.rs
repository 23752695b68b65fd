//! The control socket, through which the other commands of this program send requests to the running front. It is
//! served by threads of its own, with a limit on their number and on their waits, so that no input can disturb the
//! front.

use crate::clock::Clock;
use crate::membership;
use crate::messages::{DispatcherMessage, MembershipMessage, UpgradeFn};
use crate::threads;
use juniperdock_connection::is_transient;
use juniperdock_control::{Frames, error_reply, frame, ok_reply};
use may::sync::mpsc::Sender;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::sync_channel;
use std::time::{Duration, Instant};

/// Connections served at a time.
const MAX_CONNECTIONS: usize = 4;
/// How long one read or write, or an answer of an actor, may take.
const TIMEOUT: Duration = Duration::from_secs(2);
/// How long a failed call waits to be repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// How long a planned change may take until all fronts hold the group's writes.
const HOLD_TIMEOUT: Duration = Duration::from_millis(4500);
/// Maximum number of groups in one answer.
const MAX_GROUPS: usize = 1000;

/// Answers requests on the control socket.
pub struct Control {
    pub clock: Clock,
    pub dispatcher: Sender<DispatcherMessage>,
    pub counters: Arc<crate::counters::Counters>,
    pub upgrade: UpgradeFn,
    pub membership: Option<membership::Handle>,
    /// Fleet tasks are enabled, so planned changes of a primary involve all fronts.
    pub fleet_tasks: bool,
}

/// Opens the socket, accessible to its owner only. An existing one is replaced atomically.
pub fn open(path: &Path) -> Result<UnixListener, String> {
    let failed = |e: std::io::Error| format!("control socket {}: {e}", path.display());
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(format!(".{}", std::process::id()));
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary).map_err(failed)?;
    std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(0o600)).map_err(failed)?;
    std::fs::rename(&temporary, path).map_err(failed)?;
    Ok(listener)
}

/// Serves the socket on threads of its own.
///
/// # Errors
/// If the first of them can't be started.
pub fn serve(listener: UnixListener, control: Control, log: slog::Logger) -> Result<(), String> {
    let (control, open_connections) = (Arc::new(control), Arc::new(AtomicUsize::new(0)));
    threads::start("control", move || {
        for stream in listener.incoming().flatten() {
            if open_connections.fetch_add(1, Ordering::AcqRel) >= MAX_CONNECTIONS {
                open_connections.fetch_sub(1, Ordering::AcqRel);
                let _ =
                    (&stream).write_all(&frame(&error_reply("too many connections to the control socket")));
                continue;
            }
            let (control, its_open_connections, its_log) =
                (control.clone(), open_connections.clone(), log.clone());
            let started = threads::start("control connection", move || {
                if let Err(why) = control.handle(stream) {
                    slog::debug!(its_log, "control connection failed"; "why" => why);
                }
                its_open_connections.fetch_sub(1, Ordering::AcqRel);
            });
            if let Err(why) = started {
                slog::warn!(log, "a control connection is closed"; "why" => why);
                open_connections.fetch_sub(1, Ordering::AcqRel);
            }
        }
    })
}

impl Control {
    /// Sends a message through the clock, because only the worker's own thread may wake an actor directly.
    fn send_to_membership(&self, membership: &membership::Handle, message: MembershipMessage) {
        let membership = membership.clone();
        self.clock.run_at(Duration::ZERO, move || membership.send(message));
    }

    /// Answers the requests of one connection until it closes, fails or times out.
    fn handle(&self, mut stream: UnixStream) -> Result<(), String> {
        let failed = |e: std::io::Error| e.to_string();
        stream.set_read_timeout(Some(TIMEOUT)).map_err(failed)?;
        stream.set_write_timeout(Some(TIMEOUT)).map_err(failed)?;
        let (mut frames, mut buffer) = (Frames::default(), [0; 4096]);
        loop {
            let request = match frames.next_frame() {
                Ok(Some(request)) => request,
                Ok(None) => match read(&mut stream, &mut buffer).map_err(failed)? {
                    0 => return Ok(()),
                    n => {
                        frames.take(&buffer[..n]);
                        continue;
                    }
                },
                Err(why) => {
                    let _ = stream.write_all(&frame(&error_reply(&why)));
                    return Err(why);
                }
            };
            let answer = self.answer(&request).map_or_else(|why| error_reply(&why), ok_reply);
            write_all(&mut stream, &frame(&answer)).map_err(failed)?;
        }
    }

    fn answer(&self, request: &Value) -> Result<Value, String> {
        let group = || request["group"].as_u64().ok_or_else(|| "expected a number in group".to_owned());
        match request["do"].as_str() {
            Some("status") => {
                let (reply, response) = sync_channel(1);
                self.clock.post(
                    &self.dispatcher,
                    DispatcherMessage::Status {
                        group: request["group"].as_u64(),
                        max_groups: MAX_GROUPS,
                        reply,
                    },
                );
                let mut status = response
                    .recv_timeout(TIMEOUT)
                    .map_err(|_| "the dispatcher did not answer in time".to_owned())?;
                status["counters"] = counters(&self.counters.to_string());
                status["pid"] = std::process::id().into();
                Ok(status)
            }
            Some(what @ ("move" | "cancel")) if self.fleet_tasks => {
                let membership =
                    self.membership.as_ref().ok_or("membership is off: the log has the reason")?;
                let (reply, response) = sync_channel(1);
                let successor = request["to"].as_str().map(str::to_owned);
                self.send_to_membership(
                    membership,
                    MembershipMessage::ChangePrimary {
                        group: group()?,
                        successor,
                        cancel: what == "cancel",
                        reply,
                    },
                );
                let answer = response
                    .recv_timeout(HOLD_TIMEOUT)
                    .map_err(|_| "not all fronts hold writes yet: see fleet duties")?;
                answer.map(Value::from)
            }
            Some("roll") => {
                let membership =
                    self.membership.as_ref().filter(|_| self.fleet_tasks).ok_or(membership::TASKS_OFF)?;
                let (reply, response) = sync_channel(1);
                let (program, cancel) =
                    (request["program"].as_str().map(str::to_owned), request["off"] == true);
                let at_once = request["at_once"].as_u64().unwrap_or(1) as usize;
                self.send_to_membership(
                    membership,
                    MembershipMessage::RollingUpgrade { program, at_once, cancel, reply },
                );
                let answer =
                    response.recv_timeout(TIMEOUT).map_err(|_| "membership has no socket yet".to_owned())?;
                answer.map(Value::from)
            }
            Some("duties") => {
                let membership = self
                    .membership
                    .as_ref()
                    .ok_or("membership is off: see fellows in the operators' file")?;
                let (reply, response) = sync_channel(1);
                self.send_to_membership(membership, MembershipMessage::FleetTasks(reply));
                let tasks = response
                    .recv_timeout(TIMEOUT)
                    .map_err(|_| "membership has no socket yet: its address may be in use".to_owned())?;
                if tasks["off"] == true { Err(membership::TASKS_OFF.to_owned()) } else { Ok(tasks) }
            }
            Some(what @ ("move" | "cancel")) => {
                let (reply, response) = sync_channel(1);
                let successor = request["to"].as_str().map(str::to_owned);
                let change = DispatcherMessage::ChangePrimary {
                    group: group()?,
                    successor,
                    cancel: what == "cancel",
                    reply,
                };
                self.clock.post(&self.dispatcher, change);
                let answer = response
                    .recv_timeout(TIMEOUT)
                    .map_err(|_| "the dispatcher did not answer in time".to_owned())?;
                answer.map(Value::from)
            }
            Some("fleet") => {
                let membership = self
                    .membership
                    .as_ref()
                    .ok_or("membership is off: see fellows in the operators' file")?;
                let (reply, response) = sync_channel(1);
                self.send_to_membership(membership, MembershipMessage::Status(reply));
                response
                    .recv_timeout(TIMEOUT)
                    .map_err(|_| "membership has no socket yet: its address may be in use".to_owned())
            }
            Some("upgrade") => (self.upgrade)(request["program"].as_str()).map(|pid| json!({ "pid": pid })),
            Some(unknown) => Err(format!(
                "expected status, move, cancel, fleet, duties, roll or upgrade in do, found {unknown:?}"
            )),
            None => Err("expected a text in do".to_owned()),
        }
    }
}

/// Converts the printed counters to a JSON object.
fn counters(printed: &str) -> Value {
    let pairs = printed.split_whitespace().filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, count)| (name.to_owned(), count.parse::<u64>().unwrap_or(0).into()))
        .collect::<serde_json::Map<_, _>>()
        .into()
}

/// Reads what has arrived.
fn read(stream: &mut UnixStream, buffer: &mut [u8]) -> std::io::Result<usize> {
    retry_transient(|| stream.read(buffer))
}

fn write_all(stream: &mut UnixStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        match retry_transient(|| stream.write(bytes))? {
            0 => return Err(std::io::ErrorKind::WriteZero.into()),
            written => bytes = &bytes[written..],
        }
    }
    Ok(())
}

/// Repeats a call that is interrupted, or for which the kernel lacks memory, for at most `TIMEOUT`.
fn retry_transient(mut call: impl FnMut() -> std::io::Result<usize>) -> std::io::Result<usize> {
    let started_at = Instant::now();
    loop {
        match call() {
            Err(e) if is_retryable(&e) && started_at.elapsed() < TIMEOUT => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

fn is_retryable(error: &std::io::Error) -> bool {
    error.kind() == std::io::ErrorKind::Interrupted || is_transient(error)
}

/// Sends a request to a front through its control socket. The error is the front's own, or why there is no answer.
pub fn send_request(path: &Path, request: &Value, wait: Duration) -> Result<Value, String> {
    let failed = |e: std::io::Error| format!("control socket {}: {e}", path.display());
    let mut stream = UnixStream::connect(path).map_err(failed)?;
    stream.set_read_timeout(Some(wait)).map_err(failed)?;
    write_all(&mut stream, &frame(request)).map_err(failed)?;
    let (mut frames, mut buffer) = (Frames::default(), [0; 4096]);
    loop {
        if let Some(answer) = frames.next_frame()? {
            let good = answer["ok"].as_bool() == Some(true);
            let why = answer["why"].as_str().unwrap_or("the front refused the request");
            return if good { Ok(answer["is"].clone()) } else { Err(why.to_owned()) };
        }
        match read(&mut stream, &mut buffer).map_err(failed)? {
            0 => return Err("the front closed the connection without an answer".to_owned()),
            n => frames.take(&buffer[..n]),
        }
    }
}
