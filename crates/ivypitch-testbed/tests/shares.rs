//! Coordination in virtual time under fault plans. A plan that exceeds a quota is reduced and
//! printed.

use ivypitch_testbed::virtual_time::coordination_fleet::{Fleet, draw, play};

#[test]
fn no_quota_is_exceeded_under_partitions_and_restarts() {
    let fleet = Fleet {
        gateways: 12,
        duration_ms: 6_000,
        ..Fleet::default()
    };
    for seed in 0..10 {
        let plan = draw(&fleet, seed);
        let verdict = play(&fleet, &plan, seed);
        if !verdict.holds() {
            let minimal = plan.cut_down(30, |plan| !play(&fleet, plan, seed).holds());
            panic!("seed {seed}: {verdict:?}\nminimal plan that fails:\n{minimal}");
        }
    }
}
