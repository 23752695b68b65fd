//! Saves the router's state to a snapshot and restores it from one.

use super::Dispatcher;
use crate::snapshot_file::machine_time;
use juniperdock_deployment::span;
use juniperdock_primary_tracker::{ClaimsSnapshot, GroupSnapshot, LeaderlessDurations, MAX_SAFE_SILENCE};
use juniperdock_router::snapshot::MemberSnapshot;
use juniperdock_snapshot::{Decay, GroupRecord, MemberRecord, Snapshot, TxnTypeRecord};
use std::time::Duration;

/// The smallest difference by which one time is later than another.
const MIN_TIME_STEP: Duration = Duration::from_micros(1);

impl Dispatcher {
    /// Takes a snapshot of the router's state, with ids and times that stay valid after this process ends.
    pub(super) fn take_snapshot(&mut self, now: Duration) -> Snapshot {
        let (host, router, start) = (&self.host, &mut self.router, self.host.origin.start);
        let unix = |at: Duration| start + at.as_micros() as i64;
        let members = host.servers.known().filter_map(|(at, _)| {
            let state = router.snapshot_member(now, at)?;
            Some(MemberRecord {
                id: host.ids.id(at).clone(),
                drains: state.draining,
                start: state.start,
                warm_at: (!state.warm_at.is_zero()).then(|| unix(state.warm_at)),
                position: state.position.map(unix),
                sent: state.work_sent,
                room: state.concurrency_limit,
                slow: state.slowness,
                shunned: (state.avoid_until > now).then(|| unix(state.avoid_until)),
                term: state.claims.term,
                served: state.claims.last_served.map(unix),
                stepped: state.claims.stepped_down.map(unix),
                heard: state.claims.last_observed.map(unix),
            })
        });
        let members = members.collect();
        let groups = (0..host.groups.len()).map(|at| {
            let state = router.snapshot_group(at);
            GroupRecord {
                group: *host.groups.id(at),
                term: state.term,
                last: state.last_primary.map(|last| host.ids.id(last).clone()),
                began: state.began.map(unix),
                newest: state.newest_claim.map(unix),
                vacancies: state.leaderless_durations.as_bytes().to_vec(),
            }
        });
        let groups = groups.collect();
        let txn_types = self.txn_types.iter().enumerate().map(|(txn_type, name)| {
            let (typical, usual) = router.snapshot_type(txn_type);
            TxnTypeRecord { name: name.clone(), typical, usual }
        });
        let (taken, machine_time) = (unix(now), machine_time());
        Snapshot { taken, members, groups, types: txn_types.collect(), machine_time }
    }

    /// Restores the state of members, groups and txn types that exist here too; returns the snapshot's age.
    ///
    /// # Errors
    /// If the snapshot can't be decoded, or is refused for its age.
    pub(super) fn restore_snapshot(&mut self, now: Duration, bytes: &[u8]) -> Result<Duration, String> {
        let mut snapshot = juniperdock_snapshot::decode(bytes)?;
        let start = self.host.origin.start;
        let unix = start + now.as_micros() as i64;
        let age = snapshot.age(unix, machine_time().as_ref())?;
        snapshot.rebase(unix, age);
        let decay = Decay::of(age);
        // Times before this process's start become its start, so that everything from now on is later.
        let since = |unix: i64| span(unix - start);
        let proven = |unix: i64| u64::try_from(unix - start).ok().map(Duration::from_micros);
        let (host, router) = (&mut self.host, &mut self.router);
        for group in &snapshot.groups {
            let Some(at) = host.groups.known(&group.group) else { continue };
            let state = GroupSnapshot {
                term: group.term,
                last_primary: group.last.as_ref().and_then(|last| host.ids.known(last)),
                began: group.began.map(since),
                newest_claim: group.newest.map(since),
                leaderless_durations: LeaderlessDurations::from_bytes(&group.vacancies),
            };
            router.restore_group(now, at, &state);
        }
        for member in &snapshot.members {
            let Some(at) = host.ids.known(&member.id) else { continue };
            let last_served = member.served.map(since);
            // All times before this process's start become equal: keep the order of a later one.
            let later =
                (member.stepped > member.served).then(|| last_served.unwrap_or_default() + MIN_TIME_STEP);
            let stepped_down = member.stepped.map(since).max(later);
            let last_observed =
                member.heard.filter(|&heard| span(unix - heard) < MAX_SAFE_SILENCE).map(since);
            let claims = ClaimsSnapshot { term: member.term, last_served, stepped_down, last_observed };
            let state = MemberSnapshot {
                draining: member.drains,
                start: member.start,
                warm_at: member.warm_at.map(since).unwrap_or_default(),
                position: member.position.and_then(proven),
                work_sent: member.sent,
                concurrency_limit: member.room,
                slowness: member.slow,
                avoid_until: member.shunned.map(since).unwrap_or_default(),
                claims,
            };
            router.restore_member(now, at, &state, decay);
        }
        for known in &snapshot.types {
            if let Some(txn_type) = self.txn_types.iter().position(|name| *name == known.name) {
                router.restore_type(txn_type, known.typical, known.usual, decay);
            }
        }
        router.probe_all_members(now, host);
        Ok(age)
    }
}
