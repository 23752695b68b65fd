//! Parsing of discovery responses, valid and malformed, from bytes split at any place.

use juniperdock_discovery::{Answer, Failure};
use juniperdock_server_list::ServerList;
use std::collections::VecDeque;

#[test]
fn watch_response_parses_the_same_for_any_split_of_its_bytes() {
    let entry = r#"{"id":"m","addr":"127.0.0.1:5","zone":"a","cell":3,"state":"up","started_ms":0}"#;
    let line = format!("{{\"version\":4,\"full\":true,\"servers\":[{entry}]}}\n\n");
    let (one, two) = line.split_at(30);
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\n\r\n",
        one.len(),
        two.len()
    );
    for piece in [1, 2, 7, 4096] {
        let (mut answer, mut bytes, mut lists) = (Answer::default(), VecDeque::new(), Vec::new());
        for part in text.as_bytes().chunks(piece) {
            bytes.extend(part);
            lists.extend(answer.take(&mut bytes).expect("a good answer"));
        }
        assert_eq!((lists.len(), answer.line_ends, answer.is_complete()), (1, 2, true));
        assert_eq!(lists[0].servers[0].group, 3);
    }
}

#[test]
fn indented_list_is_returned_once_it_is_complete() {
    let entry = r#"{"id":"m}\\\"{","addr":"127.0.0.1:5","cell":3,"state":"up"}"#;
    let line = format!(r#"{{"version":4,"full":true,"servers":[{entry}]}}"#);
    let list = ServerList::parse(line.as_bytes()).expect("a list");
    let text = line.replace(',', ",\n  ").replace('[', "[\n ").replace(']', "\n]");
    let text = format!("HTTP/1.1 200 OK\r\n\r\n\n{text}\n\n{line}\n{}\r\n", text.replace('\n', "\r\n"));
    for piece in [1, 3, 4096] {
        let (mut answer, mut bytes, mut lists) = (Answer::default(), VecDeque::new(), Vec::new());
        for part in text.as_bytes().chunks(piece) {
            bytes.extend(part);
            lists.extend(answer.take(&mut bytes).expect("a good answer"));
        }
        assert_eq!(lists, [list.clone(), list.clone(), list.clone()]);
    }
    // A list that is cut off within a line or after one is incomplete.
    for part in ["{\"version\":1", "{\n \"version\":4,\n"] {
        let mut bytes = VecDeque::from(format!("HTTP/1.1 200 OK\r\n\r\n{part}").into_bytes());
        assert_eq!(Answer::default().take(&mut bytes), Ok(Vec::new()));
    }
}

#[test]
fn malformed_response_is_an_error() {
    for text in [
        "HTTP/1.1 500 no\r\n\r\n",
        "hello\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\n\r\n{\"version\":1\n\n",
        "HTTP/1.1 200 OK\r\n\r\n{\"version\":1}\n",
        "HTTP/1.1 200 OK\r\n\r\n\"version\":1}\n",
        "HTTP/1.1 200 OK\r\n\r\n{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"m\"}]}\n",
    ] {
        let mut bytes = VecDeque::from(text.as_bytes().to_vec());
        assert!(Answer::default().take(&mut bytes).is_err(), "{text:?}");
    }
}

#[test]
fn status_429_and_503_are_reported_as_overload() {
    for (status, overload) in [(503, true), (429, true), (500, false), (404, false)] {
        let mut bytes = VecDeque::from(format!("HTTP/1.1 {status} no\r\n\r\n").into_bytes());
        let failure = Answer::default().take(&mut bytes).expect_err("no list");
        assert_eq!((&failure, failure.is_overload()), (&Failure::Status(status), overload));
    }
}
