//! Identity of a member in its datagrams.

use ivypitch_types::{Incarnation, MemberId, ProcessId};
use serde::{Deserialize, Serialize};

/// Identity of a gateway process. Encoded by position: fields may be renamed, never reordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// Position of the gateway in the member list.
    pub member: MemberId,
    /// Incarnation of the process. A restarted gateway has lost its state and counts as a new
    /// member.
    pub incarnation: Incarnation,
    /// Number of times that this process was declared lost while it ran.
    pub renewals: u16,
    /// Version of all messages between gateways.
    pub protocol_version: u16,
    /// [`MemberList::fingerprint`](crate::MemberList::fingerprint) of the process's member list.
    pub list_fingerprint: u32,
}

impl MemberIdentity {
    /// The process, regardless of its renewals.
    pub fn process(&self) -> ProcessId {
        ProcessId {
            member: self.member,
            incarnation: self.incarnation,
        }
    }

    /// Whether two processes use the same protocol version and the same member ids.
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
