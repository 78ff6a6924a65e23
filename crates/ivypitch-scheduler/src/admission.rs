//! Admission: creates the state of an arriving statement from its workload's costs and its tenant's
//! quota.

use crate::events::Arrival;
use crate::output::Output;
use crate::scheduler::Scheduler;
use crate::statement::Statement;
use ivypitch_types::{Nanos, StatementIndex, nanos_from_secs, secs_from_nanos};

/// Longest wait for capacity as a fraction of the statement's latency objective, which includes the
/// stretch for the statement's work.
const MAX_WAIT_OBJECTIVE_FRACTION: f64 = 0.4;
/// Least work that a statement counts as, in seconds.
const MIN_WORK_SECS: f64 = 1e-4;

impl Scheduler {
    /// Adds a statement to its workload's queue. Returns `false` if its workload is unknown and the
    /// statement was aborted.
    pub(crate) fn admit(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        arrival: &Arrival,
        output: &mut dyn Output,
    ) -> bool {
        if arrival.workload >= self.deployment.workloads.len() {
            output.abort(index);
            output.forget(index);
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

    /// Updates the cost model with an arrival and creates its statement.
    fn new_statement(&mut self, now: Nanos, arrival: &Arrival) -> Statement {
        let work_secs = self.update_costs_on_arrival(arrival);
        let tenants = &self.deployment.tenants;
        let is_within_quota = self.quotas.try_take(now, tenants, arrival.tenant);
        let workload = &self.deployment.workloads[arrival.workload];
        let mut priority_weight = workload.priority_weight;
        if !is_within_quota {
            priority_weight *= self.deployment.over_quota_priority_weight;
        }
        let cost = &self.workloads[arrival.workload].cost;
        let charged_work_secs = cost.measured_work_secs.max(cost.estimated_work_secs);
        self.arrival_mix
            .update(priority_weight, cost.measured_work_secs);
        let objective_secs = secs_from_nanos(workload.latency_objective)
            + workload.latency_objective_stretch * work_secs / workload.threads.max(1.0);
        let max_wait = nanos_from_secs(MAX_WAIT_OBJECTIVE_FRACTION * objective_secs)
            .min(arrival.time_left / 2);
        let key = self.ordering_key(arrival);
        let avoids_readers = self.has_readers_of_bulk_loads && workload.is_bulk_load;
        Statement {
            workload: arrival.workload,
            key,
            table_group: arrival.table_group,
            query_point: self.draw_query_point(arrival.table_group, avoids_readers),
            deadline: now.saturating_add(arrival.time_left),
            work_secs: work_secs.max(MIN_WORK_SECS),
            charged_work_secs,
            estimated_memory_mb: arrival.estimated_memory_mb,
            priority_weight,
            wait_deadline: now + max_wait,
            ..Statement::default()
        }
    }
}
