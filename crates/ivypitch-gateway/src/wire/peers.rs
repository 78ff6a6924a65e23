//! Frames between gateways on trusted addresses: a length of four bytes and a message by postcard. Postcard, since both
//! ends are this program: it needs no schema beside the types, and a version stands in the first frame.

use bytes::{Buf, Bytes, BytesMut};
use ivypitch_coordination::{CoordinationMessage, GossipMessage};
use ivypitch_ownership::Message;
use serde::{Deserialize, Serialize};

/// A result and what stands around it; a longer frame ends the link.
pub const LARGEST_FRAME: usize = 128 << 10;

#[derive(Serialize, Deserialize, Debug)]
pub enum Frame {
    /// The first on a link, both ways.
    Hello {
        version: u16,
        roster: u32,
        place: u16,
        birth: u64,
    },
    /// Nothing to say, and still there.
    Beat,
    Body(Message),
    Coordination(CoordinationMessage),
}

pub fn write(frame: &Frame) -> Bytes {
    let body = postcard::to_stdvec(frame).unwrap_or_default();
    let length = (body.len() as u32).to_le_bytes();
    Bytes::from([&length[..], &body].concat())
}

/// No datagram of the members begins so: its first number is a place, and no place is written with these bytes.
const GOSSIP_MARK: [u8; 4] = [0xff; 4];

/// A datagram of what is shared; it goes beside those of the members, from the same port.
pub fn write_gossip(gossip: &GossipMessage) -> Vec<u8> {
    let body = postcard::to_stdvec(gossip).unwrap_or_default();
    [&GOSSIP_MARK[..], &body].concat()
}

/// `None`: it is no such datagram; else what it says, where it can be read.
pub fn read_gossip(datagram: &[u8]) -> Option<Option<GossipMessage>> {
    let body = datagram.strip_prefix(&GOSSIP_MARK)?;
    Some(postcard::from_bytes(body).ok())
}

#[derive(Debug, PartialEq)]
pub struct Malformed(pub &'static str);

/// Takes the next whole frame off the front; `None` until all of it is there.
pub fn next(input: &mut BytesMut) -> Result<Option<Frame>, Malformed> {
    let Some(length) = input
        .first_chunk()
        .map(|bytes| u32::from_le_bytes(*bytes) as usize)
    else {
        return Ok(None);
    };
    if length == 0 || length > LARGEST_FRAME {
        return Err(Malformed("frame of no usable length"));
    }
    if input.len() < 4 + length {
        return Ok(None);
    }
    input.advance(4);
    let body = input.split_to(length);
    postcard::from_bytes(&body)
        .map(Some)
        .map_err(|_| Malformed("frame not understood"))
}
