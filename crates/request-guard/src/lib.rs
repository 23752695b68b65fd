//! One guard for all that is done for a request or on a client's connection: starting it, sending or repeating it to a
//! server, answering it, and ending the connection. Decisions are made in one actor and carried out in another, a moment
//! or a standstill later; whoever carries one out asks here, at that moment, whether it still holds. What is done all the
//! same counts as a violation. No I/O: the time is handed in, and whether a client is still there is asked through
//! [`ClientPresence`].

mod connection;
mod invariants;
mod request;

pub use connection::{EndedBy, Outstanding};
pub use invariants::{Invariants, Violation};
pub use request::{AttemptPermit, ClientPresence, RequestGuard, Withheld};
