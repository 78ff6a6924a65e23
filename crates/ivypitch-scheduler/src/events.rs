//! The data of the events that a scheduler is notified of.

use ivypitch_types::{EngineIndex, Nanos, Outcome};

/// State of an engine in the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum EngineState {
    /// The engine takes new statements.
    Ready,
    /// The engine completes running statements and takes no new ones.
    Draining,
    /// The engine has left the deployment.
    #[default]
    Gone,
}

/// An entry of the endpoint list: one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineEndpoint {
    /// Index of the engine in this gateway's tables.
    pub engine: EngineIndex,
    /// The engine's numeric id, the same at every gateway.
    pub id: u64,
    /// Zone, as an index.
    pub zone: u16,
    /// Engine kind, as an index into [`Deployment::engine_kinds`](crate::Deployment::engine_kinds).
    pub kind: u16,
    /// Cell, as an index.
    pub cell: u16,
    /// Whether the engine takes statements.
    pub state: EngineState,
    /// Weight in the endpoint list; the scheduler does not use it.
    pub weight: f64,
    /// Start time of the engine's process; 0: long ago.
    pub started_at: Nanos,
}

/// The coverage of an endpoint update.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointUpdateKind {
    /// Changed endpoints only.
    Delta,
    /// All endpoints; an engine that is missing has left the deployment.
    Full,
    /// All endpoints as last known, possibly out of date.
    Snapshot,
}

/// A statement that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Index into [`Deployment::workloads`](crate::Deployment::workloads).
    pub workload: usize,
    /// Ordering key, for workloads ordered by key; 0: none.
    pub key: u64,
    /// The set of tables that the statement reads or writes; statements of one group profit from
    /// the cache of the same engine.
    pub table_group: u32,
    /// Time until the client stops waiting.
    pub time_left: Nanos,
    /// Whether the client has sent the statement before.
    pub is_repeat: bool,
    /// Index into [`Deployment::tenants`](crate::Deployment::tenants).
    pub tenant: usize,
    /// Estimated memory in MB; 0: unknown.
    pub estimated_memory_mb: f64,
    /// Estimated work, summed over the statement's threads; 0: unknown.
    pub estimated_work: Nanos,
}

/// The fleet's common decision on an engine, where gateways exchange health observations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutlierStatus {
    /// Whether the fleet has ejected the engine, so that it gets engine probes only.
    pub is_ejected: bool,
    /// Whether this gateway is one of those that probe the engine now.
    pub is_probe_assigned: bool,
    /// Whether attempts of other gateways have recently succeeded on the engine, so that earlier
    /// outcomes at this gateway are stale.
    pub has_recovered: bool,
}

/// An attempt that ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded<'a> {
    /// Number of the attempt, from 0 for each statement.
    pub attempt: u32,
    /// Engine that the attempt was sent to.
    pub engine: EngineIndex,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time from the attempt's send to its end.
    pub duration: Nanos,
    /// Whether the statement has its final answer, by this outcome or an earlier one.
    pub has_final_answer: bool,
    /// Measured work in ms and memory in MB, where results carry them.
    pub measured_cost: Option<(f64, f64)>,
    /// Load report that came with the result; empty: none. See
    /// [`Deployment::report_fields`](crate::Deployment::report_fields).
    pub load_report: &'a [f32],
}

/// An engine's report on the progress of a running attempt.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AttemptProgress {
    /// Fraction of the work that is done, 0 to 1.
    FractionDone(f64),
    /// The attempt spilled to disk; memory in MB that was missing.
    SpilledMb(f64),
    /// The attempt waits for its memory grant.
    WaitingForMemory,
    /// The attempt waits for a bulk load that locks its table group.
    WaitingForBulkLoad,
}
