//! How members identify themselves in their datagrams.

use ivypitch_types::{Incarnation, MemberId, ProcessId};
use serde::{Deserialize, Serialize};

/// A process of a gateway. Encoded by position: fields may be renamed, never reordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// Its position in the member list.
    pub member: MemberId,
    /// A gateway that restarts has lost its state, and counts as another member.
    pub incarnation: Incarnation,
    /// How often this process was declared lost although it ran.
    pub renewals: u16,
    /// Version of all messages between gateways.
    pub protocol_version: u16,
    /// [`MemberList::fingerprint`](crate::MemberList::fingerprint) of its list.
    pub list_fingerprint: u32,
}

impl MemberIdentity {
    /// The process, whatever it was declared.
    pub fn process(&self) -> ProcessId {
        ProcessId {
            member: self.member,
            incarnation: self.incarnation,
        }
    }

    /// Whether two processes understand each other and agree on what a member id means.
    pub fn is_compatible_with(&self, other: &MemberIdentity) -> bool {
        self.protocol_version == other.protocol_version
            && self.list_fingerprint == other.list_fingerprint
    }
}

impl foca::Identity for MemberIdentity {
    type Addr = MemberId;

    fn renew(&self) -> Option<MemberIdentity> {
        Some(MemberIdentity {
            renewals: self.renewals.wrapping_add(1),
            ..*self
        })
    }

    fn addr(&self) -> MemberId {
        self.member
    }

    fn win_addr_conflict(&self, other: &MemberIdentity) -> bool {
        (self.incarnation, self.renewals) > (other.incarnation, other.renewals)
    }
}
