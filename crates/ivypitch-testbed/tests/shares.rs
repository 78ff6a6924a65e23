//! Coordination in virtual time under fault plans. A plan that exceeds a quota is reduced and
//! printed.

use ivypitch_testbed::virtual_time::coordination_fleet::{Fleet, draw_faults, run};

#[test]
fn no_quota_is_exceeded_under_partitions_and_restarts() {
    let fleet = Fleet {
        gateways: 12,
        duration_ms: 6_000,
        ..Fleet::default()
    };
    for seed in 0..10 {
        let plan = draw_faults(&fleet, seed);
        let verdict = run(&fleet, &plan, seed);
        if !verdict.holds() {
            let minimal = plan.minimize(30, |plan| !run(&fleet, plan, seed).holds());
            panic!("seed {seed}: {verdict:?}\nminimal plan that fails:\n{minimal}");
        }
    }
}
