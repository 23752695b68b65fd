//! What outlives a process: terms and what fences former primaries. Who holds the slot does not; that has to
//! be claimed anew.

use crate::leaderless::LeaderlessDurations;
use crate::record::{NOBODY, PrimaryTracker};
use crate::stamp::Stamp;
use std::time::Duration;

/// Of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupSnapshot {
    pub term: u32,
    /// Who held the newest term.
    pub last_primary: Option<usize>,
    pub began: Option<Duration>,
    pub newest_claim: Option<Duration>,
    pub leaderless_durations: LeaderlessDurations,
}

/// Of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimsSnapshot {
    pub term: u32,
    pub last_served: Option<Duration>,
    pub stepped_down: Option<Duration>,
    /// When it was heard last, if that is not long ago.
    pub last_observed: Option<Duration>,
}

fn stamp(time: Option<Duration>) -> Stamp {
    time.map_or(Stamp::NEVER, Stamp::at)
}

impl PrimaryTracker {
    /// What is worth keeping of a group.
    pub fn snapshot_group(&self, group: usize) -> GroupSnapshot {
        let Some(record) = self.records.get(group) else { return GroupSnapshot::default() };
        GroupSnapshot {
            term: record.term,
            last_primary: (record.last != NOBODY).then_some(record.last as usize),
            began: record.began.time(),
            newest_claim: record.newest.time(),
            leaderless_durations: record.vacancies,
        }
    }

    pub fn snapshot_claims(&self, member: usize) -> ClaimsSnapshot {
        let Some(seat) = self.seats.get(member) else { return ClaimsSnapshot::default() };
        let (last_served, stepped_down) = (seat.served.time(), seat.stepped.time());
        ClaimsSnapshot { term: seat.term, last_served, stepped_down, last_observed: seat.heard.time() }
    }

    /// Takes up what was kept of a group whose members have their seats. Terms that began here already count
    /// on from those that were.
    pub fn restore_group(&mut self, now: Duration, group: usize, kept: &GroupSnapshot) {
        let Some(record) = self.records.get_mut(group) else { return };
        if record.term > 0 {
            record.term += kept.term;
            for &member in &record.members {
                let seat = &mut self.seats[member as usize];
                seat.term += if seat.term > 0 { kept.term } else { 0 };
            }
        } else {
            record.term = kept.term;
            record.last = kept.last_primary.map_or(NOBODY, |last| last as u32);
            (record.began, record.newest) = (stamp(kept.began), stamp(kept.newest_claim));
            // Empty from now on, as far as this process knows; that is no change to learn from.
            (record.emptied, record.restored) = (Stamp::at(now), true);
        }
        record.vacancies = kept.leaderless_durations;
    }

    /// Takes up what was kept of a member, after its group.
    pub fn restore_claims(&mut self, member: usize, kept: &ClaimsSnapshot) {
        let Some(group) = self.group(member) else { return };
        let newest = self.records[group].term;
        let seat = &mut self.seats[member];
        seat.heard = seat.heard.max(stamp(kept.last_observed));
        if seat.term > 0 {
            return;
        }
        seat.term = kept.term.min(newest);
        seat.served = stamp(kept.last_served);
        seat.stepped = seat.stepped.max(stamp(kept.stepped_down));
    }
}
