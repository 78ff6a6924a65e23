//! Compares encodings with bytes recorded at commit d1ac1c5, which a rename must not change: the
//! identity in the members' datagrams, and the fingerprint of the member list.

use ivypitch_membership::{MemberAddress, MemberIdentity, MemberList};
use ivypitch_types::{Incarnation, MemberId};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&hex[start..start + 2], 16).unwrap())
        .collect()
}

#[test]
fn every_identity_keeps_its_recorded_bytes() {
    let identity =
        |member, incarnation, renewals, protocol_version, list_fingerprint| MemberIdentity {
            member: MemberId(member),
            incarnation: Incarnation(incarnation),
            renewals,
            protocol_version,
            list_fingerprint,
        };
    let recorded = [
        (identity(0, 0, 0, 0, 0), "0000000000"),
        (
            identity(3, 1_700_000_000_123, 2, 1, 0xfeed_beef),
            "03fbd095ffbc310201effdb6f70f",
        ),
        (
            identity(u16::MAX, u64::MAX, 300, 400, u32::MAX),
            "ffff03ffffffffffffffffff01ac029003ffffffff0f",
        ),
    ];
    for (identity, recorded) in recorded {
        assert_eq!(
            hex(&postcard::to_allocvec(&identity).unwrap()),
            recorded,
            "{identity:?}"
        );
        assert_eq!(
            postcard::from_bytes::<MemberIdentity>(&bytes(recorded)).unwrap(),
            identity
        );
    }
}

#[test]
fn a_member_list_keeps_its_recorded_fingerprint() {
    let member = |name: &str, zone| {
        let address = "10.0.0.4:7000".parse().unwrap();
        MemberAddress {
            name: name.into(),
            zone,
            address,
        }
    };
    let members = vec![
        member("gateway-a", 0),
        member("gateway-b", 1),
        member("gateway-c", 0),
    ];
    let list = MemberList {
        members,
        zones: vec!["north".into(), "south".into()],
    };
    assert_eq!(list.fingerprint(), 46_090_972);
    assert_eq!(MemberList::default().fingerprint(), 353_129_260);
}
