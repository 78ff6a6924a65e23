//! Driver of `ivypitch_queueing`. It passes events to it and queues the actions that it requests
//! from the scheduler's actor. The driver makes no decisions.
//!
//! If the operators' configuration file defines teams, a statement waits in its team's queue until
//! the queue releases it to the scheduler.

use std::collections::VecDeque;

use ivypitch_queueing::{Budgets, Output, QueueArrival, QueuedStatement, TeamQueues};
use ivypitch_types::{Nanos, StatementIndex};

/// Maximum number of rows in the answer to `SHOW QUEUE`.
const MAX_QUEUE_ROWS: usize = 200;

/// An action that the queues request from the scheduler's actor.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Passes the statement to the scheduler.
    Release {
        /// The statement.
        statement: StatementIndex,
        /// Whether the statement's team is within its share.
        is_within_share: bool,
    },
    /// Rejects the statement.
    Reject {
        /// The statement.
        statement: StatementIndex,
        /// How long the client should wait before it retries the statement; 0 for no advice.
        retry_after: Nanos,
    },
}

struct QueueingOutput {
    actions: VecDeque<Action>,
    /// Names of the tenants, which are the teams.
    tenants: Vec<String>,
}

impl Output for QueueingOutput {
    fn release(&mut self, statement: StatementIndex, is_within_share: bool) {
        self.actions.push_back(Action::Release {
            statement,
            is_within_share,
        });
    }

    fn reject(&mut self, statement: StatementIndex, retry_after: Nanos) {
        self.actions.push_back(Action::Reject {
            statement,
            retry_after,
        });
    }

    fn log_mode_change(&mut self, team: Option<usize>, line: &str) {
        match team.and_then(|team| self.tenants.get(team)) {
            Some(team) => log::info!(tenant = team.as_str(); "team mode {line}"),
            None => log::info!("queueing mode {line}"),
        }
    }
}

/// Connects the queues of the teams to the scheduler's actor.
pub struct QueueingDriver {
    teams: TeamQueues,
    output: QueueingOutput,
}

impl QueueingDriver {
    /// Creates the queues with these budgets. `tenants` are the names of the tenants in the
    /// settings, for log lines.
    pub fn new(budgets: Budgets, tenants: Vec<String>, seed: u64, now: Nanos) -> QueueingDriver {
        QueueingDriver {
            teams: TeamQueues::new(budgets, seed, now),
            output: QueueingOutput {
                actions: VecDeque::new(),
                tenants,
            },
        }
    }

    /// Returns the cores that the teams' statements could use now: the threads of running and
    /// queued statements.
    pub fn core_demand(&self) -> f64 {
        self.teams.released_threads() + self.teams.queued_threads()
    }

    /// Takes the next action, in the order of the requests.
    pub fn next_action(&mut self) -> Option<Action> {
        self.output.actions.pop_front()
    }

    /// A statement arrived.
    pub fn on_statement_queued(
        &mut self,
        now: Nanos,
        statement: StatementIndex,
        arrival: QueueArrival,
    ) {
        self.teams
            .on_statement_arrived(now, statement, arrival, &mut self.output);
    }

    /// Removes a statement from its queue. Returns false if it is in no queue.
    pub fn remove(&mut self, now: Nanos, statement: StatementIndex) -> bool {
        self.teams.remove(now, statement, &mut self.output)
    }

    /// A released statement has ended. `work` is the work of its attempts, `run_time` the duration
    /// of the successful one.
    pub fn on_statement_ended(
        &mut self,
        now: Nanos,
        statement: StatementIndex,
        work: Option<Nanos>,
        run_time: Option<Nanos>,
    ) {
        self.teams
            .on_statement_ended(now, statement, work, run_time, &mut self.output);
    }

    /// Sets the number of cores that this gateway's statements may use.
    pub fn set_capacity(&mut self, now: Nanos, cores: f64) {
        self.teams.set_capacity(now, cores, &mut self.output);
    }

    /// Applies the new budgets of a reloaded configuration.
    pub fn reload(&mut self, now: Nanos, budgets: Budgets) {
        self.teams.reload(now, budgets, &mut self.output);
    }

    /// The gateway is shutting down; every statement must be answered by `answer_by`.
    pub fn on_shutdown(&mut self, now: Nanos, answer_by: Nanos) {
        self.teams.on_shutdown(now, answer_by, &mut self.output);
    }

    /// When [`Self::on_timer`] must be called next; `None` for never.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.teams.next_timer()
    }

    /// Handles the timer at [`Self::next_timer`]. Does nothing if it is called earlier.
    pub fn on_timer(&mut self, now: Nanos) {
        if self.next_timer().is_some_and(|at| at <= now) {
            self.teams.on_timer(now, &mut self.output);
        }
    }

    /// Whether a statement is in a queue.
    pub fn is_queued(&self, statement: StatementIndex) -> bool {
        self.teams.is_queued(statement)
    }

    /// Returns the queued statements, up to `MAX_QUEUE_ROWS`.
    pub fn rows(&self, now: Nanos) -> Vec<QueuedStatement> {
        self.teams.queued_statements(now, MAX_QUEUE_ROWS)
    }

    /// Returns the position of a queued statement.
    pub fn row(&self, now: Nanos, statement: StatementIndex) -> Option<QueuedStatement> {
        self.teams.queued_statement(now, statement)
    }

    /// Logs the accuracy of the wait estimates that clients received.
    pub fn log_totals(&self) {
        let record = self.teams.wait_statistics();
        let median = record.errors_percent.value_at_quantile(0.5);
        let longest = record.waits_ms.max();
        log::info!(
            estimates = record.estimates, good = record.good_estimates, median_error_percent = median, longest_wait_ms = longest;
            "wait estimate totals"
        );
    }
}
