//! Opens connections without blocking. The owner of a [`Connecting`] checks after each wake whether the handshake
//! has finished, and enforces its time limit by its own clock. The connect with a timeout that `may` offers is not
//! used: its I/O timers expire only after the worker's ready coroutines have run, and the coroutines that they wake
//! do not run before the next event.

use crate::{BufferLimits, Link, SharedStream, Waker, is_shortage};
use may::io::{CoIo, WaitIo};
use rustix::io::Errno;
use socket2::{Domain, SockAddr, SockRef, Socket, Type};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Why a connection could not be established.
#[derive(Debug)]
pub enum ConnectError {
    /// This machine temporarily lacks descriptors, ports, memory or buffers. This gives no information about the peer;
    /// the attempt may be repeated.
    LocalShortage(io::Error),
    /// The peer refused the connection or is unreachable.
    Failed(io::Error),
}

impl ConnectError {
    fn from_io(error: io::Error) -> ConnectError {
        // No free port, route cache entry or epoll watch: connect(2), epoll_ctl(2).
        let local = [Errno::ADDRNOTAVAIL, Errno::AGAIN, Errno::NOSPC];
        let is_local = Errno::from_io_error(&error).is_some_and(|error| local.contains(&error));
        if is_local || is_shortage(&error) {
            ConnectError::LocalShortage(error)
        } else {
            ConnectError::Failed(error)
        }
    }
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConnectError::LocalShortage(error) => write!(f, "local resource shortage: {error}"),
            ConnectError::Failed(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// A TCP connection whose handshake is in progress. Dropping it aborts the handshake.
pub struct Connecting {
    // Field order is drop order: the socket is closed last.
    io: CoIo<SharedStream>,
    socket: SharedStream,
    to: SockAddr,
}

impl Connecting {
    /// Starts the handshake without waiting for it.
    ///
    /// # Errors
    /// If the socket can't be created or `connect(2)` fails immediately.
    pub fn begin(to: SocketAddr) -> Result<Connecting, ConnectError> {
        let socket =
            Socket::new(Domain::for_address(to), Type::STREAM, None).map_err(ConnectError::from_io)?;
        socket.set_nonblocking(true).map_err(ConnectError::from_io)?;
        let to = SockAddr::from(to);
        poll_handshake(&socket, &to)?;
        let socket = SharedStream(Arc::new(socket.into()));
        // Registered only after `connect(2)`: epoll reports a hang-up for a socket that is not connecting yet.
        let io = CoIo::new(socket.clone()).map_err(|error| ConnectError::from_io(error.into()))?;
        Ok(Connecting { io, socket, to })
    }

    /// Returns a waker for the coroutine that waits here. It stays valid for the link made by [`Self::into_link`].
    pub fn waker(&self) -> Waker {
        Waker(Arc::new(self.io.waker()))
    }

    /// Whether the connection is established.
    ///
    /// # Errors
    /// If the handshake has failed.
    pub fn is_up(&self) -> Result<bool, ConnectError> {
        poll_handshake(&SockRef::from(&*self.socket.0), &self.to)
    }

    /// Waits for an event on the socket or a wake-up.
    pub fn wait(&self) {
        self.io.wait_io();
    }

    /// Turns an established connection into a link.
    pub fn into_link(self, limits: BufferLimits) -> Link {
        Link::with_socket(self.io, self.socket, limits)
    }
}

/// Starts a handshake or polls its state; true once the connection is established (EALREADY, EISCONN of `connect(2)`).
/// A call that a signal interrupts leaves the handshake in progress.
fn poll_handshake(socket: &Socket, to: &SockAddr) -> Result<bool, ConnectError> {
    loop {
        let Err(error) = socket.connect(to) else { return Ok(true) };
        match Errno::from_io_error(&error) {
            Some(Errno::ISCONN) => return Ok(true),
            Some(Errno::INPROGRESS | Errno::ALREADY) => return Ok(false),
            Some(Errno::INTR) => {}
            _ => return Err(ConnectError::from_io(error)),
        }
    }
}
