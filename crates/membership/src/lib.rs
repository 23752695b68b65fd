//! Membership of the fleet: which fronts are alive, which have failed, and how well a front is connected.
//!
//! [`Membership`] is one front's part of it, without I/O: datagrams, times and random seeds are passed in. The program
//! drives it over UDP, the lab in simulated time, the simulator's adapter over its messages between fronts. The
//! protocol is SWIM, by the library `foca` (Das, Gupta, Motivala: SWIM, DSN 2002; suspicion time-outs that widen while
//! the front's own timers are late: Dadgar, Phillips, Currey, Lifeguard, 2017). `docs/fleet.md` has the alternatives
//! and the table of failures.
//!
//! The correctness of txns does not depend on it.

mod datagram;
mod foca_rng;
mod membership;
mod peer_id;
mod replay_window;

pub use datagram::{Keys, MAX_BODY_BYTES, MAX_DATAGRAM_BYTES, NEWEST_VERSION, Refused};
pub use membership::{Connectivity, Event, Host, Liveness, Membership, Peer, Timing};
pub use peer_id::{PeerId, incarnation_at};
pub use replay_window::ReplayWindow;
