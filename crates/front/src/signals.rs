//! Signal handling: SIGUSR1 prints the counters, SIGHUP reloads the configuration, SIGTERM stops the front once all
//! accepted requests are answered. A process that was replaced and ends still passes both on.

use crate::clients::SharedClients;
use crate::messages::MembershipMessage;
use crate::reload::Reloader;
use crate::signal_waiter::SignalWaiter;
use crate::standard_error::LinePrinter;
use crate::threads;
use juniperdock_connection::{Listener, Waker};
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use std::sync::Arc;
use std::time::Duration;

/// After SIGTERM clients may still arrive for 0.4 s. After this delay those between txns are disconnected with a
/// notice.
const CLOSE_DELAY: Duration = Duration::from_millis(450);

/// The signals that [`follow`] handles.
pub const HANDLED: [i32; 3] = [SIGHUP, SIGTERM, SIGUSR1];
/// Limit on the time for open requests: a supervisor may kill the process this long and 0.7 s after SIGTERM, however
/// long a request may take.
const MAX_SHUTDOWN: Duration = Duration::from_secs(3);
/// Time for the last answers to be sent.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for the counters to be written at the end.
const FINAL_PRINT_TIMEOUT: Duration = Duration::from_millis(100);

/// Waits until the acceptor has stopped and all clients have disconnected, at most until `deadline`.
fn await_clients(clients: &SharedClients, deadline: Duration) {
    while (clients.acceptor.is_running() || clients.present() > 0) && clients.clock.now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Wakes an actor from this thread.
fn wake(clients: &SharedClients, waker: Waker) {
    clients.clock.run_at(Duration::ZERO, move || waker.wake());
}

/// Goes on handling signals while this process ends: another one may serve in its place.
fn pass_on(mut signals: SignalWaiter, reloader: Arc<Reloader>) {
    let log = reloader.clients.log.clone();
    let started = threads::start("signals", move || {
        loop {
            match signals.wait() {
                SIGHUP => reloader.reload(None),
                SIGTERM => reloader.runtime_state.terminate(),
                _ => {}
            }
        }
    });
    if let Err(why) = started {
        slog::warn!(log, "signals are not followed any more"; "why" => why);
    }
}

/// Handles signals until SIGTERM, then shuts down: answers open requests for at most `max_request_time`.
pub fn follow(
    mut signals: SignalWaiter,
    reloader: &Arc<Reloader>,
    listener: &Listener,
    max_request_time: Duration,
) {
    let (clients, counters) = (&reloader.clients, &reloader.clients.counters);
    let mut printer = LinePrinter::default();
    loop {
        match signals.wait() {
            SIGUSR1 => printer.print(format!("counters: {counters}")),
            SIGHUP => reloader.reload(None),
            _ => break,
        }
    }
    if !reloader.runtime_state.is_replaced() {
        reloader.runtime_state.terminate();
    }
    pass_on(signals, reloader.clone());
    // All deadlines count from here, so that a delay of this thread does not postpone the later steps.
    let terminated_at = clients.clock.now();
    let close_at = terminated_at + CLOSE_DELAY;
    let answer_deadline = close_at + max_request_time.min(MAX_SHUTDOWN);
    clients.send_to_membership(MembershipMessage::Leave);
    std::thread::sleep(close_at.saturating_sub(clients.clock.now()));
    clients.close();
    // The acceptor accepts the clients that have arrived by now, and closes the listener.
    wake(clients, listener.waker());
    await_clients(clients, answer_deadline);
    clients.answer_all_now();
    await_clients(clients, clients.clock.now() + FINAL_ANSWER_TIMEOUT);
    printer.await_written(FINAL_PRINT_TIMEOUT);
    printer.print(format!("counters: {counters}"));
    printer.await_written(FINAL_PRINT_TIMEOUT);
}
