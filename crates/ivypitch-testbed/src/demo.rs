//! `ivypitch lab demo`: a newcomer's start. Engines, a gateway and three teams on loopback, of which one floods.

use std::process::ExitCode;

use ivypitch_types::SECOND;

use crate::experiments::team_flood::{TEAMS, teams};
use crate::processes::loopback_run::{self, RunPlan};
use crate::virtual_time::engine::EngineConfig;
use crate::virtual_time::traffic::{self, Flood};

const SECONDS: u64 = 16;

pub fn run() -> ExitCode {
    let works = traffic::workloads(0.1);
    let model = EngineConfig {
        cores: 8.0,
        ..EngineConfig::default()
    };
    let (engines, span) = (4, SECONDS * SECOND);
    let cores = engines as f64 * model.cores;
    let flood = Flood::Step {
        rate_factor: 10.0,
        from: 5 * SECOND,
        until: 12 * SECOND,
    };
    let all = teams(cores, flood);
    println!(
        "{engines} emulated engines of {} cores, one gateway, {} teams; from second 5 to 12 {} asks 10 times as much",
        model.cores,
        all.len(),
        all[1].name
    );
    let played = loopback_run::run(RunPlan {
        engines,
        statements: traffic::draw_statements(&works, &all, span, 1),
        workloads: works,
        teams: all.iter().map(|t| t.name.clone()).collect(),
        own_settings: Some(loopback_run::team_settings(&TEAMS)),
        quota_cores: TEAMS.iter().map(|(_, share)| share * cores).collect(),
        model,
        new_connections: false,
        seed: 1,
        prints_progress: true,
    });
    match played {
        Ok(figures) => {
            println!(
                "\n{:<10} {:>7} {:>7} {:>8} {:>8} {:>7} {:>7}",
                "team", "asked", "served", "in time", "service", "p50 ms", "p99 ms"
            );
            for t in &figures.teams {
                println!(
                    "{:<10} {:>7} {:>7} {:>8} {:>8.3} {:>7} {:>7}",
                    t.name,
                    t.statements,
                    t.served,
                    t.served_in_time,
                    t.service_ratio(),
                    t.latency_quantile_ms(0.5),
                    t.latency_quantile_ms(0.99)
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
        Err(why) => {
            eprintln!("the demo did not run: {why}");
            ExitCode::FAILURE
        }
    }
}
