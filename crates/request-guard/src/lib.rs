//! Guards every action for a request or on a client's connection: starting it, sending or resending it to a server,
//! answering it, and ending the connection. Decisions are made in one actor and carried out in another, a moment or a
//! stall later; whoever carries one out checks here, at that moment, that it still holds. An action that happens
//! nevertheless is counted as a violation. No I/O: the time is passed in, and whether a client is still connected is
//! checked through [`ClientPresence`].

mod connection;
mod ids;
mod invariants;
mod permit;
mod request;

pub use connection::{EndedBy, Outstanding};
pub use ids::{DuplicateId, RequestIdHash, RequestIds};
pub use invariants::{Invariants, Violation};
pub use juniperdock_attempt_outcome::WriteProgress;
pub use permit::AttemptPermit;
pub use request::{ClientPresence, RequestGuard, Withheld};
