//! The list of the gateways of the fleet from the operator's settings.

use std::hash::Hasher;
use std::net::SocketAddr;

use ivypitch_types::MemberId;
use siphasher::sip::SipHasher13;

/// One gateway of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberAddress {
    /// Name of the gateway.
    pub name: String,
    /// Position in [`MemberList::zones`].
    pub zone: u16,
    /// Address for both datagrams and links.
    pub address: SocketAddr,
}

/// All gateways of the fleet. The position of a gateway is its [`MemberId`], so the list must be
/// the same at every gateway.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    /// The gateways, by member id.
    pub members: Vec<MemberAddress>,
    /// Names of the zones.
    pub zones: Vec<String>,
}

impl MemberList {
    /// Number of gateways.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the list has no gateways.
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

    /// Hash of the names, the zones and their order. In a list with another fingerprint, the same
    /// ids may stand for other gateways. Addresses are not included, because two gateways may reach
    /// a third by different routes.
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
