//! The experiment `custody-cost`: the cost of statement ownership when no gateway is lost. Latency
//! and processor time come from processes, with and without peers. Bytes between gateways are
//! counted at their links; their growth with the fleet comes from virtual time.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::processes::clients::{self, ClientConfig, PlannedStatement, StatementHistory};
use crate::processes::{Fleet, FleetConfig, FleetEngines};
use crate::report::{Bound, Report};
use crate::virtual_time::faults::FaultPlan;
use crate::virtual_time::ownership_fleet;

/// Statement timeout.
const TIMEOUT_MS: u64 = 3000;
/// Retention of vote logs beyond the statement timeout.
const VOTE_RETENTION_MS: u64 = 500;

/// Costs measured in one run of processes.
#[derive(Default)]
struct Cost {
    /// Latencies in microseconds, from the scheduled arrival to the rows.
    load_latencies_us: Vec<u64>,
    lookup_latencies_us: Vec<u64>,
    unserved: usize,
    /// Processor time per statement.
    cpu_us: f64,
    /// Bytes between gateways per statement, without the traffic at rest.
    bytes: f64,
    /// Bytes of membership and links at rest, per gateway and second.
    idle_bytes_per_s: f64,
}

fn traffic(span_ms: u64, gap_ms: u64, seed: u64) -> Vec<PlannedStatement> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let no_preference = Arc::new(Vec::new());
    let (mut statements, mut at_ms) = (Vec::new(), 0);
    while at_ms < span_ms {
        statements.push(PlannedStatement {
            at_ms,
            req: rng.random::<u64>() & 0xff_ffff_ffff,
            is_bulk_load: rng.random_bool(0.4),
            work_ms: rng.random_range(2..12),
            timeout_ms: TIMEOUT_MS,
            has_second_client: false,
            gateway_weights: no_preference.clone(),
            owner: "acme",
        });
        at_ms += rng.random_range(1..=2 * gap_ms);
    }
    statements
}

fn measure_processes(
    gateways: usize,
    has_peers: bool,
    span_ms: u64,
    seed: u64,
) -> Result<Cost, String> {
    let custody = format!(r#""custody":{{"remembered_ms":{VOTE_RETENTION_MS}}}"#);
    let mut fleet = Fleet::start(FleetConfig {
        gateways,
        engines: FleetEngines::Processes {
            count: 4,
            cores: 16.0,
        },
        max_statement_timeout_ms: TIMEOUT_MS,
        peer_settings: has_peers.then_some(custody),
        seed,
        ..FleetConfig::default()
    })?;
    // Voters vote only after this time; the traffic at rest is counted in its second half.
    let warm_up = Duration::from_millis(TIMEOUT_MS + VOTE_RETENTION_MS + 1000);
    thread::sleep(warm_up / 2);
    let (bytes_before, _) = fleet.network.gateway_traffic();
    thread::sleep(warm_up / 2);
    let (bytes_after, _) = fleet.network.gateway_traffic();
    let idle_bytes_per_s = (bytes_after - bytes_before) as f64 / (warm_up / 2).as_secs_f64();
    let statements = traffic(span_ms, 8, seed);
    let addresses: Vec<_> = fleet.gateways.iter().map(|slot| slot.address).collect();
    let (cpu_before, (bytes_before, _), started_at) = (
        fleet.cpu_time_us(),
        fleet.network.gateway_traffic(),
        Instant::now(),
    );
    let client_config = ClientConfig {
        answer_timeout: Duration::from_secs(4),
        seed,
    };
    let histories: Vec<StatementHistory> =
        clients::run_clients(&statements, &addresses, client_config, started_at);
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let cpu_us = fleet.cpu_time_us() - cpu_before;
    let bytes =
        (fleet.network.gateway_traffic().0 - bytes_before) as f64 - idle_bytes_per_s * elapsed_s;
    fleet.shut_down();
    if let Some(crash) = fleet.crashes.first() {
        return Err(crash.clone());
    }
    let latencies = |load: bool| {
        let matching = statements
            .iter()
            .zip(&histories)
            .filter(|(statement, _)| statement.is_bulk_load == load);
        let mut times: Vec<u64> = matching
            .filter_map(|(_, history)| history.served_after_us)
            .collect();
        times.sort_unstable();
        times
    };
    Ok(Cost {
        load_latencies_us: latencies(true),
        lookup_latencies_us: latencies(false),
        unserved: histories
            .iter()
            .filter(|history| history.served_after_us.is_none())
            .count(),
        cpu_us: cpu_us as f64 / statements.len() as f64,
        bytes: bytes.max(0.0) / statements.len() as f64,
        idle_bytes_per_s: idle_bytes_per_s / gateways as f64,
    })
}

/// A quantile of sorted latencies in microseconds, in milliseconds.
fn quantile_ms(times: &[u64], quantile: f64) -> f64 {
    let last = times.len().saturating_sub(1);
    times
        .get((last as f64 * quantile).round() as usize)
        .copied()
        .unwrap_or(0) as f64
        / 1000.0
}

/// Runs the experiment.
pub fn run(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("custody-cost", seed);
    let span_ms = if quick { 6_000 } else { 30_000 };
    for gateways in [3, 8] {
        // The compared runs come one after the other so that they do not share the cores.
        let (without_peers, with_peers) = (
            measure_processes(gateways, false, span_ms, seed),
            measure_processes(gateways, true, span_ms, seed),
        );
        let scenario = format!(
            "{gateways} gateways, 4 engine processes, {} s",
            span_ms / 1000
        );
        let mut add_bound = |name: &str, value: f64, min: f64, max: f64| {
            report
                .bounds
                .push(Bound::new(&format!("{scenario}: {name}"), value, min, max))
        };
        let (without_peers, with_peers) = match (without_peers, with_peers) {
            (Ok(without_peers), Ok(with_peers)) => (without_peers, with_peers),
            (without_peers, with_peers) => {
                [without_peers, with_peers]
                    .into_iter()
                    .filter_map(Result::err)
                    .for_each(|error| eprintln!("run failed: {error}"));
                add_bound("all runs complete", 0.0, 1.0, f64::MAX);
                continue;
            }
        };
        add_bound(
            "statements not served",
            (without_peers.unserved + with_peers.unserved) as f64,
            0.0,
            0.0,
        );
        for (kind, without, with) in [
            (
                "load",
                &without_peers.load_latencies_us,
                &with_peers.load_latencies_us,
            ),
            (
                "lookup",
                &without_peers.lookup_latencies_us,
                &with_peers.lookup_latencies_us,
            ),
        ] {
            for (label, quantile) in [("median", 0.5), ("p99", 0.99)] {
                add_bound(
                    &format!("{kind}, {label} ms without peers"),
                    quantile_ms(without, quantile),
                    0.0,
                    f64::MAX,
                );
                add_bound(
                    &format!("{kind}, {label} ms with peers"),
                    quantile_ms(with, quantile),
                    0.0,
                    f64::MAX,
                );
            }
        }
        add_bound(
            "CPU of all gateways, us per statement without peers",
            without_peers.cpu_us,
            0.0,
            f64::MAX,
        );
        add_bound(
            "CPU of all gateways, us per statement with peers, membership included",
            with_peers.cpu_us,
            0.0,
            f64::MAX,
        );
        add_bound(
            "bytes between gateways per statement",
            with_peers.bytes,
            0.0,
            f64::MAX,
        );
        add_bound(
            "bytes at rest per gateway and second",
            with_peers.idle_bytes_per_s,
            0.0,
            f64::MAX,
        );
    }
    for gateways in if quick { vec![3, 30] } else { vec![3, 30, 300] } {
        let fleet = ownership_fleet::Fleet {
            gateways,
            counts_bytes: true,
            ..ownership_fleet::Fleet::default()
        };
        let verdict = ownership_fleet::run(&fleet, &FaultPlan::default(), seed);
        let scenario = format!("virtual time, {gateways} gateways, no faults");
        let statements = verdict.statements.max(1) as f64;
        let mut add_bound = |name: &str, value: f64, min: f64, max: f64| {
            report
                .bounds
                .push(Bound::new(&format!("{scenario}: {name}"), value, min, max))
        };
        add_bound(
            "guarantees violated",
            f64::from(u8::from(!verdict.holds())),
            0.0,
            0.0,
        );
        add_bound(
            "messages per statement",
            verdict.messages as f64 / statements,
            0.0,
            f64::MAX,
        );
        add_bound(
            "bytes per statement, text of 200 bytes",
            verdict.bytes as f64 / statements,
            0.0,
            f64::MAX,
        );
        add_bound(
            "maximum number of vote log entries",
            verdict.max_vote_log_entries as f64,
            0.0,
            f64::MAX,
        );
    }
    report
}
