//! Opens connections without blocking. A [`Connecting`] is asked after each wake whether its handshake is over; how long
//! that may take is its owner's to decide, by a clock of its own. The connect with a time limit that `may` offers is not
//! used: its I/O timers expire after the worker's ready coroutines have run, and what they wake is not looked at before
//! the next event.

use crate::{Bell, BufferLimits, Link, SharedStream, is_shortage};
use may::io::{CoIo, WaitIo};
use rustix::io::Errno;
use socket2::{Domain, SockAddr, SockRef, Socket, Type};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Why a connection does not come up.
#[derive(Debug)]
pub enum ConnectError {
    /// This machine lacks descriptors, ports, memory or buffers just now: says nothing of the other side, and another
    /// try is worth it.
    LocalShortage(io::Error),
    /// The other side refused the connection, or can't be reached.
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
            ConnectError::LocalShortage(error) => write!(f, "this machine is short: {error}"),
            ConnectError::Failed(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// A connection that is coming up. Dropping it gives it up.
pub struct Connecting {
    // Dropped in this order: the socket is closed last.
    io: CoIo<SharedStream>,
    socket: SharedStream,
    to: SockAddr,
}

impl Connecting {
    /// Sends the first packet of the handshake, and waits for nothing.
    ///
    /// # Errors
    /// Where the machine refuses at once.
    pub fn begin(to: SocketAddr) -> Result<Connecting, ConnectError> {
        let socket =
            Socket::new(Domain::for_address(to), Type::STREAM, None).map_err(ConnectError::from_io)?;
        socket.set_nonblocking(true).map_err(ConnectError::from_io)?;
        let to = SockAddr::from(to);
        poll_handshake(&socket, &to)?;
        let socket = SharedStream(Arc::new(socket.into()));
        // Registered once the handshake is under way: a socket before that counts as hung up.
        let io = CoIo::new(socket.clone()).map_err(|error| ConnectError::from_io(error.into()))?;
        Ok(Connecting { io, socket, to })
    }

    /// Wakes the coroutine that waits for it; of use to the link that it becomes, too.
    pub fn bell(&self) -> Bell {
        Bell(Arc::new(self.io.waker()))
    }

    /// Whether the connection is up by now.
    ///
    /// # Errors
    /// Where the handshake has failed.
    pub fn is_up(&self) -> Result<bool, ConnectError> {
        poll_handshake(&SockRef::from(&*self.socket.0), &self.to)
    }

    /// Waits until the machine has something to tell or the bell rings.
    pub fn wait(&self) {
        self.io.wait_io();
    }

    /// The link over a connection that is up.
    pub fn into_link(self, limits: BufferLimits) -> Link {
        Link::with_socket(self.io, self.socket, limits)
    }
}

/// Begins a handshake, or asks for its state: true once the connection is up (EALREADY, EISCONN of connect(2)). A call
/// that a signal interrupts leaves the handshake under way.
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
