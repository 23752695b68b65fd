//! A test cluster for the built program: one group of simulated members, discovery, and helpers that wait for a state.
#![allow(dead_code)] // Not every test file uses all of it.

pub use juniperdock_test_support::wait_until;
use juniperdock_test_support::{Agent, Front, Member, TEST_TIMEOUT, WATCH, list};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_juniperdock");

/// One group, with member 0 as its primary and members 1 and 2 as replicas.
pub struct TestCluster {
    pub agent: Agent,
    pub members: Vec<Member>,
    pub server_list: String,
}

impl TestCluster {
    pub fn new() -> TestCluster {
        TestCluster::with_response_head(WATCH)
    }

    pub fn with_response_head(head: &'static str) -> TestCluster {
        let members: Vec<Member> = (0..3).map(|i| Member::start(i == 0)).collect();
        let server_list = TestCluster::list(&members, 1, ["up"; 3]);
        TestCluster { agent: Agent::start(head), members, server_list }
    }

    pub fn list(members: &[Member], version: u64, states: [&str; 3]) -> String {
        let names = ["m-0", "m-1", "m-2"];
        let entries: Vec<_> = (0..3).map(|i| (names[i], members[i].at, states[i])).collect();
        list(version, true, &entries)
    }

    pub fn start_front(&self) -> Front {
        Front::start(PROGRAM, self.agent.at, &self.server_list, 1024)
    }

    pub fn publish_list(&self, version: u64, states: [&str; 3]) {
        self.agent.publish(TestCluster::list(&self.members, version, states));
    }

    /// Waits for the next txn that a member receives.
    pub fn next_txn(&self, member: usize) -> String {
        self.members[member].seen.recv_timeout(TEST_TIMEOUT).expect("the member receives a txn")
    }

    pub fn received_nothing(&self, member: usize) -> bool {
        self.members[member].seen.try_recv().is_err()
    }
}
