//! The experiment `fleet-cut`: real gateways that share their cores and their word on engines, with cuts, restarts and
//! stops by a seed, engines that fail and drain; beside it the same seed without sharing.

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
const CORES: f64 = 4.0;
const LONGEST_MS: u64 = 3000;
/// Two gateways are asked ten times as often as the others.
const HEAVY: usize = 2;

fn traffic(span: u64, uneven: bool, seed: u64) -> Vec<PlannedStatement> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc07);
    let weight = |g: usize| if uneven && g < HEAVY { 10.0 } else { 1.0 };
    let prefers = Arc::new((0..GATEWAYS).map(weight).collect::<Vec<f64>>());
    let (mut asks, mut at) = (Vec::new(), 0);
    while at < span {
        asks.push(PlannedStatement {
            at_ms: at,
            req: rng.random::<u64>() & 0xff_ffff_ffff,
            is_bulk_load: rng.random_bool(0.1),
            work_ms: rng.random_range(20..220),
            timeout_ms: LONGEST_MS,
            has_second_client: false,
            gateway_weights: prefers.clone(),
            owner: "acme",
        });
        at += rng.random_range(4..=16);
    }
    asks
}

struct Run {
    verdict: Verdict,
    /// Milliseconds after the first gateway heard of a drain at which the last start came to that engine.
    drained_ms: f64,
}

fn run(plan: &FaultPlan, span: u64, uneven: bool, shares: bool, seed: u64) -> Result<Run, String> {
    let peers = format!(r#""custody":{{"enabled":false}},"shares":{{"enabled":{shares}}}"#);
    let mut fleet = Fleet::start(FleetConfig {
        gateways: GATEWAYS,
        engines: FleetEngines::Processes {
            count: ENGINES,
            cores: CORES,
        },
        max_statement_timeout_ms: LONGEST_MS,
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
    let addresses: Vec<_> = fleet.gateways.iter().map(|seat| seat.address).collect();
    let manners = ClientConfig {
        answer_timeout: Duration::from_millis(2500),
        seed,
    };
    let asks = traffic(span, uneven, seed);
    let theirs = asks.clone();
    let playing = thread::spawn(move || clients::run_clients(&theirs, &addresses, manners, from));
    fleet.inject_faults(plan, from);
    let stories = playing
        .join()
        .map_err(|_| "the clients' thread failed".to_owned())?;
    fleet.shut_down();
    let said = fleet.engine_events.all();
    let verdict = judge(
        &asks,
        &stories,
        &said,
        &fleet.injected_faults,
        &fleet.crashes,
    );
    Ok(Run {
        verdict,
        drained_ms: drained(&fleet, &said),
    })
}

/// The latest start at an engine after its drain was told, in milliseconds; 0: none.
fn drained(fleet: &Fleet, said: &[EngineEvent]) -> f64 {
    let mut latest = 0;
    for done in &fleet.injected_faults {
        let FaultKind::DrainEngine {
            engine,
            duration_ms,
        } = done.fault.kind
        else {
            continue;
        };
        let until = done.at_us + duration_ms * 1000;
        let starts = said
            .iter()
            .filter(|s| s.engine == engine && s.kind == "start");
        let after = starts
            .filter(|s| s.at_us > done.at_us && s.at_us < until)
            .map(|s| s.at_us - done.at_us);
        latest = latest.max(after.max().unwrap_or(0));
    }
    latest as f64 / 1000.0
}

pub fn play(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("fleet-cut", seed);
    let (span, seeds) = if quick { (9_000, 1) } else { (60_000, 20) };
    let place = format!(
        "{GATEWAYS} gateways, {ENGINES} engines as processes, {} s, {seeds} seeds",
        span / 1000
    );
    let field = FaultPlanParams {
        gateways: GATEWAYS,
        zones: 3,
        engines: ENGINES,
        duration_ms: span,
        mean_gap_ms: 1500,
        has_only_losses: false,
    };
    let (mut least, mut gains, mut drained_ms, mut broken, mut crashes) =
        (f64::MAX, 0.0, 0.0f64, 0, 0);
    let mut drains = 0;
    for seed in seed..seed + seeds {
        let plan = FaultPlan::draw(field, seed);
        let runs = thread::scope(|scope| {
            let with = scope.spawn(|| run(&plan, span, true, true, seed));
            let without = scope.spawn(|| run(&plan, span, true, false, seed));
            [with, without].map(|run| run.join().unwrap_or_else(|_| Err("a run failed".into())))
        });
        let [Ok(with), Ok(without)] = runs else {
            report.bounds.push(Bound::new(
                &format!("{place}: seed {seed} is played"),
                0.0,
                1.0,
                f64::MAX,
            ));
            continue;
        };
        let (a, b) = (with.verdict.service(), without.verdict.service());
        println!(
            "seed {seed}: served {a:.3} with, {b:.3} without; {:?} {:?}",
            with.verdict.unserved, without.verdict.unserved
        );
        if !with.verdict.holds() {
            println!("the plan:\n{plan}");
            with.verdict
                .broken
                .iter()
                .chain(&with.verdict.crashes)
                .for_each(|line| println!("{line}"));
        }
        drains += plan
            .faults
            .iter()
            .filter(|f| matches!(f.kind, FaultKind::DrainEngine { .. }))
            .count();
        least = least.min(a - b);
        gains += a - b;
        drained_ms = drained_ms.max(with.drained_ms);
        broken += with.verdict.refused_and_ran + with.verdict.two_ends + with.verdict.silent;
        crashes += with.verdict.crashes.len();
    }
    let mut bound = |what: &str, is: f64, least: f64, most: f64| {
        report
            .bounds
            .push(Bound::new(&format!("{place}: {what}"), is, least, most))
    };
    bound("promises to clients broken", broken as f64, 0.0, 0.0);
    bound("crashes", crashes as f64, 0.0, 0.0);
    bound("drains played", drains as f64, 0.0, f64::MAX);
    bound(
        "last start at an engine after its drain was told, ms",
        drained_ms,
        0.0,
        250.0,
    );
    bound(
        "service over that without sharing, the least of all seeds",
        least,
        -0.01,
        f64::MAX,
    );
    bound(
        "the same, mean",
        gains / seeds as f64,
        if quick { -1.0 } else { 0.03 },
        f64::MAX,
    );
    report
}
