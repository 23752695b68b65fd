//! What facts are worth after a while.

use std::time::Duration;

/// Half of what was learnt of speed and room is forgotten in this time: as long as slowness is remembered of
/// a member that nothing is sent to, some times over.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// What a snapshot of a given age is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decay {
    age: Duration,
}

impl Decay {
    pub fn of(age: Duration) -> Decay {
        Decay { age }
    }

    /// A learnt value on its way back to what is assumed of the unknown.
    ///
    /// ```
    /// use juniperdock_snapshot::Decay;
    /// use std::time::Duration;
    ///
    /// let fresh = Decay::of(Duration::ZERO);
    /// let old = Decay::of(Duration::from_secs(10));
    /// assert_eq!((fresh.estimate(8.0, 4.0), old.estimate(8.0, 4.0)), (8.0, 6.0));
    /// ```
    pub fn estimate(self, value: f64, default: f64) -> f64 {
        let remaining = 0.5f64.powf(self.age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        default + (value - default) * remaining
    }

    /// Work sent to a cold member counts in full while any of it may lie inside the rule's window.
    pub fn budget_spent(self, work: f64, window: Duration) -> f64 {
        if self.age < window { work } else { 0.0 }
    }
}
