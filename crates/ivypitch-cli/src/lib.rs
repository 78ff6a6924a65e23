//! What the command `ivypitch` does beside serving: each command in a module of its own.

pub mod check;
pub mod fleet;
