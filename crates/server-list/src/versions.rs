//! Which lists are believed, where watches follow each other and versions may go back.

use crate::entry::{ServerList, ServerState};

/// The version that is known, and the watch that told it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Versions {
    version: Option<u64>,
    watch: Option<u64>,
}

impl Versions {
    /// From a version that was known before any watch.
    pub fn new(version: Option<u64>) -> Versions {
        Versions { version, watch: None }
    }

    /// What the next watch is to start from.
    pub fn known(&self) -> Option<u64> {
        self.version
    }

    /// What counts of a list that a watch has told.
    ///
    /// Versions rise, but where discovery has gone back: what one watch tells after another thing is news, whatever its
    /// version. A later watch may be behind the one before it: of what is not newer than the known, only what takes a
    /// server out of use counts, for that binds as soon as it is told.
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
