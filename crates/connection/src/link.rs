//! A stream connection with bounded buffers.

use crate::{PeerWatch, SharedStream, Waker, is_hung_up};
use may::io::{CoIo, WaitIo};
use rustix::io::Errno;
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::os::fd::{AsRawFd, OwnedFd};
use std::sync::Arc;
use std::time::Duration;

/// The most bytes of one read call.
const READ_CHUNK: usize = 16 << 10;
/// The largest capacity that an empty buffer keeps during a wait.
const MAX_IDLE_CAPACITY: usize = 4 << 10;

thread_local! {
    /// Where a read puts its bytes first. One for all coroutines of a thread, as none waits while it is in use; on their
    /// stacks it would take memory for each.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_CHUNK].into_boxed_slice());
}

/// How far an attempt got in sending its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reached {
    /// No connection was established.
    Nothing,
    /// A connection was established, but not all bytes were written.
    Connection,
    /// All bytes were handed to the kernel.
    Written,
}

/// Why a connection failed, and how far it got.
#[derive(Debug)]
pub struct Failure {
    pub reached: Reached,
    pub why: String,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} (reached: {:?})", self.why, self.reached)
    }
}

impl std::error::Error for Failure {}

/// Whether an error means a temporary shortage of memory or buffers (`send(2)`, `recv(2)`), which gives no information
/// about the connection. It is reported as progress, so that the caller tries again.
pub fn is_transient(error: &std::io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Buffer limits of a link, in bytes per direction.
#[derive(Clone, Copy, Debug)]
pub struct BufferLimits {
    pub inbound: usize,
    pub outbound: usize,
}

/// A stream connection with bounded buffers, owned by one coroutine.
pub struct Link {
    // Field order is drop order: the socket is closed last.
    io: CoIo<SharedStream>,
    socket: SharedStream,
    /// Bytes received and not consumed yet.
    pub inbound: VecDeque<u8>,
    outbound: VecDeque<u8>,
    limits: BufferLimits,
    /// The end of the peer's stream has been read.
    pub ended: bool,
    /// The last transfer of bytes met a shortage of memory or buffers.
    short: bool,
    /// The last read took all that the kernel had received.
    drained: bool,
}

impl Link {
    /// Wraps a connected stream that was accepted here or received from another process.
    pub fn new(stream: std::net::TcpStream, limits: BufferLimits) -> Result<Link, Failure> {
        let failed = |why: String| Failure { reached: Reached::Nothing, why };
        let socket = SharedStream(Arc::new(stream));
        let io = CoIo::new(socket.clone()).map_err(|e| failed(e.to_string()))?;
        Ok(Link::with_socket(io, socket, limits))
    }

    pub(crate) fn with_socket(io: CoIo<SharedStream>, socket: SharedStream, limits: BufferLimits) -> Link {
        // On failure small messages may be delayed, which is no reason to close the connection.
        let _ = socket.0.set_nodelay(true);
        let (inbound, outbound) = (VecDeque::new(), VecDeque::new());
        Link { io, socket, inbound, outbound, limits, ended: false, short: false, drained: false }
    }

    /// Duplicates the descriptor for another process. Bytes that one of the two reads are lost to the other.
    pub fn descriptor(&self) -> Result<OwnedFd, Failure> {
        let failed = |e: std::io::Error| Failure { reached: Reached::Connection, why: e.to_string() };
        self.socket.0.try_clone().map(OwnedFd::from).map_err(failed)
    }

    /// Returns a waker for the coroutine that waits on this link.
    pub fn waker(&self) -> Waker {
        Waker(Arc::new(self.io.waker()))
    }

    /// Whether all queued bytes have been handed to the kernel.
    pub fn is_flushed(&self) -> bool {
        self.outbound.is_empty()
    }

    /// The number of queued bytes not yet handed to the kernel.
    pub fn unsent(&self) -> usize {
        self.outbound.len()
    }

    /// Whether the kernel has seen the peer's end of stream or its reset, even if bytes before that are still unread:
    /// with a full buffer the end can't be reached by reading. An end that is still in the peer's send buffer, behind
    /// bytes that it can't deliver yet, is not visible here.
    pub fn has_left(&self) -> bool {
        self.ended || is_hung_up(&self.socket.0)
    }

    /// Returns a handle for code outside this coroutine that acts on behalf of the peer.
    pub fn peer_watch(&self) -> PeerWatch {
        PeerWatch(Arc::downgrade(&self.socket.0))
    }

    /// Whether the last transfer met a shortage of memory or buffers. The caller is to pause before it tries again.
    pub fn lacks_memory(&self) -> bool {
        self.short
    }

    /// Whether the last read took all that the kernel had received by then. If not, the peer's end may be behind what is
    /// unread; and after a full receive buffer also behind bytes that the peer's side has not sent for want of room here.
    pub fn is_drained(&self) -> bool {
        self.drained
    }

    /// Stops reading while `inbound` holds this many bytes or more.
    pub fn set_read_limit(&mut self, bytes: usize) {
        self.limits.inbound = bytes;
    }

    /// Appends bytes to the outbound buffer.
    ///
    /// # Errors
    /// If they do not fit into its limit.
    pub fn queue(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        if bytes.len() > self.limits.outbound.saturating_sub(self.outbound.len()) {
            return Err(self.failure("outbound buffer is full: the peer does not read".to_owned()));
        }
        reserve(&mut self.outbound, bytes.len());
        self.outbound.extend(bytes);
        Ok(())
    }

    fn failure(&self, why: String) -> Failure {
        let reached = if self.outbound.is_empty() { Reached::Written } else { Reached::Connection };
        Failure { reached, why }
    }

    /// Writes and reads as much as possible without waiting; true if any bytes moved.
    pub fn pump(&mut self) -> Result<bool, Failure> {
        let moved = self.flush()?;
        Ok(self.read()? || moved)
    }

    /// Writes as much as possible without waiting; reads only if that fails. True if any bytes moved.
    pub fn flush(&mut self) -> Result<bool, Failure> {
        let mut moved = false;
        self.short = false;
        while !self.outbound.is_empty() {
            let (head, _) = self.outbound.as_slices();
            match (&*self.socket.0).write(head) {
                Ok(0) => return Err(self.failure("write returned zero bytes".to_owned())),
                Ok(n) => {
                    self.outbound.drain(..n);
                    moved = true;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_transient(&e) => {
                    self.short = true;
                    return Ok(true);
                }
                // Bytes that the peer sent before the connection ended may still be readable.
                Err(e) => {
                    let failure = self.failure(e.to_string());
                    self.read()?;
                    return Err(failure);
                }
            }
        }
        Ok(moved)
    }

    fn read(&mut self) -> Result<bool, Failure> {
        READ_BUFFER.with_borrow_mut(|buffer| self.read_through(buffer))
    }

    fn read_through(&mut self, piece: &mut [u8]) -> Result<bool, Failure> {
        let mut moved = false;
        self.drained = self.ended;
        while !self.ended && self.inbound.len() < self.limits.inbound {
            let space = piece.len().min(self.limits.inbound - self.inbound.len());
            match (&*self.socket.0).read(&mut piece[..space]) {
                Ok(0) => {
                    (self.ended, self.drained) = (true, true);
                    moved = true;
                }
                Ok(n) => {
                    reserve(&mut self.inbound, n);
                    self.inbound.extend(&piece[..n]);
                    moved = true;
                    // The receive buffer is drained; bytes that arrive later end the next wait at once.
                    if n < space {
                        self.drained = true;
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.drained = true;
                    break;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_transient(&e) => {
                    self.short = true;
                    return Ok(true);
                }
                Err(e) => return Err(self.failure(e.to_string())),
            }
        }
        Ok(moved)
    }

    /// Waits for an event on the socket or a wake-up. Empty buffers that have grown are freed first, so that one large
    /// message does not increase the connection's memory for good.
    pub fn wait(&mut self) {
        for buffer in [&mut self.inbound, &mut self.outbound] {
            if buffer.is_empty() && buffer.capacity() > MAX_IDLE_CAPACITY {
                *buffer = VecDeque::new();
            }
        }
        self.io.wait_io();
    }

    /// Whether the peer's machine has acknowledged all that was handed to the kernel: the send queue holds nothing that
    /// is unsent or not acknowledged (SIOCOUTQ, tcp(7)). True as well where the kernel can't tell.
    pub fn is_acknowledged(&self) -> bool {
        let mut unacknowledged: libc::c_int = 0;
        // SAFETY: the descriptor is open, and the call writes one int to a place that outlives it.
        #[allow(unsafe_code)]
        let status =
            unsafe { libc::ioctl(self.socket.0.as_raw_fd(), libc::TIOCOUTQ, &raw mut unacknowledged) };
        status < 0 || unacknowledged == 0
    }

    /// Sets whether the end of this connection, in whatever way, resets it (SO_LINGER with 0 s, socket(7)). The kernel
    /// then discards what it holds; otherwise it goes on delivering that, also after the process has ended.
    pub fn set_reset_on_close(&self, resets: bool) {
        // The call fails for no stream socket. If it did, the connection would end as by default.
        let _ = SockRef::from(&*self.socket.0).set_linger(resets.then_some(Duration::ZERO));
    }

    /// Shuts down the sending side; bytes already handed to the kernel are still sent.
    pub fn close(&self) {
        // An error means that the connection has already ended; either way nothing more is sent.
        let _ = self.socket.0.shutdown(Shutdown::Write);
    }
}

/// Makes room for further bytes. A large buffer grows by what it needs: twice its size, as by default, would be as much
/// again that nothing was admitted for.
fn reserve(buffer: &mut VecDeque<u8>, bytes: usize) {
    if buffer.len() + bytes > READ_CHUNK {
        buffer.reserve_exact(bytes);
    }
}
