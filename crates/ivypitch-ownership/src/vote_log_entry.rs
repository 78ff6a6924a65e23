//! A voter's entry for one statement.

use ivypitch_types::{MILLISECOND, Nanos};

use crate::message::{
    AttemptGrant, Epoch, StatementEnd, StatementId, StatementRecord, StatementSpec,
};

/// Approximate memory of an entry without its request and grants: the entry, and its places in the
/// maps by id and by expiry.
const ENTRY_BYTES: usize = 512;

/// The register of one statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct VoteLogEntry {
    /// Lower epochs get no grant.
    pub(crate) promised_epoch: Epoch,
    spec: Option<StatementSpec>,
    /// When its client's timeout ends.
    pub(crate) deadline: Nanos,
    grants: Vec<AttemptGrant>,
    pub(crate) end: Option<StatementEnd>,
    pub(crate) expires_at: Nanos,
}

impl VoteLogEntry {
    pub(crate) fn new(now: Nanos, promised_epoch: Epoch) -> VoteLogEntry {
        VoteLogEntry {
            promised_epoch,
            spec: None,
            deadline: now,
            grants: Vec::new(),
            end: None,
            expires_at: 0,
        }
    }

    /// Whether the statement is known to be idempotent.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.is_idempotent)
    }

    /// Approximate size of the entry with its place in the log.
    pub(crate) fn bytes(&self) -> usize {
        let request = self.spec.as_ref().map_or(0, |spec| spec.request.len());
        ENTRY_BYTES + request + self.grants.len() * size_of::<AttemptGrant>()
    }

    pub(crate) fn record(&self, now: Nanos, id: StatementId) -> StatementRecord {
        let remaining_ms = (self.deadline.saturating_sub(now) / MILLISECOND) as u32;
        let spec = self.spec.clone().map(|spec| StatementSpec {
            remaining_ms,
            ..spec
        });
        StatementRecord {
            id,
            epoch: self.promised_epoch,
            spec,
            grants: self.grants.clone(),
            end: self.end,
        }
    }

    pub(crate) fn merge(&mut self, now: Nanos, record: &StatementRecord) {
        if self.spec.is_none()
            && let Some(spec) = &record.spec
        {
            self.deadline = now + u64::from(spec.remaining_ms) * MILLISECOND;
            self.spec = Some(spec.clone());
        }
        for grant in &record.grants {
            self.merge_grant(grant);
        }
        self.grants.sort_unstable();
        self.merge_end(record);
        // A completed statement's request is needed as long as its engine may still have the rows.
        let has_ended_without_rows = self
            .end
            .is_some_and(|end| !matches!(end, StatementEnd::Completed { .. }));
        if has_ended_without_rows {
            self.drop_request();
        }
    }

    fn merge_grant(&mut self, grant: &AttemptGrant) {
        let known = self
            .grants
            .iter_mut()
            .find(|known| known.is_same_attempt(grant));
        match known {
            Some(known) => known.never_ran |= grant.never_ran,
            None => self.grants.push(*grant),
        }
    }

    fn merge_end(&mut self, record: &StatementRecord) {
        match (self.end, record.end) {
            // Completion is a fact, whichever member reports it; no other end overrides it.
            (None | Some(StatementEnd::Aborted), Some(end @ StatementEnd::Completed { .. })) => {
                self.end = Some(end);
            }
            (None, Some(end)) if record.epoch >= self.promised_epoch => self.end = Some(end),
            _ => {}
        }
    }

    pub(crate) fn drop_request(&mut self) {
        if let Some(spec) = &mut self.spec {
            spec.request = Vec::new();
        }
    }

    /// Whether the voter must deny the grant; `record` is the requester's knowledge of the
    /// statement.
    pub(crate) fn forbids_grant(&self, record: &StatementRecord, grant: &AttemptGrant) -> bool {
        let is_other_statement = match (&self.spec, &record.spec) {
            (Some(known), Some(requested)) => known.digest != requested.digest,
            _ => false,
        };
        // The same attempt was granted before, to a process that the requester no longer knows of.
        let is_granted_twice = self.grants.iter().any(|known| known.is_same_attempt(grant));
        // The voter gave that grant after it answered the requester's takeover.
        let has_unknown_grant = self
            .grants
            .iter()
            .filter(|known| !known.never_ran)
            .any(|known| {
                !record
                    .grants
                    .iter()
                    .any(|granted| granted.is_same_attempt(known))
            });
        self.promised_epoch != grant.epoch
            || self.end.is_some()
            || is_other_statement
            || is_granted_twice
            || has_unknown_grant
    }
}
