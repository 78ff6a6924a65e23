//! The ivypitch query gateway on real sockets.
//!
//! Clients connect with the MySQL protocol and engines are called over HTTP. Every decision, which statement runs where and
//! when, is made by crates without sockets, clocks or threads; this one drives them:
//!
//! - [`lifecycle`]: configuration, startup, reload and graceful shutdown of the process;
//! - [`actors`]: tasks on one thread that own sockets and the deciding crates, and talk by messages;
//! - [`wire`]: the protocols, on buffers;
//! - [`state`]: what actors share or keep, none of it deciding;
//! - [`log_events`]: names of log events that others look for.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

pub mod actors;
pub mod lifecycle;
pub mod log_events;
pub mod state;
pub mod wire;
