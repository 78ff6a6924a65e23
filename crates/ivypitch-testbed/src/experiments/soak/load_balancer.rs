//! Tracks which gateways get new connections. The load balancer of the platform removes a gateway
//! some time after its SIGTERM.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::processes::engine::timestamp_us;

/// Models the load balancer in front of the gateways.
pub struct LoadBalancer {
    /// By gateway: the time until which it gets new connections, in microseconds of the system
    /// clock.
    accepts_until: Vec<AtomicU64>,
}

impl LoadBalancer {
    /// All gateways get new connections.
    pub fn new(gateways: usize) -> LoadBalancer {
        LoadBalancer {
            accepts_until: (0..gateways).map(|_| AtomicU64::new(u64::MAX)).collect(),
        }
    }

    /// Sets the time from which a gateway gets no new connections.
    pub fn close_at(&self, gateway: usize, at: u64) {
        self.accepts_until[gateway].store(at, Ordering::Relaxed);
    }

    /// Lets a gateway get new connections again.
    pub fn open(&self, gateway: usize) {
        self.accepts_until[gateway].store(u64::MAX, Ordering::Relaxed);
    }

    /// The gateway gets new connections now.
    pub fn accepts(&self, gateway: usize) -> bool {
        timestamp_us() < self.accepts_until[gateway].load(Ordering::Relaxed)
    }
}
