//! What a coordinator is configured with, and the limits that do not depend on the deployment.

use ivypitch_types::{MemberId, Nanos};

/// Units that an even share of a quota consists of; the smallest lease is one unit.
pub const UNITS_PER_MEMBER: u32 = 100;
/// Endpoint events that are retained for members that miss them.
pub const MAX_RETAINED_EVENTS: usize = 512;
/// Total size of the endpoint events that are retained, in bytes.
pub const MAX_RETAINED_EVENT_BYTES: usize = 1 << 20;
/// Engines whose health observations are stored.
pub const MAX_OBSERVED_ENGINES: usize = 1024;

/// Position of a quota in [`CoordinationConfig::quotas`], which is the same at every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuotaIndex(pub usize);

/// How one quota is divided among the members and leased between them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLeaseConfig {
    /// The whole quota in units, over all members.
    pub total_units: u32,
    /// Number of members that share the quota.
    pub member_count: u16,
    /// Fraction of a member's base allocation that it never leases out, 0 to 1.
    pub reserved_fraction: f64,
    /// For how long a spent unit counts against the quota, by the member's own clock; a unit that changes hands counts
    /// as spent at that moment. 0: units are occupied and released, not spent.
    pub spend_window: Nanos,
    /// Duration of a lease.
    pub lease_duration: Nanos,
    /// By which fraction two clocks may run apart at most.
    pub max_clock_drift: f64,
}

impl QuotaLeaseConfig {
    /// The units that belong to a member: an even share. What does not divide goes to the first members.
    pub fn base_units(&self, member: MemberId) -> u32 {
        let members = u32::from(self.member_count.max(1));
        let has_one_more = u32::from(member.0) < self.total_units % members;
        self.total_units / members + u32::from(has_one_more)
    }

    /// The part of the base allocation that a member never leases out.
    pub fn reserved_units(&self, member: MemberId) -> u32 {
        let base = self.base_units(member);
        ((f64::from(base) * self.reserved_fraction).ceil() as u32).min(base)
    }

    /// How long the grantor waits for a lease to expire: by its clock, and no shorter by any other.
    pub(crate) fn grantor_duration(&self) -> Nanos {
        (self.lease_duration as f64 * (1.0 + self.max_clock_drift)).ceil() as Nanos + 1
    }

    /// How long the holder uses a lease: by its clock, and no longer by any other.
    pub(crate) fn holder_duration(&self) -> Nanos {
        (self.lease_duration as f64 * (1.0 - self.max_clock_drift)) as Nanos
    }

    /// The spend window by this member's clock, long enough by any other.
    pub(crate) fn own_spend_window(&self) -> Nanos {
        (self.spend_window as f64 * (1.0 + self.max_clock_drift)).ceil() as Nanos
    }
}

/// A quota that the members share.
#[derive(Clone, Debug)]
pub struct SharedQuotaConfig {
    /// Appears in views and log lines.
    pub name: String,
    /// How its units are leased.
    pub leases: QuotaLeaseConfig,
    /// Period over which recorded demand is expressed in units. 0: the demand is reported as a level instead.
    pub demand_window: Nanos,
}

/// Configuration of a [`Coordinator`](crate::Coordinator).
#[derive(Clone, Debug)]
pub struct CoordinationConfig {
    /// The shared quotas, in the same order at every member.
    pub quotas: Vec<SharedQuotaConfig>,
    /// Gossip that this member sends at most, in bytes per second.
    pub gossip_bytes_per_second: f64,
    /// Engines whose health observations are stored at most.
    pub max_engines: usize,
    /// Endpoint events that are retained at most.
    pub max_events: usize,
    /// Total size of the endpoint events that are retained at most, in bytes.
    pub max_event_bytes: usize,
}
