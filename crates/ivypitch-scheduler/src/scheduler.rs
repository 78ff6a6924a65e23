//! The state of a scheduler and its entry points, one for each thing that happens.

use crate::bulk_loads::{BulkLoadChange, BulkLoads};
use crate::cost_model::ArrivalMix;
use crate::deployment::{Deployment, Workload};
use crate::engine::Engine;
use crate::events::{
    Arrival, AttemptEnded, AttemptProgress, EndpointUpdateKind, EngineEndpoint, OutlierStatus,
};
use crate::key_order::KeyQueues;
use crate::outlier_detection::{MAX_ERRORS_AGAINST_ENGINES, SENDS_PER_TRIAL};
use crate::output::Output;
use crate::placement::RecentSend;
use crate::retry_budget::RetryBudgetTracker;
use crate::safety_rules::Action;
use crate::statement::{Attempt, PossibleRun, Statement, StatementState};
use crate::tenant_quota::TenantQuotas;
use crate::workload::WorkloadState;
use ivypitch_types::{
    EngineIndex, MILLISECOND, Nanos, Outcome, SECOND, StatementIndex, hash_to_unit_interval,
};
use std::collections::VecDeque;

/// While statements are open, lost attempts and deadlines are looked for at this interval.
const HOUSEKEEPING_INTERVAL: Nanos = SECOND / 100;
/// A failed request for the endpoint list is repeated after this and up to as much again.
const WATCH_RETRY_INTERVAL: Nanos = SECOND;
/// An engine that has rejected an attempt as overloaded gets the next after so long.
const OVERLOAD_BACKOFF: Nanos = SECOND;

const TIMER_HOUSEKEEPING: u64 = 0;
const TIMER_WATCH_ENDPOINTS: u64 = 1;

/// Reproducible pseudo-random numbers: a function of the seed and the number of draws.
#[derive(Default)]
pub(crate) struct RandomSequence {
    seed: u64,
    draws: u64,
}

impl RandomSequence {
    /// The next number in `[0, 1)`.
    pub fn next_unit(&mut self) -> f64 {
        self.draws += 1;
        hash_to_unit_interval(&(self.seed, self.draws))
    }
}

/// What a scheduler has in hand.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct InFlight {
    /// Statements that it has not forgotten.
    pub statements: usize,
    /// Attempts that run.
    pub attempts: u32,
    /// Threads of these attempts.
    pub threads: f64,
}

/// All decisions of one gateway. See the [crate's documentation](crate) for its contract.
#[derive(Default)]
pub struct Scheduler {
    pub(crate) deployment: Deployment,
    pub(crate) random: RandomSequence,
    pub(crate) started_at: Nanos,
    /// By index; `None`: free.
    pub(crate) statements: Vec<Option<Statement>>,
    pub(crate) open_statements: usize,
    pub(crate) workloads: Vec<WorkloadState>,
    /// By index; one that is not referenced may be given to another engine.
    pub(crate) engines: Vec<Engine>,
    pub(crate) listed_engines: usize,
    /// How many engines this gateway's sends go to.
    pub(crate) engines_in_use: usize,
    /// The last N sends of this gateway, oldest first.
    pub(crate) recent_sends: VecDeque<RecentSend>,
    pub(crate) sends_since_trial: u32,
    pub(crate) key_queues: KeyQueues,
    pub(crate) bulk_loads: BulkLoads,
    /// A workload waits for bulk loads.
    pub(crate) has_readers_of_bulk_loads: bool,
    pub(crate) retry_budget: RetryBudgetTracker,
    pub(crate) quotas: TenantQuotas,
    pub(crate) arrival_mix: ArrivalMix,
    /// Part of the load reports that show pressure, smoothed.
    pub(crate) pressure_fraction: f64,
    pub(crate) dispatched_at: Nanos,
    is_housekeeping_timer_set: bool,
}

impl Scheduler {
    /// A scheduler of one gateway that starts at `now`. The seed decides its random draws.
    pub fn new(mut deployment: Deployment, seed: u64, now: Nanos) -> Self {
        deployment.gateways = deployment.gateways.max(1);
        let workloads = &deployment.workloads;
        let objectives = workloads.iter().map(|w| w.latency_objective);
        let min_objective = objectives.min().unwrap_or(0);
        let state = |workload: &Workload| WorkloadState::new(workload, min_objective);
        Scheduler {
            workloads: workloads.iter().map(state).collect(),
            arrival_mix: ArrivalMix::new(workloads),
            has_readers_of_bulk_loads: workloads.iter().any(|w| w.waits_for_bulk_loads),
            quotas: TenantQuotas::new(&deployment.tenants, deployment.gateways, now),
            retry_budget: RetryBudgetTracker::new(deployment.retry_budget.clone()),
            deployment,
            random: RandomSequence { seed, draws: 0 },
            started_at: now,
            sends_since_trial: SENDS_PER_TRIAL,
            ..Scheduler::default()
        }
    }

    /// Begins to work: requests the endpoint list where the deployment wants that.
    pub fn start(&mut self, _now: Nanos, out: &mut dyn Output) {
        if self.deployment.must_request_endpoints {
            out.watch_endpoints();
        }
    }

    /// The endpoint list has changed.
    pub fn on_endpoints_updated(
        &mut self,
        now: Nanos,
        kind: EndpointUpdateKind,
        endpoints: &[EngineEndpoint],
        out: &mut dyn Output,
    ) {
        if kind != EndpointUpdateKind::Delta {
            self.unlist_missing(endpoints);
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint, out);
        }
        self.resize_subsets(now);
        self.dispatch(now, out);
    }

    /// The request for the endpoint list has failed: it is repeated after a pause that differs among
    /// gateways.
    pub fn on_endpoint_watch_failed(&mut self, _now: Nanos, out: &mut dyn Output) {
        let jitter = (self.random.next_unit() * WATCH_RETRY_INTERVAL as f64) as Nanos;
        out.set_timer(TIMER_WATCH_ENDPOINTS, WATCH_RETRY_INTERVAL + jitter);
    }

    /// Whether an open statement, an attempt or a recent send refers to the engine, or the endpoint list has
    /// it. Else its index may be given to another engine.
    pub fn is_engine_referenced(&self, index: EngineIndex) -> bool {
        let is_in_use =
            |engine: &Engine| engine.is_listed || engine.in_flight > 0 || engine.recent_sends > 0;
        if self.engines.get(index.0).is_some_and(is_in_use) {
            return true;
        }
        self.statements.iter().flatten().any(|statement| {
            statement
                .possible_run
                .is_some_and(|run| run.engine == index)
        })
    }

    /// The gateways have decided together on an engine's health.
    pub fn on_outlier_status(
        &mut self,
        index: EngineIndex,
        status: OutlierStatus,
        out: &mut dyn Output,
    ) {
        self.apply_outlier_status(index, status, out);
    }

    /// Sets the part of a tenant's quota that this gateway may use, 0 to 1. At first it is an even part.
    pub fn set_quota_share(&mut self, tenant: usize, share: f64) {
        self.quotas.set_share(tenant, share);
    }

    /// An engine has answered a request for a load report.
    pub fn on_load_report(
        &mut self,
        now: Nanos,
        index: EngineIndex,
        report: &[f32],
        out: &mut dyn Output,
    ) {
        self.read_load_report(now, index, report);
        self.dispatch(now, out);
    }

    /// Another gateway has sent a message by [`Output::broadcast`]. One that cannot be read is ignored.
    pub fn on_peer_message(&mut self, now: Nanos, message: &[u8]) {
        self.on_peer_bulk_load(now, message);
    }

    /// A statement arrives, under an index that is free.
    pub fn on_statement_arrived(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        arrival: Arrival,
        out: &mut dyn Output,
    ) {
        if self.admit(now, index, &arrival, out) {
            self.dispatch(now, out);
            self.set_housekeeping_timer(out);
        }
    }

    /// Takes over a statement whose attempt a lost gateway has sent to `engine`.
    ///
    /// The attempt counts as a retry, and its first error says nothing about the engine.
    pub fn take_over_statement(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        arrival: Arrival,
        engine: EngineIndex,
        out: &mut dyn Output,
    ) {
        if !self.admit(now, index, &arrival, out) {
            return;
        }
        self.transition(index, StatementState::Running);
        let Some(statement) = self.statement_mut(index) else {
            return;
        };
        statement.attempt = Some(Attempt {
            engine,
            started_at: now,
            number: 0,
            charged_work_secs: 0.0,
            last_progress_at: now,
        });
        statement.attempts = 1;
        statement.errors = MAX_ERRORS_AGAINST_ENGINES;
        statement.possible_run = Some(PossibleRun {
            engine,
            started_at: now,
        });
        let table_group = statement.table_group;
        self.count_attempt(arrival.workload, engine);
        self.retry_budget.record_retry(now);
        if self.deployment.workloads[arrival.workload].is_bulk_load {
            self.on_own_bulk_load(now, engine, table_group, BulkLoadChange::Begins, out);
        }
        self.set_housekeeping_timer(out);
    }

    /// The first byte of an attempt is about to leave: checks the safety rules again, with windows that count
    /// from now on. `false`: it must not leave; its end is to be reported as [`Outcome::NotSent`].
    pub fn confirm_send(&mut self, now: Nanos, index: StatementIndex, attempt: u32) -> bool {
        let Some(statement) = self.statement(index) else {
            return false;
        };
        if statement.state != StatementState::Running {
            return false;
        }
        let Some(&Attempt {
            engine,
            started_at,
            charged_work_secs,
            ..
        }) = statement.running_attempt(attempt)
        else {
            return false;
        };
        if !self.is_permitted(now, index, Action::ConfirmSend(engine)) {
            return false;
        }
        let is_retry = self.retract_retry(index, started_at);
        if is_retry {
            self.retry_budget.record_retry(now);
        }
        let sends = &mut self.engines[engine.0].sends;
        if sends.remove(started_at, charged_work_secs) {
            sends.push(now, charged_work_secs);
        }
        true
    }

    /// The client begins to receive the result of an attempt.
    pub fn on_response_started(&mut self, _now: Nanos, index: StatementIndex, attempt: u32) {
        let Some(statement) = self.statement(index) else {
            return;
        };
        let is_answered = statement.state == StatementState::Answered;
        if !is_answered && statement.running_attempt(attempt).is_some() {
            self.transition(index, StatementState::Streaming);
        }
    }

    /// An engine reports the progress of an attempt.
    ///
    /// An attempt with a bad plan is cancelled and retried: one projected to take many times what its work
    /// should take. That covers attempts that stand still. Hurts when estimates are far too low: work is
    /// lost.
    pub fn on_progress(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        attempt: u32,
        progress: AttemptProgress,
        out: &mut dyn Output,
    ) {
        let Some(statement) = self.statement_mut(index) else {
            return;
        };
        let Some(running) = statement.attempt.as_mut().filter(|a| a.number == attempt) else {
            return;
        };
        running.last_progress_at = now;
        let elapsed = now - running.started_at;
        match progress {
            AttemptProgress::SpilledMb(missing_mb) => self.learn_memory(index, missing_mb),
            AttemptProgress::FractionDone(done) => {
                if self.has_bad_plan(index, elapsed, done) && self.is_within_retry_budget(now, 1) {
                    self.cancel_attempt(index, out);
                }
            }
            AttemptProgress::WaitingForMemory | AttemptProgress::WaitingForBulkLoad => {}
        }
    }

    /// An attempt has ended. One that does not run is ignored.
    pub fn on_attempt_ended(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        ended: &AttemptEnded,
        out: &mut dyn Output,
    ) {
        let Some(statement) = self.statement_mut(index) else {
            return;
        };
        let Some(attempt) = statement.attempt.take_if(|a| a.number == ended.attempt) else {
            return;
        };
        let workload = statement.workload;
        let table_group = statement.table_group;
        self.uncount_attempt(workload, attempt.engine);
        let is_fault = self.record_end(now, index, &attempt, ended.outcome);
        match ended.outcome {
            Outcome::Completed => self.learn_completion(now, index, &attempt, ended),
            Outcome::Overloaded => {
                self.engines[attempt.engine.0].overloaded_until = now + OVERLOAD_BACKOFF;
            }
            Outcome::NotSent => self.take_back_send(index, &attempt),
            Outcome::Error
            | Outcome::TimedOut
            | Outcome::ConnectFailed
            | Outcome::Reset
            | Outcome::Cancelled
            | Outcome::NeverDispatched => {}
        }
        let is_completed = ended.outcome == Outcome::Completed;
        if is_completed || is_fault {
            self.record_outcome(now, attempt.engine, is_completed, out);
        }
        if self.deployment.workloads[workload].is_bulk_load {
            let change = BulkLoadChange::Ends;
            self.on_own_bulk_load(now, attempt.engine, table_group, change, out);
        }
        self.read_load_report(now, attempt.engine, ended.load_report);
        if ended.has_final_answer {
            self.transition(index, StatementState::Answered);
        } else {
            self.retry_or_answer(now, index, ended.outcome, out);
        }
        self.forget_if_finished(index, out);
        self.dispatch(now, out);
    }

    /// The client no longer waits for the statement: it needs no answer, and its attempt is cancelled.
    pub fn on_statement_expired(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        out: &mut dyn Output,
    ) {
        if self.statement(index).is_some() {
            self.cancel_attempt(index, out);
            self.transition(index, StatementState::Answered);
            self.forget_if_finished(index, out);
            self.dispatch(now, out);
        }
    }

    /// The gateway shuts down: what is open must be answered by `deadline`.
    pub fn begin_shutdown(&mut self, deadline: Nanos) {
        for statement in self.statements.iter_mut().flatten() {
            statement.deadline = statement.deadline.min(deadline);
        }
    }

    /// A timer of [`Output::set_timer`] has fired.
    pub fn on_timer(&mut self, now: Nanos, timer: u64, out: &mut dyn Output) {
        if timer == TIMER_WATCH_ENDPOINTS {
            return out.watch_endpoints();
        }
        self.is_housekeeping_timer_set = false;
        self.detect_lost_attempts(now, out);
        self.answer_before_deadlines(now, out);
        self.dispatch(now, out);
        self.key_queues.evict_idle(now);
        self.set_housekeeping_timer(out);
    }

    /// Rule 1: what has no answer at the last moment before its deadline gets one here.
    fn answer_before_deadlines(&mut self, now: Nanos, out: &mut dyn Output) {
        let last_moment = now + 2 * self.deployment.tick.max(MILLISECOND);
        for index in 0..self.statements.len() {
            let index = StatementIndex(index);
            let is_due = |statement: &Statement| {
                let is_streaming = statement.state == StatementState::Streaming;
                let is_answered = statement.state == StatementState::Answered;
                !is_streaming && !is_answered && statement.deadline <= last_moment
            };
            if self.statement(index).is_some_and(is_due) {
                self.reject_or_abort(now, index, out);
            }
        }
    }

    fn set_housekeeping_timer(&mut self, out: &mut dyn Output) {
        if self.open_statements > 0 && !self.is_housekeeping_timer_set {
            self.is_housekeeping_timer_set = true;
            out.set_timer(TIMER_HOUSEKEEPING, HOUSEKEEPING_INTERVAL);
        }
    }

    /// What is in hand now.
    pub fn in_flight(&self) -> InFlight {
        let threads = |(state, workload): (&WorkloadState, &Workload)| {
            f64::from(state.in_flight) * workload.threads
        };
        InFlight {
            statements: self.open_statements,
            attempts: self.workloads.iter().map(|state| state.in_flight).sum(),
            threads: self
                .workloads
                .iter()
                .zip(&self.deployment.workloads)
                .map(threads)
                .sum(),
        }
    }
}
