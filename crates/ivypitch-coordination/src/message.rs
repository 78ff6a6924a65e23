//! Messages between coordinators. They are encoded by position: fields and variants may be renamed, never reordered.

use ivypitch_types::{Incarnation, ProcessId};
use serde::{Deserialize, Serialize};

use crate::observations::{EngineNumber, HealthObservation};

/// Version of the messages in this module. Members with another version do not talk to each other.
pub const PROTOCOL_VERSION: u16 = 1;

/// Numbers the lease requests of one process. A lease is identified by the request that it was first granted for.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u32);

/// Asks a member for a lease, or for more time on one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// This request.
    pub request: RequestId,
    /// Units asked for.
    pub units: u32,
    /// The lease that is to be extended; `None` asks for a new one.
    pub extends: Option<RequestId>,
}

/// The positive reply to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The request that is answered.
    pub request: RequestId,
    /// The lease that was extended, or the request's own id for a new lease.
    pub lease: RequestId,
    /// Units of the lease.
    pub units: u32,
}

/// A message about the leases of one quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// To the grantor: asks for units.
    Request(LeaseRequest),
    /// To the holder: units are leased to it.
    Grant(LeaseGrant),
    /// To the holder: nothing is available now.
    Reject {
        /// The request that is answered.
        request: RequestId,
    },
    /// To the grantor: the holder no longer uses this lease.
    Release(RequestId),
    /// To the holder: the grantor needs the units of this lease. The lease expires anyway if this message is lost.
    Revoke(RequestId),
}

/// A [`QuotaMessage`] and the quota that it is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaEnvelope {
    /// Position of the quota in the configuration.
    pub quota: u16,
    /// What is said about it.
    pub message: QuotaMessage,
}

/// An event of the endpoint list as its source wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEvent {
    /// Events are numbered without gaps.
    pub number: u64,
    /// The event's text.
    pub line: Vec<u8>,
}

/// A message on the ordered link between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CoordinationMessage {
    /// Messages about quotas.
    Quotas {
        /// The process that they are for: its successor must not act on them.
        to: Incarnation,
        /// In the order in which they were written.
        messages: Vec<QuotaEnvelope>,
    },
    /// Asks for the endpoint events after this number.
    FetchEvents(u64),
    /// Endpoint events in the order of their numbers.
    Events(Vec<EndpointEvent>),
}

/// A member's observation of an engine, as it travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservationUpdate {
    /// The process that made the observation.
    pub observer: ProcessId,
    /// The engine observed.
    pub engine: EngineNumber,
    /// Counts the observer's observations.
    pub version: u32,
    /// Age when the datagram was sent, in milliseconds.
    pub age_ms: u32,
    /// What was observed.
    pub observation: HealthObservation,
}

/// Up to this version, every observation of a process is known here or superseded by a later one of the same engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersion {
    /// The process that made the observations.
    pub observer: ProcessId,
    /// The version, inclusive.
    pub version: u32,
}

/// A gossip datagram. `sent_at_ms` is by the sender's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// New observations, and what the sender has to offer.
    Update {
        /// When it was sent, in milliseconds.
        sent_at_ms: u64,
        /// Who sent it.
        from: ProcessId,
        /// The last endpoint event that the sender has; 0: not stated.
        last_event: u64,
        /// Units that the sender could lease out, by quota.
        leasable_units: Vec<u32>,
        /// Observations of any member.
        updates: Vec<ObservationUpdate>,
        /// For these members, everything up to the version is among the updates or superseded.
        complete_up_to: Vec<KnownVersion>,
    },
    /// Hashes over the versions that the sender knows, one for each bucket of members.
    Digest {
        /// When it was sent, in milliseconds.
        sent_at_ms: u64,
        /// Who sent it.
        from: ProcessId,
        /// The hash of each bucket.
        buckets: Vec<u32>,
    },
    /// The versions that the sender knows of members in buckets that differ.
    Versions {
        /// When it was sent, in milliseconds.
        sent_at_ms: u64,
        /// Who sent it.
        from: ProcessId,
        /// Versions by member.
        known: Vec<KnownVersion>,
    },
}

impl GossipMessage {
    /// The process that sent it.
    pub fn sender(&self) -> ProcessId {
        match self {
            GossipMessage::Update { from, .. }
            | GossipMessage::Digest { from, .. }
            | GossipMessage::Versions { from, .. } => *from,
        }
    }

    /// When it was sent, in milliseconds of the sender's own clock.
    pub fn sent_at_ms(&self) -> u64 {
        match self {
            GossipMessage::Update { sent_at_ms, .. }
            | GossipMessage::Digest { sent_at_ms, .. }
            | GossipMessage::Versions { sent_at_ms, .. } => *sent_at_ms,
        }
    }
}
