//! What gateways owe each other as there are more of them: members, links, custody, shares.

use std::hint::black_box;

use ivypitch_coordination::{
    AttemptHealth, CoordinationMessage, CoordinationOutput, Coordinator, CoordinatorParams,
    GossipMessage, HealthObservation, MAX_OBSERVED_ENGINES, ObservationTable, OutlierConsensus,
    QuotaIndex, StoredObservation,
};
use ivypitch_gateway::wire::peer_frames::{Frame, encode_frame, encode_gossip};
use ivypitch_membership::MembershipConfig;
use ivypitch_ownership::VoterAssignment;
use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId, SECOND};

use super::slope::Measure;
use crate::virtual_time::faults::Plan;
use crate::virtual_time::membership_fleet::TransitTime;
use crate::virtual_time::{coordination_fleet, cost, membership_fleet, ownership_fleet};

const MS: Nanos = 1_000_000;
pub const GATEWAYS: [usize; 5] = [30, 100, 300, 1000, 3800];
const ZONES: usize = 24;
/// Beats a second on each link (`actors/peers.rs`), and what IP and TCP add to a frame that goes alone.
pub const BEATS: f64 = 5.0;
pub const HEADERS: f64 = 52.0;

fn measure(
    what: &'static str,
    unit: &'static str,
    by: &'static str,
    points: Vec<(f64, f64)>,
) -> Measure {
    Measure {
        role: "gateway",
        what,
        unit,
        by,
        points,
        is_simulated: true,
    }
}

/// Whole fleets of members with 1% of their datagrams lost. The simulator holds every member whole, and each of them
/// all others: the largest size is played for the first seconds of its cold start, 3,800 not at all (not ended in five
/// minutes).
pub fn members(quick: bool, seed: u64) -> Vec<Measure> {
    // Seconds that the news of the start need, and those that are counted.
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
    const BUSIEST: usize = 4;
    const JOINED: usize = 6;
    let mut points: [Vec<(f64, f64)>; 7] = Default::default();
    for &(members, settles, seconds) in sizes {
        let fleet = membership_fleet::Fleet {
            members,
            zones: ZONES,
            datagram_loss: 0.01,
            transit: TransitTime {
                min_ms: 0.2,
                max_ms: 3.0,
            },
            settle_seconds: settles,
            seconds,
            kill_interval_ms: None,
            partition_ms: None,
            config: MembershipConfig::default(),
        };
        let told = membership_fleet::play(fleet, seed);
        let costs = [
            told.bytes_per_member_second,
            told.datagrams_per_member_second,
            told.cpu_per_member_second * 1e6,
            told.memory_per_member,
            told.peak_bytes_per_member_second,
            told.start_bytes_per_member,
            told.joined_ms as f64,
        ];
        // Where the news of the start still go round, nothing is at rest, and more is held than is kept.
        let is_at_rest = settles >= 20;
        for (i, (points, cost)) in points.iter_mut().zip(costs).enumerate() {
            if is_at_rest || [BUSIEST, JOINED].contains(&i) {
                points.push((members as f64, cost));
            }
        }
    }
    let told = [
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
    told.into_iter()
        .zip(points)
        .map(|((what, unit), points)| measure(what, unit, "gateways", points))
        .collect()
}

/// One link a pair with beats both ways, by the frame as it is written.
pub fn links() -> Vec<Measure> {
    let beat = encode_frame(&Frame::Heartbeat).len() as f64 + HEADERS;
    let by = |each: f64| {
        GATEWAYS
            .iter()
            .map(|&n| (n as f64, (n - 1) as f64 * each))
            .collect()
    };
    vec![
        measure(
            "links: bytes out at rest",
            "bytes/s",
            "gateways",
            by(BEATS * beat),
        ),
        measure("links: frames out at rest", "1/s", "gateways", by(BEATS)),
        measure("links: descriptors", "", "gateways", by(1.0)),
    ]
}

/// Choosing witnesses, alone; messages and bytes of a statement, over whole fleets.
pub fn custody(quick: bool, seed: u64) -> Vec<Measure> {
    let mut choosing = Vec::new();
    for &gateways in &GATEWAYS {
        let witnesses =
            VoterAssignment::new((0..gateways).map(|g| (g % ZONES) as u16).collect(), 5);
        let mut id = seed;
        let calls = if quick { 400_000 } else { 4_000_000 } / gateways;
        let mut choose = || {
            id = id.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            black_box(witnesses.voters_of(id));
        };
        choosing.push((gateways as f64, cost::middle_us(5, calls, &mut choose)));
    }
    let (mut messages, mut bytes) = (Vec::new(), Vec::new());
    for &gateways in GATEWAYS
        .iter()
        .filter(|&&n| n <= if quick { 300 } else { 1000 })
    {
        // Each gateway has the same traffic, whatever the size.
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
        let verdict = ownership_fleet::play(&fleet, &Plan::default(), seed);
        let statements = verdict.statements.max(1) as f64;
        messages.push((gateways as f64, verdict.messages as f64 / statements));
        bytes.push((gateways as f64, verdict.bytes as f64 / statements));
    }
    vec![
        measure(
            "custody: processor time to choose a statement's witnesses",
            "us",
            "gateways",
            choosing,
        ),
        measure("custody: messages of a statement", "", "gateways", messages),
        measure("custody: bytes of a statement", "bytes", "gateways", bytes),
    ]
}

#[derive(Default)]
struct Counted {
    gossip: u64,
    gossip_bytes: u64,
    words_bytes: u64,
}

impl CoordinationOutput for Counted {
    fn send(&mut self, _to: MemberId, message: CoordinationMessage) {
        self.words_bytes += encode_frame(&Frame::Coordination(message)).len() as u64;
    }
    fn send_gossip(&mut self, _to: MemberId, gossip: GossipMessage) {
        self.gossip += 1;
        self.gossip_bytes += encode_gossip(&gossip).len() as u64;
    }
    fn on_quota_changed(&mut self, _quota: QuotaIndex, _share: f64) {}
    fn on_outlier_status(&mut self, _engine: u64, _advice: ivypitch_scheduler::OutlierStatus) {}
    fn on_endpoint_event(&mut self, _number: u64, _line: &[u8]) {}
    fn log(&mut self, _line: &str) {}
}

fn process(member: usize, incarnation: u64) -> ProcessId {
    ProcessId {
        member: MemberId(member as u16),
        incarnation: Incarnation(incarnation),
    }
}

fn engine(e: usize) -> u64 {
    e as u64 * 7919 + 17
}

/// One gateway's part, that hears so many others and lists so many engines. The whole fleet of the simulator is the
/// square of the gateways and is left at 300; one gateway is a sample of it: at rest what it sends does not depend on
/// what the others say.
fn one(gateways: usize, engines: usize) -> Coordinator {
    let zones = (0..gateways).map(|g| (g % ZONES) as u16).collect();
    let mut config = coordination_fleet::config(gateways.min(600));
    for quota in &mut config.quotas {
        quota.leases.members = gateways as u16;
    }
    config.max_engines = MAX_OBSERVED_ENGINES;
    let mut one = Coordinator::new(CoordinatorParams {
        process: process(0, 1),
        zones,
        config,
        last_event: 1,
        seed: 7,
        now: 0,
    });
    one.set_ready_engines(&(0..engines).map(engine).collect::<Vec<u64>>());
    for place in 1..gateways {
        one.on_member_up(
            20 * SECOND,
            process(place, place as u64 + 1),
            &mut Counted::default(),
        );
    }
    one
}

/// So many seconds at rest: its processor time a second, and what it said.
fn rest(one: &mut Coordinator, seconds: u64) -> (f64, Counted) {
    let (mut now, mut out) = (20 * SECOND, Counted::default());
    let (end, began) = (now + seconds * SECOND, cost::thread_s());
    while now < end {
        one.on_timer(now, &mut out);
        now = one.next_timer().max(now + 1);
    }
    ((cost::thread_s() - began) / seconds as f64, out)
}

pub fn shares(quick: bool, seed: u64) -> Vec<Measure> {
    let (mut bytes, mut sends, mut by_gateways, mut by_engines, mut saw) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let seconds = if quick { 4 } else { 20 };
    for &gateways in &GATEWAYS {
        let (cpu, out) = rest(&mut one(gateways, 80), seconds);
        let x = gateways as f64;
        by_gateways.push((x, cpu * 1e6));
        bytes.push((
            x,
            (out.gossip_bytes + out.words_bytes) as f64 / seconds as f64,
        ));
        sends.push((x, out.gossip as f64 / seconds as f64));
    }
    for engines in super::module::SIZES {
        let mut one = one(300, engines);
        let seconds = if engines > 10_000 { 1 } else { 2 };
        by_engines.push((engines as f64, rest(&mut one, seconds).0 * 1e6));
        let (mut now, mut e) = (60 * SECOND, seed as usize);
        let calls = (4_000_000 / engines).clamp(200, 20_000);
        let mut call = || {
            (now, e) = (now + MS / 4, e + 7919);
            one.on_attempt_ended(now, engine(e % engines), AttemptHealth::Success);
        };
        saw.push((engines as f64, cost::middle_us(5, calls, &mut call)));
    }
    let mut told = vec![
        measure("shares: bytes out at rest", "bytes/s", "gateways", bytes),
        measure("shares: datagrams out at rest", "1/s", "gateways", sends),
        measure(
            "shares: processor time at rest, 80 engines",
            "us/s",
            "gateways",
            by_gateways,
        ),
        measure(
            "shares: processor time at rest, 300 gateways",
            "us/s",
            "engines",
            by_engines,
        ),
        measure(
            "shares: processor time of a statement's outcome",
            "us",
            "engines",
            saw,
        ),
    ];
    told.extend(words(quick));
    // Whole fleets, two engines failing for a third of the time.
    let mut failing = Vec::new();
    for &gateways in GATEWAYS
        .iter()
        .filter(|&&n| n <= if quick { 100 } else { 300 })
    {
        let fleet = coordination_fleet::Fleet {
            gateways,
            duration_ms: 6_000,
            datagram_loss: 0.01,
            ..coordination_fleet::Fleet::default()
        };
        let verdict = coordination_fleet::play(&fleet, &Plan::default(), seed);
        failing.push((gateways as f64, verdict.gossip_bytes + verdict.link_bytes));
    }
    told.push(measure(
        "shares: bytes out while two of 20 engines fail",
        "bytes/s",
        "gateways",
        failing,
    ));
    told
}

/// The table of words: a judgement of 80 engines by all members, one pair in ten known; and what it holds.
fn words(quick: bool) -> Vec<Measure> {
    let (mut judging, mut held) = (Vec::new(), Vec::new());
    let observation = HealthObservation {
        successes: 2,
        failures: 1,
        unreachable: 0,
    };
    let observed = |observed_at| StoredObservation {
        version: 1,
        observation,
        observed_at,
    };
    for &gateways in &GATEWAYS {
        let listed: Vec<u64> = (0..80).map(engine).collect();
        let zones: Vec<u16> = (0..gateways).map(|g| (g % ZONES) as u16).collect();
        let mut table = ObservationTable::new(gateways, MAX_OBSERVED_ENGINES, 0);
        for (e, &id) in listed.iter().enumerate() {
            for member in (e % 10..gateways).step_by(10) {
                table.put(id, MemberId(member as u16), observed(3 * SECOND));
            }
        }
        let mut consensus = OutlierConsensus::default();
        let calls = if quick { 10 } else { 100 };
        let mut judge = || {
            black_box(consensus.evaluate(4 * SECOND, &table, &zones, &listed));
        };
        judging.push((gateways as f64, cost::middle_us(5, calls, &mut judge)));
    }
    for engines in super::module::SIZES {
        let mut table = ObservationTable::new(300, MAX_OBSERVED_ENGINES, 0);
        for e in 0..engines {
            table.put(engine(e), MemberId(1), observed(SECOND));
        }
        held.push((engines as f64, table.size_bytes() as f64));
    }
    vec![
        measure(
            "shares: processor time of a judgement, one word in ten",
            "us",
            "gateways",
            judging,
        ),
        measure(
            "shares: memory of words, 300 gateways",
            "bytes",
            "engines",
            held,
        ),
    ]
}
