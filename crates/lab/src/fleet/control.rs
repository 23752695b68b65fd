//! Requests to a process through its control socket.

use juniperdock_control::{Frames, frame};
use serde_json::Value;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// Sends a request to a front's control socket and returns the result; none on an error or without an answer.
pub fn ask(socket: &Path, asked: &Value, wait: Duration) -> Option<Value> {
    answer(socket, asked, wait).filter(|answer| answer["ok"] == true).map(|answer| answer["is"].clone())
}

/// The raw answer of a front, including errors.
pub(super) fn answer(socket: &Path, asked: &Value, wait: Duration) -> Option<Value> {
    let mut stream = UnixStream::connect(socket).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.write_all(&frame(asked)).ok()?;
    let (mut frames, mut piece) = (Frames::default(), [0; 4096]);
    loop {
        if let Some(answer) = frames.next_frame().ok()? {
            return Some(answer);
        }
        match stream.read(&mut piece).ok()? {
            0 => return None,
            n => frames.take(&piece[..n]),
        }
    }
}
