//! Simulation of many gateways, engines and clients in virtual time: the real scheduler and the
//! real teams' queues, engines as [`crate::virtual_time::engine::Engine`] and a network of fixed
//! latency. A seed replays a run exactly. Violations of guarantees are counted at the clients and
//! at the engines, independently of the gateways.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hdrhistogram::Histogram;
use ivypitch_queueing::{Budgets, QueueArrival, TeamQueues};
use ivypitch_scheduler::Scheduler;
use ivypitch_scheduler::{
    Arrival, AttemptEnded, DeduplicationScope, Deployment, EndpointUpdateKind, EngineEndpoint,
    EngineKind, EngineState, Idempotency, LoadReporting, Output, ReportField, RetryBudget, Tenant,
    Workload,
};
use ivypitch_types::{EngineIndex, Nanos, Outcome, SECOND, StatementIndex};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::figures::{Figures, TeamFigures};
use crate::virtual_time::engine::{Engine, EngineConfig, Query, QueryEnd};
use crate::virtual_time::traffic::{Statement, WorkloadParams};

/// One-way latency between a gateway and an engine or a client.
const NETWORK_LATENCY: Nanos = 500_000;
/// Maximum number of times that a client submits a statement that is rejected.
const MAX_SUBMISSIONS: u32 = 3;
/// Time that the run continues after the last arrival.
const MAX_OVERTIME: Nanos = 30 * SECOND;

/// A fleet and its traffic.
pub struct FleetConfig<'a> {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines.
    pub engines: usize,
    /// Properties of every engine.
    pub engine_config: EngineConfig,
    /// The workloads that statements refer to.
    pub workloads: &'a [WorkloadParams],
    /// Names of the teams.
    pub teams: Vec<String>,
    /// The traffic, in order of arrival.
    pub statements: &'a [Statement],
    /// Budgets of the teams; `None`: no teams' queues.
    pub budgets: Option<Budgets>,
    /// Seed of the run.
    pub seed: u64,
    /// The scheduler's quota of each tenant in core-seconds per second; demand above it has a lower
    /// priority weight.
    pub tenant_quotas: Vec<f64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client submits its statement to a gateway.
    ClientArrival { statement: usize },
    /// An attempt reaches its engine.
    AttemptArrival { attempt: usize },
    /// The next query of an engine may have ended.
    EngineTimer { engine: usize },
    /// The cancellation of an attempt reaches its engine.
    CancelArrival { attempt: usize },
    /// The result of an attempt reaches its gateway.
    ResultArrival { attempt: usize, result: u8 },
    /// The timeout of an attempt fires at its gateway.
    AttemptTimeout { attempt: usize },
    /// A timer of a gateway's scheduler fires.
    SchedulerTimer { gateway: usize, timer: u64 },
    /// The timer of a gateway's queues fires.
    QueueTimer { gateway: usize },
    /// The deadline of a statement, plus the grace time for the answer, has passed.
    Deadline {
        gateway: usize,
        slot: usize,
        serial: u64,
    },
}

const RESULT_COMPLETED: u8 = 0;
const RESULT_ERROR: u8 = 1;
const RESULT_OVERLOADED: u8 = 2;
const RESULT_CANCELLED: u8 = 3;
const RESULT_TIMED_OUT: u8 = 4;

/// A statement at a gateway.
struct OpenStatement {
    statement: usize,
    serial: u64,
    deadline: Nanos,
    current_attempt: Option<usize>,
    attempts: u32,
    priority: u8,
    is_answered: bool,
    measured_work: Option<Nanos>,
    duration: Option<Nanos>,
}

/// An attempt at an engine.
struct Attempt {
    gateway: usize,
    slot: usize,
    statement: usize,
    number: u32,
    engine: usize,
    priority: u8,
    sent_at: Nanos,
    times_out_at: Nanos,
    measured_work_core_s: f64,
    is_running: bool,
    has_ended: bool,
}

/// An action that a scheduler requests.
enum Action {
    Send {
        slot: usize,
        engine: usize,
        timeout: Nanos,
    },
    Cancel {
        slot: usize,
        attempt: u32,
    },
    Reject {
        slot: usize,
        retry_after: Nanos,
    },
    Abort {
        slot: usize,
    },
    Forget {
        slot: usize,
    },
    SetTimer {
        timer: u64,
        after: Nanos,
    },
}

/// Actions that a scheduler requests, emptied after each call.
#[derive(Default)]
struct SchedulerActions {
    requested: Vec<Action>,
    priorities: Vec<u8>,
}

impl Output for SchedulerActions {
    fn send(&mut self, statement: StatementIndex, engine: EngineIndex, timeout: Nanos) {
        self.requested.push(Action::Send {
            slot: statement.0,
            engine: engine.0,
            timeout,
        });
    }
    fn cancel(&mut self, statement: StatementIndex, attempt: u32) {
        self.requested.push(Action::Cancel {
            slot: statement.0,
            attempt,
        });
    }
    fn set_resources(&mut self, statement: StatementIndex, _grant_mb: f64, priority: u8) {
        self.priorities
            .resize(self.priorities.len().max(statement.0 + 1), 1);
        self.priorities[statement.0] = priority;
    }
    fn reject(&mut self, statement: StatementIndex, retry_after: Nanos) {
        self.requested.push(Action::Reject {
            slot: statement.0,
            retry_after,
        });
    }
    fn abort(&mut self, statement: StatementIndex) {
        self.requested.push(Action::Abort { slot: statement.0 });
    }
    fn forget(&mut self, statement: StatementIndex) {
        self.requested.push(Action::Forget { slot: statement.0 });
    }
    fn set_timer(&mut self, timer: u64, after: Nanos) {
        self.requested.push(Action::SetTimer { timer, after });
    }
    fn request_load_report(&mut self, _engine: EngineIndex) {}
    fn broadcast(&mut self, _bytes: &[u8]) {}
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

/// Statements that the queues have released (with whether their team is within its share) and
/// rejected.
#[derive(Default)]
struct QueueActions {
    released: Vec<(StatementIndex, bool)>,
    rejected: Vec<(StatementIndex, Nanos)>,
}

impl ivypitch_queueing::Output for QueueActions {
    fn release(&mut self, statement: StatementIndex, is_within_share: bool) {
        self.released.push((statement, is_within_share));
    }
    fn reject(&mut self, statement: StatementIndex, retry_after: Nanos) {
        self.rejected.push((statement, retry_after));
    }
    fn log_mode_change(&mut self, _team: Option<usize>, _line: &str) {}
}

/// A gateway's scheduler, its queues and its open statements.
struct Gateway {
    scheduler: Scheduler,
    queues: Option<TeamQueues>,
    actions: SchedulerActions,
    queue_actions: QueueActions,
    /// Open statements by the index that scheduler and queues know.
    slots: Vec<Option<OpenStatement>>,
    free_slots: Vec<usize>,
    /// Ended statements that the queues do not know of yet, with their measured work and duration.
    ended: Vec<(StatementIndex, Option<Nanos>, Option<Nanos>)>,
    /// Earliest timer that is scheduled for the queues.
    queue_timer: Option<Nanos>,
}

/// The answers that the client of a statement received, and the starts of the statement at engines.
#[derive(Clone, Copy, Default)]
struct ClientState {
    submissions: u32,
    answers: u32,
    served_at: Option<Nanos>,
    may_have_run: bool,
    has_run_twice: bool,
}

/// A running simulation.
pub struct Fleet<'a> {
    config: FleetConfig<'a>,
    now: Nanos,
    events: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    last_event_serial: u64,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    /// Time at which each engine is next checked for ended queries.
    engine_timers: Vec<Option<Nanos>>,
    attempts: Vec<Attempt>,
    clients: Vec<ClientState>,
    last_statement_serial: u64,
    rng: ChaCha8Rng,
    /// Work of completed queries in core-seconds, by team.
    used_core_s: Vec<f64>,
    /// Rejections by the queues and by the schedulers, by team.
    rejections: Vec<(u64, u64)>,
}

/// The deployment that a gateway of this fleet is configured with.
pub fn deployment(config: &FleetConfig, member_index: usize) -> Deployment {
    let workload = |params: &WorkloadParams| Workload {
        latency_objective: params.latency_objective,
        latency_objective_stretch: params.latency_objective_stretch,
        statement_timeout: params.timeout,
        priority_weight: params.priority_weight,
        idempotency: params.idempotency,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0,
        is_ordered_by_key: false,
        allowed_zones: None,
        allowed_engine_kinds: None,
        threads: params.threads,
        is_bulk_load: params.idempotency == Idempotency::NonIdempotent,
        waits_for_bulk_loads: false,
    };
    let tenant = |core_s: &f64| {
        let total_weight: f64 = config
            .workloads
            .iter()
            .map(|workload| workload.statement_weight)
            .sum();
        let mean_work_core_s: f64 = config
            .workloads
            .iter()
            .map(|workload| workload.mean_work_core_s * workload.statement_weight / total_weight)
            .sum();
        Tenant {
            quota_per_second: core_s / mean_work_core_s,
        }
    };
    Deployment {
        gateways: config.gateways,
        member_index,
        tick: SECOND / 1000,
        workloads: config.workloads.iter().map(workload).collect(),
        engine_kinds: vec![EngineKind {
            cores: config.engine_config.cores,
            memory_mb: 65536.0,
        }],
        tenants: config.tenant_quotas.iter().map(tenant).collect(),
        over_quota_priority_weight: 0.1,
        max_open_statements: usize::MAX,
        report_fields: vec![ReportField::InFlightAttempts],
        load_reporting: LoadReporting::WithResults,
        honors_priorities: true,
        reports_measured_cost: true,
        can_cancel: true,
        honors_retry_after: true,
        max_retry_after: 2 * SECOND,
        max_attempts: 4,
        drain_grace: SECOND / 4,
        answer_grace: 5_000_000,
        slow_start_initial_fraction: config.engine_config.cold_speed_fraction,
        slow_start_duration: config.engine_config.warm_up_duration,
        overload_factor: 2.5,
        overload_window: 3 * SECOND,
        retry_budget: Some(RetryBudget {
            window: 5 * SECOND,
            base: 5.0,
            per_statement: 0.2,
        }),
        ..Deployment::default()
    }
}

impl<'a> Fleet<'a> {
    /// Starts all gateways and schedules all arrivals.
    pub fn new(config: FleetConfig<'a>) -> Fleet<'a> {
        let rng = ChaCha8Rng::seed_from_u64(config.seed);
        let endpoints: Vec<EngineEndpoint> = (0..config.engines)
            .map(|engine| EngineEndpoint {
                engine: EngineIndex(engine),
                id: engine as u64 * 7919 + 17,
                state: EngineState::Ready,
                weight: 1.0,
                ..EngineEndpoint::default()
            })
            .collect();
        let engine = |index: usize| {
            let seed = config.seed.wrapping_mul(31).wrapping_add(index as u64);
            Engine::new(
                config.engine_config.clone(),
                ChaCha8Rng::seed_from_u64(seed),
                0,
            )
        };
        let mut fleet = Fleet {
            now: 0,
            events: BinaryHeap::new(),
            last_event_serial: 0,
            gateways: Vec::new(),
            engines: (0..config.engines).map(engine).collect(),
            engine_timers: vec![None; config.engines],
            attempts: Vec::new(),
            clients: vec![ClientState::default(); config.statements.len()],
            last_statement_serial: 0,
            rng,
            used_core_s: vec![0.0; config.teams.len()],
            rejections: vec![(0, 0); config.teams.len()],
            config,
        };
        for gateway in 0..fleet.config.gateways {
            let seed = fleet
                .config
                .seed
                .wrapping_mul(1_000)
                .wrapping_add(gateway as u64);
            let scheduler = Scheduler::new(deployment(&fleet.config, gateway), seed, 0);
            let queues = fleet
                .config
                .budgets
                .clone()
                .map(|budgets| TeamQueues::new(budgets, seed, 0));
            fleet.gateways.push(Gateway {
                scheduler,
                queues,
                actions: SchedulerActions::default(),
                queue_actions: QueueActions::default(),
                slots: Vec::new(),
                free_slots: Vec::new(),
                ended: Vec::new(),
                queue_timer: None,
            });
            let gateway_state = &mut fleet.gateways[gateway];
            gateway_state.scheduler.on_endpoints_updated(
                0,
                EndpointUpdateKind::Full,
                &endpoints,
                &mut gateway_state.actions,
            );
            if let Some(queues) = &mut gateway_state.queues {
                let cores = fleet.config.engines as f64 * fleet.config.engine_config.cores
                    / fleet.config.gateways as f64;
                queues.set_capacity(0, cores, &mut gateway_state.queue_actions);
            }
            fleet.apply_actions(gateway);
        }
        for statement in 0..fleet.config.statements.len() {
            fleet.schedule(
                fleet.config.statements[statement].arrives_at,
                Event::ClientArrival { statement },
            );
        }
        fleet
    }

    /// Runs the simulation to its end and returns the measurements.
    pub fn run(mut self) -> Figures {
        let last_arrival = self
            .config
            .statements
            .last()
            .map_or(0, |statement| statement.arrives_at);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > last_arrival + MAX_OVERTIME {
                break;
            }
            self.now = at;
            self.on_event(event);
        }
        self.into_figures()
    }

    fn schedule(&mut self, at: Nanos, event: Event) {
        self.last_event_serial += 1;
        self.events
            .push(Reverse((at.max(self.now), self.last_event_serial, event)));
    }

    fn on_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::ClientArrival { statement } => self.on_client_arrival(statement),
            Event::AttemptArrival { attempt } => self.on_attempt_arrival(attempt),
            Event::EngineTimer { engine } => {
                // Otherwise the timer was replaced by an earlier one.
                if self.engine_timers[engine] == Some(now) {
                    self.engine_timers[engine] = None;
                    self.update_engine(engine);
                }
            }
            Event::CancelArrival { attempt } => {
                let engine = self.attempts[attempt].engine;
                if std::mem::take(&mut self.attempts[attempt].is_running) {
                    self.engines[engine].cancel(now, attempt as u64);
                    self.update_engine(engine);
                }
                self.send_result(attempt, RESULT_CANCELLED);
            }
            Event::AttemptTimeout { attempt } => {
                if !self.attempts[attempt].has_ended {
                    let engine = self.attempts[attempt].engine;
                    if std::mem::take(&mut self.attempts[attempt].is_running) {
                        self.engines[engine].cancel(now, attempt as u64);
                        self.update_engine(engine);
                    }
                    self.on_result(attempt, RESULT_TIMED_OUT);
                }
            }
            Event::ResultArrival { attempt, result } => self.on_result(attempt, result),
            Event::SchedulerTimer { gateway, timer } => {
                let gateway_state = &mut self.gateways[gateway];
                gateway_state
                    .scheduler
                    .on_timer(now, timer, &mut gateway_state.actions);
                self.apply_actions(gateway);
            }
            Event::QueueTimer { gateway } => {
                let gateway_state = &mut self.gateways[gateway];
                gateway_state.queue_timer = None;
                if let Some(queues) = &mut gateway_state.queues {
                    queues.on_timer(now, &mut gateway_state.queue_actions);
                }
                self.apply_actions(gateway);
            }
            Event::Deadline {
                gateway,
                slot,
                serial,
            } => {
                let gateway_state = &mut self.gateways[gateway];
                let unanswered = gateway_state.slots[slot]
                    .as_ref()
                    .filter(|open| open.serial == serial && !open.is_answered);
                if let Some(statement) = unanswered.map(|open| open.statement) {
                    self.clients[statement].answers += 1;
                    self.on_deadline(gateway, slot);
                }
            }
        }
    }

    fn on_client_arrival(&mut self, statement: usize) {
        let now = self.now;
        let submitted = &self.config.statements[statement];
        let gateway = self.rng.random_range(0..self.config.gateways);
        let deadline = submitted.arrives_at + self.config.workloads[submitted.workload].timeout;
        self.clients[statement].submissions += 1;
        self.last_statement_serial += 1;
        let serial = self.last_statement_serial;
        let gateway_state = &mut self.gateways[gateway];
        let slot = gateway_state.free_slots.pop().unwrap_or_else(|| {
            gateway_state.slots.push(None);
            gateway_state.slots.len() - 1
        });
        gateway_state.slots[slot] = Some(OpenStatement {
            statement,
            serial,
            deadline,
            current_attempt: None,
            attempts: 0,
            priority: 1,
            is_answered: false,
            measured_work: None,
            duration: None,
        });
        let (team, workload) = (submitted.team, submitted.workload);
        if let Some(queues) = &mut gateway_state.queues {
            let estimated_work = (submitted.estimated_work_core_s * 1e9) as Nanos;
            let arrival = QueueArrival {
                team,
                workload,
                estimated_work,
                bytes: 200,
                deadline,
            };
            queues.on_statement_arrived(
                now,
                StatementIndex(slot),
                arrival,
                &mut gateway_state.queue_actions,
            );
        } else {
            self.submit_to_scheduler(gateway, slot, false);
        }
        self.schedule(
            deadline + 5_000_000,
            Event::Deadline {
                gateway,
                slot,
                serial,
            },
        );
        self.apply_actions(gateway);
    }

    fn submit_to_scheduler(&mut self, gateway: usize, slot: usize, is_within_share: bool) {
        let gateway_state = &mut self.gateways[gateway];
        let Some(open) = &gateway_state.slots[slot] else {
            return;
        };
        let submitted = &self.config.statements[open.statement];
        let arrival = Arrival {
            workload: submitted.workload,
            key: 0,
            table_group: submitted.table_group,
            time_left: open.deadline.saturating_sub(self.now),
            is_repeat: false,
            // A statement within its team's share is exempt from the tenant's quota.
            tenant: if is_within_share {
                usize::MAX
            } else {
                submitted.team
            },
            estimated_memory_mb: 0.0,
            estimated_work: (submitted.estimated_work_core_s * 1e9) as Nanos,
        };
        gateway_state.scheduler.on_statement_arrived(
            self.now,
            StatementIndex(slot),
            arrival,
            &mut gateway_state.actions,
        );
    }

    /// Applies all actions that the scheduler and the queues of a gateway request, and sets the
    /// queue timer.
    fn apply_actions(&mut self, gateway: usize) {
        loop {
            let gateway_state = &mut self.gateways[gateway];
            if let Some((statement, measured_work, duration)) = gateway_state.ended.pop() {
                if let Some(queues) = &mut gateway_state.queues {
                    queues.on_statement_ended(
                        self.now,
                        statement,
                        measured_work,
                        duration,
                        &mut gateway_state.queue_actions,
                    );
                }
            } else if let Some((statement, is_within_share)) =
                gateway_state.queue_actions.released.pop()
            {
                self.submit_to_scheduler(gateway, statement.0, is_within_share);
            } else if let Some((statement, retry_after)) =
                gateway_state.queue_actions.rejected.pop()
            {
                if let Some(open) = &self.gateways[gateway].slots[statement.0] {
                    self.rejections[self.config.statements[open.statement].team].0 += 1;
                }
                self.answer_without_result(gateway, statement.0, Some(retry_after));
                self.free_slot(gateway, statement.0);
            } else if !gateway_state.actions.requested.is_empty() {
                for action in std::mem::take(&mut gateway_state.actions.requested) {
                    self.apply_action(gateway, action);
                }
            } else {
                break;
            }
        }
        let gateway_state = &mut self.gateways[gateway];
        let next_timer = gateway_state
            .queues
            .as_ref()
            .and_then(TeamQueues::next_timer);
        if let Some(at) = next_timer.filter(|&at| {
            gateway_state
                .queue_timer
                .is_none_or(|scheduled| at < scheduled)
        }) {
            gateway_state.queue_timer = Some(at);
            self.schedule(at, Event::QueueTimer { gateway });
        }
    }

    fn apply_action(&mut self, gateway: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Send {
                slot,
                engine,
                timeout,
            } => {
                let priority = self.gateways[gateway]
                    .actions
                    .priorities
                    .get(slot)
                    .copied()
                    .unwrap_or(1);
                let attempt = self.attempts.len();
                let Some(open) = &mut self.gateways[gateway].slots[slot] else {
                    return;
                };
                open.priority = priority;
                open.current_attempt = Some(attempt);
                self.attempts.push(Attempt {
                    gateway,
                    slot,
                    statement: open.statement,
                    number: open.attempts,
                    engine,
                    priority,
                    sent_at: now,
                    times_out_at: now + timeout,
                    measured_work_core_s: 0.0,
                    is_running: false,
                    has_ended: false,
                });
                open.attempts += 1;
                self.schedule(now + NETWORK_LATENCY, Event::AttemptArrival { attempt });
                self.schedule(now + timeout, Event::AttemptTimeout { attempt });
            }
            Action::Cancel { slot, attempt } => {
                let current = self.gateways[gateway].slots[slot]
                    .as_ref()
                    .and_then(|open| open.current_attempt);
                if let Some(current) =
                    current.filter(|&current| self.attempts[current].number == attempt)
                {
                    self.schedule(
                        now + NETWORK_LATENCY,
                        Event::CancelArrival { attempt: current },
                    );
                }
            }
            Action::Reject { slot, retry_after } => {
                if let Some(open) = &self.gateways[gateway].slots[slot] {
                    self.rejections[self.config.statements[open.statement].team].1 += 1;
                }
                self.answer_without_result(gateway, slot, Some(retry_after));
            }
            Action::Abort { slot } => self.answer_without_result(gateway, slot, None),
            Action::Forget { slot } => {
                let gateway_state = &mut self.gateways[gateway];
                if let Some(open) = &gateway_state.slots[slot] {
                    gateway_state.ended.push((
                        StatementIndex(slot),
                        open.measured_work,
                        open.duration,
                    ));
                }
                self.free_slot(gateway, slot);
            }
            Action::SetTimer { timer, after } => {
                self.schedule(now + after, Event::SchedulerTimer { gateway, timer })
            }
        }
    }

    fn free_slot(&mut self, gateway: usize, slot: usize) {
        let gateway_state = &mut self.gateways[gateway];
        if gateway_state.slots[slot].take().is_some() {
            gateway_state.free_slots.push(slot);
        }
    }

    /// Answers a client without a result: rejected with a retry-after time, or aborted if `None`.
    fn answer_without_result(&mut self, gateway: usize, slot: usize, rejected: Option<Nanos>) {
        let Some(open) = &mut self.gateways[gateway].slots[slot] else {
            return;
        };
        if std::mem::replace(&mut open.is_answered, true) {
            self.clients[open.statement].answers += 2;
            return;
        }
        let statement = open.statement;
        self.clients[statement].answers += 1;
        let submitted = &self.config.statements[statement];
        let Some(retry_after) = rejected else { return };
        let resubmit_at = self.now + 2 * NETWORK_LATENCY + retry_after;
        let has_time = resubmit_at
            < submitted.arrives_at + self.config.workloads[submitted.workload].timeout / 2;
        if self.clients[statement].submissions < MAX_SUBMISSIONS && has_time {
            self.schedule(resubmit_at, Event::ClientArrival { statement });
        }
    }

    fn on_deadline(&mut self, gateway: usize, slot: usize) {
        let gateway_state = &mut self.gateways[gateway];
        if let Some(open) = &mut gateway_state.slots[slot] {
            open.is_answered = true;
        }
        let was_queued = gateway_state.queues.as_mut().is_some_and(|queues| {
            queues.remove(
                self.now,
                StatementIndex(slot),
                &mut gateway_state.queue_actions,
            )
        });
        if was_queued {
            self.free_slot(gateway, slot);
        } else {
            gateway_state.scheduler.on_statement_expired(
                self.now,
                StatementIndex(slot),
                &mut gateway_state.actions,
            );
        }
        self.apply_actions(gateway);
    }

    fn on_attempt_arrival(&mut self, attempt: usize) {
        let now = self.now;
        let arrived = &self.attempts[attempt];
        if arrived.has_ended || now >= arrived.times_out_at {
            return;
        }
        let (statement, engine) = (arrived.statement, arrived.engine);
        let submitted = &self.config.statements[statement];
        let workload = &self.config.workloads[submitted.workload];
        let query = Query {
            id: attempt as u64,
            work_core_s: submitted.work_core_s,
            threads: workload.threads,
            priority: arrived.priority,
            table_group: submitted.table_group,
        };
        if self.engines[engine].start(now, query) {
            let client = &mut self.clients[statement];
            client.has_run_twice |=
                client.may_have_run && workload.idempotency == Idempotency::NonIdempotent;
            client.may_have_run = true;
            self.attempts[attempt].is_running = true;
            self.update_engine(engine);
        } else {
            self.send_result(attempt, RESULT_OVERLOADED);
        }
    }

    /// Handles the queries that have ended at an engine and schedules the check at its next end.
    fn update_engine(&mut self, engine: usize) {
        for (id, end) in self.engines[engine].take_ended(self.now) {
            let attempt = id as usize;
            self.attempts[attempt].is_running = false;
            let result = match end {
                QueryEnd::Completed(work) => {
                    self.attempts[attempt].measured_work_core_s = work;
                    self.used_core_s
                        [self.config.statements[self.attempts[attempt].statement].team] += work;
                    RESULT_COMPLETED
                }
                QueryEnd::Error => RESULT_ERROR,
            };
            self.send_result(attempt, result);
        }
        let next = self.engines[engine].next_end();
        if let Some(at) =
            next.filter(|&at| self.engine_timers[engine].is_none_or(|scheduled| at < scheduled))
        {
            self.engine_timers[engine] = Some(at);
            self.schedule(at, Event::EngineTimer { engine });
        }
    }

    fn send_result(&mut self, attempt: usize, result: u8) {
        self.schedule(
            self.now + NETWORK_LATENCY,
            Event::ResultArrival { attempt, result },
        );
    }

    fn on_result(&mut self, attempt: usize, result: u8) {
        let now = self.now;
        let ended_attempt = &mut self.attempts[attempt];
        if std::mem::replace(&mut ended_attempt.has_ended, true) {
            return;
        }
        let (gateway, slot, engine, work_core_s) = (
            ended_attempt.gateway,
            ended_attempt.slot,
            ended_attempt.engine,
            ended_attempt.measured_work_core_s,
        );
        let duration = now - ended_attempt.sent_at;
        let outcome = match result {
            RESULT_COMPLETED => Outcome::Completed,
            RESULT_ERROR => Outcome::Error,
            RESULT_OVERLOADED => Outcome::Overloaded,
            RESULT_CANCELLED => Outcome::Cancelled,
            _ => Outcome::TimedOut,
        };
        let gateway_state = &mut self.gateways[gateway];
        let Some(open) = gateway_state.slots[slot]
            .as_mut()
            .filter(|open| open.current_attempt == Some(attempt))
        else {
            return;
        };
        open.current_attempt = None;
        let threads =
            self.config.workloads[self.config.statements[open.statement].workload].threads;
        if !outcome.never_ran() {
            let thread_time = (duration as f64 * threads) as Nanos;
            let measured_work = if result == RESULT_COMPLETED {
                (work_core_s * 1e9) as Nanos
            } else {
                thread_time
            };
            open.measured_work = Some(open.measured_work.unwrap_or(0) + measured_work);
        }
        if result == RESULT_COMPLETED {
            open.duration = Some(duration);
            if !std::mem::replace(&mut open.is_answered, true) {
                self.clients[open.statement].answers += 1;
                self.clients[open.statement].served_at = Some(now + NETWORK_LATENCY);
            }
        }
        let report = [self.engines[engine].running() as f32];
        let ended = AttemptEnded {
            attempt: ended_attempt.number,
            engine: EngineIndex(engine),
            outcome,
            duration,
            has_final_answer: open.is_answered,
            measured_cost: (result == RESULT_COMPLETED).then_some((work_core_s * 1000.0, 0.0)),
            load_report: if matches!(result, RESULT_COMPLETED | RESULT_ERROR) {
                &report
            } else {
                &[]
            },
        };
        gateway_state.scheduler.on_attempt_ended(
            now,
            StatementIndex(slot),
            &ended,
            &mut gateway_state.actions,
        );
        self.apply_actions(gateway);
    }

    fn into_figures(self) -> Figures {
        let mut teams: Vec<TeamFigures> = self
            .config
            .teams
            .iter()
            .map(|name| TeamFigures::new(name))
            .collect();
        let (mut repeated_bulk_loads, mut unanswered, mut answered_twice) = (0, 0, 0);
        for (client, submitted) in self.clients.iter().zip(self.config.statements) {
            let workload = &self.config.workloads[submitted.workload];
            let latency = client.served_at.map(|at| at - submitted.arrives_at);
            teams[submitted.team].record_statement(
                workload.priority_weight,
                submitted.latency_objective,
                latency,
                client.submissions,
            );
            repeated_bulk_loads += u64::from(client.has_run_twice);
            unanswered += u64::from(client.answers < client.submissions);
            answered_twice += u64::from(client.answers > client.submissions);
        }
        for ((team, used), rejections) in teams
            .iter_mut()
            .zip(&self.used_core_s)
            .zip(&self.rejections)
        {
            team.completed_core_s = *used;
            (team.rejected_by_queues, team.rejected_by_scheduler) = *rejections;
        }
        let mut figures = Figures {
            teams,
            repeated_bulk_loads,
            unanswered,
            answered_twice,
            ..Figures::default()
        };
        let errors = Histogram::new_with_bounds(1, 10_000, 2);
        let mut errors = errors.unwrap_or_else(|_| unreachable!());
        for gateway_state in &self.gateways {
            if let Some(queues) = &gateway_state.queues {
                figures.wait_estimates += queues.wait_statistics().estimates;
                figures.good_wait_estimates += queues.wait_statistics().good_estimates;
                let _ = errors.add(&queues.wait_statistics().errors_percent);
            }
        }
        figures.median_wait_estimate_error = errors.value_at_quantile(0.5) as f64 / 100.0;
        figures.wasted_core_s = self.engines.iter().map(|engine| engine.wasted_core_s).sum();
        figures
    }
}
