//! Fake engines, discovery servers and clients for tests, and the gateway itself as a process. Tests wait for
//! conditions, never for a fixed time.

mod addresses;
mod client;
mod controlled_engine;
mod discovery;
mod engine;
mod gateway;
mod waiting;

pub use addresses::*;
pub use client::*;
pub use controlled_engine::*;
pub use discovery::*;
pub use engine::*;
pub use gateway::*;
pub use waiting::*;
