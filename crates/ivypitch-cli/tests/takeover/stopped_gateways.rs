//! Gateways that stand still for a while and go on.

use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use crate::scene::*;

#[test]
fn an_owner_that_was_stopped_finds_its_send_overtaken() {
    let mut s = scene(5).voting();
    // Its start is on the way as it stops; the others take it over and find nothing at the engine.
    s.fleet.network.block(gateway(0), ENGINE);
    let mut first = s.sent(0, "load", 1);
    s.fleet
        .network
        .wait_for_blocked_data(gateway(0), ENGINE, START);
    s.fleet.stop(0);
    s.wait_lost(1, 0);
    assert_eq!(
        s.client(1)
            .execute(&statement("load", 1, LONGEST))
            .error_code(),
        1105
    );
    // It wakes, and what it had written arrives.
    s.fleet.network.unblock(gateway(0), ENGINE);
    s.fleet.resume(0);
    s.fleet.gateways[1].log.wait_for_nth("return", 2, |l| {
        is_event(l, "member is up", &[("member", "n0")])
    });
    s.held.complete(1);
    let answer = first.read_answer(1);
    assert!(
        matches!(answer, Answer::Rows(_) | Answer::Error(1105, _)),
        "{answer:?}"
    );
    assert!(s.held.start_count(1) <= 1, "never a second time");
}

#[test]
fn a_statement_that_a_stopped_gateway_reads_late_is_not_run_again() {
    let mut s = scene(5).voting();
    let mut first = s.client(0);
    s.fleet.stop(0);
    // Taken by its system, read by nobody; the client goes elsewhere.
    first.send(&query(&statement("load", 1, LONGEST)));
    let mut back = s.sent(1, "load", 1);
    assert_ne!(s.held.wait_for_start(1), 0);
    s.held.complete(1);
    assert_eq!(back.read_answer(1), rows(1));
    s.fleet.resume(0);
    let answer = first.read_answer(1);
    assert!(
        answer == rows(1) || answer.error_code() == 1105,
        "{answer:?}"
    );
    assert_eq!(s.held.start_count(1), 1);
}

/// Guards against "may have run" of a load whose rows the fleet has, from a gateway that was stopped and wakes.
#[test_case(true; "a client that came while it was stopped")]
#[test_case(false; "a client that comes as it wakes")]
fn a_gateway_that_was_stopped_asks_the_others_again(came_before: bool) {
    let mut s = scene(5).voting();
    let mut first = s.running(0, 1);
    s.held.complete(1);
    assert_eq!(first.read_answer(1), rows(1));
    let mut back = s.client(2);
    let text = query(&statement("load", 1, LONGEST));
    s.fleet.stop(2);
    s.wait_lost(1, 2);
    if came_before {
        back.send(&text);
    }
    s.fleet.resume(2);
    if !came_before {
        back.send(&text);
    }
    assert_eq!(back.read_answer(1), rows(1));
    assert_eq!(s.held.start_count(1), 1);
}

/// Guards against "may have run" of a load that another gateway has taken over and ended, from the one that had started it.
#[test]
fn a_gateway_that_was_stopped_with_a_load_hears_what_became_of_it() {
    let mut s = scene(5).voting();
    let mut first = s.running(0, 1);
    s.fleet.stop(0);
    s.held.wait_for_poll(1, 0, &[0]);
    s.held.complete(1);
    assert_eq!(s.client(1).execute(&statement("load", 1, LONGEST)), rows(1));
    // The engine knows nothing of it any more; the gateway that took it over has the rows.
    s.held.forget_queries();
    s.fleet.resume(0);
    assert_eq!(first.read_answer(1), rows(1));
    assert_eq!(s.held.start_count(1), 1);
}
