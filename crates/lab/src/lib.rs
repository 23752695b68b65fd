//! Laboratory: runs scenarios in simulated time or on sockets, and compares, searches and reports them.
//! Figures of simulated runs are always labelled as simulated. `docs/laboratory.md` describes what is modelled.

pub mod circle;
pub mod experiment;
pub mod fleet;
mod foreign;
pub mod fronts;
pub mod load;
pub mod measure;
pub mod offices;
pub mod prove;
pub mod report;
pub mod request_logs;
pub mod scale;
pub mod scenario;
pub mod sessions;
pub mod simulate;
pub mod sockets;
pub mod upgrade;
