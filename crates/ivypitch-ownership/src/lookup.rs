//! Lookups for a client that returns: the statement's voters are asked for its owner, and the owner
//! for its end.

use ivypitch_types::{MemberId, Nanos};

use crate::lookup_reply::Location;
use crate::message::{FinalAnswer, LookupAnswer, Message, StatementId};
use crate::output::Output;
use crate::ownership::Ownership;
use crate::statement::{Statement, StatementState};

/// Repeated lookup rounds that start without backoff; later ones are delayed by a growing backoff.
const MAX_IMMEDIATE_RETRIES: u32 = 2;
/// Maximum backoff before a lookup round, in lookup timeouts.
const MAX_RETRY_BACKOFF_TIMEOUTS: u32 = 10;

impl Ownership {
    /// The statement's connected voters, in reverse order of asking.
    pub(crate) fn lookup_candidates(&self, id: StatementId) -> Vec<MemberId> {
        let mut candidates = self.other_voters(id);
        candidates.retain(|&voter| self.members.is_connected(voter));
        candidates.reverse();
        candidates
    }

    /// Lets the statement's clients here wait for the answer of its owner.
    pub(crate) fn follow(
        &mut self,
        now: Nanos,
        id: StatementId,
        member: MemberId,
        out: &mut dyn Output,
    ) {
        let request_id = self.next_request_id();
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        statement.lookup.asked_member = member;
        statement.lookup.request_id = Some(request_id);
        // The owner's report overrides a rejection here.
        statement.takeover.rejection = None;
        let digest = statement.spec.digest;
        self.statements
            .transition(id, StatementState::OwnedElsewhere);
        self.statements
            .set_timer(id, now + self.config.follow_interval);
        let request = Message::LookupRequest {
            id,
            digest,
            request_id,
        };
        out.send(member, request);
    }

    /// Asks the next voter. After the last one the statement proceeds as a new one.
    pub(crate) fn ask_next_voter(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let request_id = self.next_request_id();
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        let Some(voter) = statement.lookup.candidates.pop() else {
            self.on_lookup_exhausted(now, id, out);
            return;
        };
        statement.lookup.asked_member = voter;
        statement.lookup.request_id = Some(request_id);
        let digest = statement.spec.digest;
        self.statements
            .set_timer(id, now + self.config.lookup_timeout);
        let request = Message::LookupRequest {
            id,
            digest,
            request_id,
        };
        out.send(voter, request);
    }

    /// Handles a lookup in which no voter knows the statement.
    fn on_lookup_exhausted(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let Some(statement) = self.statements.get(id) else {
            return;
        };
        if statement.lookup.is_before_abort {
            self.abort_after_lookup(now, id, out);
            return;
        }
        if statement.waiters.is_empty() && statement.submitter.is_none() {
            self.statements.transition(id, StatementState::Closed);
            return;
        }
        // An attempt was granted before and its end is unknown: it is polled under a new epoch and
        // never dispatched again.
        if !statement.spec.is_idempotent && statement.may_have_run() {
            let epoch_number = statement.epoch.number + 1;
            self.statements.transition(id, StatementState::Orphaned);
            self.request_takeover(now, id, epoch_number, out);
            return;
        }
        if statement.submitter.is_some() {
            self.statements.transition(id, StatementState::Owned);
            out.proceed(id);
        } else {
            let spec = statement.spec.clone();
            let remaining = statement.remaining(now);
            self.statements.transition(id, StatementState::Owned);
            out.take_over(id, &spec, remaining, None);
        }
    }

    /// Asks the voters again: the owner that clients here waited for does not know the statement or
    /// is lost.
    pub(crate) fn look_up_again(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let candidates = self.lookup_candidates(id);
        let record = self.vote_log.get(now, id);
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        statement.rounds += 1;
        let rounds = statement.rounds;
        if statement.waiters.is_empty() || now >= statement.deadline {
            self.statements.transition(id, StatementState::Closed);
            return;
        }
        statement.lookup.candidates = candidates;
        if let Some(record) = record.filter(|record| record.spec.is_some())
            && let Location::Orphaned = self.locate(&record)
        {
            self.statements.transition(id, StatementState::Orphaned);
            self.request_takeover(now, id, record.epoch.number + 1, out);
            return;
        }
        self.statements.transition(id, StatementState::LookingUp);
        if rounds <= MAX_IMMEDIATE_RETRIES {
            self.ask_next_voter(now, id, out);
            return;
        }
        // Without a backoff, two voters that name each other as owner would be asked alternately
        // without end.
        let backoff =
            self.config.lookup_timeout * u64::from(rounds.min(MAX_RETRY_BACKOFF_TIMEOUTS));
        self.statements.set_timer(id, now + backoff);
    }

    /// Handles the answer of a voter or of the owner.
    pub(crate) fn on_lookup_reply(
        &mut self,
        now: Nanos,
        id: StatementId,
        request_id: u64,
        answer: LookupAnswer,
        out: &mut dyn Output,
    ) {
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        if statement.lookup.request_id != Some(request_id) {
            return;
        }
        let is_looking_up = statement.state() == StatementState::LookingUp;
        if !is_looking_up && statement.state() != StatementState::OwnedElsewhere {
            return;
        }
        let is_idempotent = statement.spec.is_idempotent;
        match answer {
            LookupAnswer::Unknown if is_looking_up => self.ask_next_voter(now, id, out),
            LookupAnswer::Unknown => self.look_up_again(now, id, out),
            LookupAnswer::LocatedAt(member) => self.on_owner_reported(now, id, member, out),
            // An idempotent statement runs again if its rows are gone.
            LookupAnswer::Final(FinalAnswer::CompletedWithoutRows | FinalAnswer::Aborted)
                if is_idempotent =>
            {
                statement.lookup.candidates.clear();
                self.statements.transition(id, StatementState::LookingUp);
                self.ask_next_voter(now, id, out);
            }
            LookupAnswer::Final(answer) => {
                statement.move_submitter_to_waiters();
                self.answer_waiters(id, &answer, out);
                self.statements.transition(id, StatementState::Closed);
            }
        }
    }

    fn on_owner_reported(
        &mut self,
        now: Nanos,
        id: StatementId,
        member: MemberId,
        out: &mut dyn Output,
    ) {
        let is_other = member != self.own_member() && self.members.is_connected(member);
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        if is_other {
            statement.move_submitter_to_waiters();
            self.follow(now, id, member, out);
            return;
        }
        if statement.lookup.is_before_abort {
            // The voter knows no later owner than this gateway.
            self.statements.transition(id, StatementState::LookingUp);
            self.ask_next_voter(now, id, out);
            return;
        }
        // That member is lost, but the voter does not know it yet: the voter is asked again after
        // the others.
        if statement.state() == StatementState::LookingUp && now < statement.deadline {
            statement.rounds += 1;
            let asked = statement.lookup.asked_member;
            statement.lookup.candidates.insert(0, asked);
        }
        self.statements
            .set_timer(id, now + self.config.lookup_timeout);
    }

    /// Asks the next voter after a timeout, or the first one.
    pub(crate) fn on_lookup_timer(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        if self.is_joining(now, id) {
            self.statements
                .set_timer(id, now + self.config.lookup_timeout);
            return;
        }
        let candidates = self.lookup_candidates(id);
        if let Some(statement) = self.statements.get_mut(id)
            && statement.lookup.request_id.is_none()
        {
            // The statement arrived while this process was joining.
            statement.lookup.candidates = candidates;
        }
        self.ask_next_voter(now, id, out);
    }

    /// Handles an owner that has not answered within the follow interval.
    pub(crate) fn on_follow_timer(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let Some(statement) = self.statements.get(id) else {
            return;
        };
        let owner = statement.lookup.asked_member;
        if statement.waiters.is_empty() {
            self.statements.transition(id, StatementState::Closed);
        } else if self.members.is_connected(owner) {
            self.follow(now, id, owner, out);
        } else {
            self.look_up_again(now, id, out);
        }
    }

    /// Looks up again the statements whose clients waited for a lost member's answer.
    pub(crate) fn stop_following(&mut self, now: Nanos, member: MemberId, out: &mut dyn Output) {
        let is_following = |statement: &Statement| {
            statement.state() == StatementState::OwnedElsewhere
                && statement.lookup.asked_member == member
        };
        let following: Vec<StatementId> = self
            .statements
            .iter()
            .filter(|(_, statement)| is_following(statement))
            .map(|(id, _)| id)
            .collect();
        for id in following {
            self.look_up_again(now, id, out);
        }
    }
}
