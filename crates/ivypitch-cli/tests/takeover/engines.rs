//! Engines that restart, drain or close connections while they run a statement that was taken over.

use std::thread;

use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use crate::scene::*;

#[test_case("load", 1105, 1; "a load is not sent again")]
#[test_case("lookup", 0, 2; "a lookup is sent again")]
fn an_engine_restart_before_the_takeover(kind: &str, code: u16, starts: usize) {
    let mut setup = set_up(5).wait_until_voting();
    let _client = setup.send_statement(0, kind, 1);
    setup.engine.wait_for_start(1);
    if kind == "lookup" {
        // Time for the voters to receive the statement.
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    setup.fleet.kill(0);
    setup.engine.forget_queries();
    let mut returned = setup.send_statement(1, kind, 1);
    if kind == "lookup" {
        setup.engine.calls.wait_for_nth("starts", 2, |(_, c)| {
            c.has_method("POST") && c.header("Via-Id") == Some("0000000000000001")
        });
        setup.engine.complete(1);
    }
    let answer = returned.read_answer(1);
    assert_eq!(answer.error_code(), code, "{answer:?}");
    assert_eq!(setup.engine.start_count(1), starts);
}

#[test]
fn a_draining_engine_completes_a_load_that_was_taken_over() {
    let (engine, other) = (ControlledEngine::start(5), ControlledEngine::start(5));
    let fleet = fleet(5, &[&engine, &other], PEER_SETTINGS);
    let mut setup = TestSetup { fleet, engine }.wait_until_voting();
    // Either engine may run the load.
    let _client = setup.send_statement(0, "load", 1);
    let has_started = |engine: &ControlledEngine| engine.start_count(1) > 0;
    while !has_started(&setup.engine) && !has_started(&other) {
        std::thread::yield_now();
    }
    let (at, here) = if has_started(&setup.engine) {
        (0, &setup.engine)
    } else {
        (1, &other)
    };
    setup.fleet.kill(0);
    here.wait_for_poll(1, 0, &[0]);
    setup.fleet.publish_engine_state(at, "terminating");
    let before = here.calls.all().len();
    here.calls
        .wait_for_nth("polls", 3, |(by, c)| c.has_method("GET") && *by != 0);
    here.complete(1);
    assert_eq!(
        setup
            .client(1)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)),
        rows(1)
    );
    for req in (1 << 32) + 7000..(1 << 32) + 7010 {
        assert!(matches!(
            setup
                .client(2)
                .execute(&statement("lookup", req, MAX_STATEMENT_TIMEOUT_MS)),
            Answer::Rows(_)
        ));
    }
    let after = here.calls.all().split_off(before);
    assert!(
        !after.iter().any(|(_, c)| c.has_method("POST")),
        "a draining engine gets no new statements"
    );
    assert_eq!(here.start_count(1), 1);
}

/// Guards against polls without a pause at an engine that closes the connection of each poll.
#[test]
fn an_engine_that_closes_is_polled_with_pauses_for_a_load_that_was_taken_over() {
    const OBSERVATION: std::time::Duration = std::time::Duration::from_secs(1);
    const MAX_POLLS: usize = 40;
    let mut setup = set_up(5).wait_until_voting();
    setup.start_load(0, 1);
    setup.engine.set_polls_closing(true);
    setup.fleet.kill(0);
    setup.engine.wait_for_poll(1, 0, &[0]);
    let path = format!("/c/{:016x}/0", 1);
    let is_poll =
        |(by, call): &&(usize, Call)| *by != 0 && call.has_method("GET") && call.path == path;
    thread::sleep(OBSERVATION);
    let polls = setup.engine.calls.all().iter().filter(is_poll).count();
    assert!(polls < MAX_POLLS, "{polls} in a second");
    setup.engine.set_polls_closing(false);
    setup.engine.complete(1);
    assert_eq!(
        setup
            .client(1)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)),
        rows(1)
    );
    assert_eq!(setup.engine.start_count(1), 1);
}
