//! One gateway's watch.

use ivypitch_discovery::EndpointWatch;
use ivypitch_types::Nanos;

/// One connection of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Connection {
    pub(super) gateway: usize,
    pub(super) serial: u64,
}

/// One process of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) gateway: usize,
    pub(super) serial: u64,
}

pub(super) struct Gateway {
    pub(super) watch: EndpointWatch,
    /// Counts connections; what belongs to an earlier one is ignored.
    pub(super) connection: u64,
    /// Counts processes.
    pub(super) process: u64,
    /// It has restarted and does not have the list yet.
    pub(super) needs_list: bool,
    pub(super) is_connected: bool,
    pub(super) is_up: bool,
    /// Since when it can be reached.
    pub(super) reachable_since: Nanos,
    /// When a quiet connection counts as dead.
    pub(super) silent_at: Nanos,
    /// Arrival of the last line: a connection keeps their order.
    pub(super) last_arrival: Nanos,
    /// Until when it applies what has arrived.
    pub(super) busy_until: Nanos,
}

impl Gateway {
    pub(super) fn new(seed: u64) -> Gateway {
        Gateway {
            watch: EndpointWatch::new(0, seed),
            connection: 0,
            process: 0,
            needs_list: false,
            is_connected: false,
            is_up: true,
            reachable_since: 0,
            silent_at: 0,
            last_arrival: 0,
            busy_until: 0,
        }
    }

    pub(super) fn is_on(&self, connection: Connection) -> bool {
        self.is_up && self.connection == connection.serial
    }

    pub(super) fn apply(&mut self, now: Nanos, duration: Nanos) {
        self.busy_until = self.busy_until.max(now) + duration;
    }
}
