//! Key order: statements of one key run one at a time, in order of arrival.

use crate::events::Arrival;
use crate::scheduler::Scheduler;
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

impl Scheduler {
    /// Reserves a statement's turn among those of its key. For a host that takes a statement and
    /// lets it wait before it arrives here: statements of its key that were taken later wait too.
    pub fn reserve_key_turn(&mut self, index: StatementIndex, arrival: &Arrival) {
        let key = self.ordering_key(arrival);
        self.key_queues.push(key, index);
    }

    /// Gives up the reserved turn of a statement that will not arrive.
    pub fn release_key_turn(&mut self, index: StatementIndex, arrival: &Arrival) {
        let key = self.ordering_key(arrival);
        self.key_queues.remove(key, index);
    }

    /// The key by which the statement is ordered; 0: none.
    pub(crate) fn ordering_key(&self, arrival: &Arrival) -> u64 {
        let workload = self.deployment.workloads.get(arrival.workload);
        if workload.is_some_and(|workload| workload.is_ordered_by_key) {
            arrival.key
        } else {
            0
        }
    }
}

/// The queues of all keys in use. Key 0 means no key and has no queue.
#[derive(Default)]
pub(crate) struct KeyQueues(BTreeMap<u64, KeyQueue>);

impl KeyQueues {
    pub fn get(&self, key: u64) -> Option<&KeyQueue> {
        self.0.get(&key)
    }

    /// Adds a statement behind those of its key, unless its turn was reserved before.
    pub fn push(&mut self, key: u64, statement: StatementIndex) {
        if key == 0 {
            return;
        }
        let statements = &mut self.0.entry(key).or_default().statements;
        if !statements.contains(&statement) {
            statements.push_back(statement);
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
