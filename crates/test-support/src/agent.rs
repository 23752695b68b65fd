//! A discovery service that publishes server lists under the control of a test.

use crate::address;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// A discovery service. It sends every published list, in order, to each watch; watches end when it is dropped.
pub struct Agent {
    pub at: SocketAddr,
    lists: Lists,
    ignores_new: Arc<AtomicBool>,
    /// Request lines received.
    pub requests: Receiver<String>,
}

impl Agent {
    /// Starts to listen. Each response begins with `head`, followed by the lists published so far and by later ones as
    /// they are published.
    pub fn start(head: &'static str) -> Agent {
        let listener = TcpListener::bind(address()).expect("a free address");
        let at = listener.local_addr().expect("an address");
        let lists = Lists::default();
        let (report_sender, requests) = channel();
        let (shared, ignores_new) = (lists.clone(), Arc::<AtomicBool>::default());
        let ignores = ignores_new.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                if shared.have_ended() {
                    break;
                }
                let mut line = String::new();
                let _ = BufReader::new(&stream).read_line(&mut line);
                let _ = report_sender.send(line);
                let (lists, is_ignored) = (shared.clone(), ignores.load(Ordering::SeqCst));
                std::thread::spawn(move || {
                    if is_ignored {
                        return lists.wait_for_end();
                    }
                    if stream.write_all(head.as_bytes()).is_err() {
                        return;
                    }
                    let mut sent = lists.first();
                    while let Some(line) = lists.wait_for(sent) {
                        sent += 1;
                        // Sent as two chunks, so that the front has to join the parts of a line.
                        let (one, two) = line.split_at(line.len() / 2);
                        let chunks =
                            format!("{:x}\r\n{one}\r\n{:x}\r\n{two}\n\r\n", one.len(), two.len() + 1);
                        if stream.write_all(chunks.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Agent { at, lists, ignores_new, requests }
    }

    /// Publishes a list to all watches.
    pub fn publish(&self, list: String) {
        self.lists.publish(list);
    }

    /// Publishes a full list to all watches; later watches begin with it.
    pub fn publish_current(&self, list: String) {
        self.lists.publish_current(list);
    }

    /// Sets whether new watches are taken and get nothing. Those that are open go on.
    pub fn ignore_new_watches(&self, ignore: bool) {
        self.ignores_new.store(ignore, Ordering::SeqCst);
    }

    /// Returns a handle that can publish lists from another thread.
    pub fn lists(&self) -> Lists {
        self.lists.clone()
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.lists.end();
        // A connection wakes the accept loop, which then sees that the agent has ended.
        drop(TcpStream::connect(self.at));
    }
}

#[derive(Default)]
struct Published {
    lines: Vec<String>,
    /// Where a new watch begins.
    first: usize,
    has_ended: bool,
}

/// The lists that an agent publishes; clones share them.
#[derive(Clone, Default)]
pub struct Lists(Arc<(Mutex<Published>, Condvar)>);

impl Lists {
    fn lock(&self) -> MutexGuard<'_, Published> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes a list to all watches.
    pub fn publish(&self, list: String) {
        self.lock().lines.push(list);
        self.0.1.notify_all();
    }

    fn publish_current(&self, list: String) {
        let mut published = self.lock();
        published.first = published.lines.len();
        published.lines.push(list);
        self.0.1.notify_all();
    }

    fn first(&self) -> usize {
        self.lock().first
    }

    fn end(&self) {
        self.lock().has_ended = true;
        self.0.1.notify_all();
    }

    fn have_ended(&self) -> bool {
        self.lock().has_ended
    }

    fn wait_for_end(&self) {
        let has_ended = self.0.1.wait_while(self.lock(), |published| !published.has_ended);
        drop(has_ended.unwrap_or_else(PoisonError::into_inner));
    }

    /// Waits for the list with the given index; returns `None` once the agent has ended.
    fn wait_for(&self, number: usize) -> Option<String> {
        let waits = |published: &mut Published| !published.has_ended && published.lines.len() <= number;
        let published = self.0.1.wait_while(self.lock(), waits).unwrap_or_else(PoisonError::into_inner);
        published.lines.get(number).filter(|_| !published.has_ended).cloned()
    }
}

/// The response head for a watch that succeeds.
pub const WATCH: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One member in a server list.
pub struct Entry<'a> {
    pub id: &'a str,
    pub at: SocketAddr,
    pub cell: u64,
    pub state: &'a str,
    /// Time of its last start, in milliseconds since 1970; 0 if it started long ago.
    pub started: u128,
}

/// Formats a list whose members all belong to one group and started long ago.
pub fn list(version: u64, full: bool, members: &[(&str, SocketAddr, &str)]) -> String {
    let entry = |&(id, at, state)| Entry { id, at, cell: 2, state, started: 0 };
    entries(version, full, &members.iter().map(entry).collect::<Vec<_>>())
}

/// Formats a list of the given members.
pub fn entries(version: u64, full: bool, members: &[Entry]) -> String {
    let entries: Vec<String> = members
        .iter()
        .map(|Entry { id, at, cell, state, started }| {
            format!(
                r#"{{"id":"{id}","addr":"{at}","zone":"a","kind":"k","cell":{cell},"state":"{state}","weight":1.0,"started_ms":{started}}}"#
            )
        })
        .collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}
