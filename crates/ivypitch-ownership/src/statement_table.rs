//! The statements of this gateway by id, with their timers and cached results.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ivypitch_types::Nanos;

use crate::message::StatementId;
use crate::result_cache::ResultCache;
use crate::statement::{Statement, StatementState};

pub(crate) struct StatementTable {
    /// A statement leaves when no client can ask for it any more.
    statements: BTreeMap<StatementId, Statement>,
    /// One timer for each statement, the earliest first.
    timers: BTreeSet<(Nanos, StatementId)>,
    /// Statements that are over, the oldest first; beyond the table's bound they are forgotten before their time.
    ended: VecDeque<StatementId>,
    pub(crate) results: ResultCache,
}

impl StatementTable {
    pub(crate) fn new(results: ResultCache) -> StatementTable {
        StatementTable {
            statements: BTreeMap::new(),
            timers: BTreeSet::new(),
            ended: VecDeque::new(),
            results,
        }
    }

    pub(crate) fn get(&self, id: StatementId) -> Option<&Statement> {
        self.statements.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: StatementId) -> Option<&mut Statement> {
        self.statements.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (StatementId, &Statement)> {
        self.statements
            .iter()
            .map(|(&id, statement)| (id, statement))
    }

    /// Whether this gateway acts for the statement, or asks to.
    pub(crate) fn is_owned_or_being_taken_over(&self, id: StatementId) -> bool {
        self.get(id).is_some_and(|statement| {
            statement.is_owner() || statement.state() == StatementState::TakingOver
        })
    }

    /// Adds a statement, in place of what was known under its id.
    pub(crate) fn insert(&mut self, id: StatementId, statement: Statement) {
        let expires_at = statement.expires_at;
        if let Some(replaced) = self.statements.insert(id, statement) {
            self.cancel_timer(id, replaced.timer);
            self.results.remove(id);
        }
        self.set_timer(id, expires_at);
    }

    pub(crate) fn remove(&mut self, id: StatementId) {
        if let Some(statement) = self.statements.remove(&id) {
            self.cancel_timer(id, statement.timer);
            self.results.remove(id);
        }
    }

    /// Sets the statement's only timer.
    pub(crate) fn set_timer(&mut self, id: StatementId, at: Nanos) {
        let Some(statement) = self.statements.get_mut(&id) else {
            return;
        };
        let replaced = statement.timer.replace(at);
        self.cancel_timer(id, replaced);
        self.timers.insert((at, id));
    }

    fn cancel_timer(&mut self, id: StatementId, timer: Option<Nanos>) {
        if let Some(at) = timer {
            self.timers.remove(&(at, id));
        }
    }

    pub(crate) fn next_timer(&self) -> Nanos {
        self.timers.first().map_or(Nanos::MAX, |&(at, _)| at)
    }

    /// The next statement whose timer has fired; it has none set afterwards.
    pub(crate) fn pop_expired(&mut self, now: Nanos) -> Option<StatementId> {
        let &(at, id) = self.timers.first().filter(|(at, _)| *at <= now)?;
        self.timers.remove(&(at, id));
        if let Some(statement) = self.statements.get_mut(&id) {
            statement.timer = None;
        }
        Some(id)
    }

    /// Moves a statement to another state. One that is over then waits to be forgotten.
    pub(crate) fn transition(&mut self, id: StatementId, to: StatementState) {
        let Some(statement) = self.statements.get_mut(&id) else {
            return;
        };
        if statement.transition(to) && !to.is_open() {
            let expires_at = statement.expires_at;
            self.set_timer(id, expires_at);
            self.ended.push_back(id);
        }
    }

    /// Forgets the oldest of the statements that are over, where there are more than `max_closed`. Their voters still
    /// know how they ended.
    pub(crate) fn evict_ended(&mut self, max_ended: usize) {
        while self.ended.len() > max_ended {
            let Some(id) = self.ended.pop_front() else {
                break;
            };
            if self.get(id).is_some_and(|statement| !statement.is_open()) {
                self.remove(id);
            }
        }
    }
}
