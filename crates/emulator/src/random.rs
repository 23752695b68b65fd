//! Random numbers from named streams, so that the draws of one part do not change those of another. Logarithms come
//! from `libm`, so that a seed gives the same run on every machine.

use oorandom::Rand64;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One stream of random numbers.
#[derive(Clone, Debug)]
pub struct Stream(Rand64);

impl Stream {
    /// Creates the stream with a name, and with a number where several parts share the name.
    pub fn of(seed: u64, name: &str, number: usize) -> Stream {
        Stream(Rand64::new(u128::from(xxh3_64_with_seed(name.as_bytes(), seed)) << 64 | number as u128))
    }

    /// A number of [0, 1).
    pub fn share(&mut self) -> f64 {
        self.0.rand_float()
    }

    /// A random 64-bit number.
    pub fn number(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// A number below `bound`; 0 counts as 1.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0.rand_range(0..bound.max(1) as u64) as usize
    }

    /// A duration between two bounds, uniformly distributed.
    pub fn span(&mut self, (min, max): (Duration, Duration)) -> Duration {
        min + max.saturating_sub(min).mul_f64(self.share())
    }

    /// The time to the next event of a Poisson process with this rate.
    pub fn gap(&mut self, per_second: f64) -> Duration {
        let gap = -libm::log(1.0 - self.share()) / per_second.max(1e-9);
        Duration::from_secs_f64(gap.min(1e6))
    }
}

/// Zipf's distribution: the probability of `n` is proportional to 1 / (n + 1)^skew.
#[derive(Clone, Debug)]
pub struct Zipf(Vec<f64>);

impl Zipf {
    /// The distribution over the numbers below `count`. Skew 0 makes it uniform.
    pub fn new(count: usize, skew: f64) -> Zipf {
        let mut sum = 0.0;
        let sums = (0..count.max(1)).map(|n| {
            sum += libm::pow(n as f64 + 1.0, -skew);
            sum
        });
        Zipf(sums.collect())
    }

    /// Draws a number.
    pub fn draw(&self, stream: &mut Stream) -> usize {
        let at = stream.share() * self.0[self.0.len() - 1];
        self.0.partition_point(|&sum| sum <= at).min(self.0.len() - 1)
    }
}
