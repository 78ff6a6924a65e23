//! One member's view of the shared state, as `SHOW FLEET` prints it in JSON. The serialized keys
//! and variant names are part of that interface and must not change.

use ivypitch_types::{Incarnation, MemberId};
use serde::Serialize;

use crate::observations::{EngineNumber, HealthObservation};

/// Part of the fleet that a member can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum FleetReach {
    /// More than half of the members, including this one.
    #[serde(rename = "Most")]
    Majority,
    /// Some other members, but no majority. Their observations count as long as they are fresh.
    #[serde(rename = "Few")]
    Minority,
    /// No other member. The member uses its own observations and, once its leases have expired, its
    /// base allocation.
    #[serde(rename = "Alone")]
    Isolated,
}

impl FleetReach {
    /// Name of the variant in log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            FleetReach::Majority => "majority",
            FleetReach::Minority => "minority",
            FleetReach::Isolated => "isolated",
        }
    }
}

/// One member's view of the shared state.
#[derive(Clone, Debug, Serialize)]
pub struct CoordinationView {
    /// This member.
    #[serde(rename = "place")]
    pub member: MemberId,
    /// Incarnation of its process.
    #[serde(rename = "birth")]
    pub incarnation: Incarnation,
    /// Part of the fleet that it can reach.
    #[serde(rename = "hearing")]
    pub reach: FleetReach,
    /// The other members that it can reach.
    #[serde(rename = "heard")]
    pub reachable: Vec<MemberId>,
    /// Number of the last endpoint event.
    #[serde(rename = "journal")]
    pub last_event: u64,
    /// Whether the event source is silent.
    #[serde(rename = "journal_silent")]
    pub is_event_source_silent: bool,
    /// The shared quotas.
    #[serde(rename = "bounds")]
    pub quotas: Vec<QuotaView>,
    /// The engines with at least one fresh observation by a member that is not faulty.
    pub engines: Vec<EngineHealthView>,
    /// Bytes sent. The coordinator reports 0; the driver, which knows the size of its datagrams,
    /// counts them.
    pub sent_bytes: u64,
    /// Number of gossip datagrams that arrived too late to be used.
    #[serde(rename = "late")]
    pub late_datagrams: u64,
    /// Number of endpoint events that other members relayed.
    #[serde(rename = "events_by_members")]
    pub relayed_events: u64,
}

/// View of one quota.
#[derive(Clone, Debug, Serialize)]
pub struct QuotaView {
    /// Name of the quota.
    pub name: String,
    /// Total units, over all members.
    #[serde(rename = "units")]
    pub total_units: u32,
    /// Base allocation of this member.
    #[serde(rename = "home")]
    pub base_units: u32,
    /// Part of the base allocation that this member never leases out.
    #[serde(rename = "floor")]
    pub reserved_units: u32,
    /// Units that this member may use now.
    #[serde(rename = "held")]
    pub usable_units: u32,
    /// Units leased to other members.
    #[serde(rename = "lent")]
    pub granted_units: u32,
    /// Units leased from other members.
    #[serde(rename = "borrowed")]
    pub held_units: u32,
    /// Own units that are not usable yet after a restart.
    #[serde(rename = "away")]
    pub withheld_units: u32,
    /// Units that this member is expected to use.
    #[serde(rename = "need")]
    pub expected_demand_units: u32,
}

/// View of one engine's health.
#[derive(Clone, Debug, Serialize)]
pub struct EngineHealthView {
    /// Number of the engine, the same at all members.
    pub engine: EngineNumber,
    /// Whether no statements except probes are sent to it.
    #[serde(rename = "out")]
    pub is_ejected: bool,
    /// Whether this member probes it now.
    #[serde(rename = "tries")]
    pub is_probing: bool,
    /// Whether members of most zones cannot connect to it.
    #[serde(rename = "unreached")]
    pub is_unreachable: bool,
    /// Number of failures, weighted by age.
    pub failures: f64,
    /// Number of outcomes, weighted by age.
    pub outcomes: f64,
    /// Fresh observations, by member.
    #[serde(rename = "by")]
    pub observations: Vec<MemberObservationView>,
}

/// One member's observation of an engine.
#[derive(Clone, Debug, Serialize)]
pub struct MemberObservationView {
    /// The member that made it.
    pub member: MemberId,
    /// Age in milliseconds.
    pub age_ms: u32,
    /// The observation.
    #[serde(rename = "sight")]
    pub observation: HealthObservation,
}
