//! The seven safety rules, one function each, in the rules' order. Every send, rejection and abort is checked
//! here first, and a send once more as its first byte leaves.

use crate::deployment::{DeduplicationScope, Idempotency, Workload};
use crate::engine::Engine;
use crate::scheduler::Scheduler;
use crate::statement::{PossibleRun, Statement, StatementState};
use ivypitch_types::{EngineIndex, Nanos, StatementIndex};

/// What is about to be done with a statement.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Action {
    /// An attempt is sent.
    Send(EngineIndex),
    /// The first byte of an attempt that was sent leaves the gateway.
    ConfirmSend(EngineIndex),
    Reject,
    Abort,
}

/// An attempt that is about to be sent or to leave the gateway.
pub(crate) struct ProposedAttempt<'a> {
    pub now: Nanos,
    pub index: StatementIndex,
    pub statement: &'a Statement,
    pub workload: &'a Workload,
    pub engine: &'a Engine,
    /// It was sent and its first byte is about to leave.
    pub is_leaving: bool,
}

impl ProposedAttempt<'_> {
    /// Attempts of the statement before this one.
    fn earlier_attempts(&self) -> u32 {
        self.statement.sent_attempts() - u32::from(self.is_leaving)
    }
}

impl Scheduler {
    /// Whether the rules allow the action now.
    pub(crate) fn is_permitted(&self, now: Nanos, index: StatementIndex, action: Action) -> bool {
        let Some(statement) = self.statement(index) else {
            return false;
        };
        if !rule_1_has_no_final_answer(statement) {
            return false;
        }
        let workload = &self.deployment.workloads[statement.workload];
        let (engine, is_leaving) = match action {
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
            is_leaving,
        };
        self.rule_1_one_attempt_in_time(&proposed)
            && self.rule_2_no_second_effect(&proposed)
            && rule_3_engine_takes_statements(&proposed)
            && self.rule_4_slow_start(&proposed)
            && self.rule_5_key_order(&proposed)
            && rule_6_placement(&proposed)
            && self.rule_7_retry_budget(&proposed)
    }

    /// Rule 1: one attempt at a time, no more than allowed, none after the client's time.
    #[inline(always)]
    fn rule_1_one_attempt_in_time(&self, proposed: &ProposedAttempt) -> bool {
        let statement = proposed.statement;
        let is_only_attempt = statement.attempt.is_some() == proposed.is_leaving;
        is_only_attempt
            && proposed.earlier_attempts() < self.deployment.max_attempts
            && proposed.now < statement.deadline
    }

    /// Rule 2: an attempt has no second effect, because none is possible or because the engine drops repeats.
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

    /// Whether engines still recognize a repeat that is sent now, the clock's resolution allowed for.
    pub(crate) fn is_in_deduplication_window(
        &self,
        now: Nanos,
        workload: &Workload,
        first: PossibleRun,
    ) -> bool {
        now + self.deployment.tick < first.started_at + workload.deduplication_window
    }

    /// Rule 4: an engine that warms up gets no more than its limit of work and calls.
    #[inline(always)]
    fn rule_4_slow_start(&self, proposed: &ProposedAttempt) -> bool {
        let slow_start_duration = self.deployment.slow_start_duration;
        !proposed
            .engine
            .is_warming_up(proposed.now, slow_start_duration)
            || self.is_within_slow_start_limit(proposed)
    }

    /// Rule 5: the statements of a key run one at a time and in order, and not while the key settles.
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

    /// Rule 7: retries stay within the contract's budget.
    #[inline(always)]
    fn rule_7_retry_budget(&self, proposed: &ProposedAttempt) -> bool {
        let is_limited = proposed.earlier_attempts() > 0 && self.deployment.retry_budget.is_some();
        // An attempt that is about to leave was counted when it was sent.
        let additional = usize::from(!proposed.is_leaving);
        !is_limited || self.is_within_retry_budget(proposed.now, additional)
    }

    /// Whether the retry budget covers so many additional retries.
    pub(crate) fn is_within_retry_budget(&self, now: Nanos, additional: usize) -> bool {
        self.retry_budget
            .allows(now, self.deployment.tick, additional)
    }
}

/// Rule 1: one final answer, and nothing after it.
#[inline(always)]
fn rule_1_has_no_final_answer(statement: &Statement) -> bool {
    !matches!(
        statement.state,
        StatementState::Answered | StatementState::Streaming
    )
}

/// Rule 2: a rejection claims that a retry by the client has no second effect.
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

/// Rule 3: an engine that drains or is gone gets nothing new.
#[inline(always)]
fn rule_3_engine_takes_statements(proposed: &ProposedAttempt) -> bool {
    proposed.engine.is_ready()
}

/// Rule 6: placement constraints hold, also when all allowed engines are down or overloaded.
#[inline(always)]
fn rule_6_placement(proposed: &ProposedAttempt) -> bool {
    proposed.workload.allows(&proposed.engine.endpoint)
}
