//! Datagrams: at most 256 bytes, versioned, sealed by a code that only holders of a key can make.
//!
//! A version, the length of the head, the head, the body, and 16 bytes of an HMAC-SHA-256 (RFC 2104, cut short
//! as its section 5 allows) over all before. A reader takes the fields of the head that it knows and passes over
//! what a later version has put behind them.

use crate::who::Who;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// No datagram is longer.
pub const LONGEST: usize = 256;
/// The newest version; each understands its two neighbours.
pub const NEWEST_VERSION: u8 = 2;
const CODE: usize = 16;
/// The most bytes of a head, two for its version and length counted in.
const HEAD: usize = 40;
/// The most bytes of a body.
pub const BODY: usize = LONGEST - CODE - HEAD;

/// What a datagram is for. Others are passed over.
pub mod kind {
    /// Asks another front for its life.
    pub const HELLO: u8 = 1;
    /// The answer.
    pub const HERE: u8 = 2;
    /// Of the membership protocol.
    pub const SWIM: u8 = 3;
    /// Asks for those that the asker does not have for alive.
    pub const ROLL: u8 = 4;
    /// The answer, as much as has room.
    pub const CALLED: u8 = 5;
    /// For another part of the program at that front.
    pub const OFFICE: u8 = 6;
}

/// Why a datagram was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refused {
    /// It is too long, or can't be read.
    Malformed,
    /// Made without a key that counts here, or bent on its way.
    Forged,
    /// Of a version that is no neighbour.
    Version,
    /// For another front, or for an earlier life of this one.
    Elsewhere,
    /// From a place that its sender does not have.
    Stranger,
    /// From a front that thinks the tier has another size.
    Tier,
    /// Came before.
    Replayed,
    /// From a life that is over.
    Outlived,
    /// From a life that is later than any that a front gets into.
    Future,
    /// It says what can't be.
    Absurd,
    /// Of a kind that is not known here.
    Unknown,
    /// More than one front sends.
    TooMany,
}

impl Refused {
    pub const ALL: [Refused; 12] = [
        Refused::Malformed,
        Refused::Forged,
        Refused::Version,
        Refused::Elsewhere,
        Refused::Stranger,
        Refused::Tier,
        Refused::Replayed,
        Refused::Outlived,
        Refused::Future,
        Refused::Absurd,
        Refused::Unknown,
        Refused::TooMany,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Refused::Malformed => "malformed",
            Refused::Forged => "forged",
            Refused::Version => "version",
            Refused::Elsewhere => "elsewhere",
            Refused::Stranger => "stranger",
            Refused::Tier => "tier",
            Refused::Replayed => "replayed",
            Refused::Outlived => "outlived",
            Refused::Future => "future",
            Refused::Absurd => "absurd",
            Refused::Unknown => "unknown",
            Refused::TooMany => "too_many",
        }
    }
}

/// What every datagram begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub kind: u8,
    pub from: Who,
    /// A life of 0: whichever it is in.
    pub to: Who,
    /// Counts the sender's datagrams of this life of its process.
    pub number: u64,
    pub tier: u16,
}

/// The keys that count: the first seals, all open.
#[derive(Clone)]
pub struct Keys(Vec<Hmac<Sha256>>);

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} keys", self.0.len())
    }
}

impl Keys {
    /// One or two keys, each 32 bytes as 64 hex digits; white space round them is passed over.
    pub fn parse(texts: &[String]) -> Result<Keys, String> {
        if texts.is_empty() || texts.len() > 2 {
            return Err(format!("expected one key or two, found {}", texts.len()));
        }
        let key = |text: &String| {
            let text = text.trim();
            let wrong =
                || format!("expected a key of 64 hex digits, found {} characters", text.chars().count());
            if text.len() != 64 || !text.is_ascii() {
                return Err(wrong());
            }
            let byte = |at: usize| {
                u8::from_str_radix(&text[at..at + 2], 16)
                    .map_err(|_| format!("expected a key of 64 hex digits, found others at place {at}"))
            };
            let bytes = (0..32).map(|i| byte(i * 2)).collect::<Result<Vec<u8>, _>>()?;
            Hmac::new_from_slice(&bytes).map_err(|e| e.to_string())
        };
        texts.iter().map(key).collect::<Result<_, _>>().map(Keys)
    }

    fn code(key: &Hmac<Sha256>, bytes: &[u8]) -> [u8; CODE] {
        let whole = key.clone().chain_update(bytes).finalize().into_bytes();
        let mut code = [0; CODE];
        code.copy_from_slice(&whole[..CODE]);
        code
    }

    /// A sealed datagram. `says`: what a front of version 2 says of itself.
    pub fn seal(&self, version: u8, head: &Head, says: u8, body: &[u8]) -> Vec<u8> {
        let mut bytes = vec![version, 0];
        // A head can't fail to be written into memory.
        let mut bytes_of_head = postcard::to_allocvec(head).unwrap_or_default();
        if version >= 2 {
            bytes_of_head.push(says);
        }
        bytes[1] = bytes_of_head.len() as u8;
        bytes.extend(bytes_of_head);
        bytes.extend(body);
        let code = Keys::code(&self.0[0], &bytes);
        bytes.extend(code);
        bytes
    }

    /// Opens a datagram for who speaks a version: its head, what its sender says of itself, and the body.
    pub fn open<'a>(&self, version: u8, bytes: &'a [u8]) -> Result<(Head, Option<u8>, &'a [u8]), Refused> {
        if bytes.len() > LONGEST || bytes.len() < CODE + 2 {
            return Err(Refused::Malformed);
        }
        let (told, code) = bytes.split_at(bytes.len() - CODE);
        let good = |key: &Hmac<Sha256>| key.clone().chain_update(told).verify_truncated_left(code).is_ok();
        if !self.0.iter().any(good) {
            return Err(Refused::Forged);
        }
        if told[0].abs_diff(version) > 1 {
            return Err(Refused::Version);
        }
        let (head, body) = told[2..].split_at_checked(usize::from(told[1])).ok_or(Refused::Malformed)?;
        let (head, rest) = postcard::take_from_bytes::<Head>(head).map_err(|_| Refused::Malformed)?;
        let says = rest.first().copied().filter(|_| told[0] >= 2 && version >= 2);
        Ok((head, says, body))
    }
}
