//! Gateways that hear no others, or only some of them.

use ivypitch_gateway::log_events::MEMBER_LOST;
use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;

use crate::scene::*;

#[test]
fn a_cut_leaves_the_owner_with_its_engine_and_the_client_on_the_other_side() {
    let s = scene(5).voting();
    let mut first = s.running(0, 1);
    s.fleet.set_partition(|a, b| a == 0 || b == 0, true);
    s.wait_lost(1, 0);
    s.held.wait_for_poll(1, 0, &[0]);
    // Alone it sends nothing that the others may have sent.
    let code = s
        .client(0)
        .execute(&statement("load", 2, LONGEST))
        .error_code();
    assert!([1105, 1203].contains(&code), "{code}");
    s.held.complete(1);
    assert_eq!(s.client(1).execute(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(first.read_answer(1), rows(1));
    assert_eq!((s.held.start_count(1), s.held.start_count(2)), (1, 0));
    // Healed: it sends again.
    s.fleet.set_partition(|a, b| a == 0 || b == 0, false);
    s.fleet.gateways[1].log.wait_for_nth("return", 2, |l| {
        is_event(l, "member is up", &[("member", "n0")])
    });
    ask_until_votes(&s.fleet, 0);
}

#[test]
fn a_link_that_is_silent_in_one_direction() {
    let s = scene(5).voting();
    let mut first = s.running(0, 1);
    // It hears the others and is not heard.
    s.fleet.set_partition(|a, _| a == 0, true);
    s.wait_lost(1, 0);
    s.held.wait_for_poll(1, 0, &[0]);
    s.held.complete(1);
    assert_eq!(s.client(2).execute(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(first.read_answer(1), rows(1));
    assert_eq!(s.held.start_count(1), 1);
}

#[test]
fn a_gateway_without_peers_sends_no_load_that_another_might_have_sent() {
    let mut s = scene(3).voting();
    s.fleet.kill(1);
    s.fleet.kill(2);
    s.fleet.gateways[0]
        .log
        .wait_for_nth("losses", 2, |l| is_event(l, MEMBER_LOST, &[]));
    assert_eq!(
        s.client(0)
            .execute(&statement("load", 3, LONGEST))
            .error_code(),
        1105
    );
    assert_eq!(s.held.start_count(3), 0);
    // What is harmless goes on.
    s.held.complete(4);
    assert!(matches!(
        s.client(0).execute(&statement("lookup", 4, LONGEST)),
        Answer::Rows(_)
    ));
}
