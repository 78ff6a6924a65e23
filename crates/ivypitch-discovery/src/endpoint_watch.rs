//! State machine of the watch on the endpoint list.

use ivypitch_types::{MILLISECOND, Nanos, SECOND};

use crate::backoff::Backoff;

/// Consecutive subscriptions that may fail at the same position; after that the position is
/// skipped, because missing one event is better than missing all later ones.
const MAX_FAILURES_AT_POSITION: u32 = 3;
/// Maximum time between the announcement of a position and the arrival of its events.
const MISSING_EVENTS_TIMEOUT: Nanos = 250 * MILLISECOND;

/// Time within which a line must arrive completely once its first bytes have.
const MIN_LINE_TIMEOUT: Nanos = 7 * SECOND;
/// Limit on that time, which doubles with each line that takes longer.
const MAX_LINE_TIMEOUT: Nanos = 600 * SECOND;

/// A line received on the watch, reduced to its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchLine {
    /// The position of the service's last event.
    LastPosition(u64),
    /// The event at this position.
    Event(u64),
    /// A malformed line.
    Unusable,
}

/// How to handle a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchDecision {
    /// Apply the event: it is the next one.
    Accept,
    /// Apply the event although events before it are missing.
    AcceptOverGap,
    /// Do nothing.
    Ignore,
    /// Close the connection and resubscribe after the last accepted event.
    Resubscribe,
}

/// A watch on the endpoint list that spans consecutive subscriptions.
pub struct EndpointWatch {
    last_position: u64,
    /// The position after which the current subscription started.
    subscription_position: u64,
    /// Consecutive subscriptions without a usable event after that position.
    failures_at_position: u32,
    /// When a position was announced whose events have not arrived yet.
    events_missing_since: Option<Nanos>,
    line_timeout: Nanos,
    backoff: Backoff,
}

impl EndpointWatch {
    /// `last_position` is the position of the last known event; `seed` seeds the backoff's jitter
    /// and must differ between gateways.
    pub fn new(last_position: u64, seed: u64) -> EndpointWatch {
        EndpointWatch {
            last_position,
            subscription_position: last_position,
            failures_at_position: 0,
            events_missing_since: None,
            line_timeout: MIN_LINE_TIMEOUT,
            backoff: Backoff::new(seed),
        }
    }

    /// The position of the last accepted event; a subscription starts after it.
    pub fn last_position(&self) -> u64 {
        self.last_position
    }

    /// Records a new subscription that starts after the last accepted event.
    pub fn on_subscribed(&mut self) {
        self.subscription_position = self.last_position;
        self.events_missing_since = None;
    }

    /// Decides how to handle a line from the service, or one relayed by another gateway.
    pub fn on_line(&mut self, now: Nanos, line: WatchLine) -> WatchDecision {
        let can_skip_position = self.failures_at_position >= MAX_FAILURES_AT_POSITION;
        self.line_timeout = MIN_LINE_TIMEOUT;
        match line {
            WatchLine::Event(position) if position <= self.last_position => {
                self.ignore_valid_line()
            }
            WatchLine::Event(position) if position == self.last_position + 1 => {
                self.accept(position);
                WatchDecision::Accept
            }
            WatchLine::Event(position) if can_skip_position => {
                self.accept(position);
                WatchDecision::AcceptOverGap
            }
            WatchLine::LastPosition(position) if position <= self.last_position => {
                self.events_missing_since = None;
                self.ignore_valid_line()
            }
            WatchLine::LastPosition(_) if can_skip_position => self.ignore_valid_line(),
            // The events may follow the announcement; if they do not, the watch is resubscribed.
            WatchLine::LastPosition(_) => {
                self.events_missing_since.get_or_insert(now);
                WatchDecision::Ignore
            }
            WatchLine::Unusable if can_skip_position => WatchDecision::Ignore,
            WatchLine::Event(_) | WatchLine::Unusable => {
                self.record_failure();
                WatchDecision::Resubscribe
            }
        }
    }

    /// Deadline for announced events; if they have not arrived by then,
    /// [`EndpointWatch::on_events_missing`] is to be called.
    pub fn missing_events_deadline(&self) -> Option<Nanos> {
        self.events_missing_since
            .map(|since| since + MISSING_EVENTS_TIMEOUT)
    }

    /// Records that announced events did not arrive in time; the caller resubscribes.
    pub fn on_events_missing(&mut self) {
        self.record_failure();
    }

    /// How long a line may take from its first bytes to its end, as long as bytes arrive.
    pub fn line_timeout(&self) -> Nanos {
        self.line_timeout
    }

    /// Records that a line took longer than [`EndpointWatch::line_timeout`]; the caller
    /// resubscribes. The next line gets more time, so that a slow service is heard in the end.
    pub fn on_line_timed_out(&mut self) {
        self.line_timeout = (2 * self.line_timeout).min(MAX_LINE_TIMEOUT);
    }

    /// Returns the time to wait before resubscribing. It grows with each call until a valid line
    /// arrives.
    pub fn next_backoff(&mut self) -> Nanos {
        self.backoff.next()
    }

    fn ignore_valid_line(&mut self) -> WatchDecision {
        self.backoff.reset();
        WatchDecision::Ignore
    }

    fn accept(&mut self, position: u64) {
        self.last_position = position;
        self.events_missing_since = None;
        self.failures_at_position = 0;
        self.backoff.reset();
    }

    fn record_failure(&mut self) {
        let is_same_position = self.last_position == self.subscription_position;
        self.failures_at_position = if is_same_position {
            self.failures_at_position + 1
        } else {
            1
        };
        self.subscription_position = self.last_position;
    }
}
