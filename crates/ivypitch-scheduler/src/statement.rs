//! What a scheduler keeps for each open statement, and its state machine.

use crate::output::Output;
use crate::placement::Point;
use crate::scheduler::Scheduler;
use ivypitch_types::{EngineIndex, Nanos, StatementIndex};

/// Where a statement stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) enum StatementState {
    /// It waits in its workload's queue; no attempt runs.
    #[default]
    Waiting,
    /// An attempt runs.
    Running,
    /// Its attempt was cancelled; how it ended is not known yet.
    Cancelling,
    /// The client receives the result.
    Streaming,
    /// It has its final answer; an attempt may still run.
    Answered,
}

impl StatementState {
    fn can_become(self, to: StatementState) -> bool {
        use StatementState::{Answered, Cancelling, Running, Streaming, Waiting};
        match (self, to) {
            (Waiting, Running) => true,
            (Running, Cancelling) => true,
            (Running | Cancelling | Streaming, Waiting | Streaming) => true,
            (_, Answered) => true,
            (Waiting, Waiting | Cancelling | Streaming)
            | (Running | Cancelling | Streaming | Answered, Running)
            | (Cancelling | Streaming | Answered, Cancelling)
            | (Answered, Waiting | Streaming) => false,
        }
    }
}

/// An attempt that runs on an engine.
pub(crate) struct Attempt {
    pub engine: EngineIndex,
    pub started_at: Nanos,
    /// From 0 for each statement.
    pub number: u32,
    /// Work charged to the engine's slow-start limit.
    pub charged_work_secs: f64,
    /// The last progress report; `Nanos::MAX` once the attempt is taken for lost.
    pub last_progress_at: Nanos,
}

/// The first attempt of a statement that may have had an effect.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub engine: EngineIndex,
    pub started_at: Nanos,
}

/// An open statement.
#[derive(Default)]
pub(crate) struct Statement {
    pub workload: usize,
    /// 0: none.
    pub key: u64,
    pub table_group: u32,
    /// The paper's query point Q.
    pub point: Point,
    pub deadline: Nanos,
    /// Expected work of all threads.
    pub work_secs: f64,
    /// Usual work of its workload, charged to slow-start limits.
    pub charged_work_secs: f64,
    pub estimated_memory_mb: f64,
    pub has_spilled: bool,
    /// Its workload's, less where its tenant is over quota.
    pub priority_weight: f64,
    pub state: StatementState,
    pub attempts: u32,
    /// Attempts that never left the gateway.
    pub unsent_attempts: u32,
    /// Errors by engines that were healthy.
    pub errors: u32,
    pub attempt: Option<Attempt>,
    pub possible_run: Option<PossibleRun>,
    /// It is answered when it still waits then.
    pub wait_until: Nanos,
    /// Load reports requested for it.
    pub report_requests: usize,
}

impl Statement {
    /// Attempts that left the gateway or run.
    pub fn sent_attempts(&self) -> u32 {
        self.attempts - self.unsent_attempts
    }

    pub fn is_retry(&self) -> bool {
        self.sent_attempts() > 0
    }

    /// The attempt of that number, if it runs.
    pub fn running_attempt(&self, number: u32) -> Option<&Attempt> {
        self.attempt
            .as_ref()
            .filter(|attempt| attempt.number == number)
    }

    fn is_finished(&self) -> bool {
        self.state == StatementState::Answered && self.attempt.is_none()
    }
}

impl Scheduler {
    pub(crate) fn statement(&self, index: StatementIndex) -> Option<&Statement> {
        self.statements.get(index.0).and_then(Option::as_ref)
    }

    pub(crate) fn statement_mut(&mut self, index: StatementIndex) -> Option<&mut Statement> {
        self.statements.get_mut(index.0).and_then(Option::as_mut)
    }

    /// The one place where a statement's state changes.
    pub(crate) fn transition(&mut self, index: StatementIndex, to: StatementState) {
        let Some(statement) = &mut self.statements[index.0] else {
            return;
        };
        let from = statement.state;
        debug_assert!(from.can_become(to), "{index:?}: {from:?} to {to:?}");
        if from == StatementState::Waiting && to != StatementState::Waiting {
            let queue = &mut self.workloads[statement.workload].queue;
            queue.retain(|&queued| queued != index);
        }
        statement.state = to;
    }

    /// Drops a statement that has its answer and no attempt that runs.
    pub(crate) fn forget_if_finished(&mut self, index: StatementIndex, out: &mut dyn Output) {
        let slot = &mut self.statements[index.0];
        let Some(statement) = slot.take_if(|statement| statement.is_finished()) else {
            return;
        };
        self.key_queues.remove(statement.key, index);
        self.open_statements -= 1;
        out.forget(index);
    }
}
