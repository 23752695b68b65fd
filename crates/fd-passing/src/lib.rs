//! Packets with descriptors between two processes of one machine, over a pair of Unix sockets that keep the
//! bounds of packets. Every descriptor that comes in closes itself on exec. For threads, not for coroutines:
//! calls wait.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{
    AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketFlags, SocketType, recvmsg, sendmsg, socketpair,
};
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// One end of a line.
pub struct PacketSocket(OwnedFd);

/// What came in.
pub enum Received {
    /// A packet, and the descriptor that came with it.
    Packet(Vec<u8>, Option<OwnedFd>),
    /// Nothing in that time.
    TimedOut,
    /// The other end has ended.
    Closed,
}

impl PacketSocket {
    /// Two ends of a new line. Neither outlives an exec unless it is handed to the new program.
    pub fn pair() -> Result<(PacketSocket, OwnedFd), String> {
        let pair = socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None);
        let (here, there) = pair.map_err(|e| format!("a line: {e}"))?;
        Ok((PacketSocket(here), there))
    }

    /// An end that this process was started with.
    pub fn from_fd(end: OwnedFd) -> PacketSocket {
        PacketSocket(end)
    }

    /// Sends one packet, with a descriptor or without. Waits while the other end does not read; the error
    /// says that it has ended.
    pub fn send(&self, word: &[u8], with: Option<&OwnedFd>) -> Result<(), String> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut extra = SendAncillaryBuffer::new(&mut space);
        let fds: Vec<_> = with.iter().map(|fd| fd.as_fd()).collect();
        if !fds.is_empty() && !extra.push(SendAncillaryMessage::ScmRights(&fds)) {
            return Err("no room for a descriptor".to_owned());
        }
        loop {
            match sendmsg(&self.0, &[IoSlice::new(word)], &mut extra, SendFlags::NOSIGNAL) {
                Ok(_) => return Ok(()),
                Err(Errno::INTR) => {}
                Err(e) => return Err(format!("the other end: {e}")),
            }
        }
    }

    /// Waits for one packet, so long at the longest. A packet longer than `most` is an error.
    pub fn receive(&self, most: usize, wait: Duration) -> Result<Received, String> {
        let limit = Timespec::try_from(wait).map_err(|e| format!("a time: {e}"))?;
        let mut fds = [PollFd::new(&self.0, PollFlags::IN)];
        match poll(&mut fds, Some(&limit)) {
            Ok(0) | Err(Errno::INTR) => return Ok(Received::TimedOut),
            Ok(_) => {}
            Err(e) => return Err(format!("waiting: {e}")),
        }
        let mut word = vec![0; most + 1];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut extra = RecvAncillaryBuffer::new(&mut space);
        let flags = RecvFlags::CMSG_CLOEXEC;
        let got = match recvmsg(&self.0, &mut [IoSliceMut::new(&mut word)], &mut extra, flags) {
            Ok(got) => got.bytes,
            Err(Errno::INTR) => return Ok(Received::TimedOut),
            Err(Errno::CONNRESET) => return Ok(Received::Closed),
            Err(e) => return Err(format!("reading: {e}")),
        };
        let mut with = None;
        for message in extra.drain() {
            if let RecvAncillaryMessage::ScmRights(mut fds) = message {
                with = fds.next();
            }
        }
        match got {
            0 => Ok(Received::Closed),
            n if n > most => Err(format!("expected at most {most} bytes in a packet")),
            n => {
                word.truncate(n);
                Ok(Received::Packet(word, with))
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
    fn a_descriptor_comes_with_its_packet_and_an_end_is_seen() {
        let (here, there) = PacketSocket::pair().expect("a line");
        let there = PacketSocket::from_fd(there);
        let door = TcpListener::bind("127.0.0.1:0").expect("a free address");
        let mut near = TcpStream::connect(door.local_addr().expect("an address")).expect("a connection");
        let (far, _) = door.accept().expect("a connection");
        let far: OwnedFd = far.into();
        here.send(b"one", Some(&far)).expect("sent");
        here.send(b"two", None).expect("sent");
        drop(far);
        let second = Duration::from_secs(9);
        let Ok(Received::Packet(word, Some(fd))) = there.receive(10, second) else { panic!("a descriptor") };
        assert_eq!(word, b"one");
        let mut far = TcpStream::from(fd);
        far.write_all(b"x").expect("it is open");
        let mut byte = [0];
        near.read_exact(&mut byte).expect("and goes to the same place");
        assert!(matches!(there.receive(10, second), Ok(Received::Packet(word, None)) if word == b"two"));
        assert!(matches!(there.receive(10, Duration::ZERO), Ok(Received::TimedOut)));
        here.send(&[0; 11], None).expect("sent");
        assert!(there.receive(10, second).is_err());
        drop(here);
        assert!(matches!(there.receive(10, second), Ok(Received::Closed)));
        assert!(there.send(b"x", None).is_err());
    }
}
