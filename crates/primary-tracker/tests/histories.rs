//! Long random histories: what always holds, whatever is heard in whatever order.

use juniperdock_primary_tracker::{Claim, Phase, PrimaryTracker, Role};
use proptest::prelude::*;
use std::time::Duration;

#[derive(Clone, Debug)]
enum Event {
    Report { member: usize, primary: bool, old: u64 },
    Answer { member: usize, primary: bool, took: u64 },
    Doubt(usize),
    Shake(usize),
    Bar { member: usize, barred: bool, drains: bool },
    Order { group: usize, successor: Option<usize> },
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
        2 => member.clone().prop_map(Event::Doubt),
        1 => member.clone().prop_map(Event::Shake),
        1 => (member.clone(), any::<bool>(), any::<bool>())
            .prop_map(|(member, barred, drains)| Event::Bar { member, barred, drains }),
        1 => (0..GROUPS, proptest::option::of(member.clone()))
            .prop_map(|(group, successor)| Event::Order { group, successor }),
        1 => (0..GROUPS).prop_map(Event::CallOff),
        1 => member.clone().prop_map(Event::Committed),
        1 => member.prop_map(Event::Replace),
        4 => (0..2500u64).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn slots_terms_and_plans_stay_whole(events in proptest::collection::vec(event(), 1..400)) {
        let mut tenure = PrimaryTracker::default();
        let mut now = Duration::from_secs(5);
        let mut barred = [false; MEMBERS];
        let mut terms = [0; GROUPS];
        // The newest claim that was heard of each member since it came, by its date.
        let mut claims: [Option<Duration>; MEMBERS] = [None; MEMBERS];
        (0..MEMBERS).for_each(|member| tenure.add_member(member, member % GROUPS));
        for event in events {
            match event {
                Event::Report { member, primary, old } => {
                    let at = now.saturating_sub(Duration::from_millis(old));
                    let role = if primary { Role::Primary } else { Role::Replica };
                    tenure.observe(now, member, Some(Claim::at(role, at)), false);
                    if primary { claims[member] = claims[member].max(Some(at)); }
                }
                Event::Answer { member, primary, took } => {
                    let not_before = now.saturating_sub(Duration::from_millis(took));
                    let role = if primary { Role::Primary } else { Role::Replica };
                    tenure.observe(now, member, Some(Claim { role, made_at: now, not_before }), true);
                    if primary { claims[member] = claims[member].max(Some(now)); }
                }
                Event::Doubt(member) => tenure.invalidate_claims(now, member),
                Event::Shake(member) => tenure.mark_doubted(now, member),
                Event::Bar { member, barred: off, drains } => {
                    barred[member] = off;
                    tenure.set_availability(now, member, off, drains && off);
                }
                Event::Order { group, successor } => drop(tenure.order_change(now, group, successor)),
                Event::CallOff(group) => drop(tenure.call_off(now, group)),
                Event::Committed(member) => tenure.committed(member),
                Event::Replace(member) => {
                    tenure.remove_member(now, member);
                    tenure.add_member(member, member % GROUPS);
                    (barred[member], claims[member]) = (false, None);
                }
                Event::Wait(ms) => now += Duration::from_millis(ms),
            }
            for (group, newest) in terms.iter_mut().enumerate() {
                tenure.apply_rules(now, group, 0);
                let term = tenure.term(group);
                prop_assert!(term >= *newest, "terms only grow");
                *newest = term;
                if let Some(holder) = tenure.primary(group) {
                    prop_assert_eq!(holder % GROUPS, group);
                    prop_assert!(!barred[holder], "no slot for one that may not be used");
                    prop_assert!(claims[holder].is_some(), "no slot without a claim");
                    prop_assert_eq!(tenure.held_term(holder), term, "the holder's term is the newest");
                }
                for member in (group..MEMBERS).step_by(GROUPS) {
                    prop_assert!(tenure.held_term(member) <= term);
                    prop_assert!(!tenure.trusted(member) || tenure.primary(group) == Some(member));
                }
                let held = tenure.plan(group).is_some_and(|plan| plan.holds_writes());
                prop_assert_eq!(held, tenure.phase(group) == Phase::HandingOver);
                prop_assert!(!held || tenure.writer(group).is_none());
                prop_assert!(!held || tenure.plan_deadline(group).is_some_and(|at| at > now), "no plan outlasts its time");
            }
            let counted: usize = Phase::ALL.iter().map(|&phase| tenure.in_phase(phase)).sum();
            prop_assert_eq!(counted, GROUPS);
        }
        let changes = tenure.take_changes();
        for change in changes.iter().filter(|change| change.to != change.from) {
            prop_assert!(change.to.is_none() || change.term > 0);
        }
    }
}
