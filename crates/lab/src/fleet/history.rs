//! The history of a run: one JSON object per line, with a time. Auditors read nothing else.

use serde_json::{Value, json};
use std::fs::{File, OpenOptions};
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Writer for a history file, usable from several threads; clones share the file.
#[derive(Clone)]
pub struct History(Arc<Mutex<BufWriter<File>>>);

impl History {
    /// Creates or truncates the file; an error if another run is writing it.
    pub fn create(path: &Path) -> Result<History, String> {
        let io_error = |e: std::io::Error| format!("{}: {e}", path.display());
        let file =
            OpenOptions::new().create(true).truncate(false).write(true).open(path).map_err(io_error)?;
        file.try_lock()
            .map_err(|_| format!("{}: another play writes it, name another file", path.display()))?;
        file.set_len(0).map_err(io_error)?;
        Ok(History(Arc::new(Mutex::new(BufWriter::new(file)))))
    }

    /// Appends an event at a time since the start of the run.
    pub fn note(&self, at: Duration, what: &str, mut more: Value) {
        more["t"] = json!(at.as_micros() as u64);
        more["what"] = what.into();
        let mut file = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{more}");
    }

    pub fn flush(&self) -> Result<(), String> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).flush().map_err(|e| e.to_string())
    }
}

/// One event read from a history.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Since the start of the run.
    pub at: Duration,
    pub what: String,
    pub more: Value,
}

impl Line {
    pub fn number(&self, name: &str) -> Option<u64> {
        self.more[name].as_u64()
    }

    pub fn text(&self, name: &str) -> &str {
        self.more[name].as_str().unwrap_or_default()
    }
}

/// Reads a history sorted by time; events at equal times keep their order in the file.
pub fn read(path: &Path) -> Result<Vec<Line>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let line = |(i, text): (usize, &str)| {
        let more: Value = serde_json::from_str(text).map_err(|e| format!("line {}: {e}", i + 1))?;
        let at = Duration::from_micros(more["t"].as_u64().ok_or(format!("line {}: no time", i + 1))?);
        let what = more["what"].as_str().unwrap_or_default().to_owned();
        Ok(Line { at, what, more })
    };
    let mut lines = text.lines().enumerate().map(line).collect::<Result<Vec<_>, String>>()?;
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}
