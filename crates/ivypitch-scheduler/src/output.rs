//! The interface through which a scheduler acts on its host.

use ivypitch_types::{EngineIndex, Nanos, StatementIndex};

/// The actions of a [`Scheduler`](crate::Scheduler), performed by its host.
///
/// An action takes effect at the time of the event during which it is called.
pub trait Output {
    /// Starts an attempt that the engine must end after `timeout`. Attempts of a statement are
    /// numbered from 0.
    fn send(&mut self, statement: StatementIndex, engine: EngineIndex, timeout: Nanos);
    /// Cancels a running attempt. The host still reports its end.
    fn cancel(&mut self, statement: StatementIndex, attempt: u32);
    /// Sets the memory grant of the next attempt (0: chosen by the engine) and the priority (0:
    /// lowest) of the next or the running attempt.
    fn set_resources(&mut self, statement: StatementIndex, grant_mb: f64, priority: u8);
    /// Gives the final answer that the statement had no effect and may be retried by the client,
    /// after `retry_after` if that is above 0.
    fn reject(&mut self, statement: StatementIndex, retry_after: Nanos);
    /// Gives a final answer that claims nothing about the statement's effects.
    fn abort(&mut self, statement: StatementIndex);
    /// Reports that the scheduler has dropped the statement, whose index may be reused.
    fn forget(&mut self, statement: StatementIndex);
    /// Calls [`Scheduler::on_timer`](crate::Scheduler::on_timer) with `timer` after `delay`.
    fn set_timer(&mut self, timer: u64, delay: Nanos);
    /// Requests a load report from an engine.
    fn request_load_report(&mut self, engine: EngineIndex);
    /// Sends a message to every other gateway.
    fn broadcast(&mut self, message: &[u8]);
    /// Requests the endpoint list.
    fn watch_endpoints(&mut self);
    /// Writes a log line.
    fn log(&mut self, line: &str);
}
