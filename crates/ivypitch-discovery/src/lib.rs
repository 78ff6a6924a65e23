//! What is taken of the journal service's numbered feed, and when a lost one is asked for again. Each event is taken
//! once and in order; what was taken stays. A feed that can't be followed as it is told must neither be asked for in a
//! tight loop nor stop for good. No I/O, no clock.

use std::hash::{DefaultHasher, Hash, Hasher};

use ivypitch_types::{Nanos, SECOND};

const MS: Nanos = SECOND / 1000;
/// So many connections in a row may end at the same place for what was told there; then that is passed over: to miss
/// one event is better than to miss all that follow.
const MOST_AT_A_PLACE: u32 = 3;
/// A number may be told ahead of its events for so long.
const AHEAD: Nanos = 250 * MS;
/// The first new try comes within this, spread by chance: hundreds of gateways lose a feed in the same moment. Each
/// further one waits twice as long, up to the longest: what is told after a silence must be heard within a second.
const FIRST: Nanos = 100 * MS;
const LONGEST: Nanos = 600 * MS;

/// A line of the feed, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The number of the last event.
    Last(u64),
    Event(u64),
    Unusable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The event is new and the next.
    Take,
    /// The event is taken though others before it never came.
    TakeOver,
    Pass,
    /// The feed is asked for again from the last event taken.
    AskAgain,
}

pub struct Feed {
    last: u64,
    /// As the connection began, and connections in a row that told nothing usable behind it.
    began_at: u64,
    spoilt: u32,
    /// Since when a number is ahead of its events.
    ahead: Option<Nanos>,
    /// Tries since the feed told anything.
    tries: u32,
    seed: u64,
    chances: u64,
}

impl Feed {
    pub fn new(last: u64, seed: u64) -> Feed {
        Feed {
            last,
            began_at: last,
            spoilt: 0,
            ahead: None,
            tries: 0,
            seed,
            chances: 0,
        }
    }

    /// The number of the last event taken.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// A connection is there and asks for what follows.
    pub fn connected(&mut self) {
        (self.began_at, self.ahead) = (self.last, None);
    }

    pub fn take(&mut self, now: Nanos, told: Told) -> Verdict {
        let is_stuck = self.spoilt >= MOST_AT_A_PLACE;
        match told {
            Told::Event(number) if number <= self.last => self.heard(),
            Told::Event(number) if number == self.last + 1 => self.took(number, Verdict::Take),
            Told::Event(number) if is_stuck => self.took(number, Verdict::TakeOver),
            Told::Last(number) if number <= self.last => {
                self.ahead = None;
                self.heard()
            }
            // Its events may be on their way behind it, and are asked for again if not.
            Told::Last(_) if is_stuck => self.heard(),
            Told::Last(_) => {
                self.ahead.get_or_insert(now);
                Verdict::Pass
            }
            Told::Unusable if is_stuck => Verdict::Pass,
            Told::Event(_) | Told::Unusable => self.spoil(),
        }
    }

    /// When a number has been ahead of its events for too long.
    pub fn ahead_until(&self) -> Option<Nanos> {
        self.ahead.map(|since| since + AHEAD)
    }

    /// It has: the feed is asked for again.
    pub fn never_came(&mut self) {
        self.spoil();
    }

    /// So long until the feed is asked for again.
    pub fn ask_again(&mut self) -> Nanos {
        self.chances += 1;
        let longest = FIRST.saturating_mul(1 << self.tries.min(16)).min(LONGEST);
        self.tries += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.chances).hash(&mut hasher);
        let chance = (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64;
        // The first at any time from now on, later ones from half of their time on.
        let least = if self.tries == 1 { 0.0 } else { 0.5 };
        (longest as f64 * (least + (1.0 - least) * chance)) as Nanos
    }

    fn heard(&mut self) -> Verdict {
        self.tries = 0;
        Verdict::Pass
    }

    fn took(&mut self, number: u64, verdict: Verdict) -> Verdict {
        (self.last, self.ahead, self.spoilt, self.tries) = (number, None, 0, 0);
        verdict
    }

    fn spoil(&mut self) -> Verdict {
        self.spoilt = if self.last == self.began_at {
            self.spoilt + 1
        } else {
            1
        };
        self.began_at = self.last;
        Verdict::AskAgain
    }
}
