//! Which gateways get new connections: the platform's front takes one out some time after its SIGTERM.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::processes::engine::timestamp_us;

/// By gateway: new connections come until this time, in microseconds of the system's clock.
pub struct Frontend {
    accepts_until: Vec<AtomicU64>,
}

impl Frontend {
    /// All gateways get connections.
    pub fn new(gateways: usize) -> Frontend {
        Frontend {
            accepts_until: (0..gateways).map(|_| AtomicU64::new(u64::MAX)).collect(),
        }
    }

    /// A gateway gets new connections until this time.
    pub fn close_at(&self, gateway: usize, at: u64) {
        self.accepts_until[gateway].store(at, Ordering::Relaxed);
    }

    /// A gateway serves.
    pub fn open(&self, gateway: usize) {
        self.accepts_until[gateway].store(u64::MAX, Ordering::Relaxed);
    }

    /// Whether a gateway gets new connections now.
    pub fn accepts(&self, gateway: usize) -> bool {
        timestamp_us() < self.accepts_until[gateway].load(Ordering::Relaxed)
    }
}
