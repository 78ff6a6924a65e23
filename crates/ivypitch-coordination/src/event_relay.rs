//! Relay of endpoint events among members: those that hear the event source retain its last events for those that do
//! not.
//!
//! Events are numbered, and only the next one is ever taken, from the source or from a member. A number means the same
//! event wherever it comes from, so no source takes precedence and no gap is guessed over.

use std::collections::{BTreeMap, VecDeque};

use ivypitch_types::{MemberId, Nanos, SECOND};

use crate::message::EndpointEvent;

/// An event source that says nothing for so long counts as silent: members are asked.
const SOURCE_TIMEOUT: Nanos = SECOND / 5;
/// Members are asked one at a time, the next one after so long.
const FETCH_INTERVAL: Nanos = SECOND / 10;

/// How many events are retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Their number.
    pub max_events: usize,
    /// Their total size in bytes.
    pub max_bytes: usize,
}

/// The events that this member has taken, and how far the others are.
pub struct EventRelay {
    /// In the order of their numbers, without a gap. Dropped from the front by number and size.
    retained: VecDeque<EndpointEvent>,
    retained_bytes: usize,
    limits: RetentionLimits,
    last: u64,
    source_heard_at: Nanos,
    /// The last event of each member.
    last_by_member: BTreeMap<MemberId, u64>,
    fetched_at: Nanos,
    fetches: usize,
    relayed: u64,
}

impl EventRelay {
    /// `last`: the number of the last event that is known.
    pub fn new(last: u64, limits: RetentionLimits, now: Nanos) -> EventRelay {
        EventRelay {
            retained: VecDeque::new(),
            retained_bytes: 0,
            limits,
            last,
            source_heard_at: now,
            last_by_member: BTreeMap::new(),
            fetched_at: 0,
            fetches: 0,
            relayed: 0,
        }
    }

    /// The number of the last event taken.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// How many events came from members.
    pub fn relayed(&self) -> u64 {
        self.relayed
    }

    /// The event source said something, an event or not.
    pub fn on_source_heard(&mut self, now: Nanos) {
        self.source_heard_at = now;
    }

    /// Whether the event source has been quiet for too long.
    pub fn is_source_silent(&self, now: Nanos) -> bool {
        now >= self.source_heard_at + SOURCE_TIMEOUT
    }

    /// An event arrived from the source. Ignored unless it is the next one.
    pub fn on_event(&mut self, event: EndpointEvent) {
        if event.number != self.last + 1 {
            return;
        }
        self.last = event.number;
        self.retained_bytes += event.line.len();
        self.retained.push_back(event);
        while self.retained.len() > self.limits.max_events
            || self.retained_bytes > self.limits.max_bytes
        {
            let dropped = self.retained.pop_front();
            self.retained_bytes -= dropped.map_or(0, |event| event.line.len());
        }
    }

    /// An event arrived from a member. True: it was the next one and is taken.
    pub fn on_relayed_event(&mut self, event: EndpointEvent) -> bool {
        let is_next = event.number == self.last + 1;
        if is_next {
            self.relayed += 1;
            self.on_event(event);
        }
        is_next
    }

    /// A member says which event is its last.
    pub fn on_member_progress(&mut self, member: MemberId, last: u64) {
        let known = self.last_by_member.entry(member).or_default();
        *known = (*known).max(last);
    }

    /// A member is gone.
    pub fn on_member_down(&mut self, member: MemberId) {
        self.last_by_member.remove(&member);
    }

    /// The member to fetch events from now, if the source is silent and some member has more.
    pub fn member_to_fetch_from(&mut self, now: Nanos) -> Option<MemberId> {
        if !self.is_source_silent(now) || now < self.fetched_at + FETCH_INTERVAL {
            return None;
        }
        let ahead: Vec<MemberId> = self
            .last_by_member
            .iter()
            .filter(|(_, last)| **last > self.last)
            .map(|(&member, _)| member)
            .collect();
        if ahead.is_empty() {
            return None;
        }
        self.fetched_at = now;
        self.fetches += 1;
        Some(ahead[self.fetches % ahead.len()])
    }

    /// When [`EventRelay::member_to_fetch_from`] is due.
    pub fn next_fetch(&self) -> Nanos {
        let is_behind = self.last_by_member.values().any(|&last| last > self.last);
        if is_behind {
            (self.source_heard_at + SOURCE_TIMEOUT).max(self.fetched_at + FETCH_INTERVAL)
        } else {
            Nanos::MAX
        }
    }

    /// The events after a number. Empty if some of them are no longer retained.
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
