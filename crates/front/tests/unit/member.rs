//! A member's pool and its connections, one step at a time.

use super::reply::parse_report;
use super::*;
use crate::memory::Memory;
use crate::request_log::ServerCloseReason;
use juniperdock_deployment::Origin;
use juniperdock_request_guard::{ClientPresence, RequestGuard};
use juniperdock_router::host::Role;
use std::net::TcpStream;

fn context(dispatcher: Sender<DispatcherMessage>) -> PoolContext {
    let (clock, run_timers) = Clock::start(Duration::ZERO).expect("a clock");
    spawn("timers", 64 << 10, run_timers).expect("a coroutine");
    let second = Duration::from_secs(1);
    PoolContext {
        clock,
        dispatcher,
        counters: Arc::default(),
        log: slog::Logger::root(slog::Discard, slog::o!()),
        request_log: RequestLog::new(slog::Logger::root(slog::Discard, slog::o!()), false),
        connect_timeout: second,
        idle_timeout: 15 * second,
        stack_bytes: 64 << 10,
        open_connections: Arc::default(),
        max_connections: 0,
        memory: Memory::new(None),
        max_message_bytes: pg::MAX_MESSAGE_LEN,
    }
}

/// A client that never leaves.
struct Stays;

impl ClientPresence for Stays {
    fn has_left(&self) -> bool {
        false
    }
}

fn guard() -> RequestGuard {
    RequestGuard::new(Duration::from_secs(3600), Box::new(Stays), Arc::default())
}

fn submit(until: Duration) -> Job {
    submit_with(&guard(), until)
}

fn submit_with(guard: &RequestGuard, until: Duration) -> Job {
    let (statement, left, at) = ("".into(), 0..0, Duration::ZERO);
    let deadline = Duration::from_secs(3600);
    let permit = guard.permit(until);
    Job::Submit(Box::new(crate::messages::Submit { request_id: 7, statement, left, deadline, permit, at }))
}

#[test]
fn messages_behind_a_removal_are_handled() {
    let ((sender, receiver), (dispatcher, reported)) = (channel(), channel());
    let member =
        MemberPool::new(3, SocketAddr::from(([127, 0, 0, 1], 1)), sender.clone(), context(dispatcher));
    // Both at once: the list removes the member, and the router still probes it. The limit allows no connection.
    let _ = sender.send(MemberMessage::Removed);
    let _ = sender.send(MemberMessage::Job(Job::Probe { at: Duration::ZERO }));
    member.run(&receiver);
    let full = |message| {
        matches!(message, DispatcherMessage::Probed { member: 3, outcome: AttemptOutcome::Full, .. })
    };
    assert!(reported.try_iter().any(full), "the outcome of the probe is reported");
}

#[test]
fn no_connection_is_opened_for_an_expired_permit() {
    let ((sender, _receiver), (dispatcher, reported)) = (channel(), channel());
    let mut context = context(dispatcher);
    context.max_connections = 9;
    let mut member = MemberPool::new(3, SocketAddr::from(([127, 0, 0, 1], 1)), sender, context);
    member.handle(MemberMessage::Job(submit(Duration::ZERO)));
    assert!(member.connections.is_empty(), "no connection is opened");
    let moot = |message| matches!(message, DispatcherMessage::AttemptEnded(end) if end.request_id == 7 && end.outcome == AttemptOutcome::Moot);
    assert!(reported.try_iter().any(moot));
}

#[test]
fn cancel_check_keeps_other_messages() {
    let ((pool, _pool), (dispatcher, _dispatcher), (sender, receiver)) = (channel(), channel(), channel());
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let connection = ServerConnection::new(1, 3, address, pool, context(dispatcher), receiver);
    let job = submit(Duration::MAX);
    for request_id in [8, 9] {
        let _ = sender.send(ConnectionMessage::Cancel(request_id));
    }
    let _ = sender.send(ConnectionMessage::Close);
    assert!(!connection.cancelled(&job), "another's");
    let _ = sender.send(ConnectionMessage::Cancel(7));
    assert!(connection.cancelled(&job));
    drop(sender);
    let mut left = std::iter::from_fn(|| connection.next_message().ok());
    assert!(left.any(|message| matches!(message, ConnectionMessage::Close)), "Close is still delivered");
    assert!(connection.next_message().is_err());
}

#[test]
fn report_of_a_member_that_made_none_has_no_role() {
    let origin = Origin { start: 1_796_135_196_000_000, zero: 0 };
    let reported = |text| parse_report(text, &origin).expect("a report");
    let none = reported("x0=0.000,x1=0,q=0,busy=0");
    assert!(none.role.is_none() && none.position.is_none());
    assert!(reported("").role.is_none());
    let made = reported("x0=1796135196.444,x1=1,q=0,busy=0.056");
    assert_eq!((made.role, made.position), (Some(Role::Primary), Some(Duration::from_millis(444))));
    assert!(parse_report("x0=soon", &origin).is_err());
}

/// Carries one job over a connection of its own, as its coroutine does; returns the messages to the dispatcher.
fn carry(address: SocketAddr, messages: Receiver<ConnectionMessage>) -> Vec<DispatcherMessage> {
    carry_job(submit(Duration::from_secs(3600)), address, messages)
}

fn carry_job(job: Job, address: SocketAddr, messages: Receiver<ConnectionMessage>) -> Vec<DispatcherMessage> {
    let ((pool, _pool), (dispatcher, reported)) = (channel(), channel());
    let (ended, end) = std::sync::mpsc::channel();
    let context = context(dispatcher);
    spawn("line", context.stack_bytes, move || {
        let connection = ServerConnection::new(1, 3, address, pool, context, messages);
        connection.serve_jobs(&mut Some(job), None);
        let _ = ended.send(());
    })
    .expect("a coroutine");
    end.recv_timeout(Duration::from_secs(20)).expect("it ends");
    reported.try_iter().collect()
}

fn is_moot(message: &DispatcherMessage) -> bool {
    matches!(message, DispatcherMessage::AttemptEnded(end) if end.request_id == 7 && end.outcome == AttemptOutcome::Moot)
}

/// A client of which so much is unread that it may have left.
struct Unread;

impl ClientPresence for Unread {
    fn has_left(&self) -> bool {
        false
    }

    fn may_have_left(&self) -> bool {
        true
    }
}

#[test]
fn request_whose_clients_end_may_be_unread_is_not_written_and_given_up() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free address");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = channel();
    let seen = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut all = vec![0; pg::startup("api", "ledger").len()];
        std::io::Read::read_exact(&mut stream, &mut all).expect("an opening");
        let mut welcome = Vec::new();
        pg::startup_response(&mut welcome);
        std::io::Write::write_all(&mut stream, &welcome).expect("it is open");
        drop(sender);
        let mut rest = Vec::new();
        let _ = std::io::Read::read_to_end(&mut stream, &mut rest);
        rest
    });
    let guard = RequestGuard::new(Duration::from_secs(3600), Box::new(Unread), Arc::default());
    let reported = carry_job(submit_with(&guard, Duration::from_secs(3600)), address, receiver);
    let given_up = |message: &DispatcherMessage| matches!(message, DispatcherMessage::ClientUnread(7));
    assert!(reported.iter().any(given_up) && reported.iter().any(is_moot));
    assert_eq!(seen.join().expect("no panic"), b"", "nothing but the startup was written");
}

#[test]
fn request_cancelled_during_the_handshake_is_not_written() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free address");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = channel();
    let seen = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut all = vec![0; pg::startup("api", "ledger").len()];
        std::io::Read::read_exact(&mut stream, &mut all).expect("an opening");
        // The waker is not used: the cancellation is in the queue when the welcome arrives.
        let _ = sender.send(ConnectionMessage::Cancel(7));
        drop(sender);
        let mut welcome = Vec::new();
        pg::startup_response(&mut welcome);
        let _ = std::io::Write::write_all(&mut stream, &welcome);
        let _ = std::io::Read::read_to_end(&mut stream, &mut all);
        all
    });
    assert!(carry(address, receiver).iter().any(is_moot), "it never ran");
    assert_eq!(seen.join().expect("an end"), pg::startup("api", "ledger"), "nothing but the opening");
}

#[test]
fn no_connection_is_opened_for_a_request_cancelled_before() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free address");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = channel();
    let _ = sender.send(ConnectionMessage::Cancel(7));
    assert!(carry(address, receiver).iter().any(is_moot), "it never ran");
    listener.set_nonblocking(true).expect("a socket");
    assert!(listener.accept().is_err(), "no connection is opened");
}

/// Adopts a connection that the previous process had used, with a job in the queue already. The member sends what looks
/// like a second copy of its last answer as soon as a statement comes, or after 2 ms. Returns whether the job came back
/// to the pool unwritten and whether a statement came too soon; `None` if the copy was sent too late to count.
fn adopt_with_a_copy_on_its_way() -> Option<(bool, bool)> {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free address");
    let address = listener.local_addr().expect("an address");
    let adopted = TcpStream::connect(address).expect("a connection");
    adopted.set_nonblocking(true).expect("a socket");
    let (mut member, _) = listener.accept().expect("a connection");
    let ((pool, at_pool), (dispatcher, _reported)) = (channel(), channel());
    let (sender, messages) = channel();
    let _ = sender.send(ConnectionMessage::Job(submit(Duration::from_secs(3600))));
    let context = context(dispatcher);
    let (ended, end) = std::sync::mpsc::channel();
    let adopted_at = std::time::Instant::now();
    spawn("line", context.stack_bytes, move || {
        let connection = ServerConnection::new(1, 3, address, pool, context, messages);
        let why = connection.serve_jobs(&mut None, Some(adopted));
        let _ = ended.send(why);
    })
    .expect("a coroutine");
    member.set_nonblocking(true).expect("a socket");
    let mut has_statement = false;
    while !has_statement && adopted_at.elapsed() < Duration::from_millis(2) {
        has_statement = member.read(&mut [0]).is_ok();
    }
    let is_early = has_statement && adopted_at.elapsed() < MIN_IDLE_BEFORE_REUSE;
    let mut copy = Vec::new();
    pg::ready(&mut copy);
    let _ = member.write_all(&copy);
    let in_time = adopted_at.elapsed() < MIN_IDLE_BEFORE_REUSE;
    // Unless it has returned the job, the connection waits for an answer.
    let why = end.recv_timeout(Duration::from_millis(if is_early { 0 } else { 20_000 }));
    let returned = at_pool.try_iter().any(|message| matches!(message, MemberMessage::Job(_)));
    in_time.then_some((returned && why == Ok(ServerCloseReason::UnexpectedBytes), is_early))
}

/// Guards against using a connection of the previous process at once, which may just have carried an answer.
#[test]
fn adopted_connection_is_not_used_before_it_has_been_idle() {
    let seen = (0..50).find_map(|_| adopt_with_a_copy_on_its_way());
    assert_eq!(seen, Some((true, false)), "the job went back to the pool, no statement came too soon");
}

/// Guards against taking a row for a statement's answer that came while the statement was not written whole.
#[test]
fn row_that_comes_before_the_statement_is_written_is_not_its_answer() {
    use std::io::{Read, Write};
    const SMALL_BUFFER: usize = 4096;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free address");
    socket2::SockRef::from(&listener).set_recv_buffer_size(SMALL_BUFFER).expect("a socket");
    let adopted = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    socket2::SockRef::from(&adopted).set_send_buffer_size(SMALL_BUFFER).expect("a socket");
    adopted.set_nonblocking(true).expect("a socket");
    let (mut member, _) = listener.accept().expect("a connection");
    let ((pool, _at_pool), (dispatcher, reported)) = (channel(), channel());
    let (sender, messages) = channel();
    let mut job = submit(Duration::from_secs(3600));
    if let Job::Submit(submit) = &mut job {
        submit.statement = "x".repeat(200 << 10).into();
    }
    let _ = sender.send(ConnectionMessage::Job(job));
    let context = context(dispatcher);
    spawn("line", context.stack_bytes, move || {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        ServerConnection::new(1, 3, address, pool, context, messages).serve_jobs(&mut None, Some(adopted));
    })
    .expect("a coroutine");
    // The first byte shows that the statement is being written; most of it finds no room.
    member.set_read_timeout(Some(Duration::from_secs(20))).expect("a time");
    member.read_exact(&mut [0]).expect("the statement begins");
    let answer = juniperdock_test_support::row(b"another's");
    member.write_all(&answer).expect("the row");
    // Time for the row to be read; the rest of the statement is taken in only now.
    std::thread::sleep(Duration::from_millis(50));
    let reader = std::thread::spawn(move || {
        let mut ready = Vec::new();
        pg::ready(&mut ready);
        let _ = member.read_exact(&mut vec![0; 200 << 10]);
        let _ = member.write_all(&ready);
        let _ = member.read_to_end(&mut Vec::new());
    });
    drop(sender);
    reader.join().expect("the connection ends");
    let ends: Vec<AttemptOutcome> = reported
        .try_iter()
        .filter_map(|message| match message {
            DispatcherMessage::AttemptEnded(end) => Some(end.outcome),
            _ => None,
        })
        .collect();
    assert!(matches!(ends[..], [AttemptOutcome::Spoilt]), "one end without an answer");
}

/// Plays a member that answers a probe with a load report and the statement right behind it as told; returns the rows
/// that were served. The connection is not used again.
fn rows_behind_a_probe(answer: impl FnOnce(&mut TcpStream, &[u8]) + Send + 'static) -> Vec<Vec<u8>> {
    rows_of_statement_behind_a_probe("", |stream, report| {
        juniperdock_test_support::wire::read_message(stream, true).expect("a statement");
        answer(stream, report);
    })
}

/// Like [`rows_behind_a_probe`], for a given statement, which the member has not read.
fn rows_of_statement_behind_a_probe(
    statement: &str,
    answer: impl FnOnce(&mut TcpStream, &[u8]) + Send + 'static,
) -> Vec<Vec<u8>> {
    use juniperdock_test_support::row;
    use juniperdock_test_support::wire::{read_message, ready};
    use std::io::Write;
    // Small, so that a long statement is not written whole at once.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket.set_mss(1460).expect("small segments");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("a free address");
    socket.listen(1).expect("a listener");
    let listener = std::net::TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let member = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_message(&mut stream, false).expect("an opening");
        let mut welcome = Vec::new();
        pg::startup_response(&mut welcome);
        stream.write_all(&welcome).expect("a welcome");
        let report = [row(b"x0=0.000,x1=0,q=0,busy=0"), ready()].concat();
        read_message(&mut stream, true).expect("a probe");
        stream.write_all(&report).expect("its answer");
        answer(&mut stream, &report);
        read_message(&mut stream, true).is_none()
    });
    let ((pool, _at_pool), (dispatcher, reported)) = (channel(), channel());
    let (sender, messages) = channel();
    let mut job = submit(Duration::from_secs(3600));
    if let Job::Submit(submit) = &mut job {
        submit.statement = statement.into();
    }
    let _ = sender.send(ConnectionMessage::Job(job));
    let context = context(dispatcher);
    let (ended, end) = std::sync::mpsc::channel();
    spawn("line", context.stack_bytes, move || {
        let probe = Job::Probe { at: context.clock.now() };
        let connection = ServerConnection::new(1, 3, address, pool, context, messages);
        let _ = ended.send(connection.serve_jobs(&mut Some(probe), None));
    })
    .expect("a coroutine");
    assert_eq!(end.recv_timeout(Duration::from_secs(20)), Ok(ServerCloseReason::Unusable));
    assert!(member.join().expect("no panic"), "nothing more comes on that connection");
    let rows = reported.try_iter().filter_map(|message| match message {
        DispatcherMessage::AttemptEnded(end) => Some(end.row),
        _ => None,
    });
    let rows = rows.collect();
    drop(sender);
    rows
}

/// Guards against serving a member's second copy of its load report to the request whose statement comes right behind the
/// probe: such a statement is written at once.
#[test]
fn second_copy_of_a_load_report_is_not_the_answer_to_the_statement_behind_it() {
    use juniperdock_test_support::{row, wire::ready};
    use std::io::Write;
    let rows = rows_behind_a_probe(|stream, report| {
        // The copy crosses the statement.
        stream.write_all(report).expect("the copy");
        stream.write_all(&[row(b"own"), ready()].concat()).expect("the answer");
    });
    assert_eq!(rows, [row(b"own")], "one answer, the statement's own");
}

/// Guards against serving a second report with other figures.
#[test]
fn second_load_report_with_other_figures_is_not_the_answer_to_the_statement_behind_it() {
    use juniperdock_test_support::{row, wire::ready};
    use std::io::Write;
    let rows = rows_behind_a_probe(|stream, _| {
        stream.write_all(&[row(b"x0=0.500,x1=0,q=7,busy=0.25"), ready()].concat()).expect("a second report");
        stream.write_all(&[row(b"own"), ready()].concat()).expect("the answer");
    });
    assert_eq!(rows, [row(b"own")], "one answer, the statement's own");
}

/// Guards against the same where the statement is in work for longer than the front waits before it asks which of both
/// the equal bytes are.
#[test]
fn second_copy_of_a_load_report_is_told_from_a_slow_answer() {
    use juniperdock_test_support::{message, row, wire::read_message, wire::ready};
    use std::io::Write;
    let rows = rows_behind_a_probe(|stream, report| {
        stream.write_all(report).expect("the copy");
        assert_eq!(read_message(stream, true), Some((b'Q', vec![0])), "an empty query");
        stream.write_all(&[row(b"own"), ready()].concat()).expect("the answer");
        // The front has its answer by now and closes this connection, perhaps before this is written.
        let _ = stream.write_all(&[message(b'I', &[]), ready()].concat());
    });
    assert_eq!(rows, [row(b"own")], "one answer, the statement's own");
}

/// Guards against leaving out a statement's own answer as it equals the load report before it.
#[test]
fn answer_that_equals_the_load_report_is_served_once_the_member_has_nothing_else() {
    use juniperdock_test_support::{message, row, wire::read_message, wire::ready};
    use std::io::Write;
    let rows = rows_behind_a_probe(|stream, report| {
        stream.write_all(report).expect("the answer");
        assert_eq!(read_message(stream, true), Some((b'Q', vec![0])), "an empty query");
        stream.write_all(&[message(b'I', &[]), ready()].concat()).expect("the answer to the empty query");
    });
    assert_eq!(rows, [row(b"x0=0.000,x1=0,q=0,busy=0")]);
}

/// Guards against asking which of both a repeated report is while the statement is not whole yet: it can't be its answer.
#[test]
fn load_report_that_is_repeated_before_the_statement_is_whole_is_left_out() {
    use juniperdock_test_support::{row, wire::read_message, wire::ready};
    use std::io::Write;
    const STATEMENT_BYTES: usize = 256 << 10;
    // Longer than an ambiguous answer is kept without a marker.
    const STALL: Duration = Duration::from_millis(300);
    let rows = rows_of_statement_behind_a_probe(&"x".repeat(STATEMENT_BYTES), |stream, report| {
        stream.write_all(report).expect("the copy");
        std::thread::sleep(STALL);
        read_message(stream, true).expect("the statement");
        stream.write_all(&[row(b"own"), ready()].concat()).expect("the answer");
    });
    assert_eq!(rows, [row(b"own")], "one answer, the statement's own");
}
