//! Events within a sliding window of time.

use ivypitch_types::Nanos;
use std::collections::VecDeque;

struct Event {
    at: Nanos,
    cost: f64,
}

/// Events with their cost, in the order of time. The owner evicts those that leave its window.
#[derive(Default)]
pub(crate) struct SlidingWindow(VecDeque<Event>);

impl SlidingWindow {
    /// Adds an event. Times never go backwards.
    pub fn push(&mut self, at: Nanos, cost: f64) {
        self.0.push_back(Event { at, cost });
    }

    /// Drops the events before that time.
    pub fn evict_before(&mut self, time: Nanos) {
        while self.0.pop_front_if(|event| event.at < time).is_some() {}
    }

    /// Removes one event with that time and cost; `false`: there is none.
    pub fn remove(&mut self, at: Nanos, cost: f64) -> bool {
        let position = self
            .0
            .iter()
            .position(|event| event.at == at && event.cost == cost);
        position.and_then(|i| self.0.remove(i)).is_some()
    }

    /// Number of events at that time or later.
    pub fn count_since(&self, time: Nanos) -> usize {
        self.0.len() - self.0.partition_point(|event| event.at < time)
    }

    /// Sum of the costs at that time or later.
    pub fn cost_since(&self, time: Nanos) -> f64 {
        self.0
            .iter()
            .filter(|event| event.at >= time)
            .map(|event| event.cost)
            .sum()
    }
}
