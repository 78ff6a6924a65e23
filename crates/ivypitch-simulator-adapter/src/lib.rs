//! The adapter between the simulator's wire and the decision module: framing and ids. It decides nothing.

pub mod codec;
pub mod host;
