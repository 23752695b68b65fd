//! What a front knows of its members, kept for the process after it. No input or output.
//!
//! A snapshot is a head (a mark, a version, a length, a checksum) and a body. One that is cut, flipped,
//! foreign, of another version, too old or from the future is refused with one line, and the program starts
//! from nothing.
//!
//! Times are microseconds since 1970: a process counts from its own start. The wall clock may be stepped between two
//! processes, so a snapshot also tells the machine's own time, by which the next one finds its age. What a fact is worth later,
//! [`Decay`] says: proofs, terms, drains and budgets spent hold; roles are hints; what was learnt of speed
//! fades.

mod decay;
mod machine_time;

pub use decay::Decay;
pub use machine_time::MachineTime;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;

const MAGIC: [u8; 4] = *b"JDSN";
/// The version written here.
pub const VERSION: u16 = 2;
/// Read as well: the same without the machine's time.
const VERSION_WITHOUT_MACHINE_TIME: u16 = 1;
const HEADER_LEN: usize = 14;
/// The most bytes of a snapshot: some hundred for each of 100,000 members.
pub const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
/// A snapshot older than this tells of another fleet.
pub const MAX_AGE: Duration = Duration::from_secs(600);
/// What may lie in the future: clocks are set a little now and then.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// All that is kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Memory")]
pub struct Snapshot {
    /// When it was taken.
    pub taken: i64,
    pub members: Vec<MemberRecord>,
    pub groups: Vec<GroupRecord>,
    pub types: Vec<TxnTypeRecord>,
    /// When it was taken, by the machine's own time.
    pub machine_time: Option<MachineTime>,
}

/// Of one member, by its id in the list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "OfMember")]
pub struct MemberRecord {
    pub id: String,
    /// It was seen draining, and binds until a later start.
    pub drains: bool,
    /// Since when it is warm, or will be.
    pub warm_at: Option<i64>,
    /// It has every commit up to here.
    pub position: Option<i64>,
    /// Work sent to it within the window of the rule on cold members, in seconds.
    pub sent: f64,
    /// Submissions that it may hold, and its answer time as a multiple of what is typical.
    pub room: f64,
    pub slow: f64,
    /// Until when it is left alone.
    pub shunned: Option<i64>,
    /// The last term that it held in its group, 0 for none; its newest claim then; its newest proven word as
    /// a replica.
    pub term: u32,
    pub served: Option<i64>,
    pub stepped: Option<i64>,
    /// When it was heard last.
    pub heard: Option<i64>,
}

/// Of one group, by its number in the list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "OfGroup")]
pub struct GroupRecord {
    pub group: u64,
    pub term: u32,
    /// Who held the newest term, by its id.
    pub last: Option<String>,
    pub began: Option<i64>,
    pub newest: Option<i64>,
    /// How long changes took of late, as a sketch.
    pub vacancies: Vec<u8>,
}

/// Of one txn type, by its name: answer times in seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "OfType")]
pub struct TxnTypeRecord {
    pub name: String,
    pub typical: f64,
    pub usual: f64,
}

/// Writes a snapshot.
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

/// Reads a snapshot, whatever its age.
///
/// ```
/// use juniperdock_snapshot::{Snapshot, decode, encode};
///
/// let bytes = encode(&Snapshot::default()).unwrap();
/// assert_eq!(decode(&bytes), Ok(Snapshot::default()));
/// assert!(decode(&bytes[..bytes.len() - 1]).unwrap_err().contains("cut"));
/// ```
pub fn decode(bytes: &[u8]) -> Result<Snapshot, String> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_LEN) else {
        return Err("snapshot: cut inside its head".to_owned());
    };
    if header[..4] != MAGIC {
        return Err("snapshot: foreign, its mark is missing".to_owned());
    }
    let version = u16::from_be_bytes([header[4], header[5]]);
    if ![VERSION, VERSION_WITHOUT_MACHINE_TIME].contains(&version) {
        return Err(format!("snapshot: expected version {VERSION}, found {version}"));
    }
    let field = |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    if body.len() != field(6) as usize {
        return Err(format!("snapshot: cut, expected {} bytes, found {}", field(6), body.len()));
    }
    if crc32fast::hash(body) != field(10) {
        return Err("snapshot: spoilt, its checksum is another".to_owned());
    }
    let absent_machine_time: &[u8] = if version == VERSION_WITHOUT_MACHINE_TIME { &[0] } else { &[] };
    let body = [body, absent_machine_time].concat();
    let (snapshot, rest) =
        postcard::take_from_bytes::<Snapshot>(&body).map_err(|e| format!("snapshot: {e}"))?;
    if !rest.is_empty() {
        return Err("snapshot: more behind its end".to_owned());
    }
    snapshot.check().map(|()| snapshot)
}

impl Snapshot {
    /// Numbers are numbers, and names are there.
    fn check(&self) -> Result<(), String> {
        let valid = |n: f64| n.is_finite() && n >= 0.0;
        let member = |m: &MemberRecord| !m.id.is_empty() && valid(m.sent) && valid(m.room) && valid(m.slow);
        let txn_type = |t: &TxnTypeRecord| !t.name.is_empty() && valid(t.typical) && valid(t.usual);
        if self.members.iter().all(member) && self.types.iter().all(txn_type) {
            return Ok(());
        }
        Err("snapshot: a number or a name in it is none".to_owned())
    }

    /// How old it is; the error says why it can't be used. `now` in microseconds since 1970, `here` by the machine. Within
    /// one run of the machine its own time decides, and the wall clock, which may have been stepped, does not.
    pub fn age(&self, now: i64, here: Option<&MachineTime>) -> Result<Duration, String> {
        let by_machine = here.zip(self.machine_time.as_ref()).and_then(|(here, taken)| here.since(taken));
        let age = by_machine.unwrap_or_else(|| now.saturating_sub(self.taken));
        if age < -(MAX_CLOCK_SKEW.as_micros() as i64) {
            return Err(format!("snapshot: from the future by {} ms, was the clock set back?", -age / 1000));
        }
        let age = Duration::from_micros(age.max(0) as u64);
        if age > MAX_AGE {
            return Err(format!("snapshot: {} s old, at most {} s count", age.as_secs(), MAX_AGE.as_secs()));
        }
        Ok(age)
    }

    /// Dates all by a clock that says `now` while the snapshot is of that age.
    pub fn rebase(&mut self, now: i64, age: Duration) {
        let taken = now.saturating_sub(age.as_micros() as i64);
        let offset = taken.saturating_sub(self.taken);
        self.taken = taken;
        let of_members = self.members.iter_mut().flat_map(|of| {
            [
                &mut of.warm_at,
                &mut of.position,
                &mut of.shunned,
                &mut of.served,
                &mut of.stepped,
                &mut of.heard,
            ]
        });
        let of_groups = self.groups.iter_mut().flat_map(|of| [&mut of.began, &mut of.newest]);
        for time in of_members.chain(of_groups).flatten() {
            *time = time.saturating_add(offset);
        }
    }
}

/// What a snapshot holds, as a JSON schema.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Snapshot).to_value()
}
