//! The laboratory.

pub mod command;
pub mod stand_ins;
