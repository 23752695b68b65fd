//! Opens a connection from an actor. The handshake's time limit is a timer of the clock, whoever wants to cancel can
//! wake the actor meanwhile, and the attempt is repeated after a pause while this machine is short of a resource.

use crate::clock::{Clock, SHORTAGE_PAUSE};
use juniperdock_connection::{BufferLimits, ConnectError, Connecting, Link, Waker};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The connection to open.
pub struct ConnectRequest {
    pub to: SocketAddr,
    /// The time limit, by [`Clock::now`].
    pub until: Duration,
    pub limits: BufferLimits,
}

/// Why there is no connection.
#[derive(Debug)]
pub enum ConnectFailure {
    /// The caller cancelled it.
    Cancelled,
    /// The other side did not answer in time.
    TimedOut,
    /// Its time was over before the attempt could start: proves nothing about the other side.
    TooLate,
    /// This machine was short of a resource all the time: proves nothing about the other side.
    LocalShortage(io::Error),
    /// The other side refused it, or is unreachable.
    Failed(io::Error),
}

impl fmt::Display for ConnectFailure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConnectFailure::Cancelled => write!(f, "cancelled"),
            ConnectFailure::TimedOut => write!(f, "timed out"),
            ConnectFailure::TooLate => write!(f, "no time left to connect"),
            ConnectFailure::LocalShortage(error) => write!(f, "this machine is short of resources: {error}"),
            ConnectFailure::Failed(error) => write!(f, "{error}"),
        }
    }
}

/// Connects. `on_started` gets the waker that ends the wait, for whoever cancels; the wait also ends at `until`, even
/// if the connection was up earlier. `cancelled` is called each time that the coroutine wakes.
///
/// # Errors
/// If no connection is up in time, or it is cancelled.
pub fn connect(
    clock: &Clock,
    request: &ConnectRequest,
    on_started: &dyn Fn(Waker),
    cancelled: &dyn Fn() -> bool,
) -> Result<Link, ConnectFailure> {
    let mut shortage = None;
    while !cancelled() {
        let left = request.until.saturating_sub(clock.now());
        if left.is_zero() {
            return Err(shortage.map_or(ConnectFailure::TooLate, ConnectFailure::LocalShortage));
        }
        let attempt = Connecting::begin(request.to)
            .map_err(ConnectFailure::from)
            .and_then(|connecting| await_handshake(clock, connecting, request, on_started, cancelled));
        match attempt {
            Err(ConnectFailure::LocalShortage(error)) => {
                shortage = Some(error);
                clock.pause(SHORTAGE_PAUSE.min(left));
            }
            ended => return ended,
        }
    }
    Err(ConnectFailure::Cancelled)
}

/// Waits until the connection is up, its time is over, or it is cancelled.
fn await_handshake(
    clock: &Clock,
    connecting: Connecting,
    request: &ConnectRequest,
    on_started: &dyn Fn(Waker),
    cancelled: &dyn Fn() -> bool,
) -> Result<Link, ConnectFailure> {
    let waker = connecting.waker();
    on_started(waker.clone());
    clock.run_at(request.until, move || waker.wake());
    while !connecting.is_up()? {
        if cancelled() {
            return Err(ConnectFailure::Cancelled);
        }
        if clock.now() >= request.until {
            return Err(ConnectFailure::TimedOut);
        }
        connecting.wait();
    }
    Ok(connecting.into_link(request.limits))
}

impl From<ConnectError> for ConnectFailure {
    fn from(error: ConnectError) -> ConnectFailure {
        match error {
            ConnectError::LocalShortage(error) => ConnectFailure::LocalShortage(error),
            ConnectError::Failed(error) => ConnectFailure::Failed(error),
        }
    }
}
