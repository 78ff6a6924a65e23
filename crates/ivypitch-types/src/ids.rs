//! Identifiers of statements, engines and gateways.

use serde::{Deserialize, Serialize};

/// Index of an open statement in its gateway's tables.
///
/// The index may be reused for another statement once the scheduler has forgotten this one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct StatementIndex(pub usize);

/// Index of an engine in its gateway's tables.
///
/// The index may be reused for another engine once nothing refers to this one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct EngineIndex(pub usize);

/// Index of a gateway in the member list that all gateways of a fleet are configured with.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MemberId(pub u16);

/// Start time of a gateway process in Unix milliseconds.
///
/// A gateway that restarts keeps its member id and gets a higher incarnation, which shows that it
/// has lost all in-memory state.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifies one process of one gateway.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct ProcessId {
    /// The gateway.
    pub member: MemberId,
    /// The gateway's process, by start time.
    pub incarnation: Incarnation,
}

impl MemberId {
    /// Index into tables that have one entry per member.
    pub fn as_usize(self) -> usize {
        usize::from(self.0)
    }
}
