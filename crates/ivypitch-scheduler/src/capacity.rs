//! Whether an engine has capacity for a statement: bounds on the threads per engine that apply
//! under pressure.

use crate::engine::Engine;
use crate::scheduler::Scheduler;
use crate::statement::Statement;
use ivypitch_types::{EngineIndex, Nanos};

/// Bound on the threads per core of all long workloads on an engine under pressure.
const MAX_LONG_THREADS_PER_CORE: f64 = 3.0;
/// Bound on the threads per core of all short workloads on an engine under pressure.
const MAX_SHORT_THREADS_PER_CORE: f64 = 3.5;
/// Bound on the threads per core of all workloads together on an engine under pressure.
const MAX_THREADS_PER_CORE: f64 = 3.5;
/// Ratio of a statement's work to its workload's usual work up to which the bound of its class
/// applies in full.
const FULL_BOUND_WORK_RATIO: f64 = 0.6;
/// Least fraction of a class's bound, reached by statements of much work.
const MIN_BOUND_FRACTION: f64 = 0.3;
/// Fraction of a class's bound that is available to statements beyond their tenant's quota.
const OVER_QUOTA_BOUND_FRACTION: f64 = 0.2;
/// Threads per core from which an engine shows signs of pressure.
pub(crate) const PRESSURE_THREADS_PER_CORE: f64 = 1.4;
/// Factor on the threads of other gateways, which compensates for the delay of load reports.
pub(crate) const OTHER_GATEWAYS_THREADS_FACTOR: f64 = 1.4;
/// Least fraction of an engine's cores that counts as available, whatever other workloads need
/// there.
const MIN_REMAINING_CORES_FRACTION: f64 = 0.3;

/// An engine's capacity for one more statement.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Capacity {
    Available,
    /// Available within the bounds that apply to an engine under pressure.
    AvailableUnderPressure,
    Exhausted,
}

impl Scheduler {
    pub(crate) fn engine_cores(&self, index: EngineIndex) -> f64 {
        let kind = usize::from(self.engines[index.0].endpoint.kind);
        self.deployment
            .engine_kinds
            .get(kind)
            .map_or(1.0, |k| k.cores)
            .max(1.0)
    }

    /// Returns the engine's capacity for the statement.
    ///
    /// Under pressure the threads of the statement's class and of all classes are bounded: by this
    /// gateway's part of the engine or, where a load report is fresh, by the threads that other
    /// gateways leave free.
    pub(crate) fn capacity(&self, now: Nanos, statement: &Statement, engine: &Engine) -> Capacity {
        let workload = &self.deployment.workloads[statement.workload];
        let state = &self.workloads[statement.workload];
        let is_locked = (workload.waits_for_bulk_loads || workload.is_bulk_load)
            && self.is_table_group_locked(now, engine, statement.table_group);
        if is_locked || now < engine.overloaded_until {
            return Capacity::Exhausted;
        }
        let cores = self.engine_cores(engine.endpoint.engine);
        let gateways = state.subset.gateways_per_engine;
        let has_report = engine.has_fresh_report(now);
        let own_threads = engine.threads.total();
        let all_threads = if has_report {
            own_threads + OTHER_GATEWAYS_THREADS_FACTOR * engine.other_gateways_threads
        } else {
            own_threads * gateways
        };
        if now >= engine.pressure_until && all_threads < PRESSURE_THREADS_PER_CORE * cores {
            return Capacity::Available;
        }
        let is_within = |used_threads: f64, threads_per_core: f64| {
            let bound = threads_per_core * cores;
            let own_thread_limit = if has_report {
                bound - engine.other_gateways_threads
            } else {
                workload.threads
            };
            used_threads + workload.threads <= own_thread_limit.max(bound / gateways)
        };
        let class_threads = engine.threads.of_class(state.is_long);
        if is_within(class_threads, self.class_threads_per_core(statement))
            && is_within(own_threads, MAX_THREADS_PER_CORE)
        {
            Capacity::AvailableUnderPressure
        } else {
            Capacity::Exhausted
        }
    }

    /// Returns the bound on the threads per core of a statement's class. The bound is lower beyond
    /// the tenant's quota; for statements of much work it also falls as more engines are under
    /// pressure.
    fn class_threads_per_core(&self, statement: &Statement) -> f64 {
        let workload = &self.deployment.workloads[statement.workload];
        let state = &self.workloads[statement.workload];
        let over_quota_factor = if statement.priority_weight < workload.priority_weight {
            OVER_QUOTA_BOUND_FRACTION
        } else {
            1.0
        };
        let usual_work_secs = state.cost.measured_work_secs;
        let work_fraction = (FULL_BOUND_WORK_RATIO * usual_work_secs / statement.work_secs)
            .clamp(MIN_BOUND_FRACTION, 1.0)
            .powf(self.pressure_fraction);
        let class_bound = if state.is_long {
            MAX_LONG_THREADS_PER_CORE
        } else {
            MAX_SHORT_THREADS_PER_CORE
        };
        over_quota_factor * work_fraction * class_bound
    }

    /// Returns an engine's cores, less the cores that workloads with fewer eligible engines need
    /// there.
    ///
    /// Guards against statements that may run anywhere occupying the only engines of other
    /// workloads. Drawback: the result lags behind changes of the mix of workloads.
    pub(crate) fn remaining_cores(&self, workload: usize, engine: &Engine) -> f64 {
        let total_demand = self
            .workloads
            .iter()
            .map(|state| state.cost.demand_secs)
            .sum::<f64>()
            .max(1e-9);
        let eligible_cores = self.workloads[workload].subset.eligible_cores;
        let constrained_workloads = self
            .workloads
            .iter()
            .zip(&self.deployment.workloads)
            .filter(|(state, workload)| {
                state.subset.eligible_cores < eligible_cores && workload.allows(&engine.endpoint)
            });
        let reserved_fraction: f64 = constrained_workloads
            .map(|(state, _)| {
                state.cost.demand_secs / total_demand * eligible_cores / state.subset.eligible_cores
            })
            .sum();
        self.engine_cores(engine.endpoint.engine)
            * (1.0 - reserved_fraction).max(MIN_REMAINING_CORES_FRACTION)
    }
}
