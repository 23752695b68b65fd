//! Non-blocking sockets for `may` coroutines. Each is owned by one coroutine, which moves bytes without blocking and
//! then waits for a socket event or for a wake-up by another coroutine. A connection has one bounded ring buffer per
//! direction and uses a single descriptor.

mod connect;
mod timer;

pub use connect::{ConnectError, Connecting};
pub use timer::{Timer, TimerSetter, monotonic, since_boot};

use may::coroutine::Builder;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, UdpSocket};
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

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

/// Whether an error means a temporary shortage of memory or buffers (`send(2)`, `recv(2)`), which gives no information
/// about the connection. It is reported as progress, so that the caller tries again.
fn is_transient(error: &std::io::Error) -> bool {
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

    fn with_socket(io: CoIo<SharedStream>, socket: SharedStream, limits: BufferLimits) -> Link {
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

    /// Whether the last read took all that the kernel had received by then. Only then is it known that the peer has not
    /// ended its stream: its end may be behind bytes that wait on the peer's side for room here.
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

/// A TCP listener whose connections are accepted by one coroutine.
pub struct Listener {
    listener: CoIo<std::net::TcpListener>,
    /// The descriptor was duplicated for another process.
    shared: AtomicBool,
}

impl Listener {
    /// Limit of the kernel's queue of connections that are not accepted yet.
    const BACKLOG: i32 = 1024;
    /// Pause between two attempts to listen.
    const RETRY_INTERVAL: Duration = Duration::from_millis(5);

    /// Listens at an address. If descriptors or buffers are short, retries for up to `retry_for`, blocking the thread.
    pub fn open(at: SocketAddr, retry_for: Duration) -> Result<Listener, String> {
        let started = Instant::now();
        loop {
            match Self::listen(at) {
                Ok(listener) => return Listener::of(listener),
                Err(e) if is_shortage(&e) && started.elapsed() < retry_for => {
                    std::thread::sleep(Self::RETRY_INTERVAL)
                }
                Err(e) => return Err(format!("listening at {at}: {e}")),
            }
        }
    }

    fn listen(at: SocketAddr) -> std::io::Result<std::net::TcpListener> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&at.into())?;
        socket.listen(Self::BACKLOG)?;
        Ok(socket.into())
    }

    /// Wraps a listener that another process opened.
    pub fn of(listener: std::net::TcpListener) -> Result<Listener, String> {
        let new = |listener| Listener { listener, shared: AtomicBool::new(false) };
        CoIo::new(listener).map(new).map_err(|e| format!("listening: {e}"))
    }

    /// Duplicates the descriptor for another process; from then on [`Self::close`] has no effect.
    pub fn descriptor(&self) -> Result<OwnedFd, String> {
        self.shared.store(true, Ordering::Release);
        self.listener.inner().try_clone().map(OwnedFd::from).map_err(|e| format!("listening: {e}"))
    }

    /// Returns a waker for the coroutine that accepts.
    pub fn waker(&self) -> Waker {
        Waker(Arc::new(self.listener.waker()))
    }

    /// Makes the kernel refuse new connections. Connections that are still queued are reset, so they are to be accepted
    /// before. A listener that another process holds too is left open for it.
    pub fn close(&self) {
        if !self.shared.load(Ordering::Acquire) {
            // An error means that it is shut down already.
            let _ = SockRef::from(self.listener.inner()).shutdown(Shutdown::Both);
        }
    }

    /// Accepts the next connection, waiting once if there is none; `None` if it was woken without a connection.
    pub fn next(&self) -> std::io::Result<Option<std::net::TcpStream>> {
        for waited in [false, true] {
            match accept(self.listener.inner()) {
                Ok((stream, _)) => return Ok(Some(stream)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
            if !waited {
                self.listener.wait_io();
            }
        }
        Ok(None)
    }
}

/// Accepts a connection, and repeats a call that a signal interrupted.
fn accept(listener: &std::net::TcpListener) -> std::io::Result<(std::net::TcpStream, SocketAddr)> {
    loop {
        match listener.accept() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            accepted => return accepted,
        }
    }
}

/// A UDP socket owned by one coroutine.
pub struct DatagramSocket(CoIo<UdpSocket>);

impl DatagramSocket {
    /// Binds a socket to an address.
    pub fn open(at: SocketAddr) -> Result<DatagramSocket, String> {
        let failed = |e: &dyn fmt::Display| format!("datagrams at {at}: {e}");
        CoIo::new(UdpSocket::bind(at).map_err(|e| failed(&e))?).map(DatagramSocket).map_err(|e| failed(&e))
    }

    /// Returns a waker for the coroutine that waits on this socket.
    pub fn waker(&self) -> Waker {
        Waker(Arc::new(self.0.waker()))
    }

    /// Receives a datagram without waiting and returns its length and sender. It is truncated to the buffer.
    pub fn receive(&self, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        loop {
            match self.0.inner().recv_from(buffer) {
                Ok(received) => return Some(received),
                // A refusal reports an earlier datagram that had no receiver; it is no datagram itself.
                Err(e) if e.kind() == ErrorKind::Interrupted || e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends a datagram without waiting; one that the kernel does not accept is lost, like one lost on the network.
    pub fn send(&self, to: SocketAddr, datagram: &[u8]) -> bool {
        self.0.inner().send_to(datagram, to).is_ok()
    }

    /// Waits until a datagram arrives or another coroutine wakes this one.
    pub fn wait(&self) {
        self.0.wait_io();
    }
}

/// Yields to the other coroutines.
pub fn yield_now() {
    may::coroutine::yield_now();
}

/// Starts a coroutine with a stack of `stack` bytes.
///
/// # Errors
/// If the system gives no memory for the stack (`mmap(2)`, ENOMEM), for which the coroutine library panics. `body` is
/// dropped then.
pub fn spawn(name: &str, stack: usize, body: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let started = catch_unwind(AssertUnwindSafe(|| start_coroutine(name, stack, body)));
    started
        .unwrap_or_else(|_| Err("no stack could be allocated".to_owned()))
        .map_err(|e| format!("starting {name}: {e}"))
}

/// Coroutines that were started by [`spawn`] and have not ended.
static LIVE_COROUTINES: AtomicUsize = AtomicUsize::new(0);

/// The number of coroutines that were started by [`spawn`] and have not ended: each has a stack.
pub fn live_coroutines() -> usize {
    LIVE_COROUTINES.load(Ordering::Relaxed)
}

/// Counts a coroutine from its start until its body has ended or was dropped.
struct CoroutineCount;

impl CoroutineCount {
    fn new() -> CoroutineCount {
        LIVE_COROUTINES.fetch_add(1, Ordering::Relaxed);
        CoroutineCount
    }
}

impl Drop for CoroutineCount {
    fn drop(&mut self) {
        LIVE_COROUTINES.fetch_sub(1, Ordering::Relaxed);
    }
}

fn start_coroutine(name: &str, stack: usize, body: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let counted = CoroutineCount::new();
    let body = move || {
        let _counted = counted;
        body();
    };
    let builder = Builder::new().name(name.to_owned()).stack_size(stack / size_of::<usize>());
    // SAFETY: `may` requires that a coroutine uses no thread-local across a wait and stays inside its stack. All
    // coroutines run on one worker thread, so a thread-local is the same before and after a wait, and no coroutine
    // holds a borrow of one across a wait. Stacks end in a guard page, and their sizes leave a margin.
    #[allow(unsafe_code)]
    unsafe { builder.spawn(body) }.map(drop).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc::channel;

    /// Opens a connection and returns a link over it.
    fn open(at: SocketAddr, outbound: usize) -> Link {
        let connecting = Connecting::begin(at).expect("a handshake");
        while !connecting.is_up().expect("the handshake succeeds") {
            std::thread::sleep(Duration::from_millis(1));
        }
        connecting.into_link(BufferLimits { inbound: 4096, outbound })
    }

    #[test]
    fn failure_with_unsent_bytes_reports_connection_and_with_none_reports_written() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free address");
        let at = listener.local_addr().expect("an address");
        // More than the kernel buffers for a peer that does not read.
        let long = vec![b'x'; 64 << 20];
        let mut link = open(at, long.len());
        let (peer, _) = listener.accept().expect("a connection");
        link.queue(&long).expect("space in the buffer");
        assert!(link.pump().expect("some bytes are written") && !link.is_flushed());
        drop(peer);
        let failure = loop {
            match link.pump() {
                Ok(_) => std::thread::sleep(Duration::from_millis(1)),
                Err(failure) => break failure,
            }
        };
        assert_eq!(failure.reached, Reached::Connection, "{failure}");
        // All bytes of a short message were handed over, so the peer may have processed it.
        let mut link = open(at, 4096);
        let (peer, _) = listener.accept().expect("a connection");
        link.queue(b"short").expect("space in the buffer");
        assert!(link.pump().expect("all bytes are written") && link.is_flushed());
        drop(peer);
        let failure = loop {
            match link.pump() {
                Ok(_) if link.ended => break Reached::Written,
                Ok(_) => std::thread::sleep(Duration::from_millis(1)),
                Err(failure) => break failure.reached,
            }
        };
        assert_eq!(failure, Reached::Written);
    }

    #[test]
    fn listener_returns_none_when_woken_and_accepts_through_a_duplicated_descriptor() {
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Listener::open(at, Duration::ZERO).expect("a free address");
        let other = std::net::TcpListener::from(listener.descriptor().expect("a descriptor"));
        let at = other.local_addr().expect("an address");
        let (sender, results) = channel();
        let waker = listener.waker();
        spawn("listener", 64 << 10, move || {
            // One connection, then a wake-up without one, then a connection through the duplicated listener.
            let accepted = listener.next().map(|stream| stream.is_some());
            let _ = sender.send(accepted.ok());
            let woken = listener.next().map(|stream| stream.is_some());
            let _ = sender.send(woken.ok());
            drop(listener);
            let listener = Listener::of(other);
            let _ = sender.send(
                listener
                    .and_then(|listener| listener.next().map_err(|e| e.to_string()))
                    .ok()
                    .map(|c| c.is_some()),
            );
        })
        .expect("a coroutine");
        let wait = || results.recv_timeout(Duration::from_secs(20)).expect("a result");
        let _first = std::net::TcpStream::connect(at).expect("a connection");
        assert_eq!(wait(), Some(true));
        waker.wake();
        assert_eq!(wait(), Some(false), "no connection");
        let _second = std::net::TcpStream::connect(at).expect("the listener is still open");
        assert_eq!(wait(), Some(true));
    }

    #[test]
    fn dropped_link_is_unregistered_from_epoll_while_its_duplicate_is_open() {
        use std::os::linux::fs::MetadataExt;
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free address");
        let _peer =
            std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        let link =
            Link::new(listener.accept().expect("a connection").0, BufferLimits { inbound: 9, outbound: 9 })
                .expect("a link");
        let passed_on = link.descriptor().expect("a descriptor");
        let socket =
            std::fs::metadata(format!("/proc/self/fd/{}", passed_on.as_raw_fd())).expect("it is open");
        let registrations = || {
            let open = std::fs::read_dir("/proc/self/fdinfo").expect("descriptors");
            let lines = open.flatten().filter_map(|entry| std::fs::read_to_string(entry.path()).ok());
            let inode = format!("ino:{:x} ", socket.st_ino());
            lines.filter(|text| text.contains("tfd:") && text.contains(&inode)).count()
        };
        assert_eq!(registrations(), 1);
        drop(link);
        assert_eq!(registrations(), 0, "the other descriptor keeps the socket open");
    }
}
