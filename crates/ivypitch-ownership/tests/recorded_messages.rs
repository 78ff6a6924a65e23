//! Bytes recorded at d1ac1c5; a rename must not change them. Every message about statements in hand, with every form of
//! what it holds.

use ivypitch_ownership::{
    AttemptGrant, Epoch, FinalAnswer, LookupAnswer, Message, StatementEnd, StatementRecord,
    StatementSpec, VoteLogCompleteness,
};
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

const ID: u64 = 0x1122_3344_5566;
const EPOCH: Epoch = Epoch {
    count: 7,
    place: 300,
    birth: 1_700_000_000_123,
};
const GRANT: AttemptGrant = AttemptGrant {
    epoch: EPOCH,
    number: 5,
    engine: 0xabcd_ef01_2345,
    void: true,
};

fn told(end: Option<StatementEnd>) -> StatementRecord {
    let facts = StatementSpec {
        digest: 0xd1d2_d3d4_d5d6_d7d8,
        workload: 11,
        tenant: 512,
        idempotent: true,
        left_ms: 29_999,
        text: b"SELECT 1".to_vec(),
    };
    StatementRecord {
        id: ID,
        epoch: EPOCH,
        facts: Some(facts),
        grants: vec![
            GRANT,
            AttemptGrant {
                void: false,
                ..GRANT
            },
        ],
        end,
    }
}

fn bare(end: Option<StatementEnd>) -> StatementRecord {
    StatementRecord {
        id: 9,
        epoch: Epoch {
            count: 1,
            place: 2,
            birth: 3,
        },
        facts: None,
        grants: vec![],
        end,
    }
}

fn answer(answered: LookupAnswer) -> Message {
    Message::LookupReply {
        serial: 130,
        id: ID,
        answered,
    }
}

#[test]
fn every_message_keeps_its_recorded_bytes() {
    let rows = FinalAnswer::Rows(vec![ByteBuf::from(b"page 1".to_vec()), ByteBuf::new()]);
    let completed = StatementEnd::Completed {
        rows_at: 4,
        birth: 77,
    };
    let (id, epoch, grant) = (ID, EPOCH, GRANT);
    let recorded = [
        (
            Message::Update(vec![told(None), bare(Some(StatementEnd::Aborted))]),
            "0002e6aa919aa3a40407ac02fbd095ffbc3101d8afdbaecdfab4e9d1010b800401afea010853454c45435420310207ac02fbd095ffbc3105c5c684f8def92a0107ac02fbd095ffbc3105c5c684f8def92a00000901020300000101",
        ),
        (
            Message::Update(vec![
                bare(Some(completed)),
                bare(Some(StatementEnd::Rejected)),
            ]),
            "00020901020300000100044d0901020300000102",
        ),
        (
            Message::GrantRequest {
                told: told(Some(completed)),
                grant,
            },
            "01e6aa919aa3a40407ac02fbd095ffbc3101d8afdbaecdfab4e9d1010b800401afea010853454c45435420310207ac02fbd095ffbc3105c5c684f8def92a0107ac02fbd095ffbc3105c5c684f8def92a000100044d07ac02fbd095ffbc3105c5c684f8def92a01",
        ),
        (
            Message::GrantReply {
                id,
                grant,
                against: None,
            },
            "02e6aa919aa3a40407ac02fbd095ffbc3105c5c684f8def92a0100",
        ),
        (
            Message::GrantReply {
                id,
                grant,
                against: Some(bare(None)),
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
                promised: true,
                told: None,
            },
            "04e6aa919aa3a40407ac02fbd095ffbc310100",
        ),
        (
            Message::TakeoverReply {
                id,
                epoch,
                promised: false,
                told: Some(bare(None)),
            },
            "04e6aa919aa3a40407ac02fbd095ffbc31000109010203000000",
        ),
        (
            Message::Abstention { id, epoch },
            "05e6aa919aa3a40407ac02fbd095ffbc31",
        ),
        (
            Message::LookupRequest {
                id,
                digest: 1 << 40,
                serial: 129,
            },
            "06e6aa919aa3a4048080808080208101",
        ),
        (answer(LookupAnswer::Unknown), "078201e6aa919aa3a40400"),
        (
            answer(LookupAnswer::HeldBy(513)),
            "078201e6aa919aa3a404018104",
        ),
        (
            answer(LookupAnswer::Final(rows)),
            "078201e6aa919aa3a4040200020670616765203100",
        ),
        (
            answer(LookupAnswer::Final(FinalAnswer::CompletedWithoutRows)),
            "078201e6aa919aa3a4040201",
        ),
        (
            answer(LookupAnswer::Final(FinalAnswer::Rejected {
                come_back_ms: 250,
            })),
            "078201e6aa919aa3a4040202fa01",
        ),
        (
            answer(LookupAnswer::Final(FinalAnswer::Aborted)),
            "078201e6aa919aa3a4040203",
        ),
        (
            answer(LookupAnswer::Final(FinalAnswer::IdReused)),
            "078201e6aa919aa3a4040204",
        ),
        (Message::Handoff(bare(None)), "0809010203000000"),
        (
            Message::StateTransfer {
                told: vec![bare(None)],
                last: None,
            },
            "09010901020300000000",
        ),
        (
            Message::StateTransfer {
                told: vec![],
                last: Some(VoteLogCompleteness::Complete),
            },
            "09000100",
        ),
        (
            Message::StateTransfer {
                told: vec![],
                last: Some(VoteLogCompleteness::RestoredFrom(vec![1, 400])),
            },
            "0900010102019003",
        ),
    ];
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
