//! Members with another protocol version, and member lists that do not name a gateway.

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
fn a_member_of_the_previous_version_is_rejected_with_one_log_line() {
    let setup = set_up(3);
    // A link whose first frame has the previous protocol version.
    let hello = |version: u16| {
        let zones = ["z0", "z1", "z2"].map(String::from).to_vec();
        let member = |g: usize| MemberAddress {
            name: format!("n{g}"),
            zone: g as u16,
            address: setup.fleet.gateways[g].peer_address,
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
        let mut link = TcpStream::connect(setup.fleet.gateways[0].peer_address).unwrap();
        link.write_all(&old).unwrap();
        let mut received = Vec::new();
        // The link is closed without data.
        let _ = link.read_to_end(&mut received);
        assert!(received.is_empty());
    }
    let is_rejected_link = |line: &String| {
        is_event(
            line,
            "link from incompatible member is rejected",
            &[("member", "n1")],
        )
    };
    let log = &setup.fleet.gateways[0].log;
    log.wait("rejected link", is_rejected_link);
    // Datagrams of such a member.
    let mut old_member = Membership::new(MembershipParams {
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
        old_member.on_timer(round * 250_000_000);
        while let Some(OutgoingDatagram { to, data }) = old_member.pop_datagram() {
            if to == MemberId(0) {
                socket
                    .send_to(&data, setup.fleet.gateways[0].peer_address)
                    .unwrap();
            }
        }
    }
    let is_ignored_member =
        |line: &String| is_event(line, "incompatible member is ignored", &[("member", "n1")]);
    log.wait("ignored member", is_ignored_member);
    let all = log.all();
    assert_eq!(
        (
            all.iter().filter(|line| is_rejected_link(line)).count(),
            all.iter().filter(|line| is_ignored_member(line)).count()
        ),
        (1, 1)
    );
    assert!(
        !all.iter().any(|line| is_event(line, MEMBER_LOST, &[])),
        "the running member n1 stays up"
    );
}

#[test]
fn a_gateway_that_the_list_does_not_name_does_not_start() {
    let own = r#"{"peers":{"gateways":[{"name":"a","address":"127.0.0.1:1"},{"name":"a","address":"x"}],"custody":{"witnesses":4}}}"#;
    let config = configuration("127.0.0.1:0", &[], None, 1024);
    let (mut child, log, _) = spawn_gateway_with_settings(&config, Some(own));
    assert_eq!(child.wait().unwrap().code(), Some(1));
    let line = log.wait("line", |_| true);
    for fault in [
        "peers.gateways[1].name",
        "is listed twice",
        "peers.gateways[1].address",
        "custody.witnesses",
    ] {
        assert!(line.contains(fault), "{line}");
    }
}
