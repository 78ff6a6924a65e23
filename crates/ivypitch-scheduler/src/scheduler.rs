//! The state of a scheduler and its entry points, one per event.

use crate::bulk_loads::{BulkLoadChange, BulkLoads};
use crate::cost_model::ArrivalMix;
use crate::deployment::{Deployment, Workload};
use crate::engine::Engine;
use crate::events::{
    Arrival, AttemptEnded, AttemptProgress, EndpointUpdateKind, EngineEndpoint, OutlierStatus,
};
use crate::key_order::KeyQueues;
use crate::outlier_detection::{MAX_COUNTED_ERRORS_PER_STATEMENT, MIN_SENDS_PER_PROBE};
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

/// Interval at which open statements are checked for lost attempts and deadlines.
const HOUSEKEEPING_INTERVAL: Nanos = SECOND / 100;
/// A failed request for the endpoint list is repeated after this interval plus a jitter of up to
/// the same length.
const WATCH_RETRY_INTERVAL: Nanos = SECOND;
/// How long an engine gets no attempts after it has rejected one as overloaded.
const OVERLOAD_BACKOFF: Nanos = SECOND;

/// Timer for housekeeping while statements are open.
const TIMER_HOUSEKEEPING: u64 = 0;
/// Timer that repeats a failed request for the endpoint list.
const TIMER_WATCH_ENDPOINTS: u64 = 1;

/// Reproducible pseudo-random numbers: a hash of the seed and the number of draws.
#[derive(Default)]
pub(crate) struct RandomSequence {
    seed: u64,
    draws: u64,
}

impl RandomSequence {
    /// Returns the next number in `[0, 1)`.
    pub fn next_f64(&mut self) -> f64 {
        self.draws += 1;
        hash_to_unit_interval(&(self.seed, self.draws))
    }
}

/// Counts of a scheduler's open statements and running attempts.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct InFlight {
    /// Open statements, including answered ones whose attempt still runs.
    pub statements: usize,
    /// Running attempts.
    pub attempts: u32,
    /// Threads that the running attempts occupy on their engines.
    pub threads: f64,
}

/// The scheduler of one gateway. See the [crate's documentation](crate) for its contract.
#[derive(Default)]
pub struct Scheduler {
    pub(crate) deployment: Deployment,
    pub(crate) random: RandomSequence,
    pub(crate) started_at: Nanos,
    /// Indexed by [`StatementIndex`]; `None`: the index is free.
    pub(crate) statements: Vec<Option<Statement>>,
    pub(crate) open_statements: usize,
    pub(crate) workloads: Vec<WorkloadState>,
    /// Indexed by [`EngineIndex`]; the entry of an engine that is no longer referenced may be
    /// reused.
    pub(crate) engines: Vec<Engine>,
    pub(crate) listed_engines: usize,
    /// Number of engines that this gateway sends statements to.
    pub(crate) engines_in_use: usize,
    /// The last N sends of this gateway (the paper's N), oldest first.
    pub(crate) recent_sends: VecDeque<RecentSend>,
    pub(crate) sends_since_probe: u32,
    pub(crate) key_queues: KeyQueues,
    pub(crate) bulk_loads: BulkLoads,
    /// Whether the statements of some workload stall while a bulk load locks their table group.
    pub(crate) has_readers_of_bulk_loads: bool,
    pub(crate) retry_budget: RetryBudgetTracker,
    pub(crate) quotas: TenantQuotas,
    pub(crate) arrival_mix: ArrivalMix,
    /// Smoothed fraction of load reports that show pressure.
    pub(crate) pressure_fraction: f64,
    pub(crate) last_dispatch_at: Nanos,
    is_housekeeping_timer_set: bool,
}

impl Scheduler {
    /// Creates the scheduler of a gateway that starts at `now`. `seed` determines its random draws.
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
            sends_since_probe: MIN_SENDS_PER_PROBE,
            ..Scheduler::default()
        }
    }

    /// Requests the endpoint list if the deployment does not deliver it unasked.
    pub fn start(&mut self, _now: Nanos, output: &mut dyn Output) {
        if self.deployment.must_request_endpoints {
            output.watch_endpoints();
        }
    }

    /// Applies a change of the endpoint list.
    pub fn on_endpoints_updated(
        &mut self,
        now: Nanos,
        kind: EndpointUpdateKind,
        endpoints: &[EngineEndpoint],
        output: &mut dyn Output,
    ) {
        if kind != EndpointUpdateKind::Delta {
            self.unlist_missing_engines(endpoints);
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint, output);
        }
        self.resize_subsets(now);
        self.dispatch(now, output);
    }

    /// Schedules another request for the endpoint list after one has failed. The random jitter
    /// keeps gateways from repeating their requests at the same time.
    pub fn on_endpoint_watch_failed(&mut self, _now: Nanos, output: &mut dyn Output) {
        let jitter = (self.random.next_f64() * WATCH_RETRY_INTERVAL as f64) as Nanos;
        output.set_timer(TIMER_WATCH_ENDPOINTS, WATCH_RETRY_INTERVAL + jitter);
    }

    /// Whether the endpoint list, an open statement, an attempt or a recent send refers to the
    /// engine. Otherwise its index may be reused for another engine.
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

    /// Applies the fleet's common decision on an engine's health.
    pub fn on_outlier_status(
        &mut self,
        index: EngineIndex,
        status: OutlierStatus,
        output: &mut dyn Output,
    ) {
        self.apply_outlier_status(index, status, output);
    }

    /// Sets this gateway's share of a tenant's quota, 0 to 1. The initial share is `1 / gateways`.
    pub fn set_quota_share(&mut self, tenant: usize, share: f64) {
        self.quotas.set_quota_share(tenant, share);
    }

    /// Handles an engine's reply to a request for a load report.
    pub fn on_load_report(
        &mut self,
        now: Nanos,
        index: EngineIndex,
        report: &[f32],
        output: &mut dyn Output,
    ) {
        self.read_load_report(now, index, report);
        self.dispatch(now, output);
    }

    /// Handles a message that another gateway has sent by [`Output::broadcast`]. Messages that
    /// cannot be decoded are ignored.
    pub fn on_peer_message(&mut self, now: Nanos, message: &[u8]) {
        self.on_peer_bulk_load(now, message);
    }

    /// Admits a statement that arrives. `index` must be free.
    pub fn on_statement_arrived(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        arrival: Arrival,
        output: &mut dyn Output,
    ) {
        if self.admit(now, index, &arrival, output) {
            self.dispatch(now, output);
            self.set_housekeeping_timer(output);
        }
    }

    /// Takes over a statement whose attempt a lost gateway has sent to `engine`.
    ///
    /// The attempt counts as a retry, and its first error does not count against the engine.
    pub fn take_over_statement(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        arrival: Arrival,
        engine: EngineIndex,
        output: &mut dyn Output,
    ) {
        if !self.admit(now, index, &arrival, output) {
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
        statement.errors = MAX_COUNTED_ERRORS_PER_STATEMENT;
        statement.possible_run = Some(PossibleRun {
            engine,
            started_at: now,
        });
        let table_group = statement.table_group;
        self.add_in_flight_attempt(arrival.workload, engine);
        self.retry_budget.record_retry(now);
        if self.deployment.workloads[arrival.workload].is_bulk_load {
            self.on_own_bulk_load(now, engine, table_group, BulkLoadChange::Begins, output);
        }
        self.set_housekeeping_timer(output);
    }

    /// Checks the safety rules again just before the first byte of an attempt is sent. From then on
    /// the attempt counts in the slow-start and retry windows as sent at `now`.
    ///
    /// Returns `false` if the attempt must not be sent; the host then reports its end as
    /// [`Outcome::NotSent`].
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

    /// Records that the client has begun to receive the result of an attempt.
    pub fn on_response_started(&mut self, _now: Nanos, index: StatementIndex, attempt: u32) {
        let Some(statement) = self.statement(index) else {
            return;
        };
        let is_answered = statement.state == StatementState::Answered;
        if !is_answered && statement.running_attempt(attempt).is_some() {
            self.transition(index, StatementState::Streaming);
        }
    }

    /// Handles an engine's report on the progress of an attempt.
    ///
    /// An attempt with a bad plan is cancelled and retried: one whose projected time is a multiple
    /// of the time that its work should take. This includes stalled attempts. Drawback: if
    /// estimates are far too low, the work done so far is lost.
    pub fn on_progress(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        attempt: u32,
        progress: AttemptProgress,
        output: &mut dyn Output,
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
            AttemptProgress::SpilledMb(missing_mb) => self.update_memory_factor(index, missing_mb),
            AttemptProgress::FractionDone(done) => {
                if self.has_bad_plan(index, elapsed, done) && self.is_within_retry_budget(now, 1) {
                    self.cancel_attempt(index, output);
                }
            }
            AttemptProgress::WaitingForMemory | AttemptProgress::WaitingForBulkLoad => {}
        }
    }

    /// Handles the end of an attempt. An attempt that is not running is ignored.
    pub fn on_attempt_ended(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        ended: &AttemptEnded,
        output: &mut dyn Output,
    ) {
        let Some(statement) = self.statement_mut(index) else {
            return;
        };
        let Some(attempt) = statement.attempt.take_if(|a| a.number == ended.attempt) else {
            return;
        };
        let workload = statement.workload;
        let table_group = statement.table_group;
        self.remove_in_flight_attempt(workload, attempt.engine);
        let is_fault = self.record_attempt_outcome(now, index, &attempt, ended.outcome);
        match ended.outcome {
            Outcome::Completed => self.update_costs_on_completion(now, index, &attempt, ended),
            Outcome::Overloaded => {
                self.engines[attempt.engine.0].overloaded_until = now + OVERLOAD_BACKOFF;
            }
            Outcome::NotSent => self.retract_send(index, &attempt),
            Outcome::Error
            | Outcome::TimedOut
            | Outcome::ConnectFailed
            | Outcome::Reset
            | Outcome::Cancelled
            | Outcome::NeverDispatched => {}
        }
        let is_completed = ended.outcome == Outcome::Completed;
        if is_completed || is_fault {
            self.record_engine_outcome(now, attempt.engine, is_completed, output);
        }
        if self.deployment.workloads[workload].is_bulk_load {
            let change = BulkLoadChange::Ends;
            self.on_own_bulk_load(now, attempt.engine, table_group, change, output);
        }
        self.read_load_report(now, attempt.engine, ended.load_report);
        if ended.has_final_answer {
            self.transition(index, StatementState::Answered);
        } else {
            self.retry_or_answer(now, index, ended.outcome, output);
        }
        self.forget_if_finished(index, output);
        self.dispatch(now, output);
    }

    /// Closes a statement whose client no longer waits: it needs no answer, and its attempt is
    /// cancelled.
    pub fn on_statement_expired(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        output: &mut dyn Output,
    ) {
        if self.statement(index).is_some() {
            self.cancel_attempt(index, output);
            self.transition(index, StatementState::Answered);
            self.forget_if_finished(index, output);
            self.dispatch(now, output);
        }
    }

    /// Handles the disconnection of the last client of a statement whose attempt may have run, in a
    /// fleet of gateways that keep its outcome: the running attempt goes on to its end, and no
    /// further one begins. A statement without a running attempt is answered now.
    pub fn on_client_disconnected(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        output: &mut dyn Output,
    ) {
        let Some(statement) = self.statement_mut(index) else {
            return;
        };
        statement.is_abandoned = true;
        if statement.state == StatementState::Waiting {
            self.reject_or_abort(now, index, output);
            self.dispatch(now, output);
        }
    }

    /// Shortens the deadlines of all open statements to `deadline`, because the gateway shuts down.
    pub fn begin_shutdown(&mut self, deadline: Nanos) {
        for statement in self.statements.iter_mut().flatten() {
            statement.deadline = statement.deadline.min(deadline);
        }
    }

    /// Handles a timer set by [`Output::set_timer`] that has fired.
    pub fn on_timer(&mut self, now: Nanos, timer: u64, output: &mut dyn Output) {
        if timer == TIMER_WATCH_ENDPOINTS {
            return output.watch_endpoints();
        }
        self.is_housekeeping_timer_set = false;
        self.detect_lost_attempts(now, output);
        self.answer_before_deadlines(now, output);
        self.dispatch(now, output);
        self.key_queues.evict_idle(now);
        self.set_housekeeping_timer(output);
    }

    /// Safety rule 1: rejects or aborts statements that have no answer shortly before their
    /// deadline.
    fn answer_before_deadlines(&mut self, now: Nanos, output: &mut dyn Output) {
        let answer_threshold = now + 2 * self.deployment.tick.max(MILLISECOND);
        for index in 0..self.statements.len() {
            let index = StatementIndex(index);
            let needs_answer = |statement: &Statement| {
                let is_streaming = statement.state == StatementState::Streaming;
                let is_answered = statement.state == StatementState::Answered;
                !is_streaming && !is_answered && statement.deadline <= answer_threshold
            };
            if self.statement(index).is_some_and(needs_answer) {
                self.reject_or_abort(now, index, output);
            }
        }
    }

    fn set_housekeeping_timer(&mut self, output: &mut dyn Output) {
        if self.open_statements > 0 && !self.is_housekeeping_timer_set {
            self.is_housekeeping_timer_set = true;
            output.set_timer(TIMER_HOUSEKEEPING, HOUSEKEEPING_INTERVAL);
        }
    }

    /// Counts the open statements and running attempts.
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
