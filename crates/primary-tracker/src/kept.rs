//! What outlives a process: terms and what fences former primaries. Who holds the slot does not; that has to
//! be claimed anew.

use crate::record::{NOBODY, Tenure};
use crate::stamp::Stamp;
use crate::vacancy::Vacancies;
use std::time::Duration;

/// Of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeptGroup {
    pub term: u32,
    /// Who held the newest term.
    pub last: Option<usize>,
    pub began: Option<Duration>,
    pub newest: Option<Duration>,
    pub vacancies: Vacancies,
}

/// Of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeptSeat {
    pub term: u32,
    pub served: Option<Duration>,
    pub stepped: Option<Duration>,
    /// When it was heard last, if that is not long ago.
    pub heard: Option<Duration>,
}

fn stamp(time: Option<Duration>) -> Stamp {
    time.map_or(Stamp::NEVER, Stamp::at)
}

impl Tenure {
    /// What is worth keeping of a group.
    pub fn keep_group(&self, group: usize) -> KeptGroup {
        let Some(record) = self.records.get(group) else { return KeptGroup::default() };
        KeptGroup {
            term: record.term,
            last: (record.last != NOBODY).then_some(record.last as usize),
            began: record.began.time(),
            newest: record.newest.time(),
            vacancies: record.vacancies,
        }
    }

    pub fn keep_seat(&self, member: usize) -> KeptSeat {
        let Some(seat) = self.seats.get(member) else { return KeptSeat::default() };
        let (served, stepped) = (seat.served.time(), seat.stepped.time());
        KeptSeat { term: seat.term, served, stepped, heard: seat.heard.time() }
    }

    /// Takes up what was kept of a group whose members have their seats. Terms that began here already count
    /// on from those that were.
    pub fn restore_group(&mut self, now: Duration, group: usize, kept: &KeptGroup) {
        let Some(record) = self.records.get_mut(group) else { return };
        if record.term > 0 {
            record.term += kept.term;
            for &member in &record.members {
                let seat = &mut self.seats[member as usize];
                seat.term += if seat.term > 0 { kept.term } else { 0 };
            }
        } else {
            record.term = kept.term;
            record.last = kept.last.map_or(NOBODY, |last| last as u32);
            (record.began, record.newest) = (stamp(kept.began), stamp(kept.newest));
            // Empty from now on, as far as this process knows; that is no change to learn from.
            (record.emptied, record.restored) = (Stamp::at(now), true);
        }
        record.vacancies = kept.vacancies;
    }

    /// Takes up what was kept of a member, after its group.
    pub fn restore_seat(&mut self, member: usize, kept: &KeptSeat) {
        let Some(group) = self.group(member) else { return };
        let newest = self.records[group].term;
        let seat = &mut self.seats[member];
        seat.heard = seat.heard.max(stamp(kept.heard));
        if seat.term > 0 {
            return;
        }
        seat.term = kept.term.min(newest);
        seat.served = stamp(kept.served);
        seat.stepped = seat.stepped.max(stamp(kept.stepped));
    }
}
