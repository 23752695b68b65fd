//! PostgreSQL's protocol, version 3, as far as clients and servers of the pages need it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn read_message(from: &mut impl Read, typed: bool) -> Option<(u8, Vec<u8>)> {
    let (mut kind, mut head) = ([0], [0; 4]);
    if typed {
        from.read_exact(&mut kind).ok()?;
    }
    from.read_exact(&mut head).ok()?;
    let mut body = vec![0; (u32::from_be_bytes(head) as usize).checked_sub(4)?];
    from.read_exact(&mut body).ok()?;
    Some((kind[0], body))
}

pub fn row(value: &[u8]) -> Vec<u8> {
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    let description = b"\0\x01blob\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
    [message(b'T', description), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mno\0\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// A field of the comment at the head of a statement.
pub fn field(statement: &str, name: &str) -> Option<String> {
    let comment = statement.split("*/").next()?.trim_start_matches("/*").to_owned();
    let mut fields = comment.split(',').filter_map(|part| part.trim().split_once('='));
    fields.find(|(its, _)| *its == name).map(|(_, value)| value.trim().to_owned())
}

/// The answer to one statement: a value, an error's code, or neither if the connection ended.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub value: Option<String>,
    pub code: Option<String>,
    pub ended: bool,
}

/// A client's connection to a front.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    /// Connects, and waits for the answer to an empty query.
    pub fn open(at: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(15))).ok()?;
        let mut client = Client { stream };
        let names = b"user\0api\0database\0ledger\0\0";
        let mut startup = ((names.len() + 8) as u32).to_be_bytes().to_vec();
        startup.extend([0, 3, 0, 0]);
        startup.extend(names);
        startup.extend(message(b'Q', b"\0"));
        client.stream.write_all(&startup).ok()?;
        (!client.answer().ended && !client.answer().ended).then_some(client)
    }

    pub fn send(&mut self, text: &str) -> bool {
        self.stream.write_all(&message(b'Q', format!("{text}\0").as_bytes())).is_ok()
    }

    pub fn answer(&mut self) -> Answer {
        let mut answer = Answer::default();
        while let Some((kind, body)) = read_message(&mut self.stream, true) {
            match kind {
                b'Z' => return answer,
                b'D' => answer.value = Some(String::from_utf8_lossy(&body[6..]).into_owned()),
                b'E' => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    answer.code = text.split('\0').find_map(|part| part.strip_prefix('C')).map(str::to_owned);
                }
                _ => {}
            }
        }
        answer.ended = true;
        answer
    }

    pub fn query(&mut self, text: &str) -> Answer {
        if !self.send(text) {
            return Answer { ended: true, ..Answer::default() };
        }
        self.answer()
    }
}
