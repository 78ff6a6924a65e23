//! Encoded peer messages against bytes recorded at commit d1ac1c5, so that a rename cannot change
//! the encoding: frames on the links between gateways with their length prefix, gossip datagrams
//! with their marker, and the protocol versions in the handshake.

use bytes::BytesMut;
use ivypitch_coordination::{CoordinationMessage, GossipMessage};
use ivypitch_gateway::wire::peer_frames::{
    Frame, FrameError, MAX_FRAME_BYTES, PeerDatagram, decode_datagram, decode_frame, encode_frame,
    encode_gossip,
};
use ivypitch_ownership::{Epoch, Message};
use ivypitch_types::{Incarnation, MemberId, ProcessId};

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
fn every_frame_keeps_its_recorded_bytes() {
    let epoch = Epoch {
        number: 7,
        process: ProcessId {
            member: MemberId(300),
            incarnation: Incarnation(1_700_000_000_123),
        },
    };
    let recorded = [
        (
            Frame::Hello {
                version: 1,
                list_fingerprint: 0xfeed_beef,
                member: MemberId(300),
                incarnation: Incarnation(1_700_000_000_123),
            },
            "0f0000000001effdb6f70fac02fbd095ffbc31",
        ),
        (Frame::Heartbeat, "0100000001"),
        (
            Frame::Ownership(Message::TakeoverRequest {
                id: 0x1122_3344_5566,
                epoch,
            }),
            "120000000203e6aa919aa3a40407ac02fbd095ffbc31",
        ),
        (
            Frame::Coordination(CoordinationMessage::FetchEvents(1 << 33)),
            "0700000003018080808020",
        ),
    ];
    for (frame, recorded) in recorded {
        assert_eq!(hex(&encode_frame(&frame)), recorded, "{frame:?}");
        let mut input = BytesMut::from(&bytes(recorded)[..]);
        let decoded = decode_frame(&mut input, MAX_FRAME_BYTES).unwrap().unwrap();
        assert_eq!(format!("{decoded:?}"), format!("{frame:?}"));
        assert!(input.is_empty());
    }
}

#[test]
fn a_datagram_keeps_its_recorded_mark_and_bytes() {
    let from = ProcessId {
        member: MemberId(300),
        incarnation: Incarnation(1_700_000_000_123),
    };
    let gossip = GossipMessage::Digest {
        sent_at_ms: 987_654_321,
        from,
        buckets: vec![7, u32::MAX],
    };
    let recorded = "ffffffff01b1d1f9d603ac02fbd095ffbc310207ffffffff0f";
    assert_eq!(hex(&encode_gossip(&gossip)), recorded, "{gossip:?}");
    assert_eq!(
        decode_datagram(&bytes(recorded)),
        PeerDatagram::Gossip(Box::new(gossip))
    );
}

#[test]
fn versions_and_the_largest_frame_keep_their_recorded_values() {
    assert_eq!(
        (
            ivypitch_ownership::VERSION,
            ivypitch_coordination::PROTOCOL_VERSION,
            MAX_FRAME_BYTES
        ),
        (1, 1, 131_072)
    );
    let mut oversized = BytesMut::from(&bytes("01000200")[..]);
    assert_eq!(
        decode_frame(&mut oversized, MAX_FRAME_BYTES).unwrap_err(),
        FrameError::Length(131_073)
    );
}
