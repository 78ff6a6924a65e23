//! The state of the watch.

use ivypitch_types::{MILLISECOND, Nanos};

use crate::backoff::Backoff;

/// So many subscriptions in a row may fail at the same position for what is served there; then it is skipped: to miss one
/// event is better than to miss all that follow.
const MAX_FAILURES_AT_POSITION: u32 = 3;
/// A position may be announced so long before its events arrive.
const MISSING_EVENTS_TIMEOUT: Nanos = 250 * MILLISECOND;

/// A line of the watch, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchLine {
    /// The position of the service's last event.
    LastPosition(u64),
    /// The event at this position.
    Event(u64),
    /// A line that cannot be understood.
    Unusable,
}

/// What to do about a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchDecision {
    /// The event is the next one: act on it.
    Accept,
    /// Act on the event although those before it never arrived.
    AcceptOverGap,
    /// Nothing.
    Ignore,
    /// Close the connection and subscribe again behind the last event accepted.
    Resubscribe,
}

/// A watch on the endpoint list, over subscriptions that come and go.
pub struct EndpointWatch {
    last_position: u64,
    /// Where the subscription started.
    subscribed_at: u64,
    /// Subscriptions in a row that brought nothing usable behind that position.
    failures_at_position: u32,
    /// Since when a position is announced whose events have not arrived.
    ahead_since: Option<Nanos>,
    backoff: Backoff,
}

impl EndpointWatch {
    /// `last_position`: the last event that is known. `seed`: of the backoff's jitter, different at each gateway.
    pub fn new(last_position: u64, seed: u64) -> EndpointWatch {
        EndpointWatch {
            last_position,
            subscribed_at: last_position,
            failures_at_position: 0,
            ahead_since: None,
            backoff: Backoff::new(seed),
        }
    }

    /// The position of the last event accepted; to be subscribed behind.
    pub fn last_position(&self) -> u64 {
        self.last_position
    }

    /// A connection is open and subscribes behind the last event.
    pub fn on_subscribed(&mut self) {
        self.subscribed_at = self.last_position;
        self.ahead_since = None;
    }

    /// A line arrived, from the service or relayed by another gateway.
    pub fn on_line(&mut self, now: Nanos, line: WatchLine) -> WatchDecision {
        let is_stuck = self.failures_at_position >= MAX_FAILURES_AT_POSITION;
        match line {
            WatchLine::Event(position) if position <= self.last_position => self.ignore_served(),
            WatchLine::Event(position) if position == self.last_position + 1 => {
                self.accept(position);
                WatchDecision::Accept
            }
            WatchLine::Event(position) if is_stuck => {
                self.accept(position);
                WatchDecision::AcceptOverGap
            }
            WatchLine::LastPosition(position) if position <= self.last_position => {
                self.ahead_since = None;
                self.ignore_served()
            }
            WatchLine::LastPosition(_) if is_stuck => self.ignore_served(),
            // Its events may arrive behind it; if not, the watch is resubscribed.
            WatchLine::LastPosition(_) => {
                self.ahead_since.get_or_insert(now);
                WatchDecision::Ignore
            }
            WatchLine::Unusable if is_stuck => WatchDecision::Ignore,
            WatchLine::Event(_) | WatchLine::Unusable => {
                self.record_failure();
                WatchDecision::Resubscribe
            }
        }
    }

    /// When events that were announced are to have arrived; then [`EndpointWatch::on_events_missing`] is due.
    pub fn missing_events_deadline(&self) -> Option<Nanos> {
        self.ahead_since.map(|since| since + MISSING_EVENTS_TIMEOUT)
    }

    /// They have not: the watch is to be resubscribed.
    pub fn on_events_missing(&mut self) {
        self.record_failure();
    }

    /// How long to wait before the watch is resubscribed. Grows with each call until the watch is served.
    pub fn next_backoff(&mut self) -> Nanos {
        self.backoff.next()
    }

    fn ignore_served(&mut self) -> WatchDecision {
        self.backoff.reset();
        WatchDecision::Ignore
    }

    fn accept(&mut self, position: u64) {
        self.last_position = position;
        self.ahead_since = None;
        self.failures_at_position = 0;
        self.backoff.reset();
    }

    fn record_failure(&mut self) {
        let is_same_position = self.last_position == self.subscribed_at;
        self.failures_at_position = if is_same_position {
            self.failures_at_position + 1
        } else {
            1
        };
        self.subscribed_at = self.last_position;
    }
}
