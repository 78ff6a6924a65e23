//! The entry point of the crate: the statements that this gateway owns, waits for, or may have to
//! take over.
//!
//! The other modules each add one concern to [`Ownership`].

use ivypitch_types::{MILLISECOND, MemberId, Nanos, ProcessId, SECOND};

use crate::attempt_grant::GrantVote;
use crate::config::OwnershipConfig;
use crate::lookup_reply::LookupRequest;
use crate::members::Members;
use crate::message::{Epoch, Message, StatementEnd, StatementId, StatementRecord, StatementSpec};
use crate::output::{Output, OwnershipCounters, OwnershipSizes};
use crate::recent_completions::RecentCompletions;
use crate::result_cache::ResultCache;
use crate::state_transfer::StateTransfers;
use crate::statement::{Statement, StatementState};
use crate::statement_table::StatementTable;
use crate::takeover::TakeoverVote;
use crate::updates::PendingUpdates;
use crate::vote_log::{VoteLog, VoteLogConfig};
use crate::voters::VoterAssignment;

/// Time within which a starting process connects to all reachable members.
const JOIN_TIMEOUT: Nanos = SECOND;

/// Decides which gateway owns a statement, as one member of the fleet.
///
/// The values of `now` must never decrease from one call to the next. All results of a call are
/// passed to the [`Output`] before it returns.
pub struct Ownership {
    pub(crate) config: OwnershipConfig,
    pub(crate) voters: VoterAssignment,
    pub(crate) vote_log: VoteLog,
    pub(crate) statements: StatementTable,
    pub(crate) members: Members,
    pub(crate) recent_completions: RecentCompletions,
    pub(crate) updates: PendingUpdates,
    pub(crate) transfers: StateTransfers,
    pub(crate) counters: OwnershipCounters,
    pub(crate) started_at: Nanos,
    last_request_id: u64,
}

impl Ownership {
    /// Creates the state of process `own_process`, which starts now. `zones` lists the zones of all
    /// members, by member id.
    pub fn new(
        own_process: ProcessId,
        zones: Vec<u16>,
        config: OwnershipConfig,
        now: Nanos,
    ) -> Ownership {
        let member_count = zones.len();
        let results = ResultCache::new(config.result_cache_bytes_per_tenant);
        Ownership {
            voters: VoterAssignment::new(zones, config.voters_per_statement),
            vote_log: VoteLog::new(own_process.member, now, VoteLogConfig::from(&config)),
            statements: StatementTable::new(results),
            members: Members::new(own_process, member_count),
            recent_completions: RecentCompletions::default(),
            updates: PendingUpdates::new(),
            transfers: StateTransfers::new(member_count),
            counters: OwnershipCounters::default(),
            started_at: now,
            last_request_id: 0,
            config,
        }
    }

    /// Events counted since the process started.
    pub fn counters(&self) -> OwnershipCounters {
        self.counters
    }

    /// Current sizes of the tables.
    pub fn sizes(&self) -> OwnershipSizes {
        let open_statements = self
            .statements
            .iter()
            .filter(|(_, statement)| statement.is_open())
            .count();
        OwnershipSizes {
            open_statements,
            vote_log_entries: self.vote_log.len(),
            cached_bytes: self.statements.results.bytes(),
        }
    }

    /// The statement's state, if it is known here.
    pub fn state(&self, id: StatementId) -> Option<StatementState> {
        self.statements.get(id).map(Statement::state)
    }

    /// Handles a message from another member.
    pub fn on_message(
        &mut self,
        now: Nanos,
        from: MemberId,
        message: Message,
        out: &mut dyn Output,
    ) {
        match message {
            Message::Update(records) => self.apply_records(now, &records),
            Message::GrantRequest { record, grant } => {
                self.on_grant_request(now, from, &record, grant, out);
            }
            Message::GrantReply {
                id,
                grant,
                conflict,
            } => {
                let vote = GrantVote {
                    voter: from,
                    grant,
                    conflict,
                };
                self.on_grant_vote(now, id, vote, out);
            }
            Message::TakeoverRequest { id, epoch } => {
                self.on_takeover_request(now, from, id, epoch, out);
            }
            Message::TakeoverReply {
                id,
                epoch,
                is_promised,
                record,
            } => {
                let vote = TakeoverVote {
                    voter: from,
                    epoch,
                    is_promised,
                    record,
                };
                self.on_takeover_vote(now, id, vote, out);
            }
            Message::Abstention { id, epoch } => self.on_abstention(now, from, id, epoch, out),
            Message::LookupRequest {
                id,
                digest,
                request_id,
            } => {
                let request = LookupRequest {
                    from,
                    id,
                    digest,
                    request_id,
                };
                self.on_lookup_request(now, request, out);
            }
            Message::LookupReply {
                request_id,
                id,
                answer,
            } => self.on_lookup_reply(now, id, request_id, answer, out),
            Message::Handoff(record) => self.on_handoff(now, record, out),
            Message::StateTransfer {
                records,
                completeness,
            } => {
                self.apply_records(now, &records);
                if let Some(completeness) = completeness {
                    self.vote_log.on_state_transferred(now, from, completeness);
                }
            }
        }
    }

    /// When [`Ownership::on_timer`] must be called next; [`Nanos::MAX`] if no timer is set.
    pub fn next_timer(&self) -> Nanos {
        self.statements
            .next_timer()
            .min(self.updates.next_send_at())
            .min(self.vote_log.next_expiry())
            .min(self.transfers.next_send_at())
    }

    /// Handles all timers that have expired.
    pub fn on_timer(&mut self, now: Nanos, out: &mut dyn Output) {
        self.fire_statement_timers(now, out);
        self.on_update_timer(now, out);
        self.on_transfer_timer(now, out);
        self.evict_expired(now);
    }

    pub(crate) fn fire_statement_timers(&mut self, now: Nanos, out: &mut dyn Output) {
        while let Some(id) = self.statements.pop_expired(now) {
            self.on_statement_timer(now, id, out);
        }
    }

    fn on_statement_timer(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let Some(statement) = self.statements.get(id) else {
            return;
        };
        if statement.pending_grant.is_some() {
            self.on_votes_changed(now, id, out);
            return;
        }
        let expires_at = statement.expires_at;
        match statement.state() {
            StatementState::LookingUp => self.on_lookup_timer(now, id, out),
            StatementState::Orphaned => self.on_orphan_timer(now, id, out),
            StatementState::TakingOver => self.on_takeover_timer(now, id, out),
            StatementState::OwnedElsewhere => self.on_follow_timer(now, id, out),
            StatementState::Owned | StatementState::Replicated | StatementState::TakenOver => {
                if now >= expires_at {
                    // Whatever its outcome here, no client can ask for it any more.
                    self.statements.transition(id, StatementState::Closed);
                } else {
                    self.statements.set_timer(id, expires_at);
                }
            }
            StatementState::Cached
            | StatementState::Delivered
            | StatementState::Closed
            | StatementState::Unknown => {
                if now >= expires_at {
                    self.statements.remove(id);
                }
            }
        }
    }

    /// Removes the entries that no client can ask for any more or that exceed the tables' bounds.
    pub(crate) fn evict_expired(&mut self, now: Nanos) {
        let max_entries = self.config.max_entries;
        self.vote_log.evict_expired(now);
        while let Some(id) = self.recent_completions.pop_expired(now, max_entries) {
            self.vote_log.drop_request(id);
        }
        self.statements
            .evict_ended(self.config.max_ended_statements.min(max_entries));
    }

    pub(crate) fn apply_records(&mut self, now: Nanos, records: &[StatementRecord]) {
        for record in records {
            self.apply_record(now, record);
        }
    }

    pub(crate) fn apply_record(&mut self, now: Nanos, record: &StatementRecord) {
        self.vote_log.apply(now, record);
        if matches!(record.end, Some(StatementEnd::Completed { .. })) {
            self.recent_completions.insert(now, record.id);
        }
    }

    pub(crate) fn own_member(&self) -> MemberId {
        self.members.own_process().member
    }

    /// An epoch in which this process is the owner.
    pub(crate) fn own_epoch(&self, number: u32) -> Epoch {
        Epoch {
            number,
            process: self.members.own_process(),
        }
    }

    /// Creates a statement without adding it to the table.
    pub(crate) fn new_statement(
        &self,
        now: Nanos,
        spec: StatementSpec,
        state: StatementState,
    ) -> Statement {
        let remaining = u64::from(spec.remaining_ms) * MILLISECOND;
        let deadline = now + remaining.min(self.config.max_statement_timeout);
        let expires_at = deadline + self.config.retention;
        Statement::new(state, self.own_epoch(0), spec, deadline, expires_at)
    }

    pub(crate) fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// The statement's voters other than this member.
    pub(crate) fn other_voters(&self, id: StatementId) -> Vec<MemberId> {
        let mut voters = self.voters.voters_of(id);
        voters.retain(|&voter| voter != self.own_member());
        voters
    }

    /// The statement's connected voters, including this member if it is a voter.
    pub(crate) fn connected_voters(&self, id: StatementId) -> Vec<MemberId> {
        let mut voters = self.voters.voters_of(id);
        voters.retain(|&voter| self.members.is_connected(voter));
        voters
    }

    pub(crate) fn has_quorum_connected(&self, id: StatementId) -> bool {
        self.connected_voters(id).len() >= self.voters.quorum()
    }

    /// Whether this process started recently and is not connected to a quorum of the statement's
    /// voters yet. Statements that arrive now are looked up once it is.
    pub(crate) fn is_joining(&self, now: Nanos, id: StatementId) -> bool {
        now < self.started_at + JOIN_TIMEOUT && !self.has_quorum_connected(id)
    }
}
