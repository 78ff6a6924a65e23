//! Gateways that are lost while a statement runs: another one takes it over, once.

use std::thread;

use ivypitch_ownership::VoterAssignment;
use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;

use crate::scene::*;

#[test]
fn a_load_outlives_its_gateway_and_clients_get_its_rows_anywhere() {
    let mut s = scene(5).voting();
    s.running(0, 1);
    s.fleet.kill(0);
    // It comes back before the loss is known, twice at once at two gateways.
    let (mut back, mut also) = (s.sent(1, "load", 1), s.sent(2, "load", 1));
    s.wait_lost(1, 0);
    s.held.complete(1);
    assert_eq!(back.read_answer(1), rows(1));
    assert_eq!(also.read_answer(1), rows(1));
    // Later, anywhere, the same; and another statement under the id is refused.
    assert_eq!(s.client(3).execute(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(
        s.client(4)
            .execute(&statement("lookup", 1, LONGEST))
            .error_code(),
        1062
    );
    assert_eq!(s.held.start_count(1), 1, "it ran once");
}

#[test]
fn two_clients_at_two_gateways_at_the_instant_of_the_claim_hear_the_same() {
    let mut s = scene(5).voting();
    s.running(0, 1);
    s.fleet.kill(0);
    s.wait_lost(3, 0);
    let (mut one, mut other) = (s.sent(3, "load", 1), s.sent(4, "load", 1));
    s.held.wait_for_poll(1, 0, &[0]);
    s.held.complete(1);
    assert_eq!(
        (one.read_answer(1), other.read_answer(1)),
        (rows(1), rows(1))
    );
    assert_eq!(s.held.start_count(1), 1);
}

#[test]
fn owner_and_first_witness_lost_together() {
    let (req, witnesses) = id_where(7, |all| !all.contains(&0));
    let mut s = scene(7).voting();
    s.running(0, req);
    s.fleet.kill(0);
    s.fleet.kill(usize::from(witnesses[0]));
    s.held.wait_for_poll(req, 0, &[0]);
    s.held.complete(req);
    assert_eq!(
        s.client(usize::from(witnesses[2]))
            .execute(&statement("load", req, LONGEST)),
        rows(req)
    );
    assert_eq!(s.held.start_count(req), 1);
}

#[test]
fn owner_and_a_whole_zone_of_witnesses_lost_together() {
    let (req, _) = id_where(7, |all| {
        !all.contains(&0) && all.contains(&1) && all.contains(&4)
    });
    let mut s = scene(7).voting();
    s.running(0, req);
    for g in [0, 1, 4] {
        s.fleet.kill(g);
    }
    s.held.wait_for_poll(req, 0, &[0]);
    s.held.complete(req);
    assert_eq!(
        s.client(2).execute(&statement("load", req, LONGEST)),
        rows(req)
    );
    assert_eq!(s.held.start_count(req), 1);
}

#[test]
fn the_claimer_dies_and_its_claimer_too() {
    let (req, _) = id_where(7, |all| !all.contains(&0));
    let mut s = scene(7).voting();
    s.running(0, req);
    let mut lost = vec![0];
    s.fleet.kill(0);
    for _ in 0..2 {
        let claimer = s.held.wait_for_poll(req, 0, &lost);
        s.fleet.kill(claimer);
        lost.push(claimer);
    }
    let third = s.held.wait_for_poll(req, 0, &lost);
    s.held.complete(req);
    let other = (0..7).find(|g| !lost.contains(g) && *g != third).unwrap();
    assert_eq!(
        s.client(other).execute(&statement("load", req, LONGEST)),
        rows(req)
    );
    assert_eq!(s.held.start_count(req), 1);
}

#[test]
fn a_restart_under_the_same_name_within_100_ms() {
    let mut s = scene(5).voting();
    s.running(0, 1);
    s.fleet.kill(0);
    s.fleet.start_gateway(0).unwrap();
    // The new process has forgotten all, and is asked first.
    thread::scope(|scope| {
        let back = scope.spawn(|| s.client(0).execute(&statement("load", 1, LONGEST)));
        s.held.wait_for_poll(1, 0, &[0]);
        s.held.complete(1);
        assert_eq!(back.join().unwrap(), rows(1));
    });
    assert_eq!(s.held.start_count(1), 1);
}

#[test]
fn a_client_that_heard_nothing_certain_of_a_restarted_gateway_hears_more_once_that_one_does() {
    let mut s = scene(5).voting();
    s.running(0, 1);
    s.fleet.kill(0);
    s.fleet.set_partition(|_, b| b == 0, true);
    s.fleet.start_gateway(0).unwrap();
    // It hears nobody, so that it can't know, and sends nothing.
    assert_eq!(
        s.client(0)
            .execute(&statement("load", 1, LONGEST))
            .error_code(),
        1105
    );
    s.held.wait_for_poll(1, 0, &[0]);
    s.held.complete(1);
    s.fleet.set_partition(|_, b| b == 0, false);
    for g in 1..5 {
        s.fleet.gateways[0].log.wait_for_nth("member", 2, |l| {
            is_event(l, "member is up", &[("member", &format!("n{g}"))])
        });
    }
    assert_eq!(s.client(0).execute(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(s.held.start_count(1), 1);
}

#[test]
fn ten_gateways_of_thirty_killed_at_once() {
    let mut s = scene_of(30, SLOW_PEERS).voting();
    let witnesses = VoterAssignment::new((0..30).map(|g| g % 3).collect(), 5);
    let lost = (0..10usize).collect::<Vec<_>>();
    for &g in &lost {
        s.running(g, 1 + g as u64);
    }
    for &g in &lost {
        s.fleet.kill(g);
    }
    let left = |req| {
        voters_of(&witnesses, req)
            .into_iter()
            .filter(|&w| w >= 10)
            .count()
    };
    let has_majority: Vec<bool> = lost.iter().map(|&g| left(1 + g as u64) >= 3).collect();
    let can_be_known = |g: usize| has_majority[g];
    // Their clients come back at once, before any loss is known.
    thread::scope(|scope| {
        let back = |&g: &usize| {
            let (s, req) = (&s, 1 + g as u64);
            scope.spawn(move || s.client(10 + g).execute(&statement("load", req, LONGEST)))
        };
        let back: Vec<_> = lost.iter().map(back).collect();
        for req in lost
            .iter()
            .filter(|&&g| can_be_known(g))
            .map(|&g| 1 + g as u64)
        {
            s.held.wait_for_poll(req, 0, &lost);
            s.held.complete(req);
        }
        for (&g, back) in lost.iter().zip(back) {
            let (answer, req) = (back.join().unwrap(), 1 + g as u64);
            // No majority of its witnesses is left: nobody may act, and it is not sent.
            assert!(
                if can_be_known(g) {
                    answer == rows(req)
                } else {
                    answer.error_code() == 1105
                },
                "{answer:?}"
            );
        }
    });
    assert!(lost.iter().all(|&g| s.held.start_count(1 + g as u64) == 1));
    let without_majority = lost.iter().filter(|&&g| !can_be_known(g)).count();
    assert!((1..5).contains(&without_majority), "{without_majority}");
}
