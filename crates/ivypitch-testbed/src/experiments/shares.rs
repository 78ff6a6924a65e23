//! Shared bounds and judgements over fault plans, in virtual time.

use super::side_by_side;
use crate::report::{Bound, Report};
use crate::virtual_time::coordination_fleet;
use crate::virtual_time::faults::FaultPlan;

/// Fault plans over fleets that share; then engines that fail, with and without, and members that are wrong.
pub fn play(quick: bool, seed: u64) -> Report {
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
        let play = |seed: u64| {
            coordination_fleet::run(fleet, &coordination_fleet::draw_faults(fleet, seed), seed)
        };
        let all = side_by_side(plans, seed, play);
        if let Some(first) = all.iter().position(|verdict| !verdict.holds()) {
            let seed = seed + first as u64;
            let plan = coordination_fleet::draw_faults(fleet, seed);
            let least = plan.minimize(30, |plan| {
                !coordination_fleet::run(fleet, plan, seed).holds()
            });
            println!("seed {seed} passes a bound; the least plan that does:\n{least}");
        }
        let place = format!(
            "virtual time, {} gateways, {plans} plans, all faults",
            fleet.gateways
        );
        let sum = |of: fn(&coordination_fleet::Verdict) -> f64| all.iter().map(of).sum::<f64>();
        let most =
            |of: fn(&coordination_fleet::Verdict) -> f64| all.iter().map(of).fold(0.0, f64::max);
        let mut bound = |what: &str, is, least, most| {
            report
                .bounds
                .push(Bound::new(&format!("{place}: {what}"), is, least, most))
        };
        bound("plans played", all.len() as f64, plans as f64, plans as f64);
        bound(
            "instants at which all held more than the bound",
            sum(|v| v.level_exceeded as f64),
            0.0,
            0.0,
        );
        bound(
            "windows in which more was spent",
            sum(|v| v.window_exceeded as f64),
            0.0,
            0.0,
        );
        bound(
            "instants under the floor",
            sum(|v| v.below_reserved as f64),
            0.0,
            0.0,
        );
        bound(
            "the most that all held, of the bound",
            most(|v| v.max_usable),
            0.0,
            1.0,
        );
        bound(
            "the most that was spent in a window, of the bound",
            most(|v| v.max_spent),
            0.0,
            1.0,
        );
        bound(
            "usable of what was asked for, mean",
            sum(|v| v.usable) / all.len().max(1) as f64,
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
        let liars = coordination_fleet::Fleet {
            has_faulty_gateways: true,
            failing_engines: 1,
            ..with.clone()
        };
        let none = FaultPlan::default();
        let [with, without, liars] = [&with, &without, &liars]
            .map(|f| side_by_side(plans, seed, |seed| coordination_fleet::run(f, &none, seed)));
        let place =
            format!("virtual time, {gateways} gateways, {engines} engines, no faults of links");
        let mean = |all: &[coordination_fleet::Verdict],
                    of: fn(&coordination_fleet::Verdict) -> f64| {
            all.iter().map(of).sum::<f64>() / all.len().max(1) as f64
        };
        let mut bound = |what: &str, is, least, most| {
            report
                .bounds
                .push(Bound::new(&format!("{place}: {what}"), is, least, most))
        };
        let usable = if gateways >= 10 { 0.9 } else { 0.0 };
        bound(
            "usable of what was asked for, uneven",
            mean(&with, |v| v.usable),
            usable,
            1.0,
        );
        bound(
            "the same with even parts",
            mean(&without, |v| v.usable),
            0.0,
            f64::MAX,
        );
        for (name, all) in [
            ("shared", &with),
            ("own judgement alone", &without),
            ("shared, with liars", &liars),
        ] {
            let never =
                |v: &coordination_fleet::Verdict| f64::from(u8::from(v.ejected_ms == u64::MAX));
            fn ms(ms: u64) -> f64 {
                if ms == u64::MAX { 12_000.0 } else { ms as f64 }
            }
            bound(
                &format!("{name}: failing engines not left out by 99%, plans"),
                mean(all, never),
                0.0,
                f64::MAX,
            );
            bound(
                &format!("{name}: until 99% send them nothing, ms"),
                mean(all, |v| ms(v.ejected_ms)),
                0.0,
                f64::MAX,
            );
            bound(
                &format!("{name}: until 99% use them again, ms"),
                mean(all, |v| ms(v.returned_ms)),
                0.0,
                f64::MAX,
            );
            bound(
                &format!("{name}: sent to failing engines, of all"),
                mean(all, |v| v.sent_to_failing),
                0.0,
                f64::MAX,
            );
            bound(
                &format!("{name}: most to a returned engine, over usual"),
                mean(all, |v| v.max_return_load),
                0.0,
                f64::MAX,
            );
            bound(
                &format!("{name}: falsely left out, engine-seconds a gateway"),
                mean(all, |v| v.falsely_ejected),
                0.0,
                f64::MAX,
            );
        }
        bound(
            "bytes of gossip a gateway a second",
            mean(&with, |v| v.gossip_bytes),
            0.0,
            40_000.0,
        );
        bound(
            "bytes on links a gateway a second",
            mean(&with, |v| v.link_bytes),
            0.0,
            f64::MAX,
        );
    }
    report
}
