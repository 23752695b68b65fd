//! When a connection to a member carries its next statement. Answers name no request, so what a member sends right
//! behind an answer must be read before the connection is used again (`docs/front.md`, Pools and budgets).

use cluster::{PROGRAM, wait_until};
use juniperdock_fault_controls::{Controls, preload};
use juniperdock_test_support::wire::{parameter, read_message, ready};
use juniperdock_test_support::{Agent, Front, WATCH, address, list, message, row, txn, unix_ms};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

mod cluster;

/// What a member sends right behind an answer arrives within this time, as `docs/front.md` says.
const MIN_IDLE: Duration = Duration::from_millis(3);
/// How long the member waits for a statement that comes too soon before it sends its second copy all the same.
const COPY_AFTER: Duration = Duration::from_millis(2);

/// What a [`CopyingMember`] has seen.
#[derive(Default)]
struct Seen {
    connections: AtomicUsize,
    open: AtomicUsize,
    most_open: AtomicUsize,
    /// Statements that came less than [`MIN_IDLE`] behind the answer to another.
    early: AtomicUsize,
    /// Second copies that were sent within [`MIN_IDLE`] of the answer.
    copies: AtomicUsize,
    /// Statements that were answered with the bytes of the load report before them.
    repeated_reports: AtomicUsize,
    /// Second copies that came later, as this thread was held up while it sent one: nothing can tell them from an
    /// answer.
    late_copies: AtomicUsize,
}

/// How a [`CopyingMember`] answers.
#[derive(Clone, Copy, PartialEq)]
enum Answers {
    /// Each txn with its statement as the row.
    Once,
    /// Likewise, and each answer a second time, those to probes too: as soon as the next statement comes on that
    /// connection, or after [`COPY_AFTER`] if none does.
    Twice,
    /// A txn right behind a probe with the very bytes of that load report, each other one with its statement.
    LastReport,
}

/// A primary that answers in one of several ways.
struct CopyingMember {
    at: SocketAddr,
    seen: Arc<Seen>,
}

impl CopyingMember {
    fn start(answers: Answers) -> CopyingMember {
        let listener = TcpListener::bind(address()).expect("a free address");
        let at = listener.local_addr().expect("an address");
        let seen = Arc::<Seen>::default();
        let shared = seen.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let seen = shared.clone();
                std::thread::spawn(move || {
                    seen.connections.fetch_add(1, Ordering::SeqCst);
                    let open = seen.open.fetch_add(1, Ordering::SeqCst) + 1;
                    seen.most_open.fetch_max(open, Ordering::SeqCst);
                    let _ = serve(stream, answers, &seen);
                    seen.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        CopyingMember { at, seen }
    }

    fn count(&self, of: impl Fn(&Seen) -> &AtomicUsize) -> usize {
        of(&self.seen).load(Ordering::SeqCst)
    }

    fn server_list(&self) -> String {
        list(1, true, &[("m-0", self.at, "up")])
    }
}

/// Serves one connection until it ends.
fn serve(mut stream: TcpStream, answers: Answers, seen: &Seen) -> Option<()> {
    use std::io::Write;
    stream.set_nodelay(true).ok()?;
    read_message(&mut stream, false)?;
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat()).ok()?;
    let mut answered_at: Option<Instant> = None;
    let mut last_report: Option<String> = None;
    while let Some((b'Q', body)) = read_message(&mut stream, true) {
        let early = answered_at.is_some_and(|at| at.elapsed() < MIN_IDLE);
        seen.early.fetch_add(usize::from(early), Ordering::SeqCst);
        let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
        if text.is_empty() {
            stream.write_all(&[message(b'I', &[]), ready()].concat()).ok()?;
            continue;
        }
        let is_probe = text == "SHOW server_load";
        let report = format!("x0={:.3},x1=1,q=0,busy=0.1", unix_ms() as f64 / 1000.0);
        let repeated = last_report.take().filter(|_| answers == Answers::LastReport && !is_probe);
        seen.repeated_reports.fetch_add(usize::from(repeated.is_some()), Ordering::SeqCst);
        let value = if is_probe { report.clone() } else { repeated.unwrap_or(text) };
        last_report = is_probe.then_some(report);
        let answer = [row(value.as_bytes()), parameter("node_role", "leader"), ready()].concat();
        // Taken before the answer can be read, so that what counts as too soon certainly is.
        let before = Instant::now();
        // A second copy of a load report is known by its bytes, so the connection may be used again at once.
        answered_at = (!is_probe).then_some(before);
        stream.write_all(&answer).ok()?;
        if answers == Answers::Twice {
            wait_for_statement(&stream, COPY_AFTER)?;
            if before.elapsed() < MIN_IDLE {
                stream.write_all(&answer).ok()?;
                if before.elapsed() >= MIN_IDLE {
                    seen.late_copies.fetch_add(1, Ordering::SeqCst);
                    return None;
                }
                seen.copies.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
    Some(())
}

/// Waits until a statement has come, or for this long; `None` if the connection has ended. Looks again and again, as a
/// time limit of the socket is only as exact as the kernel's tick.
fn wait_for_statement(stream: &TcpStream, most: Duration) -> Option<()> {
    let began = Instant::now();
    stream.set_nonblocking(true).ok()?;
    let mut peeked = stream.peek(&mut [0]);
    while peeked.is_err() && began.elapsed() < most {
        std::thread::yield_now();
        peeked = stream.peek(&mut [0]);
    }
    stream.set_nonblocking(false).ok()?;
    (!matches!(peeked, Ok(0))).then_some(())
}

/// Sends orders one right after the other and returns how many were answered with another's row, and how many got no
/// row.
fn run_orders(front: &Front, count: usize) -> (usize, usize) {
    let (mut foreign, mut without_row) = (0, 0);
    let mut client = front.client();
    for i in 0..count {
        match client.query(&txn("order", 4000, &format!("n{i}"))).value {
            Some(value) => {
                foreign += usize::from(!String::from_utf8_lossy(&value).contains(&format!("id=n{i},")))
            }
            None => without_row += 1,
        }
    }
    (foreign, without_row)
}

/// Like [`run_orders`], again if a copy came late: that play shows nothing.
fn run_orders_without_late_copies(member: &CopyingMember, front: &Front, count: usize) -> (usize, usize) {
    const MOST_PLAYS: usize = 5;
    for _ in 0..MOST_PLAYS {
        let before = member.count(|seen| &seen.late_copies);
        let result = run_orders(front, count);
        if member.count(|seen| &seen.late_copies) == before {
            return result;
        }
    }
    panic!("in each play a copy came late");
}

/// Guards against serving a member's second copy of an answer to the request that uses the connection next.
#[test]
fn second_copy_of_an_answer_is_never_served_to_the_next_request() {
    let member = CopyingMember::start(Answers::Twice);
    let agent = Agent::start(WATCH);
    let front = Front::start(PROGRAM, agent.at, &member.server_list(), 1024);
    wait_until(|| front.client().query(&txn("order", 4000, "first")).value.is_some());
    let (foreign, without_row) = run_orders_without_late_copies(&member, &front, 100);
    assert_eq!((foreign, without_row), (0, 0), "of 100 orders: another's row, no row");
    assert_eq!(member.count(|seen| &seen.early), 0, "statements that came too soon");
    assert!(member.count(|seen| &seen.copies) > 0, "no copy was sent in time");
}

/// Guards against opening connections where one will have been idle for long enough in a moment: there are never more
/// than requests at once.
#[test]
fn requests_in_a_row_use_no_more_connections_than_there_are_clients() {
    const CLIENTS: usize = 8;
    let member = CopyingMember::start(Answers::Once);
    let agent = Agent::start(WATCH);
    let front = Front::start(PROGRAM, agent.at, &member.server_list(), 1024);
    wait_until(|| front.client().query(&txn("order", 4000, "first")).value.is_some());
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| assert_eq!(run_orders(&front, 50), (0, 0), "of 50 orders: another's row, no row"));
        }
    });
    assert_eq!(member.count(|seen| &seen.early), 0, "statements that came too soon");
    // One more for a probe beside them.
    let most_open = member.count(|seen| &seen.most_open);
    assert!(most_open <= CLIENTS + 1, "{most_open} connections at once");
}

/// Guards against taking an idle connection for a clean one when the read that should have shown the second copy failed
/// for want of memory.
#[test]
fn second_copy_is_not_missed_while_reads_fail_for_want_of_memory() {
    let member = CopyingMember::start(Answers::Twice);
    let agent = Agent::start(WATCH);
    let path = std::env::temp_dir().join(format!("jd-reuse-{}", std::process::id()));
    Controls::default().write(&path).expect("a file");
    let environment = preload(&path).expect("the library");
    let config = Front::config(&member.server_list(), 1024);
    let front = Front::start_with_environment(PROGRAM, address(), agent.at, &config, None, &environment);
    wait_until(|| front.client().query(&txn("order", 4000, "first")).value.is_some());
    // Every other call on a socket fails.
    Controls { seed: 54, fails: 65_536 / 2, ..Controls::default() }.write(&path).expect("a file");
    let (foreign, _) = run_orders_without_late_copies(&member, &front, 150);
    Controls::default().write(&path).expect("a file");
    let _ = std::fs::remove_file(&path);
    assert_eq!(foreign, 0, "of 150 orders: another's row");
    assert!(member.count(|seen| &seen.copies) > 0, "no copy was sent in time");
}

/// Guards against taking a statement's own answer for a second copy of the load report before it: its request got no
/// row.
#[test]
fn answer_that_equals_the_load_report_before_it_is_served() {
    let member = CopyingMember::start(Answers::LastReport);
    let agent = Agent::start(WATCH);
    let front = Front::start(PROGRAM, agent.at, &member.server_list(), 1024);
    wait_until(|| front.client().query(&txn("order", 4000, "first")).value.is_some());
    let mut client = front.client();
    let mut sent = 0;
    wait_until(|| {
        sent += 1;
        let reply = client.query(&txn("order", 2000, &format!("n{sent}")));
        assert!(reply.value.is_some(), "order {sent}: {reply:?}");
        member.count(|seen| &seen.repeated_reports) > 0
    });
    let own = txn("order", 2000, "own")
        .split_inclusive("*/")
        .next()
        .map(|comment| format!("{comment} SHOW server_load"));
    let reply = client.query(&own.expect("a comment"));
    assert!(reply.value.is_some(), "a client's own request for the load report: {reply:?}");
}
