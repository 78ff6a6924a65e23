//! What operators grant: shares, budgets and bounds, by team and by a team's workload. Plain values, checked where
//! they are read; the own settings file names them (`docs/operators/teams.md`).

use ivypitch_types::Nanos;

/// What the order needs to know of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadQueueParams {
    pub priority_weight: f64,
    pub latency_objective: Nanos,
    pub threads: f64,
    pub is_bulk_load: bool,
    /// Until something is learned: the work of all its threads.
    pub usual_work: Nanos,
    /// What came so much later than another workload's still goes before it: the order's ageing.
    pub slack: Nanos,
    /// What has waited so long is rejected; what will, by its estimate, is rejected as it comes.
    pub max_wait: Nanos,
}

/// A part of the SLO time within which work should leave the queue, before importance is counted in.
const SLACK_PART: f64 = 0.4;

impl WorkloadQueueParams {
    /// The slack follows from SLO time and importance: of two that came together, the more important goes first.
    pub fn default_slack(
        latency_objective: Nanos,
        priority_weight: f64,
        least_importance: f64,
    ) -> Nanos {
        (latency_objective as f64 * SLACK_PART
            / (priority_weight / least_importance.max(1e-9)).max(1.0)) as Nanos
    }
}

/// Of one workload of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct LaneLimits {
    /// Threads released at once.
    pub max_released_threads: f64,
    /// Statements waiting.
    pub max_queued: usize,
    /// In place of the workload's.
    pub max_wait: Option<Nanos>,
}

impl Default for LaneLimits {
    fn default() -> Self {
        LaneLimits {
            max_released_threads: f64::INFINITY,
            max_queued: usize::MAX,
            max_wait: None,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct TeamBudget {
    /// Its weight against the other teams'. 0: only what nobody else wants.
    pub share: f64,
    /// Core-seconds a second that it may use at most, idle neighbours or not.
    pub work_cores: f64,
    /// Core-seconds that it may run ahead of that.
    pub burst_core_seconds: f64,
    /// Threads released at once.
    pub max_released_threads: f64,
    pub max_queued: usize,
    pub max_queued_bytes: usize,
    /// By workload; one that is missing has no bounds of its own.
    pub lanes: Vec<LaneLimits>,
}

impl Default for TeamBudget {
    fn default() -> Self {
        TeamBudget {
            share: 1.0,
            work_cores: f64::INFINITY,
            burst_core_seconds: f64::INFINITY,
            max_released_threads: f64::INFINITY,
            max_queued: usize::MAX,
            max_queued_bytes: usize::MAX,
            lanes: Vec::new(),
        }
    }
}

impl TeamBudget {
    pub(crate) fn lane(&self, workload: usize) -> LaneLimits {
        self.lanes.get(workload).cloned().unwrap_or_default()
    }

    pub(crate) fn most_queued_in(&self, workload: usize) -> usize {
        self.lanes
            .get(workload)
            .map_or(usize::MAX, |lane| lane.max_queued)
    }

    pub(crate) fn most_released_in(&self, workload: usize) -> f64 {
        self.lanes
            .get(workload)
            .map_or(f64::INFINITY, |lane| lane.max_released_threads)
    }
}

/// All that is granted, by team and workload index.
#[derive(Clone, Debug, PartialEq)]
pub struct Budgets {
    pub workloads: Vec<WorkloadQueueParams>,
    pub teams: Vec<TeamBudget>,
    /// For teams that have no row.
    pub other: TeamBudget,
    /// Of all teams together.
    pub max_queued: usize,
    pub max_queued_bytes: usize,
    /// Importance from which reports and loads push out what waits.
    pub preempts_from_priority_weight: f64,
    /// The longest time to come back that clients heed; 0: they heed none.
    pub max_retry_after: Nanos,
    pub window_policy: crate::window::WindowPolicy,
}

impl Budgets {
    pub fn team(&self, team: usize) -> &TeamBudget {
        self.teams.get(team).unwrap_or(&self.other)
    }
}

/// A budget of work: fills at its rate up to its burst. It may go below nothing by what a statement turned out to
/// cost, and is then paid back before the next is released.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    left: f64,
    at: Nanos,
}

impl Bucket {
    pub fn new(budget: &TeamBudget, now: Nanos) -> Bucket {
        Bucket {
            left: budget.burst_core_seconds,
            at: now,
        }
    }

    pub fn fill(&mut self, budget: &TeamBudget, now: Nanos) {
        let span = now.saturating_sub(self.at) as f64 / 1e9;
        self.at = self.at.max(now);
        // Without a rate there is no budget to keep.
        self.left = if budget.work_cores.is_finite() {
            (self.left + span * budget.work_cores).min(budget.burst_core_seconds)
        } else {
            budget.burst_core_seconds
        };
    }

    pub fn take(&mut self, core_seconds: f64) {
        self.left -= core_seconds;
    }

    /// How long until something is left; 0: now.
    pub fn wait(&self, budget: &TeamBudget) -> Nanos {
        if self.left > 0.0 || !budget.work_cores.is_finite() {
            return 0;
        }
        if budget.work_cores <= 0.0 {
            return Nanos::MAX / 4;
        }
        ((-self.left / budget.work_cores * 1e9) as Nanos)
            .saturating_add(1)
            .min(Nanos::MAX / 4)
    }

    pub fn left(&self) -> f64 {
        self.left
    }
}
