//! The server list over HTTP/1.1: builds the watch request and parses its response incrementally, however the bytes are
//! split. Does no I/O.

use juniperdock_server_list::ServerList;
use std::collections::VecDeque;
use std::fmt;

/// The longest line accepted, in bytes: 20,000 servers of 400 bytes each.
pub const MAX_LINE: usize = 8 << 20;
/// The longest response head accepted, in bytes.
const MAX_HEAD: usize = 16 << 10;
/// The capacity of the line buffer that is kept for the next line, in bytes.
const RETAINED_LINE: usize = 16 << 10;
/// The limit of response bytes buffered before they are parsed.
pub const MAX_UNREAD: usize = 256 << 10;

/// Why a response can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The status is not 200.
    Status(u16),
    /// The bytes are no HTTP response or no server list; the text says what was expected.
    Malformed(String),
}

impl Failure {
    /// Whether discovery reports that it is overloaded (503 of RFC 9110, 429 of RFC 6585).
    pub fn is_overload(&self) -> bool {
        matches!(self, Failure::Status(429 | 503))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Failure::Status(status) => write!(f, "expected status 200, found {status}"),
            Failure::Malformed(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for Failure {}

fn malformed(why: impl Into<String>) -> Failure {
    Failure::Malformed(why.into())
}

/// Builds the request that watches for changes after a version; without a version, the full list comes first.
pub fn watch_request(host: &str, after: Option<u64>) -> String {
    let after = after.map(|version| format!("&after={version}")).unwrap_or_default();
    format!(
        "GET /registry/instances?watch=1{after} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
}

/// Incremental parser of the response to one request.
#[derive(Debug, Default)]
pub struct Answer {
    head_read: bool,
    chunked: bool,
    /// Bytes left of the current chunk or body.
    remaining: usize,
    /// Bytes left of the line end after a chunk.
    line_end: usize,
    complete: bool,
    line: Vec<u8>,
    /// Nesting depth at the end of `line`, and whether that end is inside a string or behind a backslash.
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// Number of line ends received, including those of empty lines. It grows while discovery sends anything.
    pub line_ends: u64,
}

impl Answer {
    /// Consumes what can be parsed from `bytes` and returns the lists that are complete by now.
    pub fn take(&mut self, bytes: &mut VecDeque<u8>) -> Result<Vec<ServerList>, Failure> {
        let mut lists = Vec::new();
        while !self.complete {
            if !self.head_read {
                if !self.read_head(bytes)? {
                    break;
                }
            } else if self.line_end > 0 {
                let Some(byte) = bytes.pop_front() else { break };
                if !matches!(byte, b'\r' | b'\n') {
                    return Err(malformed(format!("expected the end of a chunk, found byte {byte:#04x}")));
                }
                self.line_end -= 1;
            } else if self.remaining == 0 {
                if !self.read_chunk_size(bytes)? {
                    break;
                }
            } else if bytes.is_empty() {
                break;
            } else {
                let n = self.remaining.min(bytes.len());
                self.remaining -= n;
                self.line_end = if self.remaining == 0 && self.chunked { 2 } else { 0 };
                self.complete = self.remaining == 0 && !self.chunked;
                for byte in bytes.drain(..n) {
                    self.line_ends += u64::from(byte == b'\n');
                    // An indented list continues over line ends up to its last bracket; an empty line is never
                    // inside a list.
                    if byte == b'\n' && self.depth == 0 {
                        lists.extend(self.end_line()?);
                    } else if byte == b'\n' && self.at_line_start() {
                        return Err(malformed("expected the rest of a list, found an empty line"));
                    } else {
                        self.track_nesting(byte);
                        self.line.push(byte);
                    }
                }
                if self.line.len() > MAX_LINE {
                    return Err(malformed(format!("expected a line of at most {MAX_LINE} bytes")));
                }
                if self.complete {
                    lists.extend(self.end_line()?);
                }
            }
        }
        Ok(lists)
    }

    /// Parses and clears the current line; `None` if it is empty.
    fn end_line(&mut self) -> Result<Option<ServerList>, Failure> {
        let list = parse_list(&self.line)?;
        self.line.clear();
        self.line.shrink_to(RETAINED_LINE);
        Ok(list)
    }

    /// Whether the response has been received completely.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether only white space followed the last line end.
    fn at_line_start(&self) -> bool {
        self.line.iter().rev().take_while(|byte| byte.is_ascii_whitespace()).any(|&byte| byte == b'\n')
    }

    /// Updates the nesting state by one byte.
    fn track_nesting(&mut self, byte: u8) {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' => self.escaped = self.quoted,
            b'"' => self.quoted = !self.quoted,
            b'{' | b'[' if !self.quoted => self.depth += 1,
            b'}' | b']' if !self.quoted => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// Parses the response head; false while it is incomplete.
    fn read_head(&mut self, bytes: &mut VecDeque<u8>) -> Result<bool, Failure> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let length = match head.parse(bytes.make_contiguous()) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD => return Ok(false),
            Ok(httparse::Status::Partial) => return Err(malformed("expected a shorter head")),
            Err(e) => return Err(malformed(format!("expected an HTTP answer: {e}"))),
        };
        if head.code != Some(200) {
            return Err(Failure::Status(head.code.unwrap_or_default()));
        }
        let header = |name: &str| {
            head.headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case(name))
                .and_then(|h| std::str::from_utf8(h.value).ok())
        };
        self.chunked = header("Transfer-Encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if !self.chunked {
            // Without Content-Length the body lasts until the connection closes.
            let length = header("Content-Length").map_or(Ok(usize::MAX), str::parse);
            self.remaining = length.map_err(|_| malformed("expected a number in Content-Length"))?;
            self.complete = self.remaining == 0;
        }
        self.head_read = true;
        bytes.drain(..length);
        Ok(true)
    }

    /// Parses the size line of a chunk; false while it is incomplete.
    fn read_chunk_size(&mut self, bytes: &mut VecDeque<u8>) -> Result<bool, Failure> {
        match httparse::parse_chunk_size(bytes.make_contiguous()) {
            Ok(httparse::Status::Complete((length, size))) => {
                bytes.drain(..length);
                self.remaining = usize::try_from(size).map_err(|_| malformed("expected a smaller chunk"))?;
                self.complete = size == 0;
                Ok(true)
            }
            Ok(httparse::Status::Partial) if bytes.len() < 1024 => Ok(false),
            _ => Err(malformed("expected the size of a chunk")),
        }
    }
}

fn parse_list(line: &[u8]) -> Result<Option<ServerList>, Failure> {
    let line = line.trim_ascii();
    if line.is_empty() {
        return Ok(None);
    }
    ServerList::parse(line).map(Some).map_err(Failure::Malformed)
}
