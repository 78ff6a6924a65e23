//! The cost of membership, links and ownership for a gateway at growing numbers of gateways.

use std::hint::black_box;

use ivypitch_gateway::wire::peer_frames::{Frame, encode_frame};
use ivypitch_membership::MembershipConfig;
use ivypitch_ownership::VoterAssignment;

use super::slope::Measure;
use crate::virtual_time::faults::FaultPlan;
use crate::virtual_time::membership_fleet::TransitTime;
use crate::virtual_time::{membership_fleet, ownership_fleet, resource_usage};

/// Measured fleet sizes.
pub const GATEWAYS: [usize; 5] = [30, 100, 300, 1000, 3800];
pub(super) const ZONES: usize = 24;
/// Heartbeats per second on each link (`actors/peer_links/connection.rs`).
pub const HEARTBEATS_PER_SECOND: f64 = 5.0;
/// Bytes that IP and TCP add to a frame that is sent alone.
pub const HEADER_BYTES: f64 = 52.0;

/// Pairs of size and cost.
pub(super) type Points = Vec<(f64, f64)>;

/// A measure of a gateway in virtual time.
pub(super) fn measure(
    name: &'static str,
    unit: &'static str,
    by: &'static str,
    points: Points,
) -> Measure {
    Measure {
        role: "gateway",
        name,
        unit,
        by,
        points,
        is_simulated: true,
    }
}

/// Simulates whole fleets of members with 1% of the datagrams lost. Each simulated member holds all
/// others, so the largest size runs only the first seconds of its cold start; 3,800 members did not
/// finish within five minutes and are left out.
pub fn membership(quick: bool, seed: u64) -> Vec<Measure> {
    // Members, seconds until the updates of the start have spread, and seconds that are measured.
    let sizes: &[(usize, u64, u64)] = if quick {
        &[(30, 20, 10), (100, 20, 10), (300, 25, 5)]
    } else {
        &[
            (30, 60, 60),
            (100, 60, 60),
            (300, 60, 30),
            (1000, 60, 10),
            (2000, 2, 1),
        ]
    };
    const PEAK_BYTES: usize = 4;
    const JOIN_TIME: usize = 6;
    let mut points: [Vec<(f64, f64)>; 7] = Default::default();
    for &(members, settle_seconds, seconds) in sizes {
        let fleet = membership_fleet::Fleet {
            members,
            zones: ZONES,
            datagram_loss: 0.01,
            transit: TransitTime {
                min_ms: 0.2,
                max_ms: 3.0,
            },
            settle_seconds,
            seconds,
            kill_interval_ms: None,
            partition_ms: None,
            config: MembershipConfig::default(),
        };
        let verdict = membership_fleet::run(fleet, seed);
        let costs = [
            verdict.bytes_per_member_second,
            verdict.datagrams_per_member_second,
            verdict.cpu_per_member_second * 1e6,
            verdict.memory_per_member,
            verdict.peak_bytes_per_member_second,
            verdict.start_bytes_per_member,
            verdict.joined_ms as f64,
        ];
        // While the updates of the start still spread, traffic and memory are above those at rest.
        let is_at_rest = settle_seconds >= 20;
        for (index, (points, cost)) in points.iter_mut().zip(costs).enumerate() {
            if is_at_rest || [PEAK_BYTES, JOIN_TIME].contains(&index) {
                points.push((members as f64, cost));
            }
        }
    }
    let measures = [
        ("members: bytes out at rest", "bytes/s"),
        ("members: datagrams out at rest", "1/s"),
        ("members: processor time at rest", "us/s"),
        ("members: memory", "bytes"),
        (
            "members: bytes out at a cold start of all, busiest second",
            "bytes/s",
        ),
        ("members: bytes out over a cold start of all", "bytes"),
        ("members: cold start of all until all hear all", "ms"),
    ];
    measures
        .into_iter()
        .zip(points)
        .map(|((name, unit), points)| measure(name, unit, "gateways", points))
        .collect()
}

/// Links at rest: one for each pair of gateways with heartbeats in both directions, by the size of
/// the encoded frame.
pub fn links() -> Vec<Measure> {
    let heartbeat_bytes = encode_frame(&Frame::Heartbeat).len() as f64 + HEADER_BYTES;
    let times_peers = |per_link: f64| {
        GATEWAYS
            .iter()
            .map(|&n| (n as f64, (n - 1) as f64 * per_link))
            .collect()
    };
    vec![
        measure(
            "links: bytes out at rest",
            "bytes/s",
            "gateways",
            times_peers(HEARTBEATS_PER_SECOND * heartbeat_bytes),
        ),
        measure(
            "links: frames out at rest",
            "1/s",
            "gateways",
            times_peers(HEARTBEATS_PER_SECOND),
        ),
        measure("links: descriptors", "", "gateways", times_peers(1.0)),
    ]
}

/// The cost of assigning voters, and messages and bytes per statement over whole fleets.
pub fn ownership(quick: bool, seed: u64) -> Vec<Measure> {
    let mut assignment_us = Vec::new();
    for &gateways in &GATEWAYS {
        let voters = VoterAssignment::new(
            (0..gateways)
                .map(|gateway| (gateway % ZONES) as u16)
                .collect(),
            5,
        );
        let mut id = seed;
        let calls = if quick { 400_000 } else { 4_000_000 } / gateways;
        let mut assign = || {
            id = id.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            black_box(voters.voters_of(id));
        };
        assignment_us.push((
            gateways as f64,
            resource_usage::median_call_us(5, calls, &mut assign),
        ));
    }
    let (mut messages, mut bytes) = (Vec::new(), Vec::new());
    for &gateways in GATEWAYS
        .iter()
        .filter(|&&n| n <= if quick { 300 } else { 1000 })
    {
        // Each gateway has the same traffic at every size.
        let fleet = ownership_fleet::Fleet {
            gateways,
            zones: 7,
            engines: 20,
            duration_ms: if quick { 1000 } else { 4000 },
            statement_gap_ms: 1,
            fault_gap_ms: 1_000_000,
            counts_bytes: true,
            ..ownership_fleet::Fleet::default()
        };
        let verdict = ownership_fleet::run(&fleet, &FaultPlan::default(), seed);
        let statements = verdict.statements.max(1) as f64;
        messages.push((gateways as f64, verdict.messages as f64 / statements));
        bytes.push((gateways as f64, verdict.bytes as f64 / statements));
    }
    vec![
        measure(
            "custody: processor time to choose a statement's witnesses",
            "us",
            "gateways",
            assignment_us,
        ),
        measure("custody: messages of a statement", "", "gateways", messages),
        measure("custody: bytes of a statement", "bytes", "gateways", bytes),
    ]
}
