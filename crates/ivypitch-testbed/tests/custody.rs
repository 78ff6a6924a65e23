//! Custody in virtual time over fault plans; a plan that breaks a promise is printed, cut down.

use ivypitch_testbed::virtual_time::custody_fleet::{Fleet, draw, play};
use ivypitch_testbed::virtual_time::faults::Plan;
use test_case::test_case;

#[test_case(false; "all faults")]
#[test_case(true; "losses of gateways")]
fn no_load_runs_twice_and_every_client_has_a_word(losses_only: bool) {
    let fleet = Fleet {
        span: 6000,
        ..Fleet::default()
    };
    let (mut caught, mut carried) = (0, 0);
    for seed in 0..12 {
        let plan = draw(&fleet, seed, losses_only);
        let verdict = play(&fleet, &plan, seed);
        if !verdict.holds() {
            let least = plan.cut_down(30, |plan| !play(&fleet, plan, seed).holds());
            panic!("seed {seed}: {verdict:?}\nthe least plan that fails:\n{least}");
        }
        caught += verdict.caught;
        carried += verdict.carried;
    }
    assert!(
        carried * 2 > caught,
        "{carried} of {caught} were carried to their end"
    );
}

#[test]
fn without_grants_a_load_runs_twice() {
    let fleet = Fleet {
        grants: false,
        span: 6000,
        ..Fleet::default()
    };
    assert!((0..20).any(|seed| play(&fleet, &draw(&fleet, seed, false), seed).doubled > 0));
}

#[test]
fn without_peers_what_a_lost_gateway_held_is_lost_or_runs_again() {
    let fleet = Fleet {
        custody: false,
        span: 6000,
        ..Fleet::default()
    };
    let verdicts = (0..12).map(|seed| play(&fleet, &draw(&fleet, seed, true), seed));
    let (doubled, carried) = verdicts.fold((0, 0), |(d, c), v| (d + v.doubled, c + v.carried));
    // What a client came back for in time by chance, at the gateway that had it.
    assert!(
        doubled > 20 && carried * 20 < doubled,
        "{doubled} doubled, {carried} carried"
    );
}

#[test]
fn a_plan_is_read_back_as_it_was_printed_and_bad_lines_are_told() {
    let plan = draw(&Fleet::default(), 5, false);
    assert_eq!(plan.to_string().parse::<Plan>().unwrap(), plan);
    let fault = "at=5 kill gateway=1".parse::<Plan>().unwrap_err();
    assert!(fault.contains("back=NUMBER is missing"), "{fault}");
    assert!(
        "at=5 explode"
            .parse::<Plan>()
            .unwrap_err()
            .contains("no fault is called")
    );
}
