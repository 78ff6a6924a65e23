//! Statements from arrival to answer, and the ends of their attempts.

use ivypitch_config::{sanitize_memory_estimate_mb, table_group_index};
use ivypitch_ownership::StatementId;
use ivypitch_queueing::QueueArrival;
use ivypitch_scheduler::{Arrival, AttemptEnded, AttemptProgress, Effect, Idempotency};
use ivypitch_types::{MILLISECOND, Nanos, Outcome, StatementIndex};

use super::SchedulerActor;
use super::context::Context;
use super::output::attempt_timeout;
use super::timers::TimerEvent;
use crate::actors::messages::{
    Answer, AttemptEnd, AttemptKey, AttemptMessage, ClientHandle, ClientStatement, QueueRow,
    StartPermission,
};
use crate::actors::ownership::WaitingClient;
use crate::state::statements::{NewStatement, OpenStatement};

impl SchedulerActor {
    /// A client sent a statement.
    pub(super) fn on_statement_arrived(&mut self, new: NewStatement, start: StartPermission) {
        let context = &mut self.context;
        if let Some(coordination) = &mut context.coordination {
            let tenant = new.statement.tenant;
            let quota = context
                .quotas
                .tenants_per_second
                .get(tenant)
                .copied()
                .unwrap_or(0.0);
            coordination.on_statement_arrived(tenant, quota);
        }
        if context.ownership.is_some() {
            self.look_up_statement(new, start);
        } else {
            self.open_statement(new);
        }
    }

    /// Opens a client's statement and passes it to its team's queue, or to the scheduler without
    /// queues.
    pub(super) fn open_statement(&mut self, new: NewStatement) {
        let context = &mut self.context;
        let now = context.now;
        let id = new.statement.fields.statement_id_number();
        let earlier_end = match context.recent_statements.effect(now, id) {
            Effect::None => None,
            Effect::Possible => Some(Answer::Aborted),
            Effect::Completed => Some(Answer::ResultNotCached),
        };
        if let Some(answer) = earlier_end {
            self.answer_unopened(id, &new.client, answer);
            return;
        }
        let arrival = to_scheduler_arrival(
            &new.statement,
            new.statement.tenant,
            new.deadline.saturating_sub(now),
        );
        let queue_arrival = QueueArrival {
            team: new.statement.tenant,
            workload: new.statement.workload,
            estimated_work: arrival.estimated_work,
            bytes: new.statement.fields.statement.len(),
            deadline: new.deadline,
        };
        let statement = match context.statements.open(new) {
            Ok(statement) => statement,
            Err(client) => {
                self.answer_unopened(id, &client, Answer::DuplicateId);
                return;
            }
        };
        context.set_deadline_timer(statement);
        if let Some(queueing) = &mut self.queueing {
            self.scheduler
                .borrow_mut()
                .reserve_key_turn(statement, &arrival);
            queueing.on_statement_queued(now, statement, queue_arrival);
        } else {
            self.scheduler
                .borrow_mut()
                .on_statement_arrived(now, statement, arrival, context);
        }
    }

    /// Answers a client whose statement is not opened, because its id is in use or has been.
    fn answer_unopened(&mut self, id: StatementId, client: &ClientHandle, answer: Answer) {
        let context = &mut self.context;
        if let Some(ownership) = &mut context.ownership {
            let _ = ownership.on_answered(context.now, id, &answer);
        }
        client.send(answer);
    }

    /// A statement's deadline has passed. If the scheduler has not answered the statement by now,
    /// it is answered here.
    pub(super) fn on_statement_deadline(&mut self, statement: StatementIndex, serial: u64) {
        let is_unanswered = self
            .context
            .statements
            .get_by_serial(statement, serial)
            .is_some_and(OpenStatement::is_unanswered);
        if !is_unanswered {
            return;
        }
        let is_queued = self
            .queueing
            .as_ref()
            .is_some_and(|queueing| queueing.is_queued(statement));
        let answer = if is_queued {
            Answer::Rejected { retry_after: 0 }
        } else {
            Answer::Aborted
        };
        self.context.answer(statement, answer);
        self.expire_statement(statement);
    }

    /// Ends a statement whose client has its answer or no longer waits. A queued statement is
    /// closed; any other is left to the scheduler.
    pub(super) fn expire_statement(&mut self, statement: StatementIndex) {
        let context = &mut self.context;
        let was_queued = self
            .queueing
            .as_mut()
            .is_some_and(|queueing| queueing.remove(context.now, statement));
        if was_queued {
            self.release_key_turn(statement);
            let context = &mut self.context;
            context.statements.take_client(statement);
            context.close_statement(statement);
        } else {
            self.scheduler
                .borrow_mut()
                .on_statement_expired(context.now, statement, context);
        }
    }

    /// Cancels an attempt that timed out. If the engine does not respond, the attempt ends for the
    /// scheduler only at the statement's deadline: the remaining time is too short for another
    /// attempt, and no other attempt may run in parallel.
    pub(super) fn on_attempt_timeout(
        &mut self,
        statement: StatementIndex,
        serial: u64,
        attempt: u32,
    ) {
        let context = &mut self.context;
        let Some(open) = context
            .statements
            .get_mut(statement)
            .filter(|open| open.serial == serial)
        else {
            return;
        };
        let Some(in_flight) = open
            .attempt
            .as_mut()
            .filter(|in_flight| in_flight.number == attempt)
        else {
            return;
        };
        let _ = in_flight.mailbox.try_send(AttemptMessage::Cancel);
        let key = AttemptKey {
            statement,
            serial,
            number: attempt,
            engine: in_flight.engine,
        };
        if open.deadline > context.now {
            in_flight.has_timed_out = true;
            in_flight.times_out_at = open.deadline;
            context.timers.set(open.deadline, attempt_timeout(key));
        } else {
            self.on_attempt_ended(key, AttemptEnd::without_answer(Outcome::TimedOut));
        }
    }

    /// An engine reported the progress of an attempt.
    pub(super) fn on_attempt_progressed(&mut self, key: AttemptKey, progress: AttemptProgress) {
        let context = &mut self.context;
        if context.statements.is_in_flight(key) {
            self.scheduler.borrow_mut().on_progress(
                context.now,
                key.statement,
                key.number,
                progress,
                context,
            );
        }
    }

    /// An attempt has ended. Does nothing if this was already reported to the scheduler.
    pub(super) fn on_attempt_ended(&mut self, key: AttemptKey, mut end: AttemptEnd) {
        let context = &mut self.context;
        let Some(attempt) = context.statements.take_attempt(key, end.outcome) else {
            return;
        };
        context
            .timers
            .cancel(attempt.times_out_at, attempt_timeout(key));
        context.report_attempt_end(key, end.outcome);
        let run_time = context.now.saturating_sub(attempt.sent_at);
        if let Some(rows) = end.rows.take() {
            context.answer(key.statement, Answer::Completed(rows));
        }
        context.record_work(key.statement, &end, run_time);
        context.record_effect(key.statement, Effect::of(end.outcome));
        let ended = AttemptEnded {
            attempt: key.number,
            engine: key.engine,
            outcome: end.outcome,
            duration: run_time,
            has_final_answer: context.is_answered(key.statement),
            measured_cost: end.measured_cost.map(|cost| (cost.work_ms, cost.peak_mb)),
            load_report: &end.load_report,
        };
        self.scheduler
            .borrow_mut()
            .on_attempt_ended(context.now, key.statement, &ended, context);
    }

    /// Returns the rows for `SHOW QUEUE`.
    pub(super) fn queue_rows(&self, statement_id: Option<u64>) -> Vec<QueueRow> {
        let Some(queueing) = &self.queueing else {
            return Vec::new();
        };
        let (statements, now) = (&self.context.statements, self.context.now);
        let row = |statement: StatementIndex| {
            let open = statements.get(statement)?;
            Some(QueueRow {
                statement_id: String::from_utf8_lossy(&open.statement.fields.statement_id)
                    .into_owned(),
                team: open.statement.tenant,
                workload: open.statement.workload,
                queued: queueing.row(now, statement),
            })
        };
        match statement_id {
            Some(id) => statements
                .find_by_id(id)
                .and_then(row)
                .into_iter()
                .collect(),
            None => queueing
                .rows(now)
                .iter()
                .filter_map(|queued| row(queued.statement))
                .collect(),
        }
    }
}

/// Converts a statement to the arrival that is passed to the scheduler.
pub(super) fn to_scheduler_arrival(
    statement: &ClientStatement,
    tenant: usize,
    time_left: Nanos,
) -> Arrival {
    let fields = &statement.fields;
    Arrival {
        workload: statement.workload,
        key: fields.ordering_key_number(),
        table_group: table_group_index(fields.table_group as f32),
        time_left,
        is_repeat: fields.is_repeat,
        tenant,
        estimated_memory_mb: fields.memory_mb.map_or(0.0, sanitize_memory_estimate_mb),
        estimated_work: estimated_work(statement),
    }
}

/// Returns the client's estimate of a statement's work over all threads; 0 without an estimate.
pub(super) fn estimated_work(statement: &ClientStatement) -> Nanos {
    statement.fields.work_ms.map_or(0, nanos_from_ms)
}

fn nanos_from_ms(ms: f64) -> Nanos {
    (ms * MILLISECOND as f64) as Nanos
}

impl Context {
    /// Sets the timer that answers a statement if the scheduler does not in time.
    pub(super) fn set_deadline_timer(&mut self, statement: StatementIndex) {
        if let Some((at, event)) = self.deadline_timer(statement) {
            self.timers.set(at, event);
        }
    }

    fn deadline_timer(&self, statement: StatementIndex) -> Option<(Nanos, TimerEvent)> {
        let open = self.statements.get(statement)?;
        let event = TimerEvent::StatementDeadline {
            statement,
            serial: open.serial,
        };
        Some((open.deadline + self.answer_grace, event))
    }

    /// Closes a statement that is no longer referenced and frees its index.
    pub(super) fn close_statement(&mut self, statement: StatementIndex) {
        if let Some((at, event)) = self.deadline_timer(statement) {
            self.timers.cancel(at, event);
            self.statements.close(statement);
        }
    }

    fn is_answered(&self, statement: StatementIndex) -> bool {
        self.statements
            .get(statement)
            .is_none_or(|open| !open.is_unanswered())
    }

    /// Answers a statement's client, unless it has been answered. If ownership has to confirm the
    /// answer first, the client waits for the confirmation.
    pub(super) fn answer(&mut self, statement: StatementIndex, answer: Answer) {
        let Some(waiting) = self.take_waiting_client(statement) else {
            return;
        };
        if let Some(ownership) = &mut self.ownership
            && let Some(token) = ownership.on_answered(self.now, waiting.id, &answer)
        {
            ownership.add_waiting_client(token, waiting);
            return;
        }
        waiting.client.send(answer);
    }

    /// Takes a statement's client, unless it has been answered.
    pub(super) fn take_waiting_client(
        &mut self,
        statement: StatementIndex,
    ) -> Option<WaitingClient> {
        let open = self.statements.get(statement)?;
        let (id, connection, deadline) = (open.id(), open.connection, open.deadline);
        let client = self.statements.take_client(statement)?;
        Some(WaitingClient {
            id,
            connection,
            deadline,
            client,
            pending_statement: None,
        })
    }

    /// Reports an attempt's end to ownership and coordination.
    fn report_attempt_end(&mut self, key: AttemptKey, outcome: Outcome) {
        if let (Some(ownership), Some(open)) =
            (&mut self.ownership, self.statements.get(key.statement))
        {
            ownership.on_attempt_ended(self.now, open.id(), key.number, outcome.never_ran());
        }
        if let (Some(coordination), Some(engine_hash)) =
            (&mut self.coordination, self.engines.id_hash(key.engine))
        {
            let is_first_attempt = key.number == 0;
            coordination.on_attempt_ended(self.now, engine_hash, outcome, is_first_attempt);
        }
    }

    fn record_effect(&mut self, statement: StatementIndex, effect: Effect) {
        if let Some(open) = self.statements.get_mut(statement) {
            open.effect = open.effect.max(effect);
        }
    }

    /// Remembers what a statement that has ended may have done, should its id come again.
    pub(super) fn remember_effect(&mut self, statement: StatementIndex) {
        let Some(open) = self.statements.get(statement) else {
            return;
        };
        let idempotency = self
            .workloads
            .get(open.statement.workload)
            .map_or(Idempotency::Idempotent, |workload| workload.idempotency);
        self.recent_statements
            .on_ended(self.now, open.id(), idempotency, open.effect);
    }

    /// Adds the work of an attempt to its statement, for the teams' queues.
    fn record_work(&mut self, statement: StatementIndex, end: &AttemptEnd, run_time: Nanos) {
        if self.ended_statements.is_none() {
            return;
        }
        let Some(open) = self.statements.get_mut(statement) else {
            return;
        };
        if !end.outcome.never_ran() {
            let threads = self
                .workloads
                .get(open.statement.workload)
                .map_or(1.0, |workload| workload.threads);
            let work = end.measured_cost.map_or_else(
                || (run_time as f64 * threads) as Nanos,
                |cost| nanos_from_ms(cost.work_ms),
            );
            open.work = Some(open.work.unwrap_or(0) + work);
        }
        open.run_time = (end.outcome == Outcome::Completed).then_some(run_time);
    }
}
