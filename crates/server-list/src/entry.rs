//! A list of servers as discovery sends it, validated and typed.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::table::KnownServer;

/// The state of a server according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    Up,
    /// It finishes what it has and must get nothing new.
    Draining,
    /// It is gone.
    Removed,
}

impl ServerState {
    /// Whether a server in this state is not to be used.
    pub fn takes_out_of_use(self) -> bool {
        self != ServerState::Up
    }
}

/// One server of a list. Fields that the front does not use are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    pub id: String,
    #[serde(rename = "addr")]
    pub address: SocketAddr,
    #[serde(default)]
    pub zone: String,
    /// The number of its group.
    #[serde(rename = "cell")]
    pub group: u64,
    pub state: ServerState,
    /// `leader` or `follower`, if the list contains roles.
    #[serde(default)]
    role: Option<String>,
    /// When it started, in Unix milliseconds; 0 if that was long ago.
    #[serde(default)]
    started_ms: Option<i64>,
}

/// The role of a primary in a list.
const LEADER: &str = "leader";

impl ServerEntry {
    /// The entry that tells what is known of a server; `zone` and `group` are those of its indices.
    pub fn of(id: String, zone: String, group: u64, known: &KnownServer) -> ServerEntry {
        ServerEntry {
            id,
            address: known.address,
            zone,
            group,
            state: known.state,
            role: known.leader.then(|| LEADER.to_owned()),
            started_ms: known.started_ms,
        }
    }

    /// Whether the list names it as the primary of its group.
    pub fn is_leader(&self) -> bool {
        self.role.as_deref() == Some(LEADER)
    }

    /// When it last started, in Unix milliseconds, unless that was long ago.
    pub fn started_ms(&self) -> Option<i64> {
        self.started_ms.filter(|&at| at != 0)
    }
}

/// A full list, or a list of changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    pub version: u64,
    /// Whether servers that it does not name are gone.
    pub full: bool,
    pub servers: Vec<ServerEntry>,
}

impl ServerList {
    /// Parses a list in JSON. The error contains what was expected, and where.
    pub fn parse(text: &[u8]) -> Result<ServerList, String> {
        serde_json::from_slice(text).map_err(|e| format!("expected a list of servers in JSON: {e}"))
    }
}
