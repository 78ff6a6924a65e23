//! The moment in which a gateway is killed: between grant, start, pages and answer.

use std::io::Read;

use ivypitch_testbed::processes::relay::LinkEnd;
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

use crate::scene::*;

#[test_case("load", PROOF, 1105, 0; "a load whose connection is being proved is in doubt and not sent")]
#[test_case("load", START, 1105, 0; "a load whose start is on its way is in doubt and not sent")]
#[test_case("lookup", PROOF, 0, 1; "a lookup whose connection is being proved runs at another")]
#[test_case("lookup", START, 0, 1; "a lookup whose start is on its way runs at another")]
fn killed_after_the_grant_and_before_the_engine_hears(
    kind: &str,
    way: &str,
    code: u16,
    starts: usize,
) {
    let mut s = scene(5).voting();
    s.fleet.network.block(gateway(0), ENGINE);
    let _client = s.sent(0, kind, 1);
    s.fleet
        .network
        .wait_for_blocked_data(gateway(0), ENGINE, way);
    s.fleet.kill(0);
    // What was on its way is lost.
    s.fleet.network.reset(gateway(0), ENGINE);
    s.fleet.network.unblock(gateway(0), ENGINE);
    s.held.complete(2);
    let mut back = s.sent(1, kind, 1);
    if kind == "lookup" {
        assert_ne!(s.held.wait_for_start(1), 0);
        s.held.complete(1);
    }
    let answer = back.read_answer(1);
    assert_eq!(answer.error_code(), code, "{answer:?}");
    assert_eq!(s.held.start_count(1), starts);
}

#[test]
fn a_start_that_arrives_after_its_gateway_was_killed_and_its_client_told_runs_once() {
    let mut s = scene(5).voting();
    s.fleet.network.block(gateway(0), ENGINE);
    let _client = s.sent(0, "load", 1);
    s.fleet
        .network
        .wait_for_blocked_data(gateway(0), ENGINE, START);
    s.fleet.kill(0);
    assert_eq!(
        s.client(1)
            .execute(&statement("load", 1, LONGEST))
            .error_code(),
        1105
    );
    assert_eq!(s.held.start_count(1), 0);
    // Only now the network brings what the lost gateway had written.
    s.fleet.network.unblock(gateway(0), ENGINE);
    assert_eq!(s.held.wait_for_start(1), 0);
    s.held.complete(1);
    for g in 1..5 {
        assert_eq!(
            s.client(g)
                .execute(&statement("load", 1, LONGEST))
                .error_code(),
            1105
        );
    }
    assert_eq!(s.held.start_count(1), 1, "never a second time");
}

#[test]
fn killed_after_the_send_and_before_the_engines_first_word() {
    let mut s = scene(5).voting();
    s.held.set_starts_unanswered(true);
    s.running(0, 1);
    s.fleet.kill(0);
    s.held.wait_for_poll(1, 0, &[0]);
    s.held.complete(1);
    assert_eq!(s.client(2).execute(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(s.held.start_count(1), 1);
}

#[test]
fn killed_while_pages_are_fetched() {
    let mut s = scene(5).voting();
    let pages: Vec<String> = (0..3).map(|page| format!("{page}\tb\tc\n")).collect();
    s.held.set_later_pages_unanswered(true);
    s.running(0, 1);
    s.held.complete_with_pages(1, pages);
    s.held.wait_for_poll(1, 1, &[]);
    s.fleet.kill(0);
    s.held.set_later_pages_unanswered(false);
    let all = (0..3)
        .map(|page| vec![page.to_string(), "b".into(), "c".into()])
        .collect();
    assert_eq!(
        s.client(1).execute(&statement("load", 1, LONGEST)),
        Answer::Rows(all)
    );
    assert_eq!(s.held.start_count(1), 1);
}

#[test]
fn killed_while_the_answer_is_half_written() {
    let mut s = scene(5).voting();
    let long = "x".repeat(5_000);
    let pages: Vec<String> = (0..8).map(|page| format!("{page}\t{long}\tc\n")).collect();
    let client = LinkEnd::Client(0);
    let way = s
        .fleet
        .network
        .open(client, gateway(0), s.fleet.gateways[0].address, false)
        .unwrap();
    let mut first = Client::connect_to(way);
    s.fleet
        .network
        .change(gateway(0), client, |way| way.bytes_per_s = 60_000);
    first.send(&query(&statement("load", 1, LONGEST)));
    s.held.wait_for_start(1);
    // Nobody hears that it has ended: whoever hears so has the rows for as long only as the engine may have them.
    s.fleet.set_partition(|a, _| a == 0, true);
    s.held.complete_with_pages(1, pages);
    // A quarter of it has come.
    let mut some = [0; 10_000];
    first.stream.read_exact(&mut some).unwrap();
    s.fleet.kill(0);
    s.fleet.network.reset(client, gateway(0));
    let answer = s.client(1).execute(&statement("load", 1, LONGEST));
    let Answer::Rows(all) = answer else {
        panic!("{answer:?}")
    };
    assert_eq!(
        all.iter().map(|row| row[0].clone()).collect::<String>(),
        "01234567"
    );
    assert_eq!(s.held.start_count(1), 1);
}
