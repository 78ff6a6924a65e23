//! Arrival and departure of the clients of this gateway.

use ivypitch_types::Nanos;

use crate::lookup_reply::Location;
use crate::message::{FinalAnswer, StatementId, StatementRecord, StatementSpec};
use crate::output::{ArrivalDecision, DisconnectDecision, Output};
use crate::ownership::Ownership;
use crate::statement::{StatementState, Waiter};

/// A client's statement on its arrival.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The id chosen by the client.
    pub id: StatementId,
    /// The statement's properties and request.
    pub spec: StatementSpec,
    /// Whether the statement is expensive enough to ask its voters first whether it is known
    /// elsewhere.
    pub is_worth_lookup: bool,
    /// Identifies the client in [`Output::answer`].
    pub waiter_token: u64,
}

impl Ownership {
    /// Handles a client's statement that arrives, for the first time or again.
    pub fn on_arrival(
        &mut self,
        now: Nanos,
        arrival: Arrival,
        out: &mut dyn Output,
    ) -> ArrivalDecision {
        self.evict_expired(now);
        let id = arrival.id;
        let mut epoch_number = 0;
        if let Some(statement) = self.statements.get(id) {
            epoch_number = statement.epoch.number;
            if let Some(decision) = self.decide_from_statement(&arrival) {
                return decision;
            }
            self.statements.remove(id);
        }
        let record = self.vote_log.get(now, id);
        if let Some(record) = record.filter(StatementRecord::has_content) {
            epoch_number = epoch_number.max(record.epoch.number + 1);
            if let Some(decision) = self.decide_from_record(now, &arrival, &record, out) {
                return decision;
            }
        }
        if let Some(decision) = self.look_up_if_needed(now, &arrival, epoch_number, out) {
            return decision;
        }
        let mut statement = self.new_statement(now, arrival.spec, StatementState::Owned);
        statement.submitter = Some(arrival.waiter_token);
        statement.epoch.number = epoch_number;
        self.statements.insert(id, statement);
        ArrivalDecision::Proceed
    }

    /// Handles the disconnection of a client whose statement is open in this gateway's scheduler.
    ///
    /// Without another client that waits, only an attempt that may have run goes on, and only where
    /// the statement must not run again.
    pub fn on_client_disconnected(
        &mut self,
        now: Nanos,
        id: StatementId,
        waiter_token: u64,
        out: &mut dyn Output,
    ) -> DisconnectDecision {
        self.on_client_stopped_waiting(id, waiter_token);
        let statement = self.statements.get(id);
        let Some(statement) = statement.filter(|statement| statement.is_owner()) else {
            return DisconnectDecision::End;
        };
        if statement.submitter.is_some() || !statement.waiters.is_empty() {
            return DisconnectDecision::Continue;
        }
        let is_idempotent = statement.spec.is_idempotent;
        if !is_idempotent && statement.may_have_run() {
            return DisconnectDecision::FinishAttempt;
        }
        let answer = if is_idempotent {
            FinalAnswer::Aborted
        } else {
            FinalAnswer::Rejected { retry_after_ms: 0 }
        };
        let _ = self.on_answered(now, id, answer, out);
        DisconnectDecision::End
    }

    /// Handles a client that disconnected or whose timeout has ended.
    pub fn on_client_stopped_waiting(&mut self, id: StatementId, waiter_token: u64) {
        if let Some(statement) = self.statements.get_mut(id) {
            statement
                .waiters
                .retain(|&other| other != Waiter::Local(waiter_token));
            statement.submitter = statement.submitter.filter(|&other| other != waiter_token);
        }
    }

    /// Decides from this gateway's own state of the statement. `None`: the statement starts again.
    fn decide_from_statement(&mut self, arrival: &Arrival) -> Option<ArrivalDecision> {
        let statement = self.statements.get_mut(arrival.id)?;
        let state = statement.state();
        if state != StatementState::Closed && statement.spec.digest != arrival.spec.digest {
            return Some(ArrivalDecision::Answer(FinalAnswer::IdReused));
        }
        if statement.is_open() {
            statement.waiters.push(Waiter::Local(arrival.waiter_token));
            return Some(ArrivalDecision::Wait);
        }
        let answer = self.known_end(arrival.id, state, arrival.spec.is_idempotent)?;
        let is_completed = matches!(
            answer,
            FinalAnswer::Rows(_) | FinalAnswer::CompletedWithoutRows
        );
        if is_completed {
            self.counters.delivered += 1;
            self.statements
                .transition(arrival.id, StatementState::Delivered);
        }
        Some(ArrivalDecision::Answer(answer))
    }

    /// Decides from this member's vote log. `None`: the statement starts again.
    fn decide_from_record(
        &mut self,
        now: Nanos,
        arrival: &Arrival,
        record: &StatementRecord,
        out: &mut dyn Output,
    ) -> Option<ArrivalDecision> {
        if record.contradicts(arrival.spec.digest) {
            return Some(ArrivalDecision::Answer(FinalAnswer::IdReused));
        }
        let id = arrival.id;
        let spec = arrival.spec.clone();
        let mut statement = self.new_statement(now, spec, StatementState::LookingUp);
        statement.waiters.push(Waiter::Local(arrival.waiter_token));
        match self.locate(record) {
            Location::At(member) => {
                self.statements.insert(id, statement);
                self.follow(now, id, member, out);
                Some(ArrivalDecision::Wait)
            }
            Location::Orphaned => {
                statement.grants = record.grants.clone();
                self.statements.insert(id, statement);
                self.statements.transition(id, StatementState::Orphaned);
                self.request_takeover(now, id, record.epoch.number + 1, out);
                Some(ArrivalDecision::Wait)
            }
            Location::Ended(answer) if !arrival.spec.is_idempotent => {
                Some(ArrivalDecision::Answer(answer))
            }
            Location::Ended(_) | Location::NotOwned => None,
        }
    }

    /// Looks the statement up at its voters if only they may know it.
    fn look_up_if_needed(
        &mut self,
        now: Nanos,
        arrival: &Arrival,
        epoch_number: u32,
        out: &mut dyn Output,
    ) -> Option<ArrivalDecision> {
        let id = arrival.id;
        let is_joining = self.is_joining(now, id);
        let has_recent_loss = self
            .members
            .has_recent_loss(now, self.config.max_statement_timeout);
        if !arrival.is_worth_lookup && !is_joining && !has_recent_loss {
            return None;
        }
        let candidates = self.lookup_candidates(id);
        if candidates.is_empty() && !is_joining {
            return None;
        }
        let spec = arrival.spec.clone();
        let mut statement = self.new_statement(now, spec, StatementState::LookingUp);
        statement.submitter = Some(arrival.waiter_token);
        statement.lookup.candidates = candidates;
        statement.epoch.number = epoch_number;
        self.statements.insert(id, statement);
        if is_joining {
            self.statements
                .set_timer(id, now + self.config.lookup_timeout);
        } else {
            self.ask_next_voter(now, id, out);
        }
        Some(ArrivalDecision::Wait)
    }
}
