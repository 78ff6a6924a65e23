//! Whether an engine has capacity for a statement: bounds on threads per engine that bind under pressure.

use crate::engine::Engine;
use crate::scheduler::Scheduler;
use crate::statement::Statement;
use ivypitch_types::{EngineIndex, Nanos};

/// Threads per core that one class of workloads may use on an engine under pressure.
const MAX_LONG_THREADS_PER_CORE: f64 = 3.0;
const MAX_SHORT_THREADS_PER_CORE: f64 = 3.5;
/// Threads per core that all workloads together may use on an engine under pressure.
const MAX_THREADS_PER_CORE: f64 = 3.5;
/// The bound of a class holds in full up to this part of its workload's usual work ...
const FULL_BOUND_WORK_RATIO: f64 = 0.6;
/// ... and narrows with the work, to this part.
const MIN_BOUND_FRACTION: f64 = 0.3;
/// Part of a class's bound that is open to statements beyond their tenant's quota.
const OVER_QUOTA_BOUND_FRACTION: f64 = 0.2;
/// Sign of pressure: threads per core.
pub(crate) const PRESSURE_THREADS_PER_CORE: f64 = 1.4;
/// Threads of other gateways count so many times, since reports are late.
pub(crate) const OTHERS_THREADS_FACTOR: f64 = 1.4;
/// An engine counts at least this part of its cores, whatever other workloads need there.
const MIN_REMAINING_CORES_FRACTION: f64 = 0.3;

/// What an engine has for one more statement.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Capacity {
    Available,
    /// Within the bounds of an engine that shows signs of pressure.
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

    /// The engine's capacity for the statement.
    ///
    /// Under pressure the threads of its class and of all classes are bounded: by this gateway's part of the
    /// engine, or by what other gateways leave where a load report is fresh.
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
            own_threads + OTHERS_THREADS_FACTOR * engine.threads_of_others
        } else {
            own_threads * gateways
        };
        if now >= engine.pressure_until && all_threads < PRESSURE_THREADS_PER_CORE * cores {
            return Capacity::Available;
        }
        let is_within = |used_threads: f64, threads_per_core: f64| {
            let bound = threads_per_core * cores;
            let left = if has_report {
                bound - engine.threads_of_others
            } else {
                workload.threads
            };
            used_threads + workload.threads <= left.max(bound / gateways)
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

    /// The bound on the threads per core of a statement's class: narrower beyond its tenant's quota, and for
    /// much work the more engines are under pressure.
    fn class_threads_per_core(&self, statement: &Statement) -> f64 {
        let workload = &self.deployment.workloads[statement.workload];
        let state = &self.workloads[statement.workload];
        let quota_fraction = if statement.priority_weight < workload.priority_weight {
            OVER_QUOTA_BOUND_FRACTION
        } else {
            1.0
        };
        let usual_work_secs = state.cost.true_work_secs;
        let work_fraction = (FULL_BOUND_WORK_RATIO * usual_work_secs / statement.work_secs)
            .clamp(MIN_BOUND_FRACTION, 1.0)
            .powf(self.pressure_fraction);
        let class_bound = if state.is_long {
            MAX_LONG_THREADS_PER_CORE
        } else {
            MAX_SHORT_THREADS_PER_CORE
        };
        quota_fraction * work_fraction * class_bound
    }

    /// An engine's cores, less what workloads that may run on fewer engines need there.
    ///
    /// Guards against statements that may run anywhere filling the only engines of others. Hurts for a while
    /// when the mix of workloads changes.
    pub(crate) fn remaining_cores(&self, workload: usize, engine: &Engine) -> f64 {
        let total_demand = self
            .workloads
            .iter()
            .map(|state| state.cost.demand_secs)
            .sum::<f64>()
            .max(1e-9);
        let eligible_cores = self.workloads[workload].subset.eligible_cores;
        let constrained = self
            .workloads
            .iter()
            .zip(&self.deployment.workloads)
            .filter(|(state, workload)| {
                state.subset.eligible_cores < eligible_cores && workload.allows(&engine.endpoint)
            });
        let taken: f64 = constrained
            .map(|(state, _)| {
                state.cost.demand_secs / total_demand * eligible_cores / state.subset.eligible_cores
            })
            .sum();
        self.engine_cores(engine.endpoint.engine) * (1.0 - taken).max(MIN_REMAINING_CORES_FRACTION)
    }
}
