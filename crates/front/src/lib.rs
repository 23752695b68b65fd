//! The front: actors for clients, servers, discovery and the dispatcher, on coroutines. The program `juniperdock` is
//! built on this package; its parts are public for the tests that take them apart.

pub mod acceptor;
pub mod client;
pub mod clients;
pub mod clock;
pub mod configuration;
pub mod connect;
pub mod control;
pub mod counters;
pub mod desk;
pub mod discovery_client;
pub mod duties;
pub mod fellows;
pub mod keep;
pub mod mail;
pub mod mailbox;
pub mod member;
pub mod migrate;
pub mod request_log;
pub mod serve;
pub mod signals;
pub mod told;
pub mod upgrade;
pub mod whole;
pub mod worker_watch;
