//! A blocking client that sends one txn at a time.

use crate::TEST_TIMEOUT;
use crate::wire::{message, read_message};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The front's reply to one statement.
#[derive(Debug, Default, PartialEq)]
pub struct Reply {
    /// The value of the row, if there was one.
    pub value: Option<Vec<u8>>,
    /// The code of an error.
    pub code: Option<String>,
    /// The field D (detail) of an error.
    pub detail: Option<String>,
    /// The type of the last message; 0 if the connection ended instead.
    pub last: u8,
}

/// A client connection to a front.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and completes the startup exchange and an empty query; `None` if any step fails.
    pub fn open(at: SocketAddr) -> Option<Client> {
        Client::open_within(at, TEST_TIMEOUT)
    }

    /// Like [`Client::open`], with `timeout` as the limit for connecting and for each read.
    pub fn open_within(at: SocketAddr, timeout: Duration) -> Option<Client> {
        let mut client = Client { stream: TcpStream::connect_timeout(&at, timeout).ok()? };
        client.stream.set_nodelay(true).ok()?;
        client.stream.set_read_timeout(Some(timeout)).ok()?;
        let names = b"user\0api\0database\0ledger\0\0";
        let mut startup = ((names.len() + 8) as u32).to_be_bytes().to_vec();
        startup.extend([0, 3, 0, 0]);
        startup.extend(names);
        // The first query is sent in the same write as the startup message.
        startup.extend(message(b'Q', b"\0"));
        client.stream.write_all(&startup).ok()?;
        (client.reply().last == b'Z' && client.reply().last == b'Z').then_some(client)
    }

    /// Reads up to the next ReadyForQuery, or to the end of the connection.
    pub fn reply(&mut self) -> Reply {
        let mut reply = Reply::default();
        while let Some((kind, body)) = read_message(&mut self.stream, true) {
            reply.last = kind;
            match kind {
                b'Z' => return reply,
                b'D' => reply.value = Some(body[6..].to_vec()),
                b'E' => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let field = |f: char| text.split('\0').find_map(|p| p.strip_prefix(f)).map(str::to_owned);
                    (reply.code, reply.detail) = (field('C'), field('D'));
                }
                _ => {}
            }
        }
        reply.last = 0;
        reply
    }

    /// Sends a statement; panics if the connection has ended.
    pub fn send(&mut self, text: &str) {
        assert!(self.try_send(text), "the front closed the connection before a statement was sent");
    }

    /// Sends a statement; returns false if the connection has ended.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.stream.write_all(&message(b'Q', format!("{text}\0").as_bytes())).is_ok()
    }

    /// Sends a statement and waits for its reply.
    pub fn query(&mut self, text: &str) -> Reply {
        self.send(text);
        self.reply()
    }
}

/// The text of a txn of the given type that expires after `ms` milliseconds. Each call gives it a new id, as the
/// protocol wants it; `label` is in a field of the comment by which tests find it (`test_id=label,`).
pub fn txn(kind: &str, ms: u32, label: &str) -> String {
    txn_of(kind, ms, label, "5c0f", 2)
}

/// Like [`txn`], for a given group and with a given reference (`k`).
pub fn txn_of(kind: &str, ms: u32, label: &str, mark: &str, cell: u64) -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let query = if kind == "lookup" {
        "SELECT blob FROM rows WHERE handle = '7f3a'"
    } else {
        "INSERT INTO rows (handle, blob) VALUES ('7f3a', '\\x9f03') RETURNING blob"
    };
    format!("/* id={id:016x},c={kind},d={ms},k={mark},cluster={cell},test_id={label}, */ {query}")
}
