//! What the command `ivypitch` does beside serving: each command in a module of its own.

#![warn(missing_docs)]

pub mod check;
pub mod fleet;
