//! Messages between gateways, with their delays and losses.

use ivypitch_gateway::wire::peer_frames::{Frame, encode_frame};
use ivypitch_ownership::Message;
use ivypitch_types::MILLISECOND;
use rand::Rng;

use super::event::Event;
use super::simulation::Simulation;

impl Simulation<'_> {
    pub(super) fn is_link_down(&self, from: usize, to: usize) -> bool {
        let link = (from, to);
        self.partitions.get(&link).is_some_and(|&faults| faults > 0)
            || self
                .broken_links
                .get(&link)
                .is_some_and(|&faults| faults > 0)
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        self.messages += 1;
        if self.fleet.counts_bytes {
            self.count_bytes(from, &message);
        }
        if self.is_link_down(from, to) || !self.is_up(to) {
            return;
        }
        let delay = self.delays.get(&(from, to)).copied().unwrap_or(0);
        let latency = self.rng.random_range(MILLISECOND / 5..2 * MILLISECOND);
        let last_delivery = self.last_delivery.entry((from, to)).or_default();
        let at = (self.now + latency + delay).max(*last_delivery + 1);
        *last_delivery = at;
        let delivery = Event::Delivery {
            to,
            incarnation: self.gateways[to].incarnation,
            from,
            from_incarnation: self.gateways[from].incarnation,
            message,
        };
        self.schedule_at(at, delivery);
    }

    fn count_bytes(&mut self, from: usize, message: &Message) {
        let frame = encode_frame(&Frame::Ownership(message.clone()));
        self.bytes += frame.len() as u64;
        let entries = self.gateways[from]
            .ownership
            .as_ref()
            .map_or(0, |ownership| ownership.sizes().vote_log_entries);
        self.max_vote_log_entries = self.max_vote_log_entries.max(entries);
    }
}
