//! Engines that restart, drain or close connections while a statement that was taken over runs there.

use std::thread;

use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use crate::scene::*;

#[test_case("load", 1105, 1; "a load is not sent again")]
#[test_case("lookup", 0, 2; "a lookup is")]
fn an_engine_that_restarts_between(kind: &str, code: u16, starts: usize) {
    let mut s = scene(5).voting();
    let _client = s.sent(0, kind, 1);
    s.held.wait_for_start(1);
    if kind == "lookup" {
        // Until its witnesses have heard of it.
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    s.fleet.kill(0);
    s.held.forget_queries();
    let mut back = s.sent(1, kind, 1);
    if kind == "lookup" {
        s.held.calls.wait_for_nth("starts", 2, |(_, c)| {
            c.has_method("POST") && c.header("Via-Id") == Some("0000000000000001")
        });
        s.held.complete(1);
    }
    let answer = back.read_answer(1);
    assert_eq!(answer.error_code(), code, "{answer:?}");
    assert_eq!(s.held.start_count(1), starts);
}

#[test]
fn an_engine_that_drains_while_a_taken_over_load_runs() {
    let (held, other) = (ControlledEngine::start(5), ControlledEngine::start(5));
    let fleet = fleet(5, &[&held, &other], PEERS);
    let mut s = Scene { fleet, held }.voting();
    // Whichever engine has it.
    let _client = s.sent(0, "load", 1);
    let begun = |held: &ControlledEngine| held.start_count(1) > 0;
    while !begun(&s.held) && !begun(&other) {
        std::thread::yield_now();
    }
    let (at, here) = if begun(&s.held) {
        (0, &s.held)
    } else {
        (1, &other)
    };
    s.fleet.kill(0);
    here.wait_for_poll(1, 0, &[0]);
    s.fleet.publish_engine_state(at, "terminating");
    let before = here.calls.all().len();
    here.calls
        .wait_for_nth("questions", 3, |(by, c)| c.has_method("GET") && *by != 0);
    here.complete(1);
    assert_eq!(s.client(1).execute(&statement("load", 1, LONGEST)), rows(1));
    for req in (1 << 32) + 7000..(1 << 32) + 7010 {
        assert!(matches!(
            s.client(2).execute(&statement("lookup", req, LONGEST)),
            Answer::Rows(_)
        ));
    }
    let after = here.calls.all().split_off(before);
    assert!(
        !after.iter().any(|(_, c)| c.has_method("POST")),
        "nothing new goes to a draining engine"
    );
    assert_eq!(here.start_count(1), 1);
}

/// Guards against an engine that is asked without a pause, since it closes each connection on which it is asked.
#[test]
fn an_engine_that_closes_is_polled_with_pauses_for_a_load_that_was_taken_over() {
    const WATCHED: std::time::Duration = std::time::Duration::from_secs(1);
    const MAX_POLLS: usize = 40;
    let mut s = scene(5).voting();
    s.running(0, 1);
    s.held.set_polls_closing(true);
    s.fleet.kill(0);
    s.held.wait_for_poll(1, 0, &[0]);
    let path = format!("/c/{:016x}/0", 1);
    let is_poll =
        |(by, call): &&(usize, Call)| *by != 0 && call.has_method("GET") && call.path == path;
    thread::sleep(WATCHED);
    let polls = s.held.calls.all().iter().filter(is_poll).count();
    assert!(polls < MAX_POLLS, "{polls} in a second");
    s.held.set_polls_closing(false);
    s.held.complete(1);
    assert_eq!(s.client(1).execute(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(s.held.start_count(1), 1);
}
