//! The seven safety rules, in functions named by the rule's number. Every send, rejection and abort
//! is checked here first, and a send once more just before its first byte is sent.

use crate::deployment::{DeduplicationScope, Idempotency, Workload};
use crate::engine::Engine;
use crate::scheduler::Scheduler;
use crate::statement::{PossibleRun, Statement, StatementState};
use ivypitch_types::{EngineIndex, Nanos, StatementIndex};

/// An action on a statement that the safety rules must permit.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Action {
    /// Send an attempt.
    Send(EngineIndex),
    /// Send the first byte of an attempt that was handed to the host by `Send`.
    ConfirmSend(EngineIndex),
    Reject,
    Abort,
}

/// An attempt whose send or first byte is checked.
pub(crate) struct ProposedAttempt<'a> {
    pub now: Nanos,
    pub index: StatementIndex,
    pub statement: &'a Statement,
    pub workload: &'a Workload,
    pub engine: &'a Engine,
    /// Whether the attempt is already counted and only its first byte is checked.
    pub is_confirmation: bool,
}

impl ProposedAttempt<'_> {
    /// Number of the statement's attempts before this one.
    fn earlier_attempts(&self) -> u32 {
        self.statement.sent_attempts() - u32::from(self.is_confirmation)
    }
}

impl Scheduler {
    /// Whether the safety rules permit the action now.
    pub(crate) fn is_permitted(&self, now: Nanos, index: StatementIndex, action: Action) -> bool {
        let Some(statement) = self.statement(index) else {
            return false;
        };
        if !rule_1_has_no_final_answer(statement) {
            return false;
        }
        let workload = &self.deployment.workloads[statement.workload];
        let (engine, is_confirmation) = match action {
            Action::Abort => return true,
            Action::Reject => return rule_2_rejection_claims_no_effect(statement, workload),
            Action::Send(engine) => (engine, false),
            Action::ConfirmSend(engine) => (engine, true),
        };
        let proposed = ProposedAttempt {
            now,
            index,
            statement,
            workload,
            engine: &self.engines[engine.0],
            is_confirmation,
        };
        self.rule_1_one_attempt_in_time(&proposed)
            && self.rule_2_no_second_effect(&proposed)
            && rule_3_engine_is_ready(&proposed)
            && self.rule_4_slow_start(&proposed)
            && self.rule_5_key_order(&proposed)
            && rule_6_placement(&proposed)
            && self.rule_7_retry_budget(&proposed)
    }

    /// Rule 1: one attempt at a time, at most `max_attempts`, none after the client's deadline or
    /// without a client that waits.
    #[inline(always)]
    fn rule_1_one_attempt_in_time(&self, proposed: &ProposedAttempt) -> bool {
        let statement = proposed.statement;
        let is_only_attempt = statement.attempt.is_some() == proposed.is_confirmation;
        is_only_attempt
            && !statement.is_abandoned
            && proposed.earlier_attempts() < self.deployment.max_attempts
            && proposed.now < statement.deadline
    }

    /// Rule 2: an attempt has no second effect, because none is possible or because the engine
    /// discards repeats.
    #[inline(always)]
    fn rule_2_no_second_effect(&self, proposed: &ProposedAttempt) -> bool {
        let Some(first) = proposed.statement.possible_run else {
            return true;
        };
        match proposed.workload.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => {
                self.is_in_deduplication_scope(proposed, first)
                    && self.is_in_deduplication_window(proposed.now, proposed.workload, first)
            }
            Idempotency::NonIdempotent => false,
        }
    }

    fn is_in_deduplication_scope(&self, proposed: &ProposedAttempt, first: PossibleRun) -> bool {
        let first = &self.engines[first.engine.0].endpoint;
        let endpoint = &proposed.engine.endpoint;
        match proposed.workload.deduplication_scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.zone == endpoint.zone,
            DeduplicationScope::Cell => first.cell == endpoint.cell,
        }
    }

    /// Whether engines still recognize a repeat that is sent now, with a margin for the clock's
    /// resolution.
    pub(crate) fn is_in_deduplication_window(
        &self,
        now: Nanos,
        workload: &Workload,
        first: PossibleRun,
    ) -> bool {
        now + self.deployment.tick < first.started_at + workload.deduplication_window
    }

    /// Rule 4: an engine that warms up gets no more work and attempts than its slow-start limit.
    #[inline(always)]
    fn rule_4_slow_start(&self, proposed: &ProposedAttempt) -> bool {
        let slow_start_duration = self.deployment.slow_start_duration;
        !proposed
            .engine
            .is_warming_up(proposed.now, slow_start_duration)
            || self.is_within_slow_start_limit(proposed)
    }

    /// Rule 5: the statements of a key run one at a time, in order, and not while the key settles.
    #[inline(always)]
    fn rule_5_key_order(&self, proposed: &ProposedAttempt) -> bool {
        let key = proposed.statement.key;
        if key == 0 {
            return true;
        }
        let Some(queue) = self.key_queues.get(key) else {
            return true;
        };
        let is_first_attempt = proposed.earlier_attempts() == 0;
        queue.is_first(proposed.index) && !(is_first_attempt && queue.is_settling(proposed.now))
    }

    /// Rule 7: retries stay within the contract's retry budget.
    #[inline(always)]
    fn rule_7_retry_budget(&self, proposed: &ProposedAttempt) -> bool {
        let is_limited = proposed.earlier_attempts() > 0 && self.deployment.retry_budget.is_some();
        // A confirmed attempt was counted when it was sent.
        let additional = usize::from(!proposed.is_confirmation);
        !is_limited || self.is_within_retry_budget(proposed.now, additional)
    }

    /// Whether the retry budget covers `additional` retries.
    pub(crate) fn is_within_retry_budget(&self, now: Nanos, additional: usize) -> bool {
        self.retry_budget
            .allows(now, self.deployment.tick, additional)
    }
}

/// Rule 1: a statement gets one final answer, and no action after it.
#[inline(always)]
fn rule_1_has_no_final_answer(statement: &Statement) -> bool {
    !matches!(
        statement.state,
        StatementState::Answered | StatementState::Streaming
    )
}

/// Rule 2: a rejection is allowed only if a retry by the client has no second effect, since that is
/// what a rejection claims.
#[inline(always)]
fn rule_2_rejection_claims_no_effect(statement: &Statement, workload: &Workload) -> bool {
    let has_not_run = statement.attempt.is_none() && statement.possible_run.is_none();
    match workload.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotentWithKey => {
            has_not_run || workload.deduplication_scope == DeduplicationScope::All
        }
        Idempotency::NonIdempotent => has_not_run,
    }
}

/// Rule 3: a draining or removed engine gets no new attempts.
#[inline(always)]
fn rule_3_engine_is_ready(proposed: &ProposedAttempt) -> bool {
    proposed.engine.is_ready()
}

/// Rule 6: placement constraints hold even if all allowed engines are down or overloaded.
#[inline(always)]
fn rule_6_placement(proposed: &ProposedAttempt) -> bool {
    proposed.workload.allows(&proposed.engine.endpoint)
}
