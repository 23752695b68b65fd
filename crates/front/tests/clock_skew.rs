//! The wall clock of a process is off by seconds or an hour when it starts: it still serves, and reads nothing that
//! is older than allowed.

use cluster::{PROGRAM, TestCluster, wait_until};
use juniperdock_connection::spawn;
use juniperdock_fault_controls::{Controls, preload};
use juniperdock_front::clock::Clock;
use juniperdock_server_clock::{PositionSample, Verdict};
use juniperdock_test_support::{Front, address, txn};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

mod cluster;

/// A front whose wall clock is off by this much for as long as it runs.
fn front_with_clock_off(cluster: &TestCluster, name: &str, off_ms: i64) -> Front {
    front_with_clock_off_and(cluster, name, off_ms, None)
}

fn front_with_clock_off_and(cluster: &TestCluster, name: &str, off_ms: i64, charter: Option<&str>) -> Front {
    let file = std::env::temp_dir().join(format!("jd-clock-{name}-{}", std::process::id()));
    Controls { wall_clock_ms: off_ms, ..Controls::default() }.write(&file).expect("a file");
    let environment = preload(&file).expect("the library");
    let config = Front::config(&cluster.server_list, 1024);
    let front =
        Front::start_with_environment(PROGRAM, address(), cluster.agent.at, &config, charter, &environment);
    drop(front.client());
    let _ = std::fs::remove_file(file);
    front
}

/// How many of this many reads in a row are served.
fn reads_served(front: &Front, times: usize) -> usize {
    let mut client = front.client();
    (0..times).filter(|i| client.query(&txn("lookup", 3000, &format!("r{i}"))).value.is_some()).count()
}

#[test]
fn requests_are_served_with_a_wall_clock_that_is_off_at_the_start() {
    for (name, off_ms) in [("a", -3_600_000), ("b", -10_000), ("c", -1000), ("d", 1000), ("e", 3_600_000)] {
        let cluster = TestCluster::new();
        let front = front_with_clock_off(&cluster, name, off_ms);
        wait_until(|| front.client().query(&txn("order", 3000, "w")).value.is_some());
        wait_until(|| front.client().query(&txn("lookup", 3000, "r")).value.is_some());
        let served = reads_served(&front, 20);
        assert!(served >= 18, "{served} of 20 with a clock that is off by {off_ms} ms");
    }
}

/// Requests that wait for a server while the process finds out that its clock is behind keep waiting, and are served.
#[test]
fn requests_that_wait_during_a_clock_correction_are_served() {
    for (name, off_ms) in [("h", -3_600_000), ("i", -10_000), ("j", -1000)] {
        let cluster = TestCluster::new();
        let front = front_with_clock_off(&cluster, name, off_ms);
        let served = std::thread::scope(|scope| {
            let asked: Vec<_> = (0..24)
                .map(|i| {
                    let (mut client, kind) = (front.client(), if i % 2 == 0 { "order" } else { "lookup" });
                    scope.spawn(move || client.query(&txn(kind, 3000, &format!("t{i}"))))
                })
                .collect();
            asked.into_iter().map(|asked| asked.join().expect("an answer")).collect::<Vec<_>>()
        });
        let refused: Vec<_> = served.iter().filter(|reply| reply.value.is_none()).collect();
        assert!(refused.is_empty(), "{} of 24, clock off by {off_ms} ms: {refused:?}", refused.len());
    }
}

/// The age of a snapshot is determined correctly by the next process, whatever was done to the wall clock in between.
#[test]
fn snapshot_is_restored_whatever_the_wall_clock_says() {
    let cluster = TestCluster::new();
    let file = std::env::temp_dir().join(format!("jd-clocks-snapshot-{}", std::process::id()));
    let charter = format!("{{ snapshot: {{ path: {:?}, every_s: 1 }} }}", file.display().to_string());
    let ended = |front: Front| {
        front.signal("-TERM");
        front.end().1
    };
    let first = front_with_clock_off_and(&cluster, "k", 0, Some(&charter));
    assert!(first.client().query(&txn("order", 3000, "w")).value.is_some());
    wait_until(|| file.exists());
    ended(first);
    for (name, off_ms) in [("l", -3_600_000), ("m", 3_600_000)] {
        let kept = std::fs::read(&file).expect("a snapshot");
        let text = ended(front_with_clock_off_and(&cluster, name, off_ms, Some(&charter)));
        assert!(text.contains("a snapshot is taken up"), "clock off by {off_ms} ms: {text}");
        std::fs::write(&file, kept).expect("a file");
    }
    let _ = std::fs::remove_file(&file);
}

#[test]
fn replicas_are_not_read_beyond_the_bound_with_a_wall_clock_behind() {
    for (name, off_ms) in [("f", -1000), ("g", -10_000)] {
        let cluster = TestCluster::new();
        let front = front_with_clock_off(&cluster, name, off_ms);
        wait_until(|| front.client().query(&txn("order", 3000, "w")).value.is_some());
        cluster.members[1].freeze_position();
        cluster.members[2].freeze_position();
        // The bound is 300 ms; the replicas' data is older by then.
        let stood = Instant::now();
        wait_until(|| stood.elapsed() > Duration::from_millis(700));
        cluster.members.iter().for_each(|member| member.seen.try_iter().for_each(drop));
        let served = reads_served(&front, 30);
        let stale = cluster.members[1..].iter().flat_map(|member| member.seen.try_iter()).count();
        assert_eq!(stale, 0, "reads of old data, clock off by {off_ms} ms");
        assert!(served >= 20, "{served} of 30 at the primary");
    }
}

#[test]
fn one_server_whose_clock_is_ahead_changes_nothing_for_the_others() {
    let cluster = TestCluster::new();
    let front = cluster.start_front();
    wait_until(|| front.client().query(&txn("order", 3000, "w")).value.is_some());
    cluster.members[2].freeze_position_ahead(Duration::from_secs(3600));
    let served = reads_served(&front, 40);
    assert!(served >= 36, "{served} of 40");
    assert!(front.client().query(&txn("order", 3000, "w2")).value.is_some());
}

/// The verdict on the positions of two primaries that are ahead of this process by this much.
fn ahead_by(clock: &Clock, by: Duration) -> Verdict {
    let sample = |server| {
        let now = clock.now();
        PositionSample { server, position: now + by, primary: true, asked: now, now }
    };
    clock.judge(sample(0));
    clock.judge(sample(1))
}

/// Guards against a new process that reads a wall clock which was stepped since the old one has read it, and against one that
/// knows nothing of a correction: a time that servers have confirmed goes before the reading, else the later one.
#[test]
fn servers_time_goes_over_to_another_process() {
    const HOUR: Duration = Duration::from_secs(3600);
    let start = || Clock::start(Duration::ZERO).expect("a clock").0;
    let difference = |one: &Clock, other: &Clock| {
        (other.server_time(other.origin()).unix_us - one.server_time(one.origin()).unix_us) as f64 / 1e6
    };
    let (old, new) = (start(), start());
    assert!(matches!(ahead_by(&old, HOUR), Verdict::Behind(_)));
    new.adopt_server_time(&old.server_time(old.origin()));
    assert!(difference(&old, &new).abs() < 0.5, "the correction goes over");
    // The old process reads an hour less than the new one.
    let mut told = start().server_time(old.origin());
    told.unix_us -= 2 * HOUR.as_micros() as i64;
    let later = start();
    later.adopt_server_time(&told);
    assert!(difference(&start(), &later).abs() < 0.5, "the later of both counts");
    (told.confirmed, told.ahead) = (true, Duration::from_secs(5));
    let confirmed = start();
    confirmed.adopt_server_time(&told);
    assert!((difference(&start(), &confirmed) + 3600.0).abs() < 0.5, "servers have confirmed it");
    assert_eq!(confirmed.ahead(), Duration::from_secs(5));
}

#[test]
fn clock_correction_moves_no_timer_and_no_span() {
    const HOUR: Duration = Duration::from_secs(3600);
    let (clock, run_timers) = Clock::start(Duration::ZERO).expect("a clock");
    spawn("clock", 64 << 10, run_timers).expect("a coroutine");
    let (fired, fires) = channel();
    let (begun, before) = (Instant::now(), clock.now());
    clock.run_at(before + HOUR / 2, move || {
        let _ = fired.send(());
    });
    assert!(matches!(ahead_by(&clock, HOUR), Verdict::Behind(by) if by >= HOUR));
    // A timer that is due soon fires, so all due timers have been checked.
    let (soon, is_due) = channel();
    clock.run_at(clock.now() + Duration::from_millis(50), move || {
        let _ = soon.send(());
    });
    is_due.recv_timeout(Duration::from_secs(20)).expect("it is due");
    assert!(fires.try_recv().is_err(), "half an hour has not passed");
    assert!(clock.now() - before <= begun.elapsed() + Duration::from_secs(1), "spans are of real time");
}
