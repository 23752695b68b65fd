//! What is kept across a restart of the process: terms, and the times that fence former primaries. The primary itself
//! is not kept; it has to claim the role again.

use crate::leaderless::LeaderlessDurations;
use crate::record::{NO_MEMBER, PrimaryTracker};
use crate::stamp::Stamp;
use std::time::Duration;

/// State of a group that is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupSnapshot {
    pub term: u32,
    /// The holder of the newest term.
    pub last_primary: Option<usize>,
    /// `not_before` of the first claim in the newest term.
    pub began: Option<Duration>,
    /// `made_at` of the newest claim in the newest term.
    pub newest_claim: Option<Duration>,
    pub leaderless_durations: LeaderlessDurations,
}

/// State of a member's claims that is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimsSnapshot {
    pub term: u32,
    /// `made_at` of its newest claim while it was the primary.
    pub last_served: Option<Duration>,
    /// The newest `not_before` of its reports that it is a replica.
    pub stepped_down: Option<Duration>,
    /// When it was last observed, unless that is long ago.
    pub last_observed: Option<Duration>,
}

fn stamp(time: Option<Duration>) -> Stamp {
    time.map_or(Stamp::NEVER, Stamp::at)
}

impl PrimaryTracker {
    /// The state of a group to keep.
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

    /// The state of a member's claims to keep.
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

    /// Restores a group, after its members were added. Terms that began in this process already are numbered after the
    /// restored ones.
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
            // For this process the group has had no primary only from now on; this duration is not added to the
            // histogram.
            (state.leaderless_since, state.restored) = (Stamp::at(now), true);
        }
        state.leaderless_durations = snapshot.leaderless_durations;
    }

    /// Restores a member's claims, after its group.
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
