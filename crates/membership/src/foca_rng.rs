//! Adapter from the project's random number generator to the trait that the membership library expects.

use oorandom::Rand64;
use rand_core::TryRng;
use std::convert::Infallible;

/// Implements `TryRng` over the project's generator.
#[derive(Debug)]
pub struct FocaRng(pub Rand64);

impl TryRng for FocaRng {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok((self.0.rand_u64() >> 32) as u32)
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.rand_u64())
    }

    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Infallible> {
        for piece in bytes.chunks_mut(8) {
            piece.copy_from_slice(&self.0.rand_u64().to_le_bytes()[..piece.len()]);
        }
        Ok(())
    }
}
