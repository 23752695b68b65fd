//! What a router leaves to the process after it, and takes up from the one before. Nothing is decided here.

use crate::routing::Router;
use juniperdock_primary_tracker::{ClaimsSnapshot, GroupSnapshot};
use juniperdock_snapshot::Decay;
use std::time::Duration;

/// Of a member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberSnapshot {
    pub draining: bool,
    pub warm_at: Duration,
    pub position: Option<Duration>,
    pub work_sent: f64,
    pub concurrency_limit: f64,
    pub slowness: f64,
    pub avoid_until: Duration,
    pub claims: ClaimsSnapshot,
}

impl Router {
    /// What is worth keeping of a member; `None` for one that is not listed.
    pub fn snapshot_member(&mut self, now: Duration, member: usize) -> Option<MemberSnapshot> {
        let claims = self.tenure.snapshot_claims(member);
        let m = self.members.get_mut(member).filter(|m| m.listed)?;
        Some(MemberSnapshot {
            draining: m.drains,
            warm_at: m.warm_at,
            position: m.position,
            work_sent: m.sent.sum(now),
            concurrency_limit: m.room,
            slowness: m.slow,
            avoid_until: m.shunned,
            claims,
        })
    }

    pub fn snapshot_group(&self, group: usize) -> GroupSnapshot {
        self.tenure.snapshot_group(group)
    }

    /// Answer times of a txn type in seconds: typical and usual.
    pub fn snapshot_type(&self, kind: usize) -> (f64, f64) {
        (self.typical[kind], self.usual[kind])
    }

    /// Takes up what was kept of a member that is listed. Proofs, drains and budgets spent hold; what was
    /// learnt of its speed fades. A drain binds until the list shows a later start.
    pub fn restore_member(&mut self, now: Duration, member: usize, kept: &MemberSnapshot, worth: Decay) {
        let window = self.cold.window;
        let Some(m) = self.members.get_mut(member).filter(|m| m.listed) else { return };
        m.position = m.position.max(kept.position);
        if kept.draining && m.warm_at <= kept.warm_at {
            (m.drains, m.stopped) = (true, true);
        }
        let spent = worth.budget_spent(kept.work_sent, window);
        if spent > 0.0 {
            m.sent.add(now, spent);
        }
        (m.room, m.slow) =
            (worth.estimate(kept.concurrency_limit, m.room), worth.estimate(kept.slowness, m.slow));
        m.shunned = m.shunned.max(kept.avoid_until);
        let (stopped, drains) = (m.stopped, m.drains);
        self.tenure.restore_claims(member, &kept.claims);
        self.tenure.set_availability(now, member, stopped, drains);
    }

    /// Takes up what was kept of a group, before its members. Who held the slot has to claim anew.
    pub fn restore_group(&mut self, now: Duration, group: usize, kept: &GroupSnapshot) {
        self.tenure.restore_group(now, group, kept);
    }

    pub fn restore_type(&mut self, kind: usize, typical: f64, usual: f64, worth: Decay) {
        self.typical[kind] = worth.estimate(typical, self.typical[kind]);
        self.usual[kind] = worth.estimate(usual, self.usual[kind]);
    }
}
