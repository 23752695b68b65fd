//! The front: actors for clients, servers, discovery and the dispatcher, as coroutines. The program `juniperdock` is
//! built on this package; its modules are public so that tests can use them separately.

pub mod acceptor;
pub mod acceptor_state;
pub mod atomic_file;
pub mod client;
pub mod clients;
pub mod clock;
pub mod configuration;
pub mod connect;
pub mod control;
pub mod counters;
pub mod discovery_client;
pub mod dispatcher;
pub mod fleet_tasks;
pub mod logging;
pub mod mailbox;
pub mod member;
pub mod membership;
pub mod memory;
pub mod messages;
pub mod migrate;
pub mod reload;
pub mod request_log;
pub mod runtime_state;
pub mod serve;
pub mod settings;
pub mod signal_waiter;
pub mod signals;
pub mod snapshot_file;
pub mod standard_error;
pub mod threads;
pub mod upgrade;
pub mod worker_watchdog;
