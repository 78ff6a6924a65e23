//! Gateways that are told to end: what they hand over, and what they say meanwhile.

use std::thread;

use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;
use rustix::process::Signal;

use crate::scene::*;

#[test]
fn a_planned_stop_hands_over_what_it_cannot_end() {
    let mut s = scene(3).voting();
    let mut client = s.client(0);
    client.send(&query(&statement("load", 2, LONGEST)));
    assert_eq!(s.held.wait_for_start(2), 0);
    s.fleet.signal(0, Signal::TERM);
    s.fleet.gateways[0]
        .log
        .wait("handoff", |l| l.contains("handed off statements=1"));
    s.held.complete(2);
    assert_eq!(s.fleet.terminate(0), Some(0));
    assert_eq!(s.client(1).execute(&statement("load", 2, LONGEST)), rows(2));
    assert_eq!(s.held.start_count(2), 1, "it ran once");
    assert!(
        !s.held
            .calls
            .all()
            .iter()
            .any(|(_, c)| c.has_method("DELETE") && c.path.ends_with("0000000000000002"))
    );
}

#[test]
fn a_planned_stop_whose_hand_over_is_lost_gives_nothing_to_run_again() {
    // The second place is told to take it over.
    let (req, _) = id_where(3, |all| all[0] == 1);
    let mut s = scene(3).voting();
    let _client = s.running(0, req);
    s.fleet.network.block(gateway(0), gateway(1));
    s.fleet.signal(0, Signal::TERM);
    s.fleet.gateways[0]
        .log
        .wait("handoff", |l| l.contains("handed off statements=1"));
    let mut back = s.sent(2, "load", req);
    assert_eq!(s.fleet.terminate(0), Some(0));
    s.held.wait_for_poll(req, 0, &[0]);
    s.held.complete(req);
    assert_eq!(back.read_answer(1), rows(req));
    assert_eq!(s.held.start_count(req), 1, "it ran once");
}

/// The way of a gateway that shuts down, with a load that keeps it from ending at once.
fn shut_down_until_it_rejects(s: &Scene, g: usize, kept_by: u64) -> Client {
    let busy = s.running(g, kept_by);
    s.fleet.signal(g, Signal::TERM);
    s.fleet.gateways[g]
        .log
        .wait("end of the drain period", |l| {
            is_event(l, "lifecycle phase changed", &[("to", "finishing")])
        });
    busy
}

/// Guards against "the statement did not run" of a load that ran, from a gateway that shuts down.
#[test]
fn a_client_that_returns_to_a_gateway_that_shuts_down_hears_the_rows() {
    let s = scene(3).voting();
    let mut first = s.running(0, 1);
    s.held.complete(1);
    assert_eq!(first.read_answer(1), rows(1));
    let _busy = shut_down_until_it_rejects(&s, 1, 2);
    let ending = s.fleet.gateways[1].address;
    let answer = Client::login_and_execute(ending, &statement("load", 1, LONGEST));
    assert_eq!(answer, rows(1));
    // One that nobody has sent is rejected, and never sent.
    let answer = Client::login_and_execute(ending, &statement("load", 3, LONGEST));
    assert_eq!(answer.error_code(), 1203, "{answer:?}");
    assert_eq!((s.held.start_count(1), s.held.start_count(3)), (1, 0));
}

/// Guards against the same where no other gateway can be asked.
#[test]
fn a_gateway_that_shuts_down_and_hears_nobody_says_that_a_load_may_have_run() {
    let s = scene(3).voting();
    let mut first = s.running(0, 1);
    s.held.complete(1);
    assert_eq!(first.read_answer(1), rows(1));
    let _busy = shut_down_until_it_rejects(&s, 1, 2);
    s.fleet.set_partition(|a, b| a == 1 || b == 1, true);
    let ending = s.fleet.gateways[1].address;
    let answer = Client::login_and_execute(ending, &statement("load", 1, LONGEST));
    assert_eq!(answer.error_code(), 1105, "{answer:?}");
    assert_eq!(s.held.start_count(1), 1);
}

/// Guards against "may have run" at the end of its time for a client whose statement was looked up before it started.
#[test]
fn a_client_that_waits_at_a_gateway_that_hands_over_hears_the_rows() {
    let mut s = scene(3).voting();
    let mut client = s.running(0, 1);
    s.fleet.signal(0, Signal::TERM);
    s.fleet.gateways[0]
        .log
        .wait("handoff", |l| l.contains("handed off statements=1"));
    s.held.complete(1);
    assert_eq!(client.read_answer(1), rows(1));
    assert_eq!(s.fleet.terminate(0), Some(0));
    assert_eq!(s.held.start_count(1), 1);
}

/// Guards against a fleet that waits for a gateway that has ended.
#[test]
fn a_planned_stop_is_known_to_the_others_at_once() {
    let mut s = scene_of(3, VERY_PATIENT_PEERS);
    assert_eq!(s.fleet.terminate(0), Some(0));
    s.wait_lost(1, 0);
    s.wait_lost(2, 0);
}

/// Guards against a load that is left at its engine, since no session of its gateway waits for it any more.
#[test]
fn a_planned_stop_hands_over_a_load_whose_client_has_gone() {
    let mut s = scene_of(3, VERY_PATIENT_PEERS).voting();
    drop(s.running(0, 1));
    assert_eq!(s.fleet.terminate(0), Some(0));
    s.held.wait_for_poll(1, 0, &[0]);
    s.held.complete(1);
    assert_eq!(s.client(1).execute(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(s.held.start_count(1), 1);
}

/// Guards against a load that is given up at its engine, since its gateway ends before the engine has answered the start.
#[test]
fn a_planned_stop_hands_over_a_load_whose_start_is_not_answered() {
    let mut s = scene_of(3, VERY_PATIENT_PEERS).voting();
    // A statement in time for the end of the drain period; its client goes, so that nothing holds up the end.
    let mut late = s.client(0);
    s.fleet.signal(0, Signal::TERM);
    s.fleet.gateways[0].log.wait("signal", |l| {
        is_event(l, "lifecycle phase changed", &[("to", "draining")])
    });
    thread::sleep(std::time::Duration::from_millis(550));
    let answers = s.held.delay_start_responses();
    late.send(&query(&statement("load", 1, LONGEST)));
    assert_eq!(s.held.wait_for_start(1), 0);
    drop(late);
    s.fleet.gateways[0]
        .log
        .wait("handoff", |l| l.contains("handed off statements=1"));
    answers.push(());
    assert_eq!(s.fleet.terminate(0), Some(0));
    s.held.wait_for_poll(1, 0, &[0]);
    let is_given_up =
        |(_, call): &(usize, Call)| call.has_method("DELETE") && call.path.ends_with('1');
    assert!(!s.held.calls.all().iter().any(is_given_up));
    s.held.complete(1);
    assert_eq!(s.client(1).execute(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(s.held.start_count(1), 1);
}
