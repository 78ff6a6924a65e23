//! Configuration of a coordinator, and the limits that do not depend on the deployment.

use ivypitch_types::{MemberId, Nanos};

/// Units of a quota for each member that shares it; the smallest lease is one unit.
pub const UNITS_PER_MEMBER: u32 = 100;
/// Maximum number of endpoint events retained for members that missed them.
pub const MAX_RETAINED_EVENTS: usize = 512;
/// Maximum total size of the retained endpoint events, in bytes.
pub const MAX_RETAINED_EVENT_BYTES: usize = 1 << 20;
/// Maximum number of engines whose health observations are stored.
pub const MAX_OBSERVED_ENGINES: usize = 1024;

/// Position of a quota in [`CoordinationConfig::quotas`], which is the same at every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuotaIndex(pub usize);

/// How one quota is divided among the members and leased between them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLeaseConfig {
    /// Total quota in units, over all members.
    pub total_units: u32,
    /// Number of members that share the quota.
    pub member_count: u16,
    /// Fraction of a member's base allocation that it never leases out, 0 to 1.
    pub reserved_fraction: f64,
    /// How long a spent unit counts against the quota, by the member's own clock; a unit that
    /// passes from one member to another counts as spent at that moment. 0: units are occupied and
    /// released, not spent.
    pub spend_window: Nanos,
    /// Duration of a lease.
    pub lease_duration: Nanos,
    /// Maximum relative difference between the rates of two clocks, as a fraction.
    pub max_clock_drift: f64,
}

impl QuotaLeaseConfig {
    /// Base allocation of a member: an even share. The remainder of the division goes to the first
    /// members, one unit each.
    pub fn base_units(&self, member: MemberId) -> u32 {
        let members = u32::from(self.member_count.max(1));
        let has_extra_unit = u32::from(member.0) < self.total_units % members;
        self.total_units / members + u32::from(has_extra_unit)
    }

    /// Part of the base allocation that a member never leases out.
    pub fn reserved_units(&self, member: MemberId) -> u32 {
        let base = self.base_units(member);
        ((f64::from(base) * self.reserved_fraction).ceil() as u32).min(base)
    }

    /// Lease duration at the grantor: by its own clock, and not shorter by the clock of any other
    /// member.
    pub(crate) fn grantor_duration(&self) -> Nanos {
        (self.lease_duration as f64 * (1.0 + self.max_clock_drift)).ceil() as Nanos + 1
    }

    /// Lease duration at the holder: by its own clock, and not longer by the clock of any other
    /// member.
    pub(crate) fn holder_duration(&self) -> Nanos {
        (self.lease_duration as f64 * (1.0 - self.max_clock_drift)) as Nanos
    }

    /// Spend window by this member's clock, not shorter by the clock of any other member.
    pub(crate) fn own_spend_window(&self) -> Nanos {
        (self.spend_window as f64 * (1.0 + self.max_clock_drift)).ceil() as Nanos
    }
}

/// Configuration of a quota that the members share.
#[derive(Clone, Debug)]
pub struct SharedQuotaConfig {
    /// Name of the quota in views and log lines.
    pub name: String,
    /// Division and leasing of its units.
    pub leases: QuotaLeaseConfig,
    /// Period to which recorded demand is scaled. 0: the demand is set as a level instead.
    pub demand_window: Nanos,
}

/// Configuration of a [`Coordinator`](crate::Coordinator).
#[derive(Clone, Debug)]
pub struct CoordinationConfig {
    /// The shared quotas, in the same order at every member.
    pub quotas: Vec<SharedQuotaConfig>,
    /// Maximum rate of gossip that this member sends, in bytes per second.
    pub gossip_bytes_per_second: f64,
    /// Maximum number of engines whose health observations are stored.
    pub max_engines: usize,
    /// Maximum number of retained endpoint events.
    pub max_events: usize,
    /// Maximum total size of the retained endpoint events, in bytes.
    pub max_event_bytes: usize,
}
