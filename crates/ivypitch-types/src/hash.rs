//! Deterministic hashing of values to the unit interval.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Hashes a value to a number in `[0, 1)`. The same value gives the same number in every process.
pub fn hash_to_unit_interval(value: &impl Hash) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    (hasher.finish() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}
