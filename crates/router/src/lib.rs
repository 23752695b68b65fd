//! Routing decisions for sharded, replicated databases, free of any protocol.
//!
//! [`routing`] makes the decisions, [`host`] is the interface to its environment, [`snapshot`] holds what a process
//! passes on to its successor, [`sessions`] what sessions must see, and [`sliding_sum`] counts over time.

pub mod host;
pub mod routing;
pub mod sessions;
pub mod sliding_sum;
pub mod snapshot;
mod state;
