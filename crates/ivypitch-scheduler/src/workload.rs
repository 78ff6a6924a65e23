//! What a scheduler keeps for each workload.

use crate::cost_model::WorkloadCost;
use crate::deployment::Workload;
use crate::subset::Subset;
use ivypitch_types::{Nanos, StatementIndex};

/// A workload is long when its latency objective is this many times the shortest of the deployment.
const LONG_OBJECTIVE_RATIO: u64 = 2;

/// The state of one workload.
#[derive(Default)]
pub(crate) struct WorkloadState {
    /// Its statements run long compared with other workloads'.
    pub is_long: bool,
    pub cost: WorkloadCost,
    pub subset: Subset,
    /// Attempts that run.
    pub in_flight: u32,
    /// Statements that wait for an engine.
    pub queue: Vec<StatementIndex>,
}

impl WorkloadState {
    /// `min_objective` is the shortest latency objective of the deployment.
    pub fn new(workload: &Workload, min_objective: Nanos) -> Self {
        let long_from = LONG_OBJECTIVE_RATIO * min_objective.max(1);
        WorkloadState {
            is_long: workload.latency_objective >= long_from,
            cost: WorkloadCost::new(workload),
            ..WorkloadState::default()
        }
    }
}
