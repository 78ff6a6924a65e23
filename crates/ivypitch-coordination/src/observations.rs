//! Health observations: the last few attempt outcomes of each engine at each member.
//!
//! An observation carries a version and an age and is always attributed to the member that made it.
//! The table returns all members' observations of an engine, and tells whether an observation of a
//! member is new.

use ivypitch_types::{MILLISECOND, MemberId, Nanos, Outcome, SECOND};
use serde::{Deserialize, Serialize};

/// Time for which an observation counts after it was made.
pub const OBSERVATION_TTL: Nanos = 3 * SECOND;

/// Number of an engine, the same at all members.
pub type EngineNumber = u64;

/// Evidence that an attempt's outcome gives about the health of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptHealth {
    /// The engine completed the attempt.
    Success,
    /// The engine failed the attempt.
    Failure,
    /// The connection failed or broke: the fault may be in the engine or in the network.
    Unreachable,
}

impl AttemptHealth {
    /// Classifies an outcome. `None`: it gives no evidence about the engine.
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

/// Counts of the last few attempt outcomes of one engine at one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HealthObservation {
    /// Attempts that the engine completed.
    pub successes: u8,
    /// Attempts that the engine failed.
    pub failures: u8,
    /// Attempts whose connection failed or broke, for which the network may be at fault.
    #[serde(rename = "unreached")]
    pub unreachable: u8,
}

impl HealthObservation {
    /// Whether more attempts failed than succeeded.
    pub fn has_mostly_failed(&self) -> bool {
        self.failures + self.unreachable > self.successes
    }

    /// Whether more attempts succeeded than failed.
    pub fn has_mostly_succeeded(&self) -> bool {
        self.successes > self.failures + self.unreachable
    }

    /// Number of attempts that the engine answered.
    pub fn answered_attempts(&self) -> f64 {
        f64::from(self.successes) + f64::from(self.failures)
    }
}

/// An observation of the table with its version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoredObservation {
    /// Number of the observation among those of its member.
    pub version: u32,
    /// The observation.
    pub observation: HealthObservation,
    /// Time of the observation, to the millisecond.
    pub observed_at: Nanos,
}

/// An observation of the table that is younger than [`OBSERVATION_TTL`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FreshObservation {
    /// The member that made it.
    pub member: MemberId,
    /// The observation.
    pub observation: HealthObservation,
    /// Falls linearly from 1 at the time of the observation to 0 at the end of [`OBSERVATION_TTL`].
    pub weight: f64,
}

/// A stored observation in 16 bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ObservationCell {
    /// Time of the observation in milliseconds since the table's origin.
    observed_at_ms: u32,
    /// 0: no observation is known.
    version: u32,
    observation: HealthObservation,
}

/// Latest observations by engine and member.
pub struct ObservationTable {
    member_count: usize,
    origin: Nanos,
    engines: Vec<EngineNumber>,
    /// By engine, then by member, so that all observations of an engine are adjacent.
    cells: Vec<ObservationCell>,
    max_engines: usize,
}

impl ObservationTable {
    /// Creates an empty table.
    pub fn new(member_count: usize, max_engines: usize, now: Nanos) -> ObservationTable {
        ObservationTable {
            member_count,
            origin: now.saturating_sub(SECOND),
            engines: Vec::new(),
            cells: Vec::new(),
            max_engines,
        }
    }

    /// Memory that the observations occupy, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.cells.len() * size_of::<ObservationCell>()
            + self.engines.len() * size_of::<EngineNumber>()
    }

    /// Engines that have a row, in no particular order.
    pub fn engines(&self) -> &[EngineNumber] {
        &self.engines
    }

    /// Stores an observation. Returns false if it is not newer than the stored one, or if the table
    /// is full.
    pub fn insert_if_newer(
        &mut self,
        engine: EngineNumber,
        member: MemberId,
        observation: StoredObservation,
    ) -> bool {
        let Some(row) = self.row_or_insert(engine) else {
            return false;
        };
        let observed_at_ms = self.millis_since_origin(observation.observed_at).max(1);
        let Some(cell) =
            self.cells[row * self.member_count..][..self.member_count].get_mut(member.as_usize())
        else {
            return false;
        };
        if cell.version >= observation.version {
            return false;
        }
        *cell = ObservationCell {
            observed_at_ms,
            version: observation.version,
            observation: observation.observation,
        };
        true
    }

    /// The latest observation of an engine by a member, regardless of its age.
    pub fn get(&self, engine: EngineNumber, member: MemberId) -> Option<StoredObservation> {
        let cell = self
            .row_cells(engine)
            .get(member.as_usize())
            .filter(|cell| cell.version > 0)?;
        Some(StoredObservation {
            version: cell.version,
            observation: cell.observation,
            observed_at: self.origin + Nanos::from(cell.observed_at_ms) * MILLISECOND,
        })
    }

    /// The fresh observations of an engine, in the order of the members.
    pub fn fresh_observations(
        &self,
        engine: EngineNumber,
        now: Nanos,
    ) -> impl Iterator<Item = FreshObservation> + '_ {
        let now_ms = self.millis_since_origin(now);
        let ttl_ms = (OBSERVATION_TTL / MILLISECOND) as u32;
        let fresh = move |(member, cell): (usize, &ObservationCell)| {
            let age_ms = now_ms.saturating_sub(cell.observed_at_ms);
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

    /// Removes the observations of a member, because its new process numbers its observations from
    /// 1 again.
    pub fn clear_member(&mut self, member: MemberId) {
        let column = member.as_usize();
        if column >= self.member_count {
            return;
        }
        for cell in self
            .cells
            .iter_mut()
            .skip(column)
            .step_by(self.member_count)
        {
            *cell = ObservationCell::default();
        }
    }

    /// Removes the engines that are no longer in use.
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
        let member_count = self.member_count;
        self.engines.swap_remove(row);
        self.cells.copy_within(
            last * member_count..(last + 1) * member_count,
            row * member_count,
        );
        self.cells.truncate(last * member_count);
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
        self.cells.resize(
            self.engines.len() * self.member_count,
            ObservationCell::default(),
        );
        Some(self.engines.len() - 1)
    }

    fn row_cells(&self, engine: EngineNumber) -> &[ObservationCell] {
        self.row(engine).map_or(&[], |row| {
            &self.cells[row * self.member_count..][..self.member_count]
        })
    }

    fn millis_since_origin(&self, at: Nanos) -> u32 {
        (at.saturating_sub(self.origin) / MILLISECOND) as u32
    }
}
