//! Messages between the two processes. Each is one packet: a letter, then fixed fields in network byte order. A
//! file descriptor may accompany it.

use crate::change_pieces::ChangePieces;
use crate::old_process::OldProcess;

/// Maximum length of one message, in bytes.
pub const MAX_MESSAGE_LEN: usize = 32 << 10;

fn split_field<const N: usize>(bytes: &[u8]) -> Option<([u8; N], &[u8])> {
    bytes.split_first_chunk::<N>().map(|(head, rest)| (*head, rest))
}

/// Encodes the range of protocol versions that the new process supports.
pub fn hello(lowest: u16, highest: u16) -> Vec<u8> {
    [&b"h"[..], &lowest.to_be_bytes(), &highest.to_be_bytes()].concat()
}

/// Encodes the report of the new process that it is ready to serve.
pub fn ready() -> Vec<u8> {
    b"r".to_vec()
}

/// Encodes the confirmation of the new process that it has received a client.
pub fn client_received(client: u64) -> Vec<u8> {
    [&b"t"[..], &client.to_be_bytes()].concat()
}

/// Encodes the protocol version that the old process has chosen.
pub fn agree(version: u16) -> Vec<u8> {
    [&b"a"[..], &version.to_be_bytes()].concat()
}

/// Encodes the header that accompanies the descriptor of the listener.
pub fn listener() -> Vec<u8> {
    b"l".to_vec()
}

/// Encodes the header that accompanies the descriptor of the session marks, which both processes use from now on.
pub fn session_marks() -> Vec<u8> {
    b"k".to_vec()
}

/// Splits a change of the runtime state into messages, for either process.
pub fn change(encoded: &[u8]) -> impl Iterator<Item = Vec<u8>> {
    let pieces = encoded.chunks(MAX_MESSAGE_LEN - 2);
    let count = pieces.len();
    pieces.enumerate().map(move |(at, piece)| [&[b'x', u8::from(at + 1 == count)], piece].concat())
}

/// Encodes the end of the runtime state from which the new process starts.
pub fn state_complete() -> Vec<u8> {
    b"y".to_vec()
}

/// Encodes a piece of the old process's snapshot; an empty piece ends it.
pub fn memory(piece: &[u8]) -> Vec<u8> {
    [&b"m"[..], piece].concat()
}

/// Encodes bytes that the next client has sent and nobody has processed, as many as fit into one message.
pub fn unread(bytes: &[u8]) -> Vec<u8> {
    [&b"u"[..], bytes].concat()
}

/// Encodes the header that accompanies the descriptor of a client. `open`: its start-up is complete. `skipping`: its
/// messages are discarded up to the next Sync.
pub fn client(number: u64, open: bool, skipping: bool) -> Vec<u8> {
    [&b"c"[..], &number.to_be_bytes(), &[u8::from(open), u8::from(skipping)]].concat()
}

/// Encodes the header that accompanies the descriptor of an idle connection to the member with that id.
pub fn idle(member: &str) -> Vec<u8> {
    [&b"i"[..], member.as_bytes()].concat()
}

/// Encodes the order to the new process to serve from now on.
pub fn commit() -> Vec<u8> {
    b"s".to_vec()
}

/// Decodes a message from the new process and passes it to the old one's state machine.
pub fn deliver_to_old(message: &[u8], old_process: &mut OldProcess, changes: &mut ChangePieces) {
    match message.split_first() {
        Some((b'x', [last @ (0 | 1), piece @ ..])) => {
            if !changes.append(piece, *last == 1) {
                old_process.on_protocol_error();
            }
        }
        Some((b'h', fields)) => match split_field(fields).zip(fields.get(2..).and_then(split_field)) {
            Some(((lowest, _), (highest, []))) => {
                old_process.on_hello(u16::from_be_bytes(lowest), u16::from_be_bytes(highest));
            }
            _ => old_process.on_protocol_error(),
        },
        Some((b'r', [])) => old_process.on_ready(),
        Some((b't', fields)) => match split_field(fields) {
            Some((client, [])) => old_process.on_received(u64::from_be_bytes(client)),
            _ => old_process.on_protocol_error(),
        },
        _ => old_process.on_protocol_error(),
    }
}

/// Handles the messages that the new process receives.
pub trait MessageHandler {
    fn agreed(&mut self, version: u16);
    /// A piece of a change of the runtime state.
    fn change(&mut self, piece: &[u8], last: bool);
    /// The runtime state to start from is complete.
    fn state_complete(&mut self);
    fn session_marks(&mut self);
    fn memory(&mut self, piece: &[u8]);
    fn listener(&mut self);
    fn unread(&mut self, bytes: &[u8]);
    fn client(&mut self, number: u64, open: bool, skipping: bool);
    fn idle(&mut self, member: &str);
    fn commit(&mut self);
    fn nonsense(&mut self);
}

/// Decodes a message from the old process and passes it to the handler.
pub fn deliver_to_new(message: &[u8], handler: &mut impl MessageHandler) {
    match message.split_first() {
        Some((b'a', fields)) => match split_field(fields) {
            Some((version, [])) => handler.agreed(u16::from_be_bytes(version)),
            _ => handler.nonsense(),
        },
        Some((b'x', [last @ (0 | 1), piece @ ..])) => handler.change(piece, *last == 1),
        Some((b'y', [])) => handler.state_complete(),
        Some((b'k', [])) => handler.session_marks(),
        Some((b'm', piece)) => handler.memory(piece),
        Some((b'l', [])) => handler.listener(),
        Some((b'u', bytes)) => handler.unread(bytes),
        Some((b'c', fields)) => match split_field(fields) {
            Some((client, &[open @ (0 | 1), skipping @ (0 | 1)])) => {
                handler.client(u64::from_be_bytes(client), open == 1, skipping == 1);
            }
            _ => handler.nonsense(),
        },
        Some((b'i', member)) => match std::str::from_utf8(member) {
            Ok(member) if !member.is_empty() => handler.idle(member),
            _ => handler.nonsense(),
        },
        Some((b's', [])) => handler.commit(),
        _ => handler.nonsense(),
    }
}
