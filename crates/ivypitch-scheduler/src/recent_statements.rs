//! Statements that have ended here and must not run again, by the id that their client chose.
//!
//! A statement id is new with every request. One that comes again belongs to a client that left
//! without its answer, or that repeats itself: running it again could have a second effect.

use std::collections::{BTreeMap, VecDeque};

use ivypitch_types::{Nanos, Outcome};

use crate::deployment::Idempotency;

/// Maximum number of remembered statements; beyond it the oldest are forgotten.
const MAX_RECENT_STATEMENTS: usize = 16_384;

/// What is known of a statement's effect.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub enum Effect {
    /// No attempt has run.
    #[default]
    None,
    /// An attempt may have run.
    Possible,
    /// An attempt has completed.
    Completed,
}

impl Effect {
    /// The effect of an attempt that ended like this.
    pub fn of(outcome: Outcome) -> Effect {
        match outcome {
            Outcome::Completed => Effect::Completed,
            outcome if outcome.never_ran() => Effect::None,
            _ => Effect::Possible,
        }
    }
}

/// The statements that ended within the retention and had, or may have had, an effect.
pub struct RecentStatements {
    retention: Nanos,
    effects: BTreeMap<u64, Effect>,
    /// The same statements with the time until which they are remembered, oldest first.
    by_age: VecDeque<(Nanos, u64)>,
}

impl RecentStatements {
    /// Remembers each statement for `retention`.
    pub fn new(retention: Nanos) -> RecentStatements {
        RecentStatements {
            retention,
            effects: BTreeMap::new(),
            by_age: VecDeque::new(),
        }
    }

    /// A statement has ended. It is remembered if running it again could have a second effect.
    pub fn on_ended(&mut self, now: Nanos, id: u64, idempotency: Idempotency, effect: Effect) {
        self.evict_expired(now);
        if idempotency == Idempotency::Idempotent || effect == Effect::None {
            return;
        }
        if self.effects.insert(id, effect).is_none() {
            self.by_age.push_back((now + self.retention, id));
        }
        if self.by_age.len() > MAX_RECENT_STATEMENTS {
            self.evict_oldest();
        }
    }

    /// The effect that a statement with this id had; [`Effect::None`] if it may run.
    pub fn effect(&mut self, now: Nanos, id: u64) -> Effect {
        self.evict_expired(now);
        self.effects.get(&id).copied().unwrap_or_default()
    }

    fn evict_expired(&mut self, now: Nanos) {
        while self.by_age.front().is_some_and(|&(until, _)| until <= now) {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, id)) = self.by_age.pop_front() {
            self.effects.remove(&id);
        }
    }
}
