//! A fast hasher for keys that are already random 64-bit numbers, such as request ids and block hashes.

use std::hash::{BuildHasherDefault, Hasher};

/// Builds [`NumberHasher`]s.
pub type NumberHash = BuildHasherDefault<NumberHasher>;

/// Multiplies the key by an odd constant and folds the upper half into the lower one.
#[derive(Debug, Default, Clone, Copy)]
pub struct NumberHasher(u64);

/// 2^64 divided by the golden ratio: spreads consecutive numbers over the whole range.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl Hasher for NumberHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u32(&mut self, number: u32) {
        self.write_u64(u64::from(number));
    }

    fn write_usize(&mut self, number: usize) {
        self.write_u64(number as u64);
    }

    fn write_u64(&mut self, number: u64) {
        let product = (self.0 ^ number).wrapping_mul(MULTIPLIER);
        self.0 = product ^ (product >> 32);
    }
}
