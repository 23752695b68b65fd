//! Invariants of the tracker, checked on long random histories of observations in any order.

use juniperdock_primary_tracker::{Claim, Phase, PrimaryTracker, Role};
use proptest::prelude::*;
use std::time::Duration;

#[derive(Clone, Debug)]
enum Event {
    Report { member: usize, primary: bool, old: u64 },
    Answer { member: usize, primary: bool, took: u64 },
    InvalidateClaims(usize),
    MarkDoubted(usize),
    SetAvailability { member: usize, excluded: bool, draining: bool },
    OrderChange { group: usize, successor: Option<usize> },
    CallOff(usize),
    Committed(usize),
    Replace(usize),
    Wait(u64),
}

const GROUPS: usize = 3;
const MEMBERS: usize = 9;

fn event() -> impl Strategy<Value = Event> {
    let member = 0..MEMBERS;
    prop_oneof![
        5 => (member.clone(), any::<bool>(), 0..3000u64)
            .prop_map(|(member, primary, old)| Event::Report { member, primary, old }),
        4 => (member.clone(), any::<bool>(), 0..3000u64)
            .prop_map(|(member, primary, took)| Event::Answer { member, primary, took }),
        2 => member.clone().prop_map(Event::InvalidateClaims),
        1 => member.clone().prop_map(Event::MarkDoubted),
        1 => (member.clone(), any::<bool>(), any::<bool>())
            .prop_map(|(member, excluded, draining)| Event::SetAvailability { member, excluded, draining }),
        1 => (0..GROUPS, proptest::option::of(member.clone()))
            .prop_map(|(group, successor)| Event::OrderChange { group, successor }),
        1 => (0..GROUPS).prop_map(Event::CallOff),
        1 => member.clone().prop_map(Event::Committed),
        1 => member.prop_map(Event::Replace),
        4 => (0..2500u64).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn primaries_terms_and_plans_keep_their_invariants(events in proptest::collection::vec(event(), 1..400)) {
        let mut tracker = PrimaryTracker::default();
        let mut now = Duration::from_secs(5);
        let mut excluded = [false; MEMBERS];
        let mut terms = [0; GROUPS];
        // The newest claim observed of each member since it was added, by its `made_at`.
        let mut claims: [Option<Duration>; MEMBERS] = [None; MEMBERS];
        (0..MEMBERS).for_each(|member| tracker.add_member(member, member % GROUPS));
        for event in events {
            match event {
                Event::Report { member, primary, old } => {
                    let at = now.saturating_sub(Duration::from_millis(old));
                    let role = if primary { Role::Primary } else { Role::Replica };
                    tracker.observe(now, member, Some(Claim::at(role, at)), false);
                    if primary { claims[member] = claims[member].max(Some(at)); }
                }
                Event::Answer { member, primary, took } => {
                    let not_before = now.saturating_sub(Duration::from_millis(took));
                    let role = if primary { Role::Primary } else { Role::Replica };
                    tracker.observe(now, member, Some(Claim { role, made_at: now, not_before }), true);
                    if primary { claims[member] = claims[member].max(Some(now)); }
                }
                Event::InvalidateClaims(member) => tracker.invalidate_claims(now, member),
                Event::MarkDoubted(member) => tracker.mark_doubted(now, member),
                Event::SetAvailability { member, excluded: off, draining } => {
                    excluded[member] = off;
                    tracker.set_availability(now, member, off, draining && off);
                }
                Event::OrderChange { group, successor } => drop(tracker.order_change(now, group, successor)),
                Event::CallOff(group) => drop(tracker.call_off(now, group)),
                Event::Committed(member) => tracker.committed(member),
                Event::Replace(member) => {
                    tracker.remove_member(now, member);
                    tracker.add_member(member, member % GROUPS);
                    (excluded[member], claims[member]) = (false, None);
                }
                Event::Wait(ms) => now += Duration::from_millis(ms),
            }
            for (group, newest) in terms.iter_mut().enumerate() {
                tracker.apply_rules(now, group, 0);
                let term = tracker.term(group);
                prop_assert!(term >= *newest, "terms never decrease");
                *newest = term;
                if let Some(primary_member) = tracker.primary(group) {
                    prop_assert_eq!(primary_member % GROUPS, group);
                    prop_assert!(!excluded[primary_member], "an excluded member is never the primary");
                    prop_assert!(claims[primary_member].is_some(), "no primary without a claim");
                    prop_assert_eq!(tracker.held_term(primary_member), term, "the primary's term is the newest");
                }
                for member in (group..MEMBERS).step_by(GROUPS) {
                    prop_assert!(tracker.held_term(member) <= term);
                    prop_assert!(!tracker.trusted(member) || tracker.primary(group) == Some(member));
                }
                let writes_wait = tracker.plan(group).is_some_and(|plan| plan.holds_writes());
                prop_assert_eq!(writes_wait, tracker.phase(group) == Phase::HandingOver);
                prop_assert!(!writes_wait || tracker.writer(group).is_none());
                prop_assert!(
                    !writes_wait || tracker.plan_deadline(group).is_some_and(|at| at > now),
                    "no plan outlasts its time limit"
                );
            }
            let counted: usize = Phase::ALL.iter().map(|&phase| tracker.in_phase(phase)).sum();
            prop_assert_eq!(counted, GROUPS);
        }
        let changes = tracker.take_changes();
        for change in changes.iter().filter(|change| change.to != change.from) {
            prop_assert!(change.to.is_none() || change.term > 0);
        }
    }
}
