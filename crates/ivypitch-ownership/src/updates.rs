//! Updates to voters, sent in batches.

use std::collections::BTreeMap;

use ivypitch_types::{MemberId, Nanos};

use crate::message::{Message, StatementEnd, StatementId, StatementRecord};
use crate::output::Output;
use crate::ownership::Ownership;

/// Maximum number of records in one message.
pub(crate) const MAX_RECORDS_PER_MESSAGE: usize = 64;

/// Statements whose voters must be notified.
pub(crate) struct PendingUpdates {
    /// Statements with their ends, if they have ended.
    ends: BTreeMap<StatementId, Option<StatementEnd>>,
    next_send_at: Nanos,
}

impl PendingUpdates {
    pub(crate) fn new() -> PendingUpdates {
        PendingUpdates {
            ends: BTreeMap::new(),
            next_send_at: Nanos::MAX,
        }
    }

    /// When the next batch is sent; [`Nanos::MAX`] if there is none.
    pub(crate) fn next_send_at(&self) -> Nanos {
        self.next_send_at
    }

    /// Removes the statement from the next batch.
    pub(crate) fn cancel(&mut self, id: StatementId) {
        self.ends.remove(&id);
    }

    fn add(&mut self, id: StatementId, end: Option<StatementEnd>, send_at: Nanos) {
        let known = self.ends.entry(id).or_default();
        *known = end.or(*known);
        if self.next_send_at == Nanos::MAX {
            self.next_send_at = send_at;
        }
    }

    fn take(&mut self) -> BTreeMap<StatementId, Option<StatementEnd>> {
        self.next_send_at = Nanos::MAX;
        std::mem::take(&mut self.ends)
    }
}

impl Ownership {
    /// Adds the statement to the next batch of updates to its voters.
    pub(crate) fn queue_update(&mut self, now: Nanos, id: StatementId, end: Option<StatementEnd>) {
        let send_at = now + self.config.update_interval;
        self.updates.add(id, end, send_at);
    }

    pub(crate) fn on_update_timer(&mut self, now: Nanos, out: &mut dyn Output) {
        if now >= self.updates.next_send_at() {
            self.send_updates(now, out);
        }
    }

    /// Sends each voter all its updates together.
    fn send_updates(&mut self, now: Nanos, out: &mut dyn Output) {
        let mut batches: BTreeMap<MemberId, Vec<StatementRecord>> = BTreeMap::new();
        for (id, end) in self.updates.take() {
            let Some(record) = self.make_update(now, id, end) else {
                continue;
            };
            for voter in self.voters_to_notify(id) {
                if voter == self.own_member() {
                    self.apply_record(now, &record);
                } else if self.members.is_connected(voter) {
                    batches.entry(voter).or_default().push(record.clone());
                }
            }
        }
        for (voter, records) in batches {
            for part in records.chunks(MAX_RECORDS_PER_MESSAGE) {
                out.send(voter, Message::Update(part.to_vec()));
            }
        }
    }

    /// The record sent to the statement's voters; `None` if they need not know the statement.
    fn make_update(
        &mut self,
        now: Nanos,
        id: StatementId,
        end: Option<StatementEnd>,
    ) -> Option<StatementRecord> {
        let statement = self.statements.get_mut(id)?;
        let is_first = !statement.is_known_to_voters;
        if is_first && (end.is_some() || !statement.is_open()) {
            return None;
        }
        let mut record = if is_first && end.is_none() {
            statement.record(now, id)
        } else {
            statement.record_without_request(now, id)
        };
        record.end = end;
        if end.is_some() && !statement.spec.is_idempotent {
            record.spec = None;
        }
        statement.is_known_to_voters = true;
        Some(record)
    }

    fn voters_to_notify(&self, id: StatementId) -> Vec<MemberId> {
        let mut voters = self.voters.voters_of(id);
        let is_idempotent = self
            .statements
            .get(id)
            .is_some_and(|statement| statement.spec.is_idempotent);
        if is_idempotent {
            voters.truncate(self.config.voters_per_idempotent_statement);
        }
        voters
    }
}
