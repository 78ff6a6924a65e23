//! News of the roster among members: whoever hears the journal service keeps its last events for those that do not.
//! Events have numbers, and only the next one is ever taken, whoever tells it: the journal itself or a member. So no
//! source wins over another; a number says the same wherever it comes from, and nothing is guessed.

use std::collections::{BTreeMap, VecDeque};

use ivypitch_types::{Nanos, SECOND};

/// A journal service that says nothing for so long is taken for silent: members are asked.
pub const SILENT: Nanos = SECOND / 5;
/// One member is asked at a time; the next one after so long.
const ASK_AGAIN: Nanos = SECOND / 10;

pub struct News {
    /// Events told before, the newest last, as they were written. Emptied from the front by number and bytes.
    held: VecDeque<(u64, Vec<u8>)>,
    bytes: usize,
    most_events: usize,
    most_bytes: usize,
    last: u64,
    /// When the journal service itself said anything.
    heard_at: Nanos,
    /// The number that each member says it has.
    theirs: BTreeMap<u16, u64>,
    asked_at: Nanos,
    asks: usize,
    /// Events taken from members.
    pub by_members: u64,
}

impl News {
    pub fn new(last: u64, most_events: usize, most_bytes: usize, now: Nanos) -> News {
        News {
            held: VecDeque::new(),
            bytes: 0,
            most_events,
            most_bytes,
            last,
            heard_at: now,
            theirs: BTreeMap::new(),
            asked_at: 0,
            asks: 0,
            by_members: 0,
        }
    }

    pub fn last(&self) -> u64 {
        self.last
    }

    /// The journal service said something, events or not.
    pub fn heard(&mut self, now: Nanos) {
        self.heard_at = now;
    }

    pub fn is_silent(&self, now: Nanos) -> bool {
        now >= self.heard_at + SILENT
    }

    /// An event that was taken, whoever told it.
    pub fn taken(&mut self, number: u64, line: &[u8]) {
        if number != self.last + 1 {
            return;
        }
        self.last = number;
        self.bytes += line.len();
        self.held.push_back((number, line.to_vec()));
        while self.held.len() > self.most_events || self.bytes > self.most_bytes {
            self.bytes -= self.held.pop_front().map_or(0, |(_, line)| line.len());
        }
    }

    /// A member says how far it is.
    pub fn member_at(&mut self, place: u16, number: u64) {
        let held = self.theirs.entry(place).or_default();
        *held = (*held).max(number);
    }

    pub fn lost(&mut self, place: u16) {
        self.theirs.remove(&place);
    }

    /// Whom to ask for the events behind the last, if the journal is silent and somebody has more.
    pub fn to_ask(&mut self, now: Nanos) -> Option<u16> {
        if !self.is_silent(now) || now < self.asked_at + ASK_AGAIN {
            return None;
        }
        let ahead: Vec<u16> = self
            .theirs
            .iter()
            .filter(|(_, number)| **number > self.last)
            .map(|(&place, _)| place)
            .collect();
        if ahead.is_empty() {
            return None;
        }
        self.asked_at = now;
        self.asks += 1;
        Some(ahead[self.asks % ahead.len()])
    }

    pub fn next_ask(&self) -> Nanos {
        let is_behind = self.theirs.values().any(|&number| number > self.last);
        if is_behind {
            (self.heard_at + SILENT).max(self.asked_at + ASK_AGAIN)
        } else {
            Nanos::MAX
        }
    }

    /// The events behind that number, in order, as far as they are held without a gap.
    pub fn behind(&self, number: u64) -> Vec<(u64, Vec<u8>)> {
        let first = self.held.front().map_or(u64::MAX, |(first, _)| *first);
        if number + 1 < first {
            return Vec::new();
        }
        self.held
            .iter()
            .filter(|(held, _)| *held > number)
            .cloned()
            .collect()
    }
}
