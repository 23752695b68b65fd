//! Logs each change of state of a request or connection as one line, at debug level (`JUNIPERDOCK_LOG=debug`). Each
//! line of a request has its number in this process; the first one also has the id that its client gave it. Each
//! closed connection names its reason.

use crate::worker_watchdog::Delay;
use juniperdock_request_guard::{Outstanding, Withheld};
use juniperdock_router::host::AttemptOutcome;
use std::time::Duration;

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, reset it or shut down its sending side.
    ClientLeft,
    /// It failed while bytes were read or written.
    Broken,
    /// The client sent Terminate or a cancel request.
    Terminated,
    /// It was idle for long while many connections were open.
    Idle,
    /// It was idle, and another client needed its slot.
    MadeRoom,
    /// It read no byte of its answer for long.
    NotReading,
    /// There was no slot for it.
    NoSlot,
    /// This process ends.
    ShuttingDown,
    /// It sent something that is no message, or took too long to complete one.
    ProtocolViolation,
    /// Another process serves it now.
    Transferred,
    /// Its actor panicked.
    Panicked,
}

/// Why a connection to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCloseReason {
    /// It could not be opened, or could not be adopted from the previous process.
    NotOpened,
    /// Its last job failed, was cancelled or got an invalid answer.
    Unusable,
    /// The server closed it while it was idle, or it failed.
    EndedWhileIdle,
    /// The server sent bytes that no statement had asked for.
    UnexpectedBytes,
    /// Reads failed for want of memory for so long that the next statement's time was over.
    LacksMemory,
    /// The pool closed it.
    ClosedByPool,
    /// Another process has it now.
    Transferred,
}

/// One change of a request's state.
#[derive(Debug)]
pub enum RequestEvent<'a> {
    Received {
        id: &'a str,
        class: usize,
        /// How long its client still waits.
        left: Duration,
    },
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
    /// All of it has been handed to the operating system.
    Written {
        server: usize,
        connection: u64,
        /// How long the connection had been idle before; `None` if it is new.
        idle_for: Option<Duration>,
    },
    /// Some time after it was begun, not all of it has arrived at the server's machine.
    InTransit {
        server: usize,
        connection: u64,
        valid_until: Duration,
    },
    /// Its connection is reset so that the rest of it, which the operating system may still hold, never arrives.
    Withdrawn {
        server: usize,
        connection: u64,
        why: Withheld,
    },
    /// An attempt has ended.
    AttemptEnded {
        server: usize,
        ending: AttemptOutcome,
    },
    /// Its deadline passed without an answer.
    Overdue,
    Answered {
        answer: &'static str,
    },
    /// Its client has left.
    Abandoned,
}

/// Writes the lines; costs one comparison if they are off.
#[derive(Clone)]
pub struct RequestLog {
    log: slog::Logger,
    enabled: bool,
}

impl RequestLog {
    /// A log that writes if `enabled`.
    pub fn new(log: slog::Logger, enabled: bool) -> RequestLog {
        RequestLog { log, enabled }
    }

    /// Whether lines are written.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// A change of a request's state.
    pub fn request(&self, number: u64, event: RequestEvent) {
        if self.enabled {
            slog::debug!(self.log, "request"; "event" => ?event, "request" => number);
        }
    }

    /// A client's connection has closed: the requests that were taken and not answered, and the bytes of answers and
    /// of requests that were left.
    pub fn client_closed(&self, client: u64, reason: CloseReason, debt: Outstanding) {
        if self.enabled {
            slog::debug!(self.log, "client closed"; "half_read" => debt.half_read, "unsent" => debt.unsent,
                "unanswered" => debt.unanswered, "reason" => ?reason, "client" => client);
        }
    }

    /// A statement of a client that is no sound request.
    pub fn rejected(&self, client: u64, why: &str) {
        if self.enabled {
            slog::debug!(self.log, "rejected"; "why" => why, "client" => client);
        }
    }

    /// A request that came on a client's connection.
    pub fn client_request(&self, client: u64, number: u64) {
        if self.enabled {
            slog::debug!(self.log, "request of client"; "client" => client, "request" => number);
        }
    }

    /// A connection to a server has closed.
    pub fn server_closed(&self, server: usize, connection: u64, why: ServerCloseReason) {
        if self.enabled {
            slog::debug!(self.log, "server connection closed"; "why" => ?why, "connection" => connection, "server" => server);
        }
    }

    /// A watchdog tick was queued for long before it was handled. `idle`: the worker slept meanwhile although work
    /// was ready.
    pub fn tick_delayed(&self, delay: Delay) {
        if self.enabled {
            let us = |span: Duration| span.as_micros() as u64;
            let account = delay.account.unwrap_or_default();
            slog::debug!(self.log, "beat delayed"; "details" => ?delay.details, "idle" => delay.is_idle(), "waited_us" => us(account.waited),
                "ran_us" => us(account.ran), "lay_us" => us(delay.queued_for));
        }
    }

    /// The worker did not run for this long. The kernel's account of the thread (nanoseconds on a processor,
    /// nanoseconds ready and waiting for one, turns; since its start) distinguishes a busy machine from long work of
    /// its own.
    pub fn worker_stalled(&self, stall: Duration) {
        if self.enabled {
            let account = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
            slog::debug!(self.log, "held up"; "ran_waited_turns" => account.trim(), "for_us" => stall.as_micros() as u64);
        }
    }
}
