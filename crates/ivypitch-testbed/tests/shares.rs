//! What gateways share, in virtual time over fault plans; a plan that passes a bound is printed, cut down.

use ivypitch_testbed::virtual_time::shares_fleet::{Fleet, draw, play};

#[test]
fn no_bound_is_passed_whatever_is_cut_or_restarted() {
    let fleet = Fleet {
        gateways: 12,
        span: 6_000,
        ..Fleet::default()
    };
    for seed in 0..10 {
        let plan = draw(&fleet, seed);
        let verdict = play(&fleet, &plan, seed);
        if !verdict.holds() {
            let least = plan.cut_down(30, |plan| !play(&fleet, plan, seed).holds());
            panic!("seed {seed}: {verdict:?}\nthe least plan that fails:\n{least}");
        }
    }
}
