//! What a scheduler may do.

use ivypitch_types::{EngineIndex, Nanos, StatementIndex};

/// The actions of a [`Scheduler`](crate::Scheduler), carried out by its host.
///
/// An action takes effect at the time of the event that it answers.
pub trait Output {
    /// Starts an attempt that the engine is to end after `timeout`. Attempts of a statement are numbered from
    /// 0.
    fn send(&mut self, statement: StatementIndex, engine: EngineIndex, timeout: Nanos);
    /// Cancels a running attempt. Its end is still reported.
    fn cancel(&mut self, statement: StatementIndex, attempt: u32);
    /// Memory for the next attempt (0: the engine's own choice) and priority (0: lowest), also for one that
    /// runs.
    fn set_resources(&mut self, statement: StatementIndex, grant_mb: f64, priority: u8);
    /// Final answer: the statement had no effect and may be retried, after `retry_after` where that is above
    /// 0.
    fn reject(&mut self, statement: StatementIndex, retry_after: Nanos);
    /// Final answer that claims nothing about effects.
    fn abort(&mut self, statement: StatementIndex);
    /// The scheduler has dropped the statement and its attempts: the index may name another one.
    fn forget(&mut self, statement: StatementIndex);
    /// Calls [`Scheduler::on_timer`](crate::Scheduler::on_timer) with `timer` after that time.
    fn set_timer(&mut self, timer: u64, after: Nanos);
    /// Asks an engine for a load report.
    fn request_load_report(&mut self, engine: EngineIndex);
    /// Sends a message to every other gateway.
    fn broadcast(&mut self, message: &[u8]);
    /// Requests the endpoint list.
    fn watch_endpoints(&mut self);
    /// Writes a log line.
    fn log(&mut self, line: &str);
}
