//! The platform's settings as the scheduler's configuration, with the names that its indices stand for.

use crate::platform::{Contract, PlatformSettings, TenantSettings, WorkloadSettings};
use ivypitch_scheduler::{
    DeduplicationScope, Deployment, EngineKind, Idempotency, LoadReporting, ReportField,
    RetryBudget, Tenant, Workload,
};
use ivypitch_types::Nanos;
use thiserror::Error;

/// The platform's settings cannot be used.
#[derive(Debug, Error)]
pub enum DeploymentError {
    /// They are no JSON, or a key is missing or of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A workload's `effect` is not known.
    #[error("unknown effect {0:?}")]
    UnknownEffect(String),
    /// A workload's `key-scope` is not known.
    #[error("unknown key-scope {0:?}")]
    UnknownKeyScope(String),
}

/// What the settings call things. The position of a name is the scheduler's index of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Workloads.
    pub workloads: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Engine kinds.
    pub engine_kinds: Vec<String>,
    /// Values of a load report.
    pub report_fields: Vec<String>,
}

/// Limits that concern connections and no decision; 0: not stated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConnectionLimits {
    /// Time within which a connection to an engine must open.
    pub connect_timeout: Nanos,
    /// Time after which engines close an idle connection.
    pub idle_timeout: Nanos,
}

/// A deployment's configuration.
#[derive(Clone, Debug, Default)]
pub struct DeploymentConfig {
    /// What the scheduler starts with.
    pub scheduler: Deployment,
    /// The names that its indices stand for.
    pub names: Names,
    /// Limits on connections to engines.
    pub connection_limits: ConnectionLimits,
}

/// Reads the platform's settings.
///
/// # Errors
///
/// The text is no JSON of the expected shape, or names an effect or a key scope that is not known.
pub fn read_deployment(text: &[u8]) -> Result<DeploymentConfig, DeploymentError> {
    let settings: PlatformSettings = serde_json::from_slice(text)?;
    Ok(DeploymentConfig {
        names: names(&settings),
        connection_limits: ConnectionLimits {
            connect_timeout: settings.permissions.connect_timeout_ns,
            idle_timeout: settings.permissions.idle_timeout_ns,
        },
        scheduler: deployment(&settings)?,
    })
}

fn names(settings: &PlatformSettings) -> Names {
    Names {
        workloads: settings.workloads.iter().map(|w| w.name.clone()).collect(),
        tenants: settings.tenants.iter().map(|t| t.name.clone()).collect(),
        zones: settings.zones.clone(),
        engine_kinds: settings.engine_kinds.clone(),
        report_fields: settings.load_reports.fields.clone(),
    }
}

fn deployment(settings: &PlatformSettings) -> Result<Deployment, DeploymentError> {
    let mut workloads = Vec::new();
    for (index, workload) in settings.workloads.iter().enumerate() {
        workloads.push(read_workload(settings, index, workload)?);
    }
    let tenant = |tenant: &TenantSettings| Tenant {
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
        engine_kinds: engine_kinds(settings),
        tenants: settings.tenants.iter().map(tenant).collect(),
        over_quota_priority_weight: settings.over_quota_priority_weight,
        max_open_statements: match permissions.max_open_statements {
            0 => usize::MAX,
            stated => stated,
        },
        report_fields: fields.iter().map(|name| report_field(name)).collect(),
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
            stated => stated,
        },
        drain_grace: contract.drain_grace_ns,
        answer_grace: contract.answer_grace_ns,
        slow_start_initial_fraction: contract.slow_start_initial_fraction,
        slow_start_duration: contract.slow_start_duration_ns,
        overload_factor: contract.overload_factor,
        overload_window: contract.overload_window_ns,
        retry_budget: retry_budget(contract),
        key_settle_time: contract.key_settle_time_ns,
        wasted_work_price_per_s: settings.prices.wasted_work,
    })
}

fn read_workload(
    settings: &PlatformSettings,
    index: usize,
    workload: &WorkloadSettings,
) -> Result<Workload, DeploymentError> {
    let extra = &settings.extra;
    let flag = |list: &[bool]| list.get(index).copied().unwrap_or(false);
    Ok(Workload {
        latency_objective: workload.latency_objective_ns,
        latency_objective_stretch: workload.latency_objective_stretch,
        statement_timeout: workload.statement_timeout_ns,
        priority_weight: workload.priority_weight,
        idempotency: idempotency(&workload.idempotency)?,
        deduplication_scope: deduplication_scope(&workload.deduplication_scope)?,
        deduplication_window: workload.deduplication_window_ns,
        is_ordered_by_key: workload.is_ordered_by_key,
        allowed_zones: workload.allowed_zones.clone(),
        allowed_engine_kinds: workload.allowed_engine_kinds.clone(),
        threads: extra.threads.get(index).copied().unwrap_or(1.0),
        is_bulk_load: flag(&extra.are_bulk_loads),
        waits_for_bulk_loads: flag(&extra.wait_for_bulk_loads),
    })
}

fn idempotency(effect: &str) -> Result<Idempotency, DeploymentError> {
    match effect {
        "safe" => Ok(Idempotency::Idempotent),
        "keyed" => Ok(Idempotency::IdempotentWithKey),
        "unsafe" => Ok(Idempotency::NonIdempotent),
        other => Err(DeploymentError::UnknownEffect(other.to_owned())),
    }
}

fn deduplication_scope(key_scope: &str) -> Result<DeduplicationScope, DeploymentError> {
    match key_scope {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" | "" => Ok(DeduplicationScope::Cell),
        other => Err(DeploymentError::UnknownKeyScope(other.to_owned())),
    }
}

/// As many as are named or have cores.
fn engine_kinds(settings: &PlatformSettings) -> Vec<EngineKind> {
    let extra = &settings.extra;
    let count = settings.engine_kinds.len().max(extra.cores_by_kind.len());
    let value = |list: &[f64], kind: usize| list.get(kind).copied().unwrap_or(0.0);
    (0..count)
        .map(|kind| EngineKind {
            cores: value(&extra.cores_by_kind, kind),
            memory_mb: value(&extra.memory_mb_by_kind, kind),
        })
        .collect()
}

fn report_field(name: &str) -> ReportField {
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

fn retry_budget(contract: &Contract) -> Option<RetryBudget> {
    let window = contract.retry_window_ns?;
    Some(RetryBudget {
        window,
        base: contract.retry_budget_base.unwrap_or(0.0),
        per_statement: contract.retries_per_statement.unwrap_or(0.0),
    })
}

/// A table group's number on a wire as the scheduler's index of it.
pub fn table_group_index(number: f32) -> u32 {
    number.to_bits()
}

/// An estimate of memory in MB; what is no number counts as not given.
pub fn sanitize_memory_estimate_mb(mb: f32) -> f64 {
    if mb.is_finite() {
        f64::from(mb).max(0.0)
    } else {
        0.0
    }
}
