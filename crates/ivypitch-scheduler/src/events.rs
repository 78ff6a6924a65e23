//! What a scheduler is notified of.

use ivypitch_types::{EngineIndex, Nanos, Outcome};

/// Whether an engine takes statements.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum EngineState {
    /// It takes new statements.
    Ready,
    /// It completes what runs and takes nothing new.
    Draining,
    /// It has left the deployment.
    #[default]
    Gone,
}

/// One engine as the endpoint list has it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineEndpoint {
    /// Position in this gateway's tables.
    pub engine: EngineIndex,
    /// The engine's id as a number, the same at every gateway.
    pub id: u64,
    /// Zone, as an index.
    pub zone: u16,
    /// Engine kind, as an index into [`Deployment::engine_kinds`](crate::Deployment::engine_kinds).
    pub kind: u16,
    /// Cell, as an index.
    pub cell: u16,
    /// Whether the engine takes statements.
    pub state: EngineState,
    /// Weight by the endpoint list; decisions do not use it.
    pub weight: f64,
    /// When the engine's process started; 0: long ago.
    pub started_at: Nanos,
}

/// What the rows of an endpoint update cover.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointUpdateKind {
    /// Changed endpoints only.
    Delta,
    /// Every endpoint; an engine that is missing is gone.
    Full,
    /// Every endpoint as last known, possibly out of date.
    Snapshot,
}

/// A statement that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Index into [`Deployment::workloads`](crate::Deployment::workloads).
    pub workload: usize,
    /// Key for workloads ordered by key; 0: none.
    pub key: u64,
    /// The tables that the statement touches; statements of one group profit from one engine's cache.
    pub table_group: u32,
    /// Time until the client stops waiting.
    pub time_left: Nanos,
    /// The client has sent it before.
    pub is_repeat: bool,
    /// Index into [`Deployment::tenants`](crate::Deployment::tenants).
    pub tenant: usize,
    /// Estimated memory in MB; 0: not estimated.
    pub estimated_memory_mb: f64,
    /// Estimated work, summed over its threads; 0: not estimated.
    pub estimated_work: Nanos,
}

/// The fleet's common decision on an engine, where gateways exchange health observations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutlierStatus {
    /// The fleet has ejected the engine: it gets trials only.
    pub is_ejected: bool,
    /// This gateway is one of those that send trials now.
    pub is_probe_assigned: bool,
    /// Other gateways had success with it lately: earlier outcomes at this gateway are stale.
    pub has_recovered: bool,
}

/// An attempt that ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded<'a> {
    /// Number of the attempt, from 0 for each statement.
    pub attempt: u32,
    /// Engine that it was sent to.
    pub engine: EngineIndex,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from its send to its end.
    pub duration: Nanos,
    /// The statement has its final answer, by this outcome or before.
    pub has_final_answer: bool,
    /// True work in ms and memory in MB, where results tell them.
    pub measured_cost: Option<(f64, f64)>,
    /// Load report that came with it; empty: none. See
    /// [`Deployment::report_fields`](crate::Deployment::report_fields).
    pub load_report: &'a [f32],
}

/// What an engine reports of an attempt that runs.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AttemptProgress {
    /// Part of the work that is done, 0 to 1.
    FractionDone(f64),
    /// Memory in MB that was missing, so that it spilled to disk.
    SpilledMb(f64),
    /// It waits for its memory grant.
    WaitingForMemory,
    /// It waits for a bulk load that locks its table group.
    WaitingForBulkLoad,
}
