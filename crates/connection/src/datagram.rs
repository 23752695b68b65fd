//! Sends and receives datagrams without blocking.

use crate::Waker;
use may::io::{CoIo, WaitIo};
use std::fmt;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

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
