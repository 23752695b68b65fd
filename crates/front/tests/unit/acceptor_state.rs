//! A stop of the acceptor and its taking back, in either order.

use super::*;

#[test]
fn stop_that_is_taken_back_before_it_is_noticed_leaves_the_acceptor_running() {
    let state = AcceptorState::default();
    state.request_stop();
    assert_eq!(state.resume(), Resumption::StillRunning);
    assert!(!state.stops_now() && state.is_running());
    assert_eq!(state.resume(), Resumption::NotStopped);
    // The next upgrade stops it as usual.
    state.request_stop();
    assert!(state.stops_now() && !state.is_running());
    assert_eq!(state.resume(), Resumption::Restart);
    assert!(state.is_running());
}

#[test]
fn acceptor_that_has_ended_with_its_process_is_not_started_again() {
    let state = AcceptorState::default();
    state.finish();
    state.request_stop();
    assert_eq!(state.resume(), Resumption::NotStopped);
    assert!(!state.is_running() && !state.stops_now());
}
