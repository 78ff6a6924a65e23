//! Votes on an attempt that come late: how long they are waited for.

use ivypitch_ownership::*;
use ivypitch_types::{MILLISECOND, MemberId, Nanos, SECOND};

use crate::recorder::*;

const ENGINE: u64 = 3;

/// A gateway that has asked its voters for their votes on a load's first attempt.
fn gateway_that_asked_for_votes(out: &mut Recorder) -> Ownership {
    let mut ownership = gateway();
    let arrived = ownership.on_arrival(START, arrival(false), out);
    assert_eq!(arrived, ArrivalDecision::Proceed);
    let decision = ownership.request_attempt(START, ID, 0, ENGINE, out);
    assert_eq!(decision, GrantDecision::Pending);
    ownership
}

fn requested_grant(out: &Recorder) -> AttemptGrant {
    let mut requests = out.sent.iter().filter_map(|(_, message)| match message {
        Message::GrantRequest { grant, .. } => Some(*grant),
        _ => None,
    });
    requests.next_back().expect("voters are asked")
}

fn vote(ownership: &mut Ownership, now: Nanos, voter: u16, out: &mut Recorder) {
    let reply = Message::GrantReply {
        id: ID,
        grant: requested_grant(out),
        conflict: None,
    };
    ownership.on_message(now, MemberId(voter), reply, out);
}

/// Guards against "may have run" of a load that was never dispatched, from gateways whose machines are busy.
#[test]
fn votes_of_members_that_are_not_suspected_are_waited_for_as_long_as_a_grant_is_valid() {
    let mut out = Recorder::default();
    let mut ownership = gateway_that_asked_for_votes(&mut out);
    let late = START + 350 * MILLISECOND;
    run_timers(&mut ownership, late, &mut out);
    assert_eq!(out.denied, []);
    vote(&mut ownership, late, 2, &mut out);
    vote(&mut ownership, late, 3, &mut out);
    assert_eq!((out.granted, out.denied), (vec![0], vec![]));
}

#[test]
fn without_votes_an_attempt_is_denied_once_its_grant_would_not_be_valid() {
    let mut out = Recorder::default();
    let mut ownership = gateway_that_asked_for_votes(&mut out);
    run_timers(&mut ownership, START + 401 * MILLISECOND, &mut out);
    let denial = GrantDenial::NoQuorum {
        is_provably_unsent: false,
    };
    assert_eq!((&out.granted, &out.denied), (&vec![], &vec![denial]));
    vote(&mut ownership, START + 402 * MILLISECOND, 2, &mut out);
    vote(&mut ownership, START + 402 * MILLISECOND, 3, &mut out);
    assert_eq!(out.granted, [] as [u32; 0]);
}

#[test]
fn votes_of_members_that_are_suspected_are_not_waited_for_longer() {
    let mut out = Recorder::default();
    let mut ownership = gateway_that_asked_for_votes(&mut out);
    for member in [0, 2, 3] {
        ownership.on_member_suspected(MemberId(member));
    }
    run_timers(&mut ownership, START + 101 * MILLISECOND, &mut out);
    assert_eq!(
        out.denied,
        [GrantDenial::NoQuorum {
            is_provably_unsent: false
        }]
    );
}

#[test]
fn votes_are_not_waited_for_once_their_members_are_lost() {
    let mut out = Recorder::default();
    let mut ownership = gateway_that_asked_for_votes(&mut out);
    for member in [0, 2, 3] {
        ownership.on_member_down(START + 120 * MILLISECOND, process(member), &mut out);
    }
    run_timers(&mut ownership, START + 250 * MILLISECOND, &mut out);
    assert_eq!(
        out.denied,
        [GrantDenial::NoQuorum {
            is_provably_unsent: false
        }]
    );
    assert!(ownership.next_timer() > START + SECOND / 4);
}
