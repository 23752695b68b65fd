//! Accepts connections without blocking.

use crate::{Waker, is_shortage};
use may::io::{CoIo, WaitIo};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A TCP listener whose connections are accepted by one coroutine.
pub struct Listener {
    listener: CoIo<std::net::TcpListener>,
    /// The descriptor was duplicated for another process.
    shared: AtomicBool,
}

impl Listener {
    /// Limit of the kernel's queue of connections that are not accepted yet.
    pub const BACKLOG: i32 = 1024;
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
        match self.try_next()? {
            None => {
                self.listener.wait_io();
                self.try_next()
            }
            accepted => Ok(accepted),
        }
    }

    /// Accepts the next connection if there is one.
    pub fn try_next(&self) -> std::io::Result<Option<std::net::TcpStream>> {
        match accept(self.listener.inner()) {
            Ok((stream, _)) => Ok(Some(stream)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
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
