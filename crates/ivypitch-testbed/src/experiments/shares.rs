//! The experiment `shares`: quota leases and shared outlier detection under fault plans, in virtual
//! time.

use super::run_seeds_in_parallel;
use crate::report::{Bound, Report};
use crate::virtual_time::coordination_fleet;
use crate::virtual_time::faults::FaultPlan;

/// Runs fault plans over coordinated fleets, then failing engines with and without coordination and
/// with gateways that report wrong observations.
pub fn run(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("shares", seed);
    let base = coordination_fleet::Fleet::default();
    let small = coordination_fleet::Fleet {
        gateways: 12,
        ..base.clone()
    };
    let large = coordination_fleet::Fleet {
        gateways: 300,
        engines: 80,
        duration_ms: 8_000,
        ..base.clone()
    };
    let (plans, large_plans) = if quick { (60, 2) } else { (5000, 5000) };
    for (fleet, plans) in [(&small, plans), (&base, plans), (&large, large_plans)] {
        let simulate = |seed: u64| {
            coordination_fleet::run(fleet, &coordination_fleet::draw_faults(fleet, seed), seed)
        };
        let verdicts = run_seeds_in_parallel(plans, seed, simulate);
        if let Some(first) = verdicts.iter().position(|verdict| !verdict.holds()) {
            let seed = seed + first as u64;
            let plan = coordination_fleet::draw_faults(fleet, seed);
            let minimal = plan.minimize(30, |plan| {
                !coordination_fleet::run(fleet, plan, seed).holds()
            });
            println!("seed {seed} exceeds a quota; minimal plan that does:\n{minimal}");
        }
        let scenario = format!(
            "virtual time, {} gateways, {plans} plans, all faults",
            fleet.gateways
        );
        let sum =
            |of: fn(&coordination_fleet::Verdict) -> f64| verdicts.iter().map(of).sum::<f64>();
        let max = |of: fn(&coordination_fleet::Verdict) -> f64| {
            verdicts.iter().map(of).fold(0.0, f64::max)
        };
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
        add_bound(
            "instants at which all gateways together held more than the quota",
            sum(|v| v.level_exceeded as f64),
            0.0,
            0.0,
        );
        add_bound(
            "windows in which more than the quota was spent",
            sum(|v| v.window_exceeded as f64),
            0.0,
            0.0,
        );
        add_bound(
            "instants at which a gateway was below its reserved share",
            sum(|v| v.below_reserved as f64),
            0.0,
            0.0,
        );
        add_bound(
            "maximum held by all gateways, fraction of the quota",
            max(|v| v.max_usable),
            0.0,
            1.0,
        );
        add_bound(
            "maximum spent in a window, fraction of the quota",
            max(|v| v.max_spent),
            0.0,
            1.0,
        );
        add_bound(
            "usable fraction of the demand, mean",
            sum(|v| v.usable) / verdicts.len().max(1) as f64,
            0.0,
            f64::MAX,
        );
    }
    let sizes: &[(usize, usize)] = if quick {
        &[(3, 6), (30, 20)]
    } else {
        &[(3, 6), (30, 20), (300, 80)]
    };
    for &(gateways, engines) in sizes {
        let plans = if quick { 6 } else { 24 };
        let with = coordination_fleet::Fleet {
            gateways,
            engines,
            duration_ms: 12_000,
            ..base.clone()
        };
        let without = coordination_fleet::Fleet {
            is_coordinated: false,
            ..with.clone()
        };
        let faulty = coordination_fleet::Fleet {
            has_faulty_gateways: true,
            failing_engines: 1,
            ..with.clone()
        };
        let no_faults = FaultPlan::default();
        let [with, without, faulty] = [&with, &without, &faulty].map(|fleet| {
            run_seeds_in_parallel(plans, seed, |seed| {
                coordination_fleet::run(fleet, &no_faults, seed)
            })
        });
        let scenario =
            format!("virtual time, {gateways} gateways, {engines} engines, no link faults");
        let mean = |verdicts: &[coordination_fleet::Verdict],
                    of: fn(&coordination_fleet::Verdict) -> f64| {
            verdicts.iter().map(of).sum::<f64>() / verdicts.len().max(1) as f64
        };
        let mut add_bound = |name: &str, value, min, max| {
            report
                .bounds
                .push(Bound::new(&format!("{scenario}: {name}"), value, min, max))
        };
        let min_usable = if gateways >= 10 { 0.9 } else { 0.0 };
        add_bound(
            "usable fraction of the demand, uneven traffic",
            mean(&with, |v| v.usable),
            min_usable,
            1.0,
        );
        add_bound(
            "the same with equal quota shares",
            mean(&without, |v| v.usable),
            0.0,
            f64::MAX,
        );
        for (name, verdicts) in [
            ("shared", &with),
            ("own observations only", &without),
            ("shared, with faulty gateways", &faulty),
        ] {
            let never_ejected =
                |v: &coordination_fleet::Verdict| f64::from(u8::from(v.ejected_ms == u64::MAX));
            fn bounded_ms(ms: u64) -> f64 {
                if ms == u64::MAX { 12_000.0 } else { ms as f64 }
            }
            add_bound(
                &format!(
                    "{name}: failing engines not ejected by 99% of gateways, fraction of plans"
                ),
                mean(verdicts, never_ejected),
                0.0,
                f64::MAX,
            );
            add_bound(
                &format!("{name}: until 99% of gateways send them nothing, ms"),
                mean(verdicts, |v| bounded_ms(v.ejected_ms)),
                0.0,
                f64::MAX,
            );
            add_bound(
                &format!("{name}: until 99% of gateways use them again, ms"),
                mean(verdicts, |v| bounded_ms(v.returned_ms)),
                0.0,
                f64::MAX,
            );
            add_bound(
                &format!("{name}: sent to failing engines, fraction of all attempts"),
                mean(verdicts, |v| v.sent_to_failing),
                0.0,
                f64::MAX,
            );
            add_bound(
                &format!("{name}: maximum load of a readmitted engine, ratio to normal"),
                mean(verdicts, |v| v.max_return_load),
                0.0,
                f64::MAX,
            );
            add_bound(
                &format!("{name}: falsely ejected, engine-seconds per gateway"),
                mean(verdicts, |v| v.falsely_ejected),
                0.0,
                f64::MAX,
            );
        }
        add_bound(
            "gossip bytes per gateway and second",
            mean(&with, |v| v.gossip_bytes),
            0.0,
            40_000.0,
        );
        add_bound(
            "link bytes per gateway and second",
            mean(&with, |v| v.link_bytes),
            0.0,
            f64::MAX,
        );
    }
    report
}
