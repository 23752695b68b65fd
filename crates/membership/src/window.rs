//! Which datagrams of one life of a front have come: each number counts once.

/// The newest number that came, and which of those before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    newest: u64,
    /// A bit for each of the numbers up to the newest, the newest lowest.
    came: u128,
}

impl Window {
    /// Notes a number, counted from 1; false if it came before, or is so old that this can't be told.
    ///
    /// ```
    /// let mut window = juniperdock_membership::Window::default();
    /// assert!(window.take(7) && window.take(5) && !window.take(7) && !window.take(5));
    /// assert!(window.take(1000) && !window.take(6) && window.take(999));
    /// ```
    pub fn take(&mut self, number: u64) -> bool {
        if number > self.newest {
            let ahead = u32::try_from(number - self.newest).unwrap_or(u32::MAX);
            self.came = self.came.checked_shl(ahead).unwrap_or(0) | 1;
            self.newest = number;
            return true;
        }
        let behind = u32::try_from(self.newest - number).unwrap_or(u32::MAX);
        let Some(bit) = 1u128.checked_shl(behind).filter(|_| number > 0) else { return false };
        let new = self.came & bit == 0;
        self.came |= bit;
        new
    }
}
