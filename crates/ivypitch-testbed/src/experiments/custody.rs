//! Ownership of statements over fault plans, in virtual time.

use super::side_by_side;
use crate::report::{Bound, Report};
use crate::virtual_time::ownership_fleet;

/// Fault plans by the seed and those that follow it; the first that breaks a promise is printed, cut down.
pub fn play(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("custody", seed);
    let plans = if quick { 60 } else { 5000 };
    let nine = ownership_fleet::Fleet::default();
    // The plan that the bound on what is carried is meant for: eight gateways, one lost each 3 s.
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
    for (fleet, plans, losses_only, least) in runs {
        let what = if losses_only {
            "losses of gateways alone"
        } else {
            "all faults"
        };
        let place = format!(
            "virtual time, {} gateways, {} engines, {plans} plans, a fault each {} ms, {what}",
            fleet.gateways, fleet.engines, fleet.fault_gap_ms
        );
        let play = |seed: u64| {
            ownership_fleet::run(
                fleet,
                &ownership_fleet::draw_faults(fleet, seed, losses_only),
                seed,
            )
        };
        let all = side_by_side(plans, seed, play);
        if let Some(first) = all.iter().position(|verdict| !verdict.holds()) {
            let seed = seed + first as u64;
            let plan = ownership_fleet::draw_faults(fleet, seed, losses_only);
            let least = plan.minimize(40, |plan| !ownership_fleet::run(fleet, plan, seed).holds());
            println!("seed {seed} breaks a promise; the least plan that does:\n{least}");
        }
        let sum = |of: fn(&ownership_fleet::Verdict) -> u64| all.iter().map(of).sum::<u64>() as f64;
        let mut bound = |what: &str, is, least, most| {
            report
                .bounds
                .push(Bound::new(&format!("{place}: {what}"), is, least, most))
        };
        bound("plans played", all.len() as f64, plans as f64, plans as f64);
        bound("loads", sum(|v| v.loads), 1.0, f64::MAX);
        bound("loads started twice", sum(|v| v.dispatched_twice), 0.0, 0.0);
        bound(
            "loads refused that ran",
            sum(|v| v.rejected_but_ran),
            0.0,
            0.0,
        );
        bound(
            "clients with two ends",
            sum(|v| v.contradicting_answers),
            0.0,
            0.0,
        );
        bound("clients without a word", sum(|v| v.unanswered), 0.0, 0.0);
        let caught = sum(|v| v.in_flight_at_loss);
        bound("running at a loss and come back for", caught, 0.0, f64::MAX);
        bound(
            "of these completed without running again",
            sum(|v| v.completed_after_loss) / caught.max(1.0),
            least,
            f64::MAX,
        );
        bound(
            "served",
            sum(|v| v.served) / sum(|v| v.statements).max(1.0),
            0.0,
            f64::MAX,
        );
        bound(
            "messages a statement",
            sum(|v| v.messages) / sum(|v| v.statements).max(1.0),
            0.0,
            f64::MAX,
        );
    }
    report
}
