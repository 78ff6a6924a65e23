//! Statements that completed so recently that their engine may still have the rows.

use std::collections::{BTreeMap, VecDeque};

use ivypitch_types::{MILLISECOND, Nanos};

use crate::message::StatementId;

/// Approximate time for which an engine keeps the rows of a completed statement.
const ENGINE_RESULT_RETENTION: Nanos = 1_500 * MILLISECOND;

#[derive(Default)]
pub(crate) struct RecentCompletions {
    reported_at: BTreeMap<StatementId, Nanos>,
    /// The same entries, oldest first. A statement whose end is reported again is in it twice.
    by_age: VecDeque<(Nanos, StatementId)>,
}

impl RecentCompletions {
    pub(crate) fn insert(&mut self, now: Nanos, id: StatementId) {
        self.reported_at.insert(id, now);
        self.by_age.push_back((now, id));
    }

    /// Whether the statement's engine may still have its rows.
    pub(crate) fn contains(&self, now: Nanos, id: StatementId) -> bool {
        self.reported_at
            .get(&id)
            .is_some_and(|&at| now < at + ENGINE_RESULT_RETENTION)
    }

    /// Removes and returns one statement whose rows no engine has any more, or the oldest one
    /// beyond `max_entries`.
    pub(crate) fn pop_expired(&mut self, now: Nanos, max_entries: usize) -> Option<StatementId> {
        let oldest_retained = now.saturating_sub(ENGINE_RESULT_RETENTION);
        loop {
            let &(at, id) = self.by_age.front()?;
            if at >= oldest_retained && self.by_age.len() <= max_entries {
                return None;
            }
            self.by_age.pop_front();
            if self.reported_at.get(&id) == Some(&at) {
                self.reported_at.remove(&id);
                return Some(id);
            }
        }
    }
}
