//! The timers of the scheduler's actor.

use std::collections::BTreeSet;

use ivypitch_types::{Nanos, StatementIndex};

/// The event of a timer. Timers set for the same time fire in the order of these variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) enum TimerEvent {
    /// A timer of the scheduler, identified by the scheduler's token.
    Scheduler { token: u64 },
    /// An attempt times out.
    AttemptTimeout {
        statement: StatementIndex,
        serial: u64,
        attempt: u32,
    },
    /// The end of the shutdown is near: open statements are handed off to other gateways.
    Handoff,
    /// A statement's deadline and the grace time for the scheduler's answer have passed.
    StatementDeadline {
        statement: StatementIndex,
        serial: u64,
    },
}

/// Timers that are set and have neither fired nor been cancelled.
#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeSet<(Nanos, TimerEvent)>,
}

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, at: Nanos, event: TimerEvent) {
        self.pending.insert((at, event));
    }

    /// Cancels a timer that was set for `at`. Does nothing if the timer has fired.
    pub(super) fn cancel(&mut self, at: Nanos, event: TimerEvent) {
        self.pending.remove(&(at, event));
    }

    /// Returns when the next timer fires.
    pub(super) fn next(&self) -> Option<Nanos> {
        self.pending.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer that has expired by `now`.
    pub(super) fn pop_expired(&mut self, now: Nanos) -> Option<TimerEvent> {
        if self.next()? > now {
            return None;
        }
        self.pending.pop_first().map(|(_, event)| event)
    }
}
