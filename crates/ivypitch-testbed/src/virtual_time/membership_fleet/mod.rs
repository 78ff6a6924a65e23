//! Simulation of the membership of a whole fleet in virtual time: how soon all members detect a
//! loss, and which running members are falsely declared lost.

mod measurements;
mod simulation;

use ivypitch_membership::MembershipConfig;
use ivypitch_types::{MILLISECOND, Nanos, SECOND};
use rand::Rng;

use super::resource_usage;
use measurements::Measurements;
use simulation::Simulation;

/// Time after which a killed member restarts.
const RESTART_DELAY: Nanos = 1500 * MILLISECOND;
/// Maximum time for all members to reach each other after the start.
const MAX_JOIN_TIME: Nanos = 60 * SECOND;
/// Interval in which the simulation checks whether all members reach each other.
const JOIN_CHECK_INTERVAL: Nanos = 100 * MILLISECOND;

/// Bounds of the transit time of a datagram.
#[derive(Clone, Copy, Debug)]
pub struct TransitTime {
    /// Minimum in milliseconds.
    pub min_ms: f64,
    /// Maximum in milliseconds.
    pub max_ms: f64,
}

/// A fleet and its faults.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of members.
    pub members: usize,
    /// Number of zones that the members are spread over.
    pub zones: usize,
    /// Fraction of the datagrams that are lost.
    pub datagram_loss: f64,
    /// Transit time of the other datagrams.
    pub transit: TransitTime,
    /// Time in seconds that is not measured after all members reach each other, since updates of
    /// the start are still being gossiped.
    pub settle_seconds: u64,
    /// Measured time in seconds.
    pub seconds: u64,
    /// Interval in which a random member is killed and later restarted; `None`: never.
    pub kill_interval_ms: Option<u64>,
    /// Duration of a partition of one zone that begins after half of the measured time; `None`: no
    /// partition.
    pub partition_ms: Option<u64>,
    /// Settings of the failure detection.
    pub config: MembershipConfig,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Number of kills.
    pub kills: u64,
    /// Median time in milliseconds from a kill until a running member detects it, over all pairs of
    /// members.
    pub detection_p50_ms: u64,
    /// 99th percentile of that time.
    pub detection_p99_ms: u64,
    /// Maximum of that time.
    pub max_detection_ms: u64,
    /// Number of pairs in which the loss was not detected before the member restarted.
    pub undetected_pairs: u64,
    /// Number of members that were declared lost although they ran and were reachable.
    pub falsely_lost_members: u64,
    /// Number of such declarations by all members.
    pub false_loss_events: u64,
    /// Datagrams that a member sends per second.
    pub datagrams_per_member_second: f64,
    /// Bytes that a member sends per second.
    pub bytes_per_member_second: f64,
    /// Time in milliseconds from the start until all members reached each other.
    pub joined_ms: u64,
    /// Bytes that a member sent before the measured time.
    pub start_bytes_per_member: f64,
    /// Bytes per member in the busiest second before the measured time.
    pub peak_bytes_per_member_second: f64,
    /// Processor time per member and second of the measured time, including that of the simulation
    /// itself.
    pub cpu_per_member_second: f64,
    /// Memory per member in bytes at the begin of the measured time, including datagrams in
    /// transit.
    pub memory_per_member: f64,
    /// Number of suspicions of a partition by members on its smaller side.
    pub suspecting_in_minority: u64,
    /// Number of suspicions of a partition by members on its larger side.
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
    run_measured(&mut simulation, &mut measurements, start);
    let member_seconds = fleet.members as f64 * fleet.seconds as f64;
    verdict.cpu_per_member_second = (resource_usage::thread_cpu_s() - cpu_before) / member_seconds;
    verdict.datagrams_per_member_second = simulation.sent_datagrams as f64 / member_seconds;
    verdict.bytes_per_member_second = simulation.sent_bytes as f64 / member_seconds;
    measurements.add_to(&mut verdict, fleet.members, simulation.now);
    verdict
}

/// Starts all members and runs until all reach each other and the settling time has passed.
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

/// Runs the measured time, in which members are killed and restarted and a zone is partitioned as
/// the fleet requires.
fn run_measured(simulation: &mut Simulation, measurements: &mut Measurements, start: Nanos) {
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
                let at = simulation.now + RESTART_DELAY;
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
