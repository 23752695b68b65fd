//! Upgrades without downtime: transfers listener and clients to a newly started process, or receives them as that
//! process. `juniperdock_hot_restart` decides; these modules connect it to processes, file descriptors and client
//! actors. They run on threads of their own because their calls block.

mod changes;
mod new_process;
mod old_process;

pub use new_process::{ChangeTarget, TransferTarget};
pub use old_process::run_upgrade;

/// Set for a new process whose standard input is the socket to the process that it replaces.
const SUCCESSOR_ENV: &str = "JUNIPERDOCK_TAKES_OVER";
