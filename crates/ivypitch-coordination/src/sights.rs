//! What members saw of engines: the last few outcomes of each engine at each member, with version and age. Words are
//! of whoever saw it, never passed on as one's own. One table, by engine and member, made for two questions: what do
//! all say of this engine, and what has this member said that is new.

use ivypitch_types::{Nanos, SECOND};

/// A word counts for so long after it was seen.
pub const LIFE: Nanos = 3 * SECOND;

/// The last few outcomes of one member at one engine.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Sight {
    pub successes: u8,
    pub failures: u8,
    /// Connections that were not made, refused or late: the way may be at fault and not the engine.
    pub unreached: u8,
}

impl Sight {
    pub fn seen(&self) -> u32 {
        u32::from(self.successes) + u32::from(self.failures) + u32::from(self.unreached)
    }
}

/// One member's word on one engine; 16 bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Cell {
    /// Milliseconds since the table began, of when it was seen; 0: nothing is known.
    seen_ms: u32,
    version: u32,
    sight: Sight,
}

/// The numbers of engines are those that all members know them by.
pub struct Table {
    members: usize,
    began: Nanos,
    engines: Vec<u64>,
    /// By engine, then by member: all words on an engine lie side by side.
    cells: Vec<Cell>,
    most_engines: usize,
}

impl Table {
    pub fn new(members: usize, most_engines: usize, now: Nanos) -> Table {
        Table {
            members,
            began: now.saturating_sub(SECOND),
            engines: Vec::new(),
            cells: Vec::new(),
            most_engines,
        }
    }

    pub fn bytes(&self) -> usize {
        self.cells.len() * size_of::<Cell>() + self.engines.len() * 8
    }

    pub fn engines(&self) -> &[u64] {
        &self.engines
    }

    fn row(&self, engine: u64) -> Option<usize> {
        self.engines.iter().position(|&known| known == engine)
    }

    fn ms(&self, at: Nanos) -> u32 {
        (at.saturating_sub(self.began) / 1_000_000) as u32
    }

    /// False: older than what is known, or of no use.
    pub fn put(
        &mut self,
        engine: u64,
        member: u16,
        version: u32,
        sight: Sight,
        seen_at: Nanos,
    ) -> bool {
        let row = match self.row(engine) {
            Some(row) => row,
            None if self.engines.len() >= self.most_engines => return false,
            None => {
                self.engines.push(engine);
                self.cells
                    .resize(self.engines.len() * self.members, Cell::default());
                self.engines.len() - 1
            }
        };
        let seen_ms = self.ms(seen_at).max(1);
        let Some(cell) = self.cells[row * self.members..].get_mut(usize::from(member)) else {
            return false;
        };
        if usize::from(member) >= self.members || cell.version >= version {
            return false;
        }
        *cell = Cell {
            seen_ms,
            version,
            sight,
        };
        true
    }

    pub fn get(&self, engine: u64, member: u16) -> Option<(u32, Sight, Nanos)> {
        let cell = self
            .words(engine)
            .get(usize::from(member))
            .filter(|cell| cell.version > 0)?;
        Some((
            cell.version,
            cell.sight,
            self.began + Nanos::from(cell.seen_ms) * 1_000_000,
        ))
    }

    fn words(&self, engine: u64) -> &[Cell] {
        self.row(engine)
            .map_or(&[], |row| &self.cells[row * self.members..][..self.members])
    }

    /// Words on an engine that still count: member, sight, and what is left of its weight, 0 to 1.
    pub fn fresh(&self, engine: u64, now: Nanos) -> impl Iterator<Item = (u16, Sight, f64)> + '_ {
        let (now, life) = (self.ms(now), (LIFE / 1_000_000) as u32);
        let counts = move |(member, cell): (usize, &Cell)| {
            let age = now.saturating_sub(cell.seen_ms);
            (cell.version > 0 && age < life).then(|| {
                (
                    member as u16,
                    cell.sight,
                    1.0 - f64::from(age) / f64::from(life),
                )
            })
        };
        self.words(engine).iter().enumerate().filter_map(counts)
    }

    /// Another process stands at that place: what it said stands no more, and it counts its versions anew.
    pub fn forget_member(&mut self, member: u16) {
        let at = usize::from(member);
        if at < self.members {
            self.cells
                .iter_mut()
                .skip(at)
                .step_by(self.members)
                .for_each(|cell| *cell = Cell::default());
        }
    }

    /// Engines that the roster names no more.
    pub fn keep(&mut self, is_there: impl Fn(u64) -> bool) {
        let mut row = 0;
        while row < self.engines.len() {
            if is_there(self.engines[row]) {
                row += 1;
                continue;
            }
            let (last, members) = (self.engines.len() - 1, self.members);
            self.engines.swap_remove(row);
            self.cells
                .copy_within(last * members..(last + 1) * members, row * members);
            self.cells.truncate(last * members);
        }
    }
}
