//! The statements of one team and workload that wait, in the order of their coming. Made for the estimates: the
//! number and the work of what stands ahead of one, or came before a time, cost a logarithm; so does taking one
//! out of the middle. A ring of places with a Fenwick tree of sums over it.

use ivypitch_types::{Nanos, StatementIndex};

const LEAST: usize = 8;

#[derive(Clone, Copy, Default)]
struct Place {
    /// `None` behind: taken out, the place is passed over.
    stmt: Option<StatementIndex>,
    came: Nanos,
    work: u64,
}

#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Sum {
    pub count: u64,
    pub work: u64,
}

impl Sum {
    fn add(&mut self, other: Sum) {
        self.count = self.count.wrapping_add(other.count);
        self.work = self.work.wrapping_add(other.work);
    }
    fn negative(self) -> Sum {
        Sum {
            count: self.count.wrapping_neg(),
            work: self.work.wrapping_neg(),
        }
    }
}

/// Places are named by a running number that never comes again; `base` is that of the ring's first place.
#[derive(Default)]
pub struct Lane {
    places: Vec<Place>,
    sums: Vec<Sum>,
    /// Numbers of the first place held and of the next to come.
    head: u64,
    tail: u64,
    all: Sum,
}

impl Lane {
    pub fn len(&self) -> usize {
        self.all.count as usize
    }

    pub fn is_empty(&self) -> bool {
        self.all.count == 0
    }

    pub fn sum(&self) -> Sum {
        self.all
    }

    /// The first, its number and when it came.
    pub fn front(&self) -> Option<(StatementIndex, u64, Nanos)> {
        if self.is_empty() {
            return None;
        }
        let place = self.places[self.at(self.head)];
        place.stmt.map(|stmt| (stmt, self.head, place.came))
    }

    pub fn back(&self) -> Option<(StatementIndex, u64)> {
        (self.head..self.tail)
            .rev()
            .find_map(|n| self.places[self.at(n)].stmt.map(|stmt| (stmt, n)))
    }

    /// Times never go back along a lane: one that came again comes with the time of its coming again. `moved` is
    /// told the new number of each that stands elsewhere now.
    pub fn push(
        &mut self,
        stmt: StatementIndex,
        came: Nanos,
        work: u64,
        moved: impl FnMut(StatementIndex, u64),
    ) -> u64 {
        if self.tail - self.head == self.places.len() as u64 {
            self.make_room(moved);
        }
        let number = self.tail;
        self.tail += 1;
        let at = self.at(number);
        self.places[at] = Place {
            stmt: Some(stmt),
            came,
            work,
        };
        self.change(at, Sum { count: 1, work });
        number
    }

    /// Takes out what `number` names; its work is told, and nothing if it is not there.
    pub fn remove(&mut self, number: u64) -> Option<u64> {
        if number < self.head || number >= self.tail {
            return None;
        }
        let at = self.at(number);
        self.places[at].stmt.take()?;
        let work = self.places[at].work;
        self.change(at, Sum { count: 1, work }.negative());
        while self.head < self.tail && self.places[self.at(self.head)].stmt.is_none() {
            self.head += 1;
        }
        while self.tail > self.head && self.places[self.at(self.tail - 1)].stmt.is_none() {
            self.tail -= 1;
        }
        Some(work)
    }

    /// What stands ahead of a place.
    pub fn ahead_of(&self, number: u64) -> Sum {
        let number = number.clamp(self.head, self.tail);
        self.between(self.head, number)
    }

    /// What came before a time.
    pub fn before(&self, time: Nanos) -> Sum {
        let (mut low, mut high) = (self.head, self.tail);
        while low < high {
            let middle = low + (high - low) / 2;
            if self.places[self.at(middle)].came < time {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        self.between(self.head, low)
    }

    /// Those that wait, first come first.
    pub fn iter(&self) -> impl Iterator<Item = (StatementIndex, u64)> {
        (self.head..self.tail).filter_map(|n| self.places[self.at(n)].stmt.map(|stmt| (stmt, n)))
    }

    fn at(&self, number: u64) -> usize {
        (number % self.places.len() as u64) as usize
    }

    /// The ring's order goes over its end: then the sum is that of two stretches.
    fn between(&self, from: u64, to: u64) -> Sum {
        if from >= to {
            return Sum::default();
        }
        let (first, last) = (self.at(from), self.at(to - 1));
        let mut sum = self.up_to(last);
        if first <= last {
            sum.add(self.up_to_but(first).negative());
        } else {
            sum.add(self.up_to(self.places.len() - 1));
            sum.add(self.up_to_but(first).negative());
        }
        sum
    }

    fn up_to_but(&self, at: usize) -> Sum {
        if at == 0 {
            Sum::default()
        } else {
            self.up_to(at - 1)
        }
    }

    fn up_to(&self, at: usize) -> Sum {
        let mut sum = Sum::default();
        let mut i = at + 1;
        while i > 0 {
            sum.add(self.sums[i - 1]);
            i &= i - 1;
        }
        sum
    }

    fn change(&mut self, at: usize, by: Sum) {
        self.all.add(by);
        let mut i = at + 1;
        while i <= self.sums.len() {
            self.sums[i - 1].add(by);
            i += i & i.wrapping_neg();
        }
    }

    /// Doubles the ring, or, where half of it is what was taken out, closes up what is left. Either costs what as
    /// many pushes before it paid for.
    fn make_room(&mut self, mut moved: impl FnMut(StatementIndex, u64)) {
        let kept: Vec<(u64, Place)> = (self.head..self.tail)
            .map(|n| (n, self.places[self.at(n)]))
            .filter(|(_, place)| place.stmt.is_some())
            .collect();
        let size = if kept.len() * 2 > self.places.len() {
            self.places.len() * 2
        } else {
            self.places.len()
        };
        let size = size.max(LEAST);
        self.places = vec![Place::default(); size];
        self.sums = vec![Sum::default(); size];
        self.all = Sum::default();
        self.head = self.tail;
        for (old, place) in kept {
            let number = self.tail;
            self.tail += 1;
            let at = self.at(number);
            self.places[at] = place;
            self.change(
                at,
                Sum {
                    count: 1,
                    work: place.work,
                },
            );
            if let Some(stmt) = place.stmt.filter(|_| old != number) {
                moved(stmt, number);
            }
        }
    }

    /// Bytes held beside the statements.
    pub fn bytes(&self) -> usize {
        self.places.capacity() * size_of::<Place>() + self.sums.capacity() * size_of::<Sum>()
    }
}
