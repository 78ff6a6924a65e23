//! Coordination of the gateways of a fleet: division of shared quotas, detection of outlier
//! engines, and relay of endpoint events to gateways without a connection to the event source.
//!
//! [`Coordinator`] is a state machine without I/O, clock or threads. Its driver passes in messages
//! and the time, and carries out the actions that it requests through [`CoordinationOutput`]. The
//! members together never exceed a quota, whatever messages are lost, delayed, duplicated or
//! reordered and whichever processes restart. A member that reaches no other member keeps its
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
