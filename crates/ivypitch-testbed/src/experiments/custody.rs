//! The experiment `custody`: ownership of statements under fault plans, in virtual time.

use super::run_seeds_in_parallel;
use crate::report::{Bound, Report};
use crate::virtual_time::ownership_fleet;

/// Runs fault plans of consecutive seeds. The first plan that violates a guarantee is reduced and
/// printed.
pub fn run(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("custody", seed);
    let plans = if quick { 60 } else { 5000 };
    let nine = ownership_fleet::Fleet::default();
    // The bound on completed statements applies to eight gateways of which one is lost every 3 s.
    let eight = ownership_fleet::Fleet {
        gateways: 8,
        engines: 6,
        fault_gap_ms: 3000,
        ..nine.clone()
    };
    let large = ownership_fleet::Fleet {
        gateways: 300,
        engines: 20,
        duration_ms: 5_000,
        statement_gap_ms: 8,
        ..nine.clone()
    };
    let runs = [
        (&nine, plans, false, 0.0),
        (&nine, plans, true, 0.0),
        (&eight, plans, true, 0.95),
        (&large, if quick { 4 } else { 5000 }, false, 0.0),
    ];
    for (fleet, plans, has_only_losses, min_completed) in runs {
        let faults = if has_only_losses {
            "gateway losses only"
        } else {
            "all faults"
        };
        let scenario = format!(
            "virtual time, {} gateways, {} engines, {plans} plans, a fault every {} ms, {faults}",
            fleet.gateways, fleet.engines, fleet.fault_gap_ms
        );
        let simulate = |seed: u64| {
            ownership_fleet::run(
                fleet,
                &ownership_fleet::draw_faults(fleet, seed, has_only_losses),
                seed,
            )
        };
        let verdicts = run_seeds_in_parallel(plans, seed, simulate);
        if let Some(first) = verdicts.iter().position(|verdict| !verdict.holds()) {
            let seed = seed + first as u64;
            let plan = ownership_fleet::draw_faults(fleet, seed, has_only_losses);
            let minimal =
                plan.minimize(40, |plan| !ownership_fleet::run(fleet, plan, seed).holds());
            println!("seed {seed} violates a guarantee; minimal plan that does:\n{minimal}");
        }
        let sum =
            |of: fn(&ownership_fleet::Verdict) -> u64| verdicts.iter().map(of).sum::<u64>() as f64;
        let mut add_bound = |name: &str, value, min, max| {
            report
                .bounds
                .push(Bound::new(&format!("{scenario}: {name}"), value, min, max))
        };
        add_bound(
            "plans run",
            verdicts.len() as f64,
            plans as f64,
            plans as f64,
        );
        add_bound("loads", sum(|v| v.loads), 1.0, f64::MAX);
        add_bound("loads started twice", sum(|v| v.dispatched_twice), 0.0, 0.0);
        add_bound(
            "loads rejected although they ran",
            sum(|v| v.rejected_but_ran),
            0.0,
            0.0,
        );
        add_bound(
            "clients with contradicting answers",
            sum(|v| v.contradicting_answers),
            0.0,
            0.0,
        );
        add_bound("clients without an answer", sum(|v| v.unanswered), 0.0, 0.0);
        let in_flight = sum(|v| v.in_flight_at_loss);
        add_bound(
            "in flight at a gateway loss and retried by the client",
            in_flight,
            0.0,
            f64::MAX,
        );
        add_bound(
            "of these completed without running again",
            sum(|v| v.completed_after_loss) / in_flight.max(1.0),
            min_completed,
            f64::MAX,
        );
        add_bound(
            "served",
            sum(|v| v.served) / sum(|v| v.statements).max(1.0),
            0.0,
            f64::MAX,
        );
        add_bound(
            "messages per statement",
            sum(|v| v.messages) / sum(|v| v.statements).max(1.0),
            0.0,
            f64::MAX,
        );
    }
    report
}
