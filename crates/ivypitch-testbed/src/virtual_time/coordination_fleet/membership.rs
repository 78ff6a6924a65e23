//! Which gateways consider which members reachable: the outcome of failure detection, without its
//! messages.

use std::collections::BTreeSet;
use std::ops::Range;

use ivypitch_types::MILLISECOND;
use rand::Rng;

use super::event::Event;
use super::gateway::Process;
use super::simulation::Simulation;

impl Simulation<'_> {
    /// Updates the view that `by` has of a member and notifies its coordinator of a change.
    pub(super) fn check_member(&mut self, by: usize, member: usize) {
        let actual = self.reachable_process(by, member);
        let believed = self.gateways[by].reachable[member];
        if actual == believed {
            return;
        }
        self.gateways[by].reachable[member] = actual;
        let process = |incarnation| Process {
            gateway: member,
            incarnation,
        };
        if let Some(incarnation) = believed {
            self.call(by, |coordinator, now, out| {
                coordinator.on_member_down(now, process(incarnation).id(), out);
            });
        }
        if let Some(incarnation) = actual {
            self.call(by, |coordinator, now, out| {
                coordinator.on_member_up(now, process(incarnation).id(), out);
            });
        }
    }

    /// The incarnation that runs at `member`, if `by` can reach it.
    fn reachable_process(&self, by: usize, member: usize) -> Option<u64> {
        let gateway = &self.gateways[member];
        let is_reachable = gateway.is_running() && !self.network.is_partitioned(by, member);
        is_reachable.then_some(gateway.process.incarnation)
    }

    /// Schedules the updates of all outdated views of or by these gateways, after a random delay
    /// within `delay_ms`.
    pub(super) fn check_members_of(&mut self, gateways: &BTreeSet<usize>, delay_ms: Range<u64>) {
        for by in 0..self.fleet.gateways {
            for member in 0..self.fleet.gateways {
                let is_concerned = gateways.contains(&by) || gateways.contains(&member);
                let believed = self.gateways[by].reachable[member];
                if by == member || !is_concerned || self.reachable_process(by, member) == believed {
                    continue;
                }
                let delay = self
                    .rng
                    .random_range(delay_ms.start * MILLISECOND..delay_ms.end * MILLISECOND);
                self.schedule(self.now + delay, Event::CheckMember { by, member });
            }
        }
    }
}
