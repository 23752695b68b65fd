//! Which lists are accepted, given that watches follow one another and versions may go back.

use crate::entry::{ServerList, ServerState};

/// The known version, and the watch that sent it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Versions {
    version: Option<u64>,
    watch: Option<u64>,
}

impl Versions {
    /// Starts from a version that was known before any watch.
    pub fn new(version: Option<u64>) -> Versions {
        Versions { version, watch: None }
    }

    /// The version from which the next watch is to start.
    pub fn known(&self) -> Option<u64> {
        self.version
    }

    /// The part of a list from a watch that is to be applied. Its version is the one that is in force then.
    ///
    /// Versions increase, unless discovery was reset to an earlier state: what the same watch sends later is therefore
    /// accepted whatever its version. A new watch may be behind the previous one: of a list that is not newer than the
    /// known version, only entries that take a server out of use are accepted, since those bind at once.
    pub fn accept(&mut self, watch: u64, list: ServerList) -> Option<ServerList> {
        let newer = self.version.is_none_or(|known| list.version > known);
        if list.full || newer || self.watch == Some(watch) {
            (self.version, self.watch) = (Some(list.version), Some(watch));
            return Some(list);
        }
        self.only_out_of_use(list)
    }

    /// The part of a change that is to be applied, which another process of this front has accepted; `from` was the
    /// version in force there. It is accepted whole if that is in force here, too: no change is missing in between then.
    pub fn accept_from_peer(&mut self, from: Option<u64>, list: ServerList) -> Option<ServerList> {
        if self.version == from {
            // What watches send of versions in between is no news any more.
            (self.version, self.watch) = (Some(list.version), None);
            return Some(list);
        }
        self.only_out_of_use(list)
    }

    /// The entries of a list that bind although it is not newer than what is known.
    fn only_out_of_use(&self, mut list: ServerList) -> Option<ServerList> {
        list.version = self.version.unwrap_or(list.version);
        list.servers.retain(|entry| ServerState::takes_out_of_use(entry.state));
        Some(list).filter(|list| !list.servers.is_empty())
    }
}
