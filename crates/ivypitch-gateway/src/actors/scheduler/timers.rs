//! The timers of the scheduler's actor.

use std::collections::BTreeSet;

use ivypitch_types::{Nanos, StatementIndex};

/// What happens as a timer fires. Timers of the same moment fire in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) enum TimerEvent {
    /// The scheduler asked for it, under a token of its own.
    Scheduler { token: u64 },
    /// The timeout of an attempt ends.
    AttemptTimeout {
        statement: StatementIndex,
        serial: u64,
        attempt: u32,
    },
    /// The gateway shuts down soon: other gateways go on with the statements that are still open.
    HandOff,
    /// The timeout of a statement has ended, and the scheduler has had its time to answer it.
    StatementDeadline {
        statement: StatementIndex,
        serial: u64,
    },
}

/// Timers that have been set and neither fired nor been cancelled.
#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeSet<(Nanos, TimerEvent)>,
}

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, at: Nanos, event: TimerEvent) {
        self.pending.insert((at, event));
    }

    /// Cancels a timer, which had been set for `at`. Does nothing if it has fired.
    pub(super) fn cancel(&mut self, at: Nanos, event: TimerEvent) {
        self.pending.remove(&(at, event));
    }

    /// When the next timer fires.
    pub(super) fn next(&self) -> Option<Nanos> {
        self.pending.first().map(|(at, _)| *at)
    }

    /// Takes the next timer that is to fire by now.
    pub(super) fn pop_due(&mut self, now: Nanos) -> Option<TimerEvent> {
        if self.next()? > now {
            return None;
        }
        self.pending.pop_first().map(|(_, event)| event)
    }
}
