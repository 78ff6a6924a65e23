//! One bound over the fleet, in units. Each member holds its home part; of it the floor stays, the rest may be lent for
//! a span. At every instant each unit is held by one member or by none, whatever messages are lost, late, doubled or
//! out of order, and whoever vanishes: so what all hold together never passes the bound.
//!
//! The borrower counts a loan's span from the moment it asked, which lies before the lender's yes; the lender counts it
//! from its yes, and longer by what two clocks may run apart.

use std::collections::{BTreeMap, VecDeque};

use ivypitch_types::{Nanos, SECOND};

/// A process: its place in the list, and the time of its start.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Process {
    pub place: u16,
    pub birth: u64,
}

/// A loan, named by its borrower's first question for it.
pub type Serial = u32;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Of the whole bound, over all members.
    pub units: u32,
    pub members: u16,
    /// Part of a member's home that it never lends.
    pub floor: f64,
    /// What is spent counts for so long (and longer by the drift); a unit that changed hands counts as spent then.
    /// 0: units are held and not spent.
    pub window: Nanos,
    /// Of a loan.
    pub span: Nanos,
    /// Clocks run apart by no more than this part.
    pub drift: f64,
}

impl Terms {
    /// The units at home with a member: an even part, what does not divide at the first ones.
    pub fn home(&self, place: u16) -> u32 {
        let members = u32::from(self.members.max(1));
        self.units / members + u32::from(u32::from(place) < self.units % members)
    }

    pub fn floor_of(&self, place: u16) -> u32 {
        let home = self.home(place);
        ((f64::from(home) * self.floor).ceil() as u32).min(home)
    }

    fn lender_waits(&self) -> Nanos {
        (self.span as f64 * (1.0 + self.drift)).ceil() as Nanos + 1
    }

    fn borrower_holds(&self) -> Nanos {
        (self.span as f64 * (1.0 - self.drift)) as Nanos
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lent {
    units: u32,
    /// In sure time.
    until: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Loan {
    units: u32,
    until: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Question {
    lender: u16,
    asked_at: Nanos,
    /// The loan that it would prolong.
    prolongs: Option<Serial>,
}

/// What a borrower asks for.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Ask {
    pub serial: Serial,
    pub units: u32,
    pub prolongs: Option<Serial>,
}

/// A lender's yes; `loan` is the one prolonged, or the question's own serial.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Yes {
    pub serial: Serial,
    pub loan: Serial,
    pub units: u32,
}

/// A step of the clock longer than this may be the clock's alone: for what is waited for it counts as so long.
const LEAP: Nanos = SECOND;

/// A lender that is there has answered by then.
const ANSWERED: Nanos = SECOND * 3 / 10;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Escrow {
    place: u16,
    home: u32,
    floor: u32,
    window: Nanos,
    lender_waits: Nanos,
    borrower_holds: Nanos,
    /// The newest time told, and the time that has passed for sure.
    last: Nanos,
    sure: Nanos,
    /// In sure time: before it, loans of this place's former process may still be out.
    whole_from: Nanos,
    /// By borrower and loan. Emptied by the loan's end and its return.
    lent: BTreeMap<(Process, Serial), Lent>,
    /// The newest question of each place that was heard: an older one is an echo.
    heard: BTreeMap<u16, (u64, Serial)>,
    /// By lender and loan. Emptied by the end and by giving back.
    loans: BTreeMap<(u16, Serial), Loan>,
    /// Emptied by the answer and by the span.
    asked: BTreeMap<Serial, Question>,
    serial: Serial,
    /// Spent, or changed hands, within the window; in sure time.
    spent: VecDeque<(Nanos, u32)>,
    in_window: u32,
}

impl Escrow {
    pub fn new(place: u16, terms: &Terms, now: Nanos) -> Escrow {
        let (home, floor) = (terms.home(place), terms.floor_of(place));
        let mut escrow = Escrow {
            place,
            home,
            floor,
            window: (terms.window as f64 * (1.0 + terms.drift)).ceil() as Nanos,
            lender_waits: terms.lender_waits(),
            borrower_holds: terms.borrower_holds(),
            last: now,
            sure: 0,
            whole_from: terms.lender_waits(),
            lent: BTreeMap::new(),
            heard: BTreeMap::new(),
            loans: BTreeMap::new(),
            asked: BTreeMap::new(),
            serial: 0,
            spent: VecDeque::new(),
            in_window: 0,
        };
        // The former process may have spent all that it held a moment ago.
        escrow.note_spent(home);
        escrow
    }

    pub fn home(&self) -> u32 {
        self.home
    }

    pub fn floor(&self) -> u32 {
        self.floor
    }

    /// Units out on loan, borrowed, and at home and out of reach since this process began lately.
    pub fn parts(&self) -> (u32, u32, u32) {
        let lent = self.lent.values().map(|lent| lent.units).sum();
        let borrowed = self.loans.values().map(|loan| loan.units).sum();
        let away = if self.sure < self.whole_from {
            self.home - self.floor
        } else {
            0
        };
        (lent, borrowed, away)
    }

    fn advance(&mut self, now: Nanos) {
        let step = now.saturating_sub(self.last);
        self.sure += step.min(LEAP);
        self.last = self.last.max(now);
    }

    /// Drops what is over; to be called before anything is decided.
    pub fn tick(&mut self, now: Nanos) {
        let was_young = self.sure < self.whole_from;
        self.advance(now);
        let (sure, last) = (self.sure, self.last);
        let mut back = 0;
        self.lent.retain(|_, lent| {
            let is_over = sure >= lent.until;
            back += if is_over { lent.units } else { 0 };
            !is_over
        });
        if was_young && sure >= self.whole_from {
            back += self.home - self.floor;
        }
        self.note_spent(back);
        self.loans.retain(|_, loan| last < loan.until);
        let holds = self.borrower_holds;
        self.asked.retain(|_, asked| last < asked.asked_at + holds);
        while self
            .spent
            .front()
            .is_some_and(|&(at, _)| at + self.window <= sure)
        {
            self.in_window -= self.spent.pop_front().map_or(0, |(_, units)| units);
        }
    }

    fn note_spent(&mut self, units: u32) {
        if units > 0 && self.window > 0 {
            self.spent.push_back((self.sure, units));
            self.in_window += units;
        }
    }

    /// Units that this member may use, at this instant.
    pub fn held(&self) -> u32 {
        let (lent, borrowed, away) = self.parts();
        self.home - lent - away + borrowed
    }

    /// Units that are held and were not spent within the window.
    pub fn left(&self) -> u32 {
        self.held().saturating_sub(self.in_window)
    }

    pub fn spend(&mut self, now: Nanos, units: u32) -> bool {
        self.tick(now);
        let may = units <= self.left();
        if may {
            self.note_spent(units);
        }
        may
    }

    // ---- as a lender ----

    /// Units that could be lent now, beside those that this member keeps for itself.
    pub fn lendable(&self, keeps: u32) -> u32 {
        if self.sure < self.whole_from {
            return 0;
        }
        let lent: u32 = self.lent.values().map(|lent| lent.units).sum();
        let at_home = self.home - lent;
        let free = at_home.saturating_sub(keeps.max(self.floor));
        // One that was spent within the window is not lent: its borrower could spend it again.
        if self.window > 0 {
            free.min(at_home.saturating_sub(self.in_window))
        } else {
            free
        }
    }

    /// `None`: nothing is lent, or this question was answered before.
    pub fn answer(&mut self, now: Nanos, from: Process, ask: Ask, keeps: u32) -> Option<Yes> {
        self.tick(now);
        let echo = self
            .heard
            .get(&from.place)
            .is_some_and(|&known| known >= (from.birth, ask.serial));
        if echo || from.place == self.place {
            return None;
        }
        self.heard.insert(from.place, (from.birth, ask.serial));
        let until = self.sure + self.lender_waits;
        if let Some(loan) = ask.prolongs
            && let Some(lent) = self.lent.get(&(from, loan)).copied()
        {
            // Prolonged as far as the lender itself has no need of it; the rest ends as it was to.
            let short = keeps
                .max(self.floor)
                .saturating_sub(self.home - self.lent_units());
            if short >= lent.units {
                return None;
            }
            self.lent.insert((from, loan), Lent { until, ..lent });
            return Some(Yes {
                serial: ask.serial,
                loan,
                units: lent.units,
            });
        }
        let units = ask.units.min(self.lendable(keeps));
        if units == 0 {
            return None;
        }
        self.lent.insert((from, ask.serial), Lent { units, until });
        Some(Yes {
            serial: ask.serial,
            loan: ask.serial,
            units,
        })
    }

    fn lent_units(&self) -> u32 {
        self.lent.values().map(|lent| lent.units).sum()
    }

    /// The borrower uses it no more.
    pub fn returned(&mut self, now: Nanos, from: Process, loan: Serial) {
        self.tick(now);
        if let Some(lent) = self.lent.remove(&(from, loan)) {
            self.note_spent(lent.units);
        }
    }

    /// Loans to be asked back, the largest first, until so many units would be home.
    pub fn to_recall(&self, units: u32) -> Vec<(Process, Serial)> {
        let mut all: Vec<(u32, (Process, Serial))> = self
            .lent
            .iter()
            .map(|(&key, lent)| (lent.units, key))
            .collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let mut back = 0;
        let enough = |(lent, _): &(u32, (Process, Serial))| {
            let wanted = back < units;
            back += lent;
            wanted
        };
        all.into_iter()
            .take_while(enough)
            .map(|(_, key)| key)
            .collect()
    }

    // ---- as a borrower ----

    pub fn ask(&mut self, now: Nanos, lender: u16, units: u32, prolongs: Option<Serial>) -> Ask {
        self.tick(now);
        self.serial += 1;
        let asked_at = self.last;
        self.asked.insert(
            self.serial,
            Question {
                lender,
                asked_at,
                prolongs,
            },
        );
        Ask {
            serial: self.serial,
            units,
            prolongs,
        }
    }

    /// False: it answers no question that is open.
    pub fn lent_to(&mut self, now: Nanos, lender: u16, yes: Yes) -> bool {
        self.tick(now);
        let fits = |asked: &Question| asked.lender == lender;
        let Some(asked) = self.asked.get(&yes.serial).copied().filter(fits) else {
            return false;
        };
        self.asked.remove(&yes.serial);
        let until = asked.asked_at + self.borrower_holds;
        match asked.prolongs.filter(|&loan| loan == yes.loan) {
            // Given back, or over, in the meantime: the lender waits for its end.
            Some(loan) => match self.loans.get_mut(&(lender, loan)) {
                Some(held) => held.until = held.until.max(until),
                None => return false,
            },
            None if yes.loan == yes.serial => {
                self.loans.insert(
                    (lender, yes.loan),
                    Loan {
                        units: yes.units,
                        until,
                    },
                );
                // What it was used for at its lender, that one has counted: it lends none that was spent.
            }
            None => return false,
        }
        true
    }

    /// The loans to be returned so that no more than so many borrowed units stay, the shortest first; they are used no
    /// more from now on. Those of `from` alone where it is given.
    pub fn give_back(&mut self, now: Nanos, stay: u32, from: Option<u16>) -> Vec<(u16, Serial)> {
        self.tick(now);
        let mut borrowed: u32 = self.loans.values().map(|loan| loan.units).sum();
        let mut order: Vec<(Nanos, (u16, Serial), u32)> = self
            .loans
            .iter()
            .map(|(&key, loan)| (loan.until, key, loan.units))
            .collect();
        order.sort_unstable();
        let mut given = Vec::new();
        for (_, key, units) in order {
            if from.is_some_and(|lender| lender != key.0) || borrowed.saturating_sub(units) < stay {
                continue;
            }
            borrowed -= units;
            self.drop_loan(key);
            given.push(key);
        }
        given
    }

    /// Asked back by its lender.
    pub fn recalled(&mut self, now: Nanos, lender: u16, loan: Serial) -> bool {
        self.tick(now);
        let held = self.loans.contains_key(&(lender, loan));
        if held {
            self.drop_loan((lender, loan));
        }
        held
    }

    pub fn holds(&self, lender: u16, loan: Serial) -> bool {
        self.loans.contains_key(&(lender, loan))
    }

    fn drop_loan(&mut self, key: (u16, Serial)) {
        self.loans.remove(&key);
        // A yes to a question that would prolong it is to find nothing.
        self.asked
            .retain(|_, asked| asked.prolongs != Some(key.1) || asked.lender != key.0);
    }

    /// Loans that end within so long and are not being prolonged: lender, loan, units.
    pub fn ending(&self, within: Nanos) -> Vec<(u16, Serial, u32)> {
        let asked = |lender: u16, serial: Serial| {
            self.asked
                .values()
                .any(|q| q.lender == lender && q.prolongs == Some(serial))
        };
        let soon = |(&(lender, serial), loan): (&(u16, Serial), &Loan)| {
            (loan.until <= self.last + within && !asked(lender, serial))
                .then_some((lender, serial, loan.units))
        };
        self.loans.iter().filter_map(soon).collect()
    }

    /// A lender said no.
    pub fn refused(&mut self, serial: Serial) {
        self.asked.remove(&serial);
    }

    /// Questions for new loans that may still be answered soon; a later yes counts all the same.
    pub fn open_questions(&self) -> usize {
        self.asked
            .values()
            .filter(|asked| self.is_open(asked))
            .count()
    }

    pub fn is_asking(&self, lender: u16) -> bool {
        self.asked
            .values()
            .any(|asked| asked.lender == lender && self.is_open(asked))
    }

    fn is_open(&self, asked: &Question) -> bool {
        asked.prolongs.is_none() && self.last < asked.asked_at + ANSWERED
    }
}
