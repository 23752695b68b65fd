//! Non-blocking sockets for `may` coroutines. Each is owned by one coroutine, which moves bytes without blocking and
//! then waits for a socket event or for a wake-up by another coroutine. A connection has one bounded ring buffer per
//! direction and uses a single descriptor.

mod connect;
mod coroutine;
mod datagram;
mod link;
mod listener;
mod timer;

pub use connect::{ConnectError, Connecting};
pub use coroutine::{live_coroutines, spawn, yield_now};
pub use datagram::DatagramSocket;
pub use link::{BufferLimits, Failure, Link, Reached, is_transient};
pub use listener::Listener;
pub use timer::{Timer, TimerSetter, monotonic, since_boot};

use may::io::WaitIoWaker;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::{Arc, Weak};

/// Wakes the coroutine that waits on a socket.
#[derive(Clone)]
pub struct Waker(Arc<WaitIoWaker>);

impl Waker {
    /// Wakes the waiting coroutine.
    pub fn wake(&self) {
        self.0.wakeup();
    }
}

/// The socket of a connection, shared so that it outlives its `CoIo`. `CoIo` unregisters the descriptor from epoll only
/// after it has dropped its socket. If that were the last reference, the descriptor would already be closed; where
/// another process holds a duplicate, epoll would go on reporting events to this process, with a pointer to freed
/// memory.
#[derive(Clone)]
struct SharedStream(Arc<std::net::TcpStream>);

impl AsRawFd for SharedStream {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_raw_fd()
    }
}

/// Checks whether the peer of an accepted connection has left, without keeping the socket open.
#[derive(Clone)]
pub struct PeerWatch(Weak<std::net::TcpStream>);

impl PeerWatch {
    /// Whether the connection is closed on this side, or the kernel has seen the peer's end of stream or its reset.
    pub fn has_left(&self) -> bool {
        self.0.upgrade().is_none_or(|stream| is_hung_up(&stream))
    }
}

/// Whether the peer has reset, closed or half-closed the connection, even if bytes before that are still unread.
fn is_hung_up(stream: &std::net::TcpStream) -> bool {
    let hangup_events = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut poll_fds = [PollFd::new(stream, hangup_events)];
    poll(&mut poll_fds, Some(&Timespec::default())).is_ok() && poll_fds[0].revents().intersects(hangup_events)
}

/// Whether an error means a temporary shortage of a shared resource (`socket(2)`, `listen(2)`): a retry may succeed.
fn is_shortage(error: &std::io::Error) -> bool {
    let errors = [Errno::NOBUFS, Errno::NOMEM, Errno::NFILE, Errno::MFILE, Errno::INTR];
    Errno::from_io_error(error).is_some_and(|error| errors.contains(&error))
}
