//! Packets with file descriptors between two processes on one machine, over a pair of Unix sockets that preserve packet
//! boundaries (SOCK_SEQPACKET). Received descriptors are close-on-exec. Calls block the thread, so they must not be
//! used in coroutines.

mod peer;

pub use peer::PeerProcess;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{
    AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketFlags, SocketType, recvmsg, send, sendmsg, socketpair,
};
use rustix::stdio::dup2_stdin;
use std::fs::File;
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};

/// How long a packet is sent again while the kernel lacks memory for it.
const EXHAUSTION_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// One end of a socket pair.
pub struct PacketSocket(OwnedFd);

/// The result of waiting for a packet.
pub enum Received {
    /// A packet, and the descriptor that accompanied it.
    Packet(Vec<u8>, Option<OwnedFd>),
    /// No packet arrived in time.
    TimedOut,
    /// The other end is closed.
    Closed,
}

impl Received {
    /// The packet stays in the socket. The pause keeps callers that wait for it from spinning.
    fn after_exhaustion(timeout: Duration) -> Received {
        std::thread::sleep(RETRY_INTERVAL.min(timeout));
        Received::TimedOut
    }
}

/// Whether the kernel lacked memory, buffers or room for descriptors in transit, which passes.
fn is_exhaustion(error: Errno) -> bool {
    matches!(error, Errno::NOBUFS | Errno::NOMEM | Errno::TOOMANYREFS)
}

impl PacketSocket {
    /// Creates a socket pair. Neither end survives an exec unless it is explicitly passed to the new program.
    pub fn pair() -> Result<(PacketSocket, OwnedFd), String> {
        let pair = socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None);
        let (here, there) = pair.map_err(|e| format!("creating a socket pair: {e}"))?;
        Ok((PacketSocket(here), there))
    }

    /// Wraps an end.
    pub fn from_fd(end: OwnedFd) -> PacketSocket {
        PacketSocket(end)
    }

    /// Takes the end that this process inherited as its standard input, which reads nothing from then on: the end is closed
    /// with what is returned.
    ///
    /// # Errors
    /// If there is no descriptor for it, or /dev/null can't be opened.
    pub fn take_stdin() -> Result<PacketSocket, String> {
        let failed = |e: std::io::Error| format!("standard input: {e}");
        let end = std::io::stdin().as_fd().try_clone_to_owned().map_err(failed)?;
        let nothing = File::open("/dev/null").map_err(failed)?;
        dup2_stdin(&nothing).map_err(|e| failed(e.into()))?;
        Ok(PacketSocket(end))
    }

    /// The process that created this pair of sockets.
    ///
    /// # Errors
    /// If that process has ended, or there is no descriptor for it.
    pub fn peer(&self) -> Result<PeerProcess, String> {
        PeerProcess::of(&self.0)
    }

    /// Sends one packet, optionally with a descriptor. Blocks while the other end does not read.
    ///
    /// # Errors
    /// If the other end is closed, or the kernel has lacked memory for `EXHAUSTION_TIMEOUT`.
    pub fn send(&self, packet: &[u8], fd: Option<&OwnedFd>) -> Result<(), String> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        let fds: Vec<_> = fd.iter().map(|fd| fd.as_fd()).collect();
        if !fds.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(&fds)) {
            return Err("no space for a descriptor in the control message".to_owned());
        }
        let started_at = Instant::now();
        loop {
            match sendmsg(&self.0, &[IoSlice::new(packet)], &mut ancillary, SendFlags::NOSIGNAL) {
                Ok(_) => return Ok(()),
                Err(Errno::INTR) => {}
                Err(e) if is_exhaustion(e) && started_at.elapsed() < EXHAUSTION_TIMEOUT => {
                    std::thread::sleep(RETRY_INTERVAL);
                }
                Err(e) => return Err(format!("sending a packet: {e}")),
            }
        }
    }

    /// Sends one packet if the other end has room for it now; false if it has none.
    ///
    /// # Errors
    /// If the other end is closed.
    pub fn try_send(&self, packet: &[u8]) -> Result<bool, String> {
        let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
        match send(&self.0, packet, flags) {
            Ok(_) => Ok(true),
            Err(Errno::AGAIN | Errno::INTR) => Ok(false),
            Err(e) if is_exhaustion(e) => Ok(false),
            Err(e) => Err(format!("sending a packet: {e}")),
        }
    }

    /// Waits for one packet, at most for `timeout`; less if a call is interrupted, the kernel lacks memory, or the other
    /// end was closed with packets unread. A packet longer than `max_len` is an error.
    pub fn receive(&self, max_len: usize, timeout: Duration) -> Result<Received, String> {
        let timespec = Timespec::try_from(timeout).map_err(|e| format!("timeout out of range: {e}"))?;
        let mut fds = [PollFd::new(&self.0, PollFlags::IN)];
        match poll(&mut fds, Some(&timespec)) {
            Ok(0) | Err(Errno::INTR) => return Ok(Received::TimedOut),
            Ok(_) => {}
            Err(e) if is_exhaustion(e) => return Ok(Received::after_exhaustion(timeout)),
            Err(e) => return Err(format!("waiting for a packet: {e}")),
        }
        let mut packet = vec![0; max_len + 1];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let flags = RecvFlags::CMSG_CLOEXEC;
        let received = match recvmsg(&self.0, &mut [IoSliceMut::new(&mut packet)], &mut ancillary, flags) {
            Ok(received) => received.bytes,
            Err(Errno::INTR) => return Ok(Received::TimedOut),
            // The other end was closed with packets unread. Those it has sent are still to be read, then the closing.
            Err(Errno::CONNRESET) => return Ok(Received::TimedOut),
            Err(e) if is_exhaustion(e) => return Ok(Received::after_exhaustion(timeout)),
            Err(e) => return Err(format!("receiving a packet: {e}")),
        };
        let mut received_fd = None;
        for message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(mut fds) = message {
                received_fd = fds.next();
            }
        }
        match received {
            0 => Ok(Received::Closed),
            n if n > max_len => Err(format!("expected at most {max_len} bytes in a packet")),
            n => {
                packet.truncate(n);
                Ok(Received::Packet(packet, received_fd))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};

    #[test]
    fn descriptor_arrives_with_its_packet_and_closing_is_detected() {
        let (here, there) = PacketSocket::pair().expect("a socket pair");
        let there = PacketSocket::from_fd(there);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free address");
        let mut near = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        let (far, _) = listener.accept().expect("a connection");
        let far: OwnedFd = far.into();
        here.send(b"one", Some(&far)).expect("sent");
        here.send(b"two", None).expect("sent");
        drop(far);
        let timeout = Duration::from_secs(9);
        let Ok(Received::Packet(packet, Some(fd))) = there.receive(10, timeout) else {
            panic!("a descriptor")
        };
        assert_eq!(packet, b"one");
        let mut far = TcpStream::from(fd);
        far.write_all(b"x").expect("it is open");
        let mut byte = [0];
        near.read_exact(&mut byte).expect("it belongs to the same connection");
        assert!(matches!(there.receive(10, timeout), Ok(Received::Packet(packet, None)) if packet == b"two"));
        assert!(matches!(there.receive(10, Duration::ZERO), Ok(Received::TimedOut)));
        here.send(&[0; 11], None).expect("sent");
        assert!(there.receive(10, timeout).is_err());
        assert_eq!(there.try_send(b"three"), Ok(true));
        assert!(
            matches!(here.receive(10, timeout), Ok(Received::Packet(packet, None)) if packet == b"three")
        );
        let sent = (0..10_000).take_while(|_| there.try_send(&[0; 1000]) == Ok(true)).count();
        assert!((1..10_000).contains(&sent), "the other end has no room after {sent} packets");
        drop(here);
        assert!(there.try_send(b"x").is_err());
        while !matches!(there.receive(10, timeout), Ok(Received::Closed)) {}
        assert!(there.send(b"x", None).is_err());
    }

    /// Guards against packets that are lost as their sender has ended without reading all that was sent to it.
    #[test]
    fn packets_of_an_end_that_is_closed_with_packets_unread_arrive() {
        let (here, there) = PacketSocket::pair().expect("a socket pair");
        let there = PacketSocket::from_fd(there);
        let packets = [b"one", b"two"];
        packets.iter().for_each(|packet| here.send(*packet, None).expect("sent"));
        there.send(b"unread", None).expect("sent");
        drop(here);
        let timeout = Duration::from_secs(9);
        let mut arrived = Vec::new();
        loop {
            match there.receive(10, timeout).expect("packets or the closing") {
                Received::Packet(packet, _) => arrived.push(packet),
                Received::TimedOut => {}
                Received::Closed => break,
            }
        }
        assert_eq!(arrived, packets);
    }
}
