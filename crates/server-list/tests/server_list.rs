//! Lists, the changes that they make, which of them are accepted, and the rate of probes.

use juniperdock_server_list::{
    KnownServer, ProbeLimits, ProbeQueue, ServerList, ServerState, ServerTable, Update, Versions,
};
use proptest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn change(version: u64, full: bool, servers: &[(&str, &str)]) -> ServerList {
    let entry = |(id, state): &(&str, &str)| {
        format!(r#"{{"id":"{id}","addr":"127.0.0.1:5","cell":3,"state":"{state}","kind":"m2","weight":1.0}}"#)
    };
    let entries: Vec<String> = servers.iter().map(entry).collect();
    let text = format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","));
    ServerList::parse(text.as_bytes()).expect("a list")
}

fn ids(list: Option<ServerList>) -> Option<Vec<String>> {
    list.map(|list| list.servers.into_iter().map(|entry| entry.id).collect())
}

#[test]
fn entries_are_typed_and_errors_show_where() {
    let text = r#"{"version":4,"full":true,"servers":[
        {"id":"m","addr":"127.0.0.1:5","zone":"a","cell":3,"state":"up","role":"leader","started_ms":7},
        {"id":"n","addr":"127.0.0.1:6","cell":3,"state":"draining","started_ms":0,"role":null}]}"#;
    let list = ServerList::parse(text.as_bytes()).expect("a list");
    let [one, two] = &list.servers[..] else { panic!("{list:?}") };
    assert!(one.is_leader() && !two.is_leader());
    assert_eq!((one.started_ms(), two.started_ms()), (Some(7), None));
    assert_eq!((two.state, two.zone.as_str(), two.group), (ServerState::Draining, "", 3));
    for (from, to) in [
        ("\"cell\":3", "\"cell\":\"x\""),
        ("127.0.0.1:5", "nowhere"),
        ("\"up\"", "\"sleepy\""),
        ("\"id\":\"m\",", ""),
        ("4", "-1"),
    ] {
        let why = ServerList::parse(text.replacen(from, to, 1).as_bytes()).expect_err(to);
        assert!(why.starts_with("expected a list of servers in JSON: ") && why.contains("line"), "{why}");
    }
}

#[test]
fn changes_are_accepted_after_versions_go_back() {
    let mut versions = Versions::new(Some(7));
    let some = |ids: &[&str]| Some(ids.iter().map(|id| (*id).to_owned()).collect::<Vec<_>>());
    assert_eq!(ids(versions.accept(1, change(7, false, &[("known", "up")]))), None, "known already");
    assert_eq!(ids(versions.accept(1, change(8, false, &[("a", "up")]))), some(&["a"]));
    // Discovery was reset to an earlier version: further lists of the same watch are accepted.
    let back = change(3, false, &[("b", "up"), ("c", "draining")]);
    assert_eq!(ids(versions.accept(1, back)), some(&["b", "c"]));
    assert_eq!(ids(versions.accept(1, change(9, false, &[]))), some(&[]));
    // A new watch that is behind takes servers out of use, and brings none back.
    let behind = change(8, false, &[("a", "up"), ("d", "draining"), ("e", "removed")]);
    assert_eq!(ids(versions.accept(2, behind)), some(&["d", "e"]));
    assert_eq!(versions.known(), Some(9));
    assert_eq!(
        ids(versions.accept(2, change(9, false, &[("g", "up")]))),
        None,
        "known from the previous watch"
    );
    assert_eq!(ids(versions.accept(2, change(10, false, &[("f", "up")]))), some(&["f"]));
    assert_eq!(
        ids(versions.accept(2, change(2, true, &[("a", "up")]))),
        some(&["a"]),
        "a full list is accepted"
    );
    assert_eq!(versions.known(), Some(2));
}

/// Guards against changes that are missed because a later one has come from another process of the front.
#[test]
fn lists_of_another_process_count_whole_only_where_no_change_is_missing_before_them() {
    let (mut versions, some) = (Versions::new(Some(7)), |ids: &[&str]| {
        Some(ids.iter().map(|id| (*id).to_owned()).collect::<Vec<_>>())
    });
    let states = [("a", "up"), ("b", "draining")];
    assert_eq!(ids(versions.accept(1, change(7, true, &[]))), some(&[]));
    assert_eq!(ids(versions.accept_from_peer(Some(6), change(9, false, &states))), some(&["b"]));
    assert_eq!(versions.known(), Some(7), "version 8 may be missing");
    assert_eq!(ids(versions.accept_from_peer(Some(7), change(9, false, &states))), some(&["a", "b"]));
    assert_eq!(versions.known(), Some(9));
    assert_eq!(ids(versions.accept(1, change(8, false, &[("b", "up")]))), None, "the watch is behind");
    assert_eq!(ids(versions.accept(1, change(10, false, &[("b", "up")]))), some(&["b"]));
    // Discovery was reset, and the other process has heard of it first.
    assert_eq!(ids(versions.accept_from_peer(Some(10), change(3, false, &states))), some(&["a", "b"]));
    assert_eq!(versions.known(), Some(3));
}

fn known(port: u16, state: ServerState) -> KnownServer {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    KnownServer { address, group: 0, zone: 0, state, leader: false, started_ms: None }
}

#[test]
fn the_table_reports_what_a_list_changes() {
    let mut table = ServerTable::default();
    let all = Update { changed: true, moved: true, state_changed: true };
    assert_eq!(table.update(2, known(5, ServerState::Up)), all);
    assert_eq!(table.update(2, known(5, ServerState::Up)), Update::default(), "nothing new");
    assert_eq!(
        table.update(2, known(6, ServerState::Up)),
        Update { changed: true, moved: true, ..Update::default() }
    );
    let drains = Update { changed: true, state_changed: true, ..Update::default() };
    assert_eq!(table.update(2, known(6, ServerState::Draining)), drains);
    table.update(0, known(7, ServerState::Up));
    assert_eq!(table.remove_unnamed(&[2]), [0]);
    assert_eq!(table.remove_unnamed(&[2]), [0_usize; 0], "a removal is reported once");
    assert_eq!(
        table.known().map(|(at, server)| (at, server.state)).collect::<Vec<_>>(),
        [(0, ServerState::Removed), (2, ServerState::Draining)]
    );
    table.forget(0);
    assert!(table.get(0).is_none() && table.get(1).is_none() && table.get(9).is_none());
    assert_eq!(table.update(0, known(8, ServerState::Up)), all);
}

const WIDE: ProbeLimits = ProbeLimits { background: 1000, all: 2000 };

fn starts(queue: &mut ProbeQueue, now: Duration) -> Vec<usize> {
    std::iter::from_fn(|| queue.next(now)).collect()
}

/// Starts all probes that may start until then; each ends at once.
fn run(queue: &mut ProbeQueue, until: Duration) -> Vec<(Duration, usize)> {
    let (mut now, mut all) = (Duration::ZERO, Vec::new());
    while now < until {
        for server in starts(queue, now) {
            all.push((now, server));
            queue.ended(server);
        }
        let Some(next) = queue.next_at() else { break };
        now = next.max(now + Duration::from_micros(1));
    }
    all
}

#[test]
fn after_a_change_of_all_servers_probes_are_rate_limited() {
    let mut queue = ProbeQueue::new(7, WIDE);
    (0..20_000).for_each(|server| queue.request(ms(0), server, server / 3, false));
    assert_eq!(queue.queued(), 20_000);
    let started = run(&mut queue, Duration::from_secs(20));
    // A burst, then 8 a second, whatever the number of servers.
    assert!((250..330).contains(&started.len()), "{}", started.len());
    // Round-robin: no group is probed twice before all were probed once.
    let mut groups: Vec<usize> = started.iter().map(|(_, server)| server / 3).collect();
    groups.sort_unstable();
    groups.dedup();
    assert_eq!(groups.len(), started.len());
}

#[test]
fn groups_with_waiting_transactions_are_probed_at_once_without_starving_others() {
    let mut queue = ProbeQueue::new(7, WIDE);
    (0..20_000).for_each(|server| queue.request(ms(0), server, server / 3, false));
    run(&mut queue, Duration::from_secs(1));
    let now = Duration::from_secs(1);
    // One group that is queued far behind, and one that is requested now.
    queue.used(now, 5000, true);
    queue.request(now, 60_000, 20_000, true);
    let first: Vec<usize> = starts(&mut queue, now).into_iter().take(4).collect();
    assert!(first.contains(&60_000) && (15_000..15_003).all(|server| first.contains(&server)), "{first:?}");
    // Groups in use have their own budget beside those that are not.
    (6000..6600).for_each(|group| queue.used(now, group, false));
    let started = run(&mut queue, Duration::from_secs(4));
    let used = started.iter().filter(|(_, server)| (18_000..19_800).contains(server)).count();
    let unused = started.len() - used;
    assert!(used > 300 && unused > 15, "{used} {unused}");
}

#[test]
fn probes_in_flight_are_limited_and_not_requested_twice() {
    let mut queue = ProbeQueue::new(7, ProbeLimits { background: 4, all: 6 });
    (0..50).for_each(|server| queue.request(ms(0), server, server, false));
    (0..50).for_each(|server| queue.request(ms(0), server, server, false));
    assert_eq!(starts(&mut queue, ms(0)), [0, 1, 2, 3]);
    assert_eq!((queue.queued(), queue.next_at()), (46, None), "a probe must end first");
    (100..110).for_each(|server| queue.request(ms(0), server, server, true));
    assert_eq!(starts(&mut queue, ms(0)), [100, 101], "demanded probes have a higher limit");
    (0..3).for_each(|server| queue.ended(server));
    queue.ended(49);
    assert_eq!(starts(&mut queue, ms(0)), [102, 103, 104]);
    assert_eq!(ProbeLimits::for_connections(233), ProbeLimits { background: 58, all: 116 });
}

proptest! {
    /// For any sequence of events, each requested probe starts once, and the limits hold.
    #[test]
    fn each_requested_probe_starts_once(steps in prop::collection::vec((0..40usize, 0..4u8), 1..300), seed: u64) {
        let limits = ProbeLimits { background: 5, all: 8 };
        let mut queue = ProbeQueue::new(seed, limits);
        let (mut requested, mut out) = (std::collections::BTreeSet::new(), Vec::new());
        let mut now = Duration::ZERO;
        for (server, step) in steps {
            now += ms(3);
            match step {
                0 | 1 => {
                    queue.request(now, server, server / 4, step == 1);
                    if !out.contains(&server) {
                        requested.insert(server);
                    }
                }
                2 => queue.used(now, server / 4, server % 2 == 0),
                _ => {
                    if let Some(server) = out.pop() {
                        queue.ended(server);
                    }
                }
            }
            if let Some(server) = queue.next(now) {
                prop_assert!(requested.remove(&server));
                out.push(server);
            }
            prop_assert!(out.len() <= limits.all);
            prop_assert_eq!(queue.queued(), requested.len());
        }
        // In the end all requested probes have started.
        for _ in 0..10_000 {
            out.drain(..).for_each(|server| queue.ended(server));
            now += ms(50);
            while let Some(server) = queue.next(now) {
                prop_assert!(requested.remove(&server));
                out.push(server);
            }
        }
        prop_assert!(requested.is_empty(), "{:?}", requested);
    }
}
