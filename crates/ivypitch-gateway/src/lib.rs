//! The ivypitch query gateway on real sockets; every decision is the module's (`ivypitch_scheduler::scheduler`).

pub mod actors;
pub mod lifecycle;
pub mod state;
pub mod wire;
