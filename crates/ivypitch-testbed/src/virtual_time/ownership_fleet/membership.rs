//! What gateways know of each other: what is true, some time after it changed.

use std::collections::BTreeSet;

use super::event::Event;
use super::simulation::{Simulation, process};

/// Bounds of a random delay, in milliseconds.
#[derive(Clone, Copy)]
pub(super) struct DelayRange {
    pub(super) min_ms: u64,
    pub(super) max_ms: u64,
}

/// A loss is noticed within this time.
pub(super) const LOSS_NOTICED: DelayRange = DelayRange {
    min_ms: 300,
    max_ms: 1000,
};
/// A gateway that is there again is noticed within this time.
pub(super) const RETURN_NOTICED: DelayRange = DelayRange {
    min_ms: 20,
    max_ms: 300,
};
/// The end of a partition is noticed within this time.
pub(super) const PARTITION_END_NOTICED: DelayRange = DelayRange {
    min_ms: 20,
    max_ms: 400,
};

impl Simulation<'_> {
    pub(super) fn on_view_update(&mut self, by: usize, of: usize) {
        if !self.is_up(by) {
            return;
        }
        let actual = self.reachable_incarnation(by, of);
        let known = self.gateways[by].connected[of];
        if actual == known {
            return;
        }
        self.gateways[by].connected[of] = actual;
        if let Some(incarnation) = known {
            self.with_ownership(by, |ownership, now, out| {
                ownership.on_member_down(now, process(of, incarnation), out);
            });
        }
        if let Some(incarnation) = actual {
            self.with_ownership(by, |ownership, now, _| {
                ownership.on_member_up(now, process(of, incarnation));
            });
        }
    }

    fn reachable_incarnation(&self, by: usize, of: usize) -> Option<u64> {
        let is_connected = self
            .partitions
            .get(&(by, of))
            .is_none_or(|&faults| faults == 0);
        let is_running = self.is_up(of) && !self.gateways[of].is_stopped;
        (is_running && is_connected).then_some(self.gateways[of].incarnation)
    }

    /// All views of these gateways, and theirs of all others, are brought up to date.
    pub(super) fn schedule_view_updates(&mut self, gateways: &BTreeSet<usize>, delay: DelayRange) {
        for by in 0..self.fleet.gateways {
            for of in 0..self.fleet.gateways {
                let is_concerned = gateways.contains(&by) || gateways.contains(&of);
                let is_outdated =
                    || self.reachable_incarnation(by, of) != self.gateways[by].connected[of];
                if by != of && is_concerned && is_outdated() {
                    let delay = self.random_delay(delay.min_ms, delay.max_ms);
                    self.schedule_after(delay, Event::ViewUpdate { by, of });
                }
            }
        }
    }
}
