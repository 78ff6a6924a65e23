//! Dispatch of waiting statements and load shedding.

use crate::deployment::Workload;
use crate::output::Output;
use crate::safety_rules::Action;
use crate::scheduler::Scheduler;
use crate::statement::{Statement, StatementState};
use ivypitch_types::{Nanos, SECOND, StatementIndex};

/// Number of waiting statements above which dispatch runs at most once for each value of the clock.
const MAX_WAITING_FOR_REPEATED_DISPATCH: usize = 8;
/// Fraction of the slots for open statements that any statement may take.
const UNRESERVED_SLOTS_FRACTION: f64 = 0.95;
/// Ratio of a statement's priority weight per time to the usual one at which the statement may take
/// every reserved slot.
const RESERVED_SLOT_VALUE_RATIO: f64 = 1.4;
/// Time before its deadline until which a statement may wait for earlier statements of its key.
const KEY_ORDER_DEADLINE_MARGIN: Nanos = SECOND;

struct WaitingStatement {
    /// Priority weight per second of work.
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
    /// Returns `None` for a statement that has conditions of its own on engines.
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
    /// Sends waiting statements, those with the highest priority weight per work first. Statements
    /// that have exceeded their maximum wait are answered.
    pub(crate) fn dispatch(&mut self, now: Nanos, output: &mut dyn Output) {
        let waiting: usize = self.workloads.iter().map(|state| state.queue.len()).sum();
        // The total cost must not grow with the square of the number of waiting statements.
        if waiting > MAX_WAITING_FOR_REPEATED_DISPATCH && self.last_dispatch_at == now {
            return;
        }
        self.last_dispatch_at = now;
        // If a statement of a class finds no capacity, neither do less valuable ones of that class,
        // so their search is skipped.
        let mut exhausted_classes: Vec<StatementClass> = Vec::new();
        for WaitingStatement { index, .. } in self.waiting_by_value() {
            let Some(statement) = self.statement(index) else {
                continue;
            };
            let workload = &self.deployment.workloads[statement.workload];
            let class = StatementClass::of(statement, workload);
            let can_take_slot = self.can_take_slot(statement);
            let is_exhausted = class
                .as_ref()
                .is_some_and(|c| exhausted_classes.contains(c));
            if can_take_slot && !is_exhausted {
                if let Some(engine) = self.choose_engine(now, index) {
                    if !self.awaits_load_report(now, index, engine, output) {
                        self.send(now, index, engine, output);
                    }
                    continue;
                }
                exhausted_classes.extend(class);
            }
            if !can_take_slot || self.has_exceeded_max_wait(now, index) {
                self.reject_or_abort(now, index, output);
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

    /// Whether a statement that found no engine must be answered now.
    fn has_exceeded_max_wait(&self, now: Nanos, index: StatementIndex) -> bool {
        let Some(statement) = self.statement(index) else {
            return false;
        };
        let is_blocked_by_key = self
            .key_queues
            .get(statement.key)
            .is_some_and(|queue| !queue.is_first(index) || queue.is_settling(now));
        let can_wait_for_key =
            is_blocked_by_key && now + KEY_ORDER_DEADLINE_MARGIN < statement.deadline;
        now >= statement.wait_deadline && !can_wait_for_key
    }

    /// Whether the statement may take one of the slots for open statements.
    ///
    /// The last slots are reserved for statements of high priority weight per time. Guards against
    /// a few long statements keeping out many short ones. Drawback: depends on good estimates.
    fn can_take_slot(&self, statement: &Statement) -> bool {
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

    /// Gives the final answer to a statement that will not complete: a rejection where the safety
    /// rules permit it, otherwise an abort.
    pub(crate) fn reject_or_abort(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        output: &mut dyn Output,
    ) {
        if self.is_permitted(now, index, Action::Reject) {
            let retry_after = if self.deployment.honors_retry_after {
                self.deployment.max_retry_after
            } else {
                0
            };
            output.reject(index, retry_after);
        } else if self.is_permitted(now, index, Action::Abort) {
            output.abort(index);
        } else {
            return;
        }
        self.cancel_attempt(index, output);
        self.transition(index, StatementState::Answered);
        self.forget_if_finished(index, output);
    }
}
