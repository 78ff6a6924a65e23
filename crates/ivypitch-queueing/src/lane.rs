//! Queue of the waiting statements of one team and workload, in the order of their arrival.
//!
//! A ring buffer of slots with a Fenwick tree of totals over it. Wait estimates need the number
//! and the work of the statements ahead of a position, or that arrived before a time; both queries
//! and a removal from the middle take logarithmic time.

use ivypitch_types::{Nanos, StatementIndex};

const MIN_SLOTS: usize = 8;

#[derive(Clone, Copy, Default)]
struct Slot {
    /// `None` if the statement was removed or the slot was never used.
    statement: Option<StatementIndex>,
    arrived_at: Nanos,
    work: u64,
}

/// Number and work of a set of waiting statements.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct LaneTotals {
    /// Number of statements.
    pub count: u64,
    /// Their charged work in nanoseconds.
    pub work: u64,
}

impl LaneTotals {
    fn add(&mut self, other: LaneTotals) {
        self.count = self.count.wrapping_add(other.count);
        self.work = self.work.wrapping_add(other.work);
    }
    fn negate(self) -> LaneTotals {
        LaneTotals {
            count: self.count.wrapping_neg(),
            work: self.work.wrapping_neg(),
        }
    }
}

/// The queue. Each statement in it has a sequence number; sequence numbers are never used again.
#[derive(Default)]
pub struct Lane {
    slots: Vec<Slot>,
    fenwick_tree: Vec<LaneTotals>,
    /// Sequence number of the first statement.
    head: u64,
    /// Sequence number that the next statement gets.
    tail: u64,
    totals: LaneTotals,
}

impl Lane {
    /// Number of waiting statements.
    pub fn len(&self) -> usize {
        self.totals.count as usize
    }

    /// Whether no statement waits.
    pub fn is_empty(&self) -> bool {
        self.totals.count == 0
    }

    /// Totals of all waiting statements.
    pub fn totals(&self) -> LaneTotals {
        self.totals
    }

    /// The first statement, its sequence number and its arrival time.
    pub fn front(&self) -> Option<(StatementIndex, u64, Nanos)> {
        if self.is_empty() {
            return None;
        }
        let slot = self.slots[self.slot_index(self.head)];
        slot.statement
            .map(|statement| (statement, self.head, slot.arrived_at))
    }

    /// The last statement and its sequence number.
    pub fn back(&self) -> Option<(StatementIndex, u64)> {
        (self.head..self.tail).rev().find_map(|sequence| {
            self.slots[self.slot_index(sequence)]
                .statement
                .map(|statement| (statement, sequence))
        })
    }

    /// Appends a statement and returns its sequence number. Arrival times must not decrease along
    /// a lane: a statement that arrives again is pushed with its new arrival time. `on_moved`
    /// receives the new sequence number of each statement that the lane renumbers.
    pub fn push(
        &mut self,
        statement: StatementIndex,
        arrived_at: Nanos,
        work: u64,
        on_moved: impl FnMut(StatementIndex, u64),
    ) -> u64 {
        if self.tail - self.head == self.slots.len() as u64 {
            self.grow_or_compact(on_moved);
        }
        let sequence = self.tail;
        self.tail += 1;
        let slot_index = self.slot_index(sequence);
        self.slots[slot_index] = Slot {
            statement: Some(statement),
            arrived_at,
            work,
        };
        self.add_at(slot_index, LaneTotals { count: 1, work });
        sequence
    }

    /// Removes the statement with this sequence number and returns its work; `None` if the lane
    /// has no such statement.
    pub fn remove(&mut self, sequence: u64) -> Option<u64> {
        if sequence < self.head || sequence >= self.tail {
            return None;
        }
        let slot_index = self.slot_index(sequence);
        self.slots[slot_index].statement.take()?;
        let work = self.slots[slot_index].work;
        self.add_at(slot_index, LaneTotals { count: 1, work }.negate());
        while self.head < self.tail && self.slots[self.slot_index(self.head)].statement.is_none() {
            self.head += 1;
        }
        while self.tail > self.head
            && self.slots[self.slot_index(self.tail - 1)]
                .statement
                .is_none()
        {
            self.tail -= 1;
        }
        Some(work)
    }

    /// Totals of the statements ahead of a sequence number.
    pub fn totals_ahead_of(&self, sequence: u64) -> LaneTotals {
        let sequence = sequence.clamp(self.head, self.tail);
        self.totals_between(self.head, sequence)
    }

    /// Totals of the statements that arrived before a time.
    pub fn totals_arrived_before(&self, time: Nanos) -> LaneTotals {
        let (mut low, mut high) = (self.head, self.tail);
        while low < high {
            let middle = low + (high - low) / 2;
            if self.slots[self.slot_index(middle)].arrived_at < time {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        self.totals_between(self.head, low)
    }

    /// The waiting statements and their sequence numbers, in the order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (StatementIndex, u64)> {
        (self.head..self.tail).filter_map(|sequence| {
            self.slots[self.slot_index(sequence)]
                .statement
                .map(|statement| (statement, sequence))
        })
    }

    fn slot_index(&self, sequence: u64) -> usize {
        (sequence % self.slots.len() as u64) as usize
    }

    /// Totals of `from..to`. Where the range wraps around the end of the ring, they are the sum
    /// over two stretches of slots.
    fn totals_between(&self, from: u64, to: u64) -> LaneTotals {
        if from >= to {
            return LaneTotals::default();
        }
        let (first, last) = (self.slot_index(from), self.slot_index(to - 1));
        let mut totals = self.totals_through(last);
        if first <= last {
            totals.add(self.totals_before(first).negate());
        } else {
            totals.add(self.totals_through(self.slots.len() - 1));
            totals.add(self.totals_before(first).negate());
        }
        totals
    }

    fn totals_before(&self, slot_index: usize) -> LaneTotals {
        if slot_index == 0 {
            LaneTotals::default()
        } else {
            self.totals_through(slot_index - 1)
        }
    }

    fn totals_through(&self, slot_index: usize) -> LaneTotals {
        let mut totals = LaneTotals::default();
        let mut node = slot_index + 1;
        while node > 0 {
            totals.add(self.fenwick_tree[node - 1]);
            node &= node - 1;
        }
        totals
    }

    fn add_at(&mut self, slot_index: usize, delta: LaneTotals) {
        self.totals.add(delta);
        let mut node = slot_index + 1;
        while node <= self.fenwick_tree.len() {
            self.fenwick_tree[node - 1].add(delta);
            node += node & node.wrapping_neg();
        }
    }

    /// Doubles the ring or, where at least half of its slots are empty, compacts it. The pushes
    /// before it amortize the cost of either.
    fn grow_or_compact(&mut self, mut on_moved: impl FnMut(StatementIndex, u64)) {
        let kept: Vec<(u64, Slot)> = (self.head..self.tail)
            .map(|sequence| (sequence, self.slots[self.slot_index(sequence)]))
            .filter(|(_, slot)| slot.statement.is_some())
            .collect();
        let size = if kept.len() * 2 > self.slots.len() {
            self.slots.len() * 2
        } else {
            self.slots.len()
        };
        let size = size.max(MIN_SLOTS);
        self.slots = vec![Slot::default(); size];
        self.fenwick_tree = vec![LaneTotals::default(); size];
        self.totals = LaneTotals::default();
        self.head = self.tail;
        for (old_sequence, slot) in kept {
            let sequence = self.tail;
            self.tail += 1;
            let slot_index = self.slot_index(sequence);
            self.slots[slot_index] = slot;
            self.add_at(
                slot_index,
                LaneTotals {
                    count: 1,
                    work: slot.work,
                },
            );
            if let Some(statement) = slot.statement.filter(|_| old_sequence != sequence) {
                on_moved(statement, sequence);
            }
        }
    }

    /// Heap memory of the lane in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Slot>()
            + self.fenwick_tree.capacity() * size_of::<LaneTotals>()
    }
}
