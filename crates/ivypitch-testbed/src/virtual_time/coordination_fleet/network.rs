//! The network between the gateways: links, which keep the order of messages, and datagrams.

use std::collections::BTreeMap;

use ivypitch_coordination::{CoordinationMessage, GossipMessage};
use ivypitch_gateway::wire::peer_frames::{Frame, encode_frame, encode_gossip};
use ivypitch_types::{MILLISECOND, Nanos};
use rand::Rng;

use super::event::Event;
use super::simulation::Simulation;

/// Minimum transit time of a message or a datagram.
const MIN_TRANSIT: Nanos = MILLISECOND / 5;
/// Maximum transit time of a message on a link.
const MAX_LINK_TRANSIT: Nanos = 2 * MILLISECOND;
/// Maximum transit time of a datagram.
const MAX_DATAGRAM_TRANSIT: Nanos = 3 * MILLISECOND;
/// Fraction of the datagrams that arrive twice.
const DUPLICATE_FRACTION: f64 = 0.002;
/// Time between the two arrivals of a duplicated datagram.
const DUPLICATE_DELAY: Nanos = 800 * MILLISECOND;

/// Sender and receiver of a direction between two gateways.
pub(super) type Direction = (usize, usize);

/// The faults and the order of messages, by direction.
#[derive(Default)]
pub(super) struct Network {
    /// Number of partitions in force, by direction.
    pub(super) partitions: BTreeMap<Direction, u32>,
    /// Number of one-way message losses in force, by direction.
    pub(super) silenced: BTreeMap<Direction, u32>,
    pub(super) delays: BTreeMap<Direction, Nanos>,
    /// Arrival of the last message on each link, so that links keep the order of messages.
    last_arrival: BTreeMap<Direction, Nanos>,
}

impl Network {
    pub(super) fn is_partitioned(&self, from: usize, to: usize) -> bool {
        is_in_force(&self.partitions, (from, to))
    }

    /// Whether no message passes, because of a partition or a one-way loss.
    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.is_partitioned(from, to) || is_in_force(&self.silenced, (from, to))
    }

    fn delay(&self, from: usize, to: usize) -> Nanos {
        self.delays.get(&(from, to)).copied().unwrap_or(0)
    }
}

fn is_in_force(faults: &BTreeMap<Direction, u32>, direction: Direction) -> bool {
    faults.get(&direction).is_some_and(|&count| count > 0)
}

impl Simulation<'_> {
    pub(super) fn send_message(&mut self, from: usize, to: usize, message: CoordinationMessage) {
        let frame = Frame::Coordination(message.clone());
        self.verdict.link_bytes += encode_frame(&frame).len() as f64;
        if self.network.is_cut(from, to) || !self.gateways[to].is_up {
            return;
        }
        let transit = self.rng.random_range(MIN_TRANSIT..MAX_LINK_TRANSIT);
        let arrival = self.now + transit + self.network.delay(from, to);
        let last_arrival = self.network.last_arrival.entry((from, to)).or_default();
        let arrival = arrival.max(*last_arrival + 1);
        *last_arrival = arrival;
        let event = Event::Message {
            to: self.gateways[to].process,
            from: self.gateways[from].process,
            message,
        };
        self.schedule(arrival, event);
    }

    pub(super) fn send_gossip(&mut self, from: usize, to: usize, gossip: GossipMessage) {
        self.verdict.gossip_bytes += encode_gossip(&gossip).len() as f64;
        let is_undeliverable = self.network.is_cut(from, to) || !self.gateways[to].is_up;
        if is_undeliverable || self.rng.random_bool(self.fleet.datagram_loss) {
            return;
        }
        let transit = self.rng.random_range(MIN_TRANSIT..MAX_DATAGRAM_TRANSIT);
        let arrival = self.now + transit + self.network.delay(from, to);
        let to = self.gateways[to].process;
        if self.rng.random_bool(DUPLICATE_FRACTION) {
            let gossip = gossip.clone();
            self.schedule(arrival + DUPLICATE_DELAY, Event::Gossip { to, gossip });
        }
        self.schedule(arrival, Event::Gossip { to, gossip });
    }
}
