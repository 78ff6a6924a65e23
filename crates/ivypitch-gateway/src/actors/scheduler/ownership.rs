//! Statements that other gateways may know. They are looked up on arrival, need a grant before each
//! attempt, are taken over when their gateway is lost, and are handed off when this gateway shuts
//! down.

use bytes::Bytes;
use ivypitch_ownership::{ArrivalDecision, FinalAnswer, GrantDenial, StatementId, StatementSpec};
use ivypitch_scheduler::{Arrival, Idempotency};
use ivypitch_types::{EngineIndex, MILLISECOND, Nanos, Outcome, StatementIndex};

use super::SchedulerActor;
use super::context::Context;
use super::statements::{estimated_work, to_scheduler_arrival};
use crate::actors::messages::{
    Answer, AttemptEnd, AttemptKey, AttemptMessage, ClientHandle, ClientStatement, StartPermission,
};
use crate::actors::ownership::{
    Action, OwnershipDriver, PendingStatement, Takeover, WaitingClient, to_client_answer,
};
use crate::state::statements::{NewStatement, OpenStatement};
use crate::wire::fields;

/// Connection id of statements that have no client here.
const NO_CONNECTION: u32 = 0;

impl SchedulerActor {
    /// Handles ownership's timer and answers clients whose deadline has passed with an abort.
    pub(super) fn on_ownership_timer(&mut self) {
        let context = &mut self.context;
        let Some(ownership) = &mut context.ownership else {
            return;
        };
        ownership.on_timer(context.now);
        for expired in ownership.remove_expired_clients(context.now) {
            expired.client.send(Answer::Aborted);
        }
    }

    /// Applies the actions of ownership until none is left.
    pub(super) fn apply_ownership_actions(&mut self) {
        while let Some(action) = self
            .context
            .ownership
            .as_mut()
            .and_then(OwnershipDriver::next_action)
        {
            match action {
                Action::StartAttempt { id, attempt } => self.start_granted_attempt(id, attempt),
                Action::DenyAttempt {
                    id,
                    attempt,
                    denial,
                } => self.deny_attempt(id, attempt, denial),
                Action::Proceed { id } => self.proceed(id),
                Action::TakeOver(takeover) => self.take_over(takeover),
                Action::Answer {
                    waiter_token,
                    answer,
                } => self.answer_waiter(waiter_token, answer),
            }
        }
        if let Some(ownership) = &mut self.context.ownership {
            ownership.drop_unclaimed_answers();
        }
    }

    fn answer_waiter(&mut self, token: u64, answer: FinalAnswer) {
        let Some(ownership) = &mut self.context.ownership else {
            return;
        };
        match ownership.take_waiting_client(token) {
            Some(waiting) => waiting.client.send(to_client_answer(answer)),
            None => ownership.add_unclaimed_answer(token, answer),
        }
    }

    /// Dispatches a granted attempt. Changes since the request are checked again before the first
    /// byte is sent.
    fn start_granted_attempt(&mut self, id: StatementId, attempt: u32) {
        let context = &mut self.context;
        let Some(ownership) = &mut context.ownership else {
            return;
        };
        let Some(attempt) = ownership.take_pending_attempt(id, attempt) else {
            return;
        };
        if context.statements.is_in_flight(attempt.key) {
            context.dispatch(attempt);
        }
    }

    /// Ends an attempt that must not start. If another gateway owns the statement, the client waits
    /// for the owner's answer.
    fn deny_attempt(&mut self, id: StatementId, attempt: u32, denial: GrantDenial) {
        let context = &mut self.context;
        let Some(statement) = context.statements.find_by_id(id) else {
            return;
        };
        let Some(open) = context.statements.get(statement) else {
            return;
        };
        let key = AttemptKey {
            statement,
            serial: open.serial,
            number: attempt,
            engine: open
                .attempt
                .as_ref()
                .map_or(EngineIndex(usize::MAX), |in_flight| in_flight.engine),
        };
        match denial {
            GrantDenial::NoQuorum {
                is_provably_unsent: true,
            } => {}
            GrantDenial::NoQuorum {
                is_provably_unsent: false,
            } => context.answer(statement, Answer::Aborted),
            GrantDenial::OwnedElsewhere => context.move_client_to_ownership(statement),
        }
        if let Some(ownership) = &mut context.ownership {
            ownership.drop_pending_attempt(id);
        }
        self.on_attempt_ended(key, AttemptEnd::without_answer(Outcome::NeverDispatched));
    }

    /// Processes the statement of a waiting client that no other gateway knows.
    fn proceed(&mut self, id: StatementId) {
        let Some(ownership) = &mut self.context.ownership else {
            return;
        };
        let Some((token, waiting)) = ownership.take_client_to_proceed(id) else {
            return;
        };
        let Some(pending) = waiting.pending_statement else {
            return;
        };
        let new = NewStatement {
            connection: waiting.connection,
            statement: pending.statement,
            deadline: waiting.deadline,
            client: waiting.client,
        };
        self.start_or_reject(new, pending.start, token);
    }

    /// Opens a statement that no gateway knows, or rejects it if this gateway is shutting down.
    fn start_or_reject(&mut self, new: NewStatement, start: StartPermission, token: u64) {
        let id = new.statement.fields.statement_id_number();
        if start == StartPermission::Granted {
            self.open_statement(new);
            self.context.set_client_token(id, token);
            return;
        }
        let Some(ownership) = &mut self.context.ownership else {
            return;
        };
        let rejected = Answer::Rejected { retry_after: 0 };
        let Some(token) = ownership.on_answered(self.context.now, id, &rejected) else {
            new.client.send(rejected);
            return;
        };
        let waiting = WaitingClient {
            id,
            connection: new.connection,
            deadline: new.deadline,
            client: new.client,
            pending_statement: None,
        };
        ownership.add_waiting_client(token, waiting);
    }

    /// Takes over another gateway's statement.
    fn take_over(&mut self, takeover: Takeover) {
        let context = &mut self.context;
        let id = takeover.id;
        let listed_engine = takeover
            .engine_hash
            .map(|engine_hash| context.engines.find_listed(engine_hash));
        if listed_engine == Some(None) {
            if let Some(ownership) = &mut context.ownership {
                ownership.on_engine_unknown(context.now, id);
            }
            return;
        }
        let Some(statement) = context.parse_takeover(takeover.text) else {
            log::warn!(statement:% = format_args!("{id:016x}"); "statement taken over cannot be parsed");
            context.abort_takeover(id);
            return;
        };
        let deadline = (context.now + takeover.remaining).min(context.answer_by);
        let time_left = deadline.saturating_sub(context.now);
        let arrival = to_scheduler_arrival(&statement, statement.tenant, time_left);
        let opened = context.statements.open(NewStatement {
            connection: NO_CONNECTION,
            statement,
            deadline,
            client: ClientHandle::absent(),
        });
        let Ok(statement) = opened else {
            // An attempt of the same statement is still in flight here.
            log::warn!(statement:% = format_args!("{id:016x}"); "statement taken over is still open here");
            context.abort_takeover(id);
            return;
        };
        context.set_deadline_timer(statement);
        self.schedule_takeover(statement, arrival, listed_engine.flatten());
    }

    /// Passes a statement that was taken over to the scheduler. `engine` is polled, since an
    /// attempt may be running there.
    fn schedule_takeover(
        &mut self,
        statement: StatementIndex,
        arrival: Arrival,
        engine: Option<EngineIndex>,
    ) {
        let context = &mut self.context;
        let mut scheduler = self.scheduler.borrow_mut();
        match engine {
            None => scheduler.on_statement_arrived(context.now, statement, arrival, context),
            Some(engine) => {
                scheduler.take_over_statement(context.now, statement, arrival, engine, context);
                context.poll_running_attempt(statement, engine);
            }
        }
    }

    /// Checks with ownership whether another gateway knows a client's statement, before the
    /// statement is opened.
    pub(super) fn look_up_statement(&mut self, new: NewStatement, start: StartPermission) {
        let context = &mut self.context;
        let Some(ownership) = &mut context.ownership else {
            return;
        };
        if start == StartPermission::ShuttingDown && context.has_handed_off {
            // This process ends before the other gateways can answer.
            new.client.send(Answer::Aborted);
            return;
        }
        let id = new.statement.fields.statement_id_number();
        let is_idempotent = context
            .workloads
            .get(new.statement.workload)
            .is_some_and(|workload| workload.idempotency == Idempotency::Idempotent);
        let token = ownership.new_token();
        let arrival = ivypitch_ownership::Arrival {
            id,
            spec: statement_spec(&new, context.now, is_idempotent),
            is_worth_lookup: ownership.is_worth_lookup(estimated_work(&new.statement), start),
            waiter_token: token,
        };
        match ownership.on_statement_arrived(context.now, arrival) {
            ArrivalDecision::Proceed => self.start_or_reject(new, start, token),
            ArrivalDecision::Answer(answer) => new.client.send(to_client_answer(answer)),
            ArrivalDecision::Wait => ownership.add_waiting_client(
                token,
                WaitingClient {
                    id,
                    connection: new.connection,
                    deadline: new.deadline,
                    client: new.client,
                    pending_statement: Some(PendingStatement {
                        statement: new.statement,
                        start,
                    }),
                },
            ),
        }
    }

    /// Hands off the statements that cannot end before the shutdown. A second call hands off
    /// statements that arrived since the first.
    pub(super) fn hand_off(&mut self) {
        let Some(ownership) = &mut self.context.ownership else {
            return;
        };
        if !self.context.has_handed_off {
            self.context.has_handed_off = true;
            ownership.log_totals();
        }
        for id in ownership.hand_off(self.context.now) {
            if let Some(statement) = self.context.statements.find_by_id(id) {
                self.hand_off_statement(statement);
            }
        }
    }

    fn hand_off_statement(&mut self, statement: StatementIndex) {
        let Some(open) = self.context.statements.get(statement) else {
            return;
        };
        let in_flight = detach_attempt(statement, open);
        self.context.move_client_to_ownership(statement);
        match in_flight {
            Some(key) => {
                self.on_attempt_ended(key, AttemptEnd::without_answer(Outcome::NeverDispatched));
            }
            None => self.expire_statement(statement),
        }
    }
}

/// Ends a statement's attempt in this gateway without cancelling it at its engine.
fn detach_attempt(statement: StatementIndex, open: &OpenStatement) -> Option<AttemptKey> {
    let in_flight = open.attempt.as_ref()?;
    let _ = in_flight.mailbox.try_send(AttemptMessage::Detach);
    Some(AttemptKey {
        statement,
        serial: open.serial,
        number: in_flight.number,
        engine: in_flight.engine,
    })
}

fn statement_spec(new: &NewStatement, now: Nanos, is_idempotent: bool) -> StatementSpec {
    let fields = &new.statement.fields;
    let remaining_ms = new.deadline.saturating_sub(now) / MILLISECOND;
    StatementSpec {
        digest: fields.digest(),
        workload: new.statement.workload as u16,
        tenant: new.statement.tenant as u16,
        is_idempotent,
        remaining_ms: remaining_ms as u32,
        request: fields.write(remaining_ms.max(1)),
    }
}

impl Context {
    /// Parses a statement's text that another gateway received from its client.
    fn parse_takeover(&self, text: Vec<u8>) -> Option<ClientStatement> {
        let fields = fields::parse(&Bytes::from(text)).ok()?;
        let index = |names: &[String], name: &[u8]| {
            names
                .iter()
                .position(|known| known.as_bytes() == name)
                .unwrap_or(0)
        };
        let workload = index(&self.names.workloads, &fields.workload);
        let tenant = fields
            .tenant
            .as_ref()
            .map_or(0, |tenant| index(&self.names.tenants, tenant));
        Some(ClientStatement {
            fields,
            workload,
            tenant,
        })
    }

    fn abort_takeover(&mut self, id: StatementId) {
        if let Some(ownership) = &mut self.ownership {
            let _ = ownership.on_answered(self.now, id, &Answer::Aborted);
        }
    }

    /// Makes a statement's client wait for the answer of the gateway that owns the statement.
    fn move_client_to_ownership(&mut self, statement: StatementIndex) {
        let Some(open) = self.statements.get(statement) else {
            return;
        };
        let token = open.client_token;
        let Some(waiting) = self.take_waiting_client(statement) else {
            return;
        };
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        match ownership.take_unclaimed_answer(token) {
            Some(answer) => waiting.client.send(to_client_answer(answer)),
            None => ownership.add_waiting_client(token, waiting),
        }
    }

    fn set_client_token(&mut self, id: StatementId, token: u64) {
        if let Some(statement) = self.statements.find_by_id(id)
            && let Some(open) = self.statements.get_mut(statement)
        {
            open.client_token = token;
        }
    }
}
