//! The adapter between the operators' simulator and the scheduler: framing, records and ids. It decides nothing.
//!
//! The simulator writes batches of events to standard input and reads one reply of actions for each batch from
//! standard output. [`codec`] frames both, [`host`] turns events into calls of the scheduler of each instance, and
//! the scheduler's actions into records of the reply.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

mod action;
pub mod codec;
pub mod error;
mod event;
pub mod host;
mod ids;
