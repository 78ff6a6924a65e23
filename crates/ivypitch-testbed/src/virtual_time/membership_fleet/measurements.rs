//! Measurements of losses and of suspected partitions.

use std::collections::BTreeMap;

use ivypitch_membership::{MembershipEvent, PartitionSuspicion};
use ivypitch_types::{MILLISECOND, Nanos, ProcessId};

use super::simulation::Simulation;
use super::{RESTART_DELAY, Verdict};

/// A process that was killed.
struct Kill {
    at: Nanos,
    /// Number of members that have detected the kill.
    detected_by: u64,
}

pub(super) struct Measurements {
    /// Whether the run has a partition. Declaring a running member lost is then no error.
    has_partition: bool,
    /// Kills by member and incarnation.
    kills: BTreeMap<(usize, u64), Kill>,
    detection_ms: Vec<u64>,
    /// Number of times that each member was falsely declared lost.
    false_losses: BTreeMap<usize, u64>,
    suspecting_in_minority: u64,
    suspecting_elsewhere: u64,
}

impl Measurements {
    pub(super) fn new(has_partition: bool) -> Measurements {
        Measurements {
            has_partition,
            kills: BTreeMap::new(),
            detection_ms: Vec::new(),
            false_losses: BTreeMap::new(),
            suspecting_in_minority: 0,
            suspecting_elsewhere: 0,
        }
    }

    pub(super) fn on_kill(&mut self, now: Nanos, member: usize, incarnation: u64) {
        let kill = Kill {
            at: now,
            detected_by: 0,
        };
        self.kills.insert((member, incarnation), kill);
    }

    pub(super) fn on_event(&mut self, simulation: &Simulation, by: usize, event: MembershipEvent) {
        match event {
            MembershipEvent::MemberDown(process) => self.on_member_down(simulation, process),
            MembershipEvent::PartitionSuspicionChanged(
                PartitionSuspicion::Minority | PartitionSuspicion::Isolated,
            ) if simulation.is_partitioned => {
                if simulation.is_in_cut_zone(by) {
                    self.suspecting_in_minority += 1;
                } else {
                    self.suspecting_elsewhere += 1;
                }
            }
            MembershipEvent::MemberUp(_)
            | MembershipEvent::PartitionSuspicionChanged(_)
            | MembershipEvent::IncompatibleMember { .. } => {}
        }
    }

    fn on_member_down(&mut self, simulation: &Simulation, process: ProcessId) {
        let member = process.member.as_usize();
        let incarnation = process.incarnation.0;
        if let Some(kill) = self.kills.get_mut(&(member, incarnation)) {
            kill.detected_by += 1;
            self.detection_ms
                .push((simulation.now - kill.at) / MILLISECOND);
        } else if simulation.is_latest(member, incarnation) && !self.has_partition {
            *self.false_losses.entry(member).or_default() += 1;
        }
    }

    /// Adds the measurements to the verdict. Kills less than the restart delay before `end`, the
    /// end of the run, do not count as undetected, since there was not enough time to detect them.
    pub(super) fn add_to(mut self, verdict: &mut Verdict, members: usize, end: Nanos) {
        self.detection_ms.sort_unstable();
        verdict.kills = self.kills.len() as u64;
        verdict.detection_p50_ms = quantile(&self.detection_ms, 0.5);
        verdict.detection_p99_ms = quantile(&self.detection_ms, 0.99);
        verdict.max_detection_ms = quantile(&self.detection_ms, 1.0);
        // Excludes the killed member and one other member that may be down at the time.
        let others = members as u64 - 2;
        for kill in self.kills.values() {
            if kill.at + RESTART_DELAY < end {
                verdict.undetected_pairs += others.saturating_sub(kill.detected_by);
            }
        }
        verdict.falsely_lost_members = self.false_losses.len() as u64;
        verdict.false_loss_events = self.false_losses.values().sum();
        verdict.suspecting_in_minority = self.suspecting_in_minority;
        verdict.suspecting_elsewhere = self.suspecting_elsewhere;
    }
}

fn quantile(sorted: &[u64], quantile: f64) -> u64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied().unwrap_or(0)
}
