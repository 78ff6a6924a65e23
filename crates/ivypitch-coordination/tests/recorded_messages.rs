//! Bytes and JSON recorded at d1ac1c5; a rename must not change them. Every message of what gateways share, on links and
//! in datagrams, and the view that `SHOW FLEET` and `ivypitch fleet` give out.

use ivypitch_coordination::escrow::{Ask, Yes};
use ivypitch_coordination::market::Word;
use ivypitch_coordination::shares::{BoundView, EngineView, Hearing, Said};
use ivypitch_coordination::sights::Sight;
use ivypitch_coordination::spread::{Item, Known};
use ivypitch_coordination::{Gossip, Message, Process, View};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

fn keeps<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(value: T, recorded: &str) {
    assert_eq!(
        hex(&postcard::to_allocvec(&value).unwrap()),
        recorded,
        "{value:?}"
    );
    assert_eq!(postcard::from_bytes::<T>(&bytes(recorded)).unwrap(), value);
}

const FROM: Process = Process {
    place: 300,
    birth: 1_700_000_000_123,
};
const SIGHT: Sight = Sight {
    successes: 1,
    failures: 200,
    unreached: 3,
};

#[test]
fn every_message_keeps_its_recorded_bytes() {
    let words = vec![
        (
            0,
            Word::Ask(Ask {
                serial: 1,
                units: 200,
                prolongs: None,
            }),
        ),
        (
            1,
            Word::Ask(Ask {
                serial: 2,
                units: 201,
                prolongs: Some(130),
            }),
        ),
        (
            2,
            Word::Yes(Yes {
                serial: 3,
                loan: 131,
                units: 202,
            }),
        ),
        (3, Word::No { serial: 4 }),
        (4, Word::Return(5)),
        (500, Word::Recall(6)),
    ];
    keeps(
        Message::Words {
            to: FROM.birth,
            words,
        },
        "00fbd095ffbc3106000001c80100010002c9010182010201038301ca01030204040305f4030406",
    );
    keeps(Message::Tail(1 << 33), "018080808020");
    keeps(
        Message::Events(vec![(1, b"line".to_vec()), (2, Vec::new())]),
        "020201046c696e650200",
    );
}

#[test]
fn every_datagram_keeps_its_recorded_bytes() {
    let items = vec![Item {
        of: FROM,
        engine: 0xabcd_ef01_2345,
        version: 129,
        age_ms: 2999,
        sight: SIGHT,
    }];
    let known = vec![
        Known {
            of: FROM,
            version: 131,
        },
        Known {
            of: Process { place: 1, birth: 2 },
            version: 3,
        },
    ];
    let (from, said_ms) = (FROM, 987_654_321);
    keeps(
        Gossip::News {
            said_ms,
            from,
            journal: 12,
            spares: vec![0, 400],
            items,
            upto: known.clone(),
        },
        "00b1d1f9d603ac02fbd095ffbc310c0200900301ac02fbd095ffbc31c5c684f8def92a8101b71701c80302ac02fbd095ffbc318301010203",
    );
    keeps(
        Gossip::Digest {
            said_ms,
            from,
            parts: vec![7, u32::MAX],
        },
        "01b1d1f9d603ac02fbd095ffbc310207ffffffff0f",
    );
    keeps(
        Gossip::Versions {
            said_ms,
            from,
            known,
        },
        "02b1d1f9d603ac02fbd095ffbc3102ac02fbd095ffbc318301010203",
    );
}

#[test]
fn a_view_keeps_its_recorded_json() {
    let bound = BoundView {
        name: "cores".into(),
        units: 200,
        home: 100,
        floor: 10,
        held: 120,
        lent: 1,
        borrowed: 20,
        away: 2,
        need: 33,
    };
    let engine = EngineView {
        engine: 7,
        out: true,
        tries: false,
        unreached: true,
        failures: 1.5,
        outcomes: 2.25,
        by: vec![Said {
            member: 3,
            age_ms: 44,
            sight: SIGHT,
        }],
    };
    let view = View {
        place: 1,
        birth: 1_700_000_000_123,
        hearing: Hearing::Most,
        heard: vec![0, 2],
        journal: 12,
        journal_silent: false,
        bounds: vec![bound],
        engines: vec![engine],
        sent_bytes: 1000,
        late: 5,
        events_by_members: 6,
    };
    let recorded = r#"{"place":1,"birth":1700000000123,"hearing":"Most","heard":[0,2],"journal":12,"journal_silent":false,"bounds":[{"name":"cores","units":200,"home":100,"floor":10,"held":120,"lent":1,"borrowed":20,"away":2,"need":33}],"engines":[{"engine":7,"out":true,"tries":false,"unreached":true,"failures":1.5,"outcomes":2.25,"by":[{"member":3,"age_ms":44,"sight":{"successes":1,"failures":200,"unreached":3}}]}],"sent_bytes":1000,"late":5,"events_by_members":6}"#;
    assert_eq!(serde_json::to_string(&view).unwrap(), recorded);
    for (hearing, recorded) in [(Hearing::Few, "\"Few\""), (Hearing::Alone, "\"Alone\"")] {
        assert_eq!(serde_json::to_string(&hearing).unwrap(), recorded);
    }
}
