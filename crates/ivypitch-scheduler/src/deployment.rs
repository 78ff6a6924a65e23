//! The configuration of one deployment, passed to a scheduler at its start and constant from then
//! on.

use crate::events::EngineEndpoint;
use ivypitch_types::Nanos;

/// The effect of running a statement twice.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    /// A second run has no further effect.
    Idempotent,
    /// Engines discard repeats with the same idempotency key within a deduplication scope and
    /// window.
    IdempotentWithKey,
    /// A second run has a further effect.
    NonIdempotent,
}

/// The engines that recognize repeats of a statement with an idempotency key.
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
    /// Multiple of a statement's work, divided by its threads, that is added to the latency
    /// objective.
    pub latency_objective_stretch: f64,
    /// Longest time that a statement may stay open.
    pub statement_timeout: Nanos,
    /// Value of a statement that completes in time, relative to other workloads.
    pub priority_weight: f64,
    /// The effect of running a statement twice.
    pub idempotency: Idempotency,
    /// The engines that recognize repeats by their idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// Time after the first attempt within which engines recognize repeats.
    pub deduplication_window: Nanos,
    /// Whether statements with the same key run one at a time, in order of arrival.
    pub is_ordered_by_key: bool,
    /// Zones whose engines may run the workload; `None`: all.
    pub allowed_zones: Option<Vec<u16>>,
    /// Engine kinds that may run the workload; `None`: all.
    pub allowed_engine_kinds: Option<Vec<u16>>,
    /// Number of threads that a statement occupies on its engine.
    pub threads: f64,
    /// Whether a statement locks its table group on its engine while it runs.
    pub is_bulk_load: bool,
    /// Whether a statement stalls while a bulk load locks its table group on its engine.
    pub waits_for_bulk_loads: bool,
}

impl Workload {
    /// Whether the placement constraints allow the engine.
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
    /// Number of processor cores; values below 1 count as 1.
    pub cores: f64,
    /// Memory available to statements, in MB.
    pub memory_mb: f64,
}

/// A tenant's fleet-wide quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Statements per second; statements beyond the quota get a lower priority.
    pub quota_per_second: f64,
}

/// The meaning of one value in an engine's load report.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReportField {
    /// Attempts of all gateways that run on the engine.
    InFlightAttempts,
    /// Attempts that wait on the engine.
    WaitingAttempts,
    /// Processor utilization, 0 to 1.
    CpuUtilization,
    /// Mean latency in milliseconds.
    MeanLatencyMs,
    /// Completed attempts per second.
    CompletedPerSecond,
    /// Failed attempts per second.
    FailedPerSecond,
    /// Granted fraction of the engine's memory, 0 to 1.
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
    /// Only in reply to a request.
    OnRequest,
    /// There are no load reports.
    #[default]
    None,
}

/// Limit on retries: `base + per_statement * arrived_statements` within a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Length of the sliding window.
    pub window: Nanos,
    /// Retries that are allowed regardless of traffic.
    pub base: f64,
    /// Additional retries allowed per statement that arrived within the window.
    pub per_statement: f64,
}

/// The configuration of one deployment.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Number of gateways in the fleet; 0 counts as 1.
    pub gateways: usize,
    /// Index of this gateway in the fleet, below `gateways`.
    pub member_index: usize,
    /// Zone of this gateway.
    pub zone: u16,
    /// Resolution of the host's clock and timers.
    pub tick: Nanos,
    /// Workloads, in the order of their indices.
    pub workloads: Vec<Workload>,
    /// Engine kinds, in the order of their indices.
    pub engine_kinds: Vec<EngineKind>,
    /// Tenants, in the order of their indices.
    pub tenants: Vec<Tenant>,
    /// Factor on the priority weight of statements beyond their tenant's quota.
    pub over_quota_priority_weight: f64,
    /// Number of statements that the host can hold open; further ones never reach the scheduler.
    pub max_open_statements: usize,
    /// Meanings of the values of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// How load reports reach this gateway.
    pub load_reporting: LoadReporting,
    /// Interval at which engines report an attempt's progress; 0: never.
    pub progress_interval: Nanos,
    /// Whether engines honor the memory grant of
    /// [`Output::set_resources`](crate::Output::set_resources).
    pub honors_memory_grants: bool,
    /// Whether engines honor the priority of
    /// [`Output::set_resources`](crate::Output::set_resources).
    pub honors_priorities: bool,
    /// Largest memory grant, as a fraction of an engine's memory.
    pub max_memory_grant_fraction: f64,
    /// Whether results carry the measured work and memory of an attempt.
    pub reports_measured_cost: bool,
    /// Whether endpoints must be requested; otherwise the host delivers them unasked.
    pub must_request_endpoints: bool,
    /// Where endpoints must be requested: time after which a gateway that has not requested them
    /// counts as notified.
    pub endpoint_request_deadline: Nanos,
    /// Whether load reports may be requested.
    pub can_request_load_reports: bool,
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether messages to the other gateways are possible.
    pub can_broadcast: bool,
    /// Whether clients honor the retry-after of a rejection.
    pub honors_retry_after: bool,
    /// Longest retry-after that clients honor.
    pub max_retry_after: Nanos,
    /// Whether two attempts of a statement may run at the same time.
    pub allows_hedged_requests: bool,
    /// Attempts per statement, including the first.
    pub max_attempts: u32,
    /// Time after the notification within which sends to a draining or removed engine must stop.
    pub drain_grace: Nanos,
    /// Time past the client's deadline within which a final answer still counts.
    pub answer_grace: Nanos,
    /// Fraction of its full capacity that an engine has when it starts.
    pub slow_start_initial_fraction: f64,
    /// Time from an engine's start until it has its full capacity.
    pub slow_start_duration: Nanos,
    /// Multiple of its current capacity that overloads an engine if sent to it within
    /// `overload_window`.
    pub overload_factor: f64,
    /// Window over which the work sent to an engine is compared with `overload_factor`.
    pub overload_window: Nanos,
    /// Limit on retries by contract; `None`: no limit.
    pub retry_budget: Option<RetryBudget>,
    /// Time for which the statements of a key wait after an attempt whose effect is unknown.
    pub key_settle_time: Option<Nanos>,
    /// Price of a second of wasted work, relative to the value of a completed statement.
    pub wasted_work_price_per_s: f64,
}
