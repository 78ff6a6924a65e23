//! Membership of the fleet: which gateways are reachable, suspected or lost, and whether this
//! gateway itself may be partitioned.
//!
//! Failure detection is SWIM as implemented by the library `foca`; [`Membership`] translates its
//! notifications into [`MembershipEvent`]s. There is no I/O and no clock: the driver passes in
//! datagrams and the time, and sends the outgoing datagrams. `docs/ownership.md` states the
//! guarantees.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

mod config;
mod connectivity;
mod identity;
mod incompatible_reports;
mod member_list;
mod membership;
mod partition_suspicion;
mod status;
mod swim_runtime;

pub use config::MembershipConfig;
pub use connectivity::Connectivity;
pub use identity::MemberIdentity;
pub use incompatible_reports::IncompatibleReports;
pub use member_list::{MemberAddress, MemberList};
pub use membership::{Membership, MembershipEvent, MembershipParams};
pub use partition_suspicion::PartitionSuspicion;
pub use status::{MemberState, MemberStatus};
pub use swim_runtime::OutgoingDatagram;
