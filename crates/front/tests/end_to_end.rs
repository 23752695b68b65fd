//! End-to-end tests on sockets: the built program among simulated servers and discovery. Tests wait for events, never
//! for a fixed time.

use cluster::{PROGRAM, TestCluster, wait_until};
use juniperdock_test_support::{
    Agent, Behaviour, Front, TEST_TIMEOUT, WATCH, error, list, message, row, txn,
};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

mod cluster;

#[test]
fn reads_go_to_replicas_writes_to_the_primary_and_values_come_back_as_they_were() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut client = front.client();
    assert_eq!(client.query("SET a = 1").last, b'Z');
    for i in 0..20 {
        let (read, write) = (txn("lookup", 2000, &format!("r{i}")), txn("mark", 2000, &format!("w{i}")));
        // Two at once on one connection are answered in order.
        client.send(&read);
        client.send(&write);
        let (first, second) = (client.reply(), client.reply());
        let (first, second) = (first.value.expect("a value"), second.value.expect("a value"));
        assert!(first.windows(4).any(|w| w == b"id=r") && second.windows(4).any(|w| w == b"id=w"));
        let sent = cluster.next_txn(0);
        assert_eq!(second, sent.as_bytes());
        // Unchanged, except for the time that is left.
        let left: u32 = sent.split(",d=").nth(1).and_then(|s| s.split(',').next()).unwrap().parse().unwrap();
        assert!(left <= 2000);
        assert_eq!(sent, write.replace("d=2000", &format!("d={left}")));
    }
    assert!(cluster.received_nothing(0), "no read went to the primary");
    let bytes: Vec<u8> = (0..=255).cycle().take(60_000).collect();
    // A member's answer may be longer than a client's statement, as far as memory allows.
    let more = bytes.repeat(10);
    for bytes in [bytes, more] {
        for i in [1, 2] {
            cluster.members[i].set_behaviour(Behaviour::Send(row(&bytes)));
        }
        assert!(client.query(&txn("lookup", 2000, "big")).value == Some(bytes));
    }
}

#[test]
fn a_write_waits_for_a_primary_and_then_goes_there() {
    let cluster = TestCluster::new();
    cluster.members[0].set_primary(false);
    let front = cluster.start_front();
    let mut client = front.client();
    client.send(&txn("order", 2000, "w"));
    // Reads are served meanwhile, by members that have reported that they are replicas.
    assert!(front.client().query(&txn("lookup", 2000, "r")).value.is_some());
    cluster.members[2].set_primary(true);
    assert!(client.reply().value.is_some());
    wait_until(|| cluster.next_txn(2).contains("id=w"));
}

#[test]
fn refused_write_goes_to_the_next_primary() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut client = front.client();
    assert!(client.query(&txn("order", 2000, "w1")).value.is_some());
    cluster.members[0].set_primary(false);
    cluster.members[1].set_primary(true);
    assert!(client.query(&txn("order", 2000, "w2")).value.is_some(), "it never ran at member 0");
    wait_until(|| cluster.next_txn(1).contains("id=w2"));
}

#[test]
fn request_that_may_have_run_is_retried_only_if_its_type_allows() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut client = front.client();
    assert!(client.query(&txn("order", 2000, "first")).value.is_some());
    cluster.next_txn(0);
    // The connection ends after the last byte of the request: the order may have run.
    cluster.members[0].behave_once(Behaviour::Close(Vec::new()));
    let reply = client.query(&txn("order", 2000, "once"));
    assert!(reply.value.is_none() && reply.code.is_some());
    assert!(!["53300", "57P03"].contains(&reply.code.as_deref().unwrap()), "no decline: it may have run");
    assert!(cluster.next_txn(0).contains("id=once"));
    // A referenced one is retried within its group and window; half a row is no answer.
    let half = row(b"half a value")[..50].to_vec();
    cluster.members[0].behave_once(Behaviour::Close(half));
    let reply = client.query(&txn("mark", 2000, "again"));
    assert!(reply.value.is_some_and(|value| value.windows(8).any(|w| w == b"id=again")));
    assert!(cluster.next_txn(0).contains("id=again") && cluster.next_txn(0).contains("id=again"));
    assert!(cluster.received_nothing(0), "the order went once");
}

#[test]
fn invalid_answers_of_a_member_never_reach_a_client() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut client = front.client();
    assert!(client.query(&txn("order", 2000, "first")).value.is_some());
    let two = [row(b"one"), row(b"two")].concat();
    let none = error("53300");
    let (wide, swapped) = (row(b"a")[1..].to_vec(), [&row(b"a")[27..], &row(b"a")].concat());
    for answer in [
        b"hello".to_vec(),
        two,
        message(b'D', &[0, 2]),
        message(b'Z', b"I"),
        vec![b'D', 255, 255, 255, 255],
        [row(b"a"), none.clone()].concat(),
        [none.clone(), row(b"a")].concat(),
        [&row(b"a")[..27], &none].concat(),
        message(b'E', b"\0"),
        wide,
        swapped,
        [message(b'S', b"replay_position\08e12\0"), row(b"a")].concat(),
    ] {
        // The member stays up and keeps its slot.
        assert!(client.query(&txn("order", 2000, "good")).value.is_some());
        cluster.members[0].behave_once(Behaviour::Send(answer.clone()));
        let reply = client.query(&txn("order", 2000, "bad"));
        assert_eq!((reply.value, reply.last), (None, b'Z'), "{answer:?}");
        assert!(reply.code.is_some_and(|code| code != "53300"), "no decline, it may have run: {answer:?}");
    }
    // An error about the statement goes to the client unchanged; no other member is tried.
    cluster.members[0].behave_once(Behaviour::Fail("42601"));
    assert_eq!(client.query(&txn("mark", 2000, "syntax")).code.as_deref(), Some("42601"));
    wait_until(|| cluster.next_txn(0).contains("id=syntax"));
    assert!(cluster.received_nothing(0));
    // A refusal before execution is retried; an error is not.
    cluster.members[0].behave_once(Behaviour::Fail("53300"));
    assert!(client.query(&txn("order", 2000, "full")).value.is_some());
    cluster.members[0].behave_once(Behaviour::Fail("XX000"));
    assert!(client.query(&txn("order", 2000, "error")).value.is_none());
}

#[test]
fn draining_member_gets_no_new_requests() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut client = front.client();
    cluster.publish_list(2, ["up", "draining", "up"]);
    // Once the list is in force, no request goes there any more.
    let mut since = 0;
    wait_until(|| {
        assert!(client.query(&txn("lookup", 2000, "r")).value.is_some());
        since = if cluster.received_nothing(1) { since + 1 } else { 0 };
        since == 50
    });
}

#[test]
fn drain_stops_a_request_that_waits_for_a_connection() {
    let cluster = TestCluster::new();
    cluster.members.iter().for_each(|m| m.set_answers_new(false));
    // The primary is needed by a probe and then by the write; neither gets its connection yet.
    let front = cluster.start_front();
    let mut client = front.client();
    cluster.members[0].set_answers_new(true);
    assert!(client.query(&txn("order", 2000, "w1")).value.is_some());
    cluster.next_txn(0);
    cluster.members[0].set_answers_new(false);
    cluster.members[0].close_connections();
    client.send(&txn("order", 2000, "w2"));
    cluster.publish_list(2, ["draining", "up", "up"]);
    wait_until(|| cluster.agent.requests.try_recv().is_ok());
    let reply = client.reply();
    assert!(reply.value.is_none());
    assert!(cluster.received_nothing(0), "nothing was written after the drain");
}

#[test]
fn reads_are_served_while_a_member_never_completes_its_handshake() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut client = front.client();
    assert!(client.query(&txn("lookup", 2000, "r")).value.is_some());
    cluster.members[1].set_answers_new(false);
    cluster.members[1].close_connections();
    for i in 0..20 {
        assert!(client.query(&txn("lookup", 2000, &format!("r{i}"))).value.is_some());
    }
}

#[test]
fn each_txn_is_answered_before_its_expiry_though_its_member_hangs() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut client = front.client();
    assert!(client.query(&txn("order", 2000, "first")).value.is_some());
    cluster.members[0].set_behaviour(Behaviour::Hang);
    let begun = Instant::now();
    let reply = client.query(&txn("order", 300, "w"));
    assert!(reply.code.is_some_and(|code| code != "53300" && code != "57P03"));
    assert!(begun.elapsed() >= Duration::from_millis(290), "it waits for its answer");
    // Out of time on arrival: it is answered, and nothing is sent.
    assert!(client.query(&txn("lookup", 0, "late")).code.is_some());
    assert!(client.query(&txn("lookup", u32::MAX, "long")).value.is_some());
}

#[test]
fn a_client_that_leaves_is_noticed() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    assert!(front.client().query(&txn("lookup", 2000, "r")).value.is_some());
    cluster.members[0].set_behaviour(Behaviour::Hang);
    let mut leaver = front.client();
    leaver.send(&txn("order", 2000, "w"));
    wait_until(|| cluster.next_txn(0).contains("id=w"));
    drop(leaver);
    assert!(front.client().query(&txn("lookup", 2000, "r")).value.is_some());
    front.signal("-TERM");
    let (well, text) = front.end();
    assert!(well && text.contains(" left=1 "), "{text}");
}

#[test]
fn bad_input_gets_an_error_and_stops_no_one_else() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut good = front.client();
    assert!(good.query(&txn("lookup", 2000, "r")).value.is_some());
    for (text, names) in [
        ("SELECT 1", "comment"),
        ("/* id=1", "comment"),
        ("/* c=lookup,d=9,cluster=2 */ SELECT 1", "id"),
        ("/* id=1,c=other,d=9,cluster=2 */ SELECT 1", "other"),
        ("/* id=1,c=lookup,d=soon,cluster=2 */ SELECT 1", "soon"),
        ("/* id=1,c=lookup,cluster=2 */ SELECT 1", "d"),
        ("/* id=1,c=lookup,d=9,cluster=2,after=now */ SELECT 1", "now"),
    ] {
        let reply = good.query(text);
        assert_eq!((reply.code.as_deref(), reply.last), (Some("08P01"), b'Z'), "{text}: {names}");
    }
    let reply = good.query("/* id=1,c=lookup,d=900,cluster=7 */ SELECT 1");
    assert!(reply.value.is_none() && reply.code.is_some(), "no such group");
    // Extended queries are skipped up to Sync.
    let parse = [message(b'P', b"\0\0\0\0"), message(b'B', b"\0\0\0\0\0\0\0\0"), message(b'S', b"")].concat();
    good.stream.write_all(&parse).unwrap();
    let reply = good.reply();
    assert_eq!((reply.code.as_deref(), reply.last), (Some("0A000"), b'Z'));
    // If the stream can't be parsed, the connection ends with a fatal error.
    for bytes in [&b"Q\0\0\0\x01"[..], b"Q\x7f\0\0\0", b"\0\0\0\0\0", b"~\0\0\0\x05a"] {
        let mut bad = front.client();
        bad.stream.write_all(bytes).unwrap();
        let reply = bad.reply();
        assert_eq!((reply.code.as_deref(), reply.last), (Some("08P01"), 0), "{bytes:?}");
    }
    let open = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(front.at).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        stream
    };
    let mut answer = [0];
    let mut silent = open(&[0, 0, 0, 8, 4, 210, 22, 47]);
    silent.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"N", "no encryption, said in plain");
    let mut text = Vec::new();
    open(&[0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2]).read_to_end(&mut text).unwrap();
    assert!(text.is_empty(), "a cancel request is closed without an answer");
    open(b"GET / HTTP/1.1\r\n\r\n").read_to_end(&mut text).unwrap();
    assert!(text.starts_with(b"E"));
    // Nothing sent, half a startup, half a message: each must be completed in time.
    let begun = Instant::now();
    let mut idle = front.client();
    let mut halves = [open(b""), open(&[0, 0, 0, 9, 0]), front.client().stream];
    halves[2].write_all(&message(b'Q', b"/* id=1")[..9]).unwrap();
    for half in &mut halves {
        text.clear();
        half.read_to_end(&mut text).unwrap();
        assert!(String::from_utf8_lossy(&text).contains("08P01"));
    }
    assert!(begun.elapsed() >= Duration::from_secs(2), "each has its time");
    assert!(idle.query(&txn("lookup", 2000, "r")).value.is_some(), "one between txns may stay");
    // One byte at a time, without delaying others.
    let whole = txn("lookup", 2000, "slow");
    let mut slow = front.client();
    for byte in message(b'Q', format!("{whole}\0").as_bytes()) {
        slow.stream.write_all(&[byte]).unwrap();
    }
    assert!(good.query(&txn("lookup", 2000, "r")).value.is_some());
    assert!(slow.reply().value.is_some());
}

#[test]
fn invalid_list_leaves_the_current_one_in_force() {
    for head in
        ["HTTP/1.1 500 no\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", WATCH]
    {
        let cluster = TestCluster::with_response_head(head);
        cluster.agent.publish("{\"version\":9".to_owned());
        let front = cluster.start_front();
        let mut client = front.client();
        // The front asks for it again and again.
        for _ in 0..3 {
            cluster.agent.requests.recv_timeout(TEST_TIMEOUT).expect("another watch");
        }
        assert!(client.query(&txn("lookup", 2000, "r")).value.is_some());
    }
}

#[test]
fn a_new_configuration_moves_the_watch_and_a_bad_one_changes_nothing() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut client = front.client();
    assert!(client.query(&txn("order", 2000, "first")).value.is_some());
    cluster.agent.requests.recv_timeout(TEST_TIMEOUT).expect("a watch");
    for bad in ["", "{\"discovery\":", "{}", "{\"discovery\":\"there\"}"] {
        front.reconfigure(bad);
        assert!(client.query(&txn("lookup", 2000, "r")).value.is_some(), "{bad}");
    }
    // A request in hand is not affected.
    cluster.members[0].set_behaviour(Behaviour::Hang);
    client.send(&txn("order", 500, "w"));
    wait_until(|| cluster.next_txn(0).contains("id=w"));
    let moved = Agent::start(WATCH);
    front.reconfigure(&format!("{{\"discovery\":\"{}\"}}", moved.at));
    moved.requests.recv_timeout(TEST_TIMEOUT).expect("a watch at the new address");
    assert!(client.reply().code.is_some());
    // From its first list on, only the new address counts.
    moved.publish(TestCluster::list(&cluster.members, 2, ["up", "draining", "up"]));
    let mut since = 0;
    wait_until(|| {
        assert!(client.query(&txn("lookup", 2000, "r")).value.is_some());
        since = if cluster.received_nothing(1) { since + 1 } else { 0 };
        since == 50
    });
    cluster.publish_list(3, ["up", "up", "draining"]);
    for _ in 0..50 {
        assert!(client.query(&txn("lookup", 2000, "r")).value.is_some());
    }
    assert!(cluster.received_nothing(1));
    front.signal("-TERM");
    front.signal("-HUP");
    let (well, text) = front.end();
    assert!(well && text.contains(" reloads="), "{text}");
}

#[test]
fn removed_members_leave_no_descriptors_or_actors_behind() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut client = front.client();
    let (at, descriptors) = (cluster.members[0].at, front.descriptors());
    for version in 2..102 {
        // Another primary at the same address each time, after the previous one is removed.
        let names = [version - 1, version].map(|v| if v == 1 { "m-0".to_owned() } else { format!("p-{v}") });
        let before = cluster.members[0].connections();
        cluster.agent.publish(list(version, false, &[(&names[0], at, "removed"), (&names[1], at, "up")]));
        wait_until(|| {
            let answered = client.query(&txn("order", 2000, "w")).value.is_some();
            answered && cluster.members[0].connections() > before
        });
    }
    wait_until(|| front.descriptors() <= descriptors + 4);
    front.signal("-TERM");
    let (_, text) = front.end();
    let ended = text.split("members_ended=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    assert!(ended >= Some(90), "an actor for each that left and was used has ended: {text}");
}

#[test]
fn sigterm_answers_all_requests_in_hand() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut idle = front.client();
    let mut busy = front.client();
    assert!(idle.query(&txn("order", 2000, "first")).value.is_some());
    cluster.members[0].set_behaviour(Behaviour::Hang);
    busy.send(&txn("order", 900, "w"));
    wait_until(|| cluster.next_txn(0).contains("id=w"));
    front.signal("-TERM");
    assert!(front.client().query(&txn("lookup", 2000, "new")).value.is_some(), "clients still come");
    assert!(busy.reply().code.is_some());
    assert_eq!(idle.reply().last, 0);
    let (well, text) = front.end();
    assert!(well && text.contains("counters: "), "{text}");
}

#[test]
fn request_that_came_while_the_front_was_stopped_has_less_time_left() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut client = front.client();
    assert!(client.query(&txn("order", 2000, "first")).value.is_some());
    cluster.next_txn(0);
    front.signal("-STOP");
    wait_until(|| front.stopped());
    let begun = Instant::now();
    client.send(&txn("order", 500, "late"));
    wait_until(|| begun.elapsed() > Duration::from_millis(700));
    front.signal("-CONT");
    let reply = client.reply();
    assert!(reply.value.is_none(), "its client has given up by now: {reply:?}");
    assert!(cluster.received_nothing(0), "nothing is sent for it");
    assert!(client.query(&txn("order", 2000, "next")).value.is_some());
}

#[test]
fn killed_front_serves_after_a_restart() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    let mut client = front.client();
    assert!(client.query(&txn("lookup", 2000, "r")).value.is_some());
    let at = front.at;
    front.signal("-KILL");
    assert_eq!(client.reply().last, 0);
    drop(front);
    let front = Front::start_at(PROGRAM, at, cluster.agent.at, &cluster.server_list, 1024, None);
    assert!(front.client().query(&txn("order", 2000, "w")).value.is_some());
    front.signal("-USR1");
    front.signal("-TERM");
    assert!(front.end().0);
}

#[test]
fn idle_clients_are_closed_first_when_descriptors_run_out() {
    let cluster = TestCluster::new();
    let front = Front::start(PROGRAM, cluster.agent.at, &cluster.server_list, 52);
    let mut clients: Vec<_> = (0..60).map(|_| front.client()).collect();
    // The last clients are still connected; those idle longest were asked to leave.
    wait_until(|| front.client().query(&txn("lookup", 2000, "r")).value.is_some());
    assert_eq!(clients[0].reply().last, 0);
    drop(clients);
    wait_until(|| front.descriptors() < 25);
    // Clients have a budget of their own, including idle connections: those idle for long are closed in time.
    let mut clients: Vec<_> = (0..11).map(|_| front.client()).collect();
    clients.iter().for_each(|client| client.stream.set_nonblocking(true).unwrap());
    wait_until(|| clients.iter_mut().filter_map(|client| client.stream.read(&mut [0]).ok()).count() == 3);
    drop(clients);
    wait_until(|| front.descriptors() < 25);
    // Busy clients stay; a client that finds no slot gets an error.
    for member in &cluster.members {
        member.set_behaviour(Behaviour::Hang);
    }
    let mut busy: Vec<_> = (0..18)
        .map(|i| {
            let mut client = front.client();
            client.send(&txn("order", 2000, &format!("w{i}")));
            client
        })
        .collect();
    // This holds as well if more than the startup is sent at once, and more keeps coming.
    let mut extra = TcpStream::connect(front.at).unwrap();
    extra.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let query = message(b'Q', format!("{}\0", txn("order", 2000, "extra")).as_bytes());
    extra.write_all(&[&[0, 0, 0, 9, 0, 3, 0, 0, 0][..], &query].concat()).unwrap();
    extra.write_all(&query.repeat(99)).unwrap();
    let mut text = Vec::new();
    extra.read_to_end(&mut text).expect("an end, no reset");
    assert!(String::from_utf8_lossy(&text).contains("53300"));
    drop(extra);
    for client in &mut busy {
        assert_eq!(client.reply().last, b'Z');
    }
    busy[0].stream.shutdown(Shutdown::Both).unwrap();
}

#[test]
fn wrong_configuration_is_reported() {
    let run = |config: &str| {
        let out = Command::new(env!("CARGO_BIN_EXE_juniperdock")).env("GW_CONFIG", config).output().unwrap();
        assert!(!out.status.success());
        String::from_utf8(out.stderr).unwrap()
    };
    assert!(run("/nowhere/config.json").contains("/nowhere/config.json"));
    let file = std::env::temp_dir().join(format!("juniperdock-{}.json", std::process::id()));
    for (text, names) in [
        ("{", "JSON"),
        ("{}", "GW_LISTEN"),
        (r#"{"listen":"here","discovery":"127.0.0.1:1"}"#, "here"),
        (r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1"}"#, "seed"),
        (
            r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":99}}"#,
            "ConnectTimeout",
        ),
    ] {
        std::fs::write(&file, text).unwrap();
        let output = run(file.to_str().unwrap());
        assert!(output.contains(names) && output.lines().count() == 1, "{text}: {output}");
    }
    let _ = std::fs::remove_file(file);
}
