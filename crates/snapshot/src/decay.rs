//! How the value of recorded facts decreases with the age of a snapshot.

use std::time::Duration;

/// Half-life of learned speeds and concurrency limits: several times as long as the slowness of a member without
/// traffic is remembered.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Weighs the contents of a snapshot by its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decay {
    age: Duration,
}

impl Decay {
    /// Creates the decay for a snapshot of that age.
    pub fn of(age: Duration) -> Decay {
        Decay { age }
    }

    /// Returns a learned value, moved towards the default for unknown members with the age.
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

    /// Work sent to a cold member counts in full while any of it may lie within the window of that rule.
    pub fn budget_spent(self, work: f64, window: Duration) -> f64 {
        if self.age < window { work } else { 0.0 }
    }
}
