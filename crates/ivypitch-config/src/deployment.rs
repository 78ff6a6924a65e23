//! Converts the platform's settings to the scheduler's configuration and the names of its indices.

use crate::platform::{Contract, PlatformSettings, TenantSettings, WorkloadSettings};
use ivypitch_scheduler::{
    DeduplicationScope, Deployment, EngineKind, Idempotency, LoadReporting, ReportField,
    RetryBudget, Tenant, Workload,
};
use ivypitch_types::Nanos;
use thiserror::Error;

/// Why the platform's settings are rejected.
#[derive(Debug, Error)]
pub enum DeploymentError {
    /// The text is not JSON, or a key is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A workload has an unknown `effect`.
    #[error("unknown effect {0:?}")]
    UnknownEffect(String),
    /// A workload has an unknown `key-scope`.
    #[error("unknown key-scope {0:?}")]
    UnknownKeyScope(String),
}

/// Names from the settings. The position of a name in its list is the scheduler's index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Names of workloads.
    pub workloads: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of engine kinds.
    pub engine_kinds: Vec<String>,
    /// Names of the values of a load report, in the order of the report.
    pub report_fields: Vec<String>,
}

/// Limits on connections to engines, which the scheduler does not use; 0 means not stated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConnectionLimits {
    /// Timeout for opening a connection.
    pub connect_timeout: Nanos,
    /// Time after which engines close an idle connection.
    pub idle_timeout: Nanos,
}

/// The configuration of a deployment.
#[derive(Clone, Debug, Default)]
pub struct DeploymentConfig {
    /// Configuration of the scheduler.
    pub scheduler: Deployment,
    /// Names of the scheduler's indices.
    pub names: Names,
    /// Limits on connections to engines.
    pub connection_limits: ConnectionLimits,
}

/// Reads the platform's settings.
///
/// # Errors
///
/// The text is not JSON of the expected shape, or has an unknown effect or key scope.
pub fn read_deployment(text: &[u8]) -> Result<DeploymentConfig, DeploymentError> {
    let settings: PlatformSettings = serde_json::from_slice(text)?;
    Ok(DeploymentConfig {
        names: collect_names(&settings),
        connection_limits: ConnectionLimits {
            connect_timeout: settings.permissions.connect_timeout_ns,
            idle_timeout: settings.permissions.idle_timeout_ns,
        },
        scheduler: convert_deployment(&settings)?,
    })
}

fn collect_names(settings: &PlatformSettings) -> Names {
    Names {
        workloads: settings
            .workloads
            .iter()
            .map(|workload| workload.name.clone())
            .collect(),
        tenants: settings
            .tenants
            .iter()
            .map(|tenant| tenant.name.clone())
            .collect(),
        zones: settings.zones.clone(),
        engine_kinds: settings.engine_kinds.clone(),
        report_fields: settings.load_reports.fields.clone(),
    }
}

fn convert_deployment(settings: &PlatformSettings) -> Result<Deployment, DeploymentError> {
    let mut workloads = Vec::new();
    for (index, workload) in settings.workloads.iter().enumerate() {
        workloads.push(convert_workload(settings, index, workload)?);
    }
    let convert_tenant = |tenant: &TenantSettings| Tenant {
        quota_per_second: tenant.quota_per_second,
    };
    let fields = &settings.load_reports.fields;
    let extra = &settings.extra;
    let permissions = &settings.permissions;
    let contract = &settings.contract;
    Ok(Deployment {
        gateways: settings.gateways,
        member_index: settings.member_index,
        zone: settings.zone,
        tick: settings.tick_ns,
        workloads,
        engine_kinds: convert_engine_kinds(settings),
        tenants: settings.tenants.iter().map(convert_tenant).collect(),
        over_quota_priority_weight: settings.over_quota_priority_weight,
        max_open_statements: match permissions.max_open_statements {
            0 => usize::MAX,
            limit => limit,
        },
        report_fields: fields.iter().map(|name| parse_report_field(name)).collect(),
        load_reporting: match settings.load_reports.mode.as_str() {
            "piggyback" => LoadReporting::WithResults,
            "pull" => LoadReporting::OnRequest,
            _ => LoadReporting::None,
        },
        progress_interval: extra.progress_interval_ns,
        honors_memory_grants: extra.honors_memory_grants,
        honors_priorities: extra.honors_priorities,
        max_memory_grant_fraction: extra.max_memory_grant_fraction,
        reports_measured_cost: extra.reports_measured_cost,
        must_request_endpoints: settings.endpoint_list_mode == "on_request",
        endpoint_request_deadline: contract.endpoint_request_deadline_ns,
        can_request_load_reports: permissions.can_request_load_reports,
        can_cancel: permissions.can_cancel,
        can_broadcast: permissions.can_broadcast,
        honors_retry_after: permissions.honors_retry_after,
        max_retry_after: permissions.max_retry_after_ns,
        allows_hedged_requests: permissions.allows_hedged_requests,
        max_attempts: match permissions.max_attempts {
            0 => u32::MAX,
            limit => limit,
        },
        drain_grace: contract.drain_grace_ns,
        answer_grace: contract.answer_grace_ns,
        slow_start_initial_fraction: contract.slow_start_initial_fraction,
        slow_start_duration: contract.slow_start_duration_ns,
        overload_factor: contract.overload_factor,
        overload_window: contract.overload_window_ns,
        retry_budget: convert_retry_budget(contract),
        key_settle_time: contract.key_settle_time_ns,
        wasted_work_price_per_s: settings.prices.wasted_work,
    })
}

fn convert_workload(
    settings: &PlatformSettings,
    index: usize,
    workload: &WorkloadSettings,
) -> Result<Workload, DeploymentError> {
    let extra = &settings.extra;
    let flag_at_index = |list: &[bool]| list.get(index).copied().unwrap_or(false);
    Ok(Workload {
        latency_objective: workload.latency_objective_ns,
        latency_objective_stretch: workload.latency_objective_stretch,
        statement_timeout: workload.statement_timeout_ns,
        priority_weight: workload.priority_weight,
        idempotency: parse_idempotency(&workload.idempotency)?,
        deduplication_scope: parse_deduplication_scope(&workload.deduplication_scope)?,
        deduplication_window: workload.deduplication_window_ns,
        is_ordered_by_key: workload.is_ordered_by_key,
        allowed_zones: workload.allowed_zones.clone(),
        allowed_engine_kinds: workload.allowed_engine_kinds.clone(),
        threads: extra.threads.get(index).copied().unwrap_or(1.0),
        is_bulk_load: flag_at_index(&extra.are_bulk_loads),
        waits_for_bulk_loads: flag_at_index(&extra.wait_for_bulk_loads),
    })
}

fn parse_idempotency(effect: &str) -> Result<Idempotency, DeploymentError> {
    match effect {
        "safe" => Ok(Idempotency::Idempotent),
        "keyed" => Ok(Idempotency::IdempotentWithKey),
        "unsafe" => Ok(Idempotency::NonIdempotent),
        other => Err(DeploymentError::UnknownEffect(other.to_owned())),
    }
}

fn parse_deduplication_scope(key_scope: &str) -> Result<DeduplicationScope, DeploymentError> {
    match key_scope {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" | "" => Ok(DeduplicationScope::Cell),
        other => Err(DeploymentError::UnknownKeyScope(other.to_owned())),
    }
}

/// The settings may list more core counts than names of kinds, or fewer: the longer list counts.
fn convert_engine_kinds(settings: &PlatformSettings) -> Vec<EngineKind> {
    let extra = &settings.extra;
    let count = settings.engine_kinds.len().max(extra.cores_by_kind.len());
    let value_or_zero = |list: &[f64], kind: usize| list.get(kind).copied().unwrap_or(0.0);
    (0..count)
        .map(|kind| EngineKind {
            cores: value_or_zero(&extra.cores_by_kind, kind),
            memory_mb: value_or_zero(&extra.memory_mb_by_kind, kind),
        })
        .collect()
}

fn parse_report_field(name: &str) -> ReportField {
    match name {
        "active" => ReportField::InFlightAttempts,
        "waiting" => ReportField::WaitingAttempts,
        "cpu" => ReportField::CpuUtilization,
        "avg_ms" => ReportField::MeanLatencyMs,
        "rps" => ReportField::CompletedPerSecond,
        "err_rps" => ReportField::FailedPerSecond,
        "x0" => ReportField::GrantedMemoryFraction,
        "x1" => ReportField::DiskUtilization,
        _ => ReportField::Unknown,
    }
}

fn convert_retry_budget(contract: &Contract) -> Option<RetryBudget> {
    let window = contract.retry_window_ns?;
    Some(RetryBudget {
        window,
        base: contract.retry_budget_base.unwrap_or(0.0),
        per_statement: contract.retries_per_statement.unwrap_or(0.0),
    })
}

/// Returns the scheduler's index of a table group from its number on the wire.
pub fn table_group_index(number: f32) -> u32 {
    number.to_bits()
}

/// Returns an estimate of memory in MB, with 0 (not given) for negative and non-finite values.
pub fn sanitize_memory_estimate_mb(mb: f32) -> f64 {
    if mb.is_finite() {
        f64::from(mb).max(0.0)
    } else {
        0.0
    }
}
