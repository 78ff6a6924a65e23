//! The outcome of an attempt to run a statement on an engine.

/// The outcome of an attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// The engine ran the statement and returned its complete result.
    Completed,
    /// The engine returned an error.
    Error,
    /// The engine rejected the attempt because it is at capacity. The statement did not run.
    Overloaded,
    /// No result arrived within the attempt's timeout.
    TimedOut,
    /// No connection could be opened. The statement did not run.
    ConnectFailed,
    /// The connection broke after the request had been written.
    Reset,
    /// The attempt was cancelled. The statement may have run.
    Cancelled,
    /// The statement had already ended, or another gateway owns it. The statement did not run.
    NeverDispatched,
    /// The attempt was withdrawn before its first byte was sent. It does not count as an attempt.
    NotSent,
}

impl Outcome {
    /// Whether the outcome alone proves that the engine never ran the statement.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded
                | Outcome::ConnectFailed
                | Outcome::NeverDispatched
                | Outcome::NotSent
        )
    }
}
