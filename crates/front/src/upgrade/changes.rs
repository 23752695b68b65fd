//! Sends changes of the runtime state to the other process of an upgrade, without waiting for it.

use crate::runtime_state::Update;
use juniperdock_fd_passing::PacketSocket;
use juniperdock_hot_restart::message;
use std::collections::VecDeque;
use std::sync::mpsc::Receiver;

/// Changes that the other process has to be told.
pub(super) struct ChangeSender {
    updates: Receiver<Update>,
    /// Messages for which the other process has had no room yet.
    unsent: VecDeque<Vec<u8>>,
}

impl ChangeSender {
    pub(super) fn new(updates: Receiver<Update>) -> ChangeSender {
        ChangeSender { updates, unsent: VecDeque::new() }
    }

    /// Sends as much as the other process has room for; returns whether that is all.
    ///
    /// # Errors
    /// If the other process has closed the socket, or a change can't be encoded.
    pub(super) fn send(&mut self, socket: &PacketSocket) -> Result<bool, String> {
        while let Ok(update) = self.updates.try_recv() {
            match update {
                Update::Change(change) => self.unsent.extend(message::change(&change.encode()?)),
                Update::InitialStateComplete => self.unsent.push_back(message::state_complete()),
            }
        }
        while let Some(message) = self.unsent.front() {
            if !socket.try_send(message)? {
                return Ok(false);
            }
            self.unsent.pop_front();
        }
        Ok(true)
    }
}
