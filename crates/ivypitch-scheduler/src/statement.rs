//! The scheduler's state of each open statement, and its state machine.

use crate::output::Output;
use crate::placement::Point;
use crate::scheduler::Scheduler;
use ivypitch_types::{EngineIndex, Nanos, StatementIndex};

/// State of an open statement.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) enum StatementState {
    /// The statement waits in its workload's queue; no attempt runs.
    #[default]
    Waiting,
    /// An attempt runs.
    Running,
    /// The attempt was cancelled; its outcome is not known yet.
    Cancelling,
    /// The client receives the result.
    Streaming,
    /// The statement has its final answer; an attempt may still run.
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

/// A running attempt.
pub(crate) struct Attempt {
    pub engine: EngineIndex,
    pub started_at: Nanos,
    /// Number of the attempt, from 0 for each statement.
    pub number: u32,
    /// Work charged to the engine's slow-start limit.
    pub charged_work_secs: f64,
    /// Time of the last progress report, or of the start if there is none; `Nanos::MAX` once the
    /// attempt counts as lost.
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
    /// Ordering key; 0: none.
    pub key: u64,
    pub table_group: u32,
    /// The paper's *Q*.
    pub query_point: Point,
    pub deadline: Nanos,
    /// Expected work of all threads.
    pub work_secs: f64,
    /// Usual work of the workload, estimated or measured, whichever is larger; charged to
    /// slow-start limits.
    pub charged_work_secs: f64,
    pub estimated_memory_mb: f64,
    pub has_spilled: bool,
    /// Priority weight of the workload, reduced if the tenant is over its quota.
    pub priority_weight: f64,
    pub state: StatementState,
    /// Number of attempts, including unsent ones.
    pub attempts: u32,
    /// Number of attempts that never left the gateway.
    pub unsent_attempts: u32,
    /// Number of errors returned by engines that were healthy.
    pub errors: u32,
    pub attempt: Option<Attempt>,
    pub possible_run: Option<PossibleRun>,
    /// Time from which the statement is answered if it still waits for an engine.
    pub wait_deadline: Nanos,
    /// Number of load reports requested for the statement.
    pub report_requests: usize,
    /// No client waits for the statement; only its running attempt goes on.
    pub is_abandoned: bool,
}

impl Statement {
    /// Number of attempts that have left the gateway or may still leave it.
    pub fn sent_attempts(&self) -> u32 {
        self.attempts - self.unsent_attempts
    }

    pub fn is_retry(&self) -> bool {
        self.sent_attempts() > 0
    }

    /// Returns the attempt with the given number if it is running.
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

    /// Changes a statement's state. No other function does.
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

    /// Drops a statement that has its final answer and no running attempt.
    pub(crate) fn forget_if_finished(&mut self, index: StatementIndex, output: &mut dyn Output) {
        let slot = &mut self.statements[index.0];
        let Some(statement) = slot.take_if(|statement| statement.is_finished()) else {
            return;
        };
        self.key_queues.remove(statement.key, index);
        self.open_statements -= 1;
        output.forget(index);
    }
}
