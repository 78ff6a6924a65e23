//! Updates to voters, collected and sent in batches.

use std::collections::BTreeMap;

use ivypitch_types::{MemberId, Nanos};

use crate::message::{Message, StatementEnd, StatementId, StatementRecord};
use crate::output::Output;
use crate::ownership::Ownership;

/// Records of one message at most.
pub(crate) const MAX_RECORDS_PER_MESSAGE: usize = 64;

/// Statements whose voters are to be notified.
pub(crate) struct PendingUpdates {
    /// With their end, where they have one.
    ends: BTreeMap<StatementId, Option<StatementEnd>>,
    due: Nanos,
}

impl PendingUpdates {
    pub(crate) fn new() -> PendingUpdates {
        PendingUpdates {
            ends: BTreeMap::new(),
            due: Nanos::MAX,
        }
    }

    /// When the next batch is to be sent; [`Nanos::MAX`] if there is none.
    pub(crate) fn due(&self) -> Nanos {
        self.due
    }

    /// The statement's voters need not be notified any more.
    pub(crate) fn cancel(&mut self, id: StatementId) {
        self.ends.remove(&id);
    }

    fn add(&mut self, id: StatementId, end: Option<StatementEnd>, due: Nanos) {
        let known = self.ends.entry(id).or_default();
        *known = end.or(*known);
        if self.due == Nanos::MAX {
            self.due = due;
        }
    }

    fn take(&mut self) -> BTreeMap<StatementId, Option<StatementEnd>> {
        self.due = Nanos::MAX;
        std::mem::take(&mut self.ends)
    }
}

impl Ownership {
    /// Notifies the statement's voters with the next batch.
    pub(crate) fn queue_update(&mut self, now: Nanos, id: StatementId, end: Option<StatementEnd>) {
        let due = now + self.config.update_interval;
        self.updates.add(id, end, due);
    }

    pub(crate) fn send_due_updates(&mut self, now: Nanos, out: &mut dyn Output) {
        if now >= self.updates.due() {
            self.send_updates(now, out);
        }
    }

    /// Sends each voter all its updates together.
    fn send_updates(&mut self, now: Nanos, out: &mut dyn Output) {
        let mut batches: BTreeMap<MemberId, Vec<StatementRecord>> = BTreeMap::new();
        for (id, end) in self.updates.take() {
            let Some(record) = self.update_of(now, id, end) else {
                continue;
            };
            for voter in self.notified_voters(id) {
                if voter == self.this_member() {
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

    /// What the statement's voters are told; `None` where they need not know of it.
    fn update_of(
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

    fn notified_voters(&self, id: StatementId) -> Vec<MemberId> {
        let mut voters = self.voters.voters_of(id);
        let is_idempotent = self
            .statements
            .get(id)
            .is_some_and(|statement| statement.spec.is_idempotent);
        if is_idempotent {
            voters.truncate(self.config.voters_of_idempotent_statements);
        }
        voters
    }
}
