//! What coordination costs a gateway as gateways and engines grow in number.

use std::hint::black_box;

use ivypitch_coordination::{
    AttemptHealth, CoordinationMessage, CoordinationOutput, Coordinator, CoordinatorParams,
    GossipMessage, HealthObservation, MAX_OBSERVED_ENGINES, ObservationTable, OutlierConsensus,
    QuotaIndex, StoredObservation,
};
use ivypitch_gateway::wire::peer_frames::{Frame, encode_frame, encode_gossip};
use ivypitch_scheduler::OutlierStatus;
use ivypitch_types::{Incarnation, MILLISECOND, MemberId, Nanos, ProcessId, SECOND};

use super::module::SIZES;
use super::peers::{GATEWAYS, Points, ZONES, measure};
use super::slope::Measure;
use crate::virtual_time::faults::FaultPlan;
use crate::virtual_time::{coordination_fleet, resource_usage};

/// The gateway starts at 0 and has reached the others by then.
const REST_FROM: Nanos = 20 * SECOND;
/// Engines where the number of gateways grows, and gateways where that of engines does.
const ENGINES: usize = 80;
const GATEWAYS_AT_REST: usize = 300;
/// Whole units of a quota are kept small enough for the type that counts them.
const MAX_QUOTA_MEMBERS: usize = 600;
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

/// What a gateway at rest costs.
struct Rest {
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
        let rest = rest(&mut coordinator(gateways, ENGINES), seconds);
        let x = gateways as f64;
        cpu.push((x, rest.cpu_us_per_second));
        bytes.push((x, rest.bytes_per_second));
        datagrams.push((x, rest.datagrams_per_second));
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
    let mut at_rest = Points::new();
    let mut per_outcome = Points::new();
    for engines in SIZES {
        let mut coordinator = coordinator(GATEWAYS_AT_REST, engines);
        let seconds = if engines > 10_000 { 1 } else { 2 };
        let rest = rest(&mut coordinator, seconds);
        at_rest.push((engines as f64, rest.cpu_us_per_second));
        let us = us_per_outcome(&mut coordinator, engines, seed);
        per_outcome.push((engines as f64, us));
    }
    vec![
        measure(
            "shares: processor time at rest, 300 gateways",
            "us/s",
            "engines",
            at_rest,
        ),
        measure(
            "shares: processor time of a statement's outcome",
            "us",
            "engines",
            per_outcome,
        ),
    ]
}

fn us_per_outcome(coordinator: &mut Coordinator, engines: usize, seed: u64) -> f64 {
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

/// Whole fleets, two engines failing for a third of the time.
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

/// An evaluation of all engines by all gateways, one pair in ten known.
fn measure_evaluation(calls: usize) -> Measure {
    let mut evaluating = Points::new();
    let ready: Vec<u64> = (0..ENGINES).map(engine_number).collect();
    for &gateways in &GATEWAYS {
        let zones = zones(gateways);
        let mut table = ObservationTable::new(gateways, MAX_OBSERVED_ENGINES, 0);
        for (e, &engine) in ready.iter().enumerate() {
            for member in (e % 10..gateways).step_by(10) {
                table.insert_if_newer(engine, MemberId(member as u16), observed(3 * SECOND));
            }
        }
        let mut consensus = OutlierConsensus::default();
        let us = resource_usage::median_call_us(BATCHES, calls, || {
            black_box(consensus.evaluate(4 * SECOND, &table, &zones, &ready));
        });
        evaluating.push((gateways as f64, us));
    }
    measure(
        "shares: processor time of a judgement, one word in ten",
        "us",
        "gateways",
        evaluating,
    )
}

fn measure_table() -> Measure {
    let mut bytes = Points::new();
    for engines in SIZES {
        let mut table = ObservationTable::new(GATEWAYS_AT_REST, MAX_OBSERVED_ENGINES, 0);
        for e in 0..engines {
            table.insert_if_newer(engine_number(e), MemberId(1), observed(SECOND));
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

/// One gateway's coordinator, that reaches so many others and has so many engines.
///
/// A whole fleet is the square of the gateways and is left at 300; one gateway is a sample of it: at rest, what it sends
/// does not depend on what the others say.
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
        coordinator.on_member_up(REST_FROM, process(member), &mut SentCounts::default());
    }
    coordinator
}

fn rest(coordinator: &mut Coordinator, seconds: u64) -> Rest {
    let mut sent = SentCounts::default();
    let mut now = REST_FROM;
    let end = now + seconds * SECOND;
    let cpu_before = resource_usage::thread_cpu_s();
    while now < end {
        coordinator.on_timer(now, &mut sent);
        now = coordinator.next_timer().max(now + 1);
    }
    let cpu = resource_usage::thread_cpu_s() - cpu_before;
    let seconds = seconds as f64;
    Rest {
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
    (0..gateways).map(|g| (g % ZONES) as u16).collect()
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
