//! Links and listeners on real sockets.

use juniperdock_connection::{BufferLimits, Connecting, Link, Listener, Reached, spawn};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::sync::mpsc::channel;
use std::time::Duration;

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
    let socket = std::fs::metadata(format!("/proc/self/fd/{}", passed_on.as_raw_fd())).expect("it is open");
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

/// Opens a connection and writes more than the peer's window has room for; returns the link and the peer.
fn open_with_bytes_in_the_kernel() -> (Link, std::net::TcpStream) {
    const RECEIVE_BUFFER: usize = 4096;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free address");
    socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER).expect("a small buffer");
    let mut link = open(listener.local_addr().expect("an address"), 1 << 20);
    let (peer, _) = listener.accept().expect("a connection");
    link.queue(&vec![b'x'; 16 * RECEIVE_BUFFER]).expect("space in the buffer");
    assert!(link.pump().expect("bytes are written") && link.is_flushed() && !link.is_acknowledged());
    (link, peer)
}

#[test]
fn bytes_in_the_kernel_are_acknowledged_once_the_peer_has_read() {
    use std::io::Read;
    let (link, mut peer) = open_with_bytes_in_the_kernel();
    peer.read_exact(&mut vec![0; 64 << 10]).expect("all bytes");
    while !link.is_acknowledged() {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against the kernel delivering what it still holds after the connection was closed.
#[test]
fn reset_on_close_discards_what_the_kernel_holds() {
    use std::io::Read;
    for resets in [true, false] {
        let (link, mut peer) = open_with_bytes_in_the_kernel();
        link.set_reset_on_close(resets);
        drop(link);
        let received = peer.read_exact(&mut vec![0; 64 << 10]);
        assert_eq!(received.is_err(), resets, "{received:?}");
    }
}
