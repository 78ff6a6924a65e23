//! Gateways killed between vote grant, start, page fetches and response.

use std::io::Read;

use ivypitch_testbed::processes::relay::LinkEnd;
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use crate::scene::*;

#[test_case("load", CONNECTION_CHECK_REQUEST, 1105, 0; "a load whose connection is being checked is reported as possibly run and not sent")]
#[test_case("load", START_REQUEST, 1105, 0; "a load whose start is in flight is reported as possibly run and not sent")]
#[test_case("lookup", CONNECTION_CHECK_REQUEST, 0, 1; "a lookup whose connection is being checked runs through another gateway")]
#[test_case("lookup", START_REQUEST, 0, 1; "a lookup whose start is in flight runs through another gateway")]
fn a_gateway_killed_before_the_engine_receives_its_request(
    kind: &str,
    blocked_data: &str,
    code: u16,
    starts: usize,
) {
    let mut setup = set_up(5).wait_until_voting();
    setup.fleet.network.block(gateway(0), ENGINE);
    let _client = setup.send_statement(0, kind, 1);
    setup
        .fleet
        .network
        .wait_for_blocked_data(gateway(0), ENGINE, blocked_data);
    setup.fleet.kill(0);
    // The data in flight is lost.
    setup.fleet.network.reset(gateway(0), ENGINE);
    setup.fleet.network.unblock(gateway(0), ENGINE);
    setup.engine.complete(2);
    let mut returned = setup.send_statement(1, kind, 1);
    if kind == "lookup" {
        assert_ne!(setup.engine.wait_for_start(1), 0);
        setup.engine.complete(1);
    }
    let answer = returned.read_answer(1);
    assert_eq!(answer.error_code(), code, "{answer:?}");
    assert_eq!(setup.engine.start_count(1), starts);
}

#[test]
fn a_start_that_arrives_after_its_gateway_was_killed_and_its_client_told_runs_once() {
    let mut setup = set_up(5).wait_until_voting();
    setup.fleet.network.block(gateway(0), ENGINE);
    let _client = setup.send_statement(0, "load", 1);
    setup
        .fleet
        .network
        .wait_for_blocked_data(gateway(0), ENGINE, START_REQUEST);
    setup.fleet.kill(0);
    assert_eq!(
        setup
            .client(1)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS))
            .error_code(),
        1105
    );
    assert_eq!(setup.engine.start_count(1), 0);
    // Only now the network delivers the start of the killed gateway.
    setup.fleet.network.unblock(gateway(0), ENGINE);
    assert_eq!(setup.engine.wait_for_start(1), 0);
    setup.engine.complete(1);
    for g in 1..5 {
        assert_eq!(
            setup
                .client(g)
                .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS))
                .error_code(),
            1105
        );
    }
    assert_eq!(setup.engine.start_count(1), 1, "never a second time");
}

#[test]
fn a_load_runs_once_if_its_gateway_is_killed_before_the_engine_answers() {
    let mut setup = set_up(5).wait_until_voting();
    setup.engine.set_starts_unanswered(true);
    setup.start_load(0, 1);
    setup.fleet.kill(0);
    setup.engine.wait_for_poll(1, 0, &[0]);
    setup.engine.complete(1);
    assert_eq!(
        setup
            .client(2)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)),
        rows(1)
    );
    assert_eq!(setup.engine.start_count(1), 1);
}

#[test]
fn a_result_is_complete_if_its_gateway_is_killed_while_pages_are_fetched() {
    let mut setup = set_up(5).wait_until_voting();
    let pages: Vec<String> = (0..3).map(|page| format!("{page}\tb\tc\n")).collect();
    setup.engine.set_later_pages_unanswered(true);
    setup.start_load(0, 1);
    setup.engine.complete_with_pages(1, pages);
    setup.engine.wait_for_poll(1, 1, &[]);
    setup.fleet.kill(0);
    setup.engine.set_later_pages_unanswered(false);
    let all = (0..3)
        .map(|page| vec![page.to_string(), "b".into(), "c".into()])
        .collect();
    assert_eq!(
        setup
            .client(1)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)),
        Answer::Rows(all)
    );
    assert_eq!(setup.engine.start_count(1), 1);
}

#[test]
fn a_result_is_complete_if_its_gateway_is_killed_during_the_response() {
    let mut setup = set_up(5).wait_until_voting();
    let long = "x".repeat(5_000);
    let pages: Vec<String> = (0..8).map(|page| format!("{page}\t{long}\tc\n")).collect();
    let client = LinkEnd::Client(0);
    let link = setup
        .fleet
        .network
        .open(client, gateway(0), setup.fleet.gateways[0].address, false)
        .unwrap();
    let mut first = Client::connect_to(link);
    setup
        .fleet
        .network
        .change(gateway(0), client, |link| link.bytes_per_s = 60_000);
    first.send(&query(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)));
    setup.engine.wait_for_start(1);
    // A gateway that receives the outcome keeps the rows only as long as the engine may, so the
    // others must not receive it.
    setup.fleet.set_partition(|a, _| a == 0, true);
    setup.engine.complete_with_pages(1, pages);
    // A quarter of the response has arrived.
    let mut first_quarter = [0; 10_000];
    first.stream.read_exact(&mut first_quarter).unwrap();
    setup.fleet.kill(0);
    setup.fleet.network.reset(client, gateway(0));
    let answer = setup
        .client(1)
        .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS));
    let Answer::Rows(all) = answer else {
        panic!("{answer:?}")
    };
    assert_eq!(
        all.iter().map(|row| row[0].clone()).collect::<String>(),
        "01234567"
    );
    assert_eq!(setup.engine.start_count(1), 1);
}
