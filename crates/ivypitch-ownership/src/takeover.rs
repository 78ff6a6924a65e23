//! Takeover: a quorum of a statement's voters lets this gateway own it in a new epoch.

use ivypitch_types::{MemberId, Nanos, ProcessId};

use crate::lookup_reply::Location;
use crate::message::{Epoch, FinalAnswer, Message, StatementEnd, StatementId, StatementRecord};
use crate::output::Output;
use crate::ownership::Ownership;
use crate::statement::StatementState;
use crate::vote_log::VoteDenial;

/// Maximum backoff before a takeover is retried, in takeover timeouts.
const MAX_RETRY_BACKOFF_TIMEOUTS: u32 = 4;

/// A voter's answer to a takeover request.
pub(crate) struct TakeoverVote {
    pub(crate) voter: MemberId,
    pub(crate) epoch: Epoch,
    /// Whether the voter promises to grant nothing to lower epochs.
    pub(crate) is_promised: bool,
    /// The voter's record of the statement.
    pub(crate) record: Option<StatementRecord>,
}

impl Ownership {
    /// Handles the loss of a process. The first connected voter of each of its statements takes the
    /// statement over.
    pub fn on_member_down(&mut self, now: Nanos, process: ProcessId, out: &mut dyn Output) {
        if !self.members.on_down(now, process) {
            return;
        }
        self.transfers.on_member_down(now, process.member);
        let mut orphan_count = 0;
        let mut first_voter_count = 0;
        for id in self.vote_log.owned_by(process) {
            let Some(rank) = self.mark_orphaned(now, id, process) else {
                continue;
            };
            orphan_count += 1;
            first_voter_count += u64::from(rank == 0);
        }
        if orphan_count > 0 {
            let member = process.member.0;
            out.log(&format!(
                "owner lost member={member} orphaned={orphan_count} first_voter_of={first_voter_count}"
            ));
        }
        self.stop_following(now, process.member, out);
        self.fire_statement_timers(now, out);
    }

    /// Prepares the takeover of a statement if it needs one. Returns this member's rank among its
    /// connected voters.
    fn mark_orphaned(&mut self, now: Nanos, id: StatementId, lost: ProcessId) -> Option<usize> {
        let record = self.vote_log.get(now, id)?;
        if !self.is_orphaned_by(now, &record, lost) {
            return None;
        }
        let spec = record.spec?;
        if self.statements.is_owned_or_being_taken_over(id) {
            return None;
        }
        let rank = self.rank_among_connected(id);
        let mut statement = self.new_statement(now, spec, StatementState::LookingUp);
        if let Some(known) = self.statements.get_mut(id) {
            statement.waiters = std::mem::take(&mut known.waiters);
            let request = std::mem::take(&mut known.spec.request);
            if !request.is_empty() {
                statement.spec.request = request;
            }
        }
        statement.grants = record.grants;
        statement.epoch.number = record.epoch.number + 1;
        self.statements.insert(id, statement);
        self.statements.transition(id, StatementState::Orphaned);
        self.counters.orphaned += 1;
        let delay = rank as u64 * self.config.takeover_stagger;
        self.statements.set_timer(id, now + delay);
        Some(rank)
    }

    /// Whether the statement is open, or its rows were cached at the lost process and its engine
    /// may still have them.
    fn is_orphaned_by(&self, now: Nanos, record: &StatementRecord, lost: ProcessId) -> bool {
        match record.end {
            None => true,
            Some(StatementEnd::Completed { cached_at }) => {
                cached_at == lost
                    && self.recent_completions.contains(now, record.id)
                    && record.grants.iter().any(|grant| !grant.never_ran)
            }
            Some(StatementEnd::Aborted | StatementEnd::Rejected) => false,
        }
    }

    /// Number of the statement's connected voters that rank before this member.
    fn rank_among_connected(&self, id: StatementId) -> usize {
        let own_member = self.own_member();
        self.connected_voters(id)
            .into_iter()
            .take_while(|&voter| voter != own_member)
            .count()
    }

    /// Requests votes from all of the statement's voters to own it in a new epoch.
    pub(crate) fn request_takeover(
        &mut self,
        now: Nanos,
        id: StatementId,
        epoch_number: u32,
        out: &mut dyn Output,
    ) {
        let epoch = self.own_epoch(epoch_number);
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        statement.epoch = epoch;
        statement.takeover.promises.clear();
        // Lookups before the takeover do not count as rounds.
        statement.rounds = if statement.state() == StatementState::TakingOver {
            statement.rounds + 1
        } else {
            1
        };
        // Limited to the grant validity: after that time a voter may have restarted and voted
        // again, which voids its promise.
        let backoff_timeouts = u64::from(statement.rounds.min(MAX_RETRY_BACKOFF_TIMEOUTS));
        let backoff =
            (self.config.takeover_timeout * backoff_timeouts).min(self.config.grant_validity);
        self.statements.transition(id, StatementState::TakingOver);
        self.statements.set_timer(id, now + backoff);
        let voters = self.voters.voters_of(id);
        let own_member = self.own_member();
        for &voter in voters.iter().filter(|&&voter| voter != own_member) {
            if self.members.is_connected(voter) {
                out.send(voter, Message::TakeoverRequest { id, epoch });
            }
        }
        if voters.contains(&own_member) {
            self.vote_for_own_takeover(now, id, epoch, out);
        }
    }

    fn vote_for_own_takeover(
        &mut self,
        now: Nanos,
        id: StatementId,
        epoch: Epoch,
        out: &mut dyn Output,
    ) {
        let voter = self.own_member();
        let result = self.vote_log.vote_on_takeover(now, id, epoch, &self.voters);
        let (is_promised, record) = match result {
            Ok(record) => (true, record),
            Err(VoteDenial::Conflict(record)) => (false, Some(*record)),
            Err(VoteDenial::Abstained | VoteDenial::Full) => return,
        };
        let vote = TakeoverVote {
            voter,
            epoch,
            is_promised,
            record,
        };
        self.on_takeover_vote(now, id, vote, out);
    }

    /// Votes on another gateway's takeover.
    pub(crate) fn on_takeover_request(
        &mut self,
        now: Nanos,
        from: MemberId,
        id: StatementId,
        epoch: Epoch,
        out: &mut dyn Output,
    ) {
        let result = self.vote_log.vote_on_takeover(now, id, epoch, &self.voters);
        let (is_promised, record) = match result {
            Ok(record) => {
                self.on_superseded(now, id, epoch, out);
                (true, record)
            }
            Err(VoteDenial::Conflict(record)) => (false, Some(*record)),
            Err(VoteDenial::Abstained | VoteDenial::Full) => {
                out.send(from, Message::Abstention { id, epoch });
                return;
            }
        };
        let reply = Message::TakeoverReply {
            id,
            epoch,
            is_promised,
            record,
        };
        out.send(from, reply);
    }

    /// Another gateway may own the statement. An attempt of this gateway continues at its engine
    /// and its clients get the answer, but no further attempt is granted. A takeover by this
    /// gateway ends.
    fn on_superseded(&mut self, now: Nanos, id: StatementId, epoch: Epoch, out: &mut dyn Output) {
        let Some(statement) = self.statements.get(id) else {
            return;
        };
        let is_takeover = matches!(
            statement.state(),
            StatementState::TakingOver | StatementState::Orphaned
        );
        if is_takeover && statement.epoch < epoch {
            self.follow_or_close(now, id, epoch.process.member, out);
        }
    }

    fn follow_or_close(
        &mut self,
        now: Nanos,
        id: StatementId,
        member: MemberId,
        out: &mut dyn Output,
    ) {
        let has_waiters = self
            .statements
            .get(id)
            .is_some_and(|statement| !statement.waiters.is_empty());
        if has_waiters {
            self.follow(now, id, member, out);
        } else {
            self.statements.transition(id, StatementState::Closed);
        }
    }

    /// Handles a voter's reply.
    pub(crate) fn on_takeover_vote(
        &mut self,
        now: Nanos,
        id: StatementId,
        vote: TakeoverVote,
        out: &mut dyn Output,
    ) {
        let quorum = self.voters.quorum();
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        if statement.state() != StatementState::TakingOver || statement.epoch != vote.epoch {
            return;
        }
        if !vote.is_promised {
            if let Some(record) = vote.record {
                self.on_takeover_denied(now, id, &record, out);
            }
            return;
        }
        statement.takeover.promises.insert(vote.voter, vote.record);
        if statement.takeover.promises.len() >= quorum {
            self.counters.taken_over += 1;
            self.complete_takeover(now, id, out);
        }
    }

    fn on_takeover_denied(
        &mut self,
        now: Nanos,
        id: StatementId,
        record: &StatementRecord,
        out: &mut dyn Output,
    ) {
        match self.locate(record) {
            Location::At(member) if member != self.own_member() => {
                self.follow_or_close(now, id, member, out);
            }
            // The voter has promised the statement to a process that is lost as well: the next
            // round uses a higher epoch.
            _ => {
                if let Some(statement) = self.statements.get_mut(id) {
                    statement.epoch.number = statement.epoch.number.max(record.epoch.number);
                }
            }
        }
    }

    /// Starts this member's takeover after its stagger.
    pub(crate) fn on_orphan_timer(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let Some(statement) = self.statements.get(id) else {
            return;
        };
        let known = self.vote_log.get(now, id);
        let next_number = known.map_or(0, |record| record.epoch.number + 1);
        let epoch_number = statement.epoch.number.max(next_number);
        self.request_takeover(now, id, epoch_number, out);
    }

    /// Handles a takeover round without a quorum.
    pub(crate) fn on_takeover_timer(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let has_quorum = self.has_quorum_connected(id);
        let Some(statement) = self.statements.get(id) else {
            return;
        };
        let is_late = now >= statement.deadline;
        let is_rejection_pending = statement.takeover.rejection.is_some();
        let is_idempotent = statement.spec.is_idempotent;
        let epoch_number = statement.epoch.number + 1;
        if is_rejection_pending || (!is_late && !has_quorum) {
            // No gateway can own the statement now, or no gateway can exclude that it ran. Waiting
            // clients get this answer immediately and may return with the same id.
            self.answer_waiters(id, &FinalAnswer::Aborted, out);
        }
        if is_rejection_pending {
            self.statements.transition(id, StatementState::Closed);
        } else if is_late {
            let answer = if is_idempotent {
                FinalAnswer::Rejected { retry_after_ms: 0 }
            } else {
                FinalAnswer::Aborted
            };
            self.answer_waiters(id, &answer, out);
            self.statements.transition(id, StatementState::Closed);
        } else {
            self.request_takeover(now, id, epoch_number, out);
        }
    }
}
