//! The phases of the process.

use std::fmt;

/// What the process is doing; the phases follow each other in this order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// Nothing is accepted yet.
    Starting,
    /// Until SIGTERM.
    Serving,
    /// SIGTERM came: what still comes in the drain period is accepted and served.
    Draining,
    /// Nothing new is accepted; what was accepted is answered.
    Finishing,
    /// All is answered, or its time is over.
    Stopped,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Draining => "draining",
            Phase::Finishing => "finishing",
            Phase::Stopped => "stopped",
        })
    }
}
