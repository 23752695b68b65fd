//! Members, groups, the list, the network and clients, emulated in simulated time, and auditors that look at
//! their true state.
//!
//! [`World`] holds everything but the fronts. It gives what comes to them one [`Out`] at a time; whoever runs
//! them answers with calls such as [`World::submit`]. The same world can be driven by the clock of the machine
//! and be spoken to over sockets. All chance comes from one seed through streams with names; two events at one
//! instant come in the order in which they were set, so that a seed always plays the same.
//!
//! What is modelled, and what is not, stands in `docs/laboratory.md`.

mod audit;
mod calendar;
mod group;
mod member;
mod random;
mod shape;
mod world;

pub use audit::{Audit, Broken, RULES};
pub use calendar::Calendar;
pub use random::{Stream, Zipf};
pub use shape::{Crowd, Election, Ill, Kind, Log, Node, Shape, Trouble, What, Whom};
pub use world::{Entry, How, Note, Out, Told, World};
