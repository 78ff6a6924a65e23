//! Message bytes recorded at d1ac1c5, which a rename must not change: every message about
//! statements in flight, with every variant of its contents.

use ivypitch_ownership::{
    AttemptGrant, Epoch, FinalAnswer, LookupAnswer, Message, StatementEnd, StatementRecord,
    StatementSpec, VoteLogCompleteness,
};
use ivypitch_types::{Incarnation, MemberId, ProcessId};
use serde_bytes::ByteBuf;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

const fn process(member: u16, incarnation: u64) -> ProcessId {
    ProcessId {
        member: MemberId(member),
        incarnation: Incarnation(incarnation),
    }
}

const ID: u64 = 0x1122_3344_5566;
const EPOCH: Epoch = Epoch {
    number: 7,
    process: process(300, 1_700_000_000_123),
};
const GRANT: AttemptGrant = AttemptGrant {
    epoch: EPOCH,
    attempt: 5,
    engine_hash: 0xabcd_ef01_2345,
    never_ran: true,
};

fn full_record(end: Option<StatementEnd>) -> StatementRecord {
    let spec = StatementSpec {
        digest: 0xd1d2_d3d4_d5d6_d7d8,
        workload: 11,
        tenant: 512,
        is_idempotent: true,
        remaining_ms: 29_999,
        request: b"SELECT 1".to_vec(),
    };
    StatementRecord {
        id: ID,
        epoch: EPOCH,
        spec: Some(spec),
        grants: vec![
            GRANT,
            AttemptGrant {
                never_ran: false,
                ..GRANT
            },
        ],
        end,
    }
}

fn empty_record(end: Option<StatementEnd>) -> StatementRecord {
    StatementRecord {
        id: 9,
        epoch: Epoch {
            number: 1,
            process: process(2, 3),
        },
        spec: None,
        grants: vec![],
        end,
    }
}

fn lookup_reply(answer: LookupAnswer) -> Message {
    Message::LookupReply {
        request_id: 130,
        id: ID,
        answer,
    }
}

/// A message and its bytes in hexadecimal.
type Recorded = (Message, &'static str);

fn recorded_votes_and_updates() -> Vec<Recorded> {
    let completed = StatementEnd::Completed {
        cached_at: process(4, 77),
    };
    let (id, epoch, grant) = (ID, EPOCH, GRANT);
    vec![
        (
            Message::Update(vec![
                full_record(None),
                empty_record(Some(StatementEnd::Aborted)),
            ]),
            "0002e6aa919aa3a40407ac02fbd095ffbc3101d8afdbaecdfab4e9d1010b800401afea010853454c45435420310207ac02fbd095ffbc3105c5c684f8def92a0107ac02fbd095ffbc3105c5c684f8def92a00000901020300000101",
        ),
        (
            Message::Update(vec![
                empty_record(Some(completed)),
                empty_record(Some(StatementEnd::Rejected)),
            ]),
            "00020901020300000100044d0901020300000102",
        ),
        (
            Message::GrantRequest {
                record: full_record(Some(completed)),
                grant,
            },
            "01e6aa919aa3a40407ac02fbd095ffbc3101d8afdbaecdfab4e9d1010b800401afea010853454c45435420310207ac02fbd095ffbc3105c5c684f8def92a0107ac02fbd095ffbc3105c5c684f8def92a000100044d07ac02fbd095ffbc3105c5c684f8def92a01",
        ),
        (
            Message::GrantReply {
                id,
                grant,
                conflict: None,
            },
            "02e6aa919aa3a40407ac02fbd095ffbc3105c5c684f8def92a0100",
        ),
        (
            Message::GrantReply {
                id,
                grant,
                conflict: Some(empty_record(None)),
            },
            "02e6aa919aa3a40407ac02fbd095ffbc3105c5c684f8def92a010109010203000000",
        ),
        (
            Message::TakeoverRequest { id, epoch },
            "03e6aa919aa3a40407ac02fbd095ffbc31",
        ),
        (
            Message::TakeoverReply {
                id,
                epoch,
                is_promised: true,
                record: None,
            },
            "04e6aa919aa3a40407ac02fbd095ffbc310100",
        ),
        (
            Message::TakeoverReply {
                id,
                epoch,
                is_promised: false,
                record: Some(empty_record(None)),
            },
            "04e6aa919aa3a40407ac02fbd095ffbc31000109010203000000",
        ),
        (
            Message::Abstention { id, epoch },
            "05e6aa919aa3a40407ac02fbd095ffbc31",
        ),
    ]
}

fn recorded_lookups_and_transfers() -> Vec<Recorded> {
    let rows = FinalAnswer::Rows(vec![ByteBuf::from(b"page 1".to_vec()), ByteBuf::new()]);
    vec![
        (
            Message::LookupRequest {
                id: ID,
                digest: 1 << 40,
                request_id: 129,
            },
            "06e6aa919aa3a4048080808080208101",
        ),
        (
            lookup_reply(LookupAnswer::Unknown),
            "078201e6aa919aa3a40400",
        ),
        (
            lookup_reply(LookupAnswer::LocatedAt(MemberId(513))),
            "078201e6aa919aa3a404018104",
        ),
        (
            lookup_reply(LookupAnswer::Final(rows)),
            "078201e6aa919aa3a4040200020670616765203100",
        ),
        (
            lookup_reply(LookupAnswer::Final(FinalAnswer::CompletedWithoutRows)),
            "078201e6aa919aa3a4040201",
        ),
        (
            lookup_reply(LookupAnswer::Final(FinalAnswer::Rejected {
                retry_after_ms: 250,
            })),
            "078201e6aa919aa3a4040202fa01",
        ),
        (
            lookup_reply(LookupAnswer::Final(FinalAnswer::Aborted)),
            "078201e6aa919aa3a4040203",
        ),
        (
            lookup_reply(LookupAnswer::Final(FinalAnswer::IdReused)),
            "078201e6aa919aa3a4040204",
        ),
        (Message::Handoff(empty_record(None)), "0809010203000000"),
        (
            Message::StateTransfer {
                records: vec![empty_record(None)],
                completeness: None,
            },
            "09010901020300000000",
        ),
        (
            Message::StateTransfer {
                records: vec![],
                completeness: Some(VoteLogCompleteness::Complete),
            },
            "09000100",
        ),
        (
            Message::StateTransfer {
                records: vec![],
                completeness: Some(VoteLogCompleteness::RestoredFrom(vec![
                    MemberId(1),
                    MemberId(400),
                ])),
            },
            "0900010102019003",
        ),
    ]
}

#[test]
fn every_message_keeps_its_recorded_bytes() {
    let recorded = recorded_votes_and_updates()
        .into_iter()
        .chain(recorded_lookups_and_transfers());
    for (message, recorded) in recorded {
        assert_eq!(
            hex(&postcard::to_allocvec(&message).unwrap()),
            recorded,
            "{message:?}"
        );
        assert_eq!(
            postcard::from_bytes::<Message>(&bytes(recorded)).unwrap(),
            message
        );
    }
}
