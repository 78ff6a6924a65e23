//! The scheduler's state of each workload.

use crate::cost_model::WorkloadCost;
use crate::deployment::Workload;
use crate::subset::Subset;
use ivypitch_types::{Nanos, StatementIndex};

/// Ratio of a workload's latency objective to the shortest of the deployment from which the
/// workload counts as long.
const LONG_OBJECTIVE_RATIO: u64 = 2;

/// The scheduler's state of one workload.
#[derive(Default)]
pub(crate) struct WorkloadState {
    /// Whether the workload's statements run long compared with those of other workloads.
    pub is_long: bool,
    pub cost: WorkloadCost,
    pub subset: Subset,
    /// Number of running attempts.
    pub in_flight: u32,
    /// Statements waiting for an engine.
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
