//! Counts of the bytes that the gateway exchanges with everyone but its clients.
//!
//! They cover payloads as they pass to and from the operating system, without the headers of IP, UDP and TCP, and grow
//! for the lifetime of the process. Field names are keys of the JSON that `SHOW FLEET` answers.

use std::cell::Cell;

use serde::Serialize;

/// Traffic of one kind, in both directions.
#[derive(Debug, Default, Serialize)]
pub struct TrafficCounter {
    bytes_out: Cell<u64>,
    bytes_in: Cell<u64>,
    /// Datagrams sent, or writes on connections.
    sends: Cell<u64>,
    /// Datagrams received, or reads from connections.
    receives: Cell<u64>,
}

/// Traffic by peer.
#[derive(Debug, Default, Serialize)]
pub struct Traffic {
    /// Datagrams among gateways: membership and gossip.
    pub datagrams: TrafficCounter,
    /// Links to and from other gateways.
    pub links: TrafficCounter,
    /// Connections to engines.
    pub engines: TrafficCounter,
    /// The watch on the endpoint list.
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
