//! The log: lines of text or JSON, written on a thread of their own.

use juniperdock_operator_config::{Log, LogFormat};
use slog::{
    BorrowedKV, Drain, Never, OwnedKVList, Record, RecordStatic, SendSyncRefUnwindSafeDrain, SingleKV,
};
use std::io::Write;
use std::sync::{Arc, Mutex};

/// Records that may wait for the logging thread; further ones are lost, which a later line tells.
const QUEUED_RECORDS: usize = 1024;

/// The log level from the environment, else from the operators' file.
pub fn level(config: &Log) -> slog::Level {
    let level = std::env::var("JUNIPERDOCK_LOG").ok().and_then(|level| level.parse().ok());
    level.or_else(|| config.level.name().parse().ok()).unwrap_or(slog::Level::Info)
}

/// Creates a logger that writes lines of text or JSON, on a thread of its own. Lines that can't be written are lost: a
/// reader that is gone or a full disk must not end the process.
pub fn logger(config: &Log, level: slog::Level, output: impl Write + Send + 'static) -> slog::Logger {
    // Line by line: during an upgrade two processes write to the same stream, and partial lines would mix.
    let lines = std::io::LineWriter::new(output);
    let drain: SharedDrain = match config.form {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(lines);
            let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
            let drain = slog_async::Async::new(drain).chan_size(QUEUED_RECORDS).build();
            Arc::new(drain.ignore_res())
        }
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(lines)).ignore_res();
            let drain = slog_async::Async::new(drain).chan_size(QUEUED_RECORDS).build();
            Arc::new(MonotonicTime(drain).ignore_res())
        }
    };
    slog::Logger::root(slog::LevelFilter::new(drain, level).ignore_res(), slog::o!())
}

type SharedDrain = Arc<dyn SendSyncRefUnwindSafeDrain<Ok = (), Err = Never>>;

/// Adds the monotonic time to each record, read on the thread that logs it: the thread that writes the lines may come
/// to them much later.
struct MonotonicTime<D>(D);

impl<D: Drain> Drain for MonotonicTime<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<D::Ok, D::Err> {
        let monotonic_us = juniperdock_connection::monotonic().as_micros() as u64;
        let fields = (SingleKV("monotonic_us", monotonic_us), record.kv());
        let origin = RecordStatic { location: record.location(), tag: record.tag(), level: record.level() };
        self.0.log(&Record::new(&origin, record.msg(), BorrowedKV(&fields)), values)
    }
}
