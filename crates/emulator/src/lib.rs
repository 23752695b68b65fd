//! Emulates members, groups, the server list, the network and clients in simulated time, with auditors that check rules
//! against their true state.
//!
//! [`World`] holds everything except the fronts. It returns their events one [`Out`] at a time; the caller runs the
//! fronts and acts for them through methods such as [`World::submit`]. The same world can also follow the machine's
//! clock and be reached over sockets. All random numbers come from one seed through named streams, and events at the
//! same time are handled in the order in which they were set, so a seed always gives the same run.
//!
//! `docs/laboratory.md` describes what is modelled and what is not.

mod audit;
mod calendar;
mod group;
mod member;
mod random;
mod shape;
mod world;

pub use audit::{Audit, RULES, Violation};
pub use calendar::Calendar;
pub use random::{Stream, Zipf};
pub use shape::{ClientLoad, Election, Kind, Log, MemberFault, Node, ScheduledFault, Shape, Targets, What};
pub use world::{CallOutcome, Entry, FinalAnswer, Note, Out, World};
