//! Counters of connections to engines since the process started, by purpose and outcome.

use std::cell::Cell;

/// The purpose of a connection to an engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConnectPurpose {
    /// Start an attempt.
    Start,
    /// Poll for a result that did not arrive completely on an earlier connection.
    Poll,
    /// Cancel an attempt.
    Cancel,
    /// Change the priority of an attempt.
    Priority,
}

/// The counters, which the gateway logs when it stops.
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
    unconfirmed_pages: Cell<u64>,
}

impl ConnectionCounters {
    /// Logs all counters.
    pub fn log_totals(&self) {
        log::info!(
            starts = self.starts.get(), polls = self.polls.get(), cancels = self.cancels.get(),
            priorities = self.priorities.get(), refused = self.refused.get(),
            timed_out = self.timed_out.get(), reused = self.reused.get(), discarded = self.discarded.get(),
            unconfirmed_pages = self.unconfirmed_pages.get();
            "engine connection totals"
        );
    }

    /// Counts a connection that is about to be opened.
    pub fn record_connect(&self, purpose: ConnectPurpose) {
        increment(match purpose {
            ConnectPurpose::Start => &self.starts,
            ConnectPurpose::Poll => &self.polls,
            ConnectPurpose::Cancel => &self.cancels,
            ConnectPurpose::Priority => &self.priorities,
        });
    }

    /// Counts a connection that the engine's host refused because no process listens on the port.
    pub fn record_refused(&self) {
        increment(&self.refused);
    }

    /// Counts a connection that was not established in time, or failed for any reason but a
    /// refusal.
    pub fn record_timed_out(&self) {
        increment(&self.timed_out);
    }

    /// Counts an idle connection that is reused for another attempt.
    pub fn record_reused(&self) {
        increment(&self.reused);
    }

    /// Counts an idle connection that was closed or held stray bytes when it was to be reused.
    pub fn record_discarded(&self) {
        increment(&self.discarded);
    }

    /// Counts a page that is fetched again because nothing confirmed its length.
    pub fn record_unconfirmed_page(&self) {
        increment(&self.unconfirmed_pages);
    }
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
