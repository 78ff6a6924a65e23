//! Planned stops: the handoff of statements and the answers of a gateway that shuts down.

use std::thread;

use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;
use rustix::process::Signal;
use test_case::test_case;

use crate::scene::*;

#[test]
fn a_planned_stop_hands_off_a_running_load() {
    let mut setup = set_up(3).wait_until_voting();
    let mut client = setup.client(0);
    client.send(&query(&statement("load", 2, MAX_STATEMENT_TIMEOUT_MS)));
    assert_eq!(setup.engine.wait_for_start(2), 0);
    setup.fleet.signal(0, Signal::TERM);
    setup.fleet.gateways[0]
        .log
        .wait("handoff", |line| line.contains("handed off statements=1"));
    setup.engine.complete(2);
    assert_eq!(setup.fleet.terminate(0), Some(0));
    assert_eq!(
        setup
            .client(1)
            .execute(&statement("load", 2, MAX_STATEMENT_TIMEOUT_MS)),
        rows(2)
    );
    assert_eq!(setup.engine.start_count(2), 1, "it ran once");
    assert!(
        !setup
            .engine
            .calls
            .all()
            .iter()
            .any(|(_, c)| c.has_method("DELETE") && c.path.ends_with("0000000000000002"))
    );
}

#[test]
fn a_load_whose_handoff_is_lost_is_taken_over_and_runs_once() {
    // The statement is handed off to member 1.
    let (req, _) = find_statement(3, |all| all[0] == 1);
    let mut setup = set_up(3).wait_until_voting();
    let _client = setup.start_load(0, req);
    setup.fleet.network.block(gateway(0), gateway(1));
    setup.fleet.signal(0, Signal::TERM);
    setup.fleet.gateways[0]
        .log
        .wait("handoff", |line| line.contains("handed off statements=1"));
    let mut returned = setup.send_statement(2, "load", req);
    assert_eq!(setup.fleet.terminate(0), Some(0));
    setup.engine.wait_for_poll(req, 0, &[0]);
    setup.engine.complete(req);
    assert_eq!(returned.read_answer(1), rows(req));
    assert_eq!(setup.engine.start_count(req), 1, "it ran once");
}

/// Brings a gateway to the phase "finishing" of its shutdown; a running load keeps it from
/// stopping at once.
fn shut_down_until_finishing(setup: &TestSetup, g: usize, busy_request: u64) -> Client {
    let busy = setup.start_load(g, busy_request);
    setup.fleet.signal(g, Signal::TERM);
    setup.fleet.gateways[g]
        .log
        .wait("end of the drain period", |line| {
            is_event(line, "lifecycle phase changed", &[("to", "finishing")])
        });
    busy
}

/// Guards against the error "not run" for a load that ran, from a gateway that shuts down.
#[test]
fn a_client_that_returns_to_a_gateway_that_shuts_down_gets_the_rows() {
    let setup = set_up(3).wait_until_voting();
    let mut first = setup.start_load(0, 1);
    setup.engine.complete(1);
    assert_eq!(first.read_answer(1), rows(1));
    let _busy = shut_down_until_finishing(&setup, 1, 2);
    let ending = setup.fleet.gateways[1].address;
    let answer = Client::login_and_execute(ending, &statement("load", 1, MAX_STATEMENT_TIMEOUT_MS));
    assert_eq!(answer, rows(1));
    // A load that no gateway has sent is rejected, and never sent.
    let answer = Client::login_and_execute(ending, &statement("load", 3, MAX_STATEMENT_TIMEOUT_MS));
    assert_eq!(answer.error_code(), 1203, "{answer:?}");
    assert_eq!(
        (setup.engine.start_count(1), setup.engine.start_count(3)),
        (1, 0)
    );
}

/// Guards against the error "not run" from a gateway that shuts down and reaches no other gateway.
#[test]
fn an_isolated_gateway_that_shuts_down_reports_that_a_load_may_have_run() {
    let setup = set_up(3).wait_until_voting();
    let mut first = setup.start_load(0, 1);
    setup.engine.complete(1);
    assert_eq!(first.read_answer(1), rows(1));
    let _busy = shut_down_until_finishing(&setup, 1, 2);
    setup.fleet.set_partition(|a, b| a == 1 || b == 1, true);
    let ending = setup.fleet.gateways[1].address;
    let answer = Client::login_and_execute(ending, &statement("load", 1, MAX_STATEMENT_TIMEOUT_MS));
    assert_eq!(answer.error_code(), 1105, "{answer:?}");
    assert_eq!(setup.engine.start_count(1), 1);
}

/// Guards against the error "may have run" at the timeout of a statement that was looked up before
/// its start.
#[test]
fn a_client_that_waits_during_the_handoff_gets_the_rows() {
    let mut setup = set_up(3).wait_until_voting();
    let mut client = setup.start_load(0, 1);
    setup.fleet.signal(0, Signal::TERM);
    setup.fleet.gateways[0]
        .log
        .wait("handoff", |line| line.contains("handed off statements=1"));
    setup.engine.complete(1);
    assert_eq!(client.read_answer(1), rows(1));
    assert_eq!(setup.fleet.terminate(0), Some(0));
    assert_eq!(setup.engine.start_count(1), 1);
}

/// Guards against a fleet that waits for the suspicion timeout of a gateway that has stopped.
#[test]
fn a_planned_stop_is_known_to_the_others_at_once() {
    let mut setup = set_up_with(3, PEER_SETTINGS_WITHOUT_FAILURE_DETECTION);
    assert_eq!(setup.fleet.terminate(0), Some(0));
    setup.wait_for_loss(1, 0);
    setup.wait_for_loss(2, 0);
}

/// Guards against a load abandoned at its engine because no session of its gateway waits for it.
#[test]
fn a_planned_stop_hands_off_a_load_whose_client_has_disconnected() {
    let mut setup = set_up_with(3, PEER_SETTINGS_WITHOUT_FAILURE_DETECTION).wait_until_voting();
    drop(setup.start_load(0, 1));
    assert_eq!(setup.fleet.terminate(0), Some(0));
    setup.engine.wait_for_poll(1, 0, &[0]);
    setup.engine.complete(1);
    assert_eq!(
        setup
            .client(1)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)),
        rows(1)
    );
    assert_eq!(setup.engine.start_count(1), 1);
}

/// Guards against a load that is cancelled because its gateway stops before the engine has answered
/// the start.
#[test]
fn a_planned_stop_hands_off_a_load_whose_start_is_not_answered() {
    let mut setup = set_up_with(3, PEER_SETTINGS_WITHOUT_FAILURE_DETECTION).wait_until_voting();
    // The load is sent just before the drain period ends; its client disconnects, so that no
    // session delays the stop.
    let mut late = setup.client(0);
    setup.fleet.signal(0, Signal::TERM);
    setup.fleet.gateways[0].log.wait("signal", |line| {
        is_event(line, "lifecycle phase changed", &[("to", "draining")])
    });
    thread::sleep(std::time::Duration::from_millis(550));
    let answers = setup.engine.delay_start_responses();
    late.send(&query(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)));
    assert_eq!(setup.engine.wait_for_start(1), 0);
    drop(late);
    setup.fleet.gateways[0]
        .log
        .wait("handoff", |line| line.contains("handed off statements=1"));
    answers.push(());
    assert_eq!(setup.fleet.terminate(0), Some(0));
    setup.engine.wait_for_poll(1, 0, &[0]);
    let is_cancel =
        |(_, call): &(usize, Call)| call.has_method("DELETE") && call.path.ends_with('1');
    assert!(!setup.engine.calls.all().iter().any(is_cancel));
    setup.engine.complete(1);
    assert_eq!(
        setup
            .client(1)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)),
        rows(1)
    );
    assert_eq!(setup.engine.start_count(1), 1);
}

/// Guards against a client without an answer because its statement, which outlives the planned
/// stop, was handed off.
#[test_case("load"; "a load")]
#[test_case("lookup"; "a lookup")]
fn a_planned_stop_answers_the_client_of_a_statement_that_it_hands_off(kind: &str) {
    let mut setup = set_up(3).wait_until_voting();
    let mut client = setup.send_statement(0, kind, 1);
    assert_eq!(setup.engine.wait_for_start(1), 0);
    setup.fleet.signal(0, Signal::TERM);
    let answer = client.read_answer(1);
    assert_eq!(answer.error_code(), 1105, "{answer:?}");
    assert_eq!(setup.fleet.terminate(0), Some(0));
    setup.engine.wait_for_poll(1, 0, &[0]);
    // An idempotent statement may have been started again by its first gateway.
    assert!(kind != "load" || setup.engine.start_count(1) == 1);
}

/// Guards against clients without an answer because they wait at the gateway that stops for the
/// answer of another one.
#[test]
fn a_planned_stop_answers_the_clients_that_wait_for_another_gateway() {
    const CLIENTS: u64 = 40;
    let mut setup = set_up(3).wait_until_voting();
    let _first = setup.start_load(0, 1);
    let mut waiting: Vec<Client> = (0..CLIENTS)
        .map(|_| setup.send_statement(1, "load", 1))
        .collect();
    setup.fleet.signal(1, Signal::TERM);
    for client in &mut waiting {
        let answer = client.read_answer(1);
        assert_eq!(answer.error_code(), 1105, "{answer:?}");
    }
    assert_eq!(setup.fleet.terminate(1), Some(0));
    assert_eq!(setup.engine.start_count(1), 1);
}
