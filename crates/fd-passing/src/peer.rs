//! The process at the other end of a socket.

use rustix::event::{PollFd, PollFlags, poll};
use rustix::io::Errno;
use rustix::net::sockopt::socket_peercred;
use rustix::process::{PidfdFlags, pidfd_open};
use std::os::fd::{AsFd, OwnedFd};

/// A process, referred to by a descriptor (pidfd_open(2)): unlike its id, it never refers to another process later.
pub struct PeerProcess(OwnedFd);

impl PeerProcess {
    /// The process that connected this socket, or created the pair to which it belongs.
    pub(crate) fn of(socket: &impl AsFd) -> Result<PeerProcess, String> {
        let credentials =
            socket_peercred(socket).map_err(|e| format!("credentials of a socket's peer: {e}"))?;
        let process = pidfd_open(credentials.pid, PidfdFlags::empty());
        process.map(PeerProcess).map_err(|e| format!("descriptor of a socket's peer: {e}"))
    }

    /// Blocks until the process has ended.
    ///
    /// # Errors
    /// If the operating system can't wait for it.
    pub fn wait_for_end(&self) -> Result<(), String> {
        loop {
            match poll(&mut [PollFd::new(&self.0, PollFlags::IN)], None) {
                Ok(_) => return Ok(()),
                Err(Errno::INTR) => {}
                Err(e) => return Err(format!("waiting for the end of a process: {e}")),
            }
        }
    }
}
