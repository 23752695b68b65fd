//! Actors are woken by the worker itself. If another thread were stopped half-way through waking one, the worker
//! would spin until that thread runs again.

use juniperdock_connection::spawn;
use juniperdock_front::clock::Clock;
use std::sync::mpsc::channel;
use std::thread::{ThreadId, current};
use std::time::Duration;

const MAX_WAIT: Duration = Duration::from_secs(20);
const STACK_BYTES: usize = 64 << 10;

/// The thread that runs coroutines.
fn worker() -> ThreadId {
    let (sender, receiver) = channel();
    spawn("who", STACK_BYTES, move || {
        let _ = sender.send(current().id());
    })
    .expect("a coroutine");
    receiver.recv_timeout(MAX_WAIT).expect("it runs")
}

#[test]
fn timers_fire_on_the_worker() {
    may::config().set_workers(1);
    let (clock, run_timers) = Clock::start(Duration::ZERO).expect("a clock");
    spawn("clock", STACK_BYTES, run_timers).expect("a coroutine");
    let worker = worker();
    let (sender, receiver) = channel();
    for ms in [0, 1, 5, 30, 60] {
        let sender = sender.clone();
        clock.run_at(clock.now() + Duration::from_millis(ms), move || {
            let _ = sender.send(current().id());
        });
    }
    for _ in 0..5 {
        let callback_thread = receiver.recv_timeout(MAX_WAIT).expect("it rings");
        assert!(callback_thread == worker, "another thread than the worker's wakes who waits for an alarm");
    }
}
