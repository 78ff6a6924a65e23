//! Graceful shutdown: the statements of this gateway go to other gateways, without a gap in polling
//! their engines.

use ivypitch_types::{MemberId, Nanos};

use crate::message::{Message, StatementId, StatementRecord};
use crate::output::Output;
use crate::ownership::Ownership;
use crate::statement::{Statement, StatementState};

impl Ownership {
    /// Hands off every statement with an attempt that may be running to the first of its connected
    /// voters, because this gateway shuts down. Clients here wait for the new owner's answer while
    /// this process lives. Returns the statements that were handed off.
    pub fn hand_off(&mut self, now: Nanos, out: &mut dyn Output) -> Vec<StatementId> {
        let has_attempt = |statement: &Statement| statement.is_owner() && statement.may_have_run();
        let candidates: Vec<StatementId> = self
            .statements
            .iter()
            .filter(|(_, statement)| has_attempt(statement))
            .map(|(id, _)| id)
            .collect();
        let mut handed_off = Vec::new();
        for id in candidates {
            if self.hand_off_statement(now, id, out) {
                handed_off.push(id);
            }
        }
        if !handed_off.is_empty() {
            out.log(&format!("handed off statements={}", handed_off.len()));
        }
        handed_off
    }

    fn hand_off_statement(&mut self, now: Nanos, id: StatementId, out: &mut dyn Output) -> bool {
        let Some(successor) = self.choose_successor(id) else {
            return false;
        };
        let Some(statement) = self.statements.get_mut(id) else {
            return false;
        };
        if statement.pending_grant.is_some() {
            return false;
        }
        let record = statement.record(now, id);
        statement.move_submitter_to_waiters();
        out.send(successor, Message::Handoff(record));
        self.statements
            .transition(id, StatementState::OwnedElsewhere);
        if let Some(statement) = self.statements.get_mut(id) {
            statement.lookup.asked_member = successor;
        }
        // Leaves the new owner time for the takeover.
        let lookup_at = now + self.config.follow_interval / 2;
        self.statements.set_timer(id, lookup_at);
        true
    }

    fn choose_successor(&self, id: StatementId) -> Option<MemberId> {
        self.other_voters(id)
            .into_iter()
            .find(|&voter| self.members.is_connected(voter))
    }

    /// Takes over a statement that another gateway hands off as it shuts down.
    pub(crate) fn on_handoff(&mut self, now: Nanos, record: StatementRecord, out: &mut dyn Output) {
        let id = record.id;
        self.vote_log.apply(now, &record);
        let Some(spec) = record.spec else {
            return;
        };
        if self.statements.is_owned_or_being_taken_over(id) {
            return;
        }
        let mut statement = self.new_statement(now, spec, StatementState::LookingUp);
        if let Some(known) = self.statements.get_mut(id) {
            statement.waiters = std::mem::take(&mut known.waiters);
        }
        statement.grants = record.grants;
        self.statements.insert(id, statement);
        self.statements.transition(id, StatementState::Orphaned);
        self.counters.orphaned += 1;
        self.request_takeover(now, id, record.epoch.number + 1, out);
    }
}
