//! Grants: a quorum of voters permits each attempt of a non-idempotent statement before it is
//! dispatched.

use std::collections::{BTreeMap, BTreeSet};

use ivypitch_types::{MemberId, Nanos};

use crate::config::NoQuorumPolicy;
use crate::lookup_reply::Location;
use crate::message::{AttemptGrant, Epoch, FinalAnswer, Message, StatementId, StatementRecord};
use crate::output::{GrantDecision, GrantDenial, Output};
use crate::ownership::Ownership;
use crate::statement::{PendingGrant, Statement, StatementState};
use crate::vote_log::VoteDenial;

/// A voter's answer to a [`Message::GrantRequest`].
pub(crate) struct GrantVote {
    pub(crate) voter: MemberId,
    /// The requested grant.
    pub(crate) grant: AttemptGrant,
    /// The voter's record that forbids the grant.
    pub(crate) conflict: Option<StatementRecord>,
}

/// A vote as it is counted.
enum Vote {
    Granted,
    /// With the voter's record that forbids the attempt, if it sent one.
    Denied(Option<StatementRecord>),
}

impl From<Result<(), VoteDenial>> for Vote {
    fn from(result: Result<(), VoteDenial>) -> Vote {
        match result {
            Ok(()) => Vote::Granted,
            Err(VoteDenial::Conflict(record)) => Vote::Denied(Some(*record)),
            Err(VoteDenial::Abstained | VoteDenial::Full) => Vote::Denied(None),
        }
    }
}

/// Result of a vote that did not reach a quorum.
struct FailedVote {
    conflicts: Vec<StatementRecord>,
    has_all_answers: bool,
}

impl Ownership {
    /// Requests permission to dispatch an attempt to the engine; `attempt` numbers it within the
    /// statement.
    ///
    /// Idempotent statements, and statements that did not arrive here, are granted immediately.
    pub fn request_attempt(
        &mut self,
        now: Nanos,
        id: StatementId,
        attempt: u32,
        engine_hash: u64,
        out: &mut dyn Output,
    ) -> GrantDecision {
        let Some(statement) = self.statements.get_mut(id) else {
            return GrantDecision::Granted;
        };
        let grant = AttemptGrant {
            epoch: statement.epoch,
            attempt,
            engine_hash,
            never_ran: false,
        };
        if statement.spec.is_idempotent {
            statement.grants.push(grant);
            self.queue_update(now, id, None);
            return GrantDecision::Granted;
        }
        // The scheduler retries such a statement only if every earlier attempt is proved never to
        // have run.
        if statement.may_have_run() {
            self.answer_waiters(id, &FinalAnswer::Aborted, out);
            self.statements.transition(id, StatementState::Unknown);
            return GrantDecision::Denied(GrantDenial::OwnedElsewhere);
        }
        let record = statement.record(now, id);
        statement.pending_grant = Some(PendingGrant {
            grant,
            requested_at: now,
            granted_by: BTreeSet::new(),
            denied_by: BTreeMap::new(),
        });
        self.request_votes(now, &record, grant, out);
        self.statements
            .set_timer(id, now + self.config.grant_timeout);
        self.evaluate_votes(now, id, out)
    }

    /// Records how an attempt ended. Must be called before the scheduler handles that end.
    ///
    /// Ignored unless this gateway owns the statement: an attempt that was handed off ends here as
    /// never dispatched but continues at its engine. A voter that recorded its grant as unused
    /// would permit a second dispatch.
    pub fn on_attempt_ended(&mut self, now: Nanos, id: StatementId, attempt: u32, never_ran: bool) {
        let statement = self.statements.get_mut(id);
        let Some(statement) = statement.filter(|statement| statement.is_owner()) else {
            return;
        };
        let epoch = statement.epoch;
        let Some(grant) = statement
            .grants
            .iter_mut()
            .find(|grant| grant.epoch == epoch && grant.attempt == attempt)
        else {
            return;
        };
        if never_ran && !grant.never_ran {
            grant.never_ran = true;
            self.queue_update(now, id, None);
        }
    }

    /// Votes on another gateway's attempt.
    pub(crate) fn on_grant_request(
        &mut self,
        now: Nanos,
        from: MemberId,
        record: &StatementRecord,
        grant: AttemptGrant,
        out: &mut dyn Output,
    ) {
        let id = record.id;
        let result = self
            .vote_log
            .vote_on_grant(now, record, grant, &self.voters);
        let conflict = match result {
            Ok(()) => None,
            Err(VoteDenial::Conflict(known)) => Some(*known),
            Err(VoteDenial::Abstained | VoteDenial::Full) => {
                let epoch = grant.epoch;
                out.send(from, Message::Abstention { id, epoch });
                return;
            }
        };
        let reply = Message::GrantReply {
            id,
            grant,
            conflict,
        };
        out.send(from, reply);
    }

    /// Counts a voter's reply.
    pub(crate) fn on_grant_vote(
        &mut self,
        now: Nanos,
        id: StatementId,
        vote: GrantVote,
        out: &mut dyn Output,
    ) {
        let is_awaited = self
            .statements
            .get(id)
            .and_then(|statement| statement.pending_grant.as_ref())
            .is_some_and(|pending| pending.grant == vote.grant);
        if !is_awaited {
            return;
        }
        let counted = match vote.conflict {
            None => Vote::Granted,
            Some(record) => Vote::Denied(Some(record)),
        };
        self.count_vote(id, vote.voter, counted);
        self.on_votes_changed(now, id, out);
    }

    /// Counts a voter's abstention as a denial of the pending grant. For a takeover, an abstention
    /// has no effect.
    pub(crate) fn on_abstention(
        &mut self,
        now: Nanos,
        from: MemberId,
        id: StatementId,
        epoch: Epoch,
        out: &mut dyn Output,
    ) {
        let is_awaited = self
            .statements
            .get(id)
            .is_some_and(|statement| statement.epoch == epoch && statement.pending_grant.is_some());
        if is_awaited {
            self.count_vote(id, from, Vote::Denied(None));
            self.on_votes_changed(now, id, out);
        }
    }

    /// Evaluates the votes after a reply or after a timeout.
    pub(crate) fn on_votes_changed(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let Some(pending) = self
            .statements
            .get(id)
            .and_then(|statement| statement.pending_grant.as_ref())
        else {
            return;
        };
        let attempt = pending.grant.attempt;
        match self.evaluate_votes(now, id, out) {
            GrantDecision::Granted => out.on_attempt_granted(id, attempt),
            GrantDecision::Pending => {}
            GrantDecision::Denied(denial) => out.on_attempt_denied(id, attempt, denial),
        }
    }

    fn request_votes(
        &mut self,
        now: Nanos,
        record: &StatementRecord,
        grant: AttemptGrant,
        out: &mut dyn Output,
    ) {
        for voter in self.voters.voters_of(record.id) {
            if voter == self.own_member() {
                let result = self
                    .vote_log
                    .vote_on_grant(now, record, grant, &self.voters);
                self.count_vote(record.id, voter, Vote::from(result));
            } else if self.members.is_connected(voter) {
                let record = record.clone();
                out.send(voter, Message::GrantRequest { record, grant });
            } else {
                self.count_vote(record.id, voter, Vote::Denied(None));
            }
        }
    }

    fn count_vote(&mut self, id: StatementId, voter: MemberId, vote: Vote) {
        let Some(pending) = self
            .statements
            .get_mut(id)
            .and_then(|statement| statement.pending_grant.as_mut())
        else {
            return;
        };
        match vote {
            Vote::Granted => {
                pending.granted_by.insert(voter);
            }
            Vote::Denied(record) => {
                pending.denied_by.insert(voter, record);
            }
        }
    }

    fn evaluate_votes(
        &mut self,
        now: Nanos,
        id: StatementId,
        out: &mut dyn Output,
    ) -> GrantDecision {
        let quorum = self.voters.quorum();
        let Some(statement) = self.statements.get_mut(id) else {
            return GrantDecision::Granted;
        };
        let Some(pending) = &statement.pending_grant else {
            return GrantDecision::Pending;
        };
        let granted = pending.granted_by.len();
        let is_expired = now > pending.requested_at + self.config.grant_validity;
        if granted >= quorum && !is_expired {
            let grant = pending.grant;
            statement.grants.push(grant);
            statement.pending_grant = None;
            statement.is_known_to_voters = true;
            if statement.state() == StatementState::Owned {
                self.statements.transition(id, StatementState::Replicated);
            }
            return GrantDecision::Granted;
        }
        let unanswered = self.voters.voters_per_statement() - granted - pending.denied_by.len();
        let is_quorum_unreachable = granted + unanswered < quorum;
        let requested_at = pending.requested_at;
        let is_timed_out = now >= requested_at + self.config.grant_timeout;
        if !is_quorum_unreachable && !is_expired && !is_timed_out {
            return GrantDecision::Pending;
        }
        if !is_expired && self.can_expect_quorum(id) {
            // Some connected voters are slow. Checks again later, in case they become suspected.
            let expires_at = requested_at + self.config.grant_validity + 1;
            self.statements
                .set_timer(id, expires_at.min(now + self.config.grant_timeout));
            return GrantDecision::Pending;
        }
        let Some(statement) = self.statements.get_mut(id) else {
            return GrantDecision::Granted;
        };
        let Some(pending) = &statement.pending_grant else {
            return GrantDecision::Pending;
        };
        let failed = FailedVote {
            conflicts: pending.denied_by.values().flatten().cloned().collect(),
            has_all_answers: unanswered == 0,
        };
        statement.withdraw_pending_grant();
        self.on_vote_failed(now, id, failed, out)
    }

    /// Whether the votes received, with those still expected from healthy members, make a quorum.
    fn can_expect_quorum(&self, id: StatementId) -> bool {
        let pending = self
            .statements
            .get(id)
            .and_then(|statement| statement.pending_grant.as_ref());
        let Some(pending) = pending else {
            return false;
        };
        let voters = self.voters.voters_of(id);
        let awaited = voters.iter().filter(|&&voter| {
            let has_answered =
                pending.granted_by.contains(&voter) || pending.denied_by.contains_key(&voter);
            !has_answered && self.members.is_healthy(voter)
        });
        pending.granted_by.len() + awaited.count() >= self.voters.quorum()
    }

    /// Handles a failed vote: another gateway owns the statement, it has ended, or too few voters
    /// were reachable.
    fn on_vote_failed(
        &mut self,
        now: Nanos,
        id: StatementId,
        failed: FailedVote,
        out: &mut dyn Output,
    ) -> GrantDecision {
        self.queue_update(now, id, None);
        let Some(statement) = self.statements.get_mut(id) else {
            return GrantDecision::Granted;
        };
        let strongest = failed
            .conflicts
            .into_iter()
            .filter(|record| has_unknown_facts(statement, record))
            .max_by_key(|record| (record.end.is_some(), record.epoch));
        let Some(record) = strongest else {
            return self.on_no_quorum(now, failed.has_all_answers);
        };
        self.counters.owned_elsewhere += 1;
        statement.move_submitter_to_waiters();
        let digest = statement.spec.digest;
        self.follow_conflict(now, id, digest, &record, out);
        GrantDecision::Denied(GrantDenial::OwnedElsewhere)
    }

    fn on_no_quorum(&mut self, now: Nanos, has_all_answers: bool) -> GrantDecision {
        self.counters.no_quorum += 1;
        if self.config.no_quorum_policy == NoQuorumPolicy::ProceedAlone {
            return GrantDecision::Granted;
        }
        // Connected voters that do not answer may be the first sign of a partition, and the
        // statement's client may come from its other side.
        let is_provably_unsent = has_all_answers && self.is_provably_first_arrival(now);
        GrantDecision::Denied(GrantDenial::NoQuorum { is_provably_unsent })
    }

    /// Whether, as far as this gateway can know, no client that arrives now can have been at a lost
    /// gateway.
    fn is_provably_first_arrival(&self, now: Nanos) -> bool {
        let window = self.config.max_statement_timeout + self.config.retention;
        now >= self.started_at + window && self.members.has_been_stable_for(now, window)
    }

    fn follow_conflict(
        &mut self,
        now: Nanos,
        id: StatementId,
        digest: u64,
        record: &StatementRecord,
        out: &mut dyn Output,
    ) {
        if record.contradicts(digest) {
            self.answer_waiters(id, &FinalAnswer::IdReused, out);
            self.statements.transition(id, StatementState::Closed);
            return;
        }
        match self.locate(record) {
            Location::At(member) => self.follow(now, id, member, out),
            Location::Ended(answer) => {
                self.answer_waiters(id, &answer, out);
                let state = if answer == FinalAnswer::Aborted {
                    StatementState::Unknown
                } else {
                    StatementState::Closed
                };
                self.statements.transition(id, state);
            }
            Location::Orphaned | Location::NotOwned => {
                self.statements.transition(id, StatementState::Orphaned);
                self.request_takeover(now, id, record.epoch.number + 1, out);
            }
        }
    }
}

/// Whether the record contains facts that the statement's owner does not know.
fn has_unknown_facts(statement: &Statement, record: &StatementRecord) -> bool {
    let is_known = |grant: &AttemptGrant| {
        grant.never_ran
            || statement
                .grants
                .iter()
                .any(|known| known.is_same_attempt(grant))
    };
    record.epoch != statement.epoch || record.end.is_some() || !record.grants.iter().all(is_known)
}
