//! The configuration of one deployment, as handed to a scheduler at its start. It never changes afterwards.

use crate::events::EngineEndpoint;
use ivypitch_types::Nanos;

/// What running a statement twice does.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    /// A second run has no further effect.
    Idempotent,
    /// Engines drop repeats that carry the same idempotency key, within a scope and a window of time.
    IdempotentWithKey,
    /// A second run has a second effect.
    NonIdempotent,
}

/// Which engines recognize the repeats of a statement with an idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DeduplicationScope {
    /// Every engine.
    All,
    /// The engines in the zone of the first attempt.
    Zone,
    /// The engines in the cell of the first attempt.
    Cell,
}

/// A class of statements with common objectives and placement.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Time within which a statement of negligible work should complete.
    pub latency_objective: Nanos,
    /// The latency objective grows by this multiple of a statement's work divided by its threads.
    pub latency_objective_stretch: f64,
    /// Longest time that a statement may stay open.
    pub statement_timeout: Nanos,
    /// What a statement completed in time is worth, relative to other workloads.
    pub priority_weight: f64,
    /// What running a statement twice does.
    pub idempotency: Idempotency,
    /// Which engines recognize repeats by their idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// How long after the first attempt engines recognize repeats.
    pub deduplication_window: Nanos,
    /// Statements with the same key run one at a time, in the order of their arrival.
    pub is_ordered_by_key: bool,
    /// Zones whose engines may run the workload; `None`: all.
    pub allowed_zones: Option<Vec<u16>>,
    /// Engine kinds that may run the workload; `None`: all.
    pub allowed_engine_kinds: Option<Vec<u16>>,
    /// Threads that a statement occupies on its engine.
    pub threads: f64,
    /// A statement locks its table group on its engine while it runs.
    pub is_bulk_load: bool,
    /// A statement stalls while a bulk load locks its table group on its engine.
    pub waits_for_bulk_loads: bool,
}

impl Workload {
    /// Whether placement constraints allow the engine.
    pub(crate) fn allows(&self, endpoint: &EngineEndpoint) -> bool {
        let is_allowed = |allowed: &Option<Vec<u16>>, value: u16| {
            allowed.as_ref().is_none_or(|list| list.contains(&value))
        };
        is_allowed(&self.allowed_zones, endpoint.zone)
            && is_allowed(&self.allowed_engine_kinds, endpoint.kind)
    }
}

/// A hardware configuration of engines.
#[derive(Clone, Debug)]
pub struct EngineKind {
    /// Processor cores; values below 1 count as 1.
    pub cores: f64,
    /// Memory for statements, in MB.
    pub memory_mb: f64,
}

/// A tenant's quota over the whole fleet of gateways.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Statements a second; those beyond get a lower priority.
    pub quota_per_second: f64,
}

/// What one value of an engine's load report means.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReportField {
    /// Attempts that run on the engine, of all gateways.
    InFlightAttempts,
    /// Attempts that wait on the engine.
    WaitingAttempts,
    /// Processor utilization, 0 to 1.
    CpuUtilization,
    /// Mean latency in milliseconds.
    MeanLatencyMs,
    /// Completed attempts a second.
    CompletedPerSecond,
    /// Failed attempts a second.
    FailedPerSecond,
    /// Part of the memory that is granted, 0 to 1.
    GrantedMemoryFraction,
    /// Disk utilization, 0 to 1.
    DiskUtilization,
    /// A field that this version does not know.
    Unknown,
}

/// How load reports reach a gateway.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum LoadReporting {
    /// With the result of each attempt.
    WithResults,
    /// Only as the reply to a request.
    OnRequest,
    /// Not at all.
    #[default]
    None,
}

/// Limit on retries: `base + per_statement * statements` within each window of time.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Length of the sliding window.
    pub window: Nanos,
    /// Retries that are allowed whatever the traffic.
    pub base: f64,
    /// Further retries for each statement that arrived within the window.
    pub per_statement: f64,
}

/// The configuration of one deployment.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Number of gateways in the fleet; 0 counts as 1.
    pub gateways: usize,
    /// Position of this gateway in the fleet, below `gateways`.
    pub member_index: usize,
    /// Zone of this gateway.
    pub zone: u16,
    /// Resolution of the host's clock and timers.
    pub tick: Nanos,
    /// Workloads, by index.
    pub workloads: Vec<Workload>,
    /// Engine kinds, by index.
    pub engine_kinds: Vec<EngineKind>,
    /// Tenants, by index.
    pub tenants: Vec<Tenant>,
    /// Factor on the priority weight of statements beyond their tenant's quota.
    pub over_quota_priority_weight: f64,
    /// How many statements the host can hold open; those beyond never reach the scheduler.
    pub max_open_statements: usize,
    /// What the values of a load report mean, in order.
    pub report_fields: Vec<ReportField>,
    /// How load reports reach this gateway.
    pub load_reporting: LoadReporting,
    /// Interval at which engines report an attempt's progress; 0: never.
    pub progress_interval: Nanos,
    /// Engines honor the memory grant of [`Output::set_resources`](crate::Output::set_resources).
    pub honors_memory_grants: bool,
    /// Engines honor the priority of [`Output::set_resources`](crate::Output::set_resources).
    pub honors_priorities: bool,
    /// Largest memory grant, as a part of an engine's memory.
    pub max_memory_grant_fraction: f64,
    /// Results tell the true work and memory of an attempt.
    pub reports_measured_cost: bool,
    /// Endpoints must be watched by request; else the host delivers them unasked.
    pub must_request_endpoints: bool,
    /// Where endpoints must be requested: a gateway that has not done so for this long counts as notified.
    pub endpoint_request_deadline: Nanos,
    /// Load reports may be requested.
    pub can_request_load_reports: bool,
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// Messages to the other gateways are possible.
    pub can_broadcast: bool,
    /// Clients honor the retry-after of a rejection.
    pub honors_retry_after: bool,
    /// Longest retry-after that clients honor.
    pub max_retry_after: Nanos,
    /// Two attempts of a statement may run at once.
    pub allows_hedged_requests: bool,
    /// Attempts per statement, the first included.
    pub max_attempts: u32,
    /// Time after the notification within which sends to a draining or gone engine must cease.
    pub drain_grace: Nanos,
    /// Time past the client's deadline in which a final answer still counts.
    pub answer_grace: Nanos,
    /// Part of its capacity that an engine has as it starts.
    pub slow_start_initial_fraction: f64,
    /// Time after which a started engine has its full capacity.
    pub slow_start_duration: Nanos,
    /// An engine is overloaded by this multiple of its current capacity ...
    pub overload_factor: f64,
    /// ... sent to it for this long.
    pub overload_window: Nanos,
    /// Limit on retries by contract; `None`: none.
    pub retry_budget: Option<RetryBudget>,
    /// How long a key rests after an attempt whose effect is unknown.
    pub key_settle_time: Option<Nanos>,
    /// Cost of a second of wasted work, relative to a completed statement.
    pub wasted_work_price_per_s: f64,
}
