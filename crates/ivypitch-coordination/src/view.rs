//! One member's view of the shared state, as `SHOW FLEET` prints it in JSON. Keys and variant texts are part of that
//! interface and keep their names.

use ivypitch_types::{Incarnation, MemberId};
use serde::Serialize;

use crate::observations::{EngineNumber, HealthObservation};

/// How much of the fleet a member can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum FleetReach {
    /// More than half of the members.
    #[serde(rename = "Most")]
    Majority,
    /// Some: their reports count as long as they are fresh.
    #[serde(rename = "Few")]
    Minority,
    /// None: own observations, and the base allocation once leases have expired.
    #[serde(rename = "Alone")]
    Isolated,
}

impl FleetReach {
    /// As it stands in log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            FleetReach::Majority => "majority",
            FleetReach::Minority => "minority",
            FleetReach::Isolated => "isolated",
        }
    }
}

/// All that one member shares with the others.
#[derive(Clone, Debug, Serialize)]
pub struct CoordinationView {
    /// This member.
    #[serde(rename = "place")]
    pub member: MemberId,
    /// Its process.
    #[serde(rename = "birth")]
    pub incarnation: Incarnation,
    /// How much of the fleet it can reach.
    #[serde(rename = "hearing")]
    pub reach: FleetReach,
    /// The other members that it can reach.
    #[serde(rename = "heard")]
    pub reachable: Vec<MemberId>,
    /// The number of the last endpoint event.
    #[serde(rename = "journal")]
    pub last_event: u64,
    /// Whether the event source is silent.
    #[serde(rename = "journal_silent")]
    pub is_event_source_silent: bool,
    /// By quota.
    #[serde(rename = "bounds")]
    pub quotas: Vec<QuotaView>,
    /// The engines that any member speaks about.
    pub engines: Vec<EngineHealthView>,
    /// Always 0: the bytes sent are counted by the driver, which knows what its datagrams take.
    pub sent_bytes: u64,
    /// Gossip datagrams that arrived too late to be used.
    #[serde(rename = "late")]
    pub late_datagrams: u64,
    /// Endpoint events that other members relayed.
    #[serde(rename = "events_by_members")]
    pub relayed_events: u64,
}

/// One quota.
#[derive(Clone, Debug, Serialize)]
pub struct QuotaView {
    /// Its name.
    pub name: String,
    /// Units over all members.
    #[serde(rename = "units")]
    pub total_units: u32,
    /// Units that belong to this member.
    #[serde(rename = "home")]
    pub base_units: u32,
    /// Units that it never leases out.
    #[serde(rename = "floor")]
    pub reserved_units: u32,
    /// Units that it may use now.
    #[serde(rename = "held")]
    pub usable_units: u32,
    /// Units leased to others.
    #[serde(rename = "lent")]
    pub granted_units: u32,
    /// Units leased from others.
    #[serde(rename = "borrowed")]
    pub held_units: u32,
    /// Own units that are not usable yet after a restart.
    #[serde(rename = "away")]
    pub withheld_units: u32,
    /// Units that it is likely to use.
    #[serde(rename = "need")]
    pub expected_demand_units: u32,
}

/// One engine.
#[derive(Clone, Debug, Serialize)]
pub struct EngineHealthView {
    /// The number that all members know it by.
    pub engine: EngineNumber,
    /// No statements are sent to it, but for probes.
    #[serde(rename = "out")]
    pub is_ejected: bool,
    /// This member probes it now.
    #[serde(rename = "tries")]
    pub is_probing: bool,
    /// Members of most zones cannot connect to it.
    #[serde(rename = "unreached")]
    pub is_unreachable: bool,
    /// Failures, weighted by age.
    pub failures: f64,
    /// Outcomes, weighted by age.
    pub outcomes: f64,
    /// What each member observed.
    #[serde(rename = "by")]
    pub observations: Vec<MemberObservationView>,
}

/// One member's observation of an engine.
#[derive(Clone, Debug, Serialize)]
pub struct MemberObservationView {
    /// Who made it.
    pub member: MemberId,
    /// How old it is.
    pub age_ms: u32,
    /// What was observed.
    #[serde(rename = "sight")]
    pub observation: HealthObservation,
}
