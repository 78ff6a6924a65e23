//! Compares encodings with bytes and JSON recorded at commit d1ac1c5, which a rename must not
//! change: every coordination message on links and in datagrams, and the view that `SHOW FLEET` and
//! `ivypitch fleet` return.

use ivypitch_coordination::{
    CoordinationMessage, CoordinationView, EndpointEvent, EngineHealthView, FleetReach,
    GossipMessage, HealthObservation, KnownVersion, LeaseGrant, LeaseRequest,
    MemberObservationView, ObservationUpdate, QuotaEnvelope, QuotaMessage, QuotaView, RequestId,
};
use ivypitch_types::{Incarnation, MemberId, ProcessId};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&hex[start..start + 2], 16).unwrap())
        .collect()
}

fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    value: T,
    recorded: &str,
) {
    assert_eq!(
        hex(&postcard::to_allocvec(&value).unwrap()),
        recorded,
        "{value:?}"
    );
    assert_eq!(postcard::from_bytes::<T>(&bytes(recorded)).unwrap(), value);
}

const FROM: ProcessId = ProcessId {
    member: MemberId(300),
    incarnation: Incarnation(1_700_000_000_123),
};
const OBSERVATION: HealthObservation = HealthObservation {
    successes: 1,
    failures: 200,
    unreachable: 3,
};

fn envelope(quota: u16, message: QuotaMessage) -> QuotaEnvelope {
    QuotaEnvelope { quota, message }
}

fn event(number: u64, line: &[u8]) -> EndpointEvent {
    EndpointEvent {
        number,
        line: line.to_vec(),
    }
}

#[test]
fn every_message_keeps_its_recorded_bytes() {
    let messages = vec![
        envelope(
            0,
            QuotaMessage::Request(LeaseRequest {
                request: RequestId(1),
                units: 200,
                extends: None,
            }),
        ),
        envelope(
            1,
            QuotaMessage::Request(LeaseRequest {
                request: RequestId(2),
                units: 201,
                extends: Some(RequestId(130)),
            }),
        ),
        envelope(
            2,
            QuotaMessage::Grant(LeaseGrant {
                request: RequestId(3),
                lease: RequestId(131),
                units: 202,
            }),
        ),
        envelope(
            3,
            QuotaMessage::Reject {
                request: RequestId(4),
            },
        ),
        envelope(4, QuotaMessage::Release(RequestId(5))),
        envelope(500, QuotaMessage::Revoke(RequestId(6))),
    ];
    assert_encoding(
        CoordinationMessage::Quotas {
            to: FROM.incarnation,
            messages,
        },
        "00fbd095ffbc3106000001c80100010002c9010182010201038301ca01030204040305f4030406",
    );
    assert_encoding(CoordinationMessage::FetchEvents(1 << 33), "018080808020");
    assert_encoding(
        CoordinationMessage::Events(vec![event(1, b"line"), event(2, b"")]),
        "020201046c696e650200",
    );
}

#[test]
fn every_datagram_keeps_its_recorded_bytes() {
    let updates = vec![ObservationUpdate {
        observer: FROM,
        engine: 0xabcd_ef01_2345,
        version: 129,
        age_ms: 2999,
        observation: OBSERVATION,
    }];
    let known = vec![
        KnownVersion {
            observer: FROM,
            version: 131,
        },
        KnownVersion {
            observer: ProcessId {
                member: MemberId(1),
                incarnation: Incarnation(2),
            },
            version: 3,
        },
    ];
    let (from, sent_at_ms) = (FROM, 987_654_321);
    assert_encoding(
        GossipMessage::Update {
            sent_at_ms,
            from,
            last_event: 12,
            leasable_units: vec![0, 400],
            updates,
            complete_up_to: known.clone(),
        },
        "00b1d1f9d603ac02fbd095ffbc310c0200900301ac02fbd095ffbc31c5c684f8def92a8101b71701c80302ac02fbd095ffbc318301010203",
    );
    assert_encoding(
        GossipMessage::Digest {
            sent_at_ms,
            from,
            buckets: vec![7, u32::MAX],
        },
        "01b1d1f9d603ac02fbd095ffbc310207ffffffff0f",
    );
    assert_encoding(
        GossipMessage::Versions {
            sent_at_ms,
            from,
            known,
        },
        "02b1d1f9d603ac02fbd095ffbc3102ac02fbd095ffbc318301010203",
    );
}

#[test]
fn a_view_keeps_its_recorded_json() {
    let quota = QuotaView {
        name: "cores".into(),
        total_units: 200,
        base_units: 100,
        reserved_units: 10,
        usable_units: 120,
        granted_units: 1,
        held_units: 20,
        withheld_units: 2,
        expected_demand_units: 33,
    };
    let engine = EngineHealthView {
        engine: 7,
        is_ejected: true,
        is_probing: false,
        is_unreachable: true,
        failures: 1.5,
        outcomes: 2.25,
        observations: vec![MemberObservationView {
            member: MemberId(3),
            age_ms: 44,
            observation: OBSERVATION,
        }],
    };
    let view = CoordinationView {
        member: MemberId(1),
        incarnation: Incarnation(1_700_000_000_123),
        reach: FleetReach::Majority,
        reachable: vec![MemberId(0), MemberId(2)],
        last_event: 12,
        is_event_source_silent: false,
        quotas: vec![quota],
        engines: vec![engine],
        sent_bytes: 1000,
        late_datagrams: 5,
        relayed_events: 6,
    };
    let recorded = r#"{"place":1,"birth":1700000000123,"hearing":"Most","heard":[0,2],"journal":12,"journal_silent":false,"bounds":[{"name":"cores","units":200,"home":100,"floor":10,"held":120,"lent":1,"borrowed":20,"away":2,"need":33}],"engines":[{"engine":7,"out":true,"tries":false,"unreached":true,"failures":1.5,"outcomes":2.25,"by":[{"member":3,"age_ms":44,"sight":{"successes":1,"failures":200,"unreached":3}}]}],"sent_bytes":1000,"late":5,"events_by_members":6}"#;
    assert_eq!(serde_json::to_string(&view).unwrap(), recorded);
    for (reach, recorded) in [
        (FleetReach::Minority, "\"Few\""),
        (FleetReach::Isolated, "\"Alone\""),
    ] {
        assert_eq!(serde_json::to_string(&reach).unwrap(), recorded);
    }
}
