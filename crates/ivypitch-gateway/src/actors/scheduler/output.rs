//! Output of the scheduler: sends attempts to their engines, answers and closes statements, and
//! sets timers.

use std::cell::Cell;
use std::rc::Rc;

use ivypitch_ownership::GrantDecision;
use ivypitch_scheduler::Output;
use ivypitch_types::{EngineIndex, MILLISECOND, Nanos, Outcome, StatementIndex};

use super::context::{Context, EndedStatement};
use super::timers::TimerEvent;
use crate::actors::attempt::Attempt;
use crate::actors::engine::EngineMessage;
use crate::actors::messages::{
    Answer, AttemptEnd, AttemptKey, AttemptMessage, ClientPresence, SchedulerMessage,
};
use crate::state::statements::{InFlightAttempt, OpenStatement};
use crate::wire::http::StartRequest;

/// How an attempt begins at its engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AttemptKind {
    /// The attempt is started.
    Start,
    /// The attempt was started by another gateway and is only polled.
    PollOnly,
}

impl Context {
    /// Creates the next attempt of a statement and records it as in flight.
    fn new_attempt(
        &mut self,
        statement: StatementIndex,
        engine: EngineIndex,
        timeout: Nanos,
        kind: AttemptKind,
    ) -> Option<Attempt> {
        let client = self.client_presence(statement);
        let open = self.statements.get_mut(statement)?;
        let timeout = timeout.min(open.deadline.saturating_sub(self.now)).max(1);
        let times_out_at = self.now + timeout;
        let key = AttemptKey {
            statement,
            serial: open.serial,
            number: open.attempt_count,
            engine,
        };
        let (mailbox, messages) = async_channel::unbounded();
        let attempt = Attempt {
            key,
            start: start_request(open, timeout),
            is_already_started: kind == AttemptKind::PollOnly,
            report_fields: self.attempts.report_fields.clone(),
            mailbox: messages,
            unsent_priority: Cell::new(None),
            scheduler: self.attempts.scheduler.clone(),
            gate: self.attempts.gate.clone(),
            times_out_at,
            client,
        };
        open.attempt_count += 1;
        open.attempt = Some(InFlightAttempt {
            number: key.number,
            engine,
            sent_at: self.now,
            times_out_at,
            has_timed_out: false,
            mailbox,
        });
        self.timers.set(times_out_at, attempt_timeout(key));
        Some(attempt)
    }

    /// The connection of a client that waits here for the statement; `None` if it goes on for
    /// another gateway.
    fn client_presence(&self, statement: StatementIndex) -> Option<Rc<ClientPresence>> {
        let open = self.statements.get(statement)?;
        let submitter = open.client.as_ref()?.presence.clone();
        submitter.or_else(|| self.ownership.as_ref()?.waiting_client_presence(open.id()))
    }

    /// Passes an attempt to its engine's actor.
    pub(super) fn dispatch(&self, attempt: Attempt) {
        let key = attempt.key;
        let Some(mailbox) = self.engines.mailbox(key.engine) else {
            // The engine was removed from the list in the meantime: nothing was sent.
            self.report_not_sent(key);
            return;
        };
        let _ = mailbox.try_send(EngineMessage::Start(Box::new(attempt)));
    }

    fn report_not_sent(&self, key: AttemptKey) {
        let end = AttemptEnd::without_answer(Outcome::NotSent);
        let _ = self
            .attempts
            .scheduler
            .try_send(SchedulerMessage::AttemptEnded { key, end });
    }

    /// Ends a cancelled attempt that waits for a grant: it has no task that could.
    fn withdraw_pending_attempt(&mut self, statement: StatementIndex, attempt: u32) {
        let id = self.statements.get(statement).map_or(0, OpenStatement::id);
        let pending = self
            .ownership
            .as_mut()
            .and_then(|ownership| ownership.take_pending_attempt(id, attempt));
        if let Some(pending) = pending {
            self.report_not_sent(pending.key);
        }
    }

    /// Polls an engine for an attempt that another gateway started there.
    pub(super) fn poll_running_attempt(&mut self, statement: StatementIndex, engine: EngineIndex) {
        let Some(open) = self.statements.get(statement) else {
            return;
        };
        let timeout = open.deadline.saturating_sub(self.now).max(1);
        if let Some(attempt) = self.new_attempt(statement, engine, timeout, AttemptKind::PollOnly) {
            self.dispatch(attempt);
        }
    }

    /// Requests a grant from ownership and dispatches the attempt once it is granted.
    fn request_grant(&mut self, statement: StatementIndex, engine: EngineIndex, attempt: Attempt) {
        let id = self.statements.get(statement).map_or(0, OpenStatement::id);
        let engine_hash = self.engines.id_hash(engine).unwrap_or(0);
        let Some(ownership) = &mut self.ownership else {
            self.dispatch(attempt);
            return;
        };
        let number = attempt.key.number;
        match ownership.request_attempt_grant(self.now, id, number, engine_hash) {
            GrantDecision::Granted => self.dispatch(attempt),
            GrantDecision::Pending => ownership.add_pending_attempt(id, attempt),
            GrantDecision::Denied(denial) => ownership.defer_denial(id, number, denial),
        }
    }
}

fn start_request(open: &OpenStatement, timeout: Nanos) -> StartRequest {
    let fields = &open.statement.fields;
    StartRequest {
        statement_id: fields.statement_id.clone(),
        workload: fields.workload.clone(),
        remaining_ms: (timeout / MILLISECOND).max(1),
        priority: open.priority,
        grant_mb: open.memory_grant_mb.ceil() as u64,
        idempotency_key: fields.idempotency_key.clone(),
        ordering_key: fields.ordering_key.clone(),
        statement: fields.statement.clone(),
    }
}

/// Returns the event of an attempt's timeout.
pub(super) fn attempt_timeout(key: AttemptKey) -> TimerEvent {
    TimerEvent::AttemptTimeout {
        statement: key.statement,
        serial: key.serial,
        attempt: key.number,
    }
}

impl Output for Context {
    fn send(&mut self, statement: StatementIndex, engine: EngineIndex, timeout: Nanos) {
        if let Some(attempt) = self.new_attempt(statement, engine, timeout, AttemptKind::Start) {
            self.request_grant(statement, engine, attempt);
        }
    }

    fn cancel(&mut self, statement: StatementIndex, attempt: u32) {
        let Some(in_flight) = self
            .statements
            .get(statement)
            .and_then(|open| open.attempt.as_ref())
        else {
            return;
        };
        if in_flight.number != attempt {
            return;
        }
        let _ = in_flight.mailbox.try_send(AttemptMessage::Cancel);
        self.withdraw_pending_attempt(statement, attempt);
    }

    fn set_resources(&mut self, statement: StatementIndex, grant_mb: f64, priority: u8) {
        let Some(open) = self.statements.get_mut(statement) else {
            return;
        };
        open.memory_grant_mb = grant_mb;
        open.priority = priority;
        if let Some(in_flight) = &open.attempt {
            let _ = in_flight
                .mailbox
                .try_send(AttemptMessage::Priority(priority));
        }
    }

    fn reject(&mut self, statement: StatementIndex, retry_after: Nanos) {
        self.answer(statement, Answer::Rejected { retry_after });
    }

    fn abort(&mut self, statement: StatementIndex) {
        self.answer(statement, Answer::Aborted);
    }

    fn forget(&mut self, statement: StatementIndex) {
        self.remember_effect(statement);
        if let Some(ended_statements) = &mut self.ended_statements
            && let Some(open) = self.statements.get(statement)
        {
            ended_statements.push(EndedStatement {
                statement,
                work: open.work,
                run_time: open.run_time,
            });
        }
        self.close_statement(statement);
    }

    fn set_timer(&mut self, token: u64, after: Nanos) {
        self.timers
            .set(self.now + after, TimerEvent::Scheduler { token });
    }

    // Real engines have no health checks, and the endpoint list is watched permanently, so neither
    // needs a request. Messages between gateways go through coordination.
    fn request_load_report(&mut self, _engine: EngineIndex) {}
    fn broadcast(&mut self, _bytes: &[u8]) {}
    fn watch_endpoints(&mut self) {}

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}
