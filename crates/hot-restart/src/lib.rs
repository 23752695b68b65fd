//! State machines of a hot restart, in which a running front transfers its listener and clients to a newly started
//! process: what each side may do when, and how it recovers when the other side fails. Performs no I/O.
//!
//! The *old process* serves and starts the *new process*. Until the old process commits, the new one serves no client
//! and the old one can take everything back: it keeps its own descriptor of each client until the new process has
//! received it, and neither process reads from a client in flight. After the commit the new process serves. Clients
//! with a request in progress stay with the old process until they are answered, and are then transferred one by one.

mod change_pieces;
pub mod message;
mod new_process;
mod old_process;

pub use change_pieces::ChangePieces;
pub use new_process::{NewProcess, Stage};
pub use old_process::{AbortReason, Action, OldProcess, Phase, Timeouts};

/// The lowest and the highest protocol version that this build supports.
pub const SUPPORTED_VERSIONS: (u16, u16) = (1, 3);

/// From this version on, the old process shares the marks of its sessions with the new one.
pub const VERSION_WITH_SESSION_MARKS: u16 = 2;

/// From this version on, each process tells the other what is put in force there, and the new one starts from what the
/// old one has told.
pub const VERSION_WITH_RUNTIME_STATE: u16 = 3;

/// Returns the highest version that both sides support.
///
/// ```
/// use juniperdock_hot_restart::negotiate_version;
///
/// assert_eq!(negotiate_version((1, 3), (2, 5)), Some(3));
/// assert_eq!(negotiate_version((1, 1), (2, 5)), None);
/// ```
pub fn negotiate_version(here: (u16, u16), there: (u16, u16)) -> Option<u16> {
    let highest = here.1.min(there.1);
    (highest >= here.0.max(there.0)).then_some(highest)
}
