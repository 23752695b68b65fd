//! Chance by named streams: what one part draws shifts no other. Logarithms are of a library, so that a seed
//! plays the same on every machine.

use oorandom::Rand64;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One stream of chance.
#[derive(Clone, Debug)]
pub struct Stream(Rand64);

impl Stream {
    /// The stream of a name, and of a number where several parts have the same one.
    pub fn of(seed: u64, name: &str, number: usize) -> Stream {
        Stream(Rand64::new(u128::from(xxh3_64_with_seed(name.as_bytes(), seed)) << 64 | number as u128))
    }

    /// From 0 up to 1, without it.
    pub fn share(&mut self) -> f64 {
        self.0.rand_float()
    }

    pub fn number(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// Below a number, which is at least 1.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0.rand_range(0..bound.max(1) as u64) as usize
    }

    /// Evenly between two spans.
    pub fn span(&mut self, (min, max): (Duration, Duration)) -> Duration {
        min + max.saturating_sub(min).mul_f64(self.share())
    }

    /// The time to the next of what comes so often a second, independent of all before.
    pub fn gap(&mut self, per_second: f64) -> Duration {
        let gap = -libm::log(1.0 - self.share()) / per_second.max(1e-9);
        Duration::from_secs_f64(gap.min(1e6))
    }
}

/// Draws small numbers more often: the share of `n` goes with 1 / (n + 1)^skew.
#[derive(Clone, Debug)]
pub struct Zipf(Vec<f64>);

impl Zipf {
    /// Over so many numbers; 0 draws all alike.
    pub fn new(count: usize, skew: f64) -> Zipf {
        let mut sum = 0.0;
        let sums = (0..count.max(1)).map(|n| {
            sum += libm::pow(n as f64 + 1.0, -skew);
            sum
        });
        Zipf(sums.collect())
    }

    pub fn draw(&self, stream: &mut Stream) -> usize {
        let at = stream.share() * self.0[self.0.len() - 1];
        self.0.partition_point(|&sum| sum <= at).min(self.0.len() - 1)
    }
}
