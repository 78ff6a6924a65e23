//! Exponential backoff with jitter for resubscribing the watch.

use std::hash::{DefaultHasher, Hash, Hasher};

use ivypitch_types::{MILLISECOND, Nanos};

/// Upper bound of the first backoff, which is random because hundreds of gateways lose their watch
/// at the same moment. The bound doubles with each retry.
const INITIAL_BACKOFF: Nanos = 100 * MILLISECOND;
/// Upper bound of every backoff: events published after an outage must be received within a second.
const MAX_BACKOFF: Nanos = 600 * MILLISECOND;
/// Keeps the shift that doubles the backoff from overflowing.
const MAX_DOUBLINGS: u32 = 16;

pub(crate) struct Backoff {
    /// Retries since the last valid line of the watch.
    retries: u32,
    seed: u64,
    /// Random numbers drawn so far.
    random_draws: u64,
}

impl Backoff {
    pub(crate) fn new(seed: u64) -> Backoff {
        Backoff {
            retries: 0,
            seed,
            random_draws: 0,
        }
    }

    /// Restarts at the initial backoff, because the watch has received a valid line.
    pub(crate) fn reset(&mut self) {
        self.retries = 0;
    }

    /// Returns the time to wait before the next retry, and doubles the bound for the one after it.
    pub(crate) fn next(&mut self) -> Nanos {
        let max = INITIAL_BACKOFF
            .saturating_mul(1 << self.retries.min(MAX_DOUBLINGS))
            .min(MAX_BACKOFF);
        self.retries += 1;
        // The first backoff is jittered over its whole range, later ones over the upper half.
        let min_fraction = if self.retries == 1 { 0.0 } else { 0.5 };
        (max as f64 * (min_fraction + (1.0 - min_fraction) * self.random_fraction())) as Nanos
    }

    /// Returns a reproducible pseudorandom number in 0..1.
    fn random_fraction(&mut self) -> f64 {
        self.random_draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.random_draws).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}
