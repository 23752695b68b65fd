//! Older versions of the snapshot format, which are still read.

use crate::{GroupRecord, MachineTime, MemberRecord, Snapshot, StartRecord, TxnTypeRecord, parse};
use serde::Deserialize;

/// Lacks the machine time and members' starts.
pub(crate) const VERSION_WITHOUT_MACHINE_TIME: u16 = 1;
/// Lacks members' starts.
pub(crate) const VERSION_WITHOUT_STARTS: u16 = 2;

/// [`Snapshot`] without members' starts.
#[derive(Deserialize)]
struct SnapshotWithoutStarts {
    taken: i64,
    members: Vec<MemberRecordWithoutStart>,
    groups: Vec<GroupRecord>,
    types: Vec<TxnTypeRecord>,
    machine_time: Option<MachineTime>,
}

/// [`MemberRecord`] without its start.
#[derive(Deserialize)]
struct MemberRecordWithoutStart {
    id: String,
    drains: bool,
    warm_at: Option<i64>,
    position: Option<i64>,
    sent: f64,
    room: f64,
    slow: f64,
    shunned: Option<i64>,
    term: u32,
    served: Option<i64>,
    stepped: Option<i64>,
    heard: Option<i64>,
}

/// Parses the body of an older version.
pub(crate) fn parse_older(version: u16, body: &[u8]) -> Result<Snapshot, String> {
    let absent_machine_time: &[u8] = if version == VERSION_WITHOUT_MACHINE_TIME { &[0] } else { &[] };
    let older: SnapshotWithoutStarts = parse(&[body, absent_machine_time].concat())?;
    let SnapshotWithoutStarts { taken, members, groups, types, machine_time } = older;
    let members = members.into_iter().map(MemberRecord::from).collect();
    Ok(Snapshot { taken, members, groups, types, machine_time })
}

impl From<MemberRecordWithoutStart> for MemberRecord {
    fn from(older: MemberRecordWithoutStart) -> MemberRecord {
        MemberRecord {
            id: older.id,
            drains: older.drains,
            start: StartRecord::Unknown,
            warm_at: older.warm_at,
            position: older.position,
            sent: older.sent,
            room: older.room,
            slow: older.slow,
            shunned: older.shunned,
            term: older.term,
            served: older.served,
            stepped: older.stepped,
            heard: older.heard,
        }
    }
}
