//! `ivypitch testbed demo`: emulated engines, a gateway and three teams on loopback, one of which floods the gateway.

use std::process::ExitCode;

use ivypitch_types::SECOND;

use crate::experiments::team_flood::{TEAMS, teams};
use crate::processes::loopback_run::{self, RunPlan};
use crate::virtual_time::engine::EngineConfig;
use crate::virtual_time::traffic::{self, Flood};

/// Duration of the traffic.
const TRAFFIC_SECONDS: u64 = 16;

/// Runs the demo and prints a table by team.
pub fn run() -> ExitCode {
    let workloads = traffic::workloads(0.1);
    let model = EngineConfig {
        cores: 8.0,
        ..EngineConfig::default()
    };
    let (engines, span) = (4, TRAFFIC_SECONDS * SECOND);
    let cores = engines as f64 * model.cores;
    let flood = Flood::Step {
        rate_factor: 10.0,
        from: 5 * SECOND,
        until: 12 * SECOND,
    };
    let teams = teams(cores, flood);
    println!(
        "{engines} emulated engines of {} cores, one gateway, {} teams; from second 5 to 12 {} asks 10 times as much",
        model.cores,
        teams.len(),
        teams[1].name
    );
    let result = loopback_run::run(RunPlan {
        engines,
        statements: traffic::draw_statements(&workloads, &teams, span, 1),
        workloads,
        teams: teams.iter().map(|team| team.name.clone()).collect(),
        own_settings: Some(loopback_run::team_settings(&TEAMS)),
        quota_cores: TEAMS.iter().map(|(_, share)| share * cores).collect(),
        model,
        new_connections: false,
        seed: 1,
        prints_progress: true,
    });
    match result {
        Ok(figures) => {
            println!(
                "\n{:<10} {:>7} {:>7} {:>8} {:>8} {:>7} {:>7}",
                "team", "asked", "served", "in time", "service", "p50 ms", "p99 ms"
            );
            for team in &figures.teams {
                println!(
                    "{:<10} {:>7} {:>7} {:>8} {:>8.3} {:>7} {:>7}",
                    team.name,
                    team.statements,
                    team.served,
                    team.served_in_time,
                    team.service_ratio(),
                    team.latency_quantile_ms(0.5),
                    team.latency_quantile_ms(0.99)
                );
            }
            println!(
                "loads run twice: {}; statements unanswered: {}; waits told: {}, {:.0}% of them good",
                figures.repeated_bulk_loads,
                figures.unanswered,
                figures.wait_estimates,
                100.0 * figures.good_wait_estimates as f64 / figures.wait_estimates.max(1) as f64
            );
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the demo failed: {error}");
            ExitCode::FAILURE
        }
    }
}
