//! A process of a test that plays the old process of an upgrade, down to its messages.
#![allow(dead_code)] // Not every test file uses all of it.

use juniperdock_fd_passing::{PacketSocket, Received};
use juniperdock_hot_restart::message::{self, MAX_MESSAGE_LEN};
use juniperdock_test_support::{TEST_TIMEOUT, address};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Set for a process of a test that plays an old process: the address at which the front listens.
const PLAYS_OLD_PROCESS: &str = "PLAYS_OLD_PROCESS";

/// The process that plays an old process. Dropping it ends it and the new process that it has started.
pub struct OldProcess {
    pub child: Child,
    pub at: SocketAddr,
}

impl OldProcess {
    /// Starts this test's program again; `role` is the test that plays the old process there.
    pub fn start(role: &str, discovery: SocketAddr, config: &Path) -> OldProcess {
        let at = address();
        let child = Command::new(std::env::current_exe().expect("its own path"))
            .args(["--exact", role])
            .env(PLAYS_OLD_PROCESS, at.to_string())
            .env("GW_LISTEN", at.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("GW_CONFIG", config)
            .env_remove("JUNIPERDOCK_CHARTER")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .process_group(0)
            .spawn()
            .expect("it starts");
        OldProcess { child, at }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for OldProcess {
    fn drop(&mut self) {
        // The new process is in the same process group.
        let group = format!("-{}", self.child.id());
        let _ = Command::new("kill").args(["-KILL", "--", &group]).status();
        self.kill();
    }
}

/// What a process that plays an old process holds.
pub struct Played {
    pub socket: PacketSocket,
    pub listener: TcpListener,
    pub new: Child,
}

impl Played {
    /// Starts the program as the new process, if this process is to play an old one.
    pub fn begin(program: &str) -> Option<Played> {
        let at = std::env::var(PLAYS_OLD_PROCESS).ok()?;
        let listener = TcpListener::bind(at).expect("a free address");
        let (socket, child_socket) = PacketSocket::pair().expect("a socket pair");
        let new = Command::new(program)
            .env("JUNIPERDOCK_TAKES_OVER", "1")
            .stdin(Stdio::from(child_socket))
            .spawn()
            .expect("it starts");
        Some(Played { socket, listener, new })
    }

    pub fn send(&self, packet: &[u8], with: Option<&OwnedFd>) {
        self.socket.send(packet, with).expect("sent");
    }

    fn await_message(&self, letter: u8) {
        match self.socket.receive(MAX_MESSAGE_LEN, TEST_TIMEOUT) {
            Ok(Received::Packet(packet, _)) => assert_eq!(packet.first(), Some(&letter)),
            _ => panic!("expected message {letter:?}"),
        }
    }

    /// Upgrades by the first version of the protocol, to the commit.
    pub fn upgrade(&self) {
        self.await_message(b'h');
        self.send(&message::agree(1), None);
        self.await_message(b'r');
        self.send(&message::memory(&[]), None);
        let listener = self.listener.try_clone().expect("a descriptor").into();
        self.send(&message::listener(), Some(&listener));
        self.send(&message::commit(), None);
    }
}
