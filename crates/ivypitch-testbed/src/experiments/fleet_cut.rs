//! The experiment `fleet-cut`: gateway processes that share quotas and engine health, under
//! partitions, restarts and suspensions drawn from the seed, with engines that fail and drain. Each
//! seed also runs without coordination for comparison.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::processes::clients::{self, ClientConfig, PlannedStatement};
use crate::processes::verdict::{Verdict, judge};
use crate::processes::{EngineEvent, Fleet, FleetConfig, FleetEngines};
use crate::report::{Bound, Report};
use crate::virtual_time::faults::{FaultKind, FaultPlan, FaultPlanParams};

const GATEWAYS: usize = 12;
const ENGINES: usize = 6;
/// Cores of an engine.
const ENGINE_CORES: f64 = 4.0;
/// Statement timeout.
const TIMEOUT_MS: u64 = 3000;
/// Number of gateways that get ten times as many statements as each of the others.
const BUSY_GATEWAYS: usize = 2;

fn traffic(span_ms: u64, is_skewed: bool, seed: u64) -> Vec<PlannedStatement> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc07);
    let weight = |gateway: usize| {
        if is_skewed && gateway < BUSY_GATEWAYS {
            10.0
        } else {
            1.0
        }
    };
    let gateway_weights = Arc::new((0..GATEWAYS).map(weight).collect::<Vec<f64>>());
    let (mut statements, mut at_ms) = (Vec::new(), 0);
    while at_ms < span_ms {
        statements.push(PlannedStatement {
            at_ms,
            req: rng.random::<u64>() & 0xff_ffff_ffff,
            is_bulk_load: rng.random_bool(0.1),
            work_ms: rng.random_range(20..220),
            timeout_ms: TIMEOUT_MS,
            has_second_client: false,
            gateway_weights: gateway_weights.clone(),
            owner: "acme",
        });
        at_ms += rng.random_range(4..=16);
    }
    statements
}

/// Results of a run.
struct RunResult {
    verdict: Verdict,
    /// Time from the announcement of a drain to the last start at that engine.
    last_start_after_drain_ms: f64,
}

fn run_fleet(
    plan: &FaultPlan,
    span_ms: u64,
    is_skewed: bool,
    is_coordinated: bool,
    seed: u64,
) -> Result<RunResult, String> {
    let peers = format!(r#""custody":{{"enabled":false}},"shares":{{"enabled":{is_coordinated}}}"#);
    let mut fleet = Fleet::start(FleetConfig {
        gateways: GATEWAYS,
        engines: FleetEngines::Processes {
            count: ENGINES,
            cores: ENGINE_CORES,
        },
        max_statement_timeout_ms: TIMEOUT_MS,
        peer_settings: Some(peers),
        own_settings: r#""teams":{"enabled":true},"#.into(),
        seed,
        change_config: |settings| {
            settings.replace("\"cores-by-kind\":[64]", "\"cores-by-kind\":[4]")
        },
        direct_engines: true,
        ..FleetConfig::default()
    })?;
    let from = Instant::now() + Duration::from_millis(3500);
    let addresses: Vec<_> = fleet.gateways.iter().map(|slot| slot.address).collect();
    let client_config = ClientConfig {
        answer_timeout: Duration::from_millis(2500),
        seed,
    };
    let statements = traffic(span_ms, is_skewed, seed);
    let client_statements = statements.clone();
    let clients_thread = thread::spawn(move || {
        clients::run_clients(&client_statements, &addresses, client_config, from)
    });
    fleet.inject_faults(plan, from);
    let histories = clients_thread
        .join()
        .map_err(|_| "the client thread panicked".to_owned())?;
    fleet.shut_down();
    let engine_events = fleet.engine_events.all();
    let verdict = judge(
        &statements,
        &histories,
        &engine_events,
        &fleet.injected_faults,
        &fleet.crashes,
    );
    Ok(RunResult {
        verdict,
        last_start_after_drain_ms: last_start_after_drain_ms(&fleet, &engine_events),
    })
}

/// The largest time from the announcement of a drain to a start at that engine; 0: there was none.
fn last_start_after_drain_ms(fleet: &Fleet, engine_events: &[EngineEvent]) -> f64 {
    let mut latest = 0;
    for injected in &fleet.injected_faults {
        let FaultKind::DrainEngine {
            engine,
            duration_ms,
        } = injected.fault.kind
        else {
            continue;
        };
        let until = injected.at_us + duration_ms * 1000;
        let starts = engine_events
            .iter()
            .filter(|line| line.engine == engine && line.kind == "start");
        let delays = starts
            .filter(|line| line.at_us > injected.at_us && line.at_us < until)
            .map(|line| line.at_us - injected.at_us);
        latest = latest.max(delays.max().unwrap_or(0));
    }
    latest as f64 / 1000.0
}

/// Runs the experiment.
pub fn run(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("fleet-cut", seed);
    let (span_ms, seeds) = if quick { (9_000, 1) } else { (60_000, 20) };
    let scenario = format!(
        "{GATEWAYS} gateways, {ENGINES} engine processes, {} s, {seeds} seeds",
        span_ms / 1000
    );
    let params = FaultPlanParams {
        gateways: GATEWAYS,
        zones: 3,
        engines: ENGINES,
        duration_ms: span_ms,
        mean_gap_ms: 1500,
        has_only_losses: false,
    };
    let (mut min_gain, mut gain_sum, mut last_start_after_drain_ms, mut violations, mut crashes) =
        (f64::MAX, 0.0, 0.0f64, 0, 0);
    let mut drains = 0;
    for seed in seed..seed + seeds {
        let plan = FaultPlan::draw(params, seed);
        let runs = thread::scope(|scope| {
            let with = scope.spawn(|| run_fleet(&plan, span_ms, true, true, seed));
            let without = scope.spawn(|| run_fleet(&plan, span_ms, true, false, seed));
            [with, without].map(|run| run.join().unwrap_or_else(|_| Err("a run panicked".into())))
        });
        let [Ok(with), Ok(without)] = runs else {
            report.bounds.push(Bound::new(
                &format!("{scenario}: seed {seed} completes"),
                0.0,
                1.0,
                f64::MAX,
            ));
            continue;
        };
        let (service_with, service_without) = (with.verdict.service(), without.verdict.service());
        println!(
            "seed {seed}: service {service_with:.3} with coordination, {service_without:.3} without; {:?} {:?}",
            with.verdict.unserved, without.verdict.unserved
        );
        if !with.verdict.holds() {
            println!("plan:\n{plan}");
            with.verdict
                .broken
                .iter()
                .chain(&with.verdict.crashes)
                .for_each(|line| println!("{line}"));
        }
        drains += plan
            .faults
            .iter()
            .filter(|fault| matches!(fault.kind, FaultKind::DrainEngine { .. }))
            .count();
        min_gain = min_gain.min(service_with - service_without);
        gain_sum += service_with - service_without;
        last_start_after_drain_ms = last_start_after_drain_ms.max(with.last_start_after_drain_ms);
        violations += with.verdict.refused_and_ran + with.verdict.two_ends + with.verdict.silent;
        crashes += with.verdict.crashes.len();
    }
    let mut add_bound = |name: &str, value: f64, min: f64, max: f64| {
        report
            .bounds
            .push(Bound::new(&format!("{scenario}: {name}"), value, min, max))
    };
    add_bound(
        "guarantees to clients violated",
        violations as f64,
        0.0,
        0.0,
    );
    add_bound("crashes", crashes as f64, 0.0, 0.0);
    add_bound("drains", drains as f64, 0.0, f64::MAX);
    add_bound(
        "last start at an engine after its drain was announced, ms",
        last_start_after_drain_ms,
        0.0,
        250.0,
    );
    add_bound(
        "service minus service without coordination, minimum over seeds",
        min_gain,
        -0.01,
        f64::MAX,
    );
    add_bound(
        "the same, mean",
        gain_sum / seeds as f64,
        if quick { -1.0 } else { 0.03 },
        f64::MAX,
    );
    report
}
