//! A hierarchical timing wheel: timers with removal by handle. Inserting, removing and firing
//! cost the same with ten timers and with a million; a jump of the clock costs time in proportion
//! to the occupied slots that it passes.

use ivypitch_types::Nanos;

/// A tick is 2^20 ns, 1.05 ms; no timer of this crate needs a finer resolution.
const TICK_BITS: u32 = 20;
const SLOT_BITS: u32 = 6;
const SLOTS_PER_LEVEL: usize = 1 << SLOT_BITS;
/// The levels cover 2^(20 + 6 * 6) ns, 2.3 years; timers beyond that wait in the last slot and
/// are placed again when it is reached.
const LEVELS: usize = 6;
const NO_NODE: u32 = u32::MAX;

/// Identifies a timer until it fires or is removed; handles are reused afterwards.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TimerHandle(u32);

struct Node<T> {
    value: Option<T>,
    expiry_tick: u64,
    slot: u16,
    previous: u32,
    next: u32,
}

/// Timers that carry a value each. Nodes of timers that fired or were removed are reused.
pub struct TimingWheel<T> {
    /// Every timer up to this tick has fired.
    current_tick: u64,
    nodes: Vec<Node<T>>,
    first_free: u32,
    slot_heads: [u32; SLOTS_PER_LEVEL * LEVELS],
    /// By level, a bit for each slot that holds timers.
    occupied_slots: [u64; LEVELS],
    count: usize,
}

impl<T> TimingWheel<T> {
    /// A wheel without timers.
    pub fn new(now: Nanos) -> Self {
        TimingWheel {
            current_tick: now >> TICK_BITS,
            nodes: Vec::new(),
            first_free: NO_NODE,
            slot_heads: [NO_NODE; SLOTS_PER_LEVEL * LEVELS],
            occupied_slots: [0; LEVELS],
            count: 0,
        }
    }

    /// Number of timers.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no timers.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Inserts a timer. It never fires before `at`, and at most one tick after it.
    pub fn insert(&mut self, at: Nanos, value: T) -> TimerHandle {
        let expiry_tick = (at >> TICK_BITS) + 1;
        let node = Node {
            value: Some(value),
            expiry_tick: expiry_tick.max(self.current_tick + 1),
            slot: 0,
            previous: NO_NODE,
            next: NO_NODE,
        };
        let index = match self.first_free {
            NO_NODE => {
                self.nodes.push(node);
                self.nodes.len() as u32 - 1
            }
            free => {
                self.first_free = self.nodes[free as usize].next;
                self.nodes[free as usize] = node;
                free
            }
        };
        self.count += 1;
        self.link(index);
        TimerHandle(index)
    }

    /// Removes a timer and returns its value; `None` if it has fired or was removed.
    pub fn remove(&mut self, handle: TimerHandle) -> Option<T> {
        let value = self.nodes.get_mut(handle.0 as usize)?.value.take()?;
        self.unlink(handle.0);
        self.free_node(handle.0);
        Some(value)
    }

    /// Time before which no timer fires; it may be early by the width of a slot, never late.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.next_occupied_slot()
            .map(|(tick, _, _)| tick << TICK_BITS)
    }

    /// Removes a timer that has expired by `now` and returns its value, in the order of ticks. To
    /// be called until it returns `None`.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<T> {
        let now_tick = now >> TICK_BITS;
        while let Some((tick, level, slot)) = self.next_occupied_slot() {
            if tick > now_tick {
                break;
            }
            self.current_tick = self.current_tick.max(tick);
            let index = self.slot_heads[level * SLOTS_PER_LEVEL + slot];
            self.unlink(index);
            if self.nodes[index as usize].expiry_tick <= self.current_tick {
                let value = self.nodes[index as usize].value.take();
                self.free_node(index);
                return value;
            }
            // The timer is now close enough for a finer level.
            self.link(index);
        }
        self.current_tick = self.current_tick.max(now_tick);
        None
    }

    /// The earliest occupied slot: the tick at which it is to be processed, its level and its
    /// index.
    fn next_occupied_slot(&self) -> Option<(u64, usize, usize)> {
        let mut earliest: Option<(u64, usize, usize)> = None;
        for level in 0..LEVELS {
            if self.occupied_slots[level] == 0 {
                continue;
            }
            let shift = SLOT_BITS * level as u32;
            let current = self.current_tick >> shift;
            let rotated = self.occupied_slots[level]
                .rotate_right((current & (SLOTS_PER_LEVEL as u64 - 1)) as u32);
            // The current slot of a level counts: its timers are close enough to be processed now.
            let distance = u64::from(rotated.trailing_zeros());
            let tick = (current + distance) << shift;
            let slot = ((current + distance) & (SLOTS_PER_LEVEL as u64 - 1)) as usize;
            if earliest.is_none_or(|(earliest_tick, _, _)| tick < earliest_tick) {
                earliest = Some((tick, level, slot));
            }
        }
        earliest
    }

    fn link(&mut self, index: u32) {
        let expiry_tick = self.nodes[index as usize].expiry_tick;
        let ticks_left = expiry_tick.saturating_sub(self.current_tick);
        // Ticks that one turn of a level covers.
        let ticks_per_turn = |level: usize| 1u64 << (SLOT_BITS * (level as u32 + 1));
        let level = (0..LEVELS)
            .find(|&level| ticks_left < ticks_per_turn(level))
            .unwrap_or(LEVELS - 1);
        let shift = SLOT_BITS * level as u32;
        let last_slot = (self.current_tick >> shift) + SLOTS_PER_LEVEL as u64 - 1;
        let slot = ((expiry_tick >> shift).min(last_slot) & (SLOTS_PER_LEVEL as u64 - 1)) as usize;
        let head_index = level * SLOTS_PER_LEVEL + slot;
        let head = self.slot_heads[head_index];
        let node = &mut self.nodes[index as usize];
        (node.slot, node.previous, node.next) = (head_index as u16, NO_NODE, head);
        if head != NO_NODE {
            self.nodes[head as usize].previous = index;
        }
        self.slot_heads[head_index] = index;
        self.occupied_slots[level] |= 1 << slot;
    }

    fn unlink(&mut self, index: u32) {
        let Node {
            slot,
            previous,
            next,
            ..
        } = self.nodes[index as usize];
        let head_index = usize::from(slot);
        match previous {
            NO_NODE => self.slot_heads[head_index] = next,
            previous => self.nodes[previous as usize].next = next,
        }
        if next != NO_NODE {
            self.nodes[next as usize].previous = previous;
        }
        if self.slot_heads[head_index] == NO_NODE {
            self.occupied_slots[head_index / SLOTS_PER_LEVEL] &=
                !(1 << (head_index % SLOTS_PER_LEVEL));
        }
    }

    fn free_node(&mut self, index: u32) {
        self.nodes[index as usize].next = self.first_free;
        self.first_free = index;
        self.count -= 1;
    }
}
