//! The record of a txn beside a plain list of all that happened to it, on long random histories.

use juniperdock_attempt_outcome::{
    AttemptOutcome, Barred, Effect, FinalAnswer, Scope, State, SubmissionHistory, Target,
};
use proptest::prelude::*;
use std::time::Duration;

const ENDINGS: [AttemptOutcome; 11] = [
    AttemptOutcome::Committed,
    AttemptOutcome::Errored,
    AttemptOutcome::Invalid,
    AttemptOutcome::Spoilt,
    AttemptOutcome::Full,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::Dropped,
    AttemptOutcome::Cancelled,
    AttemptOutcome::Moot,
    AttemptOutcome::Misplaced,
];

fn effect() -> impl Strategy<Value = Effect> {
    let window = Duration::from_millis(500);
    prop_oneof![
        Just(Effect::Repeatable),
        Just(Effect::OnceOnly),
        Just(Effect::Referenced { window, scope: Scope::Group }),
        Just(Effect::Referenced { window, scope: Scope::Zone }),
        Just(Effect::Referenced { window, scope: Scope::Everywhere }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sends_and_answers_follow_from_what_happened(
        effect in effect(),
        steps in proptest::collection::vec((0..200u64, 0..3usize, 0..ENDINGS.len() + 4), 1..60),
    ) {
        let (mut fate, mut now) = (SubmissionHistory::new(effect), Duration::from_secs(1));
        // All submissions: when, where, and how they ended.
        let mut all: Vec<(Duration, Target, Option<AttemptOutcome>)> = Vec::new();
        for (wait, where_to, what) in steps {
            now += Duration::from_millis(wait);
            let place = Target { member: where_to, group: where_to / 2, zone: where_to % 2, term: 1 };
            let bars = fate.blocked_at(now, 5, place);
            let out = all.last().is_some_and(|last| last.2.is_none());
            let may = |e: &Option<AttemptOutcome>| e.is_none_or(|e| !e.never_ran());
            let first = all.iter().find(|(_, _, ending)| may(ending)).copied();
            let ran = all.iter().any(|(_, _, ending)| *ending == Some(AttemptOutcome::Committed));
            if let Effect::OnceOnly = effect {
                prop_assert!(bars.is_some() || first.is_none(), "a second effect");
            }
            if let (Effect::Referenced { window, scope }, Some((at, from, _))) = (effect, first) {
                let inside = match scope {
                    Scope::Everywhere => true,
                    Scope::Zone => from.zone == place.zone,
                    Scope::Group => from.group == place.group,
                };
                prop_assert!(bars.is_some() || inside && now < at + window, "outside its scope or window");
                prop_assert_eq!(bars == Some(Barred::OutOfScope), !inside && fate.blocked_everywhere(now, 5).is_none());
            }
            prop_assert!(!out || bars == Some(Barred::IsOut));
            prop_assert!(!ran || bars.is_some());
            prop_assert!(all.len() < 5 || bars.is_some());
            if first.is_none() && !out && all.len() < 5 {
                prop_assert_eq!(bars, None, "nothing forbids it");
            }
            let verdict = fate.final_answer();
            match (effect, first) {
                (Effect::Repeatable, _) | (_, None) => prop_assert_eq!(verdict, FinalAnswer::Decline),
                (Effect::OnceOnly | Effect::Referenced { scope: Scope::Zone | Scope::Group, .. }, Some(_)) => {
                    prop_assert_ne!(verdict, FinalAnswer::Decline, "it may have run");
                }
                _ => {}
            }
            prop_assert_eq!(fate.state() == State::Ran, ran);
            prop_assert_eq!(fate.state() == State::NeverRan, first.is_none() && !out);
            match ENDINGS.get(what) {
                Some(&ending) if out => {
                    prop_assert!(fate.ended(ending).is_some());
                    all.last_mut().expect("one is out").2 = Some(ending);
                }
                Some(&ending) => prop_assert!(fate.ended(ending).is_none()),
                None if bars.is_none() => {
                    fate.sent(now, place);
                    all.push((now, place, None));
                }
                None => {}
            }
            prop_assert_eq!(fate.submissions() as usize, all.len());
        }
    }
}
