//! Connections between the servers and the gateways.

use ivypitch_discovery::WatchLine;
use ivypitch_types::{MILLISECOND, Nanos, SECOND};
use rand::Rng;

use super::gateway::Connection;
use super::simulation::{Event, Simulation};

/// Time without data after which a gateway closes its connection, as in `actors/discovery.rs`.
const SILENCE_TIMEOUT: Nanos = 2 * SECOND;
/// Delay of the first retransmission of a lost segment; it doubles with each further loss.
const FIRST_RETRANSMISSION_DELAY: Nanos = 200 * MILLISECOND;
/// Minimum one-way transit time within a region.
const MIN_TRANSIT: Nanos = MILLISECOND / 5;
/// Maximum one-way transit time within a region.
const MAX_TRANSIT: Nanos = 3 * MILLISECOND;
/// Additional one-way transit time per region of distance from region 0.
const TRANSIT_PER_REGION: Nanos = 10 * MILLISECOND;

impl Simulation {
    pub(super) fn region(&self, gateway: usize) -> usize {
        gateway % self.fleet.zones % self.fleet.regions
    }

    pub(super) fn is_partitioned(&self, gateway: usize) -> bool {
        self.has_region_outage && self.region(gateway) == 0
    }

    /// Handles an opened connection: the server sends the list if it is needed, and all changes
    /// after the last known one.
    pub(super) fn on_connected(&mut self, gateway: usize) {
        let second = self.now / SECOND;
        *self.connects_by_second.entry(second).or_default() += 1;
        self.verdict.connects += 1;
        let connected = &mut self.gateways[gateway];
        connected.watch.on_subscribed();
        connected.is_connected = true;
        connected.silent_at = self.now + SILENCE_TIMEOUT;
        connected.last_arrival = self.now;
        let last_position = connected.watch.last_position();
        let needs_list = connected.needs_list;
        let silent_at = connected.silent_at;
        let connection = Connection {
            gateway,
            serial: connected.connection,
        };
        self.schedule(silent_at, Event::SilenceTimer(connection));
        if needs_list {
            self.send(gateway, WatchLine::LastPosition(0), self.fleet.list_bytes);
        }
        for position in last_position + 1..=self.changes.len() as u64 {
            let bytes = self.change(position).bytes;
            self.send(gateway, WatchLine::Event(position), bytes);
        }
    }

    /// Handles a closed connection: the next one is opened after the backoff of the watch.
    pub(super) fn on_disconnected(&mut self, gateway: usize) {
        let disconnected = &mut self.gateways[gateway];
        disconnected.is_connected = false;
        disconnected.connection += 1;
        let backoff = disconnected.watch.next_backoff();
        self.schedule_connect(gateway, backoff);
    }

    /// Postpones the silence timeout, since data has arrived on the connection.
    pub(super) fn postpone_silence(&mut self, gateway: usize) {
        self.gateways[gateway].silent_at = self.now + SILENCE_TIMEOUT;
    }

    pub(super) fn send_to_all(&mut self, line: WatchLine, bytes: u64) {
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].is_up && self.gateways[gateway].is_connected {
                self.send(gateway, line, bytes);
            }
        }
    }

    fn send(&mut self, gateway: usize, line: WatchLine, bytes: u64) {
        let sent_at = self.serve(gateway, bytes);
        let mut arrival = sent_at + self.transit(gateway);
        let mut retransmission_delay = FIRST_RETRANSMISSION_DELAY;
        while self.rng.random_bool(self.fleet.segment_loss) {
            arrival += retransmission_delay;
            retransmission_delay *= 2;
        }
        let receiver = &mut self.gateways[gateway];
        arrival = arrival.max(receiver.last_arrival + 1);
        receiver.last_arrival = arrival;
        let to = Connection {
            gateway,
            serial: receiver.connection,
        };
        self.schedule(arrival, Event::Line { to, line });
    }

    /// Occupies the gateway's server with the bytes and returns the time at which they are sent.
    fn serve(&mut self, gateway: usize, bytes: u64) -> Nanos {
        let server = gateway % self.fleet.servers;
        let seconds = bytes as f64 / self.fleet.server_bytes_per_second;
        let duration = (seconds * SECOND as f64) as Nanos;
        let sent_at = self.server_free_at[server].max(self.now) + duration;
        self.server_free_at[server] = sent_at;
        self.verdict.sent_bytes += bytes;
        let key = (server, sent_at / SECOND);
        *self.bytes_by_server_second.entry(key).or_default() += bytes;
        sent_at
    }

    fn transit(&mut self, gateway: usize) -> Nanos {
        let region_transit = self.region(gateway) as u64 * TRANSIT_PER_REGION;
        region_transit + self.rng.random_range(MIN_TRANSIT..MAX_TRANSIT)
    }
}
