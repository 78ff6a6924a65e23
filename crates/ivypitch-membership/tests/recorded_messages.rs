//! Bytes recorded at d1ac1c5; a rename must not change them. The identity that the members' datagrams carry, and the
//! mark by which gateways of one list know each other.

use ivypitch_membership::{Roster, Seat, Who};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

#[test]
fn every_identity_keeps_its_recorded_bytes() {
    let who = |place, birth, bump, version, roster| Who {
        place,
        birth,
        bump,
        version,
        roster,
    };
    let recorded = [
        (who(0, 0, 0, 0, 0), "0000000000"),
        (
            who(3, 1_700_000_000_123, 2, 1, 0xfeed_beef),
            "03fbd095ffbc310201effdb6f70f",
        ),
        (
            who(u16::MAX, u64::MAX, 300, 400, u32::MAX),
            "ffff03ffffffffffffffffff01ac029003ffffffff0f",
        ),
    ];
    for (who, recorded) in recorded {
        assert_eq!(
            hex(&postcard::to_allocvec(&who).unwrap()),
            recorded,
            "{who:?}"
        );
        assert_eq!(postcard::from_bytes::<Who>(&bytes(recorded)).unwrap(), who);
    }
}

#[test]
fn a_roster_keeps_its_recorded_mark() {
    let seat = |name: &str, zone| {
        let address = "10.0.0.4:7000".parse().unwrap();
        Seat {
            name: name.into(),
            zone,
            address,
        }
    };
    let seats = vec![
        seat("gateway-a", 0),
        seat("gateway-b", 1),
        seat("gateway-c", 0),
    ];
    let roster = Roster {
        seats,
        zones: vec!["north".into(), "south".into()],
    };
    assert_eq!(roster.mark(), 46_090_972);
    assert_eq!(Roster::default().mark(), 353_129_260);
}
