//! Table-group locks: a bulk load, of this or another gateway, locks its table group on its engine.

use crate::engine::Engine;
use crate::output::Output;
use crate::scheduler::Scheduler;
use crate::statement::Statement;
use ivypitch_types::{EngineIndex, Nanos, hash_to_unit_interval};
use std::collections::BTreeMap;

/// Largest fraction of the engines on which bulk loads may lock one table group, so that the
/// group's readers find capacity.
const MAX_LOCKED_ENGINES_FRACTION: f64 = 0.65;

/// Returns the 31-bit tag of a table group on an engine for messages between gateways.
pub fn bulk_load_tag(engine_id: u64, table_group: u32) -> u32 {
    (hash_to_unit_interval(&(engine_id, table_group)) * f64::from(1u32 << 31)) as u32
}

/// The begin or the end of a bulk load.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum BulkLoadChange {
    Begins,
    Ends,
}

#[derive(Default)]
struct Lock {
    holders: u32,
    /// Expiry of the lock, since a gateway that fails never reports the end of its bulk loads.
    expires_at: Nanos,
}

/// Locks of table groups on engines, by [`bulk_load_tag`].
#[derive(Default)]
pub(crate) struct BulkLoads(BTreeMap<u32, Lock>);

impl BulkLoads {
    fn record(&mut self, now: Nanos, tag: u32, change: BulkLoadChange, max_duration: Nanos) {
        match change {
            BulkLoadChange::Begins => {
                let lock = self.0.entry(tag).or_default();
                lock.holders += 1;
                lock.expires_at = now + max_duration;
            }
            BulkLoadChange::Ends => {
                if let Some(lock) = self.0.get_mut(&tag) {
                    lock.holders -= 1;
                }
            }
        }
        self.0
            .retain(|_, lock| lock.holders > 0 && lock.expires_at > now);
    }

    fn is_locked(&self, now: Nanos, tag: u32) -> bool {
        self.0.get(&tag).is_some_and(|lock| lock.expires_at > now)
    }
}

impl Scheduler {
    /// Records the begin or end of a bulk load of this gateway and broadcasts it to the other
    /// gateways.
    pub(crate) fn on_own_bulk_load(
        &mut self,
        now: Nanos,
        engine: EngineIndex,
        table_group: u32,
        change: BulkLoadChange,
        output: &mut dyn Output,
    ) {
        let tag = bulk_load_tag(self.engines[engine.0].endpoint.id, table_group);
        self.record_bulk_load(now, tag, change);
        if self.deployment.can_broadcast && self.deployment.gateways > 1 {
            let begin_bit = u32::from(change == BulkLoadChange::Begins);
            output.broadcast(&(tag << 1 | begin_bit).to_le_bytes());
        }
    }

    /// Records the begin or end of a bulk load of another gateway. The message is the tag shifted
    /// left by one bit, with the lowest bit set at the begin; messages of other lengths are
    /// ignored.
    pub(crate) fn on_peer_bulk_load(&mut self, now: Nanos, message: &[u8]) {
        let Ok(encoded) = message.try_into().map(u32::from_le_bytes) else {
            return;
        };
        let change = if encoded & 1 == 1 {
            BulkLoadChange::Begins
        } else {
            BulkLoadChange::Ends
        };
        self.record_bulk_load(now, encoded >> 1, change);
    }

    fn record_bulk_load(&mut self, now: Nanos, tag: u32, change: BulkLoadChange) {
        let workloads = self.deployment.workloads.iter();
        let max_duration = workloads
            .map(|workload| workload.statement_timeout)
            .max()
            .unwrap_or(0);
        self.bulk_loads.record(now, tag, change, max_duration);
    }

    pub(crate) fn is_table_group_locked(
        &self,
        now: Nanos,
        engine: &Engine,
        table_group: u32,
    ) -> bool {
        let tag = bulk_load_tag(engine.endpoint.id, table_group);
        self.bulk_loads.is_locked(now, tag)
    }

    /// Whether the statement is a bulk load in a deployment that has readers waiting for bulk
    /// loads.
    pub(crate) fn avoids_readers(&self, statement: &Statement) -> bool {
        self.has_readers_of_bulk_loads && self.deployment.workloads[statement.workload].is_bulk_load
    }

    /// Whether one more bulk load of the table group would leave too few of these engines to its
    /// readers.
    pub(crate) fn exceeds_locked_fraction(
        &self,
        now: Nanos,
        engines: &[&Engine],
        table_group: u32,
    ) -> bool {
        let locked = engines
            .iter()
            .filter(|engine| self.is_table_group_locked(now, engine, table_group))
            .count();
        locked > 0 && (locked + 1) as f64 > MAX_LOCKED_ENGINES_FRACTION * engines.len() as f64
    }
}
