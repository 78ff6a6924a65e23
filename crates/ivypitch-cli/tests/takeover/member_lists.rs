//! Gateways of other versions, and lists that do not name a gateway.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::net::UdpSocket;

use ivypitch_gateway::log_events::MEMBER_LOST;
use ivypitch_membership::{
    MemberAddress, MemberList, Membership, MembershipConfig, MembershipParams, OutgoingDatagram,
};
use ivypitch_ownership::VERSION;
use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;
use ivypitch_types::Incarnation;
use ivypitch_types::MemberId;
use ivypitch_types::ProcessId;

use crate::scene::*;

#[test]
fn a_gateway_of_the_version_before_is_refused_with_one_line() {
    let s = scene(3);
    // A link whose first frame names another version.
    let hello = |version: u16| {
        let zones = ["z0", "z1", "z2"].map(String::from).to_vec();
        let member = |g: usize| MemberAddress {
            name: format!("n{g}"),
            zone: g as u16,
            address: s.fleet.gateways[g].peer_address,
        };
        let members = MemberList {
            members: (0..3).map(member).collect(),
            zones,
        };
        let frame = ivypitch_gateway::wire::peer_frames::Frame::Hello {
            version,
            list_fingerprint: members.fingerprint(),
            member: MemberId(1),
            incarnation: Incarnation(7),
        };
        (
            members,
            ivypitch_gateway::wire::peer_frames::encode_frame(&frame),
        )
    };
    let (member_list, old) = hello(VERSION - 1);
    for _ in 0..3 {
        let mut link = TcpStream::connect(s.fleet.gateways[0].peer_address).unwrap();
        link.write_all(&old).unwrap();
        let mut nothing = Vec::new();
        // Closed with no word.
        let _ = link.read_to_end(&mut nothing);
        assert!(nothing.is_empty());
    }
    let refused = |l: &String| {
        is_event(
            l,
            "link from incompatible member is rejected",
            &[("member", "n1")],
        )
    };
    let log = &s.fleet.gateways[0].log;
    log.wait("refusal", refused);
    // A datagram of such a member.
    let mut stranger = Membership::new(MembershipParams {
        member_list,
        process: ProcessId {
            member: MemberId(1),
            incarnation: Incarnation(9),
        },
        protocol_version: VERSION - 1,
        config: MembershipConfig::default(),
        seed: 1,
        now: 0,
    });
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for round in 0..20u64 {
        stranger.on_timer(round * 250_000_000);
        while let Some(OutgoingDatagram { to, data }) = stranger.pop_datagram() {
            if to == MemberId(0) {
                socket
                    .send_to(&data, s.fleet.gateways[0].peer_address)
                    .unwrap();
            }
        }
    }
    let unspoken = |l: &String| is_event(l, "incompatible member is ignored", &[("member", "n1")]);
    log.wait("stranger", unspoken);
    let all = log.all();
    assert_eq!(
        (
            all.iter().filter(|l| refused(l)).count(),
            all.iter().filter(|l| unspoken(l)).count()
        ),
        (1, 1)
    );
    assert!(
        !all.iter().any(|l| is_event(l, MEMBER_LOST, &[])),
        "the real n1 stays"
    );
}

#[test]
fn a_gateway_that_the_list_does_not_name_does_not_start() {
    let own = r#"{"peers":{"gateways":[{"name":"a","address":"127.0.0.1:1"},{"name":"a","address":"x"}],"custody":{"witnesses":4}}}"#;
    let config = configuration("127.0.0.1:0", &[], None, 1024);
    let (mut child, log, _) = spawn_gateway_with_settings(&config, Some(own));
    assert_eq!(child.wait().unwrap().code(), Some(1));
    let line = log.wait("line", |_| true);
    for word in [
        "peers.gateways[1].name",
        "stands twice",
        "peers.gateways[1].address",
        "custody.witnesses",
    ] {
        assert!(line.contains(word), "{line}");
    }
}
