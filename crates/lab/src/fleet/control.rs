//! Questions to a process through its control socket.

use juniperdock_control::{Frames, frame};
use serde_json::Value;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// Asks a front through its control socket; none where it says no, or nothing.
pub fn ask(socket: &Path, asked: &Value, wait: Duration) -> Option<Value> {
    answer(socket, asked, wait).filter(|answer| answer["ok"] == true).map(|answer| answer["is"].clone())
}

/// What a front answers, whatever it is.
pub(super) fn answer(socket: &Path, asked: &Value, wait: Duration) -> Option<Value> {
    let mut stream = UnixStream::connect(socket).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.write_all(&frame(asked)).ok()?;
    let (mut frames, mut piece) = (Frames::default(), [0; 4096]);
    loop {
        if let Some(answer) = frames.whole().ok()? {
            return Some(answer);
        }
        match stream.read(&mut piece).ok()? {
            0 => return None,
            n => frames.take(&piece[..n]),
        }
    }
}
