//! The experiment `gateway-loss`: gateway and engine processes. Gateways are killed, suspended and
//! terminated by a plan drawn from the seed while clients retry. For comparison, the same traffic
//! runs without losses, with planned restarts, and without peers.

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
/// Longest statement timeout.
const MAX_TIMEOUT_MS: u64 = 8000;
/// Retention of vote logs beyond the longest statement timeout. Voters that start with the fleet
/// vote only after both have passed.
const VOTE_RETENTION_MS: u64 = 1000;
/// Mean time between two statements.
const STATEMENT_GAP_MS: u64 = 25;
/// Mean time between two losses of a gateway.
const LOSS_INTERVAL_MS: u64 = 3000;

/// Draws the statements of all clients.
pub fn traffic(span_ms: u64, gap_ms: u64, seed: u64) -> Vec<PlannedStatement> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7aff1c);
    let no_preference = Arc::new(Vec::new());
    let (mut statements, mut at_ms) = (Vec::new(), 0);
    while at_ms < span_ms {
        let load = rng.random_bool(0.4);
        statements.push(PlannedStatement {
            at_ms,
            // The upper bits count the retries of a rejected statement.
            req: rng.random::<u64>() & 0xff_ffff_ffff,
            is_bulk_load: load,
            work_ms: if load {
                rng.random_range(100..2500)
            } else {
                rng.random_range(5..800)
            },
            timeout_ms: rng.random_range(MAX_TIMEOUT_MS * 3 / 4..MAX_TIMEOUT_MS),
            has_second_client: rng.random_bool(0.1),
            gateway_weights: no_preference.clone(),
            owner: "acme",
        });
        at_ms += rng.random_range(1..=2 * gap_ms);
    }
    statements
}

/// Configuration of the fleet.
pub fn setup(seed: u64, has_peers: bool) -> FleetConfig {
    let custody = format!(r#""custody":{{"remembered_ms":{VOTE_RETENTION_MS},"asks_from_ms":0}}"#);
    FleetConfig {
        gateways: GATEWAYS,
        engines: FleetEngines::Processes {
            count: ENGINES,
            cores: 16.0,
        },
        max_statement_timeout_ms: MAX_TIMEOUT_MS,
        peer_settings: has_peers.then_some(custody),
        seed,
        ..FleetConfig::default()
    }
}

/// Runs a fleet of processes under a plan.
pub fn run_fleet(
    setup: FleetConfig,
    plan: &FaultPlan,
    span_ms: u64,
    seed: u64,
) -> Result<Verdict, String> {
    let has_peers = setup.peer_settings.is_some();
    let mut fleet = Fleet::start(setup)?;
    let warm_up_ms = if has_peers {
        MAX_TIMEOUT_MS + VOTE_RETENTION_MS + 1000
    } else {
        200
    };
    let from = Instant::now() + Duration::from_millis(warm_up_ms);
    let addresses: Vec<_> = fleet.gateways.iter().map(|slot| slot.address).collect();
    let client_config = ClientConfig {
        answer_timeout: Duration::from_millis(3500),
        seed,
    };
    let statements = traffic(span_ms, STATEMENT_GAP_MS, seed);
    let client_statements = statements.clone();
    let clients_thread = thread::spawn(move || {
        clients::run_clients(&client_statements, &addresses, client_config, from)
    });
    fleet.inject_faults(plan, from);
    let histories = clients_thread
        .join()
        .map_err(|_| "the client thread panicked".to_owned())?;
    fleet.shut_down();
    Ok(judge(
        &statements,
        &histories,
        &fleet.engine_events.all(),
        &fleet.injected_faults,
        &fleet.crashes,
    ))
}

/// Runs the experiment.
pub fn run(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("gateway-loss", seed);
    let span_ms = if quick { 12_000 } else { 60_000 };
    let params = FaultPlanParams {
        gateways: GATEWAYS,
        zones: 3,
        engines: ENGINES,
        duration_ms: span_ms,
        mean_gap_ms: LOSS_INTERVAL_MS,
        has_only_losses: true,
    };
    let plan = FaultPlan::draw(params, seed);
    let no_faults = FaultPlan::default();
    // Restarts one gateway after the other, as a release does.
    let restart_interval_ms = span_ms / (GATEWAYS as u64 + 2);
    let restarts = (0..GATEWAYS)
        .map(|gateway| Fault {
            at_ms: 500 + restart_interval_ms * gateway as u64,
            kind: FaultKind::ShutDown {
                gateway,
                restart_after_ms: 400,
            },
        })
        .collect();
    let rolling_restart = FaultPlan { faults: restarts };
    let runs = thread::scope(|scope| {
        let with_losses = scope.spawn(|| run_fleet(setup(seed, true), &plan, span_ms, seed));
        let without_losses =
            scope.spawn(|| run_fleet(setup(seed, true), &no_faults, span_ms, seed));
        let without_peers = scope.spawn(|| run_fleet(setup(seed, false), &plan, span_ms, seed));
        let rolled = scope.spawn(|| run_fleet(setup(seed, true), &rolling_restart, span_ms, seed));
        [with_losses, without_losses, without_peers, rolled]
            .map(|run| run.join().unwrap_or_else(|_| Err("a run panicked".into())))
    });
    let [with_losses, without_losses, without_peers, rolled] = match runs {
        [
            Ok(with_losses),
            Ok(without_losses),
            Ok(without_peers),
            Ok(rolled),
        ] => [with_losses, without_losses, without_peers, rolled],
        runs => {
            runs.into_iter()
                .filter_map(Result::err)
                .for_each(|error| eprintln!("run failed: {error}"));
            report
                .bounds
                .push(Bound::new("all runs complete", 0.0, 1.0, f64::MAX));
            return report;
        }
    };
    println!("plan:\n{plan}");
    for (name, verdict) in [
        ("losses", &with_losses),
        ("no losses", &without_losses),
        ("rolled", &rolled),
        ("losses, without peers", &without_peers),
    ] {
        if name != "losses, without peers" {
            verdict
                .broken
                .iter()
                .chain(&verdict.crashes)
                .for_each(|line| println!("{name}: {line}"));
        }
        println!("{name}: unserved by final answer {:?}", verdict.unserved);
    }
    let scenario = format!(
        "{GATEWAYS} gateways, {ENGINES} engine processes, {} s",
        span_ms / 1000
    );
    let mut add_bound = |name: &str, value: f64, min: f64, max: f64| {
        report
            .bounds
            .push(Bound::new(&format!("{scenario}: {name}"), value, min, max))
    };
    add_bound("faults", plan.faults.len() as f64, 1.0, f64::MAX);
    add_bound("loads", with_losses.loads as f64, 1.0, f64::MAX);
    for (run, verdict) in [
        ("losses", &with_losses),
        ("no losses", &without_losses),
        ("rolled", &rolled),
    ] {
        add_bound(
            &format!("{run}: loads started twice"),
            verdict.doubled as f64,
            0.0,
            0.0,
        );
        add_bound(
            &format!("{run}: loads rejected although they ran"),
            verdict.refused_and_ran as f64,
            0.0,
            0.0,
        );
        add_bound(
            &format!("{run}: clients with contradicting answers"),
            verdict.two_ends as f64,
            0.0,
            0.0,
        );
        add_bound(
            &format!("{run}: second clients of a completed load told only that it may have run"),
            verdict.unsure as f64,
            0.0,
            f64::MAX,
        );
        add_bound(
            &format!("{run}: clients without an answer"),
            verdict.silent as f64,
            0.0,
            0.0,
        );
        add_bound(
            &format!("{run}: crashes"),
            verdict.crashes.len() as f64,
            0.0,
            0.0,
        );
    }
    add_bound(
        "in flight at a gateway loss and retried by the client",
        with_losses.caught as f64,
        0.0,
        f64::MAX,
    );
    if with_losses.caught > 0 {
        add_bound(
            "of these completed without running again",
            with_losses.carried as f64 / with_losses.caught as f64,
            0.95,
            1.0,
        );
    }
    add_bound(
        "rolled: statements that ran again",
        rolled.again as f64,
        0.0,
        0.0,
    );
    add_bound(
        "rolled: service, ratio to no restarts",
        rolled.service() / without_losses.service().max(1e-9),
        0.99,
        f64::MAX,
    );
    add_bound("service", with_losses.service(), 0.0, f64::MAX);
    add_bound(
        "service, ratio to no losses",
        with_losses.service() / without_losses.service().max(1e-9),
        0.97,
        f64::MAX,
    );
    add_bound(
        "first query from another gateway after a loss, median ms",
        with_losses.first_ask_p50 as f64,
        0.0,
        f64::MAX,
    );
    add_bound(
        "first query from another gateway after a loss, p99 ms",
        with_losses.first_ask_p99 as f64,
        0.0,
        1600.0,
    );
    add_bound(
        "latency, median ms",
        with_losses.p50_ms as f64,
        0.0,
        f64::MAX,
    );
    add_bound("latency, p99 ms", with_losses.p99_ms as f64, 0.0, f64::MAX);
    add_bound(
        "without peers: loads started twice",
        without_peers.doubled as f64,
        0.0,
        f64::MAX,
    );
    add_bound(
        "without peers: completed without running again",
        without_peers.carried as f64 / without_peers.caught.max(1) as f64,
        0.0,
        f64::MAX,
    );
    add_bound(
        "without peers: service",
        without_peers.service(),
        0.0,
        f64::MAX,
    );
    if with_losses.caught == 0 {
        let reason = "no statement was in flight at a gateway loss and retried by its client";
        report.inconclusive_reason = Some(reason.to_owned());
    }
    report
}
