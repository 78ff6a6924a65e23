//! Relay of endpoint events among members: members with a connection to the event source retain its
//! last events for members without one.
//!
//! Events are numbered, and only the next one in order is accepted, from the source or from a
//! member. A number stands for the same event wherever it comes from, so no source takes
//! precedence, and no gap is skipped.

use std::collections::{BTreeMap, VecDeque};

use ivypitch_types::{MemberId, Nanos, SECOND};

use crate::message::EndpointEvent;

/// An event source without activity for this long counts as silent, and events are fetched from
/// members.
const EVENT_SOURCE_TIMEOUT: Nanos = SECOND / 5;
/// Minimum time between two fetches; members are asked one at a time.
const MIN_FETCH_INTERVAL: Nanos = SECOND / 10;

/// Limits on the retained events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Maximum number of events.
    pub max_events: usize,
    /// Maximum total size in bytes.
    pub max_bytes: usize,
}

/// The last events that this member accepted, and the progress of the other members.
pub struct EventRelay {
    /// In ascending order of their numbers, without a gap. The oldest are dropped when a limit is
    /// exceeded.
    retained: VecDeque<EndpointEvent>,
    retained_bytes: usize,
    limits: RetentionLimits,
    last_number: u64,
    last_source_activity: Nanos,
    /// Number of the last event of each member.
    last_number_by_member: BTreeMap<MemberId, u64>,
    last_fetch_at: Nanos,
    fetch_count: usize,
    relayed_count: u64,
}

impl EventRelay {
    /// Creates a relay. `last_number` is the number of the last known event.
    pub fn new(last_number: u64, limits: RetentionLimits, now: Nanos) -> EventRelay {
        EventRelay {
            retained: VecDeque::new(),
            retained_bytes: 0,
            limits,
            last_number,
            last_source_activity: now,
            last_number_by_member: BTreeMap::new(),
            last_fetch_at: 0,
            fetch_count: 0,
            relayed_count: 0,
        }
    }

    /// Number of the last accepted event.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Number of events that were accepted from members.
    pub fn relayed_count(&self) -> u64 {
        self.relayed_count
    }

    /// Handles any input from the event source, which shows that it is alive.
    pub fn on_source_activity(&mut self, now: Nanos) {
        self.last_source_activity = now;
    }

    /// Whether the event source has shown no activity for the event source timeout.
    pub fn is_source_silent(&self, now: Nanos) -> bool {
        now >= self.last_source_activity + EVENT_SOURCE_TIMEOUT
    }

    /// Accepts an event from the source if it is the next one; ignores it otherwise.
    pub fn on_event(&mut self, event: EndpointEvent) {
        if event.number != self.last_number + 1 {
            return;
        }
        self.last_number = event.number;
        self.retained_bytes += event.line.len();
        self.retained.push_back(event);
        while self.retained.len() > self.limits.max_events
            || self.retained_bytes > self.limits.max_bytes
        {
            let dropped = self.retained.pop_front();
            self.retained_bytes -= dropped.map_or(0, |event| event.line.len());
        }
    }

    /// Accepts an event from a member if it is the next one. Returns whether it was accepted.
    pub fn on_relayed_event(&mut self, event: EndpointEvent) -> bool {
        let is_next = event.number == self.last_number + 1;
        if is_next {
            self.relayed_count += 1;
            self.on_event(event);
        }
        is_next
    }

    /// Handles the number of the last event that a member announces.
    pub fn on_member_progress(&mut self, member: MemberId, last_number: u64) {
        let last_known = self.last_number_by_member.entry(member).or_default();
        *last_known = (*last_known).max(last_number);
    }

    /// Removes the progress of a member that is no longer reachable.
    pub fn on_member_down(&mut self, member: MemberId) {
        self.last_number_by_member.remove(&member);
    }

    /// Returns the member to fetch events from now, if the source is silent and a member has later
    /// events.
    pub fn member_to_fetch_from(&mut self, now: Nanos) -> Option<MemberId> {
        if !self.is_source_silent(now) || now < self.last_fetch_at + MIN_FETCH_INTERVAL {
            return None;
        }
        let ahead: Vec<MemberId> = self
            .last_number_by_member
            .iter()
            .filter(|(_, last_number)| **last_number > self.last_number)
            .map(|(&member, _)| member)
            .collect();
        if ahead.is_empty() {
            return None;
        }
        self.last_fetch_at = now;
        self.fetch_count += 1;
        Some(ahead[self.fetch_count % ahead.len()])
    }

    /// The time at which [`EventRelay::member_to_fetch_from`] must be called next.
    pub fn next_fetch(&self) -> Nanos {
        let is_behind = self
            .last_number_by_member
            .values()
            .any(|&last_number| last_number > self.last_number);
        if is_behind {
            (self.last_source_activity + EVENT_SOURCE_TIMEOUT)
                .max(self.last_fetch_at + MIN_FETCH_INTERVAL)
        } else {
            Nanos::MAX
        }
    }

    /// The events after `number`. Empty if some of them are no longer retained.
    pub fn events_after(&self, number: u64) -> Vec<EndpointEvent> {
        let first = self.retained.front().map_or(u64::MAX, |event| event.number);
        if number + 1 < first {
            return Vec::new();
        }
        self.retained
            .iter()
            .filter(|event| event.number > number)
            .cloned()
            .collect()
    }
}
