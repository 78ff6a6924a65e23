//! The fleet as the own file lists it. A member is its place in that list and the time of its process' start.

use std::hash::Hasher;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// One gateway of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    pub name: String,
    /// Position in the list's zones.
    pub zone: u16,
    /// Datagrams and links, the same port for both.
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Default)]
pub struct Roster {
    pub seats: Vec<Seat>,
    pub zones: Vec<String>,
}

impl Roster {
    /// Differs with each change of names, zones and their order: members of another list stand at other places and are
    /// not spoken to. Addresses may differ: one gateway may reach another by another way.
    pub fn mark(&self) -> u32 {
        let mut hasher = SipHasher13::new();
        for seat in &self.seats {
            hasher.write(seat.name.as_bytes());
            hasher.write_u8(0);
            hasher.write(
                self.zones
                    .get(usize::from(seat.zone))
                    .map_or(&b""[..], |z| z.as_bytes()),
            );
            hasher.write_u8(1);
        }
        hasher.finish() as u32
    }

    pub fn place_of(&self, name: &str) -> Option<u16> {
        self.seats
            .iter()
            .position(|seat| seat.name == name)
            .and_then(|place| u16::try_from(place).ok())
    }

    pub fn zone_of(&self, place: u16) -> Option<u16> {
        self.seats.get(usize::from(place)).map(|seat| seat.zone)
    }
}

/// A member: one process of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Who {
    /// Its place in the roster.
    pub place: u16,
    /// Unix milliseconds of its process' start: a gateway that comes back under its old name has forgotten all, and is
    /// another member.
    pub birth: u64,
    /// How often this process was declared lost though it lived.
    pub bump: u16,
    /// Of the messages among gateways.
    pub version: u16,
    /// [`Roster::mark`] of its list.
    pub roster: u32,
}

impl foca::Identity for Who {
    type Addr = u16;

    fn renew(&self) -> Option<Who> {
        Some(Who {
            bump: self.bump.wrapping_add(1),
            ..*self
        })
    }

    fn addr(&self) -> u16 {
        self.place
    }

    fn win_addr_conflict(&self, other: &Who) -> bool {
        (self.birth, self.bump) > (other.birth, other.bump)
    }
}
