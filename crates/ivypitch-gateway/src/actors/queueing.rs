//! Between the sessions and the module: where the own file sets up teams, statements wait here until theirs lets
//! them go on. All that is decided is `ivypitch_queueing`'; this keeps what it asked for until the module's actor does
//! it.

use std::collections::VecDeque;

use ivypitch_queueing::{Budgets, Claim, Output, Queued, Teams};
use ivypitch_types::{Nanos, StatementIndex};

/// So many rows a client is shown at most.
pub const MAX_QUEUE_ROWS: usize = 200;

/// What the teams' queues ask for.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Its team asks for no more than its share, or for more.
    Release(StatementIndex, bool),
    Reject(StatementIndex, Nanos),
}

/// Emptied by the module's actor after each call.
struct ActionQueue {
    pending: VecDeque<Action>,
    tenants: Vec<String>,
}

impl Output for ActionQueue {
    fn release(&mut self, stmt: StatementIndex, within: bool) {
        self.pending.push_back(Action::Release(stmt, within));
    }

    fn reject(&mut self, stmt: StatementIndex, retry_after: Nanos) {
        self.pending.push_back(Action::Reject(stmt, retry_after));
    }

    fn mode(&mut self, team: Option<usize>, line: &str) {
        match team.and_then(|team| self.tenants.get(team)) {
            Some(team) => log::info!(team = team.as_str(); "team {team} {line}"),
            None => log::info!("teams {line}"),
        }
    }
}

pub struct QueueingDriver {
    teams: Teams,
    actions: ActionQueue,
}

impl QueueingDriver {
    pub fn new(budgets: Budgets, tenants: Vec<String>, seed: u64, now: Nanos) -> QueueingDriver {
        QueueingDriver {
            teams: Teams::new(budgets, seed, now),
            actions: ActionQueue {
                pending: VecDeque::new(),
                tenants,
            },
        }
    }

    /// Threads that are out and that wait: the cores that would be used now.
    pub fn cores_wanted(&self) -> f64 {
        self.teams.threads_out() + self.teams.threads_queued()
    }

    /// The next thing asked for.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pending.pop_front()
    }

    pub fn on_statement_queued(&mut self, now: Nanos, stmt: StatementIndex, claim: Claim) {
        self.teams.arrive(now, stmt, claim, &mut self.actions);
    }

    /// False: it is not waiting here.
    pub fn remove(&mut self, now: Nanos, stmt: StatementIndex) -> bool {
        self.teams.leave(now, stmt, &mut self.actions)
    }

    pub fn on_statement_ended(
        &mut self,
        now: Nanos,
        stmt: StatementIndex,
        real: Option<Nanos>,
        took: Option<Nanos>,
    ) {
        self.teams.over(now, stmt, real, took, &mut self.actions);
    }

    pub fn set_capacity(&mut self, now: Nanos, cores: f64) {
        self.teams.capacity(now, cores, &mut self.actions);
    }

    pub fn reload(&mut self, now: Nanos, budgets: Budgets) {
        self.teams.reload(now, budgets, &mut self.actions);
    }

    pub fn on_shutdown(&mut self, now: Nanos, by: Nanos) {
        self.teams.ending(now, by, &mut self.actions);
    }

    pub fn on_timer(&mut self, now: Nanos) {
        if self.next_timer().is_some_and(|at| at <= now) {
            self.teams.woken(now, &mut self.actions);
        }
    }

    pub fn next_timer(&self) -> Option<Nanos> {
        self.teams.next_wake()
    }

    pub fn is_queued(&self, stmt: StatementIndex) -> bool {
        self.teams.is_queued(stmt)
    }

    pub fn rows(&self, now: Nanos) -> Vec<Queued> {
        self.teams.queued_rows(now, MAX_QUEUE_ROWS)
    }

    pub fn row(&self, now: Nanos, stmt: StatementIndex) -> Option<Queued> {
        self.teams.queued_row(now, stmt)
    }

    /// One line, as the program ends, of how good the words about waits were.
    pub fn log_totals(&self) {
        let record = self.teams.record();
        let median = record.errors_percent.value_at_quantile(0.5);
        let longest = record.waits_ms.max();
        log::info!(
            told = record.told, good = record.good, median_error_percent = median, longest_wait_ms = longest;
            "teams waits told {}, good {}, median error {median}%, longest wait {longest} ms",
            record.told,
            record.good
        );
    }
}
