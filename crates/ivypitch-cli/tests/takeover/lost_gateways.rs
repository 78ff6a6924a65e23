//! Gateways that are lost while a statement runs: exactly one other gateway takes it over.

use std::thread;

use ivypitch_ownership::VoterAssignment;
use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;

use crate::scene::*;

#[test]
fn a_load_outlives_its_gateway_and_clients_get_its_rows_anywhere() {
    let mut setup = set_up(5).wait_until_voting();
    setup.start_load(0, 1);
    setup.fleet.kill(0);
    // The client returns before the loss is detected, at two gateways at once.
    let (mut returned, mut also_returned) = (
        setup.send_statement(1, "load", 1),
        setup.send_statement(2, "load", 1),
    );
    setup.wait_for_loss(1, 0);
    setup.engine.complete(1);
    assert_eq!(returned.read_answer(1), rows(1));
    assert_eq!(also_returned.read_answer(1), rows(1));
    // Any gateway returns the rows later, and rejects another statement with this id.
    assert_eq!(
        setup
            .client(3)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)),
        rows(1)
    );
    assert_eq!(
        setup
            .client(4)
            .execute(&statement("lookup", 1, MAX_STATEMENT_TIMEOUT_MS))
            .error_code(),
        1062
    );
    assert_eq!(setup.engine.start_count(1), 1, "it ran once");
}

#[test]
fn two_clients_that_return_during_the_takeover_get_the_same_rows() {
    let mut setup = set_up(5).wait_until_voting();
    setup.start_load(0, 1);
    setup.fleet.kill(0);
    setup.wait_for_loss(3, 0);
    let (mut one, mut other) = (
        setup.send_statement(3, "load", 1),
        setup.send_statement(4, "load", 1),
    );
    setup.engine.wait_for_poll(1, 0, &[0]);
    setup.engine.complete(1);
    assert_eq!(
        (one.read_answer(1), other.read_answer(1)),
        (rows(1), rows(1))
    );
    assert_eq!(setup.engine.start_count(1), 1);
}

#[test]
fn a_load_is_taken_over_if_its_owner_and_first_voter_are_lost_together() {
    let (req, voters) = find_statement(7, |all| !all.contains(&0));
    let mut setup = set_up(7).wait_until_voting();
    setup.start_load(0, req);
    setup.fleet.kill(0);
    setup.fleet.kill(usize::from(voters[0]));
    setup.engine.wait_for_poll(req, 0, &[0]);
    setup.engine.complete(req);
    assert_eq!(
        setup.client(usize::from(voters[2])).execute(&statement(
            "load",
            req,
            MAX_STATEMENT_TIMEOUT_MS
        )),
        rows(req)
    );
    assert_eq!(setup.engine.start_count(req), 1);
}

#[test]
fn a_load_is_taken_over_if_its_owner_and_a_zone_of_voters_are_lost_together() {
    let (req, _) = find_statement(7, |all| {
        !all.contains(&0) && all.contains(&1) && all.contains(&4)
    });
    let mut setup = set_up(7).wait_until_voting();
    setup.start_load(0, req);
    for g in [0, 1, 4] {
        setup.fleet.kill(g);
    }
    setup.engine.wait_for_poll(req, 0, &[0]);
    setup.engine.complete(req);
    assert_eq!(
        setup
            .client(2)
            .execute(&statement("load", req, MAX_STATEMENT_TIMEOUT_MS)),
        rows(req)
    );
    assert_eq!(setup.engine.start_count(req), 1);
}

#[test]
fn a_load_is_taken_over_again_if_two_new_owners_are_lost() {
    let (req, _) = find_statement(7, |all| !all.contains(&0));
    let mut setup = set_up(7).wait_until_voting();
    setup.start_load(0, req);
    let mut lost = vec![0];
    setup.fleet.kill(0);
    for _ in 0..2 {
        let new_owner = setup.engine.wait_for_poll(req, 0, &lost);
        setup.fleet.kill(new_owner);
        lost.push(new_owner);
    }
    let third = setup.engine.wait_for_poll(req, 0, &lost);
    setup.engine.complete(req);
    let other = (0..7).find(|g| !lost.contains(g) && *g != third).unwrap();
    assert_eq!(
        setup
            .client(other)
            .execute(&statement("load", req, MAX_STATEMENT_TIMEOUT_MS)),
        rows(req)
    );
    assert_eq!(setup.engine.start_count(req), 1);
}

#[test]
fn a_gateway_restarted_within_100_ms_returns_the_rows_of_its_earlier_load() {
    let mut setup = set_up(5).wait_until_voting();
    setup.start_load(0, 1);
    setup.fleet.kill(0);
    setup.fleet.start_gateway(0).unwrap();
    // The client asks the new process, which has no state of the load.
    thread::scope(|scope| {
        let back = scope.spawn(|| {
            setup
                .client(0)
                .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS))
        });
        setup.engine.wait_for_poll(1, 0, &[0]);
        setup.engine.complete(1);
        assert_eq!(back.join().unwrap(), rows(1));
    });
    assert_eq!(setup.engine.start_count(1), 1);
}

#[test]
fn a_restarted_gateway_returns_the_rows_once_it_reaches_the_others() {
    let mut setup = set_up(5).wait_until_voting();
    setup.start_load(0, 1);
    setup.fleet.kill(0);
    setup.fleet.set_partition(|_, b| b == 0, true);
    setup.fleet.start_gateway(0).unwrap();
    // It reaches no other member, so it can't know whether the load was sent, and sends nothing.
    assert_eq!(
        setup
            .client(0)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS))
            .error_code(),
        1105
    );
    setup.engine.wait_for_poll(1, 0, &[0]);
    setup.engine.complete(1);
    setup.fleet.set_partition(|_, b| b == 0, false);
    for g in 1..5 {
        setup.fleet.gateways[0]
            .log
            .wait_for_nth("member", 2, |line| {
                is_event(line, "member is up", &[("member", &format!("n{g}"))])
            });
    }
    assert_eq!(
        setup
            .client(0)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)),
        rows(1)
    );
    assert_eq!(setup.engine.start_count(1), 1);
}

#[test]
fn ten_gateways_of_thirty_killed_at_once() {
    let mut setup = set_up_with(30, SLOW_PEER_SETTINGS).wait_until_voting();
    let assignment = VoterAssignment::new((0..30).map(|g| g % 3).collect(), 5);
    let lost = (0..10usize).collect::<Vec<_>>();
    for &g in &lost {
        setup.start_load(g, 1 + g as u64);
    }
    for &g in &lost {
        setup.fleet.kill(g);
    }
    let left = |req| {
        voters_of(&assignment, req)
            .into_iter()
            .filter(|&w| w >= 10)
            .count()
    };
    let has_voter_majority: Vec<bool> = lost.iter().map(|&g| left(1 + g as u64) >= 3).collect();
    let can_be_taken_over = |g: usize| has_voter_majority[g];
    // The clients return at once, before any loss is detected.
    thread::scope(|scope| {
        let back = |&g: &usize| {
            let (setup, req) = (&setup, 1 + g as u64);
            scope.spawn(move || {
                setup
                    .client(10 + g)
                    .execute(&statement("load", req, MAX_STATEMENT_TIMEOUT_MS))
            })
        };
        let back: Vec<_> = lost.iter().map(back).collect();
        for req in lost
            .iter()
            .filter(|&&g| can_be_taken_over(g))
            .map(|&g| 1 + g as u64)
        {
            setup.engine.wait_for_poll(req, 0, &lost);
            setup.engine.complete(req);
        }
        for (&g, back) in lost.iter().zip(back) {
            let (answer, req) = (back.join().unwrap(), 1 + g as u64);
            // Without a majority of its voters a load is neither taken over nor sent.
            assert!(
                if can_be_taken_over(g) {
                    answer == rows(req)
                } else {
                    answer.error_code() == 1105
                },
                "{answer:?}"
            );
        }
    });
    assert!(
        lost.iter()
            .all(|&g| setup.engine.start_count(1 + g as u64) == 1)
    );
    let without_voter_majority = lost.iter().filter(|&&g| !can_be_taken_over(g)).count();
    assert!(
        (1..5).contains(&without_voter_majority),
        "{without_voter_majority}"
    );
}
