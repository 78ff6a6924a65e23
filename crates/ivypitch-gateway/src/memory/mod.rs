//! What is kept. Each part says what empties it.

pub mod engines;
pub mod opened;
pub mod permits;
pub mod rows;
pub mod seats;
pub mod statements;
