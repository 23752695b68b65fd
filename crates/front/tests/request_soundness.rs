//! A request that is not sound gets an error and is never sent to a server: one whose id another request has had, and
//! one that can't be read in one way only. Nor is a request sent on once its client has ended its sending.

use cluster::{TestCluster, wait_until};
use juniperdock_test_support::{Behaviour, Front, Reply, message, txn};
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

mod cluster;

/// How long after its client has left an attempt may still begin (`STANDING.md`).
const AFTER_LEAVING: Duration = Duration::from_millis(100);

/// A txn whose id is given, not made unique.
fn txn_with_id(kind: &str, ms: u32, id: &str) -> String {
    let rest = if kind == "lookup" {
        "SELECT blob FROM rows WHERE handle = '7f3a'"
    } else {
        "INSERT INTO rows (handle, blob) VALUES ('7f3a', '\\x9f03') RETURNING blob"
    };
    format!("/* id={id},c={kind},d={ms},k=5c0f,cluster=2 */ {rest}")
}

/// A front that knows its members; their logs are empty.
fn warm_front(cluster: &TestCluster) -> Front {
    let front = cluster.start_front();
    wait_until(|| front.client().query(&txn("order", 3000, "warm")).value.is_some());
    wait_until(|| front.client().query(&txn("lookup", 3000, "warm")).value.is_some());
    forget_statements(cluster);
    front
}

fn forget_statements(cluster: &TestCluster) {
    cluster.members.iter().for_each(|member| member.seen.try_iter().for_each(drop));
}

/// How many times servers have received a statement with this id by now.
fn times_sent(cluster: &TestCluster, id: &str) -> usize {
    let id = format!("/* id={id},");
    let seen = cluster.members.iter().flat_map(|member| member.seen.try_iter());
    seen.filter(|text| text.starts_with(&id)).count()
}

fn is_protocol_error(reply: &Reply) -> bool {
    reply.value.is_none() && reply.code.as_deref() == Some("08P01")
}

#[test]
fn id_of_another_clients_open_request_is_refused() {
    for kind in ["lookup", "mark", "order"] {
        let cluster = TestCluster::new();
        let front = warm_front(&cluster);
        cluster.members.iter().for_each(|member| member.behave_once(Behaviour::Hang));
        let mut owner = front.client();
        owner.send(&txn_with_id(kind, 5000, "owned"));
        wait_until(|| times_sent(&cluster, "owned") == 1);
        let reply = front.client().query(&txn_with_id(kind, 5000, "owned"));
        assert!(is_protocol_error(&reply), "{kind}: {reply:?}");
        assert_eq!(times_sent(&cluster, "owned"), 0, "{kind}: sent a second time");
    }
}

#[test]
fn id_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    for kind in ["lookup", "mark", "order"] {
        let cluster = TestCluster::new();
        let front = warm_front(&cluster);
        cluster.members.iter().for_each(|member| member.behave_once(Behaviour::Hang));
        let mut owner = front.client();
        owner.send(&txn_with_id(kind, 5000, "gone"));
        wait_until(|| times_sent(&cluster, "gone") == 1);
        drop(owner);
        cluster.members.iter().for_each(|member| member.set_behaviour(Behaviour::Serve));
        let reply = front.client().query(&txn_with_id(kind, 5000, "gone"));
        assert!(is_protocol_error(&reply), "{kind}: {reply:?}");
        assert_eq!(times_sent(&cluster, "gone"), 0, "{kind}: sent a second time");
    }
}

#[test]
fn id_that_comes_again_after_its_answer_does_not_run_twice() {
    let cluster = TestCluster::new();
    let front = warm_front(&cluster);
    for kind in ["lookup", "mark", "order"] {
        let mut client = front.client();
        assert!(client.query(&txn_with_id(kind, 5000, kind)).value.is_some());
        assert!(is_protocol_error(&client.query(&txn_with_id(kind, 5000, kind))), "{kind}");
        assert!(is_protocol_error(&front.client().query(&txn_with_id(kind, 5000, kind))), "{kind}");
        assert_eq!(times_sent(&cluster, kind), 1, "{kind}");
    }
}

#[test]
fn requests_that_are_not_sound_get_an_error_and_are_not_sent() {
    let cluster = TestCluster::new();
    let front = warm_front(&cluster);
    let sound = |id: &str| txn_with_id("mark", 3000, id);
    let two_in_one = {
        let mut text = sound("a1").into_bytes();
        text.push(0);
        text.extend(message(b'Q', format!("{}\0", sound("a2")).as_bytes()));
        String::from_utf8(text).expect("text")
    };
    let cases = [
        ("a zero byte", sound("a0").replace("blob FROM", "blob\0FROM").replace("INTO rows", "INTO\0rows")),
        ("two messages in one", two_in_one),
        ("an empty id", sound("")),
        ("no key in a class with keys", sound("a3").replace(",k=5c0f", "")),
        ("an empty key", sound("a4").replace("k=5c0f", "k=")),
        ("two ids", sound("a5").replace("c=mark", "id=a6,c=mark")),
        ("two classes", sound("a7").replace("c=mark", "c=mark,c=lookup")),
        ("two deadlines", sound("a8").replace("d=3000", "d=3000,d=1")),
        ("a deadline with a sign", sound("a9").replace("d=3000", "d=+3000")),
        ("a group with a sign", sound("b0").replace("cluster=2", "cluster=+2")),
        (
            "more fields than the protocol has",
            sound("b1").replace(",cluster", &format!("{},cluster", ",a=".repeat(5000))),
        ),
        (
            "nothing behind the comment",
            sound("b2").split("*/").next().map(|head| format!("{head}*/ ")).expect("a comment"),
        ),
    ];
    let mut client = front.client();
    for (what, text) in &cases {
        let reply = client.query(text);
        assert!(is_protocol_error(&reply), "{what}: {reply:?}");
        assert_eq!(reply.last, b'Z', "{what}: the session goes on");
    }
    let sent: Vec<String> = cluster.members.iter().flat_map(|member| member.seen.try_iter()).collect();
    assert!(sent.is_empty(), "{sent:?}");
    assert!(client.query(&sound("last")).value.is_some());
}

#[test]
fn error_about_a_long_value_is_short() {
    let cluster = TestCluster::new();
    let front = warm_front(&cluster);
    let mut client = front.client();
    let long = "\x01".repeat(100_000);
    for text in [
        txn("lookup", 3000, "a").replace("c=lookup", &format!("c={long}")),
        txn("lookup", 3000, "b").replace("d=3000", &format!("d={long}")),
        txn("lookup", 3000, "c").replace("c=lookup", &long),
    ] {
        client.send(&text);
        let mut received = 0;
        while let Some((kind, body)) = juniperdock_test_support::wire::read_message(&mut client.stream, true)
        {
            received += body.len();
            if kind == b'Z' {
                break;
            }
        }
        assert!(received < 1000, "{received} bytes");
    }
}

/// Sends orders behind one that hangs, then commands whose answers wait for the first one's, then more orders; ends its
/// sending as soon as the operating system takes no more. No server may receive anything after that.
fn assert_nothing_is_sent_after_the_end(commands: &[u8]) {
    let cluster = TestCluster::new();
    let front = warm_front(&cluster);
    cluster.members[0].behave_once(Behaviour::Hang);
    let mut client = front.client();
    client.send(&txn("order", 4000, "ahead"));
    assert!(cluster.next_txn(0).contains("order"));
    let orders = |from: usize| {
        (from..from + 200).flat_map(|i| {
            let text = txn("order", 4000, &format!("behind{i}")).replace("'7f3a'", &format!("'{i}'"));
            message(b'Q', format!("{text}\0").as_bytes())
        })
    };
    let bytes: Vec<u8> = orders(0).chain(commands.iter().copied()).chain(orders(200)).collect();
    client.stream.set_nonblocking(true).expect("a mode");
    let (started, mut sent) = (Instant::now(), 0);
    while sent < bytes.len() && started.elapsed() < Duration::from_millis(300) {
        sent += client.stream.write(&bytes[sent..]).unwrap_or(0);
    }
    client.stream.shutdown(Shutdown::Write).expect("an end");
    std::thread::sleep(AFTER_LEAVING);
    forget_statements(&cluster);
    // What was out ends now, which makes room for what waits.
    cluster.members[0].close_hanging();
    std::thread::sleep(Duration::from_millis(700));
    let late: Vec<String> = cluster.members.iter().flat_map(|member| member.seen.try_iter()).collect();
    assert!(late.is_empty(), "{} sent after the end, the first: {}", late.len(), late[0]);
}

#[test]
fn requests_of_a_client_that_ends_its_sending_behind_much_unread_are_not_sent() {
    assert_nothing_is_sent_after_the_end(&message(b'Q', b"SELECT 1\0").repeat(20_000));
    assert_nothing_is_sent_after_the_end(&message(b'Q', b"SET a = 1\0").repeat(20_000));
    assert_nothing_is_sent_after_the_end(&message(b'S', b"").repeat(100_000));
}

/// Guards against requests that are sent on because the buffer of what their client has sent is empty for a moment, while
/// its end is still on its machine.
#[test]
fn requests_of_a_client_whose_end_is_long_behind_are_not_sent() {
    assert_nothing_is_sent_after_the_end(&message(b'Q', b"SELECT 1\0").repeat(200_000));
    assert_nothing_is_sent_after_the_end(&message(b'S', b"").repeat(500_000));
}
