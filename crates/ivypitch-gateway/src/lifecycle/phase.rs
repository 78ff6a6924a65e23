//! Lifecycle phases of the process.

use std::fmt;

/// A lifecycle phase; the phases follow each other in this order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// No connections are accepted yet.
    Starting,
    /// Clients are served, until SIGTERM or SIGINT.
    Serving,
    /// The drain period after the signal: new connections and requests are still served.
    Draining,
    /// Nothing new is accepted; open statements are answered.
    Finishing,
    /// All statements are answered, or the deadline has passed.
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
