//! Links and datagrams between the gateways.

use std::collections::BTreeMap;

use ivypitch_coordination::{CoordinationMessage, GossipMessage};
use ivypitch_gateway::wire::peer_frames::{Frame, encode_frame, encode_gossip};
use ivypitch_types::{MILLISECOND, Nanos};
use rand::Rng;

use super::event::Event;
use super::simulation::Simulation;

/// The least time that a message or datagram takes.
const MIN_TRANSIT: Nanos = MILLISECOND / 5;
const MAX_LINK_TRANSIT: Nanos = 2 * MILLISECOND;
const MAX_DATAGRAM_TRANSIT: Nanos = 3 * MILLISECOND;
/// Part of the datagrams that arrive twice, the second time so much later.
const DUPLICATE_FRACTION: f64 = 0.002;
const DUPLICATE_DELAY: Nanos = 800 * MILLISECOND;

/// From one gateway to another.
pub(super) type Direction = (usize, usize);

/// The state of each direction.
#[derive(Default)]
pub(super) struct Network {
    /// Partitions that are in force.
    pub(super) partitions: BTreeMap<Direction, u32>,
    /// Asymmetric partitions that are in force.
    pub(super) silenced: BTreeMap<Direction, u32>,
    pub(super) delays: BTreeMap<Direction, Nanos>,
    /// Links keep the order of their messages.
    last_arrival: BTreeMap<Direction, Nanos>,
}

impl Network {
    pub(super) fn is_partitioned(&self, from: usize, to: usize) -> bool {
        is_in_force(&self.partitions, (from, to))
    }

    /// Whether nothing passes, for whatever reason.
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
