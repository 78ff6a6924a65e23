//! Answers to clients about statements that another gateway has sent.

use std::thread;
use std::time::Instant;

use ivypitch_ownership::VoterAssignment;
use ivypitch_testbed::processes::Fleet;
use ivypitch_testbed::processes::FleetConfig;
use ivypitch_testbed::processes::FleetEngines;
use ivypitch_testbed::test_servers::*;

use crate::scene::*;

#[test]
fn a_load_is_rejected_only_if_no_other_gateway_has_sent_it() {
    let settings_without_lookup =
        PEER_SETTINGS.replace("\"asks_from_ms\":0", "\"asks_from_ms\":100000");
    let setup = set_up_with(7, &settings_without_lookup).wait_until_voting();
    // The second gateway is no voter of the statement and does not look it up first.
    let (req, _) = find_statement(7, |all| !all.contains(&1));
    setup.start_load(0, req);
    // The client reconnects to a gateway that has no engine left and would reject the load.
    setup.fleet.publish_engine_state_to(1, 0, "terminating");
    for other in (1 << 32) + 8000.. {
        if setup
            .client(1)
            .execute(&statement("lookup", other, MAX_STATEMENT_TIMEOUT_MS))
            .error_code()
            == 1203
        {
            break;
        }
    }
    let mut returned = setup.send_statement(1, "load", req);
    setup.engine.wait_for_poll(req, 0, &[0]);
    setup.engine.complete(req);
    assert_eq!(returned.read_answer(1), rows(req));
    assert_eq!(setup.engine.start_count(req), 1);
    // A load that no gateway has sent is rejected with the error code for "not run".
    assert_eq!(
        setup
            .client(1)
            .execute(&statement("load", 9999, MAX_STATEMENT_TIMEOUT_MS))
            .error_code(),
        1203
    );
    assert_eq!(setup.engine.start_count(9999), 0);
}

/// Guards against a client that gets the outcome of a finished load only when its own timeout ends.
#[test]
fn a_finished_load_is_answered_at_once_if_its_voters_know_the_outcome() {
    let settings_without_lookup =
        PEER_SETTINGS.replace("\"asks_from_ms\":0", "\"asks_from_ms\":100000");
    let setup = set_up_with(7, &settings_without_lookup).wait_until_voting();
    let assignment = VoterAssignment::new((0..7).map(|g| g % 3).collect(), 5);
    // The second gateway is no voter of these loads and does not look them up before it starts
    // them.
    let is_without_vote_of_second = |&id: &u64| !voters_of(&assignment, id).contains(&1);
    setup.engine.set_starts_failing(true);
    for id in (1..1000).filter(is_without_vote_of_second).take(5) {
        let failed = setup
            .client(0)
            .execute(&statement("load", id, MAX_STATEMENT_TIMEOUT_MS));
        assert_eq!(failed.error_code(), 1105, "{failed:?}");
        // Time for the voters to receive the outcome.
        thread::sleep(std::time::Duration::from_millis(100));
        let began = Instant::now();
        let again = setup
            .client(1)
            .execute(&statement("load", id, MAX_STATEMENT_TIMEOUT_MS));
        assert_eq!(again.error_code(), 1105, "{again:?}");
        let took = began.elapsed();
        assert!(
            took.as_millis() < u128::from(MAX_STATEMENT_TIMEOUT_MS / 2),
            "{took:?}"
        );
        assert_eq!(setup.engine.start_count(id), 1);
    }
}

/// Guards against a KILL that finds no statement because its client waits for another gateway's
/// answer.
#[test]
fn a_kill_finds_a_client_that_waits_for_another_gateways_answer() {
    let setup = set_up(5).wait_until_voting();
    let _first = setup.start_load(0, 1);
    let mut returned = setup.send_statement(1, "load", 1);
    let kill = format!("KILL QUERY {}", returned.connection);
    assert_eq!(setup.client(1).execute(&kill), Answer::Rows(vec![]));
    assert_eq!(returned.read_answer(1).error_code(), 1317);
    assert_eq!(setup.engine.start_count(1), 1);
}

/// Guards against a rejection of a load that ran, by a gateway that has no capacity to look it up.
#[test]
fn without_capacity_to_look_it_up_a_load_is_reported_as_possibly_run() {
    let engine = ControlledEngine::start(3);
    let fleet = Fleet::start(FleetConfig {
        gateways: 3,
        engines: FleetEngines::External(vec![engine.addresses.clone()]),
        peer_settings: Some(PEER_SETTINGS.to_owned()),
        max_statement_timeout_ms: MAX_STATEMENT_TIMEOUT_MS,
        change_config: |config| config.replace("\"sockets\":1024", "\"sockets\":64"),
        ..FleetConfig::default()
    });
    let fleet = fleet.unwrap();
    let setup = TestSetup { fleet, engine }.wait_until_voting();
    let mut first = setup.start_load(0, 1);
    setup.engine.complete(1);
    assert_eq!(first.read_answer(1), rows(1));
    // Adds clients that wait for a load of another gateway until the statement limit is reached.
    let _runs = setup.start_load(0, 2);
    let address = setup.fleet.gateways[1].address;
    let began = Instant::now();
    let mut waiting = Vec::new();
    let answer = loop {
        assert!(began.elapsed() < WAIT_TIMEOUT, "{} wait", waiting.len());
        if let Some(mut client) = Client::try_connect(address) {
            client.send(&query(&statement("load", 2, MAX_STATEMENT_TIMEOUT_MS)));
            waiting.push(client);
        }
        let Some(mut client) = Client::try_connect(address) else {
            continue;
        };
        match client.execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)) {
            Answer::Rows(_) | Answer::Closed => {}
            error => break error,
        }
    };
    assert_eq!(answer.error_code(), 1105, "{answer:?}");
}
