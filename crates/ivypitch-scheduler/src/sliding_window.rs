//! Events within a sliding time window.

use ivypitch_types::Nanos;
use std::collections::VecDeque;

struct Event {
    at: Nanos,
    cost: f64,
}

/// Events with their cost, in order of time. The owner evicts the events that have left its window.
#[derive(Default)]
pub(crate) struct SlidingWindow(VecDeque<Event>);

impl SlidingWindow {
    /// Adds an event. `at` must not be before the time of the last event.
    pub fn push(&mut self, at: Nanos, cost: f64) {
        self.0.push_back(Event { at, cost });
    }

    /// Drops the events before `time`.
    pub fn evict_before(&mut self, time: Nanos) {
        while self.0.pop_front_if(|event| event.at < time).is_some() {}
    }

    /// Removes one event with the given time and cost. Returns `false` if there is none.
    pub fn remove(&mut self, at: Nanos, cost: f64) -> bool {
        let position = self
            .0
            .iter()
            .position(|event| event.at == at && event.cost == cost);
        position.and_then(|index| self.0.remove(index)).is_some()
    }

    /// Returns the number of events at `time` or later.
    pub fn count_since(&self, time: Nanos) -> usize {
        self.0.len() - self.0.partition_point(|event| event.at < time)
    }

    /// Returns the total cost of the events at `time` or later.
    pub fn cost_since(&self, time: Nanos) -> f64 {
        self.0
            .iter()
            .filter(|event| event.at >= time)
            .map(|event| event.cost)
            .sum()
    }
}
