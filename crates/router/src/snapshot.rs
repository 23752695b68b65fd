//! Parts of the router's state that a process passes on to its successor. No routing decision is made here.

use crate::routing::Router;
use crate::state::Member;
use juniperdock_primary_tracker::{ClaimsSnapshot, GroupSnapshot};
use juniperdock_snapshot::{Decay, StartRecord};
use std::time::Duration;

/// By how much the end of a warm-up may differ between two processes that were told the same start.
const MAX_CONVERSION_ERROR: Duration = Duration::from_secs(1);

/// The state of one member that is worth keeping.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberSnapshot {
    /// The server list has marked it as draining.
    pub draining: bool,
    /// Its latest start that a server list had told.
    pub start: StartRecord,
    /// End of its warm-up.
    pub warm_at: Duration,
    /// Proven log position.
    pub position: Option<Duration>,
    /// Work sent within the window of the rule on cold members, in seconds.
    pub work_sent: f64,
    pub concurrency_limit: f64,
    /// Recent latency, as a multiple of the base latency.
    pub slowness: f64,
    /// End of its back-off.
    pub avoid_until: Duration,
    /// What it has claimed about its role.
    pub claims: ClaimsSnapshot,
}

/// A restart of a member that this front has observed itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InferredRestart {
    pub member: usize,
    /// The end of its warm-up; `None` while its process is down.
    pub cold_until: Option<Duration>,
}

impl Router {
    /// The state of a member that is worth keeping; `None` for a member that is not listed.
    pub fn snapshot_member(&mut self, now: Duration, member: usize) -> Option<MemberSnapshot> {
        let claims = self.primary_tracker.snapshot_claims(member);
        let m = self.members.get_mut(member).filter(|m| m.listed)?;
        Some(MemberSnapshot {
            draining: m.draining,
            start: m.started.map_or(StartRecord::LongAgo, StartRecord::Told),
            warm_at: m.warm_at,
            position: m.position,
            work_sent: m.work_sent.sum(now),
            concurrency_limit: m.concurrency_limit,
            slowness: m.slowness,
            avoid_until: m.avoid_until,
            claims,
        })
    }

    /// The state of a group that is worth keeping.
    pub fn snapshot_group(&self, group: usize) -> GroupSnapshot {
        self.primary_tracker.snapshot_group(group)
    }

    /// Base and mean latency of a txn type, in seconds.
    pub fn snapshot_type(&self, kind: usize) -> (f64, f64) {
        (self.base_latency[kind], self.mean_latency[kind])
    }

    /// Restores the state of a member that is listed. Proofs, drains and spent budgets count in full; what was learnt
    /// of its speed fades with the snapshot's age. A drain lasts until the list shows a later start.
    pub fn restore_member(&mut self, now: Duration, member: usize, snapshot: &MemberSnapshot, decay: Decay) {
        let window = self.cold.window;
        let Some(m) = self.members.get_mut(member).filter(|m| m.listed) else { return };
        m.position = m.position.max(snapshot.position);
        if snapshot.draining {
            match snapshot.start {
                StartRecord::LongAgo => m.keep_drain(None),
                StartRecord::Told(started) => m.keep_drain(Some(started)),
                StartRecord::Unknown if m.warm_at <= snapshot.warm_at + MAX_CONVERSION_ERROR => {
                    m.keep_drain(m.started)
                }
                StartRecord::Unknown => {}
            }
        }
        let spent = decay.budget_spent(snapshot.work_sent, window);
        if spent > 0.0 {
            m.work_sent.add(now, spent);
        }
        (m.concurrency_limit, m.slowness) = (
            decay.estimate(snapshot.concurrency_limit, m.concurrency_limit),
            decay.estimate(snapshot.slowness, m.slowness),
        );
        m.avoid_until = m.avoid_until.max(snapshot.avoid_until);
        let (excluded, draining) = (m.excluded, m.draining);
        self.primary_tracker.restore_claims(member, &snapshot.claims);
        self.primary_tracker.set_availability(now, member, excluded, draining);
    }

    /// Restores the state of a group; to be called before its members are restored. The former primary has to claim its
    /// role again.
    pub fn restore_group(&mut self, now: Duration, group: usize, snapshot: &GroupSnapshot) {
        self.primary_tracker.restore_group(now, group, snapshot);
    }

    /// Restores the latencies of a txn type, in seconds; they fade with the snapshot's age.
    pub fn restore_type(&mut self, kind: usize, base_latency: f64, mean_latency: f64, decay: Decay) {
        self.base_latency[kind] = decay.estimate(base_latency, self.base_latency[kind]);
        self.mean_latency[kind] = decay.estimate(mean_latency, self.mean_latency[kind]);
    }

    /// The members that were found to have no process and are not warm since.
    pub fn inferred_restarts(&self, now: Duration) -> Vec<InferredRestart> {
        let restart = |(member, m): (usize, &Member)| {
            let cold_until = (!m.process_down).then_some(m.cold_until);
            let is_cold = cold_until.is_none_or(|until| until > now);
            (m.listed && is_cold).then_some(InferredRestart { member, cold_until })
        };
        self.members.iter().enumerate().filter_map(restart).collect()
    }

    /// Keeps a restart that was observed elsewhere; to be called once the member is listed.
    pub fn keep_inferred_restart(&mut self, restart: InferredRestart) {
        let Some(m) = self.members.get_mut(restart.member).filter(|m| m.listed) else { return };
        match restart.cold_until {
            Some(cold_until) => m.cold_until = m.cold_until.max(cold_until),
            None => m.process_down = true,
        }
    }
}
