//! The gateways of the fleet as the operator's settings list them.

use std::hash::Hasher;
use std::net::SocketAddr;

use ivypitch_types::MemberId;
use siphasher::sip::SipHasher13;

/// One gateway of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberAddress {
    /// The gateway's name.
    pub name: String,
    /// Position in [`MemberList::zones`].
    pub zone: u16,
    /// Address of both its datagrams and its links.
    pub address: SocketAddr,
}

/// All gateways of the fleet. The position of each is its [`MemberId`], so the list is the same at every gateway.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    /// By member id.
    pub members: Vec<MemberAddress>,
    /// Names of the zones.
    pub zones: Vec<String>,
}

impl MemberList {
    /// Number of gateways.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no gateway.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The gateway with this id.
    pub fn get(&self, member: MemberId) -> Option<&MemberAddress> {
        self.members.get(member.as_usize())
    }

    /// The id of the gateway with this name.
    pub fn find(&self, name: &str) -> Option<MemberId> {
        let position = self.members.iter().position(|member| member.name == name)?;
        u16::try_from(position).ok().map(MemberId)
    }

    /// The zone of each gateway.
    pub fn zones_by_member(&self) -> Vec<u16> {
        self.members.iter().map(|member| member.zone).collect()
    }

    /// Changes with names, zones and their order: gateways of another list mean other gateways by the same ids.
    /// Addresses may differ, as one gateway may reach another by another route.
    pub fn fingerprint(&self) -> u32 {
        let mut hasher = SipHasher13::new();
        for member in &self.members {
            hasher.write(member.name.as_bytes());
            hasher.write_u8(0);
            let zone = self.zones.get(usize::from(member.zone));
            hasher.write(zone.map_or(&b""[..], |zone| zone.as_bytes()));
            hasher.write_u8(1);
        }
        hasher.finish() as u32
    }
}
