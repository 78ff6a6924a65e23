//! When, and to which clients, a gateway reports a rejection of a statement that it continued for a
//! waiting client.

use ivypitch_ownership::*;
use ivypitch_types::{MILLISECOND, MemberId, Nanos, SECOND};

use crate::recorder::*;

/// Member 1, whose client returned with a load that member 0 had dispatched. One voter knew that;
/// then member 0 was lost and the remaining voters do not answer, so this gateway continues the
/// statement itself.
fn gateway_continuing_statement_of_lost_member(out: &mut Recorder) -> (Ownership, Nanos) {
    let mut ownership = gateway();
    let decision = ownership.on_arrival(START, arrival(true), out);
    assert_eq!(decision, ArrivalDecision::Wait);
    let lookup = out
        .sent
        .iter()
        .rev()
        .find_map(|(to, message)| match message {
            Message::LookupRequest { request_id, .. } => Some((*to, *request_id)),
            _ => None,
        });
    let (voter, request_id) = lookup.expect("no voter was asked");
    let answer = LookupAnswer::LocatedAt(MemberId(0));
    let reply = Message::LookupReply {
        request_id,
        id: ID,
        answer,
    };
    ownership.on_message(START + MILLISECOND, voter, reply, out);
    let lost_at = START + 100 * MILLISECOND;
    ownership.on_member_down(lost_at, process(0), out);
    let lookup_exhausted_at = lost_at + SECOND;
    run_timers(&mut ownership, lookup_exhausted_at, out);
    assert_eq!(
        out.taken_over, 1,
        "the gateway does not continue the statement"
    );
    (ownership, lookup_exhausted_at)
}

/// Guards against answering "the statement did not run" for a load that runs at an engine.
#[test]
fn rejection_without_quorum_is_answered_as_aborted() {
    let mut out = Recorder::default();
    let (mut ownership, now) = gateway_continuing_statement_of_lost_member(&mut out);
    let rejected = FinalAnswer::Rejected {
        retry_after_ms: 2000,
    };
    assert_eq!(ownership.on_answered(now, ID, rejected, &mut out), None);
    run_timers(&mut ownership, now + 5 * SECOND, &mut out);
    assert!(!out.has_rejected(), "{:?}", out.answers);
    assert_eq!(out.answers, [FinalAnswer::Aborted]);
}

#[test]
fn rejection_is_answered_once_quorum_promises_new_epoch() {
    let mut out = Recorder::default();
    let (mut ownership, now) = gateway_continuing_statement_of_lost_member(&mut out);
    let rejected = FinalAnswer::Rejected {
        retry_after_ms: 2000,
    };
    ownership.on_answered(now, ID, rejected.clone(), &mut out);
    let takeover = out
        .sent
        .iter()
        .rev()
        .find_map(|(_, message)| match message {
            Message::TakeoverRequest { epoch, .. } => Some(*epoch),
            _ => None,
        });
    let epoch = takeover.expect("no vote on a new epoch was requested");
    for voter in [2, 3] {
        let reply = Message::TakeoverReply {
            id: ID,
            epoch,
            is_promised: true,
            record: None,
        };
        ownership.on_message(now + MILLISECOND, MemberId(voter), reply, &mut out);
    }
    assert_eq!(out.answers, [rejected]);
}

/// Guards against a load that is polled for at its engine, and never rejected, though its client
/// left before its attempt was granted.
#[test]
fn an_attempt_whose_client_leaves_during_the_vote_counts_as_never_run() {
    let mut out = Recorder::default();
    let mut ownership = gateway();
    let decision = ownership.on_arrival(START, arrival(false), &mut out);
    assert_eq!(decision, ArrivalDecision::Proceed);
    let requested = ownership.request_attempt(START, ID, 0, 3, &mut out);
    assert_eq!(requested, GrantDecision::Pending);
    let granted = out.sent.iter().find_map(|(_, message)| match message {
        Message::GrantRequest { record, grant } => Some((record.clone(), *grant)),
        _ => None,
    });
    let (mut record, grant) = granted.expect("no vote was requested");
    record.grants.push(grant);
    let decision = ownership.on_client_disconnected(START, ID, CLIENT, &mut out);
    assert_eq!(decision, DisconnectDecision::End);
    let takeover = out.sent.iter().find_map(|(_, message)| match message {
        Message::TakeoverRequest { epoch, .. } => Some(*epoch),
        _ => None,
    });
    let epoch = takeover.expect("no vote on a new epoch was requested");
    for voter in [2, 3] {
        let reply = Message::TakeoverReply {
            id: ID,
            epoch,
            is_promised: true,
            record: Some(record.clone()),
        };
        ownership.on_message(START, MemberId(voter), reply, &mut out);
    }
    assert_eq!(ownership.state(ID), Some(StatementState::Closed));
    assert_eq!((out.taken_over, out.granted.len()), (0, 0));
}
