//! Who wakes the actors: the worker itself. Another thread that is stopped half-way through handing over what it has woken
//! makes the worker spin until that thread runs again.

use juniperdock_connection::spawn;
use juniperdock_front::clock::Clock;
use std::sync::mpsc::channel;
use std::thread::{ThreadId, current};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(20);
const STACK: usize = 64 << 10;

/// The thread that runs coroutines.
fn worker() -> ThreadId {
    let (tell, told) = channel();
    spawn("who", STACK, move || {
        let _ = tell.send(current().id());
    })
    .expect("a coroutine");
    told.recv_timeout(PATIENCE).expect("it runs")
}

#[test]
fn alarms_ring_on_the_worker() {
    may::config().set_workers(1);
    let (clock, ring) = Clock::start(Duration::ZERO).expect("a clock");
    spawn("clock", STACK, ring).expect("a coroutine");
    let worker = worker();
    let (tell, told) = channel();
    for ms in [0, 1, 5, 30, 60] {
        let tell = tell.clone();
        clock.run_at(clock.now() + Duration::from_millis(ms), move || {
            let _ = tell.send(current().id());
        });
    }
    for _ in 0..5 {
        let ringing = told.recv_timeout(PATIENCE).expect("it rings");
        assert!(ringing == worker, "another thread than the worker's wakes who waits for an alarm");
    }
}
