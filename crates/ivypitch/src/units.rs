//! Spans in seconds, and ids as points. Nothing here decides.

use crate::interface::{Nanos, SECOND};
use std::hash::{DefaultHasher, Hash, Hasher};

pub fn seconds(span: Nanos) -> f64 {
    span as f64 / SECOND as f64
}

pub fn nanos(span: f64) -> Nanos {
    (span * SECOND as f64) as Nanos
}

/// The same number from 0 to 1 for the same value, at every gateway.
pub fn unit_hash(value: &impl Hash) -> f64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}

/// Where an id lies on the design's plane.
pub fn point_of(id: u64) -> [f64; 2] {
    [unit_hash(&(id, 0u8)), unit_hash(&(id, 1u8))]
}

/// The number of gateway `me` in the order in which an engine has the gateways: each number goes to one gateway, and
/// two gateways are near each other at some engines only (a multiplier without a factor of their count, and a shift).
pub fn place_of(id: u64, me: usize, gateways: usize) -> usize {
    let draw = |what: u8| (unit_hash(&(id, what)) * gateways as f64) as usize;
    let mut factor = draw(2).max(1);
    while common_factor(factor, gateways) > 1 {
        factor = factor % gateways + 1;
    }
    (factor * me + draw(3)) % gateways.max(1)
}

fn common_factor(a: usize, b: usize) -> usize {
    if b == 0 { a } else { common_factor(b, a % b) }
}

/// A table group on an engine in the words of peers.
pub fn load_tag(engine_id: u64, group: u32) -> u32 {
    (unit_hash(&(engine_id, group)) * f64::from(1u32 << 31)) as u32
}
