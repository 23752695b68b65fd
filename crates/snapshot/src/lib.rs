//! What a front has learned about its members, saved for the next process. Performs no I/O.
//!
//! A snapshot consists of a header (magic bytes, version, length, checksum) and a body. One that is truncated,
//! corrupted, not a snapshot, of another version, too old or from the future is rejected with a one-line error, and
//! the program starts without it.
//!
//! Times are microseconds since 1970, since a process counts time from its own start. The wall clock may be stepped
//! between two processes, so a snapshot also contains the machine time, by which the next process computes its age.
//! [`Decay`] weighs facts by age: proofs, terms, drains and spent budgets stay valid; roles are hints; learned speeds
//! decay.

mod decay;
mod machine_time;
mod older;

pub use decay::Decay;
pub use machine_time::MachineTime;

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

const MAGIC: [u8; 4] = *b"JDSN";
/// The version that [`encode`] writes.
pub const VERSION: u16 = 3;
const HEADER_LEN: usize = 14;
/// Maximum size of a snapshot in bytes: several hundred for each of 100,000 members.
pub const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
/// Maximum age of a snapshot; by then the fleet may have changed too much.
pub const MAX_AGE: Duration = Duration::from_secs(600);
/// Tolerance for a snapshot from the future, since clocks are adjusted by small amounts.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// The contents of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Memory")]
pub struct Snapshot {
    /// When the snapshot was taken.
    pub taken: i64,
    pub members: Vec<MemberRecord>,
    pub groups: Vec<GroupRecord>,
    pub types: Vec<TxnTypeRecord>,
    /// When the snapshot was taken, as machine time.
    pub machine_time: Option<MachineTime>,
}

/// What is saved about one member, by its id in the server list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "OfMember")]
pub struct MemberRecord {
    pub id: String,
    /// The member was seen draining; this holds until it starts again.
    pub drains: bool,
    /// The member's latest start.
    pub start: StartRecord,
    /// The time from which the member counts as warm; may lie in the future.
    pub warm_at: Option<i64>,
    /// The member has every commit up to this position.
    pub position: Option<i64>,
    /// Work sent to the member within the window of the rule on cold members, in seconds.
    pub sent: f64,
    /// Concurrency limit: the number of submissions that the member may have in progress.
    pub room: f64,
    /// Response time as a multiple of the typical one.
    pub slow: f64,
    /// The time until which nothing is sent to the member.
    pub shunned: Option<i64>,
    /// The last term in which the member was primary of its group; 0 for none.
    pub term: u32,
    /// Its newest claim to be primary in that term.
    pub served: Option<i64>,
    /// Its newest proven report to be a replica.
    pub stepped: Option<i64>,
    /// When the member was last observed.
    pub heard: Option<i64>,
}

/// When a member last started, exactly as the server list told it. No clock is applied to it: it is only compared with
/// what later lists tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum StartRecord {
    /// The snapshot is of an older version, which lacks it.
    Unknown,
    /// The list told no start: it was long ago.
    #[default]
    LongAgo,
    /// In Unix milliseconds.
    Told(i64),
}

/// What is saved about one group, by its number in the server list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "OfGroup")]
pub struct GroupRecord {
    pub group: u64,
    pub term: u32,
    /// The id of the primary of the newest term.
    pub last: Option<String>,
    pub began: Option<i64>,
    pub newest: Option<i64>,
    /// Durations of recent changes of the primary, as a sketch.
    pub vacancies: Vec<u8>,
}

/// Response times of one txn type, by its name, in seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "OfType")]
pub struct TxnTypeRecord {
    pub name: String,
    pub typical: f64,
    pub usual: f64,
}

/// Encodes a snapshot.
pub fn encode(snapshot: &Snapshot) -> Result<Vec<u8>, String> {
    let body = postcard::to_stdvec(snapshot).map_err(|e| format!("snapshot: {e}"))?;
    if HEADER_LEN + body.len() > MAX_SNAPSHOT_BYTES {
        return Err(format!(
            "snapshot: expected at most {MAX_SNAPSHOT_BYTES} bytes, found {}",
            HEADER_LEN + body.len()
        ));
    }
    let checksum = crc32fast::hash(&body).to_be_bytes();
    let length = (body.len() as u32).to_be_bytes();
    Ok([&MAGIC[..], &VERSION.to_be_bytes(), &length, &checksum, &body].concat())
}

/// Decodes a snapshot and validates it, except for its age.
///
/// ```
/// use juniperdock_snapshot::{Snapshot, decode, encode};
///
/// let bytes = encode(&Snapshot::default()).unwrap();
/// assert_eq!(decode(&bytes), Ok(Snapshot::default()));
/// assert!(decode(&bytes[..bytes.len() - 1]).unwrap_err().contains("truncated"));
/// ```
pub fn decode(bytes: &[u8]) -> Result<Snapshot, String> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_LEN) else {
        return Err("snapshot: truncated header".to_owned());
    };
    if header[..4] != MAGIC {
        return Err("snapshot: magic bytes missing, this is not a snapshot file".to_owned());
    }
    let version = u16::from_be_bytes([header[4], header[5]]);
    if ![VERSION, older::VERSION_WITHOUT_STARTS, older::VERSION_WITHOUT_MACHINE_TIME].contains(&version) {
        return Err(format!("snapshot: expected version {VERSION}, found {version}"));
    }
    let field = |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    if body.len() != field(6) as usize {
        return Err(format!(
            "snapshot: truncated or too long: expected {} bytes, found {}",
            field(6),
            body.len()
        ));
    }
    if crc32fast::hash(body) != field(10) {
        return Err("snapshot: corrupted, checksum mismatch".to_owned());
    }
    let snapshot = if version == VERSION { parse(body)? } else { older::parse_older(version, body)? };
    snapshot.check().map(|()| snapshot)
}

/// Parses all of a body.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    let (parsed, rest) = postcard::take_from_bytes(body).map_err(|e| format!("snapshot: {e}"))?;
    if rest.is_empty() { Ok(parsed) } else { Err("snapshot: unexpected bytes after its end".to_owned()) }
}

impl Snapshot {
    /// Checks that all numbers are finite and not negative, and that no name is empty.
    fn check(&self) -> Result<(), String> {
        let valid = |n: f64| n.is_finite() && n >= 0.0;
        let member = |m: &MemberRecord| !m.id.is_empty() && valid(m.sent) && valid(m.room) && valid(m.slow);
        let txn_type = |t: &TxnTypeRecord| !t.name.is_empty() && valid(t.typical) && valid(t.usual);
        if self.members.iter().all(member) && self.types.iter().all(txn_type) {
            return Ok(());
        }
        Err("snapshot: invalid number or empty name".to_owned())
    }

    /// Returns the age of the snapshot, or the reason why it can't be used. `now` is in microseconds since 1970, `here`
    /// is the machine time. Within one boot the machine time decides, because the wall clock may have been stepped.
    pub fn age(&self, now: i64, here: Option<&MachineTime>) -> Result<Duration, String> {
        let by_machine = here.zip(self.machine_time.as_ref()).and_then(|(here, taken)| here.since(taken));
        let age = by_machine.unwrap_or_else(|| now.saturating_sub(self.taken));
        if age < -(MAX_CLOCK_SKEW.as_micros() as i64) {
            return Err(format!("snapshot: {} ms in the future; was the clock set back?", -age / 1000));
        }
        let age = Duration::from_micros(age.max(0) as u64);
        if age > MAX_AGE {
            return Err(format!(
                "snapshot: {} s old, expected at most {} s",
                age.as_secs(),
                MAX_AGE.as_secs()
            ));
        }
        Ok(age)
    }

    /// Shifts all times to a clock that shows `now` while the snapshot has that age. Positions are shifted back only: they
    /// were told by servers, and what servers tell the next process is not shifted with its clock. A position that was
    /// shifted forward would prove commits that its server may lack.
    pub fn rebase(&mut self, now: i64, age: Duration) {
        let taken = now.saturating_sub(age.as_micros() as i64);
        let offset = taken.saturating_sub(self.taken);
        self.taken = taken;
        for position in self.members.iter_mut().filter_map(|of| of.position.as_mut()) {
            *position = position.saturating_add(offset.min(0));
        }
        let of_members = self.members.iter_mut().flat_map(|of| {
            [&mut of.warm_at, &mut of.shunned, &mut of.served, &mut of.stepped, &mut of.heard]
        });
        let of_groups = self.groups.iter_mut().flat_map(|of| [&mut of.began, &mut of.newest]);
        for time in of_members.chain(of_groups).flatten() {
            *time = time.saturating_add(offset);
        }
    }
}

/// Returns the JSON schema of a snapshot.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Snapshot).to_value()
}
