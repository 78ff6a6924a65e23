//! How an attempt to run a statement on an engine ended.

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// The engine ran the statement and returned its complete result.
    Completed,
    /// The engine answered with an error.
    Error,
    /// The engine rejected the attempt because it is at capacity. It ran nothing.
    Overloaded,
    /// No result within the attempt's timeout.
    TimedOut,
    /// No connection could be opened. The engine ran nothing.
    ConnectFailed,
    /// The connection broke after the request had been written.
    Reset,
    /// The attempt was cancelled. It may have run.
    Cancelled,
    /// The statement was already over, or another gateway acts for it. The engine ran nothing.
    NeverDispatched,
    /// The attempt was withdrawn before its first byte left. It does not count as an attempt.
    NotSent,
}

impl Outcome {
    /// Whether the outcome itself proves that the attempt never ran.
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
