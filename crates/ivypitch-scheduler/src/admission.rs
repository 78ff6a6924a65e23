//! Admission: what a statement is when it arrives, by what is known of its workload and its tenant.

use crate::events::Arrival;
use crate::output::Output;
use crate::scheduler::Scheduler;
use crate::statement::Statement;
use ivypitch_types::{Nanos, StatementIndex, nanos_from_secs, secs_from_nanos};

/// A statement waits for capacity for this part of its latency objective, its work counted in.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// A statement counts as at least this much work.
const MIN_WORK_SECS: f64 = 1e-4;

impl Scheduler {
    /// Puts a statement into its workload's queue; `false`: its workload is unknown and it was aborted.
    pub(crate) fn admit(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        arrival: &Arrival,
        out: &mut dyn Output,
    ) -> bool {
        if arrival.workload >= self.deployment.workloads.len() {
            out.abort(index);
            out.forget(index);
            return false;
        }
        let statement = self.new_statement(now, arrival);
        self.key_queues.push(statement.key, index);
        if self.statements.len() <= index.0 {
            self.statements.resize_with(index.0 + 1, || None);
        }
        self.statements[index.0] = Some(statement);
        self.open_statements += 1;
        self.retry_budget.record_arrival(now);
        self.resize_subsets(now);
        self.workloads[arrival.workload].queue.push(index);
        true
    }

    /// Learns from an arrival and builds its statement.
    fn new_statement(&mut self, now: Nanos, arrival: &Arrival) -> Statement {
        let work_secs = self.learn_arrival(arrival);
        let tenants = &self.deployment.tenants;
        let is_within_quota = self.quotas.try_take(now, tenants, arrival.tenant);
        let workload = &self.deployment.workloads[arrival.workload];
        let mut priority_weight = workload.priority_weight;
        if !is_within_quota {
            priority_weight *= self.deployment.over_quota_priority_weight;
        }
        let cost = &self.workloads[arrival.workload].cost;
        let charged_work_secs = cost.true_work_secs.max(cost.estimated_work_secs);
        self.arrival_mix.learn(priority_weight, cost.true_work_secs);
        let objective_secs = secs_from_nanos(workload.latency_objective)
            + workload.latency_objective_stretch * work_secs / workload.threads.max(1.0);
        let max_wait =
            nanos_from_secs(MAX_WAIT_FRACTION * objective_secs).min(arrival.time_left / 2);
        let key = if workload.is_ordered_by_key {
            arrival.key
        } else {
            0
        };
        let is_kept_apart = self.has_readers_of_bulk_loads && workload.is_bulk_load;
        Statement {
            workload: arrival.workload,
            key,
            table_group: arrival.table_group,
            point: self.draw_statement_point(arrival.table_group, is_kept_apart),
            deadline: now.saturating_add(arrival.time_left),
            work_secs: work_secs.max(MIN_WORK_SECS),
            charged_work_secs,
            estimated_memory_mb: arrival.estimated_memory_mb,
            priority_weight,
            wait_until: now + max_wait,
            ..Statement::default()
        }
    }
}
