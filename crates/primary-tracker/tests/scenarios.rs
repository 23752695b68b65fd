//! One scenario for each way in which a group's primary changes, or seems to.

use juniperdock_primary_tracker::{
    ChangeReason, Claim, FENCE, MAX_SAFE_SILENCE, Phase, Plan, PlanReason, PrimaryTracker, Role, Step,
    UndoReason,
};
use std::time::Duration;

const PRIMARY: Role = Role::Primary;
const REPLICA: Role = Role::Replica;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// One group of members 0, 1 and 2. Times are in milliseconds.
struct Group {
    tracker: PrimaryTracker,
    writes_in_flight: usize,
}

impl Group {
    fn new() -> Group {
        let mut tracker = PrimaryTracker::default();
        (0..3).for_each(|member| tracker.add_member(member, 0));
        Group { tracker, writes_in_flight: 0 }
    }

    /// Member 0 is the primary and has answered as such.
    fn steady() -> Group {
        let mut group = Group::new();
        group.report(1000, 0, PRIMARY, 1000);
        [1, 2].iter().for_each(|&m| group.report(1000, m, REPLICA, 990));
        group.answer(1010, 0, PRIMARY, 1005);
        assert_eq!((group.tracker.phase(0), group.tracker.term(0)), (Phase::Steady, 1));
        group
    }

    fn report(&mut self, now: u64, member: usize, role: Role, position: u64) {
        self.tracker.observe(ms(now), member, Some(Claim::at(role, ms(position))), false);
        self.tracker.apply_rules(ms(now), 0, self.writes_in_flight);
    }

    fn answer(&mut self, now: u64, member: usize, role: Role, sent: u64) {
        let claim = Claim { role, made_at: ms(now), not_before: ms(sent) };
        self.tracker.observe(ms(now), member, Some(claim), true);
        self.tracker.apply_rules(ms(now), 0, self.writes_in_flight);
    }

    /// The given members report every 100 ms.
    fn report_every_100_ms(&mut self, from: u64, to: u64, reports: &[(usize, Role)]) {
        for now in (from..=to).step_by(100) {
            reports.iter().for_each(|&(member, role)| self.report(now, member, role, now - 10));
        }
    }

    fn invalidate_claims(&mut self, now: u64, member: usize) {
        self.tracker.invalidate_claims(ms(now), member);
        self.tracker.apply_rules(ms(now), 0, self.writes_in_flight);
    }

    fn drain(&mut self, now: u64, member: usize) {
        self.tracker.set_availability(ms(now), member, true, true);
        self.tracker.apply_rules(ms(now), 0, self.writes_in_flight);
    }

    fn evaluate(&mut self, now: u64) {
        self.tracker.apply_rules(ms(now), 0, self.writes_in_flight);
    }

    fn primary(&self) -> Option<usize> {
        self.tracker.primary(0)
    }

    fn plan(&self) -> Plan {
        *self.tracker.plan(0).expect("a plan")
    }
}

#[test]
fn a_failed_primary_returns_by_a_later_claim_only_and_keeps_its_term() {
    let mut g = Group::steady();
    g.invalidate_claims(1100, 0);
    g.report(1110, 0, PRIMARY, 1090);
    assert_eq!(
        (g.primary(), g.tracker.phase(0)),
        (None, Phase::NoPrimary),
        "the claim was made before the failure"
    );
    g.report(1200, 0, PRIMARY, 1190);
    assert_eq!((g.primary(), g.tracker.term(0)), (Some(0), 1));
    let changes = g.tracker.take_changes();
    let last = changes.last().expect("changes");
    assert_eq!((last.why, last.leaderless_for), (ChangeReason::Resumed, Some(ms(100))));
}

#[test]
fn a_primary_that_resumes_after_a_hang_does_not_replace_its_successor() {
    let mut g = Group::steady();
    g.invalidate_claims(1500, 0);
    g.report_every_100_ms(1600, 4000, &[(1, REPLICA), (2, REPLICA)]);
    g.report(4100, 1, PRIMARY, 4090);
    assert_eq!((g.primary(), g.tracker.term(0)), (Some(1), 2));
    // After the hang it still takes itself for the primary: its reports and late answers claim the role with current
    // times.
    g.report(4300, 0, PRIMARY, 4299);
    g.answer(4400, 0, PRIMARY, 4350);
    assert_eq!((g.primary(), g.tracker.term(0)), (Some(1), 2));
    // The successor's claims are invalidated for a moment; the former primary is still not accepted.
    g.invalidate_claims(4500, 1);
    g.report(4550, 0, PRIMARY, 4549);
    assert_eq!(g.primary(), None);
    g.report(4600, 1, PRIMARY, 4590);
    assert_eq!((g.primary(), g.tracker.term(0)), (Some(1), 2));
    // After it has reported that it is a replica it can become the primary again, in a new term.
    g.report(5000, 0, REPLICA, 4990);
    g.report(6000, 0, PRIMARY, 5990);
    assert_eq!((g.primary(), g.tracker.term(0)), (Some(0), 3));
}

#[test]
fn a_primary_that_resumes_while_there_is_none_waits_for_reports_of_the_others() {
    let mut g = Group::steady();
    g.invalidate_claims(1500, 0);
    g.report_every_100_ms(1600, 4000, &[(1, REPLICA)]);
    // Member 2 has taken over, which is not known yet. The old primary is the first one to report.
    g.report(4100, 0, PRIMARY, 4099);
    assert_eq!(g.primary(), None, "it was silent for at least {MAX_SAFE_SILENCE:?}");
    g.report(4110, 1, REPLICA, 4050);
    g.report(4120, 2, PRIMARY, 4100);
    assert_eq!((g.primary(), g.tracker.term(0)), (Some(2), 2));
    // If no member has taken over, it becomes the primary again once all others have reported, or after a while.
    for silent in [None, Some(2)] {
        let mut g = Group::steady();
        g.invalidate_claims(1500, 0);
        g.report(4100, 0, PRIMARY, 4099);
        g.report(4110, 1, REPLICA, 4050);
        assert_eq!(g.primary(), None);
        match silent {
            None => g.report(4120, 2, REPLICA, 4050),
            Some(_) => [4600, 4102 + FENCE.as_millis() as u64]
                .iter()
                .for_each(|&now| g.report(now, 0, PRIMARY, now - 1)),
        }
        assert_eq!((g.primary(), g.tracker.term(0)), (Some(0), 1));
    }
}

#[test]
fn claims_that_arrive_out_of_order_are_ordered_by_when_they_were_made() {
    let mut g = Group::steady();
    g.report(2000, 1, PRIMARY, 1500);
    assert_eq!(g.primary(), Some(1));
    g.answer(2010, 0, PRIMARY, 1400);
    g.report(2020, 0, PRIMARY, 1450);
    assert_eq!((g.primary(), g.tracker.term(0)), (Some(1), 2), "requested before the successor claimed");
    // A claim of a member that was never primary, made no later than the primary's newest one.
    g.report(2100, 1, PRIMARY, 2090);
    g.report(2110, 2, PRIMARY, 2080);
    assert_eq!(g.primary(), Some(1));
}

#[test]
fn a_single_false_claim_costs_one_attempt_and_does_not_cause_flapping() {
    let mut g = Group::steady();
    g.report_every_100_ms(1100, 1500, &[(0, PRIMARY)]);
    g.report(1510, 1, PRIMARY, 1505);
    assert_eq!(g.primary(), Some(1), "the newest claim wins");
    // The write that was sent there was refused without being executed.
    g.answer(1520, 1, REPLICA, 1511);
    assert_eq!(g.primary(), None);
    g.report(1600, 0, PRIMARY, 1590);
    assert_eq!(g.primary(), Some(0), "it was never silent, so its claim is not of an old term");
    // It keeps claiming, but does not replace a primary again.
    g.report(1700, 1, PRIMARY, 1690);
    g.report(1800, 1, PRIMARY, 1790);
    assert_eq!(g.primary(), Some(0));
    // It does become the primary when there is none, and is trusted again once it has answered as primary.
    g.invalidate_claims(1900, 0);
    g.report(2000, 1, PRIMARY, 1990);
    assert_eq!(g.primary(), Some(1));
    g.answer(2100, 1, PRIMARY, 2050);
    assert_eq!(g.tracker.phase(0), Phase::Steady);
}

#[test]
fn two_simultaneous_claimants_do_not_alternate() {
    let mut g = Group::new();
    let mut primaries = Vec::new();
    for now in (1000..3000).step_by(50) {
        g.report(now, 0, PRIMARY, now - 20);
        g.report(now + 10, 1, PRIMARY, now - 5);
        primaries.push(g.primary());
    }
    primaries.dedup();
    assert_eq!(primaries, [Some(1)], "the newest claim wins and the other member is fenced");
    assert!(g.tracker.term(0) <= 2);
}

#[test]
fn a_claim_from_the_future_counts_as_made_now() {
    let mut g = Group::steady();
    g.report(1100, 0, PRIMARY, 9000);
    g.report(1300, 1, PRIMARY, 1290);
    assert_eq!(g.primary(), Some(1), "a clock that runs ahead gives no advantage");
}

#[test]
fn positions_of_a_former_primary_from_before_the_newest_term_prove_nothing() {
    let mut g = Group::steady();
    assert_eq!(g.tracker.valid_positions_from(0), ms(0));
    g.report(2000, 1, PRIMARY, 1990);
    assert_eq!(
        (
            g.tracker.valid_positions_from(0),
            g.tracker.valid_positions_from(1),
            g.tracker.valid_positions_from(2)
        ),
        (ms(1990), ms(0), ms(0))
    );
}

#[test]
fn a_drained_primary_hands_over_and_the_plan_shows_the_progress() {
    let mut g = Group::steady();
    g.writes_in_flight = 2;
    g.drain(1100, 0);
    assert_eq!((g.primary(), g.tracker.phase(0)), (None, Phase::HandingOver));
    assert_eq!((g.plan().reason, g.plan().step), (PlanReason::Drain, Step::Emptying));
    g.writes_in_flight = 0;
    g.evaluate(1150);
    assert_eq!((g.plan().step, g.plan().since), (Step::Awaiting, ms(1150)));
    g.report(1900, 2, PRIMARY, 1890);
    assert_eq!((g.plan().step, g.tracker.writer(0)), (Step::Done, Some(2)));
    // A later start ends its drain; it is a former primary like any other.
    g.tracker.set_availability(ms(2000), 0, false, false);
    g.report(2100, 0, PRIMARY, 2090);
    assert_eq!(g.primary(), Some(2));
}

/// Guards against a hold that ends in a process which does not know the primary yet, or that begins anew there.
#[test]
fn a_plan_that_was_begun_elsewhere_holds_until_it_would_have_ended_there() {
    let mut g = Group::new();
    let plan = Plan::restored(ms(1000), 0, 0, None, Step::Awaiting, ms(3000));
    assert!(g.tracker.restore_plan(plan) && !g.tracker.restore_plan(plan), "one at a time");
    g.evaluate(1000);
    assert_eq!((g.plan().step, g.tracker.phase(0)), (Step::Awaiting, Phase::HandingOver));
    g.report(1100, 0, PRIMARY, 1090);
    assert_eq!((g.tracker.writer(0), g.plan().reason), (None, PlanReason::Order));
    g.evaluate(2999);
    assert_eq!((g.plan().step, g.tracker.writer(0)), (Step::Awaiting, None));
    g.evaluate(3000);
    assert_eq!((g.plan().step, g.tracker.writer(0)), (Step::Undone(UndoReason::NoSuccessor), Some(0)));
    assert!(!g.tracker.restore_plan(g.plan()), "it has ended");
}

#[test]
fn a_drain_without_a_successor_ends_its_plan_and_still_excludes_the_member() {
    let mut g = Group::steady();
    g.drain(1100, 0);
    let ends = g.tracker.plan_deadline(0).expect("a time limit");
    g.evaluate(ends.as_millis() as u64);
    let ends = g.plan().step_deadline();
    assert!(g.plan().ended() && ends.is_none(), "{:?}", g.plan());
    assert_eq!(g.plan().step, Step::Undone(UndoReason::NoSuccessor));
    g.report(9000, 0, PRIMARY, 8990);
    assert_eq!(
        (g.primary(), g.tracker.phase(0)),
        (None, Phase::NoPrimary),
        "a draining member gets nothing new (rule 3)"
    );
    g.tracker.set_availability(ms(9100), 0, false, false);
    g.report(9200, 1, REPLICA, 9150);
    g.report(9200, 2, REPLICA, 9150);
    g.report(9300, 0, PRIMARY, 9290);
    assert_eq!(g.primary(), Some(0), "a later start has ended the drain");
}

#[test]
fn an_ordered_change_holds_writes_and_is_undone_at_its_time_limit() {
    let mut g = Group::steady();
    g.writes_in_flight = 1;
    g.tracker.order_change(ms(1100), 0, Some(1)).expect("a plan");
    g.evaluate(1100);
    assert_eq!((g.primary(), g.tracker.writer(0)), (Some(0), None));
    assert!(g.tracker.order_change(ms(1200), 0, None).is_err(), "one change at a time");
    g.writes_in_flight = 0;
    g.evaluate(1200);
    // No successor claims: the old primary is used again.
    let ends = g.tracker.plan_deadline(0).expect("a time limit").as_millis() as u64;
    g.report(ends - 100, 0, PRIMARY, ends - 110);
    assert_eq!(g.tracker.writer(0), None);
    g.evaluate(ends);
    assert_eq!((g.plan().step, g.tracker.writer(0)), (Step::Undone(UndoReason::NoSuccessor), Some(0)));
    // The change is called off.
    g.tracker.order_change(ms(ends + 100), 0, None).expect("a plan");
    assert!(g.tracker.call_off(ms(ends + 200), 0) && !g.tracker.call_off(ms(ends + 200), 0));
    g.evaluate(ends + 200);
    assert_eq!((g.plan().step, g.tracker.writer(0)), (Step::Undone(UndoReason::CalledOff), Some(0)));
}

#[test]
fn a_primary_that_steps_down_during_a_planned_change_has_not_failed() {
    let mut g = Group::steady();
    g.tracker.order_change(ms(1100), 0, None).expect("a plan");
    g.evaluate(1100);
    assert_eq!(g.plan().step, Step::Awaiting);
    // It reports itself as a replica before its successor has claimed.
    g.report(1300, 0, REPLICA, 1295);
    assert_eq!((g.plan().step, g.tracker.phase(0)), (Step::Awaiting, Phase::HandingOver));
    g.report(1500, 1, PRIMARY, 1490);
    assert_eq!((g.plan().step, g.tracker.writer(0)), (Step::Done, Some(1)));
}

#[test]
fn an_ordered_change_ends_when_its_successor_leaves_or_the_old_primary_fails_first() {
    let mut g = Group::steady();
    g.tracker.order_change(ms(1100), 0, Some(1)).expect("a plan");
    g.drain(1200, 1);
    assert_eq!((g.plan().step, g.tracker.writer(0)), (Step::Undone(UndoReason::SuccessorLeft), Some(0)));
    g.tracker.order_change(ms(1300), 0, Some(2)).expect("a plan");
    g.invalidate_claims(1400, 0);
    assert_eq!((g.plan().step, g.tracker.phase(0)), (Step::Undone(UndoReason::Overtaken), Phase::NoPrimary));
    g.report(2600, 2, PRIMARY, 2590);
    assert_eq!(g.primary(), Some(2));
    // The successor fails right after it took over: a change during a change.
    g.tracker.order_change(ms(2700), 0, None).expect("a plan");
    g.evaluate(2700);
    g.report(2800, 0, REPLICA, 2750);
    g.report(2900, 0, PRIMARY, 2890);
    assert_eq!((g.plan().step, g.primary()), (Step::Done, Some(0)));
    g.invalidate_claims(2950, 0);
    g.report(3000, 2, PRIMARY, 2990);
    assert_eq!(g.primary(), None, "it has not reported itself as a replica");
    g.report(3100, 2, REPLICA, 3090);
    g.report(3400, 2, PRIMARY, 3390);
    assert_eq!((g.primary(), g.tracker.term(0)), (Some(2), 4));
}

#[test]
fn a_change_that_cannot_be_ordered_is_refused_with_the_reason() {
    let mut g = Group::new();
    for (group, successor, names) in [(7, None, "group"), (0, None, "no primary")] {
        assert!(g.tracker.order_change(ms(1), group, successor).is_err_and(|why| why.contains(names)));
    }
    let mut g = Group::steady();
    g.tracker.add_member(9, 1);
    g.drain(1100, 2);
    for (successor, names) in [(0, "already"), (9, "no member"), (2, "no member"), (99, "no member")] {
        assert!(g.tracker.order_change(ms(1200), 0, Some(successor)).is_err_and(|why| why.contains(names)));
    }
}

#[test]
fn a_group_of_one_recovers_with_its_only_member() {
    let mut tracker = PrimaryTracker::default();
    tracker.add_member(0, 0);
    for now in [1000, 9000] {
        tracker.observe(ms(now), 0, Some(Claim::at(PRIMARY, ms(now))), false);
        tracker.apply_rules(ms(now), 0, 0);
        assert_eq!((tracker.primary(0), tracker.term(0)), (Some(0), 1));
        tracker.invalidate_claims(ms(now + 10), 0);
        tracker.apply_rules(ms(now + 10), 0, 0);
        assert_eq!(tracker.primary(0), None);
    }
}

#[test]
fn a_new_member_at_a_reused_index_inherits_nothing() {
    let mut g = Group::steady();
    g.tracker.remove_member(ms(1100), 0);
    assert_eq!(g.primary(), None);
    g.tracker.add_member(0, 0);
    g.evaluate(1200);
    assert!(
        g.primary().is_none() && !g.tracker.has_claimed(0) && g.tracker.valid_positions_from(0).is_zero()
    );
    g.report(1300, 0, REPLICA, 1290);
    g.report(2400, 0, PRIMARY, 2390);
    assert_eq!((g.primary(), g.tracker.term(0)), (Some(0), 2));
}

#[test]
fn a_doubted_primary_keeps_its_role_but_reads_do_not_rely_on_it() {
    let mut g = Group::steady();
    g.tracker.mark_doubted(ms(1100), 0);
    g.evaluate(1100);
    assert_eq!((g.primary(), g.tracker.trusted(0), g.tracker.phase(0)), (Some(0), false, Phase::Doubted));
    g.report(1200, 0, PRIMARY, 1150);
    assert!(g.tracker.trusted(0) && g.tracker.phase(0) == Phase::Steady);
}

#[test]
fn a_snapshot_restores_terms_and_fences_but_not_the_primary() {
    let mut g = Group::steady();
    g.invalidate_claims(1500, 0);
    g.report(2600, 1, PRIMARY, 2590);
    let (group, claims) = (g.tracker.snapshot_group(0), [0, 1, 2].map(|m| g.tracker.snapshot_claims(m)));
    let restored = |claims_first: bool| {
        let mut next = Group::new();
        if claims_first {
            next.report(2700, 2, PRIMARY, 2690);
        }
        next.tracker.restore_group(ms(2710), 0, &group);
        (0..3).for_each(|m| next.tracker.restore_claims(m, &claims[m]));
        next.evaluate(2710);
        next
    };
    let mut next = restored(false);
    assert_eq!((next.primary(), next.tracker.term(0)), (None, 2));
    next.report(2720, 0, PRIMARY, 2719);
    assert_eq!(next.primary(), None, "a former primary's claim may be of its old term");
    next.report(2730, 1, PRIMARY, 2729);
    assert_eq!((next.primary(), next.tracker.term(0)), (Some(1), 2), "the same term continues");
    assert_eq!(next.tracker.valid_positions_from(0), ms(2590));
    // A term that had begun in this process already is numbered after the restored ones.
    let mut next = restored(true);
    assert_eq!((next.primary(), next.tracker.term(0), next.tracker.held_term(2)), (Some(2), 3, 3));
    next.report(2720, 0, PRIMARY, 2719);
    assert_eq!((next.primary(), next.tracker.held_term(0)), (Some(2), 1));
}

#[test]
fn past_leaderless_durations_predict_how_long_one_lasts() {
    let mut g = Group::steady();
    let mut now = 2000;
    for i in 0..4 {
        let (old, next) = ([0, 1][i % 2], [1, 0][i % 2]);
        g.invalidate_claims(now, old);
        assert_eq!(g.tracker.expected_wait(ms(now), 0).is_some(), i == 3, "three samples are enough");
        g.report(now + 400, next, REPLICA, now + 390);
        g.report(now + 800, next, PRIMARY, now + 790);
        assert_eq!(g.primary(), Some(next));
        assert!(g.tracker.expected_wait(ms(now + 800), 0).is_none());
        g.report(now + 900, old, REPLICA, now + 890);
        now += 2000;
    }
    g.invalidate_claims(now, 0);
    let left = |g: &Group, lasted| g.tracker.expected_wait(ms(now + lasted), 0).expect("an estimate");
    assert!(left(&g, 0) >= ms(800) && left(&g, 0) <= ms(1200));
    assert!(left(&g, 600) < left(&g, 0));
    assert!(left(&g, 60_000) > ms(30_000), "longer than any sample");
}
