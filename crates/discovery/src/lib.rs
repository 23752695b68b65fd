//! The member list over HTTP/1.1: the request for a watch, and its answer put together again from whatever
//! pieces it comes in. No sockets: bytes in, lists out.

use serde_json::Value;
use std::collections::VecDeque;

/// The longest line, and the longest head of an answer, that are taken.
pub const LONGEST: usize = 4 << 20;
const LONGEST_HEAD: usize = 16 << 10;

/// The request for all that changes after a version; without one, for the whole list first.
pub fn watch_request(host: &str, after: Option<u64>) -> String {
    let after = after.map(|version| format!("&after={version}")).unwrap_or_default();
    format!(
        "GET /registry/instances?watch=1{after} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
}

/// The answer to one request, as far as it has come.
#[derive(Debug, Default)]
pub struct Answer {
    begun: bool,
    chunked: bool,
    /// Bytes that are left of the chunk or the body being read, then of its line end.
    left: usize,
    line_end: usize,
    over: bool,
    line: Vec<u8>,
    /// Brackets that are open in it, and whether its end is inside a text, perhaps behind a backslash.
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// Lines come in, empty ones too.
    pub signs: u64,
}

impl Answer {
    /// Takes all that can be read from `bytes`; gives the lists that are whole now.
    pub fn take(&mut self, bytes: &mut VecDeque<u8>) -> Result<Vec<Value>, String> {
        let mut lists = Vec::new();
        while !self.over {
            if !self.begun {
                if !self.head(bytes)? {
                    break;
                }
            } else if self.line_end > 0 {
                let Some(byte) = bytes.pop_front() else { break };
                if !matches!(byte, b'\r' | b'\n') {
                    return Err(format!("expected the end of a chunk, found byte {byte:#04x}"));
                }
                self.line_end -= 1;
            } else if self.left == 0 {
                if !self.chunk(bytes)? {
                    break;
                }
            } else if bytes.is_empty() {
                break;
            } else {
                let n = self.left.min(bytes.len());
                self.left -= n;
                self.line_end = if self.left == 0 && self.chunked { 2 } else { 0 };
                self.over = self.left == 0 && !self.chunked;
                for byte in bytes.drain(..n) {
                    self.signs += u64::from(byte == b'\n');
                    // Where a list is indented it goes on over line ends up to its last bracket; an empty line is
                    // never inside one.
                    if byte == b'\n' && self.depth == 0 {
                        lists.extend(list(&self.line)?);
                        self.line.clear();
                    } else if byte == b'\n' && self.at_line_start() {
                        return Err("expected the rest of a list, found an empty line".to_owned());
                    } else {
                        self.nest(byte);
                        self.line.push(byte);
                    }
                }
                if self.line.len() > LONGEST {
                    return Err(format!("expected a line of at most {LONGEST} bytes"));
                }
                if self.over {
                    lists.extend(list(&self.line)?);
                    self.line.clear();
                }
            }
        }
        Ok(lists)
    }

    /// The answer has come to its end.
    pub fn over(&self) -> bool {
        self.over
    }

    /// Nothing has come since the last line end but blanks.
    fn at_line_start(&self) -> bool {
        self.line.iter().rev().take_while(|byte| byte.is_ascii_whitespace()).any(|&byte| byte == b'\n')
    }

    fn nest(&mut self, byte: u8) {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' => self.escaped = self.quoted,
            b'"' => self.quoted = !self.quoted,
            b'{' | b'[' if !self.quoted => self.depth += 1,
            b'}' | b']' if !self.quoted => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    fn head(&mut self, bytes: &mut VecDeque<u8>) -> Result<bool, String> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let length = match head.parse(bytes.make_contiguous()) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if bytes.len() < LONGEST_HEAD => return Ok(false),
            Ok(httparse::Status::Partial) => return Err("expected a shorter head".to_owned()),
            Err(e) => return Err(format!("expected an HTTP answer: {e}")),
        };
        if head.code != Some(200) {
            return Err(format!("expected status 200, found {}", head.code.unwrap_or_default()));
        }
        let header = |name: &str| {
            head.headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case(name))
                .and_then(|h| std::str::from_utf8(h.value).ok())
        };
        self.chunked = header("Transfer-Encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if !self.chunked {
            // Without a length the body lasts as long as the connection.
            let length = header("Content-Length").map_or(Ok(usize::MAX), str::parse);
            self.left = length.map_err(|_| "expected a number in Content-Length")?;
            self.over = self.left == 0;
        }
        self.begun = true;
        bytes.drain(..length);
        Ok(true)
    }

    fn chunk(&mut self, bytes: &mut VecDeque<u8>) -> Result<bool, String> {
        match httparse::parse_chunk_size(bytes.make_contiguous()) {
            Ok(httparse::Status::Complete((length, size))) => {
                bytes.drain(..length);
                self.left = usize::try_from(size).map_err(|_| "expected a smaller chunk")?;
                self.over = size == 0;
                Ok(true)
            }
            Ok(httparse::Status::Partial) if bytes.len() < 1024 => Ok(false),
            _ => Err("expected the size of a chunk".to_owned()),
        }
    }
}

fn list(line: &[u8]) -> Result<Option<Value>, String> {
    let line = line.trim_ascii();
    if line.is_empty() {
        return Ok(None);
    }
    let list: Value = serde_json::from_slice(line).map_err(|e| format!("expected a list in JSON: {e}"))?;
    check(&list)?;
    Ok(Some(list))
}

/// Whether every field of a list that is needed is there and of its form.
pub fn check(list: &Value) -> Result<(), String> {
    list["version"].as_u64().ok_or("expected a number in version")?;
    list["full"].as_bool().ok_or("expected true or false in full")?;
    for entry in list["servers"].as_array().ok_or("expected entries in servers")? {
        let id = entry["id"].as_str().ok_or("expected a text in id")?;
        entry["addr"]
            .as_str()
            .and_then(|addr| addr.parse::<std::net::SocketAddr>().ok())
            .ok_or_else(|| format!("{id}: expected an address and port in addr"))?;
        entry["cell"].as_u64().ok_or_else(|| format!("{id}: expected a number in cell"))?;
        if !matches!(entry["state"].as_str(), Some("up" | "draining" | "removed")) {
            return Err(format!("{id}: expected up, draining or removed in state, found {}", entry["state"]));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_watch_is_put_together_from_any_pieces() {
        let entry = r#"{"id":"m","addr":"127.0.0.1:5","zone":"a","cell":3,"state":"up","started_ms":0}"#;
        let line = format!("{{\"version\":4,\"full\":true,\"servers\":[{entry}]}}\n\n");
        let (one, two) = line.split_at(30);
        let text = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\n\r\n",
            one.len(),
            two.len()
        );
        for piece in [1, 2, 7, 4096] {
            let (mut answer, mut bytes, mut lists) = (Answer::default(), VecDeque::new(), Vec::new());
            for part in text.as_bytes().chunks(piece) {
                bytes.extend(part);
                lists.extend(answer.take(&mut bytes).expect("a good answer"));
            }
            assert_eq!((lists.len(), answer.signs, answer.over()), (1, 2, true));
            assert_eq!(lists[0]["servers"][0]["cell"], 3);
        }
    }

    #[test]
    fn a_list_may_be_indented_over_lines_and_counts_once_it_is_whole() {
        let entry = r#"{"id":"m}\\\"{","addr":"127.0.0.1:5","cell":3,"state":"up"}"#;
        let list: Value =
            serde_json::from_str(&format!(r#"{{"version":4,"full":true,"servers":[{entry}]}}"#))
                .expect("a list");
        let text = serde_json::to_string_pretty(&list).expect("a text");
        let text = format!("HTTP/1.1 200 OK\r\n\r\n\n{text}\n\n{list}\n{}\r\n", text.replace('\n', "\r\n"));
        for piece in [1, 3, 4096] {
            let (mut answer, mut bytes, mut lists) = (Answer::default(), VecDeque::new(), Vec::new());
            for part in text.as_bytes().chunks(piece) {
                bytes.extend(part);
                lists.extend(answer.take(&mut bytes).expect("a good answer"));
            }
            assert_eq!(lists, [list.clone(), list.clone(), list.clone()]);
        }
        // One that stops in the middle of a line, or after one, is no list yet.
        for part in ["{\"version\":1", "{\n \"version\":4,\n"] {
            let mut bytes = VecDeque::from(format!("HTTP/1.1 200 OK\r\n\r\n{part}").into_bytes());
            assert_eq!(Answer::default().take(&mut bytes), Ok(Vec::new()));
        }
    }

    #[test]
    fn what_is_no_list_is_an_error() {
        for text in [
            "HTTP/1.1 500 no\r\n\r\n",
            "hello\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            "HTTP/1.1 200 OK\r\n\r\n{\"version\":1\n\n",
            "HTTP/1.1 200 OK\r\n\r\n{\"version\":1}\n",
            "HTTP/1.1 200 OK\r\n\r\n\"version\":1}\n",
            "HTTP/1.1 200 OK\r\n\r\n{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"m\"}]}\n",
        ] {
            let mut bytes = VecDeque::from(text.as_bytes().to_vec());
            assert!(Answer::default().take(&mut bytes).is_err(), "{text:?}");
        }
    }
}
