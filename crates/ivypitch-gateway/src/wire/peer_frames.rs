//! Messages between gateways on trusted addresses: frames on links, each a length of four bytes and
//! a message encoded with postcard, and gossip datagrams. Both ends run this program, so that the
//! types are the only schema; the first frame of a link carries the version.

use bytes::{Buf, Bytes, BytesMut};
use ivypitch_coordination::{CoordinationMessage, GossipMessage};
use ivypitch_ownership::Message as OwnershipMessage;
use ivypitch_types::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};

/// Maximum frame size, enough for a result and its metadata; a longer frame closes the link.
pub const MAX_FRAME_BYTES: usize = 128 << 10;
/// Maximum size of a link's first frame, which is a [`Frame::Hello`].
pub const MAX_HELLO_BYTES: usize = 64;
const LENGTH_BYTES: usize = size_of::<u32>();

/// A frame on a link. The encoding is by position: fields and variants may be renamed, never
/// reordered.
#[derive(Serialize, Deserialize, Debug)]
pub enum Frame {
    /// The first frame that each side sends.
    Hello {
        /// Version of all messages between gateways.
        version: u16,
        /// Fingerprint of the sender's list of members.
        list_fingerprint: u32,
        /// The sender's member id.
        member: MemberId,
        /// Incarnation of the sender's process.
        incarnation: Incarnation,
    },
    /// Shows that an idle sender is alive.
    Heartbeat,
    /// A message about the ownership of statements.
    Ownership(OwnershipMessage),
    /// A message of the coordination protocol.
    Coordination(CoordinationMessage),
}

/// Why bytes on a link are not a valid frame.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum FrameError {
    /// The length is zero or above the maximum.
    #[error("invalid frame length: {0} bytes")]
    Length(usize),
    /// The message cannot be decoded.
    #[error("malformed frame: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes a frame, prefixed with its length.
pub fn encode_frame(frame: &Frame) -> Bytes {
    let body = postcard::to_stdvec(frame).unwrap_or_default();
    let length = (body.len() as u32).to_le_bytes();
    Bytes::from([&length[..], &body].concat())
}

/// Removes the next complete frame from the front of `input`; `None` if it is incomplete. A frame
/// longer than `max_bytes` is an error as soon as its length has arrived.
pub fn decode_frame(input: &mut BytesMut, max_bytes: usize) -> Result<Option<Frame>, FrameError> {
    let Some(length) = input.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > max_bytes {
        return Err(FrameError::Length(length));
    }
    if input.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    input.advance(LENGTH_BYTES);
    let body = input.split_to(length);
    Ok(Some(postcard::from_bytes(&body)?))
}

/// Prefix of gossip datagrams. Datagrams of the membership protocol begin with a member id, which
/// is never encoded as these bytes.
const GOSSIP_PREFIX: [u8; 4] = [0xff; 4];

/// A datagram from another gateway. The membership protocol and gossip share a port.
#[derive(Debug, PartialEq)]
pub enum PeerDatagram<'a> {
    /// A datagram of the membership protocol, not decoded.
    Membership(&'a [u8]),
    /// A gossip message.
    Gossip(Box<GossipMessage>),
    /// A gossip message that cannot be decoded.
    MalformedGossip,
}

/// Encodes a gossip message as a datagram.
pub fn encode_gossip(gossip: &GossipMessage) -> Vec<u8> {
    let body = postcard::to_stdvec(gossip).unwrap_or_default();
    [&GOSSIP_PREFIX[..], &body].concat()
}

/// Distinguishes the kinds of datagrams and decodes gossip.
pub fn decode_datagram(datagram: &[u8]) -> PeerDatagram<'_> {
    let Some(body) = datagram.strip_prefix(&GOSSIP_PREFIX) else {
        return PeerDatagram::Membership(datagram);
    };
    match postcard::from_bytes(body) {
        Ok(gossip) => PeerDatagram::Gossip(Box::new(gossip)),
        Err(_) => PeerDatagram::MalformedGossip,
    }
}
