//! A queue to an actor that waits on its connection: sending also wakes the actor.

use juniperdock_connection::Waker;
use may::sync::mpsc::Sender;

/// The sending end of an actor's queue, with the actor's waker. Messages are boxed: an empty queue reserves room for 128,
/// and there is one for each client.
pub struct Mailbox<T> {
    pub sender: Sender<Box<T>>,
    pub waker: Waker,
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Mailbox { sender: self.sender.clone(), waker: self.waker.clone() }
    }
}

impl<T> Mailbox<T> {
    /// Sends a message and wakes the actor. If the actor has ended, the message is dropped.
    pub fn post(&self, message: T) {
        let _ = self.sender.send(Box::new(message));
        self.waker.wake();
    }
}
