//! The cases.

use crate::discovery::{Agent, Entry};
use crate::front::{CONT, Front, HUP, KILL, Kind, STOP, TERM, USR1, config, free_address, kill};
use crate::server::{Group, Server};
use crate::wire::Client;
use crate::{Case, cannot_run, pause_ms, wait_until};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const CELL: u64 = 2;

pub fn play(name: &str, case: &Case) -> Result<(), String> {
    match name {
        "moved-discovery" => moved_discovery(case),
        "window" => window(case),
        "term-in-upgrade" => term_in_upgrade(case),
        "hold-in-upgrade" => hold_in_upgrade(case),
        "hang-before-commit" => hang_before_commit(case),
        "drain-lifted" => drain_lifted(case),
        "removed-in-upgrade" => removed_in_upgrade(case),
        "two-fronts" => two_fronts(case),
        "move-with-a-write-out" => move_with_a_write_out(case),
        other => cannot_run(&format!("no case {other}")),
    }
}

fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0x5c0f_0000_0000_0001);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst))
}

fn read_of(cell: u64, class: &str, d: u32, handle: &str) -> String {
    format!(
        "/* id={},c={class},d={d},cluster={cell} */ SELECT blob FROM rows WHERE handle = '{handle}'",
        new_id()
    )
}

fn read_text(class: &str, d: u32, handle: &str) -> String {
    format!(
        "/* id={},c={class},d={d},cluster={CELL} */ SELECT blob FROM rows WHERE handle = '{handle}'",
        new_id()
    )
}

fn write_text(class: &str, d: u32, handle: &str, mark: Option<&str>, blob: &str) -> String {
    let mark = mark.map(|mark| format!(",k={mark}")).unwrap_or_default();
    let id = new_id();
    format!(
        "/* id={id},c={class},d={d}{mark},cluster={CELL} */ INSERT INTO rows (handle, blob) VALUES ('{handle}', '\\x{blob}') RETURNING blob"
    )
}

/// A group of up to six servers, the first of them the primary.
fn group(case: &Case, window_ms: u64, size: usize, is_narrow: bool) -> (Arc<Group>, Vec<Server>, Vec<Entry>) {
    let group = Group::new(window_ms);
    let names = &["s-a", "s-b", "s-c", "s-d", "s-e", "s-f"][..size];
    let start =
        |(index, name): (usize, &&'static str)| Server::start(&case.record, &group, index, name, is_narrow);
    let servers: Vec<Server> = names.iter().enumerate().map(start).collect();
    let entries = servers
        .iter()
        .map(|s| Entry { id: s.name.to_owned(), addr: s.at, cell: CELL, state: "up", started_ms: 0 })
        .collect();
    (group, servers, entries)
}

fn ask(case: &Case, client: &mut Client, text: &str) -> crate::wire::Answer {
    let shown: String = text.chars().take(110).collect();
    case.record.note(&format!("client sends {shown}"));
    let answer = client.query(text);
    case.record.note(&format!("client is answered {answer:?}"));
    answer
}

/// Asks until a value comes; the case can't run otherwise.
fn warm_up(case: &Case, client: &mut Client, mut text: impl FnMut() -> String) -> String {
    for _ in 0..50 {
        if let Some(value) = ask(case, client, &text()).value {
            return value;
        }
        pause_ms(200);
    }
    panic!("the front serves nothing");
}

fn charter_with_control(case: &Case, name: &str, more: &str) -> String {
    let path = case.folder.join(format!("{name}.sock")).display().to_string();
    format!("{{ control: {{ path: {path:?} }}, {more} }}")
}

const LOOSE: Kind = Kind {
    name: "any",
    effect: "pure",
    read_level: "loose",
    max_age_ms: 0,
    limit_ms: 1500,
    aim_ms: 400,
    window_ms: 0,
};
const ONCE: Kind = Kind {
    name: "once",
    effect: "side_effect",
    read_level: "update",
    max_age_ms: 0,
    limit_ms: 5000,
    aim_ms: 1500,
    window_ms: 0,
};

/// A new configuration moves discovery, later the front is upgraded, later a server drains.
fn moved_discovery(case: &Case) -> Result<(), String> {
    let (_group, servers, entries) = group(case, 2000, 3, false);
    let first = Agent::start(&case.record, "A", &entries);
    let second = Agent::start(&case.record, "B", &entries);
    let configured = |discovery: &Agent| {
        let more = format!("\"discovery\":\"{}\",", discovery.at);
        config(&first.known(), &[LOOSE, ONCE], 1, 0, "client", &more)
    };
    let charter = charter_with_control(case, "n1", "");
    let front = Front::start(case, "n1", free_address(), first.at, &configured(&first), &charter);
    let mut client = front.client();
    warm_up(case, &mut client, || write_text("once", 5000, "h", None, "00"));
    pause_ms(1500);
    let agent = if case.trouble {
        // As on the platform: the file is replaced, SIGHUP, the old one takes nothing new and closes after 1.5 s.
        let draft = case.folder.join("new.json");
        std::fs::write(&draft, configured(&second))
            .and_then(|()| std::fs::rename(&draft, &front.config))
            .expect("a file");
        front.signal(HUP);
        first.refuse_new();
        pause_ms(1500);
        first.close_open();
        second
    } else {
        first
    };
    // 4 s after SIGHUP what the new one has counts as told; the upgrade comes well after.
    pause_ms(6000);
    let (succeeded, text) = front.command(&["upgrade"]);
    assert!(succeeded, "the upgrade: {text}");
    pause_ms(3000);
    let mut client = front.client();
    let drained = reading_replica(case, &mut client, &servers);
    agent.change(Entry { state: "draining", ..entries[drained].clone() });
    let told = Instant::now();
    // Told at the latest 6 s after discovery had it, whether or not it arrived; then the grace of 1 s and 50 ms.
    let binds = Duration::from_millis(6000 + 1000 + 50);
    while told.elapsed() < binds + Duration::from_secs(8) {
        ask(case, &mut client, &read_text("any", 1500, "h"));
        pause_ms(100);
    }
    let seen = servers[drained].seen.lock().expect("seen");
    let late: Vec<u128> =
        seen.iter().filter(|s| s.at > told + binds).map(|s| s.at.duration_since(told).as_millis()).collect();
    case.record.note(&format!("sent to the draining server after its grace: {} txns", late.len()));
    match late.last() {
        Some(last) => {
            Err(format!("{} txns were sent to a draining server up to {last} ms after its drain", late.len()))
        }
        None => Ok(()),
    }
}

/// The answer of a referenced write is lost, and the server hangs in the middle of the repeat until the window is over.
fn window(case: &Case) -> Result<(), String> {
    // As at a deployment of the pages: 1.2 s and 2 s.
    const WINDOW_MS: u32 = 1200;
    let mark =
        Kind { name: "mark", effect: "token", window_ms: WINDOW_MS, limit_ms: 2000, aim_ms: 600, ..ONCE };
    let (group, servers, entries) = group(case, u64::from(WINDOW_MS), 6, true);
    let agent = Agent::start(&case.record, "A", &entries);
    let config = config(&agent.known(), &[LOOSE, mark], 1, 0, "client", "");
    let front = Front::start(case, "n1", free_address(), agent.at, &config, "{}");
    let mut client = front.client();
    warm_up(case, &mut client, || write_text("mark", 2000, "h", Some(&new_id()), "00"));
    pause_ms(500);
    let key = new_id();
    // A value of 64 KiB, in hex digits.
    let blob = "5a".repeat(64 << 10);
    if case.trouble {
        servers[0].script.lose_next_answer.store(true, Ordering::SeqCst);
        servers[0].script.then_stop_reading_ms.store(u64::from(WINDOW_MS) + 300, Ordering::SeqCst);
    }
    ask(case, &mut client, &write_text("mark", 2000, "h", Some(&key), &blob));
    pause_ms(500);
    let times = group.effects.lock().expect("effects").get(&key).copied().unwrap_or(0);
    case.record.note(&format!("the effect of mark {key} took place {times} times"));
    if times > 1 { Err(format!("a referenced write took effect {times} times")) } else { Ok(()) }
}

/// The front is told SIGTERM while an upgrade is under way, in the time after a primary was lost.
fn term_in_upgrade(case: &Case) -> Result<(), String> {
    let (_group, _servers, mut entries) = group(case, 2000, 3, false);
    // A second group, which loses its primary: the new process waits a while for its roles.
    let other = Group::new(2000);
    let others: Vec<Server> = ["t-a", "t-b", "t-c"]
        .iter()
        .enumerate()
        .map(|(index, name)| Server::start(&case.record, &other, index, name, false))
        .collect();
    entries.extend(others.iter().map(|s| Entry {
        id: s.name.to_owned(),
        addr: s.at,
        cell: CELL + 1,
        state: "up",
        started_ms: 0,
    }));
    let agent = Agent::start(&case.record, "A", &entries);
    let config = config(&agent.known(), &[LOOSE, ONCE], 1, 0, "client", "");
    let mut front =
        Front::start(case, "n1", free_address(), agent.at, &config, &charter_with_control(case, "n1", ""));
    let mut client = front.client();
    warm_up(case, &mut client, || write_text("once", 5000, "h", None, "00"));
    pause_ms(500);
    if case.trouble {
        case.record.note("t-a hangs");
        others[0].script.hangs.store(true, Ordering::SeqCst);
        // Given up and taken over from 5 s later.
        let (record, successor, script) = (case.record.clone(), other.clone(), others[0].script.clone());
        std::thread::spawn(move || {
            pause_ms(5000);
            successor.primary.store(1, Ordering::SeqCst);
            record.note("t-b has taken over from t-a");
            pause_ms(4000);
            script.hangs.store(false, Ordering::SeqCst);
        });
        pause_ms(300);
    }
    let upgrade = front.start_command(&["upgrade"]);
    if case.trouble {
        // The new process has been started once the log says so.
        let log = case.folder.join("n1.log");
        let started = || std::fs::read_to_string(&log).unwrap_or_default().contains("upgrade started");
        assert!(wait_until(5000, started), "the upgrade begins");
        pause_ms(250);
        front.signal(TERM);
    }
    let (_, _) = upgrade.end();
    if !case.trouble {
        assert!(wait_until(15_000, || front.has_ended()), "the old process ends after an upgrade");
        let served =
            Client::open(front.at).and_then(|mut c| ask(case, &mut c, &read_text("any", 1500, "h")).value);
        assert!(served.is_some(), "the new process serves");
        return Ok(());
    }
    // No request is longer than 5 s; the front has 3 s and 0.7 s for what it has in hand.
    assert!(wait_until(15_000, || front.has_ended()), "the process that was told to end does");
    case.record.note("the process that was told SIGTERM has ended");
    pause_ms(2000);
    // The platform starts the front again, with its name and address.
    let again = Front::start(
        case,
        "n1-again",
        front.at,
        agent.at,
        &config,
        &charter_with_control(case, "n1-again", ""),
    );
    let log = case.folder.join("n1-again.log");
    let read_log = || std::fs::read_to_string(&log).unwrap_or_default();
    assert!(wait_until(15_000, || read_log().contains("serving")), "the front is back");
    let mut answered = 0;
    for _ in 0..40 {
        let answer =
            Client::open(front.at).map(|mut client| ask(case, &mut client, &read_text("any", 1500, "h")));
        answered += u32::from(answer.is_some_and(|answer| answer.value.is_some()));
    }
    again.signal(USR1);
    assert!(wait_until(2000, || read_log().contains("counters: ")), "it prints its counters");
    let own: u32 = read_log()
        .split(" committed=")
        .nth(1)
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .expect("a counter");
    case.record.note(&format!("of {answered} txns that clients had served the front has served {own}"));
    if answered > own {
        return Err(format!(
            "{} of {answered} txns were served by a process that should have ended",
            answered - own
        ));
    }
    Ok(())
}

/// A front is upgraded twice while a txn is out at the first process; the second is killed.
fn two_fronts(case: &Case) -> Result<(), String> {
    let long = Kind { name: "long", limit_ms: 12_000, aim_ms: 6000, ..LOOSE };
    let (_group, servers, entries) = group(case, 2000, 3, false);
    for server in &servers {
        server.script.long_ms.store(9000, Ordering::SeqCst);
    }
    let agent = Agent::start(&case.record, "A", &entries);
    let config = config(&agent.known(), &[LOOSE, ONCE, long], 1, 0, "client", "");
    let mut front =
        Front::start(case, "n1", free_address(), agent.at, &config, &charter_with_control(case, "n1", ""));
    let mut client = front.client();
    warm_up(case, &mut client, || write_text("once", 5000, "h", None, "00"));
    pause_ms(500);
    let pid = |front: &Front| -> u32 {
        let (_, status) = front.command(&["--json", "status"]);
        let rest = status.split("\"pid\":").nth(1).expect("a pid");
        rest.split(|c: char| !c.is_ascii_digit()).next().and_then(|pid| pid.parse().ok()).expect("a pid")
    };
    let text = read_text("long", 12_000, "h");
    assert!(client.send(&text), "sent");
    case.record.note(&format!("client sends {text}"));
    pause_ms(300);
    let first = pid(&front);
    assert!(front.command(&["upgrade"]).0);
    pause_ms(500);
    let second = pid(&front);
    assert!(front.command(&["upgrade"]).0);
    pause_ms(500);
    let third = pid(&front);
    case.record.note(&format!("processes: {first}, {second}, {third}"));
    assert!(first != second && second != third);
    if case.trouble {
        case.record.note(&format!("signal {KILL} to process {second}"));
        kill(second as i32, KILL);
    }
    let answer = client.answer();
    case.record.note(&format!("client is answered {answer:?}"));
    pause_ms(4000);
    for _ in 0..60 {
        let mut client = front.client();
        ask(case, &mut client, &read_text("any", 1500, "h"));
    }
    let has_ended = front.has_ended();
    case.record.note(&format!("the first process has ended: {has_ended}"));
    if has_ended {
        return Ok(());
    }
    // Both print their counters, one after the other.
    for process in [first, third] {
        assert!(kill(process as i32, USR1), "a signal");
        pause_ms(300);
    }
    let log = std::fs::read_to_string(case.folder.join("n1.log")).unwrap_or_default();
    let served = log.lines().filter(|line| line.contains("counters: ") && !line.contains(" committed=0 "));
    match served.count() {
        2 => Err("two processes serve clients as one front".to_owned()),
        _ => Ok(()),
    }
}

/// Three fronts that know each other and share duties, and a client of each.
fn fleet(case: &Case, known: &str, discovery: std::net::SocketAddr) -> (Vec<Front>, Vec<Client>) {
    const FRONTS: usize = 3;
    let sockets: Vec<std::net::UdpSocket> =
        (0..FRONTS).map(|_| std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port")).collect();
    let peers: Vec<String> =
        sockets.iter().map(|s| s.local_addr().expect("an address").to_string()).collect();
    drop(sockets);
    let key = case.folder.join("key");
    std::fs::write(&key, "0f".repeat(32)).expect("a key");
    let names = ["n1", "n2", "n3"];
    let fronts: Vec<Front> = (0..FRONTS)
        .map(|me| {
            let quoted: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
            let more = format!("\"peer_listen\":\"{}\",\"peers\":[{}],", peers[me], quoted.join(","));
            let config = config(known, &[LOOSE, ONCE], FRONTS, me, "client", &more);
            let fellows = format!(
                "fellows: {{ keys: [{:?}], every_ms: 500, duties: true }}",
                key.display().to_string()
            );
            Front::start(
                case,
                names[me],
                free_address(),
                discovery,
                &config,
                &charter_with_control(case, names[me], &fellows),
            )
        })
        .collect();
    let mut clients: Vec<Client> = fronts.iter().map(Front::client).collect();
    for client in &mut clients {
        warm_up(case, client, || write_text("once", 5000, "h", None, "00"));
    }
    let has_owner = || fronts[0].command(&["--json", "fleet", "duties"]).1.contains("\"mine\":true");
    let is_ready = wait_until(30_000, || {
        pause_ms(500);
        let (_, status) = fronts[0].command(&["--json", "fleet", "status"]);
        status.contains("\"standing\":\"whole\"") && has_owner()
    });
    assert!(is_ready, "the fronts know each other and have owners");
    pause_ms(4000);
    for client in &mut clients {
        warm_up(case, client, || write_text("once", 5000, "h", None, "00"));
    }
    (fronts, clients)
}

/// The primary of a group is moved on purpose while a write is out at it.
fn move_with_a_write_out(case: &Case) -> Result<(), String> {
    let (group, servers, entries) = group(case, 2000, 6, false);
    let agent = Agent::start(&case.record, "A", &entries);
    let (fronts, mut clients) = fleet(case, &agent.known(), agent.at);
    if case.trouble {
        servers[0].script.hangs.store(true, Ordering::SeqCst);
    }
    let mut writer = clients.remove(1);
    let text = write_text("once", 5000, "h", None, "01");
    let record = case.record.clone();
    let write = std::thread::spawn(move || {
        record.note(&format!("client sends {text}"));
        let answer = writer.query(&text);
        record.note(&format!("client is answered {answer:?}"));
    });
    if case.trouble {
        assert!(
            wait_until(1000, || servers[0].script.in_hand.load(Ordering::SeqCst) > 0),
            "the write has come"
        );
    } else {
        write.join().expect("the write");
    }
    let (succeeded, text) = fronts[0].command(&["primary", "move", "2"]);
    let out = servers[0].script.in_hand.load(Ordering::SeqCst);
    case.record.note(&format!("told the operator: {:?}; writes out at the primary: {out}", text.trim()));
    if succeeded {
        // The operator changes the primary as he was told.
        group.primary.store(1, Ordering::SeqCst);
        case.record.note("the operator makes s-b the primary");
    }
    pause_ms(2500);
    servers[0].script.hangs.store(false, Ordering::SeqCst);
    pause_ms(3000);
    if succeeded && text.contains("nothing is out") && out > 0 {
        return Err(format!("the operator is told that nothing is out while {out} write is"));
    }
    Ok(())
}

/// The primary of a group is moved on purpose, and one of the fronts is upgraded meanwhile.
fn hold_in_upgrade(case: &Case) -> Result<(), String> {
    let (group, servers, entries) = group(case, 2000, 3, false);
    let agent = Agent::start(&case.record, "A", &entries);
    let (fronts, mut clients) = fleet(case, &agent.known(), agent.at);
    let (succeeded, text) = fronts[0].command(&["primary", "move", "2"]);
    assert!(succeeded, "the move: {text}");
    let told = Instant::now();
    if case.trouble {
        let (succeeded, text) = fronts[1].command(&["upgrade"]);
        assert!(succeeded, "the upgrade: {text}");
    }
    pause_ms(200);
    let mut writer = clients.remove(1);
    let text = write_text("once", 5000, "h", None, "01");
    let record = case.record.clone();
    let write = std::thread::spawn(move || {
        record.note(&format!("client sends {text}"));
        let answer = writer.query(&text);
        record.note(&format!("client is answered {answer:?}"));
    });
    // Within the 5 s that the operator has.
    pause_ms(2000);
    let late = servers[0].seen.lock().expect("seen").iter().filter(|s| s.at > told).count();
    group.primary.store(1, Ordering::SeqCst);
    case.record.note("the operator makes s-b the primary");
    write.join().expect("the write");
    match late {
        0 => Ok(()),
        _ => Err(format!(
            "{late} writes were sent to the old primary after the operator was told that all fronts hold"
        )),
    }
}

/// The replica that takes most reads now.
fn reading_replica(case: &Case, client: &mut Client, servers: &[Server]) -> usize {
    let mut reads = [0; 3];
    for _ in 0..10 {
        let before: Vec<usize> = servers.iter().map(|s| s.seen.lock().expect("seen").len()).collect();
        ask(case, client, &read_text("any", 1500, "h"));
        (0..3).for_each(|i| reads[i] += servers[i].seen.lock().expect("seen").len() - before[i]);
    }
    if reads[1] >= reads[2] { 1 } else { 2 }
}

/// A server is removed from the list; later, while discovery is down, the front is upgraded.
fn removed_in_upgrade(case: &Case) -> Result<(), String> {
    let (_group, servers, entries) = group(case, 2000, 3, false);
    let agent = Agent::start(&case.record, "A", &entries);
    let config = config(&agent.known(), &[LOOSE, ONCE], 1, 0, "client", "");
    let front =
        Front::start(case, "n1", free_address(), agent.at, &config, &charter_with_control(case, "n1", ""));
    let mut client = front.client();
    warm_up(case, &mut client, || write_text("once", 5000, "h", None, "00"));
    pause_ms(1000);
    let removed = reading_replica(case, &mut client, &servers);
    agent.change(Entry { state: "removed", ..entries[removed].clone() });
    let told = Instant::now();
    let binds = Duration::from_millis(1000 + 50);
    pause_ms(4000);
    if case.trouble {
        agent.fall_silent();
        pause_ms(1000);
    }
    let (succeeded, text) = front.command(&["upgrade"]);
    assert!(succeeded, "the upgrade: {text}");
    for _ in 0..40 {
        ask(case, &mut client, &read_text("any", 1500, "h"));
        pause_ms(100);
    }
    let seen = servers[removed].seen.lock().expect("seen");
    let late: Vec<u128> =
        seen.iter().filter(|s| s.at > told + binds).map(|s| s.at.duration_since(told).as_millis()).collect();
    case.record.note(&format!("sent to the removed server after its grace: {} txns", late.len()));
    match late.last() {
        Some(last) => Err(format!(
            "{} txns were sent to a removed server up to {last} ms after its removal",
            late.len()
        )),
        None => Ok(()),
    }
}

/// Servers that have started not long ago drain and are then removed, half of them in steps; they run on.
fn drain_lifted(case: &Case) -> Result<(), String> {
    const GRACE_MS: u64 = 100;
    let started_ms = crate::unix_ms() as u64 - 5000;
    let names = [
        ["s-a", "s-b", "s-c", "s-d", "s-e", "s-f"],
        ["t-a", "t-b", "t-c", "t-d", "t-e", "t-f"],
        ["u-a", "u-b", "u-c", "u-d", "u-e", "u-f"],
    ];
    let (mut servers, mut entries) = (Vec::new(), Vec::new());
    for (at, names) in names.iter().enumerate() {
        let group = Group::new(2000);
        for (index, name) in names.iter().enumerate() {
            let server = Server::start(&case.record, &group, index, name, false);
            let id = server.name.to_owned();
            entries.push(Entry { id, addr: server.at, cell: CELL + at as u64, state: "up", started_ms });
            servers.push(server);
        }
    }
    let agent = Agent::start(&case.record, "A", &entries);
    // As at the site: only draining binds, with a grace of 100 ms; warm within 16 s.
    let config = config(&agent.known(), &[LOOSE, ONCE], 1, 0, "client", "")
        .replace("\"StopSendingWithin\":1000.0", "\"StopSendingWithin\":100.0,\"GoneIsAdvice\":true")
        .replace("\"WarmUp\":1000.0", "\"WarmUp\":16000.0");
    let front = Front::start(case, "n1", free_address(), agent.at, &config, "{}");
    let mut client = front.client();
    warm_up(case, &mut client, || write_text("once", 5000, "h", None, "00"));
    pause_ms(12_000);
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let readers: Vec<_> = (0..9u64)
        .map(|number| {
            let (mut client, stop) = (front.client(), stop.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    client.query(&read_of(CELL + number % 3, "any", 1500, "h"));
                    pause_ms(20);
                }
            })
        })
        .collect();
    pause_ms(1000);
    let mut told: Vec<(usize, Instant)> = Vec::new();
    for step in [[1, 7, 13], [2, 8, 14], [3, 9, 15]] {
        for at in step {
            agent.change(Entry { state: "draining", ..entries[at].clone() });
            told.push((at, Instant::now()));
        }
        pause_ms(2000);
        if case.trouble {
            step.iter().for_each(|&at| agent.change(Entry { state: "removed", ..entries[at].clone() }));
        }
        pause_ms(4000);
    }
    stop.store(true, Ordering::SeqCst);
    readers.into_iter().for_each(|reader| reader.join().expect("a reader"));
    let mut late = Vec::new();
    for (at, told) in told {
        // 50 ms as on all sockets, and 100 ms for the stand-in to write the change.
        let binds = told + Duration::from_millis(GRACE_MS + 50 + 100);
        let seen = servers[at].seen.lock().expect("seen");
        let count = seen.iter().filter(|seen| seen.at > binds).count();
        let last = seen.last().map_or(0, |seen| seen.at.saturating_duration_since(told).as_millis());
        case.record.note(&format!(
            "{}: {count} txns came after its drain had to be kept, the last {last} ms after it was told",
            servers[at].name
        ));
        late.extend((count > 0).then(|| format!("{} {count}", servers[at].name)));
    }
    if late.is_empty() {
        Ok(())
    } else {
        Err(format!("txns were sent to drained servers: {}", late.join(", ")))
    }
}

/// The new process of an upgrade hangs before the commit, while some clients come anew.
fn hang_before_commit(case: &Case) -> Result<(), String> {
    const CLIENTS: u64 = 40;
    const D_MS: u64 = 1500;
    let (_group, _servers, entries) = group(case, 2000, 3, false);
    let agent = Agent::start(&case.record, "A", &entries);
    let config = config(&agent.known(), &[LOOSE, ONCE], 1, 0, "client", "");
    let upgrade = "upgrade: { ready_ms: 10000, gather_ms: 15, taken_ms: 1000 }";
    let front = Front::start(
        case,
        "n1",
        free_address(),
        agent.at,
        &config,
        &charter_with_control(case, "n1", upgrade),
    );
    let mut client = front.client();
    warm_up(case, &mut client, || write_text("once", 5000, "h", None, "00"));
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    // By request: when it was sent, and how long its answer took.
    let sent = Arc::new(std::sync::Mutex::new(std::collections::BTreeMap::<
        String,
        (Instant, Option<Duration>),
    >::new()));
    let start_client = {
        let (stop, sent, at, record) = (stop.clone(), sent.clone(), front.at, case.record.clone());
        move |number: u64| {
            let (stop, sent, record) = (stop.clone(), sent.clone(), record.clone());
            std::thread::spawn(move || {
                let Some(mut client) = Client::open(at) else {
                    return record.note(&format!("client {number} is not let in"));
                };
                let mut draw = number * 7919 + 13;
                while !stop.load(Ordering::SeqCst) {
                    draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                    pause_ms(600 + (draw >> 33) % 1400);
                    let text = read_text("any", D_MS as u32, "h");
                    let id = crate::wire::field(&text, "id").expect("an id");
                    let at = Instant::now();
                    sent.lock().expect("the requests").insert(id.clone(), (at, None));
                    let answer = client.query(&text);
                    let took = at.elapsed();
                    if answer.ended {
                        return record
                            .note(&format!("client {number}: request {id} has no answer after {took:?}"));
                    }
                    sent.lock().expect("the requests").insert(id, (at, Some(took)));
                }
            });
        }
    };
    (0..CLIENTS).for_each(&start_client);
    pause_ms(3000);
    let upgrade = front.start_command(&["upgrade"]);
    let log = case.folder.join("n1.log");
    let read_log = || std::fs::read_to_string(&log).unwrap_or_default();
    assert!(wait_until(5000, || read_log().contains("upgrade started")), "the upgrade begins");
    let pid: i32 = read_log()
        .split("pid: ")
        .nth(1)
        .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok())
        .expect("its id");
    let mut stopped = false;
    if case.trouble {
        let open = || std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |all| all.count());
        let started = Instant::now();
        while open() < 30 && started.elapsed() < Duration::from_secs(3) {}
        stopped = kill(pid, STOP);
        case.record
            .note(&format!("signal {STOP} to the new process {pid}, which has {} descriptors open", open()));
        pause_ms(200);
        assert!(!read_log().contains("upgrade committed"), "it hangs before the commit");
    }
    // New clients come, two a second.
    let began = Instant::now();
    let mut number = CLIENTS;
    while began.elapsed() < Duration::from_secs(25) {
        start_client(number);
        number += 1;
        pause_ms(500);
    }
    let is_over = read_log().contains("upgrade aborted") || read_log().contains("upgrade committed");
    case.record.note(&format!("25 s later the upgrade is over: {is_over}"));
    if stopped {
        kill(pid, CONT);
    }
    stop.store(true, Ordering::SeqCst);
    let limit = Duration::from_millis(D_MS + 500 + 50);
    let sent = sent.lock().expect("the requests");
    let late = sent.values().filter(|(at, took)| took.unwrap_or(at.elapsed()) > limit).count();
    let never = sent.values().filter(|(at, took)| took.is_none() && at.elapsed() > limit).count();
    case.record
        .note(&format!("{} requests, {late} not answered in time, {never} of them not at all", sent.len()));
    drop(upgrade);
    match late {
        0 => Ok(()),
        _ => Err(format!(
            "{late} of {} requests were not answered in time, {never} of them not at all",
            sent.len()
        )),
    }
}
