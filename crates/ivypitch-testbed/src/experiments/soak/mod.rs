//! The experiment `soak`: gateway processes that are repeatedly restarted, reloaded and signalled
//! by a plan drawn from the seed, while clients keep using their connections.

pub mod checker;
pub mod observations;
pub mod plan;

mod clients;
mod load_balancer;
mod operator;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use self::checker::{FindingKind, Verdict, check};
use self::clients::ClientParams;
use self::load_balancer::LoadBalancer;
use self::observations::{Limits, Observations};
use self::operator::{Operator, OperatorRecord};
use self::plan::{SoakPlan, SoakSize};
use crate::processes::{Fleet, FleetConfig, FleetEngines};
use crate::report::{Bound, Report};

const GATEWAYS: usize = 3;
const ENGINES: usize = 3;
const ENGINE_CORES: f64 = 16.0;
const CLIENTS: usize = 36;
/// Longest statement timeout.
const MAX_TIMEOUT_MS: u64 = 1500;
/// SIGKILL follows SIGTERM after the longest timeout and this time.
const DRAIN_PERIOD_MS: u64 = 700;
/// Retention of vote logs beyond the longest timeout.
const VOTE_RETENTION_MS: u64 = 400;
const QUICK_SPAN_MS: u64 = 20_000;
const SPAN_MS: u64 = 60_000;
/// Engines drop statements that nobody polls for 2 s.
const ENGINE_SETTLE_TIME: Duration = Duration::from_millis(2500);
/// Descriptor limit of a gateway.
const MAX_DESCRIPTORS: u64 = 1024;
/// Descriptor limit in runs where idle connections exhaust it.
const MAX_DESCRIPTORS_WITH_IDLE_CONNECTIONS: u64 = 256;
/// Memory limit of a gateway.
const MAX_RESIDENT_BYTES: u64 = 192 << 20;

/// Runs the experiment.
pub fn run(quick: bool, seed: u64) -> Report {
    let size = SoakSize {
        gateways: GATEWAYS,
        engines: ENGINES,
        span: if quick { QUICK_SPAN_MS } else { SPAN_MS },
    };
    let plan = SoakPlan::draw(size, seed);
    let mut report = Report::new("soak", seed);
    match run_plan(&plan, seed) {
        Ok(result) => add_verdict(&mut report, &plan, &result),
        Err(error) => {
            eprintln!("run failed: {error}");
            report
                .bounds
                .push(Bound::new("the run completes", 0.0, 1.0, f64::MAX));
        }
    }
    report
}

/// Results of a run.
struct SoakResult {
    verdict: Verdict,
    restarts: usize,
    ended_before_handler: usize,
    max_descriptors: u64,
    max_resident_bytes: u64,
}

fn run_plan(plan: &SoakPlan, seed: u64) -> Result<SoakResult, String> {
    let mut fleet = Fleet::start(setup(plan, seed))?;
    let warm_up_ms = if plan.has_peers {
        MAX_TIMEOUT_MS + VOTE_RETENTION_MS + 1000
    } else {
        200
    };
    thread::sleep(Duration::from_millis(warm_up_ms));
    let from = Instant::now();
    let load_balancer = Arc::new(LoadBalancer::new(GATEWAYS));
    let params = ClientParams {
        addresses: fleet.gateways.iter().map(|slot| slot.address).collect(),
        load_balancer: load_balancer.clone(),
        clients: CLIENTS,
        until: from + Duration::from_millis(plan.span),
        max_timeout_ms: MAX_TIMEOUT_MS,
        has_peers: plan.has_peers,
        has_idle_connections: plan.has_idle_connections,
        seed,
    };
    let clients_thread = thread::spawn(move || clients::run_clients(params));
    let kill_after = Duration::from_millis(MAX_TIMEOUT_MS + DRAIN_PERIOD_MS);
    let record = Operator::new(&mut fleet, load_balancer, kill_after).run(plan, from);
    let requests = clients_thread
        .join()
        .map_err(|_| "the client thread panicked".to_owned())?;
    thread::sleep(ENGINE_SETTLE_TIME);
    let observations = Observations {
        has_peers: plan.has_peers,
        has_idle_connections: plan.has_idle_connections,
        limits: Limits {
            descriptors: max_descriptors(plan),
            resident_bytes: MAX_RESIDENT_BYTES,
            kill_after: kill_after.as_micros() as u64,
        },
        requests,
        processes: record.processes.clone(),
        drains: record.drains.clone(),
        engine_lines: fleet.engine_events.all(),
    };
    let mut verdict = check(&observations);
    add_panics(&fleet, &mut verdict);
    Ok(summary(verdict, &record))
}

fn setup(plan: &SoakPlan, seed: u64) -> FleetConfig {
    let peers = format!(
        r#""period_ms":200,"suspicion_ms":700,"custody":{{"remembered_ms":{VOTE_RETENTION_MS},"asks_from_ms":0}}"#
    );
    let settings: fn(String) -> String = if plan.has_idle_connections {
        |config| config.replace("\"sockets\":1024", "\"sockets\":256")
    } else {
        |config| config
    };
    FleetConfig {
        gateways: GATEWAYS,
        engines: FleetEngines::Processes {
            count: ENGINES,
            cores: ENGINE_CORES,
        },
        max_statement_timeout_ms: MAX_TIMEOUT_MS,
        peer_settings: plan.has_peers.then_some(peers),
        seed,
        change_config: settings,
        ..FleetConfig::default()
    }
}

fn max_descriptors(plan: &SoakPlan) -> u64 {
    if plan.has_idle_connections {
        MAX_DESCRIPTORS_WITH_IDLE_CONNECTIONS
    } else {
        MAX_DESCRIPTORS
    }
}

/// Adds the panics in the logs of the gateways as findings.
fn add_panics(fleet: &Fleet, verdict: &mut Verdict) {
    for (gateway, slot) in fleet.gateways.iter().enumerate() {
        for line in slot.log.all() {
            if line.contains("panicked") {
                let lines = verdict.findings.entry(FindingKind::ExitCode).or_default();
                lines.push(format!("n{gateway}: {line}"));
            }
        }
    }
}

fn summary(verdict: Verdict, record: &OperatorRecord) -> SoakResult {
    let processes = &record.processes;
    SoakResult {
        verdict,
        restarts: processes
            .iter()
            .filter(|p| p.terminated_at.is_some())
            .count(),
        ended_before_handler: record.ended_before_handler,
        max_descriptors: processes.iter().map(|p| p.descriptors).max().unwrap_or(0),
        max_resident_bytes: processes
            .iter()
            .map(|p| p.resident_bytes)
            .max()
            .unwrap_or(0),
    }
}

fn add_verdict(report: &mut Report, plan: &SoakPlan, result: &SoakResult) {
    let verdict = &result.verdict;
    report.notes.push(verdict.to_string());
    if !verdict.holds() {
        report.notes.push(format!("plan:\n{plan}"));
    }
    let mut add_value = |name: &str, value: f64| {
        report.bounds.push(Bound::new(name, value, 0.0, f64::MAX));
    };
    add_value("requests", verdict.requests as f64);
    add_value("served", verdict.served as f64);
    add_value("planned restarts", result.restarts as f64);
    add_value(
        "processes ended by SIGTERM before the handler was installed",
        result.ended_before_handler as f64,
    );
    add_value(
        "maximum descriptors at a SIGTERM",
        result.max_descriptors as f64,
    );
    add_value(
        "maximum resident MB at a SIGTERM",
        result.max_resident_bytes as f64 / 1e6,
    );
    let violations: usize = verdict.findings.values().map(Vec::len).sum();
    report.bounds.push(Bound::new(
        "guarantees violated",
        violations as f64,
        0.0,
        0.0,
    ));
    let served_ratio = verdict.served as f64 / verdict.requests.max(1) as f64;
    report
        .bounds
        .push(Bound::new("fraction served", served_ratio, 0.3, 1.0));
}
