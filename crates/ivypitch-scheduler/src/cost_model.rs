//! The cost of statements: work and memory per workload, from estimates and from results.
//!
//! Work is the processor time of all threads of a statement, in seconds.

use crate::deployment::Workload;
use crate::events::{Arrival, AttemptEnded};
use crate::scheduler::Scheduler;
use crate::statement::Attempt;
use ivypitch_types::{Nanos, StatementIndex, secs_from_nanos};

/// Smoothing factor of a workload's cost figures, per statement, and of the fraction of load
/// reports that show pressure, per report.
pub(crate) const SMOOTHING_FACTOR: f64 = 0.05;
/// Smoothing factor, per statement, of the work that arrives.
const DEMAND_SMOOTHING_FACTOR: f64 = 0.01;
/// Smoothing factor, per result, of an engine's slowness.
const ENGINE_SMOOTHING_FACTOR: f64 = 0.1;
/// Factor by which an engine's best slowness grows with each result, so that an old minimum
/// expires.
const BEST_SLOWNESS_GROWTH: f64 = 1.001;
/// Assumed ratio of a workload's latency objective to its usual work before any statement arrives.
const INITIAL_OBJECTIVE_TO_WORK_RATIO: f64 = 3.0;
/// Assumed slowness of a workload before any result.
const INITIAL_SLOWNESS: f64 = 1.5;
/// Lower limit of one slowness sample.
const MIN_SLOWNESS_SAMPLE: f64 = 0.2;
/// Upper limit of one slowness sample.
const MAX_SLOWNESS_SAMPLE: f64 = 10.0;
/// Memory granted per estimated MB before any result.
const INITIAL_MEMORY_FACTOR: f64 = 1.25;
/// Lower limit of the memory factor.
const MIN_MEMORY_FACTOR: f64 = 0.5;
/// Upper limit of the memory factor.
const MAX_MEMORY_FACTOR: f64 = 4.0;
/// Relative growth of the memory factor per statement that spills.
const MEMORY_FACTOR_STEP: f64 = 0.2;
/// Target ratio of statements that spill to statements that do not.
const TARGET_SPILL_RATIO: f64 = 0.12;

/// Smoothed costs of a workload's statements.
#[derive(Default)]
pub(crate) struct WorkloadCost {
    /// Estimated work.
    pub estimated_work_secs: f64,
    /// Measured work where results carry it, otherwise estimated work.
    pub measured_work_secs: f64,
    /// Ratio of the time that a statement takes to the time that its work should take.
    pub slowness: f64,
    /// Memory to grant per estimated MB, sufficient for most statements.
    pub memory_factor: f64,
    /// Arriving work of this workload per statement of any workload.
    pub demand_secs: f64,
}

impl WorkloadCost {
    pub fn new(workload: &Workload) -> Self {
        let work_secs =
            secs_from_nanos(workload.latency_objective) / INITIAL_OBJECTIVE_TO_WORK_RATIO;
        WorkloadCost {
            estimated_work_secs: work_secs,
            measured_work_secs: work_secs,
            slowness: INITIAL_SLOWNESS,
            memory_factor: INITIAL_MEMORY_FACTOR,
            demand_secs: 0.0,
        }
    }

    /// Updates the smoothed estimate with an arrival's and returns the arrival's expected work.
    fn predict_work(&mut self, estimated_work: Nanos, has_measured_cost: bool) -> f64 {
        if estimated_work == 0 {
            return self.measured_work_secs;
        }
        let estimate = secs_from_nanos(estimated_work);
        self.estimated_work_secs += SMOOTHING_FACTOR * (estimate - self.estimated_work_secs);
        if !has_measured_cost {
            self.measured_work_secs = self.estimated_work_secs;
        }
        estimate * self.measured_work_secs / self.estimated_work_secs.max(1e-6)
    }

    /// Adjusts the memory factor towards the target spill ratio.
    fn update_memory_factor(&mut self, has_spilled: bool) {
        let step = if has_spilled {
            MEMORY_FACTOR_STEP
        } else {
            -MEMORY_FACTOR_STEP * TARGET_SPILL_RATIO
        };
        self.memory_factor =
            (self.memory_factor * (1.0 + step)).clamp(MIN_MEMORY_FACTOR, MAX_MEMORY_FACTOR);
    }
}

/// Smoothed figures about all arriving statements, of any workload.
#[derive(Default)]
pub(crate) struct ArrivalMix {
    /// Mean priority weight.
    pub priority_weight: f64,
    /// Mean work, but at least the configured work of the lightest workload.
    pub mean_work_secs: f64,
    min_work_secs: f64,
}

impl ArrivalMix {
    pub fn new(workloads: &[Workload]) -> Self {
        let work_secs = |w: &Workload| secs_from_nanos(w.latency_objective) * w.threads.max(1.0);
        let lightest = workloads
            .iter()
            .map(work_secs)
            .fold(1e6, f64::min)
            .max(1e-3);
        ArrivalMix {
            priority_weight: 0.0,
            mean_work_secs: lightest,
            min_work_secs: lightest,
        }
    }

    /// Updates the means with a statement of the given priority weight and usual work.
    pub fn update(&mut self, priority_weight: f64, work_secs: f64) {
        self.priority_weight += DEMAND_SMOOTHING_FACTOR * (priority_weight - self.priority_weight);
        let mean =
            self.mean_work_secs + DEMAND_SMOOTHING_FACTOR * (work_secs - self.mean_work_secs);
        self.mean_work_secs = mean.max(self.min_work_secs);
    }
}

impl Scheduler {
    /// Updates the cost model with an arrival and returns its expected work in seconds.
    pub(crate) fn update_costs_on_arrival(&mut self, arrival: &Arrival) -> f64 {
        let has_measured_cost = self.deployment.reports_measured_cost;
        let cost = &mut self.workloads[arrival.workload].cost;
        let work_secs = cost.predict_work(arrival.estimated_work, has_measured_cost);
        for (workload, state) in self.workloads.iter_mut().enumerate() {
            let arrived_secs = if workload == arrival.workload {
                work_secs
            } else {
                0.0
            };
            let demand_secs = &mut state.cost.demand_secs;
            *demand_secs += DEMAND_SMOOTHING_FACTOR * (arrived_secs - *demand_secs);
        }
        work_secs
    }

    /// Updates the memory factor by whether the granted memory was enough. A statement that spills
    /// counts once.
    pub(crate) fn update_memory_factor(&mut self, index: StatementIndex, missing_mb: f64) {
        let Some(statement) = &mut self.statements[index.0] else {
            return;
        };
        if !statement.has_spilled {
            let cost = &mut self.workloads[statement.workload].cost;
            cost.update_memory_factor(missing_mb > 0.0);
        }
        statement.has_spilled |= missing_mb > 0.0;
    }

    /// Updates the cost of the workload and the slowness of the engine with a completed attempt.
    pub(crate) fn update_costs_on_completion(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        attempt: &Attempt,
        ended: &AttemptEnded,
    ) {
        self.update_memory_factor(index, 0.0);
        let Some(statement) = &self.statements[index.0] else {
            return;
        };
        let workload = &self.deployment.workloads[statement.workload];
        let state = &mut self.workloads[statement.workload];
        if let Some((work_ms, _)) = ended.measured_cost {
            let measured_work_secs = &mut state.cost.measured_work_secs;
            *measured_work_secs += SMOOTHING_FACTOR * (work_ms / 1000.0 - *measured_work_secs);
        }
        let duration_secs = secs_from_nanos(ended.duration);
        let slowness = (duration_secs * workload.threads.max(1.0) / statement.work_secs)
            .clamp(MIN_SLOWNESS_SAMPLE, MAX_SLOWNESS_SAMPLE);
        state.cost.slowness += SMOOTHING_FACTOR * (slowness - state.cost.slowness);
        if !state.is_long {
            self.engines[attempt.engine.0].update_slowness(now, slowness);
        }
    }
}

/// Smoothed ratio of the time that short statements take on one engine to the time that their work
/// should take.
#[derive(Default)]
pub(crate) struct EngineSlowness {
    pub current: f64,
    /// Minimum of `current`, which grows slowly so that an old minimum expires.
    pub best: f64,
}

impl EngineSlowness {
    pub fn new() -> Self {
        EngineSlowness {
            current: 0.0,
            best: f64::MAX,
        }
    }

    pub fn update(&mut self, sample: f64) {
        self.current += ENGINE_SMOOTHING_FACTOR * (sample - self.current);
        self.best = (self.best * BEST_SLOWNESS_GROWTH).min(self.current);
    }
}
