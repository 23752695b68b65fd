//! What outlives a process: terms and what fences former primaries. Who holds the slot does not; that has to
//! be claimed anew.

use crate::leaderless::LeaderlessDurations;
use crate::record::{NO_MEMBER, PrimaryTracker};
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
        let Some(state) = self.groups.get(group) else { return GroupSnapshot::default() };
        GroupSnapshot {
            term: state.term,
            last_primary: (state.last_primary != NO_MEMBER).then_some(state.last_primary as usize),
            began: state.began.time(),
            newest_claim: state.newest_claim.time(),
            leaderless_durations: state.leaderless_durations,
        }
    }

    pub fn snapshot_claims(&self, member: usize) -> ClaimsSnapshot {
        let Some(claims) = self.claims.get(member) else { return ClaimsSnapshot::default() };
        let (last_served, stepped_down) = (claims.last_served.time(), claims.stepped_down_at.time());
        ClaimsSnapshot {
            term: claims.term,
            last_served,
            stepped_down,
            last_observed: claims.last_observed.time(),
        }
    }

    /// Takes up what was kept of a group whose members have their seats. Terms that began here already count
    /// on from those that were.
    pub fn restore_group(&mut self, now: Duration, group: usize, snapshot: &GroupSnapshot) {
        let Some(state) = self.groups.get_mut(group) else { return };
        if state.term > 0 {
            state.term += snapshot.term;
            for &member in &state.members {
                let claims = &mut self.claims[member as usize];
                claims.term += if claims.term > 0 { snapshot.term } else { 0 };
            }
        } else {
            state.term = snapshot.term;
            state.last_primary = snapshot.last_primary.map_or(NO_MEMBER, |last| last as u32);
            (state.began, state.newest_claim) = (stamp(snapshot.began), stamp(snapshot.newest_claim));
            // Empty from now on, as far as this process knows; that is no change to learn from.
            (state.leaderless_since, state.restored) = (Stamp::at(now), true);
        }
        state.leaderless_durations = snapshot.leaderless_durations;
    }

    /// Takes up what was kept of a member, after its group.
    pub fn restore_claims(&mut self, member: usize, snapshot: &ClaimsSnapshot) {
        let Some(group) = self.group(member) else { return };
        let newest = self.groups[group].term;
        let claims = &mut self.claims[member];
        claims.last_observed = claims.last_observed.max(stamp(snapshot.last_observed));
        if claims.term > 0 {
            return;
        }
        claims.term = snapshot.term.min(newest);
        claims.last_served = stamp(snapshot.last_served);
        claims.stepped_down_at = claims.stepped_down_at.max(stamp(snapshot.stepped_down));
    }
}
