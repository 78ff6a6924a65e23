//! How much of the fleet a gateway reaches.

use ivypitch_types::Nanos;

use crate::PartitionSuspicion;

/// How much of the fleet a gateway reaches, as decisions see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Connectivity {
    /// Reachable members by zone, this one included.
    pub reachable: Vec<u16>,
    /// All members of the list by zone.
    pub members: Vec<u16>,
    /// When the reachable members last changed.
    pub since: Nanos,
    /// Whether this gateway may be the one that is partitioned.
    pub partition_suspicion: PartitionSuspicion,
}

impl Connectivity {
    /// Reachable members of all zones, this one included.
    pub fn reachable_members(&self) -> u16 {
        self.reachable.iter().sum()
    }

    /// Whether more than half of the members are reachable.
    pub fn is_majority(&self) -> bool {
        let members: u32 = self.members.iter().map(|&count| u32::from(count)).sum();
        2 * u32::from(self.reachable_members()) > members
    }
}
