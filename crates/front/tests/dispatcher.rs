//! The dispatcher alone, surrounded by actors of the test.

use juniperdock_connection::{BufferLimits, Link};
use juniperdock_front::clock::Clock;
use juniperdock_front::counters::Counters;
use juniperdock_front::dispatcher::{Dispatcher, SpawnMember};
use juniperdock_front::mailbox::Mailbox;
use juniperdock_front::messages::{
    Answer, Arrival, DiscoveryMessage, DispatcherMessage, Job, MemberMessage, ToldWrite,
};
use juniperdock_front::request_log::RequestLog;
use juniperdock_front::runtime_state::{Peer, RuntimeState, Update};
use juniperdock_request_guard::{ClientPresence, RequestGuard};
use juniperdock_router::host::AttemptOutcome;
use juniperdock_router::host::Role;
use juniperdock_router::host::{ColdStart, Consistency, Effect, FrontInfo, Report, TxnType};
use juniperdock_router::routing::Router;
use juniperdock_runtime_state::{Change, InferredRestart};
use juniperdock_server_list::{ProbeLimits, ProbeQueue, ServerList};
use may::sync::mpsc::{Receiver, Sender, channel};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// An address at which nothing listens.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// What replaces the router.
const REPLACEMENTS: [fn() -> DispatcherMessage; 2] =
    [|| DispatcherMessage::ClockAdvanced(Duration::from_secs(3)), panicking_input];

fn list() -> ServerList {
    let entry = format!(r#"{{"id":"m","addr":"{NOWHERE}","cell":3,"state":"up"}}"#);
    let text = format!(r#"{{"version":1,"full":true,"servers":[{entry}]}}"#);
    ServerList::parse(text.as_bytes()).expect("a list")
}

/// A list of one server that has this state and start.
fn list_started(state: &str, started_ms: i64) -> ServerList {
    let entry =
        format!(r#"{{"id":"m","addr":"127.0.0.1:1","cell":3,"state":"{state}","started_ms":{started_ms}}}"#);
    let text = format!(r#"{{"version":{started_ms},"full":true,"servers":[{entry}]}}"#);
    ServerList::parse(text.as_bytes()).expect("a list")
}

/// An input with which any router panics.
fn panicking_input() -> DispatcherMessage {
    DispatcherMessage::Probed { member: 99, outcome: AttemptOutcome::Committed, report: Report::default() }
}

/// The server has answered a probe with this report.
fn probed(report: Report) -> DispatcherMessage {
    DispatcherMessage::Probed { member: 0, outcome: AttemptOutcome::Committed, report }
}

/// A client that does not leave.
struct Stays;

impl ClientPresence for Stays {
    fn has_left(&self) -> bool {
        false
    }
}

/// An order that came in at that time.
fn arrival(
    request_id: u64,
    at: Duration,
    expiry: Duration,
    client: Mailbox<(u64, Answer)>,
) -> DispatcherMessage {
    let (txn_type, group, statement, left) = (0, 3, "".into(), 0..0);
    let (retried, session, told_write, write_answered) = (false, None, ToldWrite::Untold, None);
    let guard = RequestGuard::new(expiry, Box::new(Stays), Arc::default());
    DispatcherMessage::RequestArrived(Box::new(Arrival {
        request_id,
        at,
        txn_type,
        group,
        expiry,
        retried,
        session,
        told_write,
        write_answered,
        statement,
        left,
        client,
        guard,
    }))
}

fn probes() -> ProbeQueue {
    ProbeQueue::new(1, ProbeLimits::for_connections(100))
}

fn make_router() -> Result<Router, String> {
    let sla = Duration::from_secs(1);
    let (effect, consistency) = (Effect::OnceOnly, Consistency::Write);
    let txn_types = vec![TxnType { sla, value: 1.0, late_value: 0.0, effect, consistency }];
    let cold = ColdStart { share: 1.0, warm_up: sla, multiple: 2.0, window: sla };
    Ok(Router::new(1, FrontInfo { index: 0, fronts: 1, zone: 0 }, txn_types, cold))
}

fn link_to(at: SocketAddr) -> Link {
    let stream = std::net::TcpStream::connect(at).expect("a connection");
    Link::new(stream, BufferLimits { inbound: 1, outbound: 1 }).expect("a link")
}

/// A client, whose answers come to the test.
struct TestClient {
    link: Link,
    answers: Sender<Box<(u64, Answer)>>,
    received: Receiver<Box<(u64, Answer)>>,
    _listener: TcpListener,
}

impl TestClient {
    fn connect() -> TestClient {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free address");
        let link = link_to(listener.local_addr().expect("an address"));
        let (answers, received) = channel();
        TestClient { link, answers, received, _listener: listener }
    }

    fn mailbox(&self) -> Mailbox<(u64, Answer)> {
        Mailbox { sender: self.answers.clone(), waker: self.link.waker() }
    }
}

/// A dispatcher on a thread of its own.
struct Started {
    clock: Clock,
    sender: Sender<DispatcherMessage>,
    counters: Arc<Counters>,
    runtime_state: Arc<RuntimeState>,
    _discovery: Receiver<DiscoveryMessage>,
}

impl Started {
    fn send(&self, message: DispatcherMessage) {
        let _ = self.sender.send(message);
    }

    /// Returns once all messages that were sent before have been handled.
    fn wait_until_handled(&self) {
        let (reply, done) = channel();
        self.send(DispatcherMessage::Barrier(reply));
        let _ = done.recv();
    }

    /// Names one server and reports that it is its group's primary.
    fn add_primary(&self) {
        self.send(DispatcherMessage::List(list()));
        let position = Some(self.clock.now());
        self.send(probed(Report { role: Some(Role::Primary), position, ..Report::default() }));
    }

    /// The restarts of servers that this process tells the next one.
    fn told_restarts(&self) -> Vec<InferredRestart> {
        let updates = self.runtime_state.subscribe(Peer::Successor);
        self.send(DispatcherMessage::SendInitialState);
        loop {
            if let Update::Change(Change::InferredRestarts(restarts)) = updates.recv().expect("the state") {
                return restarts;
            }
        }
    }
}

fn start(spawn_member: SpawnMember) -> Started {
    let (clock, _run_timers) = Clock::start(Duration::ZERO).expect("a clock");
    let ((sender, messages), (discovery, _discovery)) = (channel(), channel());
    let (counters, runtime_state) = (Arc::new(Counters::default()), Arc::<RuntimeState>::default());
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let dispatcher = Dispatcher::new(
        Box::new(make_router),
        vec!["order".to_owned()],
        Vec::new(),
        clock.clone(),
        sender.clone(),
        discovery,
        spawn_member,
        probes(),
        counters.clone(),
        log.clone(),
        RequestLog::new(log, false),
        runtime_state.clone(),
    );
    let dispatcher = dispatcher.expect("a dispatcher");
    std::thread::spawn(move || dispatcher.run(&messages));
    Started { clock, sender, counters, runtime_state, _discovery }
}

/// Members' actors that hand all their messages to the test: jobs stay unwritten.
fn recorded_members() -> (SpawnMember, Receiver<MemberMessage>) {
    let (jobs, received) = channel();
    let spawn_member: SpawnMember = Box::new(move |_, _, receiver, _| {
        let jobs = jobs.clone();
        std::thread::spawn(move || {
            while let Ok(message) = receiver.recv() {
                let _ = jobs.send(message);
            }
        });
        Ok(())
    });
    (spawn_member, received)
}

#[test]
fn after_a_panic_the_dispatcher_answers_all_and_goes_on() {
    let started = start(Box::new(|_, _, _, _| Ok(())));
    let now = started.clock.now();
    let client = TestClient::connect();
    let arrival =
        |request_id, left| arrival(request_id, now, now + Duration::from_secs(left), client.mailbox());
    started.send(DispatcherMessage::List(list()));
    started.send(arrival(1, 9000));
    started.send(panicking_input());
    assert!(matches!(client.received.recv().as_deref(), Ok((1, Answer::Unknown(_)))));
    started.send(arrival(2, 0));
    assert!(matches!(client.received.recv().as_deref(), Ok((2, Answer::Declined(_)))), "it goes on");
    assert_eq!(started.counters.panics.read(), 1);
}

#[test]
fn after_a_panic_no_answered_request_is_written() {
    let (spawn_member, job) = recorded_members();
    let started = start(spawn_member);
    let client = TestClient::connect();
    started.add_primary();
    let now = started.clock.now();
    started.send(arrival(1, now, now + Duration::from_secs(900), client.mailbox()));
    let submit = loop {
        if let MemberMessage::Job(Job::Submit(submit)) = job.recv().expect("a job") {
            break submit;
        }
    };
    assert_eq!(submit.permit.check(started.clock.now()), Ok(()));
    // The txn is answered while its connection is still being opened.
    started.send(panicking_input());
    assert!(matches!(client.received.recv().as_deref(), Ok((1, Answer::Unknown(_)))));
    started.wait_until_handled();
    assert!(submit.permit.consume(started.clock.now()).is_err(), "rule 1: nothing is sent after the answer");
}

/// Guards against a server that refused connections, is back and cold, and gets a warm server's work from the next process
/// or the next router, as no list has told its start yet.
#[test]
fn restart_that_was_inferred_goes_over_to_the_next_process_and_the_next_router() {
    let down = InferredRestart { server: "m".to_owned(), cold_until_us: None };
    let (old, new) = (start(recorded_members().0), start(recorded_members().0));
    for process in [&old, &new] {
        process.send(DispatcherMessage::List(list()));
        assert_eq!(process.told_restarts(), []);
    }
    old.send(DispatcherMessage::KeepInferredRestarts(vec![down.clone()]));
    assert_eq!(old.told_restarts(), [down]);
    old.send(probed(Report { position: Some(old.clock.now()), ..Report::default() }));
    let told = old.told_restarts();
    assert!(told[0].cold_until_us > Some(old.clock.boot_time_us(old.clock.now())), "{told:?}");
    new.send(DispatcherMessage::KeepInferredRestarts(told.clone()));
    new.send(DispatcherMessage::ClockAdvanced(Duration::from_secs(3)));
    let kept = new.told_restarts();
    let difference = kept[0].cold_until_us.zip(told[0].cold_until_us).map(|(a, b)| a.abs_diff(b));
    assert!(difference.is_some_and(|us| us < 1000), "{kept:?} of {told:?}");
}

/// Guards against a router that begins anew and knows nothing of a planned change for which writes are held.
#[test]
fn planned_change_goes_on_after_a_clock_correction_and_after_a_panic() {
    for replacement in REPLACEMENTS {
        let (spawn_member, _job) = recorded_members();
        let started = start(spawn_member);
        started.add_primary();
        let (reply, ordered) = std::sync::mpsc::sync_channel(1);
        started.send(DispatcherMessage::ChangePrimary { group: 3, successor: None, cancel: false, reply });
        ordered.recv().expect("an answer").expect("a change");
        started.send(replacement());
        let (reply, status) = std::sync::mpsc::sync_channel(1);
        started.send(DispatcherMessage::Status { group: None, max_groups: 1, reply });
        let status = status.recv().expect("an answer");
        assert_eq!(status["groups"][0]["plan"], "Order: Awaiting", "{status}");
    }
}

/// Guards against a drain that is forgotten as the router is replaced, if the list has named its server as up since.
#[test]
fn drain_binds_after_a_clock_correction_and_after_a_panic() {
    for replacement in REPLACEMENTS {
        let (spawn_member, job) = recorded_members();
        let started = start(spawn_member);
        let is_probed = || {
            started.send(DispatcherMessage::ProbeAll);
            started.wait_until_handled();
            // The member's actor is a thread.
            std::thread::sleep(Duration::from_millis(50));
            job.try_iter().any(|message| matches!(message, MemberMessage::Job(Job::Probe { .. })))
        };
        for state in ["draining", "up"] {
            started.send(DispatcherMessage::List(list_started(state, 1000)));
            assert!(!is_probed(), "{state}");
        }
        started.send(replacement());
        assert!(!is_probed(), "the new router uses it");
        started.send(DispatcherMessage::List(list_started("up", 1001)));
        assert!(is_probed(), "it has started again");
    }
}

#[test]
fn shortage_of_connections_closes_idle_ones_of_all_members_once_in_a_while_only() {
    let (spawn_member, job) = recorded_members();
    let started = start(spawn_member);
    started.send(DispatcherMessage::List(list()));
    started.send(DispatcherMessage::ProbeAll);
    // The member has an actor once it is probed.
    assert!(matches!(job.recv(), Ok(MemberMessage::Job(Job::Probe { .. }))));
    let begun = started.clock.now();
    for _ in 0..1000 {
        started.send(DispatcherMessage::ConnectionsShort);
    }
    started.wait_until_handled();
    let took = started.clock.now() - begun;
    std::thread::sleep(Duration::from_millis(50));
    let closed = job.try_iter().filter(|message| matches!(message, MemberMessage::CloseIdle)).count();
    let most = 1 + took.as_millis() as usize / 10;
    assert!((1..=most).contains(&closed), "{closed} times in {took:?}");
}
