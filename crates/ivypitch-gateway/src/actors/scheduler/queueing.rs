//! The teams' queues, through which statements reach the scheduler if the operators' configuration
//! file defines teams.

use ivypitch_queueing::Budgets;
use ivypitch_types::{Nanos, StatementIndex};

use super::SchedulerActor;
use super::context::EndedStatement;
use super::statements::to_scheduler_arrival;
use crate::actors::messages::Answer;
use crate::actors::queueing::{Action, QueueingDriver};

/// Tenant index for which the scheduler applies no quota.
const NO_TENANT: usize = usize::MAX;

impl SchedulerActor {
    /// Applies the new budgets of a reloaded configuration.
    pub(super) fn reload_budgets(&mut self, budgets: Budgets) {
        if let Some(queueing) = &mut self.queueing {
            queueing.reload(self.context.now, budgets);
        }
    }

    /// Reports ended statements to the queues and applies the queues' actions until none is left.
    pub(super) fn apply_queueing_actions(&mut self) {
        if self.queueing.is_none() {
            return;
        }
        loop {
            if let Some(ended) = self.take_ended_statement() {
                self.report_ended_statement(ended);
                continue;
            }
            let action = self.queueing.as_mut().and_then(QueueingDriver::next_action);
            match action {
                Some(Action::Release {
                    statement,
                    is_within_share,
                }) => self.release_statement(statement, is_within_share),
                Some(Action::Reject {
                    statement,
                    retry_after,
                }) => self.reject_queued_statement(statement, retry_after),
                None => return,
            }
        }
    }

    fn take_ended_statement(&mut self) -> Option<EndedStatement> {
        self.context.ended_statements.as_mut()?.pop()
    }

    fn report_ended_statement(&mut self, ended: EndedStatement) {
        if let Some(queueing) = &mut self.queueing {
            queueing.on_statement_ended(
                self.context.now,
                ended.statement,
                ended.work,
                ended.run_time,
            );
        }
    }

    /// Passes a statement to the scheduler. A team within its share of the queues is not subject to
    /// its tenant quota, since the share in the operators' configuration file replaces it.
    fn release_statement(&mut self, statement: StatementIndex, is_within_share: bool) {
        let context = &mut self.context;
        let now = context.now;
        let Some(open) = context.statements.get(statement) else {
            return;
        };
        let time_left = open.deadline.min(context.answer_by).saturating_sub(now);
        let tenant = if is_within_share {
            NO_TENANT
        } else {
            open.statement.tenant
        };
        let arrival = to_scheduler_arrival(&open.statement, tenant, time_left);
        self.scheduler
            .borrow_mut()
            .on_statement_arrived(now, statement, arrival, context);
    }

    /// Gives up the turn among the statements of its key of a statement that leaves its queue
    /// without reaching the scheduler.
    pub(super) fn release_key_turn(&mut self, statement: StatementIndex) {
        let Some(open) = self.context.statements.get(statement) else {
            return;
        };
        let arrival = to_scheduler_arrival(&open.statement, NO_TENANT, 0);
        self.scheduler
            .borrow_mut()
            .release_key_turn(statement, &arrival);
    }

    fn reject_queued_statement(&mut self, statement: StatementIndex, retry_after: Nanos) {
        self.release_key_turn(statement);
        self.context
            .answer(statement, Answer::Rejected { retry_after });
        self.context.close_statement(statement);
    }
}
