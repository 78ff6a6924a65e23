//! Work in hand outlives its gateway: fleets of real gateways on loopback that talk, with a relay on every link, of
//! which some are lost, stopped or cut off. Engines count the starts, clients tell what they heard.

use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::time::Instant;

use ivypitch_gateway::log_events::MEMBER_LOST;
use ivypitch_ownership::{VERSION, VoterAssignment};
use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::processes::relay::End;
use ivypitch_testbed::processes::{Engines, Fleet, Setup};
use std::thread;

use ivypitch_membership::{
    MemberAddress, MemberList, Membership, MembershipConfig, MembershipParams, OutgoingDatagram,
};
use ivypitch_testbed::stand_ins::*;
use ivypitch_types::{Incarnation, MemberId, ProcessId};
use rustix::process::Signal;
use test_case::test_case;

const ENGINE: End = End::Engine(0);

fn gateway(g: usize) -> End {
    End::Gateway(g)
}

/// Of each statement's time, in milliseconds.
const LONGEST: u64 = 20_000;
/// Patient enough that nobody is taken for lost because the machine is busy.
const PEERS: &str =
    r#""period_ms":200,"suspicion_ms":700,"custody":{"remembered_ms":400,"asks_from_ms":0}"#;
const SLOW_PEERS: &str =
    r#""period_ms":500,"suspicion_ms":1500,"custody":{"remembered_ms":400,"asks_from_ms":0}"#;

fn fleet(gateways: usize, held: &[&Held], peers: &str) -> Fleet {
    let engines = Engines::At(held.iter().map(|held| held.addresses.clone()).collect());
    let peers = Some(peers.to_owned());
    Fleet::start(Setup {
        gateways,
        engines,
        peers,
        longest_ms: LONGEST,
        ..Setup::default()
    })
    .unwrap()
}

struct Scene {
    fleet: Fleet,
    held: Held,
}

/// Gateways before one engine whose queries end when the test says so.
fn scene(gateways: usize) -> Scene {
    scene_of(gateways, PEERS)
}

fn scene_of(gateways: usize, peers: &str) -> Scene {
    let held = Held::start(gateways);
    let fleet = fleet(gateways, &[&held], peers);
    Scene { fleet, held }
}

impl Scene {
    /// The same once witnesses vote: those that began lately do not.
    fn voting(self) -> Scene {
        for g in 0..self.fleet.setup.gateways {
            ask_until_votes(&self.fleet, g);
        }
        self
    }

    fn client(&self, g: usize) -> Client {
        Client::at(self.fleet.seats[g].address)
    }

    /// A client that has sent its statement and waits.
    fn sent(&self, g: usize, kind: &str, req: u64) -> Client {
        let mut client = self.client(g);
        client.send(&query(&statement(kind, req, LONGEST)));
        client
    }

    /// A load whose execution runs, sent by this gateway.
    fn running(&self, g: usize, req: u64) -> Client {
        let client = self.sent(g, "load", req);
        assert_eq!(self.held.wait_start(req), g);
        client
    }

    fn wait_lost(&self, at: usize, lost: usize) {
        self.fleet.seats[at].log.wait("loss", |l| {
            is_event(l, MEMBER_LOST, &[("member", &format!("n{lost}"))])
        });
    }
}

fn ask_until_votes(fleet: &Fleet, g: usize) {
    for req in (1 << 32) + (g as u64) * 1000.. {
        let answer = Client::at(fleet.seats[g].address).ask(&statement("load", req, LONGEST));
        if matches!(answer, Answer::Rows(_)) {
            return;
        }
        assert!(req % 1000 < 900, "{answer:?}");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

fn rows(req: u64) -> Answer {
    Answer::Rows(vec![vec![format!("{req:016x}"), "b".into(), "c".into()]])
}

fn voters_of(assignment: &VoterAssignment, id: u64) -> Vec<u16> {
    let voters = assignment.voters_of(id);
    voters.into_iter().map(|voter| voter.0).collect()
}

/// An id whose witnesses, the first in rank first, are as wanted.
fn id_where(gateways: usize, is: impl Fn(&[u16]) -> bool) -> (u64, Vec<u16>) {
    let witnesses = VoterAssignment::new((0..gateways as u16).map(|g| g % 3).collect(), 5);
    let found = (1..10_000)
        .map(|id| (id, voters_of(&witnesses, id)))
        .find(|(_, all)| is(all));
    found.unwrap()
}

#[test]
fn a_load_outlives_its_gateway_and_clients_get_its_rows_anywhere() {
    let mut s = scene(5).voting();
    s.running(0, 1);
    s.fleet.kill(0);
    // It comes back before the loss is known, twice at once at two gateways.
    let (mut back, mut also) = (s.sent(1, "load", 1), s.sent(2, "load", 1));
    s.wait_lost(1, 0);
    s.held.end(1);
    assert_eq!(back.answer(1), rows(1));
    assert_eq!(also.answer(1), rows(1));
    // Later, anywhere, the same; and another statement under the id is refused.
    assert_eq!(s.client(3).ask(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(
        s.client(4).ask(&statement("lookup", 1, LONGEST)).code(),
        1062
    );
    assert_eq!(s.held.starts(1), 1, "it ran once");
}

#[test]
fn two_clients_at_two_gateways_at_the_instant_of_the_claim_hear_the_same() {
    let mut s = scene(5).voting();
    s.running(0, 1);
    s.fleet.kill(0);
    s.wait_lost(3, 0);
    let (mut one, mut other) = (s.sent(3, "load", 1), s.sent(4, "load", 1));
    s.held.wait_ask(1, 0, &[0]);
    s.held.end(1);
    assert_eq!((one.answer(1), other.answer(1)), (rows(1), rows(1)));
    assert_eq!(s.held.starts(1), 1);
}

/// What is on its way to the engine as its gateway is killed: the question that proves a kept connection, and, once that
/// has brought no answer, the start on a new one.
const PROOF: &str = "GET /c/0000000000000001/0";
const START: &str = "POST /c ";

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
    s.fleet.net.silence(gateway(0), ENGINE);
    let _client = s.sent(0, kind, 1);
    s.fleet.net.wait_stuck(gateway(0), ENGINE, way);
    s.fleet.kill(0);
    // What was on its way is lost.
    s.fleet.net.reset(gateway(0), ENGINE);
    s.fleet.net.hear(gateway(0), ENGINE);
    s.held.end(2);
    let mut back = s.sent(1, kind, 1);
    if kind == "lookup" {
        assert_ne!(s.held.wait_start(1), 0);
        s.held.end(1);
    }
    let answer = back.answer(1);
    assert_eq!(answer.code(), code, "{answer:?}");
    assert_eq!(s.held.starts(1), starts);
}

#[test]
fn a_start_that_arrives_after_its_gateway_was_killed_and_its_client_told_runs_once() {
    let mut s = scene(5).voting();
    s.fleet.net.silence(gateway(0), ENGINE);
    let _client = s.sent(0, "load", 1);
    s.fleet.net.wait_stuck(gateway(0), ENGINE, START);
    s.fleet.kill(0);
    assert_eq!(s.client(1).ask(&statement("load", 1, LONGEST)).code(), 1105);
    assert_eq!(s.held.starts(1), 0);
    // Only now the network brings what the lost gateway had written.
    s.fleet.net.hear(gateway(0), ENGINE);
    assert_eq!(s.held.wait_start(1), 0);
    s.held.end(1);
    for g in 1..5 {
        assert_eq!(s.client(g).ask(&statement("load", 1, LONGEST)).code(), 1105);
    }
    assert_eq!(s.held.starts(1), 1, "never a second time");
}

#[test]
fn killed_after_the_send_and_before_the_engines_first_word() {
    let mut s = scene(5).voting();
    s.held.mute_starts(true);
    s.running(0, 1);
    s.fleet.kill(0);
    s.held.wait_ask(1, 0, &[0]);
    s.held.end(1);
    assert_eq!(s.client(2).ask(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(s.held.starts(1), 1);
}

#[test]
fn killed_while_pages_are_fetched() {
    let mut s = scene(5).voting();
    let pages: Vec<String> = (0..3).map(|page| format!("{page}\tb\tc\n")).collect();
    s.held.mute_pages(true);
    s.running(0, 1);
    s.held.end_with(1, pages);
    s.held.wait_ask(1, 1, &[]);
    s.fleet.kill(0);
    s.held.mute_pages(false);
    let all = (0..3)
        .map(|page| vec![page.to_string(), "b".into(), "c".into()])
        .collect();
    assert_eq!(
        s.client(1).ask(&statement("load", 1, LONGEST)),
        Answer::Rows(all)
    );
    assert_eq!(s.held.starts(1), 1);
}

#[test]
fn killed_while_the_answer_is_half_written() {
    let mut s = scene(5).voting();
    let long = "x".repeat(5_000);
    let pages: Vec<String> = (0..8).map(|page| format!("{page}\t{long}\tc\n")).collect();
    let client = End::Client(0);
    let way = s
        .fleet
        .net
        .open(client, gateway(0), s.fleet.seats[0].address, false)
        .unwrap();
    let mut first = Client::at(way);
    s.fleet
        .net
        .change(gateway(0), client, |way| way.slow = 60_000);
    first.send(&query(&statement("load", 1, LONGEST)));
    s.held.wait_start(1);
    // Nobody hears that it has ended: whoever hears so has the rows for as long only as the engine may have them.
    s.fleet.cut(|a, _| a == 0, true);
    s.held.end_with(1, pages);
    // A quarter of it has come.
    let mut some = [0; 10_000];
    first.stream.read_exact(&mut some).unwrap();
    s.fleet.kill(0);
    s.fleet.net.reset(client, gateway(0));
    let answer = s.client(1).ask(&statement("load", 1, LONGEST));
    let Answer::Rows(all) = answer else {
        panic!("{answer:?}")
    };
    assert_eq!(
        all.iter().map(|row| row[0].clone()).collect::<String>(),
        "01234567"
    );
    assert_eq!(s.held.starts(1), 1);
}

#[test]
fn a_refusal_is_told_only_where_no_other_gateway_has_sent_it() {
    let unasked = PEERS.replace("\"asks_from_ms\":0", "\"asks_from_ms\":100000");
    let s = scene_of(7, &unasked).voting();
    // The second gateway bears no witness of it and does not ask.
    let (req, _) = id_where(7, |all| !all.contains(&1));
    s.running(0, req);
    // Its client's connection breaks; the gateway that it comes to has no engine left, and would refuse.
    s.fleet.tell_state_to(1, 0, "terminating");
    for other in (1 << 32) + 8000.. {
        if s.client(1).ask(&statement("lookup", other, LONGEST)).code() == 1203 {
            break;
        }
    }
    let mut back = s.sent(1, "load", req);
    s.held.wait_ask(req, 0, &[0]);
    s.held.end(req);
    assert_eq!(back.answer(1), rows(req));
    assert_eq!(s.held.starts(req), 1);
    // One that nobody has sent is refused, with the word that it did not run.
    assert_eq!(
        s.client(1).ask(&statement("load", 9999, LONGEST)).code(),
        1203
    );
    assert_eq!(s.held.starts(9999), 0);
}

#[test]
fn owner_and_first_witness_lost_together() {
    let (req, witnesses) = id_where(7, |all| !all.contains(&0));
    let mut s = scene(7).voting();
    s.running(0, req);
    s.fleet.kill(0);
    s.fleet.kill(usize::from(witnesses[0]));
    s.held.wait_ask(req, 0, &[0]);
    s.held.end(req);
    assert_eq!(
        s.client(usize::from(witnesses[2]))
            .ask(&statement("load", req, LONGEST)),
        rows(req)
    );
    assert_eq!(s.held.starts(req), 1);
}

#[test]
fn owner_and_a_whole_zone_of_witnesses_lost_together() {
    let (req, _) = id_where(7, |all| {
        !all.contains(&0) && all.contains(&1) && all.contains(&4)
    });
    let mut s = scene(7).voting();
    s.running(0, req);
    for g in [0, 1, 4] {
        s.fleet.kill(g);
    }
    s.held.wait_ask(req, 0, &[0]);
    s.held.end(req);
    assert_eq!(s.client(2).ask(&statement("load", req, LONGEST)), rows(req));
    assert_eq!(s.held.starts(req), 1);
}

#[test]
fn the_claimer_dies_and_its_claimer_too() {
    let (req, _) = id_where(7, |all| !all.contains(&0));
    let mut s = scene(7).voting();
    s.running(0, req);
    let mut lost = vec![0];
    s.fleet.kill(0);
    for _ in 0..2 {
        let claimer = s.held.wait_ask(req, 0, &lost);
        s.fleet.kill(claimer);
        lost.push(claimer);
    }
    let third = s.held.wait_ask(req, 0, &lost);
    s.held.end(req);
    let other = (0..7).find(|g| !lost.contains(g) && *g != third).unwrap();
    assert_eq!(
        s.client(other).ask(&statement("load", req, LONGEST)),
        rows(req)
    );
    assert_eq!(s.held.starts(req), 1);
}

#[test]
fn an_owner_that_was_stopped_finds_its_send_overtaken() {
    let mut s = scene(5).voting();
    // Its start is on the way as it stops; the others take it over and find nothing at the engine.
    s.fleet.net.silence(gateway(0), ENGINE);
    let mut first = s.sent(0, "load", 1);
    s.fleet.net.wait_stuck(gateway(0), ENGINE, START);
    s.fleet.stop(0);
    s.wait_lost(1, 0);
    assert_eq!(s.client(1).ask(&statement("load", 1, LONGEST)).code(), 1105);
    // It wakes, and what it had written arrives.
    s.fleet.net.hear(gateway(0), ENGINE);
    s.fleet.go_on(0);
    s.fleet.seats[1].log.wait_for("return", 2, |l| {
        is_event(l, "member is up", &[("member", "n0")])
    });
    s.held.end(1);
    let answer = first.answer(1);
    assert!(
        matches!(answer, Answer::Rows(_) | Answer::Error(1105, _)),
        "{answer:?}"
    );
    assert!(s.held.starts(1) <= 1, "never a second time");
}

#[test]
fn a_statement_that_a_stopped_gateway_reads_late_is_not_run_again() {
    let mut s = scene(5).voting();
    let mut first = s.client(0);
    s.fleet.stop(0);
    // Taken by its system, read by nobody; the client goes elsewhere.
    first.send(&query(&statement("load", 1, LONGEST)));
    let mut back = s.sent(1, "load", 1);
    assert_ne!(s.held.wait_start(1), 0);
    s.held.end(1);
    assert_eq!(back.answer(1), rows(1));
    s.fleet.go_on(0);
    let answer = first.answer(1);
    assert!(answer == rows(1) || answer.code() == 1105, "{answer:?}");
    assert_eq!(s.held.starts(1), 1);
}

#[test]
fn a_cut_leaves_the_owner_with_its_engine_and_the_client_on_the_other_side() {
    let s = scene(5).voting();
    let mut first = s.running(0, 1);
    s.fleet.cut(|a, b| a == 0 || b == 0, true);
    s.wait_lost(1, 0);
    s.held.wait_ask(1, 0, &[0]);
    // Alone it sends nothing that the others may have sent.
    let code = s.client(0).ask(&statement("load", 2, LONGEST)).code();
    assert!([1105, 1203].contains(&code), "{code}");
    s.held.end(1);
    assert_eq!(s.client(1).ask(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(first.answer(1), rows(1));
    assert_eq!((s.held.starts(1), s.held.starts(2)), (1, 0));
    // Healed: it sends again.
    s.fleet.cut(|a, b| a == 0 || b == 0, false);
    s.fleet.seats[1].log.wait_for("return", 2, |l| {
        is_event(l, "member is up", &[("member", "n0")])
    });
    ask_until_votes(&s.fleet, 0);
}

#[test]
fn a_link_that_is_silent_in_one_direction() {
    let s = scene(5).voting();
    let mut first = s.running(0, 1);
    // It hears the others and is not heard.
    s.fleet.cut(|a, _| a == 0, true);
    s.wait_lost(1, 0);
    s.held.wait_ask(1, 0, &[0]);
    s.held.end(1);
    assert_eq!(s.client(2).ask(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(first.answer(1), rows(1));
    assert_eq!(s.held.starts(1), 1);
}

#[test_case("load", 1105, 1; "a load is not sent again")]
#[test_case("lookup", 0, 2; "a lookup is")]
fn an_engine_that_restarts_between(kind: &str, code: u16, starts: usize) {
    let mut s = scene(5).voting();
    let _client = s.sent(0, kind, 1);
    s.held.wait_start(1);
    if kind == "lookup" {
        // Until its witnesses have heard of it.
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    s.fleet.kill(0);
    s.held.forget();
    let mut back = s.sent(1, kind, 1);
    if kind == "lookup" {
        s.held.calls.wait_for("starts", 2, |(_, c)| {
            c.is("POST") && c.header("Via-Id") == Some("0000000000000001")
        });
        s.held.end(1);
    }
    let answer = back.answer(1);
    assert_eq!(answer.code(), code, "{answer:?}");
    assert_eq!(s.held.starts(1), starts);
}

#[test]
fn an_engine_that_drains_while_a_taken_over_load_runs() {
    let (held, other) = (Held::start(5), Held::start(5));
    let fleet = fleet(5, &[&held, &other], PEERS);
    let mut s = Scene { fleet, held }.voting();
    // Whichever engine has it.
    let _client = s.sent(0, "load", 1);
    let begun = |held: &Held| held.starts(1) > 0;
    while !begun(&s.held) && !begun(&other) {
        std::thread::yield_now();
    }
    let (at, here) = if begun(&s.held) {
        (0, &s.held)
    } else {
        (1, &other)
    };
    s.fleet.kill(0);
    here.wait_ask(1, 0, &[0]);
    s.fleet.tell_state(at, "terminating");
    let before = here.calls.all().len();
    here.calls
        .wait_for("questions", 3, |(by, c)| c.is("GET") && *by != 0);
    here.end(1);
    assert_eq!(s.client(1).ask(&statement("load", 1, LONGEST)), rows(1));
    for req in (1 << 32) + 7000..(1 << 32) + 7010 {
        assert!(matches!(
            s.client(2).ask(&statement("lookup", req, LONGEST)),
            Answer::Rows(_)
        ));
    }
    let after = here.calls.all().split_off(before);
    assert!(
        !after.iter().any(|(_, c)| c.is("POST")),
        "nothing new goes to a draining engine"
    );
    assert_eq!(here.starts(1), 1);
}

#[test]
fn a_restart_under_the_same_name_within_100_ms() {
    let mut s = scene(5).voting();
    s.running(0, 1);
    s.fleet.kill(0);
    s.fleet.start_gateway(0).unwrap();
    // The new process has forgotten all, and is asked first.
    thread::scope(|scope| {
        let back = scope.spawn(|| s.client(0).ask(&statement("load", 1, LONGEST)));
        s.held.wait_ask(1, 0, &[0]);
        s.held.end(1);
        assert_eq!(back.join().unwrap(), rows(1));
    });
    assert_eq!(s.held.starts(1), 1);
}

#[test]
fn a_client_that_heard_nothing_certain_of_a_restarted_gateway_hears_more_once_that_one_does() {
    let mut s = scene(5).voting();
    s.running(0, 1);
    s.fleet.kill(0);
    s.fleet.cut(|_, b| b == 0, true);
    s.fleet.start_gateway(0).unwrap();
    // It hears nobody, so that it can't know, and sends nothing.
    assert_eq!(s.client(0).ask(&statement("load", 1, LONGEST)).code(), 1105);
    s.held.wait_ask(1, 0, &[0]);
    s.held.end(1);
    s.fleet.cut(|_, b| b == 0, false);
    for g in 1..5 {
        s.fleet.seats[0].log.wait_for("member", 2, |l| {
            is_event(l, "member is up", &[("member", &format!("n{g}"))])
        });
    }
    assert_eq!(s.client(0).ask(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(s.held.starts(1), 1);
}

#[test]
fn ten_gateways_of_thirty_killed_at_once() {
    let mut s = scene_of(30, SLOW_PEERS).voting();
    let witnesses = VoterAssignment::new((0..30).map(|g| g % 3).collect(), 5);
    let lost = (0..10usize).collect::<Vec<_>>();
    for &g in &lost {
        s.running(g, 1 + g as u64);
    }
    for &g in &lost {
        s.fleet.kill(g);
    }
    let left = |req| {
        voters_of(&witnesses, req)
            .into_iter()
            .filter(|&w| w >= 10)
            .count()
    };
    let has_majority: Vec<bool> = lost.iter().map(|&g| left(1 + g as u64) >= 3).collect();
    let can_be_known = |g: usize| has_majority[g];
    // Their clients come back at once, before any loss is known.
    thread::scope(|scope| {
        let back = |&g: &usize| {
            let (s, req) = (&s, 1 + g as u64);
            scope.spawn(move || s.client(10 + g).ask(&statement("load", req, LONGEST)))
        };
        let back: Vec<_> = lost.iter().map(back).collect();
        for req in lost
            .iter()
            .filter(|&&g| can_be_known(g))
            .map(|&g| 1 + g as u64)
        {
            s.held.wait_ask(req, 0, &lost);
            s.held.end(req);
        }
        for (&g, back) in lost.iter().zip(back) {
            let (answer, req) = (back.join().unwrap(), 1 + g as u64);
            // No majority of its witnesses is left: nobody may act, and it is not sent.
            assert!(
                if can_be_known(g) {
                    answer == rows(req)
                } else {
                    answer.code() == 1105
                },
                "{answer:?}"
            );
        }
    });
    assert!(lost.iter().all(|&g| s.held.starts(1 + g as u64) == 1));
    let without_majority = lost.iter().filter(|&&g| !can_be_known(g)).count();
    assert!((1..5).contains(&without_majority), "{without_majority}");
}

#[test]
fn a_planned_stop_hands_over_what_it_cannot_end() {
    let mut s = scene(3).voting();
    let mut client = s.client(0);
    client.send(&query(&statement("load", 2, LONGEST)));
    assert_eq!(s.held.wait_start(2), 0);
    s.fleet.signal(0, Signal::TERM);
    s.fleet.seats[0]
        .log
        .wait("handoff", |l| l.contains("handed off statements=1"));
    s.held.end(2);
    assert_eq!(s.fleet.end(0), Some(0));
    assert_eq!(s.client(1).ask(&statement("load", 2, LONGEST)), rows(2));
    assert_eq!(s.held.starts(2), 1, "it ran once");
    assert!(
        !s.held
            .calls
            .all()
            .iter()
            .any(|(_, c)| c.is("DELETE") && c.path.ends_with("0000000000000002"))
    );
}

#[test]
fn a_planned_stop_whose_hand_over_is_lost_gives_nothing_to_run_again() {
    // The second place is told to take it over.
    let (req, _) = id_where(3, |all| all[0] == 1);
    let mut s = scene(3).voting();
    let _client = s.running(0, req);
    s.fleet.net.silence(gateway(0), gateway(1));
    s.fleet.signal(0, Signal::TERM);
    s.fleet.seats[0]
        .log
        .wait("handoff", |l| l.contains("handed off statements=1"));
    let mut back = s.sent(2, "load", req);
    assert_eq!(s.fleet.end(0), Some(0));
    s.held.wait_ask(req, 0, &[0]);
    s.held.end(req);
    assert_eq!(back.answer(1), rows(req));
    assert_eq!(s.held.starts(req), 1, "it ran once");
}

/// The way of a gateway that shuts down, with a load that keeps it from ending at once.
fn shut_down_until_it_rejects(s: &Scene, g: usize, kept_by: u64) -> Client {
    let busy = s.running(g, kept_by);
    s.fleet.signal(g, Signal::TERM);
    s.fleet.seats[g].log.wait("end of the drain period", |l| {
        is_event(l, "lifecycle phase changed", &[("to", "finishing")])
    });
    busy
}

/// Guards against "the statement did not run" of a load that ran, from a gateway that shuts down.
#[test]
fn a_client_that_returns_to_a_gateway_that_shuts_down_hears_the_rows() {
    let s = scene(3).voting();
    let mut first = s.running(0, 1);
    s.held.end(1);
    assert_eq!(first.answer(1), rows(1));
    let _busy = shut_down_until_it_rejects(&s, 1, 2);
    let ending = s.fleet.seats[1].address;
    let answer = Client::ask_at_once(ending, &statement("load", 1, LONGEST));
    assert_eq!(answer, rows(1));
    // One that nobody has sent is rejected, and never sent.
    let answer = Client::ask_at_once(ending, &statement("load", 3, LONGEST));
    assert_eq!(answer.code(), 1203, "{answer:?}");
    assert_eq!((s.held.starts(1), s.held.starts(3)), (1, 0));
}

/// Guards against the same where no other gateway can be asked.
#[test]
fn a_gateway_that_shuts_down_and_hears_nobody_says_that_a_load_may_have_run() {
    let s = scene(3).voting();
    let mut first = s.running(0, 1);
    s.held.end(1);
    assert_eq!(first.answer(1), rows(1));
    let _busy = shut_down_until_it_rejects(&s, 1, 2);
    s.fleet.cut(|a, b| a == 1 || b == 1, true);
    let ending = s.fleet.seats[1].address;
    let answer = Client::ask_at_once(ending, &statement("load", 1, LONGEST));
    assert_eq!(answer.code(), 1105, "{answer:?}");
    assert_eq!(s.held.starts(1), 1);
}

/// Guards against "may have run" at the end of its time for a client whose statement was looked up before it started.
#[test]
fn a_client_that_waits_at_a_gateway_that_hands_over_hears_the_rows() {
    let mut s = scene(3).voting();
    let mut client = s.running(0, 1);
    s.fleet.signal(0, Signal::TERM);
    s.fleet.seats[0]
        .log
        .wait("handoff", |l| l.contains("handed off statements=1"));
    s.held.end(1);
    assert_eq!(client.answer(1), rows(1));
    assert_eq!(s.fleet.end(0), Some(0));
    assert_eq!(s.held.starts(1), 1);
}

/// Guards against a client that hears of a load that is over only once its own time has ended.
#[test]
fn a_load_that_is_over_is_answered_at_once_where_its_votes_tell_so() {
    let unasked = PEERS.replace("\"asks_from_ms\":0", "\"asks_from_ms\":100000");
    let s = scene_of(7, &unasked).voting();
    let witnesses = VoterAssignment::new((0..7).map(|g| g % 3).collect(), 5);
    // The second gateway is no voter of these and does not ask before it starts them.
    let is_unknown_to_second = |&id: &u64| !voters_of(&witnesses, id).contains(&1);
    s.held.fail_starts(true);
    for id in (1..1000).filter(is_unknown_to_second).take(5) {
        let failed = s.client(0).ask(&statement("load", id, LONGEST));
        assert_eq!(failed.code(), 1105, "{failed:?}");
        // Until its voters have heard of the end.
        thread::sleep(std::time::Duration::from_millis(100));
        let began = Instant::now();
        let again = s.client(1).ask(&statement("load", id, LONGEST));
        assert_eq!(again.code(), 1105, "{again:?}");
        let took = began.elapsed();
        assert!(took.as_millis() < u128::from(LONGEST / 2), "{took:?}");
        assert_eq!(s.held.starts(id), 1);
    }
}

/// Guards against a KILL that finds nothing, since the statement's client waits for another gateway.
#[test]
fn a_kill_finds_a_client_that_waits_for_another_gateways_answer() {
    let s = scene(5).voting();
    let _first = s.running(0, 1);
    let mut back = s.sent(1, "load", 1);
    let kill = format!("KILL QUERY {}", back.connection);
    assert_eq!(s.client(1).ask(&kill), Answer::Rows(vec![]));
    assert_eq!(back.answer(1).code(), 1317);
    assert_eq!(s.held.starts(1), 1);
}

/// Guards against "refused" of a load that ran, from a gateway that has no room to look it up.
#[test]
fn where_too_many_statements_are_open_a_load_may_have_run() {
    const CLIENTS: u64 = 21;
    let held = Held::start(3);
    let fleet = Fleet::start(Setup {
        gateways: 3,
        engines: Engines::At(vec![held.addresses.clone()]),
        peers: Some(PEERS.to_owned()),
        longest_ms: LONGEST,
        settings: |config| config.replace("\"sockets\":1024", "\"sockets\":64"),
        ..Setup::default()
    });
    let fleet = fleet.unwrap();
    let s = Scene { fleet, held }.voting();
    let mut first = s.running(0, 1);
    s.held.end(1);
    assert_eq!(first.answer(1), rows(1));
    // So many wait here for the end of what another gateway runs.
    let _runs = s.running(0, 2);
    let open: Vec<Client> = (0..CLIENTS).map(|_| s.sent(1, "load", 2)).collect();
    open.iter().for_each(|client| is_read(&client.stream));
    let answer = s.client(1).ask(&statement("load", 1, LONGEST));
    assert_eq!(answer.code(), 1105, "{answer:?}");
}

/// Others take a member for lost only long after a test has failed, unless it says that it leaves.
const VERY_PATIENT_PEERS: &str =
    r#""period_ms":200,"suspicion_ms":600000,"custody":{"remembered_ms":400,"asks_from_ms":0}"#;

/// Guards against a fleet that waits for a gateway that has ended.
#[test]
fn a_planned_stop_is_known_to_the_others_at_once() {
    let mut s = scene_of(3, VERY_PATIENT_PEERS);
    assert_eq!(s.fleet.end(0), Some(0));
    s.wait_lost(1, 0);
    s.wait_lost(2, 0);
}

/// Guards against a load that is left at its engine, since no session of its gateway waits for it any more.
#[test]
fn a_planned_stop_hands_over_a_load_whose_client_has_gone() {
    let mut s = scene_of(3, VERY_PATIENT_PEERS).voting();
    drop(s.running(0, 1));
    assert_eq!(s.fleet.end(0), Some(0));
    s.held.wait_ask(1, 0, &[0]);
    s.held.end(1);
    assert_eq!(s.client(1).ask(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(s.held.starts(1), 1);
}

/// Guards against a load that is given up at its engine, since its gateway ends before the engine has answered the start.
#[test]
fn a_planned_stop_hands_over_a_load_whose_start_is_not_answered() {
    let mut s = scene_of(3, VERY_PATIENT_PEERS).voting();
    // A statement in time for the end of the drain period; its client goes, so that nothing holds up the end.
    let mut late = s.client(0);
    s.fleet.signal(0, Signal::TERM);
    s.fleet.seats[0].log.wait("signal", |l| {
        is_event(l, "lifecycle phase changed", &[("to", "draining")])
    });
    thread::sleep(std::time::Duration::from_millis(550));
    let answers = s.held.hold_starts();
    late.send(&query(&statement("load", 1, LONGEST)));
    assert_eq!(s.held.wait_start(1), 0);
    drop(late);
    s.fleet.seats[0]
        .log
        .wait("handoff", |l| l.contains("handed off statements=1"));
    answers.push(());
    assert_eq!(s.fleet.end(0), Some(0));
    s.held.wait_ask(1, 0, &[0]);
    let is_given_up = |(_, call): &(usize, Call)| call.is("DELETE") && call.path.ends_with('1');
    assert!(!s.held.calls.all().iter().any(is_given_up));
    s.held.end(1);
    assert_eq!(s.client(1).ask(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(s.held.starts(1), 1);
}

/// Guards against an engine that is asked without a pause, since it closes each connection on which it is asked.
#[test]
fn an_engine_that_closes_is_polled_with_pauses_for_a_load_that_was_taken_over() {
    const WATCHED: std::time::Duration = std::time::Duration::from_secs(1);
    const MAX_POLLS: usize = 40;
    let mut s = scene(5).voting();
    s.running(0, 1);
    s.held.close_polls(true);
    s.fleet.kill(0);
    s.held.wait_ask(1, 0, &[0]);
    let path = format!("/c/{:016x}/0", 1);
    let is_poll = |(by, call): &&(usize, Call)| *by != 0 && call.is("GET") && call.path == path;
    thread::sleep(WATCHED);
    let polls = s.held.calls.all().iter().filter(is_poll).count();
    assert!(polls < MAX_POLLS, "{polls} in a second");
    s.held.close_polls(false);
    s.held.end(1);
    assert_eq!(s.client(1).ask(&statement("load", 1, LONGEST)), rows(1));
    assert_eq!(s.held.starts(1), 1);
}

/// Guards against "may have run" of a load whose rows the fleet has, from a gateway that was stopped and wakes.
#[test_case(true; "a client that came while it was stopped")]
#[test_case(false; "a client that comes as it wakes")]
fn a_gateway_that_was_stopped_asks_the_others_again(came_before: bool) {
    let mut s = scene(5).voting();
    let mut first = s.running(0, 1);
    s.held.end(1);
    assert_eq!(first.answer(1), rows(1));
    let mut back = s.client(2);
    let text = query(&statement("load", 1, LONGEST));
    s.fleet.stop(2);
    s.wait_lost(1, 2);
    if came_before {
        back.send(&text);
    }
    s.fleet.go_on(2);
    if !came_before {
        back.send(&text);
    }
    assert_eq!(back.answer(1), rows(1));
    assert_eq!(s.held.starts(1), 1);
}

/// Guards against "may have run" of a load that another gateway has taken over and ended, from the one that had started it.
#[test]
fn a_gateway_that_was_stopped_with_a_load_hears_what_became_of_it() {
    let mut s = scene(5).voting();
    let mut first = s.running(0, 1);
    s.fleet.stop(0);
    s.held.wait_ask(1, 0, &[0]);
    s.held.end(1);
    assert_eq!(s.client(1).ask(&statement("load", 1, LONGEST)), rows(1));
    // The engine knows nothing of it any more; the gateway that took it over has the rows.
    s.held.forget();
    s.fleet.go_on(0);
    assert_eq!(first.answer(1), rows(1));
    assert_eq!(s.held.starts(1), 1);
}

#[test]
fn a_gateway_without_peers_sends_no_load_that_another_might_have_sent() {
    let mut s = scene(3).voting();
    s.fleet.kill(1);
    s.fleet.kill(2);
    s.fleet.seats[0]
        .log
        .wait_for("losses", 2, |l| is_event(l, MEMBER_LOST, &[]));
    assert_eq!(s.client(0).ask(&statement("load", 3, LONGEST)).code(), 1105);
    assert_eq!(s.held.starts(3), 0);
    // What is harmless goes on.
    s.held.end(4);
    assert!(matches!(
        s.client(0).ask(&statement("lookup", 4, LONGEST)),
        Answer::Rows(_)
    ));
}

#[test]
fn a_gateway_of_the_version_before_is_refused_with_one_line() {
    let s = scene(3);
    // A link whose first frame names another version.
    let hello = |version: u16| {
        let zones = ["z0", "z1", "z2"].map(String::from).to_vec();
        let member = |g: usize| MemberAddress {
            name: format!("n{g}"),
            zone: g as u16,
            address: s.fleet.seats[g].peers_at,
        };
        let members = MemberList {
            members: (0..3).map(member).collect(),
            zones,
        };
        let frame = ivypitch_gateway::wire::peer_frames::Frame::Hello {
            version,
            list_fingerprint: members.fingerprint(),
            member: MemberId(1),
            incarnation: Incarnation(7),
        };
        (
            members,
            ivypitch_gateway::wire::peer_frames::encode_frame(&frame),
        )
    };
    let (members, old) = hello(VERSION - 1);
    for _ in 0..3 {
        let mut link = TcpStream::connect(s.fleet.seats[0].peers_at).unwrap();
        link.write_all(&old).unwrap();
        let mut nothing = Vec::new();
        // Closed with no word.
        let _ = link.read_to_end(&mut nothing);
        assert!(nothing.is_empty());
    }
    let refused = |l: &String| {
        is_event(
            l,
            "link from incompatible member is rejected",
            &[("member", "n1")],
        )
    };
    let log = &s.fleet.seats[0].log;
    log.wait("refusal", refused);
    // A datagram of such a member.
    let mut stranger = Membership::new(MembershipParams {
        members,
        process: ProcessId {
            member: MemberId(1),
            incarnation: Incarnation(9),
        },
        protocol_version: VERSION - 1,
        config: MembershipConfig::default(),
        seed: 1,
        now: 0,
    });
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for round in 0..20u64 {
        stranger.on_timer(round * 250_000_000);
        while let Some(OutgoingDatagram { to, data }) = stranger.next_datagram() {
            if to == MemberId(0) {
                socket.send_to(&data, s.fleet.seats[0].peers_at).unwrap();
            }
        }
    }
    let unspoken = |l: &String| is_event(l, "incompatible member is ignored", &[("member", "n1")]);
    log.wait("stranger", unspoken);
    let all = log.all();
    assert_eq!(
        (
            all.iter().filter(|l| refused(l)).count(),
            all.iter().filter(|l| unspoken(l)).count()
        ),
        (1, 1)
    );
    assert!(
        !all.iter().any(|l| is_event(l, MEMBER_LOST, &[])),
        "the real n1 stays"
    );
}

#[test]
fn a_gateway_that_the_list_does_not_name_does_not_start() {
    let own = r#"{"peers":{"gateways":[{"name":"a","address":"127.0.0.1:1"},{"name":"a","address":"x"}],"custody":{"witnesses":4}}}"#;
    let config = configuration("127.0.0.1:0", &[], None, 1024);
    let (mut child, log, _) = spawn_with(&config, Some(own));
    assert_eq!(child.wait().unwrap().code(), Some(1));
    let line = log.wait("line", |_| true);
    for word in [
        "peers.gateways[1].name",
        "stands twice",
        "peers.gateways[1].address",
        "custody.witnesses",
    ] {
        assert!(line.contains(word), "{line}");
    }
}
