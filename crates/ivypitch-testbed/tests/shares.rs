//! Coordination in virtual time over fault plans; a plan that exceeds a quota is printed, cut down.

use ivypitch_testbed::virtual_time::coordination_fleet::{Fleet, draw_faults, run};

#[test]
fn no_quota_is_exceeded_whatever_is_partitioned_or_restarted() {
    let fleet = Fleet {
        gateways: 12,
        duration_ms: 6_000,
        ..Fleet::default()
    };
    for seed in 0..10 {
        let plan = draw_faults(&fleet, seed);
        let verdict = run(&fleet, &plan, seed);
        if !verdict.holds() {
            let least = plan.minimize(30, |plan| !run(&fleet, plan, seed).holds());
            panic!("seed {seed}: {verdict:?}\nthe least plan that fails:\n{least}");
        }
    }
}
