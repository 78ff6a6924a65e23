//! The experiment `team-flood`: one of three teams floods the gateways, in virtual time and over
//! sockets.

use ivypitch_queueing::window::WindowPolicy;
use ivypitch_queueing::{Budgets, TeamBudget, WorkloadQueueParams};
use ivypitch_types::SECOND;

use crate::figures::Figures;
use crate::processes::loopback_run;
use crate::report::{Bound, Report};
use crate::virtual_time::engine::EngineConfig;
use crate::virtual_time::scheduler_fleet::{Fleet, FleetConfig};
use crate::virtual_time::traffic::{self, Flood, Team, WorkloadParams};

/// Teams with their shares of the cores.
pub const TEAMS: [(&str, f64); 3] = [("retail", 0.5), ("merchant", 0.35), ("agents", 0.15)];
/// Index of the flooding team.
pub const FLOODING_TEAM: usize = 1;
/// Fraction of the cores that the teams demand without a flood.
const BASE_LOAD: f64 = 0.6;
/// Factor by which a flood multiplies the demand of its team.
const FLOOD_FACTOR: f64 = 10.0;

fn budgets(workloads: &[WorkloadParams], shares: &[f64]) -> Budgets {
    let min_priority_weight = workloads
        .iter()
        .map(|workload| workload.priority_weight)
        .fold(f64::INFINITY, f64::min);
    let queue_params = |workload: &WorkloadParams| WorkloadQueueParams {
        priority_weight: workload.priority_weight,
        latency_objective: workload.latency_objective,
        threads: workload.threads,
        is_bulk_load: workload.idempotency == ivypitch_scheduler::Idempotency::NonIdempotent,
        usual_work: workload.latency_objective / 3,
        slack: WorkloadQueueParams::default_slack(
            workload.latency_objective,
            workload.priority_weight,
            min_priority_weight,
        ),
        max_wait: (workload.latency_objective as f64 * 0.4) as u64,
    };
    Budgets {
        workloads: workloads.iter().map(queue_params).collect(),
        teams: shares
            .iter()
            .map(|&share| TeamBudget {
                share,
                ..TeamBudget::default()
            })
            .collect(),
        other: TeamBudget::default(),
        max_queued: 100_000,
        max_queued_bytes: usize::MAX,
        preempts_from_priority_weight: 8.0,
        max_retry_after: 2 * SECOND,
        window_policy: WindowPolicy::Gradient,
    }
}

/// The teams and their demand, one of them with the flood.
pub fn teams(cores: f64, flood: Flood) -> Vec<Team> {
    let team = |(index, (name, share)): (usize, &(&str, f64))| Team {
        name: (*name).to_owned(),
        demand_cores: cores * BASE_LOAD * share,
        flood: if index == FLOODING_TEAM {
            flood
        } else {
            Flood::None
        },
        estimate_factor: 1.0,
    };
    TEAMS.iter().enumerate().map(team).collect()
}

/// Runs without the flood, with the flood but without queues, and with both. All runs have the same
/// seed, so the other teams send the same statements.
pub fn run(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("team-flood", seed);
    flood_in_virtual_time(&mut report, quick, seed);
    flood_over_sockets(&mut report, quick, seed);
    report
}

fn flood_in_virtual_time(report: &mut Report, quick: bool, seed: u64) {
    let (gateways, engines, seconds) = if quick { (30, 12, 20) } else { (300, 60, 30) };
    let workloads = traffic::workloads(1.0);
    let engine_config = EngineConfig {
        cores: 16.0,
        ..EngineConfig::default()
    };
    let cores = engines as f64 * engine_config.cores;
    let span = seconds * SECOND;
    let flood = Flood::Step {
        rate_factor: FLOOD_FACTOR,
        from: 5 * SECOND,
        until: span,
    };
    let shares: Vec<f64> = TEAMS.iter().map(|team| team.1).collect();
    let simulate = |flood: Flood, has_queues: bool| {
        let teams = teams(cores, flood);
        let statements = traffic::draw_statements(&workloads, &teams, span, seed);
        let fleet = Fleet::new(FleetConfig {
            gateways,
            engines,
            engine_config: engine_config.clone(),
            workloads: &workloads,
            teams: teams.iter().map(|team| team.name.clone()).collect(),
            statements: &statements,
            budgets: has_queues.then(|| budgets(&workloads, &shares)),
            seed,
            tenant_quotas: shares.iter().map(|share| share * cores).collect(),
        });
        fleet.run()
    };
    let (calm, without, with) = std::thread::scope(|scope| {
        let calm = scope.spawn(|| simulate(Flood::None, true));
        let without = scope.spawn(|| simulate(flood, false));
        let with = simulate(flood, true);
        (calm.join(), without.join(), with)
    });
    let (Ok(calm), Ok(without)) = (calm, without) else {
        return report
            .bounds
            .push(Bound::new("all runs complete", 0.0, 1.0, f64::MAX));
    };
    let scenario = format!("virtual time, {gateways} gateways, {engines} engines, {seconds} s");
    add_flood_bounds(
        report,
        &scenario,
        &calm,
        &without,
        &with,
        cores * seconds as f64,
    );
    // The service of the other teams must also hold under other shapes of the flood.
    for (name, shape) in [
        (
            "ramp",
            Flood::Ramp {
                rate_factor: FLOOD_FACTOR,
                from: 5 * SECOND,
                until: span,
            },
        ),
        (
            "pulses",
            Flood::Pulses {
                rate_factor: FLOOD_FACTOR,
                from: 5 * SECOND,
                until: span,
            },
        ),
    ] {
        let figures = simulate(shape, true);
        for team in (0..TEAMS.len()).filter(|&team| team != FLOODING_TEAM) {
            let ratio =
                figures.teams[team].service_ratio() / calm.teams[team].service_ratio().max(1e-9);
            let bound_name = format!(
                "{scenario}: {name}: {} service ratio to calm",
                TEAMS[team].0
            );
            report
                .bounds
                .push(Bound::new(&bound_name, ratio, 0.95, f64::MAX));
        }
        report.add_run(&scenario, name, figures);
    }
    add_one_busy_team_of_many(report, seed);
    report.add_run(&scenario, "no flood, queues", calm);
    report.add_run(&scenario, "flood, no queues", without);
    report.add_run(&scenario, "flood, queues", with);
}

/// One busy team among a thousand must get as much as it would alone.
fn add_one_busy_team_of_many(report: &mut Report, seed: u64) {
    const TEAM_COUNT: usize = 1000;
    let (gateways, engines, span) = (4, 4, 10 * SECOND);
    let workloads = traffic::workloads(0.1);
    let engine_config = EngineConfig {
        cores: 16.0,
        ..EngineConfig::default()
    };
    let cores = engines as f64 * engine_config.cores;
    let completed_core_s = |team_count: usize| {
        let all: Vec<Team> = (0..team_count)
            .map(|team| Team {
                name: format!("team-{team}"),
                demand_cores: if team == 0 { 2.0 * cores } else { 0.0001 },
                flood: Flood::None,
                estimate_factor: 1.0,
            })
            .collect();
        let statements = traffic::draw_statements(&workloads, &all, span, seed);
        let fleet = Fleet::new(FleetConfig {
            gateways,
            engines,
            engine_config: engine_config.clone(),
            workloads: &workloads,
            teams: all.iter().map(|team| team.name.clone()).collect(),
            statements: &statements,
            budgets: Some(budgets(&workloads, &vec![1.0; team_count])),
            seed,
            tenant_quotas: vec![cores; team_count],
        });
        fleet.run().teams[0].completed_core_s
    };
    let name = "virtual time, one busy team of 1,000: work done, ratio to that alone";
    report.bounds.push(Bound::new(
        name,
        completed_core_s(TEAM_COUNT) / completed_core_s(1).max(1e-9),
        0.95,
        f64::MAX,
    ));
}

/// Adds the bounds of a flood to the report.
fn add_flood_bounds(
    report: &mut Report,
    scenario: &str,
    calm: &Figures,
    without: &Figures,
    with: &Figures,
    core_seconds: f64,
) {
    let mut add_bound = |name: &str, value, min, max| {
        report
            .bounds
            .push(Bound::new(&format!("{scenario}: {name}"), value, min, max))
    };
    let other_teams = || (0..TEAMS.len()).filter(|&team| team != FLOODING_TEAM);
    for team in other_teams() {
        let ratio = |figures: &Figures| {
            figures.teams[team].service_ratio() / calm.teams[team].service_ratio().max(1e-9)
        };
        add_bound(
            &format!("{} service ratio to calm", TEAMS[team].0),
            ratio(with),
            0.95,
            f64::MAX,
        );
        add_bound(
            &format!("{} service ratio to calm, without queues", TEAMS[team].0),
            ratio(without),
            0.0,
            f64::MAX,
        );
    }
    let completed_core_s: f64 = with.teams.iter().map(|team| team.completed_core_s).sum();
    add_bound(
        "completed work of the flooding team, ratio to its share",
        with.teams[FLOODING_TEAM].completed_core_s / completed_core_s / TEAMS[FLOODING_TEAM].1,
        0.95,
        f64::MAX,
    );
    add_bound(
        "fraction of core time with completed work",
        completed_core_s / core_seconds,
        0.0,
        1.0,
    );
    add_bound(
        "good wait estimates, fraction",
        with.good_wait_estimates as f64 / with.wait_estimates.max(1) as f64,
        0.9,
        1.0,
    );
    add_bound(
        "median error of the wait estimates",
        with.median_wait_estimate_error,
        0.0,
        0.1,
    );
    for (run, figures) in [
        ("calm", calm),
        ("without queues", without),
        ("with queues", with),
    ] {
        add_bound(
            &format!("loads run twice, {run}"),
            figures.repeated_bulk_loads as f64,
            0.0,
            0.0,
        );
        add_bound(
            &format!("statements unanswered, {run}"),
            figures.unanswered as f64,
            0.0,
            0.0,
        );
        add_bound(
            &format!("statements answered twice, {run}"),
            figures.answered_twice as f64,
            0.0,
            0.0,
        );
    }
}

fn flood_over_sockets(report: &mut Report, quick: bool, seed: u64) {
    let (engines, seconds) = if quick { (4, 14) } else { (4, 40) };
    let workloads = traffic::workloads(0.1);
    let engine_config = EngineConfig {
        cores: 8.0,
        ..EngineConfig::default()
    };
    let cores = engines as f64 * engine_config.cores;
    let span = seconds * SECOND;
    let step = Flood::Step {
        rate_factor: 10.0,
        from: 3 * SECOND,
        until: span,
    };
    let shares = TEAMS;
    let run = |flood: Flood, has_queues: bool, new_connections: bool| {
        let all = teams(cores, flood);
        loopback_run::run(loopback_run::RunPlan {
            engines,
            model: engine_config.clone(),
            workloads: workloads.clone(),
            teams: all.iter().map(|team| team.name.clone()).collect(),
            statements: traffic::draw_statements(&workloads, &all, span, seed),
            own_settings: has_queues.then(|| loopback_run::team_settings(&shares)),
            quota_cores: shares.iter().map(|(_, share)| share * cores).collect(),
            new_connections,
            seed,
            prints_progress: false,
        })
    };
    let (calm, without, with) = std::thread::scope(|scope| {
        let calm = scope.spawn(|| run(Flood::None, true, false));
        let without = scope.spawn(|| run(step, false, false));
        let with = run(step, true, false);
        (calm.join(), without.join(), with)
    });
    // In parallel: the CPU cost of the queues without a flood, and a flood in which each statement
    // opens a connection.
    let (without_queues, with_queues, new_connections) = std::thread::scope(|scope| {
        let without_queues = scope.spawn(|| run(Flood::None, false, false));
        let with_queues = scope.spawn(|| run(Flood::None, true, false));
        let new_connections = run(step, true, true);
        (without_queues.join(), with_queues.join(), new_connections)
    });
    match (&calm, without_queues, with_queues, new_connections) {
        (Ok(Ok(calm)), Ok(Ok(without_queues)), Ok(Ok(with_queues)), Ok(new_connections)) => {
            let scenario = format!("sockets, 1 gateway, {engines} engines, {seconds} s");
            for team in (0..TEAMS.len()).filter(|&team| team != FLOODING_TEAM) {
                let ratio = new_connections.teams[team].service_ratio()
                    / calm.teams[team].service_ratio().max(1e-9);
                let name = format!(
                    "{scenario}: new connections: {} service ratio to calm",
                    TEAMS[team].0
                );
                report.bounds.push(Bound::new(&name, ratio, 0.95, f64::MAX));
            }
            let name = format!("{scenario}: CPU of calm traffic with queues, ratio to without");
            // CPU time is counted in hundredths of a second, too coarse for a bound on a run this
            // short.
            report.bounds.push(Bound::new(
                &name,
                with_queues.gateway_cpu_s / without_queues.gateway_cpu_s.max(1e-9),
                0.0,
                f64::MAX,
            ));
            report.add_run(&scenario, "new connections", new_connections);
            report.add_run(&scenario, "no flood, none", without_queues);
        }
        _ => report.bounds.push(Bound::new(
            "the additional runs over sockets complete",
            0.0,
            1.0,
            f64::MAX,
        )),
    }
    match (calm, without, with) {
        (Ok(Ok(calm)), Ok(Ok(without)), Ok(with)) => {
            let scenario = format!("sockets, 1 gateway, {engines} engines, {seconds} s");
            add_flood_bounds(
                report,
                &scenario,
                &calm,
                &without,
                &with,
                cores * seconds as f64,
            );
            report.add_run(&scenario, "no flood, queues", calm);
            report.add_run(&scenario, "flood, no queues", without);
            report.add_run(&scenario, "flood, queues", with);
        }
        (calm, without, with) => {
            let errors = [
                calm.ok().and_then(Result::err),
                without.ok().and_then(Result::err),
                with.err(),
            ];
            eprintln!("a run over sockets failed: {errors:?}");
            report.bounds.push(Bound::new(
                "the runs over sockets complete",
                0.0,
                1.0,
                f64::MAX,
            ));
        }
    }
}
