//! Driver of `ivypitch_queueing`: passes events to it and queues what it asks the scheduler's actor to do. It decides
//! nothing.
//!
//! Where the operators' file sets up teams, a statement waits here until its team's queue releases it to the scheduler.

use std::collections::VecDeque;

use ivypitch_queueing::{Budgets, Output, QueueArrival, QueuedStatement, TeamQueues};
use ivypitch_types::{Nanos, StatementIndex};

/// `SHOW QUEUE` answers at most so many rows.
const MAX_QUEUE_ROWS: usize = 200;

/// What the scheduler's actor is asked to do.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// The statement goes on to the scheduler.
    Release {
        /// The statement.
        statement: StatementIndex,
        /// Whether its team uses no more than its share.
        is_within_share: bool,
    },
    /// The statement is rejected.
    Reject {
        /// The statement.
        statement: StatementIndex,
        /// How long its client should wait before it sends the statement again; 0 says nothing.
        retry_after: Nanos,
    },
}

struct QueueingOutput {
    actions: VecDeque<Action>,
    /// Names of the teams.
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

/// Connects the teams' queues to the scheduler's actor.
pub struct QueueingDriver {
    teams: TeamQueues,
    output: QueueingOutput,
}

impl QueueingDriver {
    /// Creates the queues with these budgets. `tenants` are the names of the settings' tenants, for log lines.
    pub fn new(budgets: Budgets, tenants: Vec<String>, seed: u64, now: Nanos) -> QueueingDriver {
        QueueingDriver {
            teams: TeamQueues::new(budgets, seed, now),
            output: QueueingOutput {
                actions: VecDeque::new(),
                tenants,
            },
        }
    }

    /// Cores that the teams' statements would use now: threads of those that run and of those that wait.
    pub fn cores_wanted(&self) -> f64 {
        self.teams.released_threads() + self.teams.queued_threads()
    }

    /// Takes the next action, in the order in which they were asked for.
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

    /// Takes a statement off its queue. False if it does not wait in one.
    pub fn remove(&mut self, now: Nanos, statement: StatementIndex) -> bool {
        self.teams.remove(now, statement, &mut self.output)
    }

    /// A statement that was released has ended: the work of its attempts, and how long its successful one took.
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

    /// The cores that this gateway's statements may use have changed.
    pub fn set_capacity(&mut self, now: Nanos, cores: f64) {
        self.teams.set_capacity(now, cores, &mut self.output);
    }

    /// The operators' file sets new budgets.
    pub fn reload(&mut self, now: Nanos, budgets: Budgets) {
        self.teams.reload(now, budgets, &mut self.output);
    }

    /// The gateway shuts down; every statement is to be answered by then.
    pub fn on_shutdown(&mut self, now: Nanos, answer_by: Nanos) {
        self.teams.on_shutdown(now, answer_by, &mut self.output);
    }

    /// When [`Self::on_timer`] is to be called next; `None` for never.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.teams.next_timer()
    }

    /// To be called at [`Self::next_timer`]; does nothing before.
    pub fn on_timer(&mut self, now: Nanos) {
        if self.next_timer().is_some_and(|at| at <= now) {
            self.teams.on_timer(now, &mut self.output);
        }
    }

    /// Whether a statement waits in a queue.
    pub fn is_queued(&self, statement: StatementIndex) -> bool {
        self.teams.is_queued(statement)
    }

    /// The statements that wait, up to a bound.
    pub fn rows(&self, now: Nanos) -> Vec<QueuedStatement> {
        self.teams.queued_statements(now, MAX_QUEUE_ROWS)
    }

    /// The place of one statement that waits.
    pub fn row(&self, now: Nanos, statement: StatementIndex) -> Option<QueuedStatement> {
        self.teams.queued_statement(now, statement)
    }

    /// Logs how good the estimates of waiting times were that clients got with rejections.
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
