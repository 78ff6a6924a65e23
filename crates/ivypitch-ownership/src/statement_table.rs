//! The statements of this gateway by id, with their timers and cached results.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ivypitch_types::Nanos;

use crate::message::StatementId;
use crate::result_cache::ResultCache;
use crate::statement::{Statement, StatementState};

pub(crate) struct StatementTable {
    /// Statements are removed when no client can ask for them any more.
    statements: BTreeMap<StatementId, Statement>,
    /// One timer for each statement, earliest first.
    timers: BTreeSet<(Nanos, StatementId)>,
    /// Ended statements, oldest first; those beyond the table's bound are removed before they
    /// expire.
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

    /// Whether this gateway owns the statement, or requests to.
    pub(crate) fn is_owned_or_being_taken_over(&self, id: StatementId) -> bool {
        self.get(id).is_some_and(|statement| {
            statement.is_owner() || statement.state() == StatementState::TakingOver
        })
    }

    /// Adds a statement and replaces any other with the same id.
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

    /// Takes out the next expired timer and returns its statement, which then has no timer.
    pub(crate) fn pop_expired(&mut self, now: Nanos) -> Option<StatementId> {
        let &(at, id) = self.timers.first().filter(|(at, _)| *at <= now)?;
        self.timers.remove(&(at, id));
        if let Some(statement) = self.statements.get_mut(&id) {
            statement.timer = None;
        }
        Some(id)
    }

    /// Changes a statement's state. An ended statement is kept until it expires.
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

    /// Removes the oldest ended statements beyond `max_ended`. Their voters still know how they
    /// ended.
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
