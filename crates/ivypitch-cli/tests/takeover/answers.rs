//! What clients hear of statements that another gateway knows.

use std::thread;
use std::time::Instant;

use ivypitch_ownership::VoterAssignment;
use ivypitch_testbed::processes::Fleet;
use ivypitch_testbed::processes::FleetConfig;
use ivypitch_testbed::processes::FleetEngines;
use ivypitch_testbed::test_servers::*;

use crate::scene::*;

#[test]
fn a_refusal_is_told_only_where_no_other_gateway_has_sent_it() {
    let unasked = PEERS.replace("\"asks_from_ms\":0", "\"asks_from_ms\":100000");
    let s = scene_of(7, &unasked).voting();
    // The second gateway bears no witness of it and does not ask.
    let (req, _) = id_where(7, |all| !all.contains(&1));
    s.running(0, req);
    // Its client's connection breaks; the gateway that it comes to has no engine left, and would refuse.
    s.fleet.publish_engine_state_to(1, 0, "terminating");
    for other in (1 << 32) + 8000.. {
        if s.client(1)
            .execute(&statement("lookup", other, LONGEST))
            .error_code()
            == 1203
        {
            break;
        }
    }
    let mut back = s.sent(1, "load", req);
    s.held.wait_for_poll(req, 0, &[0]);
    s.held.complete(req);
    assert_eq!(back.read_answer(1), rows(req));
    assert_eq!(s.held.start_count(req), 1);
    // One that nobody has sent is refused, with the word that it did not run.
    assert_eq!(
        s.client(1)
            .execute(&statement("load", 9999, LONGEST))
            .error_code(),
        1203
    );
    assert_eq!(s.held.start_count(9999), 0);
}

/// Guards against a client that hears of a load that is over only once its own time has ended.
#[test]
fn a_load_that_is_over_is_answered_at_once_where_its_votes_tell_so() {
    let unasked = PEERS.replace("\"asks_from_ms\":0", "\"asks_from_ms\":100000");
    let s = scene_of(7, &unasked).voting();
    let witnesses = VoterAssignment::new((0..7).map(|g| g % 3).collect(), 5);
    // The second gateway is no voter of these and does not ask before it starts them.
    let is_unknown_to_second = |&id: &u64| !voters_of(&witnesses, id).contains(&1);
    s.held.set_starts_failing(true);
    for id in (1..1000).filter(is_unknown_to_second).take(5) {
        let failed = s.client(0).execute(&statement("load", id, LONGEST));
        assert_eq!(failed.error_code(), 1105, "{failed:?}");
        // Until its voters have heard of the end.
        thread::sleep(std::time::Duration::from_millis(100));
        let began = Instant::now();
        let again = s.client(1).execute(&statement("load", id, LONGEST));
        assert_eq!(again.error_code(), 1105, "{again:?}");
        let took = began.elapsed();
        assert!(took.as_millis() < u128::from(LONGEST / 2), "{took:?}");
        assert_eq!(s.held.start_count(id), 1);
    }
}

/// Guards against a KILL that finds nothing, since the statement's client waits for another gateway.
#[test]
fn a_kill_finds_a_client_that_waits_for_another_gateways_answer() {
    let s = scene(5).voting();
    let _first = s.running(0, 1);
    let mut back = s.sent(1, "load", 1);
    let kill = format!("KILL QUERY {}", back.connection);
    assert_eq!(s.client(1).execute(&kill), Answer::Rows(vec![]));
    assert_eq!(back.read_answer(1).error_code(), 1317);
    assert_eq!(s.held.start_count(1), 1);
}

/// Guards against "refused" of a load that ran, from a gateway that has no room to look it up.
#[test]
fn where_too_many_statements_are_open_a_load_may_have_run() {
    let held = ControlledEngine::start(3);
    let fleet = Fleet::start(FleetConfig {
        gateways: 3,
        engines: FleetEngines::External(vec![held.addresses.clone()]),
        peer_settings: Some(PEERS.to_owned()),
        max_statement_timeout_ms: LONGEST,
        change_config: |config| config.replace("\"sockets\":1024", "\"sockets\":64"),
        ..FleetConfig::default()
    });
    let fleet = fleet.unwrap();
    let s = Scene { fleet, held }.voting();
    let mut first = s.running(0, 1);
    s.held.complete(1);
    assert_eq!(first.read_answer(1), rows(1));
    // Clients that wait here for the end of what another gateway runs, one more until there is no room.
    let _runs = s.running(0, 2);
    let address = s.fleet.gateways[1].address;
    let began = Instant::now();
    let mut waiting = Vec::new();
    let answer = loop {
        assert!(began.elapsed() < WAIT_TIMEOUT, "{} wait", waiting.len());
        if let Some(mut client) = Client::try_connect(address) {
            client.send(&query(&statement("load", 2, LONGEST)));
            waiting.push(client);
        }
        let Some(mut client) = Client::try_connect(address) else {
            continue;
        };
        match client.execute(&statement("load", 1, LONGEST)) {
            Answer::Rows(_) | Answer::Closed => {}
            error => break error,
        }
    };
    assert_eq!(answer.error_code(), 1105, "{answer:?}");
}
