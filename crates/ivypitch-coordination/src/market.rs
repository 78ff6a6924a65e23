//! Who asks whom for how much of a bound, and when it goes back. A member asks as its need passes what it holds, lends
//! what it does not need itself, and gives back what it needs no more; all at a pace, so that a cut that heals brings no
//! burst.

use std::collections::BTreeMap;

use ivypitch_types::{Nanos, SECOND};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::escrow::{Ask, Escrow, Process, Serial, Terms, Yes};

/// The need is what was asked for of late, smoothed over so long, with so much room above it.
const SMOOTH: Nanos = SECOND / 4;
const ROOM: f64 = 1.15;
/// A need that falls counts for so long as it was.
const FALLS: Nanos = SECOND / 2;
/// Questions that are open at once for one bound.
const MOST_QUESTIONS: usize = 24;
/// Whoever lent nothing is not asked again for so long.
const PAUSE: Nanos = SECOND / 5;
/// A loan is prolonged when it has this part of its span to go.
const PROLONGS_AT: f64 = 0.4;
/// Borrowed beyond the need by this part of the home is given back.
const GIVES_BACK_FROM: f64 = 0.25;
/// What a lender keeps above its own need, as a part of its home: the next statements are not to wait for a recall.
const KEEPS: f64 = 0.05;

/// To another member, about one bound.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Word {
    Ask(Ask),
    Yes(Yes),
    /// Nothing to lend now.
    No {
        serial: Serial,
    },
    /// Used no more.
    Return(Serial),
    /// Asked back; it ends by itself all the same.
    Recall(Serial),
}

/// What a lender has lately shown: for whom it is worth to ask.
#[derive(Clone, Copy, Debug, Default)]
struct Advert {
    spare: u32,
    heard_at: Nanos,
    not_before: Nanos,
}

/// One bound as this member sees it.
pub struct Bound {
    pub escrow: Escrow,
    span: Nanos,
    /// Units asked for since the last look, and the smoothed rate of them over a window or second.
    asked_for: f64,
    need: f64,
    /// The most of late, and when.
    peak: f64,
    peak_at: Nanos,
    looked_at: Nanos,
    adverts: BTreeMap<u16, Advert>,
    /// When the next loans may be given back.
    next_back: Nanos,
}

/// How often needs are looked at.
pub const LOOK: Nanos = SECOND / 20;

impl Bound {
    pub fn new(place: u16, terms: &Terms, now: Nanos) -> Bound {
        Bound {
            escrow: Escrow::new(place, terms, now),
            span: terms.span,
            asked_for: 0.0,
            need: 0.0,
            peak: 0.0,
            peak_at: now,
            looked_at: now,
            adverts: BTreeMap::new(),
            next_back: now,
        }
    }

    /// So many units would be used, whether they are there or not.
    pub fn wanted(&mut self, units: f64) {
        self.asked_for += units;
    }

    /// The need itself, where it is known as a level and not by what comes.
    pub fn needs(&mut self, now: Nanos, units: f64) {
        self.need = units;
        self.note_peak(now);
    }

    fn note_peak(&mut self, now: Nanos) {
        if self.need >= self.peak || now >= self.peak_at + FALLS {
            (self.peak, self.peak_at) = (self.need, now);
        }
    }

    /// Units that this member is likely to use.
    pub fn need(&self) -> u32 {
        (self.peak * ROOM).ceil().min(f64::from(u32::MAX / 4)) as u32
    }

    fn keeps(&self) -> u32 {
        self.need() + (f64::from(self.escrow.home()) * KEEPS) as u32
    }

    /// What others may ask this one for.
    pub fn spare(&self) -> u32 {
        self.escrow.lendable(self.keeps())
    }

    pub fn heard_spare(&mut self, now: Nanos, of: u16, spare: u32) {
        let advert = self.adverts.entry(of).or_default();
        (advert.spare, advert.heard_at) = (spare, now);
    }

    /// A member is gone: its adverts are worth nothing. What it lent or borrowed ends by itself.
    pub fn lost(&mut self, place: u16) {
        self.adverts.remove(&place);
    }

    /// To be called each [`LOOK`]. `counts_over`: what is wanted is counted over so long, a window or a second.
    pub fn look(
        &mut self,
        now: Nanos,
        counts_over: Nanos,
        heard: &[u16],
        rng: &mut ChaCha8Rng,
        say: &mut dyn FnMut(u16, Word),
    ) {
        self.escrow.tick(now);
        let span = now.saturating_sub(self.looked_at);
        if span >= LOOK / 2 && counts_over > 0 {
            let rate = self.asked_for * counts_over as f64 / span as f64;
            let weight = (span as f64 / SMOOTH as f64).min(1.0);
            self.need += (rate - self.need) * weight;
            (self.asked_for, self.looked_at) = (0.0, now);
            self.note_peak(now);
        }
        let (need, held) = (self.need(), self.escrow.held());
        if need > held {
            self.ask_for(now, need - held, heard, rng, say);
            self.recall(need, say);
        }
        self.prolong(now, need, held, heard, say);
        self.give_back(now, need, held, say);
    }

    fn ask_for(
        &mut self,
        now: Nanos,
        mut short: u32,
        heard: &[u16],
        rng: &mut ChaCha8Rng,
        say: &mut dyn FnMut(u16, Word),
    ) {
        if heard.is_empty() {
            return;
        }
        // Those that said how much they have, the most first; then any.
        let known = |place: &u16| self.adverts.get(place).copied().unwrap_or_default();
        let may = |place: &u16| known(place).not_before <= now && !self.escrow.is_asking(*place);
        let mut order: Vec<(u32, u32, u16)> = Vec::new();
        let begin = rng.random_range(0..heard.len());
        for i in 0..heard.len().min(4 * MOST_QUESTIONS) {
            let place = heard[(begin + i) % heard.len()];
            if may(&place) {
                order.push((known(&place).spare, rng.random(), place));
            }
        }
        order.sort_unstable_by(|a, b| b.cmp(a));
        for (spare, _, place) in order {
            if short == 0 || self.escrow.open_questions() >= MOST_QUESTIONS {
                return;
            }
            // Of one that said nothing no more is expected than an even part.
            let expected = if spare > 0 { spare } else { self.escrow.home() };
            let units = short.min(expected.max(1));
            let ask = self.escrow.ask(now, place, units, None);
            self.adverts.entry(place).or_default().not_before = now + PAUSE;
            say(place, Word::Ask(ask));
            short -= units;
        }
    }

    /// The own home is asked back first: it need not be lent.
    fn recall(&mut self, need: u32, say: &mut dyn FnMut(u16, Word)) {
        let (lent, ..) = self.escrow.parts();
        let missing = need
            .min(self.escrow.home())
            .saturating_sub(self.escrow.home() - lent);
        for (borrower, loan) in self.escrow.to_recall(missing) {
            say(borrower.place, Word::Recall(loan));
        }
    }

    fn prolong(
        &mut self,
        now: Nanos,
        need: u32,
        held: u32,
        heard: &[u16],
        say: &mut dyn FnMut(u16, Word),
    ) {
        let mut over = held.saturating_sub(need);
        let within = (self.span as f64 * PROLONGS_AT) as Nanos;
        for (lender, loan, units) in self.escrow.ending(within) {
            if over >= units {
                over -= units;
                continue;
            }
            if heard.contains(&lender) {
                let ask = self.escrow.ask(now, lender, units, Some(loan));
                say(lender, Word::Ask(ask));
            }
        }
    }

    fn give_back(&mut self, now: Nanos, need: u32, held: u32, say: &mut dyn FnMut(u16, Word)) {
        let (_, borrowed, _) = self.escrow.parts();
        let over = held.saturating_sub(need);
        let least = (f64::from(self.escrow.home()) * GIVES_BACK_FROM).max(1.0) as u32;
        if borrowed == 0 || over < least || now < self.next_back {
            return;
        }
        self.next_back = now + LOOK * 2;
        // A part at a time.
        let stay = borrowed.saturating_sub(over.min(borrowed.div_ceil(2)));
        for (lender, loan) in self.escrow.give_back(now, stay, None) {
            say(lender, Word::Return(loan));
        }
    }

    pub fn heard(&mut self, now: Nanos, from: Process, word: Word, say: &mut dyn FnMut(u16, Word)) {
        match word {
            Word::Ask(ask) => {
                let keeps = self.keeps();
                match self.escrow.answer(now, from, ask, keeps) {
                    Some(yes) => say(from.place, Word::Yes(yes)),
                    None => say(from.place, Word::No { serial: ask.serial }),
                }
            }
            Word::Yes(yes) => {
                // Not wanted any more, or too late: returned sooner than by its end. The second copy of one that was
                // taken returns nothing.
                if !self.escrow.lent_to(now, from.place, yes)
                    && !self.escrow.holds(from.place, yes.loan)
                {
                    say(from.place, Word::Return(yes.loan));
                }
            }
            Word::No { serial } => {
                self.escrow.refused(serial);
                let advert = self.adverts.entry(from.place).or_default();
                (advert.spare, advert.not_before) = (0, now + PAUSE);
            }
            Word::Return(loan) => self.escrow.returned(now, from, loan),
            Word::Recall(loan) => {
                if self.escrow.recalled(now, from.place, loan) {
                    say(from.place, Word::Return(loan));
                }
            }
        }
    }
}
