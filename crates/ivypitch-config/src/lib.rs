//! The JSON of a deployment's settings, read into the module's facts for both of its hosts. Unknown keys are
//! passed over; what is missing takes the value that stands for "not there".

pub mod operator;
pub mod schema;

use ivypitch_scheduler::*;
use ivypitch_types::*;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Options {
    #[serde(default = "one")]
    balancers: usize,
    #[serde(default)]
    me: usize,
    #[serde(default)]
    zone: u16,
    #[serde(default = "five_ms")]
    tick_ns: u64,
    categories: Vec<Category>,
    #[serde(default)]
    host_types: Vec<String>,
    #[serde(default, rename = "customers")]
    tenants: Vec<TenantSettings>,
    #[serde(default = "unit")]
    over_share_worth: f64,
    #[serde(default)]
    extra: Extra,
    #[serde(default)]
    load_info: LoadInfo,
    #[serde(default)]
    permissions: Permissions,
    contract: Contract,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    registry_mode: String,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Category {
    #[serde(default)]
    name: String,
    goal_time_ns: u64,
    #[serde(default)]
    aim_stretch: f64,
    give_up_ns: u64,
    #[serde(default = "unit")]
    worth: f64,
    effect: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    window_ns: u64,
    #[serde(default)]
    keep_order: bool,
    zones_allowed: Option<Vec<u16>>,
    host_types_allowed: Option<Vec<u16>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct TenantSettings {
    #[serde(default)]
    name: String,
    #[serde(default, rename = "allowance-per-s")]
    quota_per_second: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Extra {
    cores_by_kind: Vec<f64>,
    size_mb: Vec<f64>,
    dop: Vec<f64>,
    loads: Vec<bool>,
    yields_to_loads: Vec<bool>,
    memory_heeded: bool,
    ranks_heeded: bool,
    most_grant: f64,
    progress_pace_ns: u64,
    tells_cost: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct LoadInfo {
    fields: Vec<String>,
    how: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Permissions {
    may_cancel: bool,
    may_probe: bool,
    peers: bool,
    retry_after: bool,
    second_copies: bool,
    max_attempts: u32,
    max_retry_after_ns: u64,
    connect_timeout_ns: u64,
    idle_close_ns: u64,
    #[serde(rename = "most-held")]
    max_open_statements: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Contract {
    #[serde(default)]
    grace_to_answer_ns: u64,
    #[serde(default)]
    must_ask_in_ns: u64,
    budget_free: Option<f64>,
    repeat_ratio: Option<f64>,
    resend_span_ns: Option<u64>,
    #[serde(default = "unit")]
    cold_from: f64,
    #[serde(default)]
    warm_up_ns: u64,
    #[serde(default)]
    drain_grace_ns: u64,
    #[serde(default = "unit")]
    overload_factor: f64,
    #[serde(default)]
    tip_after_ns: u64,
    settle_after_doubt_ns: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Prices {
    waste: f64,
}

fn one() -> usize {
    1
}
fn unit() -> f64 {
    1.0
}
fn five_ms() -> u64 {
    5_000_000
}

/// What the settings call things; the position of a name is the module's index of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub workloads: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report_fields: Vec<String>,
}

/// Limits that concern connections and no decision; 0: not stated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    pub connect_timeout: Nanos,
    pub idle_close: Nanos,
}

#[derive(Clone, Debug, Default)]
pub struct DeploymentConfig {
    pub facts: Deployment,
    pub names: Names,
    pub limits: Limits,
}

/// The number of a table group as the module holds it.
pub fn table_group(number: f32) -> u32 {
    number.to_bits()
}

/// An estimate of memory in MB; what is no number counts as not given.
pub fn estimated_mb(mb: f32) -> f64 {
    if mb.is_finite() {
        f64::from(mb).max(0.0)
    } else {
        0.0
    }
}

pub fn read(text: &[u8]) -> Result<DeploymentConfig, String> {
    let options: Options = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let names = Names {
        workloads: options.categories.iter().map(|c| c.name.clone()).collect(),
        tenants: options.tenants.iter().map(|c| c.name.clone()).collect(),
        zones: options.zones.clone(),
        kinds: options.host_types.clone(),
        report_fields: options.load_info.fields.clone(),
    };
    let limits = Limits {
        connect_timeout: options.permissions.connect_timeout_ns,
        idle_close: options.permissions.idle_close_ns,
    };
    let extra = &options.extra;
    let at = |list: &Vec<bool>, i: usize| list.get(i).copied().unwrap_or(false);
    let mut workloads = Vec::new();
    for (i, c) in options.categories.into_iter().enumerate() {
        workloads.push(Workload {
            latency_objective: c.goal_time_ns,
            latency_objective_stretch: c.aim_stretch,
            statement_timeout: c.give_up_ns,
            priority_weight: c.worth,
            idempotency: match c.effect.as_str() {
                "safe" => Idempotency::Idempotent,
                "keyed" => Idempotency::IdempotentWithKey,
                "unsafe" => Idempotency::NonIdempotent,
                other => return Err(format!("unknown effect {other:?}")),
            },
            deduplication_scope: match c.key_scope.as_str() {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" | "" => DeduplicationScope::Cell,
                other => return Err(format!("unknown key-scope {other:?}")),
            },
            deduplication_window: c.window_ns,
            is_ordered_by_key: c.keep_order,
            allowed_zones: c.zones_allowed,
            allowed_engine_kinds: c.host_types_allowed,
            threads: extra.dop.get(i).copied().unwrap_or(1.0),
            is_bulk_load: at(&extra.loads, i),
            waits_for_bulk_loads: at(&extra.yields_to_loads, i),
        });
    }
    let number_of_kinds = options.host_types.len().max(extra.cores_by_kind.len());
    let kind = |i: usize| EngineKind {
        cores: extra.cores_by_kind.get(i).copied().unwrap_or(0.0),
        memory_mb: extra.size_mb.get(i).copied().unwrap_or(0.0),
    };
    let field = |name: &String| match name.as_str() {
        "active" => ReportField::Inflight,
        "waiting" => ReportField::Waiting,
        "cpu" => ReportField::Cpu,
        "avg_ms" => ReportField::LatencyMs,
        "rps" => ReportField::ServedPerS,
        "err_rps" => ReportField::ErrorsPerS,
        "x0" => ReportField::MemoryGranted,
        "x1" => ReportField::DisksBusy,
        _ => ReportField::Unknown,
    };
    let contract = &options.contract;
    let may = &options.permissions;
    let facts = Deployment {
        gateways: options.balancers,
        member_index: options.me,
        zone: options.zone,
        tick: options.tick_ns,
        workloads,
        kinds: (0..number_of_kinds).map(kind).collect(),
        tenants: options
            .tenants
            .iter()
            .map(|c| Tenant {
                quota_per_second: c.quota_per_second,
            })
            .collect(),
        over_quota_priority_weight: options.over_share_worth,
        max_open_statements: if options.permissions.max_open_statements == 0 {
            usize::MAX
        } else {
            options.permissions.max_open_statements
        },
        report_fields: options.load_info.fields.iter().map(field).collect(),
        load_reporting: match options.load_info.how.as_str() {
            "piggyback" => LoadReporting::WithResults,
            "pull" => LoadReporting::OnRequest,
            _ => LoadReporting::None,
        },
        progress_interval: extra.progress_pace_ns,
        honors_memory_grants: extra.memory_heeded,
        honors_priorities: extra.ranks_heeded,
        max_memory_grant_fraction: extra.most_grant,
        reports_true_cost: extra.tells_cost,
        must_request_endpoints: options.registry_mode == "on_request",
        endpoint_request_deadline: contract.must_ask_in_ns,
        can_request_load_reports: may.may_probe,
        can_cancel: may.may_cancel,
        can_broadcast: may.peers,
        honors_retry_after: may.retry_after,
        max_retry_after: may.max_retry_after_ns,
        allows_hedged_requests: may.second_copies,
        max_attempts: if may.max_attempts == 0 {
            u32::MAX
        } else {
            may.max_attempts
        },
        drain_grace: contract.drain_grace_ns,
        answer_grace: contract.grace_to_answer_ns,
        slow_start_initial_fraction: contract.cold_from,
        slow_start_duration: contract.warm_up_ns,
        overload_factor: contract.overload_factor,
        overload_window: contract.tip_after_ns,
        retry_budget: contract.resend_span_ns.map(|window| RetryBudget {
            window,
            base: contract.budget_free.unwrap_or(0.0),
            per_statement: contract.repeat_ratio.unwrap_or(0.0),
        }),
        key_settle_time: contract.settle_after_doubt_ns,
        wasted_work_price: options.prices.waste,
    };
    Ok(DeploymentConfig {
        facts,
        names,
        limits,
    })
}
