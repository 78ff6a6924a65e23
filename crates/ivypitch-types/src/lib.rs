//! Time, identifiers and attempt outcomes shared by every ivypitch crate.
//!
//! No ivypitch crate is below this one. It holds plain values: nothing here makes scheduling
//! decisions, performs I/O or reads a clock.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

mod hash;
mod ids;
mod outcome;
mod time;

pub use hash::hash_to_unit_interval;
pub use ids::{EngineIndex, Incarnation, MemberId, ProcessId, StatementIndex};
pub use outcome::Outcome;
pub use time::{MICROSECOND, MILLISECOND, Nanos, SECOND, nanos_from_secs, secs_from_nanos};
