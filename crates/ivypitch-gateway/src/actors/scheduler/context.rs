//! The state that the scheduler's output acts on: statements, engines, timers, and the parameters
//! of attempts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use ivypitch_config::Names;
use ivypitch_connection_pool::PoolParams;
use ivypitch_scheduler::{Deployment, Idempotency, RecentStatements, Scheduler};
use ivypitch_types::{Nanos, StatementIndex};

use super::SchedulerActorParams;
use super::endpoints::{EngineActorSpawner, EngineTable};
use super::timers::Timers;
use crate::actors::attempt::SendGate;
use crate::actors::coordination::CoordinationDriver;
use crate::actors::messages::SchedulerMessage;
use crate::actors::ownership::OwnershipDriver;
use crate::lifecycle::clock::Clock;
use crate::state::statements::StatementTable;

/// Used if the settings do not set a connect timeout.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Implements the scheduler's [`Output`](ivypitch_scheduler::Output).
pub(super) struct Context {
    pub(super) clock: Clock,
    /// Time of the current event.
    pub(super) now: Nanos,
    pub(super) statements: StatementTable,
    pub(super) recent_statements: RecentStatements,
    pub(super) timers: Timers,
    pub(super) engines: EngineTable,
    pub(super) attempts: AttemptParams,
    pub(super) names: Names,
    /// Workloads by their index in the settings.
    pub(super) workloads: Vec<WorkloadParams>,
    pub(super) quotas: FleetQuotas,
    /// How long after a statement's deadline the scheduler may still answer it.
    pub(super) answer_grace: Nanos,
    /// Deadline for all answers during a shutdown.
    pub(super) answer_by: Nanos,
    /// Whether the statements that could not end here have been handed off to other gateways.
    pub(super) has_handed_off: bool,
    pub(super) ownership: Option<OwnershipDriver>,
    pub(super) coordination: Option<CoordinationDriver>,
    /// Statements that the scheduler has released and that are still to be reported to the teams'
    /// queues; `None` without queues.
    pub(super) ended_statements: Option<Vec<EndedStatement>>,
}

/// Parameters that all attempts share.
pub(super) struct AttemptParams {
    pub(super) report_fields: Rc<Vec<String>>,
    pub(super) scheduler: Sender<SchedulerMessage>,
    pub(super) gate: SendGate,
}

/// Settings of a workload.
pub(super) struct WorkloadParams {
    /// Number of threads of a statement, at least 1.
    pub(super) threads: f64,
    pub(super) idempotency: Idempotency,
}

/// Quotas that are divided among the gateways.
pub(super) struct FleetQuotas {
    /// This gateway's share of the cores of all engines: an equal share, or the one that
    /// coordination assigned.
    pub(super) cores_share: f64,
    /// Each tenant's quota in the whole fleet, in statements per second.
    pub(super) tenants_per_second: Vec<f64>,
}

/// A statement that the scheduler has released.
pub(super) struct EndedStatement {
    pub(super) statement: StatementIndex,
    /// Total work of the attempts that may have run.
    pub(super) work: Option<Nanos>,
    /// Duration of the successful attempt.
    pub(super) run_time: Option<Nanos>,
}

impl Context {
    /// Creates a context without engines and statements. Attempts ask `scheduler` for confirmation
    /// before they send their first byte.
    pub(super) fn new(
        params: SchedulerActorParams,
        scheduler: &Rc<RefCell<Scheduler>>,
        now: Nanos,
    ) -> Context {
        let deployment = &params.deployment.scheduler;
        Context {
            clock: params.clock,
            now,
            statements: StatementTable::default(),
            recent_statements: RecentStatements::new(max_statement_timeout(deployment)),
            timers: Timers::default(),
            engines: engine_table(&params),
            attempts: attempt_params(&params, scheduler),
            workloads: workload_params(deployment),
            quotas: fleet_quotas(deployment),
            answer_grace: deployment.answer_grace,
            answer_by: Nanos::MAX,
            has_handed_off: false,
            names: params.deployment.names,
            ownership: params.ownership,
            coordination: params.coordination,
            ended_statements: None,
        }
    }

    /// Whether ownership or coordination has queued actions.
    pub(super) fn has_actions(&self) -> bool {
        let ownership = self.ownership.as_ref();
        let coordination = self.coordination.as_ref();
        ownership.is_some_and(OwnershipDriver::has_actions)
            || coordination.is_some_and(CoordinationDriver::has_actions)
    }
}

/// The longest time for which a client waits: one that left does not come back later.
fn max_statement_timeout(deployment: &Deployment) -> Nanos {
    let timeouts = deployment.workloads.iter();
    timeouts
        .map(|workload| workload.statement_timeout)
        .max()
        .unwrap_or(0)
}

fn attempt_params(
    params: &SchedulerActorParams,
    scheduler: &Rc<RefCell<Scheduler>>,
) -> AttemptParams {
    AttemptParams {
        report_fields: Rc::new(params.deployment.names.report_fields.clone()),
        scheduler: params.mailbox.clone(),
        gate: SendGate {
            scheduler: scheduler.clone(),
            clock: params.clock,
        },
    }
}

fn engine_table(params: &SchedulerActorParams) -> EngineTable {
    let deployment = &params.deployment.scheduler;
    let limits = &params.deployment.connection_limits;
    let connect_timeout = match limits.connect_timeout {
        0 => DEFAULT_CONNECT_TIMEOUT,
        stated => Duration::from_nanos(stated),
    };
    let gateways = deployment.gateways.max(1);
    let spawner = EngineActorSpawner {
        connect_timeout,
        pool: PoolParams::new(gateways, limits.idle_timeout),
        clock: params.clock,
        permits: params.permits.clone(),
        connection_counters: params.connection_counters.clone(),
        traffic: params.traffic.clone(),
        executor: params.executor.clone(),
    };
    let cores_by_kind = deployment
        .engine_kinds
        .iter()
        .map(|kind| kind.cores.max(1.0))
        .collect();
    EngineTable::new(params.deployment.names.clone(), cores_by_kind, spawner)
}

fn workload_params(deployment: &Deployment) -> Vec<WorkloadParams> {
    deployment
        .workloads
        .iter()
        .map(|workload| WorkloadParams {
            threads: workload.threads.max(1.0),
            idempotency: workload.idempotency,
        })
        .collect()
}

fn fleet_quotas(deployment: &Deployment) -> FleetQuotas {
    FleetQuotas {
        cores_share: 1.0 / deployment.gateways.max(1) as f64,
        tenants_per_second: deployment
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_second)
            .collect(),
    }
}
