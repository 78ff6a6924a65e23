//! Bytes recorded at d1ac1c5; a rename must not change them. Every message about statements in hand, with every form of
//! what it holds.

use ivypitch_custody::{Answered, End, Epoch, Facts, Grant, Memory, Message, Told, Word};
use serde_bytes::ByteBuf;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap()).collect()
}

const ID: u64 = 0x1122_3344_5566;
const EPOCH: Epoch = Epoch { count: 7, place: 300, birth: 1_700_000_000_123 };
const GRANT: Grant = Grant { epoch: EPOCH, number: 5, engine: 0xabcd_ef01_2345, void: true };

fn told(end: Option<End>) -> Told {
    let facts = Facts {
        digest: 0xd1d2_d3d4_d5d6_d7d8,
        workload: 11,
        customer: 512,
        idempotent: true,
        left_ms: 29_999,
        text: b"SELECT 1".to_vec(),
    };
    Told {
        id: ID,
        epoch: EPOCH,
        facts: Some(facts),
        grants: vec![GRANT, Grant { void: false, ..GRANT }],
        end,
    }
}

fn bare(end: Option<End>) -> Told {
    Told { id: 9, epoch: Epoch { count: 1, place: 2, birth: 3 }, facts: None, grants: vec![], end }
}

fn answer(answered: Answered) -> Message {
    Message::Answer { serial: 130, id: ID, answered }
}

#[test]
fn every_message_keeps_its_recorded_bytes() {
    let rows = Word::Rows(vec![ByteBuf::from(b"page 1".to_vec()), ByteBuf::new()]);
    let completed = End::Completed { rows_at: 4, birth: 77 };
    let (id, epoch, grant) = (ID, EPOCH, GRANT);
    let recorded = [
        (
            Message::Tell(vec![told(None), bare(Some(End::Aborted))]),
            "0002e6aa919aa3a40407ac02fbd095ffbc3101d8afdbaecdfab4e9d1010b800401afea010853454c45435420310207ac02fbd095ffbc3105c5c684f8def92a0107ac02fbd095ffbc3105c5c684f8def92a00000901020300000101",
        ),
        (
            Message::Tell(vec![bare(Some(completed)), bare(Some(End::Rejected))]),
            "00020901020300000100044d0901020300000102",
        ),
        (
            Message::Grant { told: told(Some(completed)), grant },
            "01e6aa919aa3a40407ac02fbd095ffbc3101d8afdbaecdfab4e9d1010b800401afea010853454c45435420310207ac02fbd095ffbc3105c5c684f8def92a0107ac02fbd095ffbc3105c5c684f8def92a000100044d07ac02fbd095ffbc3105c5c684f8def92a01",
        ),
        (
            Message::Granted { id, grant, against: None },
            "02e6aa919aa3a40407ac02fbd095ffbc3105c5c684f8def92a0100",
        ),
        (
            Message::Granted { id, grant, against: Some(bare(None)) },
            "02e6aa919aa3a40407ac02fbd095ffbc3105c5c684f8def92a010109010203000000",
        ),
        (Message::Claim { id, epoch }, "03e6aa919aa3a40407ac02fbd095ffbc31"),
        (
            Message::Promise { id, epoch, promised: true, told: None },
            "04e6aa919aa3a40407ac02fbd095ffbc310100",
        ),
        (
            Message::Promise { id, epoch, promised: false, told: Some(bare(None)) },
            "04e6aa919aa3a40407ac02fbd095ffbc31000109010203000000",
        ),
        (Message::Abstain { id, epoch }, "05e6aa919aa3a40407ac02fbd095ffbc31"),
        (Message::Ask { id, digest: 1 << 40, serial: 129 }, "06e6aa919aa3a4048080808080208101"),
        (answer(Answered::Unknown), "078201e6aa919aa3a40400"),
        (answer(Answered::At(513)), "078201e6aa919aa3a404018104"),
        (answer(Answered::Word(rows)), "078201e6aa919aa3a4040200020670616765203100"),
        (answer(Answered::Word(Word::Completed)), "078201e6aa919aa3a4040201"),
        (answer(Answered::Word(Word::Rejected { come_back_ms: 250 })), "078201e6aa919aa3a4040202fa01"),
        (answer(Answered::Word(Word::Aborted)), "078201e6aa919aa3a4040203"),
        (answer(Answered::Word(Word::Different)), "078201e6aa919aa3a4040204"),
        (Message::HandOver(bare(None)), "0809010203000000"),
        (Message::Relearn { told: vec![bare(None)], last: None }, "09010901020300000000"),
        (Message::Relearn { told: vec![], last: Some(Memory::Whole) }, "09000100"),
        (Message::Relearn { told: vec![], last: Some(Memory::ToldBy(vec![1, 400])) }, "0900010102019003"),
    ];
    for (message, recorded) in recorded {
        assert_eq!(hex(&postcard::to_allocvec(&message).unwrap()), recorded, "{message:?}");
        assert_eq!(postcard::from_bytes::<Message>(&bytes(recorded)).unwrap(), message);
    }
}
