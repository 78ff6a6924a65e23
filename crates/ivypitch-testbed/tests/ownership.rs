//! Ownership of statements in virtual time under fault plans. A plan that violates a guarantee is
//! reduced and printed.

use ivypitch_testbed::virtual_time::faults::FaultPlan;
use ivypitch_testbed::virtual_time::ownership_fleet::{Fleet, draw_faults, run};
use test_case::test_case;

#[test_case(false; "all faults")]
#[test_case(true; "gateway losses only")]
fn under_fault_plans_no_load_runs_twice_and_every_client_is_answered(has_only_losses: bool) {
    let fleet = Fleet {
        duration_ms: 6000,
        ..Fleet::default()
    };
    let mut in_flight = 0;
    let mut completed = 0;
    for seed in 0..12 {
        let plan = draw_faults(&fleet, seed, has_only_losses);
        let verdict = run(&fleet, &plan, seed);
        if !verdict.holds() {
            let minimal = plan.minimize(30, |plan| !run(&fleet, plan, seed).holds());
            panic!("seed {seed}: {verdict:?}\nminimal plan that fails:\n{minimal}");
        }
        in_flight += verdict.in_flight_at_loss;
        completed += verdict.completed_after_loss;
    }
    assert!(
        completed * 2 > in_flight,
        "{completed} of {in_flight} completed after the loss of their gateway"
    );
}

#[test]
fn without_grants_a_load_runs_twice() {
    let fleet = Fleet {
        requires_grants: false,
        duration_ms: 6000,
        ..Fleet::default()
    };
    assert!(
        (0..20)
            .any(|seed| run(&fleet, &draw_faults(&fleet, seed, false), seed).dispatched_twice > 0)
    );
}

#[test]
fn without_peers_statements_of_a_lost_gateway_are_lost_or_run_again() {
    let fleet = Fleet {
        has_peers: false,
        duration_ms: 6000,
        ..Fleet::default()
    };
    let verdicts = (0..12).map(|seed| run(&fleet, &draw_faults(&fleet, seed, true), seed));
    let (twice, completed) = verdicts.fold((0, 0), |(twice, completed), verdict| {
        (
            twice + verdict.dispatched_twice,
            completed + verdict.completed_after_loss,
        )
    });
    // Some clients retry in time, by chance at the gateway that had the statement.
    assert!(
        twice > 20 && completed * 20 < twice,
        "{twice} dispatched twice, {completed} completed after a loss"
    );
}

#[test]
fn a_printed_plan_parses_back_and_bad_lines_are_reported() {
    let plan = draw_faults(&Fleet::default(), 5, false);
    assert_eq!(plan.to_string().parse::<FaultPlan>().unwrap(), plan);
    let error = "at=5 kill gateway=1".parse::<FaultPlan>().unwrap_err();
    assert!(error.contains("back=NUMBER is missing"), "{error}");
    assert!(
        "at=5 explode"
            .parse::<FaultPlan>()
            .unwrap_err()
            .contains("no fault is called")
    );
}
