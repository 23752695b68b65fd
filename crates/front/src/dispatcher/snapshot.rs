//! What the router knows, for a snapshot, and taken up again from one.

use super::Dispatcher;
use crate::snapshot_file::machine_time;
use juniperdock_deployment::span;
use juniperdock_primary_tracker::{ClaimsSnapshot, GroupSnapshot, LeaderlessDurations, MAX_SAFE_SILENCE};
use juniperdock_router::snapshot::MemberSnapshot;
use juniperdock_snapshot::{Decay, GroupRecord, MemberRecord, Snapshot, TxnTypeRecord};
use std::time::Duration;

/// The least that one time is later than another.
const MIN_TIME_STEP: Duration = Duration::from_micros(1);

impl Dispatcher {
    /// All that is worth keeping, in ids and times that outlast this process.
    pub(super) fn take_snapshot(&mut self, now: Duration) -> Snapshot {
        let (host, router, start) = (&self.host, &mut self.router, self.host.origin.start);
        let unix = |at: Duration| start + at.as_micros() as i64;
        let members = host.servers.known().filter_map(|(at, _)| {
            let kept = router.snapshot_member(now, at)?;
            Some(MemberRecord {
                id: host.ids.id(at).clone(),
                drains: kept.draining,
                warm_at: (!kept.warm_at.is_zero()).then(|| unix(kept.warm_at)),
                position: kept.position.map(unix),
                sent: kept.work_sent,
                room: kept.concurrency_limit,
                slow: kept.slowness,
                shunned: (kept.avoid_until > now).then(|| unix(kept.avoid_until)),
                term: kept.claims.term,
                served: kept.claims.last_served.map(unix),
                stepped: kept.claims.stepped_down.map(unix),
                heard: kept.claims.last_observed.map(unix),
            })
        });
        let members = members.collect();
        let groups = (0..host.groups.len()).map(|at| {
            let kept = router.snapshot_group(at);
            GroupRecord {
                group: *host.groups.id(at),
                term: kept.term,
                last: kept.last_primary.map(|last| host.ids.id(last).clone()),
                began: kept.began.map(unix),
                newest: kept.newest_claim.map(unix),
                vacancies: kept.leaderless_durations.as_bytes().to_vec(),
            }
        });
        let groups = groups.collect();
        let txn_types = self.txn_types.iter().enumerate().map(|(kind, name)| {
            let (typical, usual) = router.snapshot_type(kind);
            TxnTypeRecord { name: name.clone(), typical, usual }
        });
        let (taken, machine_time) = (unix(now), machine_time());
        Snapshot { taken, members, groups, types: txn_types.collect(), machine_time }
    }

    /// Takes up what the process before this one knew of members, groups and types that are here too.
    pub(super) fn restore_snapshot(&mut self, now: Duration, bytes: &[u8]) -> Result<Duration, String> {
        let mut memory = juniperdock_snapshot::decode(bytes)?;
        let start = self.host.origin.start;
        let unix = start + now.as_micros() as i64;
        let age = memory.age(unix, machine_time().as_ref())?;
        memory.rebase(unix, age);
        let worth = Decay::of(age);
        // What was before this process's start is at its start: all that comes now is later.
        let since = |unix: i64| span(unix - start);
        let proven = |unix: i64| u64::try_from(unix - start).ok().map(Duration::from_micros);
        let (host, router) = (&mut self.host, &mut self.router);
        for group in &memory.groups {
            let Some(at) = host.groups.known(&group.group) else { continue };
            let kept = GroupSnapshot {
                term: group.term,
                last_primary: group.last.as_ref().and_then(|last| host.ids.known(last)),
                began: group.began.map(since),
                newest_claim: group.newest.map(since),
                leaderless_durations: LeaderlessDurations::from_bytes(&group.vacancies),
            };
            router.restore_group(now, at, &kept);
        }
        for member in &memory.members {
            let Some(at) = host.ids.known(&member.id) else { continue };
            let last_served = member.served.map(since);
            // Before this process's start all times are one: what came later stays later.
            let later =
                (member.stepped > member.served).then(|| last_served.unwrap_or_default() + MIN_TIME_STEP);
            let stepped_down = member.stepped.map(since).max(later);
            let last_observed =
                member.heard.filter(|&heard| span(unix - heard) < MAX_SAFE_SILENCE).map(since);
            let claims = ClaimsSnapshot { term: member.term, last_served, stepped_down, last_observed };
            let kept = MemberSnapshot {
                draining: member.drains,
                warm_at: member.warm_at.map(since).unwrap_or_default(),
                position: member.position.and_then(proven),
                work_sent: member.sent,
                concurrency_limit: member.room,
                slowness: member.slow,
                avoid_until: member.shunned.map(since).unwrap_or_default(),
                claims,
            };
            router.restore_member(now, at, &kept, worth);
        }
        for known in &memory.types {
            if let Some(kind) = self.txn_types.iter().position(|name| *name == known.name) {
                router.restore_type(kind, known.typical, known.usual, worth);
            }
        }
        router.probe_all_members(now, host);
        Ok(age)
    }
}
