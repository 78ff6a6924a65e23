//! Health observations: the last few attempt outcomes of each engine at each member.
//!
//! An observation carries a version and an age and is always attributed to the member that made it. The table answers
//! two questions: what do all members say about this engine, and is this observation of that member new.

use ivypitch_types::{MILLISECOND, MemberId, Nanos, Outcome, SECOND};
use serde::{Deserialize, Serialize};

/// An observation counts for this long after it was made.
pub const OBSERVATION_TTL: Nanos = 3 * SECOND;

/// The number that all members know an engine by.
pub type EngineNumber = u64;

/// What an attempt's outcome says about its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptHealth {
    /// The engine served it.
    Success,
    /// The engine failed it.
    Failure,
    /// There was no connection, or it broke: the fault may be the engine's or the network's.
    Unreachable,
}

impl AttemptHealth {
    /// What an outcome says about its engine, if anything.
    ///
    /// A faulty statement fails on every engine, so only an error of its first attempt counts.
    pub fn from_outcome(outcome: Outcome, is_first_attempt: bool) -> Option<AttemptHealth> {
        match outcome {
            Outcome::Completed => Some(AttemptHealth::Success),
            Outcome::Error if !is_first_attempt => None,
            Outcome::Error | Outcome::TimedOut => Some(AttemptHealth::Failure),
            Outcome::ConnectFailed | Outcome::Reset => Some(AttemptHealth::Unreachable),
            Outcome::Overloaded
            | Outcome::Cancelled
            | Outcome::NeverDispatched
            | Outcome::NotSent => None,
        }
    }
}

/// The last few outcomes of one engine at one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HealthObservation {
    /// Attempts that the engine served.
    pub successes: u8,
    /// Attempts that the engine failed.
    pub failures: u8,
    /// Attempts without a connection, for which the network may be at fault.
    #[serde(rename = "unreached")]
    pub unreachable: u8,
}

impl HealthObservation {
    /// More attempts went wrong than well.
    pub fn is_negative(&self) -> bool {
        self.failures + self.unreachable > self.successes
    }

    /// More attempts went well than wrong.
    pub fn is_positive(&self) -> bool {
        self.successes > self.failures + self.unreachable
    }

    /// Attempts that reached the engine.
    pub fn answered(&self) -> f64 {
        f64::from(self.successes) + f64::from(self.failures)
    }
}

/// An observation of the table with its version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoredObservation {
    /// Counts the observations of its member.
    pub version: u32,
    /// What was observed.
    pub observation: HealthObservation,
    /// When it was made, to the millisecond.
    pub observed_at: Nanos,
}

/// An observation of the table that still counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FreshObservation {
    /// Who made it.
    pub member: MemberId,
    /// What was observed.
    pub observation: HealthObservation,
    /// Falls linearly from 1 when it was made to 0 at the end of [`OBSERVATION_TTL`].
    pub weight: f64,
}

/// 16 bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Cell {
    /// In milliseconds since the table's origin.
    observed_ms: u32,
    /// 0: nothing is known.
    version: u32,
    observation: HealthObservation,
}

/// Observations by engine and member.
pub struct ObservationTable {
    members: usize,
    origin: Nanos,
    engines: Vec<EngineNumber>,
    /// By engine, then by member: all observations of an engine are adjacent.
    cells: Vec<Cell>,
    max_engines: usize,
}

impl ObservationTable {
    /// An empty table.
    pub fn new(members: usize, max_engines: usize, now: Nanos) -> ObservationTable {
        ObservationTable {
            members,
            origin: now.saturating_sub(SECOND),
            engines: Vec::new(),
            cells: Vec::new(),
            max_engines,
        }
    }

    /// Memory that the observations take.
    pub fn size_bytes(&self) -> usize {
        self.cells.len() * size_of::<Cell>() + self.engines.len() * size_of::<EngineNumber>()
    }

    /// Engines that have a row, in no particular order.
    pub fn engines(&self) -> &[EngineNumber] {
        &self.engines
    }

    /// Stores an observation. False: it is not newer than what is known, or there is no room for it.
    pub fn insert_if_newer(
        &mut self,
        engine: EngineNumber,
        member: MemberId,
        observation: StoredObservation,
    ) -> bool {
        let Some(row) = self.row_or_insert(engine) else {
            return false;
        };
        let observed_ms = self.millis(observation.observed_at).max(1);
        let Some(cell) =
            self.cells[row * self.members..][..self.members].get_mut(member.as_usize())
        else {
            return false;
        };
        if cell.version >= observation.version {
            return false;
        }
        *cell = Cell {
            observed_ms,
            version: observation.version,
            observation: observation.observation,
        };
        true
    }

    /// The latest observation of an engine by a member, however old.
    pub fn get(&self, engine: EngineNumber, member: MemberId) -> Option<StoredObservation> {
        let cell = self
            .row_cells(engine)
            .get(member.as_usize())
            .filter(|cell| cell.version > 0)?;
        Some(StoredObservation {
            version: cell.version,
            observation: cell.observation,
            observed_at: self.origin + Nanos::from(cell.observed_ms) * MILLISECOND,
        })
    }

    /// The observations of an engine that still count, in the order of the members.
    pub fn fresh(
        &self,
        engine: EngineNumber,
        now: Nanos,
    ) -> impl Iterator<Item = FreshObservation> + '_ {
        let now_ms = self.millis(now);
        let ttl_ms = (OBSERVATION_TTL / MILLISECOND) as u32;
        let fresh = move |(member, cell): (usize, &Cell)| {
            let age_ms = now_ms.saturating_sub(cell.observed_ms);
            if cell.version == 0 || age_ms >= ttl_ms {
                return None;
            }
            Some(FreshObservation {
                member: MemberId(member as u16),
                observation: cell.observation,
                weight: 1.0 - f64::from(age_ms) / f64::from(ttl_ms),
            })
        };
        self.row_cells(engine).iter().enumerate().filter_map(fresh)
    }

    /// Forgets what a member said: its new process counts versions from the start.
    pub fn forget_member(&mut self, member: MemberId) {
        let column = member.as_usize();
        if column >= self.members {
            return;
        }
        for cell in self.cells.iter_mut().skip(column).step_by(self.members) {
            *cell = Cell::default();
        }
    }

    /// Removes the engines that are not in use any more.
    pub fn retain_engines(&mut self, is_in_use: impl Fn(EngineNumber) -> bool) {
        let mut row = 0;
        while row < self.engines.len() {
            if is_in_use(self.engines[row]) {
                row += 1;
            } else {
                self.swap_remove_row(row);
            }
        }
    }

    fn swap_remove_row(&mut self, row: usize) {
        let last = self.engines.len() - 1;
        let members = self.members;
        self.engines.swap_remove(row);
        self.cells
            .copy_within(last * members..(last + 1) * members, row * members);
        self.cells.truncate(last * members);
    }

    fn row(&self, engine: EngineNumber) -> Option<usize> {
        self.engines.iter().position(|&known| known == engine)
    }

    fn row_or_insert(&mut self, engine: EngineNumber) -> Option<usize> {
        if let Some(row) = self.row(engine) {
            return Some(row);
        }
        if self.engines.len() >= self.max_engines {
            return None;
        }
        self.engines.push(engine);
        self.cells
            .resize(self.engines.len() * self.members, Cell::default());
        Some(self.engines.len() - 1)
    }

    fn row_cells(&self, engine: EngineNumber) -> &[Cell] {
        self.row(engine)
            .map_or(&[], |row| &self.cells[row * self.members..][..self.members])
    }

    fn millis(&self, at: Nanos) -> u32 {
        (at.saturating_sub(self.origin) / MILLISECOND) as u32
    }
}
