//! Mail for an actor that waits on its link: posting rings its waker.

use juniperdock_connection::Bell;
use may::sync::mpsc::Sender;

pub struct Mailbox<T> {
    pub sender: Sender<T>,
    pub waker: Bell,
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Mailbox { sender: self.sender.clone(), waker: self.waker.clone() }
    }
}

impl<T> Mailbox<T> {
    /// Posts to an actor; one that has ended needs no mail any more.
    pub fn post(&self, sender: T) {
        let _ = self.sender.send(sender);
        self.waker.ring();
    }
}
