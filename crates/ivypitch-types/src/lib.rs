//! Time, identifiers and attempt outcomes shared by every ivypitch crate.
//!
//! This crate sits below all others. It holds plain values without behaviour: nothing here decides, performs I/O or
//! reads a clock.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

mod hash;
mod ids;
mod outcome;
mod time;

pub use hash::hash_to_unit_interval;
pub use ids::{EngineIndex, Incarnation, MemberId, ProcessId, StatementIndex};
pub use outcome::Outcome;
pub use time::{MICROSECOND, MILLISECOND, Nanos, SECOND, nanos_from_secs, secs_from_nanos};
