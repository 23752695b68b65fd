//! How long a front waits before it calls a discovery service that has reported to be overloaded.
//!
//! All fronts lose their watches at the same time. If discovery needs some seconds to serve one call of each of them,
//! and each retries several times a second, refusals alone keep it busy. Exponential backoff with jitter lets it serve
//! them one after the other (RFC 9110 leaves the wait to the client if there is no Retry-After).

use oorandom::Rand64;
use std::time::Duration;

/// Upper bound of the first wait.
const MIN_WAIT: Duration = Duration::from_millis(500);
/// The longest wait. A change must be known 6 s after discovery is reachable, and a call may be given up after 1.5 s.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// Waits that double while calls are refused.
#[derive(Debug)]
pub struct Backoff {
    random: Rand64,
    wait: Duration,
}

impl Backoff {
    /// Starts with the shortest wait.
    pub fn new(seed: u64) -> Backoff {
        Backoff { random: Rand64::new(u128::from(seed)), wait: MIN_WAIT }
    }

    /// The wait after another refusal. Half of it is random, so that fronts do not retry in step.
    pub fn next_wait(&mut self) -> Duration {
        let wait = self.wait.mul_f64(0.5 + self.random.rand_float() / 2.0);
        self.wait = (self.wait * 2).min(MAX_WAIT);
        wait
    }

    /// Records that a call was served.
    pub fn reset(&mut self) {
        self.wait = MIN_WAIT;
    }
}
