//! Compares the history of a txn with a plain list of all events, on long random sequences.

use juniperdock_attempt_outcome::{
    AttemptOutcome, Blocked, Effect, EffectState, FinalAnswer, Scope, SubmissionHistory, Target,
};
use proptest::prelude::*;
use std::time::Duration;

const OUTCOMES: [AttemptOutcome; 11] = [
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
    fn sends_and_answers_follow_from_the_history(
        effect in effect(),
        steps in proptest::collection::vec((0..200u64, 0..3usize, 0..OUTCOMES.len() + 4), 1..60),
    ) {
        let (mut history, mut now) = (SubmissionHistory::new(effect), Duration::from_secs(1));
        // All submissions: time, target and outcome.
        let mut all: Vec<(Duration, Target, Option<AttemptOutcome>)> = Vec::new();
        for (wait, member, action) in steps {
            now += Duration::from_millis(wait);
            let target = Target { member, group: member / 2, zone: member % 2, term: 1 };
            let blocked = history.blocked_at(now, 5, target);
            let in_flight = all.last().is_some_and(|last| last.2.is_none());
            let may_have_run = |e: &Option<AttemptOutcome>| e.is_none_or(|e| !e.never_ran());
            let first = all.iter().find(|(_, _, outcome)| may_have_run(outcome)).copied();
            let ran = all.iter().any(|(_, _, outcome)| *outcome == Some(AttemptOutcome::Committed));
            if let Effect::OnceOnly = effect {
                prop_assert!(blocked.is_some() || first.is_none(), "a second effect is possible");
            }
            if let (Effect::Referenced { window, scope }, Some((at, from, _))) = (effect, first) {
                let inside = match scope {
                    Scope::Everywhere => true,
                    Scope::Zone => from.zone == target.zone,
                    Scope::Group => from.group == target.group,
                };
                prop_assert!(blocked.is_some() || inside && now < at + window, "sent outside its scope or window");
                prop_assert_eq!(
                    blocked == Some(Blocked::OutOfScope),
                    !inside && history.blocked_everywhere(now, 5).is_none()
                );
            }
            prop_assert!(!in_flight || blocked == Some(Blocked::InFlight));
            prop_assert!(!ran || blocked.is_some());
            prop_assert!(all.len() < 5 || blocked.is_some());
            if first.is_none() && !in_flight && all.len() < 5 {
                prop_assert_eq!(blocked, None, "nothing blocks it");
            }
            let final_answer = history.final_answer();
            match (effect, first) {
                (Effect::Repeatable, _) | (_, None) => prop_assert_eq!(final_answer, FinalAnswer::Decline),
                (Effect::OnceOnly | Effect::Referenced { scope: Scope::Zone | Scope::Group, .. }, Some(_)) => {
                    prop_assert_ne!(final_answer, FinalAnswer::Decline, "it may have run");
                }
                _ => {}
            }
            prop_assert_eq!(history.state() == EffectState::Ran, ran);
            prop_assert_eq!(history.state() == EffectState::NeverRan, first.is_none() && !in_flight);
            match OUTCOMES.get(action) {
                Some(&outcome) if in_flight => {
                    prop_assert!(history.ended(outcome).is_some());
                    all.last_mut().expect("one is in flight").2 = Some(outcome);
                }
                Some(&outcome) => prop_assert!(history.ended(outcome).is_none()),
                None if blocked.is_none() => {
                    history.sent(now, target);
                    all.push((now, target, None));
                }
                None => {}
            }
            prop_assert_eq!(history.submissions() as usize, all.len());
        }
    }
}
