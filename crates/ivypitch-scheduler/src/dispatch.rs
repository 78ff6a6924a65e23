//! Which waiting statement is sent next, and load shedding: which one is rejected.

use crate::deployment::Workload;
use crate::output::Output;
use crate::safety_rules::Action;
use crate::scheduler::Scheduler;
use crate::statement::{Statement, StatementState};
use ivypitch_types::{Nanos, SECOND, StatementIndex};

/// Where more statements wait, they are looked at once for each time of the clock.
const MAX_WAITING_FOR_EVERY_EVENT: usize = 8;
/// This part of the slots for open statements is for all ...
const UNRESERVED_SLOTS_FRACTION: f64 = 0.95;
/// ... and the last for statements whose priority weight for their time is so many times the usual.
const RESERVED_SLOT_VALUE_RATIO: f64 = 1.4;
/// Out of turn in its key's order, a statement waits on until so long before its deadline.
const KEY_ORDER_MARGIN: Nanos = SECOND;

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
    /// The last are for statements that are worth much for their time. Guards against few that run long
    /// keeping out many. Hurts where estimates mislead.
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

    /// Gives the final answer to a statement that will not complete: a rejection where the safety rules allow
    /// it, else an abort.
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
