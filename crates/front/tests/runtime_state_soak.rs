//! Reloads, changes of the list, planned changes and upgrades in an order drawn from a seed: at each moment the process
//! that serves goes by what was last put in force, whichever process was told of it. `RUNTIME_STATE_SEEDS=100..130` plays
//! other seeds than the few of CI.

use juniperdock_test_support::{Agent, OperatedFront, WATCH, has_ended, signal, txn, wait_until};
use oorandom::Rand32;
use runtime_cluster::{Cluster, TELLING_TIME, listed_where};
use std::time::{Duration, Instant};

mod runtime_cluster;

const SEEDS: std::ops::Range<u64> = 1..7;
const STEPS: u32 = 10;
/// Reads in a row after each step; with both replicas in use each gets some of so many, by all odds.
const READS: usize = 16;
const REPLICAS: [usize; 2] = [1, 2];
/// So long after an upgrade was ordered its old process has not ended and can still tell the new one.
const OLD_PROCESS_LIVES: Duration = Duration::from_millis(400);

/// What is in force.
struct Play {
    cluster: Cluster,
    random: Rand32,
    seed: u64,
    version: u64,
    /// Whether each member is listed.
    is_listed: [bool; 3],
    /// A planned change holds writes.
    writes_held: bool,
    reloads: u64,
    done: Vec<String>,
}

impl Play {
    fn start(seed: u64) -> Play {
        let cluster = Cluster::start();
        let (random, is_listed) = (Rand32::new(seed), [true; 3]);
        Play {
            cluster,
            random,
            seed,
            version: 1,
            is_listed,
            writes_held: false,
            reloads: 0,
            done: Vec::new(),
        }
    }

    fn front(&self) -> &OperatedFront {
        &self.cluster.front
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.rand_range(0..100) < percent
    }

    fn note(&mut self, what: &str) {
        self.done.push(what.to_owned());
    }

    fn list(&self) -> String {
        listed_where(&self.cluster.members, self.version, ["up"; 3], |member| self.is_listed[member])
    }

    /// Moves discovery to a new address, and tells that process.
    fn move_discovery(&mut self, pid: &str) {
        self.note("move discovery");
        self.replace_agent();
        self.cluster.reload(pid, 0, self.reloads);
        self.reloads += 1;
        wait_until(|| self.cluster.agents[0].requests.try_recv().is_ok());
    }

    fn replace_agent(&mut self) {
        self.cluster.agents.clear();
        self.cluster.agents.push(Agent::start(WATCH));
        self.cluster.agents[0].publish_current(self.list());
    }

    /// Moves discovery to a new address right after an upgrade, and tells the old process while that ends; the new one if
    /// it may be too late for that.
    fn move_discovery_by_ending_process(&mut self, old: &str, upgrade_ordered_at: Instant) {
        self.note("the ending process is told to move discovery");
        let before = self.front().status_number("reloads").expect("a count");
        self.replace_agent();
        self.cluster.configure(0);
        signal(old, "-HUP");
        if upgrade_ordered_at.elapsed() >= OLD_PROCESS_LIVES {
            signal(&self.front().serving_pid(), "-HUP");
        }
        wait_until(|| self.front().status_number("reloads") > Some(before));
        wait_until(|| self.cluster.agents[0].requests.try_recv().is_ok());
    }

    /// Lists or removes a replica.
    fn change_list(&mut self) {
        let replica = REPLICAS[self.random.rand_range(0..2) as usize];
        self.is_listed[replica] ^= true;
        self.note(&format!("listed: {:?}", self.is_listed));
        self.version += 1;
        let before = self.front().status_number("lists");
        self.cluster.agents[0].publish_current(self.list());
        wait_until(|| self.front().status_number("lists") > before);
    }

    /// Orders a planned change, or calls it off.
    fn change_plan(&mut self) {
        self.writes_held ^= true;
        self.note(if self.writes_held { "order" } else { "call off" });
        let what = if self.writes_held { "move" } else { "cancel" };
        let (succeeded, output) = self.front().command(&["primary", what, "2"]);
        assert!(succeeded, "{}: {output}", self.story());
    }

    /// Puts something in force in the process that serves.
    fn put_in_force(&mut self) {
        match self.random.rand_range(0..3) {
            0 => {
                let pid = self.front().serving_pid();
                self.move_discovery(&pid);
            }
            1 => self.change_list(),
            _ => self.change_plan(),
        }
    }

    /// An upgrade during which something is put in force; it is committed or taken back.
    fn disturbed_upgrade(&mut self) {
        self.note("begin upgrade");
        let mut upgrade = self.cluster.begin_upgrade();
        for _ in 0..self.random.rand_range(0..3) {
            self.put_in_force();
        }
        if self.chance(40) {
            self.note("take it back");
            signal(&upgrade.new, "-KILL");
            let _ = upgrade.command.wait();
            self.cluster.members[3].set_primary(true);
            return;
        }
        self.note("finish upgrade");
        self.cluster.finish_upgrade(upgrade);
        self.await_reloads();
    }

    /// A plain upgrade, at times while discovery takes no new watch.
    fn upgrade(&mut self) {
        let is_silent = self.chance(50);
        self.note(if is_silent { "upgrade, discovery silent" } else { "upgrade" });
        self.cluster.agents[0].ignore_new_watches(is_silent);
        let (old, ordered_at) = (self.front().serving_pid(), Instant::now());
        self.front().upgrade();
        if !is_silent && self.chance(50) {
            self.move_discovery_by_ending_process(&old, ordered_at);
        }
        self.await_reloads();
        self.check();
        self.cluster.agents[0].ignore_new_watches(false);
        let asked = || self.cluster.agents[0].requests.try_recv().is_ok();
        self.cluster.agents[0].requests.try_iter().for_each(drop);
        if is_silent {
            wait_until(asked);
        }
    }

    /// A new process has its own count of reloads, those of the old one during the upgrade among them.
    fn await_reloads(&mut self) {
        std::thread::sleep(TELLING_TIME);
        self.reloads = self.front().status_number("reloads").expect("a count");
    }

    /// An upgrade whose new process serves, is told of something and dies; the old one goes on.
    fn new_process_dies(&mut self) {
        self.note("new process dies");
        let mut client = self.cluster.long_write();
        let new = self.front().upgrade();
        self.await_reloads();
        self.put_in_force();
        std::thread::sleep(TELLING_TIME);
        signal(&new, "-KILL");
        wait_until(|| has_ended(&new));
        self.check();
        self.cluster.members[0].close_hanging();
        assert!(client.reply().code.is_some(), "{}", self.story());
    }

    /// Checks that reads go to listed servers alone and writes wait while a planned change holds them.
    fn check(&self) {
        let members = &self.cluster.members;
        members.iter().for_each(|member| member.seen.try_iter().for_each(drop));
        let mut client = self.front().client();
        for _ in 0..READS {
            let reply = client.query(&txn("lookup", 2000, "read"));
            assert!(reply.value.is_some(), "{}: {reply:?}", self.story());
        }
        let reads =
            |member: usize| members[member].seen.try_iter().filter(|seen| seen.contains("read")).count();
        for replica in REPLICAS {
            let reads = reads(replica);
            assert!(self.is_listed[replica] || reads == 0, "{}: {reads} reads at {replica}", self.story());
        }
        if self.writes_held {
            let reply = client.query(&txn("order", 200, "held"));
            assert!(reply.value.is_none(), "{}: a write is served", self.story());
            let writes = members[0].seen.try_iter().filter(|seen| seen.contains("held")).count();
            assert_eq!(writes, 0, "{}: a write at the primary that leaves", self.story());
        }
    }

    /// Ends a planned change in time: it would end by itself.
    fn end_plan(&mut self) {
        if self.writes_held {
            self.change_plan();
        }
    }

    fn run(mut self) {
        for _ in 0..STEPS {
            match self.random.rand_range(0..3) {
                0 => self.put_in_force(),
                1 => self.upgrade(),
                _ => self.disturbed_upgrade(),
            }
            self.check();
            self.end_plan();
        }
        self.new_process_dies();
    }

    fn story(&self) -> String {
        format!("seed {}, {}", self.seed, self.done.join(", "))
    }
}

/// Guards against anything that was put in force while one process ran and that another one of the same front goes without,
/// in orders that nobody has thought of.
#[test]
fn what_was_put_in_force_holds_in_any_order_of_upgrades() {
    let range = std::env::var("RUNTIME_STATE_SEEDS").ok().and_then(|range| {
        let (from, to) = range.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    for seed in range.unwrap_or(SEEDS) {
        println!("seed {seed}");
        Play::start(seed).run();
    }
}
