//! What the gateways of a fleet decide together: how shared quotas are divided, which engines are outliers, and how
//! endpoint events reach gateways that cannot hear their source.
//!
//! [`Coordinator`] is a state machine without I/O, clock or threads; its driver brings messages and the time and carries
//! out what it asks for through [`CoordinationOutput`]. Whatever messages are lost, delayed, duplicated or reordered and
//! whichever processes restart, the members together never exceed a quota. A member that reaches nobody keeps its
//! reserved minimum and its own observations.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

mod config;
mod coordinator;
mod engine_health;
mod event_relay;
mod gossip;
mod message;
mod observations;
mod outlier_consensus;
mod output;
mod quota_lease;
mod quota_rebalancing;
mod shared_quotas;
mod view;

pub use config::{
    CoordinationConfig, MAX_OBSERVED_ENGINES, MAX_RETAINED_EVENT_BYTES, MAX_RETAINED_EVENTS,
    QuotaIndex, QuotaLeaseConfig, SharedQuotaConfig, UNITS_PER_MEMBER,
};
pub use coordinator::{Coordinator, CoordinatorParams};
pub use event_relay::{EventRelay, RetentionLimits};
pub use message::{
    CoordinationMessage, EndpointEvent, GossipMessage, KnownVersion, LeaseGrant, LeaseRequest,
    ObservationUpdate, PROTOCOL_VERSION, QuotaEnvelope, QuotaMessage, RequestId,
};
pub use observations::{
    AttemptHealth, EngineNumber, FreshObservation, HealthObservation, OBSERVATION_TTL,
    ObservationTable, StoredObservation,
};
pub use outlier_consensus::{MAX_EJECTED_FRACTION, OutlierConsensus, OutlierDecision, is_prober};
pub use output::CoordinationOutput;
pub use quota_lease::{ExpiringLease, GrantedLease, HeldLease, LeasedUnits, QuotaLeases};
pub use view::{CoordinationView, EngineHealthView, FleetReach, MemberObservationView, QuotaView};
