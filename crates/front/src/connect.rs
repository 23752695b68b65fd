//! Opens a connection from an actor: waits for the handshake by the clock's alarms, hears its bell while it waits, and
//! tries again after a pause while this machine is short of something.

use crate::clock::{Clock, SHORTAGE_PAUSE};
use juniperdock_connection::{Bell, BufferLimits, ConnectError, Connecting, Link};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A connection that is wanted.
pub struct Wanted {
    pub to: SocketAddr,
    /// By the time of [`Clock::now`]; given up then.
    pub until: Duration,
    pub limits: BufferLimits,
}

/// Why there is none.
#[derive(Debug)]
pub enum NoConnection {
    /// It is not wanted any more.
    Cancelled,
    /// The other side said nothing for so long.
    TimedOut,
    /// Its time was over before it could be begun: says nothing of the other side.
    TooLate,
    /// This machine was short of something all the while: says nothing of the other side.
    LocalShortage(io::Error),
    /// The other side refused it, or can't be reached.
    Failed(io::Error),
}

impl fmt::Display for NoConnection {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            NoConnection::Cancelled => write!(f, "not wanted any more"),
            NoConnection::TimedOut => write!(f, "no answer in time"),
            NoConnection::TooLate => write!(f, "its time was over before"),
            NoConnection::LocalShortage(error) => write!(f, "this machine is short: {error}"),
            NoConnection::Failed(error) => write!(f, "{error}"),
        }
    }
}

/// Connects. `begun` gets the bell that ends the wait, so that whoever cancels can ring it; the bell rings by itself at
/// `until`, then too where the connection is up before. `cancelled` is asked each time that the coroutine wakes.
///
/// # Errors
/// Where no connection is up by then, or it is cancelled.
pub fn connect(
    clock: &Clock,
    wanted: &Wanted,
    begun: &dyn Fn(Bell),
    cancelled: &dyn Fn() -> bool,
) -> Result<Link, NoConnection> {
    let mut shortage = None;
    while !cancelled() {
        let left = wanted.until.saturating_sub(clock.now());
        if left.is_zero() {
            return Err(shortage.map_or(NoConnection::TooLate, NoConnection::LocalShortage));
        }
        let attempt = Connecting::begin(wanted.to)
            .map_err(NoConnection::from)
            .and_then(|connecting| await_handshake(clock, connecting, wanted, begun, cancelled));
        match attempt {
            Err(NoConnection::LocalShortage(error)) => {
                shortage = Some(error);
                clock.pause(SHORTAGE_PAUSE.min(left));
            }
            ended => return ended,
        }
    }
    Err(NoConnection::Cancelled)
}

fn await_handshake(
    clock: &Clock,
    connecting: Connecting,
    wanted: &Wanted,
    begun: &dyn Fn(Bell),
    cancelled: &dyn Fn() -> bool,
) -> Result<Link, NoConnection> {
    let bell = connecting.bell();
    begun(bell.clone());
    clock.run_at(wanted.until, move || bell.ring());
    while !connecting.is_up()? {
        if cancelled() {
            return Err(NoConnection::Cancelled);
        }
        if clock.now() >= wanted.until {
            return Err(NoConnection::TimedOut);
        }
        connecting.wait();
    }
    Ok(connecting.into_link(wanted.limits))
}

impl From<ConnectError> for NoConnection {
    fn from(error: ConnectError) -> NoConnection {
        match error {
            ConnectError::LocalShortage(error) => NoConnection::LocalShortage(error),
            ConnectError::Failed(error) => NoConnection::Failed(error),
        }
    }
}
