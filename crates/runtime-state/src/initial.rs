//! The state from which a new process starts.

use crate::{Change, InferredRestart, KnownList, ListChange, PrimaryChange, ServerTime};
use juniperdock_server_list::ServerList;
use std::net::SocketAddr;

/// What the old process has told before the new one has started any actor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InitialState {
    /// The address of discovery that a reload has put in force; it goes before all that a start reads.
    pub discovery: Option<SocketAddr>,
    /// The operators' files have changed since the new process was started, and it may have read the old ones.
    pub reload: bool,
    /// The servers that the old process knew.
    pub servers: Option<KnownList>,
    /// Lists that it has accepted since.
    pub server_changes: Vec<ListChange>,
    /// Planned changes of primaries.
    pub primary_changes: Vec<PrimaryChange>,
    /// Servers whose restart no list has told yet.
    pub inferred_restarts: Vec<InferredRestart>,
    /// The servers' time.
    pub server_time: Option<ServerTime>,
}

/// The list from which a new process starts.
#[derive(Clone, Debug, PartialEq)]
pub struct StartingList {
    /// To be applied in this order.
    pub lists: Vec<ServerList>,
    /// The version that is in force then.
    pub version: u64,
}

impl InitialState {
    /// Records a change.
    pub fn record(&mut self, change: Change) {
        match change {
            Change::DiscoveryAddress(address) => self.discovery = Some(address),
            Change::Reload => self.reload = true,
            Change::Servers(known) => {
                // It has all changes that were told before.
                self.server_changes.clear();
                self.servers = Some(known);
            }
            Change::ServersChanged(change) => self.server_changes.push(change),
            Change::PrimaryChanges(changes) => self.primary_changes = changes,
            Change::InferredRestarts(restarts) => self.inferred_restarts = restarts,
            Change::ServerTime(time) => self.server_time = Some(time),
            // The old process takes the upgrade back.
            Change::Terminate => {}
        }
    }

    /// Takes the list to start from, given the one in the configuration. What the old process knew goes before it, as it
    /// came from discovery; but a list in the file whose version is above all that were ever in force is newer.
    pub fn take_starting_list(
        &mut self,
        configured: Result<ServerList, String>,
    ) -> Result<StartingList, String> {
        let Some(KnownList { list, highest_version }) = self.servers.take() else {
            return configured.map(|list| StartingList { version: list.version, lists: vec![list] });
        };
        let newer = configured.ok().filter(|list| list.version > highest_version);
        let version = newer.as_ref().map_or(list.version, |list| list.version);
        Ok(StartingList { lists: [Some(list), newer].into_iter().flatten().collect(), version })
    }
}
