//! PostgreSQL's wire protocol, version 3: parsing and building of messages, and the leading comment of a statement.
//! Does no I/O.

mod comment;
mod copy_check;

pub use comment::{Comment, MAX_COMMENT_FIELDS, shown};
pub use copy_check::{CopyCheck, Reading, names_load_report};

use std::ops::Range;

/// The longest message accepted from a client: a value of 64 KiB in hex digits, its statement and its comment.
pub const MAX_MESSAGE_LEN: usize = 2 * 65_536 + 8_192;

/// The longest text of an ErrorResponse, in bytes.
const MAX_ERROR_TEXT: usize = 400;

/// SQLSTATE protocol_violation.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// SQLSTATE feature_not_supported.
pub const NOT_SUPPORTED: &str = "0A000";
/// SQLSTATE too_many_connections.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE cannot_connect_now.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
/// SQLSTATE internal_error.
pub const INTERNAL: &str = "XX000";
/// SQLSTATE transaction_rollback.
pub const ROLLED_BACK: &str = "40000";
/// SQLSTATE statement_completion_unknown.
pub const COMPLETION_UNKNOWN: &str = "40003";
/// SQLSTATE read_only_sql_transaction, used where no primary takes writes.
pub const NO_PRIMARY: &str = "25006";
/// SQLSTATE snapshot_too_old, used where replicas lag too far behind for a read.
pub const TOO_FAR_BEHIND: &str = "72000";
/// SQLSTATE program_limit_exceeded.
pub const LIMIT_EXCEEDED: &str = "54000";

/// The length of a typed message's head: its type byte and its length.
pub const HEADER_LEN: usize = 5;

/// A message's type byte, its body, and its total length in bytes.
pub type Message<'a> = (u8, &'a [u8], usize);

/// Parses the typed message at the start of `bytes`. Returns `None` while it is incomplete.
///
/// # Errors
/// If the type byte or the length is invalid; a length over `max_length` is. The stream can't be parsed any further.
///
/// ```
/// let query = b"Q\0\0\0\x05\0rest";
/// assert_eq!(juniperdock_pg::message(query, 9), Ok(Some((b'Q', &b"\0"[..], 6))));
/// assert_eq!(juniperdock_pg::message(&query[..5], 9), Ok(None));
/// assert!(juniperdock_pg::message(b"Q\0\0\0\x03", 9).is_err());
/// ```
pub fn message(bytes: &[u8], max_length: usize) -> Result<Option<Message<'_>>, String> {
    let Some((&kind, rest)) = bytes.split_first() else { return Ok(None) };
    if !kind.is_ascii_alphabetic() {
        return Err(format!("expected a message type, found byte {kind:#04x}"));
    }
    let Some(length) = length(rest, max_length)? else { return Ok(None) };
    Ok(rest.get(4..length).map(|body| (kind, body, length + 1)))
}

/// The total length of the typed message at the start of `bytes`; if its length field is incomplete, the length of the
/// header.
pub fn message_length(bytes: &[u8]) -> usize {
    bytes.get(1..).map_or(HEADER_LEN, |rest| 1 + opening_length(rest))
}

/// Like [`message_length`], for an opening message, which has no type byte.
pub fn opening_length(bytes: &[u8]) -> usize {
    bytes.first_chunk::<4>().map_or(4, |head| u32::from_be_bytes(*head) as usize)
}

fn length(bytes: &[u8], max_length: usize) -> Result<Option<usize>, String> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    match u32::from_be_bytes(*head) as usize {
        n if (4..=max_length).contains(&n) => Ok(Some(n)),
        n => Err(format!("expected a length from 4 to {max_length}, found {n}")),
    }
}

/// The first message of a client on a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Opening {
    /// SSLRequest or GSSENCRequest.
    Encryption,
    /// CancelRequest.
    Cancel,
    /// StartupMessage of protocol 3.
    Startup,
}

/// Parses the opening message at the start of `bytes` and returns it with its length, or `None` while it is incomplete.
///
/// # Errors
/// If its length or its protocol version is invalid.
pub fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, String> {
    let Some(length) = length(bytes, MAX_MESSAGE_LEN)? else { return Ok(None) };
    if !(8..=10_000).contains(&length) {
        return Err(format!("expected an opening message of 8 to 10000 bytes, found {length}"));
    }
    let Some(body) = bytes.get(4..length) else { return Ok(None) };
    let code = body.first_chunk::<4>().map_or(0, |code| u32::from_be_bytes(*code));
    match (code >> 16, code & 0xffff) {
        (1234, 5679 | 5680) => Ok(Some((Opening::Encryption, length))),
        (1234, 5678) => Ok(Some((Opening::Cancel, length))),
        (3, _) if body.ends_with(&[0]) => Ok(Some((Opening::Startup, length))),
        (major, minor) => Err(format!("expected protocol 3, found {major}.{minor}")),
    }
}

/// Appends a typed message whose body is the concatenation of `body`.
fn put(out: &mut Vec<u8>, kind: u8, body: &[&[u8]]) {
    let length: usize = 4 + body.iter().map(|part| part.len()).sum::<usize>();
    out.push(kind);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    body.iter().for_each(|part| out.extend_from_slice(part));
}

/// Builds the StartupMessage that a front sends to a member.
pub fn startup(user: &str, database: &str) -> Vec<u8> {
    let names = format!("user\0{user}\0database\0{database}\0\0");
    let mut out = ((names.len() + 8) as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&(3u32 << 16).to_be_bytes());
    out.extend_from_slice(names.as_bytes());
    out
}

/// Builds a Query message.
pub fn query(statement: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(statement.len() + 6);
    put(&mut out, b'Q', &[statement.as_bytes(), &[0]]);
    out
}

/// Builds a Terminate message.
pub fn terminate() -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'X', &[]);
    out
}

/// Appends the reply to a startup message: AuthenticationOk, the parameters, and the first ReadyForQuery.
pub fn startup_response(out: &mut Vec<u8>) {
    put(out, b'R', &[&[0; 4]]);
    for (name, value) in
        [("server_version", "15.0"), ("client_encoding", "UTF8"), ("standard_conforming_strings", "on")]
    {
        put(out, b'S', &[name.as_bytes(), &[0], value.as_bytes(), &[0]]);
    }
    ready(out);
}

/// Appends ReadyForQuery with the status idle.
pub fn ready(out: &mut Vec<u8>) {
    put(out, b'Z', &[b"I"]);
}

/// Appends EmptyQueryResponse.
pub fn empty_query(out: &mut Vec<u8>) {
    put(out, b'I', &[]);
}

/// Appends CommandComplete.
pub fn command_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, b'C', &[tag.as_bytes(), &[0]]);
}

/// Appends an ErrorResponse; `detail` is field D. Of a long text only the start is sent.
pub fn error(out: &mut Vec<u8>, fatal: bool, code: &str, text: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let text = &text[..text.floor_char_boundary(MAX_ERROR_TEXT)];
    let mut fields = format!("S{severity}\0V{severity}\0C{code}\0M{}\0", text.replace('\0', " "));
    if let Some(detail) = detail {
        fields += &format!("D{detail}\0");
    }
    put(out, b'E', &[fields.as_bytes(), &[0]]);
}

/// Returns one field of an ErrorResponse's body.
pub fn error_field(body: &[u8], field: u8) -> Option<&str> {
    body.split(|&b| b == 0)
        .find(|part| part.first() == Some(&field))
        .and_then(|part| std::str::from_utf8(&part[1..]).ok())
}

/// Whether a SQLSTATE blames the statement itself, so that it would fail on every member.
pub fn is_statement_error(code: &str) -> bool {
    code == PROTOCOL_VIOLATION
        || ["0A", "22", "23", "26", "34", "3D", "3F", "42"].contains(&&code[..code.len().min(2)])
}

/// Whether a RowDescription describes exactly one column.
pub fn has_one_column(body: &[u8]) -> bool {
    let name = body.strip_prefix(&[0, 1]).map(|rest| rest.split(|&b| b == 0).next().unwrap_or(rest));
    name.is_some_and(|name| body.len() == 2 + name.len() + 1 + 18)
}

/// Returns the name and the value of a ParameterStatus.
pub fn parameter(body: &[u8]) -> Option<(&str, &str)> {
    let mut parts = body.split(|&b| b == 0).map(|part| std::str::from_utf8(part).ok());
    Some((parts.next()??, parts.next()??))
}

/// Returns the value of a DataRow with exactly one column.
pub fn single_column(body: &[u8]) -> Option<&[u8]> {
    let (&[0, 1], rest) = body.split_first_chunk::<2>()? else { return None };
    let (length, value) = rest.split_first_chunk::<4>()?;
    (u32::from_be_bytes(*length) as usize == value.len()).then_some(value)
}

/// Returns the text of a Query.
///
/// # Errors
/// If it is not UTF-8, or does not end in the only zero byte: a server would read up to the first one.
pub fn statement(body: &[u8]) -> Result<&str, String> {
    let (&0, text) = body.split_last().ok_or("expected a statement that ends in a zero byte")? else {
        return Err("expected a statement that ends in a zero byte".to_owned());
    };
    if text.contains(&0) {
        return Err("expected one statement, found a zero byte in it".to_owned());
    }
    std::str::from_utf8(text).map_err(|_| "expected a statement in UTF-8".to_owned())
}

/// The kind of a statement, by its first word.
#[derive(Debug, PartialEq, Eq)]
pub enum Verb {
    /// No statement.
    Empty,
    /// Changes only the session; holds the tag for CommandComplete.
    Session(&'static str),
    /// Any other statement: a txn.
    Txn,
}

/// Classifies a statement by its first word.
pub fn verb(statement: &str) -> Verb {
    let text = statement.trim().trim_end_matches(';');
    let word = text.split_whitespace().next().unwrap_or("");
    let is = |verb: &str| word.eq_ignore_ascii_case(verb);
    if word.is_empty() {
        Verb::Empty
    } else if is("SET") {
        Verb::Session("SET")
    } else if is("RESET") {
        Verb::Session("RESET")
    } else if is("DISCARD") {
        Verb::Session("DISCARD ALL")
    } else {
        Verb::Txn
    }
}

/// Returns the byte range of `value` in `statement`, of which it must be a slice.
///
/// ```
/// let statement = "/* id=9b,d=480 */ SELECT 1";
/// let comment = juniperdock_pg::Comment::parse(statement).unwrap();
/// let left = juniperdock_pg::value_range(statement, comment.field("d").unwrap());
/// assert_eq!(juniperdock_pg::with_time_left(statement, &left, 35), "/* id=9b,d=35 */ SELECT 1");
/// ```
pub fn value_range(statement: &str, value: &str) -> Range<usize> {
    let start = (value.as_ptr() as usize).saturating_sub(statement.as_ptr() as usize);
    start..start + value.len()
}

/// Returns the statement for a member: a copy in which the range `left`, the value of `d`, is replaced by the remaining
/// time.
pub fn with_time_left(statement: &str, left: &Range<usize>, ms: u128) -> String {
    format!("{}{ms}{}", &statement[..left.start], &statement[left.end..])
}

/// Returns the text between the first two single quotes, which is the key that a statement names.
pub fn first_quoted(rest: &str) -> Option<&str> {
    rest.split('\'').nth(1).filter(|key| !key.is_empty())
}
