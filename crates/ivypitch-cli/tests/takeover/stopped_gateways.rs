//! Gateways that are suspended (SIGSTOP) and resumed.

use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use crate::scene::*;

#[test]
fn a_start_that_arrives_after_its_owner_was_suspended_runs_at_most_once() {
    let mut setup = set_up(5).wait_until_voting();
    // Its start is in flight as it is suspended; the others take the load over and the engine does
    // not know it.
    setup.fleet.network.block(gateway(0), ENGINE);
    let mut first = setup.send_statement(0, "load", 1);
    setup
        .fleet
        .network
        .wait_for_blocked_data(gateway(0), ENGINE, START_REQUEST);
    setup.fleet.stop(0);
    setup.wait_for_loss(1, 0);
    assert_eq!(
        setup
            .client(1)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS))
            .error_code(),
        1105
    );
    // It is resumed, and its start arrives.
    setup.fleet.network.unblock(gateway(0), ENGINE);
    setup.fleet.resume(0);
    setup.fleet.gateways[1]
        .log
        .wait_for_nth("member is up again", 2, |line| {
            is_event(line, "member is up", &[("member", "n0")])
        });
    setup.engine.complete(1);
    let answer = first.read_answer(1);
    assert!(
        matches!(answer, Answer::Rows(_) | Answer::Error(1105, _)),
        "{answer:?}"
    );
    assert!(setup.engine.start_count(1) <= 1, "never a second time");
}

#[test]
fn a_statement_that_a_suspended_gateway_reads_late_is_not_run_again() {
    let mut setup = set_up(5).wait_until_voting();
    let mut first = setup.client(0);
    setup.fleet.stop(0);
    // The kernel receives the statement, the suspended process does not; the client asks another
    // gateway.
    first.send(&query(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)));
    let mut returned = setup.send_statement(1, "load", 1);
    assert_ne!(setup.engine.wait_for_start(1), 0);
    setup.engine.complete(1);
    assert_eq!(returned.read_answer(1), rows(1));
    setup.fleet.resume(0);
    let answer = first.read_answer(1);
    assert!(
        answer == rows(1) || answer.error_code() == 1105,
        "{answer:?}"
    );
    assert_eq!(setup.engine.start_count(1), 1);
}

/// Guards against the error "may have run" from a resumed gateway for a load whose rows the fleet
/// has.
#[test_case(true; "the client sends while the gateway is suspended")]
#[test_case(false; "the client sends as the gateway resumes")]
fn a_resumed_gateway_returns_rows_that_other_gateways_have(sends_while_suspended: bool) {
    let mut setup = set_up(5).wait_until_voting();
    let mut first = setup.start_load(0, 1);
    setup.engine.complete(1);
    assert_eq!(first.read_answer(1), rows(1));
    let mut returned = setup.client(2);
    let text = query(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS));
    setup.fleet.stop(2);
    setup.wait_for_loss(1, 2);
    if sends_while_suspended {
        returned.send(&text);
    }
    setup.fleet.resume(2);
    if !sends_while_suspended {
        returned.send(&text);
    }
    assert_eq!(returned.read_answer(1), rows(1));
    assert_eq!(setup.engine.start_count(1), 1);
}

/// Guards against the error "may have run" from the first owner of a load that another gateway took
/// over and completed.
#[test]
fn a_resumed_owner_returns_the_rows_of_a_load_that_was_taken_over() {
    let mut setup = set_up(5).wait_until_voting();
    let mut first = setup.start_load(0, 1);
    setup.fleet.stop(0);
    setup.engine.wait_for_poll(1, 0, &[0]);
    setup.engine.complete(1);
    assert_eq!(
        setup
            .client(1)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)),
        rows(1)
    );
    // The engine has forgotten the load; the gateway that took it over has the rows.
    setup.engine.forget_queries();
    setup.fleet.resume(0);
    assert_eq!(first.read_answer(1), rows(1));
    assert_eq!(setup.engine.start_count(1), 1);
}
