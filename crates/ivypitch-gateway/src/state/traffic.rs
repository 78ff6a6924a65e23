//! Counters of the bytes exchanged with engines, other gateways and the discovery service.
//!
//! They cover payloads as passed to and from the operating system, without IP, UDP and TCP headers,
//! since the process started. Field names are keys of the JSON that `SHOW FLEET` returns.

use std::cell::Cell;

use serde::Serialize;

/// Traffic with one kind of peer, in both directions.
#[derive(Debug, Default, Serialize)]
pub struct TrafficCounter {
    bytes_out: Cell<u64>,
    bytes_in: Cell<u64>,
    /// Datagrams sent, or writes to connections.
    sends: Cell<u64>,
    /// Datagrams received, or reads from connections.
    receives: Cell<u64>,
}

/// Traffic by kind of peer.
#[derive(Debug, Default, Serialize)]
pub struct Traffic {
    /// Datagrams between gateways: membership and gossip.
    pub datagrams: TrafficCounter,
    /// Links between gateways, in both directions.
    pub links: TrafficCounter,
    /// Connections to engines.
    pub engines: TrafficCounter,
    /// The watch on the discovery service's endpoint list.
    pub journal: TrafficCounter,
}

impl TrafficCounter {
    /// Counts one datagram or write of this many bytes.
    pub fn record_sent(&self, bytes: usize) {
        self.bytes_out.set(self.bytes_out.get() + bytes as u64);
        self.sends.set(self.sends.get() + 1);
    }

    /// Counts one datagram or read of this many bytes.
    pub fn record_received(&self, bytes: usize) {
        self.bytes_in.set(self.bytes_in.get() + bytes as u64);
        self.receives.set(self.receives.get() + 1);
    }
}
