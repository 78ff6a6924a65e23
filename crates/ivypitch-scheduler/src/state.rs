//! What the module remembers, as tables with their bounds. Nothing here decides, and no figure is tuned here.

use crate::interface::{EngineEndpoint, EngineKind};
use crate::units::place_of;
use ivypitch_types::{EngineIndex, Nanos, StatementIndex, secs_from_nanos, unit_hash};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A gateway's place at an engine (every gateway has another), then a hash of the engine's id, then its index.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Key(u32, u32, pub EngineIndex);

impl Key {
    pub fn new(id: u64, me: usize, gateways: usize, ix: EngineIndex) -> Self {
        Key(
            place_of(id, me, gateways) as u32,
            (unit_hash(&id) * f64::from(u32::MAX)) as u32,
            ix,
        )
    }

    pub fn place(self) -> u32 {
        self.0
    }
}

/// One entry an engine that is ready and may run the workload's statements; it leaves as it drains or goes. A change
/// costs the logarithm of their number.
#[derive(Default)]
pub struct OpenEngines {
    keys: BTreeSet<Key>,
    /// How many there are of each kind.
    kinds: Vec<u32>,
}

impl OpenEngines {
    pub fn enter(&mut self, key: Key, kind: u16) {
        let kind = usize::from(kind);
        self.kinds.resize(self.kinds.len().max(kind + 1), 0);
        self.kinds[kind] += u32::from(self.keys.insert(key));
    }

    pub fn leave(&mut self, key: Key, kind: u16) {
        if self.keys.remove(&key) {
            self.kinds[usize::from(kind)] -= 1;
        }
    }

    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// By place, the nearest first.
    pub fn iter(&self) -> impl Iterator<Item = EngineIndex> {
        self.keys.iter().map(|key| key.2)
    }

    /// The cores of all; a kind that is not told has one.
    pub fn cores(&self, kinds: &[EngineKind]) -> f64 {
        let cores = |kind: usize| kinds.get(kind).map_or(1.0, |k| k.cores).max(1.0);
        self.kinds
            .iter()
            .zip(0..)
            .map(|(&count, kind)| f64::from(count) * cores(kind))
            .sum()
    }
}

/// What happened when, with what it cost, in the order of time; what leaves the window is dropped by its owner.
#[derive(Default)]
pub struct Window(VecDeque<(Nanos, f64)>);

impl Window {
    pub fn push(&mut self, now: Nanos, cost: f64) {
        self.0.push_back((now, cost));
    }

    pub fn drop_before(&mut self, time: Nanos) {
        while self.0.pop_front_if(|(at, _)| *at < time).is_some() {}
    }

    /// Takes out one of that time and cost: whether there was one.
    pub fn take(&mut self, at: Nanos, cost: f64) -> bool {
        let found = self.0.iter().position(|&entry| entry == (at, cost));
        found.and_then(|i| self.0.remove(i)).is_some()
    }

    /// How many there are from then on.
    pub fn count_since(&self, time: Nanos) -> usize {
        self.0.len() - self.0.partition_point(|&(at, _)| at < time)
    }

    /// What those from then on cost.
    pub fn cost_since(&self, time: Nanos) -> f64 {
        self.0
            .iter()
            .filter(|(at, _)| *at >= time)
            .map(|(_, cost)| cost)
            .sum()
    }
}

/// Loads that hold a table group on an engine, by [`crate::units::load_tag`]: how many, and until when at the
/// latest; one leaves at its end or then.
#[derive(Default)]
pub struct Loads(BTreeMap<u32, (u32, Nanos)>);

impl Loads {
    pub fn note(&mut self, now: Nanos, tag: u32, begins: bool, longest: Nanos) {
        if begins {
            let held = self.0.entry(tag).or_default();
            *held = (held.0 + 1, now + longest);
        } else if let Some(held) = self.0.get_mut(&tag) {
            held.0 -= 1;
        }
        self.0
            .retain(|_, (count, until)| *count > 0 && *until > now);
    }

    pub fn hold(&self, now: Nanos, tag: u32) -> bool {
        self.0.get(&tag).is_some_and(|held| held.1 > now)
    }
}

/// The statements of one key in the order taken; its owner drops it when it is empty and rested.
#[derive(Default)]
pub struct KeyLine {
    pub line: VecDeque<StatementIndex>,
    pub rest_until: Nanos,
}

impl KeyLine {
    pub fn is_over(&self, now: Nanos) -> bool {
        self.line.is_empty() && self.rest_until <= now
    }

    pub fn is_first(&self, ix: StatementIndex) -> bool {
        self.line.front() == Some(&ix)
    }
}

/// What may still be sent within a share, and when that was worked out.
pub struct Allowance {
    pub left: f64,
    pub at: Nanos,
}

impl Allowance {
    /// Takes one where there is one, after what has come at this rate a second, up to the most.
    pub fn take(&mut self, now: Nanos, rate: f64, most: f64) -> bool {
        self.left = (self.left + rate * secs_from_nanos(now - self.at)).min(most);
        self.at = now;
        let taken = self.left >= 1.0;
        self.left -= f64::from(taken);
        taken
    }
}

/// Which of so many indices the rows name.
pub fn indices(rows: &[EngineEndpoint], count: usize) -> Vec<bool> {
    let mut named = vec![false; count];
    for row in rows.iter().filter(|row| row.engine.0 < count) {
        named[row.engine.0] = true;
    }
    named
}
