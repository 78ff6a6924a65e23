//! Graceful shutdown: what this gateway acts for goes to another one, with no pause in polling the engines.

use ivypitch_types::{MemberId, Nanos};

use crate::message::{Message, StatementId, StatementRecord};
use crate::output::Output;
use crate::ownership::Ownership;
use crate::statement::{Statement, StatementState};

impl Ownership {
    /// This gateway shuts down. Every statement with an attempt that may be running goes to the first of its voters that
    /// is connected; clients here wait for that one's answer as long as this process lives. Returns the statements that
    /// were handed off.
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
        let Some(successor) = self.successor(id) else {
            return false;
        };
        let Some(statement) = self.statements.get_mut(id) else {
            return false;
        };
        if statement.pending_grant.is_some() {
            return false;
        }
        let record = statement.record(now, id);
        statement.submitter_waits();
        out.send(successor, Message::Handoff(record));
        self.statements
            .transition(id, StatementState::OwnedElsewhere);
        if let Some(statement) = self.statements.get_mut(id) {
            statement.lookup.asked = successor;
        }
        // The successor is asked once it has had the time to take over.
        let ask_at = now + self.config.follow_interval / 2;
        self.statements.set_timer(id, ask_at);
        true
    }

    fn successor(&self, id: StatementId) -> Option<MemberId> {
        self.other_voters(id)
            .into_iter()
            .find(|&voter| self.members.is_connected(voter))
    }

    /// Another gateway shuts down and hands this statement off.
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
