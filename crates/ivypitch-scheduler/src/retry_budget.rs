//! The retry budget: retries are limited to a fraction of the statements that arrive.

use crate::deployment::RetryBudget;
use crate::sliding_window::SlidingWindow;
use ivypitch_types::{Nanos, SECOND};

/// Limit on retries of attempts that this gateway considers lost or badly planned, if the contract
/// sets none: if more attempts seem lost, all engines are slow.
const DEFAULT_RETRY_BUDGET: RetryBudget = RetryBudget {
    window: SECOND * 5,
    base: 5.0,
    per_statement: 0.3,
};

/// Arrivals and retries within the budget's window.
#[derive(Default)]
pub(crate) struct RetryBudgetTracker {
    budget: RetryBudget,
    arrivals: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryBudgetTracker {
    pub fn new(budget: Option<RetryBudget>) -> Self {
        RetryBudgetTracker {
            budget: budget.unwrap_or(DEFAULT_RETRY_BUDGET),
            ..RetryBudgetTracker::default()
        }
    }

    /// Returns the length of the budget's window.
    pub fn window(&self) -> Nanos {
        self.budget.window
    }

    /// Counts a statement that has arrived and evicts the events that have left the window.
    pub fn record_arrival(&mut self, now: Nanos) {
        self.arrivals.push(now, 0.0);
        let window_start = now.saturating_sub(self.budget.window);
        self.arrivals.evict_before(window_start);
        self.retries.evict_before(window_start);
    }

    pub fn record_retry(&mut self, now: Nanos) {
        self.retries.push(now, 0.0);
    }

    /// Removes a retry that was recorded at the given time. Returns `false` if there is none.
    pub fn retract_retry(&mut self, at: Nanos) -> bool {
        self.retries.remove(at, 0.0)
    }

    pub fn arrivals_since(&self, time: Nanos) -> usize {
        self.arrivals.count_since(time)
    }

    /// Whether the budget covers the recorded retries and `additional` ones.
    ///
    /// Arrivals count for two ticks less than the window, since the host's clock may lag by as
    /// much.
    pub fn allows(&self, now: Nanos, tick: Nanos, additional: usize) -> bool {
        let window = self.budget.window;
        let arrivals_since = now.saturating_sub(window.saturating_sub(2 * tick));
        let arrivals = self.arrivals.count_since(arrivals_since) as f64;
        let retries = self.retries.count_since(now.saturating_sub(window)) + additional;
        retries as f64 <= self.budget.base + self.budget.per_statement * arrivals
    }
}
