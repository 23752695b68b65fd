//! What the router knows, for a snapshot, and taken up again from one.

use super::Desk;
use crate::keep::machine_time;
use juniperdock_deployment::span;
use juniperdock_primary_tracker::{GAP, KeptGroup, KeptSeat, Vacancies};
use juniperdock_router::kept::KeptMember;
use juniperdock_snapshot::{Memory, OfGroup, OfMember, OfType, Worth};
use std::time::Duration;

/// The least that one time is later than another.
const LATER: Duration = Duration::from_micros(1);

impl Desk {
    /// All that is worth keeping, in ids and times that outlast this process.
    pub(super) fn memory(&mut self, now: Duration) -> Memory {
        let (host, router, start) = (&self.host, &mut self.router, self.host.origin.start);
        let unix = |at: Duration| start + at.as_micros() as i64;
        let members = host.servers.known().filter_map(|(at, _)| {
            let kept = router.keep_member(now, at)?;
            Some(OfMember {
                id: host.ids.id(at).clone(),
                drains: kept.drains,
                warm_at: (!kept.warm_at.is_zero()).then(|| unix(kept.warm_at)),
                position: kept.position.map(unix),
                sent: kept.sent,
                room: kept.room,
                slow: kept.slow,
                shunned: (kept.shunned > now).then(|| unix(kept.shunned)),
                term: kept.seat.term,
                served: kept.seat.served.map(unix),
                stepped: kept.seat.stepped.map(unix),
                heard: kept.seat.heard.map(unix),
            })
        });
        let members = members.collect();
        let groups = (0..host.cells.len()).map(|at| {
            let kept = router.keep_group(at);
            OfGroup {
                group: *host.cells.id(at),
                term: kept.term,
                last: kept.last.map(|last| host.ids.id(last).clone()),
                began: kept.began.map(unix),
                newest: kept.newest.map(unix),
                vacancies: kept.vacancies.bytes().to_vec(),
            }
        });
        let groups = groups.collect();
        let kinds = self.kinds.iter().enumerate().map(|(kind, name)| {
            let (typical, usual) = router.keep_type(kind);
            OfType { name: name.clone(), typical, usual }
        });
        let (taken, machine_time) = (unix(now), machine_time());
        Memory { taken, members, groups, types: kinds.collect(), machine_time }
    }

    /// Takes up what the process before this one knew of members, groups and types that are here too.
    pub(super) fn recall(&mut self, now: Duration, bytes: &[u8]) -> Result<Duration, String> {
        let mut memory = juniperdock_snapshot::decode(bytes)?;
        let start = self.host.origin.start;
        let unix = start + now.as_micros() as i64;
        let age = memory.age(unix, machine_time().as_ref())?;
        memory.date_anew(unix, age);
        let worth = Worth::of(age);
        // What was before this process's start is at its start: all that comes now is later.
        let since = |unix: i64| span(unix - start);
        let proven = |unix: i64| u64::try_from(unix - start).ok().map(Duration::from_micros);
        let (host, router) = (&mut self.host, &mut self.router);
        for group in &memory.groups {
            let Some(at) = host.cells.known(&group.group) else { continue };
            let kept = KeptGroup {
                term: group.term,
                last: group.last.as_ref().and_then(|last| host.ids.known(last)),
                began: group.began.map(since),
                newest: group.newest.map(since),
                vacancies: Vacancies::of(&group.vacancies),
            };
            router.restore_group(now, at, &kept);
        }
        for member in &memory.members {
            let Some(at) = host.ids.known(&member.id) else { continue };
            let served = member.served.map(since);
            // Before this process's start all times are one: what came later stays later.
            let later = (member.stepped > member.served).then(|| served.unwrap_or_default() + LATER);
            let stepped = member.stepped.map(since).max(later);
            let heard = member.heard.filter(|&heard| span(unix - heard) < GAP).map(since);
            let seat = KeptSeat { term: member.term, served, stepped, heard };
            let kept = KeptMember {
                drains: member.drains,
                warm_at: member.warm_at.map(since).unwrap_or_default(),
                position: member.position.and_then(proven),
                sent: member.sent,
                room: member.room,
                slow: member.slow,
                shunned: member.shunned.map(since).unwrap_or_default(),
                seat,
            };
            router.restore_member(now, at, &kept, worth);
        }
        for known in &memory.types {
            if let Some(kind) = self.kinds.iter().position(|name| *name == known.name) {
                router.restore_type(kind, known.typical, known.usual, worth);
            }
        }
        router.ask_all(now, host);
        Ok(age)
    }
}
