//! Accepts clients: new ones from the listener, and those that another process hands over.

use crate::client;
use crate::clients::{MIN_IDLE, SharedClients};
use juniperdock_connection::{BufferLimits, Link, Listener, spawn};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Clients that are accepted in a row before other coroutines get a turn.
const ACCEPTED_PER_TURN: u32 = 16;

/// Outbound bytes are answers, which the pipeline limits and members' answers bound.
const BUFFER_LIMITS: BufferLimits = BufferLimits { inbound: client::READ_AHEAD, outbound: usize::MAX };

impl SharedClients {
    /// Starts a client's actor; the client counts as present from here on, however late the actor runs. For a client
    /// from another process: `unread` is what it has sent and is not used yet, `open` says whether its startup is
    /// done, `skipping` whether messages are skipped up to Sync. Returns false if no actor could be started: the
    /// connection is closed then.
    pub fn admit(self: Arc<Self>, stream: TcpStream, unread: &[u8], open: bool, skipping: bool) -> bool {
        self.counters.clients.add();
        let link = match Link::new(stream, BUFFER_LIMITS) {
            Ok(mut link) => {
                link.inbound.extend(unread);
                link
            }
            Err(why) => {
                slog::debug!(self.log, "the connection to a new client failed"; "why" => %why);
                return false;
            }
        };
        let (slot, has_slot) = self.allocate_slot(link.waker());
        let shared = self.clone();
        let started = spawn("client", client::CONNECTION_STACK_BYTES, move || {
            client::run(link, slot, has_slot, open, skipping, shared)
        });
        if let Err(why) = &started {
            slog::error!(self.log, "the actor of a client can't be started"; "why" => why);
            self.slots().taken.remove(&slot);
        }
        started.is_ok()
    }

    /// Accepts clients until another process does or this process ends; at its end, clients that are already connected are
    /// still accepted, then the listener is closed.
    pub fn accept_until_stopped(self: Arc<Self>, door: &Listener) {
        let (mut in_a_row, mut accepted_at_end) = (0, 0);
        while !self.acceptor.stops_now() {
            while self.present() >= self.max_clients + self.refusal_slots {
                self.slots().ask_to_leave(self.clock.now(), MIN_IDLE);
                self.pause_accepting();
            }
            let ends = self.closing.load(Ordering::Relaxed);
            // At the end it must not wait: further clients may keep coming for as long as the listener is open.
            let accepted = if ends { door.try_next() } else { door.next() };
            match accepted {
                // All that had come when the end began have been accepted by then.
                Ok(Some(_)) if accepted_at_end > Listener::BACKLOG => {
                    door.close();
                    return self.acceptor.finish();
                }
                Ok(Some(stream)) => {
                    in_a_row += 1;
                    accepted_at_end += i32::from(ends);
                    if !self.clone().admit(stream, &[], false, false) {
                        self.pause_accepting();
                    } else if in_a_row % ACCEPTED_PER_TURN == 0 {
                        self.clock.yield_to_others();
                    }
                }
                Ok(None) if ends => {
                    door.close();
                    return self.acceptor.finish();
                }
                Ok(None) => in_a_row = 0,
                Err(why) => {
                    // Out of descriptors despite the budget: try again when some may be free.
                    slog::warn!(self.log, "a client can't be accepted"; "why" => %why);
                    self.pause_accepting();
                }
            }
        }
    }
}
