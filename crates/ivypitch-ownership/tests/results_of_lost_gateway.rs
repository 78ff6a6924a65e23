//! How long an engine is polled for the rows of a completed load after the gateway that cached them
//! is lost.

use ivypitch_ownership::*;
use ivypitch_types::{Incarnation, MILLISECOND, MemberId, Nanos, ProcessId, SECOND};
use test_case::test_case;

const ID: StatementId = 7;

struct IgnoredOutput;

impl Output for IgnoredOutput {
    fn send(&mut self, _: MemberId, _: Message) {}
    fn on_attempt_granted(&mut self, _: StatementId, _: u32) {}
    fn on_attempt_denied(&mut self, _: StatementId, _: u32, _: GrantDenial) {}
    fn proceed(&mut self, _: StatementId) {}
    fn take_over(&mut self, _: StatementId, _: &StatementSpec, _: Nanos, _: Option<u64>) {}
    fn answer(&mut self, _: u64, _: &FinalAnswer) {}
    fn log(&mut self, _: &str) {}
}

fn process(member: u16, incarnation: u64) -> ProcessId {
    ProcessId {
        member: MemberId(member),
        incarnation: Incarnation(incarnation),
    }
}

#[test_case(1_499, 1; "engine may have rows and is polled")]
#[test_case(1_501, 0; "client is told of completion without rows")]
fn rows_of_lost_gateway_are_polled_while_engine_may_have_them(after_ms: Nanos, orphaned: u64) {
    let mut ownership =
        Ownership::new(process(1, 11), vec![0, 1, 2], OwnershipConfig::default(), 0);
    ownership.on_member_up(SECOND, process(0, 10));
    ownership.on_member_up(SECOND, process(2, 12));
    let epoch = Epoch {
        number: 0,
        process: process(0, 10),
    };
    let spec = StatementSpec {
        digest: 1,
        workload: 0,
        tenant: 0,
        is_idempotent: false,
        remaining_ms: 6000,
        request: vec![1],
    };
    let grant = AttemptGrant {
        epoch,
        attempt: 0,
        engine_hash: 1,
        never_ran: false,
    };
    let dispatched = StatementRecord {
        id: ID,
        epoch,
        spec: Some(spec.clone()),
        grants: vec![grant],
        end: None,
    };
    let end = Some(StatementEnd::Completed {
        cached_at: process(0, 10),
    });
    let completed = StatementRecord {
        spec: None,
        end,
        ..dispatched.clone()
    };
    ownership.on_message(
        2 * SECOND,
        MemberId(0),
        Message::Update(vec![dispatched]),
        &mut IgnoredOutput,
    );
    ownership.on_message(
        3 * SECOND,
        MemberId(0),
        Message::Update(vec![completed]),
        &mut IgnoredOutput,
    );
    let lost_at = 3 * SECOND + after_ms * MILLISECOND;
    ownership.on_member_down(lost_at, process(0, 10), &mut IgnoredOutput);
    assert_eq!(ownership.counters().orphaned, orphaned);
    let arrival = Arrival {
        id: ID,
        spec,
        is_worth_lookup: true,
        waiter_token: 1,
    };
    let decision = ownership.on_arrival(lost_at, arrival, &mut IgnoredOutput);
    assert_eq!(
        decision == ArrivalDecision::Answer(FinalAnswer::CompletedWithoutRows),
        orphaned == 0,
        "{decision:?}"
    );
}
