//! Identifiers of statements, engines and gateways.

use serde::{Deserialize, Serialize};

/// Position of an open statement in its gateway's tables.
///
/// The index becomes free once the scheduler has forgotten the statement, and may then name another one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct StatementIndex(pub usize);

/// Position of an engine in its gateway's tables.
///
/// The index becomes free once nothing refers to the engine any more, and may then name another one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct EngineIndex(pub usize);

/// Position of a gateway in the member list that all gateways of a fleet are configured with.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MemberId(pub u16);

/// Start time of a gateway process in Unix milliseconds.
///
/// A gateway that restarts keeps its member id and gets a higher incarnation: it has lost all state in memory.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// One process of one gateway.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct ProcessId {
    /// Which gateway.
    pub member: MemberId,
    /// Which of its processes.
    pub incarnation: Incarnation,
}

impl MemberId {
    /// Position in tables that have one entry for each member.
    pub fn as_usize(self) -> usize {
        usize::from(self.0)
    }
}
