//! Membership of a whole fleet in virtual time: how soon a loss is known to all, and which running members are taken for
//! lost.

mod measurements;
mod simulation;

use ivypitch_membership::MembershipConfig;
use ivypitch_types::{MILLISECOND, Nanos, SECOND};
use rand::Rng;

use super::resource_usage;
use measurements::Measurements;
use simulation::Simulation;

/// A killed member restarts after so long.
const RESTART_AFTER: Nanos = 1500 * MILLISECOND;
/// How long the members have to find each other.
const MAX_JOIN_TIME: Nanos = 60 * SECOND;
/// Whether all have found each other is looked at in this interval.
const JOIN_CHECK_INTERVAL: Nanos = 100 * MILLISECOND;

/// How long a datagram takes.
#[derive(Clone, Copy, Debug)]
pub struct TransitTime {
    /// In milliseconds.
    pub min_ms: f64,
    /// In milliseconds.
    pub max_ms: f64,
}

/// A fleet and what happens to it.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of members.
    pub members: usize,
    /// Number of zones that they are spread over.
    pub zones: usize,
    /// Part of the datagrams that are lost.
    pub datagram_loss: f64,
    /// How long the others take.
    pub transit: TransitTime,
    /// Seconds after all have found each other that are not counted, as updates of the start still travel.
    pub settle_seconds: u64,
    /// Seconds that are counted.
    pub seconds: u64,
    /// A member is killed in this interval, and comes back; `None`: never.
    pub kill_interval_ms: Option<u64>,
    /// One zone is partitioned in the middle, for so long; `None`: never.
    pub partition_ms: Option<u64>,
    /// Failure detection.
    pub config: MembershipConfig,
}

/// What was counted.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Members that were killed.
    pub kills: u64,
    /// Milliseconds from a kill until a running member knows, over all pairs: the median,
    pub detection_p50_ms: u64,
    /// the 99th percentile,
    pub detection_p99_ms: u64,
    /// and the longest.
    pub max_detection_ms: u64,
    /// Pairs that did not learn of it before the member was back.
    pub undetected_pairs: u64,
    /// Members that were declared lost though they ran and could be reached.
    pub falsely_lost_members: u64,
    /// How often that was noticed.
    pub false_loss_events: u64,
    /// Datagrams that a member sends a second.
    pub datagrams_per_member_second: f64,
    /// Bytes that a member sends a second.
    pub bytes_per_member_second: f64,
    /// Milliseconds from the start until all reached all.
    pub joined_ms: u64,
    /// Bytes that a member sent until counting began,
    pub start_bytes_per_member: f64,
    /// and in the busiest second of that.
    pub peak_bytes_per_member_second: f64,
    /// Processor time of a member a second once all reach all, this simulation's own included.
    pub cpu_per_member_second: f64,
    /// Memory of a member once all reach all, datagrams in transit included.
    pub memory_per_member: f64,
    /// Members on the smaller side of a partition that suspected it,
    pub suspecting_in_minority: u64,
    /// and those on the other side that did.
    pub suspecting_elsewhere: u64,
}

/// The time of a partition.
#[derive(Clone, Copy)]
struct Partition {
    from: Nanos,
    until: Nanos,
}

/// Runs the fleet.
pub fn run(fleet: Fleet, seed: u64) -> Verdict {
    let mut simulation = Simulation::new(fleet, seed);
    let mut verdict = join(&mut simulation);
    let start = simulation.now;
    let cpu_before = resource_usage::thread_cpu_s();
    let mut measurements = Measurements::new(fleet.partition_ms.is_some());
    run_counted(&mut simulation, &mut measurements, start);
    let member_seconds = fleet.members as f64 * fleet.seconds as f64;
    verdict.cpu_per_member_second = (resource_usage::thread_cpu_s() - cpu_before) / member_seconds;
    verdict.datagrams_per_member_second = simulation.sent_datagrams as f64 / member_seconds;
    verdict.bytes_per_member_second = simulation.sent_bytes as f64 / member_seconds;
    measurements.add_to(&mut verdict, fleet.members, simulation.now);
    verdict
}

/// Starts all members, until all reach all and the updates of the start have travelled.
fn join(simulation: &mut Simulation) -> Verdict {
    let members = simulation.fleet.members as f64;
    let memory_before = resource_usage::resident_bytes();
    simulation.start_all();
    let mut verdict = Verdict::default();
    let mut bytes_in_second = 0;
    let mut second = 0;
    let mut peak_bytes = 0;
    let mut settled_at = Nanos::MAX;
    while simulation.now < settled_at {
        let is_joined = simulation.is_complete() || simulation.now >= MAX_JOIN_TIME;
        if settled_at == Nanos::MAX && is_joined {
            verdict.joined_ms = simulation.now / MILLISECOND;
            settled_at = simulation.now + simulation.fleet.settle_seconds * SECOND;
            continue;
        }
        let bytes_before = simulation.sent_bytes;
        simulation.run(simulation.now + JOIN_CHECK_INTERVAL, None);
        if simulation.now / SECOND != second {
            second = simulation.now / SECOND;
            bytes_in_second = 0;
        }
        bytes_in_second += simulation.sent_bytes - bytes_before;
        peak_bytes = peak_bytes.max(bytes_in_second);
    }
    verdict.peak_bytes_per_member_second = peak_bytes as f64 / members;
    verdict.start_bytes_per_member = simulation.sent_bytes as f64 / members;
    verdict.memory_per_member =
        (resource_usage::resident_bytes() - memory_before).max(0.0) / members;
    simulation.sent_datagrams = 0;
    simulation.sent_bytes = 0;
    verdict
}

/// Kills and restarts members and partitions a zone, as the fleet has it.
fn run_counted(simulation: &mut Simulation, measurements: &mut Measurements, start: Nanos) {
    let fleet = simulation.fleet;
    let end = start + fleet.seconds * SECOND;
    let kill_interval = fleet.kill_interval_ms.map(|ms| ms * MILLISECOND);
    let mut next_kill = kill_interval.map_or(Nanos::MAX, |interval| start + interval);
    let mut restarts: Vec<Restart> = Vec::new();
    let partition = partition(&fleet, start);
    while simulation.now < end {
        let next_restart = restarts.first().map_or(Nanos::MAX, |restart| restart.at);
        let mut until = end.min(next_kill).min(next_restart);
        for edge in [partition.from, partition.until] {
            if edge > simulation.now {
                until = until.min(edge);
            }
        }
        simulation.run(until, Some(measurements));
        if simulation.now == next_restart {
            let restart = restarts.remove(0);
            simulation.start(restart.member);
        }
        if simulation.now == next_kill {
            next_kill += kill_interval.unwrap_or(0);
            let member = simulation.rng.random_range(0..fleet.members);
            if let Some(incarnation) = simulation.kill(member) {
                measurements.on_kill(simulation.now, member, incarnation);
                let at = simulation.now + RESTART_AFTER;
                restarts.push(Restart { at, member });
            }
        }
        simulation.is_partitioned =
            simulation.now >= partition.from && simulation.now < partition.until;
    }
}

struct Restart {
    at: Nanos,
    member: usize,
}

fn partition(fleet: &Fleet, start: Nanos) -> Partition {
    let Some(duration_ms) = fleet.partition_ms else {
        return Partition {
            from: Nanos::MAX,
            until: Nanos::MAX,
        };
    };
    let from = start + fleet.seconds * SECOND / 2;
    Partition {
        from,
        until: from + duration_ms * MILLISECOND,
    }
}
