//! Takes clients in: those that the listener has, and those that another process hands over.

use crate::client;
use crate::clients::{MIN_IDLE, SharedClients};
use juniperdock_connection::{BufferLimits, Door, Link, spawn};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// What goes out are answers, each as long as the server's.
const BUFFER_LIMITS: BufferLimits = BufferLimits { inbound: client::MAX_INBOUND, outbound: usize::MAX };

impl SharedClients {
    /// A client counts from here on, however late it comes to run. One that another process had in hand may
    /// be open, and have sent something that is unread.
    pub fn admit(self: Arc<Self>, stream: TcpStream, unread: &[u8], open: bool, skipping: bool) {
        self.counters.clients.add();
        let link = match Link::came(stream, BUFFER_LIMITS) {
            Ok(mut link) => {
                link.inbound.extend(unread);
                link
            }
            Err(why) => {
                slog::debug!(self.log, "a client is gone at once"; "why" => %why);
                return;
            }
        };
        let (slot, has_slot) = self.allocate_slot(link.bell());
        let shared = self.clone();
        if let Err(why) = spawn("client", client::CONNECTION_STACK_BYTES, move || {
            client::run(link, slot, has_slot, open, skipping, shared)
        }) {
            slog::error!(self.log, "no client can be taken in"; "why" => why);
            self.slots().taken.remove(&slot);
        }
    }

    /// Takes clients in as they come, until this front ends: then those that have come, and nobody after them.
    pub fn accept_until_stopped(self: Arc<Self>, door: &Door) {
        self.acceptor_running.store(true, Ordering::Release);
        while !self.stop_accepting.load(Ordering::Acquire) {
            while self.present() >= self.max_clients + self.refusal_slots {
                self.slots().ask_to_leave(self.clock.now(), MIN_IDLE);
                self.pause_accepting();
            }
            match door.next() {
                Ok(Some(stream)) => self.clone().admit(stream, &[], false, false),
                Ok(None) if self.closing.load(Ordering::Relaxed) => {
                    door.shut();
                    break;
                }
                Ok(None) => {}
                Err(why) => {
                    // Out of descriptors in spite of the budget: once more when some may be free.
                    slog::warn!(self.log, "a client was not taken in"; "why" => %why);
                    self.pause_accepting();
                }
            }
        }
        self.acceptor_running.store(false, Ordering::Release);
    }
}
