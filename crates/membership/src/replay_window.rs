//! Protection against replays: each datagram number of an incarnation of a front is accepted once.

/// The newest number received, and which of those before it were.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    newest: u64,
    /// A bit for each number up to the newest, which is the lowest bit.
    received: u128,
}

impl ReplayWindow {
    /// Records a number, counted from 1; false if it came before, or is too old to tell.
    ///
    /// ```
    /// let mut window = juniperdock_membership::ReplayWindow::default();
    /// assert!(window.accept(7) && window.accept(5) && !window.accept(7) && !window.accept(5));
    /// assert!(window.accept(1000) && !window.accept(6) && window.accept(999));
    /// ```
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.newest {
            let ahead = u32::try_from(number - self.newest).unwrap_or(u32::MAX);
            self.received = self.received.checked_shl(ahead).unwrap_or(0) | 1;
            self.newest = number;
            return true;
        }
        let behind = u32::try_from(self.newest - number).unwrap_or(u32::MAX);
        let Some(bit) = 1u128.checked_shl(behind).filter(|_| number > 0) else { return false };
        let is_new = self.received & bit == 0;
        self.received |= bit;
        is_new
    }
}
