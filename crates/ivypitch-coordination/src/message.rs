//! Messages between coordinators. They are encoded by position: fields and variants may be renamed,
//! never reordered.

use ivypitch_types::{Incarnation, ProcessId};
use serde::{Deserialize, Serialize};

use crate::observations::{EngineNumber, HealthObservation};

/// Version of the messages in this module. Members with different versions do not communicate.
pub const PROTOCOL_VERSION: u16 = 1;

/// Number of a lease request, unique in its process. A lease is identified by the request that it
/// was first granted for.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u32);

/// Requests a new lease from a member, or the extension of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Number of this request.
    pub request: RequestId,
    /// Requested units.
    pub units: u32,
    /// The lease to extend; `None` requests a new one.
    pub extends: Option<RequestId>,
}

/// The positive reply to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The request that this message answers.
    pub request: RequestId,
    /// The lease that was extended, or the request's own id for a new lease.
    pub lease: RequestId,
    /// Units of the lease.
    pub units: u32,
}

/// A message about the leases of one quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// To the grantor: requests units.
    Request(LeaseRequest),
    /// To the holder: grants it a lease.
    Grant(LeaseGrant),
    /// To the holder: no units are available now.
    Reject {
        /// The request that this message answers.
        request: RequestId,
    },
    /// To the grantor: the holder no longer uses this lease.
    Release(RequestId),
    /// To the holder: the grantor needs the units of this lease back. If this message is lost, the
    /// lease still expires.
    Revoke(RequestId),
}

/// A [`QuotaMessage`] and the quota that it is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaEnvelope {
    /// Position of the quota in the configuration.
    pub quota: u16,
    /// The message.
    pub message: QuotaMessage,
}

/// An event of the endpoint list as its source wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEvent {
    /// Number of the event; events are numbered without gaps.
    pub number: u64,
    /// Text of the event.
    pub line: Vec<u8>,
}

/// A message on the ordered link between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CoordinationMessage {
    /// Messages about quotas.
    Quotas {
        /// The receiving process: its successor must not act on the messages.
        to: Incarnation,
        /// The messages, in the order in which they were written.
        messages: Vec<QuotaEnvelope>,
    },
    /// Requests the endpoint events after this number.
    FetchEvents(u64),
    /// Endpoint events in ascending order of their numbers.
    Events(Vec<EndpointEvent>),
}

/// A member's observation of an engine, as it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservationUpdate {
    /// The process that made the observation.
    pub observer: ProcessId,
    /// The observed engine.
    pub engine: EngineNumber,
    /// Number of the observation among those of the observer.
    pub version: u32,
    /// Age at the time of sending, in milliseconds.
    pub age_ms: u32,
    /// The observation.
    pub observation: HealthObservation,
}

/// The version up to which every observation of a process is known or superseded by a later one of
/// the same engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersion {
    /// The process that made the observations.
    pub observer: ProcessId,
    /// The last such version, inclusive.
    pub version: u32,
}

/// A gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// New observations, and the sender's progress and leasable units.
    Update {
        /// Time of sending, in milliseconds of the sender's own clock.
        sent_at_ms: u64,
        /// The process that sent it.
        from: ProcessId,
        /// Number of the sender's last endpoint event; 0: not stated.
        last_event: u64,
        /// Units that the sender can lease out, by quota.
        leasable_units: Vec<u32>,
        /// Observations by any members.
        updates: Vec<ObservationUpdate>,
        /// Versions of members up to which all missing observations are among the updates or
        /// superseded.
        complete_up_to: Vec<KnownVersion>,
    },
    /// Hashes of the versions that the sender knows, one for each bucket of members.
    Digest {
        /// Time of sending, in milliseconds of the sender's own clock.
        sent_at_ms: u64,
        /// The process that sent it.
        from: ProcessId,
        /// The hash of each bucket.
        buckets: Vec<u32>,
    },
    /// The versions that the sender knows of the members in differing buckets.
    Versions {
        /// Time of sending, in milliseconds of the sender's own clock.
        sent_at_ms: u64,
        /// The process that sent it.
        from: ProcessId,
        /// The known versions of the members.
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

    /// The time at which it was sent, in milliseconds of the sender's own clock.
    pub fn sent_at_ms(&self) -> u64 {
        match self {
            GossipMessage::Update { sent_at_ms, .. }
            | GossipMessage::Digest { sent_at_ms, .. }
            | GossipMessage::Versions { sent_at_ms, .. } => *sent_at_ms,
        }
    }
}
