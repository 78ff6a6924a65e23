//! Replies to lookups of other gateways: the known state of a statement and its location.

use ivypitch_types::{MemberId, Nanos};

use crate::message::{
    FinalAnswer, LookupAnswer, Message, StatementEnd, StatementId, StatementRecord,
};
use crate::output::Output;
use crate::ownership::Ownership;
use crate::statement::{StatementState, Waiter};

/// Location of a statement according to a voter's record.
pub(crate) enum Location {
    /// The member owns the statement or has its result.
    At(MemberId),
    /// The statement has ended and no connected member knows more.
    Ended(FinalAnswer),
    /// The owner's process is not connected.
    Orphaned,
    /// The statement has no owner, or its owner is this process, which has forgotten it.
    NotOwned,
}

/// Another gateway's request for the end of a statement.
pub(crate) struct LookupRequest {
    pub(crate) from: MemberId,
    pub(crate) id: StatementId,
    pub(crate) digest: u64,
    pub(crate) request_id: u64,
}

impl Ownership {
    /// Replies immediately, or once the statement has ended.
    pub(crate) fn on_lookup_request(
        &mut self,
        now: Nanos,
        request: LookupRequest,
        out: &mut dyn Output,
    ) {
        if let Some(answer) = self.answer_lookup(now, &request, out) {
            let reply = Message::LookupReply {
                request_id: request.request_id,
                id: request.id,
                answer,
            };
            out.send(request.from, reply);
        }
    }

    fn answer_lookup(
        &mut self,
        now: Nanos,
        request: &LookupRequest,
        out: &mut dyn Output,
    ) -> Option<LookupAnswer> {
        let known = self
            .statements
            .get(request.id)
            .filter(|statement| statement.state() != StatementState::Closed);
        if let Some(statement) = known {
            if statement.spec.digest != request.digest {
                return Some(LookupAnswer::Final(FinalAnswer::IdReused));
            }
            return self.answer_from_statement(now, request, out);
        }
        self.answer_from_record(now, request, out)
    }

    /// Answers from this gateway's own state of the statement. `None`: the reply follows later.
    fn answer_from_statement(
        &mut self,
        now: Nanos,
        request: &LookupRequest,
        out: &mut dyn Output,
    ) -> Option<LookupAnswer> {
        let id = request.id;
        let statement = self.statements.get_mut(id)?;
        let state = statement.state();
        match state {
            StatementState::LookingUp => Some(LookupAnswer::Unknown),
            StatementState::OwnedElsewhere => {
                Some(LookupAnswer::LocatedAt(statement.lookup.asked_member))
            }
            StatementState::Owned
            | StatementState::Replicated
            | StatementState::Orphaned
            | StatementState::TakingOver
            | StatementState::TakenOver => {
                let waiter = remote_waiter(request);
                if !statement.waiters.contains(&waiter) {
                    statement.waiters.push(waiter);
                }
                if state == StatementState::Orphaned {
                    // A client waits for the statement, so it is taken over without the stagger by
                    // voter rank.
                    self.statements.set_timer(id, now);
                    self.fire_statement_timers(now, out);
                }
                None
            }
            StatementState::Cached
            | StatementState::Delivered
            | StatementState::Closed
            | StatementState::Unknown => {
                let is_idempotent = statement.spec.is_idempotent;
                let Some(answer) = self.known_end(id, state, is_idempotent) else {
                    return Some(LookupAnswer::Unknown);
                };
                self.counters.delivered += 1;
                self.statements.transition(id, StatementState::Delivered);
                Some(LookupAnswer::Final(answer))
            }
        }
    }

    /// Answers from this member's vote log. `None`: the statement is taken over and the reply
    /// follows later.
    fn answer_from_record(
        &mut self,
        now: Nanos,
        request: &LookupRequest,
        out: &mut dyn Output,
    ) -> Option<LookupAnswer> {
        let id = request.id;
        let record = self.vote_log.get(now, id);
        let Some(record) = record.filter(StatementRecord::has_content) else {
            return Some(LookupAnswer::Unknown);
        };
        if record.contradicts(request.digest) {
            return Some(LookupAnswer::Final(FinalAnswer::IdReused));
        }
        match self.locate(&record) {
            Location::At(member) => Some(LookupAnswer::LocatedAt(member)),
            Location::Ended(answer) => Some(LookupAnswer::Final(answer)),
            Location::NotOwned => Some(LookupAnswer::Unknown),
            Location::Orphaned => {
                let spec = record.spec?;
                let mut statement = self.new_statement(now, spec, StatementState::LookingUp);
                statement.waiters.push(remote_waiter(request));
                statement.grants = record.grants;
                self.statements.insert(id, statement);
                self.statements.transition(id, StatementState::Orphaned);
                self.counters.orphaned += 1;
                self.request_takeover(now, id, record.epoch.number + 1, out);
                None
            }
        }
    }

    /// The answer of a statement that has ended here; `None` if it may run again.
    pub(crate) fn known_end(
        &self,
        id: StatementId,
        state: StatementState,
        is_idempotent: bool,
    ) -> Option<FinalAnswer> {
        match state {
            StatementState::Cached | StatementState::Delivered => {
                match self.statements.results.get(id) {
                    Some(pages) => Some(FinalAnswer::Rows(pages.clone())),
                    None if !is_idempotent => Some(FinalAnswer::CompletedWithoutRows),
                    None => None,
                }
            }
            StatementState::Unknown if !is_idempotent => Some(FinalAnswer::Aborted),
            _ => None,
        }
    }

    /// Locates a statement by a voter's record.
    pub(crate) fn locate(&self, record: &StatementRecord) -> Location {
        match record.end {
            Some(StatementEnd::Completed { cached_at }) => {
                let is_here = cached_at.member == self.own_member();
                if !is_here && self.members.is_process_connected(cached_at) {
                    Location::At(cached_at.member)
                } else {
                    Location::Ended(FinalAnswer::CompletedWithoutRows)
                }
            }
            Some(StatementEnd::Aborted) => Location::Ended(FinalAnswer::Aborted),
            Some(StatementEnd::Rejected) => Location::NotOwned,
            None => self.locate_owner(record),
        }
    }

    fn locate_owner(&self, record: &StatementRecord) -> Location {
        let owner = record.epoch.process;
        if owner == self.members.own_process() {
            Location::NotOwned
        } else if self.members.is_process_connected(owner) {
            Location::At(owner.member)
        } else {
            Location::Orphaned
        }
    }
}

fn remote_waiter(request: &LookupRequest) -> Waiter {
    Waiter::Remote {
        member: request.from,
        request_id: request.request_id,
    }
}
