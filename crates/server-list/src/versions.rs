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

    /// The part of a list from a watch that is to be applied.
    ///
    /// Versions increase, unless discovery was reset to an earlier state: what the same watch sends later is therefore
    /// accepted whatever its version. A new watch may be behind the previous one: of a list that is not newer than the
    /// known version, only entries that take a server out of use are accepted, since those bind at once.
    pub fn accept(&mut self, watch: u64, mut list: ServerList) -> Option<ServerList> {
        let newer = self.version.is_none_or(|known| list.version > known);
        if list.full || newer || self.watch == Some(watch) {
            (self.version, self.watch) = (Some(list.version), Some(watch));
            return Some(list);
        }
        list.servers.retain(|entry| ServerState::takes_out_of_use(entry.state));
        Some(list).filter(|list| !list.servers.is_empty())
    }
}
