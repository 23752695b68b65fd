//! PostgreSQL's wire protocol, version 3: framing both ways, and the comment that leads a statement.
//! No sockets: bytes in, bytes out.

use std::ops::Range;

/// The longest message taken from a client: a value of 64 KiB in hex digits, its statement and its comment.
pub const LONGEST: usize = 2 * 65_536 + 8_192;

pub const PROTOCOL_VIOLATION: &str = "08P01";
pub const NOT_SUPPORTED: &str = "0A000";
pub const TOO_MANY: &str = "53300";
pub const CANNOT_CONNECT_NOW: &str = "57P03";
pub const INTERNAL: &str = "XX000";
pub const ROLLED_BACK: &str = "40000";
/// Statement completion unknown.
pub const UNKNOWN: &str = "40003";
pub const NO_PRIMARY: &str = "25006";
pub const TOO_FAR_BEHIND: &str = "72000";
pub const LIMIT_EXCEEDED: &str = "54000";

/// A message's type, its body, and how long it is in all.
pub type Message<'a> = (u8, &'a [u8], usize);

/// One typed message at the head of `bytes`: its type, its body and how long it is in all. `None` until all
/// of it is there; the error says why what follows can't be followed. No longer one than `max_length` is waited
/// for.
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

/// How many bytes the typed message at the head of `bytes` takes, as far as they tell: of one whose length has not come
/// in yet, those up to it.
pub fn message_length(bytes: &[u8]) -> usize {
    bytes.get(1..).map_or(5, |rest| 1 + opening_length(rest))
}

/// The same of an opening message, which has no type.
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

/// What a client opens with.
#[derive(Debug, PartialEq, Eq)]
pub enum Opening {
    /// Asks for encryption, by TLS or GSS.
    Encryption,
    Cancel,
    Startup,
}

/// The opening message at the head of `bytes`, and how long it is.
pub fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, String> {
    let Some(length) = length(bytes, LONGEST)? else { return Ok(None) };
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

fn put(out: &mut Vec<u8>, kind: u8, body: &[&[u8]]) {
    let length: usize = 4 + body.iter().map(|part| part.len()).sum::<usize>();
    out.push(kind);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    body.iter().for_each(|part| out.extend_from_slice(part));
}

/// What a front opens a connection to a member with.
pub fn startup(user: &str, database: &str) -> Vec<u8> {
    let names = format!("user\0{user}\0database\0{database}\0\0");
    let mut out = ((names.len() + 8) as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&(3u32 << 16).to_be_bytes());
    out.extend_from_slice(names.as_bytes());
    out
}

pub fn query(statement: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(statement.len() + 6);
    put(&mut out, b'Q', &[statement.as_bytes(), &[0]]);
    out
}

pub fn terminate() -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'X', &[]);
    out
}

/// The welcome after a startup message, up to the first ReadyForQuery.
pub fn welcome(out: &mut Vec<u8>) {
    put(out, b'R', &[&[0; 4]]);
    for (name, value) in
        [("server_version", "15.0"), ("client_encoding", "UTF8"), ("standard_conforming_strings", "on")]
    {
        put(out, b'S', &[name.as_bytes(), &[0], value.as_bytes(), &[0]]);
    }
    ready(out);
}

pub fn ready(out: &mut Vec<u8>) {
    put(out, b'Z', &[b"I"]);
}

pub fn empty_query(out: &mut Vec<u8>) {
    put(out, b'I', &[]);
}

pub fn command_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, b'C', &[tag.as_bytes(), &[0]]);
}

/// An ErrorResponse; `detail` is field D.
pub fn error(out: &mut Vec<u8>, fatal: bool, code: &str, text: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let mut fields = format!("S{severity}\0V{severity}\0C{code}\0M{}\0", text.replace('\0', " "));
    if let Some(detail) = detail {
        fields += &format!("D{detail}\0");
    }
    put(out, b'E', &[fields.as_bytes(), &[0]]);
}

/// One field of an ErrorResponse's body.
pub fn error_field(body: &[u8], field: u8) -> Option<&str> {
    body.split(|&b| b == 0)
        .find(|part| part.first() == Some(&field))
        .and_then(|part| std::str::from_utf8(&part[1..]).ok())
}

/// Whether an error's code finds fault with the statement itself: no member could use it.
pub fn of_statement(code: &str) -> bool {
    code == PROTOCOL_VIOLATION
        || ["0A", "22", "23", "26", "34", "3D", "3F", "42"].contains(&&code[..code.len().min(2)])
}

/// Whether a RowDescription tells of one column.
pub fn one_column(body: &[u8]) -> bool {
    let name = body.strip_prefix(&[0, 1]).map(|rest| rest.split(|&b| b == 0).next().unwrap_or(rest));
    name.is_some_and(|name| body.len() == 2 + name.len() + 1 + 18)
}

/// Name and value of a ParameterStatus.
pub fn parameter(body: &[u8]) -> Option<(&str, &str)> {
    let mut parts = body.split(|&b| b == 0).map(|part| std::str::from_utf8(part).ok());
    Some((parts.next()??, parts.next()??))
}

/// The one column of a DataRow.
pub fn column(body: &[u8]) -> Option<&[u8]> {
    let (&[0, 1], rest) = body.split_first_chunk::<2>()? else { return None };
    let (length, value) = rest.split_first_chunk::<4>()?;
    (u32::from_be_bytes(*length) as usize == value.len()).then_some(value)
}

/// The text of a Query.
pub fn statement(body: &[u8]) -> Result<&str, String> {
    let (&0, text) = body.split_last().ok_or("expected a statement that ends in a zero byte")? else {
        return Err("expected a statement that ends in a zero byte".to_owned());
    };
    std::str::from_utf8(text).map_err(|_| "expected a statement in UTF-8".to_owned())
}

/// What a statement is, before its comment is looked at.
#[derive(Debug, PartialEq, Eq)]
pub enum Verb {
    Empty,
    /// Changes the session only; the tag to complete it with.
    Session(&'static str),
    Txn,
}

pub fn verb(statement: &str) -> Verb {
    let text = statement.trim().trim_end_matches(';');
    let word = text.split_whitespace().next().unwrap_or("");
    match word.to_ascii_uppercase().as_str() {
        "" => Verb::Empty,
        "SET" => Verb::Session("SET"),
        "RESET" => Verb::Session("RESET"),
        "DISCARD" => Verb::Session("DISCARD ALL"),
        _ => Verb::Txn,
    }
}

/// A name and its value.
pub type Field<'a> = (&'a str, &'a str);

/// The names and values of the comment that leads a statement, and what follows it.
///
/// ```
/// let (fields, rest) = juniperdock_pg::comment("/* id=9b,c=basket,d=480 */ SELECT 1").unwrap();
/// assert_eq!(fields, [("id", "9b"), ("c", "basket"), ("d", "480")]);
/// assert_eq!(rest, " SELECT 1");
/// assert!(juniperdock_pg::comment("/* id=9b").is_err());
/// ```
pub fn comment(statement: &str) -> Result<(Vec<Field<'_>>, &str), String> {
    let (inside, rest) = statement
        .trim_start()
        .strip_prefix("/*")
        .ok_or("expected a statement that starts with a comment")?
        .split_once("*/")
        .ok_or("expected the end of the comment")?;
    let fields = inside
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(|part| {
            part.split_once('=').ok_or_else(|| format!("expected name=value in the comment, found {part:?}"))
        })
        .collect::<Result<_, _>>()?;
    Ok((fields, rest))
}

/// Where in a statement a value of its comment stands.
///
/// ```
/// let statement = "/* id=9b,d=480 */ SELECT 1";
/// let (fields, _) = juniperdock_pg::comment(statement).unwrap();
/// let left = juniperdock_pg::place(statement, fields[1].1);
/// assert_eq!(juniperdock_pg::with_time_left(statement, &left, 35), "/* id=9b,d=35 */ SELECT 1");
/// ```
pub fn place(statement: &str, value: &str) -> Range<usize> {
    let start = (value.as_ptr() as usize).saturating_sub(statement.as_ptr() as usize);
    start..start + value.len()
}

/// The statement as it goes on to a member: unchanged but for what stands where `d` tells the time left.
pub fn with_time_left(statement: &str, left: &Range<usize>, ms: u128) -> String {
    format!("{}{ms}{}", &statement[..left.start], &statement[left.end..])
}

/// The text between the first two quotes: the key a statement names.
pub fn quoted(rest: &str) -> Option<&str> {
    rest.split('\'').nth(1).filter(|key| !key.is_empty())
}
