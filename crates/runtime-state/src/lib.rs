//! What is put in force while a process of a front runs: by a signal, by a command or by discovery. In an upgrade two
//! processes are the same front, so each gets what the other one has been told. Performs no I/O.
//!
//! The process that is to be replaced sends its [`InitialState`] as soon as both have agreed on a protocol version, and
//! every later [`Change`] as it happens. The new process starts from that state and not from its files, which may be
//! older. Until the commit, what the old process is told binds the new one; after it, both tell each other.

mod initial;
mod plans;
mod restarts;
mod server_time;

pub use initial::{InitialState, StartingList};
pub use plans::{ChangeStep, Follow, PrimaryChange};
pub use restarts::InferredRestart;
pub use server_time::ServerTime;

use juniperdock_server_list::ServerList;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest encoded change that is accepted, in bytes: a list of 20,000 servers of 400 bytes each.
pub const MAX_CHANGE_LEN: usize = 8 << 20;

/// Something that was put in force in one process of a front.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A reload of the configuration has put this address of discovery in force.
    DiscoveryAddress(SocketAddr),
    /// The configuration and the operators' file are to be read again.
    Reload,
    /// All servers that are known.
    Servers(KnownList),
    /// A list that was accepted.
    ServersChanged(ListChange),
    /// All planned changes of primaries that operators have ordered and that are in progress or were called off.
    PrimaryChanges(Vec<PrimaryChange>),
    /// Servers whose restart no list has told yet.
    InferredRestarts(Vec<InferredRestart>),
    /// The servers' time.
    ServerTime(ServerTime),
    /// The front is to end, whichever process serves by now.
    Terminate,
}

/// The servers that a process knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownList {
    /// A full list, which names removed servers, too.
    pub list: ServerList,
    /// The highest version that was ever in force. It is above that of `list` if discovery was reset to an earlier state.
    pub highest_version: u64,
}

/// What an accepted list has changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListChange {
    /// The version that was in force before.
    pub from: Option<u64>,
    /// The entries that have changed; its version is in force since.
    pub list: ServerList,
}

impl Change {
    /// Encodes a change.
    ///
    /// # Errors
    /// If it is longer than [`MAX_CHANGE_LEN`].
    pub fn encode(&self) -> Result<Vec<u8>, String> {
        let bytes = postcard::to_allocvec(self).map_err(|e| format!("runtime state: {e}"))?;
        if bytes.len() > MAX_CHANGE_LEN {
            return Err(format!(
                "runtime state: expected at most {MAX_CHANGE_LEN} bytes, found {}",
                bytes.len()
            ));
        }
        Ok(bytes)
    }

    /// Decodes a change.
    ///
    /// # Errors
    /// If the bytes are not exactly one change.
    pub fn decode(bytes: &[u8]) -> Result<Change, String> {
        let (change, rest) = postcard::take_from_bytes(bytes).map_err(|e| format!("runtime state: {e}"))?;
        if rest.is_empty() { Ok(change) } else { Err("runtime state: unexpected bytes after it".to_owned()) }
    }
}
