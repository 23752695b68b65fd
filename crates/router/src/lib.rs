//! Routing decisions for sharded, replicated databases, free of any protocol.
//!
//! [`routing`] decides, [`host`] is what it needs of its surroundings, [`ring`] counts over time.
pub mod host;
pub mod routing;
mod sessions;
pub mod sliding_sum;
pub mod snapshot;
mod state;
