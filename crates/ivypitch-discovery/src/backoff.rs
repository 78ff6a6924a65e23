//! How long to wait before the watch is resubscribed: exponential backoff with jitter.

use std::hash::{DefaultHasher, Hash, Hasher};

use ivypitch_types::{MILLISECOND, Nanos};

/// The first retry comes within this time, at random: hundreds of gateways lose a watch in the same moment. Each further
/// one waits up to twice as long.
const INITIAL_BACKOFF: Nanos = 100 * MILLISECOND;
/// Events that are published after an outage must be received within a second.
const MAX_BACKOFF: Nanos = 600 * MILLISECOND;
/// Limits the shift that doubles the backoff.
const MAX_DOUBLINGS: u32 = 16;

pub(crate) struct Backoff {
    /// Retries since the watch was last served.
    retries: u32,
    seed: u64,
    /// Random numbers drawn so far.
    draws: u64,
}

impl Backoff {
    pub(crate) fn new(seed: u64) -> Backoff {
        Backoff {
            retries: 0,
            seed,
            draws: 0,
        }
    }

    /// The watch was served: the next retry is the first again.
    pub(crate) fn reset(&mut self) {
        self.retries = 0;
    }

    /// How long to wait before the next retry.
    pub(crate) fn next(&mut self) -> Nanos {
        let max = INITIAL_BACKOFF
            .saturating_mul(1 << self.retries.min(MAX_DOUBLINGS))
            .min(MAX_BACKOFF);
        self.retries += 1;
        // The first at any time from now on, later ones from half of their time on.
        let min_fraction = if self.retries == 1 { 0.0 } else { 0.5 };
        (max as f64 * (min_fraction + (1.0 - min_fraction) * self.random_fraction())) as Nanos
    }

    /// A reproducible number from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.draws).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}
