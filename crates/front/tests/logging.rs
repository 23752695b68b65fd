//! The log as its readers get it.

use juniperdock_connection::monotonic;
use juniperdock_front::logging::logger;
use juniperdock_operator_config::{Log, LogFormat};
use serde_json::Value;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// A reader of the log that stands still at its first line until it is released.
struct StalledReader {
    released: Receiver<()>,
    is_stalled: bool,
    lines: Sender<Vec<u8>>,
}

impl Write for StalledReader {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.is_stalled {
            self.released.recv().expect("the test releases it");
            self.is_stalled = false;
        }
        self.lines.send(bytes.to_vec()).expect("the test reads to the end");
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are dated when the logging thread comes to them: by such a line a fleet task that was
/// given back in time seemed to have two owners.
#[test]
fn a_line_carries_the_time_of_its_event_although_the_reader_of_the_log_stalls() {
    let ((release, released), (sent, lines)) = (channel(), channel());
    let reader = StalledReader { released, is_stalled: true, lines: sent };
    let config = Log { form: LogFormat::Json, ..Log::default() };
    let log = logger(&config, slog::Level::Info, reader);
    slog::info!(log, "the reader stalls");
    let before = monotonic();
    slog::info!(log, "duty given back"; "term" => 7);
    let after = monotonic();
    std::thread::sleep(Duration::from_millis(300));
    release.send(()).expect("the reader waits");
    drop(log);
    let text: Vec<u8> = lines.iter().flatten().collect();
    let text = String::from_utf8(text).expect("UTF-8");
    let line = text.lines().find(|line| line.contains("duty given back")).expect("all lines are written");
    let line: Value = serde_json::from_str(line).expect("one object a line");
    let at = Duration::from_micros(line["monotonic_us"].as_u64().expect("a time"));
    assert!(at >= before - Duration::from_micros(1) && at <= after, "{at:?}, logged {before:?} to {after:?}");
    assert_eq!((&line["term"], &line["level"]), (&Value::from(7), &Value::from("INFO")));
}
