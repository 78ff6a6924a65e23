//! Taking a statement over: a quorum of its voters lets this gateway act under a new epoch.

use ivypitch_types::{MemberId, Nanos, ProcessId};

use crate::lookup_answer::Location;
use crate::message::{Epoch, FinalAnswer, Message, StatementEnd, StatementId, StatementRecord};
use crate::output::Output;
use crate::ownership::Ownership;
use crate::statement::StatementState;
use crate::vote_log::VoteRefusal;

/// The pause between tries grows up to this many takeover timeouts.
const MAX_RETRY_PAUSE_TIMEOUTS: u32 = 4;

/// A voter's answer to a takeover.
pub(crate) struct TakeoverVote {
    pub(crate) voter: MemberId,
    pub(crate) epoch: Epoch,
    /// It lets no lower epoch act.
    pub(crate) promised: bool,
    /// What it knows of the statement.
    pub(crate) record: Option<StatementRecord>,
}

impl Ownership {
    /// A process is gone. What it acted for has no owner; the first of its voters that is connected takes it over.
    pub fn on_member_down(&mut self, now: Nanos, process: ProcessId, out: &mut dyn Output) {
        if !self.members.on_down(now, process) {
            return;
        }
        self.transfers.on_member_down(now, process.member);
        let mut orphan_count = 0;
        let mut first_voter_count = 0;
        for id in self.vote_log.owned_by(process) {
            let Some(rank) = self.orphan(now, id, process) else {
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

    /// Prepares to take a statement over, if it is in need of that. Returns this member's rank among its voters.
    fn orphan(&mut self, now: Nanos, id: StatementId, lost: ProcessId) -> Option<usize> {
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

    /// The statement is open, or its rows were at the lost process and its engine may still have them.
    fn is_orphaned_by(&self, now: Nanos, record: &StatementRecord, lost: ProcessId) -> bool {
        match record.end {
            None => true,
            Some(StatementEnd::Completed { rows_at }) => {
                rows_at == lost
                    && self.recent_ends.contains(now, record.id)
                    && record.grants.iter().any(|grant| !grant.never_ran)
            }
            Some(StatementEnd::Aborted | StatementEnd::Rejected) => false,
        }
    }

    /// How many of the statement's connected voters come before this member.
    fn rank_among_connected(&self, id: StatementId) -> usize {
        let this = self.this_member();
        self.connected_voters(id)
            .into_iter()
            .take_while(|&voter| voter != this)
            .count()
    }

    /// Asks all voters of the statement to let this gateway act under a new epoch.
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
        // Lookups before the takeover do not count as tries.
        statement.tries = if statement.state() == StatementState::TakingOver {
            statement.tries + 1
        } else {
            1
        };
        // No longer than a grant is valid: after that a voter may have restarted and voted again, and its promise
        // counts no more.
        let pause_timeouts = u64::from(statement.tries.min(MAX_RETRY_PAUSE_TIMEOUTS));
        let pause = (self.config.takeover_timeout * pause_timeouts).min(self.config.grant_validity);
        self.statements.transition(id, StatementState::TakingOver);
        self.statements.set_timer(id, now + pause);
        let voters = self.voters.voters_of(id);
        let this = self.this_member();
        for &voter in voters.iter().filter(|&&voter| voter != this) {
            if self.members.is_connected(voter) {
                out.send(voter, Message::TakeoverRequest { id, epoch });
            }
        }
        if voters.contains(&this) {
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
        let voter = self.this_member();
        let result = self.vote_log.vote_on_takeover(now, id, epoch, &self.voters);
        let (promised, record) = match result {
            Ok(record) => (true, record),
            Err(VoteRefusal::Conflict(record)) => (false, Some(*record)),
            Err(VoteRefusal::Abstained | VoteRefusal::Full) => return,
        };
        let vote = TakeoverVote {
            voter,
            epoch,
            promised,
            record,
        };
        self.on_takeover_vote(now, id, vote, out);
    }

    /// Another gateway asks for this member's vote.
    pub(crate) fn on_takeover_request(
        &mut self,
        now: Nanos,
        from: MemberId,
        id: StatementId,
        epoch: Epoch,
        out: &mut dyn Output,
    ) {
        let result = self.vote_log.vote_on_takeover(now, id, epoch, &self.voters);
        let (promised, record) = match result {
            Ok(record) => {
                self.on_superseded(now, id, epoch, out);
                (true, record)
            }
            Err(VoteRefusal::Conflict(record)) => (false, Some(*record)),
            Err(VoteRefusal::Abstained | VoteRefusal::Full) => {
                out.send(from, Message::Abstention { id, epoch });
                return;
            }
        };
        let reply = Message::TakeoverReply {
            id,
            epoch,
            promised,
            record,
        };
        out.send(from, reply);
    }

    /// Another gateway may act. An attempt of this one goes on at its engine and its clients get the end, but no
    /// further attempt is granted; a takeover of this one's own is over.
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

    /// A voter has answered.
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
        if !vote.promised {
            if let Some(record) = vote.record {
                self.on_takeover_refused(now, id, &record, out);
            }
            return;
        }
        statement.takeover.promises.insert(vote.voter, vote.record);
        if statement.takeover.promises.len() >= quorum {
            self.counters.taken_over += 1;
            self.complete_takeover(now, id, out);
        }
    }

    fn on_takeover_refused(
        &mut self,
        now: Nanos,
        id: StatementId,
        record: &StatementRecord,
        out: &mut dyn Output,
    ) {
        match self.locate(record) {
            Location::At(member) if member != self.this_member() => {
                self.follow_or_close(now, id, member, out);
            }
            // The takeover of a process that is lost too: the next try goes over it.
            _ => {
                if let Some(statement) = self.statements.get_mut(id) {
                    statement.epoch.number = statement.epoch.number.max(record.epoch.number);
                }
            }
        }
    }

    /// This member's turn has come.
    pub(crate) fn on_orphan_timer(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let Some(statement) = self.statements.get(id) else {
            return;
        };
        let promised = self.vote_log.get(now, id);
        let next_number = promised.map_or(0, |record| record.epoch.number + 1);
        let epoch_number = statement.epoch.number.max(next_number);
        self.request_takeover(now, id, epoch_number, out);
    }

    /// No quorum has promised yet.
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
            // Nobody may act for it now, or nobody can say that it did not run. Whoever waits is told so at once and may
            // come back with the same id.
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
