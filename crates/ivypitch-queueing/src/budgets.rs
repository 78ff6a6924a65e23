//! Shares, budgets and limits by team and by a team's workload. Plain values that are validated
//! where they are read; the operators' settings file names them (`docs/operators/teams.md`).

use ivypitch_types::Nanos;

/// Parameters of a workload that the queues need.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadQueueParams {
    /// Weight of its statements against those of other workloads.
    pub priority_weight: f64,
    /// Latency objective (SLO) of its statements.
    pub latency_objective: Nanos,
    /// Threads of a statement.
    pub threads: f64,
    /// Whether its statements are bulk loads, which are never preempted.
    pub is_bulk_load: bool,
    /// Work of a statement over all its threads, until statements have ended to learn from.
    pub usual_work: Nanos,
    /// A statement is due at its arrival plus this slack, so that statements age: a statement goes
    /// before one of another workload that arrived later by more than the difference of the slacks.
    pub slack: Nanos,
    /// A statement that has waited this long is rejected. It is rejected on arrival if its
    /// estimated wait is too close to this limit.
    pub max_wait: Nanos,
}

/// Fraction of the latency objective within which a statement should leave the queue, before its
/// priority weight is taken into account.
const SLACK_FRACTION: f64 = 0.4;

impl WorkloadQueueParams {
    /// Slack that follows from latency objective and priority weight: of two statements that
    /// arrive together, the one with the higher priority weight goes first.
    pub fn default_slack(
        latency_objective: Nanos,
        priority_weight: f64,
        min_priority_weight: f64,
    ) -> Nanos {
        (latency_objective as f64 * SLACK_FRACTION
            / (priority_weight / min_priority_weight.max(1e-9)).max(1.0)) as Nanos
    }
}

/// Limits of one workload of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct LaneLimits {
    /// Threads that may be released at once.
    pub max_released_threads: f64,
    /// Statements that may wait.
    pub max_queued: usize,
    /// Replaces the maximum wait of the workload.
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

/// Budget and limits of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamBudget {
    /// Weight against the other teams; with 0 the team gets only capacity that no other team wants.
    pub share: f64,
    /// Core-seconds per second that the team may use at most, even while other teams are idle.
    pub work_cores: f64,
    /// Core-seconds that the team may use ahead of that rate.
    pub burst_core_seconds: f64,
    /// Threads that may be released at once.
    pub max_released_threads: f64,
    /// Statements that may wait.
    pub max_queued: usize,
    /// Bytes of statement text that may wait.
    pub max_queued_bytes: usize,
    /// By workload; a workload without an entry has no limits of its own.
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

    pub(crate) fn max_queued_in(&self, workload: usize) -> usize {
        self.lanes
            .get(workload)
            .map_or(usize::MAX, |lane| lane.max_queued)
    }

    pub(crate) fn max_released_threads_in(&self, workload: usize) -> f64 {
        self.lanes
            .get(workload)
            .map_or(f64::INFINITY, |lane| lane.max_released_threads)
    }
}

/// All budgets, by team index and workload index.
#[derive(Clone, Debug, PartialEq)]
pub struct Budgets {
    /// Parameters by workload.
    pub workloads: Vec<WorkloadQueueParams>,
    /// Budgets by team.
    pub teams: Vec<TeamBudget>,
    /// Budget of each team that has no entry in `teams`.
    pub other: TeamBudget,
    /// Statements of all teams that may wait.
    pub max_queued: usize,
    /// Bytes of statement text of all teams that may wait.
    pub max_queued_bytes: usize,
    /// Statements of workloads with at least this priority weight preempt waiting statements.
    pub preempts_from_priority_weight: f64,
    /// Longest retry-after that clients honor; 0 if they honor none.
    pub max_retry_after: Nanos,
    /// How the window of released threads is adjusted.
    pub window_policy: crate::window::WindowPolicy,
}

impl Budgets {
    /// Budget of a team.
    pub fn team(&self, team: usize) -> &TeamBudget {
        self.teams.get(team).unwrap_or(&self.other)
    }
}

/// Token bucket of work in core-seconds. The measured cost of a statement may make the balance
/// negative; the deficit is refilled before the next statement is released.
#[derive(Clone, Debug)]
pub(crate) struct WorkBudget {
    balance: f64,
    refilled_at: Nanos,
}

impl WorkBudget {
    pub fn new(budget: &TeamBudget, now: Nanos) -> WorkBudget {
        WorkBudget {
            balance: budget.burst_core_seconds,
            refilled_at: now,
        }
    }

    pub fn refill(&mut self, budget: &TeamBudget, now: Nanos) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e9;
        self.refilled_at = self.refilled_at.max(now);
        // Without a rate the budget is unlimited.
        self.balance = if budget.work_cores.is_finite() {
            (self.balance + elapsed_s * budget.work_cores).min(budget.burst_core_seconds)
        } else {
            budget.burst_core_seconds
        };
    }

    pub fn charge(&mut self, core_seconds: f64) {
        self.balance -= core_seconds;
    }

    /// Time until the balance is positive; 0 if it is now.
    pub fn time_until_positive(&self, budget: &TeamBudget) -> Nanos {
        if self.balance > 0.0 || !budget.work_cores.is_finite() {
            return 0;
        }
        if budget.work_cores <= 0.0 {
            return Nanos::MAX / 4;
        }
        ((-self.balance / budget.work_cores * 1e9) as Nanos)
            .saturating_add(1)
            .min(Nanos::MAX / 4)
    }

    pub fn balance(&self) -> f64 {
        self.balance
    }
}
