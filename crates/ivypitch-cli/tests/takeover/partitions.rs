//! Gateways that are partitioned from all others or from some of them.

use ivypitch_gateway::log_events::MEMBER_LOST;
use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;

use crate::scene::*;

#[test]
fn a_client_across_a_partition_gets_the_rows_of_the_isolated_owners_load() {
    let setup = set_up(5).wait_until_voting();
    let mut first = setup.start_load(0, 1);
    setup.fleet.set_partition(|a, b| a == 0 || b == 0, true);
    setup.wait_for_loss(1, 0);
    setup.engine.wait_for_poll(1, 0, &[0]);
    // While isolated it sends no load that another gateway may have sent.
    let code = setup
        .client(0)
        .execute(&statement("load", 2, MAX_STATEMENT_TIMEOUT_MS))
        .error_code();
    assert!([1105, 1203].contains(&code), "{code}");
    setup.engine.complete(1);
    assert_eq!(
        setup
            .client(1)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)),
        rows(1)
    );
    assert_eq!(first.read_answer(1), rows(1));
    assert_eq!(
        (setup.engine.start_count(1), setup.engine.start_count(2)),
        (1, 0)
    );
    // After the partition has healed it sends loads again.
    setup.fleet.set_partition(|a, b| a == 0 || b == 0, false);
    setup.fleet.gateways[1]
        .log
        .wait_for_nth("member is up again", 2, |line| {
            is_event(line, "member is up", &[("member", "n0")])
        });
    execute_until_served(&setup.fleet, 0);
}

#[test]
fn a_load_is_taken_over_if_its_owners_messages_are_lost() {
    let setup = set_up(5).wait_until_voting();
    let mut first = setup.start_load(0, 1);
    // It receives messages of the others; its own are lost.
    setup.fleet.set_partition(|a, _| a == 0, true);
    setup.wait_for_loss(1, 0);
    setup.engine.wait_for_poll(1, 0, &[0]);
    setup.engine.complete(1);
    assert_eq!(
        setup
            .client(2)
            .execute(&statement("load", 1, MAX_STATEMENT_TIMEOUT_MS)),
        rows(1)
    );
    assert_eq!(first.read_answer(1), rows(1));
    assert_eq!(setup.engine.start_count(1), 1);
}

#[test]
fn a_gateway_without_peers_sends_no_load_that_another_might_have_sent() {
    let mut setup = set_up(3).wait_until_voting();
    setup.fleet.kill(1);
    setup.fleet.kill(2);
    setup.fleet.gateways[0]
        .log
        .wait_for_nth("member losses", 2, |line| is_event(line, MEMBER_LOST, &[]));
    assert_eq!(
        setup
            .client(0)
            .execute(&statement("load", 3, MAX_STATEMENT_TIMEOUT_MS))
            .error_code(),
        1105
    );
    assert_eq!(setup.engine.start_count(3), 0);
    // Idempotent statements are still served.
    setup.engine.complete(4);
    assert!(matches!(
        setup
            .client(0)
            .execute(&statement("lookup", 4, MAX_STATEMENT_TIMEOUT_MS)),
        Answer::Rows(_)
    ));
}
