//! Whether this gateway is the one that is cut off. A member that hears nobody, or has lost most of the others at
//! once, says nothing of others: it doubts itself.

use std::collections::VecDeque;

use ivypitch_types::{Nanos, SECOND};

/// What a decision is told of who is heard.
#[derive(Clone, Debug, PartialEq)]
pub struct Hearing {
    /// Members heard, this one with them, by zone, and seats of the roster by zone.
    pub heard: Vec<u16>,
    pub seats: Vec<u16>,
    /// When the number heard last changed.
    pub since: Nanos,
    pub doubt: Doubt,
}

impl Hearing {
    pub fn all_heard(&self) -> u16 {
        self.heard.iter().sum()
    }

    /// More than half of the roster's seats are heard.
    pub fn is_majority(&self) -> bool {
        2 * u32::from(self.all_heard()) > self.seats.iter().map(|&n| u32::from(n)).sum::<u32>()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// Nothing speaks against this gateway.
    None,
    /// It has heard nobody for a while: stopped for that long, or cut off from all.
    Deaf,
    /// Within a short time it lost more than it still hears: it is in the smaller part.
    Smaller,
}

/// Losses within so long are taken for one event.
const ONE_EVENT: Nanos = 3 * SECOND;
/// Nobody is heard for so many periods: with a question and an answer in each, chance alone needs 1 in 10 to the 9.
const DEAF_PERIODS: u64 = 4;

/// What the doubt follows from; changed in [`Doubts::heard`] and [`Doubts::lost`] alone.
#[derive(Debug)]
pub(crate) struct Doubts {
    period: Nanos,
    last_heard: Nanos,
    /// Times of the latest losses; older ones leave as others come.
    losses: VecDeque<Nanos>,
}

impl Doubts {
    pub(crate) fn new(now: Nanos, period: Nanos) -> Doubts {
        Doubts {
            period,
            last_heard: now,
            losses: VecDeque::new(),
        }
    }

    pub(crate) fn heard(&mut self, now: Nanos) {
        self.last_heard = now;
    }

    pub(crate) fn lost(&mut self, now: Nanos) {
        self.losses.push_back(now);
        self.forget(now);
    }

    /// A lost one came back: what took it for lost was wrong.
    pub(crate) fn back(&mut self, now: Nanos) {
        self.losses.pop_back();
        self.forget(now);
    }

    fn forget(&mut self, now: Nanos) {
        while self.losses.front().is_some_and(|&at| at + ONE_EVENT < now) {
            self.losses.pop_front();
        }
    }

    /// `heard` are the others that count as there.
    pub(crate) fn doubt(&self, now: Nanos, heard: usize) -> Doubt {
        let lately = self
            .losses
            .iter()
            .filter(|&&at| at + ONE_EVENT >= now)
            .count();
        if heard + lately > 0 && now >= self.last_heard + DEAF_PERIODS * self.period {
            return Doubt::Deaf;
        }
        // This gateway counts to what it hears.
        if lately > heard + 1 {
            Doubt::Smaller
        } else {
            Doubt::None
        }
    }
}
