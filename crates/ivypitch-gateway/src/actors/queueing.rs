//! Between the sessions and the module: where the own file sets up teams, statements wait here until theirs lets
//! them go on. All that is decided is `ivypitch_queueing`'; this keeps what it asked for until the module's actor does
//! it.

use std::collections::VecDeque;

use ivypitch_queueing::{Budgets, Claim, Output, Queued, Teams};
use ivypitch_types::{Nanos, StatementIndex};

/// So many rows a client is shown at most.
pub const MOST_SHOWN: usize = 200;

/// What the teams' queues ask for.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Its team asks for no more than its share, or for more.
    Release(StatementIndex, bool),
    Reject(StatementIndex, Nanos),
}

/// Emptied by the module's actor after each call.
struct Acts {
    asked: VecDeque<Act>,
    tenants: Vec<String>,
}

impl Output for Acts {
    fn release(&mut self, stmt: StatementIndex, within: bool) {
        self.asked.push_back(Act::Release(stmt, within));
    }

    fn reject(&mut self, stmt: StatementIndex, retry_after: Nanos) {
        self.asked.push_back(Act::Reject(stmt, retry_after));
    }

    fn mode(&mut self, team: Option<usize>, line: &str) {
        match team.and_then(|team| self.tenants.get(team)) {
            Some(team) => log::info!(team = team.as_str(); "team {team} {line}"),
            None => log::info!("teams {line}"),
        }
    }
}

pub struct Queues {
    teams: Teams,
    acts: Acts,
}

impl Queues {
    pub fn new(budgets: Budgets, tenants: Vec<String>, seed: u64, now: Nanos) -> Queues {
        Queues {
            teams: Teams::new(budgets, seed, now),
            acts: Acts {
                asked: VecDeque::new(),
                tenants,
            },
        }
    }

    /// Threads that are out and that wait: the cores that would be used now.
    pub fn cores_wanted(&self) -> f64 {
        self.teams.threads_out() + self.teams.threads_queued()
    }

    /// The next thing asked for.
    pub fn next_act(&mut self) -> Option<Act> {
        self.acts.asked.pop_front()
    }

    pub fn arrive(&mut self, now: Nanos, stmt: StatementIndex, claim: Claim) {
        self.teams.arrive(now, stmt, claim, &mut self.acts);
    }

    /// False: it is not waiting here.
    pub fn leave(&mut self, now: Nanos, stmt: StatementIndex) -> bool {
        self.teams.leave(now, stmt, &mut self.acts)
    }

    pub fn over(
        &mut self,
        now: Nanos,
        stmt: StatementIndex,
        real: Option<Nanos>,
        took: Option<Nanos>,
    ) {
        self.teams.over(now, stmt, real, took, &mut self.acts);
    }

    pub fn capacity(&mut self, now: Nanos, cores: f64) {
        self.teams.capacity(now, cores, &mut self.acts);
    }

    pub fn reload(&mut self, now: Nanos, budgets: Budgets) {
        self.teams.reload(now, budgets, &mut self.acts);
    }

    pub fn ending(&mut self, now: Nanos, by: Nanos) {
        self.teams.ending(now, by, &mut self.acts);
    }

    pub fn woken(&mut self, now: Nanos) {
        if self.next_wake().is_some_and(|at| at <= now) {
            self.teams.woken(now, &mut self.acts);
        }
    }

    pub fn next_wake(&self) -> Option<Nanos> {
        self.teams.next_wake()
    }

    pub fn is_queued(&self, stmt: StatementIndex) -> bool {
        self.teams.is_queued(stmt)
    }

    pub fn rows(&self, now: Nanos) -> Vec<Queued> {
        self.teams.queued_rows(now, MOST_SHOWN)
    }

    pub fn row(&self, now: Nanos, stmt: StatementIndex) -> Option<Queued> {
        self.teams.queued_row(now, stmt)
    }

    /// One line, as the program ends, of how good the words about waits were.
    pub fn tell_record(&self) {
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
