//! The experiment `gateway-loss`: real gateways and engines, of which gateways are killed, stopped and ended by a seed
//! while clients come back. Beside it the same traffic without losses, and with the subsystem off.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::processes::clients::{self, ClientConfig, PlannedStatement};
use crate::processes::verdict::{Verdict, judge};
use crate::processes::{Fleet, FleetConfig, FleetEngines};
use crate::report::{Bound, Report};
use crate::virtual_time::faults::{Fault, FaultKind, FaultPlan, FaultPlanParams};

const GATEWAYS: usize = 8;
const ENGINES: usize = 6;
const LONGEST_MS: u64 = 8000;
/// Witnesses that began with the fleet vote after the longest statement timeout and what they remember beyond it.
const REMEMBERED_MS: u64 = 1000;
const GAP_MS: u64 = 25;
const LOSS_EACH_MS: u64 = 3000;

pub fn traffic(span: u64, gap: u64, seed: u64) -> Vec<PlannedStatement> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7aff1c);
    let all = Arc::new(Vec::new());
    let (mut asks, mut at) = (Vec::new(), 0);
    while at < span {
        let load = rng.random_bool(0.4);
        asks.push(PlannedStatement {
            at_ms: at,
            // The upper bits count how often a refused one has asked anew.
            req: rng.random::<u64>() & 0xff_ffff_ffff,
            is_bulk_load: load,
            work_ms: if load {
                rng.random_range(100..2500)
            } else {
                rng.random_range(5..800)
            },
            timeout_ms: rng.random_range(LONGEST_MS * 3 / 4..LONGEST_MS),
            has_second_client: rng.random_bool(0.1),
            gateway_weights: all.clone(),
            owner: "acme",
        });
        at += rng.random_range(1..=2 * gap);
    }
    asks
}

pub fn setup(seed: u64, peers: bool) -> FleetConfig {
    let custody = format!(r#""custody":{{"remembered_ms":{REMEMBERED_MS},"asks_from_ms":0}}"#);
    FleetConfig {
        gateways: GATEWAYS,
        engines: FleetEngines::Processes {
            count: ENGINES,
            cores: 16.0,
        },
        max_statement_timeout_ms: LONGEST_MS,
        peer_settings: peers.then_some(custody),
        seed,
        ..FleetConfig::default()
    }
}

/// One run of processes under a plan.
pub fn run(setup: FleetConfig, plan: &FaultPlan, span: u64, seed: u64) -> Result<Verdict, String> {
    let peers = setup.peer_settings.is_some();
    let mut fleet = Fleet::start(setup)?;
    let warm = if peers {
        LONGEST_MS + REMEMBERED_MS + 1000
    } else {
        200
    };
    let from = Instant::now() + Duration::from_millis(warm);
    let addresses: Vec<_> = fleet.gateways.iter().map(|seat| seat.address).collect();
    let manners = ClientConfig {
        answer_timeout: Duration::from_millis(3500),
        seed,
    };
    let asks = traffic(span, GAP_MS, seed);
    let theirs = asks.clone();
    let playing = thread::spawn(move || clients::run_clients(&theirs, &addresses, manners, from));
    fleet.inject_faults(plan, from);
    let stories = playing
        .join()
        .map_err(|_| "the clients' thread failed".to_owned())?;
    fleet.shut_down();
    Ok(judge(
        &asks,
        &stories,
        &fleet.engine_events.all(),
        &fleet.injected_faults,
        &fleet.crashes,
    ))
}

pub fn play(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("gateway-loss", seed);
    let span = if quick { 12_000 } else { 60_000 };
    let field = FaultPlanParams {
        gateways: GATEWAYS,
        zones: 3,
        engines: ENGINES,
        duration_ms: span,
        mean_gap_ms: LOSS_EACH_MS,
        has_only_losses: true,
    };
    let plan = FaultPlan::draw(field, seed);
    let none = FaultPlan::default();
    // One gateway after the other, as a release does.
    let each = span / (GATEWAYS as u64 + 2);
    let rolled = (0..GATEWAYS)
        .map(|gateway| Fault {
            at_ms: 500 + each * gateway as u64,
            kind: FaultKind::ShutDown {
                gateway,
                restart_after_ms: 400,
            },
        })
        .collect();
    let rolled = FaultPlan { faults: rolled };
    let runs = thread::scope(|scope| {
        let with = scope.spawn(|| run(setup(seed, true), &plan, span, seed));
        let calm = scope.spawn(|| run(setup(seed, true), &none, span, seed));
        let off = scope.spawn(|| run(setup(seed, false), &plan, span, seed));
        let roll = scope.spawn(|| run(setup(seed, true), &rolled, span, seed));
        [with, calm, off, roll].map(|run| run.join().unwrap_or_else(|_| Err("a run failed".into())))
    });
    let [with, calm, off, roll] = match runs {
        [Ok(with), Ok(calm), Ok(off), Ok(roll)] => [with, calm, off, roll],
        runs => {
            runs.into_iter()
                .filter_map(Result::err)
                .for_each(|e| eprintln!("not played: {e}"));
            report
                .bounds
                .push(Bound::new("the runs end", 0.0, 1.0, f64::MAX));
            return report;
        }
    };
    println!("the plan:\n{plan}");
    for (name, verdict) in [
        ("losses", &with),
        ("no losses", &calm),
        ("rolled", &roll),
        ("losses, without peers", &off),
    ] {
        if name != "losses, without peers" {
            verdict
                .broken
                .iter()
                .chain(&verdict.crashes)
                .for_each(|line| println!("{name}: {line}"));
        }
        println!("{name}: unserved by last word {:?}", verdict.unserved);
    }
    let place = format!(
        "{GATEWAYS} gateways, {ENGINES} engines as processes, {} s",
        span / 1000
    );
    let mut bound = |what: &str, is: f64, least: f64, most: f64| {
        report
            .bounds
            .push(Bound::new(&format!("{place}: {what}"), is, least, most))
    };
    bound("faults", plan.faults.len() as f64, 1.0, f64::MAX);
    bound("loads", with.loads as f64, 1.0, f64::MAX);
    for (name, v) in [("losses", &with), ("no losses", &calm), ("rolled", &roll)] {
        bound(
            &format!("{name}: loads started twice"),
            v.doubled as f64,
            0.0,
            0.0,
        );
        bound(
            &format!("{name}: loads refused that ran"),
            v.refused_and_ran as f64,
            0.0,
            0.0,
        );
        bound(
            &format!("{name}: clients with two ends"),
            v.two_ends as f64,
            0.0,
            0.0,
        );
        bound(
            &format!("{name}: second clients told no more than may have run"),
            v.unsure as f64,
            0.0,
            f64::MAX,
        );
        bound(
            &format!("{name}: clients left without a word"),
            v.silent as f64,
            0.0,
            0.0,
        );
        bound(
            &format!("{name}: crashes"),
            v.crashes.len() as f64,
            0.0,
            0.0,
        );
    }
    bound(
        "running at a loss and come back for",
        with.caught as f64,
        0.0,
        f64::MAX,
    );
    if with.caught > 0 {
        bound(
            "of these completed without running again",
            with.carried as f64 / with.caught as f64,
            0.95,
            1.0,
        );
    }
    bound(
        "rolled: statements that ran again",
        roll.again as f64,
        0.0,
        0.0,
    );
    bound(
        "rolled: service over that without",
        roll.service() / calm.service().max(1e-9),
        0.99,
        f64::MAX,
    );
    bound("service", with.service(), 0.0, f64::MAX);
    bound(
        "service over that without losses",
        with.service() / calm.service().max(1e-9),
        0.97,
        f64::MAX,
    );
    bound(
        "first question by another after a loss, median ms",
        with.first_ask_p50 as f64,
        0.0,
        f64::MAX,
    );
    bound(
        "first question by another after a loss, p99 ms",
        with.first_ask_p99 as f64,
        0.0,
        1600.0,
    );
    bound("median ms", with.p50_ms as f64, 0.0, f64::MAX);
    bound("99th ms", with.p99_ms as f64, 0.0, f64::MAX);
    bound(
        "without peers: loads started twice",
        off.doubled as f64,
        0.0,
        f64::MAX,
    );
    bound(
        "without peers: completed without running again",
        off.carried as f64 / off.caught.max(1) as f64,
        0.0,
        f64::MAX,
    );
    bound("without peers: service", off.service(), 0.0, f64::MAX);
    if with.caught == 0 {
        let why = "the plan has no statement that ran at a loss and was come back for";
        report.inconclusive_reason = Some(why.to_owned());
    }
    report
}
