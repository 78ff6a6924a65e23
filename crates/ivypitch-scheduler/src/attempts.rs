//! Attempts: how they are sent, counted, cancelled and evaluated when they end.

use crate::bulk_loads::BulkLoadChange;
use crate::deployment::Idempotency;
use crate::engine::EngineHealth;
use crate::outlier_detection::{MAX_COUNTED_ERRORS_PER_STATEMENT, PROBE_INTERVAL};
use crate::output::Output;
use crate::safety_rules::Action;
use crate::scheduler::Scheduler;
use crate::statement::{Attempt, PossibleRun, StatementState};
use ivypitch_types::{EngineIndex, Nanos, Outcome, StatementIndex, secs_from_nanos};

/// After a failed attempt a statement waits for an engine for at most the time to its deadline
/// divided by this.
const MAX_RETRY_WAIT_DIVISOR: Nanos = 8;
/// Ratio of an attempt's projected total time to the time that its work should take, above which
/// its plan counts as bad.
const BAD_PLAN_TOTAL_TIME_RATIO: f64 = 2.5;
/// Ratio of an attempt's projected remaining time to the time that its work should take, which a
/// bad plan must exceed as well.
const BAD_PLAN_REMAINING_TIME_RATIO: f64 = 2.0;

/// Engine priority of attempts of long workloads.
const LONG_PRIORITY: u8 = 1;
/// Engine priority of attempts of short workloads.
const SHORT_PRIORITY: u8 = 3;
/// Engine priority of attempts beyond their tenant's quota.
const OVER_QUOTA_PRIORITY: u8 = 0;

impl Scheduler {
    /// Sends a statement to an engine, if the safety rules allow it.
    pub(crate) fn send(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        engine: EngineIndex,
        output: &mut dyn Output,
    ) {
        if !self.is_permitted(now, index, Action::Send(engine)) {
            return;
        }
        self.transition(index, StatementState::Running);
        self.set_resources(index, output);
        let Some(statement) = &mut self.statements[index.0] else {
            return;
        };
        if statement.is_retry() {
            self.retry_budget.record_retry(now);
        }
        let timeout = statement
            .deadline
            .saturating_sub(now + 2 * self.deployment.tick)
            .max(1);
        output.send(index, engine, timeout);
        let charged_work_secs = statement.charged_work_secs;
        statement.attempt = Some(Attempt {
            engine,
            started_at: now,
            number: statement.attempts,
            charged_work_secs,
            last_progress_at: now,
        });
        statement.attempts += 1;
        let workload = statement.workload;
        let query_point = statement.query_point;
        let table_group = statement.table_group;
        self.add_in_flight_attempt(workload, engine);
        self.record_engine_send(now, engine, charged_work_secs);
        if self.deployment.workloads[workload].is_bulk_load {
            self.on_own_bulk_load(now, engine, table_group, BulkLoadChange::Begins, output);
        }
        self.record_send(engine, query_point, table_group);
    }

    /// Sets the memory grant and the priority of the next attempt, where engines honor either.
    fn set_resources(&self, index: StatementIndex, output: &mut dyn Output) {
        let deployment = &self.deployment;
        if !deployment.honors_priorities && !deployment.honors_memory_grants {
            return;
        }
        let Some(statement) = self.statement(index) else {
            return;
        };
        let state = &self.workloads[statement.workload];
        let grant_mb = if deployment.honors_memory_grants {
            statement.estimated_memory_mb * state.cost.memory_factor
        } else {
            0.0
        };
        let full_weight = deployment.workloads[statement.workload].priority_weight;
        let priority = if statement.priority_weight < full_weight {
            OVER_QUOTA_PRIORITY
        } else if state.is_long {
            LONG_PRIORITY
        } else {
            SHORT_PRIORITY
        };
        output.set_resources(index, grant_mb, priority);
    }

    /// Counts an attempt of the workload as running on the engine.
    pub(crate) fn add_in_flight_attempt(&mut self, workload: usize, engine: EngineIndex) {
        let threads = self.deployment.workloads[workload].threads;
        let state = &mut self.workloads[workload];
        state.in_flight += 1;
        let engine = &mut self.engines[engine.0];
        engine.in_flight += 1;
        *engine.threads.of_class_mut(state.is_long) += threads;
    }

    /// Reverts [`Self::add_in_flight_attempt`] when the attempt ends.
    pub(crate) fn remove_in_flight_attempt(&mut self, workload: usize, engine: EngineIndex) {
        let threads = self.deployment.workloads[workload].threads;
        let state = &mut self.workloads[workload];
        state.in_flight -= 1;
        let engine = &mut self.engines[engine.0];
        engine.in_flight -= 1;
        *engine.threads.of_class_mut(state.is_long) -= threads;
    }

    /// Records a send for the engine probes and for the engine's slow-start limit.
    fn record_engine_send(&mut self, now: Nanos, engine: EngineIndex, work_secs: f64) {
        let window_start = now.saturating_sub(self.deployment.overload_window);
        let engine = &mut self.engines[engine.0];
        engine.next_probe_at = now + PROBE_INTERVAL;
        if engine.is_ejected() {
            self.sends_since_probe = 0;
        } else {
            self.sends_since_probe += 1;
        }
        engine.sends.push(now, work_secs);
        engine.sends.evict_before(window_start);
    }

    /// Cancels the statement's attempt if one is running and the deployment allows cancellation.
    pub(crate) fn cancel_attempt(&mut self, index: StatementIndex, output: &mut dyn Output) {
        let Some(statement) = self.statement(index) else {
            return;
        };
        if statement.state != StatementState::Running || !self.deployment.can_cancel {
            return;
        }
        if let Some(attempt) = &statement.attempt {
            output.cancel(index, attempt.number);
            self.transition(index, StatementState::Cancelling);
        }
    }

    /// Whether a running attempt should be cancelled and retried, given the fraction of its work
    /// done after `elapsed`.
    pub(crate) fn has_bad_plan(
        &self,
        index: StatementIndex,
        elapsed: Nanos,
        fraction_done: f64,
    ) -> bool {
        let Some(statement) = self.statement(index) else {
            return false;
        };
        let workload = &self.deployment.workloads[statement.workload];
        let can_retry = statement.state == StatementState::Running
            && workload.idempotency == Idempotency::Idempotent
            && statement.sent_attempts() < self.deployment.max_attempts;
        let elapsed_secs = secs_from_nanos(elapsed);
        let remaining_secs =
            elapsed_secs * (1.0 - fraction_done).max(0.0) / fraction_done.max(0.01);
        let slowness = self.workloads[statement.workload].cost.slowness;
        let expected_secs = statement.work_secs / workload.threads.max(1.0) * slowness;
        can_retry
            && remaining_secs > BAD_PLAN_REMAINING_TIME_RATIO * expected_secs
            && elapsed_secs + remaining_secs > BAD_PLAN_TOTAL_TIME_RATIO * expected_secs
    }

    /// Records the outcome of an attempt at its statement and key. Returns whether the outcome
    /// counts as a fault of the engine.
    pub(crate) fn record_attempt_outcome(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        attempt: &Attempt,
        outcome: Outcome,
    ) -> bool {
        let Some(statement) = self.statements[index.0].as_mut() else {
            return false;
        };
        if !outcome.never_ran() {
            statement.possible_run.get_or_insert(PossibleRun {
                engine: attempt.engine,
                started_at: attempt.started_at,
            });
        }
        let is_healthy = self.engines[attempt.engine.0].health == EngineHealth::Healthy;
        if outcome == Outcome::Error && is_healthy {
            statement.errors += 1;
        }
        let is_effect_unknown = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if is_effect_unknown {
            let settles_at = now + self.deployment.key_settle_time.unwrap_or(0);
            self.key_queues.settle_until(statement.key, settles_at);
        }
        match outcome {
            Outcome::Error => statement.errors <= MAX_COUNTED_ERRORS_PER_STATEMENT,
            Outcome::Reset | Outcome::ConnectFailed => true,
            Outcome::Completed
            | Outcome::Overloaded
            | Outcome::TimedOut
            | Outcome::Cancelled
            | Outcome::NeverDispatched
            | Outcome::NotSent => false,
        }
    }

    /// Reverts the counts of an attempt that never left the gateway.
    pub(crate) fn retract_send(&mut self, index: StatementIndex, attempt: &Attempt) {
        let sends = &mut self.engines[attempt.engine.0].sends;
        sends.remove(attempt.started_at, attempt.charged_work_secs);
        self.retract_retry(index, attempt.started_at);
        if let Some(statement) = self.statement_mut(index) {
            statement.unsent_attempts += 1;
        }
    }

    /// Removes a retry from the retry budget. Returns `false` if the send was not a retry.
    pub(crate) fn retract_retry(&mut self, index: StatementIndex, sent_at: Nanos) -> bool {
        let is_retry = self
            .statement(index)
            .is_some_and(|statement| statement.sent_attempts() > 1);
        is_retry && self.retry_budget.retract_retry(sent_at)
    }

    /// Queues the statement for another attempt if one is allowed; otherwise gives its final
    /// answer.
    pub(crate) fn retry_or_answer(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        outcome: Outcome,
        output: &mut dyn Output,
    ) {
        let Some(statement) = self.statement_mut(index) else {
            return;
        };
        if statement.state == StatementState::Answered {
            return;
        }
        let time_left = statement.deadline.saturating_sub(now);
        statement.wait_deadline = now + time_left / MAX_RETRY_WAIT_DIVISOR;
        let workload = statement.workload;
        if outcome != Outcome::NeverDispatched && self.can_retry(now, index) {
            self.transition(index, StatementState::Waiting);
            self.workloads[workload].queue.push(index);
        } else {
            self.reject_or_abort(now, index, output);
        }
    }

    /// Whether the statement may get a further attempt on some engine.
    fn can_retry(&self, now: Nanos, index: StatementIndex) -> bool {
        let Some(statement) = self.statement(index) else {
            return false;
        };
        if statement.is_abandoned || statement.sent_attempts() >= self.deployment.max_attempts {
            return false;
        }
        let Some(first) = statement.possible_run else {
            return true;
        };
        let workload = &self.deployment.workloads[statement.workload];
        match workload.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => self.is_in_deduplication_window(now, workload, first),
            Idempotency::NonIdempotent => false,
        }
    }
}
