//! Begin and end of the faults of a plan.

use std::collections::BTreeSet;
use std::ops::Range;

use ivypitch_types::MILLISECOND;
use rand::Rng;

use super::event::Event;
use super::network::Direction;
use super::simulation::Simulation;
use crate::virtual_time::faults::{Fault, FaultKind};

/// Time until the loss of a member is detected, in milliseconds.
const LOSS_DETECTION_MS: Range<u64> = 300..1000;
/// Time until the return of a member is detected, in milliseconds.
const RETURN_DETECTION_MS: Range<u64> = 20..300;
/// Time until the end of a partition is detected, in milliseconds.
const PARTITION_END_DETECTION_MS: Range<u64> = 20..400;

impl Simulation<'_> {
    pub(super) fn begin_fault(&mut self, fault: Fault) {
        match fault.kind {
            FaultKind::Kill {
                gateway,
                restart_after_ms,
            }
            | FaultKind::ShutDown {
                gateway,
                restart_after_ms,
            } => {
                self.stop_process(gateway, restart_after_ms);
                return;
            }
            FaultKind::Suspend { gateway, .. } if self.gateways[gateway].is_up => {
                self.gateways[gateway].is_suspended = true;
                self.check_members_of(&BTreeSet::from([gateway]), LOSS_DETECTION_MS);
            }
            FaultKind::PartitionZone { .. } | FaultKind::PartitionGateway { .. } => {
                for direction in self.partitioned_directions(fault.kind) {
                    *self.network.partitions.entry(direction).or_default() += 1;
                }
                self.check_members_of(&self.all_gateways(), LOSS_DETECTION_MS);
            }
            FaultKind::DropMessages { from, to, .. } => {
                *self.network.silenced.entry((from, to)).or_default() += 1;
            }
            FaultKind::DelayMessages {
                from, to, delay_ms, ..
            } => {
                self.network
                    .delays
                    .insert((from, to), delay_ms * MILLISECOND);
            }
            // The simulation has no links that can be reset and no engines that restart or drain.
            FaultKind::Suspend { .. }
            | FaultKind::ResetLinks { .. }
            | FaultKind::CrashEngine { .. }
            | FaultKind::DrainEngine { .. } => {}
        }
        let duration = fault.duration_ms().unwrap_or(0) * MILLISECOND;
        self.schedule(self.now + duration, Event::FaultEnds(fault));
    }

    pub(super) fn end_fault(&mut self, fault: Fault) {
        match fault.kind {
            FaultKind::Suspend { gateway, .. } if self.gateways[gateway].is_suspended => {
                self.resume_process(gateway);
            }
            FaultKind::PartitionZone { .. } | FaultKind::PartitionGateway { .. } => {
                for direction in self.partitioned_directions(fault.kind) {
                    *self.network.partitions.entry(direction).or_default() -= 1;
                }
                self.check_members_of(&self.all_gateways(), PARTITION_END_DETECTION_MS);
            }
            FaultKind::DropMessages { from, to, .. } => {
                *self.network.silenced.entry((from, to)).or_default() -= 1;
            }
            FaultKind::DelayMessages { from, to, .. } => {
                self.network.delays.remove(&(from, to));
            }
            FaultKind::Kill { .. }
            | FaultKind::ShutDown { .. }
            | FaultKind::Suspend { .. }
            | FaultKind::ResetLinks { .. }
            | FaultKind::CrashEngine { .. }
            | FaultKind::DrainEngine { .. } => {}
        }
    }

    fn stop_process(&mut self, gateway: usize, restart_after_ms: u64) {
        let stopped = &mut self.gateways[gateway];
        if !stopped.is_up {
            return;
        }
        stopped.is_up = false;
        stopped.is_suspended = false;
        stopped.held_events.clear();
        self.check_members_of(&BTreeSet::from([gateway]), LOSS_DETECTION_MS);
        let restart_at = self.now + restart_after_ms * MILLISECOND;
        self.schedule(restart_at, Event::Restart { gateway });
    }

    fn resume_process(&mut self, gateway: usize) {
        let resumed = &mut self.gateways[gateway];
        resumed.is_suspended = false;
        for event in std::mem::take(&mut resumed.held_events) {
            let after = self.rng.random_range(0..MILLISECOND);
            self.schedule(self.now + after, event);
        }
        self.check_members_of(&BTreeSet::from([gateway]), RETURN_DETECTION_MS);
    }

    fn all_gateways(&self) -> BTreeSet<usize> {
        (0..self.fleet.gateways).collect()
    }

    fn partitioned_directions(&self, kind: FaultKind) -> Vec<Direction> {
        let zones = self.fleet.zones;
        let is_partitioned = |from: usize, to: usize| match kind {
            FaultKind::PartitionZone { zone, .. } => (from % zones == zone) != (to % zones == zone),
            FaultKind::PartitionGateway { gateway, .. } => (from == gateway) != (to == gateway),
            _ => false,
        };
        let gateways = self.fleet.gateways;
        (0..gateways * gateways)
            .map(|pair| (pair / gateways, pair % gateways))
            .filter(|&(from, to)| is_partitioned(from, to))
            .collect()
    }
}
