//! How long late votes on an attempt are awaited.

use ivypitch_ownership::*;
use ivypitch_types::{MILLISECOND, MemberId, Nanos, SECOND};

use crate::recorder::*;

const ENGINE: u64 = 3;

/// A gateway that has requested votes on a load's first attempt.
fn gateway_with_requested_votes(out: &mut Recorder) -> Ownership {
    let mut ownership = gateway();
    let decision = ownership.on_arrival(START, arrival(false), out);
    assert_eq!(decision, ArrivalDecision::Proceed);
    let decision = ownership.request_attempt(START, ID, 0, ENGINE, out);
    assert_eq!(decision, GrantDecision::Pending);
    ownership
}

fn requested_grant(out: &Recorder) -> AttemptGrant {
    let mut requests = out.sent.iter().filter_map(|(_, message)| match message {
        Message::GrantRequest { grant, .. } => Some(*grant),
        _ => None,
    });
    requests.next_back().expect("no vote was requested")
}

fn vote(ownership: &mut Ownership, now: Nanos, voter: u16, out: &mut Recorder) {
    let reply = Message::GrantReply {
        id: ID,
        grant: requested_grant(out),
        conflict: None,
    };
    ownership.on_message(now, MemberId(voter), reply, out);
}

/// Guards against gateways on busy machines answering "may have run" for a load that was never
/// dispatched.
#[test]
fn votes_of_healthy_members_are_awaited_while_grant_is_valid() {
    let mut out = Recorder::default();
    let mut ownership = gateway_with_requested_votes(&mut out);
    let before_expiry = START + 350 * MILLISECOND;
    run_timers(&mut ownership, before_expiry, &mut out);
    assert_eq!(out.denied, []);
    vote(&mut ownership, before_expiry, 2, &mut out);
    vote(&mut ownership, before_expiry, 3, &mut out);
    assert_eq!((out.granted, out.denied), (vec![0], vec![]));
}

#[test]
fn attempt_without_votes_is_denied_once_grant_validity_ends() {
    let mut out = Recorder::default();
    let mut ownership = gateway_with_requested_votes(&mut out);
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
fn votes_of_suspected_members_are_not_awaited_beyond_grant_timeout() {
    let mut out = Recorder::default();
    let mut ownership = gateway_with_requested_votes(&mut out);
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
fn votes_of_lost_members_are_not_awaited() {
    let mut out = Recorder::default();
    let mut ownership = gateway_with_requested_votes(&mut out);
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
