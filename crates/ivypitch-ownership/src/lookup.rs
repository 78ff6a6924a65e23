//! A client that returns: the voters of its statement are asked who acts for it, and that gateway for its end.

use ivypitch_types::{MemberId, Nanos};

use crate::lookup_answer::Location;
use crate::message::{FinalAnswer, LookupAnswer, Message, StatementId};
use crate::output::Output;
use crate::ownership::Ownership;
use crate::statement::{Statement, StatementState};

/// So often the voters are asked anew at once; after that with a growing pause.
const MAX_IMMEDIATE_RETRIES: u32 = 2;
/// The longest pause, in lookup timeouts.
const MAX_RETRY_PAUSE_TIMEOUTS: u32 = 10;

impl Ownership {
    /// The statement's voters that are connected, the next one to ask last.
    pub(crate) fn lookup_candidates(&self, id: StatementId) -> Vec<MemberId> {
        let mut candidates = self.other_voters(id);
        candidates.retain(|&voter| self.members.is_connected(voter));
        candidates.reverse();
        candidates
    }

    /// The statement's clients here wait for the answer of the member that acts for it.
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
        statement.lookup.asked = member;
        statement.lookup.request_id = Some(request_id);
        // What the owner reports overrides a rejection here.
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
        statement.lookup.asked = voter;
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

    /// No voter knows the statement.
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
        // Dispatched under a grant before, and nobody knows its end: polled for under a new epoch, never dispatched
        // again.
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

    /// The gateway that clients here waited for knows nothing or is lost: the voters are asked anew.
    pub(crate) fn look_up_again(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let candidates = self.lookup_candidates(id);
        let record = self.vote_log.get(now, id);
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        statement.tries += 1;
        let tries = statement.tries;
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
        if tries <= MAX_IMMEDIATE_RETRIES {
            self.ask_next_voter(now, id, out);
            return;
        }
        // Two voters that each name the other would otherwise be asked in turn without an end.
        let pause = self.config.lookup_timeout * u64::from(tries.min(MAX_RETRY_PAUSE_TIMEOUTS));
        self.statements.set_timer(id, now + pause);
    }

    /// A voter, or the member that acts for the statement, has answered.
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
            LookupAnswer::HeldBy(member) => self.on_held_by(now, id, member, out),
            // An idempotent statement runs anew rather than being told that its rows are gone.
            LookupAnswer::Final(FinalAnswer::CompletedWithoutRows | FinalAnswer::Aborted)
                if is_idempotent =>
            {
                statement.lookup.candidates.clear();
                self.statements.transition(id, StatementState::LookingUp);
                self.ask_next_voter(now, id, out);
            }
            LookupAnswer::Final(answer) => {
                statement.submitter_waits();
                self.answer_waiters(id, &answer, out);
                self.statements.transition(id, StatementState::Closed);
            }
        }
    }

    fn on_held_by(&mut self, now: Nanos, id: StatementId, member: MemberId, out: &mut dyn Output) {
        let is_other = member != self.this_member() && self.members.is_connected(member);
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        if is_other {
            statement.submitter_waits();
            self.follow(now, id, member, out);
            return;
        }
        if statement.lookup.is_before_abort {
            // The voter knows no later owner than this gateway.
            self.statements.transition(id, StatementState::LookingUp);
            self.ask_next_voter(now, id, out);
            return;
        }
        // That member is lost and the voter does not know yet: it is asked again, after the others.
        if statement.state() == StatementState::LookingUp && now < statement.deadline {
            statement.tries += 1;
            let asked = statement.lookup.asked;
            statement.lookup.candidates.insert(0, asked);
        }
        self.statements
            .set_timer(id, now + self.config.lookup_timeout);
    }

    /// A voter has not answered, or the first one is to be asked.
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
            // It arrived while this process joined.
            statement.lookup.candidates = candidates;
        }
        self.ask_next_voter(now, id, out);
    }

    /// The member that acts for the statement has not answered yet.
    pub(crate) fn on_follow_timer(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) {
        let Some(statement) = self.statements.get(id) else {
            return;
        };
        let owner = statement.lookup.asked;
        if statement.waiters.is_empty() {
            self.statements.transition(id, StatementState::Closed);
        } else if self.members.is_connected(owner) {
            self.follow(now, id, owner, out);
        } else {
            self.look_up_again(now, id, out);
        }
    }

    /// Clients here that waited for a lost member's answer ask anew.
    pub(crate) fn stop_following(&mut self, now: Nanos, member: MemberId, out: &mut dyn Output) {
        let is_following = |statement: &Statement| {
            statement.state() == StatementState::OwnedElsewhere && statement.lookup.asked == member
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
