//! The state of one gateway and its watch.

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
    /// Serial of the current connection. Events of earlier connections are ignored.
    pub(super) connection: u64,
    /// Serial of the current process.
    pub(super) process: u64,
    /// Whether the gateway has restarted and not yet received the list.
    pub(super) needs_list: bool,
    pub(super) is_connected: bool,
    pub(super) is_up: bool,
    /// Time since which the gateway has been reachable.
    pub(super) reachable_since: Nanos,
    /// Time at which the connection is closed unless data arrives before.
    pub(super) silent_at: Nanos,
    /// Arrival of the last line, so that a connection keeps the order of its lines.
    pub(super) last_arrival: Nanos,
    /// Time at which the gateway will have applied all that has arrived.
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

    pub(super) fn is_current(&self, connection: Connection) -> bool {
        self.is_up && self.connection == connection.serial
    }

    pub(super) fn apply(&mut self, now: Nanos, duration: Nanos) {
        self.busy_until = self.busy_until.max(now) + duration;
    }
}
