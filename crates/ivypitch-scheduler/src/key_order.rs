//! Key order: statements of one key run one at a time, in order of arrival.

use ivypitch_types::{Nanos, StatementIndex};
use std::collections::{BTreeMap, VecDeque};

/// The open statements of one key.
#[derive(Default)]
pub(crate) struct KeyQueue {
    statements: VecDeque<StatementIndex>,
    settles_at: Nanos,
}

impl KeyQueue {
    /// Whether the statement is the first of its key.
    pub fn is_first(&self, statement: StatementIndex) -> bool {
        self.statements.front() == Some(&statement)
    }

    /// Whether an attempt with unknown effect may still change the data of the key.
    pub fn is_settling(&self, now: Nanos) -> bool {
        now < self.settles_at
    }

    fn is_idle(&self, now: Nanos) -> bool {
        self.statements.is_empty() && !self.is_settling(now)
    }
}

/// The queues of all keys in use. Key 0 means no key and has no queue.
#[derive(Default)]
pub(crate) struct KeyQueues(BTreeMap<u64, KeyQueue>);

impl KeyQueues {
    pub fn get(&self, key: u64) -> Option<&KeyQueue> {
        self.0.get(&key)
    }

    pub fn push(&mut self, key: u64, statement: StatementIndex) {
        if key != 0 {
            self.0
                .entry(key)
                .or_default()
                .statements
                .push_back(statement);
        }
    }

    pub fn remove(&mut self, key: u64, statement: StatementIndex) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.statements.retain(|&queued| queued != statement);
        }
    }

    /// Blocks the key until `time`, because the effect of an attempt is unknown.
    pub fn settle_until(&mut self, key: u64, time: Nanos) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.settles_at = time;
        }
    }

    pub fn evict_idle(&mut self, now: Nanos) {
        self.0.retain(|_, queue| !queue.is_idle(now));
    }
}
