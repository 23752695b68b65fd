//! A front whose process is replaced while something is put in force, before members and discovery of a test.
#![allow(dead_code)] // Not every test file uses all of it.

use juniperdock_test_support::agent::entries;
use juniperdock_test_support::{
    Agent, Behaviour, Client, Entry, Front, Member, OperatedFront, WATCH, address, has_ended, signal, txn,
    wait_until,
};
use std::path::PathBuf;
use std::process::{Child, Stdio};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_juniperdock");
/// The first three are one group, the last is another one, whose lack of a primary holds upgrades up.
const NAMES: [&str; 4] = ["m-0", "m-1", "m-2", "n-0"];
const CELLS: [u64; 4] = [2, 2, 2, 3];
/// Reads in a row; replicas serve them all if they may.
pub const READS: usize = 24;
/// Longer than one process takes to tell the other of a change.
pub const TELLING_TIME: Duration = Duration::from_millis(300);

/// A front before a primary and two replicas, and several addresses of discovery of which it knows the first.
pub struct Cluster {
    pub members: Vec<Member>,
    pub agents: Vec<Agent>,
    pub front: OperatedFront,
}

/// An upgrade whose new process is held up before it is ready. Dropping it ends that process unless it went on.
pub struct HeldUpgrade {
    pub command: Child,
    pub new: String,
}

impl Drop for HeldUpgrade {
    fn drop(&mut self) {
        if std::thread::panicking() {
            signal(&self.new, "-KILL");
        }
    }
}

impl Cluster {
    pub fn start() -> Cluster {
        Cluster::start_with_charter("")
    }

    pub fn start_with_charter(charter: &str) -> Cluster {
        Cluster::start_with_environment(charter, &[])
    }

    pub fn start_with_environment(charter: &str, environment: &[(&str, PathBuf)]) -> Cluster {
        let members: Vec<Member> = (0..NAMES.len()).map(|i| Member::start(i == 0 || i == 3)).collect();
        let agents: Vec<Agent> = (0..3).map(|_| Agent::start(WATCH)).collect();
        let config = config(&members, &agents[0]);
        let (at, agent) = (address(), agents[0].at);
        let front = OperatedFront::start_with_environment(PROGRAM, at, agent, &config, charter, environment);
        let cluster = Cluster { members, agents, front };
        wait_until(|| cluster.front.client().query(&txn("order", 2000, "first")).value.is_some());
        cluster
    }

    /// Puts a configuration in place that names this address of discovery.
    pub fn configure(&self, agent: usize) {
        self.front.front.replace_file("config.json", &config(&self.members, &self.agents[agent]));
    }

    /// Puts the address in place and tells a process to reload, which has reloaded as often before.
    pub fn reload(&self, pid: &str, agent: usize, reloads_before: u64) {
        self.configure(agent);
        signal(pid, "-HUP");
        wait_until(|| self.front.status_number("reloads") > Some(reloads_before));
    }

    /// The reads that come to replicas when some are sent.
    pub fn reads_at_replicas(&self) -> usize {
        self.members.iter().for_each(|member| member.seen.try_iter().for_each(drop));
        let mut client = self.front.client();
        (0..READS).for_each(|_| drop(client.query(&txn("lookup", 2000, "read"))));
        self.members[1..3].iter().map(|member| member.seen.try_iter().count()).sum()
    }

    /// Checks that drains which only this address of discovery tells are kept.
    pub fn assert_discovery_is(&self, agent: usize) {
        wait_until(|| self.reads_at_replicas() == READS);
        self.agents[agent].publish(listed(&self.members, 9, ["up", "draining", "draining"]));
        wait_until(|| self.reads_at_replicas() == 0);
        assert_eq!(self.reads_at_replicas(), 0, "reads at draining servers");
    }

    /// Begins an upgrade and holds the new process up once it has started from its files and asks for the list.
    pub fn begin_upgrade(&self) -> HeldUpgrade {
        // A new process waits for the primaries before it says that it is ready.
        self.members[3].set_primary(false);
        self.agents.iter().for_each(|agent| agent.requests.try_iter().for_each(drop));
        let program = self.front.wrapped_program("next", "");
        let command = self.spawn_upgrade(&program.path.display().to_string());
        let new = program.await_start();
        wait_until(|| self.agents.iter().any(|agent| agent.requests.try_recv().is_ok()));
        signal(&new, "-STOP");
        HeldUpgrade { command, new }
    }

    /// Upgrades, and sends the old process a signal while that ends; returns the id of the new one.
    pub fn upgrade_and_signal_ending(&self, name: &str) -> String {
        loop {
            let old = self.front.serving_pid();
            let new = self.front.upgrade();
            signal(&old, name);
            if !has_ended(&old) {
                return new;
            }
        }
    }

    pub fn spawn_upgrade(&self, program: &str) -> Child {
        let mut command = self.front.to_command(&["upgrade", "--program", program]);
        command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it runs")
    }

    /// Lets an upgrade go on; it is committed.
    pub fn finish_upgrade(&self, mut upgrade: HeldUpgrade) {
        self.members[3].set_primary(true);
        signal(&upgrade.new, "-CONT");
        assert!(upgrade.command.wait().expect("it ends").success(), "the upgrade is committed");
        wait_until(|| self.front.serving_pid() == upgrade.new);
    }

    /// Orders a planned change of the first group's primary.
    pub fn order_change(&self) {
        let (succeeded, output) = self.front.command(&["primary", "move", "2"]);
        assert!(succeeded, "{output}");
    }

    /// Sends a write; returns its client.
    pub fn write(&self) -> Client {
        let mut client = self.front.client();
        client.send(&txn("order", 5000, "held"));
        client
    }

    /// Whether the first member has got a write since the last call.
    pub fn has_got_write(&self) -> bool {
        self.members[0].seen.try_iter().any(|seen| seen.contains("id=held"))
    }

    /// Checks that a write waits for a successor of the primary.
    pub fn assert_writes_held(&self) {
        self.has_got_write();
        let mut client = self.write();
        std::thread::sleep(4 * TELLING_TIME);
        assert!(!self.has_got_write(), "a write at the primary that leaves");
        self.members[0].set_primary(false);
        self.members[1].set_primary(true);
        assert!(client.reply().value.is_some(), "the successor serves it");
    }

    /// A client whose write the old process has in hand, so that it outlives an upgrade.
    pub fn long_write(&self) -> Client {
        let mut client = self.front.client();
        self.members[0].set_behaviour(Behaviour::Hang);
        client.send(&txn("order", 20_000, "long"));
        wait_until(|| self.members[0].seen.try_iter().any(|seen| seen.contains("id=long")));
        self.members[0].set_behaviour(Behaviour::Serve);
        client
    }
}

/// A list that names the first members only, besides the other group.
pub fn listed_first(members: &[Member], version: u64, count: usize) -> String {
    listed_where(members, version, ["up"; 3], |i| i < count)
}

pub fn listed(members: &[Member], version: u64, states: [&str; 3]) -> String {
    listed_where(members, version, states, |_| true)
}

pub fn listed_where(
    members: &[Member],
    version: u64,
    states: [&str; 3],
    is_named: impl Fn(usize) -> bool,
) -> String {
    let entry = |i: usize| {
        let state = states.get(i).copied().unwrap_or("up");
        Entry { id: NAMES[i], at: members[i].at, cell: CELLS[i], state, started: 0 }
    };
    let named: Vec<Entry> = (0..NAMES.len()).filter(|&i| i == 3 || is_named(i)).map(entry).collect();
    entries(version, true, &named)
}

pub fn config(members: &[Member], agent: &Agent) -> String {
    let discovery = format!("{{\"discovery\":\"{}\",", agent.at);
    Front::config(&listed(members, 1, ["up"; 3]), 1024).replacen('{', &discovery, 1)
}
