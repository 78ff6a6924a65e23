//! Clients that leave before their statement has reached an engine.

use ivypitch_testbed::processes::{Fleet, FleetConfig, FleetEngines};
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use crate::scene::*;

fn close(client: Client) {
    drop(client);
}

fn quit(mut client: Client) {
    client.send(&packet(0, &[1]));
    assert_eq!(client.read_answer(1), Answer::Closed);
}

/// Statements may wait for an engine for seconds.
fn with_long_objectives(config: String) -> String {
    config
        .replace("\"goal-time-ns\":300000000", "\"goal-time-ns\":60000000000")
        .replace("\"goal-time-ns\":600000000", "\"goal-time-ns\":60000000000")
}

fn set_up_with_long_waits() -> TestSetup {
    let engine = ControlledEngine::start(3);
    let fleet = Fleet::start(FleetConfig {
        gateways: 3,
        engines: FleetEngines::External(vec![engine.addresses.clone()]),
        peer_settings: Some(PEER_SETTINGS.to_owned()),
        max_statement_timeout_ms: MAX_STATEMENT_TIMEOUT_MS,
        change_config: with_long_objectives,
        ..FleetConfig::default()
    });
    let fleet = fleet.unwrap();
    TestSetup { fleet, engine }.wait_until_voting()
}

/// A load that completes at once.
const LATER_LOAD: u64 = (1 << 32) + 77_000;

/// Runs a load behind all statements that wait at the gateway for its engine. Returns the ids that
/// the engine has started since it was full.
fn starts_until_later_load(setup: &TestSetup, g: usize) -> Vec<u64> {
    let statement = statement("load", LATER_LOAD, MAX_STATEMENT_TIMEOUT_MS);
    setup.client(g).execute(&statement);
    setup.engine.accepted_starts()
}

/// Guards against a statement that is sent after its client has left, because its gateway has peers
/// that could answer a client that returns.
#[test_case("load", 1, close; "a load")]
#[test_case("load", 80, close; "eighty loads")]
#[test_case("load", 1, quit; "a load whose client quits")]
#[test_case("lookup", 1, close; "a lookup")]
fn a_statement_that_waits_for_an_engine_ends_with_its_client(
    kind: &str,
    clients: u64,
    leave: fn(Client),
) {
    let setup = set_up_with_long_waits();
    setup.engine.set_starts_rejected(true);
    let first = setup.send_statement(0, kind, 1);
    setup.engine.wait_for_start(1);
    let others: Vec<Client> = (2..=clients)
        .map(|req| setup.send_statement(0, kind, req))
        .collect();
    for client in others.into_iter().chain([first]) {
        leave(client);
    }
    setup.engine.set_starts_rejected(false);
    assert_eq!(starts_until_later_load(&setup, 0), [LATER_LOAD]);
    // Nothing has run: the statement runs if its client returns.
    let mut returned = setup.send_statement(1, kind, 1);
    setup.engine.complete(1);
    assert_eq!(returned.read_answer(1), rows(1));
}

/// Guards against a load that is started again after its client has left, because the engine
/// reports only then that it did not run.
#[test]
fn a_load_rejected_by_its_engine_after_its_client_has_left_is_not_started_again() {
    let setup = set_up_with_long_waits();
    setup.engine.set_starts_rejected(true);
    let responses = setup.engine.delay_start_responses();
    let client = setup.send_statement(0, "load", 1);
    setup.engine.wait_for_start(1);
    drop(client);
    setup.wait_for_sessions_to_end(0);
    responses.push(());
    setup.engine.set_starts_rejected(false);
    assert_eq!(starts_until_later_load(&setup, 0), [LATER_LOAD]);
}

/// Guards against a load that has left its client without the outcome: it runs to its end for a
/// client that returns.
#[test]
fn a_load_that_runs_goes_on_without_its_client() {
    let setup = set_up(3).wait_until_voting();
    drop(setup.start_load(0, 1));
    setup.wait_for_sessions_to_end(0);
    setup.engine.complete(1);
    let answer = setup
        .client(1)
        .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS));
    assert_eq!(answer, rows(1));
    assert_eq!(setup.engine.start_count(1), 1);
}
