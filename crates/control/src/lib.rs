//! Framing of the control socket's protocol: a length of four bytes in network byte order, then a JSON object with the
//! protocol version in `v`. Does no I/O.
//!
//! ```
//! use juniperdock_control::{Frames, frame};
//! use serde_json::json;
//!
//! let bytes = frame(&json!({"do": "status"}));
//! let mut frames = Frames::default();
//! frames.take(&bytes[..3]);
//! assert_eq!(frames.next_frame(), Ok(None));
//! frames.take(&bytes[3..]);
//! assert_eq!(frames.next_frame().unwrap().unwrap()["do"], "status");
//! ```

use serde_json::Value;

/// The protocol version, sent in every frame.
pub const VERSION: u64 = 1;
/// The largest body of a frame, in bytes.
pub const MAX_FRAME_LEN: usize = 1 << 20;

/// Encodes an object as a frame and adds the protocol version.
pub fn frame(object: &Value) -> Vec<u8> {
    let mut object = object.clone();
    object["v"] = VERSION.into();
    let body = object.to_string().into_bytes();
    [&(body.len() as u32).to_be_bytes()[..], &body].concat()
}

/// Builds a successful reply with its result.
pub fn ok_reply(what: Value) -> Value {
    serde_json::json!({ "ok": true, "is": what })
}

/// Builds an error reply with its reason.
pub fn error_reply(why: &str) -> Value {
    serde_json::json!({ "ok": false, "why": why })
}

/// Reassembles frames from received bytes.
#[derive(Debug, Default)]
pub struct Frames {
    bytes: Vec<u8>,
}

impl Frames {
    /// Appends received bytes.
    pub fn take(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next object, or `None` while its frame is incomplete.
    ///
    /// # Errors
    /// If the frame is too long, is no JSON or has another version. The connection can't be used any further.
    pub fn next_frame(&mut self) -> Result<Option<Value>, String> {
        let Some(head) = self.bytes.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length > MAX_FRAME_LEN {
            return Err(format!("expected at most {MAX_FRAME_LEN} bytes in a frame, found {length}"));
        }
        if self.bytes.len() < 4 + length {
            return Ok(None);
        }
        let rest = self.bytes.split_off(4 + length);
        let body = std::mem::replace(&mut self.bytes, rest);
        let object: Value = serde_json::from_slice(&body[4..]).map_err(|e| format!("expected JSON: {e}"))?;
        match object["v"].as_u64() {
            Some(VERSION) => Ok(Some(object)),
            Some(v) => Err(format!("expected version {VERSION}, found {v}")),
            None => Err("expected a number in v".to_owned()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn split_frames_are_reassembled_and_bad_ones_are_rejected_with_a_reason() {
        let two = [frame(&ok_reply(1.into())), frame(&error_reply("no"))].concat();
        for piece in [1, 5, 1000] {
            let (mut frames, mut statuses) = (Frames::default(), Vec::new());
            for part in two.chunks(piece) {
                frames.take(part);
                while let Some(object) = frames.next_frame().expect("valid frames") {
                    statuses.push(object["ok"].as_bool());
                }
            }
            assert_eq!(statuses, [Some(true), Some(false)]);
        }
        let old = br#"{"v":9}"#;
        for (bytes, expected) in [
            (vec![255; 4], "at most"),
            ([&4u32.to_be_bytes()[..], b"what"].concat(), "JSON"),
            ([&(old.len() as u32).to_be_bytes()[..], old].concat(), "version 1, found 9"),
            ([&2u32.to_be_bytes()[..], b"{}"].concat(), "number in v"),
        ] {
            let mut frames = Frames::default();
            frames.take(&bytes);
            assert!(frames.next_frame().is_err_and(|why| why.contains(expected)), "{expected}");
        }
    }
}
