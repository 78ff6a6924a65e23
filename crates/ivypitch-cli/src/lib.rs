//! The commands of `ivypitch` other than `serve`, each in its own module.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

pub mod check;
pub mod fleet;
