//! How long a drain binds: until discovery tells a later start of its server, whatever else lists say and whatever a clock
//! makes of the start (`docs/design.md`).

use cluster::{PROGRAM, wait_until};
use juniperdock_test_support::agent::entries;
use juniperdock_test_support::{Agent, Entry, Front, Member, WATCH, address, txn, unix_ms};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

mod cluster;

const MEMBERS: usize = 8;
/// The first is the primary, the last is never drained.
const DRAINED: std::ops::Range<usize> = 1..MEMBERS - 1;
/// Twice the 50 ms by which every limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(100);

/// A group of which only a drain takes servers out of use, as its settings say. All started 15 s ago and are warm a
/// second later.
struct Setting {
    agent: Agent,
    members: Vec<Member>,
    started: u128,
    front: Front,
}

impl Setting {
    fn start() -> Setting {
        let members: Vec<Member> = (0..MEMBERS).map(|index| Member::start(index == 0)).collect();
        let agent = Agent::start(WATCH);
        let started = unix_ms() - 15_000;
        let known = listed(&members, 1, true, started, &["up"; MEMBERS]);
        let config = Front::config(&known, 1024)
            .replace("\"WarmUp\":1000.0", "\"WarmUp\":16000.0,\"GoneIsAdvice\":true")
            .replace("\"recent\"", "\"loose\"");
        let front = Front::start_with_config(PROGRAM, address(), agent.at, &config, None);
        let setting = Setting { agent, members, started, front };
        setting.publish(1, setting.started, &["up"; MEMBERS]);
        wait_until(|| setting.front.client().query(&txn("lookup", 3000, "warm-up")).value.is_some());
        setting
    }

    fn publish(&self, version: u64, started: u128, states: &[&str; MEMBERS]) {
        self.agent.publish(listed(&self.members, version, true, started, states));
    }

    /// Reads with a few clients for a while; returns how many reads came to members that drain.
    fn reads_at_drained(&self, how_long: Duration) -> usize {
        let (is_over, front) = (AtomicBool::new(false), &self.front);
        std::thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| {
                    let mut client = front.client();
                    while !is_over.load(Ordering::Relaxed) {
                        client.query(&txn("lookup", 300, "r"));
                    }
                });
            }
            std::thread::sleep(how_long);
            is_over.store(true, Ordering::Relaxed);
        });
        self.members[DRAINED].iter().map(|member| member.seen.try_iter().count()).sum()
    }
}

fn listed(members: &[Member], version: u64, full: bool, started: u128, states: &[&str; MEMBERS]) -> String {
    let names: Vec<String> = (0..MEMBERS).map(|index| format!("m-{index}")).collect();
    let all: Vec<Entry> = members
        .iter()
        .enumerate()
        .map(|(index, member)| Entry {
            id: &names[index],
            at: member.at,
            cell: 2,
            state: states[index],
            started,
        })
        .collect();
    entries(version, full, &all)
}

fn states(of_drained: &'static str) -> [&'static str; MEMBERS] {
    let mut states = ["up"; MEMBERS];
    states[DRAINED].fill(of_drained);
    states
}

/// Guards against a drain that ends by less than a microsecond: each list's start was converted by a clock that counts
/// finer than the conversion.
#[test]
fn drained_server_gets_nothing_until_a_later_start_is_told() {
    let setting = Setting::start();
    assert!(setting.reads_at_drained(Duration::from_millis(300)) > 0, "they are used");
    setting.publish(2, setting.started, &states("draining"));
    std::thread::sleep(GRACE);
    setting.reads_at_drained(Duration::ZERO);
    let began = Instant::now();
    for (version, state) in (3..).zip(["removed", "up", "draining", "removed", "up", "removed"]) {
        setting.publish(version, setting.started, &states(state));
        let reads = setting.reads_at_drained(Duration::from_millis(200));
        assert_eq!(reads, 0, "listed as {state}, {:?} after the drain", began.elapsed());
    }
    // An older list: they had another start before.
    setting.publish(9, setting.started - 3000, &states("up"));
    assert_eq!(setting.reads_at_drained(Duration::from_millis(200)), 0, "an older start");
    setting.publish(10, setting.started + 1, &states("up"));
    wait_until(|| setting.reads_at_drained(Duration::from_millis(100)) > 0);
}
