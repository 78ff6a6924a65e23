//! Which gateways take which for reachable: the outcome of failure detection, without its messages.

use std::collections::BTreeSet;
use std::ops::Range;

use ivypitch_types::MILLISECOND;
use rand::Rng;

use super::event::Event;
use super::gateway::Process;
use super::simulation::Simulation;

impl Simulation<'_> {
    /// A gateway looks whether a member is there, and tells its coordinator what has changed.
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

    /// The process that runs at `member`, if `by` can reach it.
    fn reachable_process(&self, by: usize, member: usize) -> Option<u64> {
        let gateway = &self.gateways[member];
        let is_reachable = gateway.is_running() && !self.network.is_partitioned(by, member);
        is_reachable.then_some(gateway.process.incarnation)
    }

    /// What has changed about these gateways is noticed after so many milliseconds.
    pub(super) fn check_members_of(&mut self, gateways: &BTreeSet<usize>, after_ms: Range<u64>) {
        for by in 0..self.fleet.gateways {
            for member in 0..self.fleet.gateways {
                let is_concerned = gateways.contains(&by) || gateways.contains(&member);
                let believed = self.gateways[by].reachable[member];
                if by == member || !is_concerned || self.reachable_process(by, member) == believed {
                    continue;
                }
                let after = self
                    .rng
                    .random_range(after_ms.start * MILLISECOND..after_ms.end * MILLISECOND);
                self.schedule(self.now + after, Event::CheckMember { by, member });
            }
        }
    }
}
