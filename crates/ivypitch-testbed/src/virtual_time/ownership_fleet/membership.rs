//! The gateways' views of each other, which follow the true state with a random delay.

use std::collections::BTreeSet;

use super::event::Event;
use super::simulation::{Simulation, process};

/// Bounds of a random delay, in milliseconds.
#[derive(Clone, Copy)]
pub(super) struct DelayRange {
    pub(super) min_ms: u64,
    pub(super) max_ms: u64,
}

/// Delay until the loss of a gateway is detected.
pub(super) const LOSS_DETECTION_DELAY: DelayRange = DelayRange {
    min_ms: 300,
    max_ms: 1000,
};
/// Delay until the return of a gateway is detected.
pub(super) const RETURN_DETECTION_DELAY: DelayRange = DelayRange {
    min_ms: 20,
    max_ms: 300,
};
/// Delay until the end of a partition is detected.
pub(super) const PARTITION_END_DETECTION_DELAY: DelayRange = DelayRange {
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
        let is_running = self.is_up(of) && !self.gateways[of].is_suspended;
        (is_running && is_connected).then_some(self.gateways[of].incarnation)
    }

    /// Schedules the updates of all outdated views of or by these gateways.
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
