//! What statements cost: work and memory by workload, learned from estimates and from results.
//!
//! Work is the processor time of all threads of a statement, in seconds.

use crate::deployment::Workload;
use crate::events::{Arrival, AttemptEnded};
use crate::scheduler::Scheduler;
use crate::statement::Attempt;
use ivypitch_types::{Nanos, StatementIndex, secs_from_nanos};

/// Smoothing of what results tell of workloads, per statement.
pub(crate) const LEARNING_RATE: f64 = 0.05;
/// Smoothing of the work that arrives, per statement.
const DEMAND_LEARNING_RATE: f64 = 0.01;
/// Smoothing of an engine's slowness, per result.
const ENGINE_LEARNING_RATE: f64 = 0.1;
/// An engine's best slowness grows by this factor with each result, so that an old record does not stand
/// forever.
const BEST_SLOWNESS_DECAY: f64 = 1.001;
/// A latency objective is taken for this many times the usual work until results tell more.
const OBJECTIVE_PER_WORK: f64 = 3.0;
/// Time taken against the time that the work should take, until results tell more.
const INITIAL_SLOWNESS: f64 = 1.5;
const MIN_SLOWNESS_SAMPLE: f64 = 0.2;
const MAX_SLOWNESS_SAMPLE: f64 = 10.0;
/// Memory granted for each MB estimated, before anything is known.
const INITIAL_MEMORY_FACTOR: f64 = 1.25;
const MIN_MEMORY_FACTOR: f64 = 0.5;
const MAX_MEMORY_FACTOR: f64 = 4.0;
/// Growth of the memory factor by a statement that spills.
const MEMORY_FACTOR_STEP: f64 = 0.2;
/// Spills aimed at for each statement that does not spill.
const TARGET_SPILL_RATIO: f64 = 0.12;

/// Smoothed costs of a workload's statements.
#[derive(Default)]
pub(crate) struct WorkloadCost {
    /// Estimated work.
    pub estimated_work_secs: f64,
    /// True work, where results tell it; else as estimated.
    pub true_work_secs: f64,
    /// Time taken against the time that the work should take.
    pub slowness: f64,
    /// Memory to grant for each MB estimated: enough for most statements.
    pub memory_factor: f64,
    /// Work that arrives of this workload, per statement of any workload.
    pub demand_secs: f64,
}

impl WorkloadCost {
    pub fn new(workload: &Workload) -> Self {
        let work_secs = secs_from_nanos(workload.latency_objective) / OBJECTIVE_PER_WORK;
        WorkloadCost {
            estimated_work_secs: work_secs,
            true_work_secs: work_secs,
            slowness: INITIAL_SLOWNESS,
            memory_factor: INITIAL_MEMORY_FACTOR,
            demand_secs: 0.0,
        }
    }

    /// Learns an arrival's estimate and returns the work to expect of it.
    fn expect_work(&mut self, estimated_work: Nanos, has_true_cost: bool) -> f64 {
        if estimated_work == 0 {
            return self.true_work_secs;
        }
        let estimate = secs_from_nanos(estimated_work);
        self.estimated_work_secs += LEARNING_RATE * (estimate - self.estimated_work_secs);
        if !has_true_cost {
            self.true_work_secs = self.estimated_work_secs;
        }
        estimate * self.true_work_secs / self.estimated_work_secs.max(1e-6)
    }

    /// Follows the factor on memory estimates that is enough for most statements.
    fn learn_memory(&mut self, has_spilled: bool) {
        let step = if has_spilled {
            MEMORY_FACTOR_STEP
        } else {
            -MEMORY_FACTOR_STEP * TARGET_SPILL_RATIO
        };
        self.memory_factor =
            (self.memory_factor * (1.0 + step)).clamp(MIN_MEMORY_FACTOR, MAX_MEMORY_FACTOR);
    }
}

/// Smoothed figures of all statements that arrive, of any workload.
#[derive(Default)]
pub(crate) struct ArrivalMix {
    /// Mean priority weight.
    pub priority_weight: f64,
    /// Mean work, at least the lightest workload's by its settings.
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

    /// Counts a statement of that priority weight, whose workload has that usual work.
    pub fn learn(&mut self, priority_weight: f64, work_secs: f64) {
        self.priority_weight += DEMAND_LEARNING_RATE * (priority_weight - self.priority_weight);
        let mean = self.mean_work_secs + DEMAND_LEARNING_RATE * (work_secs - self.mean_work_secs);
        self.mean_work_secs = mean.max(self.min_work_secs);
    }
}

impl Scheduler {
    /// Learns from an arrival and returns the work to expect of it, in seconds.
    pub(crate) fn learn_arrival(&mut self, arrival: &Arrival) -> f64 {
        let has_true_cost = self.deployment.reports_measured_cost;
        let cost = &mut self.workloads[arrival.workload].cost;
        let work_secs = cost.expect_work(arrival.estimated_work, has_true_cost);
        for (workload, state) in self.workloads.iter_mut().enumerate() {
            let arrived_secs = if workload == arrival.workload {
                work_secs
            } else {
                0.0
            };
            let demand_secs = &mut state.cost.demand_secs;
            *demand_secs += DEMAND_LEARNING_RATE * (arrived_secs - *demand_secs);
        }
        work_secs
    }

    /// Learns whether the memory granted was enough. A statement that spills counts once.
    pub(crate) fn learn_memory(&mut self, index: StatementIndex, missing_mb: f64) {
        let Some(statement) = &mut self.statements[index.0] else {
            return;
        };
        if !statement.has_spilled {
            let cost = &mut self.workloads[statement.workload].cost;
            cost.learn_memory(missing_mb > 0.0);
        }
        statement.has_spilled |= missing_mb > 0.0;
    }

    /// Learns from a completed attempt what its workload costs and how slow its engine is.
    pub(crate) fn learn_completion(
        &mut self,
        now: Nanos,
        index: StatementIndex,
        attempt: &Attempt,
        ended: &AttemptEnded,
    ) {
        self.learn_memory(index, 0.0);
        let Some(statement) = &self.statements[index.0] else {
            return;
        };
        let workload = &self.deployment.workloads[statement.workload];
        let state = &mut self.workloads[statement.workload];
        if let Some((work_ms, _)) = ended.measured_cost {
            let true_work_secs = &mut state.cost.true_work_secs;
            *true_work_secs += LEARNING_RATE * (work_ms / 1000.0 - *true_work_secs);
        }
        let took_secs = secs_from_nanos(ended.duration);
        let slowness = (took_secs * workload.threads.max(1.0) / statement.work_secs)
            .clamp(MIN_SLOWNESS_SAMPLE, MAX_SLOWNESS_SAMPLE);
        state.cost.slowness += LEARNING_RATE * (slowness - state.cost.slowness);
        if !state.is_long {
            self.engines[attempt.engine.0].learn_slowness(now, slowness);
        }
    }
}

/// Smoothed time that short statements take on one engine, against the time that their work should take.
#[derive(Default)]
pub(crate) struct EngineSlowness {
    pub current: f64,
    /// The least of it, which grows slowly.
    pub best: f64,
}

impl EngineSlowness {
    pub fn new() -> Self {
        EngineSlowness {
            current: 0.0,
            best: f64::MAX,
        }
    }

    pub fn learn(&mut self, sample: f64) {
        self.current += ENGINE_LEARNING_RATE * (sample - self.current);
        self.best = (self.best * BEST_SLOWNESS_DECAY).min(self.current);
    }
}
