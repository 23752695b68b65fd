//! What a router leaves to the process after it, and takes up from the one before. Nothing is decided here.

use crate::routing::Router;
use juniperdock_primary_tracker::{KeptGroup, KeptSeat};
use juniperdock_snapshot::Worth;
use std::time::Duration;

/// Of a member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeptMember {
    pub drains: bool,
    pub warm_at: Duration,
    pub position: Option<Duration>,
    pub sent: f64,
    pub room: f64,
    pub slow: f64,
    pub shunned: Duration,
    pub seat: KeptSeat,
}

impl Router {
    /// What is worth keeping of a member; `None` for one that is not listed.
    pub fn keep_member(&mut self, now: Duration, member: usize) -> Option<KeptMember> {
        let seat = self.tenure.keep_seat(member);
        let m = self.members.get_mut(member).filter(|m| m.listed)?;
        Some(KeptMember {
            drains: m.drains,
            warm_at: m.warm_at,
            position: m.position,
            sent: m.sent.sum(now),
            room: m.room,
            slow: m.slow,
            shunned: m.shunned,
            seat,
        })
    }

    pub fn keep_group(&self, group: usize) -> KeptGroup {
        self.tenure.keep_group(group)
    }

    /// Answer times of a txn type in seconds: typical and usual.
    pub fn keep_type(&self, kind: usize) -> (f64, f64) {
        (self.typical[kind], self.usual[kind])
    }

    /// Takes up what was kept of a member that is listed. Proofs, drains and budgets spent hold; what was
    /// learnt of its speed fades. A drain binds until the list shows a later start.
    pub fn restore_member(&mut self, now: Duration, member: usize, kept: &KeptMember, worth: Worth) {
        let window = self.cold.window;
        let Some(m) = self.members.get_mut(member).filter(|m| m.listed) else { return };
        m.position = m.position.max(kept.position);
        if kept.drains && m.warm_at <= kept.warm_at {
            (m.drains, m.stopped) = (true, true);
        }
        let spent = worth.spent(kept.sent, window);
        if spent > 0.0 {
            m.sent.add(now, spent);
        }
        (m.room, m.slow) = (worth.learnt(kept.room, m.room), worth.learnt(kept.slow, m.slow));
        m.shunned = m.shunned.max(kept.shunned);
        let (stopped, drains) = (m.stopped, m.drains);
        self.tenure.restore_seat(member, &kept.seat);
        self.tenure.bar(now, member, stopped, drains);
    }

    /// Takes up what was kept of a group, before its members. Who held the slot has to claim anew.
    pub fn restore_group(&mut self, now: Duration, group: usize, kept: &KeptGroup) {
        self.tenure.restore_group(now, group, kept);
    }

    pub fn restore_type(&mut self, kind: usize, typical: f64, usual: f64, worth: Worth) {
        self.typical[kind] = worth.learnt(typical, self.typical[kind]);
        self.usual[kind] = worth.learnt(usual, self.usual[kind]);
    }
}
