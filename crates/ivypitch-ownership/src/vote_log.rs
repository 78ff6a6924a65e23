//! A member's memory as a voter: one register per statement.
//!
//! A voter votes for one epoch at a time and never revokes a grant. After a restart it has lost its
//! votes; it abstains until other members have transferred every record that it may have voted on,
//! or until no statement of that time can still be open.

use std::collections::{BTreeMap, BTreeSet};

use ivypitch_types::{MemberId, Nanos, ProcessId};

use crate::config::OwnershipConfig;
use crate::message::{
    AttemptGrant, Epoch, StatementEnd, StatementId, StatementRecord, VoteLogCompleteness,
};
use crate::vote_log_entry::VoteLogEntry;
use crate::voters::VoterAssignment;

/// Why a vote was not given.
#[derive(Clone, Debug, PartialEq)]
pub enum VoteDenial {
    /// The voter restarted recently.
    Abstained,
    /// Another process may own the statement, or it has ended; contains the voter's record.
    Conflict(Box<StatementRecord>),
    /// There is no space for another statement.
    Full,
}

/// Configuration of a [`VoteLog`].
#[derive(Clone, Copy, Debug)]
pub struct VoteLogConfig {
    /// Time after the vote request within which a grant must be used.
    pub grant_validity: Nanos,
    /// Longest timeout of any statement.
    pub max_statement_timeout: Nanos,
    /// How long after its timeout a statement's client may return.
    pub retention: Nanos,
    /// Maximum number of statements in the log.
    pub max_entries: usize,
    /// Maximum size of the log in bytes, including overhead.
    pub max_bytes: usize,
}

impl From<&OwnershipConfig> for VoteLogConfig {
    fn from(config: &OwnershipConfig) -> VoteLogConfig {
        VoteLogConfig {
            grant_validity: config.grant_validity,
            max_statement_timeout: config.max_statement_timeout,
            retention: config.retention,
            max_entries: config.max_entries,
            max_bytes: config.max_vote_log_bytes,
        }
    }
}

/// The log of one voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoteLog {
    member: MemberId,
    /// Entries are removed once the statement's client can't return any more.
    entries: BTreeMap<StatementId, VoteLogEntry>,
    expiries: BTreeSet<(Nanos, StatementId)>,
    /// The expiries of idempotent statements alone, which give way in this order.
    idempotent_expiries: BTreeSet<(Nanos, StatementId)>,
    max_entries: usize,
    max_bytes: usize,
    /// Approximate size of all entries.
    bytes: usize,
    retention: Nanos,
    /// Until this time the voter abstains on everything.
    abstains_until: Nanos,
    /// From this time on it votes on everything.
    complete_from: Nanos,
    /// Members that transferred all their records since this voter started, and the completeness of
    /// their vote logs.
    transferred_by: BTreeMap<MemberId, VoteLogCompleteness>,
    /// Counts changes of `transferred_by`.
    revision: u64,
}

impl VoteLog {
    /// Creates the empty log of a voter that starts now.
    pub fn new(member: MemberId, now: Nanos, config: VoteLogConfig) -> VoteLog {
        let abstains_until = now + config.grant_validity;
        VoteLog {
            member,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            idempotent_expiries: BTreeSet::new(),
            max_entries: config.max_entries,
            max_bytes: config.max_bytes,
            bytes: 0,
            retention: config.retention,
            abstains_until,
            complete_from: abstains_until + config.max_statement_timeout + config.retention,
            transferred_by: BTreeMap::new(),
            revision: 0,
        }
    }

    /// Number of statements in the log.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the log is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a member has transferred all that this voter may have voted on.
    ///
    /// A transfer is ignored while a grant with a vote of this voter's former process can still
    /// reach its quorum: the sender may not have known of that grant yet.
    pub fn on_state_transferred(
        &mut self,
        now: Nanos,
        from: MemberId,
        completeness: VoteLogCompleteness,
    ) {
        if now >= self.abstains_until && self.transferred_by.get(&from) != Some(&completeness) {
            self.transferred_by.insert(from, completeness);
            self.revision += 1;
        }
    }

    /// Increases whenever this voter regains more of its lost votes. Its earlier transfers to
    /// others are then less complete than a new one would be.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Handles a new process of the member.
    pub fn on_member_replaced(&mut self, member: MemberId) {
        // A former process's transfer from a complete log stays valid.
        if let Some(VoteLogCompleteness::RestoredFrom(_)) = self.transferred_by.get(&member) {
            self.transferred_by.remove(&member);
            self.revision += 1;
        }
    }

    /// How much of its former process's votes this voter knows.
    pub fn completeness(&self, now: Nanos) -> VoteLogCompleteness {
        if now >= self.complete_from {
            VoteLogCompleteness::Complete
        } else {
            VoteLogCompleteness::RestoredFrom(self.transferred_by.keys().copied().collect())
        }
    }

    /// Whether the votes that this voter gave before its restart are known again: for every quorum
    /// that it was part of, a member that knows of that quorum has transferred its records.
    pub fn can_vote(&self, now: Nanos, id: StatementId, assignment: &VoterAssignment) -> bool {
        if now >= self.complete_from {
            return true;
        }
        if now < self.abstains_until || self.transferred_by.is_empty() {
            return false;
        }
        let voters = assignment.voters_of(id);
        let required_sources = assignment.voters_per_statement() - assignment.quorum() + 1;
        let source_count = voters
            .iter()
            .filter(|&&voter| {
                voter != self.member && self.can_rely_on(voter, &voters, required_sources)
            })
            .count();
        source_count >= required_sources
    }

    fn can_rely_on(&self, source: MemberId, voters: &[MemberId], required_sources: usize) -> bool {
        match self.transferred_by.get(&source) {
            Some(VoteLogCompleteness::Complete) => true,
            // The source restarted recently too: it knows the votes if enough other voters
            // transferred theirs to it.
            Some(VoteLogCompleteness::RestoredFrom(members)) => {
                let source_count = voters
                    .iter()
                    .filter(|&voter| *voter != source && members.contains(voter))
                    .count();
                source_count >= required_sources
            }
            None => false,
        }
    }

    /// The record of a statement.
    pub fn get(&self, now: Nanos, id: StatementId) -> Option<StatementRecord> {
        Some(self.entries.get(&id)?.record(now, id))
    }

    /// Applies a record that needs no vote. The end in a record of a superseded epoch is kept only
    /// if it is a completion, which is a fact.
    pub fn apply(&mut self, now: Nanos, record: &StatementRecord) {
        if record.end == Some(StatementEnd::Rejected) {
            // The statement had no effect: it starts again on its next arrival.
            let is_current = self
                .entries
                .get(&record.id)
                .is_some_and(|entry| entry.promised_epoch <= record.epoch && entry.end.is_none());
            if is_current {
                self.remove(record.id);
            }
            return;
        }
        if let Some(entry) = self.merge(now, record) {
            entry.promised_epoch = entry.promised_epoch.max(record.epoch);
        }
    }

    /// Votes on dispatching one attempt in the epoch of `grant`.
    pub fn vote_on_grant(
        &mut self,
        now: Nanos,
        record: &StatementRecord,
        grant: AttemptGrant,
        assignment: &VoterAssignment,
    ) -> Result<(), VoteDenial> {
        if !self.can_vote(now, record.id, assignment) {
            return Err(VoteDenial::Abstained);
        }
        if let Some(entry) = self.entries.get(&record.id)
            && entry.forbids_grant(record, &grant)
        {
            let known = entry.record(now, record.id);
            return Err(VoteDenial::Conflict(Box::new(known)));
        }
        let granted = StatementRecord {
            grants: [record.grants.as_slice(), &[grant]].concat(),
            ..record.clone()
        };
        match self.merge(now, &granted) {
            Some(_) => Ok(()),
            None => Err(VoteDenial::Full),
        }
    }

    /// Votes on a takeover. After that, no lower epoch gets a grant here. Returns the record before
    /// the vote.
    pub fn vote_on_takeover(
        &mut self,
        now: Nanos,
        id: StatementId,
        epoch: Epoch,
        assignment: &VoterAssignment,
    ) -> Result<Option<StatementRecord>, VoteDenial> {
        if !self.can_vote(now, id, assignment) {
            return Err(VoteDenial::Abstained);
        }
        let known = self.get(now, id);
        if let Some(record) = &known
            && record.epoch >= epoch
        {
            return Err(VoteDenial::Conflict(Box::new(record.clone())));
        }
        let empty = StatementRecord {
            id,
            epoch,
            spec: None,
            grants: Vec::new(),
            end: None,
        };
        let entry = self.merge(now, &empty).ok_or(VoteDenial::Full)?;
        entry.promised_epoch = epoch;
        Ok(known)
    }

    /// Merges the record into its entry and returns the entry; `None` if there is no space for
    /// another statement.
    fn merge(&mut self, now: Nanos, record: &StatementRecord) -> Option<&mut VoteLogEntry> {
        let id = record.id;
        if !self.entries.contains_key(&id) {
            let mut entry = VoteLogEntry::new(now, record.epoch);
            entry.merge(now, record);
            if !self.make_space(entry.bytes()) {
                return None;
            }
            self.bytes += entry.bytes();
            self.entries.insert(id, entry);
        }
        let entry = self.entries.get_mut(&id)?;
        self.bytes -= entry.bytes();
        entry.merge(now, record);
        self.bytes += entry.bytes();
        let expires_at = entry.deadline.max(now) + self.retention;
        if expires_at > entry.expires_at {
            self.expiries.remove(&(entry.expires_at, id));
            self.idempotent_expiries.remove(&(entry.expires_at, id));
            entry.expires_at = expires_at;
            self.expiries.insert((expires_at, id));
        }
        if entry.is_idempotent() {
            self.idempotent_expiries.insert((entry.expires_at, id));
        }
        Some(entry)
    }

    /// Makes space for an entry of this size. The oldest idempotent statements give way, since they
    /// may run again. Returns false if there is still no space.
    fn make_space(&mut self, bytes: usize) -> bool {
        while self.entries.len() >= self.max_entries || self.bytes + bytes > self.max_bytes {
            let Some(&(_, oldest)) = self.idempotent_expiries.first() else {
                return false;
            };
            self.remove(oldest);
        }
        true
    }

    /// Drops the request, which is no longer needed to poll the statement's engine.
    pub fn drop_request(&mut self, id: StatementId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            self.bytes -= entry.bytes();
            entry.drop_request();
            self.bytes += entry.bytes();
        }
    }

    /// Removes a statement.
    pub fn remove(&mut self, id: StatementId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.bytes -= entry.bytes();
            self.expiries.remove(&(entry.expires_at, id));
            self.idempotent_expiries.remove(&(entry.expires_at, id));
        }
    }

    /// Removes the statements that no client can ask for any more.
    pub fn evict_expired(&mut self, now: Nanos) {
        while let Some(&(at, id)) = self.expiries.first().filter(|(at, _)| *at <= now) {
            self.expiries.remove(&(at, id));
            self.remove(id);
        }
    }

    /// When the next statement expires; [`Nanos::MAX`] if the log is empty.
    pub fn next_expiry(&self) -> Nanos {
        self.expiries.first().map_or(Nanos::MAX, |&(at, _)| at)
    }

    /// The statements that this process may own.
    pub fn owned_by(&self, process: ProcessId) -> Vec<StatementId> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.promised_epoch.process == process)
            .map(|(&id, _)| id)
            .collect()
    }

    /// All records, ordered by statement.
    pub fn records(&self, now: Nanos) -> impl Iterator<Item = StatementRecord> {
        self.entries
            .iter()
            .map(move |(&id, entry)| entry.record(now, id))
    }
}
