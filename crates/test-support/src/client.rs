//! A client, one txn at a time.

use crate::PATIENCE;
use crate::wire::{message, read_message};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Debug, Default, PartialEq)]
pub struct Reply {
    pub value: Option<Vec<u8>>,
    /// The code of an error, and its field D.
    pub code: Option<String>,
    pub detail: Option<String>,
    /// The last message's type; 0 where the connection ended instead.
    pub last: u8,
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// One that has been welcomed, or none.
    pub fn open(at: SocketAddr) -> Option<Client> {
        Client::open_within(at, PATIENCE)
    }

    /// The same, with so much patience for each thing that has to come.
    pub fn open_within(at: SocketAddr, timeout: Duration) -> Option<Client> {
        let mut client = Client { stream: TcpStream::connect_timeout(&at, timeout).ok()? };
        client.stream.set_nodelay(true).ok()?;
        client.stream.set_read_timeout(Some(timeout)).ok()?;
        let names = b"user\0api\0database\0ledger\0\0";
        let mut startup = ((names.len() + 8) as u32).to_be_bytes().to_vec();
        startup.extend([0, 3, 0, 0]);
        startup.extend(names);
        // The first query comes straight behind.
        startup.extend(message(b'Q', b"\0"));
        client.stream.write_all(&startup).ok()?;
        (client.reply().last == b'Z' && client.reply().last == b'Z').then_some(client)
    }

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

    pub fn say(&mut self, text: &str) {
        assert!(self.tell(text), "the front reads");
    }

    /// Sends a statement; false if the connection has ended.
    pub fn tell(&mut self, text: &str) -> bool {
        self.stream.write_all(&message(b'Q', format!("{text}\0").as_bytes())).is_ok()
    }

    pub fn ask(&mut self, text: &str) -> Reply {
        self.say(text);
        self.reply()
    }
}

/// A txn of a type, with so many ms to live.
pub fn txn(kind: &str, ms: u32, id: &str) -> String {
    txn_of(kind, ms, id, "5c0f", 2)
}

/// As `txn`, of a group and with a mark.
pub fn txn_of(kind: &str, ms: u32, id: &str, mark: &str, cell: u64) -> String {
    let query = if kind == "lookup" {
        "SELECT blob FROM rows WHERE handle = '7f3a'"
    } else {
        "INSERT INTO rows (handle, blob) VALUES ('7f3a', '\\x9f03') RETURNING blob"
    };
    format!("/* id={id},c={kind},d={ms},k={mark},cluster={cell} */ {rest}")
}
