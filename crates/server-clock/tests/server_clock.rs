//! Compares the estimate with an oracle that knows the real time.

use juniperdock_server_clock::{PositionSample, ServerClock, TOLERANCE, Verdict};
use proptest::prelude::*;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sample(server: usize, position: Duration, primary: bool, now: Duration) -> PositionSample {
    PositionSample { server, position, primary, asked: now, now }
}

#[test]
fn two_primaries_with_future_positions_prove_that_this_process_is_behind() {
    let mut clock = ServerClock::default();
    assert_eq!(clock.judge(sample(1, ms(10_000), true, ms(5))), Verdict::Implausible, "a single server");
    assert_eq!(clock.judge(sample(2, ms(10_002), true, ms(6))), Verdict::Behind(ms(9_996)));
    assert_eq!(clock.judge(sample(1, ms(10_003), true, ms(10_003))), Verdict::Plausible);
}

#[test]
fn a_single_server_is_believed_after_a_while_if_none_contradicts_it() {
    let mut clock = ServerClock::default();
    assert_eq!(clock.judge(sample(1, ms(10_000), true, ms(5))), Verdict::Implausible);
    assert_eq!(clock.judge(sample(1, ms(10_200), true, ms(205))), Verdict::Behind(ms(9_995)));
}

#[test]
fn wrong_servers_do_not_move_a_clock_that_a_primary_confirms() {
    let mut clock = ServerClock::default();
    for at in 1..200 {
        let now = ms(at * 50);
        assert_eq!(clock.judge(sample(0, now - ms(3), true, now)), Verdict::Plausible);
        assert_eq!(clock.judge(sample(1, now + ms(3_600_000), true, now)), Verdict::Implausible);
        assert_eq!(clock.judge(sample(2, now + ms(3_600_001), false, now)), Verdict::Implausible);
    }
    assert_eq!(clock.ahead(), Duration::ZERO);
}

#[test]
fn the_closest_answer_of_a_primary_shows_how_far_the_clock_is_ahead() {
    let mut clock = ServerClock::default();
    let _ = clock.judge(sample(0, ms(0), true, ms(10_500)));
    let _ = clock.judge(sample(0, ms(700), true, ms(10_700)));
    let _ = clock.judge(sample(0, ms(200), true, ms(10_900)));
    assert_eq!(clock.ahead(), ms(10_000));
    let mut right = ServerClock::default();
    let _ = right.judge(sample(0, ms(9_500), true, ms(10_000)));
    assert_eq!(right.ahead(), Duration::ZERO, "a report that is half a second old");
}

/// The longest time, in milliseconds, from a request until its answer is judged.
const MAX_ROUND_TRIP_MS: i64 = 60 + 8;

/// An answer in a random history: the server, the age of its data there, and the time in transit.
type Answer = (usize, u64, u64);

proptest! {
    /// Three primaries and five replicas, all with correct clocks; this process is off by any amount. Once a primary's
    /// answer was judged plausible, no age is underestimated by more than the tolerance.
    #[test]
    fn no_age_is_underestimated(off in -4_000_000i64..4_000_000, answers in prop::collection::vec((0..8usize, 0..800u64, 0..60u64), 1..120)) {
        let answers: Vec<Answer> = answers;
        let start = 10_000_000i64;
        let (mut clock, mut advanced, mut real) = (ServerClock::default(), 0i64, 0i64);
        for (server, lag, travel) in answers {
            let asked = real;
            real += travel as i64 + 7;
            let primary = server < 3;
            // The time here: the real time, plus the error, plus what was corrected.
            let here = |at: i64| ms((start + at + off + advanced) as u64);
            // A primary's position is the present at some time between the request and now.
            let at = if primary { asked + travel as i64 / 2 } else { asked - lag as i64 };
            let position = ms((start + at).max(0) as u64);
            let verdict =
                clock.judge(PositionSample { server, position, primary, asked: here(asked), now: here(real) });
            match verdict {
                Verdict::Behind(by) => {
                    advanced += by.as_millis() as i64;
                    // Never ahead of the real time by more than the longest round trip, which may be that of another
                    // answer.
                    prop_assert!(off + advanced <= MAX_ROUND_TRIP_MS, "{off} {advanced}");
                }
                Verdict::Plausible if primary => {
                    let behind = -(off + advanced);
                    // Plausible: behind by at most the time in transit and the tolerance.
                    prop_assert!(behind <= travel as i64 + 8 + TOLERANCE.as_millis() as i64, "{behind}");
                }
                _ => {}
            }
        }
    }
}
