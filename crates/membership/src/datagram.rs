//! Datagrams: at most 256 bytes, versioned, and authenticated by a tag that only holders of a key can make.
//!
//! A version, the length of the head, the head, the body, and 16 bytes of an HMAC-SHA-256 (RFC 2104, truncated as
//! its section 5 allows) over all before. A reader takes the fields of the head that it knows and skips what a later
//! version has appended.

use crate::peer_id::PeerId;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The newest version; each version understands its two neighbours.
pub const NEWEST_VERSION: u8 = 2;
const TAG_BYTES: usize = 16;
/// Longest head in bytes, its version and length bytes included.
const MAX_HEAD_BYTES: usize = 40;
/// Longest body, in bytes.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - TAG_BYTES - MAX_HEAD_BYTES;

/// Datagram kinds. Other kinds are refused.
pub mod kind {
    /// Asks another front for its incarnation.
    pub const HELLO: u8 = 1;
    /// The answer to a hello.
    pub const HELLO_REPLY: u8 = 2;
    /// A message of the membership protocol.
    pub const SWIM: u8 = 3;
    /// Asks for members that the asker does not have as alive.
    pub const MEMBER_QUERY: u8 = 4;
    /// The answer to a member query, as much as fits.
    pub const MEMBER_LIST: u8 = 5;
    /// For another part of the program at the receiver.
    pub const PAYLOAD: u8 = 6;
}

/// Why a datagram was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refused {
    /// Too long, or not decodable.
    Malformed,
    /// Made without a valid key, or altered in transit.
    Forged,
    /// Of a version that is not a neighbour.
    Version,
    /// For another front, or for an earlier incarnation of this one.
    WrongRecipient,
    /// Its source address is not the claimed sender's.
    WrongSender,
    /// From a front that is configured for another cluster size.
    ClusterSize,
    /// Received before.
    Replayed,
    /// From an incarnation that has been replaced.
    OldIncarnation,
    /// From an incarnation above all that a front can have.
    FutureIncarnation,
    /// Its content is impossible.
    Implausible,
    /// Of an unknown kind.
    UnknownKind,
    /// More than one front sends.
    RateLimited,
}

impl Refused {
    /// All reasons, in the order of their counters.
    pub const ALL: [Refused; 12] = [
        Refused::Malformed,
        Refused::Forged,
        Refused::Version,
        Refused::WrongRecipient,
        Refused::WrongSender,
        Refused::ClusterSize,
        Refused::Replayed,
        Refused::OldIncarnation,
        Refused::FutureIncarnation,
        Refused::Implausible,
        Refused::UnknownKind,
        Refused::RateLimited,
    ];

    /// The printed name.
    pub fn name(self) -> &'static str {
        match self {
            Refused::Malformed => "malformed",
            Refused::Forged => "forged",
            Refused::Version => "version",
            Refused::WrongRecipient => "elsewhere",
            Refused::WrongSender => "stranger",
            Refused::ClusterSize => "tier",
            Refused::Replayed => "replayed",
            Refused::OldIncarnation => "outlived",
            Refused::FutureIncarnation => "future",
            Refused::Implausible => "absurd",
            Refused::UnknownKind => "unknown",
            Refused::RateLimited => "too_many",
        }
    }
}

/// The head of every datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub kind: u8,
    pub from: PeerId,
    /// Incarnation 0 stands for any.
    pub to: PeerId,
    /// Counts the datagrams of the sender's incarnation.
    pub number: u64,
    #[serde(rename = "tier")]
    pub cluster_size: u16,
}

/// The valid keys: the first signs, all verify.
#[derive(Clone)]
pub struct Keys(Vec<Hmac<Sha256>>);

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} keys", self.0.len())
    }
}

impl Keys {
    /// One or two keys, each 32 bytes as 64 hex digits; surrounding white space is ignored.
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

    fn tag(key: &Hmac<Sha256>, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let whole = key.clone().chain_update(bytes).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Builds a signed datagram. `reported`: the sender's connectivity, sent from version 2 on.
    pub fn sign(&self, version: u8, head: &Head, reported: u8, body: &[u8]) -> Vec<u8> {
        let mut bytes = vec![version, 0];
        // Serializing a head into memory can't fail.
        let mut bytes_of_head = postcard::to_allocvec(head).unwrap_or_default();
        if version >= 2 {
            bytes_of_head.push(reported);
        }
        bytes[1] = bytes_of_head.len() as u8;
        bytes.extend(bytes_of_head);
        bytes.extend(body);
        let tag = Keys::tag(&self.0[0], &bytes);
        bytes.extend(tag);
        bytes
    }

    /// Verifies a datagram for a reader of `version`: returns its head, the sender's reported connectivity and the
    /// body.
    pub fn verify<'a>(&self, version: u8, bytes: &'a [u8]) -> Result<(Head, Option<u8>, &'a [u8]), Refused> {
        if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < TAG_BYTES + 2 {
            return Err(Refused::Malformed);
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        let good = |key: &Hmac<Sha256>| key.clone().chain_update(signed).verify_truncated_left(tag).is_ok();
        if !self.0.iter().any(good) {
            return Err(Refused::Forged);
        }
        if signed[0].abs_diff(version) > 1 {
            return Err(Refused::Version);
        }
        let (head, body) = signed[2..].split_at_checked(usize::from(signed[1])).ok_or(Refused::Malformed)?;
        let (head, rest) = postcard::take_from_bytes::<Head>(head).map_err(|_| Refused::Malformed)?;
        let reported = rest.first().copied().filter(|_| signed[0] >= 2 && version >= 2);
        Ok((head, reported, body))
    }
}
