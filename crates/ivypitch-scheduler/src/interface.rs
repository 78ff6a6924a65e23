//! What the decision module is told and what it may do. Nothing here decides.
//!
//! Times are whole nanoseconds of one clock that only advances. Ids of the outside become small indices before
//! they come here; an index of a statement is free again once [`Output::forget`] has named it.

use ivypitch_types::{EngineIndex, Nanos, Outcome, StatementIndex};

/// What running a statement twice does.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    Idempotent,
    IdempotentWithKey,
    NonIdempotent,
}

/// Which engines drop the repeats of a deduplicated statement.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct Workload {
    pub latency_objective: Nanos,
    /// The SLO time grows by this multiple of the work divided by the threads.
    pub latency_objective_stretch: f64,
    pub statement_timeout: Nanos,
    pub priority_weight: f64,
    pub effect: Idempotency,
    pub deduplication_scope: DeduplicationScope,
    pub deduplication_window: Nanos,
    pub is_ordered_by_key: bool,
    pub allowed_zones: Option<Vec<u16>>,
    pub allowed_engine_kinds: Option<Vec<u16>>,
    pub threads: f64,
    /// Holds its table group on its engine while it runs.
    pub is_load: bool,
    /// Stands still while a load holds its table group on its engine.
    pub waits_for_bulk_loads: bool,
}

#[derive(Clone, Debug)]
pub struct EngineKind {
    pub cores: f64,
    pub memory_mb: f64,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    pub quota_per_second: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReportField {
    Inflight,
    Waiting,
    Cpu,
    LatencyMs,
    ServedPerS,
    ErrorsPerS,
    MemoryGranted,
    DisksBusy,
    Unknown,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum LoadReporting {
    WithAnswers,
    ProbesOnly,
    #[default]
    Silent,
}

/// A window of time with what is let through in it.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    pub window: Nanos,
    pub free: f64,
    pub per_statement: f64,
}

/// The facts of one deployment, as handed to a gateway at its start.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    pub gateways: usize,
    pub me: usize,
    pub zone: u16,
    pub tick: Nanos,
    pub workloads: Vec<Workload>,
    pub kinds: Vec<EngineKind>,
    pub tenants: Vec<Tenant>,
    pub over_quota_priority_weight: f64,
    /// How many statements may be open at this gateway; what comes beyond never reaches it.
    pub max_open_statements: usize,
    pub report_fields: Vec<ReportField>,
    pub report_path: LoadReporting,
    pub progress_pace: Nanos,
    pub memory_heeded: bool,
    pub priority_heeded: bool,
    pub most_grant: f64,
    pub tells_cost: bool,
    pub must_ask_for_list: bool,
    pub must_ask_within: Nanos,
    pub may_probe: bool,
    pub may_withdraw: bool,
    pub may_publish: bool,
    pub come_back_heeded: bool,
    pub longest_come_back: Nanos,
    pub second_copies: bool,
    pub max_attempts: u32,
    pub drain_grace: Nanos,
    pub answer_grace: Nanos,
    pub cold_from: f64,
    pub warm_up: Nanos,
    pub overload_factor: f64,
    pub overload_window: Nanos,
    pub retry_budget: Option<RetryBudget>,
    pub key_rest: Option<Nanos>,
    pub wasted_work_price: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum EngineState {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One engine as the list has it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineEndpoint {
    pub engine: EngineIndex,
    /// The engine's id as a number, the same at every gateway.
    pub id: u64,
    pub zone: u16,
    pub kind: u16,
    pub cell: u16,
    pub phase: EngineState,
    pub weight: f64,
    /// 0: long ago.
    pub started_at: Nanos,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointUpdateKind {
    /// Changed rows only.
    Delta,
    /// Every row; an engine that is missing is gone.
    Full,
    /// Every row as last known, possibly out of date.
    Snapshot,
}

/// A statement as it comes in.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub workload: usize,
    /// 0: none.
    pub key: u64,
    pub table_group: u32,
    pub time_left: Nanos,
    pub is_repeat: bool,
    pub tenant: usize,
    /// 0: not estimated.
    pub estimated_mb: f64,
    /// Work of all its threads; 0: not estimated.
    pub estimated_work: Nanos,
}

/// What all gateways together say of an engine, where they talk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutlierStatus {
    /// Nothing is sent to it, but for trials.
    pub is_out: bool,
    /// This gateway is one of those that try it now.
    pub tries: bool,
    /// Others met it lately and it went well: own outcomes from before say nothing any more.
    pub is_well: bool,
}

/// One execution's outcome.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded<'a> {
    pub attempt: u32,
    pub engine: EngineIndex,
    pub outcome: Outcome,
    pub took: Nanos,
    /// The statement has its final answer, by this outcome or before.
    pub closed: bool,
    /// Work in ms and memory in MB, where answers tell them.
    pub true_cost: Option<(f64, f64)>,
    pub report: &'a [f32],
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AttemptProgress {
    FractionDone(f64),
    SpilledMb(f64),
    WaitingForMemory,
    WaitingForBulkLoad,
}

/// What the module may do. A call takes effect at the moment of the call that it answers.
pub trait Output {
    fn send(&mut self, stmt: StatementIndex, engine: EngineIndex, timeout: Nanos);
    fn cancel(&mut self, stmt: StatementIndex, attempt: u32);
    /// Memory (0: the engine's own choice) for the next send, and priority also for executions that are out.
    fn set_resources(&mut self, stmt: StatementIndex, grant_mb: f64, priority: u8);
    /// Final: the statement had no effect and may be tried again, after `retry_after` where that is above 0.
    fn reject(&mut self, stmt: StatementIndex, retry_after: Nanos);
    /// Final: no claim about effects.
    fn abort(&mut self, stmt: StatementIndex);
    /// The module has dropped the statement and its executions; the index may be given to another.
    fn forget(&mut self, stmt: StatementIndex);
    fn set_timer(&mut self, mark: u64, after: Nanos);
    fn request_load_report(&mut self, engine: EngineIndex);
    /// To every peer.
    fn broadcast(&mut self, bytes: &[u8]);
    fn watch_endpoints(&mut self);
    fn log(&mut self, line: &str);
}
