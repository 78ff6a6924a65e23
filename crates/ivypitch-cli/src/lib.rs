//! What the command `ivypitch` does beside serving: each command in a module of its own.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

pub mod check;
pub mod fleet;
