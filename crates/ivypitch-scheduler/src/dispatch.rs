//! Which waiting statement is sent next, and load shedding: which one is rejected.

use crate::bulk_loads::BulkLoadChange;
use crate::deployment::Workload;
use crate::outlier_detection::TRIAL_INTERVAL;
use crate::output::Output;
use crate::safety_rules::Action;
use crate::scheduler::Scheduler;
use crate::statement::{Attempt, Statement, StatementState};
use ivypitch_types::{EngineIndex, Nanos, SECOND, StatementIndex};

/// Where more statements wait, they are looked at once for each time of the clock.
const MAX_WAITING_FOR_EVERY_EVENT: usize = 8;
/// This part of the slots for open statements is for all ...
const UNRESERVED_SLOTS_FRACTION: f64 = 0.95;
/// ... and the last for statements whose priority weight for their time is so many times the usual.
const RESERVED_SLOT_VALUE_RATIO: f64 = 1.4;
/// Out of turn in its key's order, a statement waits on until so long before its deadline.
const KEY_ORDER_MARGIN: Nanos = SECOND;

const LONG_PRIORITY: u8 = 1;
const SHORT_PRIORITY: u8 = 3;
const OVER_QUOTA_PRIORITY: u8 = 0;

struct WaitingStatement {
    /// Priority weight for each second of work.
    value: f64,
    index: StatementIndex,
}

/// Statements for which the same engines have capacity.
#[derive(PartialEq)]
struct StatementClass {
    workload: usize,
    is_over_quota: bool,
    report_requests: usize,
}

impl StatementClass {
    /// `None` for a statement with conditions of its own.
    fn of(statement: &Statement, workload: &Workload) -> Option<Self> {
        let is_ordinary = statement.key == 0
            && !statement.is_retry()
            && !workload.is_bulk_load
            && !workload.waits_for_bulk_loads;
        is_ordinary.then_some(StatementClass {
            workload: statement.workload,
            is_over_quota: statement.priority_weight < workload.priority_weight,
            report_requests: statement.report_requests,
        })
    }
}

impl Scheduler {
    /// Sends what waits, the most valuable for its work first. What has waited its time is answered.
    pub(crate) fn dispatch(&mut self, now: Nanos, out: &mut dyn Output) {
        let waiting: usize = self.workloads.iter().map(|state| state.queue.len()).sum();
        // The cost must not grow with the square of their number.
        if waiting > MAX_WAITING_FOR_EVERY_EVENT && self.dispatched_at == now {
            return;
        }
        self.dispatched_at = now;
        // Where one of a class finds no capacity, no less valuable one does: the search is spared.
        let mut exhausted_classes: Vec<StatementClass> = Vec::new();
        for WaitingStatement { index, .. } in self.waiting_by_value() {
            let Some(statement) = self.statement(index) else {
                continue;
            };
            let workload = &self.deployment.workloads[statement.workload];
            let class = StatementClass::of(statement, workload);
            let has_slot = self.has_slot(statement);
            let is_exhausted = class
                .as_ref()
                .is_some_and(|c| exhausted_classes.contains(c));
            if has_slot && !is_exhausted {
                if let Some(engine) = self.choose_engine(now, index) {
                    if !self.awaits_load_report(now, index, engine, out) {
                        self.send(now, index, engine, out);
                    }
                    continue;
                }
                exhausted_classes.extend(class);
            }
            if !has_slot || self.has_waited_out(now, index) {
                self.reject_or_abort(now, index, out);
            }
        }
    }

    fn waiting_by_value(&self) -> Vec<WaitingStatement> {
        let mut waiting: Vec<WaitingStatement> = self
            .workloads
            .iter()
            .flat_map(|state| &state.queue)
            .filter_map(|&index| {
                let statement = self.statement(index)?;
                let value = statement.priority_weight / statement.work_secs;
                Some(WaitingStatement { value, index })
            })
            .collect();
        waiting.sort_by(|a, b| b.value.total_cmp(&a.value).then(a.index.cmp(&b.index)));
        waiting
    }

    /// Whether a statement that found no engine gets its answer now.
    fn has_waited_out(&self, now: Nanos, index: StatementIndex) -> bool {
        let Some(statement) = self.statement(index) else {
            return false;
        };
        let is_held_by_key = self
            .key_queues
            .get(statement.key)
            .is_some_and(|queue| !queue.is_first(index) || queue.is_settling(now));
        let can_wait_for_key = is_held_by_key && now + KEY_ORDER_MARGIN < statement.deadline;
        now >= statement.wait_until && !can_wait_for_key
    }

    /// Whether the statement may take one of the slots for open statements.
    ///
    /// The last are for statements that are worth much for their time. Guards against few that run long keeping out
    /// many. Hurts where estimates mislead.
    fn has_slot(&self, statement: &Statement) -> bool {
        let time_secs = |work_secs: f64, workload: usize| {
            work_secs / self.deployment.workloads[workload].threads.max(1.0)
        };
        let usual_time_secs: f64 = (0..self.workloads.len())
            .map(|w| time_secs(self.workloads[w].cost.demand_secs, w))
            .sum();
        let value = statement.priority_weight / time_secs(statement.work_secs, statement.workload);
        let mean_weight = self.arrival_mix.priority_weight.max(1e-9);
        let value_fraction =
            (value * usual_time_secs / mean_weight / RESERVED_SLOT_VALUE_RATIO).min(1.0);
        let slots_fraction =
            UNRESERVED_SLOTS_FRACTION + (1.0 - UNRESERVED_SLOTS_FRACTION) * value_fraction;
        let slots = self.deployment.max_open_statements as f64 * slots_fraction;
        self.open_statements as f64 <= slots
    }

    /// Sends a statement to an engine, if the safety rules allow it.
    fn send(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        engine: EngineIndex,
        out: &mut dyn Output,
    ) {
        if !self.is_permitted(now, index, Action::Send(engine)) {
            return;
        }
        self.transition(index, StatementState::Running);
        self.set_resources(index, out);
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
        out.send(index, engine, timeout);
        let charged_work_secs = statement.charged_work_secs;
        statement.attempt = Some(Attempt {
            engine,
            started_at: now,
            number: statement.attempts,
            charged_work_secs,
            last_progress_at: now,
        });
        statement.attempts += 1;
        let (workload, point) = (statement.workload, statement.point);
        let table_group = statement.table_group;
        self.count_attempt(workload, engine);
        self.charge_engine(now, engine, charged_work_secs);
        if self.deployment.workloads[workload].is_bulk_load {
            self.on_own_bulk_load(now, engine, table_group, BulkLoadChange::Begins, out);
        }
        self.record_send(engine, point, table_group);
    }

    /// Tells the engine the memory and the priority of the next attempt, where engines honor either.
    fn set_resources(&self, index: StatementIndex, out: &mut dyn Output) {
        let deployment = &self.deployment;
        if !deployment.honors_priorities && !deployment.honors_memory_grants {
            return;
        }
        let Some(statement) = self.statement(index) else {
            return;
        };
        let state = &self.workloads[statement.workload];
        let grant_mb = if deployment.honors_memory_grants {
            statement.estimated_mb * state.cost.memory_factor
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
        out.set_resources(index, grant_mb, priority);
    }

    /// Counts an attempt of the workload that runs on the engine from now on.
    pub(crate) fn count_attempt(&mut self, workload: usize, engine: EngineIndex) {
        let threads = self.deployment.workloads[workload].threads;
        let state = &mut self.workloads[workload];
        state.in_flight += 1;
        let engine = &mut self.engines[engine.0];
        engine.in_flight += 1;
        *engine.threads.of_class_mut(state.is_long) += threads;
    }

    /// Takes back [`Self::count_attempt`] as the attempt ends.
    pub(crate) fn uncount_attempt(&mut self, workload: usize, engine: EngineIndex) {
        let threads = self.deployment.workloads[workload].threads;
        let state = &mut self.workloads[workload];
        state.in_flight -= 1;
        let engine = &mut self.engines[engine.0];
        engine.in_flight -= 1;
        *engine.threads.of_class_mut(state.is_long) -= threads;
    }

    /// Counts a send for trials and for the engine's slow-start limit.
    fn charge_engine(&mut self, now: Nanos, engine: EngineIndex, work_secs: f64) {
        let window_start = now.saturating_sub(self.deployment.overload_window);
        let engine = &mut self.engines[engine.0];
        engine.next_trial_at = now + TRIAL_INTERVAL;
        if engine.is_suspected() {
            self.sends_since_trial = 0;
        } else {
            self.sends_since_trial += 1;
        }
        engine.sends.push(now, work_secs);
        engine.sends.evict_before(window_start);
    }

    /// Cancels the statement's attempt, where one runs and attempts may be cancelled.
    pub(crate) fn cancel_attempt(&mut self, index: StatementIndex, out: &mut dyn Output) {
        let Some(statement) = self.statement(index) else {
            return;
        };
        if statement.state != StatementState::Running || !self.deployment.can_cancel {
            return;
        }
        if let Some(attempt) = &statement.attempt {
            out.cancel(index, attempt.number);
            self.transition(index, StatementState::Cancelling);
        }
    }

    /// Gives the final answer to a statement that will not complete: a rejection where the safety rules allow it,
    /// else an abort.
    pub(crate) fn reject_or_abort(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        out: &mut dyn Output,
    ) {
        if self.is_permitted(now, index, Action::Reject) {
            let retry_after = if self.deployment.honors_retry_after {
                self.deployment.max_retry_after
            } else {
                0
            };
            out.reject(index, retry_after);
        } else if self.is_permitted(now, index, Action::Abort) {
            out.abort(index);
        } else {
            return;
        }
        self.cancel_attempt(index, out);
        self.transition(index, StatementState::Answered);
        self.forget_if_finished(index, out);
    }
}
