//! Admission control: which txns a front declines under overload. No I/O, no clock of its own.
//!
//! A front that falls behind answers everything late; declining a txn early costs it little, and costs the client only
//! a round trip. [`AdmissionControl`] learns the front's capacity from the age of the messages that it handles, and
//! declines the excess at once: first what callers request beyond a fair share, then the lowest value per work.
//! Admitted txns are not touched, and nothing is delayed. It does not decide which member runs a txn, nor on retries.

mod adaptive_limit;
mod control;
mod fair_share;
mod heavy_hitters;

pub use adaptive_limit::AdaptiveLimit;
pub use control::{AdmissionControl, AdmissionStatus, Verdict};
pub use fair_share::FairShare;
pub use heavy_hitters::HeavyHitters;
