//! The end of a statement that this gateway owns.

use ivypitch_types::Nanos;

use crate::config::NoQuorumPolicy;
use crate::message::{FinalAnswer, LookupAnswer, Message, StatementEnd, StatementId};
use crate::output::Output;
use crate::ownership::Ownership;
use crate::statement::{PendingRejection, StatementState, Waiter};

/// Properties of the statement that determine how it ends.
struct EndedStatement {
    tenant: u16,
    is_idempotent: bool,
    is_known_to_voters: bool,
    is_taken_over: bool,
    may_have_run: bool,
    has_waiters: bool,
}

impl Ownership {
    /// Handles the scheduler's answer. Other clients that wait for the statement get the same
    /// answer.
    ///
    /// A non-idempotent statement is reported as rejected, to clients and voters, only after a
    /// quorum has promised a new epoch, which rules out any other dispatch: its client may have
    /// come from another gateway that dispatched it. Until then no client is answered; returns the
    /// token of the client that submitted the statement, if there is one, and [`Output::answer`]
    /// follows.
    pub fn on_answered(
        &mut self,
        now: Nanos,
        id: StatementId,
        answer: FinalAnswer,
        out: &mut dyn Output,
    ) -> Option<u64> {
        let statement = self.statements.get(id)?;
        if !statement.is_owner() {
            return None;
        }
        let is_idempotent = statement.spec.is_idempotent;
        let has_other_voters = self.voters.voters_per_statement() > 1;
        match answer {
            FinalAnswer::Rejected { retry_after_ms } if !is_idempotent && has_other_voters => {
                self.defer_rejection(now, id, retry_after_ms, out)
            }
            FinalAnswer::Aborted if self.may_be_known_elsewhere(now, id) => {
                self.look_up_before_abort(now, id, out)
            }
            _ => {
                self.end_statement(now, id, answer, out);
                None
            }
        }
    }

    /// The engine passed to [`Output::take_over`] is not known here, so it can't be polled. An
    /// idempotent statement runs again; any other is aborted.
    pub fn on_engine_unknown(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let statement = self.statements.get(id);
        let Some(statement) = statement.filter(|statement| statement.is_owner()) else {
            return;
        };
        if statement.spec.is_idempotent {
            let spec = statement.spec.clone();
            out.take_over(id, &spec, statement.remaining(now), None);
        } else {
            let _ = self.on_answered(now, id, FinalAnswer::Aborted, out);
        }
    }

    /// Sends the answer to all clients and gateways that wait for the statement.
    pub(crate) fn answer_waiters(
        &mut self,
        id: StatementId,
        answer: &FinalAnswer,
        out: &mut dyn Output,
    ) {
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        for waiter in std::mem::take(&mut statement.waiters) {
            match waiter {
                Waiter::Local(waiter_token) => out.answer(waiter_token, answer),
                Waiter::Remote { member, request_id } => {
                    let answer = LookupAnswer::Final(answer.clone());
                    let reply = Message::LookupReply {
                        request_id,
                        id,
                        answer,
                    };
                    out.send(member, reply);
                }
            }
        }
    }

    /// Whether an attempt may have run and another gateway may have taken the statement over while
    /// this process was stopped or unreachable.
    fn may_be_known_elsewhere(&self, now: Nanos, id: StatementId) -> bool {
        self.statements.get(id).is_some_and(|statement| {
            !statement.spec.is_idempotent
                && statement.may_have_run()
                && !statement.lookup.is_before_abort
                && now < statement.deadline
        })
    }

    /// Asks the voters before clients are told that the outcome is unknown. Returns the token of
    /// the client that submitted the statement.
    fn look_up_before_abort(
        &mut self,
        now: Nanos,
        id: StatementId,
        out: &mut dyn Output,
    ) -> Option<u64> {
        let candidates = self.lookup_candidates(id);
        let statement = self.statements.get_mut(id)?;
        let submitter = statement.submitter;
        statement.move_submitter_to_waiters();
        statement.pending_grant = None;
        statement.lookup.candidates = candidates;
        statement.lookup.is_before_abort = true;
        self.statements.transition(id, StatementState::LookingUp);
        self.ask_next_voter(now, id, out);
        submitter
    }

    /// No voter knows how this gateway's attempt ended.
    pub(crate) fn abort_after_lookup(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        self.end_statement(now, id, FinalAnswer::Aborted, out);
    }

    /// Requests a new epoch before the rejection is answered. Returns the token of the client that
    /// submitted the statement.
    fn defer_rejection(
        &mut self,
        now: Nanos,
        id: StatementId,
        retry_after_ms: u32,
        out: &mut dyn Output,
    ) -> Option<u64> {
        let statement = self.statements.get_mut(id)?;
        let submitter = statement.submitter;
        statement.move_submitter_to_waiters();
        statement.withdraw_pending_grant();
        statement.takeover.rejection = Some(PendingRejection { retry_after_ms });
        let epoch_number = statement.epoch.number + 1;
        self.statements.transition(id, StatementState::Orphaned);
        self.request_takeover(now, id, epoch_number, out);
        submitter
    }

    fn end_statement(
        &mut self,
        now: Nanos,
        id: StatementId,
        answer: FinalAnswer,
        out: &mut dyn Output,
    ) {
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        // Without a used grant here, only other members can know the outcome: a client that returns
        // triggers another lookup instead of getting this answer for as long as the statement is
        // kept. With `ProceedAlone`, attempts are dispatched without a quorum and without a grant.
        let may_have_run = self.config.no_quorum_policy == NoQuorumPolicy::ProceedAlone
            || statement.may_have_run();
        let ended = EndedStatement {
            tenant: statement.spec.tenant,
            is_idempotent: statement.spec.is_idempotent,
            is_known_to_voters: statement.is_known_to_voters,
            is_taken_over: statement.state() == StatementState::TakenOver,
            may_have_run,
            has_waiters: !statement.waiters.is_empty(),
        };
        statement.submitter = None;
        statement.pending_grant = None;
        self.answer_waiters(id, &answer, out);
        let end = self.close_with(id, answer, &ended);
        if ended.is_known_to_voters || !ended.is_idempotent {
            self.queue_update(now, id, Some(end));
        } else {
            self.updates.cancel(id);
        }
        if end == StatementEnd::Rejected && !ended.is_known_to_voters {
            self.statements.remove(id);
        }
    }

    fn close_with(
        &mut self,
        id: StatementId,
        answer: FinalAnswer,
        ended: &EndedStatement,
    ) -> StatementEnd {
        let completed = StatementEnd::Completed {
            cached_at: self.members.own_process(),
        };
        let (state, end) = match answer {
            FinalAnswer::Rows(pages) => {
                self.statements.results.insert(id, ended.tenant, pages);
                self.counters.cached += u64::from(ended.is_taken_over);
                let state = if ended.has_waiters {
                    StatementState::Delivered
                } else {
                    StatementState::Cached
                };
                (state, completed)
            }
            FinalAnswer::CompletedWithoutRows => (StatementState::Cached, completed),
            FinalAnswer::Rejected { .. } => (StatementState::Closed, StatementEnd::Rejected),
            FinalAnswer::Aborted | FinalAnswer::IdReused => {
                self.counters.unknown += u64::from(!ended.is_idempotent);
                let state = if ended.is_idempotent || !ended.may_have_run {
                    StatementState::Closed
                } else {
                    StatementState::Unknown
                };
                (state, StatementEnd::Aborted)
            }
        };
        self.statements.transition(id, state);
        end
    }
}
