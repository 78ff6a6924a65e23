//! The JSON form of the platform's settings of a deployment.
//!
//! The keys are the platform's; the fields use the terms of this code. Unknown keys are ignored.
//! A missing optional key takes the value that means "not stated".

use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct PlatformSettings {
    #[serde(rename = "balancers", default = "one_gateway")]
    pub gateways: usize,
    #[serde(rename = "me", default)]
    pub member_index: usize,
    #[serde(default)]
    pub zone: u16,
    #[serde(default = "default_tick_ns")]
    pub tick_ns: u64,
    #[serde(rename = "categories")]
    pub workloads: Vec<WorkloadSettings>,
    #[serde(rename = "host-types", default)]
    pub engine_kinds: Vec<String>,
    #[serde(rename = "customers", default)]
    pub tenants: Vec<TenantSettings>,
    #[serde(rename = "over-share-worth", default = "full")]
    pub over_quota_priority_weight: f64,
    #[serde(default)]
    pub extra: ExtraSettings,
    #[serde(rename = "load-info", default)]
    pub load_reports: LoadReportSettings,
    #[serde(default)]
    pub permissions: Permissions,
    pub contract: Contract,
    #[serde(default)]
    pub prices: Prices,
    #[serde(rename = "registry-mode", default)]
    pub endpoint_list_mode: String,
    #[serde(default)]
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct WorkloadSettings {
    #[serde(default)]
    pub name: String,
    #[serde(rename = "goal-time-ns")]
    pub latency_objective_ns: u64,
    #[serde(rename = "aim-stretch", default)]
    pub latency_objective_stretch: f64,
    #[serde(rename = "give-up-ns")]
    pub statement_timeout_ns: u64,
    #[serde(rename = "worth", default = "full")]
    pub priority_weight: f64,
    #[serde(rename = "effect")]
    pub idempotency: String,
    #[serde(rename = "key-scope", default)]
    pub deduplication_scope: String,
    #[serde(rename = "window-ns", default)]
    pub deduplication_window_ns: u64,
    #[serde(rename = "keep-order", default)]
    pub is_ordered_by_key: bool,
    #[serde(rename = "zones-allowed")]
    pub allowed_zones: Option<Vec<u16>>,
    #[serde(rename = "host-types-allowed")]
    pub allowed_engine_kinds: Option<Vec<u16>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct TenantSettings {
    #[serde(default)]
    pub name: String,
    #[serde(rename = "allowance-per-s", default)]
    pub quota_per_second: f64,
}

/// Properties of engines and workloads; each list is indexed by workload or by engine kind.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct ExtraSettings {
    pub cores_by_kind: Vec<f64>,
    #[serde(rename = "size-mb")]
    pub memory_mb_by_kind: Vec<f64>,
    #[serde(rename = "dop")]
    pub threads: Vec<f64>,
    #[serde(rename = "loads")]
    pub are_bulk_loads: Vec<bool>,
    #[serde(rename = "yields-to-loads")]
    pub wait_for_bulk_loads: Vec<bool>,
    #[serde(rename = "memory-heeded")]
    pub honors_memory_grants: bool,
    #[serde(rename = "ranks-heeded")]
    pub honors_priorities: bool,
    #[serde(rename = "most-grant")]
    pub max_memory_grant_fraction: f64,
    #[serde(rename = "progress-pace-ns")]
    pub progress_interval_ns: u64,
    #[serde(rename = "tells-cost")]
    pub reports_measured_cost: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct LoadReportSettings {
    pub fields: Vec<String>,
    #[serde(rename = "how")]
    pub mode: String,
}

/// Actions that the platform allows; a limit of 0 means none.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct Permissions {
    #[serde(rename = "may-cancel")]
    pub can_cancel: bool,
    #[serde(rename = "may-probe")]
    pub can_request_load_reports: bool,
    #[serde(rename = "peers")]
    pub can_broadcast: bool,
    #[serde(rename = "retry-after")]
    pub honors_retry_after: bool,
    #[serde(rename = "second-copies")]
    pub allows_hedged_requests: bool,
    pub max_attempts: u32,
    pub max_retry_after_ns: u64,
    pub connect_timeout_ns: u64,
    #[serde(rename = "idle-close-ns")]
    pub idle_timeout_ns: u64,
    #[serde(rename = "most-held")]
    pub max_open_statements: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Contract {
    #[serde(rename = "grace-to-answer-ns", default)]
    pub answer_grace_ns: u64,
    #[serde(rename = "must-ask-in-ns", default)]
    pub endpoint_request_deadline_ns: u64,
    #[serde(rename = "budget-free")]
    pub retry_budget_base: Option<f64>,
    #[serde(rename = "repeat-ratio")]
    pub retries_per_statement: Option<f64>,
    #[serde(rename = "resend-span-ns")]
    pub retry_window_ns: Option<u64>,
    #[serde(rename = "cold-from", default = "full")]
    pub slow_start_initial_fraction: f64,
    #[serde(rename = "warm-up-ns", default)]
    pub slow_start_duration_ns: u64,
    #[serde(default)]
    pub drain_grace_ns: u64,
    #[serde(default = "full")]
    pub overload_factor: f64,
    #[serde(rename = "tip-after-ns", default)]
    pub overload_window_ns: u64,
    #[serde(rename = "settle-after-doubt-ns")]
    pub key_settle_time_ns: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct Prices {
    #[serde(rename = "waste")]
    pub wasted_work: f64,
}

fn one_gateway() -> usize {
    1
}

fn full() -> f64 {
    1.0
}

fn default_tick_ns() -> u64 {
    5_000_000
}
