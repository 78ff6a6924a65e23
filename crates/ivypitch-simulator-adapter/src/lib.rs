//! The adapter between the operators' simulator and the scheduler: framing, records and ids. It
//! contains no scheduling decisions.
//!
//! The simulator writes batches of events to standard input and reads one reply with actions for
//! each batch from standard output. [`codec`] frames both; [`host`] converts events to calls of the
//! scheduler of each instance, and the scheduler's actions to records of the reply.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

mod action;
pub mod codec;
pub mod error;
mod event;
pub mod host;
mod ids;
