//! What a front knows about its servers, without I/O: typed list entries, the table of known servers and the changes
//! that a new list makes, which of two watches takes precedence, and the rate at which servers are probed.
//!
//! A change costs time in proportion to what has changed, not to the size of the list; probes cost what the front's own
//! transactions need, and a fixed rate beyond that.

mod backoff;
mod entry;
mod probes;
mod table;
mod versions;

pub use backoff::Backoff;
pub use entry::{ServerEntry, ServerList, ServerState};
pub use probes::{ProbeLimits, ProbeQueue};
pub use table::{KnownServer, ServerTable, Update};
pub use versions::Versions;
