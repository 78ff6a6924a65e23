//! What is kept. Each part says what empties it.

pub mod connects;
pub mod engines;
pub mod permits;
pub mod rows;
pub mod sessions;
pub mod statements;
pub mod traffic;
