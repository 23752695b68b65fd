//! The state from which a new process starts.

use crate::Change;
use std::net::SocketAddr;

/// What the old process has told before the new one has started any actor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InitialState {
    /// The address of discovery that a reload has put in force; it goes before all that a start reads.
    pub discovery: Option<SocketAddr>,
    /// The operators' files have changed since the new process was started, and it may have read the old ones.
    pub reload: bool,
}

impl InitialState {
    /// Records a change.
    pub fn record(&mut self, change: Change) {
        match change {
            Change::DiscoveryAddress(address) => self.discovery = Some(address),
            Change::Reload => self.reload = true,
        }
    }
}
