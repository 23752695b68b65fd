//! Guards against watches that outlive their agent: their threads would pile up and slow down later tests of the same
//! process.

use juniperdock_test_support::{Agent, TEST_TIMEOUT, WATCH};
use std::io::{Read, Write};
use std::net::TcpStream;

#[test]
fn watches_end_with_their_agent() {
    let agent = Agent::start(WATCH);
    let mut watch = TcpStream::connect(agent.at).expect("cannot connect to the agent");
    watch.set_read_timeout(Some(TEST_TIMEOUT)).expect("cannot set the read timeout");
    watch.write_all(b"GET /watch HTTP/1.1\r\n\r\n").expect("cannot send the request");
    agent.publish("one".to_owned());
    agent.requests.recv_timeout(TEST_TIMEOUT).expect("the agent reports the request");
    let at = agent.at;
    drop(agent);
    let mut received = Vec::new();
    watch.read_to_end(&mut received).expect("the watch ends");
    assert!(received.starts_with(WATCH.as_bytes()));
    let refused = (0..100).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(20));
        TcpStream::connect(at).is_err()
    });
    assert!(refused, "the agent still accepts connections after it was dropped");
}
