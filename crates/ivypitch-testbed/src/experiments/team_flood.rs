//! One of three teams floods, in virtual time and on sockets.

use ivypitch_queueing::window::WindowPolicy;
use ivypitch_queueing::{Budgets, TeamBudget, WorkloadQueueParams};
use ivypitch_types::SECOND;

use crate::figures::Figures;
use crate::processes::loopback_run;
use crate::report::{Bound, Report};
use crate::virtual_time::engine::EngineConfig;
use crate::virtual_time::scheduler_fleet::{Fleet, FleetConfig};
use crate::virtual_time::traffic::{self, Flood, Team, WorkloadParams};

pub const TEAMS: [(&str, f64); 3] = [("retail", 0.5), ("merchant", 0.35), ("agents", 0.15)];
/// The team that floods.
pub const FLOODS: usize = 1;
/// Part of the cores that the teams usually ask for.
const USUAL: f64 = 0.6;
const TIMES: f64 = 10.0;

fn budgets(works: &[WorkloadParams], shares: &[f64]) -> Budgets {
    let least = works
        .iter()
        .map(|w| w.priority_weight)
        .fold(f64::INFINITY, f64::min);
    let terms = |w: &WorkloadParams| WorkloadQueueParams {
        priority_weight: w.priority_weight,
        latency_objective: w.latency_objective,
        threads: w.threads,
        is_bulk_load: w.idempotency == ivypitch_scheduler::Idempotency::NonIdempotent,
        usual_work: w.latency_objective / 3,
        slack: WorkloadQueueParams::default_slack(w.latency_objective, w.priority_weight, least),
        max_wait: (w.latency_objective as f64 * 0.4) as u64,
    };
    Budgets {
        workloads: works.iter().map(terms).collect(),
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

pub fn teams(cores: f64, flood: Flood) -> Vec<Team> {
    let team = |(i, (name, share)): (usize, &(&str, f64))| Team {
        name: (*name).to_owned(),
        demand_cores: cores * USUAL * share,
        flood: if i == FLOODS { flood } else { Flood::None },
        estimate_factor: 1.0,
    };
    TEAMS.iter().enumerate().map(team).collect()
}

/// Without the flood, with it, and with it and the queues: the same seed, the same statements of the others.
pub fn play(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("team-flood", seed);
    virtual_flood(&mut report, quick, seed);
    flood_on_sockets(&mut report, quick, seed);
    report
}

fn virtual_flood(report: &mut Report, quick: bool, seed: u64) {
    let (gateways, engines, seconds) = if quick { (30, 12, 20) } else { (300, 60, 30) };
    let works = traffic::workloads(1.0);
    let model = EngineConfig {
        cores: 16.0,
        ..EngineConfig::default()
    };
    let cores = engines as f64 * model.cores;
    let span = seconds * SECOND;
    let flood = Flood::Step {
        rate_factor: TIMES,
        from: 5 * SECOND,
        until: span,
    };
    let shares: Vec<f64> = TEAMS.iter().map(|t| t.1).collect();
    let play = |flood: Flood, queues: bool| {
        let teams = teams(cores, flood);
        let statements = traffic::draw_statements(&works, &teams, span, seed);
        let fleet = Fleet::new(FleetConfig {
            gateways,
            engines,
            engine_config: model.clone(),
            workloads: &works,
            teams: teams.iter().map(|t| t.name.clone()).collect(),
            statements: &statements,
            budgets: queues.then(|| budgets(&works, &shares)),
            seed,
            tenant_quotas: shares.iter().map(|share| share * cores).collect(),
        });
        fleet.run()
    };
    let (calm, without, with) = std::thread::scope(|scope| {
        let calm = scope.spawn(|| play(Flood::None, true));
        let without = scope.spawn(|| play(flood, false));
        let with = play(flood, true);
        (calm.join(), without.join(), with)
    });
    let (Ok(calm), Ok(without)) = (calm, without) else {
        return report
            .bounds
            .push(Bound::new("the runs end", 0.0, 1.0, f64::MAX));
    };
    let place = format!("virtual time, {gateways} gateways, {engines} engines, {seconds} s");
    flood_bounds(
        report,
        &place,
        &calm,
        &without,
        &with,
        cores * seconds as f64,
    );
    // The others' service holds through floods of other shapes too.
    for (name, shape) in [
        (
            "ramp",
            Flood::Ramp {
                rate_factor: TIMES,
                from: 5 * SECOND,
                until: span,
            },
        ),
        (
            "pulses",
            Flood::Pulses {
                rate_factor: TIMES,
                from: 5 * SECOND,
                until: span,
            },
        ),
    ] {
        let figures = play(shape, true);
        for t in (0..TEAMS.len()).filter(|&t| t != FLOODS) {
            let kept = figures.teams[t].service_ratio() / calm.teams[t].service_ratio().max(1e-9);
            let what = format!("{place}: {name}: {} keeps of its service", TEAMS[t].0);
            report.bounds.push(Bound::new(&what, kept, 0.95, f64::MAX));
        }
        report.run(&place, name, figures);
    }
    one_of_many(report, seed);
    report.run(&place, "no flood, queues", calm);
    report.run(&place, "flood, no queues", without);
    report.run(&place, "flood, queues", with);
}

/// A thousand teams of which one is busy: it gets what it would alone.
fn one_of_many(report: &mut Report, seed: u64) {
    const MANY: usize = 1000;
    let (gateways, engines, span) = (4, 4, 10 * SECOND);
    let works = traffic::workloads(0.1);
    let model = EngineConfig {
        cores: 16.0,
        ..EngineConfig::default()
    };
    let cores = engines as f64 * model.cores;
    let play = |teams: usize| {
        let all: Vec<Team> = (0..teams)
            .map(|t| Team {
                name: format!("team-{t}"),
                demand_cores: if t == 0 { 2.0 * cores } else { 0.0001 },
                flood: Flood::None,
                estimate_factor: 1.0,
            })
            .collect();
        let statements = traffic::draw_statements(&works, &all, span, seed);
        let fleet = Fleet::new(FleetConfig {
            gateways,
            engines,
            engine_config: model.clone(),
            workloads: &works,
            teams: all.iter().map(|t| t.name.clone()).collect(),
            statements: &statements,
            budgets: Some(budgets(&works, &vec![1.0; teams])),
            seed,
            tenant_quotas: vec![cores; teams],
        });
        fleet.run().teams[0].completed_core_s
    };
    let what = "virtual time, the one busy team of 1,000 gets of what it would alone";
    report.bounds.push(Bound::new(
        what,
        play(MANY) / play(1).max(1e-9),
        0.95,
        f64::MAX,
    ));
}

fn flood_bounds(
    report: &mut Report,
    place: &str,
    calm: &Figures,
    without: &Figures,
    with: &Figures,
    core_seconds: f64,
) {
    let mut bound = |what: &str, is, least, most| {
        report
            .bounds
            .push(Bound::new(&format!("{place}: {what}"), is, least, most))
    };
    let others = || (0..TEAMS.len()).filter(|&t| t != FLOODS);
    for t in others() {
        let kept =
            |f: &Figures| f.teams[t].service_ratio() / calm.teams[t].service_ratio().max(1e-9);
        bound(
            &format!("{} keeps of its service", TEAMS[t].0),
            kept(with),
            0.95,
            f64::MAX,
        );
        bound(
            &format!("{} keeps without the queues", TEAMS[t].0),
            kept(without),
            0.0,
            f64::MAX,
        );
    }
    let used: f64 = with.teams.iter().map(|t| t.completed_core_s).sum();
    bound(
        "the flooding team's part of what is done, over its share",
        with.teams[FLOODS].completed_core_s / used / TEAMS[FLOODS].1,
        0.95,
        f64::MAX,
    );
    bound(
        "cores' time that came to a good end",
        used / core_seconds,
        0.0,
        1.0,
    );
    bound(
        "good estimates",
        with.good_wait_estimates as f64 / with.wait_estimates.max(1) as f64,
        0.9,
        1.0,
    );
    bound(
        "median error of the estimates",
        with.median_wait_estimate_error,
        0.0,
        0.1,
    );
    for (name, f) in [
        ("calm", calm),
        ("without queues", without),
        ("with queues", with),
    ] {
        bound(
            &format!("loads run twice, {name}"),
            f.repeated_bulk_loads as f64,
            0.0,
            0.0,
        );
        bound(
            &format!("statements unanswered, {name}"),
            f.unanswered as f64,
            0.0,
            0.0,
        );
        bound(
            &format!("statements answered twice, {name}"),
            f.answered_twice as f64,
            0.0,
            0.0,
        );
    }
}

fn flood_on_sockets(report: &mut Report, quick: bool, seed: u64) {
    let (engines, seconds) = if quick { (4, 14) } else { (4, 40) };
    let works = traffic::workloads(0.1);
    let model = EngineConfig {
        cores: 8.0,
        ..EngineConfig::default()
    };
    let cores = engines as f64 * model.cores;
    let span = seconds * SECOND;
    let step = Flood::Step {
        rate_factor: 10.0,
        from: 3 * SECOND,
        until: span,
    };
    let shares = TEAMS;
    let run = |flood: Flood, queues: bool, new_connections: bool| {
        let all = teams(cores, flood);
        loopback_run::run(loopback_run::RunPlan {
            engines,
            model: model.clone(),
            workloads: works.clone(),
            teams: all.iter().map(|t| t.name.clone()).collect(),
            statements: traffic::draw_statements(&works, &all, span, seed),
            own_settings: queues.then(|| loopback_run::team_settings(&shares)),
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
    // Side by side: what the queues cost while all is calm, and a flood in which each statement is a new connection.
    let (plain, queued, anew) = std::thread::scope(|scope| {
        let plain = scope.spawn(|| run(Flood::None, false, false));
        let queued = scope.spawn(|| run(Flood::None, true, false));
        let anew = run(step, true, true);
        (plain.join(), queued.join(), anew)
    });
    match (&calm, plain, queued, anew) {
        (Ok(Ok(calm)), Ok(Ok(plain)), Ok(Ok(queued)), Ok(anew)) => {
            let place = format!("sockets, 1 gateway, {engines} engines, {seconds} s");
            for t in (0..TEAMS.len()).filter(|&t| t != FLOODS) {
                let kept = anew.teams[t].service_ratio() / calm.teams[t].service_ratio().max(1e-9);
                let what = format!(
                    "{place}: new connections: {} keeps of its service",
                    TEAMS[t].0
                );
                report.bounds.push(Bound::new(&what, kept, 0.95, f64::MAX));
            }
            let what = format!("{place}: CPU of calm traffic with the queues, against without");
            // Both are counted in hundredths of a second: told here, judged over longer runs.
            report.bounds.push(Bound::new(
                &what,
                queued.gateway_cpu_s / plain.gateway_cpu_s.max(1e-9),
                0.0,
                f64::MAX,
            ));
            report.run(&place, "new connections", anew);
            report.run(&place, "no flood, none", plain);
        }
        _ => report.bounds.push(Bound::new(
            "the further runs on sockets end",
            0.0,
            1.0,
            f64::MAX,
        )),
    }
    match (calm, without, with) {
        (Ok(Ok(calm)), Ok(Ok(without)), Ok(with)) => {
            let place = format!("sockets, 1 gateway, {engines} engines, {seconds} s");
            flood_bounds(
                report,
                &place,
                &calm,
                &without,
                &with,
                cores * seconds as f64,
            );
            report.run(&place, "no flood, queues", calm);
            report.run(&place, "flood, no queues", without);
            report.run(&place, "flood, queues", with);
        }
        (calm, without, with) => {
            let said = [
                calm.ok().and_then(Result::err),
                without.ok().and_then(Result::err),
                with.err(),
            ];
            eprintln!("a run on sockets failed: {said:?}");
            report
                .bounds
                .push(Bound::new("the runs on sockets end", 0.0, 1.0, f64::MAX));
        }
    }
}
