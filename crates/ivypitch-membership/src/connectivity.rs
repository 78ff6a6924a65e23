//! Connectivity: the part of the fleet that a gateway reaches.

use ivypitch_types::Nanos;

use crate::PartitionSuspicion;

/// The part of the fleet that a gateway reaches.
#[derive(Clone, Debug, PartialEq)]
pub struct Connectivity {
    /// Number of reachable members by zone, including this one.
    pub reachable_by_zone: Vec<u16>,
    /// Number of listed members by zone.
    pub members_by_zone: Vec<u16>,
    /// Time of the last change of the reachable members.
    pub changed_at: Nanos,
    /// Whether this gateway itself may be partitioned from the fleet.
    pub partition_suspicion: PartitionSuspicion,
}

impl Connectivity {
    /// Number of reachable members of all zones, including this one.
    pub fn reachable_members(&self) -> u16 {
        self.reachable_by_zone.iter().sum()
    }

    /// Whether more than half of the members are reachable.
    pub fn is_majority(&self) -> bool {
        let members: u32 = self
            .members_by_zone
            .iter()
            .map(|&count| u32::from(count))
            .sum();
        2 * u32::from(self.reachable_members()) > members
    }
}
