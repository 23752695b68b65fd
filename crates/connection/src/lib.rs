//! A connection on `may` coroutines. One coroutine owns it: it moves bytes without blocking, then waits until
//! the socket or another's bell wakes it. One bounded ring buffer a direction; no second descriptor.

mod connect;
mod timer;

pub use connect::{ConnectError, Connecting};
pub use timer::{Timer, TimerSetter, monotonic, since_boot};

use may::coroutine::Builder;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, UdpSocket};
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

/// What is read at once, and the most memory that an empty buffer keeps over a wait.
const READ_CHUNK: usize = 4096;

/// How far the bytes of an attempt had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reached {
    /// No connection came up.
    Nothing,
    /// A connection, but not all that was to be written has been.
    Connection,
    /// All that was to be written has been handed to the machine.
    Written,
}

/// Why a connection can't go on, and how far it had come.
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

/// Wakes the coroutine that waits on a link.
#[derive(Clone)]
pub struct Bell(Arc<WaitIoWaker>);

impl Bell {
    pub fn ring(&self) {
        self.0.wakeup();
    }
}

/// The socket of a connection. Its selector lets go of a descriptor only after it has dropped its
/// socket; were that the last one here, the descriptor would be closed by then, and where another process has
/// it too, the machine would go on telling this process of it, at a place in memory that is free again.
#[derive(Clone)]
struct SharedStream(Arc<std::net::TcpStream>);

impl AsRawFd for SharedStream {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_raw_fd()
    }
}

/// Asks the machine whether the other side of a connection that came in has left, without holding the socket open.
#[derive(Clone)]
pub struct PeerWatch(Weak<std::net::TcpStream>);

impl PeerWatch {
    /// The connection is closed here, or the other side has ended its sending or is gone, as far as the machine knows.
    pub fn has_left(&self) -> bool {
        self.0.upgrade().is_none_or(|stream| is_hung_up(&stream))
    }
}

/// A socket that the other side has reset, closed or ended its sending on, also behind bytes that are not read yet.
fn is_hung_up(stream: &std::net::TcpStream) -> bool {
    let hangup_events = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut poll_fds = [PollFd::new(stream, hangup_events)];
    poll(&mut poll_fds, Some(&Timespec::default())).is_ok() && poll_fds[0].revents().intersects(hangup_events)
}

/// The machine is short of something that others use, too (`socket(2)`, `listen(2)`): worth another try.
fn is_shortage(error: &std::io::Error) -> bool {
    let errors = [Errno::NOBUFS, Errno::NOMEM, Errno::NFILE, Errno::MFILE, Errno::INTR];
    Errno::from_io_error(error).is_some_and(|error| errors.contains(&error))
}

/// The machine is short of memory or buffers just now: says nothing of the connection (`send(2)`, `recv(2)`). Told as
/// progress, so that whoever moves bytes tries again.
fn is_transient(error: &std::io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM))
}

/// How much a link keeps each way, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct BufferLimits {
    pub inbound: usize,
    pub outbound: usize,
}

pub struct Link {
    // Dropped in this order: the socket is closed last.
    io: CoIo<SharedStream>,
    socket: SharedStream,
    pub inbound: VecDeque<u8>,
    outbound: VecDeque<u8>,
    limits: BufferLimits,
    /// The other side has ended its sending.
    pub ended: bool,
    /// The machine was short of memory or buffers when bytes were last moved.
    short: bool,
}

impl Link {
    /// A connection that came in, from the listener or from another process.
    pub fn came(stream: std::net::TcpStream, limits: BufferLimits) -> Result<Link, Failure> {
        let failed = |why: String| Failure { reached: Reached::Nothing, why };
        let socket = SharedStream(Arc::new(stream));
        let io = CoIo::new(socket.clone()).map_err(|e| failed(e.to_string()))?;
        Ok(Link::with_socket(io, socket, limits))
    }

    fn with_socket(io: CoIo<SharedStream>, socket: SharedStream, limits: BufferLimits) -> Link {
        // Where it fails, small messages may come later; that is no reason to end the connection.
        let _ = socket.0.set_nodelay(true);
        let (inbound, outbound) = (VecDeque::new(), VecDeque::new());
        Link { io, socket, inbound, outbound, limits, ended: false, short: false }
    }

    /// A descriptor of the same connection, for another process. Whoever reads it takes from the other.
    pub fn descriptor(&self) -> Result<OwnedFd, Failure> {
        let failed = |e: std::io::Error| Failure { reached: Reached::Connection, why: e.to_string() };
        self.socket.0.try_clone().map(OwnedFd::from).map_err(failed)
    }

    pub fn bell(&self) -> Bell {
        Bell(Arc::new(self.io.waker()))
    }

    /// Whether all that was queued has been handed to the machine.
    pub fn flushed(&self) -> bool {
        self.outbound.is_empty()
    }

    pub fn unsent(&self) -> usize {
        self.outbound.len()
    }

    /// Whether the other side has ended its sending or is gone, as far as the machine knows, though bytes before
    /// that end are not read yet: where the buffer is full, its end can't be read. What the other side could not
    /// yet hand over, its end too, is not known here.
    pub fn has_left(&self) -> bool {
        self.ended || is_hung_up(&self.socket.0)
    }

    /// For others who act for the client at the other end.
    pub fn peer_watch(&self) -> PeerWatch {
        PeerWatch(Arc::downgrade(&self.socket.0))
    }

    /// The machine was short of memory or buffers when bytes were last moved: whoever tries again does so after a pause.
    pub fn is_short(&self) -> bool {
        self.short
    }

    /// From now on nothing is read while so many bytes are kept.
    pub fn set_read_limit(&mut self, bytes: usize) {
        self.limits.inbound = bytes;
    }

    pub fn queue(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        if bytes.len() > self.limits.outbound.saturating_sub(self.outbound.len()) {
            return Err(self.failure("the other side does not read".to_owned()));
        }
        self.outbound.extend(bytes);
        Ok(())
    }

    fn failure(&self, why: String) -> Failure {
        let reached = if self.outbound.is_empty() { Reached::Written } else { Reached::Connection };
        Failure { reached, why }
    }

    /// Moves what can be moved both ways without waiting; true if anything moved.
    pub fn pump(&mut self) -> Result<bool, Failure> {
        let moved = self.flush()?;
        Ok(self.read()? || moved)
    }

    /// Hands over what can be without waiting, and reads nothing unless that fails; true if anything moved.
    pub fn flush(&mut self) -> Result<bool, Failure> {
        let mut moved = false;
        self.short = false;
        while !self.outbound.is_empty() {
            let (head, _) = self.outbound.as_slices();
            match (&*self.socket.0).write(head) {
                Ok(0) => return Err(self.failure("nothing can be written".to_owned())),
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
                // What the other side sent before it ended may still be there to be read.
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
        let mut moved = false;
        let mut piece = [0u8; READ_CHUNK];
        while !self.ended && self.inbound.len() < self.limits.inbound {
            let space = piece.len().min(self.limits.inbound - self.inbound.len());
            match (&*self.socket.0).read(&mut piece[..space]) {
                Ok(0) => {
                    self.ended = true;
                    moved = true;
                }
                Ok(n) => {
                    self.inbound.extend(&piece[..n]);
                    moved = true;
                    // All there was; what comes after ends the next wait at once.
                    if n < space {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
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

    /// Waits until the socket has something to tell or the bell rings. One large message does not make a
    /// connection large for the rest of its life.
    pub fn wait(&mut self) {
        for buffer in [&mut self.inbound, &mut self.outbound] {
            if buffer.is_empty() && buffer.capacity() > READ_CHUNK {
                *buffer = VecDeque::new();
            }
        }
        self.io.wait_io();
    }

    /// Ends the sending; what was handed to the machine still goes out.
    pub fn close(&self) {
        // It may have ended already; either way nothing more is sent.
        let _ = self.socket.0.shutdown(Shutdown::Write);
    }
}

/// A listener whose connections are taken in by one coroutine.
pub struct Door {
    listener: CoIo<std::net::TcpListener>,
    /// Another process has it too.
    shared: AtomicBool,
}

impl Door {
    /// Connections beyond this many wait for their turn at the machine's own door.
    const BACKLOG: i32 = 1024;
    /// Between two tries to open one.
    const RETRY_INTERVAL: Duration = Duration::from_millis(5);

    /// Where the machine is short of descriptors or buffers just now it is tried again, for so long. Blocks its thread.
    pub fn open(at: SocketAddr, retry_for: Duration) -> Result<Door, String> {
        let started = Instant::now();
        loop {
            match Self::listen(at) {
                Ok(listener) => return Door::of(listener),
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

    /// One that was opened by another process.
    pub fn of(listener: std::net::TcpListener) -> Result<Door, String> {
        let new = |listener| Door { listener, shared: AtomicBool::new(false) };
        CoIo::new(listener).map(new).map_err(|e| format!("listening: {e}"))
    }

    /// A descriptor of the same listener.
    pub fn descriptor(&self) -> Result<OwnedFd, String> {
        self.shared.store(true, Ordering::Release);
        self.listener.inner().try_clone().map(OwnedFd::from).map_err(|e| format!("listening: {e}"))
    }

    pub fn bell(&self) -> Bell {
        Bell(Arc::new(self.listener.waker()))
    }

    /// From now on the machine refuses who comes. Who has come and was not taken in is reset: they are to be taken
    /// in before. One that another process has too stays open for that.
    pub fn shut(&self) {
        if !self.shared.load(Ordering::Acquire) {
            // One that is shut already stays so.
            let _ = SockRef::from(self.listener.inner()).shutdown(Shutdown::Both);
        }
    }

    /// The next connection; `None` once the bell has rung and none is there.
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

/// Accepts; a call that a signal interrupts is made again, as it says nothing of who waits.
fn accept(listener: &std::net::TcpListener) -> std::io::Result<(std::net::TcpStream, SocketAddr)> {
    loop {
        match listener.accept() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            accepted => return accepted,
        }
    }
}

/// A socket for datagrams, owned by one coroutine.
pub struct Post(CoIo<UdpSocket>);

impl Post {
    pub fn open(at: SocketAddr) -> Result<Post, String> {
        let failed = |e: &dyn fmt::Display| format!("datagrams at {at}: {e}");
        CoIo::new(UdpSocket::bind(at).map_err(|e| failed(&e))?).map(Post).map_err(|e| failed(&e))
    }

    pub fn bell(&self) -> Bell {
        Bell(Arc::new(self.0.waker()))
    }

    /// The next datagram that is there, and whose it is; cut where the buffer ends.
    pub fn receive(&self, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        loop {
            match self.0.inner().recv_from(buffer) {
                Ok(received) => return Some(received),
                // What the machine tells of one that was sent to nobody is no datagram.
                Err(e) if e.kind() == ErrorKind::Interrupted || e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => return None,
            }
        }
    }

    /// Hands a datagram to the machine; one that it does not take is lost, as on the way.
    pub fn send(&self, to: SocketAddr, datagram: &[u8]) -> bool {
        self.0.inner().send_to(datagram, to).is_ok()
    }

    /// Waits until there is something to read or the bell rings.
    pub fn wait(&self) {
        self.0.wait_io();
    }
}

/// Lets the other coroutines run before this one goes on.
pub fn give_way() {
    may::coroutine::yield_now();
}

/// Starts a coroutine with a stack of so many bytes.
pub fn spawn(name: &str, stack: usize, body: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let builder = Builder::new().name(name.to_owned()).stack_size(stack / size_of::<usize>());
    // SAFETY: `may` asks that a coroutine uses no thread-local across a wait and stays inside its stack. All
    // coroutines run on one worker thread, so a thread-local met after a wait is the same one; no actor keeps
    // a borrow of one over a wait. Stacks end in a guard page, and their sizes leave a measured margin.
    #[allow(unsafe_code)]
    unsafe { builder.spawn(body) }.map(drop).map_err(|e| format!("starting {name}: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc::channel;

    /// A link over a connection that is opened here.
    fn open(at: SocketAddr, outbound: usize) -> Link {
        let connecting = Connecting::begin(at).expect("a handshake");
        while !connecting.is_up().expect("it comes up") {
            std::thread::sleep(Duration::from_millis(1));
        }
        connecting.into_link(BufferLimits { inbound: 4096, outbound })
    }

    #[test]
    fn failure_with_unsent_bytes_reports_connection_and_with_none_reports_written() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free address");
        let at = listener.local_addr().expect("an address");
        // More than the machine takes from one that is not read by the other side.
        let long = vec![b'x'; 64 << 20];
        let mut link = open(at, long.len());
        let (peer, _) = listener.accept().expect("a connection");
        link.queue(&long).expect("room");
        assert!(link.pump().expect("some of it goes") && !link.flushed());
        drop(peer);
        let failure = loop {
            match link.pump() {
                Ok(_) => std::thread::sleep(Duration::from_millis(1)),
                Err(failure) => break failure,
            }
        };
        assert_eq!(failure.reached, Reached::Connection, "{failure}");
        // All of a short one was handed over: it may have run.
        let mut link = open(at, 4096);
        let (peer, _) = listener.accept().expect("a connection");
        link.queue(b"short").expect("room");
        assert!(link.pump().expect("it goes") && link.flushed());
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
        let listener = Door::open(at, Duration::ZERO).expect("a free address");
        let other = std::net::TcpListener::from(listener.descriptor().expect("a descriptor"));
        let at = other.local_addr().expect("an address");
        let (sender, results) = channel();
        let waker = listener.bell();
        spawn("door", 64 << 10, move || {
            // One connection, then the bell with nobody there, then one through the same listener taken over.
            let accepted = listener.next().map(|stream| stream.is_some());
            let _ = sender.send(accepted.ok());
            let woken = listener.next().map(|stream| stream.is_some());
            let _ = sender.send(woken.ok());
            drop(listener);
            let listener = Door::of(other);
            let _ = sender.send(
                listener
                    .and_then(|listener| listener.next().map_err(|e| e.to_string()))
                    .ok()
                    .map(|c| c.is_some()),
            );
        })
        .expect("a coroutine");
        let wait = || results.recv_timeout(Duration::from_secs(20)).expect("word");
        let _first = std::net::TcpStream::connect(at).expect("a connection");
        assert_eq!(wait(), Some(true));
        waker.ring();
        assert_eq!(wait(), Some(false), "nobody came");
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
            Link::came(listener.accept().expect("a connection").0, BufferLimits { inbound: 9, outbound: 9 })
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
