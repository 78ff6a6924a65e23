//! The experiment `soak`: real gateways that are restarted, reloaded and told to end again and again while clients go on using
//! their connections, by a plan that its seed draws.

pub mod checker;
pub mod observations;
pub mod plan;

mod clients;
mod frontend;
mod operator;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use self::checker::{FindingKind, Verdict, judge};
use self::clients::ClientParams;
use self::frontend::Frontend;
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
/// SIGKILL comes so much later than the longest timeout after SIGTERM.
const DRAIN_PERIOD_MS: u64 = 700;
/// What voters remember beyond the longest timeout.
const RETENTION_MS: u64 = 400;
const QUICK_SPAN_MS: u64 = 20_000;
const SPAN_MS: u64 = 60_000;
/// Engines drop what nobody polls for within 2 s.
const ENGINES_SETTLE: Duration = Duration::from_millis(2500);
/// Descriptors of a gateway, and where a crowd fills them.
const DESCRIPTORS: u64 = 1024;
const CROWD_DESCRIPTORS: u64 = 256;
const RESIDENT_BYTES: u64 = 192 << 20;

/// Plays the run of a seed.
pub fn play(quick: bool, seed: u64) -> Report {
    let size = SoakSize {
        gateways: GATEWAYS,
        engines: ENGINES,
        span: if quick { QUICK_SPAN_MS } else { SPAN_MS },
    };
    let plan = SoakPlan::draw(size, seed);
    let mut report = Report::new("soak", seed);
    match run(&plan, seed) {
        Ok(soak) => add_verdict(&mut report, &plan, &soak),
        Err(error) => {
            eprintln!("not played: {error}");
            report
                .bounds
                .push(Bound::new("the run ends", 0.0, 1.0, f64::MAX));
        }
    }
    report
}

/// A run and its verdict.
struct Soak {
    verdict: Verdict,
    restarts: usize,
    ended_before_handler: usize,
    max_descriptors: u64,
    max_resident_bytes: u64,
}

fn run(plan: &SoakPlan, seed: u64) -> Result<Soak, String> {
    let mut fleet = Fleet::start(setup(plan, seed))?;
    let warm_ms = if plan.has_peers {
        MAX_TIMEOUT_MS + RETENTION_MS + 1000
    } else {
        200
    };
    thread::sleep(Duration::from_millis(warm_ms));
    let from = Instant::now();
    let frontend = Arc::new(Frontend::new(GATEWAYS));
    let params = ClientParams {
        addresses: fleet.gateways.iter().map(|seat| seat.address).collect(),
        frontend: frontend.clone(),
        clients: CLIENTS,
        until: from + Duration::from_millis(plan.span),
        max_timeout_ms: MAX_TIMEOUT_MS,
        has_peers: plan.has_peers,
        has_crowd: plan.has_crowd,
        seed,
    };
    let playing = thread::spawn(move || clients::play(params));
    let kill_after = Duration::from_millis(MAX_TIMEOUT_MS + DRAIN_PERIOD_MS);
    let record = Operator::new(&mut fleet, frontend, kill_after).run(plan, from);
    let requests = playing
        .join()
        .map_err(|_| "the clients' thread failed".to_owned())?;
    thread::sleep(ENGINES_SETTLE);
    let observations = Observations {
        has_peers: plan.has_peers,
        has_crowd: plan.has_crowd,
        limits: Limits {
            descriptors: descriptors(plan),
            resident_bytes: RESIDENT_BYTES,
            kill_after: kill_after.as_micros() as u64,
        },
        requests,
        processes: record.processes.clone(),
        drains: record.drains.clone(),
        engine_lines: fleet.engine_events.all(),
    };
    let mut verdict = judge(&observations);
    add_panics(&fleet, &mut verdict);
    Ok(summary(verdict, &record))
}

fn setup(plan: &SoakPlan, seed: u64) -> FleetConfig {
    let peers = format!(
        r#""period_ms":200,"suspicion_ms":700,"custody":{{"remembered_ms":{RETENTION_MS},"asks_from_ms":0}}"#
    );
    let settings: fn(String) -> String = if plan.has_crowd {
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

fn descriptors(plan: &SoakPlan) -> u64 {
    if plan.has_crowd {
        CROWD_DESCRIPTORS
    } else {
        DESCRIPTORS
    }
}

fn add_panics(fleet: &Fleet, verdict: &mut Verdict) {
    for (gateway, seat) in fleet.gateways.iter().enumerate() {
        for line in seat.log.all() {
            if line.contains("panicked") {
                let lines = verdict.broken.entry(FindingKind::ExitCode).or_default();
                lines.push(format!("n{gateway}: {line}"));
            }
        }
    }
}

fn summary(verdict: Verdict, record: &OperatorRecord) -> Soak {
    let processes = &record.processes;
    Soak {
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

fn add_verdict(report: &mut Report, plan: &SoakPlan, soak: &Soak) {
    let verdict = &soak.verdict;
    report.notes.push(verdict.to_string());
    if !verdict.holds() {
        report.notes.push(format!("the plan:\n{plan}"));
    }
    let mut told = |what: &str, is: f64| {
        report.bounds.push(Bound::new(what, is, 0.0, f64::MAX));
    };
    told("requests", verdict.requests as f64);
    told("served", verdict.served as f64);
    told("planned restarts", soak.restarts as f64);
    told(
        "processes that SIGTERM ended before their handler",
        soak.ended_before_handler as f64,
    );
    told("most descriptors at a SIGTERM", soak.max_descriptors as f64);
    told(
        "most resident MB at a SIGTERM",
        soak.max_resident_bytes as f64 / 1e6,
    );
    let broken: usize = verdict.broken.values().map(Vec::len).sum();
    report
        .bounds
        .push(Bound::new("promises broken", broken as f64, 0.0, 0.0));
    let served = verdict.served as f64 / verdict.requests.max(1) as f64;
    report
        .bounds
        .push(Bound::new("part served", served, 0.3, 1.0));
}
