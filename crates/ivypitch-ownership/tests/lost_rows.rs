//! A load has ended and the gateway with its rows is lost: for how long they are asked for at the engine.

use ivypitch_ownership::*;
use ivypitch_types::{Nanos, SECOND};
use test_case::test_case;

const MS: Nanos = 1_000_000;
const ID: StatementId = 7;

struct Nothing;

impl Output for Nothing {
    fn send(&mut self, _: u16, _: Message) {}
    fn on_attempt_granted(&mut self, _: StatementId, _: u32) {}
    fn on_attempt_denied(&mut self, _: StatementId, _: u32, _: GrantDenial) {}
    fn proceed(&mut self, _: StatementId) {}
    fn take_over(&mut self, _: StatementId, _: &StatementSpec, _: Nanos, _: Option<u64>) {}
    fn answer(&mut self, _: u64, _: &FinalAnswer) {}
    fn log(&mut self, _: &str) {}
}

#[test_case(1_499, 1; "while the engine may have them they are asked for")]
#[test_case(1_501, 0; "later its client hears that it completed")]
fn rows_of_a_lost_gateway(after_ms: Nanos, orphaned: u64) {
    let mut ownership = Ownership::new(1, 11, vec![0, 1, 2], OwnershipConfig::default(), 0);
    ownership.member_up(SECOND, 0, 10);
    ownership.member_up(SECOND, 2, 12);
    let epoch = Epoch {
        count: 0,
        place: 0,
        birth: 10,
    };
    let facts = StatementSpec {
        digest: 1,
        workload: 0,
        tenant: 0,
        idempotent: false,
        left_ms: 6000,
        text: vec![1],
    };
    let grant = AttemptGrant {
        epoch,
        number: 0,
        engine: 1,
        void: false,
    };
    let sent = StatementRecord {
        id: ID,
        epoch,
        facts: Some(facts.clone()),
        grants: vec![grant],
        end: None,
    };
    let end = Some(StatementEnd::Completed {
        rows_at: 0,
        birth: 10,
    });
    let ended = StatementRecord {
        facts: None,
        end,
        ..sent.clone()
    };
    ownership.heard(2 * SECOND, 0, Message::Update(vec![sent]), &mut Nothing);
    ownership.heard(3 * SECOND, 0, Message::Update(vec![ended]), &mut Nothing);
    let lost = 3 * SECOND + after_ms * MS;
    ownership.member_down(lost, 0, 10, &mut Nothing);
    assert_eq!(ownership.totals().orphaned, orphaned);
    let arrived = ownership.arrive(lost, ID, facts, true, 1, &mut Nothing);
    assert_eq!(
        arrived == ArrivalDecision::Answer(FinalAnswer::CompletedWithoutRows),
        orphaned == 0,
        "{arrived:?}"
    );
}
