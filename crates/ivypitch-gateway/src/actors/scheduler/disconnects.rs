//! Clients that no longer wait: they have closed their connection or had their statement killed.

use ivypitch_ownership::{DisconnectDecision, StatementId};
use ivypitch_types::StatementIndex;

use super::SchedulerActor;
use crate::actors::messages::{Answer, ClientHandle};

impl SchedulerActor {
    /// The client of this connection no longer waits.
    pub(super) fn on_client_disconnected(&mut self, connection: u32) {
        let context = &mut self.context;
        if let Some(ownership) = &mut context.ownership
            && let Some((token, waiting)) = ownership.remove_disconnected_client(connection)
        {
            self.on_waiting_client_left(waiting.id, token);
            return;
        }
        let Some(statement) = context.statements.find_by_connection(connection) else {
            return;
        };
        let Some(open) = context.statements.get(statement) else {
            return;
        };
        let (id, token) = (open.id(), open.client_token);
        let decision = match &mut context.ownership {
            Some(ownership) => ownership.on_client_disconnected(context.now, id, token),
            None => DisconnectDecision::End,
        };
        if decision != DisconnectDecision::End {
            // The answer is cached until the client returns, here or at another gateway.
            context
                .statements
                .replace_client(statement, ClientHandle::absent());
        }
        self.apply_disconnect(statement, decision);
    }

    /// A client has left that waited for a statement without having submitted it to the scheduler.
    /// The statement may have been taken over for that client alone.
    fn on_waiting_client_left(&mut self, id: StatementId, token: u64) {
        let context = &mut self.context;
        let Some(statement) = context.statements.find_by_id(id) else {
            return;
        };
        if let Some(ownership) = &mut context.ownership {
            let decision = ownership.on_client_disconnected(context.now, id, token);
            self.apply_disconnect(statement, decision);
        }
    }

    fn apply_disconnect(&mut self, statement: StatementIndex, decision: DisconnectDecision) {
        let context = &mut self.context;
        match decision {
            DisconnectDecision::Continue => {}
            DisconnectDecision::FinishAttempt => {
                self.scheduler
                    .borrow_mut()
                    .on_client_disconnected(context.now, statement, context);
            }
            DisconnectDecision::End => {
                context.statements.take_client(statement);
                self.expire_statement(statement);
            }
        }
    }

    /// A client requested that the statement of this connection be ended.
    pub(super) fn on_kill_query(&mut self, connection: u32) {
        if let Some(ownership) = &mut self.context.ownership
            && let Some((token, waiting)) = ownership.remove_disconnected_client(connection)
        {
            self.kill_counters.found += 1;
            waiting.client.send(Answer::Killed);
            self.on_waiting_client_left(waiting.id, token);
            return;
        }
        let Some(statement) = self.context.statements.find_by_connection(connection) else {
            self.kill_counters.without_statement += 1;
            return;
        };
        self.kill_counters.found += 1;
        self.context.answer(statement, Answer::Killed);
        self.expire_statement(statement);
    }
}
