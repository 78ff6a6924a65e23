//! Counts of the connections to engines since the process started, by purpose and outcome.

use std::cell::Cell;
use std::fmt;

/// Why a connection to an engine is opened.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConnectPurpose {
    /// To start an attempt.
    Start,
    /// To poll for a result that did not arrive completely on an earlier connection.
    Poll,
    /// To cancel an attempt.
    Cancel,
    /// To change an attempt's priority.
    Priority,
}

/// Counters for the log line that the gateway writes as it stops.
#[derive(Debug, Default)]
pub struct ConnectionCounters {
    starts: Cell<u64>,
    polls: Cell<u64>,
    cancels: Cell<u64>,
    priorities: Cell<u64>,
    refused: Cell<u64>,
    timed_out: Cell<u64>,
    reused: Cell<u64>,
    discarded: Cell<u64>,
}

impl ConnectionCounters {
    /// Counts a connection that is about to be opened.
    pub fn record_connect(&self, purpose: ConnectPurpose) {
        increment(match purpose {
            ConnectPurpose::Start => &self.starts,
            ConnectPurpose::Poll => &self.polls,
            ConnectPurpose::Cancel => &self.cancels,
            ConnectPurpose::Priority => &self.priorities,
        });
    }

    /// Counts a connection that the engine's host refused: no process listens there.
    pub fn record_refused(&self) {
        increment(&self.refused);
    }

    /// Counts a connection that was not established in time, or failed for another reason than a refusal.
    pub fn record_timed_out(&self) {
        increment(&self.timed_out);
    }

    /// Counts an idle connection that starts another attempt.
    pub fn record_reused(&self) {
        increment(&self.reused);
    }

    /// Counts an idle connection that was found closed or not in a clean state as it was about to be reused.
    pub fn record_discarded(&self) {
        increment(&self.discarded);
    }
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl fmt::Display for ConnectionCounters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{} starts, {} polls, {} cancels, {} priorities, {} refused, {} timed out, {} reused, {} discarded",
            self.starts.get(),
            self.polls.get(),
            self.cancels.get(),
            self.priorities.get(),
            self.refused.get(),
            self.timed_out.get(),
            self.reused.get(),
            self.discarded.get()
        )
    }
}
