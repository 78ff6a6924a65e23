//! What is kept. Each part says what empties it.

pub mod engines;
pub mod pool;
pub mod rows;
pub mod statements;
