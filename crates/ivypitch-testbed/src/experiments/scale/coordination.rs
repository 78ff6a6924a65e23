//! The cost of coordination for a gateway at growing numbers of gateways and engines.

use std::hint::black_box;

use ivypitch_coordination::{
    AttemptHealth, CoordinationMessage, CoordinationOutput, Coordinator, CoordinatorParams,
    GossipMessage, HealthObservation, MAX_OBSERVED_ENGINES, ObservationTable, OutlierConsensus,
    QuotaIndex, StoredObservation,
};
use ivypitch_gateway::wire::peer_frames::{Frame, encode_frame, encode_gossip};
use ivypitch_scheduler::OutlierStatus;
use ivypitch_types::{Incarnation, MILLISECOND, MemberId, Nanos, ProcessId, SECOND};

use super::peers::{GATEWAYS, Points, ZONES, measure};
use super::scheduler::ENGINE_COUNTS;
use super::slope::Measure;
use crate::virtual_time::faults::FaultPlan;
use crate::virtual_time::{coordination_fleet, resource_usage};

/// Start of the measurement at rest. The gateway starts at 0 and has reached the others by then.
const REST_START: Nanos = 20 * SECOND;
/// Engines in measurements by the number of gateways.
const ENGINES: usize = 80;
/// Gateways in measurements by the number of engines.
const GATEWAYS_BY_ENGINES: usize = 300;
/// Quotas are sized for at most this many members so that their units fit the integer type.
const MAX_QUOTA_MEMBERS: usize = 600;
/// Number of batches; a cost is their median.
const BATCHES: usize = 5;

/// Counts what a coordinator sends.
#[derive(Default)]
struct SentCounts {
    gossip_datagrams: u64,
    gossip_bytes: u64,
    link_bytes: u64,
}

impl CoordinationOutput for SentCounts {
    fn send(&mut self, _to: MemberId, message: CoordinationMessage) {
        self.link_bytes += encode_frame(&Frame::Coordination(message)).len() as u64;
    }
    fn send_gossip(&mut self, _to: MemberId, gossip: GossipMessage) {
        self.gossip_datagrams += 1;
        self.gossip_bytes += encode_gossip(&gossip).len() as u64;
    }
    fn on_quota_share_changed(&mut self, _quota: QuotaIndex, _share: f64) {}
    fn on_outlier_status(&mut self, _engine: u64, _status: OutlierStatus) {}
    fn on_endpoint_event(&mut self, _number: u64, _line: &[u8]) {}
    fn log(&mut self, _line: &str) {}
}

/// Cost of a gateway at rest.
struct RestCost {
    cpu_us_per_second: f64,
    bytes_per_second: f64,
    datagrams_per_second: f64,
}

/// All measures of coordination.
pub(super) fn measure_coordination(quick: bool, seed: u64) -> Vec<Measure> {
    let mut measures = measure_rest(if quick { 4 } else { 20 });
    measures.extend(measure_by_engines(seed));
    measures.push(measure_evaluation(if quick { 10 } else { 100 }));
    measures.push(measure_table());
    measures.push(measure_failing(if quick { 100 } else { 300 }, seed));
    measures
}

fn measure_rest(seconds: u64) -> Vec<Measure> {
    let mut bytes = Points::new();
    let mut datagrams = Points::new();
    let mut cpu = Points::new();
    for &gateways in &GATEWAYS {
        let cost = measure_coordinator_at_rest(&mut coordinator(gateways, ENGINES), seconds);
        let x = gateways as f64;
        cpu.push((x, cost.cpu_us_per_second));
        bytes.push((x, cost.bytes_per_second));
        datagrams.push((x, cost.datagrams_per_second));
    }
    vec![
        measure("shares: bytes out at rest", "bytes/s", "gateways", bytes),
        measure(
            "shares: datagrams out at rest",
            "1/s",
            "gateways",
            datagrams,
        ),
        measure(
            "shares: processor time at rest, 80 engines",
            "us/s",
            "gateways",
            cpu,
        ),
    ]
}

fn measure_by_engines(seed: u64) -> Vec<Measure> {
    let mut cpu_at_rest = Points::new();
    let mut us_per_outcome = Points::new();
    for engines in ENGINE_COUNTS {
        let mut coordinator = coordinator(GATEWAYS_BY_ENGINES, engines);
        let seconds = if engines > 10_000 { 1 } else { 2 };
        let cost = measure_coordinator_at_rest(&mut coordinator, seconds);
        cpu_at_rest.push((engines as f64, cost.cpu_us_per_second));
        let us = measure_outcome_us(&mut coordinator, engines, seed);
        us_per_outcome.push((engines as f64, us));
    }
    vec![
        measure(
            "shares: processor time at rest, 300 gateways",
            "us/s",
            "engines",
            cpu_at_rest,
        ),
        measure(
            "shares: processor time of a statement's outcome",
            "us",
            "engines",
            us_per_outcome,
        ),
    ]
}

fn measure_outcome_us(coordinator: &mut Coordinator, engines: usize, seed: u64) -> f64 {
    let mut now = 60 * SECOND;
    let mut next = seed as usize;
    let calls = (4_000_000 / engines).clamp(200, 20_000);
    resource_usage::median_call_us(BATCHES, calls, || {
        now += MILLISECOND / 4;
        next += 7919;
        let engine = engine_number(next % engines);
        coordinator.on_attempt_ended(now, engine, AttemptHealth::Success);
    })
}

/// Traffic of whole fleets while two engines fail for a third of the time.
fn measure_failing(max_gateways: usize, seed: u64) -> Measure {
    let mut bytes = Points::new();
    for &gateways in GATEWAYS.iter().filter(|&&n| n <= max_gateways) {
        let fleet = coordination_fleet::Fleet {
            gateways,
            duration_ms: 6_000,
            datagram_loss: 0.01,
            ..coordination_fleet::Fleet::default()
        };
        let verdict = coordination_fleet::run(&fleet, &FaultPlan::default(), seed);
        bytes.push((gateways as f64, verdict.gossip_bytes + verdict.link_bytes));
    }
    measure(
        "shares: bytes out while two of 20 engines fail",
        "bytes/s",
        "gateways",
        bytes,
    )
}

/// The time to evaluate all engines when one pair of gateway and engine in ten has an observation.
fn measure_evaluation(calls: usize) -> Measure {
    let mut evaluation_us = Points::new();
    let ready: Vec<u64> = (0..ENGINES).map(engine_number).collect();
    for &gateways in &GATEWAYS {
        let zones = zones(gateways);
        let mut table = ObservationTable::new(gateways, MAX_OBSERVED_ENGINES, 0);
        for (index, &engine) in ready.iter().enumerate() {
            for member in (index % 10..gateways).step_by(10) {
                table.insert_if_newer(engine, MemberId(member as u16), observed(3 * SECOND));
            }
        }
        let mut consensus = OutlierConsensus::default();
        let us = resource_usage::median_call_us(BATCHES, calls, || {
            black_box(consensus.evaluate(4 * SECOND, &table, &zones, &ready));
        });
        evaluation_us.push((gateways as f64, us));
    }
    measure(
        "shares: processor time of a judgement, one word in ten",
        "us",
        "gateways",
        evaluation_us,
    )
}

fn measure_table() -> Measure {
    let mut bytes = Points::new();
    for engines in ENGINE_COUNTS {
        let mut table = ObservationTable::new(GATEWAYS_BY_ENGINES, MAX_OBSERVED_ENGINES, 0);
        for engine in 0..engines {
            table.insert_if_newer(engine_number(engine), MemberId(1), observed(SECOND));
        }
        bytes.push((engines as f64, table.size_bytes() as f64));
    }
    measure(
        "shares: memory of words, 300 gateways",
        "bytes",
        "engines",
        bytes,
    )
}

/// The coordinator of one gateway that reaches all other gateways.
///
/// The cost of a whole fleet is quadratic in the gateways, so whole fleets stop at 300. One gateway
/// is a sample of a larger fleet because its traffic at rest does not depend on the messages of the
/// others.
fn coordinator(gateways: usize, engines: usize) -> Coordinator {
    let mut config = coordination_fleet::config(gateways.min(MAX_QUOTA_MEMBERS));
    for quota in &mut config.quotas {
        quota.leases.member_count = gateways as u16;
    }
    config.max_engines = MAX_OBSERVED_ENGINES;
    let mut coordinator = Coordinator::new(CoordinatorParams {
        process: process(0),
        zones: zones(gateways),
        config,
        last_event: 1,
        seed: 7,
        now: 0,
    });
    let engines: Vec<u64> = (0..engines).map(engine_number).collect();
    coordinator.set_ready_engines(&engines);
    for member in 1..gateways {
        coordinator.on_member_up(REST_START, process(member), &mut SentCounts::default());
    }
    coordinator
}

fn measure_coordinator_at_rest(coordinator: &mut Coordinator, seconds: u64) -> RestCost {
    let mut sent = SentCounts::default();
    let mut now = REST_START;
    let end = now + seconds * SECOND;
    let cpu_before = resource_usage::thread_cpu_s();
    while now < end {
        coordinator.on_timer(now, &mut sent);
        now = coordinator.next_timer().max(now + 1);
    }
    let cpu = resource_usage::thread_cpu_s() - cpu_before;
    let seconds = seconds as f64;
    RestCost {
        cpu_us_per_second: cpu / seconds * 1e6,
        bytes_per_second: (sent.gossip_bytes + sent.link_bytes) as f64 / seconds,
        datagrams_per_second: sent.gossip_datagrams as f64 / seconds,
    }
}

fn process(member: usize) -> ProcessId {
    ProcessId {
        member: MemberId(member as u16),
        incarnation: Incarnation(member as u64 + 1),
    }
}

fn zones(gateways: usize) -> Vec<u16> {
    (0..gateways)
        .map(|gateway| (gateway % ZONES) as u16)
        .collect()
}

fn engine_number(engine: usize) -> u64 {
    engine as u64 * 7919 + 17
}

fn observed(observed_at: Nanos) -> StoredObservation {
    StoredObservation {
        version: 1,
        observation: HealthObservation {
            successes: 2,
            failures: 1,
            unreachable: 0,
        },
        observed_at,
    }
}
