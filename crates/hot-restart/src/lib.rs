//! The hand-over of a front's listener and clients to the process that succeeds it: what each side may do
//! when, and what it does when the other fails. No input or output.
//!
//! The *giver* is the process that serves; the *taker* was started to succeed it. Until the giver commits,
//! the taker serves nobody and the giver can take everything back: it keeps its own descriptor of each client
//! until the taker has it, and those under way are read by neither. From the commit on the taker serves; what
//! was busy then stays with the giver until it is answered, and follows one by one.

pub mod message;
mod new_process;
mod old_process;

pub use new_process::{NewProcess, Stage};
pub use old_process::{AbortReason, Action, OldProcess, Phase, Timeouts};

/// The versions of the hand-over that are spoken here, the lowest and the highest.
pub const SUPPORTED_VERSIONS: (u16, u16) = (1, 1);

/// The highest version that both sides speak.
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
