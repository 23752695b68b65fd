//! All known servers by index, and the changes that a list makes to them.

use crate::entry::{ServerEntry, ServerState};
use std::net::SocketAddr;

/// What is known of a server, except its id, which its index stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownServer {
    pub address: SocketAddr,
    pub group: usize,
    pub zone: usize,
    pub state: ServerState,
    pub leader: bool,
    pub started_ms: Option<i64>,
}

impl KnownServer {
    /// The content of an entry, with group and zone as indices.
    pub fn from_entry(entry: &ServerEntry, group: usize, zone: usize) -> KnownServer {
        KnownServer {
            address: entry.address,
            group,
            zone,
            state: entry.state,
            leader: entry.is_leader(),
            started_ms: entry.started_ms(),
        }
    }
}

/// How an entry of a list has changed one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// It was not known before, or anything about it differs.
    pub changed: bool,
    /// Its address differs.
    pub moved: bool,
    /// Its state differs.
    pub state_changed: bool,
}

/// The servers that lists have named and that were not forgotten.
#[derive(Debug, Default)]
pub struct ServerTable {
    servers: Vec<Option<KnownServer>>,
}

impl ServerTable {
    /// The number of indices, including those of forgotten servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// What is known of a server.
    pub fn get(&self, server: usize) -> Option<&KnownServer> {
        self.servers.get(server)?.as_ref()
    }

    /// All known servers, by index.
    pub fn known(&self) -> impl Iterator<Item = (usize, &KnownServer)> {
        self.servers.iter().enumerate().filter_map(|(at, known)| Some((at, known.as_ref()?)))
    }

    /// Applies a list's entry for a server.
    pub fn update(&mut self, server: usize, now: KnownServer) -> Update {
        if server >= self.servers.len() {
            self.servers.resize(server + 1, None);
        }
        let Some(before) = self.servers[server].replace(now) else {
            return Update { changed: true, moved: true, state_changed: true };
        };
        Update {
            changed: before != now,
            moved: before.address != now.address,
            state_changed: before.state != now.state,
        }
    }

    /// Marks all servers that a full list did not name as removed; returns those that were not removed before.
    pub fn remove_unnamed(&mut self, named: &[usize]) -> Vec<usize> {
        let mut missing = vec![true; self.servers.len()];
        named.iter().for_each(|&server| missing[server] = false);
        let mut removed = Vec::new();
        for (server, known) in self.servers.iter_mut().enumerate() {
            if let Some(known) = known.as_mut().filter(|_| missing[server])
                && std::mem::replace(&mut known.state, ServerState::Removed) != ServerState::Removed
            {
                removed.push(server);
            }
        }
        removed
    }

    /// Removes a server, whose index may be used again.
    pub fn forget(&mut self, server: usize) {
        if let Some(known) = self.servers.get_mut(server) {
            *known = None;
        }
    }
}
