//! A connection on `may` coroutines. One coroutine owns it: it moves bytes without blocking, then waits until
//! the socket or another's bell wakes it. One bounded ring buffer a direction; no second descriptor.

use may::coroutine::Builder;
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use std::collections::VecDeque;
use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// What is read at once, and the most memory that an empty buffer keeps over a wait.
const PIECE: usize = 4096;

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

pub struct Link {
    stream: TcpStream,
    pub inbound: VecDeque<u8>,
    outbound: VecDeque<u8>,
    most_in: usize,
    most_out: usize,
    /// The other side has ended its sending.
    pub ended: bool,
}

impl Link {
    /// The most bytes kept of what comes in, and of what goes out.
    pub fn new(stream: TcpStream, most_in: usize, most_out: usize) -> Result<Link, Failure> {
        let failed = |e: std::io::Error| Failure { reached: Reached::Nothing, why: e.to_string() };
        stream.set_nodelay(true).map_err(failed)?;
        let (inbound, outbound) = (VecDeque::new(), VecDeque::new());
        Ok(Link { stream, inbound, outbound, most_in, most_out, ended: false })
    }

    pub fn connect(
        to: SocketAddr,
        limit: Duration,
        most_in: usize,
        most_out: usize,
    ) -> Result<Link, Failure> {
        let failed = |e: std::io::Error| Failure { reached: Reached::Nothing, why: format!("to {to}: {e}") };
        Link::new(TcpStream::connect_timeout(&to, limit).map_err(failed)?, most_in, most_out)
    }

    pub fn bell(&self) -> Bell {
        Bell(Arc::new(self.stream.waker()))
    }

    /// Whether all that was queued has been handed to the machine.
    pub fn flushed(&self) -> bool {
        self.outbound.is_empty()
    }

    pub fn unsent(&self) -> usize {
        self.outbound.len()
    }

    pub fn queue(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        if bytes.len() > self.most_out.saturating_sub(self.outbound.len()) {
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
        let mut moved = false;
        while !self.outbound.is_empty() {
            let (head, _) = self.outbound.as_slices();
            match self.stream.inner().write(head) {
                Ok(0) => return Err(self.failure("nothing can be written".to_owned())),
                Ok(n) => {
                    self.outbound.drain(..n);
                    moved = true;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // What the other side sent before it ended may still be there to be read.
                Err(e) => {
                    let lost = self.failure(e.to_string());
                    self.read()?;
                    return Err(lost);
                }
            }
        }
        Ok(self.read()? || moved)
    }

    fn read(&mut self) -> Result<bool, Failure> {
        let mut moved = false;
        let mut piece = [0u8; PIECE];
        while !self.ended && self.inbound.len() < self.most_in {
            let room = piece.len().min(self.most_in - self.inbound.len());
            match self.stream.inner().read(&mut piece[..room]) {
                Ok(0) => {
                    self.ended = true;
                    moved = true;
                }
                Ok(n) => {
                    self.inbound.extend(&piece[..n]);
                    moved = true;
                    // All there was; what comes after ends the next wait at once.
                    if n < room {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(self.failure(e.to_string())),
            }
        }
        Ok(moved)
    }

    /// Waits until the socket has something to tell or the bell rings. One large message does not make a
    /// connection large for the rest of its life.
    pub fn wait(&mut self) {
        for buffer in [&mut self.inbound, &mut self.outbound] {
            if buffer.is_empty() && buffer.capacity() > PIECE {
                *buffer = VecDeque::new();
            }
        }
        self.stream.wait_io();
    }

    /// Ends the sending; what was handed to the machine still goes out.
    pub fn close(&self) {
        // It may have ended already; either way nothing more is sent.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
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
