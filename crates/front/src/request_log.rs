//! What becomes of each request and connection, one line of the log for each change of state, at debug level
//! (`JUNIPERDOCK_LOG=debug`). Every line of a request has its number in this process; the first also has the id that its
//! client gave it. Every close names its reason.

use crate::worker_watchdog::Delay;
use juniperdock_request_guard::{Outstanding, Withheld};
use juniperdock_router::host::AttemptOutcome;
use std::time::Duration;

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, reset it or ended its sending.
    ClientLeft,
    /// It broke while bytes were moved.
    Broken,
    /// The client said that it ends.
    Terminated,
    /// It was idle for long while many connections were open.
    Idle,
    /// It was idle, and another client needed its slot.
    MadeRoom,
    /// It took no byte of its answer for long.
    NotReading,
    /// There was no slot for it.
    NoSlot,
    /// This process ends.
    ShuttingDown,
    /// It sent what is no message, or took too long over one.
    ProtocolViolation,
    /// Another process serves it now.
    Transferred,
    /// Its actor failed.
    Panicked,
}

/// One change of a request's state.
#[derive(Debug)]
pub enum RequestEvent<'a> {
    Received {
        id: &'a str,
        class: usize,
        /// What its client still waited for then.
        left: Duration,
    },
    /// Over the limits of its connection: it gets its refusal in its turn.
    OverLimits,
    /// Handed to the dispatcher.
    Started,
    /// Given to a server's pool.
    Assigned {
        server: usize,
        valid_until: Duration,
    },
    /// Not written after all.
    Withheld {
        server: usize,
        why: Withheld,
    },
    /// All of it is handed to the machine.
    Written {
        server: usize,
        connection: u64,
    },
    /// An attempt is over.
    AttemptEnded {
        server: usize,
        ending: AttemptOutcome,
    },
    /// Its deadline passed without an answer.
    Overdue,
    Answered {
        answer: &'static str,
    },
    /// Its client has gone.
    Abandoned,
}

/// Writes the lines; costs one comparison where they are off.
#[derive(Clone)]
pub struct RequestLog {
    log: slog::Logger,
    enabled: bool,
}

impl RequestLog {
    pub fn new(log: slog::Logger, enabled: bool) -> RequestLog {
        RequestLog { log, enabled }
    }

    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    pub fn request(&self, number: u64, event: RequestEvent) {
        if self.enabled {
            slog::debug!(self.log, "request"; "event" => ?event, "request" => number);
        }
    }

    /// The requests that a client's connection has taken and not answered, and the bytes of answers and of requests
    /// that it still held when it ended.
    pub fn client_closed(&self, client: u64, reason: CloseReason, debt: Outstanding) {
        if self.enabled {
            slog::debug!(self.log, "client closed"; "half_read" => debt.half_read, "unsent" => debt.unsent,
                "unanswered" => debt.unanswered, "reason" => ?reason, "client" => client);
        }
    }

    /// A request of a client's connection.
    pub fn client_request(&self, client: u64, number: u64) {
        if self.enabled {
            slog::debug!(self.log, "request of client"; "client" => client, "request" => number);
        }
    }

    pub fn server_closed(&self, server: usize, connection: u64, why: &str) {
        if self.enabled {
            slog::debug!(self.log, "server connection closed"; "why" => why, "connection" => connection, "server" => server);
        }
    }

    /// A beat lay for long before it had its turn. `idle`: the worker slept meanwhile, though work was ready.
    pub fn tick_delayed(&self, delay: Delay) {
        if self.enabled {
            let us = |span: Duration| span.as_micros() as u64;
            let account = delay.account.unwrap_or_default();
            slog::debug!(self.log, "beat delayed"; "details" => ?delay.details, "idle" => delay.is_idle(), "waited_us" => us(account.waited),
                "ran_us" => us(account.ran), "lay_us" => us(delay.queued_for));
        }
    }

    /// The one worker did not run for that long. The kernel's account of the thread (nanoseconds on a processor,
    /// nanoseconds ready and waiting for one, turns; since its start) tells a busy machine from work of its own.
    pub fn worker_stalled(&self, stall: Duration) {
        if self.enabled {
            let account = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
            slog::debug!(self.log, "held up"; "ran_waited_turns" => account.trim(), "for_us" => stall.as_micros() as u64);
        }
    }
}
