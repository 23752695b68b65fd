//! Tells the next process of this front what it starts from, and of lists that are accepted here.

use super::Dispatcher;
use crate::runtime_state::{Peer, Update};
use juniperdock_router::snapshot as router;
use juniperdock_runtime_state::{Change, InferredRestart, KnownList, ListChange};
use juniperdock_server_list::{ServerEntry, ServerList};
use std::time::Duration;

impl Dispatcher {
    /// Tells the next process all that it starts from. Later changes follow as they happen.
    pub(super) fn send_initial_state(&mut self, now: Duration) {
        if let Some(version) = self.list_version {
            let servers = self.host.servers.known().filter_map(|(server, _)| self.entry(server)).collect();
            let list = ServerList { version, full: true, servers };
            let highest_version = self.host.runtime_state.list_in_force(version);
            self.tell_successor(Change::Servers(KnownList { list, highest_version }));
        }
        self.tell_successor(Change::ServerTime(self.host.clock.server_time(self.host.origin)));
        self.tell_successor(Change::InferredRestarts(self.inferred_restarts(now)));
        self.tell_successor(Change::PrimaryChanges(self.primary_changes()));
        self.host.runtime_state.tell(Peer::Successor, Update::InitialStateComplete);
    }

    /// Restarts of servers that no list has told yet.
    fn inferred_restarts(&self, now: Duration) -> Vec<InferredRestart> {
        let clock = &self.host.clock;
        let restarts = self.router.inferred_restarts(now).into_iter();
        let restart = |restart: router::InferredRestart| InferredRestart {
            server: self.host.ids.id(restart.member).clone(),
            cold_until_us: restart.cold_until.map(|until| clock.boot_time_us(until)),
        };
        restarts.map(restart).collect()
    }

    /// Takes up restarts that the previous process has observed.
    pub(super) fn keep_inferred_restarts(&mut self, restarts: Vec<InferredRestart>) {
        for InferredRestart { server, cold_until_us } in restarts {
            let Some(member) = self.host.ids.known(&server) else { continue };
            let cold_until = cold_until_us.map(|until| self.host.clock.since_start(until));
            self.router.keep_inferred_restart(router::InferredRestart { member, cold_until });
        }
    }

    fn tell_successor(&self, change: Change) {
        self.host.runtime_state.tell(Peer::Successor, Update::Change(change));
    }

    /// The list entry of a server.
    fn entry(&self, server: usize) -> Option<ServerEntry> {
        let (host, known) = (&self.host, self.host.servers.get(server)?);
        let (id, zone) = (host.ids.id(server).clone(), self.zones.id(known.zone).clone());
        Some(ServerEntry::of(id, zone, *host.groups.id(known.group), known))
    }

    /// Records that a list is in force, and tells the next process which servers it has changed.
    pub(super) fn list_in_force(&mut self, version: u64, changed: &[usize]) {
        let from = self.list_version.replace(version);
        self.host.runtime_state.list_in_force(version);
        if self.host.runtime_state.is_shared() {
            let servers = changed.iter().filter_map(|server| self.entry(*server)).collect();
            let list = ServerList { version, full: false, servers };
            self.tell_successor(Change::ServersChanged(ListChange { from, list }));
        }
    }
}
