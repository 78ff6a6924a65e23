//! The default deployment of the scenarios, and the values of their steps.

use super::fields::Fields;
use ivypitch_scheduler::{
    Arrival, DeduplicationScope, Deployment, EngineEndpoint, EngineState, Idempotency,
    OutlierStatus, ReportField, RetryBudget, Workload,
};
use ivypitch_types::{EngineIndex, MILLISECOND, Outcome, SECOND};

pub fn deployment(member_index: usize) -> Deployment {
    Deployment {
        gateways: 1,
        member_index,
        tick: 5 * MILLISECOND,
        over_quota_priority_weight: 0.1,
        max_open_statements: usize::MAX,
        report_fields: vec![ReportField::InFlightAttempts, ReportField::CpuUtilization],
        progress_interval: 2 * SECOND,
        can_cancel: true,
        honors_retry_after: true,
        max_retry_after: SECOND,
        max_attempts: 4,
        slow_start_initial_fraction: 0.3,
        slow_start_duration: 15 * SECOND,
        overload_factor: 2.0,
        overload_window: SECOND,
        key_settle_time: Some(SECOND),
        ..Deployment::default()
    }
}

/// Applies the step `set FIELD VALUE`.
pub fn set(deployment: &mut Deployment, field: &str, value: f64) {
    let is_on = value != 0.0;
    match field {
        "gateways" => deployment.gateways = value as usize,
        "member_index" => deployment.member_index = value as usize,
        "can_request_load_reports" => deployment.can_request_load_reports = is_on,
        "must_request_endpoints" => deployment.must_request_endpoints = is_on,
        "can_broadcast" => deployment.can_broadcast = is_on,
        "honors_memory_grants" => deployment.honors_memory_grants = is_on,
        "honors_priorities" => deployment.honors_priorities = is_on,
        "max_attempts" => deployment.max_attempts = value as u32,
        "max_open_statements" => deployment.max_open_statements = value as usize,
        "retry_budget.base" => {
            deployment.retry_budget = Some(RetryBudget {
                window: 5 * SECOND,
                base: value,
                per_statement: 0.0,
            });
        }
        other => panic!("unknown field {other}"),
    }
}

pub fn workload(fields: &Fields) -> Workload {
    Workload {
        latency_objective: fields.millis("latency_objective", 500.0),
        latency_objective_stretch: 1.5,
        statement_timeout: fields.millis("statement_timeout", 4000.0),
        priority_weight: fields.number("priority_weight", 1.0),
        idempotency: match fields.text("idempotency") {
            Some("idempotent_with_key") => Idempotency::IdempotentWithKey,
            Some("non_idempotent") => Idempotency::NonIdempotent,
            None => Idempotency::Idempotent,
            Some(other) => panic!("unknown idempotency {other}"),
        },
        deduplication_scope: match fields.text("deduplication_scope") {
            Some("all") => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            Some("cell") | None => DeduplicationScope::Cell,
            Some(other) => panic!("unknown scope {other}"),
        },
        deduplication_window: fields.millis("deduplication_window", 1000.0),
        is_ordered_by_key: fields.flag("is_ordered_by_key"),
        allowed_zones: fields.list("allowed_zones"),
        allowed_engine_kinds: fields.list("allowed_engine_kinds"),
        threads: fields.number("threads", 1.0),
        is_bulk_load: fields.flag("is_bulk_load"),
        waits_for_bulk_loads: fields.flag("waits_for_bulk_loads"),
    }
}

pub fn endpoint(fields: &Fields, engine: EngineIndex, id: u64) -> EngineEndpoint {
    EngineEndpoint {
        engine,
        id,
        zone: fields.number("zone", 0.0) as u16,
        kind: fields.number("kind", 0.0) as u16,
        cell: fields.number("cell", 0.0) as u16,
        state: match fields.text("phase") {
            Some("draining") => EngineState::Draining,
            Some("gone") => EngineState::Gone,
            Some("ready") | None => EngineState::Ready,
            Some(other) => panic!("unknown phase {other}"),
        },
        weight: fields.number("weight", 1.0),
        started_at: fields.millis("started_at", 0.0),
    }
}

pub fn arrival(fields: &Fields, workload: usize) -> Arrival {
    Arrival {
        workload,
        key: fields.number("key", 0.0) as u64,
        table_group: fields.number("table_group", 1.0) as u32,
        time_left: fields.millis("time_left", 4000.0),
        is_repeat: false,
        tenant: fields.number("tenant", 0.0) as usize,
        estimated_memory_mb: fields.number("estimated_mb", 0.0),
        estimated_work: fields.millis("estimated_work", 100.0),
    }
}

pub fn outcome(word: &str) -> Outcome {
    match word {
        "completed" => Outcome::Completed,
        "error" => Outcome::Error,
        "overloaded" => Outcome::Overloaded,
        "timed_out" => Outcome::TimedOut,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "never_dispatched" => Outcome::NeverDispatched,
        "not_sent" => Outcome::NotSent,
        other => panic!("unknown outcome {other}"),
    }
}

pub fn outlier_status(word: &str) -> OutlierStatus {
    match word {
        "ejected" | "trial" | "recovered" | "none" => OutlierStatus {
            is_ejected: word == "ejected" || word == "trial",
            is_probe_assigned: word == "trial",
            has_recovered: word == "recovered",
        },
        other => panic!("unknown status {other}"),
    }
}
