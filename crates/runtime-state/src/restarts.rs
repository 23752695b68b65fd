//! Restarts of servers that a process has observed itself, before any list has told them.

use serde::{Deserialize, Serialize};

/// A server that refused connections: it had no running process, and is cold once it has one again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InferredRestart {
    /// Its id in the server list.
    pub server: String,
    /// The end of its warm-up as time since boot, in microseconds; `None` while it refuses connections.
    pub cold_until_us: Option<i64>,
}
