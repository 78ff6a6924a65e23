//! Output of the scheduler: sends attempts to their engines, answers and closes statements, and
//! sets timers.

use std::cell::Cell;

use ivypitch_ownership::GrantDecision;
use ivypitch_scheduler::Output;
use ivypitch_types::{EngineIndex, MILLISECOND, Nanos, Outcome, StatementIndex};

use super::context::{Context, EndedStatement};
use super::timers::TimerEvent;
use crate::actors::attempt::Attempt;
use crate::actors::engine::EngineMessage;
use crate::actors::messages::{Answer, AttemptEnd, AttemptKey, AttemptMessage, SchedulerMessage};
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
        let has_ownership = self.ownership.is_some();
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
            // With ownership, a statement may continue for a client that reconnects, so that the
            // attempt does not depend on this connection.
            client: open
                .client
                .as_ref()
                .filter(|_| !has_ownership)
                .and_then(|client| client.presence.clone()),
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

    /// Passes an attempt to its engine's actor.
    pub(super) fn dispatch(&self, attempt: Attempt) {
        let key = attempt.key;
        let Some(mailbox) = self.engines.mailbox(key.engine) else {
            // The engine was removed from the list in the meantime: nothing was sent.
            let end = AttemptEnd::without_answer(Outcome::NotSent);
            let _ = self
                .attempts
                .scheduler
                .try_send(SchedulerMessage::AttemptEnded { key, end });
            return;
        };
        let _ = mailbox.try_send(EngineMessage::Start(Box::new(attempt)));
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
        if in_flight.number == attempt {
            let _ = in_flight.mailbox.try_send(AttemptMessage::Cancel);
        }
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
