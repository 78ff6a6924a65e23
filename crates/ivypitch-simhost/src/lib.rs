//! The adapter between the simulator's wire and the decision module: framing, ids, settings. It decides nothing.

pub mod codec;
pub mod host;
pub mod settings;
