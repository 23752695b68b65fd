//! Statements that the front has written and that have not arrived: the kernel holds bytes of them while the member does
//! not read. A member executes a statement once its last byte has arrived, so whatever ends the permission to send it
//! must also keep the rest from arriving later.

use cluster::{PROGRAM, wait_until};
use juniperdock_test_support::wire::{field, parameter, read_message, ready};
use juniperdock_test_support::{
    Agent, Client, Front, TEST_TIMEOUT, WATCH, address, list, message, row, txn, unix_ms,
};
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

mod cluster;

/// The kernel takes all of such a statement, although the member's window has room for a small part of it.
const FITS_THE_KERNEL: usize = 12 << 10;
/// The kernel does not take all of such a statement: the front holds the rest.
const EXCEEDS_THE_KERNEL: usize = 64 << 10;
/// The member's receive buffer and segments, small so that a statement does not fit its window.
const RECEIVE_BUFFER: usize = 4096;
const SEGMENT: u32 = 1460;
/// Of a held statement the member reads this much before it stops.
const READ_AT_ONCE: usize = 512;

#[derive(Default)]
struct Script {
    /// The next statement is executed, and its connection ends without the answer.
    loses_next_answer: AtomicBool,
    /// Once an answer was lost, the next long statement is held.
    holds_repeat: AtomicBool,
    /// Statements whose answers are not lost take this long.
    work_ms: AtomicU64,
    /// The next long statement is held: not read on until [`Script::releases`].
    holds_next: AtomicBool,
    has_begun: AtomicBool,
    releases: AtomicBool,
    /// The held statement has come whole, or its connection has ended.
    is_over: AtomicBool,
    /// Positions are frozen here, in milliseconds since 1970.
    position: Mutex<Option<u128>>,
    /// Statements that came whole, except probes: when, and the label of each.
    arrived: Mutex<Vec<(Instant, String)>>,
}

/// A member that can stop reading in the middle of a statement.
struct NarrowMember {
    at: SocketAddr,
    is_primary: bool,
    script: Arc<Script>,
}

impl NarrowMember {
    fn start(is_primary: bool) -> NarrowMember {
        let at = address();
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("a small buffer");
        socket.set_mss(SEGMENT).expect("small segments");
        socket.bind(&SockAddr::from(at)).expect("a free address");
        socket.listen(128).expect("a listener");
        let listener = TcpListener::from(socket);
        let script = Arc::<Script>::default();
        let shared = script.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let script = shared.clone();
                std::thread::spawn(move || serve(stream, is_primary, &script));
            }
        });
        NarrowMember { at, is_primary, script }
    }

    /// How many statements with this label came whole.
    fn arrivals(&self, label: &str) -> usize {
        let arrived = self.script.arrived.lock().expect("no thread panicked with the lock");
        arrived.iter().filter(|(_, of)| of == label).count()
    }

    /// Lets the held statement be read on; returns once it has come whole or its connection has ended.
    fn release(&self) {
        self.script.releases.store(true, Ordering::SeqCst);
        wait_until(|| self.script.is_over.load(Ordering::SeqCst));
    }

    fn freeze_position(&self) {
        *self.script.position.lock().expect("no thread panicked with the lock") = Some(unix_ms());
    }
}

fn serve(mut stream: TcpStream, is_primary: bool, script: &Script) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    read_message(&mut stream, false)?;
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat()).ok()?;
    loop {
        let text = read_statement(&mut stream, script)?;
        let position = script.position.lock().expect("no thread panicked with the lock").unwrap_or(unix_ms());
        let value = if text == "SHOW server_load" {
            format!("x0={:.3},x1={},q=0,busy=0.1", position as f64 / 1000.0, u8::from(is_primary))
        } else {
            let label = field(&text, "test_id").unwrap_or_default().to_owned();
            script.arrived.lock().expect("no thread panicked with the lock").push((Instant::now(), label));
            if script.loses_next_answer.swap(false, Ordering::SeqCst) {
                let holds = script.holds_repeat.load(Ordering::SeqCst);
                script.holds_next.store(holds, Ordering::SeqCst);
                return None;
            }
            std::thread::sleep(Duration::from_millis(script.work_ms.load(Ordering::SeqCst)));
            "done".to_owned()
        };
        let role = parameter("node_role", if is_primary { "leader" } else { "follower" });
        stream.write_all(&[row(value.as_bytes()), role, ready()].concat()).ok()?;
    }
}

/// Reads a statement; stops in the middle of a long one if it is to be held.
fn read_statement(stream: &mut TcpStream, script: &Script) -> Option<String> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4;
    let mut body = vec![0; length];
    let mut read = 0;
    let is_held = length > READ_AT_ONCE && script.holds_next.swap(false, Ordering::SeqCst);
    if is_held {
        read = READ_AT_ONCE;
        stream.read_exact(&mut body[..read]).ok()?;
        script.has_begun.store(true, Ordering::SeqCst);
        wait_until(|| script.releases.load(Ordering::SeqCst));
    }
    let rest = stream.read_exact(&mut body[read..]);
    if is_held {
        let label = field(&String::from_utf8_lossy(&body), "test_id").unwrap_or_default().to_owned();
        if rest.is_ok() {
            script.arrived.lock().expect("no thread panicked with the lock").push((Instant::now(), label));
        }
        script.is_over.store(true, Ordering::SeqCst);
        return None;
    }
    rest.ok()?;
    (head[0] == b'Q').then(|| String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned())
}

/// A front before these members, and the service that lists them.
struct Setting {
    _agent: Agent,
    front: Front,
}

impl Setting {
    fn start(members: &[&NarrowMember]) -> Setting {
        let names = ["m-0", "m-1", "m-2"];
        let entries: Vec<_> =
            members.iter().zip(names).map(|(member, name)| (name, member.at, "up")).collect();
        let known = list(1, true, &entries);
        let agent = Agent::start(WATCH);
        let config = Front::config(&known, 1024).replace("\"Window\":2000.0", "\"Window\":800.0");
        let front = Front::start_with_config(PROGRAM, address(), agent.at, &config, None);
        let setting = Setting { _agent: agent, front };
        let primary = members.iter().find(|member| member.is_primary).expect("a primary");
        let mut client = setting.front.client();
        wait_until(|| client.query(&txn("order", 4000, "warm-up")).value.is_some());
        assert!(primary.arrivals("warm-up") > 0);
        setting
    }

    /// Sends a statement from a client of its own.
    fn send(&self, text: &str) -> Client {
        let mut client = self.front.client();
        client.send(text);
        client
    }
}

/// A statement with a value of this many bytes.
fn long_txn(kind: &str, ms: u32, label: &str, bytes: usize) -> String {
    let text = txn(kind, ms, label);
    if kind == "lookup" {
        text.replace("7f3a", &"7f".repeat(bytes))
    } else {
        text.replace("9f03", &"5a".repeat(bytes))
    }
}

/// Guards against a repeat of a referenced write that arrives after the stores' window, and so runs a second time.
fn repeat_held_past_its_window_does_not_arrive(bytes: usize) {
    let member = NarrowMember::start(true);
    let setting = Setting::start(&[&member]);
    member.script.loses_next_answer.store(true, Ordering::SeqCst);
    member.script.holds_repeat.store(true, Ordering::SeqCst);
    let sent_at = Instant::now();
    let mut client = setting.send(&long_txn("mark", 4000, "held", bytes));
    wait_until(|| member.script.has_begun.load(Ordering::SeqCst));
    let reply = client.reply();
    let took = sent_at.elapsed();
    assert!(reply.value.is_none() && reply.code.is_some(), "{reply:?}");
    assert!(took < Duration::from_millis(2000), "it is answered once the window is over, not after {took:?}");
    std::thread::sleep(Duration::from_millis(1100).saturating_sub(sent_at.elapsed()));
    member.release();
    assert_eq!(member.arrivals("held"), 1, "the repeat runs a second time");
}

#[test]
fn repeat_in_the_kernel_does_not_arrive_after_its_window() {
    repeat_held_past_its_window_does_not_arrive(FITS_THE_KERNEL);
}

#[test]
fn repeat_that_exceeds_the_kernel_is_not_written_on_after_its_window() {
    repeat_held_past_its_window_does_not_arrive(EXCEEDS_THE_KERNEL);
}

/// Guards against an attempt that begins after its client has left.
fn statement_of_a_client_that_left_does_not_arrive(bytes: usize) {
    let member = NarrowMember::start(true);
    let setting = Setting::start(&[&member]);
    member.script.holds_next.store(true, Ordering::SeqCst);
    let client = setting.send(&long_txn("order", 4000, "held", bytes));
    wait_until(|| member.script.has_begun.load(Ordering::SeqCst));
    drop(client);
    std::thread::sleep(Duration::from_millis(300));
    member.release();
    assert_eq!(member.arrivals("held"), 0, "it runs for a client that has left");
}

#[test]
fn statement_in_the_kernel_does_not_arrive_after_its_client_left() {
    statement_of_a_client_that_left_does_not_arrive(FITS_THE_KERNEL);
}

#[test]
fn statement_that_exceeds_the_kernel_is_not_written_on_after_its_client_left() {
    statement_of_a_client_that_left_does_not_arrive(EXCEEDS_THE_KERNEL);
}

/// Guards against an attempt that begins after its request was answered.
fn statement_held_past_its_deadline_does_not_arrive(bytes: usize) {
    let member = NarrowMember::start(true);
    let setting = Setting::start(&[&member]);
    member.script.holds_next.store(true, Ordering::SeqCst);
    let mut client = setting.send(&long_txn("order", 600, "held", bytes));
    wait_until(|| member.script.has_begun.load(Ordering::SeqCst));
    let reply = client.reply();
    assert!(reply.value.is_none() && reply.code.is_some(), "{reply:?}");
    std::thread::sleep(Duration::from_millis(100));
    member.release();
    assert_eq!(member.arrivals("held"), 0, "it runs after the answer");
}

#[test]
fn statement_in_the_kernel_does_not_arrive_after_its_answer() {
    statement_held_past_its_deadline_does_not_arrive(FITS_THE_KERNEL);
}

#[test]
fn statement_that_exceeds_the_kernel_is_not_written_on_after_its_answer() {
    statement_held_past_its_deadline_does_not_arrive(EXCEEDS_THE_KERNEL);
}

/// Guards against an attempt that begins after the process that sent it was killed: its client asks elsewhere.
#[test]
fn statement_in_the_kernel_does_not_arrive_after_its_process_was_killed() {
    let member = NarrowMember::start(true);
    let setting = Setting::start(&[&member]);
    member.script.holds_next.store(true, Ordering::SeqCst);
    let mut client = setting.send(&long_txn("order", 4000, "held", FITS_THE_KERNEL));
    wait_until(|| member.script.has_begun.load(Ordering::SeqCst));
    setting.front.signal("-KILL");
    assert_eq!(client.reply().last, 0, "the connection ends");
    std::thread::sleep(Duration::from_millis(100));
    member.release();
    assert_eq!(member.arrivals("held"), 0, "it runs although its process is gone");
}

/// Guards against a read that arrives at a replica whose data was proven to be recent enough when it was written, and is
/// too old by then: a bound counts from the last byte of the send.
#[test]
fn bounded_read_in_the_kernel_does_not_arrive_after_its_proof() {
    let (primary, replica) = (NarrowMember::start(true), NarrowMember::start(false));
    let setting = Setting::start(&[&primary, &replica]);
    let mut client = setting.front.client();
    let started_at = Instant::now();
    // Until one goes to the replica.
    wait_until(|| {
        replica.script.holds_next.store(true, Ordering::SeqCst);
        client.try_send(&long_txn("lookup", 4000, "held", FITS_THE_KERNEL));
        wait_until(|| {
            replica.script.has_begun.load(Ordering::SeqCst)
                || is_readable(&client.stream)
                || started_at.elapsed() > TEST_TIMEOUT
        });
        let is_held = replica.script.has_begun.load(Ordering::SeqCst);
        if !is_held {
            client.reply();
        }
        is_held
    });
    replica.freeze_position();
    let reply = client.reply();
    // Its bound is 300 ms; the replica's position has been the same for longer.
    std::thread::sleep(Duration::from_millis(400));
    replica.release();
    assert_eq!(replica.arrivals("held"), 0, "it is answered from data that is too old");
    assert!(reply.value.is_some(), "another member has served it: {reply:?}");
}

/// Whether something can be read from a stream at once.
fn is_readable(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    peeked.is_ok()
}

/// Guards against withdrawing what has arrived: a member that works on a repeat past its window is waited for.
#[test]
fn repeat_that_has_arrived_is_waited_for_after_its_window() {
    const WORK_MS: u64 = 1200;
    let member = NarrowMember::start(true);
    let setting = Setting::start(&[&member]);
    member.script.loses_next_answer.store(true, Ordering::SeqCst);
    member.script.work_ms.store(WORK_MS, Ordering::SeqCst);
    let sent_at = Instant::now();
    let reply = setting.send(&txn("mark", 4000, "repeated")).reply();
    assert!(reply.value.is_some() && sent_at.elapsed() >= Duration::from_millis(WORK_MS), "{reply:?}");
    assert_eq!(member.arrivals("repeated"), 2);
}
