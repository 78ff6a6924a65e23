//! Answers to gateways whose clients returned: what is known here of a statement, and where it is.

use ivypitch_types::{MemberId, Nanos};

use crate::message::{
    FinalAnswer, LookupAnswer, Message, StatementEnd, StatementId, StatementRecord,
};
use crate::output::Output;
use crate::ownership::Ownership;
use crate::statement::{StatementState, Waiter};

/// Where a statement is, by what a voter knows of it.
pub(crate) enum Location {
    /// That member acts for it or has its result.
    At(MemberId),
    /// It is over and nobody who is connected knows more.
    Over(FinalAnswer),
    /// The process that acted for it is not connected.
    Orphaned,
    /// It has no owner, or this process has forgotten that it was the owner.
    Nowhere,
}

/// Another gateway asks what became of a statement.
pub(crate) struct LookupRequest {
    pub(crate) from: MemberId,
    pub(crate) id: StatementId,
    pub(crate) digest: u64,
    pub(crate) request_id: u64,
}

impl Ownership {
    /// Answers at once, or when the statement's end is known.
    pub(crate) fn on_lookup_request(
        &mut self,
        now: Nanos,
        request: LookupRequest,
        out: &mut dyn Output,
    ) {
        if let Some(answer) = self.look_up(now, &request, out) {
            let reply = Message::LookupReply {
                request_id: request.request_id,
                id: request.id,
                answer,
            };
            out.send(request.from, reply);
        }
    }

    fn look_up(
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
            return self.look_up_statement(now, request, out);
        }
        self.look_up_record(now, request, out)
    }

    /// By what this gateway does for the statement; `None`: the answer follows.
    fn look_up_statement(
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
            StatementState::OwnedElsewhere => Some(LookupAnswer::HeldBy(statement.lookup.asked)),
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
                    // Somebody waits for it: it is taken over without waiting for voters of a higher rank.
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

    /// By what this member knows as a voter; `None`: the statement is taken over and the answer follows.
    fn look_up_record(
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
            Location::At(member) => Some(LookupAnswer::HeldBy(member)),
            Location::Over(answer) => Some(LookupAnswer::Final(answer)),
            Location::Nowhere => Some(LookupAnswer::Unknown),
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

    /// The end of a statement that is over here; `None` where it may as well run anew.
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

    /// Where a statement is, by what a voter knows of it.
    pub(crate) fn locate(&self, record: &StatementRecord) -> Location {
        match record.end {
            Some(StatementEnd::Completed { rows_at }) => {
                let is_here = rows_at.member == self.this_member();
                if !is_here && self.members.is_process_connected(rows_at) {
                    Location::At(rows_at.member)
                } else {
                    Location::Over(FinalAnswer::CompletedWithoutRows)
                }
            }
            Some(StatementEnd::Aborted) => Location::Over(FinalAnswer::Aborted),
            Some(StatementEnd::Rejected) => Location::Nowhere,
            None => self.locate_owner(record),
        }
    }

    fn locate_owner(&self, record: &StatementRecord) -> Location {
        let owner = record.epoch.process;
        if owner == self.members.this() {
            Location::Nowhere
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
