//! A hierarchical timing wheel: what is to happen when, with removal by handle. Setting, unsetting and firing cost
//! the same at ten entries and at a million; a jump of the clock costs by the slots that hold something.

use ivypitch_types::Nanos;

/// One tick is 2^20 ns, 1.05 ms: nothing that is timed here is told more finely.
const TICK_BITS: u32 = 20;
const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
/// 2^(20 + 6 * 6) ns are 2.3 years; what is set beyond that waits in the last slot and is filed again.
const LEVELS: usize = 6;
const NONE: u32 = u32::MAX;

/// Names one entry until it fires or is removed; its number is then used again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Handle(u32);

struct Node<T> {
    what: Option<T>,
    at: u64,
    slot: u16,
    prev: u32,
    next: u32,
}

/// Emptied as entries fire or are removed; free nodes are used again.
pub struct Wheel<T> {
    /// The tick up to which all has fired.
    tick: u64,
    nodes: Vec<Node<T>>,
    free: u32,
    heads: [u32; SLOTS * LEVELS],
    /// A bit for each slot that holds something.
    filled: [u64; LEVELS],
    count: usize,
}

impl<T> Wheel<T> {
    pub fn new(now: Nanos) -> Self {
        Wheel {
            tick: now >> TICK_BITS,
            nodes: Vec::new(),
            free: NONE,
            heads: [NONE; SLOTS * LEVELS],
            filled: [0; LEVELS],
            count: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Never fires before `at`, and at the latest one tick behind it.
    pub fn set(&mut self, at: Nanos, what: T) -> Handle {
        let at = (at >> TICK_BITS) + 1;
        let node = Node {
            what: Some(what),
            at: at.max(self.tick + 1),
            slot: 0,
            prev: NONE,
            next: NONE,
        };
        let ix = match self.free {
            NONE => {
                self.nodes.push(node);
                self.nodes.len() as u32 - 1
            }
            free => {
                self.free = self.nodes[free as usize].next;
                self.nodes[free as usize] = node;
                free
            }
        };
        self.count += 1;
        self.file(ix);
        Handle(ix)
    }

    pub fn remove(&mut self, handle: Handle) -> Option<T> {
        let what = self.nodes.get_mut(handle.0 as usize)?.what.take()?;
        self.unfile(handle.0);
        self.release(handle.0);
        Some(what)
    }

    /// The time before which nothing fires; it may be early by the width of a slot, never late.
    pub fn next(&self) -> Option<Nanos> {
        self.next_tick().map(|(tick, _, _)| tick << TICK_BITS)
    }

    /// The next that is due by `now`, in the order of ticks; call it until it gives none.
    pub fn pop(&mut self, now: Nanos) -> Option<T> {
        let now = now >> TICK_BITS;
        while let Some((tick, level, slot)) = self.next_tick() {
            if tick > now {
                break;
            }
            self.tick = self.tick.max(tick);
            let ix = self.heads[level * SLOTS + slot];
            self.unfile(ix);
            if self.nodes[ix as usize].at <= self.tick {
                let what = self.nodes[ix as usize].what.take();
                self.release(ix);
                return what;
            }
            // It has come near enough for a finer level.
            self.file(ix);
        }
        self.tick = self.tick.max(now);
        None
    }

    /// The earliest filled slot: the tick at which it is to be looked at, its level and number.
    fn next_tick(&self) -> Option<(u64, usize, usize)> {
        let mut best: Option<(u64, usize, usize)> = None;
        for level in 0..LEVELS {
            if self.filled[level] == 0 {
                continue;
            }
            let shift = SLOT_BITS * level as u32;
            let here = self.tick >> shift;
            let turned = self.filled[level].rotate_right((here & (SLOTS as u64 - 1)) as u32);
            // The slot that the wheel stands in holds what has come near enough to be looked at now.
            let ahead = u64::from(turned.trailing_zeros());
            let tick = (here + ahead) << shift;
            let slot = ((here + ahead) & (SLOTS as u64 - 1)) as usize;
            if best.is_none_or(|(least, _, _)| tick < least) {
                best = Some((tick, level, slot));
            }
        }
        best
    }

    fn file(&mut self, ix: u32) {
        let at = self.nodes[ix as usize].at;
        let away = at.saturating_sub(self.tick);
        // The level whose whole turn reaches that far.
        let reach = |level: usize| 1u64 << (SLOT_BITS * (level as u32 + 1));
        let level = (0..LEVELS).find(|&l| away < reach(l)).unwrap_or(LEVELS - 1);
        let shift = SLOT_BITS * level as u32;
        let farthest = (self.tick >> shift) + SLOTS as u64 - 1;
        let slot = ((at >> shift).min(farthest) & (SLOTS as u64 - 1)) as usize;
        let place = level * SLOTS + slot;
        let head = self.heads[place];
        let node = &mut self.nodes[ix as usize];
        (node.slot, node.prev, node.next) = (place as u16, NONE, head);
        if head != NONE {
            self.nodes[head as usize].prev = ix;
        }
        self.heads[place] = ix;
        self.filled[level] |= 1 << slot;
    }

    fn unfile(&mut self, ix: u32) {
        let Node {
            slot, prev, next, ..
        } = self.nodes[ix as usize];
        let place = usize::from(slot);
        match prev {
            NONE => self.heads[place] = next,
            prev => self.nodes[prev as usize].next = next,
        }
        if next != NONE {
            self.nodes[next as usize].prev = prev;
        }
        if self.heads[place] == NONE {
            self.filled[place / SLOTS] &= !(1 << (place % SLOTS));
        }
    }

    fn release(&mut self, ix: u32) {
        self.nodes[ix as usize].next = self.free;
        self.free = ix;
        self.count -= 1;
    }
}
