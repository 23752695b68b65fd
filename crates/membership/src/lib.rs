//! The fronts know each other: who is there, who has failed, and what a front knows of itself.
//!
//! [`Membership`] is one front's part of it, without I/O: datagrams, times and chance are handed in. The program
//! drives it over UDP, the laboratory in simulated time, the simulator's host over its messages between fronts.
//! Membership is SWIM's, by the library `foca` (Das, Gupta, Motivala: SWIM, DSN 2002; suspicion that widens while
//! the own timers are late: Dadgar, Phillips, Currey, Lifeguard, 2017). `docs/fleet.md` has the ways weighed and
//! the table of failures.
//!
//! No rule on txns rests on what is told here.

mod dice;
mod fellows;
mod seal;
mod who;
mod window;

pub use fellows::{Connectivity, Event, Fellow, Host, Liveness, Membership, Timing};
pub use seal::{BODY, Keys, LONGEST, NEWEST_VERSION, Refused};
pub use who::{Who, incarnation_at};
pub use window::Window;
