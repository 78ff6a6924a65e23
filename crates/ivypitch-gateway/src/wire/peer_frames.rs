//! What gateways send each other on trusted addresses: frames on links, a length of four bytes followed by a message in
//! postcard, and gossip datagrams. Both ends run this program, so that postcard needs no schema beside the types; the first
//! frame of a link states the version.

use bytes::{Buf, Bytes, BytesMut};
use ivypitch_coordination::{CoordinationMessage, GossipMessage};
use ivypitch_ownership::Message as OwnershipMessage;
use ivypitch_types::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};

/// Enough for a result and what surrounds it; a longer frame ends the link.
pub const MAX_FRAME_BYTES: usize = 128 << 10;
const LENGTH_BYTES: usize = size_of::<u32>();

/// A frame on a link. Encoded by position: fields and variants may be renamed, never reordered.
#[derive(Serialize, Deserialize, Debug)]
pub enum Frame {
    /// The first frame of each side.
    Hello {
        /// Version of all messages between gateways.
        version: u16,
        /// Fingerprint of the sender's member list.
        list_fingerprint: u32,
        /// The sender.
        member: MemberId,
        /// The sender's process.
        incarnation: Incarnation,
    },
    /// Nothing to send, and still there.
    Heartbeat,
    /// About the ownership of statements.
    Ownership(OwnershipMessage),
    /// About what gateways coordinate.
    Coordination(CoordinationMessage),
}

/// Why the bytes of a link are no frame.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum FrameError {
    /// The length is zero or above [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes")]
    Length(usize),
    /// The message cannot be decoded.
    #[error("frame not understood: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes a frame with its length.
pub fn encode_frame(frame: &Frame) -> Bytes {
    let body = postcard::to_stdvec(frame).unwrap_or_default();
    let length = (body.len() as u32).to_le_bytes();
    Bytes::from([&length[..], &body].concat())
}

/// Takes the next complete frame from the front; `None` until all of it is there.
pub fn decode_frame(input: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
    let Some(length) = input.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(FrameError::Length(length));
    }
    if input.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    input.advance(LENGTH_BYTES);
    let body = input.split_to(length);
    Ok(Some(postcard::from_bytes(&body)?))
}

/// No datagram of the membership protocol begins so: it begins with a member id, and none is encoded in these bytes.
const GOSSIP_MARK: [u8; 4] = [0xff; 4];

/// A datagram from another gateway. Those of the membership protocol and gossip share a port.
#[derive(Debug, PartialEq)]
pub enum PeerDatagram<'a> {
    /// Of the membership protocol, undecoded.
    Membership(&'a [u8]),
    /// Gossip.
    Gossip(Box<GossipMessage>),
    /// Gossip that cannot be decoded.
    MalformedGossip,
}

/// Encodes a gossip datagram.
pub fn encode_gossip(gossip: &GossipMessage) -> Vec<u8> {
    let body = postcard::to_stdvec(gossip).unwrap_or_default();
    [&GOSSIP_MARK[..], &body].concat()
}

/// Tells the kinds of datagrams apart and decodes gossip.
pub fn decode_datagram(datagram: &[u8]) -> PeerDatagram<'_> {
    let Some(body) = datagram.strip_prefix(&GOSSIP_MARK) else {
        return PeerDatagram::Membership(datagram);
    };
    match postcard::from_bytes(body) {
        Ok(gossip) => PeerDatagram::Gossip(Box::new(gossip)),
        Err(_) => PeerDatagram::MalformedGossip,
    }
}
