//! The parts of PostgreSQL's wire protocol that tests need, for clients and for members.

use std::io::{Read, Write};
use std::net::TcpStream;

/// Encodes a message: type, length, body.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

/// Reads one message. A startup message has no type byte (`typed` is false) and is returned with type 0. Returns
/// `None` if the connection ends first.
pub fn read_message(from: &mut impl Read, typed: bool) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 4];
    let mut kind = [0];
    if typed {
        from.read_exact(&mut kind).ok()?;
    }
    from.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes(head) as usize - 4];
    from.read_exact(&mut body).ok()?;
    Some((kind[0], body))
}

/// The messages that answer a query with one row of one `bytea` column.
pub fn row(value: &[u8]) -> Vec<u8> {
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    let description = b"\0\x01blob\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
    [message(b'T', description), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

/// An ErrorResponse with the given SQLSTATE.
pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// ReadyForQuery, outside a transaction.
pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// A ParameterStatus message.
pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Returns the value of a field in the comment at the head of a statement.
pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split("*/").next()?.trim_start_matches("/*");
    comment.split(',').find_map(|part| part.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
}

/// A member's response to a statement.
pub enum StatementReply {
    /// Sends these bytes and keeps the connection.
    Answer(Vec<u8>),
    /// Sends these bytes and closes the connection.
    End(Vec<u8>),
}

/// The behaviour of a member on its connections.
pub trait StatementHandler: Send + Sync {
    /// Called once for each new connection; false closes it at once. May block.
    fn welcome(&self, stream: &TcpStream) -> bool;
    /// Answers a statement, which may be a probe. May block.
    fn statement(&self, text: &str) -> StatementReply;
}

/// Serves one connection until it ends.
pub fn serve(mut stream: TcpStream, store: &dyn StatementHandler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    read_message(&mut stream, false)?;
    if !store.welcome(&stream) {
        return None;
    }
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat()).ok()?;
    while let Some((b'Q', body)) = read_message(&mut stream, true) {
        match store.statement(String::from_utf8_lossy(&body).trim_end_matches('\0')) {
            StatementReply::Answer(bytes) => stream.write_all(&bytes).ok()?,
            StatementReply::End(bytes) => {
                let _ = stream.write_all(&bytes);
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return None;
            }
        }
    }
    Some(())
}
