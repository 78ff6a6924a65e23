//! Spans in seconds, and ids as points. Nothing here decides.

use ivypitch_types::unit_hash;

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
